/*
 * util_gate.c - fixture for gateway tests. The gateway has a thread of its own; the upstreams are
 * in util_upstream.c.
 */
#define _GNU_SOURCE
#include "tests/util_gate.h"
#include "tests/util_upstream.h"
#include "base/clock.h"
#include "base/err.h"
#include "base/mem.h"
#include "gate/gate_int.h"
#include "platform/adapter.h"
#include "platform/decode.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD "X-Buckthornchute-"
#define READY_MS 5000 /* for a gateway to start, and for each response */
#define JOIN_MS 15000 /* for all gateways of a fleet to know each other */
#define CALLER_PORT 18000U
#define PEER_PORT 18001U
#define SHARE_PORT 18002U
#define BORN_MS 1000U  /* of the first run of each upstream */
#define LISTED_MAX 64  /* entries of the registry */
#define NET_HOSTS 250U /* values used of an address octet */

typedef struct memory_registry {
	bct_registry_t base;
	test_gate_t *t;	     /* whose configuration and upstreams it lists */
	test_gate_t *reader; /* the gateway that reads it */
} memory_registry_t;

const char *test_gate_config(uint64_t version, const char *safe_service)
{
	static __thread char text[8192];

	snprintf(text, sizeof(text),
		 "{\"version\":%llu,\"routes\":["
		 "{\"name\":\"safe\",\"host\":\"h.example\",\"path_prefix\":\"/safe/\","
		 "\"kind\":\"safe\",\"timeout_ms\":1500,\"target_latency_ms\":200,\"priority\":2,"
		 "\"service\":\"%s\",\"attempts\":2},"
		 "{\"name\":\"unsafe\",\"host\":\"h.example\",\"path_prefix\":\"/unsafe/\","
		 "\"kind\":\"unsafe\",\"timeout_ms\":1000,\"target_latency_ms\":200,"
		 "\"priority\":2,\"service\":\"desk\",\"attempts\":1},"
		 "{\"name\":\"stream\",\"host\":\"h.example\",\"path_prefix\":\"/stream/\","
		 "\"kind\":\"stream\",\"timeout_ms\":2500,\"target_latency_ms\":300,"
		 "\"priority\":0,\"service\":\"model\",\"attempts\":1,\"target_gap_ms\":250},"
		 "{\"name\":\"resume\",\"host\":\"h.example\",\"path_prefix\":\"/resume/\","
		 "\"kind\":\"stream\",\"timeout_ms\":2500,\"target_latency_ms\":300,"
		 "\"priority\":1,\"service\":\"model\",\"attempts\":2,\"target_gap_ms\":100,"
		 "\"stream_resumption\":true}],"
		 "\"services\":[{\"name\":\"desk\"},{\"name\":\"model\",\"engine\":{\"slots\":64,"
		 "\"kv_cache_tokens\":230682,\"kv_token_bytes\":163840,\"link_mbps\":1100000.0}}],"
		 "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":4096,"
		 "\"header_timeout_ms\":400,\"idle_timeout_ms\":2000},"
		 "\"tenants\":[{\"name\":\"acme\",\"api_keys\":[\"k1\"]}]}",
		 (unsigned long long)version, safe_service);
	return text;
}

static void add_entry(bct_registry_batch_t *b, const gate_upstream_t *u, const char *state,
		      const char *more)
{
	bct_registry_change_t *c = &b->changes[b->n++];
	char text[512];
	int n = snprintf(text, sizeof(text),
			 "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z\","
			 "\"version\":\"%s\",\"slots\":64,\"state\":\"%s\","
			 "\"cold_remaining_ms\":0,\"sequence\":%u,\"born\":%u%s}",
			 u->service, u->port, u->software, state, 1 + u->writes,
			 BORN_MS + u->starts, more);

	c->kind = BCT_REGISTRY_ENTRY;
	snprintf(c->name, sizeof(c->name), "%s", u->id);
	cr_assert_eq(bct_decode_entry(u->id, text, (size_t)n, &c->entry), 0);
}

/* Entries of another writer; some can't be decoded. */
static void add_odd(bct_registry_batch_t *b, const char *const *texts)
{
	for (uint32_t i = 0; texts && texts[i]; i++) {
		bct_registry_change_t *c = &b->changes[b->n++];

		c->kind = BCT_REGISTRY_ENTRY;
		snprintf(c->name, sizeof(c->name), "odd-%u", i);
		if (bct_decode_entry(c->name, texts[i], strlen(texts[i]), &c->entry))
			c->kind = BCT_REGISTRY_UNREADABLE;
	}
}

static const char *desk_more(const test_gate_t *t)
{
	if (!t->desk_spot)
		return "";
	return t->desk_drains ? ",\"spot\":true,\"leaves_ms\":1800" : ",\"spot\":true";
}

static int list(bct_registry_t *r, bct_registry_topic_t topic, uint32_t timeout_ms,
		bct_registry_batch_t *out)
{
	memory_registry_t *m = (memory_registry_t *)r;
	test_gate_t *t = m->t;
	int rc = 0;

	(void)timeout_ms;
	memset(out, 0, sizeof(*out));
	pthread_mutex_lock(&t->lock);
	while (topic == BCT_REGISTRY_ROUTES && t->routes_hang && !t->cancelled)
		pthread_cond_wait(&t->routes_resume, &t->lock);
	out->changes = bct_alloc(sizeof(*out->changes) * LISTED_MAX);
	if (m->reader->down) {
		rc = -BCT_EUNAVAILABLE;
	} else if (topic == BCT_REGISTRY_ROUTES) {
		out->n = 1;
		out->changes[0].kind = BCT_REGISTRY_TABLE;
		if (bct_decode_routes(t->config, strlen(t->config), &out->changes[0].table))
			out->changes[0].kind = BCT_REGISTRY_UNREADABLE;
	} else {
		for (uint32_t i = 0; i < GATE_UPSTREAMS; i++)
			add_entry(out, &t->engines[i], "ready", "");
		if (t->desk_listed)
			add_entry(out, &t->desk, t->desk_drains ? "draining" : "ready",
				  desk_more(t));
		add_odd(out, t->odd);
	}
	pthread_mutex_unlock(&t->lock);
	if (rc)
		bct_registry_batch_free(out);
	return rc;
}

/*
 * Reports that the change log has expired, so that each poll of the gateway is a full listing, or
 * that there are more changes than the answer holds.
 */
static int changes(bct_registry_t *r, bct_registry_topic_t topic, uint64_t from,
		   uint32_t timeout_ms, bct_registry_batch_t *out)
{
	test_gate_t *t = ((memory_registry_t *)r)->reader;

	(void)from;
	(void)timeout_ms;
	memset(out, 0, sizeof(*out));
	pthread_mutex_lock(&t->lock);
	out->more = t->behind;
	if (t->behind && topic == BCT_REGISTRY_UPSTREAMS && !t->behind_at)
		t->behind_at = bct_clock_now();
	pthread_mutex_unlock(&t->lock);
	return out->more ? 0 : -BCT_EEXPIRED;
}

static int decode_routes(bct_registry_t *r, const char *text, size_t len_bytes,
			 bct_gate_routes_t **out)
{
	(void)r;
	return bct_decode_routes(text, len_bytes, out);
}

static void destroy(bct_registry_t *r)
{
	bct_free(r);
}

static void cancel(bct_registry_t *r)
{
	test_gate_t *t = ((memory_registry_t *)r)->t;

	pthread_mutex_lock(&t->lock);
	t->cancelled = true;
	pthread_cond_broadcast(&t->routes_resume);
	pthread_mutex_unlock(&t->lock);
}

static const bct_registry_ops_t registry_ops = {
	.cancel = cancel,
	.destroy = destroy,
	.list = list,
	.changes = changes,
	.decode_routes = decode_routes,
};

static bool with_usage; /* of the gateways that are started next */

static void control_destroy(bct_control_t *c)
{
	(void)c;
}

static void control_cancel(bct_control_t *c)
{
	(void)c;
}

static int control_read(bct_control_t *c, uint32_t timeout_ms, bct_buf_t *record,
			bct_gate_position_t *position, bct_gate_position_t *end)
{
	(void)c;
	(void)timeout_ms;
	(void)record;
	(void)position;
	(void)end;
	return -BCT_EUNAVAILABLE;
}

/* A store that can't be reached: there is no holder of the duties, so nothing else is called. */
static const bct_control_ops_t control_ops = {
	.destroy = control_destroy,
	.cancel = control_cancel,
	.read = control_read,
};
static bct_control_t control = { .ops = &control_ops };

void test_gate_set_usage(void)
{
	with_usage = true;
}

static void *run_gate(void *arg)
{
	test_gate_t *t = arg;

	bct_gate_run(t->gate);
	return NULL;
}

/*
 * Forms a loopback address from the process id and i, so that tests can run in parallel. As the
 * ports are outside the ephemeral range, no other process can take the gateway's port before it
 * listens.
 */
static void process_address(char *out, size_t size, uint32_t i)
{
	uint32_t pid = (uint32_t)getpid();

	snprintf(out, size, "127.%u.%u.%u", (uint8_t)(1 + pid / NET_HOSTS % NET_HOSTS),
		 (uint8_t)(1 + pid % NET_HOSTS), (uint8_t)(i + 1));
}

static void fill_settings(test_gate_t *t, uint32_t i)
{
	bct_settings_t *s = &t->settings;

	process_address(t->ip, sizeof(t->ip), i);
	snprintf(s->vm_name, sizeof(s->vm_name), "test");
	snprintf(s->vm_failure_domain, sizeof(s->vm_failure_domain), "z");
	snprintf(s->gate_listen, sizeof(s->gate_listen), "%s:%u", t->ip, CALLER_PORT);
	s->caller_entry_lifetime_ms = 100;
	s->platform_timeout_ms = 2000;
	s->platform_poll_ms = 20;
	s->gate_grace_ms = 4000;
	s->gate_budget_window_ms = 10000;
	s->gate_budget_ratio_permille = 150;
	s->gate_budget_allowance = 40;
	s->gate_prefill_tokens_per_s = 30000;
	s->gate_step_us = 8000;
}

static void start_upstreams(test_gate_t *t)
{
	char id[16];

	for (int i = 0; i < GATE_UPSTREAMS; i++) {
		snprintf(id, sizeof(id), "e-%d", i);
		test_upstream_start(t, &t->engines[i], id, "model");
	}
	test_upstream_start(t, &t->desk, "d-0", "desk");
}

/* Starts only the gateway. content: the fixture whose registry and upstreams it uses. */
static void start_gate(test_gate_t *t, test_gate_t *content)
{
	memory_registry_t *r = bct_alloc(sizeof(*r));
	bct_gate_opts_t o = { .settings = &t->settings,
			      .wire = bct_adapter_wire(),
			      .control = t->control };

	if (with_usage) {
		o.control = &control;
		snprintf(t->settings.duty_kinds[0], sizeof(t->settings.duty_kinds[0]), "usage");
		t->settings.n_duty_kinds = 1;
		t->settings.duty_window_ms = 5000;
		t->settings.duty_lease_ms = 3000;
		t->settings.duty_calls_per_s = 50;
	}
	r->base.ops = &registry_ops;
	r->t = content;
	r->reader = t;
	o.registry = &r->base;
	cr_assert_eq(bct_gate_new(&o, &t->gate), 0);
	cr_assert_eq(pthread_create(&t->thread, NULL, run_gate, t), 0);
}

static void init(test_gate_t *t, uint32_t i)
{
	memset(t, 0, sizeof(*t));
	signal(SIGPIPE, SIG_IGN);
	pthread_mutex_init(&t->lock, NULL);
	pthread_cond_init(&t->routes_resume, NULL);
	t->desk_listed = true;
	snprintf(t->config, sizeof(t->config), "%s", test_gate_config(1, "model"));
	fill_settings(t, i);
}

static void start(test_gate_t *t, bool down, uint32_t memory_bytes, const char *const *odd)
{
	init(t, 0);
	t->odd = odd;
	t->down = down;
	t->settings.gate_memory_bytes = memory_bytes;
	start_upstreams(t);
	start_gate(t, t);
}

static void fill_peer(test_gate_t *t, uint32_t i)
{
	bct_settings_t *s = &t->settings;
	char first[sizeof(t->ip)];

	process_address(first, sizeof(first), 0);
	snprintf(s->vm_name, sizeof(s->vm_name), "test-%u", i);
	snprintf(s->peer_address, sizeof(s->peer_address), "%s", t->ip);
	snprintf(s->caller_address, sizeof(s->caller_address), "%s", t->ip);
	snprintf(s->peer_secret, sizeof(s->peer_secret), "a secret of the test");
	snprintf(s->peer_seeds[0], sizeof(s->peer_seeds[0]), "%s:%u", first, PEER_PORT);
	s->n_peer_seeds = 1;
	s->peer_port = PEER_PORT;
	s->gate_share_port = SHARE_PORT;
	s->gate_relay_port = TEST_GATE_RELAY_PORT;
	snprintf(s->admin_address, sizeof(s->admin_address), "%s", t->ip);
	s->admin_port = TEST_GATE_ADMIN_PORT;
}

void test_gate_start_down(test_gate_t *t)
{
	start(t, true, 0, NULL);
}

/* Sends requests until an upstream has answered one: the configuration is loaded then. */
static void wait_until_ready(test_gate_t *t)
{
	for (bct_time_t end = bct_clock_now() + READY_MS; bct_clock_now() < end;) {
		bct_buf_t out;
		int status = test_gate_call(t, "GET", "/safe/ready", "ready", "ok", &out);

		bct_buf_free(&out);
		if (status == 200)
			return;
		bct_clock_sleep(10);
	}
	cr_assert_fail("the gateway did not serve a request within READY_MS");
}

void test_gate_start(test_gate_t *t)
{
	test_gate_start_bounded(t, 0);
}

void test_gate_start_odd(test_gate_t *t, const char *const *entries)
{
	start(t, false, 0, entries);
	wait_until_ready(t);
}

void test_gate_start_bounded(test_gate_t *t, uint32_t memory_bytes)
{
	start(t, false, memory_bytes, NULL);
	wait_until_ready(t);
}

void test_gate_start_duty(test_gate_t *t, uint32_t i, bct_control_t *duties, bool usage)
{
	bct_settings_t *s = &t->settings;

	init(t, i);
	t->control = duties;
	s->duty_lease_ms = 3000;
	s->duty_window_ms = 1000;
	s->duty_calls_per_s = 50;
	s->n_duty_kinds = usage ? 2 : 1;
	snprintf(s->duty_kinds[0], sizeof(s->duty_kinds[0]), "scaling");
	snprintf(s->duty_kinds[1], sizeof(s->duty_kinds[1]), "usage");
	start_upstreams(t);
	start_gate(t, t);
	wait_until_ready(t);
}

void test_gate_start_fleet(test_gate_t *t, uint32_t n)
{
	init(&t[0], 0);
	start_upstreams(&t[0]);
	for (uint32_t i = 0; i < n; i++) {
		if (i)
			init(&t[i], i);
		fill_peer(&t[i], i);
		start_gate(&t[i], &t[0]);
	}
	for (uint32_t i = 0; i < n; i++)
		wait_until_ready(&t[i]);
}

void test_gate_wait_joined(test_gate_t *t, uint32_t n)
{
	bct_time_t end = bct_clock_now() + JOIN_MS;
	uint32_t ready = 0;

	while (ready < n && bct_clock_now() < end) {
		ready = 0;
		for (uint32_t i = 0; i < n; i++)
			ready += t[i].gate->nodes == n;
		bct_clock_sleep(50);
	}
	cr_assert_eq(ready, n, "%u of %u gateways see all others", ready, n);
	/* Long enough for the share protocol to refresh the members and run two rounds. */
	bct_clock_sleep(1500);
}

void test_gate_start_lone(test_gate_t *t, uint32_t i)
{
	init(&t[i], i);
	t[i].down = true;
	fill_peer(&t[i], i);
	start_gate(&t[i], &t[0]);
}

static void join_fleet(test_gate_t *t, uint32_t i, bool down)
{
	init(&t[i], i);
	t[i].down = down;
	fill_peer(&t[i], i);
	start_gate(&t[i], &t[0]);
	wait_until_ready(&t[i]);
}

void test_gate_join_fleet(test_gate_t *t, uint32_t i)
{
	join_fleet(t, i, false);
}

void test_gate_join_fleet_down(test_gate_t *t, uint32_t i)
{
	join_fleet(t, i, true);
}

/* returns the number of those that had ended */
static uint32_t restart(test_gate_t *t, gate_upstream_t *list, uint32_t n)
{
	uint32_t ended = 0;

	for (uint32_t i = 0; i < n; i++) {
		bool dead;

		pthread_mutex_lock(&t->lock);
		dead = list[i].dead;
		pthread_mutex_unlock(&t->lock);
		if (!dead)
			continue;
		test_upstream_restart(&list[i]);
		ended++;
	}
	/* Long enough for ten polls of the registry. */
	bct_clock_sleep(300);
	return ended;
}

uint32_t test_gate_restart_engines(test_gate_t *t)
{
	return restart(t, t->engines, GATE_UPSTREAMS);
}

uint32_t test_gate_restart_desk(test_gate_t *t)
{
	return restart(t, &t->desk, 1);
}

void test_gate_set_software(test_gate_t *t, const char *const *versions, uint32_t n)
{
	pthread_mutex_lock(&t->lock);
	for (uint32_t i = 0; i < n; i++) {
		t->engines[i].software = versions[i];
		t->engines[i].writes++;
	}
	pthread_mutex_unlock(&t->lock);
	/* Long enough for ten polls of the registry. */
	bct_clock_sleep(300);
}

void test_gate_publish(test_gate_t *t, const char *config)
{
	pthread_mutex_lock(&t->lock);
	snprintf(t->config, sizeof(t->config), "%s", config);
	pthread_mutex_unlock(&t->lock);
	/* Long enough for ten polls of the registry. */
	bct_clock_sleep(300);
}

void test_gate_stop(test_gate_t *t)
{
	kill(getpid(), SIGTERM);
	pthread_join(t->thread, NULL);
	bct_gate_free(t->gate);
}

static void raw_at(const test_gate_t *t, uint16_t port, const char *bytes, size_t len,
		   uint32_t wait_ms, bct_buf_t *out)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(port) };
	bct_time_t end = bct_clock_now() + wait_ms;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char buf[4096];
	ssize_t n;

	bct_buf_init(out, 0);
	inet_pton(AF_INET, t->ip, &sa.sin_addr);
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0)
		send(fd, bytes, len, MSG_NOSIGNAL);
	for (;;) {
		struct pollfd p = { .fd = fd, .events = POLLIN };
		bct_time_t remaining_ms = end - bct_clock_now();

		if (remaining_ms <= 0 || poll(&p, 1, (int)remaining_ms) <= 0)
			break;
		n = recv(fd, buf, sizeof(buf), 0);
		if (n <= 0)
			break;
		bct_buf_put(out, buf, (size_t)n);
	}
	if (!out->data)
		bct_buf_puts(out, "");
	close(fd);
}

void test_gate_raw(test_gate_t *t, const char *bytes, size_t len, uint32_t wait_ms, bct_buf_t *out)
{
	raw_at(t, CALLER_PORT, bytes, len, wait_ms, out);
}

void test_gate_at(test_gate_t *t, uint16_t port, const char *bytes, uint32_t wait_ms,
		  bct_buf_t *out)
{
	raw_at(t, port, bytes, strlen(bytes), wait_ms, out);
}

void test_gate_admin(test_gate_t *t, const char *bytes, uint32_t wait_ms, bct_buf_t *out)
{
	raw_at(t, TEST_GATE_ADMIN_PORT, bytes, strlen(bytes), wait_ms, out);
}

static int call(test_gate_t *t, const char *method, const char *path, const char *call_id,
		const char *headers, bct_buf_t *out)
{
	bool post = !strcmp(method, "POST");
	char text[1024];
	int n = snprintf(text, sizeof(text),
			 "%s %s HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
			 "Api-Key: k1\r\n" HEAD "Request-Attempt-Id: %s\r\n" HEAD
			 "Deadline-Milliseconds: 3000\r\n%s\r\n%s\r\n%s",
			 method, path, call_id, headers, post ? "Content-Length: 5\r\n" : "",
			 post ? "hello" : "");

	test_gate_raw(t, text, (size_t)n, READY_MS, out);
	return strncmp(out->data, "HTTP/1.1 ", 9) ? 0 : atoi(out->data + 9);
}

int test_gate_call(test_gate_t *t, const char *method, const char *path, const char *call_id,
		   const char *script, bct_buf_t *out)
{
	char headers[256];

	snprintf(headers, sizeof(headers), "X-Script: %s", script);
	return call(t, method, path, call_id, headers, out);
}

int test_gate_prompt(test_gate_t *t, const char *path, const char *call_id, const char *script,
		     const char *parts, bct_buf_t *out)
{
	char headers[512];

	snprintf(headers, sizeof(headers),
		 "X-Script: %s\r\n" HEAD "Token-Counts: 400,50\r\n" HEAD "Prompt-Prefix: %s",
		 script, parts);
	return call(t, "POST", path, call_id, headers, out);
}

int test_gate_take_up(test_gate_t *t, const char *path, const char *call_id, const char *script,
		      const char *resumes, uint32_t after_event, bct_buf_t *out)
{
	char headers[512];

	snprintf(headers, sizeof(headers), "X-Script: %s\r\n%s%s%sLast-Event-Id: %u", script,
		 resumes ? "Resumes: " : "", resumes ? resumes : "", resumes ? "\r\n" : "",
		 after_event);
	return call(t, "POST", path, call_id, headers, out);
}

uint32_t test_gate_runs(test_gate_t *t, const char *call_id)
{
	uint32_t n = 0;

	pthread_mutex_lock(&t->lock);
	for (uint32_t i = 0; i < t->n_runs; i++)
		n += !strcmp(t->runs[i].call_id, call_id);
	pthread_mutex_unlock(&t->lock);
	return n;
}

const gate_run_t *test_gate_run(test_gate_t *t, const char *call_id, uint32_t which)
{
	for (uint32_t i = 0; i < t->n_runs; i++) {
		if (!strcmp(t->runs[i].call_id, call_id) && !which--)
			return &t->runs[i];
	}
	return NULL;
}
