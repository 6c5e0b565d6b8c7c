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
#include "gen/share.h"

/* bct_share_new(3): open the socket. returns 0, -BCT_EINVAL, -BCT_EIO or -BCT_ENOMEM. */
int bct_share_new(bct_gate_t *g, bct_share_t **out);
void bct_share_free(bct_share_t *s);

/*
 * A kind of news between nodes. Its own state begins with this struct. The update that a topic
 * fills in or applies has a list for it; share fills in the rest.
 */
typedef struct bct_share_topic bct_share_topic_t;

typedef struct bct_share_topic_ops {
	/*
	 * Encodes the next part of what is due in this round or, with all set, of all that a node
	 * that joins lacks; NULL: nothing is ever due. pos is 0 at first and the topic's to
	 * advance. returns whether there was a part; it is called again until there is none.
	 */
	bool (*encode)(bct_share_topic_t *t, bct_time_t now, bool all, uint32_t *pos,
		       share_update *update);
	/* Applies what a peer sent. returns whether news was filled in with what a hub is to relay.
	 */
	bool (*apply)(bct_share_topic_t *t, bct_time_t now, const share_update *update,
		      share_update *news);
} bct_share_topic_ops_t;

typedef struct bct_share_topic_opts {
	uint32_t interval_ms; /* between two rounds */
	bool relayed;	      /* in a large fleet by the hubs, else sent to each node directly */
} bct_share_topic_opts_t;

struct bct_share_topic {
	const bct_share_topic_ops_t *ops;
	bct_share_topic_opts_t opts;
	bct_share_t *share; /* NULL: not registered, so that nothing is sent */
	bct_list_t link;
	bct_time_t sent_at; /* of the last round */
};

/* bct_share_register(3): adds a topic, for as long as s lives. s may be NULL. */
void bct_share_register(bct_share_t *s, bct_share_topic_t *t, const bct_share_topic_opts_t *o);

/* bct_share_publish(3): sends an update of a topic to all nodes, now. */
void bct_share_publish(bct_share_topic_t *t, share_update *update);

/* bct_share_send_to(3): sends an update of a topic to one node, if it is live. */
void bct_share_send_to(bct_share_topic_t *t, share_update *update, uint64_t incarnation);

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
 * bct_share_add_promise(3): tell the other nodes, with the next round, that the request with this
 * digest was refused and promised room in due_ms. s may be NULL.
 */
void bct_share_add_promise(bct_share_t *s, uint64_t digest, uint32_t due_ms);

/*
 * bct_share_load_age_ms(3): time since load of other nodes was last received, in a large fleet from
 * the hub.
 *
 * s        NULL: single node
 * returns  0 without other live nodes; BCT_TIME_NEVER if none was received yet
 */
bct_time_t bct_share_load_age_ms(const bct_share_t *s, bct_time_t now);

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

#define BCT_SHARE_NODES_MAX 513 /* nodes of a fleet that are known, including this one */

/*
 * bct_share_live_nodes(3): the live nodes that are not leaving, and this one.
 *
 * s     NULL: only this node
 * live  receives up to BCT_SHARE_NODES_MAX incarnations; the result refers to it
 */
bct_gate_limit_nodes_t bct_share_live_nodes(const bct_share_t *s, uint64_t *live);

/* Another live node. */
typedef struct bct_share_node {
	uint64_t incarnation;
	const char *name;
	const char *failure_domain;
	const char *ip;
	bool leaving;
} bct_share_node_t;

/*
 * bct_share_node(3): the i-th other live node, from 0; s may be NULL.
 *
 * out      refers to s until the members change
 * returns  false if there are not so many
 */
bool bct_share_node(const bct_share_t *s, uint32_t i, bct_share_node_t *out);

/* bct_share_mac(3): the keyed hash of data, BCT_SHARE_MAC_BYTES long. */
#define BCT_SHARE_MAC_BYTES 16
void bct_share_mac(const bct_share_t *s, const uint8_t *data, size_t len, uint8_t *mac);

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
