/*
 * config_publish.c - appends a change and reads the log until the outcome is known.
 */
#include "coord/config_publish.h"
#include "base/err.h"
#include "base/rng.h"
#include "coord/config_boot.h"

#include <string.h>

#define TIMEOUT_MS 10000
#define CALL_TIMEOUT_MS 2000
#define RETRY_MS 500
#define READ_MAX_BYTES (1024 * 1024)

const char *bct_publish_outcome_wire(bct_publish_outcome_t o)
{
	static const char *const names[] = { "accepted", "unchanged", "rejected", "not_sent",
					     "unknown" };

	return names[o];
}

static int replay_batch(bct_config_state_t *s, const bct_records_t *r,
			bct_config_replayed_t replayed, void *ctx)
{
	bct_config_result_t res;

	for (uint32_t i = 0; i < r->n; i++) {
		int rc;

		if (r->records[i].offset != s->next)
			return -BCT_EEXPIRED;
		rc = bct_config_replay(s, r->records[i].data, r->records[i].len_bytes, &res);
		if (rc == -BCT_ENOMEM)
			return rc;
		if (replayed)
			replayed(ctx, &r->records[i], &res, rc);
	}
	return (int)r->n;
}

int bct_config_read_next(bct_platform_t *p, bct_config_state_t *s, uint32_t wait_ms,
			 uint32_t call_timeout_ms, bct_config_replayed_t replayed, void *ctx)
{
	bct_records_t r;
	int rc = bct_platform_read(p, BCT_STREAM_CONFIG, s->next, READ_MAX_BYTES, wait_ms,
				   wait_ms + call_timeout_ms, &r);

	if (!rc)
		rc = replay_batch(s, &r, replayed, ctx);
	bct_records_free(&r);
	return rc == -BCT_ECODEC ? -BCT_EUNAVAILABLE : rc;
}

/* Reads the log to its end into b; starts over at the oldest record if records expire. */
static int scan_log(bct_platform_t *p, uint32_t call_timeout_ms, bct_config_boot_t *b)
{
	bool more = true;
	int rc = 0;

	while (more && !rc) {
		bct_records_t r;

		rc = bct_platform_read(p, BCT_STREAM_CONFIG, b->next, READ_MAX_BYTES, 0,
				       call_timeout_ms, &r);
		more = !rc && r.n > 0;
		for (uint32_t i = 0; !rc && i < r.n; i++)
			bct_config_boot_record(b, r.records[i].data, r.records[i].len_bytes);
		if (rc == -BCT_EEXPIRED) {
			bct_config_boot_free(b);
			bct_config_boot_init(b, r.oldest);
			rc = 0;
			more = true;
		}
		bct_records_free(&r);
	}
	return rc == -BCT_ECODEC ? -BCT_EUNAVAILABLE : rc;
}

int bct_config_read_log(bct_platform_t *p, uint32_t call_timeout_ms, bct_config_replayed_t replayed,
			void *ctx, bct_config_state_t *out)
{
	bct_config_boot_t boot;
	int rc;

	bct_config_boot_init(&boot, 0);
	rc = scan_log(p, call_timeout_ms, &boot);
	if (!rc)
		rc = bct_config_boot_finish(&boot, out);
	bct_config_boot_free(&boot);
	if (rc)
		return rc;
	while ((rc = bct_config_read_next(p, out, 0, call_timeout_ms, replayed, ctx)) > 0)
		;
	if (rc)
		bct_config_free(out);
	return rc;
}

/* State of one bct_config_publish() call. */
typedef struct publish {
	const bct_publish_opts_t *opts;
	bct_config_state_t state;
	bct_time_t deadline;
	uint32_t call_timeout_ms;
	uint32_t retry_ms;
	bool maybe_sent; /* an append may have reached the log */
	bool replayed;	 /* the change was found in the log, its status is in out */
	bct_buf_t record;
	bct_publish_result_t *out;
} publish_t;

/*
 * Stores the result of the published change. It is called for each record read back, so the change
 * is found however many other changes the log holds.
 */
static void on_replayed(void *ctx, const bct_record_t *rec, const bct_config_result_t *res, int rc)
{
	publish_t *p = ctx;

	(void)rec;
	if (rc || res->type != BCT_XCONFIG_CHANGE || res->id != p->out->id || p->replayed)
		return;
	p->replayed = true;
	p->out->status = res->status;
	p->out->revision = res->revision;
}

/*
 * Returns whether the log has determined the outcome, and stores it. If another change was accepted
 * on the same base, the published one is rejected even when it has not been found: it can only come
 * after that change.
 */
static bool is_decided(publish_t *p)
{
	if (!p->replayed && p->state.revision == p->out->base_revision)
		return false;
	if (!p->replayed)
		p->out->status = BCT_CHANGE_STATUS_STALE_BASE;
	p->out->outcome = p->out->status == BCT_CHANGE_STATUS_ACCEPTED ? BCT_PUBLISH_ACCEPTED
								       : BCT_PUBLISH_REJECTED;
	if (p->out->status == BCT_CHANGE_STATUS_STALE_BASE)
		p->out->revision = p->out->base_revision + 1;
	return true;
}

static void append(publish_t *p)
{
	uint64_t offset;
	int rc = bct_platform_append(p->opts->platform, BCT_STREAM_CONFIG, p->record.data,
				     (uint32_t)p->record.len_bytes, p->call_timeout_ms, &offset);

	if (rc != -BCT_EUNAVAILABLE && rc != -BCT_ETOO_LARGE)
		p->maybe_sent = true;
}

/*
 * Appends and reads until the outcome is determined or the deadline has passed. Records that
 * expired before they were read, or a failed allocation, end the loop as well.
 */
static int append_until_decided(publish_t *p)
{
	bct_time_t next_append = bct_clock_now();
	int rc = 0;

	while (rc != -BCT_EEXPIRED && rc != -BCT_ENOMEM) {
		bct_time_t now = bct_clock_now();

		if (now >= next_append) {
			append(p);
			next_append = now + p->retry_ms;
		}
		rc = bct_config_read_next(p->opts->platform, &p->state, p->retry_ms,
					  p->call_timeout_ms, on_replayed, p);
		if (is_decided(p))
			return 0;
		now = bct_clock_now();
		if (now >= p->deadline)
			break;
		if (rc <= 0 && now < next_append)
			bct_clock_sleep((uint32_t)(next_append - now));
	}
	p->out->outcome = p->maybe_sent ? BCT_PUBLISH_UNKNOWN : BCT_PUBLISH_NOT_SENT;
	return p->maybe_sent ? 0 : -BCT_EUNAVAILABLE;
}

/*
 * Reads the log. Retries until the deadline while the log is unavailable or records expire during
 * the read.
 */
static int read_base(publish_t *p)
{
	int rc;

	for (;;) {
		rc = bct_config_read_log(p->opts->platform, p->call_timeout_ms, NULL, NULL,
					 &p->state);
		if ((rc != -BCT_EUNAVAILABLE && rc != -BCT_EEXPIRED) ||
		    bct_clock_now() + p->retry_ms >= p->deadline)
			return rc;
		bct_clock_sleep(p->retry_ms);
	}
}

/*
 * Reads the base and encodes the change. returns -BCT_ESTALE if the base is not
 * opts->base_revision.
 */
static int prepare(publish_t *p, const json_t *doc)
{
	int rc = read_base(p);

	if (rc)
		return rc;
	p->out->base_revision = p->state.revision;
	p->out->revision = p->state.revision;
	p->out->base = json_incref(p->state.doc);
	if (p->opts->has_base && p->opts->base_revision != p->state.revision) {
		p->out->outcome = BCT_PUBLISH_REJECTED;
		p->out->status = BCT_CHANGE_STATUS_STALE_BASE;
		return -BCT_ESTALE;
	}
	rc = bct_config_change_encode(&p->state, doc, p->out->id, p->opts->author, bct_clock_wall(),
				      &p->record);
	if (rc == -BCT_ESTATE)
		p->out->outcome = BCT_PUBLISH_UNCHANGED;
	return rc;
}

int bct_config_publish(const bct_publish_opts_t *opts, const json_t *doc, bct_publish_result_t *out)
{
	publish_t p = {
		.opts = opts,
		.deadline = bct_clock_now() + (opts->timeout_ms ? opts->timeout_ms : TIMEOUT_MS),
		.call_timeout_ms = opts->call_timeout_ms ? opts->call_timeout_ms : CALL_TIMEOUT_MS,
		.retry_ms = opts->retry_ms ? opts->retry_ms : RETRY_MS,
		.out = out,
	};
	int rc;

	memset(out, 0, sizeof(*out));
	out->outcome = BCT_PUBLISH_NOT_SENT;
	out->id = bct_random_id();
	bct_buf_init(&p.record, 0);
	rc = prepare(&p, doc);
	if (!rc)
		rc = append_until_decided(&p);
	else if (rc == -BCT_ESTALE || rc == -BCT_ESTATE)
		rc = 0;
	out->log_doc = json_incref(p.state.doc);
	bct_buf_free(&p.record);
	bct_config_free(&p.state);
	return rc;
}

void bct_publish_result_free(bct_publish_result_t *r)
{
	json_decref(r->base);
	json_decref(r->log_doc);
	memset(r, 0, sizeof(*r));
}
