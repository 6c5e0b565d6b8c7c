/*
 * queue.h - the waiting requests of one target and tier: fair among client accounts by virtual
 * time in predicted tokens, earliest deadline first within an account. A request that can no
 * longer start in time for its target gives way to those that still can.
 */
#ifndef BCT_POLICY_QUEUE_H
#define BCT_POLICY_QUEUE_H

#include "base/clock.h"
#include "base/heap.h"
#include "base/list.h"

#include <stdbool.h>
#include <stdint.h>

/* While both kinds wait, one in this many goes to work that has missed its target. */
#define BCT_QUEUE_LATE_INTERVAL 20

/* The work of one client account in one queue. All zero is an empty flow. */
typedef struct bct_flow {
	bct_heap_t on_time; /* by the latest start that meets the target */
	bct_heap_t late;    /* by arrival */
	bct_heap_node_t on_time_node;
	bct_heap_node_t late_node;
	int64_t vtime_tokens;
	int64_t cost_tokens; /* of all its items */
} bct_flow_t;

typedef struct bct_queue_item {
	bct_heap_node_t node;
	bct_list_t link; /* in order of arrival */
	bct_flow_t *flow;
	bct_time_t arrived;
	bct_time_t latest_start;
	int64_t cost_tokens;
	bool pinned; /* its caller has output: before all others, never late */
	bool late;
	bool queued;
} bct_queue_item_t;

typedef struct bct_queue {
	bct_heap_t pinned; /* by arrival; before all others */
	bct_heap_t on_time_flows;
	bct_heap_t late_flows;
	bct_list_t items;
	int64_t vclock_tokens;
	int64_t cost_tokens; /* of all items */
	uint32_t n;
	uint32_t n_pinned;
	uint32_t n_flows; /* with items */
	uint32_t served_since_late;
} bct_queue_t;

void bct_queue_init(bct_queue_t *q);

/* bct_queue_push(3): add an item whose flow, times and cost are set. */
void bct_queue_push(bct_queue_t *q, bct_queue_item_t *it);

/* bct_queue_remove(3): take an item out without serving it. */
void bct_queue_remove(bct_queue_t *q, bct_queue_item_t *it);

/*
 * bct_queue_peek(3): the item to serve next.
 *
 * now      current time; items whose latest start lies before it become late
 * returns  the item, still queued, or NULL when the queue is empty
 */
bct_queue_item_t *bct_queue_peek(bct_queue_t *q, bct_time_t now);

/* bct_queue_serve(3): take an item out and charge its cost to its flow. */
void bct_queue_serve(bct_queue_t *q, bct_queue_item_t *it);

/* bct_queue_charge(3): a flow is served past the queue. */
void bct_queue_charge(bct_queue_t *q, bct_flow_t *f, int64_t cost_tokens);

/* bct_queue_late(3): the oldest item of those that bct_queue_peek(3) found late, or NULL. */
bct_queue_item_t *bct_queue_late(const bct_queue_t *q);

/* bct_queue_oldest(3), bct_queue_newest(3): by arrival, pinned ones first; NULL when empty. */
bct_queue_item_t *bct_queue_oldest(const bct_queue_t *q);
bct_queue_item_t *bct_queue_newest(const bct_queue_t *q);

#endif
