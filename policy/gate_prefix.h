/*
 * gate_prefix.h - which upstreams this node has lately sent which prompt parts to: a bounded table,
 * least recently used parts go first. Pure.
 */
#ifndef BCT_POLICY_GATE_PREFIX_H
#define BCT_POLICY_GATE_PREFIX_H

#include "base/clock.h"
#include "base/list.h"
#include "base/map.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_GATE_SEGMENTS_MAX 16 /* of one prompt */
#define BCT_GATE_HOLDERS 4	 /* upstreams remembered for each part */

/* A part of a prompt; its id stands for the same tokens wherever it comes. */
typedef struct bct_gate_segment {
	uint64_t id;
	uint32_t tokens;
} bct_gate_segment_t;

/* An upstream that a part was sent to. */
typedef struct bct_gate_holder {
	uint64_t upstream_key;
	bct_time_t sent;
	bct_time_t ready; /* it has read the part by then */
} bct_gate_holder_t;

typedef struct bct_gate_prefix {
	bct_map_t by_segment;
	bct_list_t lru; /* most recent first */
	uint32_t n;
	uint32_t max;
	uint32_t keep_ms; /* how long an unused part is taken to stay cached */
} bct_gate_prefix_t;

void bct_gate_prefix_init(bct_gate_prefix_t *p, uint32_t max_segments, uint32_t keep_ms);
void bct_gate_prefix_free(bct_gate_prefix_t *p);

/* bct_gate_prefix_sent(3): a prompt was sent to an upstream; h->sent is ignored. Without memory
 * nothing is kept. */
void bct_gate_prefix_sent(bct_gate_prefix_t *p, bct_time_t now, const bct_gate_segment_t *segments,
			  uint32_t n, const bct_gate_holder_t *h);

/* bct_gate_prefix_holds(3): whether the upstream was sent the part lately. */
bool bct_gate_prefix_holds(const bct_gate_prefix_t *p, bct_time_t now, uint64_t segment,
			   uint64_t upstream_key);

/* bct_gate_prefix_holder(3): the i-th upstream that has read the part lately; 0: none. */
uint64_t bct_gate_prefix_holder(const bct_gate_prefix_t *p, bct_time_t now, uint64_t segment,
				uint32_t i);

/* bct_gate_prefix_shared(3): whether the part has come in more than one request lately. */
bool bct_gate_prefix_shared(const bct_gate_prefix_t *p, uint64_t segment);

#endif
