/*
 * poller.c - a thread that polls all due engines in parallel over reused connections. Each poll
 * fetches the load report and then the cache events.
 */
#define _GNU_SOURCE
#include "node/poller.h"
#include "base/err.h"
#include "base/mem.h"
#include "http/curl_lines.h"

#include <ck_pr.h>
#include <curl/curl.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define POLL_TIMEOUT_MS 1000L
#define MAX_ANSWER_BYTES (1 << 20)
#define EVENTS_PER_POLL 512
#define DUE_MAX 64
#define TICK_MS 100
#define ENGINE_EXPIRY_MS 10000 /* an engine not due for this long is polled by another node */

typedef struct engine {
	bct_list_t link;
	uint64_t key;
	char name[BCT_NAME_BYTES];
	char base_url[128];  /* http://ADDRESS:PORT */
	bool busy;	     /* a transfer is running */
	bool fetches_events; /* the running transfer fetches events, not the load */
	CURL *easy;
	bct_answer_lines_t lines; /* of the running transfer */
	bct_buf_t body;
	uint64_t next_event; /* sequence number to fetch events from */
	bct_time_t last_due; /* when the engine was last due */
	bct_time_t last_ok;  /* when a report was last received; 0: never */
	uint32_t consecutive_failures;
	bct_report_t report;
} engine_t;

struct bct_poller {
	bct_poller_opts_t opts;
	uint32_t stop; /* atomic */
	pthread_t thread;
	bool started;
	CURLM *multi;
	bct_time_t next_round; /* if all engines are polled */
	pthread_mutex_t lock;  /* leaf; guards the list and what bct_poller_status() reads */
	bct_list_t engines;
};

static size_t on_body(char *bytes, size_t size, size_t n, void *ctx)
{
	engine_t *e = ctx;

	return bct_buf_put(&e->body, bytes, size * n) ? 0 : size * n;
}

static engine_t *find(bct_poller_t *p, uint64_t key)
{
	bct_list_t *el;

	bct_list_for_each(el, &p->engines) {
		engine_t *e = bct_container_of(el, engine_t, link);

		if (e->key == key)
			return e;
	}
	return NULL;
}

static void set_base_url(engine_t *e, const bct_upstream_conf_t *u)
{
	bool v6 = strchr(u->address, ':') != NULL;

	snprintf(e->base_url, sizeof(e->base_url), "http://%s%s%s:%u", v6 ? "[" : "", u->address,
		 v6 ? "]" : "", u->port);
}

static engine_t *add(bct_poller_t *p, const bct_upstream_conf_t *u)
{
	engine_t *e = bct_alloc(sizeof(*e));

	if (!e)
		return NULL;
	e->easy = curl_easy_init();
	if (!e->easy) {
		bct_free(e);
		return NULL;
	}
	e->key = u->key;
	e->last_due = bct_clock_now();
	snprintf(e->name, sizeof(e->name), "%s", u->name);
	bct_buf_init(&e->body, MAX_ANSWER_BYTES);
	curl_easy_setopt(e->easy, CURLOPT_PRIVATE, (char *)e);
	curl_easy_setopt(e->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e->easy, CURLOPT_WRITEDATA, e);
	curl_easy_setopt(e->easy, CURLOPT_TIMEOUT_MS, POLL_TIMEOUT_MS);
	curl_easy_setopt(e->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e->easy, CURLOPT_PROXY, "");
	pthread_mutex_lock(&p->lock);
	bct_list_add_tail(&e->link, &p->engines);
	pthread_mutex_unlock(&p->lock);
	return e;
}

static void drop(bct_poller_t *p, engine_t *e)
{
	if (e->busy)
		curl_multi_remove_handle(p->multi, e->easy);
	pthread_mutex_lock(&p->lock);
	bct_list_del(&e->link);
	pthread_mutex_unlock(&p->lock);
	curl_easy_cleanup(e->easy);
	bct_buf_free(&e->body);
	bct_free(e);
}

/* Drops engines that were removed from the configuration or are now polled by other nodes. */
static void drop_unused(bct_poller_t *p, const bct_conf_t *conf)
{
	bct_time_t now = bct_clock_now();
	bct_list_t *el, *tmp;

	bct_list_for_each_safe(el, tmp, &p->engines) {
		engine_t *e = bct_container_of(el, engine_t, link);

		if (!bct_conf_upstream(conf, e->key) || now - e->last_due > ENGINE_EXPIRY_MS)
			drop(p, e);
	}
}

/* Starts a transfer that fetches the engine's cache events or its load report. */
static void start_fetch(bct_poller_t *p, engine_t *e, bool events)
{
	char url[256];

	if (events)
		snprintf(url, sizeof(url), "%s/engine/v1/events?from=%" PRIu64, e->base_url,
			 e->next_event);
	else
		snprintf(url, sizeof(url), "%s/engine/v1/load", e->base_url);
	bct_buf_clear(&e->body);
	e->fetches_events = events;
	curl_easy_setopt(e->easy, CURLOPT_URL, url);
	bct_curl_check_lines(e->easy, &e->lines);
	e->busy = curl_multi_add_handle(p->multi, e->easy) == CURLM_OK;
}

static void handle_report(bct_poller_t *p, engine_t *e)
{
	bct_report_t r;

	if (bct_report_parse(e->body.data ? e->body.data : "", e->body.len_bytes, &r)) {
		e->consecutive_failures++;
		return;
	}
	r.upstream_key = e->key;
	pthread_mutex_lock(&p->lock);
	/* A restarted engine numbers its events from the start again. */
	if (e->report.boot_id != r.boot_id)
		e->next_event = 0;
	e->report = r;
	e->last_ok = bct_clock_now();
	e->consecutive_failures = 0;
	pthread_mutex_unlock(&p->lock);
	if (p->opts.on_report)
		p->opts.on_report(p->opts.ctx, &r);
	else
		bct_core_report(p->opts.core, &r);
}

static void handle_events(bct_poller_t *p, engine_t *e)
{
	bct_cache_event_t ev[EVENTS_PER_POLL];
	uint64_t next = e->next_event;
	int n = bct_cache_events_parse(e->body.data ? e->body.data : "", e->body.len_bytes, ev,
				       EVENTS_PER_POLL, &next);

	for (int i = 0; i < n; i++)
		ev[i].upstream_key = e->key;
	if (n > 0 && p->opts.on_cache_events)
		p->opts.on_cache_events(p->opts.ctx, ev, (uint32_t)n);
	for (int i = 0; i < n && !p->opts.on_cache_events; i++)
		bct_core_cache_event(p->opts.core, &ev[i]);
	e->next_event = next;
}

static void handle_answer(bct_poller_t *p, engine_t *e, CURLcode code)
{
	long status = 0;
	bool events = e->fetches_events;

	curl_easy_getinfo(e->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_multi_remove_handle(p->multi, e->easy);
	e->busy = false;
	if (bct_curl_result(code, &e->lines) != CURLE_OK || status != 200) {
		e->consecutive_failures++;
		return;
	}
	if (events) {
		handle_events(p, e);
		return;
	}
	handle_report(p, e);
	start_fetch(p, e, true);
}

static void handle_answers(bct_poller_t *p)
{
	CURLMsg *msg;
	int remaining;

	while ((msg = curl_multi_info_read(p->multi, &remaining))) {
		engine_t *e = NULL;
		CURLcode code = msg->data.result;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, (char **)&e);
		handle_answer(p, e, code);
	}
}

static void poll_engine(bct_poller_t *p, const bct_upstream_conf_t *u)
{
	engine_t *e = find(p, u->key);

	if (!e)
		e = add(p, u);
	if (!e)
		return;
	e->last_due = bct_clock_now();
	if (e->busy)
		return;
	set_base_url(e, u);
	start_fetch(p, e, false);
}

static void poll_due(bct_poller_t *p, const bct_conf_t *conf)
{
	uint64_t keys[DUE_MAX];
	uint32_t n = p->opts.due(p->opts.ctx, keys, DUE_MAX);

	for (uint32_t i = 0; i < n; i++) {
		const bct_upstream_conf_t *u = bct_conf_upstream(conf, keys[i]);

		if (u)
			poll_engine(p, u);
	}
}

static void poll_all(bct_poller_t *p, const bct_conf_t *conf)
{
	bct_time_t now = bct_clock_now();

	if (now < p->next_round)
		return;
	p->next_round = now + p->opts.interval_ms;
	for (uint32_t i = 0; i < conf->n_upstreams; i++) {
		if (conf->upstreams[i].kind == BCT_UPSTREAM_ENGINE)
			poll_engine(p, &conf->upstreams[i]);
	}
}

static void poll_engines(bct_poller_t *p)
{
	bct_conf_t *conf = bct_core_conf(p->opts.core);

	if (!conf)
		return;
	drop_unused(p, conf);
	if (p->opts.due)
		poll_due(p, conf);
	else
		poll_all(p, conf);
	bct_conf_unref(conf);
}

static void *poller_main(void *arg)
{
	bct_poller_t *p = arg;
	int running;

	while (!ck_pr_load_32(&p->stop)) {
		poll_engines(p);
		curl_multi_perform(p->multi, &running);
		handle_answers(p);
		curl_multi_poll(p->multi, NULL, 0, TICK_MS, NULL);
	}
	return NULL;
}

int bct_poller_new(const bct_poller_opts_t *opts, bct_poller_t **out)
{
	bct_poller_t *p = bct_alloc(sizeof(*p));

	if (!p)
		return -BCT_ENOMEM;
	p->opts = *opts;
	bct_list_init(&p->engines);
	pthread_mutex_init(&p->lock, NULL);
	p->multi = curl_multi_init();
	if (!p->multi || pthread_create(&p->thread, NULL, poller_main, p)) {
		bct_poller_free(p);
		return -BCT_ENOMEM;
	}
	p->started = true;
	*out = p;
	return 0;
}

void bct_poller_free(bct_poller_t *p)
{
	bct_list_t *el, *tmp;

	if (!p)
		return;
	ck_pr_store_32(&p->stop, 1);
	if (p->started) {
		curl_multi_wakeup(p->multi);
		pthread_join(p->thread, NULL);
	}
	bct_list_for_each_safe(el, tmp, &p->engines)
		drop(p, bct_container_of(el, engine_t, link));
	if (p->multi)
		curl_multi_cleanup(p->multi);
	pthread_mutex_destroy(&p->lock);
	bct_free(p);
}

static json_t *engine_json(const engine_t *e, bct_time_t now)
{
	json_int_t age = e->last_ok ? (json_int_t)(now - e->last_ok) : -1;

	return json_pack("{s:s, s:I, s:i, s:i, s:i, s:i, s:b}", "name", e->name, "report_age_ms",
			 age, "failures", (int)e->consecutive_failures, "running",
			 (int)e->report.running, "waiting", (int)e->report.waiting, "tokens_per_s",
			 (int)e->report.tokens_per_s, "leaving", (int)e->report.leaving);
}

json_t *bct_poller_status(bct_poller_t *p)
{
	json_t *list = json_array();
	bct_time_t now = bct_clock_now();
	bct_list_t *el;

	pthread_mutex_lock(&p->lock);
	bct_list_for_each(el, &p->engines)
		json_array_append_new(list, engine_json(bct_container_of(el, engine_t, link), now));
	pthread_mutex_unlock(&p->lock);
	return list;
}
