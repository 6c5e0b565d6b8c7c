/*
 * gate_helpers.c - two random choices among the usable nodes.
 */
#include "policy/gate_helpers.h"
#include "base/err.h"

/* The at-th usable node. */
static uint32_t nth_usable(const bct_gate_helper_t *h, uint32_t at)
{
	uint32_t i = 0;

	for (;; i++) {
		if (h[i].usable && !at--)
			return i;
	}
}

static uint32_t cost(const bct_gate_helper_t *h)
{
	return h->running + (h->same_domain ? 0 : BCT_GATE_HELPERS_DOMAIN_REQUESTS);
}

int bct_gate_helpers_choose(bct_rng_t *rng, const bct_gate_helper_t *h, uint32_t n)
{
	uint32_t usable = 0, a, b;

	for (uint32_t i = 0; i < n; i++)
		usable += h[i].usable;
	if (!usable)
		return -BCT_ENOT_FOUND;
	a = nth_usable(h, bct_rng_below(rng, usable));
	b = nth_usable(h, bct_rng_below(rng, usable));
	return (int)(cost(&h[b]) < cost(&h[a]) ? b : a);
}
