/*
 * totals_partial.c - tables of items, the parts that their sums are made of, and their wire form.
 */
#include "coord/totals_int.h"
#include "base/mem.h"

#include <string.h>

#define MANTISSA_BITS 10
#define EXPONENT_MAX 31
#define AGE_UNIT_MS 50
#define AGE_MAX_UNITS 4095
#define NODES_MAX 2047

uint64_t bct_totals_id(bct_item_type_t type, uint64_t key, uint64_t key2)
{
	return bct_hash_mix(bct_hash_mix(type, key), key2);
}

/* A value in 16 bits: exact below 1,024 and within 1/2,048 above. */
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

void bct_totals_encode(bct_time_t now, uint64_t id, uint32_t level, uint32_t group,
		       const part_t *value, peer_part *out)
{
	bct_time_t age = now > value->stamp ? (now - value->stamp) / AGE_UNIT_MS : 0;
	uint32_t nodes = value->nodes < NODES_MAX ? value->nodes : NODES_MAX;

	out->id = id;
	out->head = level | group << 2 | nodes << 9 |
		    (uint32_t)(age < AGE_MAX_UNITS ? age : AGE_MAX_UNITS) << 20;
	out->v01 = value_encode(value->v[0]) | value_encode(value->v[1]) << 16;
	out->v23 = value_encode(value->v[2]) | value_encode(value->v[3]) << 16;
}

void bct_totals_decode(bct_time_t now, const peer_part *p, uint32_t *level, uint32_t *group,
		       part_t *out)
{
	memset(out, 0, sizeof(*out));
	*level = p->head & 3;
	*group = p->head >> 2 & NO_GROUP;
	out->nodes = p->head >> 9 & NODES_MAX;
	out->stamp = now - (bct_time_t)(p->head >> 20) * AGE_UNIT_MS;
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

/* Finds or makes an entry; NULL when the table is full or memory is out. */
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
	if (level != LEVEL_LEAF && now - t->fleet_changed < HOME_HOLD_MS)
		e->hold_until = now + HOME_HOLD_MS;
	t->entries[t->n++] = e;
	return e;
}

void bct_totals_remove(bct_totals_t *t, uint32_t i)
{
	bct_free(t->entries[i]->parts);
	bct_free(t->entries[i]);
	t->entries[i] = t->entries[--t->n];
}

/* Finds a child's part, or makes room for it; NULL when there is none. */
part_t *bct_totals_part(entry_t *e, uint64_t from, uint32_t group, bool make)
{
	for (uint32_t i = 0; i < e->n; i++) {
		part_t *p = &e->parts[i];

		if (p->group == group && (group != NO_GROUP || p->from == from))
			return p;
	}
	if (!make)
		return NULL;
	if (e->n == e->cap) {
		uint32_t cap = e->cap ? e->cap * 2 : 2;
		part_t *v = bct_realloc(e->parts, cap * sizeof(*v));

		if (!v)
			return NULL;
		e->parts = v;
		e->cap = cap;
	}
	memset(&e->parts[e->n], 0, sizeof(*e->parts));
	return &e->parts[e->n++];
}

void bct_totals_drop_part(entry_t *e, uint32_t i)
{
	e->parts[i] = e->parts[--e->n];
}

void bct_totals_sum(const entry_t *e, part_t *out)
{
	memset(out, 0, sizeof(*out));
	out->stamp = BCT_TIME_NEVER;
	for (uint32_t i = 0; i < e->n; i++) {
		const part_t *p = &e->parts[i];

		out->nodes += p->nodes;
		for (int j = 0; j < BCT_ITEM_VALUES; j++)
			out->v[j] += p->v[j];
		if (p->stamp < out->stamp)
			out->stamp = p->stamp;
	}
}

static bool moved(int64_t now, int64_t before)
{
	int64_t step = now > before ? now - before : before - now;

	return step > (before < 0 ? -before : before) >> CHANGE_SHIFT;
}

/* Whether a sum moved far enough to be worth sending before the refresh. */
bool bct_totals_differs(const part_t *now, const sent_t *before)
{
	if (moved(now->nodes, before->nodes))
		return true;
	for (int i = 0; i < BCT_ITEM_VALUES; i++) {
		if (moved(now->v[i], before->v[i]))
			return true;
	}
	return false;
}
