/*
 * util_node.c - test node, stub upstreams and raw HTTP; see util_node.h.
 */
#include "tests/util_node.h"
#include "base/clock.h"
#include "base/err.h"
#include "base/hash.h"

#include <arpa/inet.h>
#include <ck_pr.h>
#include <criterion/criterion.h>
#include <curl/curl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define STUB_POLL_MS 20
#define STUB_LINE_MS 5000 /* limit for a request line; a connection without one is counted */
#define STUB_SLOTS 4
#define OWN_SLOTS 400 /* of an upstream of the test's own */
#define NODE_POLL "GET /engine/v1/"

/* Whether a connection is the node's own poll of an engine, not a caller's request. */
static bool is_node_poll(int fd)
{
	bct_time_t end = bct_clock_now() + STUB_LINE_MS;
	const size_t prefix_len = strlen(NODE_POLL);
	char line[sizeof(NODE_POLL)];
	size_t have = 0;

	while (have < prefix_len && bct_clock_now() < end) {
		struct pollfd p = { .fd = fd, .events = POLLIN };
		ssize_t n;

		if (poll(&p, 1, STUB_POLL_MS) <= 0)
			continue;
		n = recv(fd, line + have, prefix_len - have, 0);
		if (n <= 0)
			return false;
		have += (size_t)n;
	}
	return have == prefix_len && !memcmp(line, NODE_POLL, prefix_len);
}

static void *stub_main(void *arg)
{
	stub_t *s = arg;

	while (!ck_pr_load_32(&s->stop)) {
		struct pollfd p = { .fd = s->fd, .events = POLLIN };
		int fd;

		if (poll(&p, 1, STUB_POLL_MS) <= 0)
			continue;
		ck_pr_store_32(&s->classifying, 1);
		fd = accept(s->fd, NULL, NULL);
		if (fd >= 0) {
			if (!is_node_poll(fd))
				ck_pr_inc_32(&s->connections);
			close(fd);
		}
		ck_pr_fence_memory();
		ck_pr_store_32(&s->classifying, 0);
	}
	return NULL;
}

static void stub_start(stub_t *s)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	socklen_t len = sizeof(addr);

	memset(s, 0, sizeof(*s));
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s->fd = socket(AF_INET, SOCK_STREAM, 0);
	cr_assert_eq(bind(s->fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	cr_assert_eq(listen(s->fd, 16), 0);
	cr_assert_eq(getsockname(s->fd, (struct sockaddr *)&addr, &len), 0);
	s->port = ntohs(addr.sin_port);
	cr_assert_eq(pthread_create(&s->thread, NULL, stub_main, s), 0);
}

static void stub_stop(stub_t *s)
{
	ck_pr_store_32(&s->stop, 1);
	pthread_join(s->thread, NULL);
	close(s->fd);
}

static void fill_settings(test_node_t *t, const char *extra)
{
	bct_json_err_t err;
	char text[2048];
	json_t *doc;
	int len;

	len = snprintf(text, sizeof(text),
		       "{\"vm\": {\"name\": \"t1\", \"failure_domain\": \"a\", \"region\": \"r\"},"
		       "\"caller\": {\"address\": \"127.0.0.1\", \"port\": 0%s},"
		       "\"admin\": {\"port\": 0}, \"peer\": {\"port\": 0},"
		       "\"upstream\": {\"report_ms\": 60000},"
		       "\"platform\": {\"poll_ms\": 20, \"config_file\": \"%s\"}}",
		       extra, t->conf_path);
	doc = bct_json_parse(text, (size_t)len, sizeof(text), &err);
	cr_assert_not_null(doc);
	cr_assert_eq(
		bct_settings_fill(bct_settings_table, BCT_SETTINGS_COUNT, doc, &t->settings, &err),
		0, "%s: %s", err.path, err.detail);
	json_decref(doc);
}

/* Writes a configuration file with the two stubs and one client account. */
static void write_conf(test_node_t *t, uint32_t slots)
{
	char hash[2 * BCT_DIGEST_BYTES + 1];
	bct_digest_t d;
	FILE *f;
	int fd;

	bct_digest(TEST_TOKEN, strlen(TEST_TOKEN), &d);
	sodium_bin2hex(hash, sizeof(hash), d.bytes, sizeof(d.bytes));
	snprintf(t->conf_path, sizeof(t->conf_path), "/tmp/bct-test-XXXXXX");
	fd = mkstemp(t->conf_path);
	cr_assert_geq(fd, 0);
	f = fdopen(fd, "w");
	fprintf(f,
		"{\"models\": {\"m\": {\"context_tokens\": 8192}}, \"upstreams\": {"
		"\"e1\": {\"kind\": \"engine\", \"models\": [\"m\"], \"address\": \"127.0.0.1\","
		"\"port\": %u, \"failure_domain\": \"a\", \"region\": \"r\", \"slots\": %u,"
		"\"kv_tokens\": 65536},"
		"\"s1\": {\"kind\": \"service\", \"service\": \"booking\", \"address\":"
		"\"127.0.0.1\", \"port\": %u, \"failure_domain\": \"a\", \"region\": \"r\","
		"\"slots\": %u}},"
		"\"contracts\": {\"claims\": {\"token_hashes\": [\"%s\"], \"limits\": "
		"{\"requests_per_s\": 1000, \"tokens_per_s\": 100000, \"concurrent\": 1000},"
		"\"classes\": {\"draft\": {\"model\": \"m\", \"tier\": 1, \"ttft_ms\": 1000,"
		"\"itl_ms\": 100, \"max_output_tokens\": 100},"
		"\"book\": {\"service\": \"booking\", \"tier\": 1, \"ttft_ms\": 1000,"
		"\"repeatable\": false}}}}}",
		t->engine.port, slots, t->service.port, slots, hash);
	fclose(f);
}

void test_node_start(test_node_t *t, const char *extra)
{
	test_node_start_at(t, extra, 0, 0);
}

void test_node_start_at(test_node_t *t, const char *extra, uint16_t engine_port,
			uint16_t service_port)
{
	bct_node_opts_t opts = { .settings = &t->settings };
	int rc;

	signal(SIGPIPE, SIG_IGN);
	cr_assert_geq(sodium_init(), 0);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	memset(t, 0, sizeof(*t));
	bct_log_new(&(bct_log_opts_t){ .level = BCT_LEVEL_ERROR }, &t->log);
	opts.log = t->log;
	stub_start(&t->engine);
	stub_start(&t->service);
	if (engine_port)
		t->engine.port = engine_port;
	if (service_port)
		t->service.port = service_port;
	write_conf(t, engine_port || service_port ? OWN_SLOTS : STUB_SLOTS);
	fill_settings(t, extra);
	rc = bct_node_new(&opts, &t->node);
	cr_assert_eq(rc, 0, "%s", bct_err_name(rc));
}

void test_node_stop(test_node_t *t)
{
	bct_node_free(t->node);
	bct_log_free(t->log);
	stub_stop(&t->engine);
	stub_stop(&t->service);
	unlink(t->conf_path);
}

uint32_t test_upstream_connections(test_node_t *t)
{
	while (ck_pr_load_32(&t->engine.classifying) || ck_pr_load_32(&t->service.classifying))
		usleep(1000);
	return ck_pr_load_32(&t->engine.connections) + ck_pr_load_32(&t->service.connections);
}

int test_connect(uint16_t port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd >= 0 && connect(fd, (struct sockaddr *)&addr, sizeof(addr))) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Whether the answer's body has as many bytes as its Content-Length states. */
static bool is_complete(const bct_buf_t *b)
{
	const char *end = b->data ? strstr(b->data, "\r\n\r\n") : NULL;
	const char *length = b->data ? strstr(b->data, "Content-Length: ") : NULL;

	if (!end || !length || length > end)
		return false;
	return b->len_bytes - (size_t)(end + 4 - b->data) >=
	       strtoul(length + strlen("Content-Length: "), NULL, 10);
}

void test_exchange(uint16_t port, const void *bytes, size_t len_bytes, int timeout_ms,
		   bct_buf_t *out)
{
	bct_time_t end = bct_clock_now() + timeout_ms;
	int fd = test_connect(port);
	char chunk[4096];
	ssize_t n = 1;

	bct_buf_init(out, 0);
	cr_assert_geq(fd, 0);
	if (send(fd, bytes, len_bytes, MSG_NOSIGNAL) < 0)
		len_bytes = 0;
	while (n > 0 && !is_complete(out) && bct_clock_now() < end) {
		struct pollfd p = { .fd = fd, .events = POLLIN };

		if (poll(&p, 1, STUB_POLL_MS) <= 0)
			continue;
		n = recv(fd, chunk, sizeof(chunk), 0);
		if (n > 0)
			bct_buf_put(out, chunk, (size_t)n);
	}
	close(fd);
}

int test_status(const bct_buf_t *answer)
{
	if (!answer->data || strncmp(answer->data, "HTTP/1.1 ", 9))
		return 0;
	return atoi(answer->data + 9);
}
