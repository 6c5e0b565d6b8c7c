/*
 * util_policy.h - configurations, and helpers to drive a scheduler step by step in tests.
 */
#ifndef BCT_TESTS_UTIL_POLICY_H
#define BCT_TESTS_UTIL_POLICY_H

#include "policy/sched.h"

#define TEST_MODEL 100
#define TEST_SERVICE 200
#define TEST_ACCOUNT(i) (1000 + (i))
#define TEST_CLASS(tier) (10 + (tier)) /* repeatable, on TEST_MODEL */
#define TEST_BOOKING 20		       /* not repeatable, on TEST_SERVICE, tier 1 */
#define TEST_ENGINE(i) (5000 + (i))
#define TEST_SERVICE_UPSTREAM(i) (6000 + (i))
#define TEST_ACTIONS 64

/*
 * A configuration with this many accounts, engines and services, all upstreams with this many
 * slots. Each account has TEST_CLASS() of every tier, and TEST_BOOKING.
 */
bct_conf_t *test_conf(uint32_t accounts, uint32_t engines, uint32_t slots, uint32_t services);
/* A scheduler of one node of a fleet, with the configuration in force. */
bct_sched_t *test_sched(bct_conf_t *conf, uint32_t nodes);

bct_req_desc_t test_req(uint64_t id, uint32_t account, uint64_t class_key, bct_time_t now);
void test_submit(bct_sched_t *s, uint64_t id, uint32_t account, uint64_t class_key, bct_time_t now);

/* Polls once; returns the number of actions. */
uint32_t test_poll(bct_sched_t *s, bct_time_t now, bct_action_t out[TEST_ACTIONS]);

/* Polls once, and asserts that there is exactly one action and that it has this type. */
bct_action_t test_expect(bct_sched_t *s, bct_time_t now, bct_action_type_t type);
/* Reports the end of an attempt. */
void test_end(bct_sched_t *s, bct_time_t now, uint64_t attempt_id, bct_outcome_t outcome,
	      uint32_t tokens, bool may_have_run);

#endif
