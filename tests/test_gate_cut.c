/*
 * test_gate_cut.c - gateways that lose their links to all upstreams, while callers and the other
 * gateways still reach them, serve their callers through another gateway.
 */
#include "base/clock.h"
#include "tests/util_cut.h"
#include "tests/util_gate.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define FLEET 3
#define CALLS 10
#define NOTICE_MS 1500 /* less than the shortest time after which callers are to feel nothing */
#define BACK_MS 5000   /* until links that are back are used */

static test_gate_t gates[FLEET];

static void setup(void)
{
	test_gate_start_fleet(gates, FLEET);
	test_gate_wait_joined(gates, FLEET);
}

TestSuite(gate_cut, .init = setup, .timeout = 120);

/* Requests of three kinds at a gateway; returns how many were not served at the first try. */
static uint32_t count_unserved(test_gate_t *t, const char *name)
{
	static const char *const kinds[][2] = { { "/safe/", "ok" },
						{ "/unsafe/", "ok" },
						{ "/stream/", "stream" } };
	uint32_t unserved = 0;

	for (uint32_t i = 0; i < CALLS * 3; i++) {
		char id[48], path[64];
		bct_buf_t out;

		snprintf(id, sizeof(id), "%s-%u", name, i);
		snprintf(path, sizeof(path), "%s%s", kinds[i % 3][0], id);
		unserved += test_gate_call(t, "POST", path, id, kinds[i % 3][1], &out) != 200;
		cr_expect_leq(test_gate_runs(&gates[0], id), 1, "%s ran twice", id);
		bct_buf_free(&out);
	}
	return unserved;
}

/* Keeps sending until a request that may be repeated is answered, so that the cut is noticed. */
static void let_it_notice(test_gate_t *t, const char *name)
{
	bct_time_t end = bct_clock_now() + NOTICE_MS;

	for (int i = 0; bct_clock_now() < end; i++) {
		char id[48];
		bct_buf_t out;
		int status;

		snprintf(id, sizeof(id), "%s-notice-%d", name, i);
		status = test_gate_call(t, "GET", "/safe/n", id, "ok", &out);
		bct_buf_free(&out);
		snprintf(id, sizeof(id), "%s-notice-u%d", name, i);
		if (status == 200)
			status = test_gate_call(t, "POST", "/unsafe/n", id, "ok", &out);
		else
			continue;
		bct_buf_free(&out);
		if (status == 200)
			return;
	}
}

static void assert_served_while(test_cut_t how, const char *name)
{
	cr_assert_eq(count_unserved(&gates[1], name), 0);
	test_cut(gates, 1, how);
	let_it_notice(&gates[1], name);
	for (uint32_t i = 0; i < 3; i++) {
		char id[32];

		snprintf(id, sizeof(id), "%s-cut%u", name, i);
		cr_expect_eq(count_unserved(&gates[1], id), 0);
	}
}

/* Callers of a VM whose connections to upstreams are refused got 503 at once. */
Test(gate_cut, served_while_connections_are_refused)
{
	assert_served_while(TEST_CUT_REFUSED, "r");
}

/* Callers of a VM whose connections hang waited, and got 503 or nothing. */
Test(gate_cut, served_while_connections_hang)
{
	assert_served_while(TEST_CUT_HANGS, "h");
}

/* Connections that were open live on, new ones are refused. */
Test(gate_cut, served_while_only_new_connections_are_refused)
{
	assert_served_while(TEST_CUT_NEW, "n");
}

/* Most of a fleet is cut off: all callers are served by the one that is left. */
Test(gate_cut, one_gateway_serves_all)
{
	test_cut(gates, 1, TEST_CUT_REFUSED);
	test_cut(gates, 2, TEST_CUT_HANGS);
	let_it_notice(&gates[1], "a");
	let_it_notice(&gates[2], "b");
	cr_expect_eq(count_unserved(&gates[1], "a"), 0);
	cr_expect_eq(count_unserved(&gates[2], "b"), 0);
}
