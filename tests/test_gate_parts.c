/*
 * test_gate_parts.c - a part of prompts that crashes each upstream that begins to answer a request
 * with it, whatever else the request holds. The requests come from the account, and begin with the
 * part, of requests that are sound.
 */
#include "base/clock.h"
#include "policy/gate_part_judge.h"
#include "tests/util_gate.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define ENDED_MAX 5 /* upstreams that may end until the part is found out */
#define REQUESTS 8
#define SETTLE_MS 700 /* for the judgement after a crash, with room for a slow machine */

static test_gate_t t;

/* Sends a request that is like no other: parts A, the middle one, and one of its own. */
static int send_prompt(const char *name, int i, const char *middle, const char *script)
{
	char id[32], path[48], parts[96];
	bct_buf_t out;
	int status;

	snprintf(id, sizeof(id), "%s-%d", name, i);
	snprintf(path, sizeof(path), "/stream/%s-%d", name, i);
	snprintf(parts, sizeof(parts), "a1:100,%s:200,%x:100", middle, 0x1000 + i);
	status = test_gate_prompt(&t, path, id, script, parts, &out);
	bct_buf_free(&out);
	return status;
}

static void assert_part_is_blocked(const char *script)
{
	uint32_t ended = 0;

	test_gate_start(&t);
	/* A gateway that has just started takes twice as many crashes. */
	bct_clock_sleep(BCT_GATE_PART_LEARN_MS);
	for (int i = 0; i < REQUESTS; i++) {
		char id[32];

		cr_assert_eq(send_prompt("sound", i, "50", "stream"), 200, "sound request %d", i);
		send_prompt("bad", i, "bad", script);
		bct_clock_sleep(SETTLE_MS);
		ended += test_gate_restart_engines(&t);
		snprintf(id, sizeof(id), "bad-%d", i);
		cr_assert(i < ENDED_MAX || !test_gate_runs(&t, id), "%s ran", id);
	}
	cr_assert_leq(ended, ENDED_MAX);
	cr_assert_eq(send_prompt("last", 0, "bad", "stream"), 503);
	cr_assert_eq(test_gate_runs(&t, "last-0"), 0);
	cr_assert_eq(send_prompt("last", 1, "51", "stream"), 200, "same account and first part");
	test_gate_stop(&t);
}

/* No two requests with the part are alike, so no judge of whole requests can stop them. */
Test(gate_parts, a_part_that_crashes_upstreams_is_blocked)
{
	assert_part_is_blocked("streamdie");
}

/* The upstream ends without a byte of an answer. */
Test(gate_parts, also_before_any_answer)
{
	assert_part_is_blocked("die");
}
