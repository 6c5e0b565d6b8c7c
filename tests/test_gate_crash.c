/*
 * test_gate_crash.c - requests that crash one engine after another, and requests that were merely
 * in flight when an engine crashed.
 */
#include "policy/gate_crash.h"

#include <criterion/criterion.h>

#define CULPRIT 11
#define OTHER 12
#define START 1000000

/* A request that crashes every engine is refused after three, until its record expires. */
Test(gate_crash, refused_after_three_upstreams)
{
	bct_gate_crashes_t t = { 0 };

	cr_assert_eq(bct_gate_crash_record(&t, START, CULPRIT, 1), 1);
	cr_assert_eq(bct_gate_crash_record(&t, START + 10, CULPRIT, 2), 2);
	cr_assert_eq(bct_gate_crash_remaining_ms(&t, START + 10, CULPRIT), 0);
	cr_assert_eq(bct_gate_crash_record(&t, START + 20, CULPRIT, 3), 3);
	cr_assert_eq(bct_gate_crash_remaining_ms(&t, START + 20, CULPRIT), BCT_GATE_CRASH_KEEP_MS);
	cr_assert_eq(bct_gate_crash_remaining_ms(&t, START + 20, OTHER), 0);
	cr_assert_eq(bct_gate_crash_remaining_ms(&t, START + 20 + BCT_GATE_CRASH_KEEP_MS, CULPRIT),
		     0);
	bct_gate_crash_expire(&t, START + 20 + BCT_GATE_CRASH_KEEP_MS);
	cr_assert_eq(t.map.n, 0);
	bct_gate_crashes_free(&t);
}

/* Several nodes may report a crash, and more than once; it counts once. */
Test(gate_crash, the_same_crash_counts_once)
{
	bct_gate_crashes_t t = { 0 };

	for (int i = 0; i < 5; i++)
		bct_gate_crash_record(&t, START + i, CULPRIT, 1);
	cr_assert_eq(bct_gate_crash_record(&t, START + 9, CULPRIT, 1), 0);
	cr_assert_eq(bct_gate_crash_record(&t, START + 9, CULPRIT, 2), 2);
	cr_assert_eq(bct_gate_crash_remaining_ms(&t, START + 9, CULPRIT), 0);
	bct_gate_crashes_free(&t);
}

/* Requests in flight while a group of engines crashes are answered elsewhere, which clears them. */
Test(gate_crash, an_answer_clears_the_record)
{
	bct_gate_crashes_t t = { 0 };

	bct_gate_crash_record(&t, START, CULPRIT, 1);
	bct_gate_crash_record(&t, START, CULPRIT, 2);
	cr_assert(bct_gate_crash_clear(&t, CULPRIT));
	cr_assert(!bct_gate_crash_clear(&t, CULPRIT));
	cr_assert_eq(bct_gate_crash_record(&t, START, CULPRIT, 3), 1);
	bct_gate_crashes_free(&t);
}

/* Expired crashes do not count together with new ones. */
Test(gate_crash, old_crashes_expire)
{
	bct_gate_crashes_t t = { 0 };
	bct_time_t later = START + BCT_GATE_CRASH_KEEP_MS;

	bct_gate_crash_record(&t, START, CULPRIT, 1);
	bct_gate_crash_record(&t, START, CULPRIT, 2);
	cr_assert_eq(bct_gate_crash_record(&t, later, CULPRIT, 3), 1);
	bct_gate_crashes_free(&t);
}

/* The table stays bounded when thousands of requests are lost with all engines of a fleet. */
Test(gate_crash, the_table_is_bounded)
{
	bct_gate_crashes_t t = { 0 };

	for (uint64_t i = 1; i < 5000; i++)
		bct_gate_crash_record(&t, START, i, 1);
	cr_assert_leq(t.map.n, 1024);
	cr_assert_eq(bct_gate_crash_record(&t, START, 4999, 2), 0);
	bct_gate_crashes_free(&t);
}
