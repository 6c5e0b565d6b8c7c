/*
 * test_gate_slow.c - callers and upstreams that read slowly or not at all: what the node buffers
 * for them stays bounded, and nobody else notices. util_gate.h lists the scripted actions.
 */
#include "base/clock.h"
#include "gate/gate_int.h"
#include "gate/memory.h"
#include "tests/util_gate.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALLERS 24
#define BODY_BYTES (4 * 1024 * 1024) /* largest allowed */
#define MEMORY_BYTES 5000000U
#define BOUND_BYTES (MEMORY_BYTES * 4 / 10)
#define RCVBUF_BYTES 4096
#define WAIT_MS 5000

static test_gate_t t;

/* Replaces each occurrence of a string. */
static void replace(char *text, size_t size, const char *from, const char *to)
{
	char rest[8192];

	for (char *at = text; (at = strstr(at, from)) != NULL; at += strlen(to)) {
		snprintf(rest, sizeof(rest), "%s", at + strlen(from));
		snprintf(at, size - (size_t)(at - text), "%s%s", to, rest);
	}
}

/* Starts with large bodies, and routes whose time limits none of the tests reaches. */
static void start(uint32_t memory_bytes)
{
	char config[8192];

	test_gate_start_bounded(&t, memory_bytes);
	snprintf(config, sizeof(config), "%s", test_gate_config(2, "model"));
	replace(config, sizeof(config), "\"max_body_bytes\":4096", "\"max_body_bytes\":4194304");
	replace(config, sizeof(config), "\"header_timeout_ms\":400", "\"header_timeout_ms\":1500");
	replace(config, sizeof(config), "\"timeout_ms\":1000", "\"timeout_ms\":30000");
	replace(config, sizeof(config), "\"timeout_ms\":2500", "\"timeout_ms\":30000");
	test_gate_publish(&t, config);
}

/* Opens a connection with a small receive buffer and sends the head of a request. */
static int open_call(const char *path, const char *id, const char *script, size_t body_bytes)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(18000) };
	int fd = socket(AF_INET, SOCK_STREAM, 0), size = RCVBUF_BYTES;
	char text[512];
	int n = snprintf(text, sizeof(text),
			 "POST %s HTTP/1.1\r\nHost: h.example\r\nApi-Key: k1\r\n"
			 "X-Buckthornchute-Request-Attempt-Id: %s\r\nX-Script: %s\r\n"
			 "Content-Length: %zu\r\n\r\n",
			 path, id, script, body_bytes);

	inet_pton(AF_INET, t.ip, &sa.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	cr_assert_eq(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	cr_assert_eq(send(fd, text, (size_t)n, MSG_NOSIGNAL), n);
	return fd;
}

/* Reads what comes within ms. Returns 1 when the connection ended, -1 when it was reset, else 0. */
static int read_for(int fd, uint32_t ms, bct_buf_t *out)
{
	bct_time_t end = bct_clock_now() + ms;
	char buf[65536];

	for (;;) {
		struct pollfd p = { .fd = fd, .events = POLLIN };
		bct_time_t left = end - bct_clock_now();
		ssize_t n;

		if (left <= 0 || poll(&p, 1, (int)left) <= 0)
			return 0;
		n = recv(fd, buf, sizeof(buf), 0);
		if (n <= 0)
			return n ? -1 : 1;
		bct_buf_put(out, buf, (size_t)n);
	}
}

static uint64_t held_bytes(void)
{
	bct_buf_t out;
	const char *at;
	uint64_t n;

	bct_buf_init(&out, 0);
	bct_memory_print(t.gate, &out);
	at = out.data ? strstr(out.data, "\nbct_gate_held_bytes ") : NULL;
	n = at ? strtoull(at + strlen("\nbct_gate_held_bytes "), NULL, 10) : 0;
	bct_buf_free(&out);
	return n;
}

static bool wait_until_held(uint64_t from, uint64_t to)
{
	for (bct_time_t end = bct_clock_now() + WAIT_MS; bct_clock_now() < end;) {
		uint64_t held = held_bytes();

		if (held >= from && held <= to)
			return true;
		bct_clock_sleep(5);
	}
	return false;
}

/* Opens streams that nobody reads, at once. Returns the most bytes that were held meanwhile. */
static uint64_t open_unread(int *fds, int n, const char *script)
{
	uint64_t most = 0;

	for (int i = 0; i < n; i++) {
		char id[32];

		snprintf(id, sizeof(id), "unread-%d", i);
		fds[i] = open_call("/stream/a", id, script, 0);
	}
	for (int i = 0; i < n * 50; i++) {
		uint64_t held = held_bytes();

		most = held > most ? held : most;
		bct_clock_sleep(1);
	}
	return most;
}

/*
 * All callers of an upstream stop reading. What is held stays within the bound, the responses that
 * are cut end visibly early, and when the callers are gone the node serves as before.
 */
Test(gate_slow, all_callers_stop_reading)
{
	int fds[CALLERS];
	uint32_t reset = 0;
	uint64_t most;
	bct_buf_t out;

	start(MEMORY_BYTES);
	most = open_unread(fds, CALLERS, "streamflood");
	cr_expect_gt(most, BOUND_BYTES / 2);
	cr_expect_leq(most, BOUND_BYTES);
	cr_expect_gt(bct_counter_get(&t.gate->counters.values[BCT_GATE_UNREAD_CUT]), 0);
	for (int i = 0; i < CALLERS; i++) {
		bct_buf_init(&out, 0);
		reset += read_for(fds[i], 1, &out) < 0;
		cr_expect(!out.data || !strstr(out.data, "\r\n0\r\n\r\n"), "%d", i);
		bct_buf_free(&out);
		close(fds[i]);
	}
	cr_expect_eq(reset, bct_counter_get(&t.gate->counters.values[BCT_GATE_UNREAD_CUT]));
	cr_expect(wait_until_held(0, 0), "%lu bytes held by nobody", held_bytes());
	cr_expect_eq(test_gate_call(&t, "POST", "/stream/a", "after", "stream", &out), 200);
	bct_buf_free(&out);
	test_gate_stop(&t);
}

/* Fills the buffers until a step is reached. Returns the number of connections. */
static int fill_to(int *fds, uint32_t permille)
{
	int n = 0;

	while (n < CALLERS && held_bytes() < (uint64_t)BOUND_BYTES * permille / 1000) {
		open_unread(&fds[n], 1, "streamflood");
		n++;
	}
	cr_assert_lt(n, CALLERS);
	return n;
}

/* A body that there is no room for waits, and goes on when callers have read on or left. */
Test(gate_slow, a_body_waits_for_room)
{
	static char body[200000];
	int fds[CALLERS], n, fd;
	bct_buf_t out;

	start(MEMORY_BYTES);
	n = fill_to(fds, BCT_GATE_MEMORY_WAIT_PERMILLE);
	memset(body, 'b', sizeof(body));
	fd = open_call("/unsafe/a", "waits", "ok", sizeof(body));
	cr_assert_gt(send(fd, body, 1000, MSG_NOSIGNAL), 0);
	bct_clock_sleep(300);
	cr_expect_eq(bct_counter_get(&t.gate->counters.values[BCT_GATE_BODIES_WAITED]), 1);
	cr_expect_eq(test_gate_runs(&t, "waits"), 0);
	for (int i = 0; i < n; i++)
		close(fds[i]);
	cr_assert_eq(send(fd, body, sizeof(body) - 1000, MSG_NOSIGNAL), sizeof(body) - 1000);
	bct_buf_init(&out, 0);
	read_for(fd, 1000, &out);
	cr_expect_eq(strncmp(out.data, "HTTP/1.1 200", 12), 0, "%s", out.data);
	cr_expect_eq(test_gate_runs(&t, "waits"), 1);
	bct_buf_free(&out);
	close(fd);
	test_gate_stop(&t);
}

/* One that waits for too long is refused, as are new requests at the next step; none of them runs.
 */
Test(gate_slow, requests_are_refused_without_room)
{
	int fds[CALLERS], n, fd;
	bct_buf_t out;

	start(MEMORY_BYTES);
	n = fill_to(fds, BCT_GATE_MEMORY_WAIT_PERMILLE);
	fd = open_call("/unsafe/a", "late", "ok", 100000);
	bct_buf_init(&out, 0);
	cr_expect_eq(read_for(fd, 2500, &out), 1, "a refused connection is closed");
	cr_expect_eq(strncmp(out.data, "HTTP/1.1 503", 12), 0, "%s", out.data);
	cr_expect(strstr(out.data, "Retry-After: 0."));
	bct_buf_free(&out);
	close(fd);
	n += fill_to(&fds[n], BCT_GATE_MEMORY_REFUSE_PERMILLE);
	cr_expect_eq(test_gate_call(&t, "POST", "/unsafe/a", "late", "ok", &out), 503);
	cr_expect(strstr(out.data, "Retry-After: 0."));
	bct_buf_free(&out);
	cr_expect_eq(test_gate_runs(&t, "late"), 0);
	cr_expect_eq(bct_counter_get(&t.gate->counters.ends[BCT_GATE_END_MEMORY]), 2);
	for (int i = 0; i < n; i++)
		close(fds[i]);
	cr_expect(wait_until_held(0, 0));
	cr_expect_eq(test_gate_call(&t, "POST", "/unsafe/a", "late", "ok", &out), 200);
	bct_buf_free(&out);
	test_gate_stop(&t);
}
