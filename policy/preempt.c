/*
 * preempt.c - frees slots for a higher tier: the newest running requests of the lowest tier are
 * cancelled, and later resumed after the tokens that their callers already have.
 */
#include "policy/sched_int.h"

#define PREEMPT_MAX_PER_REQUEST 2 /* after that a request runs to its end */
#define PREEMPT_PENDING_MAX 4	  /* attempts of a target that were cancelled and have not ended */
#define PREEMPT_SCAN_MAX 8	  /* candidates checked in a tier */
/* A request with more output is not preempted: too much would be lost. */
#define PREEMPT_SUNK_TOKENS_MAX 400
/* Preemption starts once a request has waited for its TTFT target over this divisor. */
#define PREEMPT_WAIT_DIVISOR 4

/* Whether the attempt that r has just started may be preempted for a higher tier. */
bool bct_preempt_allowed(const bct_sreq_t *r)
{
	return r->repeatable && !r->granted && !r->alone && r->up->kind == BCT_UPSTREAM_ENGINE &&
	       r->up->resumes && r->preempts < PREEMPT_MAX_PER_REQUEST;
}

/* The newest candidate of the tier, into which the least work has been put; or NULL. */
static bct_sreq_t *preempt_victim(const bct_target_t *t, uint8_t tier)
{
	const bct_list_t *list = &t->tiers[tier - 1].preemptible;
	const bct_list_t *el = list->prev;

	for (uint32_t i = 0; el != list && i < PREEMPT_SCAN_MAX; el = el->prev, i++) {
		bct_sreq_t *r = bct_container_of(el, bct_sreq_t, line);

		if (bct_up_usable(r->up) &&
		    r->tokens + r->attempt_tokens <= PREEMPT_SUNK_TOKENS_MAX)
			return r;
	}
	return NULL;
}

static bct_sreq_t *lowest_victim(const bct_target_t *t, uint8_t above_tier)
{
	for (uint8_t tier = BCT_TIERS; tier > above_tier; tier--) {
		/*
		 * While a tier runs anything, even work that cannot be stopped, no tier above it
		 * is preempted.
		 */
		if (t->tiers[tier - 1].n_running)
			return preempt_victim(t, tier);
	}
	return NULL;
}

/* The next request of the highest tier with queued work. */
static bct_sreq_t *highest_head(bct_target_t *t, bct_time_t now)
{
	for (uint32_t i = 0; i < BCT_TIERS; i++) {
		bct_queue_item_t *it = bct_queue_peek(&t->tiers[i].queue, now);

		if (it)
			return bct_container_of(it, bct_sreq_t, item);
	}
	return NULL;
}

/* Cancels attempts of lower tiers, no more than the requests that wait in the head's tier. */
static void preempt_for(bct_core_t *c, bct_time_t now, bct_target_t *t, const bct_sreq_t *head)
{
	bct_sreq_t *victim;

	while (t->pending_preempts < PREEMPT_PENDING_MAX &&
	       t->pending_preempts < t->tiers[head->tier - 1].queue.n) {
		victim = lowest_victim(t, head->tier);
		if (!victim)
			return;
		victim->preempts++;
		bct_core_trace(c, now, BCT_TRACE_PREEMPT, victim, victim->up->key, head->tier);
		bct_attempt_stop(c, now, victim, BCT_STOP_PREEMPT);
	}
}

/* The target has waiting requests but no room for them: overcommits or preempts if allowed. */
void bct_preempt_target(bct_core_t *c, bct_time_t now, bct_target_t *t)
{
	bct_sreq_t *head = highest_head(t, now);
	bct_time_t at;

	/*
	 * A granted request delays the higher tiers, but this node preempts nothing for it. An
	 * overcommitted engine may preempt lower tiers itself.
	 */
	if (!bct_list_empty(&t->granted)) {
		head = bct_container_of(t->granted.next, bct_sreq_t, line);
		if (bct_dispatch_overcommit(c, now, head))
			bct_dispatch_ready(c, t);
		return;
	}
	if (!head || !t->n_ups || now >= t->unusable_at)
		return;
	at = head->desc.arrived + head->terms->ttft_ms / PREEMPT_WAIT_DIVISOR;
	if (now < at) {
		bct_heap_set(&c->target_wakes, &t->wake, at);
		return;
	}
	preempt_for(c, now, t, head);
}
