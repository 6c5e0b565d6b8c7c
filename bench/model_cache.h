/*
 * model_cache.h - a model engine's prefix cache: block hashes, least recently used out first.
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

/* Tells of each change; added is false for a block that was dropped. */
typedef void (*bct_model_cache_event_fn)(void *ctx, uint64_t hash, bool added);

typedef struct bct_model_cache {
	bct_model_block_t *blocks;
	uint32_t n;
	uint32_t cap;
	bct_list_t lru; /* the most recently used first */
	bct_list_t buckets[BCT_MODEL_CACHE_BUCKETS];
	bct_model_cache_event_fn event;
	void *ctx;
} bct_model_cache_t;

/* returns 0 or -BCT_ENOMEM */
int bct_model_cache_init(bct_model_cache_t *c, uint32_t cap, bct_model_cache_event_fn event,
			 void *ctx);
void bct_model_cache_free(bct_model_cache_t *c);

/* bct_model_cache_match(3): how many leading blocks of a prompt are cached; they become recent. */
uint32_t bct_model_cache_match(bct_model_cache_t *c, const uint64_t *prefix, uint32_t n);

/* bct_model_cache_peek(3): as match, but nothing becomes recent. */
uint32_t bct_model_cache_peek(bct_model_cache_t *c, const uint64_t *prefix, uint32_t n);

/* bct_model_cache_add(3): cache all blocks of a prompt. */
void bct_model_cache_add(bct_model_cache_t *c, const uint64_t *prefix, uint32_t n);

/* bct_model_cache_reset(3): forget everything, without events. */
void bct_model_cache_reset(bct_model_cache_t *c);

#endif
