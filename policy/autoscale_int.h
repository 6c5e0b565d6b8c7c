/*
 * autoscale_int.h - what the files of autoscaling share: the state between decisions and the view
 * of one decision.
 */
#ifndef BCT_POLICY_AUTOSCALE_INT_H
#define BCT_POLICY_AUTOSCALE_INT_H

#include "policy/autoscale.h"
#include "policy/autoscale_fit.h"
#include "policy/autoscale_window.h"

#define BCT_AUTOSCALE_MARGIN_PERMILLE 1400 /* engines per demand */
/* After the loss of a domain's spot engines: a reserve for the time until new engines serve, as the
 * demand is an estimate and a second old. */
#define BCT_AUTOSCALE_SURVIVE_PERMILLE 1100
/* Averages of the demand over this time decide on removals: the first seconds with cold caches, or
 * after an estimate began, would keep engines for as long as the window lasts. */
#define BCT_AUTOSCALE_STEADY_S 3
#define BCT_AUTOSCALE_REMOVALS 8 /* remembered; more decisions than fall into the window */

typedef struct bct_autoscale_known {
	uint32_t pending[BCT_AUTOSCALE_KINDS]; /* ordered and not present yet */
	uint32_t seen[BCT_AUTOSCALE_KINDS];    /* present at the last decision */
	bct_time_t pending_until[BCT_AUTOSCALE_KINDS];
	bct_time_t unavailable_until[BCT_AUTOSCALE_KINDS];
	bct_time_t reclaimed_until; /* nothing is removed until then */
	bool refused;		    /* at the last decision */
	uint32_t lost_spot;	    /* by the present reclaim; still listed */
} bct_autoscale_known_t;

struct bct_autoscale {
	bct_autoscale_conf_t conf;
	bool begun; /* wanted is valid */
	bool resumed;
	bct_autoscale_set_t wanted;
	bct_autoscale_known_t domains[BCT_AUTOSCALE_DOMAINS];
	bct_autoscale_window_t demand;		 /* highest of each second */
	bct_autoscale_window_t steady;		 /* the same of its averages */
	uint32_t recent[BCT_AUTOSCALE_STEADY_S]; /* demands of the last decisions */
	uint32_t n_recent;			 /* written in all */
	uint32_t last_demand;	/* highest of the window, when last known; 0: never */
	bct_time_t known_since; /* BCT_TIME_NEVER: the demand is unknown */
	uint32_t removed[BCT_AUTOSCALE_REMOVALS]; /* engines in each second */
	bct_time_t removed_at[BCT_AUTOSCALE_REMOVALS];
	uint32_t n_removals;		/* written in all */
	bct_autoscale_window_t present; /* engines that accept requests */
};

/* The engines of one decision. */
typedef struct bct_autoscale_view {
	bct_autoscale_set_t present; /* those that are wanted and not being reclaimed */
	bct_autoscale_set_t counted; /* and those still to come */
	bct_autoscale_set_t change;  /* engines ordered in this decision */
	uint32_t demand;	     /* to order for */
	uint32_t floor;		     /* to remove for */
	bool known;
	bool lost; /* spot engines were reclaimed or refused just now */
	bct_autoscale_reason_t reason;
} bct_autoscale_view_t;

/* bct_autoscale_scaled(3): the engines for a demand in engines / 1000, with a factor. */
static inline uint32_t bct_autoscale_scaled(uint32_t demand_permille, uint32_t permille)
{
	return (uint32_t)(((uint64_t)demand_permille * permille + 999999) / 1000000);
}

/* autoscale_remove.c */
bool bct_autoscale_may_remove(const bct_autoscale_t *a, bct_time_t now);

/* bct_autoscale_remove(3): removes engines that the ideal lacks; returns whether that is any. */
bool bct_autoscale_remove(bct_autoscale_t *a, bct_time_t now, bct_autoscale_view_t *v,
			  const bct_autoscale_set_t *ideal);

#endif
