/*
 * test_autoscale.c - the number and kind of engines ordered, by load and fault.
 */
#include "base/err.h"
#include "tests/util_scale.h"

#include <criterion/criterion.h>

#include <math.h>
#include <string.h>

#define DEMAND 10000 /* 10 engines */
#define NEEDED 14    /* with the margin */

static uint32_t wave(uint32_t s, uint32_t base, double depth)
{
	double a = sin(2 * M_PI * s / 11), b = sin(2 * M_PI * s / 13);

	return (uint32_t)(base * (1 + depth * (a + b) / 2));
}

/* Engines that were removed too fast would cut or move too many streams at once. */
static void assert_gentle(scale_world_t *w, uint32_t (*recent)[2], uint32_t s)
{
	uint32_t sum = 0, before;

	recent[s % 5][0] = w->removed;
	recent[s % 5][1] = w->present_before;
	before = s < 4 ? recent[0][1] : recent[(s + 1) % 5][1];
	for (int i = 0; i < 5; i++)
		sum += recent[i][0];
	cr_assert_leq(sum, before / 5 > 1 ? before / 5 : 1,
		      "second %u: %u of %u engines removed in 5 s", s, sum, before);
}

/* Failure guarded against: a service that started with 69 engines pays for them forever. */
Test(autoscale, quiet_service_shrinks_to_spot_engines)
{
	scale_world_t w;
	uint32_t recent[5][2] = { { 0 } };

	scale_world_init(&w, 1, 23, 23);
	for (uint32_t s = 0; s < 90; s++) {
		scale_world_second(&w, DEMAND);
		assert_gentle(&w, recent, s);
		cr_assert_geq(scale_world_present(&w), NEEDED);
		if (s < 5)
			cr_assert_eq(scale_world_present(&w), 69, "the demand isn't known yet");
	}
	cr_assert_leq(scale_world_present(&w), NEEDED + 4);
	cr_assert_eq(scale_world_spot(&w), scale_world_present(&w));
	cr_assert_geq(scale_world_survive(&w), 10);
	scale_world_free(&w);
}

/* Failure guarded against: a fleet that starts before its callers come has no engines for the
 * first of them. */
Test(autoscale, nothing_is_removed_before_the_first_request)
{
	scale_world_t w;

	scale_world_init(&w, 1, 23, 23);
	scale_world_run(&w, 30, 0);
	cr_assert_eq(scale_world_present(&w), 69);
	scale_world_run(&w, 3, DEMAND);
	cr_assert_eq(scale_world_present(&w), 69);
	scale_world_run(&w, 90, 0);
	cr_assert_leq(scale_world_present(&w), 4, "a night after requests");
	scale_world_free(&w);
}

/*
 * Failure guarded against: as removals go by averages of some seconds, engines were removed in the
 * second in which the demand rose and more were ordered.
 */
Test(autoscale, a_rise_is_ordered_at_once_and_in_full)
{
	scale_world_t w;

	scale_world_init(&w, 1, 1500, 1000);
	scale_world_run(&w, 60, 60 * DEMAND);
	scale_world_second(&w, 200 * DEMAND);
	cr_assert_geq(scale_world_wanted(&w, 0) + scale_world_wanted(&w, 1) +
			      scale_world_wanted(&w, 2),
		      2800);
	scale_world_free(&w);
}

/* Failure guarded against: numbers that follow each wave, so that its next crest lacks engines. */
Test(autoscale, waves_of_11_and_13_s)
{
	scale_world_t w;
	uint32_t changes = 0;

	scale_world_init(&w, 1, 23, 8);
	for (uint32_t s = 0; s < 200; s++) {
		uint32_t demand = wave(s, 12000, 0.5);

		scale_world_second(&w, demand);
		cr_assert_geq(scale_world_present(&w) * 1000, demand, "second %u", s);
		changes += s >= 60 && w.plan.reason != BCT_AUTOSCALE_UNCHANGED;
	}
	cr_assert_leq(changes, 50);
	scale_world_free(&w);
}

/* Failure guarded against: orders that wait or come in small steps while callers are refused. */
Test(autoscale, burst_is_ordered_at_once)
{
	scale_world_t w;

	scale_world_init(&w, 1, 40, 5);
	scale_world_run(&w, 40, DEMAND);
	scale_world_second(&w, 3 * DEMAND);
	cr_assert_eq(w.plan.reason, BCT_AUTOSCALE_DEMAND);
	scale_world_run(&w, SCALE_BOOT_S, 3 * DEMAND);
	cr_assert_geq(scale_world_present(&w), 3 * NEEDED);
	cr_assert_geq(scale_world_survive(&w), 30);
	cr_assert_leq(scale_world_present(&w), 4 * NEEDED, "ordered again while the first boot");
	scale_world_free(&w);
}

/* Callers move to another service within a second; the one they left keeps its engines for 30 s. */
Test(autoscale, shift_of_callers)
{
	scale_world_t from, to;
	uint32_t before;

	scale_world_init(&from, 1, 30, 5);
	scale_world_init(&to, 1, 30, 2);
	scale_world_run(&from, 60, DEMAND);
	scale_world_run(&to, 60, 2000);
	before = scale_world_present(&from);
	for (uint32_t s = 0; s < 25; s++) {
		scale_world_second(&from, 2000);
		scale_world_second(&to, DEMAND);
		cr_assert_eq(scale_world_present(&from), before, "second %u", s);
	}
	cr_assert_geq(scale_world_present(&to), NEEDED);
	scale_world_run(&from, 60, 2000);
	cr_assert_leq(scale_world_present(&from), before / 2);
	scale_world_free(&from);
	scale_world_free(&to);
}

/* A class of requests grows by 4% per second; engines stay ahead of it by more than their boot. */
Test(autoscale, one_class_grows)
{
	scale_world_t w;
	double demand = DEMAND;

	scale_world_init(&w, 1, 60, 5);
	scale_world_run(&w, 40, DEMAND);
	for (uint32_t s = 0; s < 40; s++, demand *= 1.04) {
		scale_world_second(&w, (uint32_t)demand);
		cr_assert_geq(scale_world_present(&w) * 1000.0, demand, "second %u", s);
	}
	scale_world_free(&w);
}

/* Engines take three times as long for a request: the same callers need three times as many. */
Test(autoscale, slow_engines)
{
	scale_world_t w;

	scale_world_init(&w, 1, 30, 5);
	scale_world_run(&w, 40, DEMAND);
	w.refused_permille = 300;
	scale_world_run(&w, 1 + SCALE_BOOT_S, DEMAND * 3);
	w.refused_permille = 0;
	cr_assert_geq(scale_world_present(&w), 3 * NEEDED);
	scale_world_free(&w);
}

/* Failure guarded against: a demand measured too low keeps requests refused. */
Test(autoscale, refusals_order_more_than_the_demand)
{
	scale_world_t w;
	uint32_t before;

	scale_world_init(&w, 1, 30, 5);
	scale_world_run(&w, 60, DEMAND);
	before = scale_world_present(&w);
	w.refused_permille = 150;
	scale_world_second(&w, DEMAND);
	cr_assert_eq(w.plan.reason, BCT_AUTOSCALE_REFUSED);
	scale_world_run(&w, 30, DEMAND);
	cr_assert_geq(scale_world_present(&w), before + before / 4);
	cr_assert_leq(scale_world_present(&w), 3 * NEEDED, "refusals with idle engines");
	scale_world_free(&w);
}

/* Failure guarded against: refusals for other reasons keep a service at the engines it has. */
Test(autoscale, refusals_with_idle_engines)
{
	scale_world_t w;

	scale_world_init(&w, 1, 23, 23);
	w.refused_permille = 10;
	scale_world_run(&w, 90, DEMAND);
	cr_assert_leq(scale_world_present(&w), 2 * NEEDED + 8);
	cr_assert_geq(scale_world_present(&w), 2 * NEEDED);
	scale_world_free(&w);
}

/* Failures guarded against: while the control API is down, numbers that grow with each retry; and
 * engines that a failure domain doesn't have, ordered there again and again. */
Test(autoscale, orders_that_bring_nothing)
{
	scale_world_t w;
	uint32_t sum = 0;

	scale_world_init(&w, 1, 60, 5);
	scale_world_run(&w, 40, DEMAND);
	w.down = true;
	scale_world_run(&w, 60, 2 * DEMAND);
	for (uint32_t d = 0; d < 3; d++)
		sum += scale_world_wanted(&w, d);
	cr_assert_leq(sum, 2 * NEEDED + 12, "%u", sum);
	w.down = false;
	scale_world_run(&w, 30, 2 * DEMAND);
	cr_assert_geq(scale_world_present(&w), 2 * NEEDED);
	scale_world_free(&w);

	scale_world_init(&w, 1, 60, 5);
	w.conf.domains[0].price = 0.5;
	w.conf.spot_price = 0;
	bct_autoscale_free(w.a);
	cr_assert_eq(bct_autoscale_new(&w.conf, &w.a), 0);
	w.no_standard[0] = true;
	scale_world_run(&w, 30, 2 * DEMAND);
	cr_assert_geq(scale_world_present(&w), 2 * NEEDED);
	scale_world_free(&w);
}

/* Failure guarded against: dead engines that the platform counts as running are never replaced. */
Test(autoscale, engines_lost_for_good)
{
	scale_world_t w;

	scale_world_init(&w, 1, 23, 6);
	scale_world_run(&w, 60, DEMAND);
	for (uint32_t d = 0; d < 3; d++)
		for (uint32_t k = 0; k < BCT_AUTOSCALE_KINDS; k++)
			w.present[d][k] -= w.present[d][k] / 2;
	scale_world_run(&w, 1 + SCALE_BOOT_S, DEMAND);
	cr_assert_geq(scale_world_present(&w), NEEDED);
	scale_world_run(&w, 60, DEMAND);
	cr_assert_leq(scale_world_present(&w), NEEDED + 4);
	scale_world_free(&w);
}

/* A night: demand falls to a tenth and comes back. */
Test(autoscale, night)
{
	scale_world_t w;
	uint32_t recent[5][2] = { { 0 } }, day;

	scale_world_init(&w, 1, 23, 8);
	scale_world_run(&w, 60, DEMAND);
	day = scale_world_present(&w);
	for (uint32_t s = 0; s < 90; s++) {
		scale_world_second(&w, DEMAND / 10);
		assert_gentle(&w, recent, s);
		if (s < 25)
			cr_assert_eq(scale_world_present(&w), day);
	}
	cr_assert_leq(scale_world_present(&w), 4);
	scale_world_run(&w, 1 + SCALE_BOOT_S, DEMAND);
	cr_assert_geq(scale_world_present(&w), NEEDED);
	scale_world_free(&w);
}

/* Failures guarded against: too few engines right after the reclaim, and orders that insist on the
 * domain that has none. */
Test(autoscale, reclaim_of_a_domain)
{
	scale_world_t w;

	scale_world_init(&w, 1, 23, 8);
	scale_world_run(&w, 90, DEMAND);
	cr_assert_geq(w.present[1][BCT_AUTOSCALE_SPOT], 3);
	scale_world_reclaim(&w, 1);
	for (uint32_t s = 0; s < 12; s++) {
		cr_assert_geq(scale_world_present(&w), 10, "second %u", s);
		scale_world_second(&w, DEMAND);
		if (s < 9)
			cr_assert_eq(w.plan.wanted[1][BCT_AUTOSCALE_SPOT], 0, "second %u", s);
		if (s > SCALE_BOOT_S)
			cr_assert_geq(scale_world_present(&w), NEEDED, "second %u", s);
		cr_assert_geq(scale_world_wanted(&w, 1), 1, "below the minimum");
	}
	scale_world_run(&w, 90, DEMAND);
	cr_assert_leq(scale_world_present(&w), NEEDED + 4);
	cr_assert_eq(scale_world_spot(&w), scale_world_present(&w));
	scale_world_free(&w);
}

/* Failure guarded against: spot engines that leave as ordered are taken for reclaimed. */
Test(autoscale, own_removals_are_no_reclaim)
{
	scale_world_t w;

	scale_world_init(&w, 1, 23, 8);
	scale_world_run(&w, 60, 2 * DEMAND);
	for (uint32_t s = 0; s < 60; s++) {
		for (uint32_t d = 0; d < 3; d++)
			w.leaving_until[d] = w.now + 2000;
		scale_world_second(&w, DEMAND);
		cr_assert_neq(w.plan.reason, BCT_AUTOSCALE_RECLAIMED);
	}
	scale_world_free(&w);
}

/* Failure guarded against: without spot engines, standard ones are removed before replacement, or
 * never reduced. */
Test(autoscale, no_spot_available)
{
	scale_world_t w;

	scale_world_init(&w, 1, 23, 23);
	for (uint32_t d = 0; d < 3; d++)
		w.no_spot_until[d] = BCT_TIME_NEVER;
	for (uint32_t s = 0; s < 120; s++) {
		scale_world_second(&w, DEMAND);
		cr_assert_geq(scale_world_present(&w), NEEDED);
	}
	cr_assert_leq(scale_world_present(&w), NEEDED + 1);
	scale_world_run(&w, 1, 2 * DEMAND);
	scale_world_run(&w, 3 + SCALE_BOOT_S, 2 * DEMAND);
	cr_assert_geq(scale_world_present(&w), 2 * NEEDED);
	scale_world_free(&w);
}

Test(autoscale, minimum_and_maximum)
{
	scale_world_t w;
	bct_autoscale_t *a;

	scale_world_init(&w, 4, 6, 1);
	scale_world_second(&w, 0);
	cr_assert_eq(w.plan.reason, BCT_AUTOSCALE_BOUNDS);
	for (uint32_t d = 0; d < 3; d++)
		cr_assert_eq(scale_world_wanted(&w, d), 4);
	scale_world_run(&w, 90, 0);
	cr_assert_eq(scale_world_present(&w), 12);
	scale_world_run(&w, 10, 100 * DEMAND); /* asserts the maximum in each step */
	cr_assert_eq(scale_world_present(&w), 18);
	scale_world_free(&w);

	scale_world_init(&w, 1, 6, 9); /* more are there than may be */
	scale_world_second(&w, DEMAND);
	cr_assert_eq(w.plan.reason, BCT_AUTOSCALE_BOUNDS);
	w.conf.minimum = 7;
	cr_assert_eq(bct_autoscale_new(&w.conf, &a), -BCT_EINVAL);
	scale_world_free(&w);
}

/* Failure guarded against: a successor that knows no demand yet removes engines, or orders those on
 * their way once more. */
Test(autoscale, successor_resumes)
{
	scale_world_t w;
	bct_autoscale_plan_t last;

	scale_world_init(&w, 1, 30, 8);
	scale_world_run(&w, 60, DEMAND);
	scale_world_second(&w, 2 * DEMAND);
	last = w.plan;
	bct_autoscale_free(w.a);
	cr_assert_eq(bct_autoscale_new(&w.conf, &w.a), 0);
	bct_autoscale_resume(w.a, w.now, &last);
	w.demand_age_ms = BCT_TIME_NEVER;
	for (uint32_t s = 0; s < 10; s++) {
		if (s == 2)
			w.demand_age_ms = 0;
		scale_world_second(&w, s < 2 ? 0 : 2 * DEMAND);
		cr_assert_eq(memcmp(last.wanted, w.plan.wanted, sizeof(last.wanted)), 0,
			     "second %u", s);
	}
	scale_world_reclaim(&w, 0);
	bct_autoscale_resume(w.a, w.now, &last);
	scale_world_second(&w, 2 * DEMAND);
	cr_assert_eq(w.plan.reason, BCT_AUTOSCALE_RECLAIMED, "it resumes during a reclaim");
	scale_world_run(&w, SCALE_BOOT_S, 2 * DEMAND);
	memset(&last, 0, sizeof(last));
	bct_autoscale_resume(w.a, w.now, &last);
	scale_world_second(&w, DEMAND);
	cr_assert_geq(scale_world_present(&w), 2 * NEEDED, "a record without numbers");
	scale_world_free(&w);
}

/* Failure guarded against: a holder that hears nothing takes the demand for 0. */
Test(autoscale, unknown_and_stale_demand)
{
	scale_world_t w;
	uint32_t before;

	scale_world_init(&w, 1, 23, 8);
	w.demand_age_ms = BCT_TIME_NEVER;
	scale_world_run(&w, 60, 0);
	cr_assert_eq(scale_world_present(&w), 24);
	w.demand_age_ms = 0;
	scale_world_run(&w, 90, DEMAND);
	before = scale_world_present(&w);
	w.demand_age_ms = 5001;
	scale_world_run(&w, 60, 0);
	cr_assert_eq(scale_world_present(&w), before);
	scale_world_reclaim(&w, 0);
	scale_world_run(&w, 1 + SCALE_BOOT_S, 0);
	cr_assert_geq(scale_world_present(&w), before, "lost engines are replaced");
	before = scale_world_present(&w);
	w.demand_age_ms = 0;
	scale_world_run(&w, 5, 0);
	cr_assert_geq(scale_world_present(&w), before, "known for less than 5 s");
	scale_world_free(&w);
}
