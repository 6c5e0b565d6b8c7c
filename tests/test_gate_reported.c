/*
 * test_gate_reported.c - faults that operators of similar systems reported, see
 * docs/design/reported-faults.md. util_gate.h lists the scripted actions.
 */
#include "base/clock.h"
#include "base/rng.h"
#include "gate/gate_int.h"
#include "tests/util_gate.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define FLEET 3
#define CALLS 10
#define CALLERS 8
#define FROZEN_MS 2500
#define RECOVERED_MS 8000 /* a third of a request per second is saved up first */

static test_gate_t gates[FLEET];

/* A second copy of an answer comes on a connection that is in use again: its next caller must get
 * its own answer. */
Test(gate_reported, a_late_copy_goes_to_nobody)
{
	uint32_t connections;
	bct_buf_t out;

	test_gate_start(&gates[0]);
	test_gate_call(&gates[0], "POST", "/unsafe/a", "first", "ok", &out);
	bct_buf_free(&out);
	connections = gates[0].connections;
	for (int i = 0; i < CALLS; i++) {
		char id[32];

		snprintf(id, sizeof(id), "next-%d", i);
		cr_expect_eq(test_gate_call(&gates[0], "POST", "/unsafe/a", id, "latecopy", &out),
			     200);
		cr_expect(strstr(out.data, "body") && !strstr(out.data, "theirs"), "%s", out.data);
		cr_expect(strstr(out.data, id), "%s", out.data);
		bct_buf_free(&out);
	}
	cr_expect_eq(gates[0].connections, connections, "the connection was not in use again");
	cr_expect_eq(bct_counter_get(&gates[0].gate->counters.values[BCT_GATE_ANSWERS_SKIPPED]),
		     CALLS);
	test_gate_stop(&gates[0]);
}

/* Routes /unsafe/ to the engines, with two attempts. */
static void publish_unsafe_engines(test_gate_t *t)
{
	static const char was[] = "\"service\":\"desk\",\"attempts\":1";
	static const char is[] = "\"service\":\"model\",\"attempts\":2";
	const char *config = test_gate_config(2, "model"), *at = strstr(config, was);
	char text[8192];

	cr_assert(at);
	snprintf(text, sizeof(text), "%.*s%s%s", (int)(at - config), config, is, at + strlen(was));
	test_gate_publish(t, text);
}

/* Requests that may run once, on connections that are in use again. returns how many runs they had;
 * none may be told that it has not run. */
static uint32_t run_unsafe(const char *name, const char *script, int status)
{
	uint32_t runs = 0;
	bct_buf_t out;

	for (int i = 0; i < 3 * CALLS; i++) {
		char id[32];

		snprintf(id, sizeof(id), "%s-%d", name, i);
		cr_expect_eq(test_gate_call(&gates[0], "POST", "/unsafe/a", id, script, &out),
			     status, "%s", out.data);
		cr_expect_not(strstr(out.data, "theirs"), "%s", out.data);
		runs += test_gate_runs(&gates[0], id);
		bct_buf_free(&out);
	}
	return runs;
}

/* An engine writes an earlier refusal once more where the answer to the next request is due,
 * without naming a request, and runs that: its caller was told that it had not run, or it ran
 * twice. */
Test(gate_reported, an_earlier_refusal_is_not_believed)
{
	static const char *const strays[] = { "strayrefusal", "straywrong", "strayok" };
	uint32_t connections;

	test_gate_start(&gates[0]);
	publish_unsafe_engines(&gates[0]);
	run_unsafe("first", "ok", 200);
	connections = gates[0].connections;
	for (int i = 0; i < 3; i++)
		cr_expect_eq(run_unsafe(strays[i], strays[i], 200), 3 * CALLS, "%s", strays[i]);
	cr_expect_leq(gates[0].connections, connections + GATE_UPSTREAMS);
	test_gate_stop(&gates[0]);
}

/* A refusal that names no request, of an upstream that never names one: only on a new connection
 * there is none before that it can belong to. */
Test(gate_reported, a_refusal_without_a_name_proves_little)
{
	bct_buf_t out;

	test_gate_start(&gates[0]);
	cr_expect_eq(test_gate_call(&gates[0], "POST", "/unsafe/a", "new", "barerefusal", &out),
		     503, "%s", out.data);
	bct_buf_free(&out);
	cr_expect_eq(test_gate_call(&gates[0], "POST", "/unsafe/a", "b0", "bareok", &out), 200);
	bct_buf_free(&out);
	cr_expect_eq(test_gate_call(&gates[0], "POST", "/unsafe/a", "kept", "barerefusal", &out),
		     502, "%s", out.data);
	bct_buf_free(&out);
	cr_expect_eq(test_gate_runs(&gates[0], "kept"), 1);
	test_gate_stop(&gates[0]);
}

typedef struct stop_caller {
	pthread_t thread;
	uint32_t connected;
	uint32_t answered;
} stop_caller_t;

static bool stop_over;

/* Connects again and again while the gateway stops; a connection that is accepted needs an answer.
 */
static void *call_during_stop(void *arg)
{
	static const char request[] = "GET /safe/a HTTP/1.1\r\nHost: h.example\r\nApi-Key: k1\r\n"
				      "X-Buckthornchute-Request-Attempt-Id: stop\r\n"
				      "Connection: close\r\n\r\n";
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(18000) };
	stop_caller_t *c = arg;

	inet_pton(AF_INET, gates[0].ip, &sa.sin_addr);
	while (!__atomic_load_n(&stop_over, __ATOMIC_RELAXED)) {
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		char buf[16];

		if (!connect(fd, (struct sockaddr *)&sa, sizeof(sa))) {
			c->connected++;
			/* As a caller that is slower than the loopback interface. */
			bct_clock_sleep(c->connected % 3 ? 1 : 20);
			send(fd, request, sizeof(request) - 1, MSG_NOSIGNAL);
			c->answered += recv(fd, buf, sizeof(buf), 0) == sizeof(buf);
		} else {
			bct_clock_sleep(1);
		}
		close(fd);
	}
	return NULL;
}

/* A planned stop under load closes the way in without cutting off what has just come in. */
Test(gate_reported, a_stop_answers_what_it_accepted, .timeout = 60)
{
	stop_caller_t callers[CALLERS] = { 0 };

	test_gate_start(&gates[0]);
	for (int i = 0; i < CALLERS; i++)
		pthread_create(&callers[i].thread, NULL, call_during_stop, &callers[i]);
	bct_clock_sleep(300);
	pthread_kill(gates[0].thread, SIGTERM);
	pthread_join(gates[0].thread, NULL);
	__atomic_store_n(&stop_over, true, __ATOMIC_RELAXED);
	for (int i = 0; i < CALLERS; i++) {
		pthread_join(callers[i].thread, NULL);
		cr_expect_gt(callers[i].connected, 10);
		cr_expect_eq(callers[i].answered, callers[i].connected);
	}
	bct_gate_free(gates[0].gate);
}

/* A stream that sends a byte now and then, but no event, is stalled: one that may be resumed goes
 * on elsewhere, and any other ends at its time limit. */
Test(gate_reported, a_trickling_stream_ends)
{
	bct_time_t began;
	bct_buf_t out;

	test_gate_start(&gates[0]);
	cr_expect_eq(
		test_gate_call(&gates[0], "POST", "/resume/a", "r", "streamtrickle,stream", &out),
		200);
	cr_expect(strstr(out.data, "data: e5\n\n") && strstr(out.data, "\r\n0\r\n\r\n"), "%s",
		  out.data);
	cr_expect_eq(test_gate_runs(&gates[0], "r"), 2);
	bct_buf_free(&out);
	began = bct_clock_now();
	test_gate_call(&gates[0], "POST", "/stream/a", "s", "streamtrickle", &out);
	cr_expect_not(strstr(out.data, "\r\n0\r\n\r\n"));
	cr_expect_lt(bct_clock_now() - began, 3500);
	bct_buf_free(&out);
	test_gate_stop(&gates[0]);
}

static void freeze(int sig)
{
	(void)sig;
	bct_clock_sleep(FROZEN_MS);
}

static void *freeze_gate(void *arg)
{
	const test_gate_t *t = arg;

	pthread_kill(t->thread, SIGUSR1);
	return NULL;
}

static int find_owner(void)
{
	for (int i = 0; i < FLEET; i++) {
		const bct_gate_upstream_t *u =
			bct_gate_upstreams_find(&gates[i].gate->upstreams, "d-0");

		if (u && u->limit.named && u->limit.owner)
			return i;
	}
	return -1;
}

/*
 * A node that owns a part of an upstream's limit does not run for some seconds, in which its peers
 * may divide that part among themselves. It must not use it when it runs again, before it has heard
 * from them; soon after it takes part again.
 */
Test(gate_reported, a_frozen_node_gives_up_its_part, .timeout = 60)
{
	bct_time_t end;
	pthread_t freezer;
	bct_buf_t out;
	int owner, status = 0;

	signal(SIGUSR1, freeze);
	test_gate_start_fleet(gates, FLEET);
	test_gate_wait_joined(gates, FLEET);
	test_gate_call(&gates[0], "POST", "/unsafe/a", "names", "limit", &out);
	bct_buf_free(&out);
	/* Long enough to hear of it, and to save up for a request. */
	bct_clock_sleep(1500);
	owner = find_owner();
	cr_assert_geq(owner, 0);
	pthread_create(&freezer, NULL, freeze_gate, &gates[owner]);
	bct_clock_sleep(200);
	cr_expect_eq(test_gate_call(&gates[owner], "POST", "/unsafe/a", "thawed", "limit", &out),
		     503, "%s", out.data);
	cr_expect_eq(test_gate_runs(&gates[0], "thawed"), 0);
	bct_buf_free(&out);
	pthread_join(freezer, NULL);
	for (end = bct_clock_now() + RECOVERED_MS; status != 200 && bct_clock_now() < end;) {
		status = test_gate_call(&gates[owner], "POST", "/unsafe/a", "later", "limit", &out);
		bct_buf_free(&out);
		bct_clock_sleep(100);
	}
	cr_expect_eq(status, 200);
}

static void *unlist(void *arg)
{
	test_gate_t *t = arg;

	bct_clock_sleep(150);
	pthread_mutex_lock(&t->lock);
	t->desk_listed = false;
	pthread_mutex_unlock(&t->lock);
	return NULL;
}

/* An upstream drops out of the registry, as one that is late to report does, while it runs a
 * request: the request is neither given up nor started again. */
Test(gate_reported, work_of_an_unlisted_upstream_goes_on)
{
	pthread_t unlister;
	bct_buf_t out;

	test_gate_start(&gates[0]);
	pthread_create(&unlister, NULL, unlist, &gates[0]);
	cr_expect_eq(test_gate_call(&gates[0], "POST", "/unsafe/a", "u", "slow", &out), 200, "%s",
		     out.data);
	cr_expect(strstr(out.data, "body"));
	cr_expect_eq(test_gate_runs(&gates[0], "u"), 1);
	bct_buf_free(&out);
	pthread_join(unlister, NULL);
	cr_expect_eq(test_gate_call(&gates[0], "POST", "/unsafe/a", "v", "ok", &out), 503);
	bct_buf_free(&out);
	test_gate_stop(&gates[0]);
}

static void set_down(test_gate_t *t, bool down)
{
	pthread_mutex_lock(&t->lock);
	t->down = down;
	pthread_mutex_unlock(&t->lock);
}

/* A gateway that has not heard for a moment of an upstream with a new software version takes up
 * streams that others began there: it must not conclude that the only version that it knows began
 * them. tests/test_gate_out_of_step.c has the model. */
Test(gate_reported, a_node_out_of_step_joins_no_versions, .timeout = 60)
{
	static const char *const released[] = { "v1", "v2", "v2" };
	test_gate_t *t = &gates[0];
	bct_buf_t out;

	test_gate_start(t);
	/* For as long as a stream can have lived, there is one version. */
	bct_clock_sleep(7000);
	cr_expect_eq(test_gate_take_up(t, "/resume/a", "before", "stream", NULL, 2, &out), 200);
	bct_buf_free(&out);
	set_down(t, true);
	test_gate_set_software(t, released, GATE_UPSTREAMS);
	bct_clock_sleep(300);
	cr_expect_eq(test_gate_take_up(t, "/resume/a", "behind", "stream", NULL, 2, &out), 503);
	cr_expect(strstr(out.data, "Retry-After: "), "%s", out.data);
	bct_buf_free(&out);
	set_down(t, false);
	cr_expect_eq(test_gate_take_up(t, "/resume/a", "after", "stream", NULL, 2, &out), 503);
	bct_buf_free(&out);
	cr_expect_eq(test_gate_runs(t, "behind"), 0);
	cr_expect_eq(test_gate_runs(t, "after"), 0);
	test_gate_stop(t);
}

#define ODD_ADDRESS(address)                                                           \
	"{\"service\":\"desk\",\"address\":\"" address "\",\"zone\":\"z\","            \
	"\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0," \
	"\"sequence\":1,\"born\":1000}"

/* Another writer left entries that name no upstream: a gateway that starts must serve with the
 * others, as if they were not there. They were connected to, and requests got 503. */
Test(gate_reported, odd_entries_are_no_upstreams, .timeout = 60)
{
	static const char *const odd[] = { ODD_ADDRESS("300.0.0.1:80"),
					   ODD_ADDRESS("desk:8080"),
					   ODD_ADDRESS(":80"),
					   ODD_ADDRESS("127.0.0.1:-18446744073709551536"),
					   ODD_ADDRESS("127.0.0.1:+80"),
					   ODD_ADDRESS("127.0.0.1: 80"),
					   ODD_ADDRESS("0.0.0.0:80"),
					   ODD_ADDRESS("255.255.255.255:80"),
					   ODD_ADDRESS("224.0.0.1:80"),
					   ODD_ADDRESS("[::1]:80"),
					   ODD_ADDRESS("127.0.0.1:0"),
					   ODD_ADDRESS("127.0.0.1:99999"),
					   ODD_ADDRESS("127.0.0.1:80:80"),
					   ODD_ADDRESS("1270.0.1:80"),
					   ODD_ADDRESS("\\u0000127.0.0.1:80"),
					   NULL };
	bct_buf_t out;

	test_gate_start_odd(&gates[0], odd);
	for (int i = 0; i < 3 * CALLS; i++) {
		char id[16];

		snprintf(id, sizeof(id), "o%d", i);
		cr_expect_eq(test_gate_call(&gates[0], "POST", "/unsafe/a", id, "ok", &out), 200);
		bct_buf_free(&out);
	}
	/* Nothing was tried there. */
	cr_expect_eq(bct_counter_get(&gates[0].gate->counters.values[BCT_GATE_RETRY_CONNECT]), 0);
	cr_expect_eq(gates[0].gate->upstreams.n, GATE_UPSTREAMS + 1);
	test_gate_stop(&gates[0]);
}

/* Sends a datagram to a port of a gateway. */
static void send_datagram(const test_gate_t *t, uint16_t port, const char *bytes, size_t len)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	inet_pton(AF_INET, t->ip, &sa.sin_addr);
	sendto(fd, bytes, len, 0, (struct sockaddr *)&sa, sizeof(sa));
	close(fd);
}

/* Malformed bytes at each port, some behind a valid beginning, take no gateway down. */
Test(gate_reported, malformed_messages_end_no_process, .timeout = 60)
{
	static const uint16_t tcp[] = { 18000, 18003, TEST_GATE_RELAY_PORT };
	static const char *const begins[] = { "", "POST /unsafe/a HTTP/1.1\r\n", "GET /metrics",
					      "POST /stream/a HTTP/1.1\r\nHost: h.example\r\n"
					      "Api-Key: k1\r\nTransfer-Encoding: chunked\r\n\r\n" };
	bct_rng_t rng;
	bct_buf_t out;

	bct_rng_seed(&rng, 20261204);
	test_gate_start_fleet(gates, 2);
	test_gate_wait_joined(gates, 2);
	for (int i = 0; i < 240; i++) {
		char text[600];
		size_t len = (size_t)snprintf(text, sizeof(text), "%s", begins[i % 4]);
		size_t end = len + bct_rng_below(&rng, (uint32_t)(sizeof(text) - len - 1));

		while (len < end)
			text[len++] = (char)(1 + bct_rng_below(&rng, 255));
		text[len] = '\0';
		test_gate_at(&gates[0], tcp[i % 3], text, 10, &out);
		bct_buf_free(&out);
		send_datagram(&gates[0], 18001, text, len);
		send_datagram(&gates[0], 18002, text, len);
	}
	for (int i = 0; i < 2; i++) {
		cr_expect_eq(test_gate_call(&gates[i], "POST", "/unsafe/a", "after", "ok", &out),
			     200);
		bct_buf_free(&out);
		cr_expect_eq(gates[i].gate->nodes, 2);
	}
}

/* Time in ms for which this process has used a processor. */
static int64_t processor_ms(void)
{
	struct rusage u;

	getrusage(RUSAGE_SELF, &u);
	return (u.ru_utime.tv_sec + u.ru_stime.tv_sec) * BCT_MS_PER_S +
	       (u.ru_utime.tv_usec + u.ru_stime.tv_usec) / 1000;
}

/* Without file descriptors for more connections a gateway goes on, and accepts when it has some.
 * Meanwhile it does not use up the processor with attempts to accept. */
Test(gate_reported, lack_of_descriptors_ends_no_process, .timeout = 60)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(18000) };
	struct rlimit all, few = { 0 };
	int fds[200], n = 0;
	int64_t used_ms;
	bct_buf_t out;

	test_gate_start(&gates[0]);
	inet_pton(AF_INET, gates[0].ip, &sa.sin_addr);
	getrlimit(RLIMIT_NOFILE, &all);
	few = (struct rlimit){ .rlim_cur = 100, .rlim_max = all.rlim_max };
	setrlimit(RLIMIT_NOFILE, &few);
	while (n < 200 && (fds[n] = socket(AF_INET, SOCK_STREAM, 0)) >= 0) {
		connect(fds[n], (struct sockaddr *)&sa, sizeof(sa));
		n++;
	}
	cr_assert_lt(n, 200, "the limit was not reached");
	used_ms = processor_ms();
	bct_clock_sleep(300);
	cr_expect_lt(processor_ms() - used_ms, 100);
	while (n)
		close(fds[--n]);
	setrlimit(RLIMIT_NOFILE, &all);
	cr_expect_eq(test_gate_call(&gates[0], "POST", "/unsafe/a", "after", "ok", &out), 200);
	bct_buf_free(&out);
	test_gate_stop(&gates[0]);
}
