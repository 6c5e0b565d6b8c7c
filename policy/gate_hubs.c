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

/* Index of a hub, or h->n. */
static uint32_t index_of(const bct_gate_hubs_t *h, uint64_t node)
{
	uint32_t i = 0;

	while (i < h->n && h->hubs[i] != node)
		i++;
	return i;
}

bool bct_gate_hubs_has(const bct_gate_hubs_t *h, uint64_t node)
{
	return index_of(h, node) < h->n;
}

uint64_t bct_gate_hubs_of(const bct_gate_hubs_t *h, uint64_t node)
{
	uint64_t heard[BCT_GATE_HUBS_MAX];
	uint32_t n = 0;

	if (bct_gate_hubs_has(h, node))
		return node;
	for (uint32_t i = 0; i < h->n; i++) {
		if (!h->silent[i])
			heard[n++] = h->hubs[i];
	}
	/* With all of them silent, this node is the one that is cut off. */
	return n ? bct_rendezvous_pick(node, heard, n, 0)
		 : bct_rendezvous_pick(node, h->hubs, h->n, 0);
}

void bct_gate_hubs_choose(bct_gate_hubs_t *h, bct_time_t now, const uint64_t *nodes, uint32_t n,
			  uint64_t self)
{
	bct_gate_hubs_t old = *h;
	uint32_t n_hubs = hub_count(n);

	memset(h, 0, sizeof(*h));
	h->self = self;
	for (uint32_t i = 0; i < n; i++)
		insert(h, n_hubs, nodes[i]);
	for (uint32_t i = 0; i < h->n; i++) {
		uint32_t before = index_of(&old, h->hubs[i]);

		h->heard_at[i] = before < old.n ? old.heard_at[before] : now;
		h->silent[i] = before < old.n && old.silent[before];
	}
	h->local_hub = bct_gate_hubs_of(h, self);
}

void bct_gate_hubs_heard(bct_gate_hubs_t *h, bct_time_t now, uint64_t from)
{
	uint32_t i = index_of(h, from);

	if (i == h->n)
		return;
	h->heard_at[i] = now;
	if (!h->silent[i])
		return;
	h->silent[i] = false;
	h->local_hub = bct_gate_hubs_of(h, h->self);
}

bool bct_gate_hubs_watch(bct_gate_hubs_t *h, bct_time_t now, uint32_t limit_ms)
{
	bool hub = h->local_hub == h->self, changed = false;

	for (uint32_t i = 0; i < h->n; i++) {
		bool watched = hub ? h->hubs[i] != h->self : h->hubs[i] == h->local_hub;

		if (!watched || h->silent[i] || now - h->heard_at[i] < (bct_time_t)limit_ms)
			continue;
		h->silent[i] = true;
		changed = true;
	}
	if (!changed)
		return false;
	h->local_hub = bct_gate_hubs_of(h, h->self);
	/* The next hub may not have been heard before, as it had nothing to say to this node. */
	for (uint32_t i = 0; i < h->n && !hub; i++) {
		if (h->hubs[i] == h->local_hub)
			h->heard_at[i] = now;
	}
	return true;
}

void bct_gate_hubs_resumed(bct_gate_hubs_t *h, bct_time_t now)
{
	for (uint32_t i = 0; i < h->n; i++)
		h->heard_at[i] = now;
}

bool bct_gate_hubs_hears(const bct_gate_hubs_t *h, bct_time_t now, uint32_t limit_ms)
{
	uint32_t i = index_of(h, h->local_hub);

	return i < h->n && now - h->heard_at[i] < (bct_time_t)limit_ms;
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
