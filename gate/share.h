/*
 * share.h - exchanges load with the other gateways: sends what this node has placed on upstreams
 * and receives what they have placed.
 *
 * In a small fleet each node sends one datagram to every other live node per round; in a large one,
 * load is aggregated by hubs (gate_hubs.h). The interval between rounds grows with the number of
 * datagrams, so that a node's traffic is bounded. A lost datagram is replaced by the next one.
 */
#ifndef BCT_GATE_SHARE_H
#define BCT_GATE_SHARE_H

#include "gate/gate_int.h"

/* bct_share_new(3): open the socket. returns 0, -BCT_EINVAL, -BCT_EIO or -BCT_ENOMEM. */
int bct_share_new(bct_gate_t *g, bct_share_t **out);
void bct_share_free(bct_share_t *s);

/* A prompt segment shared by several requests that was sent to an upstream. */
typedef struct bct_share_placement {
	uint64_t segment;
	uint64_t upstream_key;
	uint32_t ready_ms; /* until the upstream has prefilled it */
	bool was_cached;   /* the upstream held it already */
} bct_share_placement_t;

/* bct_share_add_placement(3): send a placement to the other nodes with the next round. */
void bct_share_add_placement(bct_share_t *s, const bct_share_placement_t *p);

/*
 * bct_share_add_crash(3): send to the other nodes, with the next rounds, that this run of
 * an upstream crashed under the request with this digest or, if run is BCT_CRASH_ANSWERED, that the
 * request was answered successfully.
 */
void bct_share_add_crash(bct_share_t *s, uint64_t digest, uint32_t run);

/*
 * bct_share_add_part_crash(3), bct_share_add_survivor(3): send evidence on parts of prompts to the
 * other nodes, with the next rounds; see policy/gate_part_judge.h.
 */
void bct_share_add_part_crash(bct_share_t *s, const bct_gate_part_crash_t *c);
void bct_share_add_survivor(bct_share_t *s, uint64_t part, bct_time_t began_at);

/* bct_share_send_verdict(3): send a verdict on a part of prompts to all nodes at once. */
void bct_share_send_verdict(bct_share_t *s, const bct_gate_part_verdict_t *v);

/* bct_share_notice_changed(3): send to all nodes what an upstream has just stated to this one. */
void bct_share_notice_changed(bct_share_t *s, const bct_gate_upstream_t *u);

#define BCT_SHARE_NODES_MAX 513 /* nodes of a fleet that are known, including this one */

/*
 * bct_share_live_nodes(3): the live nodes that are not leaving, and this one.
 *
 * s     NULL: only this node
 * live  receives up to BCT_SHARE_NODES_MAX incarnations; the result refers to it
 */
bct_gate_limit_nodes_t bct_share_live_nodes(const bct_share_t *s, uint64_t *live);

/*
 * bct_share_is_responsible(3): whether this node is the one of the live nodes that acts on a key.
 * All nodes that see the same members agree on it. s may be NULL.
 */
bool bct_share_is_responsible(const bct_share_t *s, uint64_t key);

/* bct_share_interval_ms(3): time between two rounds; s may be NULL. */
uint32_t bct_share_interval_ms(const bct_share_t *s);
/*
 * bct_share_versions_interval_ms(3): longest time between two messages in which a node receives the
 * versions of a reader of the registry; s may be NULL.
 */
uint32_t bct_share_versions_interval_ms(const bct_share_t *s);

/*
 * bct_share_upstream_change(3): send the state of an upstream, as this node learned it from the
 * registry, to all nodes.
 */
void bct_share_upstream_change(bct_share_t *s, const bct_gate_upstream_t *u);

#endif
