/*
 * totals_partial.c - the table of entries, their partial sums, and the encoding of a sum.
 */
#include "coord/totals_int.h"
#include "base/mem.h"

#include <string.h>

#define MANTISSA_BITS 10
#define EXPONENT_MAX 31
#define AGE_UNIT_MS 50	   /* unit of the age in peer_part.head */
#define AGE_MAX_UNITS 4095 /* 12 bits of peer_part.head */
#define NODES_MAX 2047	   /* 11 bits of peer_part.head */

uint64_t bct_totals_id(bct_item_type_t type, uint64_t key, uint64_t key2)
{
	return bct_hash_mix(bct_hash_mix(type, key), key2);
}

/*
 * Encodes a value in 16 bits: 10 bits of mantissa, 5 of exponent, 1 of sign. Exact below 1,024 and
 * within 1/2,048 above.
 */
static uint32_t value_encode(int64_t v)
{
	uint64_t m = v < 0 ? 0 - (uint64_t)v : (uint64_t)v;
	uint32_t e = 0;

	while (m >> e >= 1u << MANTISSA_BITS && e < EXPONENT_MAX)
		e++;
	m = e ? (m + (UINT64_C(1) << (e - 1))) >> e : m;
	if (m >= 1u << MANTISSA_BITS) {
		m = e < EXPONENT_MAX ? m >> 1 : (1u << MANTISSA_BITS) - 1;
		e += e < EXPONENT_MAX;
	}
	return (uint32_t)m | e << MANTISSA_BITS | (v < 0 ? 0x8000u : 0);
}

static int64_t value_decode(uint32_t bits)
{
	int64_t m = bits & ((1u << MANTISSA_BITS) - 1);

	m <<= bits >> MANTISSA_BITS & EXPONENT_MAX;
	return bits & 0x8000u ? -m : m;
}

/* Encodes a sum; level and group are those of the receiver. schema/peer.x has the bits of head. */
void bct_totals_encode(bct_time_t now, uint64_t id, uint32_t level, uint32_t group,
		       const partial_t *value, peer_part *out)
{
	bct_time_t age = now > value->sampled_at ? (now - value->sampled_at) / AGE_UNIT_MS : 0;
	uint32_t nodes = value->nodes < NODES_MAX ? value->nodes : NODES_MAX;

	out->id = id;
	out->head = level | group << 2 | nodes << 9 |
		    (uint32_t)(age < AGE_MAX_UNITS ? age : AGE_MAX_UNITS) << 20;
	out->v01 = value_encode(value->v[0]) | value_encode(value->v[1]) << 16;
	out->v23 = value_encode(value->v[2]) | value_encode(value->v[3]) << 16;
}

void bct_totals_decode(bct_time_t now, const peer_part *p, uint32_t *level, uint32_t *group,
		       partial_t *out)
{
	memset(out, 0, sizeof(*out));
	*level = p->head & 3;
	*group = p->head >> 2 & NO_GROUP;
	out->nodes = p->head >> 9 & NODES_MAX;
	out->sampled_at = now - (bct_time_t)(p->head >> 20) * AGE_UNIT_MS;
	out->v[0] = value_decode(p->v01 & 0xffff);
	out->v[1] = value_decode(p->v01 >> 16);
	out->v[2] = value_decode(p->v23 & 0xffff);
	out->v[3] = value_decode(p->v23 >> 16);
}

entry_t *bct_totals_find(const bct_totals_t *t, uint64_t id, uint32_t level, uint32_t group)
{
	for (uint32_t i = 0; i < t->n; i++) {
		entry_t *e = t->entries[i];

		if (e->id == id && e->level == level && e->group == group)
			return e;
	}
	return NULL;
}

/*
 * Finds or creates an entry; NULL when the table is full or without memory. An aggregator that is
 * created soon after a change of members waits for the partial sums before it sends anything.
 */
entry_t *bct_totals_entry(bct_totals_t *t, bct_time_t now, uint64_t id, uint32_t level,
			  uint32_t group)
{
	entry_t *e = bct_totals_find(t, id, level, group);

	if (e || t->n >= BCT_TOTALS_ITEMS_MAX)
		return e;
	if (t->n == t->cap) {
		uint32_t cap = t->cap ? t->cap * 2 : 32;
		entry_t **v = bct_realloc(t->entries, cap * sizeof(*v));

		if (!v)
			return NULL;
		t->entries = v;
		t->cap = cap;
	}
	e = bct_alloc(sizeof(*e));
	if (!e)
		return NULL;
	e->id = id;
	e->level = level;
	e->group = group;
	if (level != LEVEL_LEAF && now - t->members_changed_at < AGGREGATOR_SETTLE_MS)
		e->settle_deadline = now + AGGREGATOR_SETTLE_MS;
	t->entries[t->n++] = e;
	return e;
}

void bct_totals_remove(bct_totals_t *t, uint32_t i)
{
	bct_free(t->entries[i]->partials);
	bct_free(t->entries[i]);
	t->entries[i] = t->entries[--t->n];
}

/*
 * Finds the partial sum of a child: by group if it has one, else by the sender. With `create` a
 * missing one is added, zeroed. NULL when there is none or without memory.
 */
partial_t *bct_totals_partial(entry_t *e, uint64_t from, uint32_t group, bool create)
{
	for (uint32_t i = 0; i < e->n; i++) {
		partial_t *p = &e->partials[i];

		if (p->group == group && (group != NO_GROUP || p->from == from))
			return p;
	}
	if (!create)
		return NULL;
	if (e->n == e->cap) {
		uint32_t cap = e->cap ? e->cap * 2 : 2;
		partial_t *v = bct_realloc(e->partials, cap * sizeof(*v));

		if (!v)
			return NULL;
		e->partials = v;
		e->cap = cap;
	}
	memset(&e->partials[e->n], 0, sizeof(*e->partials));
	return &e->partials[e->n++];
}

void bct_totals_drop_partial(entry_t *e, uint32_t i)
{
	e->partials[i] = e->partials[--e->n];
}

/* Adds up the partial sums of an entry. The result is as old as the oldest of them. */
void bct_totals_sum(const entry_t *e, partial_t *out)
{
	memset(out, 0, sizeof(*out));
	out->sampled_at = BCT_TIME_NEVER;
	for (uint32_t i = 0; i < e->n; i++) {
		const partial_t *p = &e->partials[i];

		out->nodes += p->nodes;
		for (int j = 0; j < BCT_ITEM_VALUES; j++)
			out->v[j] += p->v[j];
		if (p->sampled_at < out->sampled_at)
			out->sampled_at = p->sampled_at;
	}
}

/* Whether a value changed by more than 1/8 (CHANGE_SHIFT) of what it was. */
static bool exceeds_threshold(int64_t now, int64_t before)
{
	int64_t step = now > before ? now - before : before - now;

	return step > (before < 0 ? -before : before) >> CHANGE_SHIFT;
}

/* Whether a sum changed enough to be sent before its refresh is due. */
bool bct_totals_differs(const partial_t *now, const last_sent_t *before)
{
	if (exceeds_threshold(now->nodes, before->nodes))
		return true;
	for (int i = 0; i < BCT_ITEM_VALUES; i++) {
		if (exceeds_threshold(now->v[i], before->v[i]))
			return true;
	}
	return false;
}
