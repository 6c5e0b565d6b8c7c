/*
 * gate_peers.h - sums of what other gateways report about themselves: the load that each has placed
 * on an upstream, the work that each brings to a lane. Pure.
 *
 * Upstreams' own reports are some hundred ms old and every node reads the same ones; what peers
 * have sent since then is known sooner from the peers. A report replaces the one before it, and
 * lapses.
 */
#ifndef BCT_POLICY_GATE_PEERS_H
#define BCT_POLICY_GATE_PEERS_H

#include "base/clock.h"
#include "base/list.h"
#include "base/map.h"

#include <stdint.h>

#define BCT_GATE_PEER_VALUES 2

/* What one peer says about one subject. */
typedef struct bct_gate_peer_report {
	uint64_t peer;
	uint64_t subject;
	uint32_t v[BCT_GATE_PEER_VALUES];
} bct_gate_peer_report_t;

typedef struct bct_gate_peers {
	bct_map_t reports; /* of one peer about one subject */
	bct_list_t by_age; /* oldest first */
	uint32_t keep_ms;
	/* Adds to the sums of a subject, which may be gone; differences wrap around. */
	void (*add)(void *ctx, uint64_t subject, const uint32_t *difference);
	void *ctx;
} bct_gate_peers_t;

void bct_gate_peers_init(bct_gate_peers_t *p, uint32_t keep_ms,
			 void (*add)(void *ctx, uint64_t subject, const uint32_t *difference),
			 void *ctx);
void bct_gate_peers_free(bct_gate_peers_t *p);

/* bct_gate_peers_report(3): a report came. Without memory it is dropped. */
void bct_gate_peers_report(bct_gate_peers_t *p, bct_time_t now, const bct_gate_peer_report_t *r);

/* bct_gate_peers_of(3): what a peer last reported about a subject, or NULL. */
const uint32_t *bct_gate_peers_of(const bct_gate_peers_t *p, uint64_t peer, uint64_t subject);

/* bct_gate_peers_sweep(3): forget reports that were not renewed. */
void bct_gate_peers_sweep(bct_gate_peers_t *p, bct_time_t now);

#endif
