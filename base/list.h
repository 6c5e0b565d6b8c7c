/*
 * list.h - intrusive circular doubly linked list. The head is a node that is no element, so that no
 * function needs a special case for an empty list.
 */
#ifndef BCT_BASE_LIST_H
#define BCT_BASE_LIST_H

#include <stdbool.h>
#include <stddef.h>

typedef struct bct_list {
	struct bct_list *next;
	struct bct_list *prev;
} bct_list_t;

#define bct_container_of(ptr, type, member) ((type *)((char *)(ptr)-offsetof(type, member)))

#define bct_list_for_each(el, head) for (el = (head)->next; el != (head); el = el->next)

/* As bct_list_for_each(), but the loop may remove the current element. */
#define bct_list_for_each_safe(el, tmp, head) \
	for (el = (head)->next, tmp = el->next; el != (head); el = tmp, tmp = el->next)

static inline void bct_list_init(bct_list_t *head)
{
	head->next = head;
	head->prev = head;
}

static inline bool bct_list_empty(const bct_list_t *head)
{
	return head->next == head;
}

static inline void bct_list_insert(bct_list_t *el, bct_list_t *prev, bct_list_t *next)
{
	prev->next = el;
	el->prev = prev;
	el->next = next;
	next->prev = el;
}

static inline void bct_list_add_tail(bct_list_t *el, bct_list_t *head)
{
	bct_list_insert(el, head->prev, head);
}

static inline void bct_list_add_head(bct_list_t *el, bct_list_t *head)
{
	bct_list_insert(el, head, head->next);
}

/* Initialises the removed element, so that removing it a second time does nothing. */
static inline void bct_list_del(bct_list_t *el)
{
	el->prev->next = el->next;
	el->next->prev = el->prev;
	bct_list_init(el);
}

#endif
