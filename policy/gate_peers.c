/*
 * gate_peers.c - one report for each pair of peer and subject; sums change by differences.
 */
#include "policy/gate_peers.h"
#include "base/hash.h"
#include "base/mem.h"

#include <string.h>

typedef struct kept {
	bct_list_t link;
	uint64_t key;
	bct_gate_peer_report_t report;
	bct_time_t at;
} kept_t;

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

static void forget(bct_gate_peers_t *p, kept_t *k)
{
	bct_map_del(&p->reports, k->key);
	bct_list_del(&k->link);
	bct_free(k);
}

void bct_gate_peers_free(bct_gate_peers_t *p)
{
	while (p->by_age.next && !bct_list_empty(&p->by_age))
		forget(p, bct_container_of(p->by_age.next, kept_t, link));
	bct_map_free(&p->reports);
}

/* Replaces what a report adds to the sums of its subject. */
static void replace(bct_gate_peers_t *p, kept_t *k, const uint32_t *v)
{
	uint32_t difference[BCT_GATE_PEER_VALUES];

	for (uint32_t i = 0; i < BCT_GATE_PEER_VALUES; i++) {
		difference[i] = v[i] - k->report.v[i];
		k->report.v[i] = v[i];
	}
	p->add(p->ctx, k->report.subject, difference);
}

static kept_t *find_or_make(bct_gate_peers_t *p, const bct_gate_peer_report_t *r)
{
	uint64_t key = bct_hash_mix(r->peer, r->subject);
	kept_t *k = bct_map_get(&p->reports, key);

	if (k) {
		bct_list_del(&k->link);
		return k;
	}
	k = bct_alloc(sizeof(*k));
	if (!k)
		return NULL;
	k->key = key;
	k->report.peer = r->peer;
	k->report.subject = r->subject;
	bct_list_init(&k->link);
	if (bct_map_put(&p->reports, key, k)) {
		bct_free(k);
		return NULL;
	}
	return k;
}

void bct_gate_peers_report(bct_gate_peers_t *p, bct_time_t now, const bct_gate_peer_report_t *r)
{
	kept_t *k = find_or_make(p, r);

	if (!k)
		return;
	k->at = now;
	bct_list_add_tail(&k->link, &p->by_age);
	replace(p, k, r->v);
}

const uint32_t *bct_gate_peers_of(const bct_gate_peers_t *p, uint64_t peer, uint64_t subject)
{
	const kept_t *k = bct_map_get(&p->reports, bct_hash_mix(peer, subject));

	return k ? k->report.v : NULL;
}

void bct_gate_peers_sweep(bct_gate_peers_t *p, bct_time_t now)
{
	static const uint32_t nothing[BCT_GATE_PEER_VALUES];

	while (!bct_list_empty(&p->by_age)) {
		kept_t *k = bct_container_of(p->by_age.next, kept_t, link);

		if (now - k->at < (bct_time_t)p->keep_ms)
			return;
		replace(p, k, nothing);
		forget(p, k);
	}
}
