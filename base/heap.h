/*
 * heap.h - intrusive pairing heap: the least key first, any member removable, no allocation.
 */
#ifndef BCT_BASE_HEAP_H
#define BCT_BASE_HEAP_H

#include <stdbool.h>
#include <stdint.h>

/* All zero is a node in no heap. */
typedef struct bct_heap_node {
	struct bct_heap_node *child;
	struct bct_heap_node *next;
	struct bct_heap_node *prev; /* the left sibling, or the parent of a first child */
	int64_t key;
	bool linked;
} bct_heap_node_t;

typedef struct bct_heap {
	bct_heap_node_t *root; /* the least, or NULL */
} bct_heap_t;

/* bct_heap_add(3): insert under a key. The node must be in no heap. */
void bct_heap_add(bct_heap_t *h, bct_heap_node_t *node, int64_t key);

/* bct_heap_del(3): take a node out; harmless for one that is in no heap. */
void bct_heap_del(bct_heap_t *h, bct_heap_node_t *node);

/* bct_heap_set(3): insert under a key, or move there. */
void bct_heap_set(bct_heap_t *h, bct_heap_node_t *node, int64_t key);

#endif
