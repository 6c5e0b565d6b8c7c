/*
 * retry.c - what follows a failed attempt: by the typed outcome, within the fleet's budget, and
 * never where the caller could see the work done twice.
 */
#include "policy/sched_int.h"

#define RETRY_TRIES_MAX 3	 /* attempts that may have run */
#define RETRY_UNRUN_MAX 64	 /* attempts that surely did not */
#define RETRY_SILENCE_WEIGHT 0.3 /* of one timeout or stall in the upstream's speed */
#define RETRY_BUSY_MS 200	 /* where a busy upstream names no time */
#define RETRY_BUSY_MAX_MS 10000
#define RETRY_BUDGET_MS 1000 /* after which the budget has earned more */

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
		return BCT_RETRY_CROSSED;
	default:
		if (r->tokens)
			return BCT_RETRY_MID_STREAM;
		return crash ? BCT_RETRY_CRASH : BCT_RETRY_RESET;
	}
}

/* Only what the upstream surely did not run is free of the rules below. */
static bool retry_unrun(const bct_attempt_end_t *end)
{
	return !end->may_have_run &&
	       (end->outcome == BCT_OUTCOME_CONNECT_FAILED || end->outcome == BCT_OUTCOME_BUSY);
}

static void retry_note_upstream(bct_core_t *c, bct_time_t now, bct_up_t *u,
				const bct_attempt_end_t *end)
{
	uint32_t hold_ms = end->retry_after_ms ? end->retry_after_ms : RETRY_BUSY_MS;

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
		bct_up_progress(u, 0, RETRY_SILENCE_WEIGHT);
		break;
	default:
		break;
	}
}

/* A caller that has output can only be served on by an engine that continues it. */
static bool retry_can_resume(const bct_sreq_t *r)
{
	for (uint32_t i = 0; i < r->target->n_ups; i++) {
		const bct_up_t *u = r->target->ups[i];

		if (u->resumes && bct_up_usable(u))
			return true;
	}
	return false;
}

static void retry_unrun_again(bct_core_t *c, bct_time_t now, bct_sreq_t *r)
{
	if (++r->not_run > RETRY_UNRUN_MAX)
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

/* A connection that broke may be a crash, and the request its cause. */
bct_suspect_state_t bct_retry_note_crash(bct_core_t *c, bct_time_t now, const bct_sreq_t *r,
					 const bct_up_t *u, const bct_attempt_end_t *end)
{
	if (end->outcome != BCT_OUTCOME_RESET || !end->may_have_run)
		return BCT_SUSPECT_NO;
	return bct_suspect_crash(&c->suspects, now, r->desc.digest, u->key, r->alone);
}

/* r is in no list; u is where the attempt was. */
void bct_retry_decide(bct_core_t *c, bct_time_t now, bct_sreq_t *r, bct_up_t *u,
		      const bct_attempt_end_t *end)
{
	bct_suspect_state_t suspect;
	uint32_t left_ms = 0;
	bct_refuse_t no;

	retry_note_upstream(c, now, u, end);
	suspect = bct_retry_note_crash(c, now, r, u, end);
	if (suspect == BCT_SUSPECT_POISON)
		bct_suspect_state(&c->suspects, now, r->desc.digest, &left_ms);
	r->retry = retry_reason(r, end->outcome, suspect != BCT_SUSPECT_NO);
	r->avoid_key = u->key;
	if (retry_unrun(end)) {
		retry_unrun_again(c, now, r);
		return;
	}
	if (suspect == BCT_SUSPECT_POISON && r->repeatable) {
		bct_admit_refuse(c, now, r, BCT_REFUSE_POISON, left_ms);
		return;
	}
	no = retry_allowed(c, now, r);
	if (no != BCT_REFUSE_NONE)
		bct_admit_refuse(c, now, r, no, RETRY_BUDGET_MS);
	else
		bct_admit_enqueue(c, now, r);
}
