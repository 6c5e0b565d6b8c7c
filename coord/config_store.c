/*
 * config_store.c - joins the log follower, the replay, peers' offers and snapshots.
 *
 * Two states are kept: what the log says (the follower's thread alone touches it) and what is in
 * force, which may be ahead of it by a peer's word.
 */
#include "coord/config_store.h"
#include "base/err.h"
#include "base/mem.h"
#include "base/rng.h"
#include "coord/conf_json.h"
#include "coord/config.h"
#include "coord/config_boot.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#define TIMEOUT_MS 2000
#define SNAPSHOT_RECORDS 64
#define SNAPSHOT_INTERVAL_MS (60 * 60 * BCT_MS_PER_S)
#define SNAPSHOT_RANK_DELAY_MS 2000
#define SNAPSHOT_JITTER_MS 500

/* The follower's thread alone uses this. */
typedef struct log_side {
	bool booting; /* looking for a state to start from */
	bct_config_boot_t boot;
	bct_config_state_t state;
	bool has_state;
	bool has_snapshot; /* one was seen, or written, at snapshot_offset */
	uint64_t snapshot_offset;
	bct_time_t snapshot_at;
	bct_time_t snapshot_due; /* when this node writes one; 0: none is due */
	bct_rng_t rng;
} log_side_t;

struct bct_config_store {
	bct_config_store_opts_t opts;
	char vm_name[BCT_NAME_BYTES];
	bct_log_follower_t *follower;
	log_side_t side;
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

static void note_snapshot(log_side_t *side, uint64_t offset, bct_time_t wall_ms,
			  uint32_t interval_ms)
{
	bct_time_t age_ms = bct_clock_wall() - wall_ms;

	/* Clocks of two VMs may differ; a wrong age only moves the next snapshot. */
	if (age_ms < 0)
		age_ms = 0;
	if (age_ms > interval_ms)
		age_ms = interval_ms;
	side->has_snapshot = true;
	side->snapshot_offset = offset;
	side->snapshot_at = bct_clock_now() - age_ms;
	side->snapshot_due = 0;
}

static void log_verdict(bct_config_store_t *s, const bct_config_result_t *r)
{
	if (r->verdict == BCT_VERDICT_ACCEPTED || r->repeat)
		return;
	BCT_LOG(s->opts.log, BCT_EV_CONFIG_REJECTED, BCT_HEX("id", r->id),
		BCT_STR("reason", bct_verdict_wire(r->verdict)), BCT_U64("revision", r->revision),
		BCT_STR("path", r->why.path), BCT_STR("detail", r->why.detail));
	/* Either this replica is wrong or the author's was; operators have to look. */
	if (r->verdict == BCT_VERDICT_FUTURE_BASE || r->verdict == BCT_VERDICT_BASE_DIGEST)
		note_diverged(s, bct_verdict_wire(r->verdict), r->revision);
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
	if (rc == -BCT_ECODEC)
		BCT_LOG(s->opts.log, BCT_EV_CONFIG_BAD_RECORD, BCT_U64("offset", rec->offset));
	else if (rc == -BCT_EDIVERGED)
		note_diverged(s, "a snapshot in the log", res.revision);
	else if (res.type == BCT_XCONFIG_SNAPSHOT)
		note_snapshot(&s->side, rec->offset, res.wall_ms, s->opts.snapshot_interval_ms);
	else
		log_verdict(s, &res);
	return 0;
}

static uint64_t on_lost(void *ctx, uint64_t position, uint64_t oldest)
{
	bct_config_store_t *s = ctx;

	(void)position;
	bct_config_boot_free(&s->side.boot);
	bct_config_boot_init(&s->side.boot, oldest);
	s->side.booting = true;
	return oldest;
}

/* Takes the state that the boot found. returns false while there is none yet. */
static bool finish_boot(bct_config_store_t *s)
{
	log_side_t *side = &s->side;
	bct_config_state_t found;

	if (bct_config_boot_finish(&side->boot, &found))
		return false;
	if (side->has_state && found.revision < side->state.revision)
		note_diverged(s, "the log went back", found.revision);
	if (side->has_state)
		bct_config_free(&side->state);
	side->state = found;
	side->has_state = true;
	side->has_snapshot = false;
	side->snapshot_due = 0;
	side->booting = false;
	bct_config_boot_free(&side->boot);
	bct_log_follower_seek(s->follower, side->state.next);
	return true;
}

static bool is_diverged(bct_config_store_t *s)
{
	bool diverged;

	pthread_mutex_lock(&s->lock);
	diverged = s->status.diverged;
	pthread_mutex_unlock(&s->lock);
	return diverged;
}

static bool snapshot_is_due(bct_config_store_t *s, uint64_t oldest)
{
	const log_side_t *side = &s->side;
	uint64_t since = side->has_snapshot ? side->state.next - side->snapshot_offset - 1
					    : side->state.next;

	if (side->state.revision == 0 || is_diverged(s))
		return false;
	if (since >= s->opts.snapshot_records ||
	    (side->has_snapshot && side->snapshot_offset < oldest))
		return true;
	if (!side->has_snapshot)
		return oldest > 0;
	return bct_clock_now() - side->snapshot_at >= s->opts.snapshot_interval_ms;
}

static void write_snapshot(bct_config_store_t *s)
{
	uint64_t offset = 0;
	bct_buf_t rec;
	int rc;

	bct_buf_init(&rec, 0);
	rc = bct_config_snapshot_encode(&s->side.state, s->vm_name, bct_clock_wall(), &rec);
	if (!rc)
		rc = bct_platform_append(s->opts.platform, BCT_STREAM_CONFIG, rec.data,
					 (uint32_t)rec.len_bytes, s->opts.timeout_ms, &offset);
	bct_buf_free(&rec);
	/* It counts once it is read back; a lost answer makes no difference. */
	BCT_LOG(s->opts.log, BCT_EV_CONFIG_SNAPSHOT, BCT_U64("revision", s->side.state.revision),
		BCT_U64("covered", s->side.state.next), BCT_ERR("result", rc));
}

static void consider_snapshot(bct_config_store_t *s, uint64_t oldest)
{
	bct_time_t now = bct_clock_now();
	uint32_t rank;

	if (!snapshot_is_due(s, oldest)) {
		s->side.snapshot_due = 0;
		return;
	}
	if (s->side.snapshot_due == 0) {
		pthread_mutex_lock(&s->lock);
		rank = s->rank;
		pthread_mutex_unlock(&s->lock);
		s->side.snapshot_due = now + (bct_time_t)rank * SNAPSHOT_RANK_DELAY_MS +
				       bct_rng_below(&s->side.rng, SNAPSHOT_JITTER_MS);
	}
	if (now < s->side.snapshot_due)
		return;
	write_snapshot(s);
	/* Without an answer it is tried again, no sooner than any other node would. */
	s->side.snapshot_due = now + SNAPSHOT_RANK_DELAY_MS;
}

static void on_caught_up(void *ctx, uint64_t end, uint64_t oldest)
{
	bct_config_store_t *s = ctx;

	(void)end;
	if (s->side.booting) {
		finish_boot(s);
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
	bct_rng_seed(&s->side.rng, opts->seed);
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
