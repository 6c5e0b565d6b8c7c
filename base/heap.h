/*
 * heap.h - intrusive pairing heap: smallest key first, any node can be removed, no allocation.
 */
#ifndef BCT_BASE_HEAP_H
#define BCT_BASE_HEAP_H

#include <stdbool.h>
#include <stdint.h>

/* All zero: the node is in no heap. */
typedef struct bct_heap_node {
	struct bct_heap_node *child; /* first child */
	struct bct_heap_node *next;  /* right sibling */
	struct bct_heap_node *prev;  /* left sibling; parent, for a first child */
	int64_t key;
	bool linked; /* in a heap */
} bct_heap_node_t;

/* All zero: an empty heap. */
typedef struct bct_heap {
	bct_heap_node_t *root; /* the node with the smallest key; NULL: empty */
} bct_heap_t;

/* bct_heap_add(3): insert a node with a key. The node must be in no heap. */
void bct_heap_add(bct_heap_t *h, bct_heap_node_t *node, int64_t key);

/* bct_heap_del(3): remove a node; does nothing for a node that is in no heap. */
void bct_heap_del(bct_heap_t *h, bct_heap_node_t *node);

/* bct_heap_set(3): change the key of a node, or insert it if it is in no heap. */
void bct_heap_set(bct_heap_t *h, bct_heap_node_t *node, int64_t key);

#endif
