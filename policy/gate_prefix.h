/*
 * gate_prefix.h - records which prompt segments were recently sent to which upstreams, to predict
 * what their caches hold. A bounded table that evicts the least recently used segment. Pure: no I/O
 * and no clock.
 */
#ifndef BCT_POLICY_GATE_PREFIX_H
#define BCT_POLICY_GATE_PREFIX_H

#include "base/clock.h"
#include "base/list.h"
#include "base/map.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_GATE_SEGMENTS_MAX 16 /* of one prompt */
#define BCT_GATE_HOLDERS 4	 /* upstreams recorded for each segment */

/* A segment of a prompt; equal ids mean equal tokens in any prompt. */
typedef struct bct_gate_segment {
	uint64_t id;
	uint32_t tokens;
} bct_gate_segment_t;

/* An upstream that a segment was sent to. */
typedef struct bct_gate_holder {
	uint64_t upstream_key; /* 0: unused */
	bct_time_t sent;       /* last time */
	bct_time_t ready;      /* when its prefill of the segment is expected to be complete */
} bct_gate_holder_t;

typedef struct bct_gate_prefix {
	bct_map_t by_segment; /* segment id: entry_t of gate_prefix.c */
	bct_list_t lru;	      /* most recent first */
	uint32_t n;
	uint32_t max;
	uint32_t keep_ms; /* how long an unused segment is assumed to stay cached */
} bct_gate_prefix_t;

void bct_gate_prefix_init(bct_gate_prefix_t *p, uint32_t max_segments, uint32_t keep_ms);
void bct_gate_prefix_free(bct_gate_prefix_t *p);

/*
 * bct_gate_prefix_sent(3): records that a prompt was sent to an upstream; stops at the first
 * segment for which memory is short.
 *
 * n  number of segments
 * h  the upstream and when it will be ready; h->sent is ignored
 */
void bct_gate_prefix_sent(bct_gate_prefix_t *p, bct_time_t now, const bct_gate_segment_t *segments,
			  uint32_t n, const bct_gate_holder_t *h);

/*
 * bct_gate_prefix_holds(3): returns whether the segment was sent to the upstream within the last
 * keep_ms.
 */
bool bct_gate_prefix_holds(const bct_gate_prefix_t *p, bct_time_t now, uint64_t segment,
			   uint64_t upstream_key);

/*
 * bct_gate_prefix_holder(3): looks up an upstream whose cache should hold the segment by now.
 *
 * i        0 to BCT_GATE_HOLDERS - 1
 * returns  key of the i-th upstream on record; 0 if there is none, if the segment was not sent
 *          there within the last keep_ms, or if its prefill is not complete
 */
uint64_t bct_gate_prefix_holder(const bct_gate_prefix_t *p, bct_time_t now, uint64_t segment,
				uint32_t i);

/* bct_gate_prefix_shared(3): returns whether more than one recorded request had the segment. */
bool bct_gate_prefix_shared(const bct_gate_prefix_t *p, uint64_t segment);

/*
 * bct_gate_prefix_recent(3): returns how many recorded requests had the segment recently; those of
 * the last keep_ms count in full or half, older ones less.
 */
uint32_t bct_gate_prefix_recent(const bct_gate_prefix_t *p, bct_time_t now, uint64_t segment);

#endif
