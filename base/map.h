/*
 * map.h - open-addressing hash table from a 64-bit key to a pointer; not thread-safe.
 */
#ifndef BCT_BASE_MAP_H
#define BCT_BASE_MAP_H

#include <stddef.h>
#include <stdint.h>

typedef struct bct_map_slot {
	uint64_t key;
	void *value; /* NULL: the slot is free */
} bct_map_slot_t;

/* All zero: an empty table. */
typedef struct bct_map {
	bct_map_slot_t *slots;
	uint32_t cap; /* a power of two, or 0 */
	uint32_t n;   /* entries */
} bct_map_t;

/* bct_map_free(3): free the table, not the values; the table is empty afterwards. */
void bct_map_free(bct_map_t *m);

/*
 * bct_map_reserve(3): make room for n entries in total, so that bct_map_put(3) cannot fail up to
 * then.
 *
 * returns  0, or -BCT_ENOMEM with the table unchanged
 */
int bct_map_reserve(bct_map_t *m, uint32_t n);

/*
 * bct_map_put(3): store a value under a key; replaces the previous value, if any.
 *
 * value    not NULL
 * returns  0 or -BCT_ENOMEM
 */
int bct_map_put(bct_map_t *m, uint64_t key, void *value);

/* bct_map_get(3): the value of a key, or NULL. */
void *bct_map_get(const bct_map_t *m, uint64_t key);

/*
 * bct_map_get_new(3): the value of a key; if there is none, a new one from bct_alloc(3), zeroed.
 *
 * returns  NULL if memory is short
 */
void *bct_map_get_new(bct_map_t *m, uint64_t key, size_t size_bytes);

/* bct_map_free_values(3): as bct_map_free(3), and frees the values with bct_free(3). */
void bct_map_free_values(bct_map_t *m);

/* bct_map_del(3): remove a key. returns its value, or NULL if it was not there. */
void *bct_map_del(bct_map_t *m, uint64_t key);

/*
 * bct_map_next(3): iterate over all values in no particular order. The table must not change
 * meanwhile.
 *
 * pos      0 for the first call; advanced by each call
 * returns  a value, or NULL at the end
 */
void *bct_map_next(const bct_map_t *m, uint32_t *pos);

#endif
