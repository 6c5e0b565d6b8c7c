/*
 * node.c - starts and stops a node, and reports its status.
 */
#include "node/node.h"
#include "base/err.h"
#include "base/mem.h"
#include "base/rng.h"
#include "base/sync.h"
#include "coord/platform_embedded.h"
#include "coord/platform_http.h"
#include "node/admin.h"
#include "node/core.h"
#include "node/front.h"
#include "node/node_config.h"
#include "node/node_keys.h"
#include "node/node_peer.h"
#include "node/node_placement.h"
#include "node/poller.h"

#include <ck_pr.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/*
 * How long a draining node must be idle before it stops, because a request may still arrive on a
 * connection that was accepted just before. Silent connections are closed by their own time limit.
 */
#define DRAIN_IDLE_MS 100

struct bct_node {
	bct_node_opts_t opts;
	uint64_t incarnation;
	bct_time_t started_wall; /* wall clock */
	bct_platform_t *platform;
	bct_core_t *core;
	bct_front_t *front;
	bct_admin_t *admin;
	bct_node_peer_t *peer; /* NULL: the node runs alone */
	bct_node_config_t *config;
	bct_node_keys_t *keys;
	bct_poller_t *poller;
	bct_node_placement_t *placement;
	uint32_t all_started; /* atomic; until it is set, callers and operators are turned away */
	uint32_t drain_requested;     /* atomic; bct_node_drain() was called */
	uint32_t draining;	      /* atomic; entries_expire_at is set */
	bct_time_t entries_expire_at; /* of the entry addresses handed out before the drain */
	bct_time_t idle_since;	      /* since when the draining node has been idle; 0: it is not */
};

/* Tests a flag. Writes made before set_flag() are visible once it is set. */
static bool flag_is_set(uint32_t *flag)
{
	if (!ck_pr_load_32(flag))
		return false;
	ck_pr_fence_acquire();
	BCT_HAPPENS_AFTER(flag);
	return true;
}

static void set_flag(uint32_t *flag)
{
	BCT_HAPPENS_BEFORE(flag);
	ck_pr_fence_release();
	ck_pr_store_32(flag, 1);
}

static bool all_started(bct_node_t *n)
{
	return flag_is_set(&n->all_started);
}

static bool draining(bct_node_t *n)
{
	return flag_is_set(&n->draining);
}

static int make_platform(bct_node_t *n)
{
	const char *url = n->opts.settings->platform_url;
	bct_platform_http_opts_t http = { .base_url = url };
	bct_platform_embedded_opts_t embedded = { 0 };

	if (url[0])
		return bct_platform_http_new(&http, &n->platform);
	return bct_platform_embedded_new(&embedded, &n->platform);
}

static int start_core(bct_node_t *n)
{
	bct_core_opts_t opts = {
		.settings = n->opts.settings,
		.incarnation = n->incarnation,
		.log = n->opts.log,
	};

	return bct_core_new(&opts, &n->core);
}

static int start_peer(bct_node_t *n)
{
	bct_node_peer_opts_t opts = {
		.settings = n->opts.settings,
		.core = n->core,
		.platform = n->platform,
		.log = n->opts.log,
		.incarnation = n->incarnation,
		.caller_port = bct_node_caller_port(n),
		.admin_port = bct_node_admin_port(n),
	};

	if (!n->opts.settings->peer_secret[0])
		return 0;
	return bct_node_peer_new(&opts, &n->peer);
}

static int start_config(bct_node_t *n)
{
	bct_node_config_opts_t opts = {
		.settings = n->opts.settings,
		.log = n->opts.log,
		.core = n->core,
		.platform = n->platform,
		.peer = n->peer,
		.seed = n->incarnation,
	};
	int rc = bct_node_config_new(&opts, &n->config);

	if (!rc && n->peer)
		rc = bct_node_peer_start(n->peer, bct_node_config_store(n->config));
	return rc ? rc : bct_node_config_start(n->config);
}

/*
 * Whether an incarnation is known to have ended. Without peers, every incarnation but the current
 * one is an earlier process of this node.
 */
static bool incarnation_ended(void *ctx, uint64_t incarnation)
{
	bct_node_t *n = ctx;

	if (incarnation == n->incarnation)
		return false;
	return n->peer ? bct_node_peer_incarnation_ended(n->peer, incarnation) : true;
}

static int start_keys(bct_node_t *n)
{
	bct_node_keys_opts_t opts = {
		.settings = n->opts.settings,
		.core = n->core,
		.platform = n->platform,
		.log = n->opts.log,
		.incarnation = n->incarnation,
		.incarnation_ended = incarnation_ended,
		.ctx = n,
	};

	return bct_node_keys_new(&opts, &n->keys);
}

static uint32_t engines_due(void *ctx, uint64_t *keys, uint32_t max)
{
	bct_node_t *n = ctx;

	return bct_peer_watch_due(bct_node_peer(n->peer), keys, max);
}

static void on_report_polled(void *ctx, const bct_report_t *r)
{
	bct_node_t *n = ctx;

	bct_peer_polled(bct_node_peer(n->peer), r);
}

static void on_events_polled(void *ctx, const bct_cache_event_t *e, uint32_t count)
{
	bct_node_t *n = ctx;

	for (uint32_t i = 0; i < count; i++)
		bct_core_cache_event(n->core, &e[i]);
	bct_peer_polled_events(bct_node_peer(n->peer), e, count);
}

static int start_poller(bct_node_t *n)
{
	bct_poller_opts_t opts = {
		.core = n->core,
		.interval_ms = n->opts.settings->upstream_report_ms,
		.ctx = n,
	};

	if (n->peer) {
		opts.due = engines_due;
		opts.on_report = on_report_polled;
		opts.on_cache_events = on_events_polled;
	}
	return bct_poller_new(&opts, &n->poller);
}

static int start_placement(bct_node_t *n)
{
	bct_node_placement_opts_t opts = {
		.settings = n->opts.settings,
		.core = n->core,
		.platform = n->platform,
		.log = n->opts.log,
		.incarnation = n->incarnation,
	};

	return bct_node_placement_new(&opts, &n->placement);
}

static void local_entry(bct_node_t *n, bct_entry_list_t *out)
{
	const bct_settings_t *s = n->opts.settings;
	bct_entry_t *e = &out->entries[0];

	if (bct_addr_parse(s->caller_address, bct_node_caller_port(n), &e->addr))
		return;
	snprintf(e->failure_domain, sizeof(e->failure_domain), "%s", s->vm_failure_domain);
	snprintf(e->region, sizeof(e->region), "%s", s->vm_region);
	e->incarnation = n->incarnation;
	out->n = 1;
}

/* A draining node is not listed. Callers that get an empty list query another node. */
static void list_entries(void *ctx, const char *domain, bct_entry_list_t *out)
{
	bct_node_t *n = ctx;

	if (!all_started(n))
		return;
	if (n->peer)
		bct_peer_entry_list(bct_node_peer(n->peer), domain, out);
	else if (!draining(n))
		local_entry(n, out);
}

static int listen_failed(bct_node_t *n, int rc, const char *address, uint32_t port)
{
	BCT_LOG(n->opts.log, BCT_EV_LISTEN_FAILED, BCT_STR("address", address),
		BCT_U64("port", port), BCT_ERR("error", rc));
	return rc;
}

static int start_http(bct_node_t *n)
{
	const bct_settings_t *s = n->opts.settings;
	bct_front_opts_t opts = {
		.settings = s,
		.core = n->core,
		.entries = list_entries,
		.entries_ctx = n,
	};
	int rc = bct_front_new(&opts, &n->front);

	if (rc)
		return listen_failed(n, rc, s->caller_address, s->caller_port);
	rc = bct_admin_new(n, &n->admin);
	if (rc)
		return listen_failed(n, rc, s->admin_address, s->admin_port);
	return 0;
}

/* HTTP starts before the peers because the node advertises its caller and admin ports to them. */
static int start_parts(bct_node_t *n)
{
	int rc = make_platform(n);

	if (!rc)
		rc = start_core(n);
	if (!rc)
		rc = start_http(n);
	if (!rc)
		rc = start_peer(n);
	if (!rc)
		rc = start_keys(n);
	if (!rc)
		rc = start_config(n);
	if (!rc)
		rc = start_poller(n);
	if (!rc)
		rc = start_placement(n);
	if (!rc)
		set_flag(&n->all_started);
	return rc;
}

int bct_node_new(const bct_node_opts_t *opts, bct_node_t **out)
{
	bct_node_t *n = bct_alloc(sizeof(*n));
	int rc;

	if (!n)
		return -BCT_ENOMEM;
	n->opts = *opts;
	n->incarnation = bct_random_id();
	n->started_wall = bct_clock_wall();
	rc = start_parts(n);
	if (rc) {
		bct_node_free(n);
		return rc;
	}
	BCT_LOG(opts->log, BCT_EV_NODE_START, BCT_HEX("incarnation", n->incarnation),
		BCT_U64("caller_port", bct_node_caller_port(n)),
		BCT_U64("admin_port", bct_node_admin_port(n)),
		BCT_U64("peer_port", bct_node_peer_port(n)));
	*out = n;
	return 0;
}

int bct_node_reload(bct_node_t *n, const bct_settings_t *s)
{
	int rc = n->peer ? bct_node_peer_set_seeds(n->peer, s) : 0;

	if (!rc)
		bct_log_set_level(n->opts.log, (bct_level_t)bct_level_parse(s->log_level));
	return rc;
}

void bct_node_drain(bct_node_t *n)
{
	if (ck_pr_fas_32(&n->drain_requested, 1))
		return;
	n->entries_expire_at = bct_clock_now() + n->opts.settings->caller_entry_lifetime_ms;
	set_flag(&n->draining);
	if (n->peer)
		bct_peer_set_leaving(bct_node_peer(n->peer));
	bct_node_placement_leave(n->placement);
	BCT_LOG(n->opts.log, BCT_EV_NODE_STOPPING,
		BCT_U64("lifetime_ms", n->opts.settings->caller_entry_lifetime_ms),
		BCT_U64("in_flight", bct_core_in_flight(n->core)));
}

/*
 * Whether no key entry waits to be written. A log outage must not hold up a planned stop for ever:
 * after keys.flush_ms the node stops anyway, and the keys stay in doubt.
 */
static bool keys_flushed(bct_node_t *n, bct_time_t now)
{
	uint32_t limit = n->opts.settings->keys_flush_ms;

	if (bct_keys_idle(bct_node_keys(n->keys)))
		return true;
	if (now - n->idle_since < (bct_time_t)limit)
		return false;
	BCT_LOG(n->opts.log, BCT_EV_KEYS_UNWRITTEN, BCT_U64("waited_ms", limit));
	return true;
}

bool bct_node_drained(bct_node_t *n)
{
	bct_time_t now = bct_clock_now();

	if (!draining(n) || now < n->entries_expire_at)
		return false;
	bct_front_quiesce(n->front);
	if (bct_core_in_flight(n->core) || bct_front_serving(n->front)) {
		n->idle_since = 0;
		return false;
	}
	if (!n->idle_since)
		n->idle_since = now;
	return now - n->idle_since >= DRAIN_IDLE_MS && keys_flushed(n, now);
}

/* Parts that call others are freed first. The core's workers stop before the keys they use. */
void bct_node_free(bct_node_t *n)
{
	if (!n)
		return;
	ck_pr_store_32(&n->all_started, 0);
	bct_admin_free(n->admin);
	bct_node_placement_free(n->placement);
	bct_poller_free(n->poller);
	bct_node_peer_stop(n->peer);
	if (n->core)
		bct_core_refuse_all(n->core, BCT_REFUSE_STOPPING);
	bct_front_free(n->front);
	bct_node_config_free(n->config);
	if (n->core)
		bct_core_stop(n->core);
	bct_node_keys_free(n->keys);
	bct_node_peer_free(n->peer);
	bct_core_free(n->core);
	bct_platform_free(n->platform);
	bct_free(n);
}

bool bct_node_ready(bct_node_t *n)
{
	bct_conf_t *conf = bct_core_conf(n->core);
	bool ready = conf && conf->revision && all_started(n) && !draining(n);

	bct_conf_unref(conf);
	return ready;
}

bool bct_node_keys_ready(bct_node_t *n)
{
	return all_started(n) && bct_keys_ready(bct_node_keys(n->keys));
}

uint16_t bct_node_caller_port(const bct_node_t *n)
{
	return n->front ? bct_front_port(n->front) : 0;
}

uint16_t bct_node_admin_port(const bct_node_t *n)
{
	return n->admin ? bct_admin_port(n->admin) : 0;
}

uint16_t bct_node_peer_port(const bct_node_t *n)
{
	return n->peer ? bct_peer_port(bct_node_peer(n->peer)) : 0;
}

bct_core_t *bct_node_core(bct_node_t *n)
{
	return n->core;
}

const bct_settings_t *bct_node_settings(const bct_node_t *n)
{
	return n->opts.settings;
}

int bct_node_upstream_set_leaving(bct_node_t *n, const char *name, bool leaving)
{
	bct_conf_t *conf = bct_core_conf(n->core);
	uint64_t key = bct_hash_str(name);
	bool known = conf && bct_conf_upstream(conf, key);

	bct_conf_unref(conf);
	if (!known)
		return -BCT_ENOT_FOUND;
	bct_core_leaving(n->core, key, leaving);
	BCT_LOG(n->opts.log, BCT_EV_UPSTREAM_LEAVING, BCT_STR("upstream", name),
		BCT_U64("leaving", leaving));
	return 0;
}

json_t *bct_node_key_show(bct_node_t *n, const char *account, const char *key)
{
	if (!all_started(n))
		return NULL;
	return bct_keys_show(bct_node_keys(n->keys), bct_hash_str(account), key);
}

int bct_node_key_resolve(bct_node_t *n, const char *account, const char *key, bool ran, bool force,
			 const char *author)
{
	int rc = -BCT_ESTATE;

	if (all_started(n))
		rc = bct_keys_resolve(bct_node_keys(n->keys), bct_hash_str(account), key, ran,
				      force, author);
	if (!rc)
		BCT_LOG(n->opts.log, BCT_EV_KEY_RESOLVED, BCT_STR("account", account),
			BCT_STR("key", key), BCT_U64("ran", ran), BCT_U64("forced", force),
			BCT_STR("author", author));
	return rc;
}

json_t *bct_node_status(bct_node_t *n)
{
	const bct_settings_t *s = n->opts.settings;
	char incarnation[17];

	if (!all_started(n))
		return json_pack("{s:s, s:s}", "vm", s->vm_name, "state", "starting");
	snprintf(incarnation, sizeof(incarnation), "%016" PRIx64, n->incarnation);
	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:I, s:o, s:o, s:o, s:o, s:o, s:o}", "vm",
			 s->vm_name, "failure_domain", s->vm_failure_domain, "region", s->vm_region,
			 "incarnation", incarnation, "state", draining(n) ? "leaving" : "serving",
			 "in_flight", (int)bct_core_in_flight(n->core), "started_ms",
			 (json_int_t)n->started_wall, "config", bct_node_config_status(n->config),
			 "classes", bct_stats_classes(bct_core_stats(n->core), bct_clock_now()),
			 "engines", bct_poller_status(n->poller), "keys",
			 bct_keys_status(bct_node_keys(n->keys)), "placement",
			 bct_node_placement_status(n->placement), "members",
			 n->peer ? bct_node_peer_status(n->peer) : json_array());
}

int bct_node_metrics(bct_node_t *n, bct_buf_t *out)
{
	bct_buf_printf(out, "# TYPE bct_in_flight gauge\nbct_in_flight %u\n",
		       bct_core_in_flight(n->core));
	if (all_started(n) && n->peer)
		bct_peer_counters_print(bct_node_peer(n->peer), out);
	if (all_started(n))
		bct_config_store_metrics(bct_node_config_store(n->config), out);
	return bct_stats_print(bct_core_stats(n->core), out);
}
