/*
 * share_hubs.c - hubs in the share protocol: their choice from the live nodes, and the watch for
 * those that fall silent.
 */
#include "base/hash.h"
#include "gate/share_int.h"

/* Upper limit of a hub: 8 Mbit/s, to stay below the 10 Mbit/s of the slowest links. */
#define HUB_DATAGRAMS_PER_S 800
#define HUB_INTERVAL_MS 50 /* shortest interval with hubs, where an update takes three hops */
#define SILENT_ROUNDS 6	   /* without a message, after which a hub is passed over */
#define SILENT_MIN_MS 300
#define DIRECT_NODES 12 /* other nodes up to which each node sends to all others */

/* Notes that the hub of this node was another one before. */
static void hub_changed(bct_share_t *s, uint64_t before, const char *why)
{
	if (s->hubs.local_hub == before || !bct_share_uses_hubs(s))
		return;
	if (!s->previous_hub)
		s->previous_hub = before;
	BCT_LOG(s->gate->log, BCT_EV_HUB_CHANGED, BCT_HEX("hub", s->hubs.local_hub),
		BCT_HEX("was", before), BCT_STR("why", why),
		BCT_U64("is_hub", s->hubs.local_hub == s->hubs.self), BCT_U64("hubs", s->hubs.n),
		BCT_U64("nodes", s->n_peers + 1));
}

bct_gate_limit_nodes_t bct_share_live_nodes(const bct_share_t *s, uint64_t *live)
{
	bct_gate_limit_nodes_t out = { .incarnations = live };

	for (uint32_t i = 0; s && i < s->n_peers; i++) {
		if (!s->peers[i].leaving)
			live[out.n++] = s->peers[i].incarnation;
	}
	if (s)
		out.self = bct_peer_incarnation(s->gate->peer);
	live[out.n++] = out.self;
	return out;
}

bool bct_share_is_responsible(const bct_share_t *s, uint64_t key)
{
	uint64_t live[BCT_SHARE_NODES_MAX], best = 0;
	bct_gate_limit_nodes_t nodes = bct_share_live_nodes(s, live);

	for (uint32_t i = 0; i < nodes.n; i++) {
		uint64_t h = bct_hash_mix(key, live[i]);

		if (h > best)
			best = h;
	}
	return bct_hash_mix(key, nodes.self) == best;
}

bool bct_share_welcomes(const bct_gate_limit_nodes_t *nodes, uint64_t joining)
{
	uint64_t best = 0;

	for (uint32_t i = 0; i < nodes->n; i++) {
		uint64_t h = bct_hash_mix(joining, nodes->incarnations[i]);

		if (nodes->incarnations[i] != joining && h > best)
			best = h;
	}
	return nodes->self != joining && bct_hash_mix(joining, nodes->self) == best;
}

/* A node that is leaving is no hub, so that its nodes change to another one before it ends. */
void bct_share_choose_hubs(bct_share_t *s)
{
	uint64_t live[BCT_SHARE_NODES_MAX], before = s->hubs.local_hub;
	bct_gate_limit_nodes_t nodes = bct_share_live_nodes(s, live);

	bct_gate_hubs_choose(&s->hubs, bct_clock_now(), live, nodes.n, nodes.self);
	hub_changed(s, before, "members");
}

bool bct_share_uses_hubs(const bct_share_t *s)
{
	return s && s->n_peers > DIRECT_NODES;
}

bool bct_share_is_hub(const bct_share_t *s)
{
	return bct_share_uses_hubs(s) && s->hubs.local_hub == bct_peer_incarnation(s->gate->peer);
}

bool bct_share_in_local_cluster(const bct_share_t *s, const bct_share_peer_t *p)
{
	return !bct_gate_hubs_has(&s->hubs, p->incarnation) &&
	       bct_gate_hubs_of(&s->hubs, p->incarnation) == bct_peer_incarnation(s->gate->peer);
}

/*
 * A hub sends to about twice as many nodes as there are hubs: the other hubs and its own cluster,
 * as about the square root of the nodes are hubs. All nodes use the same interval.
 */
uint32_t bct_share_hub_interval_ms(const bct_share_t *s)
{
	uint32_t datagrams = 2 * s->hubs.n * bct_share_load_datagrams(s);
	uint32_t ms = datagrams * BCT_MS_PER_S / HUB_DATAGRAMS_PER_S;

	return ms > HUB_INTERVAL_MS ? ms : HUB_INTERVAL_MS;
}

/* How long a hub may be silent; several rounds, as datagrams are lost and nodes are slow. */
static uint32_t hub_silence_ms(const bct_share_t *s)
{
	uint32_t ms = bct_share_hub_interval_ms(s) * SILENT_ROUNDS;

	return ms > SILENT_MIN_MS ? ms : SILENT_MIN_MS;
}

bool bct_share_hears_hub(const bct_share_t *s, bct_time_t now)
{
	return bct_share_uses_hubs(s) && !bct_share_is_hub(s) &&
	       bct_gate_hubs_hears(&s->hubs, now, hub_silence_ms(s));
}

/* Passes over hubs that fell silent. What a silent hub has reported to other hubs is dropped, as
 * its nodes report to them now. */
void bct_share_watch_hubs(bct_share_t *s, bct_time_t now)
{
	uint64_t before = s->hubs.local_hub;
	bct_time_t late_ms = now - s->round_at;

	s->round_at = now;
	if (!bct_share_uses_hubs(s))
		return;
	if (late_ms >= hub_silence_ms(s) / 2)
		bct_gate_hubs_resumed(&s->hubs, now);
	if (!bct_gate_hubs_watch(&s->hubs, now, hub_silence_ms(s)))
		return;
	hub_changed(s, before, "silent");
	for (uint32_t i = 0; i < s->hubs.n && bct_share_is_hub(s); i++) {
		if (s->hubs.silent[i])
			bct_gate_peers_forget(&s->loads, s->hubs.hubs[i]);
	}
}
