/*
 * model_drive.c - the layer between schedulers and engines of a simulation.
 */
#include "bench/model_drive.h"
#include "bench/model_deploy.h"

#include <string.h>

#define ACTIONS_MAX 64
#define POLLS_MAX 1000 /* per node and tick; stops a scheduler that never runs out of actions */

const bct_model_class_t *bct_model_drive_class(const bct_model_drive_t *d, const bct_model_req_t *r)
{
	return &d->opts->deployment->classes[r->class_idx];
}

static void breach(bct_model_drive_t *d, bct_model_breach_t b)
{
	d->result->breaches[b]++;
}

static bct_sched_t *sched_of(bct_model_drive_t *d, const bct_model_req_t *r)
{
	return d->fleet.nodes[r->node].sched;
}

static bool state_ended(bct_model_state_t s)
{
	return s >= BCT_MODEL_ANSWERED;
}

static uint32_t *waiting_count(bct_model_drive_t *d, const bct_model_req_t *r)
{
	const bct_model_class_t *k = bct_model_drive_class(d, r);

	return &d->waiting[r->node][k->pool][k->tier];
}

void bct_model_drive_set_state(bct_model_drive_t *d, bct_model_req_t *r, bct_model_state_t state)
{
	if (r->state == BCT_MODEL_WAITING)
		(*waiting_count(d, r))--;
	if (r->state == BCT_MODEL_RUNNING)
		d->running[r->account_idx]--;
	r->state = state;
	if (state == BCT_MODEL_WAITING)
		(*waiting_count(d, r))++;
	if (state == BCT_MODEL_RUNNING && ++d->running[r->account_idx] > d->max_running)
		d->max_running = d->running[r->account_idx];
	if (state_ended(state))
		r->ended_at = d->now;
}

int bct_model_drive_submit(bct_model_drive_t *d, uint32_t req)
{
	bct_model_req_t *r = &d->load.reqs[req];
	int err;

	r->node = bct_model_fleet_live_node(&d->fleet, r->node);
	r->desc.arrived = d->now;
	err = bct_sched_submit(sched_of(d, r), d->now, &r->desc);
	if (err)
		return err;
	bct_model_drive_set_state(d, r, BCT_MODEL_WAITING);
	d->live[d->n_live++] = req;
	return 0;
}

/* Callbacks of the engines. */

static void drive_prefilling(void *ctx, const bct_model_stream_t *s, uint32_t cached_tokens)
{
	bct_model_drive_t *d = ctx;

	d->result->cached_tokens += cached_tokens;
	d->result->prefilled_tokens += (uint64_t)s->prefill_remaining;
}

static void drive_started(void *ctx, const bct_model_stream_t *s)
{
	bct_model_drive_t *d = ctx;
	bct_model_req_t *r = &d->load.reqs[s->req];

	r->runs++;
	if (r->runs > 1 && !r->desc.repeatable)
		breach(d, BCT_MODEL_BREACH_RAN_TWICE);
}

static void drive_tokens(void *ctx, const bct_model_stream_t *s)
{
	bct_model_drive_t *d = ctx;
	bct_model_req_t *r = &d->load.reqs[s->req];
	uint32_t at = s->resume_tokens + s->produced;

	r->progress_at = d->now;
	if (at > r->delivered) {
		if (r->delivered == 0)
			r->first_token_at = d->now;
		r->delivered = at;
	}
	bct_sched_tokens(sched_of(d, r), d->now, s->attempt_id, s->produced);
}

/*
 * Ends the running attempt of a request and reports it to the scheduler.
 *
 * tokens   output tokens that the attempt had generated
 * started  the engine had started it, so it may have run
 */
static void end_attempt(bct_model_drive_t *d, bct_model_req_t *r, bct_outcome_t outcome,
			uint32_t tokens, bool started)
{
	bct_attempt_end_t end = {
		.attempt_id = r->attempt_id,
		.outcome = outcome,
		.tokens = tokens,
		.may_have_run = started,
	};
	bct_model_state_t next = BCT_MODEL_WAITING;

	d->result->generated_tokens += tokens;
	if (outcome == BCT_OUTCOME_OK) {
		if (r->delivered != r->output_tokens)
			breach(d, BCT_MODEL_BREACH_INCOMPLETE);
		next = BCT_MODEL_ANSWERED;
	}
	if (r->caller_disconnected)
		next = BCT_MODEL_DISCONNECTED;
	bct_model_drive_set_state(d, r, next);
	bct_sched_attempt_end(sched_of(d, r), d->now, &end);
}

static void drive_ended(void *ctx, const bct_model_stream_t *s, bct_outcome_t outcome, bool started)
{
	bct_model_drive_t *d = ctx;

	end_attempt(d, &d->load.reqs[s->req], outcome, s->produced, started);
}

static void drive_crashed(void *ctx, uint32_t engine, bool by_poison)
{
	bct_model_drive_t *d = ctx;

	(void)engine;
	d->result->poison_crashes += by_poison;
}

static void drive_cache(void *ctx, uint32_t engine, const bct_cache_event_t *e)
{
	bct_model_drive_t *d = ctx;

	(void)engine;
	bct_model_wire_event(&d->wire, d->now, e);
}

const bct_model_engine_ops_t bct_model_drive_engine_ops = {
	.prefilling = drive_prefilling,
	.started = drive_started,
	.tokens = drive_tokens,
	.ended = drive_ended,
	.crashed = drive_crashed,
	.cache = drive_cache,
};

void bct_model_drive_stop(bct_model_drive_t *d, bct_model_req_t *r, bct_outcome_t outcome)
{
	bool started;
	uint32_t tokens = bct_model_engine_cancel(&d->engines[r->engine], r->attempt_id, &started);

	end_attempt(d, r, outcome, tokens, started);
}

void bct_model_drive_report_rejections(bct_model_drive_t *d)
{
	uint32_t n = d->n_rejections;

	d->n_rejections = 0;
	for (uint32_t i = 0; i < n; i++) {
		const bct_model_rejection_t rejection = d->rejections[i];
		bct_model_req_t *r = &d->load.reqs[rejection.req];

		if (r->state == BCT_MODEL_RUNNING && r->attempt_id == rejection.attempt_id)
			end_attempt(d, r, rejection.outcome, 0, false);
	}
}

/* Actions of the schedulers. */

static bct_model_engine_t *find_engine(bct_model_drive_t *d, uint64_t key)
{
	for (uint32_t i = 0; i < d->n_engines; i++) {
		if (d->engines[i].conf->key == key)
			return &d->engines[i];
	}
	return NULL;
}

static bct_model_stream_t make_stream(bct_model_drive_t *d, uint32_t req, const bct_action_t *a)
{
	const bct_model_req_t *r = &d->load.reqs[req];

	return (bct_model_stream_t){
		.attempt_id = a->attempt_id,
		.req = req,
		.priority = a->priority,
		.poison = r->poison,
		.queued_at = d->now,
		.prompt_tokens = r->desc.prompt_tokens,
		.resume_tokens = a->resume_tokens,
		.output_tokens = r->output_tokens,
		.kv_tokens = r->desc.prompt_tokens + r->desc.max_output_tokens,
		.n_prefix = r->desc.n_prefix,
		.prefix = r->desc.prefix,
		.kv_source = a->kv_source_key ? find_engine(d, a->kv_source_key) : NULL,
	};
}

/* Offers a new attempt to its engine; a rejection is reported in the next tick. */
static void act_dispatch(bct_model_drive_t *d, bct_model_req_t *r, const bct_action_t *a)
{
	const bct_model_class_t *k = bct_model_drive_class(d, r);
	bct_model_engine_t *e = find_engine(d, a->upstream_key);
	uint32_t req = (uint32_t)(r - d->load.reqs);
	bct_outcome_t outcome;
	bct_model_stream_t s;

	if (!e || bct_model_engine_pool(d->opts->deployment, e->index) != k->pool) {
		breach(d, BCT_MODEL_BREACH_WRONG_UPSTREAM);
		return;
	}
	if (r->state != BCT_MODEL_WAITING || a->priority < 1 || a->priority > BCT_TIERS) {
		breach(d, BCT_MODEL_BREACH_BAD_ACTION);
		return;
	}
	if (a->resume_tokens > r->delivered)
		breach(d, BCT_MODEL_BREACH_TOKEN_GAP);
	r->attempt_id = a->attempt_id;
	r->engine = e->index;
	r->resume_tokens = a->resume_tokens;
	r->dispatched_at = d->now;
	r->progress_at = d->now;
	d->result->retried[a->retry]++;
	if (a->retry == BCT_RETRY_PREEMPTED && r->cancelled_over_lower)
		d->result->inversions++;
	bct_model_drive_set_state(d, r, BCT_MODEL_RUNNING);
	s = make_stream(d, req, a);
	outcome = bct_model_engine_offer(e, &s);
	if (outcome != BCT_OUTCOME_CONNECT_FAILED)
		bct_sched_sent(sched_of(d, r), d->now, a->attempt_id);
	if (outcome != BCT_OUTCOME_OK)
		d->rejections[d->n_rejections++] =
			(bct_model_rejection_t){ req, a->attempt_id, outcome };
}

static void act_refuse(bct_model_drive_t *d, bct_model_req_t *r, const bct_action_t *a)
{
	if (r->state != BCT_MODEL_WAITING) {
		breach(d, BCT_MODEL_BREACH_BAD_ACTION);
		return;
	}
	if (a->run == BCT_RUN_NOT_RUN && r->runs)
		breach(d, BCT_MODEL_BREACH_MISREPORTED);
	r->refuse = a->refuse;
	d->result->refused[a->refuse]++;
	if (a->refuse == BCT_REFUSE_POISON && !r->poison)
		d->result->bystanders_refused++;
	bct_model_drive_set_state(d, r, BCT_MODEL_REFUSED);
}

/* Returns whether a lower-tier request of the same node runs on the request's engine. */
static bool lower_tier_runs(const bct_model_drive_t *d, const bct_model_req_t *r)
{
	const bct_model_engine_t *e = &d->engines[r->engine];
	uint8_t tier = bct_model_drive_class(d, r)->tier;

	for (uint32_t i = 0; i < e->n_running; i++) {
		const bct_model_req_t *other = &d->load.reqs[e->running[i].req];

		if (bct_model_drive_class(d, other)->tier > tier && other->node == r->node)
			return true;
	}
	return false;
}

static void act_cancel(bct_model_drive_t *d, bct_model_req_t *r, const bct_action_t *a)
{
	if (r->state != BCT_MODEL_RUNNING || r->attempt_id != a->attempt_id) {
		breach(d, BCT_MODEL_BREACH_BAD_ACTION);
		return;
	}
	r->cancelled_over_lower = !r->caller_disconnected && lower_tier_runs(d, r);
	bct_model_drive_stop(d, r, BCT_OUTCOME_CANCELLED);
}

static void act(bct_model_drive_t *d, const bct_action_t *a)
{
	bct_model_req_t *r;

	if (a->req_id == 0 || a->req_id > d->load.n) {
		breach(d, BCT_MODEL_BREACH_BAD_ACTION);
		return;
	}
	r = &d->load.reqs[a->req_id - 1];
	if (state_ended(r->state)) {
		breach(d, BCT_MODEL_BREACH_AFTER_END);
		return;
	}
	if (a->type == BCT_ACTION_DISPATCH)
		act_dispatch(d, r, a);
	else if (a->type == BCT_ACTION_REFUSE)
		act_refuse(d, r, a);
	else
		act_cancel(d, r, a);
}

/*
 * Counts the inversions of one poll: requests of a tier that were shed, or refused because of a
 * full queue, while a lower tier of the same pool still waits on the node after all actions of the
 * poll.
 */
static void count_inversions(bct_model_drive_t *d, uint32_t node,
			     uint32_t shed[BCT_MODEL_POOLS][BCT_MODEL_TIER_INDICES])
{
	for (uint32_t p = 0; p < BCT_MODEL_POOLS; p++) {
		bool lower_waits = false;

		for (uint32_t t = BCT_TIERS; t > 0; t--) {
			if (lower_waits)
				d->result->inversions += shed[p][t];
			lower_waits |= d->waiting[node][p][t] > 0;
		}
	}
}

static void poll_node(bct_model_drive_t *d, uint32_t node)
{
	uint32_t shed[BCT_MODEL_POOLS][BCT_MODEL_TIER_INDICES] = { 0 };
	bct_action_t actions[ACTIONS_MAX];
	uint32_t n, polls = 0;

	do {
		n = bct_sched_poll(d->fleet.nodes[node].sched, d->now, actions, ACTIONS_MAX);
		for (uint32_t i = 0; i < n; i++) {
			const bct_action_t *a = &actions[i];

			act(d, a);
			if (a->type == BCT_ACTION_REFUSE && a->req_id && a->req_id <= d->load.n &&
			    (a->refuse == BCT_REFUSE_SHED || a->refuse == BCT_REFUSE_QUEUE_FULL)) {
				const bct_model_class_t *k =
					bct_model_drive_class(d, &d->load.reqs[a->req_id - 1]);

				shed[k->pool][k->tier]++;
			}
		}
	} while (n == ACTIONS_MAX && ++polls < POLLS_MAX);
	count_inversions(d, node, shed);
}

void bct_model_drive_poll(bct_model_drive_t *d)
{
	for (uint32_t i = 0; i < d->fleet.n; i++) {
		if (d->fleet.nodes[i].sched)
			poll_node(d, i);
	}
}
