/*
 * test_gate_broken.c - upstreams in trouble send bytes that are no answer, or only a part of one:
 * neither may reach a caller as an answer. util_raw.h sends them.
 */
#include "base/clock.h"
#include "gate/memory.h"
#include "tests/util_gate.h"
#include "tests/util_raw.h"

#include <criterion/criterion.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALLERS 40		   /* a node of this memory takes 52 connections */
#define HEAD_MAX_BYTES (64 * 1024) /* that the gateway takes */
#define HEAD_BYTES 60000
#define MEMORY_BYTES 5000000U
#define BOUND_BYTES (MEMORY_BYTES * 4 / 10)
#define OWN "X-Buckthornchute-Request-Attempt-Id: @id\r\nX-Buckthornchute-Server-Seal: s\r\n"
#define BROKEN(first_line)                                                      \
	{                                                                       \
		.text = first_line "\r\n" OWN "Content-Length: 6\r\n\r\ntheirs" \
	}
#define BARE(first_line)                             \
	{                                            \
		.text = first_line "\r\n" OWN "\r\n" \
	}
#define LINE(line)                                                                           \
	{                                                                                    \
		.text = "HTTP/1.1 200 OK\r\n" OWN line "\r\nContent-Length: 6\r\n\r\ntheirs" \
	}
#define CUT(part)                              \
	{                                      \
		.text = part, .end = RAW_CLOSE \
	}
#define COUNT(list) (uint32_t)(sizeof(list) / sizeof(list[0]))

static test_gate_t t;

/* Sends a request that is answered by raw answer i; whatever follows it in the script. */
static int call_raw(const char *method, const char *path, uint32_t i, const char *then,
		    bct_buf_t *out)
{
	char id[32], script[64];

	snprintf(id, sizeof(id), "raw-%u-%s", i, path + 1);
	snprintf(script, sizeof(script), "raw%u%s", i, then);
	return test_gate_call(&t, method, path, id, script, out);
}

/* Each of the answers is none: a request that may be repeated is sent to another upstream. */
static void expect_retried(const raw_answer_t *raw, uint32_t n)
{
	test_gate_start(&t);
	t.raw = raw;
	for (uint32_t i = 0; i < n; i++) {
		bct_buf_t out;
		int status = call_raw("GET", "/safe/a", i, ",ok", &out);

		cr_expect_eq(status, 200, "%u: %d for %s", i, status, raw[i].text);
		cr_expect(strstr(out.data, "\r\n\r\nbody") && !strstr(out.data, "theirs"), "%u: %s",
			  i, out.data);
		bct_buf_free(&out);
	}
	test_gate_stop(&t);
}

/* One that may not be repeated may have run: its caller learns that, and gets no byte of them. */
static void expect_unknown(const raw_answer_t *raw, uint32_t n)
{
	test_gate_start(&t);
	t.raw = raw;
	for (uint32_t i = 0; i < n; i++) {
		bct_buf_t out;
		int status = call_raw("POST", "/unsafe/a", i, "", &out);

		cr_expect_eq(status, 502, "%u: %d for %s", i, status, raw[i].text);
		cr_expect(!strstr(out.data, "theirs"), "%u: %s", i, out.data);
		bct_buf_free(&out);
	}
	test_gate_stop(&t);
}

/* What is no status, see RFC 9110, section 15; and 101, as no request asks for another protocol. */
static const raw_answer_t no_status[] = {
	BROKEN("HTTP/1.1 000 None"),
	BARE("HTTP/1.1 000 None"),
	BROKEN("HTTP/1.1 099 Low"),
	BARE("HTTP/1.1 099 Low"),
	BROKEN("HTTP/1.1 600 High"),
	BARE("HTTP/1.1 999 High"),
	BROKEN("HTTP/1.1 20 OK, short"),
	BROKEN("HTTP/1.1 2 OK, shorter"),
	BROKEN("HTTP/1.1 0200 OK"),
	BROKEN("HTTP/1.1 2000 OK"),
	BROKEN("HTTP/1.1 2x0 OK"),
	BROKEN("HTTP/1.1 -20 OK"),
	BROKEN("HTTP/1.1  200 OK"),
	BROKEN("HTTP/1.1\t200 OK"),
	BROKEN("HTTP/1.1 200OK and more"),
	BROKEN("HTTP/1.10 200 OK"),
	BROKEN("HTTP/1. 200 OK, no digit"),
	BROKEN("HTTP/2.0 200 OK"),
	BARE("HTTP/1.1 101 Switching Protocols"),
	BROKEN("HTTP/1.1 101 Switching Protocols"),
};

Test(gate_broken, an_answer_without_a_status_is_none, .timeout = 60)
{
	expect_retried(no_status, COUNT(no_status));
}

Test(gate_broken, an_unsafe_request_without_a_status_may_have_run, .timeout = 60)
{
	expect_unknown(no_status, 6);
}

/* An interim answer has no body: what follows its head is the next answer. */
static const raw_answer_t interim_with_body[] = {
	BROKEN("HTTP/1.1 100 Continue"),
	BROKEN("HTTP/1.1 199 Interim"),
	{ .text = "HTTP/1.1 100 Continue\r\n" OWN
		  "Transfer-Encoding: chunked\r\n\r\n6\r\ntheirs\r\n0\r\n\r\n" },
};

Test(gate_broken, an_interim_answer_is_no_answer)
{
	expect_retried(interim_with_body, COUNT(interim_with_body));
}

/* The edges of what is a status: each is passed on as the upstream gave it. */
Test(gate_broken, every_status_is_passed_on, .timeout = 60)
{
	static const raw_answer_t raw[] = {
		BROKEN("HTTP/1.1 200 "),
		BROKEN("HTTP/1.1 200"),
		BROKEN("HTTP/1.1 299 Own"),
		BROKEN("HTTP/1.0 200 OK"),
		BROKEN("HTTP/1.1 300 Choices"),
		BROKEN("HTTP/1.1 400 Bad"),
		BROKEN("HTTP/1.1 599 Own"),
		{ .text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\n"
			  "HTTP/1.1 199 Own\r\n\r\nHTTP/1.1 200 OK\r\n" OWN
			  "Content-Length: 6\r\n\r\ntheirs" },
	};
	static const int status[] = { 200, 200, 299, 200, 300, 400, 599, 200 };

	test_gate_start(&t);
	t.raw = raw;
	for (uint32_t i = 0; i < COUNT(raw); i++) {
		bct_buf_t out;

		cr_expect_eq(call_raw("POST", "/unsafe/a", i, "", &out), status[i], "%u: %s", i,
			     out.data);
		cr_expect(strstr(out.data, "\r\n\r\ntheirs"), "%u: %s", i, out.data);
		cr_expect(!strstr(out.data, "Link"), "%s", out.data);
		bct_buf_free(&out);
	}
	test_gate_stop(&t);
}

/* Statuses whose answers have no body whatever length they state: the caller would take the body
 * for the next answer, and the node would wait for one that never comes. */
Test(gate_broken, an_answer_that_has_no_body_gets_none)
{
	static const raw_answer_t raw[] = {
		{ .text = "HTTP/1.1 204 No Content\r\n" OWN "\r\n" },
		{ .text = "HTTP/1.1 304 Not Modified\r\n" OWN "Content-Length: 6\r\n\r\n" },
		{ .text = "HTTP/1.1 304 Not Modified\r\n" OWN "\r\n" },
		BROKEN("HTTP/1.1 204 No Content"),
		BROKEN("HTTP/1.1 304 Not Modified"),
	};
	static const int status[] = { 204, 304, 304, 204, 304 };

	test_gate_start(&t);
	t.raw = raw;
	for (uint32_t i = 0; i < COUNT(raw); i++) {
		bct_buf_t out;
		const char *end;

		cr_expect_eq(call_raw("POST", "/unsafe/a", i, "", &out), status[i], "%u: %s", i,
			     out.data);
		end = strstr(out.data, "\r\n\r\n");
		cr_expect(end && !end[4], "%u: %s", i, out.data);
		cr_expect(status[i] != 204 || !strstr(out.data, "Content-Length"), "%u: %s", i,
			  out.data);
		bct_buf_free(&out);
	}
	test_gate_stop(&t);
}

/* Lines of a head that are no fields: their reader may take them for others than their writer. */
static const raw_answer_t no_field[] = {
	LINE("X Foo: a"),
	LINE("X-Foo : a"),
	LINE(" X-Foo: a"),
	LINE("X-Foo: a\r\n b"),
	LINE("X-Foo: a\r\n\tb"),
	LINE("X\tFoo: a"),
	LINE("X\001Foo: a"),
	LINE("X\177Foo: a"),
	LINE("X\303\251Foo: a"),
	LINE("X(Foo): a"),
	LINE(": a"),
	LINE("X-Foo"),
	LINE(""),
	LINE("X-Foo: a\001b"),
	LINE("X-Foo: a\rb"),
	LINE("X-Foo: a\nX-Bar: b"),
	{ .text = "HTTP/1.1 200 OK\r\n" OWN "X\0Foo: a\r\nContent-Length: 6\r\n\r\ntheirs",
	  .len_bytes =
		  sizeof("HTTP/1.1 200 OK\r\n" OWN "X\0Foo: a\r\nContent-Length: 6\r\n\r\ntheirs") -
		  1 },
};

Test(gate_broken, a_head_with_a_malformed_field_is_none, .timeout = 60)
{
	expect_retried(no_field, COUNT(no_field));
}

Test(gate_broken, an_unsafe_request_with_a_malformed_field_may_have_run, .timeout = 60)
{
	expect_unknown(no_field, 5);
}

/* An upstream that stops within the head: in a line, between two lines, before the empty one,
 * behind an interim answer. A reader that takes what it has for a head finds a status and no
 * length, so that the end of the connection would be the end of a whole answer without a body. */
static const raw_answer_t cut_head[] = {
	CUT("HTTP"),
	CUT("HTTP/1.1 200"),
	CUT("HTTP/1.1 200 OK\r"),
	CUT("HTTP/1.1 200 OK\r\n"),
	CUT("HTTP/1.1 200 OK\r\n" OWN),
	CUT("HTTP/1.1 200 OK\r\n" OWN "\r"),
	CUT("HTTP/1.1 200 OK\r\n" OWN "Content-Le"),
	CUT("HTTP/1.1 200 OK\r\n" OWN "Content-Length: 0"),
	CUT("HTTP/1.1 200 OK\r\n" OWN "Content-Length: 0\r\n"),
	CUT("HTTP/1.1 200 OK\r\n" OWN "Content-Length: 6\r\n"),
	CUT("HTTP/1.1 200 OK\r\n" OWN "Transfer-Encoding: chunked\r\n"),
	CUT("HTTP/1.1 204 No Content\r\n" OWN),
	CUT("HTTP/1.1 304 Not Modified\r\n" OWN),
	CUT("HTTP/1.1 503 Busy\r\n" OWN "X-Buckthornchute-Not-Executed: full\r\n"),
	CUT("HTTP/1.1 100 Continue\r\n\r\n"),
	CUT("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" OWN),
	{ .text = "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 0\r\n", .end = RAW_RESET },
	{ .text = "HTTP/1.1 200 OK\r\n" OWN, .end = RAW_LATE_RESET },
};

Test(gate_broken, a_head_that_ends_early_is_none, .timeout = 60)
{
	expect_retried(cut_head, COUNT(cut_head));
}

Test(gate_broken, an_unsafe_request_whose_head_ends_early_may_have_run, .timeout = 60)
{
	expect_unknown(cut_head, COUNT(cut_head));
}

/* The same as the first answer to a stream, and as its continuation. */
Test(gate_broken, a_head_that_ends_early_ends_no_stream, .timeout = 90)
{
	test_gate_start(&t);
	t.raw = cut_head;
	for (uint32_t i = 0; i < COUNT(cut_head); i++) {
		char id[32], script[32], path[32];
		bct_buf_t out;
		int status;

		snprintf(path, sizeof(path), "/resume/%u", i);
		snprintf(id, sizeof(id), "cut-%u", i);
		snprintf(script, sizeof(script), "streamcut,raw%u", i);
		cr_expect_eq(test_gate_call(&t, "POST", path, id, script, &out), 200);
		cr_expect(strstr(out.data, "data: e2") && !strstr(out.data, "\r\n0\r\n"), "%u: %s",
			  i, out.data);
		cr_expect(!strstr(out.data + 9, "HTTP/1."), "%u: %s", i, out.data);
		bct_buf_free(&out);

		snprintf(path, sizeof(path), "/stream/%u", i);
		snprintf(id, sizeof(id), "cut-first-%u", i);
		snprintf(script, sizeof(script), "raw%u", i);
		status = test_gate_call(&t, "POST", path, id, script, &out);
		cr_expect(status >= 502, "%u: %d: %s", i, status, out.data);
		bct_buf_free(&out);
	}
	test_gate_stop(&t);
}

/* Fields that leave open where the body ends. */
static const raw_answer_t no_length[] = {
	{ .text = "HTTP/1.1 200 OK\r\n" OWN "Content-Length : 6\r\n\r\ntheirs and more",
	  .end = RAW_CLOSE },
	{ .text = "HTTP/1.1 200 OK\r\n" OWN
		  "Transfer-Encoding : chunked\r\n\r\n6\r\ntheirs\r\n0\r\n\r\n",
	  .end = RAW_CLOSE },
	{ .text = "HTTP/1.1 200 OK\r\n" OWN
		  "Content-Length: 6\r\nContent-Length: 12\r\n\r\ntheirstheirs" },
	{ .text = "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 6\r\nTransfer-Encoding: "
		  "chunked\r\n\r\n6\r\ntheirs\r\n0\r\n\r\n" },
	{ .text = "HTTP/1.1 200 OK\r\n" OWN "Content-Length: +6\r\n\r\ntheirs" },
	{ .text = "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 6, 6\r\n\r\ntheirs" },
	{ .text = "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 18446744073709551622\r\n\r\ntheirs" },
};

Test(gate_broken, a_head_with_an_unclear_length_is_none)
{
	expect_retried(no_length, COUNT(no_length));
}

Test(gate_broken, an_unsafe_request_with_an_unclear_length_may_have_run)
{
	expect_unknown(no_length, COUNT(no_length));
}

/* Fills text with a sound answer whose head, with the id that call_raw() sends, has so many bytes.
 */
static void fill_long_head(char *text, size_t size, size_t head_bytes, const char *id)
{
	static const char tail[] = "\r\nContent-Length: 6\r\n\r\n";
	int n = snprintf(text, size, "HTTP/1.1 200 OK\r\n" OWN "X-Long: ");
	size_t sent = (size_t)n + strlen(id) - strlen("@id"), fill;

	fill = head_bytes - sent - strlen(tail);
	memset(text + n, 'h', fill);
	snprintf(text + n + fill, size - (size_t)n - fill, "%stheirs", tail);
}

/* One byte more than the longest head ends the attempt; the longest one is passed on. */
Test(gate_broken, the_edge_of_a_heads_length)
{
	static char at[HEAD_MAX_BYTES + 512], above[HEAD_MAX_BYTES + 512];
	raw_answer_t raw[] = { { .text = at }, { .text = above } };
	bct_buf_t out;

	fill_long_head(at, sizeof(at), HEAD_MAX_BYTES, "raw-0-unsafe/a");
	fill_long_head(above, sizeof(above), HEAD_MAX_BYTES + 1, "raw-1-unsafe/a");
	test_gate_start(&t);
	t.raw = raw;
	cr_expect_eq(call_raw("POST", "/unsafe/a", 0, "", &out), 200);
	cr_expect(strstr(out.data, "\r\n\r\ntheirs"));
	bct_buf_free(&out);
	cr_expect_eq(call_raw("POST", "/unsafe/a", 1, "", &out), 502);
	bct_buf_free(&out);
	test_gate_stop(&t);
}

typedef struct caller {
	pthread_t thread;
	uint32_t number;
	int status;
} caller_t;

static void *call_long_head(void *arg)
{
	caller_t *c = arg;
	bct_buf_t out;
	char id[32];

	snprintf(id, sizeof(id), "long-%u", c->number);
	c->status =
		test_gate_call(&t, "POST", "/unsafe/a", id, c->number % 2 ? "raw1" : "raw0", &out);
	bct_buf_free(&out);
	return NULL;
}

static uint64_t held_bytes(void)
{
	const char name[] = "\nbct_gate_held_bytes ";
	uint64_t bytes;
	bct_buf_t out;

	bct_buf_init(&out, 0);
	bct_memory_print(t.gate, &out);
	bytes = strtoull(strstr(out.data, name) + strlen(name), NULL, 10);
	bct_buf_free(&out);
	return bytes;
}

/*
 * Many upstreams send most of the longest head, or all of it, and then nothing: what is kept of all
 * of them together has to count, and to stay within the bound.
 */
Test(gate_broken, long_heads_count_together, .timeout = 60)
{
	static char field[HEAD_BYTES + 1], part[HEAD_BYTES + 512], whole[HEAD_BYTES + 1024];
	raw_answer_t raw[] = { { .text = part, .end = RAW_SILENT },
			       { .text = whole, .end = RAW_SILENT } };
	caller_t callers[CALLERS];
	uint64_t most = 0;
	bct_buf_t out;

	memset(field, 'h', HEAD_BYTES);
	snprintf(part, sizeof(part), "HTTP/1.1 200 OK\r\n" OWN "X-Long: %s", field);
	snprintf(whole, sizeof(whole), "%s\r\nContent-Length: 10\r\n\r\n", part);
	test_gate_start_bounded(&t, MEMORY_BYTES);
	t.raw = raw;
	for (uint32_t i = 0; i < CALLERS; i++) {
		callers[i].number = i;
		pthread_create(&callers[i].thread, NULL, call_long_head, &callers[i]);
	}
	for (bct_time_t end = bct_clock_now() + 900; bct_clock_now() < end;) {
		uint64_t now = held_bytes();

		most = now > most ? now : most;
		bct_clock_sleep(1);
	}
	for (uint32_t i = 0; i < CALLERS; i++) {
		pthread_join(callers[i].thread, NULL);
		cr_expect_geq(callers[i].status, 502, "%u: %d", i, callers[i].status);
	}
	cr_expect_gt(most, 10 * HEAD_BYTES, "%lu bytes counted", (unsigned long)most);
	cr_expect_leq(most, BOUND_BYTES, "%lu bytes held", (unsigned long)most);
	cr_expect_eq(held_bytes(), 0);
	cr_expect_eq(test_gate_call(&t, "POST", "/unsafe/a", "after", "ok", &out), 200);
	bct_buf_free(&out);
	test_gate_stop(&t);
}

/* Codings that the gateway does not undo: their field is not passed on, so that the caller would
 * take the coded body for the upstream's. */
static const raw_answer_t coded[] = {
	{ .text = "HTTP/1.1 200 OK\r\n" OWN "Transfer-Encoding: gzip\r\n\r\ntheirs",
	  .end = RAW_CLOSE },
	{ .text = "HTTP/1.1 200 OK\r\n" OWN
		  "Transfer-Encoding: gzip, chunked\r\n\r\n6\r\ntheirs\r\n0\r\n\r\n" },
	{ .text = "HTTP/1.1 200 OK\r\n" OWN
		  "Transfer-Encoding: chunked, gzip\r\n\r\n6\r\ntheirs\r\n0\r\n\r\n",
	  .end = RAW_CLOSE },
	{ .text = "HTTP/1.1 200 OK\r\n" OWN "Transfer-Encoding:\r\n\r\ntheirs", .end = RAW_CLOSE },
};

Test(gate_broken, a_coded_body_is_not_passed_on)
{
	expect_retried(coded, COUNT(coded));
}

/* All characters that a name may have, and what a value may have beside text. */
Test(gate_broken, every_field_is_passed_on)
{
	static const raw_answer_t raw[] = {
		LINE("X!#$%&'*+-.^_`|~09azAZ: a"),
		LINE("X-Foo:a"),
		LINE("X-Foo:\t a\tb \303\251 "),
		LINE("X-Foo:"),
		{ .text = "HTTP/1.1 200 OK\r\n" OWN "X-Foo: a\r\nTransfer-Encoding: \tChunked \r\n"
			  "\r\n6\r\ntheirs\r\n0\r\n\r\n" },
	};
	static const char *const line[] = { "\r\nX!#$%&'*+-.^_`|~09azAZ: a\r\n", "\r\nX-Foo: a\r\n",
					    "\r\nX-Foo: a\tb \303\251\r\n", "\r\nX-Foo: \r\n",
					    "\r\nX-Foo: a\r\n" };

	test_gate_start(&t);
	t.raw = raw;
	for (uint32_t i = 0; i < COUNT(raw); i++) {
		bct_buf_t out;

		cr_expect_eq(call_raw("POST", "/unsafe/a", i, "", &out), 200);
		cr_expect(strstr(out.data, line[i]), "%u: %s", i, out.data);
		cr_expect(strstr(out.data, "\r\n\r\ntheirs"), "%u: %s", i, out.data);
		bct_buf_free(&out);
	}
	test_gate_stop(&t);
}

/*
 * A stream has begun and breaks off, and what the next upstream sends is no continuation: its
 * caller sees a stream that is not complete, and not a byte of that answer.
 */
Test(gate_broken, no_error_joins_a_stream, .timeout = 60)
{
	static const raw_answer_t raw[] = {
		BROKEN("HTTP/1.1 000 None"),
		BROKEN("HTTP/1.1 500 Oops"),
		BROKEN("HTTP/1.1 404 Gone"),
		BROKEN("HTTP/1.1 302 Found"),
		BARE("HTTP/1.1 204 No Content"),
		BROKEN("HTTP/1.1 200 OK"),
		{ .text = "HTTP/1.1 500 Oops\r\n" OWN "Content-Type: text/event-stream\r\n"
			  "Content-Length: 19\r\n\r\nid: 3\ndata: theirs\n" },
		{ .text = "HTTP/1.1 200 OK\r\n" OWN "Content-Type: application/json\r\n"
			  "Content-Length: 22\r\n\r\nid: 3\ndata: theirs\n\n \n" },
		{ .text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
			  "id: 3\ndata: theirs\n\n",
		  .end = RAW_CLOSE },
	};

	test_gate_start(&t);
	t.raw = raw;
	for (uint32_t i = 0; i < COUNT(raw); i++) {
		char id[32], script[32], path[32];
		bct_buf_t out;

		/* Another path, as three upstreams that reset one request would block it. */
		snprintf(path, sizeof(path), "/resume/%u", i);
		snprintf(id, sizeof(id), "joined-%u", i);
		snprintf(script, sizeof(script), "streamcut,raw%u", i);
		cr_expect_eq(test_gate_call(&t, "POST", path, id, script, &out), 200);
		cr_expect(strstr(out.data, "data: e2"), "%u: %s", i, out.data);
		cr_expect(!strstr(out.data, "\r\n0\r\n") && !strstr(out.data, "theirs"), "%u: %s",
			  i, out.data);
		cr_expect(!strstr(out.data + 9, "HTTP/1."), "%u: %s", i, out.data);
		cr_expect_eq(test_gate_runs(&t, id), 2, "%u: %u runs", i, test_gate_runs(&t, id));
		bct_buf_free(&out);
	}
	test_gate_stop(&t);
}

/* The same with refusals that the fixture's upstreams know, and without a second attempt. */
Test(gate_broken, no_refusal_joins_a_stream, .timeout = 60)
{
	static const char *const scripts[] = { "streamcut,notrun", "streamcut,wrong",
					       "streamcut,error",  "streamcut,noseal",
					       "streamcut,claims", "streamcut,reset" };

	test_gate_start(&t);
	for (uint32_t i = 0; i < COUNT(scripts); i++) {
		for (uint32_t k = 0; k < 2; k++) {
			char id[32], path[32];
			bct_buf_t out;

			snprintf(path, sizeof(path), "/%s/%u", k ? "stream" : "resume", i);
			snprintf(id, sizeof(id), "refused-%u-%u", i, k);
			cr_expect_eq(test_gate_call(&t, "POST", path, id, scripts[i], &out), 200);
			cr_expect(strstr(out.data, "data: e2"), "%s: %s", scripts[i], out.data);
			cr_expect(!strstr(out.data, "\r\n0\r\n") && !strstr(out.data, "bad") &&
					  !strstr(out.data, "body"),
				  "%s: %s", scripts[i], out.data);
			cr_expect(!strstr(out.data + 9, "HTTP/1."), "%s: %s", scripts[i], out.data);
			bct_buf_free(&out);
		}
	}
	test_gate_stop(&t);
}
