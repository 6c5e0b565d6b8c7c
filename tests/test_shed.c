/*
 * test_shed.c - a pause of the only upstream must not lower the measured drain rate, which would
 * make the predicted waits of later, light load too long and shed it.
 */
#include "policy/sched.h"
#include "tests/util_policy.h"

#include <criterion/criterion.h>

#define HOLD_MS 2500
#define STEP_MS 100
#define CALLS 30

typedef struct run {
	bct_sched_t *s;
	bct_time_t now;
	uint64_t next_id;
	uint32_t answered;
	uint32_t refused;
	uint32_t busy; /* number of attempts still to be refused as busy */
} run_t;

static void take_actions(run_t *r)
{
	bct_action_t a[TEST_ACTIONS];
	uint32_t n = test_poll(r->s, r->now, a);

	for (uint32_t i = 0; i < n; i++) {
		bct_attempt_end_t end = { .attempt_id = a[i].attempt_id };

		if (a[i].type == BCT_ACTION_REFUSE)
			r->refused++;
		if (a[i].type != BCT_ACTION_DISPATCH)
			continue;
		if (r->busy) {
			r->busy--;
			end.outcome = BCT_OUTCOME_BUSY;
			end.retry_after_ms = HOLD_MS;
		} else {
			end.may_have_run = true;
			r->answered++;
		}
		bct_sched_sent(r->s, r->now, a[i].attempt_id);
		bct_sched_attempt_end(r->s, r->now, &end);
	}
}

/* Submits one call per step, far below the capacity of the service; then lets all of them end. */
static void light_load(run_t *r, uint32_t calls)
{
	for (uint32_t i = 0; i < calls; i++) {
		test_submit(r->s, ++r->next_id, 0, TEST_BOOKING, r->now);
		for (uint32_t j = 0; j < 4; j++)
			take_actions(r);
		r->now += STEP_MS;
	}
	for (uint32_t i = 0; i < 100; i++) {
		take_actions(r);
		r->now += STEP_MS;
	}
}

Test(shed, a_past_pause_of_the_upstream_causes_no_later_shedding)
{
	bct_conf_t *conf = test_conf(1, 1, 4, 1);
	run_t r = { .s = test_sched(conf, 1), .now = 1000 };

	for (uint32_t round = 1; round <= 3; round++) {
		r.busy = 1;
		light_load(&r, CALLS);
		cr_assert_eq(r.refused, 0, "round %u: %u refused", round, r.refused);
		cr_assert_eq(r.answered, round * CALLS);
	}
	bct_sched_free(r.s);
	bct_conf_unref(conf);
}
