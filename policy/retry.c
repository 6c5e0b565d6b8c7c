/*
 * retry.c - decides what follows a failed attempt, by its outcome and within the fleet's retry
 * budget. Work is never repeated where the caller could observe that it was done twice.
 */
#include "policy/sched_int.h"

#define RETRY_TRIES_MAX 3	  /* attempts that may have run */
#define RETRY_NOT_RUN_MAX 64	  /* attempts that certainly did not */
#define RETRY_STALL_WEIGHT 0.3	  /* of a timeout or stall in the upstream's smoothed speed */
#define RETRY_BUSY_DEFAULT_MS 200 /* pause of an upstream that is busy for an unstated time */
#define RETRY_BUSY_MAX_MS 10000	  /* longest pause that a busy upstream can ask for */
#define RETRY_AFTER_MS 1000 /* sent with a refused retry; the budget earns more in this time */

static bct_retry_t retry_reason(const bct_sreq_t *r, bct_outcome_t outcome, bool crash)
{
	switch (outcome) {
	case BCT_OUTCOME_CONNECT_FAILED:
		return BCT_RETRY_CONNECT;
	case BCT_OUTCOME_BUSY:
		return BCT_RETRY_BUSY;
	case BCT_OUTCOME_TIMEOUT:
		return BCT_RETRY_TIMEOUT;
	case BCT_OUTCOME_STALLED:
		return BCT_RETRY_STALL;
	case BCT_OUTCOME_BAD_ANSWER:
		return BCT_RETRY_BAD_ANSWER;
	case BCT_OUTCOME_MISMATCHED:
		return BCT_RETRY_MISMATCHED;
	default:
		if (r->tokens)
			return BCT_RETRY_MID_STREAM;
		return crash ? BCT_RETRY_CRASH : BCT_RETRY_RESET;
	}
}

/* Whether the upstream certainly did not run the attempt; retry_allowed() does not apply then. */
static bool retry_not_run(const bct_attempt_end_t *end)
{
	return !end->may_have_run &&
	       (end->outcome == BCT_OUTCOME_CONNECT_FAILED || end->outcome == BCT_OUTCOME_BUSY);
}

static void retry_update_upstream(bct_core_t *c, bct_time_t now, bct_up_t *u,
				  const bct_attempt_end_t *end)
{
	uint32_t hold_ms = end->retry_after_ms ? end->retry_after_ms : RETRY_BUSY_DEFAULT_MS;

	if (hold_ms > RETRY_BUSY_MAX_MS)
		hold_ms = RETRY_BUSY_MAX_MS;
	switch (end->outcome) {
	case BCT_OUTCOME_BUSY:
		bct_up_failed(c, now, u, hold_ms);
		break;
	case BCT_OUTCOME_CONNECT_FAILED:
	case BCT_OUTCOME_RESET:
		bct_up_failed(c, now, u, 0);
		break;
	case BCT_OUTCOME_TIMEOUT:
	case BCT_OUTCOME_STALLED:
		bct_up_progress(u, 0, RETRY_STALL_WEIGHT);
		break;
	default:
		break;
	}
}

/* Once the caller has output, only an engine that continues the stream can serve the request. */
static bool retry_can_resume(const bct_sreq_t *r)
{
	for (uint32_t i = 0; i < r->target->n_ups; i++) {
		const bct_up_t *u = r->target->ups[i];

		if (bct_up_may_go_on(u, r) && bct_up_usable(u))
			return true;
	}
	return false;
}

static void retry_requeue_not_run(bct_core_t *c, bct_time_t now, bct_sreq_t *r)
{
	if (++r->not_run > RETRY_NOT_RUN_MAX)
		bct_admit_refuse(c, now, r, BCT_REFUSE_NO_UPSTREAM,
				 bct_admit_retry_ms(r->target, r->tier));
	else
		bct_admit_enqueue(c, now, r);
}

static bct_refuse_t retry_allowed(bct_core_t *c, bct_time_t now, bct_sreq_t *r)
{
	if (!r->repeatable)
		return r->maybe_ran ? BCT_REFUSE_OUTCOME_UNKNOWN : BCT_REFUSE_UPSTREAM_FAILED;
	if (r->tokens && !retry_can_resume(r))
		return BCT_REFUSE_UPSTREAM_FAILED;
	if (++r->tries > RETRY_TRIES_MAX)
		return BCT_REFUSE_UPSTREAM_FAILED;
	if (now >= r->deadline)
		return BCT_REFUSE_DEADLINE;
	if (bct_budget_take(&c->budget, now))
		return BCT_REFUSE_RETRY_BUDGET;
	return BCT_REFUSE_NONE;
}

/* A broken connection may mean that the upstream crashed, and that the request caused it. */
bct_suspect_state_t bct_retry_note_crash(bct_core_t *c, bct_time_t now, const bct_sreq_t *r,
					 const bct_up_t *u, const bct_attempt_end_t *end)
{
	if (end->outcome != BCT_OUTCOME_RESET || !end->may_have_run)
		return BCT_SUSPECT_NO;
	return bct_suspect_crash(&c->suspects, now, r->desc.digest, u->key, r->alone);
}

/* This node ended the attempt, which may still run at u. */
void bct_retry_note_abandoned(bct_core_t *c, bct_time_t now, const bct_sreq_t *r, const bct_up_t *u,
			      const bct_attempt_end_t *end)
{
	bct_abandoned_t a = {
		.digest = r->desc.digest,
		.alone = r->alone,
		.upstream_key = u->key,
		.at = now,
		.heard_at = u->report_at,
	};
	bool own = end->outcome == BCT_OUTCOME_CANCELLED || end->outcome == BCT_OUTCOME_TIMEOUT ||
		   end->outcome == BCT_OUTCOME_STALLED;

	if (own && end->may_have_run)
		bct_abandoned_add(&c->abandoned, &a);
}

/* An upstream that the configuration dropped has left as planned. */
static bct_upstream_sight_t look(const void *ctx, uint64_t upstream_key, bct_time_t at)
{
	const bct_core_t *c = ctx;
	const bct_up_t *u = bct_map_get(&c->ups, upstream_key);

	if (!u)
		return (bct_upstream_sight_t){ .planned = true };
	return (bct_upstream_sight_t){
		.ended = u->boot_at > at,
		.planned = u->configured_leaving || u->notified_leaving || u->reported_leaving,
		.heard_at = u->boot_at > at ? 0 : u->report_at,
	};
}

void bct_retry_check_abandoned(bct_core_t *c, bct_time_t now)
{
	bct_abandoned_t a;

	while (bct_abandoned_next_crash(&c->abandoned, now, look, c, &a))
		bct_suspect_crash(&c->suspects, now, a.digest, a.upstream_key, a.alone);
}

/* Requeues or refuses r after a failed attempt at u. r must not be in any list. */
void bct_retry_decide(bct_core_t *c, bct_time_t now, bct_sreq_t *r, bct_up_t *u,
		      const bct_attempt_end_t *end)
{
	bct_suspect_state_t suspect;
	uint32_t remaining_ms = 0;
	bct_refuse_t refusal;

	retry_update_upstream(c, now, u, end);
	suspect = bct_retry_note_crash(c, now, r, u, end);
	if (suspect == BCT_SUSPECT_POISON)
		bct_suspect_state(&c->suspects, now, r->desc.digest, &remaining_ms);
	r->retry = retry_reason(r, end->outcome, suspect != BCT_SUSPECT_NO);
	r->avoid_key = u->key;
	if (retry_not_run(end)) {
		retry_requeue_not_run(c, now, r);
		return;
	}
	if (suspect == BCT_SUSPECT_POISON && r->repeatable) {
		bct_admit_refuse(c, now, r, BCT_REFUSE_POISON, remaining_ms);
		return;
	}
	refusal = retry_allowed(c, now, r);
	if (refusal != BCT_REFUSE_NONE)
		bct_admit_refuse(c, now, r, refusal, RETRY_AFTER_MS);
	else
		bct_admit_enqueue(c, now, r);
}
