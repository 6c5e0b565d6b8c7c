#include "standin/prefix_cache.h"

#include "base/mem.h"

#include <inttypes.h>
#include <stdio.h>

#define PERMILLE 1000

typedef struct block {
	bct_list_t link;
	uint64_t hash;
} block_t;

static block_t *find(const bct_prefix_cache_t *c, uint64_t hash)
{
	bct_list_t *el;

	bct_list_for_each(el, &c->blocks) {
		block_t *b = bct_container_of(el, block_t, link);

		if (b->hash == hash)
			return b;
	}
	return NULL;
}

static void record_event(bct_prefix_cache_t *c, const char *op, uint64_t hash)
{
	bct_cache_event_t *e = &c->events[c->next_seq++ % BCT_CACHE_EVENTS];

	e->op = bct_rng_below(&c->rng, PERMILLE) < c->gap_permille ? NULL : op;
	e->block = hash;
	e->at_ms = bct_clock_now();
}

static void evict_lru(bct_prefix_cache_t *c)
{
	block_t *b = bct_container_of(c->blocks.prev, block_t, link);

	record_event(c, "remove", b->hash);
	bct_list_del(&b->link);
	bct_free(b);
	c->n--;
}

void bct_prefix_cache_init(bct_prefix_cache_t *c, uint32_t max_blocks, uint64_t seed)
{
	bct_list_init(&c->blocks);
	c->max_blocks = max_blocks;
	bct_rng_seed(&c->rng, seed);
}

void bct_prefix_cache_clear(bct_prefix_cache_t *c)
{
	while (!bct_list_empty(&c->blocks)) {
		block_t *b = bct_container_of(c->blocks.next, block_t, link);

		bct_list_del(&b->link);
		bct_free(b);
	}
	c->n = 0;
	record_event(c, "reset", 0);
}

static void insert_or_touch(bct_prefix_cache_t *c, uint64_t hash)
{
	block_t *b = find(c, hash);

	if (b) {
		bct_list_del(&b->link);
		bct_list_add_head(&b->link, &c->blocks);
		return;
	}
	b = bct_alloc(sizeof(*b));
	if (!b)
		return;
	b->hash = hash;
	bct_list_add_head(&b->link, &c->blocks);
	record_event(c, "add", hash);
	if (++c->n > c->max_blocks)
		evict_lru(c);
}

uint32_t bct_prefix_cache_use(bct_prefix_cache_t *c, const uint64_t *blocks, uint32_t n)
{
	uint32_t hits = 0;

	while (hits < n && find(c, blocks[hits]))
		hits++;
	for (uint32_t i = 0; i < n; i++)
		insert_or_touch(c, blocks[i]);
	return hits;
}

int bct_prefix_cache_has(const bct_prefix_cache_t *c, uint64_t block)
{
	return find(c, block) != NULL;
}

json_t *bct_prefix_cache_events(const bct_prefix_cache_t *c, uint64_t from, bct_time_t now)
{
	json_t *events = json_array();
	uint64_t oldest = c->next_seq > BCT_CACHE_EVENTS ? c->next_seq - BCT_CACHE_EVENTS : 0;
	uint64_t seq = from > oldest ? from : oldest;

	for (; seq < c->next_seq; seq++) {
		const bct_cache_event_t *e = &c->events[seq % BCT_CACHE_EVENTS];
		char hex[17];

		if (now - e->at_ms < (bct_time_t)c->lag_ms)
			break;
		if (!e->op)
			continue;
		snprintf(hex, sizeof(hex), "%016" PRIx64, e->block);
		json_array_append_new(events, json_pack("{sIssss}", "seq", (json_int_t)seq, "op",
							e->op, "block", hex));
	}
	return json_pack("{sosI}", "events", events, "next", (json_int_t)seq);
}
