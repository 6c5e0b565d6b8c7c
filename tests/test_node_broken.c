/*
 * test_node_broken.c - a service or an engine of chuted sends bytes that are no answer, or only a
 * part of one: neither may reach a caller as an answer. util_raw.h sends them.
 */
#include "base/clock.h"
#include "tests/util_node.h"
#include "tests/util_raw.h"

#include <criterion/criterion.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define WAIT_MS 8000
#define BODY_BYTES (2 * 1024 * 1024)
#define OWN "Chute-Attempt: @id\r\n"
#define BROKEN(first_line)                                                      \
	{                                                                       \
		.text = first_line "\r\n" OWN "Content-Length: 6\r\n\r\ntheirs" \
	}
#define BARE(first_line)                                               \
	{                                                              \
		.text = first_line "\r\n" OWN "\r\n", .end = RAW_CLOSE \
	}
#define LINE(line)                                                                           \
	{                                                                                    \
		.text = "HTTP/1.1 200 OK\r\n" OWN line "\r\nContent-Length: 6\r\n\r\ntheirs" \
	}
#define EVENT(word) "data: {\"id\":\"cmpl-@id\",\"choices\":[{\"text\":\"" word "\"}]}\n\n"
#define STREAM "HTTP/1.1 200 OK\r\n" OWN "Content-Type: text/event-stream\r\n\r\n"
#define ID "Chute-Attempt"
#define WORD "a long word that an engine repeats again and again and again and again and again"
#define KEPT_MAX_KB (32 * 1024) /* of one answer; upstream.max_answer_bytes is 8 MB */
#define ABORTS 10
#define CALLERS 300
#define NODE_KB (256 * 1024) /* memory of a node */
#define POLLS "GET /engine/"
#define COUNT(list) (uint32_t)(sizeof(list) / sizeof(list[0]))

/* Reads until the node ends the connection, or the time has passed. */
static int call(uint16_t port, const char *path, const char *headers, const char *body,
		size_t body_bytes, bct_buf_t *out)
{
	bct_time_t end = bct_clock_now() + WAIT_MS;
	char *text = malloc(body_bytes + 512), chunk[4096];
	int fd = test_connect(port);
	ssize_t n = snprintf(text, 512,
			     "POST %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
			     "Authorization: Bearer " TEST_TOKEN "\r\n%s"
			     "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
			     path, headers, body_bytes);

	bct_buf_init(out, 0);
	memcpy(text + n, body, body_bytes);
	send(fd, text, (size_t)n + body_bytes, MSG_NOSIGNAL);
	free(text);
	for (n = 1; n > 0 && bct_clock_now() < end;) {
		struct pollfd p = { .fd = fd, .events = POLLIN };

		if (poll(&p, 1, 20) <= 0)
			continue;
		n = recv(fd, chunk, sizeof(chunk), 0);
		if (n > 0)
			bct_buf_put(out, chunk, (size_t)n);
	}
	if (!out->data)
		bct_buf_puts(out, "");
	close(fd);
	return test_status(out);
}

static int book(const test_node_t *t, const char *body, size_t body_bytes, bct_buf_t *out)
{
	return call(bct_node_caller_port(t->node), "/v1/services/booking/slot",
		    "Chute-Class: book\r\n", body, body_bytes, out);
}

/* Starts a node that takes long bodies, whose service answers so. */
static void start_for_uploads(test_node_t *t, const raw_answer_t *raw)
{
	test_node_start_at(t, ", \"max_body_bytes\": 9000000", 0,
			   test_raw_serve(raw, 1, ID, POLLS));
}

/* Books with a body that is still being sent when the answer comes. */
static int upload(const test_node_t *t, bct_buf_t *out)
{
	char *body = malloc(BODY_BYTES);
	int status;

	memset(body, ' ', BODY_BYTES);
	memcpy(body, "{}", 2);
	status = book(t, body, BODY_BYTES, out);
	free(body);
	return status;
}

static int complete(const test_node_t *t, bool stream, bct_buf_t *out)
{
	char body[128];
	int n = snprintf(body, sizeof(body),
			 "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":5,\"stream\":%s}",
			 stream ? "true" : "false");

	return call(bct_node_caller_port(t->node), "/v1/completions", "Chute-Class: draft\r\n",
		    body, (size_t)n, out);
}

/* Whether a caller was told that the outcome is unknown, and nothing of the answer. */
static void expect_none(uint32_t i, int status, const bct_buf_t *out)
{
	cr_expect(status == 502 || status == 504, "%u: %d", i, status);
	cr_expect(strstr(out->data, "\"run\":\"unknown\""), "%u: %s", i, out->data);
	cr_expect(!strstr(out->data, "theirs"), "%u: %s", i, out->data);
}

static void expect_no_answer(const raw_answer_t *raw, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		test_node_t t;
		bct_buf_t out;

		test_node_start_at(&t, "", 0, test_raw_serve(&raw[i], 1, ID, POLLS));
		expect_none(i, book(&t, "{}", 2, &out), &out);
		bct_buf_free(&out);
		test_node_stop(&t);
	}
}

Test(node_broken, an_answer_without_a_status_is_none, .timeout = 60)
{
	static const raw_answer_t raw[] = {
		BROKEN("HTTP/1.1 000 None"), BARE("HTTP/1.1 000 None"),
		BROKEN("HTTP/1.1 099 Low"),  BROKEN("HTTP/1.1 600 High"),
		BARE("HTTP/1.1 999 High"),   BROKEN("HTTP/1.1 20 OK, short"),
		BROKEN("HTTP/1.1 2000 OK"),  BROKEN("HTTP/1.1 0200 OK"),
		BROKEN("HTTP/1.1 2x0 OK"),   BROKEN("HTTP/1.1  200 OK"),
		BROKEN("HTTP/1.10 200 OK"),  BROKEN("HTTP/1.1 101 Switching Protocols"),
		BROKEN("HTTP/2 200 OK"),     BROKEN("HTTP/0.9 200 OK"),
		BROKEN("ICY 200 OK"),	     BROKEN("HTTP/1.1 100 Continue"),
	};

	expect_no_answer(raw, COUNT(raw));
}

Test(node_broken, a_head_with_a_malformed_field_is_none, .timeout = 60)
{
	static const raw_answer_t raw[] = {
		LINE("X Foo: a"),
		LINE("X-Foo : a"),
		LINE(" X-Foo: a"),
		LINE("X-Foo: a\r\n b"),
		LINE("X\001Foo: a"),
		LINE("X\177Foo: a"),
		LINE(": a"),
		LINE("X-Foo"),
		LINE("X-Foo: a\001b"),
		LINE("X-Foo: a\nX-Bar: b"),
		{ .text = "HTTP/1.1 200 OK\r\n" OWN "X\0Foo: a\r\nContent-Length: 6\r\n\r\ntheirs",
		  .len_bytes = sizeof("HTTP/1.1 200 OK\r\n" OWN
				      "X\0Foo: a\r\nContent-Length: 6\r\n\r\ntheirs") -
			       1 },
		{ .text = "HTTP/1.1 200 OK\r\n" OWN "Content-Length : 6\r\n\r\ntheirs and more",
		  .end = RAW_CLOSE },
		{ .text = "HTTP/1.1 200 OK\r\n" OWN
			  "Transfer-Encoding : chunked\r\n\r\n6\r\ntheirs\r\n0\r\n\r\n",
		  .end = RAW_CLOSE },
		{ .text = "HTTP/1.1 200 OK\r\n" OWN
			  "Content-Length: 6\r\nContent-Length: 12\r\n\r\ntheirstheirs" },
		{ .text = "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 6\r\n"
			  "Transfer-Encoding: chunked\r\n\r\n6\r\ntheirs\r\n0\r\n\r\n" },
		{ .text = "HTTP/1.1 200 OK\r\n" OWN "Content-Length: +6\r\n\r\ntheirs" },
		{ .text = "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 6, 6\r\n\r\ntheirs" },
		{ .text = "HTTP/1.1 200 OK\r\n" OWN "Transfer-Encoding: gzip\r\n\r\ntheirs",
		  .end = RAW_CLOSE },
	};

	expect_no_answer(raw, COUNT(raw));
}

/* A service or an engine that stops within the head. libcurl reports a success: the status of the
 * line that came, and an empty body. A 503 would say that nothing was run. */
#define CUT(part)                              \
	{                                      \
		.text = part, .end = RAW_CLOSE \
	}
static const raw_answer_t cut_head[] = {
	CUT("HTTP/1.1 200"),
	CUT("HTTP/1.1 200 OK\r\n"),
	CUT("HTTP/1.1 200 OK\r\n" OWN),
	CUT("HTTP/1.1 200 OK\r\n" OWN "\r"),
	CUT("HTTP/1.1 200 OK\r\n" OWN "Content-Le"),
	CUT("HTTP/1.1 200 OK\r\n" OWN "Content-Length: 0\r\n"),
	CUT("HTTP/1.1 200 OK\r\n" OWN "Content-Length: 6\r\n"),
	CUT("HTTP/1.1 200 OK\r\n" OWN "Transfer-Encoding: chunked\r\n"),
	CUT("HTTP/1.1 204 No Content\r\n" OWN),
	CUT("HTTP/1.1 404 Gone\r\n" OWN),
	CUT("HTTP/1.1 503 Busy\r\n" OWN "Content-Length: 0\r\n"),
	CUT("HTTP/1.1 100 Continue\r\n\r\n"),
	CUT("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" OWN),
	{ .text = "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 0\r\n", .end = RAW_RESET },
	{ .text = "HTTP/1.1 200 OK\r\n" OWN, .end = RAW_LATE_RESET },
};

Test(node_broken, a_head_that_ends_early_is_none, .timeout = 60)
{
	expect_no_answer(cut_head, COUNT(cut_head));
}

/* The same from an engine, to a caller that waits for all of it and to one that reads a stream;
 * 409 and 429 of an engine also say that nothing was run. */
Test(node_broken, an_engines_head_that_ends_early_is_none, .timeout = 90)
{
	static const raw_answer_t raw[] = {
		CUT("HTTP/1.1 200 OK\r\n" OWN),
		CUT("HTTP/1.1 200 OK\r\n" OWN "Content-Type: text/event-stream\r\n"),
		CUT("HTTP/1.1 409 Leaving\r\n" OWN "Content-Length: 0\r\n"),
		CUT("HTTP/1.1 429 Busy\r\n" OWN "Content-Length: 0\r\n"),
		CUT("HTTP/1.1 503 Busy\r\n" OWN "Content-Length: 0\r\n"),
	};

	for (uint32_t i = 0; i < 2 * COUNT(raw); i++) {
		test_node_t t;
		bct_buf_t out;

		test_node_start_at(&t, "", test_raw_serve(&raw[i / 2], 1, ID, POLLS), 0);
		/* The engine breaks off each attempt, which refuses the request as poison. */
		cr_expect_eq(complete(&t, i % 2, &out), 422, "%u: %s", i, out.data);
		cr_expect(strstr(out.data, "\"run\":\"unknown\""), "%u: %s", i, out.data);
		bct_buf_free(&out);
		test_node_stop(&t);
	}
}

/* Sound answers at the edges are passed on. */
Test(node_broken, every_sound_answer_is_passed_on, .timeout = 60)
{
	static const raw_answer_t raw[] = {
		BROKEN("HTTP/1.1 200 "),
		BROKEN("HTTP/1.0 200 OK"),
		BROKEN("HTTP/1.1 299 Own"),
		BROKEN("HTTP/1.1 404 Gone"),
		BROKEN("HTTP/1.1 599 Own"),
		LINE("X!#$%&'*+-.^_`|~09azAZ: a"),
		LINE("X-Foo:\t a\tb \303\251 "),
		{ .text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\n"
			  "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 6\r\n\r\ntheirs" },
		{ .text = "HTTP/1.1 200 OK\r\n" OWN "Transfer-Encoding: chunked\r\n\r\n"
			  "6\r\ntheirs\r\n0\r\nX-Foo: a\r\n\r\n" },
		{ .text = "HTTP/1.1 200 OK\r\n" OWN "\r\ntheirs", .end = RAW_CLOSE },
	};
	static const int status[] = { 200, 200, 299, 404, 599, 200, 200, 200, 200, 200 };

	for (uint32_t i = 0; i < COUNT(raw); i++) {
		test_node_t t;
		bct_buf_t out;

		test_node_start_at(&t, "", 0, test_raw_serve(&raw[i], 1, ID, POLLS));
		cr_expect_eq(book(&t, "{}", 2, &out), status[i], "%u: %s", i, out.data);
		cr_expect(strstr(out.data, "\r\n\r\ntheirs"), "%u: %s", i, out.data);
		bct_buf_free(&out);
		test_node_stop(&t);
	}
}

/* A service answers while the request is being sent, without a length, and ends the connection. */
Test(node_broken, a_part_of_an_answer_is_none, .timeout = 60)
{
	static const raw_answer_t raw[] = {
		{ .text = "HTTP/1.1 200 OK\r\n" OWN "\r\ntheirs", .end = RAW_RESET },
		{ .text = "HTTP/1.1 200 OK\r\n" OWN "\r\ntheirs", .end = RAW_LATE_RESET },
		{ .text = "HTTP/1.1 200 OK\r\n" OWN "\r\ntheirs", .end = RAW_CLOSE },
		{ .text = "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 7\r\n\r\ntheirs",
		  .end = RAW_ABORT },
	};

	for (uint32_t i = 0; i < COUNT(raw); i++) {
		test_node_t t;
		bct_buf_t out;

		start_for_uploads(&t, &raw[i]);
		expect_none(i, upload(&t, &out), &out);
		bct_buf_free(&out);
		test_node_stop(&t);
	}
}

/*
 * A service that ends such an answer in order and reads the whole request. libcurl stops sending at
 * the end of the answer: whether it had sent all by then decides if the answer is known to be
 * whole.
 */
Test(node_broken, an_early_answer_without_a_length_is_whole_or_none, .timeout = 60)
{
	static const raw_answer_t raw = { .text = "HTTP/1.1 200 OK\r\n" OWN "\r\ntheirs",
					  .end = RAW_READ };
	test_node_t t;
	bct_buf_t out;
	int status;

	start_for_uploads(&t, &raw);
	status = upload(&t, &out);
	if (status == 200) {
		cr_expect(strstr(out.data, "\r\nContent-Length: 6\r\n"), "%s", out.data);
		cr_expect(strstr(out.data, "\r\n\r\ntheirs"), "%s", out.data);
	} else {
		expect_none(0, status, &out);
	}
	bct_buf_free(&out);
	test_node_stop(&t);
}

/* One with a length is whole when that has come, also while its request is being sent. */
Test(node_broken, a_whole_early_answer_is_delivered, .timeout = 60)
{
	static const raw_answer_t raw = { .text = "HTTP/1.1 200 OK\r\n" OWN
						  "Content-Length: 10\r\n\r\nwhole body",
					  .end = RAW_READ };
	test_node_t t;
	bct_buf_t out;

	start_for_uploads(&t, &raw);
	cr_expect_eq(upload(&t, &out), 200, "%s", out.data);
	cr_expect(strstr(out.data, "\r\n\r\nwhole body"), "%s", out.data);
	bct_buf_free(&out);
	test_node_stop(&t);
}

/* Guards against the loss of such an answer when a reset comes beside it, so that sending the
 * request fails before the answer has been read. */
Test(node_broken, a_whole_answer_beside_a_reset_is_delivered, .timeout = 60)
{
	static const raw_answer_t raw = { .text = "HTTP/1.1 200 OK\r\n" OWN
						  "Content-Length: 10\r\n\r\nwhole body",
					  .end = RAW_ABORT };
	test_node_t t;

	start_for_uploads(&t, &raw);
	for (uint32_t i = 0; i < ABORTS; i++) {
		bct_buf_t out;

		cr_expect_eq(upload(&t, &out), 200, "%u: %s", i, out.data);
		cr_expect(strstr(out.data, "\r\n\r\nwhole body"), "%u: %s", i, out.data);
		bct_buf_free(&out);
	}
	test_node_stop(&t);
}

/* An engine's stream breaks off, and what the next attempt brings is no continuation. */
Test(node_broken, no_error_joins_a_stream, .timeout = 60)
{
	static const raw_answer_t begun = { .text = STREAM EVENT("w1") EVENT("w2"),
					    .end = RAW_RESET };
	static const raw_answer_t next[] = {
		BROKEN("HTTP/1.1 000 None"),
		BROKEN("HTTP/1.1 500 Oops"),
		BROKEN("HTTP/1.1 404 Gone"),
		BROKEN("HTTP/1.1 200 OK"),
		BARE("HTTP/1.1 204 No Content"),
		{ .text = "HTTP/1.1 500 Oops\r\n" OWN
			  "Content-Type: text/event-stream\r\n\r\n" EVENT("theirs"),
		  .end = RAW_CLOSE },
	};

	for (uint32_t i = 0; i < COUNT(next); i++) {
		raw_answer_t *both = calloc(2, sizeof(*both));
		test_node_t t;
		bct_buf_t out;

		both[0] = begun;
		both[1] = next[i];
		test_node_start_at(&t, "", test_raw_serve(both, 2, ID, POLLS), 0);
		cr_expect_eq(complete(&t, true, &out), 200, "%u: %s", i, out.data);
		cr_expect(strstr(out.data, "w2") && !strstr(out.data, "theirs"), "%u: %s", i,
			  out.data);
		cr_expect(!strstr(out.data, "[DONE]"), "%u: %s", i, out.data);
		cr_expect(!strstr(out.data + 9, "HTTP/1."), "%u: %s", i, out.data);
		bct_buf_free(&out);
		test_node_stop(&t);
	}
}

/* The most memory that the process had so far. A sanitizer holds back what was freed, so that its
 * builds can't be measured: 0. */
static long memory_kb(void)
{
#ifdef __SANITIZE_ADDRESS__
	return 0;
#else
	struct rusage now;

	getrusage(RUSAGE_SELF, &now);
	return now.ru_maxrss;
#endif
}

/* An engine generates without end, also far more tokens than the request allows: what is kept of
 * that until the answer is whole is bounded. */
Test(node_broken, a_generation_without_end_is_cut_off, .timeout = 60)
{
	static const raw_answer_t raw = { .text = STREAM,
					  .end = RAW_ENDLESS,
					  .again = EVENT(WORD) };
	long before;
	test_node_t t;
	bct_buf_t out;
	int status;

	test_node_start_at(&t, "", test_raw_serve(&raw, 1, ID, POLLS), 0);
	before = memory_kb();
	status = complete(&t, false, &out);
	cr_expect(status >= 500, "%d: %.200s", status, out.data);
	cr_expect_lt(memory_kb() - before, KEPT_MAX_KB, "%ld KB", memory_kb() - before);
	bct_buf_free(&out);
	test_node_stop(&t);
}

typedef struct caller {
	pthread_t thread;
	const test_node_t *t;
	int status;
} caller_t;

static void *call_service(void *arg)
{
	caller_t *c = arg;
	bct_buf_t out;

	c->status = book(c->t, "{}", 2, &out);
	bct_buf_free(&out);
	return NULL;
}

static void *call_engine(void *arg)
{
	caller_t *c = arg;
	bct_buf_t out;

	c->status = complete(c->t, true, &out);
	bct_buf_free(&out);
	return NULL;
}

/* Calls at once; returns what the process grew by, in KB. */
static long call_many(const test_node_t *t, void *(*call_one)(void *))
{
	long before = memory_kb();
	caller_t callers[CALLERS];

	for (uint32_t i = 0; i < CALLERS; i++) {
		callers[i].t = t;
		cr_assert_eq(pthread_create(&callers[i].thread, NULL, call_one, &callers[i]), 0);
	}
	for (uint32_t i = 0; i < CALLERS; i++)
		pthread_join(callers[i].thread, NULL);
	return memory_kb() - before;
}

/* Many answers at once stop in the middle of a long body, and many streams in that of a long event:
 * what is kept of all together must fit into a node's memory, however short each is. */
Test(node_broken, long_answers_fit_into_memory, .timeout = 60)
{
	static const raw_answer_t raw = { .text = "HTTP/1.1 200 OK\r\n" OWN "\r\n",
					  .end = RAW_LONG,
					  .again = WORD WORD WORD WORD WORD WORD WORD WORD };
	test_node_t t;
	long grown_kb;

	test_node_start_at(&t, "", 0, test_raw_serve(&raw, 1, ID, POLLS));
	grown_kb = call_many(&t, call_service);
	cr_expect_lt(grown_kb, NODE_KB, "%ld KB", grown_kb);
	test_node_stop(&t);
}

Test(node_broken, long_events_fit_into_memory, .timeout = 60)
{
	static const raw_answer_t raw = { .text = STREAM "data: ",
					  .end = RAW_LONG,
					  .again = WORD WORD WORD WORD WORD WORD WORD WORD };
	test_node_t t;
	long grown_kb;

	test_node_start_at(&t, "", test_raw_serve(&raw, 1, ID, POLLS), 0);
	grown_kb = call_many(&t, call_engine);
	cr_expect_lt(grown_kb, NODE_KB, "%ld KB", grown_kb);
	test_node_stop(&t);
}

/* Bytes without end are cut off, whether they come in a head, in a body, or as interim answers. */
Test(node_broken, bytes_without_end_are_cut_off, .timeout = 60)
{
	static const raw_answer_t raw[] = {
		{ .text = "HTTP/1.1 200 OK\r\n" OWN, .end = RAW_ENDLESS, .again = "X-More: 1\r\n" },
		{ .text = "HTTP/1.1 200 OK\r\n" OWN "X-More: ",
		  .end = RAW_ENDLESS,
		  .again = "0000000000" },
		{ .text = "", .end = RAW_ENDLESS, .again = "HTTP/1.1 100 Continue\r\n\r\n" },
		{ .text = "HTTP/1.1 200 OK\r\n" OWN "\r\n",
		  .end = RAW_ENDLESS,
		  .again = "theirs theirs theirs theirs theirs theirs theirs theirs theirs the" },
		{ .text = "HTTP/1.1 200 OK\r\n" OWN "Transfer-Encoding: chunked\r\n\r\n",
		  .end = RAW_ENDLESS,
		  .again = "0000000000" },
	};

	expect_no_answer(raw, COUNT(raw));
}
