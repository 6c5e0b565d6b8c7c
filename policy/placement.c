/*
 * placement.c - compares wanted and reported states, one careful round at a time.
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

/* How many known engines, this one left out, serve a model. */
static uint32_t others_with(const bct_placement_state_t *placed, uint32_t n, uint64_t upstream_key,
			    uint64_t model_key)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < n; i++) {
		const bct_placement_state_t *p = &placed[i];

		if (p->upstream_key != upstream_key && p->known && !p->drains &&
		    has_model(p, model_key))
			count++;
	}
	return count;
}

static bool wants(const bct_upstream_conf_t *u, uint64_t model_key)
{
	for (uint32_t i = 0; i < u->n_models; i++) {
		if (u->model_keys[i] == model_key)
			return true;
	}
	return false;
}

/*
 * Whether the engine may change now: a model that it would lose must be served elsewhere, unless
 * the configuration names nobody for it any more.
 */
static bool may_change(const bct_conf_t *conf, const bct_upstream_conf_t *u,
		       const bct_placement_state_t *p, const bct_placement_state_t *placed,
		       uint32_t n)
{
	for (uint32_t i = 0; i < p->n_models; i++) {
		uint64_t key = p->model_keys[i];

		if ((wants(u, key) && !u->leaving) || !bct_conf_model(conf, key))
			continue;
		if (!others_with(placed, n, u->key, key))
			return false;
	}
	return true;
}

static bool domain_is_busy(const bct_placement_order_t *orders, uint32_t n, uint64_t domain_key)
{
	for (uint32_t i = 0; i < n; i++) {
		if (orders[i].upstream->failure_domain_key == domain_key)
			return true;
	}
	return false;
}

uint32_t bct_placement_plan(const bct_placement_opts_t *opts, const bct_conf_t *conf,
			    const bct_placement_state_t *placed, uint32_t n,
			    bct_placement_order_t *out)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < n && count < opts->max_orders; i++) {
		const bct_placement_state_t *p = &placed[i];
		const bct_upstream_conf_t *u = bct_conf_upstream(conf, p->upstream_key);

		if (!p->known || !u || !bct_placement_differs(u, p))
			continue;
		if (domain_is_busy(out, count, u->failure_domain_key))
			continue;
		if (!may_change(conf, u, p, placed, n))
			continue;
		out[count++] = (bct_placement_order_t){ .upstream = u, .drain = u->leaving };
	}
	return count;
}
