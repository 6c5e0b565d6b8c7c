/*
 * node.c - start, planned stop, status.
 */
#include "node/node.h"
#include "base/err.h"
#include "base/mem.h"
#include "base/rng.h"
#include "node/admin.h"
#include "node/core.h"
#include "node/front.h"
#include "node/node_config.h"
#include "node/poller.h"

#include <ck_pr.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Callers' connections that stay silent are closed by their own time limit. */
#define DRAIN_SETTLE_MS 100

struct bct_node {
	bct_node_opts_t opts;
	uint64_t incarnation;
	bct_time_t started_wall;
	bct_core_t *core;
	bct_front_t *front;
	bct_admin_t *admin;
	bct_poller_t *poller;
	bct_node_config_t *config;
	uint32_t draining;
	bct_time_t drain_until; /* addresses handed out before are valid until then */
	bct_time_t settled_since;
};

static int start_core(bct_node_t *n)
{
	bct_core_opts_t opts = {
		.settings = n->opts.settings,
		.incarnation = n->incarnation,
		.log = n->opts.log,
	};

	return bct_core_new(&opts, &n->core);
}

static int start_poller(bct_node_t *n)
{
	bct_poller_opts_t opts = {
		.core = n->core,
		.interval_ms = n->opts.settings->upstream_report_ms,
	};

	return bct_poller_new(&opts, &n->poller);
}

static int start_config(bct_node_t *n)
{
	bct_node_config_opts_t opts = {
		.settings = n->opts.settings,
		.log = n->opts.log,
		.core = n->core,
	};

	return bct_node_config_new(&opts, &n->config);
}

/* A node that is stopping is on no list; an empty list tells callers to ask another node. */
static uint32_t list_entries(void *ctx, const char *domain, bct_entry_address_t *out, uint32_t max)
{
	bct_node_t *n = ctx;
	const bct_settings_t *s = n->opts.settings;

	(void)domain;
	if (!max || ck_pr_load_32(&n->draining))
		return 0;
	snprintf(out[0].address, sizeof(out[0].address), "%s", s->caller_address);
	snprintf(out[0].failure_domain, sizeof(out[0].failure_domain), "%s", s->vm_failure_domain);
	out[0].port = bct_node_caller_port(n);
	return 1;
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

int bct_node_new(const bct_node_opts_t *opts, bct_node_t **out)
{
	bct_node_t *n = bct_alloc(sizeof(*n));
	int rc;

	if (!n)
		return -BCT_ENOMEM;
	n->opts = *opts;
	n->incarnation = bct_random_id();
	n->started_wall = bct_clock_wall();
	rc = start_core(n);
	if (!rc)
		rc = start_config(n);
	if (!rc)
		rc = start_poller(n);
	if (!rc)
		rc = start_http(n);
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

void bct_node_drain(bct_node_t *n)
{
	if (ck_pr_fas_32(&n->draining, 1))
		return;
	n->drain_until = bct_clock_now() + n->opts.settings->caller_entry_lifetime_ms;
	BCT_LOG(n->opts.log, BCT_EV_NODE_STOPPING,
		BCT_U64("lifetime_ms", n->opts.settings->caller_entry_lifetime_ms),
		BCT_U64("in_flight", bct_core_in_flight(n->core)));
}

bool bct_node_drained(bct_node_t *n)
{
	bct_time_t now = bct_clock_now();

	if (!ck_pr_load_32(&n->draining) || now < n->drain_until)
		return false;
	bct_front_quiesce(n->front);
	if (bct_core_in_flight(n->core) || bct_front_open(n->front)) {
		n->settled_since = 0;
		return false;
	}
	/* A request may still sit in a connection that was accepted just before. */
	if (!n->settled_since)
		n->settled_since = now;
	return now - n->settled_since >= DRAIN_SETTLE_MS;
}

void bct_node_free(bct_node_t *n)
{
	if (!n)
		return;
	bct_admin_free(n->admin);
	bct_poller_free(n->poller);
	bct_node_config_free(n->config);
	if (n->core)
		bct_core_refuse_all(n->core, BCT_REFUSE_STOPPING);
	bct_front_free(n->front);
	if (n->core)
		bct_core_stop(n->core);
	bct_core_free(n->core);
	bct_free(n);
}

bool bct_node_ready(bct_node_t *n)
{
	bct_conf_t *conf = bct_core_conf(n->core);
	bool ready = conf && !ck_pr_load_32(&n->draining);

	bct_conf_unref(conf);
	return ready;
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
	(void)n;
	return 0;
}

bct_core_t *bct_node_core(bct_node_t *n)
{
	return n->core;
}

const bct_settings_t *bct_node_settings(const bct_node_t *n)
{
	return n->opts.settings;
}

int bct_node_upstream_leave(bct_node_t *n, const char *name, bool leaving)
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

static json_t *config_json(bct_node_t *n)
{
	bct_conf_t *conf = bct_core_conf(n->core);
	json_t *doc;

	if (!conf)
		return json_pack("{s:n, s:n}", "revision", "since_ms");
	doc = json_pack("{s:I, s:I}", "revision", (json_int_t)conf->revision, "since_ms",
			(json_int_t)bct_core_conf_since(n->core));
	bct_conf_unref(conf);
	return doc;
}

json_t *bct_node_status(bct_node_t *n)
{
	const bct_settings_t *s = n->opts.settings;
	char incarnation[17];

	snprintf(incarnation, sizeof(incarnation), "%016" PRIx64, n->incarnation);
	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:I, s:o, s:o, s:o}", "vm", s->vm_name,
			 "failure_domain", s->vm_failure_domain, "region", s->vm_region,
			 "incarnation", incarnation, "state",
			 ck_pr_load_32(&n->draining) ? "leaving" : "serving", "in_flight",
			 (int)bct_core_in_flight(n->core), "started_ms",
			 (json_int_t)n->started_wall, "config", config_json(n), "classes",
			 bct_stats_classes(bct_core_stats(n->core), bct_clock_now()), "engines",
			 bct_poller_status(n->poller));
}

int bct_node_metrics(bct_node_t *n, bct_buf_t *out)
{
	bct_buf_printf(out, "# TYPE bct_in_flight gauge\nbct_in_flight %u\n",
		       bct_core_in_flight(n->core));
	return bct_stats_print(bct_core_stats(n->core), out);
}
