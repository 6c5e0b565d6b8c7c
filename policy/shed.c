/*
 * shed.c - which request gives way when there is too much work for a target. The rule and its
 * reasons are in docs/DESIGN.md, "Tiers: no inversion, no starvation".
 */
#include "policy/sched_int.h"

#define SHED_PATIENCE_TTFTS 4 /* predicted wait, in targets, that is still taken in */
#define SHED_PATIENCE_MIN_MS 10000
#define SHED_STALE_PATIENCE 2 /* factor on the patience while the fleet is out of view */
#define SHED_HARD_FACTOR 2    /* on max_queued: past it even granted work gives way */
#define SHED_DRAIN_WINDOW_MS 1000
#define SHED_DRAIN_SMOOTHING 0.3

/* Speed at which the target's queues empty through this node. */
void bct_shed_drained(bct_target_t *t, bct_time_t now, int64_t cost_tokens)
{
	bct_time_t dt = now - t->drained_at;
	double rate;

	t->drained_tokens += cost_tokens;
	if (dt < SHED_DRAIN_WINDOW_MS)
		return;
	rate = (double)t->drained_tokens / (double)dt;
	if (t->drain_tokens_per_ms > 0)
		rate = t->drain_tokens_per_ms +
		       SHED_DRAIN_SMOOTHING * (rate - t->drain_tokens_per_ms);
	t->drain_tokens_per_ms = rate;
	t->drained_tokens = 0;
	t->drained_at = now;
}

static bct_sreq_t *newest_queued(bct_target_t *t, uint8_t above_tier)
{
	for (uint32_t i = BCT_TIERS; i > above_tier; i--) {
		bct_queue_item_t *it = bct_queue_newest(&t->tiers[i - 1].queue);

		if (it)
			return bct_container_of(it, bct_sreq_t, item);
	}
	return NULL;
}

/* Waiting work of a lower tier that may not be shed: the floor has already paid for it. */
static bool lower_committed(const bct_target_t *t, uint8_t tier)
{
	const bct_list_t *lists[] = { &t->granted, &t->held };
	bct_list_t *el;

	for (uint32_t i = 0; i < 2; i++) {
		bct_list_for_each(el, lists[i]) {
			if (bct_container_of(el, bct_sreq_t, line)->tier > tier)
				return true;
		}
	}
	return false;
}

/*
 * The wait that a new request of this account faces: all higher tiers, and of its own tier as
 * much as fair sharing puts ahead of it.
 */
static double predicted_wait_ms(const bct_target_t *t, const bct_sreq_t *r)
{
	const bct_queue_t *q = &t->tiers[r->tier - 1].queue;
	int64_t ahead = r->item.flow->cost_tokens * (int64_t)(q->n_flows ? q->n_flows : 1);
	int64_t higher = 0;

	if (ahead > q->cost_tokens)
		ahead = q->cost_tokens;
	for (uint32_t i = 0; i + 1 < r->tier; i++)
		higher += t->tiers[i].queue.cost_tokens;
	if (t->drain_tokens_per_ms <= 0)
		return 0;
	return (double)(higher + ahead) / t->drain_tokens_per_ms;
}

static double patience_ms(const bct_sreq_t *r)
{
	double ms = (double)r->terms->ttft_ms * SHED_PATIENCE_TTFTS;

	if (ms < SHED_PATIENCE_MIN_MS)
		ms = SHED_PATIENCE_MIN_MS;
	if (r->terms->deadline_ms && ms > r->terms->deadline_ms)
		ms = r->terms->deadline_ms;
	return ms;
}

typedef enum view {
	VIEW_AGREES = 0, /* every node sheds each lower tier, or none has any of it waiting */
	VIEW_DIFFERS,
	VIEW_OLD,
} view_t;

static view_t fleet_view(const bct_core_t *c, bct_time_t now, const bct_target_t *t, uint8_t tier)
{
	view_t view = VIEW_AGREES;

	if (c->fleet.nodes <= 1)
		return VIEW_AGREES;
	for (uint32_t i = tier; i < BCT_TIERS; i++) {
		const bct_tier_total_t *total = &t->tiers[i].total;

		/* A tier of which nobody speaks has no work anywhere. */
		if (total->at == BCT_TIME_NEVER)
			continue;
		if (now - total->at > BCT_TOTAL_MAX_AGE_MS)
			view = VIEW_OLD;
		else if (total->queued > t->tiers[i].told_queued &&
			 total->shedding < (int64_t)c->fleet.nodes)
			return VIEW_DIFFERS;
	}
	return view;
}

/* Running work of a lower tier that preemption could still move away. */
static bool lower_preemptible(const bct_target_t *t, uint8_t tier)
{
	for (uint32_t i = tier; i < BCT_TIERS; i++) {
		if (t->tiers[i].n_running && bct_preempt_victim(t, (uint8_t)(i + 1)))
			return true;
	}
	return false;
}

static void shed_mark(bct_core_t *c, bct_time_t now, const bct_sreq_t *r)
{
	bct_target_t *t = r->target;

	t->tiers[r->tier - 1].shed_at = now;
	if (r->tier - 1 >= t->shed_level)
		return;
	t->shed_level = r->tier - 1;
	bct_core_trace(c, now, BCT_TRACE_SHED_LEVEL, r, 0, t->shed_level);
}

static void shed_queued(bct_core_t *c, bct_time_t now, bct_sreq_t *victim)
{
	shed_mark(c, now, victim);
	bct_admit_refuse(c, now, victim, BCT_REFUSE_SHED,
			 bct_admit_retry_ms(victim->target, victim->tier));
}

/* The target is overloaded down to r's tier: the lowest tier goes first. */
static bct_refuse_t shed_overload(bct_core_t *c, bct_time_t now, bct_sreq_t *r, double wait_ms)
{
	bct_target_t *t = r->target;
	bct_sreq_t *victim = newest_queued(t, r->tier);
	view_t view;

	if (victim) {
		shed_queued(c, now, victim);
		return BCT_REFUSE_NONE;
	}
	if (lower_committed(t, r->tier) || lower_preemptible(t, r->tier))
		return BCT_REFUSE_NONE;
	view = fleet_view(c, now, t, r->tier);
	if (view == VIEW_DIFFERS)
		return BCT_REFUSE_NONE;
	if (view == VIEW_OLD && wait_ms < SHED_STALE_PATIENCE * patience_ms(r))
		return BCT_REFUSE_NONE;
	shed_mark(c, now, r);
	return BCT_REFUSE_SHED;
}

/* The lowest tier on any target; among equals what is newest on the first target found. */
static bct_sreq_t *lowest_anywhere(bct_core_t *c, uint8_t above_tier)
{
	bct_sreq_t *best = NULL;
	uint32_t pos = 0;
	bct_target_t *t;

	while ((t = bct_map_next(&c->targets, &pos))) {
		bct_sreq_t *r = newest_queued(t, above_tier);

		if (r && (!best || r->tier > best->tier))
			best = r;
	}
	return best;
}

/* Work of the same tier that has missed its target gives way to work that has not. */
static bct_sreq_t *late_of_tier(bct_target_t *t, uint8_t tier, bct_time_t now)
{
	bct_queue_t *q = &t->tiers[tier - 1].queue;
	bct_queue_item_t *it;

	bct_queue_peek(q, now);
	it = bct_queue_late(q);
	return it ? bct_container_of(it, bct_sreq_t, item) : NULL;
}

static bct_refuse_t shed_full(bct_core_t *c, bct_time_t now, bct_sreq_t *r)
{
	bct_sreq_t *victim = newest_queued(r->target, r->tier);

	if (!victim)
		victim = lowest_anywhere(c, r->tier);
	if (victim) {
		shed_queued(c, now, victim);
		return BCT_REFUSE_NONE;
	}
	if (lower_committed(r->target, r->tier) &&
	    c->n_queued < SHED_HARD_FACTOR * c->opts.max_queued)
		return BCT_REFUSE_NONE;
	victim = late_of_tier(r->target, r->tier, now);
	if (!victim)
		return BCT_REFUSE_QUEUE_FULL;
	bct_admit_refuse(c, now, victim, BCT_REFUSE_TARGET_MISSED,
			 bct_admit_retry_ms(victim->target, victim->tier));
	return BCT_REFUSE_NONE;
}

bct_refuse_t bct_shed_admit(bct_core_t *c, bct_time_t now, bct_sreq_t *r)
{
	double wait_ms;

	if (c->opts.max_queued && c->n_queued >= c->opts.max_queued)
		return shed_full(c, now, r);
	wait_ms = predicted_wait_ms(r->target, r);
	if (wait_ms > patience_ms(r))
		return shed_overload(c, now, r, wait_ms);
	return BCT_REFUSE_NONE;
}
