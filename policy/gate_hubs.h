/*
 * gate_hubs.h - which node sends its load to which others in a fleet too large for every node to
 * send to every other. Pure: no I/O and no clock.
 *
 * About the square root of the nodes are hubs. Every node reports its load to one hub; each hub
 * sends the other hubs the sum of the reports it received, and sends each of its nodes the sum of
 * all other nodes. So an update takes three steps to reach every node; per round a node sends one
 * message, and a hub as many as it has nodes and other hubs. The choice depends on the set of live
 * nodes only, and a node that joins or leaves moves few others to another hub.
 *
 * The membership takes seconds to declare a node dead. Hubs therefore watch each other, and each
 * node its hub: one that falls silent is passed over at once, until it is heard again. Its nodes
 * turn to the hub that scores next for them, which has noticed the silence at about the same time.
 */
#ifndef BCT_POLICY_GATE_HUBS_H
#define BCT_POLICY_GATE_HUBS_H

#include "base/clock.h"
#include "policy/gate_peers.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_GATE_HUBS_MAX 32

/* Whose load a message carries. The values are on the wire. */
typedef enum bct_gate_view {
	BCT_GATE_VIEW_LOCAL = 0, /* of the sender */
	BCT_GATE_VIEW_CLUSTER,	 /* of a hub and the nodes that report to it; sent to other hubs */
	BCT_GATE_VIEW_REST,	 /* of all nodes but the receiver; sent by its hub */
} bct_gate_view_t;

typedef struct bct_gate_hubs {
	uint64_t hubs[BCT_GATE_HUBS_MAX];
	bct_time_t heard_at[BCT_GATE_HUBS_MAX]; /* last message, or when it became a hub */
	bool silent[BCT_GATE_HUBS_MAX];		/* passed over */
	uint32_t n;
	uint64_t self;
	uint64_t local_hub; /* hub of this node; this node itself if it is a hub */
} bct_gate_hubs_t;

/*
 * bct_gate_hubs_choose(3): chooses the hubs for a set of live nodes. Hubs that were chosen before
 * stay silent or heard.
 *
 * nodes  all n live nodes, including this one
 * self   this node
 */
void bct_gate_hubs_choose(bct_gate_hubs_t *h, bct_time_t now, const uint64_t *nodes, uint32_t n,
			  uint64_t self);

/* bct_gate_hubs_heard(3): a message of a node arrived, which may be a hub. */
void bct_gate_hubs_heard(bct_gate_hubs_t *h, bct_time_t now, uint64_t from);

/*
 * bct_gate_hubs_watch(3): passes over hubs that have been silent for limit_ms: at a hub all other
 * hubs, elsewhere the hub of this node. To be called in each round.
 *
 * returns  whether a hub is newly passed over
 */
bool bct_gate_hubs_watch(bct_gate_hubs_t *h, bct_time_t now, uint32_t limit_ms);

/* bct_gate_hubs_resumed(3): this process was suspended; no hub counts as silent for that. */
void bct_gate_hubs_resumed(bct_gate_hubs_t *h, bct_time_t now);

/* bct_gate_hubs_hears(3): whether the hub of this node was heard within limit_ms. */
bool bct_gate_hubs_hears(const bct_gate_hubs_t *h, bct_time_t now, uint32_t limit_ms);

/* bct_gate_hubs_of(3): returns the hub of any node, not a silent one; of a hub, that hub itself. */
uint64_t bct_gate_hubs_of(const bct_gate_hubs_t *h, uint64_t node);

/* bct_gate_hubs_has(3): returns whether a node is a hub. */
bool bct_gate_hubs_has(const bct_gate_hubs_t *h, uint64_t node);

/*
 * bct_gate_hubs_accepts(3): returns whether a node should count the load in a message. Sender and
 * receiver may temporarily disagree about the live nodes; no load may be counted twice.
 *
 * self  the receiver
 * from  the sender
 */
bool bct_gate_hubs_accepts(const bct_gate_hubs_t *h, uint64_t self, bct_gate_view_t view,
			   uint64_t from);

/*
 * bct_gate_hubs_age_ms(3): returns the age of the registry's data to state in a message.
 *
 * local_ms     time since the registry last answered the sender
 * received_ms  time since it last answered the sender or any node the sender received from. Stated
 *              only to the nodes of a hub: between hubs it would come back as if it were new, and
 *              never grow old.
 */
bct_time_t bct_gate_hubs_age_ms(bct_gate_view_t view, bct_time_t local_ms, bct_time_t received_ms);

/*
 * bct_gate_hubs_excluded(3): computes what to subtract from a hub's sum of reports for a view: the
 * receiver's own report, or those of the other hubs.
 *
 * receiver  of BCT_GATE_VIEW_REST; unused in the other views
 * sum       set to BCT_GATE_PEER_VALUES sums; all 0 for BCT_GATE_VIEW_LOCAL
 */
void bct_gate_hubs_excluded(const bct_gate_hubs_t *h, const bct_gate_peers_t *reports,
			    bct_gate_view_t view, uint64_t receiver, uint64_t subject,
			    int64_t *sum);

#endif
