/*
 * placement.h - which engines have to be told to load what: the difference between the
 * configuration and what engines say they have, as absolute target states. Pure.
 */
#ifndef BCT_POLICY_PLACEMENT_H
#define BCT_POLICY_PLACEMENT_H

#include "base/clock.h"
#include "policy/conf.h"

/* The state of one engine, as it says itself. */
typedef struct bct_placement_state {
	uint64_t upstream_key;
	bool known; /* it answered */
	bool drains;
	uint64_t model_keys[BCT_MODELS_PER_UPSTREAM];
	uint32_t n_models;
} bct_placement_state_t;

typedef struct bct_placement_opts {
	uint32_t max_orders; /* given in one round: the weight store is rate-limited */
} bct_placement_opts_t;

/* One order: the whole state wanted. */
typedef struct bct_placement_order {
	const bct_upstream_conf_t *upstream;
	bool drain;
} bct_placement_order_t;

/* bct_placement_differs(3): whether an engine is not in the state that the configuration wants. */
bool bct_placement_differs(const bct_upstream_conf_t *u, const bct_placement_state_t *p);

/*
 * bct_placement_plan(3): the orders of one round.
 *
 * placed   what is known of n engines
 * out      room for opts->max_orders
 * returns  number of orders. An engine that others still need for a model that it would lose, or
 *          whose failure domain has an order in this round already, has to wait for a later one.
 */
uint32_t bct_placement_plan(const bct_placement_opts_t *opts, const bct_conf_t *conf,
			    const bct_placement_state_t *placed, uint32_t n,
			    bct_placement_order_t *out);

#endif
