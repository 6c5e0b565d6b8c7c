/*
 * map.c - hash table with linear probing and a load factor of at most one half. Deletion shifts
 * later entries back instead of leaving tombstones.
 */
#include "base/map.h"
#include "base/err.h"
#include "base/mem.h"

#include <stddef.h>

#define MAP_MIN_SLOTS 16

/*
 * The slot where the search for a key begins. Keys may be counters or hashes; the multiplication
 * distributes both evenly.
 */
static uint32_t map_home(const bct_map_t *m, uint64_t key)
{
	key ^= key >> 32;
	key *= 0x9e3779b97f4a7c15ULL;
	return (uint32_t)(key >> 32) & (m->cap - 1);
}

/* The slot of a key, or the free slot where it would be stored. */
static bct_map_slot_t *map_find(const bct_map_t *m, uint64_t key)
{
	uint32_t i = map_home(m, key);

	while (m->slots[i].value && m->slots[i].key != key)
		i = (i + 1) & (m->cap - 1);
	return &m->slots[i];
}

void bct_map_free(bct_map_t *m)
{
	bct_free(m->slots);
	*m = (bct_map_t){ 0 };
}

int bct_map_reserve(bct_map_t *m, uint32_t n)
{
	bct_map_t grown = { .cap = m->cap ? m->cap : MAP_MIN_SLOTS, .n = m->n };
	uint32_t i;

	while (grown.cap / 2 < n)
		grown.cap *= 2;
	if (grown.cap == m->cap)
		return 0;
	grown.slots = bct_alloc(grown.cap * sizeof(*grown.slots));
	if (!grown.slots)
		return -BCT_ENOMEM;
	for (i = 0; i < m->cap; i++) {
		if (m->slots[i].value)
			*map_find(&grown, m->slots[i].key) = m->slots[i];
	}
	bct_free(m->slots);
	*m = grown;
	return 0;
}

int bct_map_put(bct_map_t *m, uint64_t key, void *value)
{
	bct_map_slot_t *slot;
	int err = bct_map_reserve(m, m->n + 1);

	if (err)
		return err;
	slot = map_find(m, key);
	if (!slot->value)
		m->n++;
	*slot = (bct_map_slot_t){ key, value };
	return 0;
}

void *bct_map_get(const bct_map_t *m, uint64_t key)
{
	return m->cap ? map_find(m, key)->value : NULL;
}

void *bct_map_del(bct_map_t *m, uint64_t key)
{
	uint32_t mask = m->cap - 1;
	uint32_t hole, i, home;
	void *value;

	if (!m->cap)
		return NULL;
	hole = (uint32_t)(map_find(m, key) - m->slots);
	value = m->slots[hole].value;
	if (!value)
		return NULL;
	m->n--;
	/* An entry may move into the hole unless its home slot lies after the hole. */
	for (i = (hole + 1) & mask; m->slots[i].value; i = (i + 1) & mask) {
		home = map_home(m, m->slots[i].key);
		if (((i - home) & mask) < ((i - hole) & mask))
			continue;
		m->slots[hole] = m->slots[i];
		hole = i;
	}
	m->slots[hole].value = NULL;
	return value;
}

void *bct_map_next(const bct_map_t *m, uint32_t *pos)
{
	while (*pos < m->cap) {
		void *value = m->slots[(*pos)++].value;

		if (value)
			return value;
	}
	return NULL;
}

void *bct_map_get_new(bct_map_t *m, uint64_t key, size_t size_bytes)
{
	void *value = bct_map_get(m, key);

	if (value)
		return value;
	value = bct_alloc(size_bytes);
	if (value && bct_map_put(m, key, value)) {
		bct_free(value);
		value = NULL;
	}
	return value;
}

void bct_map_free_values(bct_map_t *m)
{
	uint32_t pos = 0;
	void *value;

	while ((value = bct_map_next(m, &pos)) != NULL)
		bct_free(value);
	bct_map_free(m);
}
