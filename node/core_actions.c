/*
 * core_actions.c - carries out the scheduler's actions, and handles the events of the attempts
 * that they start.
 */
#include "node/core_int.h"
#include "base/err.h"

#include <string.h>

#define ACTIONS_PER_POLL 32
#define RESEND_LIMIT_MS \
	1000 /* limit for the first byte of an attempt repeated under a won intent */

bct_list_t *bct_core_bucket(bct_core_t *c, uint64_t req_id)
{
	return &c->buckets[bct_hash(&req_id, sizeof(req_id)) % BCT_CORE_BUCKETS];
}

bct_request_t *bct_core_find(bct_core_t *c, uint64_t req_id)
{
	bct_list_t *head = bct_core_bucket(c, req_id);
	bct_list_t *el;

	bct_list_for_each(el, head) {
		bct_request_t *r = bct_container_of(el, bct_request_t, link);

		if (r->id == req_id)
			return r;
	}
	return NULL;
}

static void log_request_end(bct_core_t *c, const bct_request_t *r, bct_time_t now)
{
	char code[3] = { bct_ended_by_letter(r->ended_by), bct_state_letter(r->state), '\0' };
	int64_t ttft = r->first_token == BCT_TIME_NEVER ? -1 : r->first_token - r->desc.arrived;

	BCT_LOG(c->log, BCT_EV_REQUEST_ENDED, BCT_HEX("request", r->id), BCT_STR("code", code),
		BCT_STR("account", r->account->name), BCT_STR("class", r->klass->name),
		BCT_U64("tier", r->klass->tier), BCT_STR("reason", bct_refuse_wire(r->refuse)),
		BCT_STR("run", bct_run_wire(r->run)), BCT_I64("ttft_ms", ttft),
		BCT_I64("total_ms", now - r->desc.arrived), BCT_U64("tokens", r->tokens));
}

void bct_core_retire(bct_core_t *c, bct_request_t *r)
{
	bct_time_t now = bct_clock_now();

	if (bct_list_empty(&r->link))
		return;
	bct_list_del(&r->link);
	c->in_flight--;
	pthread_mutex_lock(&r->lock);
	bct_stats_end(&c->stats, r, now);
	log_request_end(c, r, now);
	pthread_mutex_unlock(&r->lock);
	bct_request_unref(r);
}

/* Ends the claim of a request that ended without an answer. */
static void end_claim(bct_core_t *c, bct_request_t *r)
{
	if (!r->intent)
		return;
	if (!r->may_have_run) {
		c->claims.withdraw(c->claims.ctx, r);
		BCT_LOG(c->log, BCT_EV_KEY_WITHDRAWN, BCT_HEX("request", r->id),
			BCT_HEX("intent", r->intent));
	} else {
		c->claims.abandon(c->claims.ctx, r);
		BCT_LOG(c->log, BCT_EV_KEY_IN_DOUBT, BCT_HEX("request", r->id),
			BCT_HEX("intent", r->intent));
	}
	r->intent = 0;
}

bool bct_core_needs_claim(const bct_core_t *c, const bct_request_t *r)
{
	return c->claims.claim && !r->desc.repeatable && r->idempotency_key;
}

/*
 * A caller applies not_run to all its sends of a key. A keyed request is therefore answered not_run
 * only if that is confirmed for the key, else unknown.
 */
void bct_core_refuse(bct_core_t *c, bct_request_t *r, bct_refuse_t why, bct_run_t run,
		     uint32_t retry_after_ms)
{
	if (run == BCT_RUN_NOT_RUN && bct_core_needs_claim(c, r) &&
	    !c->claims.confirms_not_run(c->claims.ctx, r))
		run = BCT_RUN_UNKNOWN;
	bct_request_end(r, bct_request_ended_by(why), why, run, retry_after_ms);
	end_claim(c, r);
	bct_core_retire(c, r);
}

void bct_core_attempt_not_started(bct_core_t *c, uint64_t attempt_id, bct_outcome_t outcome)
{
	bct_attempt_end_t end = { .attempt_id = attempt_id, .outcome = outcome };

	c->sched->ops->attempt_end(c->sched, bct_clock_now(), &end);
}

/* Falls back to the request's own configuration for an upstream that was removed since. */
static const bct_upstream_conf_t *upstream_of(bct_core_t *c, const bct_request_t *r, uint64_t key)
{
	const bct_upstream_conf_t *u = bct_conf_upstream(c->conf, key);

	return u ? u : bct_conf_upstream(r->conf, key);
}

void bct_core_send(bct_core_t *c, bct_request_t *r, const bct_action_t *act, bct_time_t send_before)
{
	const bct_upstream_conf_t *u = upstream_of(c, r, act->upstream_key);
	bct_attempt_opts_t opts = {
		.id = act->attempt_id,
		.req = r,
		.upstream = u,
		.kv_source =
			act->kv_source_key ? bct_conf_upstream(c->conf, act->kv_source_key) : NULL,
		.timeouts = &c->conf->timeouts,
		.priority = act->priority,
		.send_before = send_before,
	};
	bct_attempt_t *a = NULL;
	int rc = u ? 0 : -BCT_ENOT_FOUND;

	pthread_mutex_lock(&r->lock);
	opts.resume_from = r->tokens;
	if (!rc)
		rc = bct_upstream_start(c->pool, &opts, &a);
	if (!rc) {
		r->attempt = a;
		if (r->state < BCT_STATE_SENT)
			r->state = BCT_STATE_SENT;
	}
	pthread_mutex_unlock(&r->lock);
	if (rc)
		bct_core_attempt_not_started(c, act->attempt_id, BCT_OUTCOME_CONNECT_FAILED);
}

/*
 * Repeats a request under the intent that an earlier attempt won. The upstream certainly did not
 * run that attempt. The intent must still own its key.
 */
static void resend(bct_core_t *c, bct_request_t *r, const bct_action_t *act)
{
	if (c->claims.may_send(c->claims.ctx, r)) {
		bct_core_send(c, r, act, bct_clock_now() + RESEND_LIMIT_MS);
		return;
	}
	bct_core_attempt_not_started(c, act->attempt_id, BCT_OUTCOME_NOT_SENT);
	bct_core_refuse(c, r, BCT_REFUSE_LOG_DOWN, BCT_RUN_NOT_RUN, BCT_CLAIM_RETRY_MS);
}

/* Claims the request's key. The action is kept, to be carried out when the claim is won. */
static void start_claim(bct_core_t *c, bct_request_t *r, const bct_action_t *act)
{
	pthread_mutex_lock(&r->lock);
	r->state = BCT_STATE_INTENT;
	r->claimed_action = *act;
	pthread_mutex_unlock(&r->lock);
	if (!c->claims.claim(c->claims.ctx, r))
		return;
	bct_core_attempt_not_started(c, act->attempt_id, BCT_OUTCOME_NOT_SENT);
	bct_core_refuse(c, r, BCT_REFUSE_INTERNAL, BCT_RUN_NOT_RUN, 0);
}

static void dispatch(bct_core_t *c, bct_request_t *r, const bct_action_t *act)
{
	if (!bct_core_needs_claim(c, r))
		bct_core_send(c, r, act, BCT_TIME_NEVER);
	else if (r->intent_won)
		resend(c, r, act);
	else
		start_claim(c, r, act);
}

/* An attempt whose key has not been claimed yet does not exist: nobody else would report its end,
 * and the scheduler would count it as running for good. */
static void cancel_attempt(bct_core_t *c, bct_request_t *r, uint64_t attempt_id)
{
	bool found, claims;

	pthread_mutex_lock(&r->lock);
	found = r->attempt && bct_attempt_id_of(r->attempt) == attempt_id;
	claims = !found && r->state == BCT_STATE_INTENT && !r->intent_won &&
		 r->claimed_action.attempt_id == attempt_id;
	if (found) {
		bct_attempt_cancel(r->attempt);
		r->attempt = NULL;
	}
	pthread_mutex_unlock(&r->lock);
	if (claims)
		bct_core_attempt_not_started(c, attempt_id, BCT_OUTCOME_NOT_SENT);
}

/* Carries out one action; its request may have ended. */
static void perform_action(bct_core_t *c, const bct_action_t *act)
{
	bct_request_t *r = bct_core_find(c, act->req_id);

	if (!r) {
		if (act->type == BCT_ACTION_DISPATCH)
			bct_core_attempt_not_started(c, act->attempt_id, BCT_OUTCOME_NOT_SENT);
		return;
	}
	switch (act->type) {
	case BCT_ACTION_DISPATCH:
		dispatch(c, r, act);
		break;
	case BCT_ACTION_REFUSE:
		bct_core_refuse(c, r, act->refuse, act->run, act->retry_after_ms);
		break;
	case BCT_ACTION_CANCEL:
		cancel_attempt(c, r, act->attempt_id);
		break;
	}
}

void bct_core_run_actions(bct_core_t *c)
{
	bct_action_t acts[ACTIONS_PER_POLL];
	uint32_t n, i;

	do {
		n = bct_sched_poll(c->sched, bct_clock_now(), acts, ACTIONS_PER_POLL);
		for (i = 0; i < n; i++)
			perform_action(c, &acts[i]);
	} while (n == ACTIONS_PER_POLL);
	if (bct_sched_next_wake(c->sched) < c->timer_wake)
		pthread_cond_signal(&c->wake);
}

void bct_core_on_sent(void *ctx, bct_attempt_t *a)
{
	bct_core_t *c = ctx;

	pthread_mutex_lock(&c->lock);
	bct_sched_sent(c->sched, bct_clock_now(), a->id);
	pthread_mutex_unlock(&c->lock);
}

void bct_core_on_tokens(void *ctx, bct_attempt_t *a, uint32_t total)
{
	bct_core_t *c = ctx;

	pthread_mutex_lock(&c->lock);
	bct_sched_tokens(c->sched, bct_clock_now(), a->id, total);
	if (bct_sched_next_wake(c->sched) < c->timer_wake)
		bct_core_run_actions(c);
	pthread_mutex_unlock(&c->lock);
}

static void log_failure(bct_core_t *c, const bct_attempt_t *a, const bct_attempt_end_t *end)
{
	if (end->outcome == BCT_OUTCOME_MISMATCHED) {
		bct_counter_inc(&c->stats.mismatched);
		BCT_LOG(c->log, BCT_EV_UPSTREAM_CROSSED, BCT_STR("upstream", a->upstream_name),
			BCT_HEX("attempt", a->id));
		return;
	}
	if (end->outcome == BCT_OUTCOME_OK || end->outcome == BCT_OUTCOME_CANCELLED)
		return;
	BCT_LOG(c->log, BCT_EV_UPSTREAM_FAILED, BCT_STR("upstream", a->upstream_name),
		BCT_HEX("attempt", a->id), BCT_HEX("request", a->req->id),
		BCT_U64("outcome", end->outcome), BCT_I64("status", a->status),
		BCT_U64("tokens", end->tokens));
}

/* Detaches an ended attempt. returns whether it was the request's current attempt */
static bool detach(bct_attempt_t *a, const bct_attempt_end_t *end)
{
	bct_request_t *r = a->req;
	bool current;

	pthread_mutex_lock(&r->lock);
	current = r->attempt == a;
	if (current) {
		r->attempt = NULL;
		r->attempt_sent = false;
	}
	r->earlier_may_have_run = r->earlier_may_have_run || end->may_have_run;
	pthread_mutex_unlock(&r->lock);
	return current;
}

/* Ends a request whose answer is complete, and stores the answer under its key. */
static void complete(bct_core_t *c, bct_request_t *r)
{
	if (r->intent)
		c->claims.finish(c->claims.ctx, r);
	r->intent = 0;
	bct_request_end(r, BCT_ENDED_BY_NOBODY, BCT_REFUSE_NONE, BCT_RUN_RAN, 0);
	bct_core_retire(c, r);
}

/*
 * Refuses a request whose current attempt was not sent: send_before had passed, as when this
 * process was resumed after suspension, or memory was short.
 */
static void refuse_not_sent(bct_core_t *c, bct_request_t *r)
{
	BCT_LOG(c->log, BCT_EV_KEY_FENCED, BCT_HEX("request", r->id), BCT_HEX("intent", r->intent));
	bct_core_refuse(c, r, BCT_REFUSE_LOG_DOWN, BCT_RUN_NOT_RUN, BCT_CLAIM_RETRY_MS);
}

void bct_core_on_end(void *ctx, bct_attempt_t *a, const bct_attempt_end_t *end)
{
	bct_core_t *c = ctx;
	bct_request_t *r;
	bool current;

	log_failure(c, a, end);
	pthread_mutex_lock(&c->lock);
	current = detach(a, end);
	bct_sched_attempt_end(c->sched, bct_clock_now(), end);
	r = bct_core_find(c, a->req->id);
	if (r && current && end->outcome == BCT_OUTCOME_OK) {
		complete(c, r);
	} else if (r && current && end->outcome == BCT_OUTCOME_NOT_SENT) {
		refuse_not_sent(c, r);
	} else if (end->outcome == BCT_OUTCOME_OK) {
		bct_counter_inc(&c->stats.late);
	}
	bct_core_run_actions(c);
	pthread_mutex_unlock(&c->lock);
}
