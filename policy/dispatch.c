/*
 * dispatch.c - sends requests from the queues to the upstreams: first those that a floor granted,
 * then tier by tier.
 */
#include "policy/sched_int.h"

#define DISPATCH_HOLD_MS 50 /* a request that fitted nowhere is retried after this time */
/* Interval of the checks whether other nodes cleared a suspect. */
#define DISPATCH_SUSPECT_RECHECK_MS 250
/* Suspects reserve at most 1 upstream plus the target's upstreams over this divisor. */
#define DISPATCH_ALONE_DIVISOR 4
#define DISPATCH_CREDIT_REQUESTS 2 /* a floor saves credit for at most this many requests */

/* Lists the target for the next poll, if requests wait for it. */
void bct_dispatch_ready(bct_core_t *c, bct_target_t *t)
{
	if (t->n_queued && t->ready.next == &t->ready)
		bct_list_add_tail(&t->ready, &c->ready);
}

/* Parks a waiting request that no upstream can take now, until the given time or its deadline. */
void bct_dispatch_hold(bct_core_t *c, bct_sreq_t *r, bct_time_t until)
{
	if (r->state == BCT_REQ_QUEUED)
		bct_queue_remove(&r->target->tiers[r->tier - 1].queue, &r->item);
	bct_list_del(&r->line);
	bct_list_add_tail(&r->line, &r->target->held);
	bct_core_state(c, r, BCT_REQ_HELD);
	bct_heap_set(&c->timers, &r->timer, until < r->deadline ? until : r->deadline);
}

/* Returns a held request to its queue or to the granted list. */
static void dispatch_unhold(bct_core_t *c, bct_sreq_t *r)
{
	bct_target_t *t = r->target;

	bct_list_del(&r->line);
	if (r->granted) {
		bct_core_state(c, r, BCT_REQ_GRANTED);
		bct_list_add_tail(&r->line, &t->granted);
	} else {
		bct_core_state(c, r, BCT_REQ_QUEUED);
		bct_queue_push(&t->tiers[r->tier - 1].queue, &r->item);
	}
	if (r->deadline != BCT_TIME_NEVER)
		bct_heap_set(&c->timers, &r->timer, r->deadline);
	else
		bct_heap_del(&c->timers, &r->timer);
	bct_dispatch_ready(c, t);
}

/* Releases the upstream that was being drained for r, which is no longer a suspect to be tested. */
static void dispatch_abandon_test(bct_core_t *c, bct_sreq_t *r)
{
	bct_up_t *u = r->up;

	r->up = NULL;
	bct_up_release(c, u);
	dispatch_unhold(c, r);
}

/* A request's timer expired: its deadline passed, or it was held until now. */
void bct_dispatch_timer(bct_core_t *c, bct_time_t now, bct_sreq_t *r)
{
	if (now >= r->deadline && r->state == BCT_REQ_RUNNING)
		bct_attempt_stop(c, now, r, BCT_STOP_DEADLINE);
	else if (now >= r->deadline)
		bct_admit_refuse(c, now, r, BCT_REFUSE_DEADLINE,
				 bct_admit_retry_ms(r->target, r->tier));
	else if (r->state == BCT_REQ_HELD && r->up &&
		 bct_suspect_state(&c->suspects, now, r->desc.digest, NULL) == BCT_SUSPECT_ALONE)
		bct_dispatch_hold(c, r, now + DISPATCH_SUSPECT_RECHECK_MS);
	else if (r->state == BCT_REQ_HELD && r->up)
		dispatch_abandon_test(c, r);
	else if (r->state == BCT_REQ_HELD)
		dispatch_unhold(c, r);
	else
		bct_heap_del(&c->timers, &r->timer);
}

/*
 * Whether a tier above t->tiers[i] has queued work; if none has, the floor need not grant
 * anything.
 */
static bool higher_tier_waits(const bct_target_t *t, uint32_t i)
{
	while (i-- > 0) {
		if (t->tiers[i].queue.n)
			return true;
	}
	return false;
}

/*
 * Spends saved floor credit: grants the next request of each lower tier whose credit covers its
 * cost.
 */
void bct_dispatch_grant(bct_core_t *c, bct_time_t now, bct_target_t *t)
{
	for (uint32_t i = 1; i < BCT_TIERS; i++) {
		bct_tier_t *tier = &t->tiers[i];
		bct_queue_item_t *it;
		bct_sreq_t *r;

		if (!tier->queue.n || tier->n_granted || tier->credit_tokens <= 0 ||
		    !higher_tier_waits(t, i))
			continue;
		it = bct_queue_peek(&tier->queue, now);
		if (it->cost_tokens > tier->credit_tokens)
			continue;
		r = bct_container_of(it, bct_sreq_t, item);
		tier->credit_tokens -= it->cost_tokens;
		bct_queue_serve(&tier->queue, it);
		r->granted = true;
		bct_core_state(c, r, BCT_REQ_GRANTED);
		bct_list_add_tail(&r->line, &t->granted);
	}
}

/* Each first dispatch earns every lower tier its floor's share of the cost. */
static void dispatch_add_floor_credit(bct_target_t *t, const bct_sreq_t *r)
{
	int64_t cost = r->item.cost_tokens;

	for (uint32_t i = r->tier; i < BCT_TIERS; i++) {
		bct_tier_t *tier = &t->tiers[i];
		const bct_queue_item_t *head = bct_queue_oldest(&tier->queue);
		int64_t max_credit = DISPATCH_CREDIT_REQUESTS * (head ? head->cost_tokens : cost);

		if (tier->credit_tokens < max_credit)
			tier->credit_tokens += 1 + cost * tier->floor_permille / 1000;
	}
}

/* The set of upstreams for a request: requests that can wait leave the reserve to urgent ones. */
static bct_set_t dispatch_set(const bct_sreq_t *r)
{
	uint8_t urgent = r->target->urgent_tier;

	return r->granted || r->tier <= urgent ? BCT_SET_OPEN : BCT_SET_UNRESERVED;
}

/*
 * The next request that has missed its target, from the highest tier down. A slow upstream can do
 * no more harm to it.
 */
static bct_sreq_t *dispatch_late(const bct_target_t *t)
{
	for (uint32_t i = 0; i < BCT_TIERS; i++) {
		bct_queue_item_t *it = bct_queue_late(&t->tiers[i].queue);

		if (it)
			return bct_container_of(it, bct_sreq_t, item);
	}
	return NULL;
}

/* The next request of the target. It stays in its queue or list. */
static bct_sreq_t *dispatch_next(bct_target_t *t, bct_time_t now)
{
	if (!bct_list_empty(&t->granted))
		return bct_container_of(t->granted.next, bct_sreq_t, line);
	for (uint32_t i = 0; i < BCT_TIERS; i++) {
		bct_queue_item_t *it = bct_queue_peek(&t->tiers[i].queue, now);

		if (it)
			return bct_container_of(it, bct_sreq_t, item);
	}
	return NULL;
}

/*
 * Whether the deadline would likely truncate the answer, by the length that nine in ten answers of
 * the class stay below. Tokens spent on a truncated answer are wasted.
 */
static bool dispatch_misses_deadline(bct_time_t now, const bct_sreq_t *r, const bct_route_t *route)
{
	const bct_length_t *l = bct_core_length(r->terms);
	double remaining_tokens;

	if (r->deadline == BCT_TIME_NEVER || !r->repeatable || l->n < BCT_LENGTH_MIN_SAMPLES ||
	    route->up->kind != BCT_UPSTREAM_ENGINE)
		return false;
	remaining_tokens = bct_length_expect_p90(l, r->tokens, r->desc.max_output_tokens);
	return now + route->ttft_ms + remaining_tokens / route->up->decode_tokens_per_ms >
	       (double)r->deadline;
}

static void dispatch_start(bct_core_t *c, bct_time_t now, bct_sreq_t *r, const bct_route_t *route)
{
	bct_target_t *t = r->target;

	if (r->state == BCT_REQ_QUEUED)
		bct_queue_serve(&t->tiers[r->tier - 1].queue, &r->item);
	bct_list_del(&r->line);
	if (!r->first_sent) {
		r->first_sent = true;
		bct_budget_count_first(&c->budget);
		bct_shed_note_drain(t, now, r->item.cost_tokens);
		dispatch_add_floor_credit(t, r);
	}
	bct_attempt_start(c, now, r, route);
	bct_dispatch_grant(c, now, t);
}

/* Starts the suspect that u is reserved for, now that no other attempt of this node runs there. */
void bct_dispatch_alone(bct_core_t *c, bct_time_t now, bct_up_t *u)
{
	bct_sreq_t *r = u->alone;
	bct_route_t route = bct_route_uncached(r, u);

	if (bct_suspect_state(&c->suspects, now, r->desc.digest, NULL) != BCT_SUSPECT_ALONE) {
		dispatch_abandon_test(c, r);
		return;
	}
	r->up = NULL;
	r->alone = true;
	dispatch_start(c, now, r, &route);
}

/* Suspects reserve only a part of the upstreams, and always may reserve one. */
static bool dispatch_may_test(const bct_target_t *t)
{
	return t->n_alone < 1 + t->n_ups / DISPATCH_ALONE_DIVISOR;
}

/* Reserves an upstream for a suspect, which is dispatched once the upstream is drained. */
static void dispatch_suspect(bct_core_t *c, bct_time_t now, bct_sreq_t *r)
{
	bct_time_t test_at =
		bct_suspect_test_at(&c->suspects, r->desc.digest, c->fleet.nodes, c->fleet.rank);
	bct_up_t *u;

	/*
	 * Most crashes happen at the start of a request, so those without output are tested first.
	 */
	if (r->tokens)
		test_at += DISPATCH_SUSPECT_RECHECK_MS;
	if (now < test_at) {
		bct_time_t recheck_at = now + DISPATCH_SUSPECT_RECHECK_MS;

		bct_dispatch_hold(c, r, recheck_at < test_at ? recheck_at : test_at);
		return;
	}
	u = dispatch_may_test(r->target) ? bct_route_for_suspect(c, r->target, now, r) : NULL;
	if (!u || !bct_suspect_test_begin(&c->suspects, r->desc.digest)) {
		bct_dispatch_hold(c, r, now + DISPATCH_SUSPECT_RECHECK_MS);
		return;
	}
	bct_dispatch_hold(c, r, now + DISPATCH_SUSPECT_RECHECK_MS);
	r->up = u;
	bct_up_reserve(c, now, u, r);
	if (!u->load.local)
		bct_dispatch_alone(c, now, u);
}

/* Refuses a poison request and tests a suspect apart from the others. Returns whether r was one. */
static bool dispatch_if_suspect(bct_core_t *c, bct_time_t now, bct_sreq_t *r)
{
	uint32_t remaining_ms;

	switch (bct_suspect_state(&c->suspects, now, r->desc.digest, &remaining_ms)) {
	case BCT_SUSPECT_POISON:
		bct_admit_refuse(c, now, r, BCT_REFUSE_POISON, remaining_ms);
		return true;
	case BCT_SUSPECT_ALONE:
		dispatch_suspect(c, now, r);
		return true;
	default:
		return false;
	}
}

static void dispatch_or_refuse(bct_core_t *c, bct_time_t now, bct_sreq_t *r,
			       const bct_route_t *route)
{
	if (dispatch_misses_deadline(now, r, route))
		bct_admit_refuse(c, now, r, BCT_REFUSE_TARGET_MISSED,
				 bct_admit_retry_ms(r->target, r->tier));
	else
		dispatch_start(c, now, r, route);
}

/* Dispatches, tests, refuses or holds one request. */
static void dispatch_one(bct_core_t *c, bct_time_t now, bct_sreq_t *r, bct_set_t set)
{
	bct_route_t route;

	if (dispatch_if_suspect(c, now, r))
		return;
	route = bct_route_choose(c, now, r->target, r, set);
	if (route.up)
		dispatch_or_refuse(c, now, r, &route);
	else
		bct_dispatch_hold(c, r, now + DISPATCH_HOLD_MS);
}

/* Attempts of this node at the upstream of this tier and all higher ones. */
static uint32_t local_up_to_tier(const bct_up_t *u, uint8_t tier)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < tier; i++)
		n += u->local_by_tier[i];
	return n;
}

/*
 * An attempt of the given tier ended at u. Even if u is in no set with room, this node may refill
 * the slot that it freed: with a request of a higher tier, or within its quota of the upstream.
 */
void bct_dispatch_handover(bct_core_t *c, bct_time_t now, bct_up_t *u, bct_target_t *t,
			   uint8_t tier)
{
	bct_sreq_t *r = dispatch_next(t, now);
	bct_route_t route;

	if (!r || t->sets[dispatch_set(r)].n || !bct_up_usable(u) || u->alone || u->slow ||
	    now < u->down_until)
		return;
	if (r->tier >= tier &&
	    (local_up_to_tier(u, r->tier) >= u->load.quota || !bct_load_room(&u->load)))
		return;
	if (dispatch_set(r) == BCT_SET_UNRESERVED && r->tier >= tier &&
	    bct_load_room(&u->load) <= bct_up_reserved(u, t))
		return;
	if (dispatch_if_suspect(c, now, r))
		return;
	route = bct_route_to(c, now, t, r, u);
	if (route.up)
		dispatch_or_refuse(c, now, r, &route);
}

/*
 * Sends a granted request to a full engine, which preempts lower-tier work itself. Returns whether
 * r left the granted list.
 */
bool bct_dispatch_overcommit(bct_core_t *c, bct_time_t now, bct_sreq_t *r)
{
	bct_route_t route;

	if (dispatch_if_suspect(c, now, r))
		return true;
	route = bct_route_overcommit(c, now, r->target, r);
	if (route.up)
		dispatch_or_refuse(c, now, r, &route);
	return route.up != NULL;
}

/* Refuses waiting requests: no upstream is usable, and the time to wait for one is over. */
static void dispatch_unusable(bct_core_t *c, bct_time_t now, bct_target_t *t, uint32_t max)
{
	bct_sreq_t *r;

	while (c->n_outbox < max && (r = dispatch_next(t, now)))
		bct_admit_refuse(c, now, r, BCT_REFUSE_NO_UPSTREAM, bct_admit_retry_ms(t, r->tier));
}

/* Dispatches waiting requests until the outbox holds max actions; preempts if some must wait. */
void bct_dispatch_target(bct_core_t *c, bct_time_t now, bct_target_t *t, uint32_t max)
{
	bct_sreq_t *r = NULL;

	if (now >= t->unusable_at)
		dispatch_unusable(c, now, t, max);
	while (c->n_outbox < max && (r = dispatch_next(t, now)) && t->sets[dispatch_set(r)].n)
		dispatch_one(c, now, r, dispatch_set(r));
	while (c->n_outbox < max && t->sets[BCT_SET_SLOW].n && (r = dispatch_late(t)))
		dispatch_one(c, now, r, BCT_SET_SLOW);
	if (c->n_outbox >= max)
		bct_dispatch_ready(c, t);
	else if (t->n_queued)
		bct_preempt_target(c, now, t);
}
