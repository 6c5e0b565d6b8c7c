/*
 * util_scale.h - a simulated service that is scaled: engines that boot, leave and are reclaimed as
 * the platform's control API has it, and the decisions of policy/autoscale.h in steps of a second.
 */
#ifndef BCT_TESTS_UTIL_SCALE_H
#define BCT_TESTS_UTIL_SCALE_H

#include "policy/autoscale.h"

#define SCALE_BOOT_S 4
#define SCALE_START_MS 5000000
#define SCALE_RECLAIM_S 2  /* from the announcement until the engines are gone */
#define SCALE_NO_SPOT_S 10 /* from the announcement until spot engines are available again */

typedef struct scale_world {
	bct_autoscale_conf_t conf;
	bct_autoscale_t *a;
	bct_autoscale_plan_t plan;
	bct_time_t now;
	uint32_t present[BCT_AUTOSCALE_DOMAINS][BCT_AUTOSCALE_KINDS];
	/* Ordered, by the seconds until they serve. */
	uint32_t booting[BCT_AUTOSCALE_DOMAINS][BCT_AUTOSCALE_KINDS][SCALE_BOOT_S];
	uint32_t desired[BCT_AUTOSCALE_DOMAINS][BCT_AUTOSCALE_KINDS]; /* accepted orders */
	bct_time_t no_spot_until[BCT_AUTOSCALE_DOMAINS]; /* BCT_TIME_NEVER: none at all */
	bct_time_t leaving_until[BCT_AUTOSCALE_DOMAINS];
	bct_time_t refused_until[BCT_AUTOSCALE_DOMAINS]; /* as the caller remembers a 409 */
	bool down;				 /* the control API: no order has an effect */
	bool no_standard[BCT_AUTOSCALE_DOMAINS]; /* orders of more are refused */
	bct_time_t demand_age_ms;
	uint32_t refused_permille;
	uint32_t present_before; /* the last decision */
	uint32_t removed;	 /* engines by the last decision */
	double cost;		 /* engine seconds times price */
} scale_world_t;

/* scale_world_init(3): a service in 3 failure domains with standard engines only. */
void scale_world_init(scale_world_t *w, uint32_t minimum, uint32_t maximum, uint32_t standard);
void scale_world_free(scale_world_t *w);

/* scale_world_second(3): takes a decision, executes it, and lets a second pass. */
void scale_world_second(scale_world_t *w, uint32_t demand_permille);

/* scale_world_run(3): some seconds with the same demand. */
void scale_world_run(scale_world_t *w, uint32_t seconds, uint32_t demand_permille);

/* scale_world_reclaim(3): the spot engines of a failure domain leave. */
void scale_world_reclaim(scale_world_t *w, uint32_t domain);

uint32_t scale_world_present(const scale_world_t *w);
uint32_t scale_world_spot(const scale_world_t *w);
uint32_t scale_world_wanted(const scale_world_t *w, uint32_t domain);

/* scale_world_survive(3): engines left after the loss of a domain's spot engines. */
uint32_t scale_world_survive(const scale_world_t *w);

#endif
