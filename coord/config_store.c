/*
 * config_store.c - combines the log follower, the replay, offers of peers and snapshots.
 *
 * The store has two states: the one replayed from the log, which only the follower's thread uses,
 * and the one in force, which may be newer if it came from a peer.
 */
#include "coord/config_store.h"
#include "base/err.h"
#include "base/mem.h"
#include "coord/conf_json.h"
#include "coord/config.h"
#include "coord/config_boot.h"
#include "coord/config_counters.h"
#include "coord/config_snapshot.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#define TIMEOUT_MS 2000
#define SNAPSHOT_RECORDS 64
#define SNAPSHOT_INTERVAL_MS (60 * 60 * BCT_MS_PER_S)
#define RECOVERY_DELAY_MS (60 * BCT_MS_PER_S)
#define DIVERGED_RANK_PENALTY 32 /* added to the rank of a node that diverged */

/* The state replayed from the log. Only the follower's thread uses it. */
typedef struct log_replica {
	bool booting; /* reading the log to find the initial state */
	bct_config_boot_t boot;
	bct_config_state_t state;
	bool has_state; /* state is valid */
	bct_snapshot_plan_t plan;
} log_replica_t;

struct bct_config_store {
	bct_config_store_opts_t opts;
	char vm_name[BCT_NAME_BYTES];
	bct_log_follower_t *follower;
	log_replica_t replica;
	bct_config_counters_t counters;
	/* Lock order: adopt_lock, then lock. */
	pthread_mutex_t adopt_lock; /* held while conf is replaced and the callback runs */
	bool notified;		    /* the callback accepted conf; guarded by adopt_lock */
	pthread_mutex_t lock; /* guards all members below; never held during a callback or I/O */
	bct_conf_t *conf;
	/* Canonical JSON of conf; jansson values must not be shared between threads. */
	bct_buf_t text;
	uint32_t rank;
	bct_config_status_t status; /* log and stale_ms are set by bct_config_store_status() */
};

const char *bct_config_source_wire(bct_config_source_t s)
{
	static const char *const names[] = { "none", "log", "peer" };

	return names[s];
}

/* Calls the callback unless it has accepted the current conf. The caller holds adopt_lock. */
static void notify_adopted(bct_config_store_t *s)
{
	if (s->notified || !s->conf)
		return;
	s->notified = !s->opts.adopted || !s->opts.adopted(s->opts.ctx, s->conf);
}

/*
 * Puts a revision in force. Takes ownership of the buffer of its canonical text and leaves text
 * empty. The caller holds adopt_lock and has checked that the revision may be put in force.
 */
static void set_current(bct_config_store_t *s, bct_conf_t *conf, bct_buf_t *text,
			bct_config_source_t source)
{
	bct_conf_t *old_conf;
	bct_buf_t old_text;
	char hex[BCT_DIGEST_HEX_BYTES];

	pthread_mutex_lock(&s->lock);
	old_conf = s->conf;
	old_text = s->text;
	s->conf = bct_conf_ref(conf);
	s->text = *text;
	s->status.revision = conf->revision;
	s->status.digest = conf->digest;
	s->status.source = source;
	s->status.adopted_at = bct_clock_now();
	s->status.adopted_wall = bct_clock_wall();
	pthread_mutex_unlock(&s->lock);
	bct_conf_unref(old_conf);
	bct_buf_free(&old_text);
	bct_buf_init(text, 0);
	bct_counter_inc(source == BCT_CONFIG_SOURCE_LOG ? &s->counters.from_log
							: &s->counters.from_peer);
	bct_digest_hex(&conf->digest, hex);
	BCT_LOG(s->opts.log, BCT_EV_CONFIG_ADOPTED, BCT_U64("revision", conf->revision),
		BCT_STR("digest", hex), BCT_STR("source", bct_config_source_wire(source)));
	s->notified = false;
	notify_adopted(s);
}

/* Logs that the states of this node and of the log or a peer differ, and sets status.diverged. */
static void report_divergence(bct_config_store_t *s, const char *what, uint64_t revision)
{
	pthread_mutex_lock(&s->lock);
	s->status.diverged = true;
	pthread_mutex_unlock(&s->lock);
	BCT_LOG(s->opts.log, BCT_EV_CONFIG_DIVERGED, BCT_STR("what", what),
		BCT_U64("revision", revision));
}

/*
 * The log has been read to its end: puts its revision in force unless a newer one is. A document of
 * the same revision from a peer is replaced if it differs.
 */
static void adopt_from_log(bct_config_store_t *s)
{
	const bct_config_state_t *st = &s->replica.state;
	bct_buf_t text;
	bool same;

	bct_buf_init(&text, 0);
	pthread_mutex_lock(&s->adopt_lock);
	pthread_mutex_lock(&s->lock);
	s->status.log_known = true;
	s->status.log_revision = st->revision;
	same = s->conf && s->conf->revision == st->revision &&
	       !memcmp(&s->conf->digest, &st->digest, sizeof(st->digest));
	/* The log has confirmed a revision that came from a peer. */
	if (same)
		s->status.source = BCT_CONFIG_SOURCE_LOG;
	pthread_mutex_unlock(&s->lock);
	/* If an allocation fails, this is retried after the next read. */
	if (!same && (!s->conf || s->conf->revision <= st->revision) &&
	    !bct_conf_canonical(st->doc, &text)) {
		if (s->conf && s->conf->revision == st->revision)
			report_divergence(
				s, "a peer's document of the same revision has another digest",
				st->revision);
		set_current(s, st->conf, &text, BCT_CONFIG_SOURCE_LOG);
	}
	notify_adopted(s);
	pthread_mutex_unlock(&s->adopt_lock);
	bct_buf_free(&text);
}

/* Counts the result of a change and logs a rejection. */
static void report_change(bct_config_store_t *s, const bct_config_result_t *r)
{
	bct_counter_inc(r->repeat ? &s->counters.repeats : &s->counters.changes[r->status]);
	if (r->status == BCT_CHANGE_STATUS_ACCEPTED || r->repeat)
		return;
	BCT_LOG(s->opts.log, BCT_EV_CONFIG_REJECTED, BCT_HEX("id", r->id),
		BCT_STR("reason", bct_change_status_wire(r->status)),
		BCT_U64("revision", r->revision), BCT_STR("path", r->error.path),
		BCT_STR("detail", r->error.detail));
	/* This replica or the author's had a wrong state; an operator must investigate. */
	if (r->status == BCT_CHANGE_STATUS_FUTURE_BASE ||
	    r->status == BCT_CHANGE_STATUS_BASE_DIGEST)
		report_divergence(s, bct_change_status_wire(r->status), r->revision);
}

static int on_record(void *ctx, const bct_record_t *rec)
{
	bct_config_store_t *s = ctx;
	bct_config_result_t res;
	int rc;

	if (s->replica.booting) {
		bct_config_boot_record(&s->replica.boot, rec->data, rec->len_bytes);
		return 0;
	}
	rc = bct_config_replay(&s->replica.state, rec->data, rec->len_bytes, &res);
	if (rc == -BCT_ENOMEM)
		return rc;
	if (rc == -BCT_ECODEC) {
		bct_counter_inc(&s->counters.bad_records);
		BCT_LOG(s->opts.log, BCT_EV_CONFIG_BAD_RECORD, BCT_U64("offset", rec->offset));
	} else if (rc == -BCT_EDIVERGED) {
		report_divergence(s, "snapshot in the log differs from the replayed state",
				  res.revision);
	} else if (res.type == BCT_XCONFIG_SNAPSHOT) {
		bct_snapshot_plan_seen(&s->replica.plan, bct_clock_now(), rec->offset,
				       bct_clock_wall() - res.wall_ms);
	} else {
		report_change(s, &res);
	}
	return 0;
}

static uint64_t on_lost(void *ctx, uint64_t position, uint64_t oldest)
{
	bct_config_store_t *s = ctx;

	(void)position;
	bct_config_boot_free(&s->replica.boot);
	bct_config_boot_init(&s->replica.boot, oldest);
	s->replica.booting = true;
	bct_snapshot_plan_reset(&s->replica.plan);
	return oldest;
}

/*
 * Takes over the initial state found in the log and continues to read after it. returns false if
 * the log has none. A failed allocation returns true; the boot is then finished after the next
 * read.
 */
static bool finish_boot(bct_config_store_t *s)
{
	log_replica_t *replica = &s->replica;
	bct_config_state_t found;
	int rc = bct_config_boot_finish(&replica->boot, &found);

	if (rc)
		return rc != -BCT_EEXPIRED;
	if (replica->has_state && found.revision < replica->state.revision)
		report_divergence(s, "the revision of the log decreased", found.revision);
	if (replica->has_state)
		bct_config_free(&replica->state);
	replica->state = found;
	replica->has_state = true;
	bct_snapshot_plan_reset(&replica->plan);
	replica->booting = false;
	bct_config_boot_free(&replica->boot);
	bct_log_follower_seek(s->follower, replica->state.next);
	return true;
}

/*
 * Rank of this node for writing snapshots. One bad record can make every node report a divergence,
 * so a diverged node still writes snapshots, but later than the nodes that report none.
 */
static uint32_t snapshot_rank(bct_config_store_t *s)
{
	uint32_t rank;

	pthread_mutex_lock(&s->lock);
	rank = s->rank + (s->status.diverged ? DIVERGED_RANK_PENALTY : 0);
	pthread_mutex_unlock(&s->lock);
	return rank;
}

static void write_snapshot(bct_config_store_t *s, const bct_config_state_t *state)
{
	uint64_t offset = 0;
	bct_buf_t rec;
	int rc;

	bct_buf_init(&rec, 0);
	rc = bct_config_snapshot_encode(state, s->vm_name, bct_clock_wall(), &rec);
	if (!rc)
		rc = bct_platform_append(s->opts.platform, BCT_STREAM_CONFIG, rec.data,
					 (uint32_t)rec.len_bytes, s->opts.timeout_ms, &offset);
	bct_buf_free(&rec);
	bct_counter_inc(&s->counters.snapshots);
	/* The write counts once the snapshot is read back, so a lost answer does no harm. */
	BCT_LOG(s->opts.log, BCT_EV_CONFIG_SNAPSHOT, BCT_U64("revision", state->revision),
		BCT_U64("covered", state->next), BCT_ERR("result", rc));
}

static void maybe_write_snapshot(bct_config_store_t *s, uint64_t oldest)
{
	const bct_config_state_t *st = &s->replica.state;
	bct_time_t now = bct_clock_now();
	bool due =
		st->revision > 0 && bct_snapshot_plan_due(&s->replica.plan, now, st->next, oldest);

	if (bct_snapshot_plan_should_write(&s->replica.plan, now, due, snapshot_rank(s), 0))
		write_snapshot(s, st);
}

/* Builds the state that a log ending at offset end would have if it held the revision in force. */
static int state_from_peer(bct_config_store_t *s, uint64_t end, bct_config_state_t *out)
{
	bct_config_export_t export;
	bct_json_err_t err;
	int rc = bct_config_store_export(s, &export);

	memset(out, 0, sizeof(*out));
	if (!rc) {
		out->doc = bct_json_parse(export.text.data, export.text.len_bytes,
					  BCT_CONF_MAX_BYTES, &err);
		rc = out->doc ? 0 : err.err;
	}
	out->next = end;
	out->revision = export.revision;
	out->digest = export.digest;
	bct_buf_free(&export.text);
	return rc;
}

/*
 * Writes a snapshot of a peer's revision to a log without one. All records that led to the current
 * state have expired and no node wrote a snapshot in time. This happens if the log was unavailable
 * for longer than it retains records and all VMs were replaced meanwhile. No node can then publish
 * or follow until one that has the state from a peer writes a snapshot. The node first waits for
 * recovery_delay_ms, so that every node has received the highest revision from its peers.
 */
static void maybe_restore_log(bct_config_store_t *s, uint64_t end)
{
	bct_config_state_t state;
	bct_digest_t digest;
	bool due = bct_config_store_revision(s, &digest) > 0;

	if (!bct_snapshot_plan_should_write(&s->replica.plan, bct_clock_now(), due,
					    snapshot_rank(s), s->opts.recovery_delay_ms))
		return;
	if (!state_from_peer(s, end, &state))
		write_snapshot(s, &state);
	bct_config_free(&state);
}

static void on_caught_up(void *ctx, uint64_t end, uint64_t oldest)
{
	bct_config_store_t *s = ctx;

	if (s->replica.booting) {
		if (!finish_boot(s))
			maybe_restore_log(s, end);
		return;
	}
	adopt_from_log(s);
	maybe_write_snapshot(s, oldest);
}

static const bct_log_follower_ops_t follower_ops = {
	.record = on_record,
	.lost = on_lost,
	.caught_up = on_caught_up,
};

static void set_defaults(bct_config_store_opts_t *o)
{
	if (o->timeout_ms == 0)
		o->timeout_ms = TIMEOUT_MS;
	if (o->snapshot_records == 0)
		o->snapshot_records = SNAPSHOT_RECORDS;
	if (o->snapshot_interval_ms == 0)
		o->snapshot_interval_ms = SNAPSHOT_INTERVAL_MS;
	if (o->recovery_delay_ms == 0)
		o->recovery_delay_ms = RECOVERY_DELAY_MS;
}

int bct_config_store_new(const bct_config_store_opts_t *opts, bct_config_store_t **out)
{
	bct_config_store_t *s = bct_alloc(sizeof(*s));
	int rc;

	if (!s)
		return -BCT_ENOMEM;
	s->opts = *opts;
	set_defaults(&s->opts);
	snprintf(s->vm_name, sizeof(s->vm_name), "%s", opts->vm_name);
	s->opts.vm_name = s->vm_name;
	rc = bct_log_follower_new(&(bct_log_follower_opts_t){ .platform = opts->platform,
							      .stream = BCT_STREAM_CONFIG,
							      .poll_ms = opts->poll_ms,
							      .timeout_ms = s->opts.timeout_ms,
							      .seed = opts->seed,
							      .ops = &follower_ops,
							      .ctx = s,
							      .log = opts->log },
				  &s->follower);
	if (rc) {
		bct_free(s);
		return rc;
	}
	bct_snapshot_plan_init(&s->replica.plan, s->opts.snapshot_records,
			       s->opts.snapshot_interval_ms, opts->seed);
	bct_config_boot_init(&s->replica.boot, 0);
	s->replica.booting = true;
	pthread_mutex_init(&s->adopt_lock, NULL);
	pthread_mutex_init(&s->lock, NULL);
	*out = s;
	return 0;
}

void bct_config_store_free(bct_config_store_t *s)
{
	if (!s)
		return;
	bct_log_follower_free(s->follower);
	bct_config_boot_free(&s->replica.boot);
	if (s->replica.has_state)
		bct_config_free(&s->replica.state);
	bct_conf_unref(s->conf);
	bct_buf_free(&s->text);
	pthread_mutex_destroy(&s->lock);
	pthread_mutex_destroy(&s->adopt_lock);
	bct_free(s);
}

int bct_config_store_start(bct_config_store_t *s)
{
	return bct_log_follower_start(s->follower);
}

int bct_config_store_step(bct_config_store_t *s, uint32_t wait_ms)
{
	return bct_log_follower_step(s->follower, wait_ms);
}

bct_conf_t *bct_config_store_current(bct_config_store_t *s)
{
	bct_conf_t *conf;

	pthread_mutex_lock(&s->lock);
	conf = bct_conf_ref(s->conf);
	pthread_mutex_unlock(&s->lock);
	return conf;
}

uint64_t bct_config_store_revision(bct_config_store_t *s, bct_digest_t *digest)
{
	uint64_t revision;

	pthread_mutex_lock(&s->lock);
	revision = s->status.revision;
	*digest = s->status.digest;
	pthread_mutex_unlock(&s->lock);
	return revision;
}

/*
 * Builds the configuration and the canonical text of a peer's offer, and checks its digest.
 * returns 0, -BCT_ECODEC or -BCT_ENOMEM.
 */
static int parse_offer(const bct_config_export_t *export, bct_conf_t **conf, bct_buf_t *text)
{
	bct_json_err_t err;
	json_t *doc = bct_json_parse(export->text.data ? export->text.data : "",
				     export->text.len_bytes, BCT_CONF_MAX_BYTES, &err);
	int rc = doc ? bct_conf_from_json(doc, export->revision, &err, conf) : err.err;

	if (!rc)
		rc = bct_conf_canonical(doc, text);
	json_decref(doc);
	if (!rc && !memcmp(&(*conf)->digest, &export->digest, sizeof(export->digest)))
		return 0;
	return rc == -BCT_ENOMEM ? rc : -BCT_ECODEC;
}

int bct_config_store_offer(bct_config_store_t *s, const bct_config_export_t *from_peer)
{
	bct_conf_t *conf = NULL;
	bct_digest_t local;
	uint64_t revision;
	bct_buf_t text;
	int rc;

	bct_buf_init(&text, 0);
	rc = parse_offer(from_peer, &conf, &text);
	if (rc)
		goto out;
	pthread_mutex_lock(&s->adopt_lock);
	revision = bct_config_store_revision(s, &local);
	if (s->conf && revision == conf->revision && memcmp(&local, &conf->digest, sizeof(local)))
		rc = -BCT_EDIVERGED;
	else if (s->conf && revision >= conf->revision)
		rc = -BCT_ESTALE;
	if (!rc) {
		BCT_LOG(s->opts.log, BCT_EV_CONFIG_FROM_PEER, BCT_U64("revision", conf->revision));
		set_current(s, conf, &text, BCT_CONFIG_SOURCE_PEER);
	} else if (rc == -BCT_EDIVERGED) {
		report_divergence(s, "a peer's document of the same revision has another digest",
				  revision);
	}
	notify_adopted(s);
	pthread_mutex_unlock(&s->adopt_lock);
out:
	if (rc == -BCT_ECODEC || rc == -BCT_EDIVERGED)
		bct_counter_inc(&s->counters.offers_refused);
	bct_buf_free(&text);
	bct_conf_unref(conf);
	return rc;
}

int bct_config_store_export(bct_config_store_t *s, bct_config_export_t *out)
{
	int rc = -BCT_ENOT_FOUND;

	bct_buf_init(&out->text, 0);
	pthread_mutex_lock(&s->lock);
	out->revision = s->status.revision;
	out->digest = s->status.digest;
	if (s->conf)
		rc = bct_buf_put(&out->text, s->text.data, s->text.len_bytes);
	pthread_mutex_unlock(&s->lock);
	return rc;
}

void bct_config_store_set_rank(bct_config_store_t *s, uint32_t rank)
{
	pthread_mutex_lock(&s->lock);
	s->rank = rank;
	pthread_mutex_unlock(&s->lock);
}

void bct_config_store_status(bct_config_store_t *s, bct_config_status_t *out)
{
	bct_time_t stale_ms;

	pthread_mutex_lock(&s->lock);
	*out = s->status;
	pthread_mutex_unlock(&s->lock);
	bct_log_follower_health(s->follower, &out->log);
	stale_ms = bct_clock_now() - out->log.answered_at;
	out->stale_ms = out->log.answered_at == 0 || stale_ms > UINT32_MAX ? UINT32_MAX
									   : (uint32_t)stale_ms;
}

int bct_config_store_metrics(bct_config_store_t *s, bct_buf_t *out)
{
	static const bct_counter_desc_t desc[] = {
		{ "bct_config_revision", NULL, NULL, "gauge", "revision in force" },
		{ "bct_config_log_stale_ms", NULL, NULL, "gauge",
		  "milliseconds since the log last answered" },
		{ "bct_config_diverged", NULL, NULL, "gauge",
		  "1: the log and this node did not agree" },
	};
	bct_config_status_t st;

	bct_config_store_status(s, &st);
	bct_counters_print(
		out, desc,
		(const bct_counter_t[]){ { st.revision }, { st.stale_ms }, { st.diverged } },
		sizeof(desc) / sizeof(desc[0]));
	return bct_config_counters_print(&s->counters, out);
}
