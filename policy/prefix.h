/*
 * prefix.h - which upstreams hold which prompt prefixes, learnt from cache events, which arrive
 * late and with gaps, and from what this node sent. A bounded index from block to a few holders.
 */
#ifndef BCT_POLICY_PREFIX_H
#define BCT_POLICY_PREFIX_H

#include "base/list.h"
#include "base/map.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_PREFIX_HOLDERS 6
#define BCT_PREFIX_BLOCKS 65536

/* One upstream as a source of cache events. */
typedef struct bct_prefix_feed {
	uint64_t seq;	/* of the latest event; 0: none yet */
	uint32_t epoch; /* a reset starts a new one; blocks of older epochs are not held any more */
	double confidence; /* 0 to 1; falls with each gap, recovers with events in order */
} bct_prefix_feed_t;

typedef struct bct_prefix_holder {
	uint32_t epoch;
	uint16_t index; /* of the upstream */
	bool used;
} bct_prefix_holder_t;

typedef struct bct_prefix_entry {
	uint64_t block; /* hash as in bct_req_desc_t */
	bct_list_t lru;
	bct_prefix_holder_t holders[BCT_PREFIX_HOLDERS];
	uint8_t oldest; /* index of the holder to overwrite when all are used */
} bct_prefix_entry_t;

typedef struct bct_prefix {
	bct_map_t map;
	bct_list_t lru; /* least recently used first */
	uint32_t max;	/* entries */
} bct_prefix_t;

void bct_prefix_init(bct_prefix_t *p, uint32_t max_blocks);
void bct_prefix_free(bct_prefix_t *p);
void bct_prefix_feed_init(bct_prefix_feed_t *f);

/*
 * bct_prefix_add(3), bct_prefix_remove(3): an upstream holds a block, or no longer does. Without
 * memory a block is not recorded.
 */
void bct_prefix_add(bct_prefix_t *p, const bct_prefix_feed_t *f, uint16_t index, uint64_t block);
void bct_prefix_remove(bct_prefix_t *p, uint16_t index, uint64_t block);

/* bct_prefix_reset(3): the upstream's cache is empty now. */
void bct_prefix_reset(bct_prefix_feed_t *f);

/*
 * bct_prefix_event(3): record the sequence number of an event.
 *
 * returns  false when it is not newer than the latest one; the event must be dropped then
 */
bool bct_prefix_event(bct_prefix_feed_t *f, uint64_t seq);

/*
 * bct_prefix_find(3): the entry of the longest prefix that any upstream may hold.
 *
 * blocks   n hashes as in bct_req_desc_t
 * n_found  set to the length of that prefix in blocks
 * returns  the entry, or NULL; valid until the next add
 */
const bct_prefix_entry_t *bct_prefix_find(const bct_prefix_t *p, const uint64_t *blocks, uint32_t n,
					  uint32_t *n_found);

/* bct_prefix_match(3): how many leading blocks one upstream holds. */
uint32_t bct_prefix_match(const bct_prefix_t *p, const bct_prefix_feed_t *f, uint16_t index,
			  const uint64_t *blocks, uint32_t n);

#endif
