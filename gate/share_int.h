/*
 * share_int.h - what the files of the share protocol have in common.
 */
#ifndef BCT_GATE_SHARE_INT_H
#define BCT_GATE_SHARE_INT_H

#include "gate/share.h"
#include "gen/share.h"
#include "policy/gate_hubs.h"
#include "policy/gate_peers.h"

#include <netinet/in.h>

#define BCT_SHARE_PEERS_MAX 512
#define BCT_SHARE_KEY_BYTES 32 /* as libsodium's generic hash takes it */
#define BCT_SHARE_PLACED 64    /* placements that are told in one round */

typedef struct bct_share_peer {
	uint64_t incarnation;
	struct sockaddr_in sa;
	uint64_t seq; /* highest received */
} bct_share_peer_t;

typedef struct bct_share_placements {
	share_placed list[BCT_SHARE_PLACED];
	uint32_t n;
} bct_share_placements_t;

struct bct_share {
	bct_gate_t *gate;
	int fd;
	struct event *readable;
	struct event *timer;
	uint8_t key[BCT_SHARE_KEY_BYTES];
	uint64_t seq;
	bct_share_peer_t peers[BCT_SHARE_PEERS_MAX];
	uint32_t n_peers;
	bct_time_t refreshed;
	bct_time_t spoke;
	uint32_t rounds;
	bct_time_t versions_told;
	share_crash crashes[SHARE_CRASHES_MAX];
	uint32_t n_crashes;
	uint32_t crash_rounds; /* in which they have been told */
	bct_gate_hubs_t hubs;
	bct_gate_peers_t loads;		      /* about upstreams: running, prefill_ms */
	bct_gate_peers_t lanes;		      /* about lanes: work */
	bct_share_placements_t placed;	      /* here, and at a hub those that its nodes told */
	bct_share_placements_t others_placed; /* at a hub: those that other hubs told */
};

/* bct_share_send(3): one datagram to one peer, or to all; fills in what each datagram says. */
void bct_share_send(bct_share_t *s, share_news *news, const bct_share_peer_t *to);
void bct_share_send_all(bct_share_t *s, share_news *news);

/* bct_share_uses_hubs(3): whether there are too many nodes for each to tell all others. */
bool bct_share_uses_hubs(const bct_share_t *s);

bool bct_share_is_hub(const bct_share_t *s);
/* bct_share_in_local_cluster(3): whether a peer, itself no hub, reports to this node as its hub. */
bool bct_share_in_local_cluster(const bct_share_t *s, const bct_share_peer_t *p);

/* share_load.c: what this node tells and hears of load. */
void bct_share_load_init(bct_share_t *s);
void bct_share_load_free(bct_share_t *s);
/* bct_share_load_round(3): forget what is old, and tell. */
void bct_share_load_round(bct_share_t *s, bct_time_t now);
/* bct_share_load_accepts(3): whether this node counts what the sender tells. */
bool bct_share_load_accepts(const bct_share_t *s, const share_news *news);
/* bct_share_load_datagrams(3): that the whole load takes now. */
uint32_t bct_share_load_datagrams(const bct_share_t *s);
/* bct_share_load_apply(3): take in what a peer tells. */
void bct_share_load_apply(bct_share_t *s, bct_time_t now, const share_news *news);

#endif
