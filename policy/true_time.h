/*
 * true_time.h - an estimate of the time of day that nodes agree on although their wall clocks jump.
 * Pure: no I/O and no clock; `now` is that of bct_clock_now(3). Design:
 * docs/design/duties-and-load.md.
 */
#ifndef BCT_POLICY_TRUE_TIME_H
#define BCT_POLICY_TRUE_TIME_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_TRUE_TIME_PEERS 16 /* whose estimates are considered; others are left out */
#define BCT_TRUE_TIME_QUORUM 3 /* peers, at least, that correct this node */

/* Times of day are kept as their difference to the node's own clock, which does not jump. */
typedef struct bct_true_time_peer {
	uint64_t incarnation; /* 0: unused */
	bct_time_t offset_ms; /* the largest of late: a message that is late makes it too small */
	bct_time_t offset_at;
	bct_time_t heard_at;
} bct_true_time_peer_t;

/* All zero: not started. */
typedef struct bct_true_time {
	bool started;
	bool confirmed; /* enough peers agreed, or corrected it */
	bct_time_t started_at;
	bct_time_t advanced_at;
	bct_time_t deaf_until; /* messages have waited while the node was suspended */
	bct_time_t offset_ms;
	int64_t slewed_us; /* of the current jump, less than 1 ms */
	bct_true_time_peer_t peers[BCT_TRUE_TIME_PEERS];
} bct_true_time_t;

/*
 * bct_true_time_advance(3): follows the wall clock; to be called about every 100 ms.
 *
 * returns  the correction in ms if the estimate was set to the median of its peers, else 0
 */
bct_time_t bct_true_time_advance(bct_true_time_t *t, bct_time_t now, bct_time_t wall);

/* bct_true_time_heard(3): a peer's estimate, which has just been received. */
void bct_true_time_heard(bct_true_time_t *t, bct_time_t now, uint64_t peer, bct_time_t estimate);

/* bct_true_time_at(3): the estimate, in ms since the start of 1970. */
bct_time_t bct_true_time_at(const bct_true_time_t *t, bct_time_t now);

/*
 * bct_true_time_is_settled(3): whether the estimate may be told to peers: a node whose clock was
 * off when it started must not correct others.
 */
bool bct_true_time_is_settled(const bct_true_time_t *t, bct_time_t now);

#endif
