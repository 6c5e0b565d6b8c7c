/*
 * model_cache.c - prefix cache of a model engine: a hash table and an LRU list.
 */
#include "bench/model_cache.h"
#include "base/err.h"
#include "base/mem.h"

static bct_list_t *cache_bucket(bct_model_cache_t *c, uint64_t hash)
{
	return &c->buckets[hash % BCT_MODEL_CACHE_BUCKETS];
}

static bct_model_block_t *cache_find(bct_model_cache_t *c, uint64_t hash)
{
	bct_list_t *head = cache_bucket(c, hash);
	bct_list_t *el;

	bct_list_for_each(el, head) {
		bct_model_block_t *b = bct_container_of(el, bct_model_block_t, bucket);

		if (b->hash == hash)
			return b;
	}
	return NULL;
}

static void cache_touch(bct_model_cache_t *c, bct_model_block_t *b)
{
	bct_list_del(&b->lru);
	bct_list_add_head(&b->lru, &c->lru);
}

int bct_model_cache_init(bct_model_cache_t *c, uint32_t cap, bct_model_cache_event_fn event,
			 void *ctx)
{
	c->blocks = bct_alloc(cap * sizeof(*c->blocks));
	if (!c->blocks)
		return -BCT_ENOMEM;
	c->cap = cap;
	c->event = event;
	c->ctx = ctx;
	bct_model_cache_reset(c);
	return 0;
}

void bct_model_cache_free(bct_model_cache_t *c)
{
	bct_free(c->blocks);
	c->blocks = NULL;
}

void bct_model_cache_reset(bct_model_cache_t *c)
{
	c->n = 0;
	bct_list_init(&c->lru);
	for (uint32_t i = 0; i < BCT_MODEL_CACHE_BUCKETS; i++)
		bct_list_init(&c->buckets[i]);
}

uint32_t bct_model_cache_peek(bct_model_cache_t *c, const uint64_t *prefix, uint32_t n)
{
	uint32_t found = 0;

	while (found < n && cache_find(c, prefix[found]))
		found++;
	return found;
}

uint32_t bct_model_cache_match(bct_model_cache_t *c, const uint64_t *prefix, uint32_t n)
{
	uint32_t found = bct_model_cache_peek(c, prefix, n);

	/* The first block ends as the most recent: a block is useless without those before it. */
	for (uint32_t i = found; i > 0; i--)
		cache_touch(c, cache_find(c, prefix[i - 1]));
	return found;
}

/* Returns an unused entry; evicts the least recently used block when there is none. */
static bct_model_block_t *cache_new_block(bct_model_cache_t *c)
{
	bct_model_block_t *b;

	if (c->n < c->cap)
		return &c->blocks[c->n++];
	b = bct_container_of(c->lru.prev, bct_model_block_t, lru);
	c->event(c->ctx, b->hash, false);
	bct_list_del(&b->lru);
	bct_list_del(&b->bucket);
	return b;
}

void bct_model_cache_add(bct_model_cache_t *c, const uint64_t *prefix, uint32_t n)
{
	for (uint32_t i = n; i > 0; i--) {
		bct_model_block_t *b = cache_find(c, prefix[i - 1]);

		if (b) {
			cache_touch(c, b);
			continue;
		}
		b = cache_new_block(c);
		b->hash = prefix[i - 1];
		bct_list_add_head(&b->lru, &c->lru);
		bct_list_add_head(&b->bucket, cache_bucket(c, b->hash));
		c->event(c->ctx, b->hash, true);
	}
}
