/*
 * test_invariant.c - every kind of breach is found in a constructed trace, and no other kind.
 */
#include "base/err.h"
#include "base/mem.h"
#include "policy/invariant.h"

#include <criterion/criterion.h>

#define NODE_A 1
#define NODE_B 2

static bct_trace_t event(bct_trace_type_t type, bct_time_t now, uint64_t node, uint64_t req,
			 uint8_t tier, uint64_t value)
{
	return (bct_trace_t){ .type = type,
			      .now = now,
			      .node_key = node,
			      .req_id = req,
			      .account_key = 5,
			      .target_key = 6,
			      .upstream_key = 7,
			      .tier = tier,
			      .value = value };
}

#define SUBMIT(now, node, req, tier) event(BCT_TRACE_SUBMIT, now, node, req, tier, 1)
#define SUBMIT_NON_REPEATABLE(now, node, req, tier) event(BCT_TRACE_SUBMIT, now, node, req, tier, 0)
#define DISPATCH(now, node, req, tier) event(BCT_TRACE_DISPATCH, now, node, req, tier, 0)
#define DISPATCH_NOT_PREEMPTIBLE(now, node, req, tier) \
	event(BCT_TRACE_DISPATCH, now, node, req, tier, BCT_TRACE_NOT_PREEMPTIBLE)
#define REFUSE(now, node, req, tier, why) \
	event(BCT_TRACE_REFUSE, now, node, req, tier, BCT_REFUSE_##why)
#define PREEMPT(now, node, req, tier, by) event(BCT_TRACE_PREEMPT, now, node, req, tier, by)
#define END(now, node, req, tier, how) event(BCT_TRACE_END, now, node, req, tier, BCT_OUTCOME_##how)

static const bct_invariant_opts_t opts = { .starve_ms = 1000,
					   .starve_dispatches = 5,
					   .cross_node_grace_ms = 100 };

/* Feeds a trace and asserts that it has exactly this breach; BCT_BREACH_COUNT: none. */
static void expect(const bct_trace_t *t, uint32_t n, bct_breach_t expected)
{
	bct_invariant_t *v;

	cr_assert_eq(bct_invariant_new(&opts, &v), 0);
	for (uint32_t i = 0; i < n; i++)
		cr_assert_eq(bct_invariant_feed(v, &t[i]), 0);
	if (expected == BCT_BREACH_LOST)
		bct_invariant_finish(v);
	for (bct_breach_t b = 0; b < BCT_BREACH_COUNT; b++)
		cr_assert_eq(bct_invariant_count(v, b), b == expected, "%s: %lu",
			     bct_breach_name(b), (unsigned long)bct_invariant_count(v, b));
	bct_invariant_free(v);
}

#define EXPECT(expected, ...)                                                 \
	do {                                                                  \
		const bct_trace_t events[] = { __VA_ARGS__ };                 \
		expect(events, sizeof(events) / sizeof(events[0]), expected); \
	} while (0)

Test(invariant, a_correct_trace_has_none)
{
	EXPECT(BCT_BREACH_COUNT, SUBMIT(0, NODE_A, 1, 1), SUBMIT(0, NODE_A, 2, 5),
	       DISPATCH(1, NODE_A, 1, 1), REFUSE(2, NODE_A, 2, 5, SHED), END(3, NODE_A, 1, 1, OK));
}

Test(invariant, higher_tier_shed_first)
{
	EXPECT(BCT_BREACH_SHED_BEFORE_LOWER, SUBMIT(0, NODE_A, 1, 2), SUBMIT(0, NODE_A, 2, 3),
	       REFUSE(1, NODE_A, 1, 2, SHED));
	EXPECT(BCT_BREACH_SHED_BEFORE_LOWER, SUBMIT(0, NODE_A, 1, 2), SUBMIT(0, NODE_A, 2, 3),
	       REFUSE(1, NODE_A, 1, 2, QUEUE_FULL));
}

Test(invariant, higher_tier_shed_while_lower_runs)
{
	EXPECT(BCT_BREACH_SHED_BEFORE_PREEMPT, SUBMIT(0, NODE_A, 1, 2), SUBMIT(0, NODE_A, 2, 3),
	       DISPATCH(0, NODE_A, 2, 3), REFUSE(1, NODE_A, 1, 2, SHED));
	EXPECT(BCT_BREACH_COUNT, SUBMIT(0, NODE_A, 1, 2), SUBMIT(0, NODE_A, 2, 3),
	       DISPATCH_NOT_PREEMPTIBLE(0, NODE_A, 2, 3), REFUSE(1, NODE_A, 1, 2, SHED));
}

Test(invariant, shed_while_lower_tier_waits_on_another_node)
{
	EXPECT(BCT_BREACH_SHED_ACROSS_NODES, SUBMIT(0, NODE_B, 1, 5), SUBMIT(500, NODE_A, 1, 1),
	       REFUSE(500, NODE_A, 1, 1, SHED));
	EXPECT(BCT_BREACH_COUNT, SUBMIT(450, NODE_B, 1, 5), SUBMIT(500, NODE_A, 1, 1),
	       REFUSE(500, NODE_A, 1, 1, SHED));
}

Test(invariant, preempted_for_its_own_tier)
{
	EXPECT(BCT_BREACH_PREEMPT_UPWARDS, SUBMIT(0, NODE_A, 1, 2), DISPATCH(0, NODE_A, 1, 2),
	       PREEMPT(1, NODE_A, 1, 2, 2));
}

Test(invariant, preempted_before_a_lower_tier)
{
	EXPECT(BCT_BREACH_PREEMPT_BEFORE_LOWER, SUBMIT(0, NODE_A, 1, 3), SUBMIT(0, NODE_A, 2, 4),
	       DISPATCH(0, NODE_A, 1, 3), DISPATCH(0, NODE_A, 2, 4), PREEMPT(1, NODE_A, 1, 3, 1));
	EXPECT(BCT_BREACH_COUNT, SUBMIT(0, NODE_A, 1, 3), SUBMIT(0, NODE_A, 2, 4),
	       DISPATCH(0, NODE_A, 1, 3), DISPATCH(0, NODE_A, 2, 4), PREEMPT(1, NODE_A, 2, 4, 1),
	       PREEMPT(1, NODE_A, 1, 3, 1), END(2, NODE_A, 2, 4, CANCELLED),
	       DISPATCH(3, NODE_A, 2, 4));
}

Test(invariant, two_final_answers)
{
	EXPECT(BCT_BREACH_TWO_ANSWERS, SUBMIT(0, NODE_A, 1, 1), REFUSE(1, NODE_A, 1, 1, SHED),
	       REFUSE(2, NODE_A, 1, 1, SHED));
	EXPECT(BCT_BREACH_TWO_ANSWERS, SUBMIT(0, NODE_A, 1, 1), DISPATCH(0, NODE_A, 1, 1),
	       END(1, NODE_A, 1, 1, OK), REFUSE(2, NODE_A, 1, 1, DEADLINE));
}

Test(invariant, dispatched_after_its_answer)
{
	EXPECT(BCT_BREACH_AFTER_ANSWER, SUBMIT(0, NODE_A, 1, 1), REFUSE(1, NODE_A, 1, 1, SHED),
	       DISPATCH(2, NODE_A, 1, 1));
}

Test(invariant, two_attempts_at_once)
{
	EXPECT(BCT_BREACH_TWO_AT_ONCE, SUBMIT(0, NODE_A, 1, 1), DISPATCH(1, NODE_A, 1, 1),
	       DISPATCH(2, NODE_A, 1, 1));
}

Test(invariant, run_twice)
{
	EXPECT(BCT_BREACH_RUN_TWICE, SUBMIT_NON_REPEATABLE(0, NODE_A, 1, 1),
	       DISPATCH(1, NODE_A, 1, 1), END(2, NODE_A, 1, 1, RESET), DISPATCH(3, NODE_A, 1, 1));
	EXPECT(BCT_BREACH_COUNT, SUBMIT_NON_REPEATABLE(0, NODE_A, 1, 1), DISPATCH(1, NODE_A, 1, 1),
	       END(2, NODE_A, 1, 1, CONNECT_FAILED), DISPATCH(3, NODE_A, 1, 1));
	EXPECT(BCT_BREACH_COUNT, SUBMIT(0, NODE_A, 1, 1), DISPATCH(1, NODE_A, 1, 1),
	       END(2, NODE_A, 1, 1, RESET), DISPATCH(3, NODE_A, 1, 1));
}

Test(invariant, unknown_lost_and_out_of_order)
{
	EXPECT(BCT_BREACH_UNKNOWN_REQUEST, DISPATCH(0, NODE_A, 9, 1));
	EXPECT(BCT_BREACH_LOST, SUBMIT(0, NODE_A, 1, 1));
	EXPECT(BCT_BREACH_OUT_OF_ORDER, SUBMIT(5, NODE_A, 1, 1), SUBMIT(4, NODE_A, 2, 1));
}

/*
 * A class of tier 5 waits, or is refused with the reason refuse if that is not NONE, while tier 1
 * gets all dispatches. Returns how often the class was found starved.
 */
static uint64_t starved_count(uint32_t dispatches, bct_time_t step_ms, bct_refuse_t refuse)
{
	bct_trace_t low = SUBMIT(0, NODE_A, 1, 5), t;
	bct_invariant_t *v;
	uint64_t count;

	cr_assert_eq(bct_invariant_new(&opts, &v), 0);
	bct_invariant_feed(v, &low);
	if (refuse) {
		low = event(BCT_TRACE_REFUSE, 0, NODE_A, 1, 5, refuse);
		bct_invariant_feed(v, &low);
	}
	for (uint32_t i = 0; i < dispatches; i++) {
		t = SUBMIT(i * step_ms, NODE_A, 10 + i, 1);
		bct_invariant_feed(v, &t);
		t = DISPATCH(i * step_ms, NODE_A, 10 + i, 1);
		bct_invariant_feed(v, &t);
	}
	t = SUBMIT(dispatches * step_ms, NODE_A, 2, 5);
	bct_invariant_feed(v, &t);
	t = REFUSE(dispatches * step_ms, NODE_A, 2, 5, SHED);
	bct_invariant_feed(v, &t);
	count = bct_invariant_count(v, BCT_BREACH_STARVED);
	bct_invariant_free(v);
	return count;
}

Test(invariant, starved_class)
{
	cr_assert_eq(starved_count(20, 100, BCT_REFUSE_NONE), 1, "waiting counts");
	cr_assert_eq(starved_count(20, 100, BCT_REFUSE_SHED), 1,
		     "refusal for lack of capacity counts");
	cr_assert_eq(starved_count(20, 100, BCT_REFUSE_RATE_LIMIT), 0,
		     "refusal by the rate limit does not count");
	cr_assert_eq(starved_count(20, 10, BCT_REFUSE_SHED), 0, "interval shorter than starve_ms");
	cr_assert_eq(starved_count(4, 1000, BCT_REFUSE_SHED), 0, "fewer dispatches than the bound");
}

Test(invariant, out_of_memory_changes_nothing)
{
	bct_trace_t t = SUBMIT(0, NODE_A, 1, 1);
	bct_invariant_t *v;
	int err = -BCT_ENOMEM;

	cr_assert_eq(bct_invariant_new(&opts, &v), 0);
	for (int64_t n = 0; err; n++) {
		bct_mem_fail_after(n);
		err = bct_invariant_feed(v, &t);
		bct_mem_fail_after(-1);
		cr_assert(err == 0 || err == -BCT_ENOMEM);
	}
	cr_assert_eq(bct_invariant_total(v), 0);
	bct_invariant_free(v);
}
