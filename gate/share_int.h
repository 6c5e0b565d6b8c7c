/*
 * share_int.h - internals shared by the files of the share protocol.
 */
#ifndef BCT_GATE_SHARE_INT_H
#define BCT_GATE_SHARE_INT_H

#include "gate/share.h"
#include "gen/share.h"
#include "policy/gate_hubs.h"
#include "policy/gate_peers.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#define BCT_SHARE_PEERS_MAX (BCT_SHARE_NODES_MAX - 1)
#define BCT_SHARE_KEY_BYTES 32	    /* key size of libsodium's generic hash */
#define BCT_SHARE_PLACEMENTS_MAX 64 /* placements sent in one round at most */

typedef struct bct_share_peer {
	uint64_t incarnation;
	char name[BCT_NAME_BYTES];
	char failure_domain[BCT_NAME_BYTES];
	char ip[INET_ADDRSTRLEN];
	struct sockaddr_in sa;
	bct_addr_t admin; /* ip_len_bytes 0: none */
	bool leaving;
	uint32_t welcomes;	/* times that this node has considered to tell it what it lacks */
	bct_time_t known_since; /* it is live and known to this node */
	uint64_t seq;		/* highest received */
} bct_share_peer_t;

typedef struct bct_share_placements {
	share_placed list[BCT_SHARE_PLACEMENTS_MAX];
	uint32_t n;
} bct_share_placements_t;

#define BCT_SHARE_PART_CRASHES_MAX 64 /* that wait to be sent */

typedef struct bct_share_part_crash {
	bct_gate_part_crash_t crash;
	uint32_t rounds; /* that have sent it */
} bct_share_part_crash_t;

typedef struct bct_share_survivor {
	uint64_t part;
	bct_time_t began_at;
} bct_share_survivor_t;

#define BCT_SHARE_PROMISE_MS 60000 /* a promise that is due later is malformed */

typedef struct bct_share_promise {
	uint64_t digest;
	bct_time_t due;
} bct_share_promise_t;

typedef struct bct_share_promises {
	bct_share_promise_t list[SHARE_PROMISES_MAX];
	uint32_t n;
} bct_share_promises_t;

struct bct_share {
	bct_gate_t *gate;
	bct_list_t topics; /* bct_share_topic_t */
	int fd;
	struct event *readable;
	struct event *timer;
	uint8_t key[BCT_SHARE_KEY_BYTES];	     /* of the MAC */
	uint64_t seq;				     /* of the last datagram sent */
	bct_share_peer_t peers[BCT_SHARE_PEERS_MAX]; /* the other live nodes */
	uint32_t n_peers;
	bct_time_t peers_refreshed_at;
	bct_time_t load_sent_at;  /* in a small fleet */
	bct_time_t load_heard_at; /* when load of other nodes was last accepted; 0: never */
	uint32_t rounds;
	bct_time_t versions_sent_at;	 /* to all nodes */
	bct_time_t hub_versions_sent_at; /* to the hubs */
	share_crash crashes[SHARE_CRASHES_MAX];
	uint32_t n_crashes;
	uint32_t crash_rounds; /* rounds that have sent the latest of them */
	bct_share_part_crash_t part_crashes[BCT_SHARE_PART_CRASHES_MAX];
	uint32_t n_part_crashes;
	bct_share_survivor_t survivors[SHARE_SURVIVORS_MAX];
	uint32_t n_survivors;
	bct_time_t blocks_considered_at; /* when this node last drew whether to announce */
	bct_gate_hubs_t hubs;
	uint64_t previous_hub;	/* whose reports count until the first one of the next; 0: none */
	bct_time_t round_at;	/* of the last round */
	bct_gate_peers_t loads; /* reports on upstreams: running, prefill_ms */
	bct_gate_peers_t lanes; /* reports on lanes: work */
	bct_share_placements_t placements;     /* of this node; at a hub also of its cluster */
	bct_share_placements_t hub_placements; /* at a hub: those that other hubs sent */
	bct_share_promises_t promises;	       /* as placements */
	bct_share_promises_t hub_promises;
};

/*
 * bct_share_send(3), bct_share_send_all(3): send one datagram to one peer, or the same one to all.
 * The sender, the sequence number and the versions are filled in.
 */
void bct_share_send(bct_share_t *s, share_update *update, const bct_share_peer_t *to);
void bct_share_send_all(bct_share_t *s, share_update *update);

/* bct_share_authentic(3): whether data ends with the MAC of what is before it. */
bool bct_share_authentic(const bct_share_t *s, const uint8_t *data, size_t len);

/* bct_share_encode_entry(3), bct_share_decode_entry(3): an upstream, on the wire. */
void bct_share_encode_entry(const bct_gate_upstream_t *u, share_entry *out);
void bct_share_decode_entry(const share_entry *x, bct_registry_change_t *out);

/*
 * bct_share_encode_software(3), bct_share_decode_software(3): the version of its software. To
 * decode, x is NULL if the peer, an older node, did not send it.
 */
void bct_share_encode_software(const bct_gate_upstream_t *u, share_software *out);
void bct_share_decode_software(const share_software *x, bct_registry_change_t *out);
/* bct_share_encode_reclaim(3), bct_share_decode_reclaim(3): the same for its reclaiming. */
void bct_share_encode_reclaim(const bct_gate_upstream_t *u, share_reclaim *out);
void bct_share_decode_reclaim(const share_reclaim *x, bct_registry_change_t *out);

/* bct_share_admin_address(3): the administration address of a live peer; false: unknown. */
bool bct_share_admin_address(const bct_share_t *s, uint64_t incarnation, bct_addr_t *out);

/* share_promise.c */
/* bct_share_send_promises(3): sends to one peer, or to all if `to` is NULL. */
void bct_share_send_promises(bct_share_t *s, bct_gate_view_t view, const bct_share_promises_t *p,
			     const bct_share_peer_t *to);
void bct_share_apply_promises(bct_share_t *s, bct_time_t now, const share_update *update);

/* share_hubs.c */
/*
 * bct_share_welcomes(3): whether this node is the one of the live nodes that tells a node that
 * joins what it lacks. The joining node is none of them.
 */
bool bct_share_welcomes(const bct_gate_limit_nodes_t *nodes, uint64_t joining);

/* bct_share_uses_hubs(3): whether the fleet is too large for each node to send to all others. */
bool bct_share_uses_hubs(const bct_share_t *s);

bool bct_share_is_hub(const bct_share_t *s);
/* bct_share_hears_hub(3): whether this node, which is no hub, receives what its hub relays. */
bool bct_share_hears_hub(const bct_share_t *s, bct_time_t now);
/* bct_share_in_local_cluster(3): whether a peer, itself no hub, reports to this node as its hub. */
bool bct_share_in_local_cluster(const bct_share_t *s, const bct_share_peer_t *p);

/* bct_share_choose_hubs(3): choose the hubs after a change of the live nodes. */
void bct_share_choose_hubs(bct_share_t *s);
/* bct_share_watch_hubs(3): pass over hubs that fell silent; called once a round. */
void bct_share_watch_hubs(bct_share_t *s, bct_time_t now);
/*
 * bct_share_hub_interval_ms(3): time between two rounds with hubs. Grows with the datagrams that a
 * hub sends in a round.
 */
uint32_t bct_share_hub_interval_ms(const bct_share_t *s);

/* share_registry.c */
#define BCT_SHARE_HUB_VERSIONS_MS 200 /* between versions that a reader sends to the hubs */

/* bct_share_fill_reads(3): state the registry's latest answers, by the view of the update. */
void bct_share_fill_reads(bct_share_t *s, share_update *update);
/* bct_share_send_versions(3): a reader of a large fleet advertises its versions, if it is time. */
void bct_share_send_versions(bct_share_t *s, bct_time_t now);
/* bct_share_apply_versions(3): apply the versions and upstream changes that a peer sent. */
void bct_share_apply_versions(bct_share_t *s, bct_time_t now, const share_update *update);

/*
 * bct_share_send_change(3): send a change to all nodes. In a large fleet the hubs relay it, as
 * sending a burst of changes to all nodes would saturate the sender's link.
 */
void bct_share_send_change(bct_share_t *s, share_update *update);
/* bct_share_send_to_local_cluster(3): at a hub, send to the nodes that report to it. */
void bct_share_send_to_local_cluster(bct_share_t *s, share_update *update);

/* share_crash.c */
/* bct_share_crash_round(3): send the crashes of late, and at times all requests refused for them.
 */
void bct_share_crash_round(bct_share_t *s, bct_time_t now);
/* bct_share_crash_apply(3): apply what a peer sent about that. */
void bct_share_crash_apply(bct_share_t *s, const share_update *update);

/* share_part.c */
/* bct_share_part_round(3): send the evidence on parts of prompts that came in since the last one.
 */
void bct_share_part_round(bct_share_t *s, bct_time_t now);
/* bct_share_part_announce(3): send all verdicts on parts of prompts. */
void bct_share_part_announce(bct_share_t *s, bct_time_t now);
/* bct_share_part_apply(3): apply what a peer sent about that. */
void bct_share_part_apply(bct_share_t *s, bct_time_t now, const share_update *update);

/* share_load.c: sending and receiving of load. */
void bct_share_load_init(bct_share_t *s);
void bct_share_load_free(bct_share_t *s);
/* bct_share_load_round(3): expire old reports and send this node's load. */
void bct_share_load_round(bct_share_t *s, bct_time_t now);
/* bct_share_load_accepts(3): whether this node counts the load in an update. */
bool bct_share_load_accepts(const bct_share_t *s, const share_update *update);
/* bct_share_load_datagrams(3): datagrams that a full report of the load currently takes. */
uint32_t bct_share_load_datagrams(const bct_share_t *s);
/* bct_share_loads_beside(3): loads that fit in a datagram with so many lanes. */
uint32_t bct_share_loads_beside(uint32_t n_lanes);

/* bct_share_load_apply(3): apply the load that a peer sent. */
void bct_share_load_apply(bct_share_t *s, bct_time_t now, const share_update *update);

#endif
