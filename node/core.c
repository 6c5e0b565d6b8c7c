/*
 * core.c - creates and stops the core: threads, the configuration in force, request ids.
 */
#include "node/core_int.h"
#include "base/err.h"
#include "base/mem.h"

#include <ck_pr.h>
#include <string.h>

/* Limits of one wait of the timer thread. */
#define TIMER_MAX_MS 100
#define TIMER_MIN_MS 1

/* Waits until `wake`, a signal, or the limit of one wait. Call with the lock held. */
static void wait_until(bct_core_t *c, bct_time_t now, bct_time_t wake)
{
	int64_t ms = wake - now;
	struct timespec deadline;

	if (ms > TIMER_MAX_MS)
		ms = TIMER_MAX_MS;
	if (ms < TIMER_MIN_MS)
		ms = TIMER_MIN_MS;
	c->timer_wake = now + ms;
	bct_clock_deadline((uint32_t)ms, &deadline);
	pthread_cond_timedwait(&c->wake, &c->lock, &deadline);
}

/* Runs the scheduler when its next timer is due. */
static void *timer_main(void *arg)
{
	bct_core_t *c = arg;

	pthread_mutex_lock(&c->lock);
	while (!c->stop) {
		bct_time_t now = bct_clock_now();
		bct_time_t wake = bct_sched_next_wake(c->sched);

		if (wake <= now) {
			bct_core_run_actions(c);
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
		.room = &c->answer_room,
		.events = { .sent = bct_core_on_sent,
			    .tokens = bct_core_on_tokens,
			    .end = bct_core_on_end,
			    .ctx = c },
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
	for (uint32_t i = 0; i < BCT_CORE_BUCKETS; i++)
		bct_list_init(&c->buckets[i]);
	init_locks(c);
	bct_stats_init(&c->stats, bct_clock_now());
	bct_room_init(&c->answer_room, c->log, BCT_EV_ANSWERS_REFUSED,
		      c->settings->upstream_answer_memory_bytes);
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

	for (uint32_t i = 0; i < BCT_CORE_BUCKETS; i++) {
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
	bct_room_destroy(&c->answer_room);
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
		bct_core_run_actions(c);
	}
	pthread_mutex_unlock(&c->lock);
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
