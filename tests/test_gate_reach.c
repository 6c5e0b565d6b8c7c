/*
 * test_gate_reach.c - VMs that lose their links to all upstreams, without network: when a node
 * takes itself for cut off, and when it goes back.
 */
#include "policy/gate_reach.h"

#include <criterion/criterion.h>

#define UPSTREAMS 12

static bct_gate_reach_t r;

static bool failed(bct_time_t now, uint64_t upstream)
{
	return bct_gate_reach_failed(&r, now, upstream, UPSTREAMS);
}

/* All at once: three upstreams can't be connected to, one after the other. */
Test(gate_reach, several_upstreams_in_a_row_are_a_cut)
{
	cr_expect_not(failed(1000, 1));
	cr_expect_not(failed(1100, 1), "the same one again");
	cr_expect_not(failed(1200, 2));
	cr_expect(failed(1300, 3));
	cr_expect(r.cut);
	cr_expect_not(failed(1400, 4), "told once");
}

/* Single upstreams that crash, while others answer, cut nobody off. */
Test(gate_reach, crashed_upstreams_are_no_cut)
{
	for (uint64_t i = 0; i < 100; i++) {
		bct_time_t now = 1000 + (bct_time_t)i * 100;

		cr_assert_not(failed(now, i));
		cr_assert_not(failed(now + 10, i + 1));
		cr_assert_not(bct_gate_reach_ok(&r, now + 20, now + 15));
	}
	cr_expect_not(r.cut);
}

/* Failures far apart on a node with few requests say nothing of now. */
Test(gate_reach, old_failures_are_forgotten)
{
	for (uint64_t i = 0; i < 10; i++)
		cr_assert_not(failed(1000 + (bct_time_t)i * (BCT_GATE_REACH_FORGET_MS + 1), i));
}

/* A service of one upstream that is down: nothing is lost by asking another VM. */
Test(gate_reach, a_small_service_needs_fewer)
{
	cr_expect_not(bct_gate_reach_failed(&r, 1000, 1, 2));
	cr_expect(bct_gate_reach_failed(&r, 1100, 2, 2));
}

/* Connections from before the cut live on while new ones are refused. */
Test(gate_reach, old_connections_prove_nothing)
{
	failed(1000, 1);
	failed(1001, 2);
	cr_expect_not(bct_gate_reach_ok(&r, 1002, 500));
	cr_expect(failed(1003, 3));
	cr_expect_not(bct_gate_reach_ok(&r, 1004, 500));
	cr_expect(r.cut);
	cr_expect(bct_gate_reach_ok(&r, 2000, 1999));
	cr_expect_not(r.cut);
}

/* The first cut ends with the first connection that succeeds. */
Test(gate_reach, probes_end_a_cut)
{
	for (uint64_t i = 1; i <= 3; i++)
		failed(1000, i);
	cr_expect(bct_gate_reach_take_probe(&r, 1000));
	cr_expect_not(bct_gate_reach_take_probe(&r, 1001));
	cr_expect(bct_gate_reach_take_probe(&r, 1000 + BCT_GATE_REACH_PROBE_MS));
	cr_expect(bct_gate_reach_ok(&r, 1500, 1490));
	cr_expect_not(bct_gate_reach_take_probe(&r, 3000), "not while it is reached");
}

/* A link that comes and goes each second is not used, until it stays. */
Test(gate_reach, a_link_that_comes_and_goes_has_to_stay)
{
	bct_time_t now = 1000;
	uint32_t regained = 0;

	for (int second = 0; second < 10; second++) {
		for (uint64_t i = 1; i <= 3; i++)
			failed(now, i);
		for (int probe = 0; probe < 3; probe++) {
			bct_time_t at = now + 300 + probe * BCT_GATE_REACH_PROBE_MS;

			regained += bct_gate_reach_ok(&r, at, at - 5);
		}
		now += 1000;
	}
	cr_expect_eq(regained, 1, "only the first time");
	cr_expect(r.cut);
	for (bct_time_t at = now; r.cut && at < now + 5000; at += BCT_GATE_REACH_PROBE_MS)
		bct_gate_reach_ok(&r, at, at - 5);
	cr_expect_not(r.cut);
}
