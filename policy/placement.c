/*
 * placement.c - compares configured and reported states of the engines.
 */
#include "policy/placement.h"

static bool has_model(const bct_placement_state_t *p, uint64_t model_key)
{
	for (uint32_t i = 0; i < p->n_models; i++) {
		if (p->model_keys[i] == model_key)
			return true;
	}
	return false;
}

bool bct_placement_differs(const bct_upstream_conf_t *u, const bct_placement_state_t *p)
{
	if (u->leaving != p->drains || u->n_models != p->n_models)
		return true;
	for (uint32_t i = 0; i < u->n_models; i++) {
		if (!has_model(p, u->model_keys[i]))
			return true;
	}
	return false;
}

/* Number of other engines that are known to serve a model. */
static uint32_t count_others_with(const bct_placement_state_t *states, uint32_t n,
				  uint64_t upstream_key, uint64_t model_key)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < n; i++) {
		const bct_placement_state_t *p = &states[i];

		if (p->upstream_key != upstream_key && p->known && !p->drains &&
		    has_model(p, model_key))
			count++;
	}
	return count;
}

static bool is_configured(const bct_upstream_conf_t *u, uint64_t model_key)
{
	for (uint32_t i = 0; i < u->n_models; i++) {
		if (u->model_keys[i] == model_key)
			return true;
	}
	return false;
}

/*
 * Whether the engine may get an order now. Every model that it would stop serving must be served by
 * another engine, unless the configuration no longer has the model.
 */
static bool may_reconfigure(const bct_conf_t *conf, const bct_upstream_conf_t *u,
			    const bct_placement_state_t *p, const bct_placement_state_t *states,
			    uint32_t n)
{
	for (uint32_t i = 0; i < p->n_models; i++) {
		uint64_t key = p->model_keys[i];

		if ((is_configured(u, key) && !u->leaving) || !bct_conf_model(conf, key))
			continue;
		if (!count_others_with(states, n, u->key, key))
			return false;
	}
	return true;
}

static bool domain_has_order(const bct_placement_order_t *orders, uint32_t n, uint64_t domain_key)
{
	for (uint32_t i = 0; i < n; i++) {
		if (orders[i].upstream->failure_domain_key == domain_key)
			return true;
	}
	return false;
}

uint32_t bct_placement_plan(const bct_placement_opts_t *opts, const bct_conf_t *conf,
			    const bct_placement_state_t *states, uint32_t n,
			    bct_placement_order_t *out)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < n && count < opts->max_orders; i++) {
		const bct_placement_state_t *p = &states[i];
		const bct_upstream_conf_t *u = bct_conf_upstream(conf, p->upstream_key);

		if (!p->known || !u || !bct_placement_differs(u, p))
			continue;
		if (domain_has_order(out, count, u->failure_domain_key))
			continue;
		if (!may_reconfigure(conf, u, p, states, n))
			continue;
		out[count++] = (bct_placement_order_t){ .upstream = u, .drain = u->leaving };
	}
	return count;
}
