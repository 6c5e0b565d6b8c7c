/*
 * gate_peers.c - one report for each pair of peer and upstream; sums are kept at the upstreams.
 */
#include "policy/gate_peers.h"
#include "base/hash.h"
#include "base/mem.h"

#include <string.h>

typedef struct report {
	bct_list_t link;
	uint64_t key;
	uint64_t upstream_key;
	uint32_t running;
	uint32_t prefill_ms;
	bct_time_t at;
} report_t;

void bct_gate_peers_init(bct_gate_peers_t *p, uint32_t keep_ms)
{
	memset(p, 0, sizeof(*p));
	bct_list_init(&p->by_age);
	p->keep_ms = keep_ms;
}

static void forget(bct_gate_peers_t *p, report_t *r)
{
	bct_map_del(&p->reports, r->key);
	bct_list_del(&r->link);
	bct_free(r);
}

void bct_gate_peers_free(bct_gate_peers_t *p)
{
	while (!bct_list_empty(&p->by_age))
		forget(p, bct_container_of(p->by_age.next, report_t, link));
	bct_map_free(&p->reports);
}

/* Replaces what a report adds to the sums at its upstream. */
static void replace(bct_gate_upstream_t *u, report_t *r, uint32_t running, uint32_t prefill_ms)
{
	if (u) {
		u->peer_running += running - r->running;
		u->peer_prefill_ms += prefill_ms - r->prefill_ms;
	}
	r->running = running;
	r->prefill_ms = prefill_ms;
}

static report_t *find_or_make(bct_gate_peers_t *p, const bct_gate_peer_load_t *l)
{
	uint64_t key = bct_hash_mix(l->peer, l->upstream_key);
	report_t *r = bct_map_get(&p->reports, key);

	if (r) {
		bct_list_del(&r->link);
		return r;
	}
	r = bct_alloc(sizeof(*r));
	if (!r)
		return NULL;
	r->key = key;
	r->upstream_key = l->upstream_key;
	bct_list_init(&r->link);
	if (bct_map_put(&p->reports, key, r)) {
		bct_free(r);
		return NULL;
	}
	return r;
}

void bct_gate_peers_load(bct_gate_peers_t *p, bct_time_t now, bct_gate_upstreams_t *t,
			 const bct_gate_peer_load_t *l)
{
	bct_gate_upstream_t *u = bct_map_get(&t->by_id, l->upstream_key);
	report_t *r;

	if (!u)
		return;
	r = find_or_make(p, l);
	if (!r)
		return;
	r->at = now;
	bct_list_add_tail(&r->link, &p->by_age);
	replace(u, r, l->running, l->prefill_ms);
}

void bct_gate_peers_sweep(bct_gate_peers_t *p, bct_time_t now, bct_gate_upstreams_t *t)
{
	while (!bct_list_empty(&p->by_age)) {
		report_t *r = bct_container_of(p->by_age.next, report_t, link);

		if (now - r->at < (bct_time_t)p->keep_ms)
			return;
		replace(bct_map_get(&t->by_id, r->upstream_key), r, 0, 0);
		forget(p, r);
	}
}
