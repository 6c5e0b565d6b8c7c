/*
 * queue.h - the waiting requests of one target and tier.
 *
 * Accounts share the queue fairly, by virtual time in predicted tokens. Within an account the
 * earliest latest start goes first. A request that can no longer start in time for its target
 * becomes late and yields to those that still can.
 */
#ifndef BCT_POLICY_QUEUE_H
#define BCT_POLICY_QUEUE_H

#include "base/clock.h"
#include "base/heap.h"
#include "base/list.h"

#include <stdbool.h>
#include <stdint.h>

/* While both kinds wait, one late item is served after this many others. */
#define BCT_QUEUE_LATE_INTERVAL 20

/* The items of one client account in one queue. All zero is an empty flow. */
typedef struct bct_flow {
	bct_heap_t on_time; /* by latest start */
	bct_heap_t late;    /* by arrival */
	bct_heap_node_t on_time_node;
	bct_heap_node_t late_node;
	int64_t vtime_tokens; /* virtual time of the flow: what it was charged, in tokens */
	int64_t cost_tokens;  /* of all items except pinned ones */
} bct_flow_t;

typedef struct bct_queue_item {
	bct_heap_node_t node;
	bct_list_t link; /* in bct_queue_t.items */
	bct_flow_t *flow;
	bct_time_t arrived;
	bct_time_t latest_start; /* latest dispatch that meets the target */
	int64_t cost_tokens;
	bool pinned; /* its caller already has output: served first, never late */
	bool late;
	bool queued;
} bct_queue_item_t;

typedef struct bct_queue {
	bct_heap_t pinned;	  /* by arrival; served before all others */
	bct_heap_t on_time_flows; /* flows with items on time, by virtual time */
	bct_heap_t late_flows;	  /* flows with late items, by virtual time */
	bct_list_t items;	  /* pinned items, then the others in order of arrival */
	int64_t vclock_tokens;	  /* virtual time of the queue */
	int64_t cost_tokens;	  /* of all items except pinned ones */
	uint32_t n;
	uint32_t n_pinned;
	uint32_t n_flows;	    /* flows with items that are not pinned */
	uint32_t served_since_late; /* on-time items served since the last late one */
} bct_queue_t;

void bct_queue_init(bct_queue_t *q);

/*
 * bct_queue_push(3): add an item whose flow, arrival, latest start, cost and pinned flag are set.
 */
void bct_queue_push(bct_queue_t *q, bct_queue_item_t *it);

/* bct_queue_remove(3): take an item out without charging its flow. */
void bct_queue_remove(bct_queue_t *q, bct_queue_item_t *it);

/*
 * bct_queue_peek(3): the item to serve next.
 *
 * now      current time; items whose latest start has passed may become late
 * returns  the item, still queued, or NULL when the queue is empty
 */
bct_queue_item_t *bct_queue_peek(bct_queue_t *q, bct_time_t now);

/* bct_queue_serve(3): take an item out and charge its cost to its flow. */
void bct_queue_serve(bct_queue_t *q, bct_queue_item_t *it);

/* bct_queue_charge(3): charge a flow for work that was served without passing through the queue. */
void bct_queue_charge(bct_queue_t *q, bct_flow_t *f, int64_t cost_tokens);

/* bct_queue_late(3): the next late item, or NULL. Only bct_queue_peek(3) makes items late. */
bct_queue_item_t *bct_queue_late(const bct_queue_t *q);

/* bct_queue_oldest(3), bct_queue_newest(3): by arrival, pinned items first; NULL when empty. */
bct_queue_item_t *bct_queue_oldest(const bct_queue_t *q);
bct_queue_item_t *bct_queue_newest(const bct_queue_t *q);

#endif
