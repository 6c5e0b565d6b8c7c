/*
 * model_cache.h - the prefix cache of a model engine: hashes of blocks with LRU eviction.
 */
#ifndef BCT_BENCH_MODEL_CACHE_H
#define BCT_BENCH_MODEL_CACHE_H

#include "base/list.h"

#include <stdint.h>

#define BCT_MODEL_CACHE_BUCKETS 512

typedef struct bct_model_block {
	bct_list_t lru;
	bct_list_t bucket;
	uint64_t hash;
} bct_model_block_t;

/* Called for each change; added is false for an evicted block. */
typedef void (*bct_model_cache_event_fn)(void *ctx, uint64_t hash, bool added);

typedef struct bct_model_cache {
	bct_model_block_t *blocks; /* cap entries, of which n are in use */
	uint32_t n;
	uint32_t cap;
	bct_list_t lru; /* most recently used first */
	bct_list_t buckets[BCT_MODEL_CACHE_BUCKETS];
	bct_model_cache_event_fn event;
	void *ctx;
} bct_model_cache_t;

/*
 * bct_model_cache_init(3): allocate an empty cache.
 *
 * cap      capacity in blocks
 * event    called with ctx for each change
 * returns  0 or -BCT_ENOMEM
 */
int bct_model_cache_init(bct_model_cache_t *c, uint32_t cap, bct_model_cache_event_fn event,
			 void *ctx);
void bct_model_cache_free(bct_model_cache_t *c);

/*
 * bct_model_cache_match(3): count the leading blocks of a prompt that are cached, and mark them as
 * used.
 */
uint32_t bct_model_cache_match(bct_model_cache_t *c, const uint64_t *prefix, uint32_t n);

/* bct_model_cache_peek(3): as bct_model_cache_match(3), but leaves the LRU order unchanged. */
uint32_t bct_model_cache_peek(bct_model_cache_t *c, const uint64_t *prefix, uint32_t n);

/* bct_model_cache_add(3): insert all blocks of a prompt, evicting others as needed. */
void bct_model_cache_add(bct_model_cache_t *c, const uint64_t *prefix, uint32_t n);

/* bct_model_cache_reset(3): drop all blocks without events. */
void bct_model_cache_reset(bct_model_cache_t *c);

#endif
