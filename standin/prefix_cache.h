/*
 * prefix_cache.h - a model of an engine's prefix cache with LRU eviction. Each change is an event
 * with a sequence number, published with a delay; a share of the events is lost.
 */
#ifndef BCT_STANDIN_PREFIX_CACHE_H
#define BCT_STANDIN_PREFIX_CACHE_H

#include "base/clock.h"
#include "base/list.h"
#include "base/rng.h"

#include <jansson.h>
#include <stdint.h>

#define BCT_BLOCK_TOKENS 128  /* tokens per block */
#define BCT_CACHE_EVENTS 4096 /* older events are dropped: readers see a gap */

typedef struct bct_cache_event {
	const char *op; /* "add", "remove", "reset"; NULL: lost, readers see a gap */
	uint64_t block; /* hash */
	bct_time_t at_ms;
} bct_cache_event_t;

typedef struct bct_prefix_cache {
	bct_list_t blocks; /* most recently used first */
	uint32_t n;	   /* number of blocks */
	uint32_t max_blocks;
	uint64_t next_seq;
	bct_cache_event_t
		events[BCT_CACHE_EVENTS]; /* index is the sequence number modulo BCT_CACHE_EVENTS */
	uint32_t lag_ms;		  /* delay before an event is published */
	uint32_t gap_permille;		  /* share of events that are lost */
	bct_rng_t rng;
} bct_prefix_cache_t;

void bct_prefix_cache_init(bct_prefix_cache_t *c, uint32_t max_blocks, uint64_t seed);

/* bct_prefix_cache_clear(3): drop all blocks; records one "reset" event. */
void bct_prefix_cache_clear(bct_prefix_cache_t *c);

/*
 * bct_prefix_cache_use(3): look up the leading blocks of a prompt, then cache them all as the most
 * recently used.
 *
 * returns  number of leading blocks that were cached before
 */
uint32_t bct_prefix_cache_use(bct_prefix_cache_t *c, const uint64_t *blocks, uint32_t n);

/* bct_prefix_cache_has(3): whether a block is cached; does not count as a use. */
int bct_prefix_cache_has(const bct_prefix_cache_t *c, uint64_t block);

/*
 * bct_prefix_cache_events(3): the answer to GET /engine/v1/events; a new reference.
 *
 * from  first sequence number to return
 */
json_t *bct_prefix_cache_events(const bct_prefix_cache_t *c, uint64_t from, bct_time_t now);

#endif
