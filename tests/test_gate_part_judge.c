/*
 * test_gate_part_judge.c - which part of prompts is found to crash upstreams: single rules, then
 * whole fleets. The pattern: from some time on requests with one part in common, no two alike,
 * arrive at all nodes, and each crashes its upstream just after its answer began; sound requests
 * share their account and first part, and go down with the upstreams by the dozen.
 */
#include "base/mem.h"
#include "base/rng.h"
#include "policy/gate_part_judge.h"

#include <criterion/criterion.h>
#include <string.h>

#define START 1000000
#define FIRST 0xa1 /* part that all prompts begin with */
#define BAD 0xbad
#define OTHER 0x50

static bct_gate_part_judge_t *j;
static bct_gate_upstreams_t none;

static void init(void)
{
	j = bct_alloc(sizeof(*j));
	bct_gate_upstreams_init(&none);
}

static void fini(void)
{
	bct_free(j);
	bct_gate_upstreams_free(&none);
}

TestSuite(gate_part_judge, .init = init, .fini = fini);

static bool crash_sent(uint32_t upstream, bct_time_t sent_at, bct_time_t at, uint64_t second)
{
	bct_gate_part_crash_t c = {
		.run = upstream,
		.sent_at = sent_at,
		.at = at,
		.parts = { .n = second ? 2 : 1, .ids = { FIRST, second } },
	};

	return bct_gate_part_judge_crash(j, &c);
}

static bool crash(uint32_t upstream, bct_time_t at, uint64_t second)
{
	return crash_sent(upstream, at - 300, at, second);
}

/* returns the part that is refused now, or 0 */
static uint64_t decide(bct_time_t now)
{
	bct_gate_part_verdict_t v;

	return bct_gate_part_judge_decide(j, now, &none, &v) ? v.part : 0;
}

/* One after the other, n upstreams crash under requests with the part, a second apart. */
static void crash_one_by_one(uint32_t n, uint64_t second)
{
	for (uint32_t i = 0; i < n; i++)
		crash(100 + i, START + (bct_time_t)i * 1000, second);
}

/* The part that all crashing requests have in common is refused, not the one before it. */
Test(gate_part_judge, the_deepest_common_part_is_refused)
{
	bct_time_t now = START + 10000;

	crash_one_by_one(BCT_GATE_PART_CRASHES - 1, BAD);
	cr_assert_eq(decide(now), 0);
	crash(1, now, BAD);
	cr_assert_eq(decide(now), 0, "reports of other nodes may be on the way");
	cr_assert_eq(decide(now + BCT_GATE_PART_SETTLE_MS), BAD);
	cr_assert_eq(decide(now + BCT_GATE_PART_SETTLE_MS), 0);
	cr_assert_neq(bct_gate_part_judge_remaining_ms(j, now, BAD), 0);
	cr_assert_eq(bct_gate_part_judge_remaining_ms(j, now, FIRST), 0);
	now += BCT_GATE_PART_KEEP_MS;
	cr_assert_eq(bct_gate_part_judge_remaining_ms(j, now, BAD), 0);
}

/* Each crashing request has another second part: the first one is the cause. */
Test(gate_part_judge, the_first_part_may_be_the_cause)
{
	for (uint32_t i = 0; i < BCT_GATE_PART_CRASHES; i++)
		crash(100 + i, START + (bct_time_t)i * 1000, 0x1000 + i);
	cr_assert_eq(decide(START + 10000), FIRST);
}

/* Bystanders of other kinds go down with the same upstreams: they are explained by the culprit. */
Test(gate_part_judge, bystanders_are_explained)
{
	for (uint32_t i = 0; i < 3 * BCT_GATE_PART_CRASHES; i++) {
		bct_time_t at = START + (bct_time_t)i * 1000;
		bct_gate_part_crash_t c = { .run = 100 + i,
					    .at = at,
					    .parts = { .n = 1, .ids = { 0xb1 } } };

		bct_gate_part_judge_crash(j, &c);
		crash(100 + i, at, BAD);
	}
	cr_assert_eq(decide(START + 20000), BAD);
	cr_assert_eq(decide(START + 20000), 0);
	crash(500, START + 20000, BAD); /* it was on the way */
	crash(500, START + 20000, OTHER);
	cr_assert_eq(decide(START + 30000), 0);
}

/* A request with the part that began to be answered after the crashes, and went on, clears it. */
Test(gate_part_judge, survivors_clear)
{
	crash_one_by_one(BCT_GATE_PART_CRASHES, OTHER);
	cr_assert(bct_gate_part_judge_survived(j, OTHER, START + 9000));
	cr_assert(!bct_gate_part_judge_survived(j, OTHER, START + 9000));
	cr_assert(bct_gate_part_judge_survived(j, FIRST, START + 9000));
	cr_assert_eq(decide(START + 10000), 0);
}

/* An answer that began before a crash says nothing of a part that does harm since then. */
Test(gate_part_judge, earlier_answers_do_not_clear)
{
	crash_one_by_one(BCT_GATE_PART_CRASHES_TRUSTED, BAD);
	cr_assert(!bct_gate_part_judge_survived(j, BAD, START - 1));
	bct_gate_part_judge_survived(j, FIRST, START + 9000);
	cr_assert_eq(decide(START + 10000), BAD);
	cr_assert(!bct_gate_part_judge_survived(j, BAD, START - 1));
	cr_assert_neq(bct_gate_part_judge_remaining_ms(j, START + 10000, BAD), 0);
}

/* A part that did no harm lately, like the first part of thousands of prompts, is more likely a
 * bystander: it takes twice as many crashes. */
Test(gate_part_judge, trusted_parts_take_more_crashes)
{
	bct_gate_part_judge_survived(j, OTHER, START - 1);
	bct_gate_part_judge_survived(j, FIRST, START - 1);
	crash_one_by_one(BCT_GATE_PART_CRASHES_TRUSTED - 1, OTHER);
	cr_assert_eq(decide(START + 10000), 0);
	crash(1, START + 10000, OTHER);
	cr_assert_eq(decide(START + 11000), OTHER);
}

/* So does each part at a node that has only just started, as it does not know the others' trust. */
Test(gate_part_judge, a_new_node_judges_later)
{
	j->started_at = START;
	for (uint32_t i = 0; i < BCT_GATE_PART_CRASHES; i++)
		crash(i, START + (bct_time_t)i * 200, BAD);
	cr_assert_eq(decide(START + 2000), 0);
	crash(50, START + BCT_GATE_PART_LEARN_MS, BAD);
	cr_assert_eq(decide(START + BCT_GATE_PART_LEARN_MS + 500), BAD);
}

/* A whole service that goes down at once is one crash, however many upstreams it has. */
Test(gate_part_judge, a_wave_counts_once)
{
	for (uint32_t wave = 0; wave < BCT_GATE_PART_CRASHES - 1; wave++) {
		for (uint32_t i = 0; i < 12; i++)
			crash(100 * wave + i, START + (bct_time_t)wave * 4000 + i, OTHER);
	}
	cr_assert_eq(decide(START + 60000), 0);
}

/* The same crash is reported by several nodes, several times. */
Test(gate_part_judge, a_crash_counts_once)
{
	cr_assert(crash(1, START, BAD));
	for (int i = 0; i < 10; i++)
		cr_assert(!crash(1, START + i * 1000, BAD));
	cr_assert_eq(decide(START + 20000), 0);
}

/* Has upstreams crash under a part at START, one second apart, and bytes arrive a second after each
 * crash, on a connection opened that long after it. returns the part that is refused, or 0 */
static uint64_t decide_with_bytes_later(bct_time_t opened_after)
{
	bct_gate_part_verdict_t v = { 0 };
	bct_gate_upstreams_t t;

	bct_gate_upstreams_init(&t);
	for (uint32_t i = 0; i < BCT_GATE_PART_CRASHES; i++) {
		bct_gate_entry_t e = {
			.id = { (char)('a' + i) }, .service = "s", .ip = "10.0.0.1", .port = 80
		};
		bct_time_t at = START + (bct_time_t)i * 1000;
		bct_gate_upstream_t *u;

		bct_gate_upstreams_apply(&t, 0, &e);
		u = bct_gate_upstreams_find(&t, e.id);
		bct_gate_upstream_heard(u, at + 1000, at + opened_after);
		crash(bct_gate_upstream_run(u), at, OTHER);
	}
	bct_gate_part_judge_decide(j, START + 20000, &t, &v);
	bct_gate_upstreams_free(&t);
	return v.part;
}

/* A connection that breaks while its upstream goes on answering on others is no crash. */
Test(gate_part_judge, an_upstream_that_lives_on_did_not_crash)
{
	cr_assert_eq(decide_with_bytes_later(-10), 0);
}

/* The next run answers at the same address before the registry lists it. */
Test(gate_part_judge, a_later_connection_does_not_show_that_a_run_lived)
{
	cr_assert_eq(decide_with_bytes_later(900), OTHER);
}

/* What is left of a run that has crashed may accept connections and break them. Requests sent there
 * after the crash did not cause it. */
Test(gate_part_judge, breaks_after_the_crash_do_not_count)
{
	for (uint32_t i = 0; i < BCT_GATE_PART_CRASHES; i++) {
		bct_time_t at = START + (bct_time_t)i * 2000;

		crash(100 + i, at, 0x1000 + i);
		bct_gate_part_judge_survived(j, FIRST, at + 500);
		crash(100 + i, at + BCT_GATE_PART_SPREAD_MS + 1, OTHER);
		/* Sent and broken within the time in which breaks of one crash are known. */
		crash_sent(100 + i, at + 100, at + 110, OTHER);
	}
	cr_assert_eq(decide(START + 20000), 0);
}

/* A part that was refused by mistake, or does no harm any more, is released by one request. */
Test(gate_part_judge, one_trial_releases)
{
	bct_time_t now = START + 10000, trial;

	crash_one_by_one(BCT_GATE_PART_CRASHES, BAD);
	cr_assert_eq(decide(now), BAD);
	trial = START + (BCT_GATE_PART_CRASHES - 1) * 1000 + BCT_GATE_PART_TRIAL_MS;
	cr_assert(!bct_gate_part_judge_take_trial(j, trial - 1, BAD));
	cr_assert(bct_gate_part_judge_take_trial(j, trial, BAD));
	cr_assert(!bct_gate_part_judge_take_trial(j, trial + BCT_GATE_PART_TRIAL_MS - 1, BAD));
	cr_assert(bct_gate_part_judge_survived(j, BAD, trial + 100));
	cr_assert_eq(bct_gate_part_judge_remaining_ms(j, trial + 600, BAD), 0);
}

/* The wrong part was refused first: the narrower cause is found all the same, and releases it. */
Test(gate_part_judge, a_narrower_cause_releases_the_wider_one)
{
	bct_gate_part_verdict_t wrong = { .part = FIRST, .refused = true, .since = START }, v;
	bct_time_t now = START + 10000;

	cr_assert(bct_gate_part_judge_heard(j, START, &wrong));
	crash_one_by_one(BCT_GATE_PART_CRASHES, BAD);
	cr_assert_eq(decide(now), BAD);
	cr_assert(bct_gate_part_judge_decide(j, now, &none, &v));
	cr_assert_eq(v.part, FIRST);
	cr_assert(!v.refused);
	cr_assert_eq(bct_gate_part_judge_remaining_ms(j, now, FIRST), 0);
	cr_assert_eq(decide(now), 0);
}

/* Once a part is released, the crashes that it explained speak against others again. */
Test(gate_part_judge, a_release_reopens_the_case)
{
	bct_gate_part_verdict_t wrong = { .part = OTHER, .refused = true, .since = START };

	cr_assert(bct_gate_part_judge_heard(j, START, &wrong));
	for (uint32_t i = 0; i < BCT_GATE_PART_CRASHES; i++) {
		crash(100 + i, START + (bct_time_t)i * 1000, OTHER);
		crash(100 + i, START + (bct_time_t)i * 1000, BAD);
	}
	cr_assert_eq(decide(START + 10000), 0, "explained by the other part");
	cr_assert(bct_gate_part_judge_survived(j, OTHER, START + 9000));
	cr_assert_eq(decide(START + 10000), BAD);
}

/* The trial crashes its upstream: the part stays refused. */
Test(gate_part_judge, a_trial_may_fail)
{
	bct_time_t trial = START + 20000;

	crash_one_by_one(BCT_GATE_PART_CRASHES, BAD);
	cr_assert_eq(decide(START + 10000), BAD);
	cr_assert(bct_gate_part_judge_take_trial(j, trial, BAD));
	crash(900, trial + 100, BAD);
	cr_assert_eq(decide(trial + 1000), 0);
	cr_assert_neq(bct_gate_part_judge_remaining_ms(j, trial + 1000, BAD), 0);
	cr_assert(!bct_gate_part_judge_take_trial(j, trial + 60000, BAD));
}

/* A request that was let through, but refused or given up for other reasons, decides nothing. */
Test(gate_part_judge, a_trial_without_result_is_repeated)
{
	bct_time_t now = START + 10000, trial = START + 20000;

	crash_one_by_one(BCT_GATE_PART_CRASHES, BAD);
	cr_assert_eq(decide(now), BAD);
	cr_assert(bct_gate_part_judge_take_trial(j, trial, BAD));
	cr_assert(bct_gate_part_judge_take_trial(j, trial + BCT_GATE_PART_TRIAL_MS, BAD));
}

/* The later evidence wins at every node, in whatever order the verdicts arrive. */
Test(gate_part_judge, verdicts_are_merged_by_time)
{
	bct_gate_part_verdict_t refused = { .part = BAD, .refused = true, .since = START };
	bct_gate_part_verdict_t harmless = { .part = BAD, .since = START + 12000 };
	bct_time_t now = START + 15000;

	cr_assert(bct_gate_part_judge_heard(j, now, &refused));
	cr_assert(!bct_gate_part_judge_heard(j, now, &refused));
	cr_assert_neq(bct_gate_part_judge_remaining_ms(j, now, BAD), 0);
	cr_assert(bct_gate_part_judge_heard(j, now, &harmless));
	cr_assert(!bct_gate_part_judge_heard(j, now, &refused), "from a node that lags");
	cr_assert_eq(bct_gate_part_judge_remaining_ms(j, now, BAD), 0);
	refused.since = START + 14000;
	cr_assert(bct_gate_part_judge_heard(j, now, &refused));
	cr_assert_neq(bct_gate_part_judge_remaining_ms(j, now, BAD), 0);
	cr_assert(!bct_gate_part_judge_heard(j, START + 14000 + BCT_GATE_PART_KEEP_MS, &refused));
}

/* A caller that invents parts fills neither table: the oldest entries make room. */
Test(gate_part_judge, the_tables_are_bounded)
{
	for (uint32_t i = 0; i < 5000; i++) {
		bct_gate_part_verdict_t v = { .part = i + 1, .refused = true, .since = START };

		crash(i + 1, START + i, i + 1);
		bct_gate_part_judge_heard(j, START + i, &v);
	}
	cr_assert_leq(j->n_events, BCT_GATE_PART_EVENTS_MAX);
	cr_assert_leq(j->verdicts.n, BCT_GATE_PART_VERDICTS_MAX);
	cr_assert_neq(bct_gate_part_judge_remaining_ms(j, START + 5000, 5000), 0);
}
