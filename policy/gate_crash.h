/*
 * gate_crash.h - detects requests that crash the upstreams which run them. Pure: no I/O and no
 * clock.
 *
 * A request that crashes every engine which starts it, and which its caller repeats at any node,
 * would take down one engine after another. Each node records, by the request's digest, the
 * upstreams whose connection broke while they ran it, and merges the records of the other nodes. A
 * request with BCT_GATE_CRASH_UPSTREAMS different upstreams on record is refused until the record
 * expires. One successful answer clears it: the request was merely in flight when an upstream
 * crashed. Counting different upstreams keeps requests that were in flight while many upstreams
 * crashed at once from being taken for the cause. Nodes announce to each other what they refuse, as
 * one that was not there has not got the reports; a record that was cleared later is not refused
 * again for that. After a while one node lets one request through, so that a request that was
 * refused by mistake is answered, and cleared.
 */
#ifndef BCT_POLICY_GATE_CRASH_H
#define BCT_POLICY_GATE_CRASH_H

#include "base/clock.h"
#include "base/map.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_GATE_CRASH_UPSTREAMS 3 /* different upstreams broken before a request is refused */
#define BCT_GATE_CRASH_KEEP_MS (5 * 60 * BCT_MS_PER_S) /* from the last crash on record */
#define BCT_GATE_CRASH_TRIAL_MS 10000 /* after a crash or a trial, until the next trial */
/* bct_gate_crash_record(3): a request that is refused already has crashed a further upstream. */
#define BCT_GATE_CRASH_FURTHER (BCT_GATE_CRASH_UPSTREAMS + 1)

typedef struct bct_gate_crashes {
	bct_map_t map; /* request digest: suspect_t of gate_crash.c */
} bct_gate_crashes_t;

void bct_gate_crashes_free(bct_gate_crashes_t *t);

/*
 * bct_gate_crash_record(3): records that an upstream's connection broke while it ran the request,
 * at this node or another one.
 *
 * run      of the upstream: one that starts again is another upstream
 * returns  number of different upstreams on record for the request; BCT_GATE_CRASH_FURTHER if it
 *          was refused already, and this is its first crash since one could have been let through;
 *          0 if there is no news, if the table is full of requests that are refused, or if memory
 *          is short
 */
uint32_t bct_gate_crash_record(bct_gate_crashes_t *t, bct_time_t now, uint64_t digest,
			       uint32_t run);

/*
 * bct_gate_crash_clear(3): a request was answered successfully; it is not refused any more.
 *
 * returns  whether crashes were on record
 */
bool bct_gate_crash_clear(bct_gate_crashes_t *t, bct_time_t now, uint64_t digest);

/*
 * bct_gate_crash_take_trial(3): whether this node may now let a request that is refused through,
 * BCT_GATE_CRASH_TRIAL_MS after the last crash or trial, until one crashes its upstream. It must be
 * the only node of the fleet that asks.
 */
bool bct_gate_crash_take_trial(bct_gate_crashes_t *t, bct_time_t now, uint64_t digest);

/*
 * bct_gate_crash_remaining_ms(3): time for which the request is still to be refused.
 *
 * returns  milliseconds; 0 if the request may run
 */
uint32_t bct_gate_crash_remaining_ms(const bct_gate_crashes_t *t, bct_time_t now, uint64_t digest);

/* A request that is refused. */
typedef struct bct_gate_crash_block {
	uint64_t digest;
	uint32_t remaining_ms;
} bct_gate_crash_block_t;

typedef enum bct_gate_crash_news {
	BCT_GATE_CRASH_KNOWN = 0,
	BCT_GATE_CRASH_NEWS,	/* it is refused here from now on */
	BCT_GATE_CRASH_CLEARED, /* it was cleared later than it was refused there */
} bct_gate_crash_news_t;

/* bct_gate_crash_block(3): another node refuses a request. */
bct_gate_crash_news_t bct_gate_crash_block(bct_gate_crashes_t *t, bct_time_t now,
					   const bct_gate_crash_block_t *b);

/*
 * bct_gate_crash_next_block(3): iterates over the requests that are refused.
 *
 * pos      0 for the first call; advanced by each call
 * returns  false at the end
 */
bool bct_gate_crash_next_block(const bct_gate_crashes_t *t, bct_time_t now, uint32_t *pos,
			       bct_gate_crash_block_t *out);

/* bct_gate_crash_expire(3): drops expired records; to be called periodically. */
void bct_gate_crash_expire(bct_gate_crashes_t *t, bct_time_t now);

#endif
