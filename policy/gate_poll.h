/*
 * gate_poll.h - decides when a node polls the registry itself and when the versions that its peers
 * advertise are enough. Pure: no I/O and no clock.
 *
 * The few nodes of lowest rank, the pollers, poll at every interval and send the other nodes what
 * changed, whether they learned it from a list of changes or from a full listing. Every other node
 * compares its versions with those it receives, and polls only when something is missing or when no
 * message shows that a poller still reaches the registry. So the number of calls does not grow with
 * the number of nodes, and no poller has to be elected or replaced.
 */
#ifndef BCT_POLICY_GATE_POLL_H
#define BCT_POLICY_GATE_POLL_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_GATE_POLLERS 2 /* two, because one may be cut off from the registry */

/* Versions that a peer advertised in one message. */
typedef struct bct_gate_peer_versions {
	bct_time_t received_at;
	bct_time_t registry_answered_at; /* last answer of the registry to it, on the local clock */
	uint64_t routes_version;
	uint64_t upstreams_digest;
} bct_gate_peer_versions_t;

typedef struct bct_gate_poll {
	uint32_t interval_ms;	      /* between two polls of a poller */
	uint32_t message_interval_ms; /* between two messages of one peer; set by the caller */
	/*
	 * From the peer with the latest answer of the registry, or from the hub that relays it;
	 * routes_version is the highest received from any peer. received_at is 0 before the first.
	 */
	bct_gate_peer_versions_t latest;
	bct_time_t polled_at;	       /* last poll of this node; 0: none yet */
	bct_time_t answered_at;	       /* last answer of the registry to this node */
	uint32_t message_gap_ms;       /* between the last two messages accepted; 0: unknown */
	bct_time_t compared_at;	       /* latest.received_at when local_digest_then was taken */
	uint64_t local_digest_then;    /* digest of the local upstreams at that message */
	bct_time_t differs_since;      /* unchanged local upstreams differ from the peer's; 0: no */
	bct_time_t unequal_since;      /* the digests have not been equal since; 0: equal */
	uint32_t consecutive_failures; /* of this node's polls */
} bct_gate_poll_t;

/* State of this node. */
typedef struct bct_gate_local_versions {
	uint32_t rank; /* among the live nodes, from 0 */
	uint64_t routes_version;
	uint64_t upstreams_digest;
} bct_gate_local_versions_t;

/* What to poll now. */
typedef struct bct_gate_due {
	bool routes;
	bool upstreams;
	bool list; /* a full listing rather than the changes since the last poll */
} bct_gate_due_t;

void bct_gate_poll_init(bct_gate_poll_t *p, uint32_t interval_ms);

/* bct_gate_poll_received(3): processes the versions that a peer advertised. */
void bct_gate_poll_received(bct_gate_poll_t *p, const bct_gate_peer_versions_t *v);

/*
 * bct_gate_poll_due(3): decides what to poll; to be called often. The caller must poll what it
 * returns, as that counts as polled from now on.
 */
bct_gate_due_t bct_gate_poll_due(bct_gate_poll_t *p, bct_time_t now,
				 const bct_gate_local_versions_t *local);

/* bct_gate_poll_result(3): processes the result of a poll of this node. */
void bct_gate_poll_result(bct_gate_poll_t *p, bct_time_t now, bool ok);

#endif
