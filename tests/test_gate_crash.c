/*
 * test_gate_crash.c - requests that crash engine after engine, and those that merely were there.
 */
#include "policy/gate_crash.h"

#include <criterion/criterion.h>

#define CULPRIT 11
#define OTHER 12
#define START 1000000

/* A request that crashes each engine is refused after three, for a while. */
Test(gate_crash, three_upstreams_are_enough)
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

/* News come more than once and from several nodes; one crash counts once. */
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

/* A group of engines crashes: requests there are answered elsewhere, and are innocent. */
Test(gate_crash, an_answer_clears)
{
	bct_gate_crashes_t t = { 0 };

	bct_gate_crash_record(&t, START, CULPRIT, 1);
	bct_gate_crash_record(&t, START, CULPRIT, 2);
	cr_assert(bct_gate_crash_clear(&t, CULPRIT));
	cr_assert(!bct_gate_crash_clear(&t, CULPRIT));
	cr_assert_eq(bct_gate_crash_record(&t, START, CULPRIT, 3), 1);
	bct_gate_crashes_free(&t);
}

/* Crashes long ago do not add up with new ones. */
Test(gate_crash, old_crashes_fade)
{
	bct_gate_crashes_t t = { 0 };
	bct_time_t later = START + BCT_GATE_CRASH_KEEP_MS;

	bct_gate_crash_record(&t, START, CULPRIT, 1);
	bct_gate_crash_record(&t, START, CULPRIT, 2);
	cr_assert_eq(bct_gate_crash_record(&t, later, CULPRIT, 3), 1);
	bct_gate_crashes_free(&t);
}

/* Thousands of requests lost with a whole fleet of engines: the table stays bounded. */
Test(gate_crash, the_table_is_bounded)
{
	bct_gate_crashes_t t = { 0 };

	for (uint64_t i = 1; i < 5000; i++)
		bct_gate_crash_record(&t, START, i, 1);
	cr_assert_leq(t.map.n, 1024);
	cr_assert_eq(bct_gate_crash_record(&t, START, 4999, 2), 0);
	bct_gate_crashes_free(&t);
}
