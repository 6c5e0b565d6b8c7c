/*
 * placement.h - plans which engines are ordered to load which models. It compares the configuration
 * with the states that the engines report; an order is an absolute target state. No I/O, no state.
 */
#ifndef BCT_POLICY_PLACEMENT_H
#define BCT_POLICY_PLACEMENT_H

#include "base/clock.h"
#include "policy/conf.h"

/* The state of one engine, as reported by itself. */
typedef struct bct_placement_state {
	uint64_t upstream_key;
	bool known;  /* it answered: the members below are valid */
	bool drains; /* its current target state is to drain */
	uint64_t model_keys[BCT_MODELS_PER_UPSTREAM];
	uint32_t n_models;
} bct_placement_state_t;

typedef struct bct_placement_opts {
	uint32_t max_orders; /* per round, because the weight store is rate-limited */
} bct_placement_opts_t;

/* One order: bring the engine into its complete configured state. */
typedef struct bct_placement_order {
	const bct_upstream_conf_t *upstream; /* with the models to load */
	bool drain;
} bct_placement_order_t;

/* bct_placement_differs(3): whether an engine is not in its configured state. */
bool bct_placement_differs(const bct_upstream_conf_t *u, const bct_placement_state_t *p);

/*
 * bct_placement_plan(3): plan the orders of one round.
 *
 * An engine has to wait for a later round if it would unload a model that no other engine serves,
 * or if its failure domain already has an order in this round.
 *
 * states   of n engines
 * out      room for opts->max_orders orders
 * returns  number of orders
 */
uint32_t bct_placement_plan(const bct_placement_opts_t *opts, const bct_conf_t *conf,
			    const bct_placement_state_t *states, uint32_t n,
			    bct_placement_order_t *out);

#endif
