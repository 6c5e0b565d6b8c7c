/*
 * core.c - events into the scheduler, its actions out to the upstream workers.
 */
#include "node/core.h"
#include "base/err.h"
#include "base/mem.h"
#include "base/rng.h"

#include <ck_pr.h>
#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include <time.h>

#define BUCKETS 4096
#define ACTIONS_AT_ONCE 32
#define TIMER_MAX_MS 100
#define TIMER_MIN_MS 1
#define RESEND_MS 1000 /* a repeated attempt of a won intent is out by then or not at all */
#define CLAIM_RETRY_MS 1000

struct bct_core {
	const bct_settings_t *settings;
	bct_log_t *log;
	bct_stats_t stats;
	bct_upstream_pool_t *pool;
	bct_claim_ops_t claims;
	uint64_t incarnation;
	uint64_t last_id;
	pthread_t timer;
	bool timer_started;

	pthread_mutex_t lock;
	/* All below under lock. */
	pthread_cond_t wake;
	bool stop;
	bct_time_t timer_wake; /* when the timer thread looks again by itself */
	bct_sched_t *sched;
	bct_conf_t *conf;
	bct_time_t conf_since;
	uint32_t in_flight;
	bct_list_t buckets[BUCKETS];
};

static bct_list_t *bucket(bct_core_t *c, uint64_t req_id)
{
	return &c->buckets[bct_hash(&req_id, sizeof(req_id)) % BUCKETS];
}

static bct_request_t *find(bct_core_t *c, uint64_t req_id)
{
	bct_list_t *head = bucket(c, req_id);
	bct_list_t *el;

	bct_list_for_each(el, head) {
		bct_request_t *r = bct_container_of(el, bct_request_t, link);

		if (r->id == req_id)
			return r;
	}
	return NULL;
}

static void log_end(bct_core_t *c, const bct_request_t *r, bct_time_t now)
{
	char code[3] = { bct_ended_by_letter(r->ended_by), bct_state_letter(r->state), '\0' };
	int64_t ttft = r->first_token == BCT_TIME_NEVER ? -1 : r->first_token - r->desc.arrived;

	BCT_LOG(c->log, BCT_EV_REQUEST_ENDED, BCT_HEX("request", r->id), BCT_STR("code", code),
		BCT_STR("account", r->account->name), BCT_STR("class", r->klass->name),
		BCT_U64("tier", r->klass->tier), BCT_STR("reason", bct_refuse_wire(r->refuse)),
		BCT_STR("run", bct_run_wire(r->run)), BCT_I64("ttft_ms", ttft),
		BCT_I64("total_ms", now - r->desc.arrived), BCT_U64("tokens", r->tokens));
}

/* Takes an ended request off the table and gives up the table's reference. */
static void retire(bct_core_t *c, bct_request_t *r)
{
	bct_time_t now = bct_clock_now();

	if (bct_list_empty(&r->link))
		return;
	bct_list_del(&r->link);
	c->in_flight--;
	pthread_mutex_lock(&r->lock);
	bct_stats_end(&c->stats, r, now);
	log_end(c, r, now);
	pthread_mutex_unlock(&r->lock);
	bct_request_unref(r);
}

/* What becomes of the key of a request that ended without an answer. */
static void give_up_key(bct_core_t *c, bct_request_t *r)
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

static bool needs_claim(const bct_core_t *c, const bct_request_t *r)
{
	return c->claims.claim && !r->desc.repeatable && r->idempotency_key;
}

/* A caller takes not_run for all its sends of a key, so it is said only of a key known as free. */
static void refuse(bct_core_t *c, bct_request_t *r, bct_refuse_t why, bct_run_t run,
		   uint32_t retry_after_ms)
{
	if (run == BCT_RUN_NOT_RUN && needs_claim(c, r) && !c->claims.vouch(c->claims.ctx, r))
		run = BCT_RUN_UNKNOWN;
	bct_request_end(r, bct_request_ended_by(why), why, run, retry_after_ms);
	give_up_key(c, r);
	retire(c, r);
}

static void feed_end(bct_core_t *c, uint64_t attempt_id, bct_outcome_t outcome)
{
	bct_attempt_end_t end = { .attempt_id = attempt_id, .outcome = outcome };

	c->sched->ops->attempt_end(c->sched, bct_clock_now(), &end);
}

static const bct_upstream_conf_t *upstream_of(bct_core_t *c, const bct_request_t *r, uint64_t key)
{
	const bct_upstream_conf_t *u = bct_conf_upstream(c->conf, key);

	return u ? u : bct_conf_upstream(r->conf, key);
}

/* Starts the attempt that the scheduler chose. */
static void send_attempt(bct_core_t *c, bct_request_t *r, const bct_action_t *act,
			 bct_time_t send_before)
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
		feed_end(c, act->attempt_id, BCT_OUTCOME_CONNECT_FAILED);
}

/* The intent was won for an earlier attempt, which the upstream surely did not run. */
static void send_again(bct_core_t *c, bct_request_t *r, const bct_action_t *act)
{
	if (c->claims.may_send(c->claims.ctx, r)) {
		send_attempt(c, r, act, bct_clock_now() + RESEND_MS);
		return;
	}
	feed_end(c, act->attempt_id, BCT_OUTCOME_NOT_SENT);
	refuse(c, r, BCT_REFUSE_LOG_DOWN, BCT_RUN_NOT_RUN, CLAIM_RETRY_MS);
}

static void ask_claim(bct_core_t *c, bct_request_t *r, const bct_action_t *act)
{
	pthread_mutex_lock(&r->lock);
	r->state = BCT_STATE_INTENT;
	r->claimed_action = *act;
	pthread_mutex_unlock(&r->lock);
	if (!c->claims.claim(c->claims.ctx, r))
		return;
	feed_end(c, act->attempt_id, BCT_OUTCOME_NOT_SENT);
	refuse(c, r, BCT_REFUSE_INTERNAL, BCT_RUN_NOT_RUN, 0);
}

static void dispatch(bct_core_t *c, bct_request_t *r, const bct_action_t *act)
{
	if (!needs_claim(c, r))
		send_attempt(c, r, act, BCT_TIME_NEVER);
	else if (r->intent_won)
		send_again(c, r, act);
	else
		ask_claim(c, r, act);
}

static void cancel_attempt(bct_core_t *c, bct_request_t *r, uint64_t attempt_id)
{
	bool found;

	(void)c;
	pthread_mutex_lock(&r->lock);
	found = r->attempt && bct_attempt_id_of(r->attempt) == attempt_id;
	if (found) {
		bct_attempt_cancel(r->attempt);
		r->attempt = NULL;
	}
	pthread_mutex_unlock(&r->lock);
}

static void perform(bct_core_t *c, const bct_action_t *act)
{
	bct_request_t *r = find(c, act->req_id);

	if (!r) {
		if (act->type == BCT_ACTION_DISPATCH)
			feed_end(c, act->attempt_id, BCT_OUTCOME_NOT_SENT);
		return;
	}
	switch (act->type) {
	case BCT_ACTION_DISPATCH:
		dispatch(c, r, act);
		break;
	case BCT_ACTION_REFUSE:
		refuse(c, r, act->refuse, act->run, act->retry_after_ms);
		break;
	case BCT_ACTION_CANCEL:
		cancel_attempt(c, r, act->attempt_id);
		break;
	}
}

/* Carries out whatever the scheduler has decided. Call with the lock held. */
static void run_actions(bct_core_t *c)
{
	bct_action_t acts[ACTIONS_AT_ONCE];
	uint32_t n, i;

	do {
		n = bct_sched_poll(c->sched, bct_clock_now(), acts, ACTIONS_AT_ONCE);
		for (i = 0; i < n; i++)
			perform(c, &acts[i]);
	} while (n == ACTIONS_AT_ONCE);
	if (bct_sched_next_wake(c->sched) < c->timer_wake)
		pthread_cond_signal(&c->wake);
}

static void on_sent(void *ctx, bct_attempt_t *a)
{
	bct_core_t *c = ctx;

	pthread_mutex_lock(&c->lock);
	bct_sched_sent(c->sched, bct_clock_now(), a->id);
	pthread_mutex_unlock(&c->lock);
}

static void on_tokens(void *ctx, bct_attempt_t *a, uint32_t total)
{
	bct_core_t *c = ctx;

	pthread_mutex_lock(&c->lock);
	bct_sched_tokens(c->sched, bct_clock_now(), a->id, total);
	if (bct_sched_next_wake(c->sched) < c->timer_wake)
		run_actions(c);
	pthread_mutex_unlock(&c->lock);
}

static void log_failure(bct_core_t *c, const bct_attempt_t *a, const bct_attempt_end_t *end)
{
	if (end->outcome == BCT_OUTCOME_CROSSED) {
		bct_counter_inc(&c->stats.crossed);
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

/* Whether the attempt still counted for its request; from now on none does. */
static bool detach(bct_attempt_t *a, const bct_attempt_end_t *end)
{
	bct_request_t *r = a->req;
	bool current;

	pthread_mutex_lock(&r->lock);
	current = r->attempt == a;
	if (current) {
		r->attempt = NULL;
		r->sent_now = false;
	}
	r->ran = r->ran || end->may_have_run;
	pthread_mutex_unlock(&r->lock);
	return current;
}

/* The answer is whole. */
static void complete(bct_core_t *c, bct_request_t *r)
{
	if (r->intent)
		c->claims.finish(c->claims.ctx, r);
	r->intent = 0;
	bct_request_end(r, BCT_ENDED_BY_NOBODY, BCT_REFUSE_NONE, BCT_RUN_RAN, 0);
	retire(c, r);
}

/* A paused node woke after its deadline, and did not send. */
static void withhold(bct_core_t *c, bct_request_t *r)
{
	BCT_LOG(c->log, BCT_EV_KEY_FENCED, BCT_HEX("request", r->id), BCT_HEX("intent", r->intent));
	refuse(c, r, BCT_REFUSE_LOG_DOWN, BCT_RUN_NOT_RUN, CLAIM_RETRY_MS);
}

static void on_end(void *ctx, bct_attempt_t *a, const bct_attempt_end_t *end)
{
	bct_core_t *c = ctx;
	bct_request_t *r;
	bool current;

	log_failure(c, a, end);
	pthread_mutex_lock(&c->lock);
	current = detach(a, end);
	bct_sched_attempt_end(c->sched, bct_clock_now(), end);
	r = find(c, a->req->id);
	if (r && current && end->outcome == BCT_OUTCOME_OK) {
		complete(c, r);
	} else if (r && current && end->outcome == BCT_OUTCOME_NOT_SENT) {
		withhold(c, r);
	} else if (end->outcome == BCT_OUTCOME_OK) {
		bct_counter_inc(&c->stats.late);
	}
	run_actions(c);
	pthread_mutex_unlock(&c->lock);
}

static void wait_until(bct_core_t *c, bct_time_t now, bct_time_t wake)
{
	int64_t ms = wake - now;
	struct timespec ts;

	if (ms > TIMER_MAX_MS)
		ms = TIMER_MAX_MS;
	if (ms < TIMER_MIN_MS)
		ms = TIMER_MIN_MS;
	c->timer_wake = now + ms;
	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_nsec += (ms % BCT_MS_PER_S) * 1000000;
	ts.tv_sec += ms / BCT_MS_PER_S + ts.tv_nsec / 1000000000;
	ts.tv_nsec %= 1000000000;
	pthread_cond_timedwait(&c->wake, &c->lock, &ts);
}

static void *timer_main(void *arg)
{
	bct_core_t *c = arg;

	pthread_mutex_lock(&c->lock);
	while (!c->stop) {
		bct_time_t now = bct_clock_now();
		bct_time_t wake = bct_sched_next_wake(c->sched);

		if (wake <= now) {
			run_actions(c);
			wake = bct_sched_next_wake(c->sched);
		}
		wait_until(c, now, wake);
	}
	pthread_mutex_unlock(&c->lock);
	return NULL;
}

static int make_sched(bct_core_t *c, const bct_core_opts_t *opts)
{
	const bct_settings_t *s = opts->settings;
	bct_sched_opts_t so = {
		.seed = opts->incarnation,
		.incarnation = opts->incarnation,
		.max_queued = s->policy_max_queued,
		.refused = c->stats.refused,
		.retried = c->stats.retried,
		.fleet = {
			.nodes = 1,
			.node_key = bct_hash_str(s->vm_name),
			.region_key = bct_hash_str(s->vm_region),
			.failure_domain_key = bct_hash_str(s->vm_failure_domain),
		},
	};

	if (opts->make_sched) {
		c->sched = opts->make_sched(&so);
		return c->sched ? 0 : -BCT_ENOMEM;
	}
	return bct_sched_new(&so, &c->sched);
}

static int start_threads(bct_core_t *c)
{
	const bct_settings_t *s = c->settings;
	bct_upstream_opts_t opts = {
		.threads = s->upstream_threads,
		.stream_buffer_bytes = s->caller_stream_buffer_bytes,
		.max_answer_bytes = s->upstream_max_answer_bytes,
		.events = { .sent = on_sent, .tokens = on_tokens, .end = on_end, .ctx = c },
	};
	int rc = bct_upstream_pool_new(&opts, &c->pool);

	if (rc)
		return rc;
	if (pthread_create(&c->timer, NULL, timer_main, c))
		return -BCT_ENOMEM;
	c->timer_started = true;
	return 0;
}

static void init_locks(bct_core_t *c)
{
	pthread_condattr_t attr;

	pthread_mutex_init(&c->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&c->wake, &attr);
	pthread_condattr_destroy(&attr);
}

int bct_core_new(const bct_core_opts_t *opts, bct_core_t **out)
{
	bct_core_t *c = bct_alloc(sizeof(*c));
	int rc;

	if (!c)
		return -BCT_ENOMEM;
	c->settings = opts->settings;
	c->log = opts->log;
	c->incarnation = opts->incarnation;
	for (uint32_t i = 0; i < BUCKETS; i++)
		bct_list_init(&c->buckets[i]);
	init_locks(c);
	bct_stats_init(&c->stats, bct_clock_now());
	rc = make_sched(c, opts);
	if (!rc)
		rc = start_threads(c);
	if (rc) {
		bct_core_stop(c);
		bct_core_free(c);
		return rc;
	}
	*out = c;
	return 0;
}

void bct_core_stop(bct_core_t *c)
{
	pthread_mutex_lock(&c->lock);
	c->stop = true;
	pthread_cond_signal(&c->wake);
	pthread_mutex_unlock(&c->lock);
	if (c->timer_started)
		pthread_join(c->timer, NULL);
	c->timer_started = false;
	bct_upstream_pool_free(c->pool);
	c->pool = NULL;
}

static void drop_requests(bct_core_t *c)
{
	bct_list_t *el, *tmp;

	for (uint32_t i = 0; i < BUCKETS; i++) {
		bct_list_for_each_safe(el, tmp, &c->buckets[i]) {
			bct_list_del(el);
			bct_request_unref(bct_container_of(el, bct_request_t, link));
		}
	}
}

void bct_core_free(bct_core_t *c)
{
	if (!c)
		return;
	drop_requests(c);
	bct_sched_free(c->sched);
	bct_conf_unref(c->conf);
	bct_stats_free(&c->stats);
	pthread_cond_destroy(&c->wake);
	pthread_mutex_destroy(&c->lock);
	bct_free(c);
}

bct_stats_t *bct_core_stats(bct_core_t *c)
{
	return &c->stats;
}

bct_log_t *bct_core_log(bct_core_t *c)
{
	return c->log;
}

void bct_core_set_claims(bct_core_t *c, const bct_claim_ops_t *ops)
{
	c->claims = *ops;
}

int bct_core_configure(bct_core_t *c, bct_conf_t *conf)
{
	int rc;

	pthread_mutex_lock(&c->lock);
	rc = bct_sched_configure(c->sched, bct_clock_now(), conf);
	if (!rc) {
		bct_conf_unref(c->conf);
		c->conf = bct_conf_ref(conf);
		c->conf_since = bct_clock_wall();
		run_actions(c);
	}
	pthread_mutex_unlock(&c->lock);
	if (!rc)
		BCT_LOG(c->log, BCT_EV_CONFIG_ADOPTED, BCT_U64("revision", conf->revision),
			BCT_U64("upstreams", conf->n_upstreams),
			BCT_U64("accounts", conf->n_accounts));
	return rc;
}

bct_conf_t *bct_core_conf(bct_core_t *c)
{
	bct_conf_t *conf;

	pthread_mutex_lock(&c->lock);
	conf = bct_conf_ref(c->conf);
	pthread_mutex_unlock(&c->lock);
	return conf;
}

bct_time_t bct_core_conf_since(bct_core_t *c)
{
	bct_time_t t;

	pthread_mutex_lock(&c->lock);
	t = c->conf_since;
	pthread_mutex_unlock(&c->lock);
	return t;
}

uint64_t bct_core_next_id(bct_core_t *c)
{
	return bct_hash_mix(c->incarnation, ck_pr_faa_64(&c->last_id, 1));
}

static void enter(bct_core_t *c, bct_request_t *r)
{
	bct_list_add_tail(&bct_request_ref(r)->link, bucket(c, r->id));
	c->in_flight++;
}

/* A resend of a key that is taken gets the key's answer at once, whatever the load. */
static int submit_taken(bct_core_t *c, bct_request_t *r)
{
	int rc;

	enter(c, r);
	r->bypasses = true;
	r->state = BCT_STATE_INTENT;
	rc = c->claims.claim(c->claims.ctx, r);
	if (rc)
		refuse(c, r, BCT_REFUSE_INTERNAL, BCT_RUN_UNKNOWN, 0);
	return 0;
}

int bct_core_submit(bct_core_t *c, bct_request_t *r)
{
	int rc;

	pthread_mutex_lock(&c->lock);
	if (needs_claim(c, r) && c->claims.taken(c->claims.ctx, r)) {
		rc = submit_taken(c, r);
	} else {
		rc = bct_sched_submit(c->sched, bct_clock_now(), &r->desc);
		if (!rc) {
			enter(c, r);
			run_actions(c);
		}
	}
	pthread_mutex_unlock(&c->lock);
	return rc;
}

/*
 * A keyed request that may have been sent goes on without its caller: its outcome is worth more
 * than the work, since a resend gets it and the key does not stay in doubt.
 */
static bool orphan(bct_request_t *r)
{
	bool goes_on;

	pthread_mutex_lock(&r->lock);
	goes_on = r->intent && r->sent_now;
	if (goes_on) {
		r->orphaned = true;
		r->ready = true;
		bct_request_wake(r);
	}
	pthread_mutex_unlock(&r->lock);
	return goes_on;
}

static void stop_attempt(bct_request_t *r)
{
	pthread_mutex_lock(&r->lock);
	if (r->attempt)
		bct_attempt_cancel(r->attempt);
	pthread_mutex_unlock(&r->lock);
}

void bct_core_caller_gone(bct_core_t *c, uint64_t req_id)
{
	bct_request_t *r;

	pthread_mutex_lock(&c->lock);
	r = find(c, req_id);
	if (r && !orphan(r)) {
		bct_sched_cancel(c->sched, bct_clock_now(), req_id);
		run_actions(c);
		stop_attempt(r);
		refuse(c, r, BCT_REFUSE_CALLER_GONE, BCT_RUN_NOT_RUN, 0);
	}
	pthread_mutex_unlock(&c->lock);
}

void bct_core_refuse_all(bct_core_t *c, bct_refuse_t why)
{
	bct_list_t *el, *tmp;

	pthread_mutex_lock(&c->lock);
	for (uint32_t i = 0; i < BUCKETS; i++) {
		bct_list_for_each_safe(el, tmp, &c->buckets[i]) {
			bct_request_t *r = bct_container_of(el, bct_request_t, link);
			bct_sched_cancel(c->sched, bct_clock_now(), r->id);
			refuse(c, r, why, BCT_RUN_NOT_RUN, 0);
		}
	}
	pthread_mutex_unlock(&c->lock);
}

bool bct_core_claimed(bct_core_t *c, uint64_t req_id, bct_refuse_t why, bct_run_t run,
		      uint32_t retry_after_ms, bct_time_t send_before)
{
	bct_request_t *r;

	pthread_mutex_lock(&c->lock);
	r = find(c, req_id);
	if (r && why == BCT_REFUSE_NONE && r->bypasses) {
		/* The key was freed meanwhile; the next send finds it free. */
		refuse(c, r, BCT_REFUSE_IN_PROGRESS, BCT_RUN_NOT_RUN, CLAIM_RETRY_MS);
	} else if (r && why == BCT_REFUSE_NONE) {
		r->intent_won = true;
		send_attempt(c, r, &r->claimed_action, send_before);
	} else if (r) {
		r->intent = 0;
		feed_end(c, r->claimed_action.attempt_id, BCT_OUTCOME_NOT_SENT);
		bct_stats_count_refused(&c->stats, why);
		refuse(c, r, why, run, retry_after_ms);
	}
	run_actions(c);
	pthread_mutex_unlock(&c->lock);
	return r != NULL;
}

void bct_core_replay(bct_core_t *c, uint64_t req_id, int status, const char *content_type,
		     const void *body, uint32_t len_bytes)
{
	bct_request_t *r;

	pthread_mutex_lock(&c->lock);
	r = find(c, req_id);
	if (r) {
		r->intent = 0;
		feed_end(c, r->claimed_action.attempt_id, BCT_OUTCOME_NOT_SENT);
		pthread_mutex_lock(&r->lock);
		r->status = status;
		snprintf(r->answer_type, sizeof(r->answer_type), "%s", content_type);
		bct_buf_put(&r->out, body, len_bytes);
		pthread_mutex_unlock(&r->lock);
		bct_request_end(r, BCT_ENDED_BY_NOBODY, BCT_REFUSE_NONE, BCT_RUN_RAN, 0);
		retire(c, r);
	}
	run_actions(c);
	pthread_mutex_unlock(&c->lock);
}

void bct_core_report(bct_core_t *c, const bct_report_t *r)
{
	pthread_mutex_lock(&c->lock);
	bct_sched_report(c->sched, bct_clock_now(), r);
	run_actions(c);
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
	run_actions(c);
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
	run_actions(c);
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
