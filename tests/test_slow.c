/*
 * test_slow.c - an upstream is slow only relative to others: when all upstreams of a target are
 * slower than configured, requests must not be held until they have missed their targets.
 */
#include "policy/sched.h"
#include "tests/util_policy.h"

#include <criterion/criterion.h>

#define STREAMS 8
#define TOKENS 40
#define TOKEN_MS 1000 /* far slower than the expected decode speed of an engine */

Test(slow, all_upstreams_slow_holds_nothing_back)
{
	bct_conf_t *conf = test_conf(1, 2, 8, 0);
	bct_sched_t *s = test_sched(conf, 1);
	bct_action_t a[TEST_ACTIONS];
	bct_time_t now = 1000;
	uint32_t n;

	for (uint64_t id = 1; id <= STREAMS; id++)
		test_submit(s, id, 0, TEST_CLASS(1), now);
	n = test_poll(s, now, a);
	cr_assert_eq(n, STREAMS);
	for (uint32_t i = 0; i < n; i++)
		bct_sched_sent(s, now, a[i].attempt_id);
	for (uint32_t k = 1; k <= TOKENS; k++) {
		now += TOKEN_MS;
		for (uint32_t i = 0; i < n; i++)
			bct_sched_tokens(s, now, a[i].attempt_id, k);
	}
	for (uint32_t i = 0; i < n; i++)
		test_end(s, now, a[i].attempt_id, BCT_OUTCOME_OK, TOKENS, true);
	test_submit(s, STREAMS + 1, 0, TEST_CLASS(1), now);
	test_expect(s, now, BCT_ACTION_DISPATCH);
	bct_sched_free(s);
	bct_conf_unref(conf);
}
