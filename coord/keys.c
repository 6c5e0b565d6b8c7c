/*
 * keys.c - one log follower and one appender thread for each key stream.
 */
#define _GNU_SOURCE
#include "coord/keys.h"
#include "base/counter.h"
#include "base/err.h"
#include "base/list.h"
#include "base/mem.h"
#include "base/rng.h"
#include "coord/log_follower.h"

#include <ck_pr.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define READ_BYTES (256 * 1024) /* limit of a read of one stored answer */
#define DOWN_MS 200		/* pause after a failed read */
#define NO_ROOM_LOG_MS 1000	/* between two lines about claims that were refused for room */
#define TICK_MS 50		/* longest wait of an idle appender between ticks of the claims */

/* The caller's cookie of a claim whose result has not been delivered. */
typedef struct cookie {
	bct_list_t link;
	uint64_t intent;
	uint64_t cookie;
} cookie_t;

typedef struct stream {
	bct_keys_t *keys;
	char name[32]; /* of the log stream */
	bct_log_follower_t *follower;
	pthread_t appender;
	bool appender_started;

	pthread_mutex_t lock;
	/* All below under lock. */
	pthread_cond_t wake; /* signals the appender: new work, or stop */
	bct_key_claims_t *claims;
	bct_list_t cookies; /* cookie_t */
	bool caught_up;	    /* the end of the stream was reached once */
	uint64_t appends;
	uint64_t entries; /* in those appends */
	uint32_t no_room; /* claims refused for lack of room since the last line of the log */
	bct_time_t no_room_logged;
} stream_t;

struct bct_keys {
	bct_keys_opts_t opts;
	uint32_t stop;
	uint32_t n_streams;
	stream_t *streams;
};

/* Finds the stream of a key and the key's id. */
static stream_t *stream_of(bct_keys_t *k, uint64_t account_key, const char *key, bct_key_id_t *id)
{
	uint32_t h;

	bct_key_id(account_key, key, id);
	memcpy(&h, id->hash + sizeof(h), sizeof(h));
	return &k->streams[h % k->n_streams];
}

static bool stopping(const bct_keys_t *k)
{
	return ck_pr_load_32(&k->stop) != 0;
}

static void wait_ms(stream_t *s, int64_t ms)
{
	struct timespec deadline;

	bct_clock_deadline((uint32_t)ms, &deadline);
	pthread_cond_timedwait(&s->wake, &s->lock, &deadline);
}

/* Removes the cookie of an intent. returns false when there is none. */
static bool remove_cookie(stream_t *s, uint64_t intent, uint64_t *out)
{
	bct_list_t *el;

	bct_list_for_each(el, &s->cookies) {
		cookie_t *c = bct_container_of(el, cookie_t, link);

		if (c->intent != intent)
			continue;
		*out = c->cookie;
		bct_list_del(&c->link);
		bct_free(c);
		return true;
	}
	return false;
}

/*
 * Reads the record with a stored answer from the log. returns 0 with batch to be freed by the
 * caller, -BCT_EEXPIRED when the log no longer has the record, or another error.
 */
static int read_answer(stream_t *s, const bct_claim_result_t *r, bct_xkey_batch *batch)
{
	bct_keys_opts_t *o = &s->keys->opts;
	bct_records_t recs = { 0 };
	int rc = bct_platform_read(o->platform, s->name, r->offset, READ_BYTES, 0, o->timeout_ms,
				   &recs);

	if (!rc && (!recs.n || recs.records[0].offset != r->offset))
		rc = -BCT_EEXPIRED;
	if (!rc)
		rc = bct_key_batch_decode(recs.records[0].data, recs.records[0].len_bytes, batch);
	if (!rc && (r->index >= batch->entries.entries_len ||
		    batch->entries.entries_val[r->index].body.type != BCT_XKEY_OUTCOME)) {
		bct_key_batch_free(batch);
		rc = -BCT_ECODEC;
	}
	bct_records_free(&recs);
	return rc;
}

/* Delivers a result. If the stored answer cannot be read, the result goes out without it. */
static void deliver_result(stream_t *s, uint64_t cookie, const bct_claim_result_t *r)
{
	bct_keys_opts_t *o = &s->keys->opts;
	bct_key_result_t v = { .result = *r };
	bct_xkey_batch batch = { { 0 } };

	if (r->verdict == BCT_CLAIM_DONE && r->answer_kept && !read_answer(s, r, &batch)) {
		const bct_xkey_outcome *out =
			&batch.entries.entries_val[r->index].body.bct_xkey_body_u.outcome;

		v.have_answer = out->answer_bytes <= out->answer.answer_len &&
				memchr(out->type, 0, sizeof(out->type));
		v.status = (int)out->status;
		v.content_type = out->type;
		v.answer = out->answer.answer_val;
		v.answer_bytes = out->answer_bytes;
	}
	o->claimed(o->ctx, cookie, &v);
	bct_key_batch_free(&batch);
}

/* Delivers all queued results. The lock is held on entry and released around each callback. */
static void deliver_results(stream_t *s)
{
	bct_claim_result_t r;
	uint64_t cookie;

	while (bct_key_claims_result(s->claims, &r)) {
		if (!remove_cookie(s, r.intent, &cookie))
			continue;
		pthread_mutex_unlock(&s->lock);
		deliver_result(s, cookie, &r);
		pthread_mutex_lock(&s->lock);
	}
}

static int on_record(void *ctx, const bct_record_t *rec)
{
	stream_t *s = ctx;
	int rc;

	pthread_mutex_lock(&s->lock);
	rc = bct_key_claims_apply(s->claims, bct_clock_now(), rec->offset, rec->data,
				  rec->len_bytes);
	deliver_results(s);
	pthread_mutex_unlock(&s->lock);
	return rc == -BCT_ENOMEM ? rc : 0;
}

/*
 * Continues with the oldest record that the log still has. Expired records are older than the
 * idempotency window, since operators set the window to at most the log's retention.
 */
static uint64_t on_lost(void *ctx, uint64_t position, uint64_t oldest)
{
	stream_t *s = ctx;

	if (position)
		BCT_LOG(s->keys->opts.log, BCT_EV_LOG_GAP, BCT_STR("stream", s->name),
			BCT_U64("from", position), BCT_U64("oldest", oldest));
	return oldest;
}

static void on_caught_up(void *ctx, uint64_t end, uint64_t oldest)
{
	stream_t *s = ctx;

	(void)end;
	(void)oldest;
	pthread_mutex_lock(&s->lock);
	if (!s->caught_up) {
		s->caught_up = true;
		bct_key_claims_set_ready(s->claims, true);
	}
	pthread_mutex_unlock(&s->lock);
}

static const bct_log_follower_ops_t follower_ops = {
	.record = on_record,
	.lost = on_lost,
	.caught_up = on_caught_up,
};

/* Appends one batch, with the lock released during the append. returns whether there was one. */
static bool append_once(stream_t *s)
{
	bct_keys_opts_t *o = &s->keys->opts;
	uint64_t offset;
	uint32_t len;
	void *data;
	int n = bct_key_claims_batch(s->claims, bct_clock_now(), &data, &len);
	int rc;

	if (n <= 0)
		return false;
	s->appends++;
	s->entries += (uint64_t)n;
	pthread_mutex_unlock(&s->lock);
	rc = bct_platform_append(o->platform, s->name, data, len, o->timeout_ms, &offset);
	free(data);
	pthread_mutex_lock(&s->lock);
	bct_key_claims_appended(s->claims, bct_clock_now(), rc);
	return true;
}

/* Appends batches at least commit_ms apart, and ticks the claims. */
static void *appender_main(void *arg)
{
	stream_t *s = arg;

	pthread_mutex_lock(&s->lock);
	while (!stopping(s->keys)) {
		bct_time_t started_at = bct_clock_now();

		if (append_once(s)) {
			int64_t remaining_ms =
				started_at + s->keys->opts.commit_ms - bct_clock_now();

			while (remaining_ms > 0 && !stopping(s->keys)) {
				wait_ms(s, remaining_ms);
				deliver_results(s);
				remaining_ms =
					started_at + s->keys->opts.commit_ms - bct_clock_now();
			}
		} else {
			wait_ms(s, TICK_MS);
		}
		bct_key_claims_tick(s->claims, bct_clock_now(), bct_clock_wall());
		deliver_results(s);
	}
	pthread_mutex_unlock(&s->lock);
	return NULL;
}

static int start_follower(stream_t *s)
{
	const bct_keys_opts_t *o = &s->keys->opts;
	bct_log_follower_opts_t opts = {
		.platform = o->platform,
		.stream = s->name,
		.poll_ms = o->poll_ms,
		.timeout_ms = o->timeout_ms,
		.seed = o->incarnation,
		.ops = &follower_ops,
		.ctx = s,
		.log = o->log,
	};
	int rc = bct_log_follower_new(&opts, &s->follower);

	return rc ? rc : bct_log_follower_start(s->follower);
}

/* Leaves a stream that failed to start in a state that stop_stream() accepts. */
static int start_stream(bct_keys_t *k, uint32_t i)
{
	stream_t *s = &k->streams[i];
	bct_key_claims_opts_t opts = {
		.incarnation = k->opts.incarnation,
		.claim_ms = k->opts.claim_ms,
		.run_ms = k->opts.run_ms,
		.window_ms = k->opts.window_ms,
		.max_claims = k->opts.max_claims,
		.max_keys = k->opts.max_keys / k->opts.n_streams,
		.gone = k->opts.gone,
		.ctx = k->opts.ctx,
	};
	pthread_condattr_t attr;
	int rc;

	s->keys = k;
	snprintf(s->name, sizeof(s->name), "%s.%u", BCT_STREAM_KEYS, i);
	bct_list_init(&s->cookies);
	pthread_mutex_init(&s->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&s->wake, &attr);
	pthread_condattr_destroy(&attr);
	k->n_streams = i + 1;
	rc = bct_key_claims_new(&opts, &s->claims);
	if (rc)
		return rc;
	rc = start_follower(s);
	if (rc)
		return rc;
	if (pthread_create(&s->appender, NULL, appender_main, s))
		return -BCT_ENOMEM;
	s->appender_started = true;
	return 0;
}

int bct_keys_new(const bct_keys_opts_t *opts, bct_keys_t **out)
{
	bct_keys_t *k = bct_alloc(sizeof(*k));
	int rc = 0;

	if (!k)
		return -BCT_ENOMEM;
	k->opts = *opts;
	k->streams = bct_alloc(sizeof(*k->streams) * opts->n_streams);
	if (!k->streams) {
		bct_free(k);
		return -BCT_ENOMEM;
	}
	for (uint32_t i = 0; i < opts->n_streams && !rc; i++)
		rc = start_stream(k, i);
	if (rc) {
		bct_keys_free(k);
		return rc;
	}
	*out = k;
	return 0;
}

static void stop_stream(stream_t *s)
{
	bct_list_t *el, *tmp;

	pthread_mutex_lock(&s->lock);
	pthread_cond_broadcast(&s->wake);
	pthread_mutex_unlock(&s->lock);
	if (s->appender_started)
		pthread_join(s->appender, NULL);
	bct_log_follower_free(s->follower);
	bct_list_for_each_safe(el, tmp, &s->cookies)
		bct_free(bct_container_of(el, cookie_t, link));
	bct_key_claims_free(s->claims);
	pthread_cond_destroy(&s->wake);
	pthread_mutex_destroy(&s->lock);
}

void bct_keys_free(bct_keys_t *k)
{
	if (!k)
		return;
	ck_pr_store_32(&k->stop, 1);
	for (uint32_t i = 0; i < k->n_streams; i++)
		stop_stream(&k->streams[i]);
	bct_free(k->streams);
	bct_free(k);
}

static cookie_t *add_cookie(stream_t *s, uint64_t intent, uint64_t value)
{
	cookie_t *c = bct_alloc(sizeof(*c));

	if (!c)
		return NULL;
	c->intent = intent;
	c->cookie = value;
	bct_list_add_tail(&c->link, &s->cookies);
	return c;
}

/* Logs, at most once a second, that no more keys are remembered; called with the stream's lock. */
static void log_no_room(bct_keys_t *k, stream_t *s)
{
	bct_time_t now = bct_clock_now();

	s->no_room++;
	if (s->no_room_logged && now - s->no_room_logged < NO_ROOM_LOG_MS)
		return;
	BCT_LOG(k->opts.log, BCT_EV_KEYS_NO_ROOM, BCT_U64("requests", s->no_room),
		BCT_U64("limit", k->opts.max_keys));
	s->no_room_logged = now;
	s->no_room = 0;
}

int bct_keys_claim(bct_keys_t *k, uint64_t account_key, const char *key, uint64_t body,
		   uint64_t cookie, uint64_t *intent)
{
	bct_claim_result_t r = { 0 };
	bct_key_id_t id;
	stream_t *s = stream_of(k, account_key, key, &id);
	int rc = 0;

	*intent = bct_random_id();
	pthread_mutex_lock(&s->lock);
	if (!add_cookie(s, *intent, cookie))
		rc = -BCT_ENOMEM;
	else if (bct_key_claims_begin(s->claims, bct_clock_now(), bct_clock_wall(), &id, body,
				      *intent, &r) != BCT_CLAIM_PENDING)
		rc = bct_key_claims_defer(s->claims, &r);
	if (!rc && r.verdict == BCT_CLAIM_NO_ROOM)
		log_no_room(k, s);
	pthread_cond_broadcast(&s->wake);
	pthread_mutex_unlock(&s->lock);
	return rc;
}

bct_claim_verdict_t bct_keys_peek(bct_keys_t *k, uint64_t account_key, const char *key,
				  uint64_t body, uint64_t ignored_intent, bool *current)
{
	bct_log_health_t health;
	bct_claim_verdict_t v;
	bct_key_id_t id;
	stream_t *s = stream_of(k, account_key, key, &id);

	bct_log_follower_health(s->follower, &health);
	pthread_mutex_lock(&s->lock);
	*current = health.up && s->caught_up;
	v = bct_key_claims_peek(s->claims, bct_clock_wall(), &id, body, ignored_intent);
	pthread_mutex_unlock(&s->lock);
	return v;
}

void bct_keys_finish(bct_keys_t *k, uint64_t account_key, const char *key, uint64_t intent,
		     int status, const char *type, const void *answer, uint32_t len_bytes)
{
	bct_key_id_t id;
	stream_t *s = stream_of(k, account_key, key, &id);

	pthread_mutex_lock(&s->lock);
	bct_key_claims_finish(s->claims, intent, status, type, answer, len_bytes);
	pthread_cond_broadcast(&s->wake);
	pthread_mutex_unlock(&s->lock);
}

void bct_keys_withdraw(bct_keys_t *k, uint64_t account_key, const char *key, uint64_t intent)
{
	bct_key_id_t id;
	stream_t *s = stream_of(k, account_key, key, &id);
	uint64_t cookie;

	pthread_mutex_lock(&s->lock);
	bct_key_claims_withdraw(s->claims, intent);
	remove_cookie(s, intent, &cookie);
	pthread_cond_broadcast(&s->wake);
	pthread_mutex_unlock(&s->lock);
}

void bct_keys_abandon(bct_keys_t *k, uint64_t account_key, const char *key, uint64_t intent)
{
	bct_key_id_t id;
	stream_t *s = stream_of(k, account_key, key, &id);

	pthread_mutex_lock(&s->lock);
	bct_key_claims_abandon(s->claims, intent);
	pthread_mutex_unlock(&s->lock);
}

bool bct_keys_may_send(bct_keys_t *k, uint64_t account_key, const char *key, uint64_t intent)
{
	bct_key_id_t id;
	stream_t *s = stream_of(k, account_key, key, &id);
	bool may;

	pthread_mutex_lock(&s->lock);
	may = bct_key_claims_may_send(s->claims, intent);
	pthread_mutex_unlock(&s->lock);
	return may;
}

static json_t *entry_json(const bct_keys_t *k, const bct_key_entry_t *e)
{
	bool owner_ended = k->opts.gone && k->opts.gone(k->opts.ctx, e->incarnation);
	char intent[17], incarnation[17];

	snprintf(intent, sizeof(intent), "%016" PRIx64, e->intent);
	snprintf(incarnation, sizeof(incarnation), "%016" PRIx64, e->incarnation);
	return json_pack("{s:s, s:s, s:s, s:I, s:I, s:b, s:b}", "state",
			 e->state == BCT_KEY_DONE ? "done" : "owned", "intent", intent,
			 "incarnation", incarnation, "since_ms", (json_int_t)e->wall_ms, "offset",
			 (json_int_t)e->offset, "answer_kept", (int)e->answer_kept, "owner_gone",
			 (int)owner_ended);
}

json_t *bct_keys_show(bct_keys_t *k, uint64_t account_key, const char *key)
{
	bct_key_id_t id;
	stream_t *s = stream_of(k, account_key, key, &id);
	const bct_key_entry_t *e;
	json_t *doc;

	pthread_mutex_lock(&s->lock);
	e = bct_key_table_find(bct_key_claims_table(s->claims), &id);
	if (!s->caught_up)
		doc = json_pack("{s:s}", "state", "not_ready");
	else
		doc = e ? entry_json(k, e) : json_pack("{s:s}", "state", "free");
	pthread_mutex_unlock(&s->lock);
	return doc;
}

int bct_keys_resolve(bct_keys_t *k, uint64_t account_key, const char *key, bool ran, bool force,
		     const char *author)
{
	bct_key_id_t id;
	stream_t *s = stream_of(k, account_key, key, &id);
	int rc;

	pthread_mutex_lock(&s->lock);
	rc = s->caught_up
		     ? bct_key_claims_resolve(s->claims, bct_clock_now(), &id, ran, force, author)
		     : -BCT_ESTATE;
	pthread_cond_broadcast(&s->wake);
	pthread_mutex_unlock(&s->lock);
	return rc;
}

bool bct_keys_ready(bct_keys_t *k)
{
	bool ready = true;

	for (uint32_t i = 0; i < k->n_streams; i++) {
		pthread_mutex_lock(&k->streams[i].lock);
		ready = ready && k->streams[i].caught_up;
		pthread_mutex_unlock(&k->streams[i].lock);
	}
	return ready;
}

bool bct_keys_idle(bct_keys_t *k)
{
	bool idle = true;

	for (uint32_t i = 0; i < k->n_streams; i++) {
		pthread_mutex_lock(&k->streams[i].lock);
		idle = idle && bct_key_claims_idle(k->streams[i].claims);
		pthread_mutex_unlock(&k->streams[i].lock);
	}
	return idle;
}

json_t *bct_keys_status(bct_keys_t *k)
{
	uint64_t appends = 0, entries = 0, known = 0;
	bool ready = true, down = false;
	bct_log_health_t health;

	for (uint32_t i = 0; i < k->n_streams; i++) {
		stream_t *s = &k->streams[i];

		pthread_mutex_lock(&s->lock);
		appends += s->appends;
		entries += s->entries;
		known += bct_key_table_size(bct_key_claims_table(s->claims));
		ready = ready && s->caught_up;
		pthread_mutex_unlock(&s->lock);
		bct_log_follower_health(s->follower, &health);
		down = down || !health.up;
	}
	return json_pack("{s:b, s:b, s:I, s:I, s:I}", "ready", (int)ready, "log_down", (int)down,
			 "keys", (json_int_t)known, "appends", (json_int_t)appends, "entries",
			 (json_int_t)entries);
}
