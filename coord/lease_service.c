/*
 * lease_service.c - a log follower that replays the lease stream, and an appender thread that
 * writes the records that the state machine produces.
 */
#define _GNU_SOURCE
#include "coord/lease_service.h"
#include "base/err.h"
#include "base/mem.h"
#include "base/rng.h"
#include "coord/log_follower.h"

#include <ck_pr.h>
#include <pthread.h>

#define RECORD_BYTES 256    /* more than any encoded bct_xlease_record */
#define TICK_MS 100	    /* between two checks for a record to append */
#define CONFIRM_BYTES 65536 /* limit of one read in bct_lease_service_confirm() */

struct bct_lease_service {
	bct_lease_service_opts_t opts;
	uint32_t stop;
	bct_log_follower_t *follower;
	pthread_t appender;
	bool started; /* the appender */

	pthread_mutex_t lock;
	/* All below under lock. */
	bct_lease_t lease;
	uint64_t next;	/* offset after the last record that was applied */
	bool caught_up; /* the end of the stream was reached once; nothing is appended before */
	bool was_valid; /* as of the last log line */
};

/* Logs when this node becomes or stops being the valid holder. Called with the lock held. */
static void log_validity_change(bct_lease_service_t *s, bct_time_t now)
{
	bool valid = bct_lease_valid(&s->lease, now);

	if (valid == s->was_valid)
		return;
	s->was_valid = valid;
	BCT_LOG(s->opts.log, valid ? BCT_EV_LEASE_ACQUIRED : BCT_EV_LEASE_LOST,
		BCT_STR("lease", s->lease.name), BCT_U64("token", s->lease.token));
}

/*
 * Replays a record, with the lock held. Records may arrive twice, from the follower and from
 * bct_lease_service_confirm(); each is applied once.
 */
static void apply(bct_lease_service_t *s, const bct_record_t *rec)
{
	bct_xlease_record r;

	if (rec->offset < s->next)
		return;
	s->next = rec->offset + 1;
	if (bct_lease_decode(rec->data, rec->len_bytes, &r))
		return;
	bct_lease_apply(&s->lease, bct_clock_now(), rec->offset, &r);
	bct_lease_record_free(&r);
}

static int on_record(void *ctx, const bct_record_t *rec)
{
	bct_lease_service_t *s = ctx;

	pthread_mutex_lock(&s->lock);
	apply(s, rec);
	log_validity_change(s, bct_clock_now());
	pthread_mutex_unlock(&s->lock);
	return 0;
}

/*
 * Continues with the oldest record that the log still has. The interval of renewals is far
 * shorter than the log's retention, so expired records don't matter: either the lease's last record
 * is still in the log, or the lease has expired.
 */
static uint64_t on_lost(void *ctx, uint64_t position, uint64_t oldest)
{
	(void)ctx;
	(void)position;
	return oldest;
}

static void on_caught_up(void *ctx, uint64_t end, uint64_t oldest)
{
	bct_lease_service_t *s = ctx;

	(void)end;
	(void)oldest;
	pthread_mutex_lock(&s->lock);
	s->caught_up = true;
	pthread_mutex_unlock(&s->lock);
}

static const bct_log_follower_ops_t follower_ops = {
	.record = on_record,
	.lost = on_lost,
	.caught_up = on_caught_up,
};

/*
 * Appends the next record, if one is due. A record that is certainly not in the log is reported to
 * the state machine; after any other error it may still be logged.
 */
static void append_next(bct_lease_service_t *s)
{
	uint8_t data[RECORD_BYTES];
	bct_xlease_record r;
	uint64_t offset;
	uint32_t len;
	bool have;
	int rc = 0;

	pthread_mutex_lock(&s->lock);
	log_validity_change(s, bct_clock_now());
	have = s->caught_up && bct_lease_next(&s->lease, bct_clock_now(), bct_random_id(), &r);
	if (have)
		rc = bct_lease_encode(&r, data, sizeof(data), &len);
	pthread_mutex_unlock(&s->lock);
	if (!have)
		return;
	if (!rc)
		rc = bct_platform_append(s->opts.platform, BCT_STREAM_LEASES, data, len,
					 s->opts.timeout_ms, &offset);
	if (rc != -BCT_EUNAVAILABLE && rc != -BCT_ETOO_LARGE)
		return;
	pthread_mutex_lock(&s->lock);
	bct_lease_append_failed(&s->lease, r.id);
	pthread_mutex_unlock(&s->lock);
}

static void *appender_main(void *arg)
{
	bct_lease_service_t *s = arg;

	while (!ck_pr_load_32(&s->stop)) {
		append_next(s);
		bct_clock_sleep(TICK_MS);
	}
	return NULL;
}

static int start(bct_lease_service_t *s)
{
	bct_log_follower_opts_t fo = {
		.platform = s->opts.platform,
		.stream = BCT_STREAM_LEASES,
		.poll_ms = s->opts.poll_ms,
		.timeout_ms = s->opts.timeout_ms,
		.seed = s->opts.lease.incarnation,
		.ops = &follower_ops,
		.ctx = s,
		.log = s->opts.log,
	};
	int rc = bct_log_follower_new(&fo, &s->follower);

	if (!rc)
		rc = bct_log_follower_start(s->follower);
	if (rc)
		return rc;
	if (pthread_create(&s->appender, NULL, appender_main, s))
		return -BCT_ENOMEM;
	s->started = true;
	return 0;
}

int bct_lease_service_new(const bct_lease_service_opts_t *opts, bct_lease_service_t **out)
{
	bct_lease_service_t *s = bct_alloc(sizeof(*s));
	int rc;

	if (!s)
		return -BCT_ENOMEM;
	s->opts = *opts;
	pthread_mutex_init(&s->lock, NULL);
	bct_lease_init(&s->lease, &opts->lease, bct_clock_now());
	rc = start(s);
	if (rc) {
		bct_lease_service_free(s);
		return rc;
	}
	*out = s;
	return 0;
}

void bct_lease_service_free(bct_lease_service_t *s)
{
	if (!s)
		return;
	ck_pr_store_32(&s->stop, 1);
	if (s->started)
		pthread_join(s->appender, NULL);
	bct_log_follower_free(s->follower);
	pthread_mutex_destroy(&s->lock);
	bct_free(s);
}

void bct_lease_service_want(bct_lease_service_t *s, bool wanted)
{
	pthread_mutex_lock(&s->lock);
	bct_lease_want(&s->lease, wanted);
	pthread_mutex_unlock(&s->lock);
}

void bct_lease_service_state(bct_lease_service_t *s, bct_lease_state_t *out)
{
	pthread_mutex_lock(&s->lock);
	out->valid = bct_lease_valid(&s->lease, bct_clock_now());
	out->held = s->lease.held;
	out->holder = s->lease.holder;
	out->token = s->lease.token;
	out->valid_until = s->lease.valid_until;
	out->acquired_at = s->lease.acquired_at;
	pthread_mutex_unlock(&s->lock);
}

/* Reads and applies the records after the last applied one. n is set to the number read. */
static int read_new_records(bct_lease_service_t *s, uint32_t *n)
{
	bct_records_t recs = { 0 };
	uint64_t from;
	int rc;

	pthread_mutex_lock(&s->lock);
	from = s->next;
	pthread_mutex_unlock(&s->lock);
	rc = bct_platform_read(s->opts.platform, BCT_STREAM_LEASES, from, CONFIRM_BYTES, 0,
			       s->opts.timeout_ms, &recs);
	pthread_mutex_lock(&s->lock);
	for (uint32_t i = 0; !rc && i < recs.n; i++)
		apply(s, &recs.records[i]);
	log_validity_change(s, bct_clock_now());
	pthread_mutex_unlock(&s->lock);
	*n = recs.n;
	bct_records_free(&recs);
	return rc;
}

int bct_lease_service_confirm(bct_lease_service_t *s)
{
	bct_lease_state_t st;
	uint32_t n;
	int rc;

	do {
		rc = read_new_records(s, &n);
		if (rc)
			return rc;
	} while (n);
	bct_lease_service_state(s, &st);
	return st.valid ? 0 : -BCT_EFENCED;
}
