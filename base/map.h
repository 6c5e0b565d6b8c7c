/*
 * map.h - open-addressing table from a 64-bit key to a pointer, for state that one thread owns.
 */
#ifndef BCT_BASE_MAP_H
#define BCT_BASE_MAP_H

#include <stdint.h>

typedef struct bct_map_slot {
	uint64_t key;
	void *value; /* NULL: the slot is free */
} bct_map_slot_t;

/* All zero is an empty table. */
typedef struct bct_map {
	bct_map_slot_t *slots;
	uint32_t cap; /* a power of two, or 0 */
	uint32_t n;
} bct_map_t;

void bct_map_free(bct_map_t *m);

/*
 * bct_map_reserve(3): make room, so that puts up to n entries in all cannot fail.
 *
 * returns  0 or -BCT_ENOMEM, and then the table is as it was
 */
int bct_map_reserve(bct_map_t *m, uint32_t n);

/*
 * bct_map_put(3): store a value under a key, in place of the one there.
 *
 * value    not NULL
 * returns  0 or -BCT_ENOMEM
 */
int bct_map_put(bct_map_t *m, uint64_t key, void *value);

/* bct_map_get(3), bct_map_del(3): the value of a key, kept or taken out; NULL when absent. */
void *bct_map_get(const bct_map_t *m, uint64_t key);
void *bct_map_del(bct_map_t *m, uint64_t key);

/*
 * bct_map_next(3): walk over all values, in no order. The table must not change meanwhile.
 *
 * pos      0 at the start, advanced by each call
 * returns  a value, or NULL at the end
 */
void *bct_map_next(const bct_map_t *m, uint32_t *pos);

#endif
