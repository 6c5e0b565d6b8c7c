/*
 * prefix.c - index of prompt prefixes: a hash table in least-recently-used order.
 */
#include "policy/prefix.h"
#include "base/mem.h"

#include <stddef.h>

#define PREFIX_GAP_FACTOR 0.7 /* factor on the confidence at a gap in the sequence numbers */
#define PREFIX_RECOVERY 0.02  /* part of the missing confidence regained with each event */

void bct_prefix_init(bct_prefix_t *p, uint32_t max_blocks)
{
	*p = (bct_prefix_t){ .max = max_blocks };
	bct_list_init(&p->lru);
}

void bct_prefix_free(bct_prefix_t *p)
{
	uint32_t pos = 0;
	bct_prefix_entry_t *e;

	while ((e = bct_map_next(&p->map, &pos)))
		bct_free(e);
	bct_map_free(&p->map);
}

void bct_prefix_feed_init(bct_prefix_feed_t *f)
{
	*f = (bct_prefix_feed_t){ .epoch = 1, .confidence = 1 };
}

/*
 * Finds or creates the entry of a block. When the table is full, the least recently used entry is
 * reused. NULL without memory.
 */
static bct_prefix_entry_t *prefix_entry(bct_prefix_t *p, uint64_t block)
{
	bct_prefix_entry_t *e = bct_map_get(&p->map, block);

	if (e) {
		bct_list_del(&e->lru);
		bct_list_add_tail(&e->lru, &p->lru);
		return e;
	}
	if (p->map.n >= p->max) {
		e = bct_container_of(p->lru.next, bct_prefix_entry_t, lru);
		bct_list_del(&e->lru);
		bct_map_del(&p->map, e->block);
	} else {
		e = bct_alloc(sizeof(*e));
	}
	if (!e)
		return NULL;
	*e = (bct_prefix_entry_t){ .block = block };
	if (bct_map_put(&p->map, block, e)) {
		bct_free(e);
		return NULL;
	}
	bct_list_add_tail(&e->lru, &p->lru);
	return e;
}

void bct_prefix_add(bct_prefix_t *p, const bct_prefix_feed_t *f, uint16_t index, uint64_t block)
{
	bct_prefix_entry_t *e = prefix_entry(p, block);
	uint32_t i, slot = BCT_PREFIX_HOLDERS;

	if (!e)
		return;
	for (i = 0; i < BCT_PREFIX_HOLDERS; i++) {
		if (e->holders[i].used && e->holders[i].index == index) {
			e->holders[i].epoch = f->epoch;
			return;
		}
		if (!e->holders[i].used && slot == BCT_PREFIX_HOLDERS)
			slot = i;
	}
	if (slot == BCT_PREFIX_HOLDERS)
		slot = e->oldest++ % BCT_PREFIX_HOLDERS;
	e->holders[slot] = (bct_prefix_holder_t){ f->epoch, index, true };
}

void bct_prefix_remove(bct_prefix_t *p, uint16_t index, uint64_t block)
{
	bct_prefix_entry_t *e = bct_map_get(&p->map, block);
	uint32_t i;

	for (i = 0; e && i < BCT_PREFIX_HOLDERS; i++) {
		if (e->holders[i].index == index)
			e->holders[i].used = false;
	}
}

void bct_prefix_reset(bct_prefix_feed_t *f)
{
	f->epoch++;
	f->confidence = 1;
}

bool bct_prefix_event(bct_prefix_feed_t *f, uint64_t seq)
{
	if (f->seq && seq <= f->seq)
		return false;
	if (f->seq && seq > f->seq + 1)
		f->confidence *= PREFIX_GAP_FACTOR;
	else
		f->confidence += (1 - f->confidence) * PREFIX_RECOVERY;
	f->seq = seq;
	return true;
}

const bct_prefix_entry_t *bct_prefix_find(const bct_prefix_t *p, const uint64_t *blocks, uint32_t n,
					  uint32_t *n_found)
{
	const bct_prefix_entry_t *e = NULL;
	uint32_t lo = 0, hi = n, mid;

	/*
	 * An engine that holds a prefix holds the shorter ones too, so a binary search finds the
	 * longest.
	 */
	while (lo < hi) {
		const bct_prefix_entry_t *at;

		mid = (lo + hi + 1) / 2;
		at = bct_map_get(&p->map, blocks[mid - 1]);
		if (at) {
			e = at;
			lo = mid;
		} else {
			hi = mid - 1;
		}
	}
	*n_found = lo;
	return e;
}

static bool prefix_holds(const bct_prefix_t *p, const bct_prefix_feed_t *f, uint16_t index,
			 uint64_t block)
{
	const bct_prefix_entry_t *e = bct_map_get(&p->map, block);
	uint32_t i;

	for (i = 0; e && i < BCT_PREFIX_HOLDERS; i++) {
		if (e->holders[i].used && e->holders[i].index == index)
			return e->holders[i].epoch == f->epoch;
	}
	return false;
}

uint32_t bct_prefix_match(const bct_prefix_t *p, const bct_prefix_feed_t *f, uint16_t index,
			  const uint64_t *blocks, uint32_t n)
{
	uint32_t lo = 0, hi = n, mid;

	while (lo < hi) {
		mid = (lo + hi + 1) / 2;
		if (prefix_holds(p, f, index, blocks[mid - 1]))
			lo = mid;
		else
			hi = mid - 1;
	}
	return lo;
}
