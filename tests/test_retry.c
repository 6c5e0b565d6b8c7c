/*
 * test_retry.c - retries of repeatable and non-repeatable requests, and requests suspected of
 * crashing upstreams.
 */
#include "policy/suspect.h"
#include "util_policy.h"

#include <criterion/criterion.h>

static bct_conf_t *conf;
static bct_sched_t *s;

static void start(uint32_t engines)
{
	conf = test_conf(1, engines, 4, 2);
	s = test_sched(conf, 1);
}

static void stop(void)
{
	bct_sched_free(s);
	bct_conf_unref(conf);
}

static bct_action_t submit_and_dispatch(uint64_t id, uint64_t class_key, bct_time_t now)
{
	test_submit(s, id, 0, class_key, now);
	return test_expect(s, now, BCT_ACTION_DISPATCH);
}

static const bct_outcome_t may_have_run[] = { BCT_OUTCOME_RESET, BCT_OUTCOME_TIMEOUT,
					      BCT_OUTCOME_STALLED, BCT_OUTCOME_BAD_ANSWER,
					      BCT_OUTCOME_MISMATCHED };

Test(retry, never_of_non_repeatable_requests_that_may_have_run)
{
	start(1);
	for (uint32_t i = 0; i < sizeof(may_have_run) / sizeof(may_have_run[0]); i++) {
		bct_time_t now = i * 20000;
		bct_action_t a = submit_and_dispatch(1 + i, TEST_BOOKING, now);

		bct_sched_sent(s, now, a.attempt_id);
		test_end(s, now + 10, a.attempt_id, may_have_run[i], 0, true);
		a = test_expect(s, now + 10, BCT_ACTION_REFUSE);
		cr_assert_eq(a.refuse, BCT_REFUSE_OUTCOME_UNKNOWN);
		cr_assert_eq(a.run, BCT_RUN_UNKNOWN);
	}
	stop();
}

Test(retry, an_attempt_that_did_not_run_is_retried_elsewhere)
{
	bct_action_t a, b;

	start(1);
	a = submit_and_dispatch(1, TEST_BOOKING, 0);
	test_end(s, 10, a.attempt_id, BCT_OUTCOME_CONNECT_FAILED, 0, false);
	b = test_expect(s, 10, BCT_ACTION_DISPATCH);
	cr_assert_eq(b.retry, BCT_RETRY_CONNECT);
	cr_assert_neq(b.upstream_key, a.upstream_key);
	test_end(s, 20, b.attempt_id, BCT_OUTCOME_BUSY, 0, false);
	cr_assert_eq(test_poll(s, 20, (bct_action_t[TEST_ACTIONS]){ 0 }), 0,
		     "both upstreams are paused");
	a = test_expect(s, 1000, BCT_ACTION_DISPATCH);
	cr_assert_eq(a.retry, BCT_RETRY_BUSY);
	test_end(s, 1010, a.attempt_id, BCT_OUTCOME_NOT_SENT, 0, false);
	cr_assert_eq(test_poll(s, 9000, (bct_action_t[TEST_ACTIONS]){ 0 }), 0);
	stop();
}

Test(retry, a_stream_resumes_after_the_tokens_already_sent)
{
	bct_action_t a, b;

	start(2);
	a = submit_and_dispatch(1, TEST_CLASS(1), 0);
	bct_sched_sent(s, 0, a.attempt_id);
	bct_sched_tokens(s, 20, a.attempt_id, 7);
	test_end(s, 30, a.attempt_id, BCT_OUTCOME_STALLED, 7, true);
	b = test_expect(s, 30, BCT_ACTION_DISPATCH);
	cr_assert_eq(b.retry, BCT_RETRY_STALL);
	cr_assert_eq(b.resume_tokens, 7);
	cr_assert_neq(b.upstream_key, a.upstream_key);
	test_end(s, 40, a.attempt_id, BCT_OUTCOME_OK, 9, true);
	cr_assert_eq(test_poll(s, 41, (bct_action_t[TEST_ACTIONS]){ 0 }), 0,
		     "end of an attempt that has ended already");
	stop();
}

Test(retry, a_stream_that_cannot_be_resumed_is_not_retried)
{
	bct_action_t a;

	conf = test_conf(1, 2, 4, 1);
	conf->upstreams[0].resumes = conf->upstreams[1].resumes = false;
	s = test_sched(conf, 1);
	a = submit_and_dispatch(1, TEST_CLASS(1), 0);
	bct_sched_tokens(s, 20, a.attempt_id, 7);
	test_end(s, 30, a.attempt_id, BCT_OUTCOME_RESET, 7, true);
	a = test_expect(s, 30, BCT_ACTION_REFUSE);
	cr_assert_eq(a.refuse, BCT_REFUSE_UPSTREAM_FAILED);
	cr_assert_eq(a.run, BCT_RUN_UNKNOWN);
	stop();
}

/* Callers would get an answer that two versions of an engine's software wrote. */
Test(retry, a_stream_resumes_at_the_version_that_began_it)
{
	bct_action_t a, b;

	conf = test_conf(1, 3, 4, 1);
	conf->upstreams[0].software_key = 1;
	conf->upstreams[1].software_key = 2;
	conf->upstreams[2].software_key = 1;
	s = test_sched(conf, 1);
	for (uint64_t id = 1; id < 20; id++) {
		bct_time_t now = (bct_time_t)id * 20000;

		a = submit_and_dispatch(id, TEST_CLASS(1), now);
		bct_sched_tokens(s, now + 20, a.attempt_id, 7);
		test_end(s, now + 30, a.attempt_id, BCT_OUTCOME_STALLED, 7, true);
		b = test_expect(s, now + 30, BCT_ACTION_DISPATCH);
		/* Only engine 1 has the other version; it may go on itself. */
		cr_assert_eq(a.upstream_key == TEST_ENGINE(1), b.upstream_key == TEST_ENGINE(1),
			     "request %lu", (unsigned long)id);
		test_end(s, now + 40, b.attempt_id, BCT_OUTCOME_OK, 9, true);
	}
	stop();
}

/* Before the first token any version will do. */
Test(retry, what_has_no_output_goes_to_any_version)
{
	bct_action_t a, b;

	conf = test_conf(1, 2, 4, 1);
	conf->upstreams[0].software_key = 1;
	conf->upstreams[1].software_key = 2;
	s = test_sched(conf, 1);
	a = submit_and_dispatch(1, TEST_CLASS(1), 0);
	test_end(s, 10, a.attempt_id, BCT_OUTCOME_RESET, 0, true);
	b = test_expect(s, 10, BCT_ACTION_DISPATCH);
	cr_assert_neq(b.upstream_key, a.upstream_key);
	stop();
}

Test(retry, the_caller_disconnected)
{
	bct_action_t a;

	start(1);
	a = submit_and_dispatch(1, TEST_CLASS(1), 0);
	bct_sched_sent(s, 0, a.attempt_id);
	bct_sched_cancel(s, 5, 1);
	cr_assert_eq(test_expect(s, 5, BCT_ACTION_CANCEL).attempt_id, a.attempt_id);
	test_end(s, 6, a.attempt_id, BCT_OUTCOME_CANCELLED, 3, true);
	cr_assert_eq(test_poll(s, 7, (bct_action_t[TEST_ACTIONS]){ 0 }), 0);
	stop();
}

Test(retry, a_leaving_upstream_gets_no_new_requests)
{
	bct_action_t a;

	start(2);
	bct_sched_leaving(s, 0, TEST_ENGINE(0), true);
	for (uint64_t id = 1; id < 5; id++)
		cr_assert_eq(submit_and_dispatch(id, TEST_CLASS(1), 0).upstream_key,
			     TEST_ENGINE(1));
	bct_sched_leaving(s, 1, TEST_ENGINE(1), true);
	test_submit(s, 9, 0, TEST_CLASS(1), 1);
	cr_assert_eq(test_poll(s, 1, (bct_action_t[TEST_ACTIONS]){ 0 }), 0);
	a = test_expect(s, 6001, BCT_ACTION_REFUSE);
	cr_assert_eq(a.refuse, BCT_REFUSE_NO_UPSTREAM);
	cr_assert_eq(a.run, BCT_RUN_NOT_RUN);
	cr_assert_gt(a.retry_after_ms, 0);
	stop();
}

Test(suspect, runs_alone_and_is_refused_after_a_second_crash)
{
	bct_action_t a, b;

	start(2);
	a = submit_and_dispatch(1, TEST_CLASS(1), 0);
	test_end(s, 10, a.attempt_id, BCT_OUTCOME_RESET, 0, true);
	b = test_expect(s, 10, BCT_ACTION_DISPATCH);
	cr_assert(b.alone);
	cr_assert_eq(b.retry, BCT_RETRY_CRASH);
	for (uint64_t id = 2; id < 6; id++) {
		test_submit(s, id, 0, TEST_CLASS(1), 300);
		a = test_expect(s, 300, BCT_ACTION_DISPATCH);
		cr_assert_neq(a.upstream_key, b.upstream_key,
			      "dispatched to the upstream of a suspect");
	}
	test_end(s, 400, b.attempt_id, BCT_OUTCOME_RESET, 0, true);
	a = test_expect(s, 400, BCT_ACTION_REFUSE);
	cr_assert_eq(a.refuse, BCT_REFUSE_POISON);
	cr_assert_gt(a.retry_after_ms, 0);
	stop();
}

static void report(uint64_t upstream_key, uint64_t boot_id, uint64_t seq, bct_time_t now)
{
	bct_report_t r = { .upstream_key = upstream_key, .boot_id = boot_id, .seq = seq };

	bct_sched_report(s, now, &r);
}

/* The caller leaves, or the node gives up waiting, just before the upstream ends: the connection is
 * closed by then, so that no break is seen; the upstream's next report is of another boot. */
static void assert_end_counts(bct_outcome_t outcome)
{
	bct_req_desc_t d = test_req(9, 0, TEST_CLASS(1), 2000);
	bct_action_t a;

	start(2);
	report(TEST_ENGINE(0), 1, 1, 0);
	report(TEST_ENGINE(1), 1, 1, 0);
	a = submit_and_dispatch(1, TEST_CLASS(1), 10);
	d.digest = test_req(1, 0, TEST_CLASS(1), 10).digest;
	bct_sched_sent(s, 10, a.attempt_id);
	if (outcome == BCT_OUTCOME_CANCELLED) {
		bct_sched_cancel(s, 40, 1);
		test_expect(s, 40, BCT_ACTION_CANCEL);
	}
	test_end(s, 41, a.attempt_id, outcome, 0, true);
	if (outcome != BCT_OUTCOME_CANCELLED) {
		a = test_expect(s, 41, BCT_ACTION_DISPATCH);
		bct_sched_sent(s, 41, a.attempt_id);
		bct_sched_cancel(s, 42, 1);
		test_expect(s, 42, BCT_ACTION_CANCEL);
		test_end(s, 43, a.attempt_id, BCT_OUTCOME_CANCELLED, 0, true);
	}
	report(TEST_ENGINE(0), 2, 1, 1500);
	report(TEST_ENGINE(1), 2, 1, 1500);
	cr_assert_eq(bct_sched_submit(s, 2000, &d), 0);
	cr_assert(test_expect(s, 2000, BCT_ACTION_DISPATCH).alone, "no crash on record");
	stop();
}

Test(suspect, an_end_after_the_caller_left_counts)
{
	assert_end_counts(BCT_OUTCOME_CANCELLED);
}

Test(suspect, an_end_after_a_timeout_counts)
{
	assert_end_counts(BCT_OUTCOME_TIMEOUT);
}

#define DIGEST_X 5
#define DIGEST_Y 6

Test(suspect, bystanders_and_answers_are_cleared)
{
	bct_suspects_t t = { 0 };

	bct_suspect_crash(&t, 0, DIGEST_X, 1, false);
	bct_suspect_crash(&t, 10, DIGEST_Y, 1, false);
	cr_assert_eq(bct_suspect_state(&t, 20, DIGEST_Y, NULL), BCT_SUSPECT_ALONE);
	cr_assert_eq(bct_suspect_crash(&t, 30, DIGEST_X, 2, true), BCT_SUSPECT_POISON);
	cr_assert_eq(bct_suspect_state(&t, 40, DIGEST_Y, NULL), BCT_SUSPECT_NO, "a bystander");
	bct_suspect_clear(&t, 50, DIGEST_X);
	cr_assert_eq(bct_suspect_state(&t, 60, DIGEST_X, NULL), BCT_SUSPECT_POISON);
	cr_assert_eq(bct_suspect_state(&t, 30 + BCT_SUSPECT_TTL_MS, DIGEST_X, NULL),
		     BCT_SUSPECT_NO);
	bct_suspect_expire(&t, 31 + BCT_SUSPECT_TTL_MS);
	cr_assert_eq(t.map.n, 0);
	bct_suspects_free(&t);
}

Test(suspect, one_crash_on_each_of_two_nodes_makes_poison)
{
	bct_suspects_t a = { 0 }, b = { 0 };
	int64_t v[4];
	uint64_t digest;
	uint32_t pos = 0;

	bct_suspect_crash(&a, 0, DIGEST_X, 1, false);
	bct_suspect_crash(&b, 5, DIGEST_X, 2, false);
	cr_assert(bct_suspect_publish(&a, 10, &pos, &digest, v));
	bct_suspect_merge(&b, 20, digest, v);
	cr_assert_eq(bct_suspect_state(&b, 30, DIGEST_X, NULL), BCT_SUSPECT_POISON);
	pos = 0;
	cr_assert(bct_suspect_publish(&b, 40, &pos, &digest, v));
	bct_suspect_merge(&a, 50, digest, v);
	cr_assert_eq(bct_suspect_state(&a, 60, DIGEST_X, NULL), BCT_SUSPECT_POISON);
	bct_suspects_free(&a);
	bct_suspects_free(&b);
}

Test(suspect, the_node_that_saw_the_crash_tests_first)
{
	bct_suspects_t a = { 0 }, b = { 0 };
	const int64_t received[4] = { 1, 1, 0, 60000 };

	bct_suspect_crash(&a, 0, DIGEST_X, 1, false);
	bct_suspect_merge(&b, 0, DIGEST_X, received);
	cr_assert_lt(bct_suspect_test_at(&a, DIGEST_X, 7, 0),
		     bct_suspect_test_at(&b, DIGEST_X, 7, 0));
	cr_assert_lt(bct_suspect_test_at(&b, DIGEST_X, 7, 1),
		     bct_suspect_test_at(&b, DIGEST_X, 7, 2));
	cr_assert(bct_suspect_test_begin(&a, DIGEST_X));
	cr_assert_not(bct_suspect_test_begin(&a, DIGEST_X), "concurrent tests");
	bct_suspects_free(&a);
	bct_suspects_free(&b);
}
