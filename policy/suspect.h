/*
 * suspect.h - requests that may crash the upstream that runs them, identified by the digest of the
 * body.
 *
 * The first crash with a digest in flight makes the digest a suspect: it may only run alone on an
 * upstream, and only through one node of the fleet. A second crash, while it runs alone or seen by
 * another node on another upstream, makes it poison: every node refuses it until the entry expires.
 * A suspect is cleared by an answer, or by the second crash of another digest that was in flight at
 * the same first crash.
 */
#ifndef BCT_POLICY_SUSPECT_H
#define BCT_POLICY_SUSPECT_H

#include "base/clock.h"
#include "base/map.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_SUSPECT_TTL_MS (15 * 60 * BCT_MS_PER_S)
#define BCT_SUSPECT_MAX 4096 /* entries */
#define BCT_SUSPECT_POISON_CRASHES 2
/* Connections of one upstream that break within this time belong to one crash. */
#define BCT_SUSPECT_SAME_CRASH_MS 5000
#define BCT_SUSPECT_PROPAGATION_MS 5000 /* within which every node has learned of a crash */
#define BCT_SUSPECT_TAKEOVER_MS 10000	/* after which nodes that did not see the crash may test */
#define BCT_SUSPECT_RANK_STEP_MS 3000	/* between the start times of those nodes, by rank */

typedef enum bct_suspect_state {
	BCT_SUSPECT_NO = 0,
	BCT_SUSPECT_ALONE,  /* one crash: may run only alone */
	BCT_SUSPECT_POISON, /* refused */
} bct_suspect_state_t;

typedef struct bct_suspects {
	bct_map_t map; /* of entries, by digest */
} bct_suspects_t;

void bct_suspects_free(bct_suspects_t *s);

/*
 * bct_suspect_crash(3): record that a digest was in flight on an upstream that crashed.
 *
 * alone    it ran alone, so it caused the crash
 * returns  the new state; BCT_SUSPECT_NO if out of memory or the table is full
 */
bct_suspect_state_t bct_suspect_crash(bct_suspects_t *s, bct_time_t now, uint64_t digest,
				      uint64_t upstream_key, bool alone);

/* bct_suspect_clear(3): clear a suspect, after an answer to it. Poison stays. */
void bct_suspect_clear(bct_suspects_t *s, bct_time_t now, uint64_t digest);

/*
 * bct_suspect_state(3): the current state of a digest.
 *
 * remaining_ms  if not NULL, set to the time until the entry expires; not set for BCT_SUSPECT_NO
 */
bct_suspect_state_t bct_suspect_state(const bct_suspects_t *s, bct_time_t now, uint64_t digest,
				      uint32_t *remaining_ms);

/*
 * bct_suspect_test_at(3): when this node may test a suspect, that is, run it alone. The node that
 * saw the crash tests first, after the other nodes had time to learn of it. If it does not, the
 * others may test in the order of their ranks.
 */
bct_time_t bct_suspect_test_at(const bct_suspects_t *s, uint64_t digest, uint32_t nodes,
			       uint32_t rank);

/*
 * bct_suspect_test_begin(3), bct_suspect_test_end(3): begin and end a test. Only one request of a
 * digest is tested at a time.
 *
 * returns  whether the test may begin
 */
bool bct_suspect_test_begin(bct_suspects_t *s, uint64_t digest);
void bct_suspect_test_end(bct_suspects_t *s, uint64_t digest);

/* bct_suspect_merge(3): merge an entry of another node; v as in BCT_ITEM_SUSPECT. */
void bct_suspect_merge(bct_suspects_t *s, bct_time_t now, uint64_t digest, const int64_t v[4]);

/*
 * bct_suspect_publish(3): get the next entry that this node sends to the others.
 *
 * pos      0 at the start, advanced by each call
 * returns  false at the end
 */
bool bct_suspect_publish(bct_suspects_t *s, bct_time_t now, uint32_t *pos, uint64_t *digest,
			 int64_t v[4]);

/* bct_suspect_expire(3): drop expired entries; called with each publish. */
void bct_suspect_expire(bct_suspects_t *s, bct_time_t now);

#endif
