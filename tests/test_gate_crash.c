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
	cr_assert(bct_gate_crash_clear(&t, START, CULPRIT));
	cr_assert(!bct_gate_crash_clear(&t, START, CULPRIT));
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

/* The table stays bounded when thousands of requests are lost with all engines of a fleet. Those of
 * the latest crash are on record, and what is refused stays so. */
Test(gate_crash, the_table_is_bounded)
{
	bct_gate_crashes_t t = { 0 };

	for (uint64_t upstream = 1; upstream <= BCT_GATE_CRASH_UPSTREAMS; upstream++)
		bct_gate_crash_record(&t, START, CULPRIT, upstream);
	bct_gate_crash_record(&t, START, OTHER, 1);
	bct_gate_crash_record(&t, START, OTHER, 2);
	for (uint64_t i = 1000; i < 6000; i++)
		bct_gate_crash_record(&t, START + (bct_time_t)i, i, 1);
	cr_assert_leq(t.map.n, 1024);
	cr_assert_eq(bct_gate_crash_record(&t, START + 6000, 5999, 2), 2);
	cr_assert_eq(bct_gate_crash_record(&t, START + 6000, 1000, 2), 1, "the oldest was dropped");
	cr_assert_neq(bct_gate_crash_remaining_ms(&t, START + 6000, CULPRIT), 0);
	cr_assert_eq(bct_gate_crash_record(&t, START + 6000, OTHER, 3), 3, "more upstreams stay");
	bct_gate_crashes_free(&t);
}

/* When the table is full of requests that are refused, a further one is not recorded. */
Test(gate_crash, refused_requests_are_never_dropped)
{
	bct_gate_crashes_t t = { 0 };

	for (uint64_t i = 1; i < 2000; i++) {
		for (uint64_t upstream = 1; upstream <= BCT_GATE_CRASH_UPSTREAMS; upstream++)
			bct_gate_crash_record(&t, START, i, upstream);
	}
	cr_assert_leq(t.map.n, 1024);
	cr_assert_eq(bct_gate_crash_record(&t, START, 5000, 1), 0);
	cr_assert_neq(bct_gate_crash_remaining_ms(&t, START, 1), 0);
	bct_gate_crashes_free(&t);
}

static void crash_all(bct_gate_crashes_t *t, bct_time_t now, uint64_t digest)
{
	for (uint64_t upstream = 1; upstream <= BCT_GATE_CRASH_UPSTREAMS; upstream++)
		bct_gate_crash_record(t, now, digest, upstream);
	cr_assert_neq(bct_gate_crash_remaining_ms(t, now, digest), 0);
}

/* Requests that are alike and sound, of many callers, are broken off by upstreams that fail: one
 * that is answered, as it was on the way, releases them at all nodes, also at those that learn of
 * it later than of the refusal. */
Test(gate_crash, an_answer_releases_for_good)
{
	bct_gate_crashes_t here = { 0 }, lags = { 0 };
	bct_gate_crash_block_t b;
	uint32_t pos = 0;

	crash_all(&here, START, CULPRIT);
	crash_all(&lags, START, CULPRIT);
	cr_assert(bct_gate_crash_clear(&here, START + 100, CULPRIT));
	cr_assert(bct_gate_crash_next_block(&lags, START + 500, &pos, &b));
	cr_assert_eq(bct_gate_crash_block(&here, START + 500, &b), BCT_GATE_CRASH_CLEARED);
	cr_assert_eq(bct_gate_crash_remaining_ms(&here, START + 500, CULPRIT), 0);
	/* Refused anew, after that. */
	crash_all(&here, START + 1000, CULPRIT);
	bct_gate_crashes_free(&here);
	bct_gate_crashes_free(&lags);
}

/* After a while one request is let through, again and again until one crashes its upstream. */
Test(gate_crash, one_trial_releases_or_fails)
{
	bct_time_t trial = START + BCT_GATE_CRASH_TRIAL_MS;
	bct_gate_crashes_t t = { 0 };

	crash_all(&t, START, CULPRIT);
	cr_assert(!bct_gate_crash_take_trial(&t, trial - 1, CULPRIT));
	cr_assert(bct_gate_crash_take_trial(&t, trial, CULPRIT));
	cr_assert(!bct_gate_crash_take_trial(&t, trial + 1, CULPRIT));
	cr_assert(bct_gate_crash_take_trial(&t, trial + BCT_GATE_CRASH_TRIAL_MS, CULPRIT));
	cr_assert_eq(bct_gate_crash_record(&t, trial + 20000, CULPRIT, 77), BCT_GATE_CRASH_FURTHER);
	cr_assert_eq(bct_gate_crash_record(&t, trial + 20000, CULPRIT, 78), 0, "news once");
	cr_assert(!bct_gate_crash_take_trial(&t, trial + 60000, CULPRIT));
	cr_assert_neq(bct_gate_crash_remaining_ms(&t, trial + 60000, CULPRIT), 0);
	bct_gate_crashes_free(&t);
}

/* The trial of another node failed: none here either. A crash that was on the way is no trial. */
Test(gate_crash, a_failed_trial_counts_at_all_nodes)
{
	bct_gate_crashes_t t = { 0 };

	crash_all(&t, START, CULPRIT);
	cr_assert_eq(bct_gate_crash_record(&t, START + 300, CULPRIT, 76), 0);
	cr_assert_eq(bct_gate_crash_record(&t, START + 12000, CULPRIT, 77), BCT_GATE_CRASH_FURTHER);
	cr_assert(!bct_gate_crash_take_trial(&t, START + 30000, CULPRIT));
	bct_gate_crashes_free(&t);
}

/* A node that was not there takes over what others refuse, for as long as they do. */
Test(gate_crash, announced_requests_are_refused)
{
	bct_gate_crashes_t there = { 0 }, joined = { 0 };
	bct_time_t later = START + 1000;
	bct_gate_crash_block_t b;
	uint32_t pos = 0, n = 0;

	for (uint64_t upstream = 1; upstream <= BCT_GATE_CRASH_UPSTREAMS; upstream++)
		bct_gate_crash_record(&there, START, CULPRIT, upstream);
	bct_gate_crash_record(&there, START, OTHER, 1);
	while (bct_gate_crash_next_block(&there, later, &pos, &b)) {
		cr_assert_eq(b.digest, CULPRIT);
		cr_assert_eq(bct_gate_crash_block(&joined, later, &b), BCT_GATE_CRASH_NEWS);
		cr_assert_eq(bct_gate_crash_block(&joined, later, &b), BCT_GATE_CRASH_KNOWN);
		n++;
	}
	cr_assert_eq(n, 1);
	cr_assert_eq(bct_gate_crash_remaining_ms(&joined, later, CULPRIT),
		     BCT_GATE_CRASH_KEEP_MS - 1000);
	cr_assert_eq(bct_gate_crash_remaining_ms(&joined, later, OTHER), 0);
	bct_gate_crashes_free(&there);
	bct_gate_crashes_free(&joined);
}

/* Announcements go round among the nodes: they must not keep an entry alive for ever. */
Test(gate_crash, announcements_do_not_extend)
{
	bct_gate_crashes_t a = { 0 }, b = { 0 };
	bct_gate_crash_block_t block = { .digest = CULPRIT, .remaining_ms = 1000 };
	uint32_t pos;

	bct_gate_crash_block(&a, START, &block);
	for (bct_time_t now = START; now <= START + 5000; now += 100) {
		pos = 0;
		if (bct_gate_crash_next_block(&a, now, &pos, &block))
			bct_gate_crash_block(&b, now, &block);
		pos = 0;
		if (bct_gate_crash_next_block(&b, now, &pos, &block))
			bct_gate_crash_block(&a, now, &block);
	}
	cr_assert_eq(bct_gate_crash_remaining_ms(&a, START + 1000, CULPRIT), 0);
	cr_assert_eq(bct_gate_crash_remaining_ms(&b, START + 1000, CULPRIT), 0);
	block = (bct_gate_crash_block_t){ .digest = OTHER, .remaining_ms = UINT32_MAX };
	cr_assert_eq(bct_gate_crash_block(&a, START, &block), BCT_GATE_CRASH_NEWS);
	cr_assert_eq(bct_gate_crash_remaining_ms(&a, START, OTHER), BCT_GATE_CRASH_KEEP_MS);
	bct_gate_crashes_free(&a);
	bct_gate_crashes_free(&b);
}
