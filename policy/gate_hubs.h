/*
 * gate_hubs.h - who tells whom of its load in a fleet that is too large for all to tell all. Pure.
 *
 * About the square root of the nodes are hubs. Every node tells one hub of its load; hubs tell each
 * other the sum of what they heard, and tell each node the sum of all others. So news need three
 * steps, a node sends one message in a round, and a hub as many as it has nodes and other hubs.
 * The choice follows from the live nodes alone, and a node that comes or goes moves few others.
 */
#ifndef BCT_POLICY_GATE_HUBS_H
#define BCT_POLICY_GATE_HUBS_H

#include "base/clock.h"
#include "policy/gate_peers.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_GATE_HUBS_MAX 32

/* Whose load a message tells. */
typedef enum bct_gate_view {
	BCT_GATE_VIEW_LOCAL = 0, /* the sender's */
	BCT_GATE_VIEW_CLUSTER,	 /* of a hub and the nodes that report to it, to the other hubs */
	BCT_GATE_VIEW_REST,	 /* of all nodes but the receiver, from its hub */
} bct_gate_view_t;

typedef struct bct_gate_hubs {
	uint64_t hubs[BCT_GATE_HUBS_MAX];
	uint32_t n;
	uint64_t local_hub; /* the hub of this node, or this node itself */
} bct_gate_hubs_t;

/*
 * bct_gate_hubs_choose(3): choose anew.
 *
 * nodes  all n live nodes with this one
 * self   this node
 */
void bct_gate_hubs_choose(bct_gate_hubs_t *h, const uint64_t *nodes, uint32_t n, uint64_t self);

/* bct_gate_hubs_of(3): the hub of any node. */
uint64_t bct_gate_hubs_of(const bct_gate_hubs_t *h, uint64_t node);

/* bct_gate_hubs_has(3): whether a node is a hub. */
bool bct_gate_hubs_has(const bct_gate_hubs_t *h, uint64_t node);

/*
 * bct_gate_hubs_accepts(3): whether a node is to count what another tells. The two may see other
 * live nodes for a while, and nothing may be counted twice.
 */
bool bct_gate_hubs_accepts(const bct_gate_hubs_t *h, uint64_t self, bct_gate_view_t view,
			   uint64_t from);

/*
 * bct_gate_hubs_age_ms(3): the age of the registry's news that a message states.
 *
 * own_ms    since the registry last answered the sender
 * heard_ms  since it last answered the sender or a node that the sender heard. Told to the nodes of
 *           a hub only: between hubs it would come back as if it were new, and never grow old.
 */
bct_time_t bct_gate_hubs_age_ms(bct_gate_view_t view, bct_time_t own_ms, bct_time_t heard_ms);

/*
 * bct_gate_hubs_excluded(3): the part of a hub's sum of reports that a view leaves out.
 *
 * receiver  of BCT_GATE_VIEW_REST
 * sum       BCT_GATE_PEER_VALUES sums
 */
void bct_gate_hubs_excluded(const bct_gate_hubs_t *h, const bct_gate_peers_t *reports,
			    bct_gate_view_t view, uint64_t receiver, uint64_t subject,
			    int64_t *sum);

#endif
