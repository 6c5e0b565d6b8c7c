/*
 * gate_peers.c - one entry per pair of peer and subject; sums change by the difference between a
 * report and the one it replaces.
 */
#include "policy/gate_peers.h"
#include "base/hash.h"
#include "base/mem.h"

#include <string.h>

typedef struct entry {
	bct_list_t link;
	uint64_t key;
	bct_gate_peer_report_t report;
	bct_time_t at; /* when the report was received */
} entry_t;

void bct_gate_peers_init(bct_gate_peers_t *p, uint32_t keep_ms,
			 void (*add)(void *ctx, uint64_t subject, const uint32_t *difference),
			 void *ctx)
{
	memset(p, 0, sizeof(*p));
	bct_list_init(&p->by_age);
	p->keep_ms = keep_ms;
	p->add = add;
	p->ctx = ctx;
}

static void drop(bct_gate_peers_t *p, entry_t *e)
{
	bct_map_del(&p->reports, e->key);
	bct_list_del(&e->link);
	bct_free(e);
}

void bct_gate_peers_free(bct_gate_peers_t *p)
{
	while (p->by_age.next && !bct_list_empty(&p->by_age))
		drop(p, bct_container_of(p->by_age.next, entry_t, link));
	bct_map_free(&p->reports);
}

/* Replaces the values of an entry and adds the difference to the sums of its subject. */
static void replace_values(bct_gate_peers_t *p, entry_t *e, const uint32_t *v)
{
	uint32_t difference[BCT_GATE_PEER_VALUES];

	for (uint32_t i = 0; i < BCT_GATE_PEER_VALUES; i++) {
		difference[i] = v[i] - e->report.v[i];
		e->report.v[i] = v[i];
	}
	p->add(p->ctx, e->report.subject, difference);
}

/* The caller links the entry at the tail of by_age. Returns NULL if memory is short. */
static entry_t *find_or_add(bct_gate_peers_t *p, const bct_gate_peer_report_t *r)
{
	uint64_t key = bct_hash_mix(r->peer, r->subject);
	entry_t *e = bct_map_get(&p->reports, key);

	if (e) {
		bct_list_del(&e->link);
		return e;
	}
	e = bct_alloc(sizeof(*e));
	if (!e)
		return NULL;
	e->key = key;
	e->report.peer = r->peer;
	e->report.subject = r->subject;
	bct_list_init(&e->link);
	if (bct_map_put(&p->reports, key, e)) {
		bct_free(e);
		return NULL;
	}
	return e;
}

void bct_gate_peers_report(bct_gate_peers_t *p, bct_time_t now, const bct_gate_peer_report_t *r)
{
	entry_t *e = find_or_add(p, r);

	if (!e)
		return;
	e->at = now;
	bct_list_add_tail(&e->link, &p->by_age);
	replace_values(p, e, r->v);
}

const uint32_t *bct_gate_peers_of(const bct_gate_peers_t *p, uint64_t peer, uint64_t subject)
{
	const entry_t *e = bct_map_get(&p->reports, bct_hash_mix(peer, subject));

	return e ? e->report.v : NULL;
}

static const uint32_t zero[BCT_GATE_PEER_VALUES];

void bct_gate_peers_forget(bct_gate_peers_t *p, uint64_t peer)
{
	bct_list_t *el, *tmp;

	bct_list_for_each_safe(el, tmp, &p->by_age) {
		entry_t *e = bct_container_of(el, entry_t, link);

		if (e->report.peer != peer)
			continue;
		replace_values(p, e, zero);
		drop(p, e);
	}
}

void bct_gate_peers_sweep(bct_gate_peers_t *p, bct_time_t now)
{

	while (!bct_list_empty(&p->by_age)) {
		entry_t *e = bct_container_of(p->by_age.next, entry_t, link);

		if (now - e->at < (bct_time_t)p->keep_ms)
			return;
		replace_values(p, e, zero);
		drop(p, e);
	}
}
