/*
 * util_policy.c - fixed configurations and a driver for scheduler tests.
 */
#include "util_policy.h"
#include "base/mem.h"

#include <criterion/criterion.h>
#include <stdio.h>

static void fill_account(bct_account_conf_t *a, uint32_t i)
{
	a->key = TEST_ACCOUNT(i);
	a->n_classes = BCT_TIERS + 1;
	a->classes = bct_alloc(a->n_classes * sizeof(*a->classes));
	for (uint32_t t = 1; t <= BCT_TIERS; t++) {
		a->classes[t - 1] = (bct_class_conf_t){
			.key = TEST_CLASS(t),
			.tier = (uint8_t)t,
			.target_kind = BCT_UPSTREAM_ENGINE,
			.target_key = TEST_MODEL,
			.ttft_ms = 1000,
			.max_output_tokens = 400,
			.floor_permille = 20,
			.repeatable = true,
		};
	}
	a->classes[BCT_TIERS] = (bct_class_conf_t){
		.key = TEST_BOOKING,
		.tier = 1,
		.target_kind = BCT_UPSTREAM_SERVICE,
		.target_key = TEST_SERVICE,
		.ttft_ms = 1000,
	};
}

static void fill_upstream(bct_upstream_conf_t *u, bct_upstream_kind_t kind, uint64_t key,
			  uint32_t slots)
{
	u->kind = kind;
	u->key = key;
	u->slots = slots;
	u->service_key = TEST_SERVICE;
	u->model_keys[0] = TEST_MODEL;
	u->n_models = 1;
	u->prefill_tokens_per_s = 8000;
	u->decode_tokens_per_s = 40;
	u->resumes = true;
	u->honours_priority = true;
}

bct_conf_t *test_conf(uint32_t accounts, uint32_t engines, uint32_t slots, uint32_t services)
{
	bct_conf_t *c = bct_conf_new();
	uint32_t i;

	cr_assert_not_null(c);
	c->n_accounts = accounts;
	c->accounts = bct_alloc(accounts * sizeof(*c->accounts));
	for (i = 0; i < accounts; i++)
		fill_account(&c->accounts[i], i);
	c->n_upstreams = engines + services;
	c->upstreams = bct_alloc(c->n_upstreams * sizeof(*c->upstreams));
	for (i = 0; i < engines; i++)
		fill_upstream(&c->upstreams[i], BCT_UPSTREAM_ENGINE, TEST_ENGINE(i), slots);
	for (i = 0; i < services; i++)
		fill_upstream(&c->upstreams[engines + i], BCT_UPSTREAM_SERVICE,
			      TEST_SERVICE_UPSTREAM(i), slots);
	return c;
}

bct_sched_t *test_sched(bct_conf_t *conf, uint32_t nodes)
{
	bct_sched_opts_t opts = {
		.seed = 1,
		.incarnation = 99,
		.max_queued = 1000,
		.fleet = { .nodes = nodes, .node_key = 7 },
	};
	bct_sched_t *s;

	cr_assert_eq(bct_sched_new(&opts, &s), 0);
	cr_assert_eq(bct_sched_configure(s, 0, conf), 0);
	return s;
}

bct_req_desc_t test_req(uint64_t id, uint32_t account, uint64_t class_key, bct_time_t now)
{
	return (bct_req_desc_t){
		.req_id = id,
		.account_key = TEST_ACCOUNT(account),
		.class_key = class_key,
		.digest = id * 7919,
		.arrived = now,
		.prompt_tokens = 100,
		.max_output_tokens = 200,
		.repeatable = class_key != TEST_BOOKING,
	};
}

void test_submit(bct_sched_t *s, uint64_t id, uint32_t account, uint64_t class_key, bct_time_t now)
{
	bct_req_desc_t d = test_req(id, account, class_key, now);

	cr_assert_eq(bct_sched_submit(s, now, &d), 0);
}

uint32_t test_poll(bct_sched_t *s, bct_time_t now, bct_action_t out[TEST_ACTIONS])
{
	return bct_sched_poll(s, now, out, TEST_ACTIONS);
}

bct_action_t test_expect(bct_sched_t *s, bct_time_t now, bct_action_type_t type)
{
	bct_action_t out[TEST_ACTIONS];
	uint32_t n = test_poll(s, now, out);

	cr_assert_eq(n, 1, "got %u actions instead of 1 at %lld ms", n, (long long)now);
	cr_assert_eq(out[0].type, type, "got action type %d (refuse %s) instead of %d", out[0].type,
		     bct_refuse_wire(out[0].refuse), type);
	return out[0];
}

void test_end(bct_sched_t *s, bct_time_t now, uint64_t attempt_id, bct_outcome_t outcome,
	      uint32_t tokens, bool may_have_run)
{
	bct_attempt_end_t end = {
		.attempt_id = attempt_id,
		.outcome = outcome,
		.tokens = tokens,
		.may_have_run = may_have_run,
	};

	bct_sched_attempt_end(s, now, &end);
}
