/*
 * test_gate_unframed.c - answers without a length, and bytes of an upstream that do not end.
 * util_gate.h lists the scripted actions.
 */
#include "base/clock.h"
#include "tests/util_gate.h"

#include <criterion/criterion.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#define CALLS 12
#define MACHINE_KB (88 * 1024) /* memory of the smallest machine */

static test_gate_t t;

typedef struct expected {
	const char *method;
	const char *path;
	const char *script;
	int status;
	uint32_t runs;
} expected_t;

static void check(const expected_t *e, size_t n)
{
	test_gate_start(&t);
	for (size_t i = 0; i < n; i++) {
		char id[32];
		bct_buf_t out;
		int status;

		snprintf(id, sizeof(id), "call-%zu", i);
		status = test_gate_call(&t, e[i].method, e[i].path, id, e[i].script, &out);
		cr_expect_eq(status, e[i].status, "%s %s: %d", e[i].path, e[i].script, status);
		cr_expect_eq(test_gate_runs(&t, id), e[i].runs, "%s %s: %u runs", e[i].path,
			     e[i].script, test_gate_runs(&t, id));
		cr_expect(status != 200 || strstr(out.data, "body"), "%s: %s", e[i].script,
			  out.data);
		bct_buf_free(&out);
	}
	test_gate_stop(&t);
}

/* An answer may end with its connection; one that is reset is not complete. */
Test(gate_unframed, an_answer_may_end_with_its_connection)
{
	static const expected_t e[] = {
		{ "GET", "/safe/a", "unframed", 200, 1 },
		{ "POST", "/unsafe/a", "unframed", 200, 1 },
		{ "GET", "/safe/a", "unframedreset,ok", 200, 2 },
		{ "POST", "/unsafe/a", "unframedreset", 502, 1 },
	};

	check(e, sizeof(e) / sizeof(e[0]));
}

/* A stream, too; one that ends inside an event was broken off, and its caller must see that. */
Test(gate_unframed, a_stream_may_end_with_its_connection)
{
	bct_buf_t out;

	test_gate_start(&t);
	cr_assert_eq(test_gate_call(&t, "POST", "/stream/a", "s1", "streamunframed", &out), 200);
	cr_assert(strstr(out.data, "data: e5"));
	cr_assert(strstr(out.data, "\r\n0\r\n\r\n"));
	bct_buf_free(&out);
	test_gate_call(&t, "POST", "/stream/a", "s2", "streamunframedhalf", &out);
	cr_assert(strstr(out.data, "data: e1"));
	cr_assert(!strstr(out.data, "\r\n0\r\n\r\n"), "%s", out.data);
	bct_buf_free(&out);
	/* Where it may be resumed, the rest comes from another upstream. */
	cr_assert_eq(
		test_gate_call(&t, "POST", "/resume/a", "s3", "streamunframedhalf,stream", &out),
		200);
	cr_assert(strstr(out.data, "data: e5"));
	cr_assert(strstr(out.data, "\r\n0\r\n\r\n"));
	cr_assert_eq(test_gate_runs(&t, "s3"), 2);
	bct_buf_free(&out);
	test_gate_stop(&t);
}

/* Whatever comes without end is cut off, and the request is sent to another upstream in time. */
Test(gate_unframed, bytes_without_end_are_cut_off)
{
	static const expected_t e[] = {
		{ "GET", "/safe/a", "endlesshead,ok", 200, 2 },
		{ "GET", "/safe/a", "endlessline,ok", 200, 2 },
		{ "GET", "/safe/a", "endlessinterim,ok", 200, 2 },
		{ "GET", "/safe/a", "endlesschunk,ok", 200, 2 },
		{ "GET", "/safe/a", "endlessbody,ok", 200, 2 },
		{ "GET", "/safe/a", "endlessforeign,ok", 200, 2 },
		{ "POST", "/stream/a", "streamendless", 502, 1 },
	};

	check(e, sizeof(e) / sizeof(e[0]));
}

/* A request that is not repeatable is ended: it may have run. An upstream that sends nonsense is
 * not taken for one that the request crashed. */
Test(gate_unframed, unsafe_requests_end_and_are_not_blamed)
{
	static const expected_t e[] = {
		{ "POST", "/unsafe/a", "endlesshead", 502, 1 },
		{ "POST", "/unsafe/a", "endlessline", 502, 1 },
		{ "POST", "/unsafe/a", "endlessinterim", 502, 1 },
		{ "POST", "/unsafe/a", "endlesschunk", 502, 1 },
		{ "POST", "/unsafe/a", "endlessbody", 502, 1 },
		{ "POST", "/unsafe/a", "endlessforeign", 502, 1 },
		{ "POST", "/unsafe/a", "ok", 200, 1 },
	};

	check(e, sizeof(e) / sizeof(e[0]));
}

static void *call_endless(void *arg)
{
	char id[32];
	bct_buf_t out;

	snprintf(id, sizeof(id), "big-%u", *(uint32_t *)arg);
	test_gate_call(&t, "POST", "/unsafe/a", id, "endlessbody", &out);
	bct_buf_free(&out);
	return NULL;
}

/* Twelve answers without end at once must not take more memory than the smallest machine has. */
Test(gate_unframed, answers_without_end_fit_into_memory)
{
	pthread_t threads[CALLS];
	uint32_t numbers[CALLS];
	struct rusage before, after;

	test_gate_start(&t);
	getrusage(RUSAGE_SELF, &before);
	for (uint32_t i = 0; i < CALLS; i++) {
		numbers[i] = i;
		cr_assert_eq(pthread_create(&threads[i], NULL, call_endless, &numbers[i]), 0);
	}
	for (uint32_t i = 0; i < CALLS; i++)
		pthread_join(threads[i], NULL);
	getrusage(RUSAGE_SELF, &after);
	cr_assert_lt(after.ru_maxrss - before.ru_maxrss, MACHINE_KB);
	test_gate_stop(&t);
}
