/*
 * test_world.c - runs of the scheduler on simulated fleets with seeded load and faults. Each run is
 * checked for violated invariants.
 */
#include "util_world.h"

#include <criterion/criterion.h>
#include <stdio.h>

#define RUN_MS 30000
#define SEEDS 12

/* Checks what must hold in every run. */
static void check(const world_opts_t *o, const world_stats_t *st)
{
	cr_assert_eq(st->total_breaches, 0, "seed %lu: %lu breaches", (unsigned long)o->seed,
		     (unsigned long)st->total_breaches);
	cr_assert_eq(st->false_not_run, 0, "seed %lu", (unsigned long)o->seed);
	cr_assert_eq(st->ran_twice, 0, "seed %lu", (unsigned long)o->seed);
	/*
	 * Random crashes may hit the same request twice; it is then refused as poison although it
	 * did not cause them.
	 */
	if (!o->crashes_per_s)
		cr_assert_eq(st->poison_false_positives, 0, "seed %lu", (unsigned long)o->seed);
}

/* Per tier, and for the bookings last: sent/answered/in time/shed. */
static void print_stats(const char *name, const world_opts_t *o, const world_stats_t *st)
{
	fprintf(stderr, "%s seed %lu:", name, (unsigned long)o->seed);
	for (uint32_t k = 0; k <= BCT_TIERS; k++)
		fprintf(stderr, " %u/%u/%u/%u", st->sent[k], st->answered[k], st->in_time[k],
			st->shed[k]);
	fprintf(stderr, " tokens %lu wasted %lu;", (unsigned long)st->tokens,
		(unsigned long)st->wasted_tokens);
	for (uint32_t r = 0; r < BCT_REFUSE_COUNT; r++) {
		if (st->refused[r])
			fprintf(stderr, " %s %u", bct_refuse_wire(r), st->refused[r]);
	}
	fprintf(stderr, "\n");
}

/*
 * Options of a fleet at `load` times its capacity, with equal rates of all tiers. The capacity in
 * requests per second is about engines * slots * 33 tokens/s over 41 tokens each, which is the
 * mean output: 1, and 40 from an exponential distribution.
 */
static world_opts_t base_opts(uint64_t seed, double load)
{
	double per_s = load * 4 * 8 * 33 / 41;
	world_opts_t o = {
		.seed = seed,
		.nodes = 3,
		.engines = 4,
		.slots = 8,
		.accounts = 4,
		.report_age_ms = 250,
	};

	for (uint32_t k = 0; k < BCT_TIERS; k++)
		o.arrivals_per_s[k] = per_s / BCT_TIERS;
	o.arrivals_per_s[BCT_TIERS] = 3; /* bookings */
	return o;
}

Test(world, faults_and_loads_break_no_invariant)
{
	static const double loads[] = { 0.7, 1.0, 1.5, 3.0 };

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		world_opts_t o = base_opts(seed, loads[seed % 4]);
		world_stats_t st;

		o.nodes = 1 + seed % 5;
		o.crashes_per_s = seed % 3 ? 0.05 : 0;
		o.service_reset_probability = 0.1;
		o.cancel_probability = 0.05;
		o.report_age_ms = seed % 2 ? 250 : 1750;
		st = world_run(&o, RUN_MS);
		print_stats("faults", &o, &st);
		check(&o, &st);
	}
}

Test(world, higher_tiers_keep_their_targets)
{
	world_opts_t o = base_opts(7, 3.0);
	world_stats_t st;

	o.arrivals_per_s[0] = o.arrivals_per_s[1] = 4;
	st = world_run(&o, 2 * RUN_MS);
	print_stats("overload", &o, &st);
	check(&o, &st);
	for (uint32_t k = 0; k < 2; k++) {
		cr_assert_geq(st.in_time[k] * 100, st.sent[k] * 99, "tier %u: %u of %u", k + 1,
			      st.in_time[k], st.sent[k]);
		cr_assert_eq(st.shed[k], 0);
	}
	cr_assert_gt(st.answered[4], 0, "the lowest tier starves");
	cr_assert_leq(st.wasted_tokens * 50, st.tokens);
}

Test(world, one_tier_alone_overloads_and_no_class_starves)
{
	world_opts_t o = base_opts(8, 0.05);
	world_stats_t st;

	o.arrivals_per_s[1] = 80;
	st = world_run(&o, 4 * RUN_MS);
	print_stats("one tier", &o, &st);
	check(&o, &st);
	for (uint32_t k = 0; k < BCT_TIERS; k++)
		cr_assert_gt(st.answered[k], 0, "tier %u starves", k + 1);
	cr_assert_geq(st.in_time[0] * 100, st.sent[0] * 98);
}

Test(world, poison_crashes_two_upstreams_at_most)
{
	for (uint64_t seed = 20; seed < 25; seed++) {
		world_opts_t o = base_opts(seed, 0.6);
		world_stats_t st;

		o.poison_digest = 0xbad;
		o.poison_sends = 50;
		st = world_run(&o, 60000);
		print_stats("poison", &o, &st);
		check(&o, &st);
		cr_assert_leq(st.poison_crashes, 2, "seed %lu: %u crashes", (unsigned long)seed,
			      st.poison_crashes);
		cr_assert_geq(st.refused[BCT_REFUSE_POISON], 48);
	}
}

Test(world, a_straggler_is_avoided)
{
	world_opts_t o = base_opts(30, 0.6);
	world_stats_t st;

	o.slow_engine_factor = 8;
	st = world_run(&o, RUN_MS);
	print_stats("straggler", &o, &st);
	check(&o, &st);
	cr_assert_geq(st.in_time[0] * 100, st.sent[0] * 98);
}

Test(world, limits_hold_over_all_nodes)
{
	world_opts_t o = base_opts(40, 0.5);
	world_stats_t st;

	o.accounts = 1;
	o.arrivals_per_s[0] = 40;
	o.requests_per_s = 10;
	st = world_run(&o, RUN_MS);
	print_stats("rate", &o, &st);
	check(&o, &st);
	cr_assert_leq(st.account0_admitted, 10 * RUN_MS / 1000 * 11 / 10);
	cr_assert_geq(st.account0_admitted, 10 * RUN_MS / 1000 * 8 / 10);
	o.requests_per_s = 0;
	o.concurrent = 10;
	st = world_run(&o, RUN_MS);
	print_stats("concurrent", &o, &st);
	cr_assert_leq(st.account0_max_running, 11);
	cr_assert_geq(st.account0_max_running, 8);
}
