/*
 * shed.c - load shedding: which request is refused when there is too much work for a target. The
 * rules and their reasons are in docs/DESIGN.md, "Tiers: no inversion, no starvation".
 */
#include "policy/sched_int.h"

#define SHED_MAX_WAIT_TTFTS 4	   /* longest accepted wait, in TTFT targets */
#define SHED_MAX_WAIT_MIN_MS 10000 /* the least value of that wait */
#define SHED_STALE_WAIT_FACTOR 2   /* on the longest wait, while the fleet's totals are outdated */
#define SHED_HARD_FACTOR 2 /* on max_queued: from there on even granted requests are refused */
#define SHED_OVERLOAD_MIN_MS 1000    /* overload counts for the fleet once it lasts this long */
#define SHED_OVERLOAD_GAP_MS 2000    /* overload is over after this long without another event */
#define SHED_FLOOR_TURN_MS 5000	     /* time that a turn waits for a request of its account */
#define SHED_FLOOR_BORROW_REQUESTS 1 /* requests that a floor may borrow in advance */
#define SHED_FLOOR_WAITING_MAX 2     /* granted requests of a tier that may wait for an upstream */
#define SHED_DRAIN_WINDOW_MS 1000
#define SHED_DRAIN_SMOOTHING 0.3

/* Discards the tokens counted so far, which do not show the drain rate. */
void bct_shed_restart_window(bct_target_t *t, bct_time_t now)
{
	t->drained_tokens = 0;
	t->drain_window_at = now;
}

/*
 * A first request begins to wait. The time in which none waited does not count. If it was long,
 * the drain rate measured before is discarded too: an upstream may have been unavailable then.
 */
void bct_shed_queue_started(bct_target_t *t, bct_time_t now)
{
	bct_time_t idle = now - t->last_dequeue_at;

	if (idle < SHED_DRAIN_WINDOW_MS) {
		t->drain_window_at += idle;
		return;
	}
	t->drain_tokens_per_ms = 0;
	bct_shed_restart_window(t, now);
}

/* Measures the rate at which this node drains the target's queues. */
void bct_shed_note_drain(bct_target_t *t, bct_time_t now, int64_t cost_tokens)
{
	bct_time_t dt = now - t->drain_window_at;
	double rate;

	t->last_dequeue_at = now;
	t->drained_tokens += cost_tokens;
	if (dt < SHED_DRAIN_WINDOW_MS)
		return;
	rate = (double)t->drained_tokens / (double)dt;
	if (t->drain_tokens_per_ms > 0)
		rate = t->drain_tokens_per_ms +
		       SHED_DRAIN_SMOOTHING * (rate - t->drain_tokens_per_ms);
	t->drain_tokens_per_ms = rate;
	t->drained_tokens = 0;
	t->drain_window_at = now;
}

/*
 * The newest queued request of the lowest tier below below_tier, or NULL. While a tier still has
 * committed or preemptible work, no request of the tiers above it may be shed.
 */
static bct_sreq_t *newest_sheddable(bct_target_t *t, uint8_t below_tier)
{
	for (uint32_t i = BCT_TIERS; i > below_tier; i--) {
		bct_tier_t *tier = &t->tiers[i - 1];
		bct_queue_item_t *it = bct_queue_newest(&tier->queue);

		if (it && !it->pinned)
			return bct_container_of(it, bct_sreq_t, item);
		if (tier->n_committed || tier->n_preemptible)
			return NULL;
	}
	return NULL;
}

/*
 * Whether a lower tier has queued, committed or preemptible work. It must be shed or end before
 * this tier is shed.
 */
static bool lower_tier_work_remains(const bct_target_t *t, uint8_t tier)
{
	for (uint32_t i = tier; i < BCT_TIERS; i++) {
		const bct_tier_t *lower = &t->tiers[i];

		if (lower->queue.n || lower->n_committed || lower->n_preemptible)
			return true;
	}
	return false;
}

/*
 * Predicted wait of a new request: behind all queued work of higher tiers, and behind as much of
 * its own tier as fair sharing puts ahead of its account.
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

/* The longest predicted wait with which r is still admitted. */
static double longest_wait_ms(const bct_sreq_t *r)
{
	double ms = (double)r->terms->ttft_ms * SHED_MAX_WAIT_TTFTS;

	if (ms < SHED_MAX_WAIT_MIN_MS)
		ms = SHED_MAX_WAIT_MIN_MS;
	if (r->terms->deadline_ms && ms > r->terms->deadline_ms)
		ms = r->terms->deadline_ms;
	return ms;
}

typedef enum remote_work {
	REMOTE_WORK_NONE = 0, /* no lower-tier work waits on any other node */
	REMOTE_WORK_WAITS,    /* lower-tier work waits on another node */
	REMOTE_WORK_UNKNOWN,  /* the totals are outdated */
} remote_work_t;

/*
 * Whether work of the tier waits on other nodes. The total may hold either of this node's last two
 * published values; the smaller one is subtracted, so that no waiting work is missed.
 */
static bool waits_on_other_nodes(const bct_tier_t *tier)
{
	int64_t published = tier->published_queued < tier->published_queued_before
				    ? tier->published_queued
				    : tier->published_queued_before;

	return tier->total.queued > published;
}

/* Whether work of the tiers below this one waits on other nodes, by the fleet's totals. */
static remote_work_t fleet_remote_work(const bct_core_t *c, bct_time_t now, const bct_target_t *t,
				       uint8_t tier)
{
	remote_work_t remote = REMOTE_WORK_NONE;

	if (c->fleet.nodes <= 1)
		return REMOTE_WORK_NONE;
	for (uint32_t i = tier; i < BCT_TIERS; i++) {
		const bct_tier_total_t *total = &t->tiers[i].total;

		/* A tier that no node publishes has no work anywhere. */
		if (total->at == BCT_TIME_NEVER)
			continue;
		if (now - total->at > BCT_TOTAL_MAX_AGE_MS)
			remote = REMOTE_WORK_UNKNOWN;
		else if (waits_on_other_nodes(&t->tiers[i]))
			return REMOTE_WORK_WAITS;
	}
	return remote;
}

/* A request of the tier would wait too long: extends its overload or starts a new one. */
static void shed_note_overload(bct_tier_t *tier, bct_time_t now)
{
	if (tier->overloaded_since == BCT_TIME_NEVER ||
	    now - tier->overloaded_at > SHED_OVERLOAD_GAP_MS)
		tier->overloaded_since = now;
	tier->overloaded_at = now;
}

/* Whether the tier has been overloaded for some time on this node; a short burst does not count. */
bool bct_shed_overloaded(const bct_tier_t *tier, bct_time_t now)
{
	return tier->overloaded_since != BCT_TIME_NEVER &&
	       now - tier->overloaded_at <= SHED_OVERLOAD_GAP_MS &&
	       tier->overloaded_at - tier->overloaded_since >= SHED_OVERLOAD_MIN_MS;
}

static bool overloaded_anywhere(const bct_tier_t *tier, bct_time_t now)
{
	if (bct_shed_overloaded(tier, now))
		return true;
	return tier->total.at != BCT_TIME_NEVER && tier->total.overloaded_nodes > 0 &&
	       now - tier->total.at <= BCT_TOTAL_MAX_AGE_MS;
}

static void shed_refuse(bct_core_t *c, bct_time_t now, bct_sreq_t *victim, bct_refuse_t why)
{
	bct_admit_refuse(c, now, victim, why, bct_admit_retry_ms(victim->target, victim->tier));
}

/*
 * Sets the shed level to the highest tier that is overloaded on any node, and sheds the queued
 * requests below it; only committed ones remain. Called when a total arrives and before each
 * publish.
 */
void bct_shed_level(bct_core_t *c, bct_time_t now, bct_target_t *t)
{
	uint8_t level = 1;
	bct_sreq_t *r;

	while (level < BCT_TIERS && !overloaded_anywhere(&t->tiers[level - 1], now))
		level++;
	if (level != t->shed_level) {
		t->shed_level = level;
		bct_core_trace_level(c, now, t);
	}
	while ((r = newest_sheddable(t, level)) &&
	       fleet_remote_work(c, now, t, r->tier) == REMOTE_WORK_NONE)
		shed_refuse(c, now, r, BCT_REFUSE_SHED);
}

/* Whether it is the turn of r's account to borrow on the floor's credit. */
static bool floor_turn(const bct_core_t *c, bct_tier_t *tier, bct_time_t now, const bct_sreq_t *r)
{
	uint32_t accounts = c->conf->n_accounts ? c->conf->n_accounts : 1;
	uint32_t nodes = c->fleet.nodes ? c->fleet.nodes : 1;

	/* Nodes begin at different accounts, so that together they reach each account sooner. */
	if (!tier->turn_at)
		tier->turn = (uint32_t)((uint64_t)c->fleet.rank * accounts / nodes);
	if (!tier->turn_at || now - tier->turn_at >= SHED_FLOOR_TURN_MS) {
		tier->turn += tier->turn_at != 0;
		tier->turn_at = now;
	}
	return r->terms->account->index == tier->turn % accounts;
}

/*
 * Charges r to the floor's credit if that covers it; returns whether it does. As a rule, a tier
 * below the shed level admits only such requests. Accounts may borrow in turn, so that a busy one
 * does not use up the floor.
 */
static bool floor_charge(bct_core_t *c, bct_tier_t *tier, bct_time_t now, const bct_sreq_t *r)
{
	int64_t cost = r->item.cost_tokens;
	bool turn;

	if (tier->n_granted >= SHED_FLOOR_WAITING_MAX)
		return false;
	if (tier->credit_tokens < -SHED_FLOOR_BORROW_REQUESTS * cost)
		return false;
	turn = floor_turn(c, tier, now, r);
	if (!turn && tier->credit_tokens < cost)
		return false;
	tier->credit_tokens -= cost;
	if (turn) {
		tier->turn++;
		tier->turn_at = now;
	}
	bct_queue_charge(&tier->queue, r->item.flow, cost);
	return true;
}

/* Whether to refuse a request of a tier that is shed. */
static bct_refuse_t shed_below_level(bct_core_t *c, bct_time_t now, bct_sreq_t *r)
{
	if (floor_charge(c, &r->target->tiers[r->tier - 1], now, r)) {
		r->granted = true;
		return BCT_REFUSE_NONE;
	}
	if (lower_tier_work_remains(r->target, r->tier))
		return BCT_REFUSE_NONE;
	if (fleet_remote_work(c, now, r->target, r->tier) != REMOTE_WORK_NONE)
		return BCT_REFUSE_NONE;
	return BCT_REFUSE_SHED;
}

/* The target is overloaded down to r's tier: the lowest tier is shed first. */
static bct_refuse_t shed_overload(bct_core_t *c, bct_time_t now, bct_sreq_t *r, double wait_ms)
{
	bct_target_t *t = r->target;
	bct_sreq_t *victim = newest_sheddable(t, r->tier);
	remote_work_t remote;

	shed_note_overload(&t->tiers[r->tier - 1], now);
	if (victim && fleet_remote_work(c, now, t, victim->tier) == REMOTE_WORK_NONE)
		shed_refuse(c, now, victim, BCT_REFUSE_SHED);
	if (victim || lower_tier_work_remains(t, r->tier))
		return BCT_REFUSE_NONE;
	remote = fleet_remote_work(c, now, t, r->tier);
	if (remote == REMOTE_WORK_WAITS)
		return BCT_REFUSE_NONE;
	if (remote == REMOTE_WORK_UNKNOWN && wait_ms < SHED_STALE_WAIT_FACTOR * longest_wait_ms(r))
		return BCT_REFUSE_NONE;
	return BCT_REFUSE_SHED;
}

/*
 * The newest sheddable request of the lowest tier on any target; of equal tiers, on the first
 * target found.
 */
static bct_sreq_t *lowest_sheddable_anywhere(bct_core_t *c, uint8_t above_tier)
{
	bct_sreq_t *best = NULL;
	uint32_t pos = 0;
	bct_target_t *t;

	while ((t = bct_map_next(&c->targets, &pos))) {
		bct_sreq_t *r = newest_sheddable(t, above_tier);

		if (r && (!best || r->tier > best->tier))
			best = r;
	}
	return best;
}

/*
 * A request of the tier that has missed its target, or NULL. It is refused in favour of one that
 * has not.
 */
static bct_sreq_t *late_in_tier(bct_target_t *t, uint8_t tier, bct_time_t now)
{
	bct_queue_t *q = &t->tiers[tier - 1].queue;
	bct_queue_item_t *it;

	bct_queue_peek(q, now);
	it = bct_queue_late(q);
	return it ? bct_container_of(it, bct_sreq_t, item) : NULL;
}

/* A request of a lower tier, even a committed one, to be refused at the hard limit; or NULL. */
static bct_sreq_t *committed_below(bct_target_t *t, uint8_t tier)
{
	const bct_list_t *lists[] = { &t->granted, &t->held };
	bct_sreq_t *best = NULL;
	bct_list_t *el;

	for (uint32_t i = 0; i < 2; i++) {
		bct_list_for_each(el, lists[i]) {
			bct_sreq_t *r = bct_container_of(el, bct_sreq_t, line);

			if (r->tier > tier && (!best || r->tier > best->tier))
				best = r;
		}
	}
	for (uint32_t i = BCT_TIERS; !best && i > tier; i--) {
		bct_queue_item_t *it = bct_queue_newest(&t->tiers[i - 1].queue);

		if (it)
			best = bct_container_of(it, bct_sreq_t, item);
	}
	return best;
}

/*
 * The request to refuse in favour of r when the queue is full, or NULL. Sheddable requests of the
 * target go first, then those of other targets, and committed ones only at the hard limit.
 */
static bct_sreq_t *full_victim(bct_core_t *c, bct_sreq_t *r)
{
	bct_sreq_t *victim = newest_sheddable(r->target, r->tier);

	if (!victim)
		victim = lowest_sheddable_anywhere(c, r->tier);
	if (!victim && c->n_queued >= SHED_HARD_FACTOR * c->opts.max_queued)
		victim = committed_below(r->target, r->tier);
	return victim;
}

/* The node's queue limit is reached: refuses r, or another request in its favour. */
static bct_refuse_t shed_full(bct_core_t *c, bct_time_t now, bct_sreq_t *r)
{
	bct_sreq_t *victim = full_victim(c, r);

	if (victim) {
		shed_refuse(c, now, victim, BCT_REFUSE_QUEUE_FULL);
		return BCT_REFUSE_NONE;
	}
	if (lower_tier_work_remains(r->target, r->tier) &&
	    c->n_queued < SHED_HARD_FACTOR * c->opts.max_queued)
		return BCT_REFUSE_NONE;
	victim = late_in_tier(r->target, r->tier, now);
	if (!victim)
		return BCT_REFUSE_QUEUE_FULL;
	bct_admit_refuse(c, now, victim, BCT_REFUSE_TARGET_MISSED,
			 bct_admit_retry_ms(victim->target, victim->tier));
	return BCT_REFUSE_NONE;
}

/* Whether to refuse a new request because of too much work, or another one in its favour. */
bct_refuse_t bct_shed_admit(bct_core_t *c, bct_time_t now, bct_sreq_t *r)
{
	double wait_ms;

	if (c->opts.max_queued && c->n_queued >= c->opts.max_queued)
		return shed_full(c, now, r);
	if (r->tier > r->target->shed_level)
		return shed_below_level(c, now, r);
	wait_ms = predicted_wait_ms(r->target, r);
	if (wait_ms > longest_wait_ms(r))
		return shed_overload(c, now, r, wait_ms);
	return BCT_REFUSE_NONE;
}
