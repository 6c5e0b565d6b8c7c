/*
 * autoscale.h - decides how many engines of a service to order in each failure domain, spot and
 * others. Pure: no I/O and no clock. Design: docs/design/duties-and-load.md.
 */
#ifndef BCT_POLICY_AUTOSCALE_H
#define BCT_POLICY_AUTOSCALE_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_AUTOSCALE_DOMAINS 8 /* failure domains of a service */
#define BCT_AUTOSCALE_NAME_BYTES 64

typedef enum bct_autoscale_kind {
	BCT_AUTOSCALE_STANDARD,
	BCT_AUTOSCALE_SPOT, /* cheaper; all of a failure domain may be reclaimed at short notice */
	BCT_AUTOSCALE_KINDS,
} bct_autoscale_kind_t;

/* The configuration of a service. Prices are of an engine second. */
typedef struct bct_autoscale_conf {
	uint32_t minimum; /* engines in each failure domain, both kinds together */
	uint32_t maximum;
	uint32_t boot_ms;  /* until a new engine serves */
	double spot_price; /* factor to the price; 0: no spot engines */
	struct {
		char name[BCT_AUTOSCALE_NAME_BYTES];
		double price;
	} domains[BCT_AUTOSCALE_DOMAINS];
	uint32_t n_domains; /* 0: the service is not scaled */
} bct_autoscale_conf_t;

typedef struct bct_autoscale_domain {
	uint32_t present[BCT_AUTOSCALE_KINDS]; /* engines that accept requests, or soon will */
	bool spot_refused;   /* an order of spot engines was refused, none being available */
	bool spot_reclaimed; /* spot engines there are leaving now */
} bct_autoscale_domain_t;

/* The inputs of one decision; domains as in the configuration. */
typedef struct bct_autoscale_input {
	bct_autoscale_domain_t domains[BCT_AUTOSCALE_DOMAINS];
	uint32_t demand_permille;  /* work that callers bring, in engines / 1000 */
	bct_time_t demand_age_ms;  /* BCT_TIME_NEVER: not known */
	uint32_t refused_permille; /* of the requests of the last seconds, for lack of capacity */
} bct_autoscale_input_t;

typedef enum bct_autoscale_reason {
	BCT_AUTOSCALE_UNCHANGED,
	BCT_AUTOSCALE_DEMAND,	 /* grew */
	BCT_AUTOSCALE_REFUSED,	 /* requests are refused */
	BCT_AUTOSCALE_IDLE,	 /* fewer are enough */
	BCT_AUTOSCALE_CHEAPER,	 /* the same number at a lower price */
	BCT_AUTOSCALE_RECLAIMED, /* spot engines were lost or are not available */
	BCT_AUTOSCALE_BOUNDS,	 /* minimum or maximum */
} bct_autoscale_reason_t;

typedef struct bct_autoscale_plan {
	uint32_t wanted[BCT_AUTOSCALE_DOMAINS][BCT_AUTOSCALE_KINDS];
	bct_autoscale_reason_t reason;
} bct_autoscale_plan_t;

typedef struct bct_autoscale bct_autoscale_t; /* of one service */

/* bct_autoscale_new(3): returns 0, -BCT_EINVAL (minimum above maximum) or -BCT_ENOMEM. */
int bct_autoscale_new(const bct_autoscale_conf_t *conf, bct_autoscale_t **out);
void bct_autoscale_free(bct_autoscale_t *a);

/*
 * bct_autoscale_resume(3): continues from the numbers that a predecessor, or this node, wanted
 * last; NULL: none are known.
 */
void bct_autoscale_resume(bct_autoscale_t *a, bct_time_t now, const bct_autoscale_plan_t *last);

/* bct_autoscale_plan(3): the numbers to order; called once a second. */
void bct_autoscale_plan(bct_autoscale_t *a, bct_time_t now, const bct_autoscale_input_t *in,
			bct_autoscale_plan_t *out);

/* bct_autoscale_reason_name(3): as in logs. */
const char *bct_autoscale_reason_name(bct_autoscale_reason_t r);

#endif
