/*
 * test_gate_notice.c - what upstreams state about themselves in their answers is followed.
 */
#include "base/clock.h"
#include "tests/util_gate.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define WINDOW_MS 4000
#define WINDOW_EXTRA 5 /* requests beyond one and a half times the limit in the window */
#define REQUESTS 40
#define LIMIT_RPS 1

static test_gate_t t;

/* Sends requests whose answers name a limit of LIMIT_RPS. returns the number that got an answer. */
static uint32_t send_limited(uint32_t n, const char *name)
{
	uint32_t answered = 0;

	for (uint32_t i = 0; i < n; i++) {
		char id[48];
		bct_buf_t out;

		snprintf(id, sizeof(id), "%s-%u", name, i);
		answered += test_gate_call(&t, "POST", "/unsafe/a", id, "limit", &out) == 200;
		bct_buf_free(&out);
	}
	return answered;
}

/*
 * An engine in need names the rate that it accepts: it must get no more than that from then on,
 * however many requests are there for it.
 */
Test(gate_notice, a_named_limit_is_kept)
{
	bct_time_t start, elapsed_ms;
	uint32_t answered;

	test_gate_start(&t);
	cr_assert_eq(send_limited(1, "first"), 1);
	start = bct_clock_now();
	answered = send_limited(REQUESTS, "later");
	elapsed_ms = bct_clock_now() - start;
	if (elapsed_ms < WINDOW_MS)
		elapsed_ms = WINDOW_MS;
	cr_assert_leq(answered, WINDOW_EXTRA + LIMIT_RPS * elapsed_ms * 3 / 2 / BCT_MS_PER_S,
		      "%u requests in %lld ms", answered, (long long)elapsed_ms);
	test_gate_stop(&t);
}

/* Whether the only upstream of a service gets a request that is sent now. */
static bool reaches_upstream(const char *path, const char *id)
{
	bct_buf_t out;
	int status = test_gate_call(&t, "POST", path, id, "ok", &out);

	bct_buf_free(&out);
	return status == 200;
}

/*
 * An engine states that it leaves in the answer to any request, however that ends: it gets no new
 * request from then on, though the registry lists it as ready all the while.
 */
static void assert_leaves(const char *action)
{
	bct_buf_t out;

	test_gate_start(&t);
	cr_assert(reaches_upstream("/unsafe/a", "before"));
	test_gate_call(&t, "POST", "/unsafe/a", "leaves", action, &out);
	bct_buf_free(&out);
	for (int i = 0; i < 5; i++) {
		char id[32];

		snprintf(id, sizeof(id), "after-%d", i);
		cr_assert_not(reaches_upstream("/unsafe/a", id), "%s: request %d", action, i);
		bct_clock_sleep(3 * t.settings.platform_poll_ms);
	}
	test_gate_stop(&t);
}

Test(gate_notice, leaving_with_a_success)
{
	assert_leaves("leaving");
}

Test(gate_notice, leaving_with_an_error)
{
	assert_leaves("leaving500");
}

Test(gate_notice, leaving_with_a_refusal)
{
	assert_leaves("leaving503");
}

/* Each of the engines states it in the head of a stream, which ends as usual. */
Test(gate_notice, leaving_with_a_stream)
{
	uint32_t whole = 0;

	test_gate_start(&t);
	for (int i = 0; i < 5; i++) {
		char id[32];
		bct_buf_t out;

		snprintf(id, sizeof(id), "stream-%d", i);
		if (test_gate_call(&t, "POST", "/stream/a", id, "streamleaving", &out) == 200)
			whole += strstr(out.data, "e5") != NULL;
		bct_buf_free(&out);
	}
	cr_assert_eq(whole, GATE_UPSTREAMS);
	test_gate_stop(&t);
}

Test(gate_notice, an_unreadable_statement_is_ignored)
{
	bct_buf_t out;

	test_gate_start(&t);
	test_gate_call(&t, "POST", "/unsafe/a", "odd", "leavingbad", &out);
	bct_buf_free(&out);
	cr_assert(reaches_upstream("/unsafe/a", "after"));
	test_gate_stop(&t);
}

static uint32_t arrivals(void)
{
	uint32_t n;

	pthread_mutex_lock(&t.lock);
	n = t.n_runs;
	pthread_mutex_unlock(&t.lock);
	return n;
}

static int call(const char *id, const char *action)
{
	bct_buf_t out;
	int status = test_gate_call(&t, "POST", "/unsafe/a", id, action, &out);

	bct_buf_free(&out);
	return status;
}

/*
 * A full engine turns a request away and asks for a pause: requests that come meanwhile don't reach
 * it, and are refused as not run.
 */
Test(gate_notice, a_pause_is_kept)
{
	uint32_t before;

	test_gate_start(&t);
	cr_assert_eq(call("pause", "pause"), 503);
	before = arrivals();
	for (int i = 0; i < 10; i++) {
		char id[32];

		snprintf(id, sizeof(id), "during-%d", i);
		cr_assert_eq(call(id, "ok"), 503);
	}
	cr_assert_eq(arrivals(), before);
	test_gate_stop(&t);
}

/* The upstream is used again once the pause is over. */
Test(gate_notice, a_pause_ends)
{
	bct_time_t end = bct_clock_now() + 15000;
	int status = 503;

	test_gate_start(&t);
	cr_assert_eq(call("pause", "pauseshort"), 503);
	for (int i = 0; status != 200 && bct_clock_now() < end; i++) {
		char id[32];

		snprintf(id, sizeof(id), "after-%d", i);
		status = call(id, "ok");
		bct_clock_sleep(50);
	}
	cr_assert_eq(status, 200);
	test_gate_stop(&t);
}

/* A pause that can't be read is none. */
Test(gate_notice, an_unreadable_pause_is_ignored)
{
	test_gate_start(&t);
	cr_assert_eq(call("pause", "pausebad"), 503);
	cr_assert_eq(call("after", "ok"), 200);
	test_gate_stop(&t);
}

/* All three engines of a service ask for a pause: none is asked again, no request waits in vain. */
Test(gate_notice, all_engines_pause)
{
	uint32_t before;

	test_gate_start(&t);
	for (int i = 0; i < 2 * GATE_UPSTREAMS; i++) {
		char id[32];
		bct_buf_t out;

		snprintf(id, sizeof(id), "pause-%d", i);
		test_gate_call(&t, "POST", "/stream/a", id, "pause", &out);
		bct_buf_free(&out);
	}
	before = arrivals();
	for (int i = 0; i < 10; i++) {
		char id[32];
		bct_buf_t out;

		snprintf(id, sizeof(id), "during-%d", i);
		cr_assert_eq(test_gate_call(&t, "POST", "/stream/a", id, "ok", &out), 503);
		bct_buf_free(&out);
	}
	cr_assert_eq(arrivals(), before);
	test_gate_stop(&t);
}

/* An upstream that falls over if it has to turn away many: one that was turned away is the last one
 * for a second, at this node. */
Test(gate_notice, a_brittle_upstream_that_was_full_is_left_alone)
{
	bct_buf_t out;

	test_gate_start(&t);
	cr_assert_eq(test_gate_call(&t, "POST", "/unsafe/a", "b0", "brittle", &out), 200);
	bct_buf_free(&out);
	/* What may be sent unseen is earned from then on. */
	bct_clock_sleep(100);
	cr_expect(reaches_upstream("/unsafe/a", "b1"), "it has room");
	cr_assert_eq(test_gate_call(&t, "POST", "/unsafe/a", "b2", "brittlefull", &out), 503);
	bct_buf_free(&out);
	for (int i = 0; i < 5; i++) {
		char id[16];

		snprintf(id, sizeof(id), "b3-%d", i);
		cr_expect_not(reaches_upstream("/unsafe/a", id));
	}
	bct_clock_sleep(1100);
	cr_expect(reaches_upstream("/unsafe/a", "b4"));
	test_gate_stop(&t);
}

/* A statement that can't be read changes nothing. */
Test(gate_notice, an_unreadable_number_makes_nothing_brittle)
{
	bct_buf_t out;

	test_gate_start(&t);
	cr_assert_eq(test_gate_call(&t, "POST", "/unsafe/a", "u0", "brittlebad", &out), 200);
	bct_buf_free(&out);
	cr_assert_eq(test_gate_call(&t, "POST", "/unsafe/a", "u1", "notrun", &out), 503);
	bct_buf_free(&out);
	cr_expect(reaches_upstream("/unsafe/a", "u2"));
	test_gate_stop(&t);
}
