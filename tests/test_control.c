/*
 * test_control.c - the platform's adapter of the control API: the outcome that it concludes from
 * each response, or from none, against a server with scripted responses.
 */
#include "base/err.h"
#include "base/clock.h"
#include "platform/control.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_MS 400
#define SLACK_MS 300 /* that a call may take longer than its timeout on a busy machine */
#define REQUEST_BYTES 4096
#define LARGE_BYTES (6 * 1024 * 1024)

/* What the scripted server does once it has the request. */
typedef enum script_end {
	THEN_CLOSE,
	THEN_SILENCE, /* until the client leaves */
	THEN_RESET,
	THEN_DRIBBLE, /* a space each 50 ms until the client leaves */
} script_end_t;

/* Answers one request. */
typedef struct script {
	const char *response; /* NULL: none */
	size_t padding;	      /* bytes of a body that follow */
	script_end_t then;
	int fd;
	uint16_t port;
	pthread_t thread;
	char request[REQUEST_BYTES];
	size_t request_bytes;
} script_t;

/* Whether the request with its body is complete. */
static bool complete(const script_t *s)
{
	const char *end = strstr(s->request, "\r\n\r\n");
	const char *length = strstr(s->request, "Content-Length: ");
	size_t body = length ? (size_t)atoi(length + 16) : 0;

	return end && s->request_bytes >= (size_t)(end - s->request) + 4 + body;
}

static void end_connection(const script_t *s, int fd)
{
	struct linger l = { .l_onoff = 1 };
	struct pollfd p = { .fd = fd, .events = POLLIN };

	while (s->then == THEN_DRIBBLE && send(fd, " ", 1, MSG_NOSIGNAL) == 1)
		bct_clock_sleep(50);
	if (s->then == THEN_SILENCE)
		poll(&p, 1, 10000);
	if (s->then == THEN_RESET)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	close(fd);
}

static void *serve(void *arg)
{
	script_t *s = arg;
	int fd = accept(s->fd, NULL, NULL);
	char padding[4096];
	ssize_t n = 1;

	while (n > 0 && !complete(s) && s->request_bytes < REQUEST_BYTES - 1) {
		n = recv(fd, s->request + s->request_bytes, REQUEST_BYTES - 1 - s->request_bytes,
			 0);
		s->request_bytes += n > 0 ? (size_t)n : 0;
	}
	if (s->response)
		send(fd, s->response, strlen(s->response), MSG_NOSIGNAL);
	memset(padding, 'x', sizeof(padding));
	for (size_t sent = 0; n > 0 && sent < s->padding; sent += sizeof(padding))
		n = send(fd, padding, sizeof(padding), MSG_NOSIGNAL);
	end_connection(s, fd);
	return NULL;
}

static int listen_on(uint16_t *port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	cr_assert_eq(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	cr_assert_eq(listen(fd, 16), 0);
	getsockname(fd, (struct sockaddr *)&sa, &len);
	*port = ntohs(sa.sin_port);
	return fd;
}

static bct_control_t *start(script_t *s)
{
	bct_control_t *c = NULL;
	char address[32];

	s->fd = listen_on(&s->port);
	cr_assert_eq(pthread_create(&s->thread, NULL, serve, s), 0);
	snprintf(address, sizeof(address), "127.0.0.1:%u", s->port);
	cr_assert_eq(bct_adapter_control(address, address, &c), 0);
	return c;
}

static void finish(script_t *s, bct_control_t *c)
{
	bct_control_free(c);
	pthread_join(s->thread, NULL);
	close(s->fd);
}

static const bct_control_caller_t caller = { .name = "vm-1", .fence = 17592186044416 };

static int report(bct_control_t *c, const bct_control_caller_t *by, uint64_t window,
		  uint32_t requests)
{
	bct_usage_count_t counts[] = { { "acme", requests }, { "ou\"ter", 7 } };
	bct_usage_report_t r = { .window = window, .counts = counts, .n = 2 };

	return c->ops->report_usage(c, by, &r, TIMEOUT_MS);
}

static int order(bct_control_t *c, const bct_control_caller_t *by, uint32_t engines, bool spot)
{
	bct_engine_order_t o = {
		.service = "model", .failure_domain = "za", .engines = engines, .spot = spot
	};

	return c->ops->order_engines(c, by, &o, TIMEOUT_MS);
}

static int append(bct_control_t *c, bct_gate_position_t at, const char *text,
		  bct_gate_position_t *position)
{
	return c->ops->append(c, at, text, (uint32_t)strlen(text), TIMEOUT_MS, position);
}

static int read_record(bct_control_t *c, bct_buf_t *record, bct_gate_position_t *position,
		       bct_gate_position_t *end)
{
	return c->ops->read(c, TIMEOUT_MS, record, position, end);
}

typedef enum call_kind { REPORT, ORDER, APPEND, READ, CALLS } call_kind_t;

/* Makes a call; an append at offset 7. */
static int make(bct_control_t *c, call_kind_t kind)
{
	bct_gate_position_t position = 0, end = 0;
	bct_buf_t record;
	int rc;

	if (kind == REPORT)
		return report(c, &caller, 5, 412);
	if (kind == ORDER)
		return order(c, &caller, 3, false);
	if (kind == APPEND)
		return append(c, 7, "state", &position);
	bct_buf_init(&record, 0);
	rc = read_record(c, &record, &position, &end);
	cr_assert(rc == 0 || record.len_bytes == 0, "a failed read leaves no record");
	bct_buf_free(&record);
	return rc;
}

static int outcome(call_kind_t kind, const char *response, size_t padding, script_end_t then)
{
	script_t s = { .response = response, .padding = padding, .then = then };
	bct_control_t *c = start(&s);
	bct_time_t began = bct_clock_now(), took;
	int rc = make(c, kind);

	took = bct_clock_now() - began;
	cr_expect_leq(took, TIMEOUT_MS + SLACK_MS, "call %d took %lld ms", kind, (long long)took);
	finish(&s, c);
	return rc;
}

#define EMPTY(status) "HTTP/1.1 " status " X\r\nContent-Length: 0\r\n\r\n"
/* The body ends with the connection. */
#define JSON(status, text) "HTTP/1.1 " status " X\r\n\r\n" text

/*
 * The holder retries, takes a new token or stops by this outcome. One that counts as "not done"
 * though it may be done would cause a report with other counts.
 */
Test(control, api_statuses)
{
	static const struct {
		const char *response;
		int rc;
	} cases[] = {
		{ EMPTY("200"), 0 },
		{ EMPTY("409"), -BCT_EFENCED },
		{ EMPTY("429"), -BCT_EBUDGET },
		{ EMPTY("400"), -BCT_EINVAL },
		{ EMPTY("404"), -BCT_EINVAL },
		{ EMPTY("503"), -BCT_EUNAVAILABLE },
		{ EMPTY("500"), -BCT_EUNKNOWN_OUTCOME },
		{ EMPTY("502"), -BCT_EUNKNOWN_OUTCOME },
		{ EMPTY("504"), -BCT_EUNKNOWN_OUTCOME },
		{ EMPTY("202"), -BCT_EUNKNOWN_OUTCOME },
		{ "HTTP/1.1 302 X\r\nLocation: /\r\nContent-Length: 0\r\n\r\n",
		  -BCT_EUNKNOWN_OUTCOME },
		{ "HTTP/1.1 100 Continue\r\n\r\n", -BCT_EUNKNOWN_OUTCOME },
		{ "HTTP/1.1 100 Continue\r\n\r\n" EMPTY("200"), 0 },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		for (call_kind_t k = REPORT; k <= ORDER; k++)
			cr_expect_eq(outcome(k, cases[i].response, 0, THEN_CLOSE), cases[i].rc,
				     "call %d: %s", k, cases[i].response);
	}
}

/* A node that took an append for certainly not done would claim twice. */
Test(control, append_statuses)
{
	static const struct {
		const char *response;
		int rc;
	} cases[] = {
		{ JSON("200", "{\"offset\":7,\"end_offset\":8}"), 0 },
		{ JSON("200", "{\"offset\":6,\"end_offset\":8}"), -BCT_EUNKNOWN_OUTCOME },
		{ JSON("200", "{\"offset\":\"7\",\"end_offset\":8}"), -BCT_EUNKNOWN_OUTCOME },
		{ JSON("200", "{\"offset\":7,"), -BCT_EUNKNOWN_OUTCOME },
		{ JSON("200", "oops"), -BCT_EUNKNOWN_OUTCOME },
		{ EMPTY("200"), -BCT_EUNKNOWN_OUTCOME },
		{ "HTTP/1.1 200 X\r\nContent-Length: 99\r\n\r\n{\"offset\":7}",
		  -BCT_EUNKNOWN_OUTCOME },
		{ JSON("412", "{\"end_offset\":9}"), -BCT_ESTALE },
		{ EMPTY("412"), -BCT_ESTALE },
		{ EMPTY("429"), -BCT_EUNAVAILABLE },
		{ EMPTY("503"), -BCT_EUNAVAILABLE },
		{ EMPTY("500"), -BCT_EUNKNOWN_OUTCOME },
		{ EMPTY("400"), -BCT_EUNKNOWN_OUTCOME },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		cr_expect_eq(outcome(APPEND, cases[i].response, 0, THEN_CLOSE), cases[i].rc, "%s",
			     cases[i].response);
}

/* A request that may have been sent may still take effect, however the response fails. */
Test(control, no_response)
{
	static const script_end_t ends[] = { THEN_CLOSE, THEN_RESET, THEN_SILENCE };

	for (size_t i = 0; i < sizeof(ends) / sizeof(ends[0]); i++) {
		for (call_kind_t k = REPORT; k < CALLS; k++)
			cr_expect_eq(outcome(k, NULL, 0, ends[i]),
				     k == READ ? -BCT_EUNAVAILABLE : -BCT_EUNKNOWN_OUTCOME,
				     "call %d, end %zu", k, i);
	}
}

Test(control, garbage)
{
	static const char *const responses[] = { "\x01\x02\x03 nothing of HTTP\r\n\r\n",
						 "SSH-2.0-x\r\n", "HTTP/1.1 abc\r\n\r\n" };

	for (size_t i = 0; i < sizeof(responses) / sizeof(responses[0]); i++) {
		for (call_kind_t k = REPORT; k < CALLS; k++)
			cr_expect_eq(outcome(k, responses[i], 0, THEN_CLOSE),
				     k == READ ? -BCT_EUNAVAILABLE : -BCT_EUNKNOWN_OUTCOME,
				     "call %d: %s", k, responses[i]);
	}
}

/* A head that is malformed tells nothing: neither that a call was made, nor that it was not. A body
 * whose length it leaves unclear is no answer of the store. */
Test(control, malformed_heads, .timeout = 60)
{
	static const char *const responses[] = {
		"HTTP/1.1  200 X\r\nContent-Length: 14\r\n\r\n{\"offset\": 7} ",
		"HTTP/2 200 X\r\nContent-Length: 14\r\n\r\n{\"offset\": 7} ",
		"HTTP/1.1 200 X\r\nContent-Length : 14\r\n\r\n{\"offset\": 7} ",
		"HTTP/1.1 200 X\r\nX Foo: a\r\nContent-Length: 14\r\n\r\n{\"offset\": 7} ",
		"HTTP/1.1 200 X\r\nX\001: a\r\nContent-Length: 14\r\n\r\n{\"offset\": 7} ",
		"HTTP/1.1 200 X\r\nContent-Length: 2\r\nContent-Length: 14\r\n\r\n"
		"{\"offset\": 7} ",
		"HTTP/1.1  503 X\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1  412 X\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1  409 X\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 X\nContent-Length: 0\n\n",
	};

	for (size_t i = 0; i < sizeof(responses) / sizeof(responses[0]); i++) {
		cr_expect_eq(outcome(REPORT, responses[i], 0, THEN_CLOSE), -BCT_EUNKNOWN_OUTCOME,
			     "%zu", i);
		cr_expect_eq(outcome(ORDER, responses[i], 0, THEN_CLOSE), -BCT_EUNKNOWN_OUTCOME,
			     "%zu", i);
		cr_expect_eq(outcome(APPEND, responses[i], 0, THEN_CLOSE), -BCT_EUNKNOWN_OUTCOME,
			     "%zu", i);
		cr_expect_eq(outcome(READ, responses[i], 0, THEN_CLOSE), -BCT_EUNAVAILABLE, "%zu",
			     i);
	}
}

/* A head that ends early is none, whatever its status line says. */
Test(control, heads_that_end_early, .timeout = 60)
{
	static const char *const responses[] = {
		"HTTP/1.1 200 X\r\n",
		"HTTP/1.1 200 X\r\nContent-Length: 0\r\n",
		"HTTP/1.1 412 X\r\nContent-Length: 0\r\n",
		"HTTP/1.1 409 X\r\nContent-Length: 0\r\n",
		"HTTP/1.1 429 X\r\nContent-Length: 0\r\n",
		"HTTP/1.1 503 X\r\nContent-Length: 0\r\n",
		"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r",
		"HTTP/1.1 503 X\r\n",
		"HTTP/1.1 100 X\r\n\r\n",
	};

	for (size_t i = 0; i < sizeof(responses) / sizeof(responses[0]); i++) {
		for (call_kind_t k = REPORT; k < CALLS; k++)
			cr_expect_eq(outcome(k, responses[i], 0, THEN_CLOSE),
				     k == READ ? -BCT_EUNAVAILABLE : -BCT_EUNKNOWN_OUTCOME,
				     "call %d: %s", k, responses[i]);
	}
}

/* The API is not trusted: a response must not fill the memory, which is bounded on a small VM. */
Test(control, responses_that_are_too_large)
{
	static const char head[] = "HTTP/1.1 200 OK\r\nContent-Length: 6291456\r\n\r\n";
	static const char conflict[] = "HTTP/1.1 409 X\r\nContent-Length: 6291456\r\n\r\n";

	cr_expect_eq(outcome(REPORT, head, LARGE_BYTES, THEN_CLOSE), 0);
	cr_expect_eq(outcome(ORDER, conflict, LARGE_BYTES, THEN_CLOSE), -BCT_EFENCED);
	cr_expect_eq(outcome(APPEND, head, LARGE_BYTES, THEN_CLOSE), -BCT_EUNKNOWN_OUTCOME);
	cr_expect_eq(outcome(READ, head, LARGE_BYTES, THEN_CLOSE), -BCT_EUNAVAILABLE);
	/* A head that does not end is none, whatever its status line says. */
	cr_expect_eq(outcome(REPORT, "HTTP/1.1 200 OK\r\nX: ", LARGE_BYTES, THEN_CLOSE),
		     -BCT_EUNKNOWN_OUTCOME);
}

/* Each byte would put off an end by idle time: the lease would be over before the call. */
Test(control, a_response_that_trickles_ends_in_time)
{
	static const char head[] = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n";

	cr_expect_eq(outcome(REPORT, head, 0, THEN_DRIBBLE), 0);
	cr_expect_eq(outcome(APPEND, head, 0, THEN_DRIBBLE), -BCT_EUNKNOWN_OUTCOME);
	cr_expect_eq(outcome(READ, head, 0, THEN_DRIBBLE), -BCT_EUNAVAILABLE);
}

Test(control, a_refused_connection_is_certainly_nothing)
{
	bct_control_t *c = NULL;
	char address[32];
	uint16_t port;
	int fd = listen_on(&port);

	close(fd);
	snprintf(address, sizeof(address), "127.0.0.1:%u", port);
	cr_assert_eq(bct_adapter_control(address, address, &c), 0);
	for (call_kind_t k = REPORT; k < CALLS; k++)
		cr_expect_eq(make(c, k), -BCT_EUNAVAILABLE, "call %d", k);
	bct_control_free(c);
}

static void *cancel_soon(void *arg)
{
	bct_control_t *c = arg;

	bct_clock_sleep(100);
	c->ops->cancel(c);
	return NULL;
}

/*
 * The outcome of an earlier call must not count for one that was not sent: it would report a window
 * as accepted that never arrived.
 */
Test(control, a_call_that_is_not_sent_has_no_earlier_status)
{
	script_t s = { .response = EMPTY("200") };
	bct_control_t *c = start(&s);
	bct_engine_order_t o = { .service = "model", .failure_domain = "za", .engines = 1 };

	cr_expect_eq(make(c, ORDER), 0);
	cr_expect_eq(c->ops->order_engines(c, &caller, &o, 0), -BCT_EUNAVAILABLE);
	pthread_join(s.thread, NULL);
	close(s.fd);
	cr_expect_eq(make(c, ORDER), -BCT_EUNAVAILABLE);
	c->ops->cancel(c);
	cr_expect_eq(make(c, ORDER), -BCT_EUNAVAILABLE);
	bct_control_free(c);
}

/* A node that stops must not wait for a call whose timeout is long. */
Test(control, cancel_ends_calls)
{
	for (call_kind_t k = REPORT; k < CALLS; k++) {
		script_t s = { .then = THEN_SILENCE };
		bct_control_t *c = start(&s);
		bct_time_t began = bct_clock_now();
		pthread_t thread;

		pthread_create(&thread, NULL, cancel_soon, c);
		cr_expect_eq(make(c, k), k == READ ? -BCT_EUNAVAILABLE : -BCT_EUNKNOWN_OUTCOME,
			     "call %d", k);
		cr_expect_lt(bct_clock_now() - began, TIMEOUT_MS);
		pthread_join(thread, NULL);
		for (call_kind_t later = REPORT; later < READ; later++)
			cr_expect_eq(make(c, later), -BCT_EUNAVAILABLE, "later call %d", later);
		finish(&s, c);
	}
}

static void read_answers(const char *response, int rc, bct_gate_position_t end)
{
	script_t s = { .response = response };
	bct_control_t *c = start(&s);
	bct_gate_position_t position = 99, got_end = 99;
	bct_buf_t record;

	bct_buf_init(&record, 0);
	cr_expect_eq(read_record(c, &record, &position, &got_end), rc, "%s", response);
	cr_expect_eq(record.len_bytes, 0, "%s", response);
	if (!rc) {
		cr_expect_eq(position, 0, "%s", response);
		cr_expect_eq(got_end, end, "%s", response);
	}
	bct_buf_free(&record);
	finish(&s, c);
}

/* Before the first record the store may not know the topic: then a node must be able to claim. */
Test(control, a_topic_without_records)
{
	read_answers(EMPTY("404"), 0, 0);
	read_answers(JSON("404", "{\"end_offset\":3}"), 0, 3);
	read_answers(JSON("200", "{\"items\":[],\"more\":false,\"end_offset\":3}"), 0, 3);
	read_answers(JSON("200", "{\"items\":[]}"), 0, 0);
	/* Another key of the topic, and one that was removed. */
	read_answers(JSON("200", "{\"items\":[{\"key\":\"x\",\"value\":\"YQ==\",\"offset\":1}],"
				 "\"end_offset\":2}"),
		     0, 2);
	read_answers(JSON("200", "{\"items\":[{\"key\":\"duties\",\"value\":\"\",\"offset\":1}],"
				 "\"end_offset\":2}"),
		     0, 2);
}

/* An offset that spills into the era would give a token that fences off all later holders. */
Test(control, a_listing_that_cannot_be_read)
{
	read_answers(JSON("200", "oops"), -BCT_ECODEC, 0);
	read_answers(JSON("200", "{\"items\":7}"), -BCT_ECODEC, 0);
	read_answers(JSON("200", "{\"items\":[],\"end_offset\":17592186044416}"), -BCT_ECODEC, 0);
	read_answers(JSON("200", "{\"items\":[],\"end_offset\":-1}"), -BCT_ECODEC, 0);
	read_answers(JSON("200",
			  "{\"items\":[{\"key\":\"duties\",\"value\":\"YQ==\",\"offset\":-1}],"
			  "\"end_offset\":2}"),
		     -BCT_ECODEC, 0);
	read_answers(EMPTY("503"), -BCT_EUNAVAILABLE, 0);
}

static void assert_request(call_kind_t kind, const char *first_line, const char *body,
			   size_t body_bytes)
{
	script_t s = { .response = EMPTY("200") };
	bct_control_t *c = start(&s);
	const char *got;

	make(c, kind);
	finish(&s, c);
	cr_expect_eq(strncmp(s.request, first_line, strlen(first_line)), 0, "%s", s.request);
	got = strstr(s.request, "\r\n\r\n");
	cr_assert_not_null(got);
	got += 4;
	cr_expect_eq((size_t)(s.request + s.request_bytes - got), body_bytes);
	cr_expect_arr_eq(got, body, body_bytes, "%s", got);
	if (kind >= APPEND)
		return;
	cr_expect(strstr(s.request, "\r\nX-Buckthornchute-Duty-Holder: vm-1\r\n"));
	cr_expect(strstr(s.request, "\r\nX-Buckthornchute-Fencing-Token: 17592186044416\r\n"));
	cr_expect(strstr(s.request, "\r\nContent-Type: application/json\r\n"));
	cr_expect_not(strstr(s.request, "\r\nExpect:"));
}

Test(control, requests)
{
	static const char usage[] =
		"{\"window_number\":5,\"counts\":{\"acme\":412,\"ou\\\"ter\":7}}";
	static const char scale[] = "{\"service\":\"model\",\"zone\":\"za\",\"desired_count\":3}";
	static const char record[] = "\0\0\0\x0c\x06"
				     "dutiesstate";

	assert_request(REPORT, "POST /usage HTTP/1.1\r\n", usage, sizeof(usage) - 1);
	assert_request(ORDER, "POST /scale HTTP/1.1\r\n", scale, sizeof(scale) - 1);
	assert_request(APPEND, "POST /api/log-append?topic=keyed.duties&part=0&at=7 HTTP/1.1\r\n",
		       record, sizeof(record) - 1);
	assert_request(READ, "GET /api/log-newest?topic=keyed.duties&part=0 HTTP/1.1\r\n", "", 0);
}
