/*
 * test_sched.c - the scheduler through its public interface: events in, actions out.
 */
#include "base/err.h"
#include "base/mem.h"
#include "util_policy.h"

#include <criterion/criterion.h>

static bct_conf_t *conf;
static bct_sched_t *s;

static void start(uint32_t engines, uint32_t slots)
{
	conf = test_conf(2, engines, slots, 1);
	s = test_sched(conf, 1);
}

static void stop(void)
{
	bct_sched_free(s);
	bct_conf_unref(conf);
}

Test(sched, complete_answer)
{
	bct_action_t a;

	start(2, 4);
	test_submit(s, 1, 0, TEST_CLASS(1), 0);
	a = test_expect(s, 0, BCT_ACTION_DISPATCH);
	cr_assert_eq(a.req_id, 1);
	cr_assert_eq(a.priority, 1);
	bct_sched_sent(s, 1, a.attempt_id);
	bct_sched_tokens(s, 20, a.attempt_id, 1);
	test_end(s, 100, a.attempt_id, BCT_OUTCOME_OK, 10, true);
	test_end(s, 101, a.attempt_id, BCT_OUTCOME_OK, 10, true);
	cr_assert_eq(test_poll(s, 102, (bct_action_t[TEST_ACTIONS]){ 0 }), 0);
	cr_assert_eq(bct_sched_next_wake(s), BCT_TIME_NEVER);
	stop();
}

Test(sched, higher_tier_first)
{
	bct_action_t a;

	start(1, 1);
	test_submit(s, 1, 0, TEST_CLASS(5), 0);
	a = test_expect(s, 0, BCT_ACTION_DISPATCH);
	test_submit(s, 2, 0, TEST_CLASS(4), 1);
	test_submit(s, 3, 0, TEST_CLASS(2), 2);
	cr_assert_eq(test_poll(s, 3, (bct_action_t[TEST_ACTIONS]){ 0 }), 0);
	test_end(s, 4, a.attempt_id, BCT_OUTCOME_OK, 10, true);
	a = test_expect(s, 4, BCT_ACTION_DISPATCH);
	cr_assert_eq(a.req_id, 3);
	stop();
}

Test(sched, unknown_account_is_rejected)
{
	bct_req_desc_t d;

	start(1, 1);
	d = test_req(1, 0, TEST_CLASS(1), 0);
	d.account_key = 1;
	cr_assert_eq(bct_sched_submit(s, 0, &d), -BCT_ENOT_FOUND);
	stop();
}

/* Each allocation of a submit fails in turn; the failed submits leave nothing behind. */
Test(sched, out_of_memory_at_every_step)
{
	bct_req_desc_t d;
	int err;

	start(2, 4);
	d = test_req(1, 0, TEST_CLASS(1), 0);
	for (int64_t n = 0; n < 20; n++) {
		bct_mem_fail_after(n);
		err = bct_sched_submit(s, 0, &d);
		bct_mem_fail_after(-1);
		if (!err)
			break;
		cr_assert_eq(err, -BCT_ENOMEM);
		cr_assert_eq(test_poll(s, 0, (bct_action_t[TEST_ACTIONS]){ 0 }), 0);
	}
	cr_assert_eq(err, 0);
	test_expect(s, 0, BCT_ACTION_DISPATCH);
	stop();
}

Test(sched, configure_without_memory_keeps_the_old_configuration)
{
	bct_conf_t *first = test_conf(1, 1, 1, 1), *second = test_conf(20, 30, 1, 9);
	bct_sched_t *one = test_sched(first, 1);
	int err = -BCT_ENOMEM;

	for (int64_t n = 0; err && n < 1000; n++) {
		bct_mem_fail_after(n);
		err = bct_sched_configure(one, 0, second);
		bct_mem_fail_after(-1);
		if (err) {
			cr_assert_eq(err, -BCT_ENOMEM);
			cr_assert_eq(first->refs, 2);
		}
	}
	cr_assert_eq(err, 0);
	cr_assert_eq(first->refs, 1);
	bct_sched_free(one);
	bct_conf_unref(first);
	bct_conf_unref(second);
}
