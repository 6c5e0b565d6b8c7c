/*
 * test_gate_broken.c - upstreams in trouble send bytes that are no answer, or only a part of one:
 * neither may reach a caller as an answer. util_raw.h sends them.
 */
#include "base/clock.h"
#include "tests/util_gate.h"
#include "tests/util_raw.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define OWN "X-Buckthornchute-Request-Attempt-Id: @id\r\nX-Buckthornchute-Server-Seal: s\r\n"
#define BROKEN(first_line)                                                      \
	{                                                                       \
		.text = first_line "\r\n" OWN "Content-Length: 6\r\n\r\ntheirs" \
	}
#define BARE(first_line)                             \
	{                                            \
		.text = first_line "\r\n" OWN "\r\n" \
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
