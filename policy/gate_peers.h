/*
 * gate_peers.h - the load that other gateways say they have placed on upstreams. Pure.
 *
 * Upstreams' own reports are some hundred ms old and every node reads the same ones; what peers
 * have sent since then is known sooner from the peers. A report replaces the one before it, and
 * lapses.
 */
#ifndef BCT_POLICY_GATE_PEERS_H
#define BCT_POLICY_GATE_PEERS_H

#include "policy/gate_upstreams.h"

typedef struct bct_gate_peers {
	bct_map_t reports; /* of one peer about one upstream */
	bct_list_t by_age; /* oldest first */
	uint32_t keep_ms;
} bct_gate_peers_t;

typedef struct bct_gate_peer_load {
	uint64_t peer;
	uint64_t upstream_key;
	uint32_t running;
	uint32_t prefill_ms;
} bct_gate_peer_load_t;

void bct_gate_peers_init(bct_gate_peers_t *p, uint32_t keep_ms);
void bct_gate_peers_free(bct_gate_peers_t *p);

/* bct_gate_peers_load(3): a peer's load; about an unknown upstream it is dropped. */
void bct_gate_peers_load(bct_gate_peers_t *p, bct_time_t now, bct_gate_upstreams_t *t,
			 const bct_gate_peer_load_t *l);

/* bct_gate_peers_sweep(3): forget reports that were not renewed. */
void bct_gate_peers_sweep(bct_gate_peers_t *p, bct_time_t now, bct_gate_upstreams_t *t);

#endif
