/*
 * reach_probe.c - connects to upstreams without a request, to find out whether this node has its
 * links back.
 */
#include "gate/reach.h"

#define PROBE_TIMEOUT_MS 300

/* A random upstream of the service, or NULL. */
static bct_gate_upstream_t *draw(bct_gate_t *g, uint64_t service_key)
{
	uint32_t n = bct_reach_upstreams(g, service_key), at;
	bct_list_t *el;

	if (!n)
		return NULL;
	at = bct_rng_below(&g->picker.rng, n);
	bct_list_for_each(el, &g->upstreams.all) {
		bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);

		if (bct_gate_upstream_accepts(u, service_key) && !at--)
			return u;
	}
	return NULL;
}

static void close_overdue_probes(bct_gate_t *g)
{
	bct_time_t now = bct_clock_now();
	bct_list_t *el, *tmp;

	bct_list_for_each_safe(el, tmp, &g->probes) {
		bct_upconn_t *c = bct_container_of(el, bct_upconn_t, link);

		if (now - c->opened < PROBE_TIMEOUT_MS)
			continue;
		bct_reach_failed(g, c->upstream);
		bct_upconn_close(c);
	}
}

void bct_reach_tick(bct_gate_t *g)
{
	bct_time_t now = bct_clock_now();
	bct_list_t *el;

	close_overdue_probes(g);
	bct_list_for_each(el, &g->upstreams.all) {
		uint64_t key = bct_container_of(el, bct_gate_upstream_t, link)->service_key;
		bct_gate_reach_t *r = bct_map_get(&g->reaches.services, key);
		bct_gate_upstream_t *u;

		if (!r || !bct_gate_reach_take_probe(r, now))
			continue;
		u = draw(g, key);
		if (u)
			bct_upconn_probe(g, u);
	}
}
