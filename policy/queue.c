/*
 * queue.c - start-time fair queueing over per-account heaps.
 */
#include "policy/queue.h"

#include <stddef.h>

#define flow_of(n, member) bct_container_of(n, bct_flow_t, member)
#define item_of(n, member) bct_container_of(n, bct_queue_item_t, member)

void bct_queue_init(bct_queue_t *q)
{
	*q = (bct_queue_t){ 0 };
	bct_list_init(&q->items);
}

/*
 * Updates the heaps of flows: a flow is in one, both or none, by the kinds of items that it holds.
 */
static void flow_relink(bct_queue_t *q, bct_flow_t *f)
{
	if (f->on_time.root)
		bct_heap_set(&q->on_time_flows, &f->on_time_node, f->vtime_tokens);
	else
		bct_heap_del(&q->on_time_flows, &f->on_time_node);
	if (f->late.root)
		bct_heap_set(&q->late_flows, &f->late_node, f->vtime_tokens);
	else
		bct_heap_del(&q->late_flows, &f->late_node);
}

void bct_queue_push(bct_queue_t *q, bct_queue_item_t *it)
{
	bct_flow_t *f = it->flow;

	it->late = false;
	it->queued = true;
	if (it->pinned) {
		bct_heap_add(&q->pinned, &it->node, it->arrived);
		bct_list_add_head(&it->link, &q->items);
		q->n_pinned++;
		q->n++;
		return;
	}
	/* An account gains no advantage from time in which it had nothing queued. */
	if (!f->on_time.root && !f->late.root) {
		q->n_flows++;
		if (f->vtime_tokens < q->vclock_tokens)
			f->vtime_tokens = q->vclock_tokens;
	}
	bct_heap_add(&f->on_time, &it->node, it->latest_start);
	bct_list_add_tail(&it->link, &q->items);
	q->n++;
	q->cost_tokens += it->cost_tokens;
	f->cost_tokens += it->cost_tokens;
	flow_relink(q, f);
}

void bct_queue_remove(bct_queue_t *q, bct_queue_item_t *it)
{
	bct_flow_t *f = it->flow;

	if (!it->queued)
		return;
	bct_list_del(&it->link);
	it->queued = false;
	q->n--;
	if (it->pinned) {
		bct_heap_del(&q->pinned, &it->node);
		q->n_pinned--;
		return;
	}
	bct_heap_del(it->late ? &f->late : &f->on_time, &it->node);
	q->cost_tokens -= it->cost_tokens;
	f->cost_tokens -= it->cost_tokens;
	if (!f->on_time.root && !f->late.root)
		q->n_flows--;
	flow_relink(q, f);
}

static void queue_mark_late(bct_queue_t *q, bct_queue_item_t *it)
{
	bct_flow_t *f = it->flow;

	bct_heap_del(&f->on_time, &it->node);
	bct_heap_add(&f->late, &it->node, it->arrived);
	it->late = true;
	flow_relink(q, f);
}

static bct_queue_item_t *queue_peek_on_time(bct_queue_t *q, bct_time_t now)
{
	while (q->on_time_flows.root) {
		bct_flow_t *f = flow_of(q->on_time_flows.root, on_time_node);
		bct_queue_item_t *it = item_of(f->on_time.root, node);

		if (it->latest_start >= now)
			return it;
		queue_mark_late(q, it);
	}
	return NULL;
}

bct_queue_item_t *bct_queue_peek(bct_queue_t *q, bct_time_t now)
{
	bct_queue_item_t *on_time = queue_peek_on_time(q, now);

	if (q->pinned.root)
		return item_of(q->pinned.root, node);

	if (!q->late_flows.root)
		return on_time;
	if (on_time && q->served_since_late < BCT_QUEUE_LATE_INTERVAL)
		return on_time;
	return bct_queue_late(q);
}

bct_queue_item_t *bct_queue_late(const bct_queue_t *q)
{
	if (!q->late_flows.root)
		return NULL;
	return item_of(flow_of(q->late_flows.root, late_node)->late.root, node);
}

void bct_queue_serve(bct_queue_t *q, bct_queue_item_t *it)
{
	bct_flow_t *f = it->flow;

	bct_queue_remove(q, it);
	if (it->pinned)
		return;
	q->served_since_late = it->late ? 0 : q->served_since_late + 1;
	bct_queue_charge(q, f, it->cost_tokens);
}

void bct_queue_charge(bct_queue_t *q, bct_flow_t *f, int64_t cost_tokens)
{
	if (f->vtime_tokens > q->vclock_tokens)
		q->vclock_tokens = f->vtime_tokens;
	else
		f->vtime_tokens = q->vclock_tokens;
	f->vtime_tokens += cost_tokens;
	if (f->on_time.root || f->late.root)
		flow_relink(q, f);
}

bct_queue_item_t *bct_queue_oldest(const bct_queue_t *q)
{
	return q->n ? item_of(q->items.next, link) : NULL;
}

bct_queue_item_t *bct_queue_newest(const bct_queue_t *q)
{
	return q->n ? item_of(q->items.prev, link) : NULL;
}
