/*
 * gate_peers.h - sums over what other gateways report: the load that each has placed on an
 * upstream, and the work that each brings to a lane. Pure: no I/O and no clock.
 *
 * The upstreams' own load reports are several hundred ms old, and every node reads the same ones.
 * What peers have sent to an upstream since then is known sooner from the peers themselves. A
 * report replaces the previous one of the same peer and subject, and expires unless renewed.
 */
#ifndef BCT_POLICY_GATE_PEERS_H
#define BCT_POLICY_GATE_PEERS_H

#include "base/clock.h"
#include "base/list.h"
#include "base/map.h"

#include <stdint.h>

#define BCT_GATE_PEER_VALUES 5 /* at most; unused ones are 0 */

/* Values that one peer reports about one subject, which is an upstream or a lane. */
typedef struct bct_gate_peer_report {
	uint64_t peer;
	uint64_t subject;
	uint32_t v[BCT_GATE_PEER_VALUES]; /* their meaning is up to the caller */
} bct_gate_peer_report_t;

typedef struct bct_gate_peers {
	bct_map_t reports; /* hash of peer and subject: entry_t of gate_peers.c */
	bct_list_t by_age; /* oldest first */
	uint32_t keep_ms;  /* a report expires this long after it was received */
	/* Adds to the sums of a subject, which may no longer exist; differences wrap around. */
	void (*add)(void *ctx, uint64_t subject, const uint32_t *difference);
	void *ctx;
} bct_gate_peers_t;

void bct_gate_peers_init(bct_gate_peers_t *p, uint32_t keep_ms,
			 void (*add)(void *ctx, uint64_t subject, const uint32_t *difference),
			 void *ctx);
void bct_gate_peers_free(bct_gate_peers_t *p);

/* bct_gate_peers_report(3): processes a report; drops it if memory is short. */
void bct_gate_peers_report(bct_gate_peers_t *p, bct_time_t now, const bct_gate_peer_report_t *r);

/*
 * bct_gate_peers_of(3): looks up what a peer last reported about a subject.
 *
 * returns  BCT_GATE_PEER_VALUES values, valid until the next report or sweep; NULL if none
 */
const uint32_t *bct_gate_peers_of(const bct_gate_peers_t *p, uint64_t peer, uint64_t subject);

/* bct_gate_peers_forget(3): drops all reports of a peer and subtracts them from the sums. */
void bct_gate_peers_forget(bct_gate_peers_t *p, uint64_t peer);

/* bct_gate_peers_sweep(3): drops expired reports and subtracts them from the sums. */
void bct_gate_peers_sweep(bct_gate_peers_t *p, bct_time_t now);

#endif
