/*
 * core_callers.c - inputs of the core: requests of callers, results of key claims, reports of
 * engines, and messages of other nodes.
 */
#include "node/core_int.h"
#include "base/err.h"

#include <stdio.h>

/* Adds a request to the table, with a reference of its own. */
static void add_request(bct_core_t *c, bct_request_t *r)
{
	bct_list_add_tail(&bct_request_ref(r)->link, bct_core_bucket(c, r->id));
	c->in_flight++;
}

/* A resend of a key in use is answered from the key's state at once, whatever the load. */
static int submit_resend(bct_core_t *c, bct_request_t *r)
{
	int rc;

	add_request(c, r);
	r->awaits_key_answer = true;
	r->state = BCT_STATE_INTENT;
	rc = c->claims.claim(c->claims.ctx, r);
	if (rc)
		bct_core_refuse(c, r, BCT_REFUSE_INTERNAL, BCT_RUN_UNKNOWN, 0);
	return 0;
}

int bct_core_submit(bct_core_t *c, bct_request_t *r)
{
	int rc;

	pthread_mutex_lock(&c->lock);
	if (bct_core_needs_claim(c, r) && c->claims.taken(c->claims.ctx, r)) {
		rc = submit_resend(c, r);
	} else {
		rc = bct_sched_submit(c->sched, bct_clock_now(), &r->desc);
		if (!rc) {
			add_request(c, r);
			bct_core_run_actions(c);
		}
	}
	pthread_mutex_unlock(&c->lock);
	return rc;
}

/*
 * A keyed request that may have been sent continues without its caller, so that a resend gets the
 * answer and the key does not stay in doubt. returns whether it continues
 */
static bool continue_orphaned(bct_request_t *r)
{
	bool continues;

	pthread_mutex_lock(&r->lock);
	continues = r->intent && r->attempt_sent;
	if (continues) {
		r->orphaned = true;
		r->ready = true;
		bct_request_wake(r);
	}
	pthread_mutex_unlock(&r->lock);
	return continues;
}

static void stop_attempt(bct_request_t *r)
{
	pthread_mutex_lock(&r->lock);
	if (r->attempt)
		bct_attempt_cancel(r->attempt);
	pthread_mutex_unlock(&r->lock);
}

void bct_core_caller_disconnected(bct_core_t *c, uint64_t req_id)
{
	bct_request_t *r;

	pthread_mutex_lock(&c->lock);
	r = bct_core_find(c, req_id);
	if (r && !continue_orphaned(r)) {
		bct_sched_cancel(c->sched, bct_clock_now(), req_id);
		bct_core_run_actions(c);
		stop_attempt(r);
		bct_core_refuse(c, r, BCT_REFUSE_CALLER_GONE, BCT_RUN_NOT_RUN, 0);
	}
	pthread_mutex_unlock(&c->lock);
}

void bct_core_refuse_all(bct_core_t *c, bct_refuse_t why)
{
	bct_list_t *el, *tmp;

	pthread_mutex_lock(&c->lock);
	for (uint32_t i = 0; i < BCT_CORE_BUCKETS; i++) {
		bct_list_for_each_safe(el, tmp, &c->buckets[i]) {
			bct_request_t *r = bct_container_of(el, bct_request_t, link);
			bct_sched_cancel(c->sched, bct_clock_now(), r->id);
			bct_core_refuse(c, r, why, BCT_RUN_NOT_RUN, 0);
		}
	}
	pthread_mutex_unlock(&c->lock);
}

bool bct_core_claim_result(bct_core_t *c, uint64_t req_id, bct_refuse_t why, bct_run_t run,
			   uint32_t retry_after_ms, bct_time_t send_before)
{
	bct_request_t *r;

	pthread_mutex_lock(&c->lock);
	r = bct_core_find(c, req_id);
	if (r && why == BCT_REFUSE_NONE && r->awaits_key_answer) {
		/*
		 * The key was in use when the request skipped the queue, and has been freed since.
		 * The caller's next send finds it free.
		 */
		bct_core_refuse(c, r, BCT_REFUSE_IN_PROGRESS, BCT_RUN_NOT_RUN, BCT_CLAIM_RETRY_MS);
	} else if (r && why == BCT_REFUSE_NONE) {
		r->intent_won = true;
		bct_core_send(c, r, &r->claimed_action, send_before);
	} else if (r) {
		r->intent = 0;
		bct_core_attempt_not_started(c, r->claimed_action.attempt_id, BCT_OUTCOME_NOT_SENT);
		bct_stats_count_refused(&c->stats, why);
		bct_core_refuse(c, r, why, run, retry_after_ms);
	}
	bct_core_run_actions(c);
	pthread_mutex_unlock(&c->lock);
	return r != NULL;
}

void bct_core_replay(bct_core_t *c, uint64_t req_id, int status, const char *content_type,
		     const void *body, uint32_t len_bytes)
{
	bct_request_t *r;

	pthread_mutex_lock(&c->lock);
	r = bct_core_find(c, req_id);
	if (r) {
		r->intent = 0;
		bct_core_attempt_not_started(c, r->claimed_action.attempt_id, BCT_OUTCOME_NOT_SENT);
		pthread_mutex_lock(&r->lock);
		r->status = status;
		snprintf(r->answer_type, sizeof(r->answer_type), "%s", content_type);
		bct_buf_put(&r->out, body, len_bytes);
		pthread_mutex_unlock(&r->lock);
		bct_request_end(r, BCT_ENDED_BY_NOBODY, BCT_REFUSE_NONE, BCT_RUN_RAN, 0);
		bct_core_retire(c, r);
	}
	bct_core_run_actions(c);
	pthread_mutex_unlock(&c->lock);
}

void bct_core_report(bct_core_t *c, const bct_report_t *r)
{
	pthread_mutex_lock(&c->lock);
	bct_sched_report(c->sched, bct_clock_now(), r);
	bct_core_run_actions(c);
	pthread_mutex_unlock(&c->lock);
}

void bct_core_cache_event(bct_core_t *c, const bct_cache_event_t *e)
{
	pthread_mutex_lock(&c->lock);
	bct_sched_cache_event(c->sched, bct_clock_now(), e);
	pthread_mutex_unlock(&c->lock);
}

void bct_core_total(bct_core_t *c, const bct_total_t *t)
{
	pthread_mutex_lock(&c->lock);
	bct_sched_total(c->sched, bct_clock_now(), t);
	bct_core_run_actions(c);
	pthread_mutex_unlock(&c->lock);
}

void bct_core_fleet(bct_core_t *c, const bct_fleet_t *f)
{
	pthread_mutex_lock(&c->lock);
	bct_sched_fleet(c->sched, bct_clock_now(), f);
	pthread_mutex_unlock(&c->lock);
}

void bct_core_leaving(bct_core_t *c, uint64_t upstream_key, bool leaving)
{
	pthread_mutex_lock(&c->lock);
	bct_sched_leaving(c->sched, bct_clock_now(), upstream_key, leaving);
	bct_core_run_actions(c);
	pthread_mutex_unlock(&c->lock);
}

uint32_t bct_core_publish(bct_core_t *c, bct_item_t *out, uint32_t max)
{
	uint32_t n;

	pthread_mutex_lock(&c->lock);
	n = bct_sched_publish(c->sched, bct_clock_now(), out, max);
	pthread_mutex_unlock(&c->lock);
	return n;
}

uint32_t bct_core_in_flight(bct_core_t *c)
{
	uint32_t n;

	pthread_mutex_lock(&c->lock);
	n = c->in_flight;
	pthread_mutex_unlock(&c->lock);
	return n;
}
