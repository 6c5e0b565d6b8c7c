/*
 * config_store.c - joins the log follower, the replay, peers' offers and snapshots.
 *
 * Two states are kept: what the log says (the follower's thread alone touches it) and what is in
 * force, which may be ahead of it by a peer's word.
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
#define RESCUE_DELAY_MS (60 * BCT_MS_PER_S)
#define DIVERGED_RANKS 32 /* how many ranks later a node in doubt writes a snapshot */

/* The follower's thread alone uses this. */
typedef struct log_side {
	bool booting; /* looking for a state to start from */
	bct_config_boot_t boot;
	bct_config_state_t state;
	bool has_state;
	bct_snapshot_plan_t plan;
} log_side_t;

struct bct_config_store {
	bct_config_store_opts_t opts;
	char vm_name[BCT_NAME_BYTES];
	bct_log_follower_t *follower;
	log_side_t side;
	bct_config_counters_t counters;
	/* Lock order: adopt_lock, then lock. */
	pthread_mutex_t adopt_lock; /* held over a change of what is in force and its callback */
	bool told;		    /* the callback took what is in force; under adopt_lock */
	pthread_mutex_t lock;	    /* guards all below; never held over a callback or I/O */
	bct_conf_t *conf;
	bct_buf_t text; /* canonical; jansson's values are not shared between threads */
	uint32_t rank;
	bct_config_status_t status; /* its log and stale_ms members are filled in on demand */
};

const char *bct_config_source_wire(bct_config_source_t s)
{
	static const char *const names[] = { "none", "log", "peer" };

	return names[s];
}

/* Tells the callback of what is in force, unless it knows; the caller holds adopt_lock. */
static void tell(bct_config_store_t *s)
{
	if (s->told || !s->conf)
		return;
	s->told = !s->opts.adopted || !s->opts.adopted(s->opts.ctx, s->conf);
}

/*
 * Puts a revision in force and takes over its canonical text; the caller holds adopt_lock and knows
 * that it may be.
 */
static void put_in_force(bct_config_store_t *s, bct_conf_t *conf, bct_buf_t *text,
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
	s->told = false;
	tell(s);
}

static void note_diverged(bct_config_store_t *s, const char *what, uint64_t revision)
{
	pthread_mutex_lock(&s->lock);
	s->status.diverged = true;
	pthread_mutex_unlock(&s->lock);
	BCT_LOG(s->opts.log, BCT_EV_CONFIG_DIVERGED, BCT_STR("what", what),
		BCT_U64("revision", revision));
}

/* The log has been read to its end: what it says is put in force unless that would be older. */
static void adopt_from_log(bct_config_store_t *s)
{
	const bct_config_state_t *st = &s->side.state;
	bct_buf_t text;
	bool same;

	bct_buf_init(&text, 0);
	pthread_mutex_lock(&s->adopt_lock);
	pthread_mutex_lock(&s->lock);
	s->status.log_known = true;
	s->status.log_revision = st->revision;
	same = s->conf && s->conf->revision == st->revision &&
	       !memcmp(&s->conf->digest, &st->digest, sizeof(st->digest));
	/* From now on it is the log's word as well. */
	if (same)
		s->status.source = BCT_CONFIG_SOURCE_LOG;
	pthread_mutex_unlock(&s->lock);
	/* Without memory it is tried again after the next read. */
	if (!same && (!s->conf || s->conf->revision <= st->revision) &&
	    !bct_conf_canonical(st->doc, &text)) {
		if (s->conf && s->conf->revision == st->revision)
			note_diverged(s, "a peer's document of this revision", st->revision);
		put_in_force(s, st->conf, &text, BCT_CONFIG_SOURCE_LOG);
	}
	tell(s);
	pthread_mutex_unlock(&s->adopt_lock);
	bct_buf_free(&text);
}

static void note_verdict(bct_config_store_t *s, const bct_config_result_t *r)
{
	bct_counter_inc(r->repeat ? &s->counters.repeats : &s->counters.changes[r->status]);
	if (r->status == BCT_CHANGE_STATUS_ACCEPTED || r->repeat)
		return;
	BCT_LOG(s->opts.log, BCT_EV_CONFIG_REJECTED, BCT_HEX("id", r->id),
		BCT_STR("reason", bct_change_status_wire(r->status)),
		BCT_U64("revision", r->revision), BCT_STR("path", r->error.path),
		BCT_STR("detail", r->error.detail));
	/* Either this replica is wrong or the author's was; operators have to look. */
	if (r->status == BCT_CHANGE_STATUS_FUTURE_BASE ||
	    r->status == BCT_CHANGE_STATUS_BASE_DIGEST)
		note_diverged(s, bct_change_status_wire(r->status), r->revision);
}

static int on_record(void *ctx, const bct_record_t *rec)
{
	bct_config_store_t *s = ctx;
	bct_config_result_t res;
	int rc;

	if (s->side.booting) {
		bct_config_boot_record(&s->side.boot, rec->data, rec->len_bytes);
		return 0;
	}
	rc = bct_config_replay(&s->side.state, rec->data, rec->len_bytes, &res);
	if (rc == -BCT_ENOMEM)
		return rc;
	if (rc == -BCT_ECODEC) {
		bct_counter_inc(&s->counters.bad_records);
		BCT_LOG(s->opts.log, BCT_EV_CONFIG_BAD_RECORD, BCT_U64("offset", rec->offset));
	} else if (rc == -BCT_EDIVERGED) {
		note_diverged(s, "a snapshot in the log", res.revision);
	} else if (res.type == BCT_XCONFIG_SNAPSHOT) {
		bct_snapshot_plan_seen(&s->side.plan, bct_clock_now(), rec->offset,
				       bct_clock_wall() - res.wall_ms);
	} else {
		note_verdict(s, &res);
	}
	return 0;
}

static uint64_t on_lost(void *ctx, uint64_t position, uint64_t oldest)
{
	bct_config_store_t *s = ctx;

	(void)position;
	bct_config_boot_free(&s->side.boot);
	bct_config_boot_init(&s->side.boot, oldest);
	s->side.booting = true;
	bct_snapshot_plan_reset(&s->side.plan);
	return oldest;
}

/*
 * Takes the state that the boot found. returns false while the log has none; want of memory is not
 * that, and is tried again after the next read.
 */
static bool finish_boot(bct_config_store_t *s)
{
	log_side_t *side = &s->side;
	bct_config_state_t found;
	int rc = bct_config_boot_finish(&side->boot, &found);

	if (rc)
		return rc != -BCT_EEXPIRED;
	if (side->has_state && found.revision < side->state.revision)
		note_diverged(s, "the log went back", found.revision);
	if (side->has_state)
		bct_config_free(&side->state);
	side->state = found;
	side->has_state = true;
	bct_snapshot_plan_reset(&side->plan);
	side->booting = false;
	bct_config_boot_free(&side->boot);
	bct_log_follower_seek(s->follower, side->state.next);
	return true;
}

/*
 * One bad record makes every node report that it diverged, so that cannot keep a node from writing;
 * but whoever has no such doubt goes first.
 */
static uint32_t snapshot_rank(bct_config_store_t *s)
{
	uint32_t rank;

	pthread_mutex_lock(&s->lock);
	rank = s->rank + (s->status.diverged ? DIVERGED_RANKS : 0);
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
	/* It is there once it is read back; a lost answer makes no difference. */
	BCT_LOG(s->opts.log, BCT_EV_CONFIG_SNAPSHOT, BCT_U64("revision", state->revision),
		BCT_U64("covered", state->next), BCT_ERR("result", rc));
}

static void consider_snapshot(bct_config_store_t *s, uint64_t oldest)
{
	const bct_config_state_t *st = &s->side.state;
	bct_time_t now = bct_clock_now();
	bool due = st->revision > 0 && bct_snapshot_plan_due(&s->side.plan, now, st->next, oldest);

	if (bct_snapshot_plan_should_write(&s->side.plan, now, due, snapshot_rank(s), 0))
		write_snapshot(s, st);
}

/* The state as if the log had ended here with what a peer put in force. */
static int state_from_peer(bct_config_store_t *s, uint64_t end, bct_config_state_t *out)
{
	bct_config_export_t e;
	bct_json_err_t err;
	int rc = bct_config_store_export(s, &e);

	memset(out, 0, sizeof(*out));
	if (!rc) {
		out->doc = bct_json_parse(e.text.data, e.text.len_bytes, BCT_CONF_MAX_BYTES, &err);
		rc = out->doc ? 0 : err.err;
	}
	out->next = end;
	out->revision = e.revision;
	out->digest = e.digest;
	bct_buf_free(&e.text);
	return rc;
}

/*
 * All records that made the present state have expired and no node wrote a snapshot in time, as
 * when the log was away for longer than it keeps records and all VMs were replaced meanwhile. No
 * node can publish or follow then, unless one that has the state from a peer writes it down. It
 * waits first, so that every node has taken the highest revision from the others.
 */
static void consider_rescue(bct_config_store_t *s, uint64_t end)
{
	bct_config_state_t state;
	bct_digest_t digest;
	bool due = bct_config_store_revision(s, &digest) > 0;

	if (!bct_snapshot_plan_should_write(&s->side.plan, bct_clock_now(), due, snapshot_rank(s),
					    s->opts.recovery_delay_ms))
		return;
	if (!state_from_peer(s, end, &state))
		write_snapshot(s, &state);
	bct_config_free(&state);
}

static void on_caught_up(void *ctx, uint64_t end, uint64_t oldest)
{
	bct_config_store_t *s = ctx;

	if (s->side.booting) {
		if (!finish_boot(s))
			consider_rescue(s, end);
		return;
	}
	adopt_from_log(s);
	consider_snapshot(s, oldest);
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
		o->recovery_delay_ms = RESCUE_DELAY_MS;
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
	bct_snapshot_plan_init(&s->side.plan, s->opts.snapshot_records,
			       s->opts.snapshot_interval_ms, opts->seed);
	bct_config_boot_init(&s->side.boot, 0);
	s->side.booting = true;
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
	bct_config_boot_free(&s->side.boot);
	if (s->side.has_state)
		bct_config_free(&s->side.state);
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

/* Builds what a peer offers. returns 0, -BCT_ECODEC or -BCT_ENOMEM. */
static int parse_offer(const bct_config_export_t *e, bct_conf_t **conf, bct_buf_t *text)
{
	bct_json_err_t err;
	json_t *doc = bct_json_parse(e->text.data ? e->text.data : "", e->text.len_bytes,
				     BCT_CONF_MAX_BYTES, &err);
	int rc = doc ? bct_conf_from_json(doc, e->revision, &err, conf) : err.err;

	if (!rc)
		rc = bct_conf_canonical(doc, text);
	json_decref(doc);
	if (!rc && !memcmp(&(*conf)->digest, &e->digest, sizeof(e->digest)))
		return 0;
	return rc == -BCT_ENOMEM ? rc : -BCT_ECODEC;
}

int bct_config_store_offer(bct_config_store_t *s, const bct_config_export_t *from_peer)
{
	bct_conf_t *conf = NULL;
	bct_digest_t ours;
	uint64_t revision;
	bct_buf_t text;
	int rc;

	bct_buf_init(&text, 0);
	rc = parse_offer(from_peer, &conf, &text);
	if (rc)
		goto out;
	pthread_mutex_lock(&s->adopt_lock);
	revision = bct_config_store_revision(s, &ours);
	if (s->conf && revision == conf->revision && memcmp(&ours, &conf->digest, sizeof(ours)))
		rc = -BCT_EDIVERGED;
	else if (s->conf && revision >= conf->revision)
		rc = -BCT_ESTALE;
	if (!rc) {
		BCT_LOG(s->opts.log, BCT_EV_CONFIG_FROM_PEER, BCT_U64("revision", conf->revision));
		put_in_force(s, conf, &text, BCT_CONFIG_SOURCE_PEER);
	} else if (rc == -BCT_EDIVERGED) {
		note_diverged(s, "a peer's document of this revision", revision);
	}
	tell(s);
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
