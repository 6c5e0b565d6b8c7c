/*
 * test_gate.c - tests of a complete gateway against misbehaving upstreams: what callers receive,
 * and how often a request runs. util_gate.h lists the scripted actions.
 */
#include "base/clock.h"
#include "tests/util_gate.h"

#include <criterion/criterion.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

typedef struct expected {
	const char *method;
	const char *path;
	const char *script; /* actions of the upstreams, by attempt */
	int status;
	uint32_t runs;
	const char *body; /* the response contains it; NULL: not checked */
} expected_t;

static void check_calls(const expected_t *e, size_t n)
{
	test_gate_t t;

	test_gate_start(&t);
	for (size_t i = 0; i < n; i++) {
		char id[32];
		bct_buf_t out;
		int status;

		snprintf(id, sizeof(id), "call-%zu", i);
		status = test_gate_call(&t, e[i].method, e[i].path, id, e[i].script, &out);
		cr_assert_eq(status, e[i].status, "%s %s: %s", e[i].path, e[i].script, out.data);
		cr_assert_eq(test_gate_runs(&t, id), e[i].runs, "%s %s: %u runs", e[i].path,
			     e[i].script, test_gate_runs(&t, id));
		if (e[i].body)
			cr_assert(strstr(out.data, e[i].body), "%s %s: %s", e[i].path, e[i].script,
				  out.data);
		bct_buf_free(&out);
	}
	test_gate_stop(&t);
}

/* A request that is not repeatable is sent once. It gets 503 only when the upstream stated that it
 * was not run, and 502 when it may have run. */
Test(gate, unsafe_requests_run_once)
{
	static const expected_t e[] = {
		{ "POST", "/unsafe/a", "ok", 200, 1, "body" },
		{ "POST", "/unsafe/a", "error", 500, 1, "bad" },
		{ "POST", "/unsafe/a", "reset", 502, 1, NULL },
		{ "POST", "/unsafe/a", "cut", 502, 1, NULL },
		{ "POST", "/unsafe/a", "noseal", 502, 1, NULL },
		{ "POST", "/unsafe/a", "notrun", 503, 1, "Retry-After" },
		{ "POST", "/unsafe/a", "wrong", 503, 1, "Retry-After" },
	};

	check_calls(e, sizeof(e) / sizeof(e[0]));
}

/* A safe request is retried once at another upstream, whatever the first one did wrong. If that
 * fails too, the response states whether the request may have run. */
Test(gate, safe_requests_are_retried)
{
	static const expected_t e[] = {
		{ "GET", "/safe/a", "error,ok", 200, 2, "body" },
		{ "GET", "/safe/a", "reset,ok", 200, 2, "body" },
		{ "GET", "/safe/a", "cut,ok", 200, 2, "body" },
		{ "GET", "/safe/a", "noseal,ok", 200, 2, "body" },
		{ "GET", "/safe/a", "silent,ok", 200, 2, "body" },
		{ "GET", "/safe/a", "notrun,ok", 200, 2, "body" },
		{ "GET", "/safe/a", "wrong,ok", 200, 2, "body" },
		{ "GET", "/safe/a", "error,error", 500, 2, "bad" },
		{ "GET", "/safe/a", "notrun,notrun", 503, 2, "Retry-After" },
		{ "GET", "/safe/a", "reset,notrun", 502, 2, NULL },
		{ "GET", "/safe/a", "reset,reset", 502, 2, NULL },
	};

	check_calls(e, sizeof(e) / sizeof(e[0]));
}

/* A response with another request's attempt id must not reach the caller, and a connection with
 * bytes behind a response must not be reused. */
Test(gate, mismatched_responses_are_discarded)
{
	test_gate_t t;
	bct_buf_t out;

	test_gate_start(&t);
	cr_assert_eq(test_gate_call(&t, "POST", "/unsafe/a", "f1", "foreign", &out), 200);
	cr_assert(!strstr(out.data, "theirs"), "%s", out.data);
	bct_buf_free(&out);
	for (int i = 0; i < 5; i++) {
		char id[16];

		snprintf(id, sizeof(id), "x%d", i);
		cr_assert_eq(test_gate_call(&t, "POST", "/unsafe/a", id, "extra", &out), 200);
		cr_assert(!strstr(out.data, "more"), "%s", out.data);
		bct_buf_free(&out);
		cr_assert_eq(test_gate_runs(&t, id), 1);
	}
	test_gate_stop(&t);
}

static uint32_t count(const char *text, const char *what)
{
	uint32_t n = 0;

	for (const char *at = text; (at = strstr(at, what)) != NULL; at++)
		n++;
	return n;
}

/* Each event is delivered once, and only a complete stream ends with the last chunk. */
Test(gate, stream_delivery)
{
	test_gate_t t;
	bct_buf_t out;

	test_gate_start(&t);
	cr_assert_eq(test_gate_call(&t, "POST", "/stream/a", "s1", "stream", &out), 200);
	cr_assert_eq(count(out.data, "data: e"), 5);
	cr_assert(strstr(out.data, "\r\n0\r\n\r\n"));
	bct_buf_free(&out);
	/* Not resumable: the response is truncated, without a last chunk. */
	test_gate_call(&t, "POST", "/stream/a", "s2", "streamcut,stream", &out);
	cr_assert_eq(count(out.data, "data: e"), 2, "%s", out.data);
	cr_assert(!strstr(out.data, "\r\n0\r\n\r\n"));
	cr_assert_eq(test_gate_runs(&t, "s2"), 1);
	bct_buf_free(&out);
	test_gate_call(&t, "POST", "/stream/a", "s3", "streamhalf", &out);
	cr_assert_eq(count(out.data, "id: "), 1, "%s", out.data);
	cr_assert(!strstr(out.data, "\r\n0\r\n\r\n"));
	bct_buf_free(&out);
	test_gate_stop(&t);
}

/* A resumable stream that fails continues at another upstream in the same response: each event is
 * delivered once. */
Test(gate, resumable_streams_continue_elsewhere)
{
	static const char *const scripts[] = { "streamcut,stream", "streamhalf,stream",
					       "streamquiet,stream", "reset,stream" };
	test_gate_t t;

	test_gate_start(&t);
	for (int i = 0; i < 4; i++) {
		char id[16];
		bct_buf_t out;

		snprintf(id, sizeof(id), "r%d", i);
		cr_assert_eq(test_gate_call(&t, "POST", "/resume/a", id, scripts[i], &out), 200);
		for (int e = 1; e <= 5; e++) {
			char event[16];

			snprintf(event, sizeof(event), "data: e%d\n", e);
			cr_assert_eq(count(out.data, event), 1, "%s: %s in %s", scripts[i], event,
				     out.data);
		}
		cr_assert(strstr(out.data, "\r\n0\r\n\r\n"));
		cr_assert_eq(count(out.data, "HTTP/1.1 200"), 1);
		cr_assert_eq(test_gate_runs(&t, id), 2);
		cr_assert_neq(strcmp(test_gate_run(&t, id, 0)->upstream_id,
				     test_gate_run(&t, id, 1)->upstream_id),
			      0);
		bct_buf_free(&out);
	}
	test_gate_stop(&t);
}

/* Headers that only the gateway may set are dropped from the caller's request, and so is the API
 * key; a chunked body is sent with its length. */
Test(gate, forwarded_headers)
{
	static const char request[] =
		"POST /unsafe/q?x=1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
		"Api-Key: k1\r\nX-Buckthornchute-Request-Attempt-Id: hd\r\n"
		"X-Buckthornchute-Tenant: mallory\r\nX-Buckthornchute-Hold: 1\r\n"
		"X-Buckthornchute-Pin-Milliseconds: 1\r\nKv-From: 1.2.3.4:5/6\r\n"
		"X-Buckthornchute-Expected-Instance: other\r\nX-Mine: kept\r\n"
		"X-Buckthornchute-Deadline-Milliseconds: 800\r\n"
		"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
	const gate_run_t *run;
	test_gate_t t;
	bct_buf_t out;

	test_gate_start(&t);
	test_gate_raw(&t, request, sizeof(request) - 1, 3000, &out);
	cr_assert(strstr(out.data, "200 OK"), "%s", out.data);
	run = test_gate_run(&t, "hd", 0);
	cr_assert(strstr(run->head, "POST /unsafe/q?x=1 HTTP/1.1\r\n"));
	cr_assert(strstr(run->head, "Tenant: acme\r\n"));
	cr_assert(strstr(run->head, "Expected-Instance: d-0\r\n"));
	cr_assert(strstr(run->head, "X-Mine: kept\r\n"));
	cr_assert(!strstr(run->head, "mallory") && !strstr(run->head, "Hold") &&
		  !strstr(run->head, "Pin-") && !strstr(run->head, "Kv-From") &&
		  !strstr(run->head, "Api-Key") && !strstr(run->head, "chunked"));
	cr_assert_str_eq(run->body, "abcde");
	bct_buf_free(&out);
	test_gate_stop(&t);
}

/* When a caller disconnects, the connection to the upstream is closed within half a second. */
Test(gate, caller_disconnects)
{
	static const char request[] =
		"POST /unsafe/a HTTP/1.1\r\nHost: h.example\r\nApi-Key: k1\r\n"
		"X-Buckthornchute-Request-Attempt-Id: gone\r\nX-Script: silent\r\n"
		"Content-Length: 0\r\n\r\n";
	test_gate_t t;
	bct_buf_t out;

	test_gate_start(&t);
	test_gate_raw(&t, request, sizeof(request) - 1, 200, &out);
	bct_buf_free(&out);
	bct_clock_sleep(500);
	cr_assert_eq(test_gate_runs(&t, "gone"), 1);
	cr_assert(test_gate_run(&t, "gone", 0)->aborted);
	test_gate_stop(&t);
}

/* The route's time limit, 1000 ms, ends a request that the upstream does not answer. */
Test(gate, time_limit)
{
	test_gate_t t;
	bct_buf_t out;
	bct_time_t begun;

	test_gate_start(&t);
	begun = bct_clock_now();
	cr_assert_eq(test_gate_call(&t, "POST", "/unsafe/a", "t1", "silent", &out), 504);
	cr_assert(bct_clock_now() - begun >= 1000);
	bct_buf_free(&out);
	test_gate_stop(&t);
}

/* Unknown path or host: 404. Unknown or missing API key: 401. */
Test(gate, routes_and_api_keys)
{
	static const struct {
		const char *request;
		const char *answer;
	} cases[] = {
		{ "GET /none/ HTTP/1.1\r\nHost: h.example\r\nApi-Key: k1\r\n", "404" },
		{ "GET /safe/ HTTP/1.1\r\nHost: other\r\nApi-Key: k1\r\n", "404" },
		{ "GET /safe/ HTTP/1.1\r\nHost: h.example\r\nApi-Key: k2\r\n", "401" },
		{ "GET /safe/ HTTP/1.1\r\nHost: h.example\r\n", "401" },
	};
	test_gate_t t;

	test_gate_start(&t);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		char text[512];
		bct_buf_t out;
		int n = snprintf(text, sizeof(text), "%sConnection: close\r\n\r\n",
				 cases[i].request);

		test_gate_raw(&t, text, (size_t)n, 3000, &out);
		cr_assert(!strncmp(out.data + 9, cases[i].answer, 3), "%s: %s", cases[i].request,
			  out.data);
		bct_buf_free(&out);
	}
	test_gate_stop(&t);
}

/* Requests that two parsers could frame differently are rejected and reach no upstream. */
Test(gate, bad_framing_is_rejected)
{
#define BAD(x)                   \
	{                        \
		x, sizeof(x) - 1 \
	}
	static const struct {
		const char *bytes;
		size_t len;
	} cases[] = {
		BAD("POST /unsafe/ HTTP/1.1\nHost: h.example\nContent-Length: 0\n\n"),
		BAD("POST /unsafe/ HTTP/1.1\r\nHost: h.example\nContent-Length: 0\r\n\r\n"),
		BAD("POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nA: b\r\n c\r\n\r\n"),
		BAD("POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nContent-Length : 3\r\n\r\nabc"),
		BAD("POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: +3\r\n\r\nabc"),
		BAD("POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3, 3\r\n\r\nabc"),
		BAD("POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\n"
		    "Content-Length: 3\r\n\r\nabc"),
		BAD("POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\n"
		    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
		BAD("POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: "
		    "odd\r\n\r\nabc"),
		BAD("POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\n"
		    "Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
		BAD("POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nA: b\0c\r\n\r\n"),
		BAD("POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nHost: h.example\r\n\r\n"),
		BAD("POST /unsafe/ HTTP/1.1\r\n\r\n"),
		BAD("POST  /unsafe/ HTTP/1.1\r\nHost: h.example\r\n\r\n"),
		BAD("nonsense\r\n\r\n"),
	};
#undef BAD
	test_gate_t t;

	test_gate_start(&t);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		uint32_t before = t.n_runs;
		bct_buf_t out;

		test_gate_raw(&t, cases[i].bytes, cases[i].len, 1500, &out);
		cr_assert(!strncmp(out.data, "HTTP/1.1 4", 10), "%s: %s", cases[i].bytes, out.data);
		cr_assert_eq(count(out.data, "HTTP/1.1"), 1);
		cr_assert_eq(t.n_runs, before, "%s reached an upstream", cases[i].bytes);
		bct_buf_free(&out);
	}
	test_gate_stop(&t);
}

/* Head too large: 431. Body too large: 413. Request not complete in time: 408. */
Test(gate, size_and_time_limits)
{
	char big[9000];
	test_gate_t t;
	bct_buf_t out;
	int n;

	test_gate_start(&t);
	n = snprintf(big, sizeof(big), "GET /safe/ HTTP/1.1\r\nHost: h.example\r\nA: ");
	memset(big + n, 'a', 5000);
	test_gate_raw(&t, big, (size_t)n + 5000, 2000, &out);
	cr_assert(strstr(out.data, "431"), "%s", out.data);
	bct_buf_free(&out);
	n = snprintf(big, sizeof(big),
		     "POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5000\r\n\r\n");
	memset(big + n, 'a', 5000);
	test_gate_raw(&t, big, (size_t)n + 5000, 2000, &out);
	cr_assert(strstr(out.data, "413"), "%s", out.data);
	bct_buf_free(&out);
	test_gate_raw(&t, "GET /safe/ HT", 13, 3000, &out);
	cr_assert(strstr(out.data, "408"), "%s", out.data);
	bct_buf_free(&out);
	test_gate_stop(&t);
}

/* Two requests that are sent at once on one connection get two responses, in order. */
Test(gate, pipelining)
{
	static const char two[] =
		"GET /safe/1 HTTP/1.1\r\nHost: h.example\r\nApi-Key: k1\r\n"
		"X-Buckthornchute-Request-Attempt-Id: p1\r\n\r\n"
		"GET /safe/2 HTTP/1.1\r\nHost: h.example\r\nApi-Key: k1\r\n"
		"X-Buckthornchute-Request-Attempt-Id: p2\r\nConnection: close\r\n\r\n";
	test_gate_t t;
	bct_buf_t out;
	const char *first, *second;

	test_gate_start(&t);
	test_gate_raw(&t, two, sizeof(two) - 1, 3000, &out);
	first = strstr(out.data, "Attempt-Id: p1");
	second = strstr(out.data, "Attempt-Id: p2");
	cr_assert(first && second && first < second, "%s", out.data);
	bct_buf_free(&out);
	test_gate_stop(&t);
}

/* Without a configuration a request gets 503 with Retry-After rather than 404 or 401. */
Test(gate, not_ready)
{
	test_gate_t t;
	bct_buf_t out;

	test_gate_start_down(&t);
	cr_assert_eq(test_gate_call(&t, "GET", "/safe/a", "n1", "ok", &out), 503);
	cr_assert(strstr(out.data, "Retry-After"));
	bct_buf_free(&out);
	test_gate_stop(&t);
}

/* An older version does not replace a newer one, and a configuration that cannot be decoded is
 * ignored. */
Test(gate, configuration_version_never_decreases)
{
	test_gate_t t;
	bct_buf_t out;

	test_gate_start(&t);
	test_gate_publish(&t, test_gate_config(5, "desk"));
	cr_assert_eq(test_gate_call(&t, "GET", "/safe/a", "v5", "ok", &out), 200);
	bct_buf_free(&out);
	cr_assert_str_eq(test_gate_run(&t, "v5", 0)->upstream_id, "d-0");
	test_gate_publish(&t, test_gate_config(4, "model"));
	test_gate_call(&t, "GET", "/safe/a", "v4", "ok", &out);
	bct_buf_free(&out);
	cr_assert_str_eq(test_gate_run(&t, "v4", 0)->upstream_id, "d-0");
	test_gate_publish(&t, "{\"version\":9,\"routes\":[{\"name\":1}],\"services\":[]}");
	cr_assert_eq(test_gate_call(&t, "GET", "/safe/a", "v9", "ok", &out), 200);
	bct_buf_free(&out);
	test_gate_stop(&t);
}

/* A caller repeats a request that crashes each upstream. After crashes of three upstreams it is
 * refused without being run; other requests are not affected. */
Test(gate, crashing_request_is_blocked)
{
	test_gate_t t;
	uint32_t runs = 0;
	int status = 0;
	bct_buf_t out;

	test_gate_start(&t);
	for (int i = 0; i < 40 && status != 503; i++) {
		char id[16];

		snprintf(id, sizeof(id), "c%d", i);
		status = test_gate_call(&t, "POST", "/stream/crash", id, "reset", &out);
		runs += test_gate_runs(&t, id);
		cr_assert(status != 503 || !test_gate_runs(&t, id));
		bct_buf_free(&out);
		/* Upstreams that failed are avoided for a while, as long as there are others. */
		bct_clock_sleep(50);
	}
	cr_assert_eq(status, 503);
	cr_assert_geq(runs, 3);
	cr_assert_eq(test_gate_call(&t, "POST", "/stream/crash", "c-ok", "stream", &out), 503);
	cr_assert(strstr(out.data, "Retry-After"));
	cr_assert_eq(test_gate_runs(&t, "c-ok"), 0);
	bct_buf_free(&out);
	cr_assert_eq(test_gate_call(&t, "POST", "/stream/other", "c-other", "stream", &out), 200);
	bct_buf_free(&out);
	test_gate_stop(&t);
}

/* A request whose upstreams crash after the gateway has given up waiting for them, and has closed
 * its connection, is blocked after as many crashes as one whose connections break. */
Test(gate, crashes_after_silence_count)
{
	test_gate_t t;
	uint32_t ended = 0;
	bct_buf_t out;

	test_gate_start(&t);
	for (int i = 0; i < 2; i++) {
		char id[16];

		snprintf(id, sizeof(id), "die%d", i);
		cr_assert_neq(test_gate_call(&t, "GET", "/safe/crash", id, "die", &out), 200);
		bct_buf_free(&out);
		/* Both upstreams that got it are to end, also the one whose connection is closed.
		 */
		bct_clock_sleep(300);
		ended += test_gate_restart_engines(&t);
	}
	cr_assert_geq(ended, 3, "%u upstreams ended", ended);
	cr_assert_eq(test_gate_call(&t, "GET", "/safe/crash", "dieX", "ok", &out), 503, "%s",
		     out.data);
	cr_assert_eq(test_gate_runs(&t, "dieX"), 0);
	bct_buf_free(&out);
	cr_assert_eq(test_gate_call(&t, "GET", "/safe/other", "sound", "ok", &out), 200);
	bct_buf_free(&out);
	test_gate_stop(&t);
}

/* Engines that crash come back under the id that they had. A request that has crashed one engine
 * three times is as harmful as one that has crashed three. */
Test(gate, runs_under_one_id_are_different_upstreams)
{
	test_gate_t t;
	uint32_t ended = 0;
	int status = 0;
	bct_buf_t out;

	test_gate_start(&t);
	t.keep_ids = true;
	for (int i = 0; i < 12 && status != 503; i++) {
		char id[16];

		snprintf(id, sizeof(id), "same%d", i);
		status = test_gate_call(&t, "POST", "/unsafe/crash", id, "die", &out);
		bct_buf_free(&out);
		bct_clock_sleep(100);
		ended += test_gate_restart_desk(&t);
	}
	cr_assert_eq(status, 503, "%u runs of one engine ended", ended);
	cr_assert_eq(ended, 3);
	test_gate_stop(&t);
}

static void *send_sigterm(void *arg)
{
	const test_gate_t *t = arg;

	bct_clock_sleep(200);
	/* A signal to the process could interrupt system calls of other threads. */
	pthread_kill(t->thread, SIGTERM);
	return NULL;
}

/* On SIGTERM a running stream may use the full grace period (gate.grace_ms), even if that is
 * longer than the timeout of a registry call. */
Test(gate, stop_waits_for_streams)
{
	test_gate_t t;
	bct_buf_t out;
	pthread_t stopper;

	test_gate_start(&t);
	cr_assert_eq(pthread_create(&stopper, NULL, send_sigterm, &t), 0);
	cr_assert_eq(test_gate_call(&t, "POST", "/stream/a", "d1", "streamslow", &out), 200);
	pthread_join(stopper, NULL);
	cr_assert_eq(count(out.data, "data: e"), 5, "%s", out.data);
	cr_assert(strstr(out.data, "\r\n0\r\n\r\n"));
	bct_buf_free(&out);
	test_gate_stop(&t);
}

/*
 * A stream that came on a kept connection after callers had been told to go elsewhere was run, and
 * cut when the grace period ended: it could not end in time, and its caller had lost it.
 */
Test(gate, a_stop_takes_on_nothing_that_may_not_end_in_time)
{
	static const char head[] = "POST /stream/a HTTP/1.1\r\nHost: h.example\r\nApi-Key: k1\r\n"
				   "X-Buckthornchute-Request-Attempt-Id: %s\r\n"
				   "X-Script: streamslow\r\nContent-Length: 0\r\n\r\n";
	char text[1024];
	test_gate_t t;
	bct_buf_t out;
	pthread_t stopper;
	int n;

	test_gate_start(&t);
	cr_assert_eq(pthread_create(&stopper, NULL, send_sigterm, &t), 0);
	/* The second one is read when the first has ended, 2.2 s later, of 4 s of grace. */
	n = snprintf(text, sizeof(text), head, "s1");
	n += snprintf(text + n, sizeof(text) - (size_t)n, head, "s2");
	test_gate_raw(&t, text, (size_t)n, 6000, &out);
	pthread_join(stopper, NULL);
	cr_expect_eq(count(out.data, "data: e"), 5, "%s", out.data);
	cr_expect(strstr(out.data, "HTTP/1.1 503"), "%s", out.data);
	cr_expect_eq(test_gate_runs(&t, "s2"), 0);
	bct_buf_free(&out);
	test_gate_stop(&t);
}

/* When a service's only upstream has been removed from the registry, a request is refused at once,
 * with a status that states that it was not run. */
Test(gate, no_upstream)
{
	test_gate_t t;
	bct_buf_t out;

	test_gate_start(&t);
	pthread_mutex_lock(&t.lock);
	t.desk_listed = false;
	pthread_mutex_unlock(&t.lock);
	bct_clock_sleep(300);
	cr_assert_eq(test_gate_call(&t, "POST", "/unsafe/a", "u1", "ok", &out), 503);
	cr_assert(strstr(out.data, "Retry-After"));
	cr_assert_eq(test_gate_runs(&t, "u1"), 0);
	bct_buf_free(&out);
	test_gate_stop(&t);
}
