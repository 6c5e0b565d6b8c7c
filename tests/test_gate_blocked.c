/*
 * test_gate_blocked.c - requests that crash upstreams are refused by all gateways of a fleet, also
 * by those that were not there when it was found out.
 */
#include "base/clock.h"
#include "gate/gate_int.h"
#include "tests/util_gate.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define FLEET 3
#define LARGE_FLEET 16 /* more gateways than exchange reports without hubs */
#define TIMEOUT_MS 15000
#define BAD_PARTS "a1:100,bad:200,%x:100"

static test_gate_t gates[LARGE_FLEET + 1];

/* Sends a request without effect on any record until it is refused unrun, or TIMEOUT_MS passed. */
static bool becomes_refused(test_gate_t *t, const char *path, const char *name)
{
	bct_time_t end = bct_clock_now() + TIMEOUT_MS;

	for (int i = 0; bct_clock_now() < end; i++) {
		char id[48];
		bct_buf_t out;
		int status;

		snprintf(id, sizeof(id), "%s-%d", name, i);
		status = test_gate_call(t, "POST", path, id, "error", &out);
		bct_buf_free(&out);
		if (status == 503 && !test_gate_runs(&gates[0], id))
			return true;
		bct_clock_sleep(100);
	}
	return false;
}

/* Sends a request that crashes its upstreams to a gateway until it is refused. */
static void crash_until_refused(test_gate_t *t, const char *path)
{
	bct_time_t end = bct_clock_now() + TIMEOUT_MS;
	int status = 0;

	for (int i = 0; status != 503 && bct_clock_now() < end; i++) {
		char id[48];
		bct_buf_t out;

		snprintf(id, sizeof(id), "crash-%d", i);
		status = test_gate_call(t, "POST", path, id, "reset", &out);
		bct_buf_free(&out);
		/* Upstreams that failed are avoided for a while, as long as there are others. */
		bct_clock_sleep(50);
	}
	cr_assert_eq(status, 503);
}

/* A node that starts, or was cut off, when a crashing request was found out has not got the reports
 * of the crashes: it must not run the request on three more upstreams. */
Test(gate_blocked, a_gateway_that_joins_learns)
{
	test_gate_start_fleet(gates, FLEET);
	test_gate_wait_joined(gates, FLEET);
	crash_until_refused(&gates[0], "/stream/crash");
	for (uint32_t i = 1; i < FLEET; i++)
		cr_assert(becomes_refused(&gates[i], "/stream/crash", "peer"), "gateway %u", i);
	/* Longer than the reports of the crashes are repeated. */
	bct_clock_sleep(1000);
	test_gate_join_fleet(gates, FLEET);
	cr_assert(becomes_refused(&gates[FLEET], "/stream/crash", "joined"));
}

/* Sends a request whose prompt has the bad part and is like no other. returns the status */
static int send_bad(test_gate_t *t, uint32_t i, const char *script)
{
	char id[32], path[48], parts[96];
	bct_buf_t out;
	int status;

	snprintf(id, sizeof(id), "bad-%u", i);
	snprintf(path, sizeof(path), "/stream/bad-%u", i);
	snprintf(parts, sizeof(parts), BAD_PARTS, 0x1000 + i);
	status = test_gate_prompt(t, path, id, script, parts, &out);
	bct_buf_free(&out);
	return status;
}

/* Whether the gateway refuses requests with the bad part before TIMEOUT_MS have passed. */
static bool refuses_part(test_gate_t *t, uint32_t first)
{
	bct_time_t end = bct_clock_now() + TIMEOUT_MS;

	for (uint32_t i = first; bct_clock_now() < end; i++) {
		char id[32];

		snprintf(id, sizeof(id), "bad-%u", i);
		if (send_bad(t, i, "error") == 503 && !test_gate_runs(&gates[0], id))
			return true;
		bct_clock_sleep(100);
	}
	return false;
}

/* Each gateway sees one crash; together they find the part out, and all refuse it, also one that
 * joins later. */
static void assert_part_is_refused_by_all(uint32_t n)
{
	test_gate_start_fleet(gates, n);
	test_gate_wait_joined(gates, n);
	bct_clock_sleep(BCT_GATE_PART_LEARN_MS);
	for (uint32_t i = 0; i < BCT_GATE_PART_CRASHES; i++) {
		send_bad(&gates[i % n], i, "streamdie");
		bct_clock_sleep(500);
		test_gate_restart_engines(&gates[0]);
	}
	for (uint32_t i = 0; i < n; i++)
		cr_assert(refuses_part(&gates[i], 1000 * (i + 1)), "gateway %u", i);
	test_gate_join_fleet(gates, n);
	cr_assert(refuses_part(&gates[n], 1000 * (n + 1)), "joined");
}

Test(gate_blocked, a_part_is_refused_by_all)
{
	assert_part_is_refused_by_all(FLEET);
}

/* Hubs relay the reports. */
Test(gate_blocked, a_part_is_refused_by_a_large_fleet)
{
	assert_part_is_refused_by_all(LARGE_FLEET);
}
