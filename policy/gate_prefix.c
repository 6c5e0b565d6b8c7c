/*
 * gate_prefix.c - one entry per segment, with the upstreams that it was last sent to.
 */
#include "policy/gate_prefix.h"
#include "base/mem.h"

#include <string.h>

#define HALVINGS_MAX 32 /* bits of a count */

typedef struct entry {
	bct_list_t link;
	uint64_t segment;
	uint32_t uses;		/* requests with the segment */
	uint32_t recent;	/* the same, halved every keep_ms */
	bct_time_t recent_from; /* when it was last halved */
	bct_gate_holder_t holders[BCT_GATE_HOLDERS];
} entry_t;

void bct_gate_prefix_init(bct_gate_prefix_t *p, uint32_t max_segments, uint32_t keep_ms)
{
	memset(p, 0, sizeof(*p));
	bct_list_init(&p->lru);
	p->max = max_segments;
	p->keep_ms = keep_ms;
}

static void evict_oldest(bct_gate_prefix_t *p)
{
	entry_t *e = bct_container_of(p->lru.prev, entry_t, link);

	bct_map_del(&p->by_segment, e->segment);
	bct_list_del(&e->link);
	bct_free(e);
	p->n--;
}

void bct_gate_prefix_free(bct_gate_prefix_t *p)
{
	while (p->n)
		evict_oldest(p);
	bct_map_free(&p->by_segment);
}

/* Makes the entry the most recently used one. Returns NULL if memory is short. */
static entry_t *find_or_add(bct_gate_prefix_t *p, bct_time_t now, uint64_t segment)
{
	entry_t *e = bct_map_get(&p->by_segment, segment);

	if (e) {
		bct_list_del(&e->link);
		bct_list_add_head(&e->link, &p->lru);
		return e;
	}
	if (p->n >= p->max)
		evict_oldest(p);
	e = bct_alloc(sizeof(*e));
	if (!e)
		return NULL;
	e->segment = segment;
	e->recent_from = now;
	if (bct_map_put(&p->by_segment, segment, e)) {
		bct_free(e);
		return NULL;
	}
	bct_list_add_head(&e->link, &p->lru);
	p->n++;
	return e;
}

static uint32_t halvings(const bct_gate_prefix_t *p, bct_time_t now, const entry_t *e)
{
	bct_time_t n = (now - e->recent_from) / p->keep_ms;

	return n < HALVINGS_MAX ? (uint32_t)n : HALVINGS_MAX - 1;
}

static void halve(const bct_gate_prefix_t *p, bct_time_t now, entry_t *e)
{
	uint32_t n = halvings(p, now, e);

	if (!n)
		return;
	e->recent >>= n;
	e->recent_from = now;
}

/* Replaces the upstream that the segment was sent to longest ago, unless it is on record. */
static void record_holder(entry_t *e, bct_time_t now, const bct_gate_holder_t *h)
{
	bct_gate_holder_t *slot = &e->holders[0];

	e->uses++;
	for (uint32_t i = 0; i < BCT_GATE_HOLDERS; i++) {
		if (e->holders[i].upstream_key == h->upstream_key) {
			/* Keep ready: a cached segment stays cached during a new prefill. */
			e->holders[i].sent = now;
			return;
		}
		if (e->holders[i].sent < slot->sent)
			slot = &e->holders[i];
	}
	*slot = *h;
	slot->sent = now;
}

void bct_gate_prefix_sent(bct_gate_prefix_t *p, bct_time_t now, const bct_gate_segment_t *segments,
			  uint32_t n, const bct_gate_holder_t *h)
{
	for (uint32_t i = 0; i < n; i++) {
		entry_t *e = find_or_add(p, now, segments[i].id);

		if (!e)
			return;
		halve(p, now, e);
		e->recent++;
		record_holder(e, now, h);
	}
}

/* Whether the upstream should still hold the segment, by the time of the last send. */
static bool is_recent(const bct_gate_prefix_t *p, bct_time_t now, const bct_gate_holder_t *h)
{
	return h->upstream_key && now - h->sent < (bct_time_t)p->keep_ms;
}

bool bct_gate_prefix_holds(const bct_gate_prefix_t *p, bct_time_t now, uint64_t segment,
			   uint64_t upstream_key)
{
	const entry_t *e = bct_map_get(&p->by_segment, segment);

	for (uint32_t i = 0; e && i < BCT_GATE_HOLDERS; i++) {
		if (e->holders[i].upstream_key == upstream_key)
			return is_recent(p, now, &e->holders[i]);
	}
	return false;
}

uint64_t bct_gate_prefix_holder(const bct_gate_prefix_t *p, bct_time_t now, uint64_t segment,
				uint32_t i)
{
	const entry_t *e = bct_map_get(&p->by_segment, segment);

	if (!e || i >= BCT_GATE_HOLDERS || !is_recent(p, now, &e->holders[i]) ||
	    now < e->holders[i].ready)
		return 0;
	return e->holders[i].upstream_key;
}

bool bct_gate_prefix_shared(const bct_gate_prefix_t *p, uint64_t segment)
{
	const entry_t *e = bct_map_get(&p->by_segment, segment);

	return e && e->uses > 1;
}

uint32_t bct_gate_prefix_recent(const bct_gate_prefix_t *p, bct_time_t now, uint64_t segment)
{
	const entry_t *e = bct_map_get(&p->by_segment, segment);

	return e ? e->recent >> halvings(p, now, e) : 0;
}
