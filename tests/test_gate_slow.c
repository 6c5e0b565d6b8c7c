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
#include <pthread.h>
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
#define UNREAD_BYTES (128 * 1024)
#define TO_WAIT 10   /* unread streams hold 655 to 740 permille of the bound */
#define TO_REFUSE 12 /* 786 to 890 permille */

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
	replace(config, sizeof(config), "\"header_timeout_ms\":400", "\"header_timeout_ms\":700");
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

/*
 * Opens n unread streams at once, and waits until each holds what it can: 128 to 148 KB, as reading
 * from its upstream stops after the first read beyond 128 KB.
 */
static void fill(int *fds, int n)
{
	open_unread(fds, n, "streamflood");
	cr_assert(wait_until_held((uint64_t)n * UNREAD_BYTES, BOUND_BYTES), "%lu bytes",
		  held_bytes());
}

/* A body that there is no room for waits, and goes on when callers have read on or left. */
Test(gate_slow, a_body_waits_for_room)
{
	static char body[200000];
	int fds[CALLERS], n = TO_WAIT, fd;
	bct_buf_t out;

	start(MEMORY_BYTES);
	fill(fds, n);
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

/* A body that waits for longer than its caller has to send it is refused, and does not run. */
Test(gate_slow, a_body_that_waits_for_long_is_refused)
{
	int fds[CALLERS], n = TO_WAIT, fd;
	bct_buf_t out;

	start(MEMORY_BYTES);
	fill(fds, n);
	fd = open_call("/unsafe/a", "late", "ok", 100000);
	bct_buf_init(&out, 0);
	cr_expect_eq(read_for(fd, 2500, &out), 1, "a refused connection is closed");
	cr_expect_eq(strncmp(out.data, "HTTP/1.1 503", 12), 0, "%s", out.data);
	cr_expect(strstr(out.data, "Retry-After: 0."));
	bct_buf_free(&out);
	cr_expect_eq(test_gate_runs(&t, "late"), 0);
	cr_expect_eq(bct_counter_get(&t.gate->counters.ends[BCT_GATE_END_MEMORY]), 1);
	for (int i = 0; i < n; i++)
		close(fds[i]);
	close(fd);
	test_gate_stop(&t);
}

/*
 * Without room new requests are refused and do not run. Callers that read nothing can't keep a node
 * in that state: a request that comes back is served soon.
 */
Test(gate_slow, requests_are_refused_without_room)
{
	int fds[CALLERS], n = TO_REFUSE, status;
	bct_time_t began;
	bct_buf_t out;

	start(MEMORY_BYTES);
	fill(fds, n);
	cr_expect_eq(test_gate_call(&t, "POST", "/unsafe/a", "late", "ok", &out), 503);
	cr_expect(strstr(out.data, "Retry-After: 0."));
	bct_buf_free(&out);
	cr_expect_eq(test_gate_runs(&t, "late"), 0);
	cr_expect_eq(bct_counter_get(&t.gate->counters.ends[BCT_GATE_END_MEMORY]), 1);
	cr_expect_eq(bct_counter_get(&t.gate->counters.values[BCT_GATE_UNREAD_CUT]), 0);
	for (began = bct_clock_now(), status = 0; status != 200;) {
		cr_assert_lt(bct_clock_now() - began, 2500);
		bct_clock_sleep(20);
		status = test_gate_call(&t, "POST", "/unsafe/a", "late", "ok", &out);
		bct_buf_free(&out);
	}
	cr_expect_lt(bct_counter_get(&t.gate->counters.values[BCT_GATE_UNREAD_CUT]), n / 2);
	for (int i = 0; i < n; i++)
		close(fds[i]);
	cr_expect(wait_until_held(0, 0));
	test_gate_stop(&t);
}

static void *call_endless(void *status)
{
	bct_buf_t out;

	*(int *)status = test_gate_call(&t, "POST", "/unsafe/a", "endless", "endlessbody", &out);
	bct_buf_free(&out);
	return NULL;
}

/* Responses that are kept until they are complete, and never are, stay within the bound, too; their
 * callers learn that the request may have run, or that it was refused as it came too late. */
Test(gate_slow, kept_responses_are_bounded)
{
	uint64_t most = 0, unknown = 0, refused = 0;
	pthread_t threads[4];
	int status[4];

	start(MEMORY_BYTES);
	for (int i = 0; i < 4; i++)
		pthread_create(&threads[i], NULL, call_endless, &status[i]);
	for (int i = 0; i < 500; i++) {
		uint64_t held = held_bytes();

		most = held > most ? held : most;
		bct_clock_sleep(1);
	}
	for (int i = 0; i < 4; i++) {
		pthread_join(threads[i], NULL);
		unknown += status[i] == 502;
		refused += status[i] == 503;
	}
	cr_expect_eq(unknown + refused, 4);
	cr_expect_gt(most, BOUND_BYTES / 2);
	cr_expect_leq(most, BOUND_BYTES);
	cr_expect_gt(unknown, 0);
	cr_expect_eq(bct_counter_get(&t.gate->counters.ends[BCT_GATE_END_UNREAD]), unknown);
	cr_expect_eq(bct_counter_get(&t.gate->counters.ends[BCT_GATE_END_MEMORY]), refused);
	cr_expect(wait_until_held(0, 0));
	test_gate_stop(&t);
}

/* Counters of attempts that failed for a reason that is the upstream's. */
static uint64_t upstream_faults(void)
{
	static const bct_gate_counter_t faults[] = { BCT_GATE_RETRY_CONNECT, BCT_GATE_RETRY_BROKEN,
						     BCT_GATE_RETRY_BAD, BCT_GATE_RETRY_SILENT };
	uint64_t n = 0;

	for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++)
		n += bct_counter_get(&t.gate->counters.values[faults[i]]);
	return n;
}

static void expect_sound_upstreams(void)
{
	bct_list_t *el;

	cr_expect_eq(upstream_faults(), 0);
	cr_expect_eq(t.gate->crashes.map.n, 0, "a crash is on record");
	bct_list_for_each(el, &t.gate->upstreams.all) {
		const bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);

		cr_expect_eq(u->fail_permille, 0, "%s counts as failing", u->entry.id);
	}
}

/*
 * Three upstreams cut the answer to one request that its caller does not read. None of them is
 * failing for that, and the request is not taken for one that crashes upstreams.
 */
Test(gate_slow, upstream_cuts_an_unread_answer)
{
	bct_buf_t out;

	start(0);
	for (int i = 0; i < 3; i++) {
		char id[32];
		int fd;

		snprintf(id, sizeof(id), "cut-%d", i);
		fd = open_call("/stream/a", id, "streamfloodcut", 0);
		bct_clock_sleep(1500);
		bct_buf_init(&out, 0);
		cr_expect_neq(read_for(fd, WAIT_MS, &out), 0, "it did not end");
		cr_expect(strstr(out.data, "\nid: 100 "));
		cr_expect_not(strstr(out.data, "\r\n0\r\n\r\n"), "it looks complete");
		bct_buf_free(&out);
		close(fd);
	}
	cr_expect_eq(bct_counter_get(&t.gate->counters.values[BCT_GATE_RETRY_UNREAD]), 3);
	cr_expect_eq(bct_counter_get(&t.gate->counters.ends[BCT_GATE_END_UNREAD]), 3);
	expect_sound_upstreams();
	cr_expect_eq(test_gate_call(&t, "POST", "/stream/a", "again", "stream", &out), 200);
	bct_buf_free(&out);
	test_gate_stop(&t);
}

/* A read of the answer to a stream that nothing delays; returns how long it took in ms. */
static bct_time_t time_of_stream(int i)
{
	bct_time_t began = bct_clock_now();
	bct_buf_t out;
	char id[32];

	snprintf(id, sizeof(id), "fast-%d", i);
	cr_expect_eq(test_gate_call(&t, "POST", "/resume/a", id, "stream", &out), 200);
	cr_expect(strstr(out.data, "\r\n0\r\n\r\n"));
	bct_buf_free(&out);
	return bct_clock_now() - began;
}

/*
 * Half of the callers read 1 KB/s. Their streams are sound: for longer than any TCP_USER_TIMEOUT
 * none is cut or sent to another upstream for silence, and streams of the others are not delayed.
 */
Test(gate_slow, half_of_the_callers_read_1_kb_per_s, .timeout = 60)
{
	bct_time_t end;
	int fds[CALLERS];
	bct_buf_t out;

	start(0);
	for (int i = 0; i < CALLERS; i++) {
		char id[32];

		snprintf(id, sizeof(id), "slow-%d", i);
		fds[i] = open_call("/resume/a", id, "streamflood", 0);
	}
	end = bct_clock_now() + 8000;
	for (int n = 0; bct_clock_now() < end; n++) {
		char kilobyte[1024];

		for (int i = 0; i < CALLERS; i++)
			cr_expect_eq(recv(fds[i], kilobyte, sizeof(kilobyte), 0), 1024, "%d", i);
		for (int i = 0; i < CALLERS; i++)
			cr_expect_lt(time_of_stream(n * CALLERS + i), 300);
		bct_clock_sleep(1000);
	}
	expect_sound_upstreams();
	for (int i = 0; i < CALLERS; i++) {
		char id[32];

		snprintf(id, sizeof(id), "slow-%d", i);
		cr_expect_eq(test_gate_runs(&t, id), 1, "%s", id);
	}
	/* One that reads on at full speed gets all of its answer. */
	bct_buf_init(&out, 0);
	for (int i = 0; i < 5 && !(out.data && strstr(out.data, "\r\n0\r\n\r\n")); i++)
		cr_assert_eq(read_for(fds[0], 1000, &out), 0);
	cr_expect(strstr(out.data, "\r\n0\r\n\r\n"));
	bct_buf_free(&out);
	for (int i = 0; i < CALLERS; i++)
		close(fds[i]);
	test_gate_stop(&t);
}

/* The largest body, to an upstream that begins to read it after longer than the TCP_USER_TIMEOUT:
 * it is slow, neither failing nor out of reach. */
Test(gate_slow, largest_body_to_a_slow_upstream, .timeout = 60)
{
	static char body[BODY_BYTES];
	size_t sent = 0;
	bct_buf_t out;
	int fd;

	memset(body, 'b', sizeof(body));
	start(30000000);
	fd = open_call("/unsafe/a", "large", "slowbody", sizeof(body));
	while (sent < sizeof(body)) {
		ssize_t n = send(fd, body + sent, sizeof(body) - sent, MSG_NOSIGNAL);

		cr_assert_gt(n, 0);
		sent += (size_t)n;
	}
	cr_expect(wait_until_held(BODY_BYTES, BODY_BYTES), "%lu bytes, not one copy", held_bytes());
	bct_buf_init(&out, 0);
	for (int i = 0; i < 10 && !out.len_bytes; i++)
		read_for(fd, 1000, &out);
	cr_expect_eq(strncmp(out.data ? out.data : "", "HTTP/1.1 200", 12), 0, "%s", out.data);
	bct_buf_free(&out);
	expect_sound_upstreams();
	cr_expect_eq(test_gate_runs(&t, "large"), 1);
	cr_expect(wait_until_held(0, 0));
	close(fd);
	test_gate_stop(&t);
}
