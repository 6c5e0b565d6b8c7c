/*
 * reach.c - notes and logs when this node loses its links to all upstreams of a service and when it
 * has them back.
 */
#include "gate/reach.h"

uint32_t bct_reach_upstreams(const bct_gate_t *g, uint64_t service_key)
{
	bct_list_t *el;
	uint32_t n = 0;

	bct_list_for_each(el, &g->upstreams.all)
		n += bct_gate_upstream_accepts(bct_container_of(el, bct_gate_upstream_t, link),
					       service_key);
	return n;
}

void bct_reach_failed(bct_gate_t *g, const bct_gate_upstream_t *u)
{
	bct_gate_reach_t *r;
	bct_time_t now = bct_clock_now();
	uint32_t upstreams = bct_reach_upstreams(g, u->service_key);

	if (u->is_node)
		return;
	r = bct_gate_reaches_of(&g->reaches, u->service_key);
	if (!r || !bct_gate_reach_failed(r, now, u->key, upstreams))
		return;
	BCT_GATE_COUNT(g, REACH_LOST);
	BCT_LOG(g->log, BCT_EV_REACH_LOST, BCT_STR("service", u->entry.service),
		BCT_STR("upstream", u->entry.id), BCT_U64("failed", r->n_failed),
		BCT_U64("upstreams", upstreams), BCT_I64("failing_ms", now - r->failing_since),
		BCT_U64("again", r->comes_and_goes), BCT_U64("nodes", g->nodes));
}

void bct_reach_doubted(bct_gate_t *g, const bct_gate_upstream_t *u)
{
	bct_gate_reach_t *r = u->is_node ? NULL : bct_gate_reaches_of(&g->reaches, u->service_key);

	if (r)
		bct_gate_reach_doubted(r, bct_clock_now());
}

void bct_reach_ok(bct_gate_t *g, const bct_gate_upstream_t *u, bct_time_t opened)
{
	bct_gate_reach_t *r;
	bct_time_t now = bct_clock_now();

	if (u->is_node)
		return;
	r = bct_gate_reaches_of(&g->reaches, u->service_key);
	if (r && bct_gate_reach_ok(r, now, opened))
		BCT_LOG(g->log, BCT_EV_REACH_BACK, BCT_STR("service", u->entry.service),
			BCT_STR("upstream", u->entry.id), BCT_I64("lost_ms", now - r->cut_at),
			BCT_U64("again", r->comes_and_goes));
}

bool bct_reach_is_cut(const bct_gate_t *g, uint64_t service_key)
{
	const bct_gate_reach_t *r = bct_map_get(&g->reaches.services, service_key);

	return r && r->cut;
}

bool bct_reach_suspects(const bct_gate_t *g, const bct_gate_upstream_t *u)
{
	return !u->is_node &&
	       bct_gate_reaches_suspect(&g->reaches, bct_clock_now(), u->service_key);
}
