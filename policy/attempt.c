/*
 * attempt.c - the life cycle of one attempt of a request at one upstream.
 */
#include "base/hash.h"
#include "policy/sched_int.h"

/* A first token counts against the upstream if it is later than predicted by more than this. */
#define ATTEMPT_TTFT_GRACE_MS 500
#define ATTEMPT_SERVICE_SMOOTHING 0.02
#define ATTEMPT_TTFT_WEIGHT 0.1	     /* weight of one late first token in the upstream's speed */
#define ATTEMPT_DECODE_WEIGHT 0.4    /* weight of one sample of decode speed */
#define ATTEMPT_SAMPLE_MIN_TOKENS 16 /* fewer tokens do not show the speed */

/* Returns a new id, unique over nodes and restarts as the incarnation is mixed in; never 0. */
static uint64_t attempt_new_id(bct_core_t *c)
{
	uint64_t id;

	do {
		id = bct_hash_mix(c->opts.incarnation, ++c->next_attempt);
	} while (!id || bct_map_get(&c->attempts, id));
	return id;
}

/* Records that the upstream will have the request's prefix and session in its cache. */
static void attempt_learn_prefix(bct_core_t *c, const bct_sreq_t *r)
{
	for (uint32_t i = 0; i < r->desc.n_prefix; i++)
		bct_prefix_add(&c->prefix, &r->up->feed, r->up->index, r->desc.prefix[i]);
	if (r->desc.session_key)
		bct_prefix_add(&c->prefix, &r->up->feed, r->up->index,
			       bct_hash_mix(r->desc.session_key, r->target->key));
}

/* Starts an attempt of a request that is in no queue. Submit reserved the table entry. */
void bct_attempt_start(bct_core_t *c, bct_time_t now, bct_sreq_t *r, const bct_route_t *route)
{
	bct_tier_t *tier = &r->target->tiers[r->tier - 1];
	bct_up_t *u = route->up;

	r->attempt_id = attempt_new_id(c);
	bct_map_put(&c->attempts, r->attempt_id, r);
	bct_core_state(c, r, BCT_REQ_RUNNING);
	r->up = u;
	r->kv_source_key = route->kv_source_key;
	r->prefill_tokens = route->prefill_tokens;
	r->predicted_ttft_ms = route->ttft_ms;
	r->dispatched_at = now;
	r->first_token_at = BCT_TIME_NEVER;
	r->attempt_tokens = 0;
	r->sent = false;
	r->stop = BCT_STOP_NONE;
	bct_list_add_tail(&r->up_link, &u->attempts);
	bct_list_add_tail(&r->outbox, &c->outbox);
	c->n_outbox++;
	tier->n_running++;
	r->non_preemptible = !bct_preempt_allowed(r);
	if (!r->non_preemptible) {
		bct_list_add_tail(&r->line, &tier->preemptible);
		tier->n_preemptible++;
	}
	bct_load_sent(&u->load, now, r->prefill_tokens);
	u->sent_by_tier[bct_core_priority(r) - 1]++;
	u->local_by_tier[r->tier - 1]++;
	attempt_learn_prefix(c, r);
	/*
	 * A request that must not be repeated is not cancelled at its deadline: its outcome
	 * matters more.
	 */
	if (r->repeatable && r->deadline != BCT_TIME_NEVER)
		bct_heap_set(&c->timers, &r->timer, r->deadline);
	else
		bct_heap_del(&c->timers, &r->timer);
	bct_up_refresh(c, now, u);
	if (r->retry != BCT_RETRY_NONE && c->opts.retried)
		bct_counter_inc(&c->opts.retried[r->retry]);
	bct_core_trace(c, now, BCT_TRACE_DISPATCH, r, u->key,
		       r->retry | (r->non_preemptible ? BCT_TRACE_NOT_PREEMPTIBLE : 0));
}

static void attempt_first_token(bct_core_t *c, bct_time_t now, bct_sreq_t *r)
{
	double took_ms = (double)(now - r->dispatched_at);

	r->first_token_at = now;
	bct_length_learn(&r->target->tiers[r->tier - 1].first_token_ms, (uint32_t)took_ms);
	r->sample_at = r->progress_at = now;
	r->sample_max_gap_ms = 0;
	r->sample_tokens = 1;
	bct_load_first_token(&r->up->load, now, r->prefill_tokens);
	if (took_ms > r->predicted_ttft_ms + ATTEMPT_TTFT_GRACE_MS)
		bct_up_progress(r->up, (r->predicted_ttft_ms + ATTEMPT_TTFT_GRACE_MS) / took_ms,
				ATTEMPT_TTFT_WEIGHT);
	bct_up_slow_check(c, now, r->up);
	if (!r->tokens)
		bct_core_trace(c, now, BCT_TRACE_FIRST_TOKEN, r, r->up->key, 0);
}

static void attempt_note_gap(bct_time_t now, bct_sreq_t *r)
{
	if (now - r->progress_at > r->sample_max_gap_ms)
		r->sample_max_gap_ms = now - r->progress_at;
	r->progress_at = now;
}

/*
 * Compares the progress since the last sample with the rate expected of a full batch. The longest
 * gap is excluded, as the engine may have paused this stream for a higher tier.
 */
static void attempt_sample_speed(bct_core_t *c, bct_time_t now, bct_sreq_t *r)
{
	uint32_t produced = r->attempt_tokens - r->sample_tokens;
	double expected;

	if (r->up->kind != BCT_UPSTREAM_ENGINE || produced < ATTEMPT_SAMPLE_MIN_TOKENS)
		return;
	expected =
		(double)(now - r->sample_at - r->sample_max_gap_ms) * r->up->decode_tokens_per_ms;
	r->sample_at = now;
	r->sample_max_gap_ms = 0;
	r->sample_tokens = r->attempt_tokens;
	bct_up_progress(r->up, produced / (expected + 1), ATTEMPT_DECODE_WEIGHT);
	bct_up_slow_check(c, now, r->up);
}

void bct_attempt_tokens(bct_core_t *c, bct_time_t now, uint64_t attempt_id, uint32_t total)
{
	bct_sreq_t *r = bct_map_get(&c->attempts, attempt_id);

	if (!r || total <= r->attempt_tokens)
		return;
	r->maybe_ran = true;
	if (r->first_token_at == BCT_TIME_NEVER)
		attempt_first_token(c, now, r);
	r->attempt_tokens = total;
	attempt_note_gap(now, r);
	attempt_sample_speed(c, now, r);
}

/* Removes the attempt from the counts of its target, tier and upstream. */
static void attempt_uncount(bct_time_t now, bct_sreq_t *r)
{
	bct_target_t *t = r->target;
	bct_tier_t *tier = &t->tiers[r->tier - 1];

	if (r->first_token_at != BCT_TIME_NEVER)
		t->service_ms += ATTEMPT_SERVICE_SMOOTHING *
				 ((double)(now - r->dispatched_at) - t->service_ms);
	tier->n_running--;
	r->up->local_by_tier[r->tier - 1]--;
	if (r->stop == BCT_STOP_PREEMPT)
		r->target->pending_preempts--;
	if (!r->non_preemptible && r->state == BCT_REQ_RUNNING)
		tier->n_preemptible--;
}

/* Removes the attempt from all tables and lists. The request remains, in no list. */
static void attempt_detach(bct_core_t *c, bct_time_t now, bct_sreq_t *r)
{
	bct_up_t *u = r->up;

	bct_map_del(&c->attempts, r->attempt_id);
	if (r->outbox.next != &r->outbox) {
		bct_list_del(&r->outbox);
		c->n_outbox--;
	}
	bct_list_del(&r->line);
	bct_list_del(&r->up_link);
	bct_heap_del(&c->timers, &r->timer);
	attempt_uncount(now, r);
	bct_load_ended(&u->load, now, r->prefill_tokens, r->first_token_at != BCT_TIME_NEVER);
	if (u->alone == r)
		bct_up_release(c, u);
	if (!r->tokens)
		r->software_key = u->software_key;
	r->tokens += r->attempt_tokens;
	r->attempt_tokens = 0;
	r->up = NULL;
	bct_core_state(c, r, BCT_REQ_NEW);
	bct_up_refresh(c, now, u);
	if (u->alone && !u->load.local)
		bct_dispatch_alone(c, now, u);
}

static void attempt_learn_length(const bct_sreq_t *r)
{
	bct_length_learn(&r->terms->length, r->tokens);
	bct_length_learn(&r->target->tiers[r->tier - 1].length, r->tokens);
}

static void attempt_finish(bct_core_t *c, bct_time_t now, bct_sreq_t *r, bct_outcome_t outcome)
{
	if (outcome == BCT_OUTCOME_OK) {
		attempt_learn_length(r);
		bct_suspect_clear(&c->suspects, now, r->desc.digest);
	}
	bct_admit_free(c, r);
}

/* Handles the end of an attempt that this node cancelled. */
static void attempt_stopped(bct_core_t *c, bct_time_t now, bct_sreq_t *r, bct_stop_t stop)
{
	if (stop == BCT_STOP_DISCONNECTED) {
		bct_admit_free(c, r);
	} else if (stop == BCT_STOP_DEADLINE) {
		/*
		 * The answer would have been longer still; without it the learnt lengths would be
		 * too short.
		 */
		if (r->tokens > bct_core_length(r->terms)->p50_tokens)
			attempt_learn_length(r);
		bct_admit_refuse(c, now, r, BCT_REFUSE_DEADLINE,
				 bct_admit_retry_ms(r->target, r->tier));
	} else {
		r->retry = BCT_RETRY_PREEMPTED;
		bct_admit_enqueue(c, now, r);
	}
}

/*
 * Offers the slot that this node frees to its waiting requests, as far as they are entitled to it.
 */
static void attempt_hand_over(bct_core_t *c, bct_time_t now, bct_target_t *t, bct_up_t *u,
			      uint8_t tier, bct_outcome_t outcome)
{
	if (outcome == BCT_OUTCOME_OK || outcome == BCT_OUTCOME_CANCELLED)
		bct_dispatch_handover(c, now, u, t, tier);
}

void bct_attempt_end(bct_core_t *c, bct_time_t now, const bct_attempt_end_t *end)
{
	bct_sreq_t *r = bct_map_get(&c->attempts, end->attempt_id);
	bct_target_t *t;
	bct_stop_t stop;
	uint8_t tier;
	bct_up_t *u;

	if (!r)
		return;
	t = r->target;
	tier = r->tier;
	bct_attempt_tokens(c, now, end->attempt_id, end->tokens);
	u = r->up;
	stop = r->stop;
	bct_core_trace(c, now, BCT_TRACE_END, r, u->key, end->outcome);
	attempt_detach(c, now, r);
	if (end->may_have_run)
		r->maybe_ran = true;
	bct_retry_note_abandoned(c, now, r, u, end);
	if (end->outcome == BCT_OUTCOME_OK || end->outcome == BCT_OUTCOME_NOT_SENT) {
		bct_up_answered(c, now, u);
		attempt_finish(c, now, r, end->outcome);
	} else if (stop != BCT_STOP_NONE && end->outcome == BCT_OUTCOME_CANCELLED) {
		attempt_stopped(c, now, r, stop);
	} else if (stop == BCT_STOP_DISCONNECTED || end->outcome == BCT_OUTCOME_CANCELLED) {
		bct_retry_note_crash(c, now, r, u, end);
		bct_admit_free(c, r);
	} else {
		bct_retry_decide(c, now, r, u, end);
	}
	attempt_hand_over(c, now, t, u, tier, end->outcome);
}

/* Undoes an attempt whose DISPATCH action poll has not returned yet. */
static void attempt_undo(bct_core_t *c, bct_time_t now, bct_sreq_t *r, bct_stop_t why)
{
	bct_core_trace(c, now, BCT_TRACE_END, r, r->up->key, BCT_OUTCOME_CANCELLED);
	attempt_detach(c, now, r);
	attempt_stopped(c, now, r, why);
}

/*
 * Cancels a running attempt, or undoes it if poll has not returned it yet. For an attempt that is
 * ending already, only the cause changes.
 */
void bct_attempt_stop(bct_core_t *c, bct_time_t now, bct_sreq_t *r, bct_stop_t why)
{
	bool preempting = r->stop == BCT_STOP_PREEMPT;

	if (r->state == BCT_REQ_RUNNING && r->outbox.next != &r->outbox) {
		attempt_undo(c, now, r, why);
		return;
	}
	if (preempting && why != BCT_STOP_PREEMPT)
		r->target->pending_preempts--;
	if (!preempting && why == BCT_STOP_PREEMPT)
		r->target->pending_preempts++;
	r->stop = why;
	bct_heap_del(&c->timers, &r->timer);
	if (r->state == BCT_REQ_ENDING)
		return;
	if (!r->non_preemptible) {
		bct_list_del(&r->line);
		r->target->tiers[r->tier - 1].n_preemptible--;
	}
	bct_core_state(c, r, BCT_REQ_ENDING);
	bct_list_add_tail(&r->outbox, &c->outbox);
	c->n_outbox++;
}
