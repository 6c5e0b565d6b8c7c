/*
 * gate_hubs.c - hubs are the nodes with the highest rendezvous scores; each other node reports to
 * the hub that scores highest for it.
 */
#include "policy/gate_hubs.h"
#include "policy/rendezvous.h"

#include <string.h>

#define HUB_KEY 0x68756273ULL /* arbitrary, but the same on all nodes */

/* The square root of the number of nodes, rounded up, at most BCT_GATE_HUBS_MAX. */
static uint32_t hub_count(uint32_t nodes)
{
	uint32_t n = 1;

	while (n < BCT_GATE_HUBS_MAX && n * n < nodes)
		n++;
	return n;
}

/* Inserts a node in descending order of scores if it is among the n highest so far. */
static void insert(bct_gate_hubs_t *h, uint32_t n, uint64_t node)
{
	uint64_t score = bct_rendezvous_score(HUB_KEY, node);
	uint32_t at = h->n;

	while (at && bct_rendezvous_score(HUB_KEY, h->hubs[at - 1]) < score)
		at--;
	if (at == n)
		return;
	if (h->n < n)
		h->n++;
	memmove(&h->hubs[at + 1], &h->hubs[at], (h->n - 1 - at) * sizeof(h->hubs[0]));
	h->hubs[at] = node;
}

bool bct_gate_hubs_has(const bct_gate_hubs_t *h, uint64_t node)
{
	for (uint32_t i = 0; i < h->n; i++) {
		if (h->hubs[i] == node)
			return true;
	}
	return false;
}

uint64_t bct_gate_hubs_of(const bct_gate_hubs_t *h, uint64_t node)
{
	return bct_gate_hubs_has(h, node) ? node : bct_rendezvous_pick(node, h->hubs, h->n, 0);
}

void bct_gate_hubs_choose(bct_gate_hubs_t *h, const uint64_t *nodes, uint32_t n, uint64_t self)
{
	uint32_t n_hubs = hub_count(n);

	memset(h, 0, sizeof(*h));
	for (uint32_t i = 0; i < n; i++)
		insert(h, n_hubs, nodes[i]);
	h->local_hub = bct_gate_hubs_of(h, self);
}

bool bct_gate_hubs_accepts(const bct_gate_hubs_t *h, uint64_t self, bct_gate_view_t view,
			   uint64_t from)
{
	if (h->local_hub != self)
		return view == BCT_GATE_VIEW_REST && from == h->local_hub;
	if (view == BCT_GATE_VIEW_CLUSTER)
		return bct_gate_hubs_has(h, from);
	return view == BCT_GATE_VIEW_LOCAL;
}

bct_time_t bct_gate_hubs_age_ms(bct_gate_view_t view, bct_time_t local_ms, bct_time_t received_ms)
{
	return view == BCT_GATE_VIEW_REST ? received_ms : local_ms;
}

static void add_report(const bct_gate_peers_t *reports, uint64_t peer, uint64_t subject,
		       int64_t *sum)
{
	const uint32_t *v = bct_gate_peers_of(reports, peer, subject);

	for (uint32_t i = 0; v && i < BCT_GATE_PEER_VALUES; i++)
		sum[i] += v[i];
}

void bct_gate_hubs_excluded(const bct_gate_hubs_t *h, const bct_gate_peers_t *reports,
			    bct_gate_view_t view, uint64_t receiver, uint64_t subject, int64_t *sum)
{
	memset(sum, 0, sizeof(*sum) * BCT_GATE_PEER_VALUES);
	if (view == BCT_GATE_VIEW_REST)
		add_report(reports, receiver, subject, sum);
	for (uint32_t i = 0; view == BCT_GATE_VIEW_CLUSTER && i < h->n; i++)
		add_report(reports, h->hubs[i], subject, sum);
}
