/*
 * log_follower.c - the read loop over one stream of the log.
 */
#include "coord/log_follower.h"
#include "base/err.h"
#include "base/mem.h"
#include "base/rng.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#define STREAM_NAME_BYTES 65
#define POLL_MS 1000
#define TIMEOUT_MS 2000
#define READ_MAX_BYTES (256 * 1024)
/* After so many consecutive answers that end below the position, the log counts as recreated. */
#define LOG_RECREATED_READS 30
#define BACKOFF_FIRST_MS 100
#define BACKOFF_MAX_MS 5000
#define BACKOFF_MAX_SHIFT 6

struct bct_log_follower {
	bct_log_follower_opts_t opts;
	char stream[STREAM_NAME_BYTES];
	/* Used only by the thread that runs the steps. */
	bct_rng_t rng;
	uint64_t position;   /* offset of the next record */
	bool repositioned;   /* this step changed position other than by delivering records */
	uint32_t ends_below; /* consecutive answers whose end lies below position */
	bool started;
	pthread_t thread;
	pthread_mutex_t lock; /* guards the members below; innermost lock */
	pthread_cond_t stop_cond;
	bool stop;
	bct_log_health_t health;
};

int bct_log_follower_new(const bct_log_follower_opts_t *opts, bct_log_follower_t **out)
{
	bct_log_follower_t *f = bct_alloc(sizeof(*f));
	pthread_condattr_t attr;

	if (!f)
		return -BCT_ENOMEM;
	f->opts = *opts;
	if (f->opts.poll_ms == 0)
		f->opts.poll_ms = POLL_MS;
	if (f->opts.timeout_ms == 0)
		f->opts.timeout_ms = TIMEOUT_MS;
	snprintf(f->stream, sizeof(f->stream), "%s", opts->stream);
	bct_rng_seed(&f->rng, opts->seed);
	f->position = opts->from;
	f->health.up = true;
	f->health.next = opts->from;
	pthread_mutex_init(&f->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&f->stop_cond, &attr);
	pthread_condattr_destroy(&attr);
	*out = f;
	return 0;
}

void bct_log_follower_free(bct_log_follower_t *f)
{
	if (!f)
		return;
	pthread_mutex_lock(&f->lock);
	f->stop = true;
	pthread_cond_signal(&f->stop_cond);
	pthread_mutex_unlock(&f->lock);
	if (f->started)
		pthread_join(f->thread, NULL);
	pthread_cond_destroy(&f->stop_cond);
	pthread_mutex_destroy(&f->lock);
	bct_free(f);
}

void bct_log_follower_seek(bct_log_follower_t *f, uint64_t position)
{
	f->position = position;
	f->repositioned = true;
	pthread_mutex_lock(&f->lock);
	f->health.next = position;
	f->health.caught_up = false;
	pthread_mutex_unlock(&f->lock);
}

void bct_log_follower_health(bct_log_follower_t *f, bct_log_health_t *out)
{
	pthread_mutex_lock(&f->lock);
	*out = f->health;
	pthread_mutex_unlock(&f->lock);
}

/* Logs the gap and continues where the callback says. */
static void skip_gap(bct_log_follower_t *f, uint64_t oldest)
{
	BCT_LOG(f->opts.log, BCT_EV_LOG_GAP, BCT_STR("stream", f->stream),
		BCT_U64("position", f->position), BCT_U64("oldest", oldest));
	f->position = f->opts.ops->lost(f->opts.ctx, f->position, oldest);
	f->repositioned = true;
	f->ends_below = 0;
}

/* Delivers the records of one read. returns how many, or -BCT_ENOMEM from the callback. */
static int deliver(bct_log_follower_t *f, const bct_records_t *r)
{
	for (uint32_t i = 0; i < r->n; i++) {
		int rc;

		/* The records in between expired after the last read. */
		if (r->records[i].offset != f->position) {
			skip_gap(f, r->records[i].offset);
			return (int)i;
		}
		rc = f->opts.ops->record(f->opts.ctx, &r->records[i]);
		if (rc == -BCT_ENOMEM)
			return rc;
		if (f->repositioned)
			return (int)i + 1;
		f->position++;
	}
	return (int)r->n;
}

/*
 * Updates the health and logs when the log becomes available or unavailable.
 * -BCT_EEXPIRED and -BCT_ENOMEM count as answers: they do not mean that the log is unavailable.
 */
static void update_health(bct_log_follower_t *f, int rc, const bct_records_t *r, bool at_end)
{
	bool answered = rc >= 0 || rc == -BCT_EEXPIRED || rc == -BCT_ENOMEM, changed;

	pthread_mutex_lock(&f->lock);
	changed = f->health.up != answered;
	f->health.up = answered;
	f->health.next = f->position;
	if (answered) {
		f->health.answered_at = bct_clock_now();
		f->health.oldest = r->oldest;
		f->health.failures = 0;
		f->health.caught_up = at_end || (f->health.caught_up && !f->repositioned);
	} else {
		f->health.failures++;
	}
	pthread_mutex_unlock(&f->lock);
	if (changed)
		BCT_LOG(f->opts.log, answered ? BCT_EV_LOG_UP : BCT_EV_LOG_DOWN,
			BCT_STR("stream", f->stream), BCT_U64("next", f->position),
			BCT_ERR("error", answered ? 0 : rc));
}

int bct_log_follower_step(bct_log_follower_t *f, uint32_t wait_ms)
{
	bct_records_t r;
	bool at_end = false;
	int rc;

	f->repositioned = false;
	rc = bct_platform_read(f->opts.platform, f->stream, f->position, READ_MAX_BYTES, wait_ms,
			       wait_ms + f->opts.timeout_ms, &r);
	if (rc == -BCT_EEXPIRED) {
		skip_gap(f, r.oldest);
	} else if (!rc && r.n == 0 && r.next < f->position) {
		/* A single such answer may come from a replica of the log that lags behind. */
		if (++f->ends_below >= LOG_RECREATED_READS)
			skip_gap(f, r.oldest);
	} else if (!rc) {
		f->ends_below = 0;
		rc = deliver(f, &r);
		at_end = rc >= 0 && !f->repositioned && f->position == r.next;
	}
	update_health(f, rc, &r, at_end);
	if (at_end && f->opts.ops->caught_up)
		f->opts.ops->caught_up(f->opts.ctx, r.next, r.oldest);
	bct_records_free(&r);
	return rc == -BCT_EEXPIRED ? 0 : rc;
}

uint32_t bct_log_follower_backoff_ms(bct_log_follower_t *f)
{
	uint32_t shift =
		f->health.failures < BACKOFF_MAX_SHIFT ? f->health.failures : BACKOFF_MAX_SHIFT;
	uint32_t ms = BACKOFF_FIRST_MS << shift;

	if (ms > BACKOFF_MAX_MS)
		ms = BACKOFF_MAX_MS;
	/* Half of it is jitter, so that the nodes of a fleet do not retry at the same moment. */
	return ms / 2 + bct_rng_below(&f->rng, ms / 2 + 1);
}

/* Waits for ms, or less when the follower is stopped. returns false when it is stopped. */
static bool wait_unless_stopped(bct_log_follower_t *f, uint32_t ms)
{
	struct timespec deadline;
	bool stop;

	bct_clock_deadline(ms, &deadline);
	pthread_mutex_lock(&f->lock);
	while (!f->stop && ms && !pthread_cond_timedwait(&f->stop_cond, &f->lock, &deadline))
		;
	stop = f->stop;
	pthread_mutex_unlock(&f->lock);
	return !stop;
}

static bool caught_up(bct_log_follower_t *f)
{
	bct_log_health_t health;

	bct_log_follower_health(f, &health);
	return health.caught_up;
}

static void *run(void *arg)
{
	bct_log_follower_t *f = arg;
	uint32_t wait_ms = 0;

	while (wait_unless_stopped(f, wait_ms)) {
		bct_time_t started = bct_clock_now();
		/* Reads do not wait for new records until the end has been reached once. */
		uint32_t hold_ms = caught_up(f) ? f->opts.poll_ms : 0;
		int rc = bct_log_follower_step(f, hold_ms);

		wait_ms = rc < 0 ? bct_log_follower_backoff_ms(f) : 0;
		/* Limits the rate of reads from a platform that does not wait for records. */
		if (rc == 0 && bct_clock_now() - started < hold_ms / 2)
			wait_ms = f->opts.poll_ms / 2;
	}
	return NULL;
}

int bct_log_follower_start(bct_log_follower_t *f)
{
	if (pthread_create(&f->thread, NULL, run, f))
		return -BCT_ENOMEM;
	f->started = true;
	return 0;
}
