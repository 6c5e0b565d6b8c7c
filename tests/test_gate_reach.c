/*
 * test_gate_reach.c - VMs that lose their links to all upstreams, without network: when a node
 * takes itself for cut off, and when it goes back.
 */
#include "base/rng.h"
#include "policy/gate_reach.h"

#include <criterion/criterion.h>

#define UPSTREAMS 12

static bct_gate_reach_t r;

static bool failed(bct_time_t now, uint64_t upstream)
{
	return bct_gate_reach_failed(&r, now, upstream, UPSTREAMS);
}

/* Fails as many upstreams as a cut takes, one after the other; returns when the last one did. */
static bct_time_t fail_all(bct_time_t now)
{
	for (uint64_t i = 1; i <= BCT_GATE_REACH_UPSTREAMS; i++, now += BCT_GATE_REACH_SPACING_MS)
		failed(now, i);
	return now - BCT_GATE_REACH_SPACING_MS;
}

/* Several upstreams can't be connected to, one after the other. */
Test(gate_reach, several_upstreams_in_a_row_are_a_cut)
{
	cr_expect_not(failed(1000, 1));
	cr_expect_not(failed(1100, 1), "the same one again");
	for (uint64_t i = 2; i < BCT_GATE_REACH_UPSTREAMS; i++)
		cr_expect_not(failed(1000 + (bct_time_t)i * 100, i));
	cr_expect(failed(1600, BCT_GATE_REACH_UPSTREAMS));
	cr_expect(r.cut);
	cr_expect_not(failed(1700, 9), "told once");
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
	cr_expect(bct_gate_reach_failed(&r, 1000 + BCT_GATE_REACH_CONFIRM_MS, 2, 2));
}

/* Many upstreams crash in one instant: failures that close together say nothing of the links. */
Test(gate_reach, failures_of_one_instant_are_no_cut)
{
	for (uint64_t i = 0; i < 50; i++)
		cr_assert_not(failed(1000 + (bct_time_t)i, i));
	cr_expect_not(bct_gate_reach_ok(&r, 1060, 1055));
	cr_expect_not(failed(1300, 60));
	cr_expect_not(r.cut);
}

/* Upstreams under overload reset connections and are silent, on all nodes alike. */
Test(gate_reach, broken_connections_are_no_cut)
{
	for (bct_time_t now = 1000; now < 20000; now += 10)
		bct_gate_reach_doubted(&r, now);
	cr_expect_not(r.cut);
	cr_expect(bct_gate_reach_take_probe(&r, 20000), "no new connection shows that it is not");
	bct_gate_reach_ok(&r, 20005, 20001);
	cr_expect_not(bct_gate_reach_take_probe(&r, 21000));
}

#define ENGINES 140
#define LOAD_MS 10000 /* of which the second half follows the failure */
#define FOUND_MS 3000 /* shorter than the time after which a cut counts for callers */

typedef enum what {
	CRASH,	   /* a quarter of the upstreams ends at once and refuses connections */
	OVERLOAD,  /* nine in ten new connections are reset once they are open */
	REFUSED,   /* the node is cut off: connections are refused, open ones reset */
	HANGS,	   /* new ones hang, open ones are silent */
	NEW_HANGS, /* new ones hang, open ones live on */
} what_t;

/* One request of a node: a new connection, or one from before if reuse. */
static void one_request(bct_gate_reach_t *n, bct_rng_t *rng, bct_time_t now, what_t what)
{
	uint64_t u = 1 + bct_rng_below(rng, ENGINES);
	bool reuse = bct_rng_below(rng, 2) && !n->n_failed;
	bool dead = what >= REFUSED || (what == CRASH && u <= ENGINES / 4);

	if (reuse && what == NEW_HANGS)
		bct_gate_reach_ok(n, now, 500);
	else if (reuse && dead)
		bct_gate_reach_doubted(n, now);
	else if (reuse)
		bct_gate_reach_ok(n, now, 500);
	else if (dead)
		bct_gate_reach_failed(n, now, u, ENGINES);
	else
		bct_gate_reach_ok(n, now, now - 1);
	if (what == OVERLOAD && bct_rng_below(rng, 10))
		bct_gate_reach_doubted(n, now);
}

/* A node with a request each gap_ms; returns when it concluded after the failure, or 0. */
static bct_time_t play(uint64_t seed, bct_time_t gap_ms, what_t what)
{
	bct_gate_reach_t n = { 0 };
	bct_time_t fails_at = 1000 + LOAD_MS / 2;
	bct_rng_t rng;

	bct_rng_seed(&rng, seed);
	for (bct_time_t now = 1000; now < 1000 + LOAD_MS; now++) {
		what_t is = now < fails_at ? OVERLOAD : what;
		bool burst = now == fails_at;

		/* All connections that are open are reset in the same ms. */
		for (int i = 0; burst && i < 20; i++)
			one_request(&n, &rng, now, is);
		if (bct_rng_below(&rng, (uint32_t)gap_ms) == 0 ||
		    bct_gate_reach_take_probe(&n, now))
			one_request(&n, &rng, now, is);
		if (n.cut)
			return now < fails_at ? 1 : now - fails_at;
	}
	return 0;
}

/*
 * Three upstreams that crashed in a row were taken for lost links: under overload nearly all nodes
 * of a fleet sent their requests through each other.
 */
Test(gate_reach, crashes_and_overload_cut_nobody_off_at_any_size)
{
	static const uint32_t fleets[] = { 7, 74, 195 };

	for (size_t f = 0; f < sizeof(fleets) / sizeof(fleets[0]); f++) {
		/* The more nodes there are, the fewer requests each one has. */
		bct_time_t gap_ms = 1 + fleets[f] / 5;

		for (uint32_t i = 0; i < fleets[f]; i++) {
			cr_expect_eq(play(i, gap_ms, CRASH), 0, "crash, %u nodes", fleets[f]);
			cr_expect_eq(play(i, gap_ms, OVERLOAD), 0, "overload, %u", fleets[f]);
		}
	}
}

/* Each real kind of cut is found in time, also by a node with few requests. */
Test(gate_reach, cuts_are_found_at_any_size)
{
	static const uint32_t fleets[] = { 7, 74, 195 };
	static const what_t cuts[] = { REFUSED, HANGS, NEW_HANGS };

	for (size_t f = 0; f < sizeof(fleets) / sizeof(fleets[0]); f++) {
		for (uint32_t i = 0; i < fleets[f] * 3; i++) {
			bct_time_t at = play(i, 1 + fleets[f] / 5, cuts[i % 3]);

			cr_expect(at > 1 && at <= FOUND_MS, "kind %d, %u nodes: after %d ms",
				  (int)cuts[i % 3], fleets[f], (int)at);
		}
	}
}

/* Connections from before the cut live on while new ones are refused. */
Test(gate_reach, old_connections_prove_nothing)
{
	failed(1000, 1);
	failed(1001, 2);
	cr_expect_not(bct_gate_reach_ok(&r, 1002, 500));
	fail_all(1003 + BCT_GATE_REACH_SPACING_MS);
	cr_expect_not(bct_gate_reach_ok(&r, 1504, 500));
	cr_expect(r.cut);
	cr_expect(bct_gate_reach_ok(&r, 2000, 1999));
	cr_expect_not(r.cut);
}

/* The first cut ends with the first connection that succeeds. */
Test(gate_reach, probes_end_a_cut)
{
	cr_assert_eq(fail_all(1000), 1200);
	cr_assert(r.cut);
	cr_expect(bct_gate_reach_take_probe(&r, 1200));
	cr_expect_not(bct_gate_reach_take_probe(&r, 1201));
	cr_expect(bct_gate_reach_take_probe(&r, 1200 + BCT_GATE_REACH_PROBE_MS));
	cr_expect(bct_gate_reach_ok(&r, 1500, 1490));
	cr_expect_not(bct_gate_reach_take_probe(&r, 3000), "not while it is reached");
}

/* A link that comes and goes each second is not used, until it stays. */
Test(gate_reach, a_link_that_comes_and_goes_has_to_stay)
{
	bct_time_t now = 1000;
	uint32_t regained = 0;

	for (int second = 0; second < 10; second++) {
		fail_all(now);
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
