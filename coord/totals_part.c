/*
 * totals_part.c - tables of items and of the parts that their sums are made of.
 */
#include "coord/totals_int.h"
#include "base/mem.h"

#include <string.h>

static bool id_eq(const item_id_t *a, const item_id_t *b)
{
	return a->key == b->key && a->key2 == b->key2 && a->type == b->type;
}

entry_t *bct_totals_find(const bct_totals_t *t, const item_id_t *id, uint32_t level, uint32_t group)
{
	for (uint32_t i = 0; i < t->n; i++) {
		entry_t *e = t->entries[i];

		if (id_eq(&e->id, id) && e->level == level && e->group == group)
			return e;
	}
	return NULL;
}

/* Finds or makes an entry; NULL when the table is full or memory is out. */
entry_t *bct_totals_entry(bct_totals_t *t, bct_time_t now, const item_id_t *id, uint32_t level,
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
	e->id = *id;
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
	e->changed = true;
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

/* Whether a value moved far enough to be worth sending before the refresh. */
bool bct_totals_differs(const part_t *now, const sent_t *before)
{
	if (now->nodes != before->nodes)
		return true;
	for (int i = 0; i < BCT_ITEM_VALUES; i++) {
		int64_t step = now->v[i] - before->v[i];
		int64_t old = before->v[i] < 0 ? -before->v[i] : before->v[i];

		if ((step < 0 ? -step : step) > old >> CHANGE_SHIFT)
			return true;
	}
	return false;
}
