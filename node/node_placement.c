/*
 * node_placement.c - a thread that fetches the engines' states, plans, and sends orders while this
 * node holds the lease.
 *
 * Engines that check the fencing token refuse the orders of an earlier holder. For those that do
 * not, a new holder first waits until no order of the earlier holder can still be in flight, and
 * reads the log to its end just before each order. All orders are absolute target states.
 */
#define _GNU_SOURCE
#include "node/node_placement.h"
#include "base/err.h"
#include "base/json.h"
#include "base/mem.h"
#include "http/curl_lines.h"
#include "policy/placement.h"

#include <ck_pr.h>
#include <curl/curl.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STATE_TIMEOUT_MS 1000L
#define MAX_ANSWER_BYTES 65536
#define ORDERS_PER_ROUND 2 /* the weight store is rate-limited */
#define TICK_MS 100
#define LEASE_NAME "placement"
#define HTTP_OK 200
#define HTTP_CONFLICT 409

struct bct_node_placement {
	bct_node_placement_opts_t opts;
	bct_lease_service_t *lease;
	uint32_t stop;	  /* atomic */
	uint32_t leaving; /* atomic; set for a planned stop */
	pthread_t thread;
	bool started;
	CURL *easy; /* used by the thread only */
	bct_counter_t sent;
	bct_counter_t failed;
};

/* One HTTP call to an engine. */
typedef struct call {
	bct_node_placement_t *p;
	bct_buf_t answer;
	bool is_order;
} call_t;

static size_t on_body(char *bytes, size_t size, size_t n, void *ctx)
{
	call_t *c = ctx;

	return bct_buf_put(&c->answer, bytes, size * n) ? 0 : size * n;
}

/* Reads the lease into st. returns whether this node holds it now */
static bool is_holder(bct_node_placement_t *p, bct_lease_state_t *st)
{
	bct_lease_service_state(p->lease, st);
	return st->valid;
}

/*
 * Called just before the first byte is sent. Aborts an order if the lease is no longer valid, as
 * when this process was resumed after suspension.
 */
static int on_connected(void *ctx, char *primary, char *local, int primary_port, int local_port)
{
	call_t *c = ctx;
	bct_lease_state_t st;

	(void)primary;
	(void)local;
	(void)primary_port;
	(void)local_port;
	if (c->is_order && !is_holder(c->p, &st))
		return CURL_PREREQFUNC_ABORT;
	return CURL_PREREQFUNC_OK;
}

/*
 * Sends an order, or fetches the engine's state if body is NULL. returns the HTTP status, or
 * -BCT_EUNAVAILABLE
 */
static int call_engine(call_t *c, const bct_upstream_conf_t *u, const char *body, long timeout_ms)
{
	bool v6 = strchr(u->address, ':') != NULL;
	CURL *e = c->p->easy;
	long status = 0;
	char url[256];
	bct_answer_lines_t lines;
	CURLcode rc;

	snprintf(url, sizeof(url), "http://%s%s%s:%u/engine/v1/orders", v6 ? "[" : "", u->address,
		 v6 ? "]" : "", u->port);
	curl_easy_reset(e);
	curl_easy_setopt(e, CURLOPT_URL, url);
	bct_curl_check_lines(e, &lines);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_connected);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, c);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	if (body) {
		/* On a reused connection libcurl may repeat a request by itself. */
		curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(e, CURLOPT_POSTFIELDS, body);
	}
	rc = bct_curl_result(curl_easy_perform(e), &lines);
	curl_easy_getinfo(e, CURLINFO_RESPONSE_CODE, &status);
	return rc == CURLE_OK ? (int)status : -BCT_EUNAVAILABLE;
}

static void parse_models(json_t *list, bct_placement_state_t *out)
{
	json_t *name;
	size_t i;

	json_array_foreach(list, i, name)
	{
		if (out->n_models < BCT_MODELS_PER_UPSTREAM && json_is_string(name))
			out->model_keys[out->n_models++] = bct_hash_str(json_string_value(name));
	}
}

/* Fetches an engine's state. An engine that never received an order has an empty target. */
static void fetch_state(bct_node_placement_t *p, const bct_upstream_conf_t *u,
			bct_placement_state_t *out)
{
	call_t c = { .p = p };
	bct_json_err_t err;
	const char *role;
	json_t *doc, *target;

	memset(out, 0, sizeof(*out));
	out->upstream_key = u->key;
	bct_buf_init(&c.answer, MAX_ANSWER_BYTES);
	if (call_engine(&c, u, NULL, STATE_TIMEOUT_MS) == HTTP_OK && c.answer.data) {
		doc = bct_json_parse_strict(c.answer.data, c.answer.len_bytes, &err);
		target = json_object_get(doc, "target");
		role = json_string_value(json_object_get(target, "role"));
		out->known = doc != NULL;
		out->drains = role && !strcmp(role, "drain");
		parse_models(json_object_get(target, "models"), out);
		json_decref(doc);
	}
	bct_buf_free(&c.answer);
}

/* returns the JSON text of an order, for free(3); NULL without memory */
static char *order_body(const bct_conf_t *conf, const bct_placement_order_t *o, uint64_t token)
{
	json_t *models = json_array();
	char id[17];
	json_t *doc;
	char *text;

	for (uint32_t i = 0; models && i < o->upstream->n_models; i++) {
		const bct_model_conf_t *m = bct_conf_model(conf, o->upstream->model_keys[i]);

		if (m)
			json_array_append_new(models, json_string(m->name));
	}
	snprintf(id, sizeof(id), "%016" PRIx64, bct_hash_mix(conf->revision, o->upstream->key));
	doc = json_pack("{s:I, s:s, s:{s:o, s:[], s:s}}", "fence", (json_int_t)token, "order", id,
			"target", "models", models, "adapters", "role",
			o->drain ? "drain" : "serve");
	text = doc ? json_dumps(doc, JSON_COMPACT) : NULL;
	json_decref(doc);
	return text;
}

/*
 * Looks up the weights of an upstream's models. The weight store is rate-limited: an order whose
 * look-up is refused is not sent in this round.
 */
static int check_weights(bct_node_placement_t *p, const bct_conf_t *conf,
			 const bct_upstream_conf_t *u)
{
	uint64_t size;
	int rc = 0;

	for (uint32_t i = 0; i < u->n_models && !rc; i++) {
		const bct_model_conf_t *m = bct_conf_model(conf, u->model_keys[i]);

		if (m)
			rc = bct_platform_weight(p->opts.platform, m->name,
						 p->opts.settings->platform_timeout_ms, &size);
	}
	return rc;
}

/*
 * Replaces the fencing token for an engine that does not check it. returns 0; -BCT_ESTATE while an
 * order of an earlier holder may be in flight; or the error of bct_lease_service_confirm(3)
 */
static int check_unfenced(bct_node_placement_t *p, const bct_conf_t *conf,
			  const bct_lease_state_t *st)
{
	if (bct_clock_now() - st->acquired_at < (bct_time_t)conf->timeouts.order_ms)
		return -BCT_ESTATE;
	return bct_lease_service_confirm(p->lease);
}

static int send_order(bct_node_placement_t *p, const bct_conf_t *conf,
		      const bct_placement_order_t *o, const bct_lease_state_t *st)
{
	call_t c = { .p = p, .is_order = true };
	char *body = order_body(conf, o, st->token);
	int rc = body ? 0 : -BCT_ENOMEM;

	bct_buf_init(&c.answer, MAX_ANSWER_BYTES);
	if (!rc)
		rc = call_engine(&c, o->upstream, body, (long)conf->timeouts.order_ms);
	if (rc == HTTP_OK)
		rc = 0;
	else if (rc == HTTP_CONFLICT)
		rc = -BCT_EFENCED;
	else if (rc > 0)
		rc = -BCT_EUNAVAILABLE;
	bct_buf_free(&c.answer);
	free(body);
	return rc;
}

static void issue_order(bct_node_placement_t *p, const bct_conf_t *conf,
			const bct_placement_order_t *o)
{
	bct_lease_state_t st;
	int rc;

	if (!is_holder(p, &st))
		return;
	rc = check_weights(p, conf, o->upstream);
	if (!rc && !o->upstream->checks_fencing)
		rc = check_unfenced(p, conf, &st);
	/* An engine that does not check fencing has to wait for a later round. */
	if (rc == -BCT_ESTATE)
		return;
	if (!rc)
		rc = send_order(p, conf, o, &st);
	bct_counter_inc(rc ? &p->failed : &p->sent);
	BCT_LOG(p->opts.log, rc ? BCT_EV_ORDER_FAILED : BCT_EV_ORDER_SENT,
		BCT_STR("upstream", o->upstream->name), BCT_U64("token", st.token),
		BCT_STR("role", o->drain ? "drain" : "serve"), BCT_ERR("error", rc));
}

static uint32_t fetch_states(bct_node_placement_t *p, const bct_conf_t *conf,
			     bct_placement_state_t *states)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < conf->n_upstreams && !ck_pr_load_32(&p->stop); i++) {
		if (conf->upstreams[i].kind == BCT_UPSTREAM_ENGINE)
			fetch_state(p, &conf->upstreams[i], &states[n++]);
	}
	return n;
}

/* One round: fetches the states of all engines, plans, and sends the planned orders. */
static void reconcile(bct_node_placement_t *p)
{
	bct_placement_opts_t opts = { .max_orders = ORDERS_PER_ROUND };
	bct_placement_order_t orders[ORDERS_PER_ROUND];
	bct_conf_t *conf = bct_core_conf(p->opts.core);
	bct_placement_state_t *states;
	uint32_t n;

	if (!conf)
		return;
	states = bct_alloc(sizeof(*states) * (conf->n_upstreams + 1));
	if (states) {
		n = fetch_states(p, conf, states);
		n = bct_placement_plan(&opts, conf, states, n, orders);
		for (uint32_t i = 0; i < n; i++)
			issue_order(p, conf, &orders[i]);
	}
	bct_free(states);
	bct_conf_unref(conf);
}

static void *placement_main(void *arg)
{
	bct_node_placement_t *p = arg;
	bct_time_t next = 0;

	while (!ck_pr_load_32(&p->stop)) {
		bct_lease_state_t st;

		if (bct_clock_now() >= next && !ck_pr_load_32(&p->leaving) && is_holder(p, &st)) {
			reconcile(p);
			next = bct_clock_now() + p->opts.settings->placement_interval_ms;
		}
		bct_clock_sleep(TICK_MS);
	}
	return NULL;
}

static int start(bct_node_placement_t *p)
{
	const bct_settings_t *s = p->opts.settings;
	bct_lease_service_opts_t opts = {
		.platform = p->opts.platform,
		.log = p->opts.log,
		.poll_ms = s->platform_poll_ms,
		.timeout_ms = s->platform_timeout_ms,
		.lease = {
			.name = LEASE_NAME,
			.incarnation = p->opts.incarnation,
			.ttl_ms = s->placement_lease_ms,
			.renew_ms = s->placement_lease_ms / 3,
			.margin_ms = s->placement_lease_ms / 5,
			/* Spreads the claims of nodes that start at the same time. */
			.delay_ms = (uint32_t)(p->opts.incarnation % (s->placement_lease_ms / 5 + 1)),
		},
	};
	int rc = bct_lease_service_new(&opts, &p->lease);

	if (rc)
		return rc;
	p->easy = curl_easy_init();
	if (!p->easy || pthread_create(&p->thread, NULL, placement_main, p))
		return -BCT_ENOMEM;
	p->started = true;
	return 0;
}

int bct_node_placement_new(const bct_node_placement_opts_t *opts, bct_node_placement_t **out)
{
	bct_node_placement_t *p = bct_alloc(sizeof(*p));
	int rc;

	if (!p)
		return -BCT_ENOMEM;
	p->opts = *opts;
	rc = start(p);
	if (rc) {
		bct_node_placement_free(p);
		return rc;
	}
	*out = p;
	return 0;
}

void bct_node_placement_free(bct_node_placement_t *p)
{
	if (!p)
		return;
	ck_pr_store_32(&p->stop, 1);
	if (p->started)
		pthread_join(p->thread, NULL);
	bct_lease_service_free(p->lease);
	if (p->easy)
		curl_easy_cleanup(p->easy);
	bct_free(p);
}

void bct_node_placement_leave(bct_node_placement_t *p)
{
	ck_pr_store_32(&p->leaving, 1);
	bct_lease_service_want(p->lease, false);
}

json_t *bct_node_placement_status(bct_node_placement_t *p)
{
	bct_lease_state_t st;
	char holder[17];

	bct_lease_service_state(p->lease, &st);
	snprintf(holder, sizeof(holder), "%016" PRIx64, st.holder);
	return json_pack("{s:b, s:s, s:I, s:I, s:I}", "holds_lease", (int)st.valid, "holder",
			 st.held ? holder : "", "token", (json_int_t)st.token, "orders_sent",
			 (json_int_t)bct_counter_get(&p->sent), "orders_failed",
			 (json_int_t)bct_counter_get(&p->failed));
}
