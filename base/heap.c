/*
 * heap.c - pairing heap with two-pass merging.
 */
#include "base/heap.h"

#include <stddef.h>

/* Merges two trees: the root with the smaller key becomes the parent of the other. */
static bct_heap_node_t *heap_meld(bct_heap_node_t *a, bct_heap_node_t *b)
{
	bct_heap_node_t *tmp;

	if (!a)
		return b;
	if (!b)
		return a;
	if (b->key < a->key) {
		tmp = a;
		a = b;
		b = tmp;
	}
	b->prev = a;
	b->next = a->child;
	if (a->child)
		a->child->prev = b;
	a->child = b;
	return a;
}

/*
 * Merges a list of siblings into one tree in two passes: melds pairs from left to right, then melds
 * the resulting trees from right to left.
 */
static bct_heap_node_t *heap_merge_pairs(bct_heap_node_t *first)
{
	bct_heap_node_t *stack = NULL, *a, *b, *rest;

	for (; first; first = rest) {
		a = first;
		b = a->next;
		rest = b ? b->next : NULL;
		a->next = a->prev = NULL;
		if (b)
			b->next = b->prev = NULL;
		a = heap_meld(a, b);
		a->next = stack;
		stack = a;
	}
	for (a = NULL; stack; stack = rest) {
		rest = stack->next;
		stack->next = NULL;
		a = heap_meld(a, stack);
	}
	return a;
}

void bct_heap_add(bct_heap_t *h, bct_heap_node_t *node, int64_t key)
{
	*node = (bct_heap_node_t){ .key = key, .linked = true };
	h->root = heap_meld(h->root, node);
}

void bct_heap_del(bct_heap_t *h, bct_heap_node_t *node)
{
	bct_heap_node_t *sub;

	if (!node->linked)
		return;
	sub = heap_merge_pairs(node->child);
	if (h->root == node) {
		h->root = sub;
	} else {
		if (node->prev->child == node)
			node->prev->child = node->next;
		else
			node->prev->next = node->next;
		if (node->next)
			node->next->prev = node->prev;
		h->root = heap_meld(h->root, sub);
	}
	*node = (bct_heap_node_t){ 0 };
}

void bct_heap_set(bct_heap_t *h, bct_heap_node_t *node, int64_t key)
{
	if (node->linked && node->key == key)
		return;
	bct_heap_del(h, node);
	bct_heap_add(h, node, key);
}
