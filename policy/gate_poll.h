/*
 * gate_poll.h - when a node asks the registry itself, and when its peers' word is enough. Pure.
 *
 * A few nodes of the lowest ranks, the readers, ask at every interval and tell the others what
 * changed, whether they read changes or a listing. Every other node compares versions with what it
 * hears and asks only when something is missing, or when no reader has been heard of that reaches
 * the registry. So the calls do not grow with the number of nodes, and no reader has to be elected
 * or replaced.
 */
#ifndef BCT_POLICY_GATE_POLL_H
#define BCT_POLICY_GATE_POLL_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_GATE_POLLERS 2 /* one may be cut off from the registry */

/* What a peer said last. */
typedef struct bct_gate_peer_versions {
	bct_time_t received_at;
	bct_time_t registry_answered_at; /* its last answer of the registry, by our clock */
	uint64_t routes_version;
	uint64_t upstreams_digest;
} bct_gate_peer_versions_t;

typedef struct bct_gate_poll {
	uint32_t interval_ms;	      /* of a reader */
	uint32_t message_interval_ms; /* between two words of one peer */
	bct_gate_peer_versions_t
		latest; /* of the peer that has asked the registry last, or of the hub that
			 * passes its word on; the version is the highest heard */
	bct_time_t polled_at;
	bct_time_t answered_at;	 /* the registry's last answer to this node */
	uint32_t message_gap_ms; /* between the last two words */
	bct_time_t compared_at;	 /* f->latest.received_at of the word that local_digest_then stands
				    beside */
	uint64_t local_digest_then; /* own upstreams when the peer spoke */
	bct_time_t
		differs_since; /* local_digest_then, still true, differs from the peer's; 0: no */
	bct_time_t unequal_since;      /* never alike since; 0: alike */
	uint32_t consecutive_failures; /* of own calls in a row */
} bct_gate_poll_t;

typedef struct bct_gate_local_versions {
	uint32_t rank; /* of this node among the live ones, from 0 */
	uint64_t routes_version;
	uint64_t upstreams_digest;
} bct_gate_local_versions_t;

/* What is to be asked now. */
typedef struct bct_gate_due {
	bool routes;
	bool upstreams;
	bool list; /* a full listing of the upstreams, not what changed */
} bct_gate_due_t;

void bct_gate_poll_init(bct_gate_poll_t *f, uint32_t interval_ms);

/* bct_gate_poll_received(3): a peer told its versions. */
void bct_gate_poll_received(bct_gate_poll_t *f, const bct_gate_peer_versions_t *h);

/* bct_gate_poll_due(3): called often; what it names is taken as asked. */
bct_gate_due_t bct_gate_poll_due(bct_gate_poll_t *f, bct_time_t now,
				 const bct_gate_local_versions_t *own);

/* bct_gate_poll_result(3): how an own call ended. */
void bct_gate_poll_result(bct_gate_poll_t *f, bct_time_t now, bool ok);

#endif
