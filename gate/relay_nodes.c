/*
 * relay_nodes.c - the other nodes as helpers: which there are, which said that they reach no
 * upstream themselves, and which is taken.
 */
#include "gate/relay_int.h"
#include "base/err.h"
#include "base/hash.h"
#include "base/mem.h"
#include "policy/gate_helpers.h"

#include <stdio.h>
#include <string.h>

#define CUT_TOLD_MS 500	 /* between two announcements of this node that it is cut off */
#define CUT_HELD_MS 1600 /* for which one counts */

/* Another node said that it reaches no upstream of a service. */
typedef struct cut {
	uint64_t key; /* of node and service */
	bct_time_t until;
} cut_t;

struct bct_relay {
	bct_share_topic_t topic;
	bct_gate_t *gate;
	bct_map_t helpers; /* incarnation: bct_relay_helper_t */
	bct_map_t cuts;	   /* node and service: cut_t */
	share_cut told[SHARE_CUTS_MAX];
};

static uint64_t cut_key(uint64_t incarnation, uint64_t service_key)
{
	return bct_hash_mix(incarnation, service_key);
}

static bool is_told_cut(const bct_relay_t *r, uint64_t incarnation, uint64_t service_key)
{
	const cut_t *c = bct_map_get(&r->cuts, cut_key(incarnation, service_key));

	return c && bct_clock_now() < c->until;
}

/* Keeps that a node is cut off. returns whether that is news */
static bool hold_cut(bct_relay_t *r, bct_time_t now, const share_cut *x)
{
	uint64_t key = cut_key(x->node, x->service);
	cut_t *c = bct_map_get(&r->cuts, key);
	bool news = !c || c->until - now < CUT_HELD_MS - CUT_TOLD_MS / 2;

	if (!c) {
		c = bct_alloc(sizeof(*c));
		if (!c || bct_map_put(&r->cuts, key, c)) {
			BCT_GATE_COUNT(r->gate, SHARES_DROPPED);
			bct_free(c);
			return false;
		}
		c->key = key;
	}
	c->until = now + CUT_HELD_MS;
	return news;
}

/* Lists the services of which this node reaches no upstream. */
static bool encode_cuts(bct_share_topic_t *t, bct_time_t now, bool all, uint32_t *pos,
			share_update *update)
{
	bct_relay_t *r = (bct_relay_t *)t;
	u_int n = 0;
	uint32_t at = 0;
	bct_gate_reach_t *reach;

	(void)now;
	(void)all;
	if ((*pos)++)
		return false;
	while ((reach = bct_map_next(&r->gate->reaches.services, &at)) && n < SHARE_CUTS_MAX) {
		if (reach->cut)
			r->told[n++] = (share_cut){ .node = bct_peer_incarnation(r->gate->peer),
						    .service = reach->service_key };
	}
	update->cuts.cuts_val = r->told;
	update->cuts.cuts_len = n;
	return n > 0;
}

static bool apply_cuts(bct_share_topic_t *t, bct_time_t now, const share_update *update,
		       share_update *news)
{
	bct_relay_t *r = (bct_relay_t *)t;
	u_int n = 0;

	for (u_int i = 0; i < update->cuts.cuts_len; i++) {
		if (hold_cut(r, now, &update->cuts.cuts_val[i]))
			r->told[n++] = update->cuts.cuts_val[i];
	}
	news->cuts.cuts_val = r->told;
	news->cuts.cuts_len = n;
	return n > 0;
}

static const bct_share_topic_ops_t topic_ops = { .encode = encode_cuts, .apply = apply_cuts };

static bct_relay_helper_t *add_helper(bct_relay_t *r, const bct_share_node_t *n)
{
	bct_relay_helper_t *h = bct_alloc(sizeof(*h));

	if (!h || bct_map_put(&r->helpers, n->incarnation, h)) {
		bct_free(h);
		return NULL;
	}
	h->incarnation = n->incarnation;
	h->node.is_node = true;
	h->node.key = n->incarnation;
	h->node.presence = BCT_GATE_READY;
	bct_list_init(&h->node.link);
	snprintf(h->node.entry.id, sizeof(h->node.entry.id), "%s", n->name);
	snprintf(h->node.entry.ip, sizeof(h->node.entry.ip), "%s", n->ip);
	h->node.entry.port = (uint16_t)r->gate->settings->gate_relay_port;
	return h;
}

/* Lists the other nodes as candidates. returns their number */
static uint32_t candidates(bct_relay_t *r, uint64_t service_key, bct_relay_helper_t **helpers,
			   bct_gate_helper_t *out)
{
	bct_time_t now = bct_clock_now();
	bct_share_node_t node;
	uint32_t n = 0;

	while (n < BCT_SHARE_NODES_MAX && bct_share_node(r->gate->share, n, &node)) {
		bct_relay_helper_t *h = bct_map_get(&r->helpers, node.incarnation);

		helpers[n] = h ? h : add_helper(r, &node);
		h = helpers[n];
		out[n++] = (bct_gate_helper_t){
			.usable = h && !node.leaving && now >= h->failed_until &&
				  !is_told_cut(r, node.incarnation, service_key),
			.same_domain =
				!strcmp(node.failure_domain, r->gate->settings->vm_failure_domain),
			.running = h ? h->node.running : 0,
		};
	}
	return n;
}

bct_relay_helper_t *bct_relay_choose(bct_relay_t *r, uint64_t service_key)
{
	bct_relay_helper_t *helpers[BCT_SHARE_NODES_MAX];
	bct_gate_helper_t list[BCT_SHARE_NODES_MAX];
	uint32_t n = candidates(r, service_key, helpers, list);
	int i = bct_gate_helpers_choose(&r->gate->picker.rng, list, n);

	return i < 0 ? NULL : helpers[i];
}

bct_relay_helper_t *bct_relay_choose_owner(bct_relay_t *r, const bct_gate_upstream_t *u)
{
	uint64_t live[BCT_SHARE_NODES_MAX];
	bct_gate_limit_nodes_t nodes = bct_share_live_nodes(r->gate->share, live);
	bct_time_t now = bct_clock_now();
	bct_share_node_t node;
	bct_relay_helper_t *drawn = NULL;
	uint32_t n = 0;

	for (uint32_t i = 0; bct_share_node(r->gate->share, i, &node); i++) {
		bct_relay_helper_t *h;

		if (node.leaving || !bct_gate_brittle_owns(&u->brittle, u->key, u->entry.slots,
							   &nodes, node.incarnation))
			continue;
		h = bct_map_get(&r->helpers, node.incarnation);
		h = h ? h : add_helper(r, &node);
		if (h && now >= h->failed_until && !bct_rng_below(&r->gate->picker.rng, ++n))
			drawn = h;
	}
	return drawn;
}

/* Marks the helpers that are live. */
static void mark_live(bct_relay_t *r)
{
	bct_share_node_t node;
	uint32_t pos = 0;
	bct_relay_helper_t *h;

	while ((h = bct_map_next(&r->helpers, &pos)) != NULL)
		h->live = false;
	for (uint32_t i = 0; bct_share_node(r->gate->share, i, &node); i++) {
		h = bct_map_get(&r->helpers, node.incarnation);
		if (h)
			h->live = true;
	}
}

static void free_helper(bct_relay_t *r, bct_relay_helper_t *h)
{
	bct_upconns_expire(r->gate, &h->node, true);
	bct_map_del(&r->helpers, h->incarnation);
	bct_free(h->node.connections);
	bct_free(h);
}

/* Frees one helper that is gone and that nothing refers to. returns whether there was one */
static bool free_one(bct_relay_t *r)
{
	uint32_t pos = 0;
	bct_relay_helper_t *h;

	while ((h = bct_map_next(&r->helpers, &pos)) != NULL) {
		bct_upconns_expire(r->gate, &h->node, !h->live);
		if (h->live || h->node.refs)
			continue;
		free_helper(r, h);
		return true;
	}
	return false;
}

static bool drop_one_cut(bct_relay_t *r, bct_time_t now)
{
	uint32_t pos = 0;
	cut_t *c;

	while ((c = bct_map_next(&r->cuts, &pos)) != NULL) {
		if (now < c->until)
			continue;
		bct_map_del(&r->cuts, c->key);
		bct_free(c);
		return true;
	}
	return false;
}

void bct_relay_tick(bct_relay_t *r)
{
	bct_time_t now = bct_clock_now();

	if (r->helpers.n) {
		mark_live(r);
		while (free_one(r))
			;
	}
	while (drop_one_cut(r, now))
		;
}

int bct_relay_new(bct_gate_t *g, bct_relay_t **out)
{
	bct_share_topic_opts_t o = { .interval_ms = CUT_TOLD_MS, .relayed = true };
	bct_relay_t *r = bct_alloc(sizeof(*r));

	if (!r)
		return -BCT_ENOMEM;
	r->gate = g;
	r->topic.ops = &topic_ops;
	bct_share_register(g->share, &r->topic, &o);
	*out = r;
	return 0;
}

void bct_relay_free(bct_relay_t *r)
{
	uint32_t pos = 0;
	void *p;

	if (!r)
		return;
	while ((p = bct_map_next(&r->helpers, &pos)) != NULL) {
		free_helper(r, p);
		pos = 0;
	}
	pos = 0;
	while ((p = bct_map_next(&r->cuts, &pos)) != NULL)
		bct_free(p);
	bct_map_free(&r->helpers);
	bct_map_free(&r->cuts);
	bct_free(r);
}
