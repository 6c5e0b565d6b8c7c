/*
 * gate_abandoned.h - attempts that this node gave up while their upstream may still have worked on
 * them: the upstream was silent for too long, the caller left, or time ran out. Pure: no I/O and no
 * clock.
 *
 * Giving up closes the connection, so the node does not see whether the request then crashes the
 * upstream. It is found out afterwards: the upstream's run ended, and nothing was received from it
 * since shortly after the attempt was given up.
 */
#ifndef BCT_POLICY_GATE_ABANDONED_H
#define BCT_POLICY_GATE_ABANDONED_H

#include "policy/gate_part_judge.h"
#include "policy/gate_upstreams.h"

#define BCT_GATE_ABANDONED_MAX 256 /* attempts; further ones replace the oldest */
/* How long an upstream may go on with a request whose connection was closed. */
#define BCT_GATE_ABANDONED_RUNS_MS 300
/* The end of a run is known by then: the registry drops its entry after three missed heartbeats. */
#define BCT_GATE_ABANDONED_KEEP_MS 10000

typedef struct bct_gate_abandoned {
	uint64_t digest;	/* of the request */
	bct_gate_parts_t parts; /* of its prompt, unless it has shown that it does no harm */
	uint64_t upstream_key;
	bct_time_t at;	     /* when the attempt was given up */
	bct_time_t heard_at; /* when bytes of that run of the upstream last arrived, up to now */
} bct_gate_abandoned_t;

/* All zero: empty. */
typedef struct bct_gate_abandoned_list {
	bct_gate_abandoned_t entries[BCT_GATE_ABANDONED_MAX];
	uint32_t n;
	uint32_t next; /* the oldest, once the list is full */
} bct_gate_abandoned_list_t;

/* bct_gate_abandoned_add(3): records that an attempt at u was given up. parts: NULL: none. */
void bct_gate_abandoned_add(bct_gate_abandoned_list_t *l, bct_time_t now, uint64_t digest,
			    const bct_gate_parts_t *parts, const bct_gate_upstream_t *u);

/*
 * bct_gate_abandoned_next_crash(3): finds an attempt whose upstream ended, and drops it. Attempts
 * whose upstream outlived them, or leaves as planned, are dropped, too. To be called repeatedly,
 * and often enough for upstreams that are gone to be still in the table.
 *
 * returns  whether one was found
 */
bool bct_gate_abandoned_next_crash(bct_gate_abandoned_list_t *l, bct_time_t now,
				   const bct_gate_upstreams_t *t, bct_gate_abandoned_t *out);

#endif
