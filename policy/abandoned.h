/*
 * abandoned.h - attempts that this node gave up while their upstream may still have worked on them:
 * the upstream was silent for too long, the caller left, or time ran out. Pure: no I/O and no
 * clock.
 *
 * Giving up closes the connection, so the node does not see whether the request then crashes the
 * upstream. It is found out afterwards: the upstream's run ended, and nothing was received from it
 * since shortly after the attempt was given up.
 */
#ifndef BCT_POLICY_ABANDONED_H
#define BCT_POLICY_ABANDONED_H

#include "base/clock.h"
#include "policy/parts.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_ABANDONED_MAX 256 /* attempts; further ones replace the oldest */
/* How long an upstream may go on with a request whose connection was closed. */
#define BCT_ABANDONED_RUNS_MS 300
/* The end of a run is known by then: a registry drops its entry after three missed heartbeats. */
#define BCT_ABANDONED_KEEP_MS 10000

/* What is known of the run of an upstream that an attempt was sent to. */
typedef struct bct_upstream_sight {
	bool ended;
	bool planned;	     /* it leaves, or has left, as planned */
	bct_time_t heard_at; /* when bytes of that run last arrived; 0: not known */
} bct_upstream_sight_t;

/* at: when the attempt was given up */
typedef bct_upstream_sight_t bct_abandoned_look_t(const void *ctx, uint64_t upstream_key,
						  bct_time_t at);

typedef struct bct_abandoned {
	uint64_t digest;   /* of the request */
	bct_parts_t parts; /* of its prompt, unless it has shown that it does no harm */
	bool alone;	   /* nothing else ran on the upstream */
	uint64_t upstream_key;
	uint32_t run; /* of the upstream; for the calling code */
	bct_time_t sent_at;
	bct_time_t at;	     /* when the attempt was given up */
	bct_time_t heard_at; /* when bytes of that run of the upstream last arrived, up to now */
} bct_abandoned_t;

/* All zero: empty. */
typedef struct bct_abandoned_list {
	bct_abandoned_t entries[BCT_ABANDONED_MAX];
	uint32_t n;
	uint32_t next; /* the oldest, once the list is full */
} bct_abandoned_list_t;

/* bct_abandoned_add(3): records that an attempt was given up; a is copied. */
void bct_abandoned_add(bct_abandoned_list_t *l, const bct_abandoned_t *a);

/*
 * bct_abandoned_next_crash(3): finds an attempt whose upstream ended, and drops it. Attempts whose
 * upstream outlived them, or leaves as planned, are dropped, too. To be called repeatedly, and
 * often enough for look to still know upstreams that have ended.
 *
 * returns  whether one was found
 */
bool bct_abandoned_next_crash(bct_abandoned_list_t *l, bct_time_t now, bct_abandoned_look_t *look,
			      const void *ctx, bct_abandoned_t *out);

#endif
