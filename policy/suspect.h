/*
 * suspect.h - requests that may crash the upstream that runs them, by digest of the body.
 *
 * The first crash makes a digest a suspect: it runs alone, on one node of the fleet. A second
 * crash, alone or on another upstream, makes it poison: every node refuses it until the entry
 * expires. An answer clears it, and so does a
 * second crash of another digest that was in flight at the same first crash.
 */
#ifndef BCT_POLICY_SUSPECT_H
#define BCT_POLICY_SUSPECT_H

#include "base/clock.h"
#include "base/map.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_SUSPECT_TTL_MS (15 * 60 * BCT_MS_PER_S)
#define BCT_SUSPECT_MAX 4096
#define BCT_SUSPECT_POISON_CRASHES 2
/* Broken connections of one upstream within this time are one crash. */
#define BCT_SUSPECT_SAME_CRASH_MS 5000
#define BCT_SUSPECT_PROPAGATION_MS 5000 /* for news of a crash to reach every node */
#define BCT_SUSPECT_TAKEOVER_MS 10000	/* for the node that saw the crash to test the suspect */
#define BCT_SUSPECT_RANK_STEP_MS 3000	/* between the tests of other nodes */

typedef enum bct_suspect_state {
	BCT_SUSPECT_NO = 0,
	BCT_SUSPECT_ALONE, /* one crash: may run alone */
	BCT_SUSPECT_POISON,
} bct_suspect_state_t;

typedef struct bct_suspects {
	bct_map_t map;
} bct_suspects_t;

void bct_suspects_free(bct_suspects_t *s);

/*
 * bct_suspect_crash(3): a digest was in flight where an upstream crashed.
 *
 * alone    it ran alone, so that the crash is its own
 * returns  the new state; NO when there is no memory or room for an entry
 */
bct_suspect_state_t bct_suspect_crash(bct_suspects_t *s, bct_time_t now, uint64_t digest,
				      uint64_t upstream_key, bool alone);

/* bct_suspect_clear(3): the digest was answered. */
void bct_suspect_clear(bct_suspects_t *s, bct_time_t now, uint64_t digest);

/*
 * bct_suspect_state(3): what holds for a digest now.
 *
 * left_ms  if not NULL: how long that stays so
 */
bct_suspect_state_t bct_suspect_state(const bct_suspects_t *s, bct_time_t now, uint64_t digest,
				      uint32_t *left_ms);

/*
 * bct_suspect_test_at(3): when this node may run a suspect alone. One node tests it, the one that
 * saw the crash, once the others had time to hear of it; should it not, the others follow by rank.
 */
bct_time_t bct_suspect_test_at(const bct_suspects_t *s, uint64_t digest, uint32_t nodes,
			       uint32_t rank);

/*
 * bct_suspect_test_begin(3), bct_suspect_test_end(3): only one request of a digest is tested at a
 * time.
 *
 * returns  whether the test may begin
 */
bool bct_suspect_test_begin(bct_suspects_t *s, uint64_t digest);
void bct_suspect_test_end(bct_suspects_t *s, uint64_t digest);

/* bct_suspect_merge(3): another node's entry; v as in BCT_ITEM_SUSPECT. */
void bct_suspect_merge(bct_suspects_t *s, bct_time_t now, uint64_t digest, const int64_t v[4]);

/*
 * bct_suspect_publish(3): the next entry of this node's own to tell the others.
 *
 * pos      0 at the start, advanced by each call
 * returns  false at the end
 */
bool bct_suspect_publish(bct_suspects_t *s, bct_time_t now, uint32_t *pos, uint64_t *digest,
			 int64_t v[4]);

/* bct_suspect_expire(3): drop entries whose time is over; called with each publish. */
void bct_suspect_expire(bct_suspects_t *s, bct_time_t now);

#endif
