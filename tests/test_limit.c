/*
 * test_limit.c - account limits over several nodes, connected and partitioned, while the shares of
 * vanished nodes are held and afterwards; and the retry budget.
 */
#include "policy/budget.h"
#include "policy/limit.h"
#include "base/rng.h"

#include <criterion/criterion.h>

#define NODES 7
#define SEED 5
#define RATE_PER_S 20
#define STEP_MS 10
#define WINDOW_STEPS (BCT_LIMIT_WINDOW_MS / STEP_MS)
#define RUN_STEPS (60 * 1000 / STEP_MS)

typedef struct fleet {
	bct_limit_t l[NODES];
	bct_limit_fleet_t view;
	uint32_t admitted[RUN_STEPS];
	uint32_t side; /* partition: nodes below this form one side; 0: all connected */
} fleet_t;

static void fleet_init(fleet_t *f, uint32_t concurrent)
{
	f->view = (bct_limit_fleet_t){ NODES, NODES, 0 };
	for (uint32_t i = 0; i < NODES; i++) {
		bct_limit_init(&f->l[i], 0, &f->view);
		bct_limit_set(&f->l[i], RATE_PER_S, 0, concurrent);
	}
}

static void exchange(fleet_t *f, bct_time_t now, uint32_t from, uint32_t to)
{
	int64_t sum[4] = { 0 }, v[4];
	bct_limit_fleet_t view = { to - from, f->view.held, 0 };

	for (uint32_t i = from; i < to; i++) {
		bct_limit_publish(&f->l[i], now, v);
		for (uint32_t k = 0; k < 4; k++)
			sum[k] += v[k];
	}
	for (uint32_t i = from; i < to; i++) {
		view.rank = i;
		bct_limit_total(&f->l[i], now, sum, 500, &view);
	}
}

/* Offers per_s[i] requests/s to node i; returns the largest number admitted in any window. */
static uint32_t run(fleet_t *f, const double per_s[NODES])
{
	uint32_t max_admitted = 0, sum = 0, wait_ms;
	bct_rng_t rng;

	bct_rng_seed(&rng, SEED);
	for (uint32_t s = 0; s < RUN_STEPS; s++) {
		bct_time_t now = (bct_time_t)s * STEP_MS;

		for (uint32_t i = 0; i < NODES; i++) {
			if (bct_rng_unit(&rng) < per_s[i] * STEP_MS / 1000)
				f->admitted[s] += !bct_limit_take(&f->l[i], now, 10, &wait_ms);
		}
		sum += f->admitted[s];
		if (s >= WINDOW_STEPS)
			sum -= f->admitted[s - WINDOW_STEPS];
		max_admitted = sum > max_admitted ? sum : max_admitted;
		if (now % 1000)
			continue;
		exchange(f, now, 0, f->side ? f->side : NODES);
		if (f->side)
			exchange(f, now, f->side, NODES);
	}
	return max_admitted;
}

Test(limit, holds_over_all_connected_nodes)
{
	static const double even[NODES] = { 30, 30, 30, 30, 30, 30, 30 };
	static const double uneven[NODES] = { 90, 1, 1, 0, 0, 5, 0 };
	fleet_t f = { 0 }, g = { 0 };
	uint32_t max_admitted;

	fleet_init(&f, 0);
	max_admitted = run(&f, even);
	cr_assert_leq(max_admitted, RATE_PER_S * 10 * 11 / 10, "even: %u", max_admitted);
	cr_assert_geq(max_admitted, RATE_PER_S * 10 * 8 / 10, "even: %u", max_admitted);
	fleet_init(&g, 0);
	max_admitted = run(&g, uneven);
	cr_assert_leq(max_admitted, RATE_PER_S * 10 * 11 / 10, "uneven: %u", max_admitted);
	cr_assert_geq(max_admitted, RATE_PER_S * 10 * 8 / 10, "uneven: %u", max_admitted);
}

Test(limit, an_account_below_its_limit_is_not_refused)
{
	static const double low[NODES] = { 2, 2, 2, 2, 2, 2, 2 };
	fleet_t f = { 0 };
	uint32_t admitted = 0, offered = 14 * 60;

	fleet_init(&f, 0);
	run(&f, low);
	for (uint32_t s = 0; s < RUN_STEPS; s++)
		admitted += f.admitted[s];
	cr_assert_geq(admitted * 100, offered * 95, "seed %d: %u of about %u", SEED, admitted,
		      offered);
}

Test(limit, partition_admits_at_most_the_limit_per_side)
{
	static const double even[NODES] = { 30, 30, 30, 30, 30, 30, 30 };
	fleet_t held = { .side = 3 }, late = { .side = 3 };
	uint32_t max_admitted;

	fleet_init(&held, 0);
	max_admitted = run(&held, even);
	cr_assert_leq(max_admitted, RATE_PER_S * 10 * 11 / 10,
		      "while the shares of the other side are held: %u", max_admitted);
	fleet_init(&late, 0);
	late.view.held = 0;
	for (uint32_t i = 0; i < NODES; i++)
		late.l[i].share = 1.0 / NODES;
	late.view.held = 4;
	max_admitted = run(&late, even);
	cr_assert_leq(max_admitted, 2 * RATE_PER_S * 10 * 11 / 10, "two sides: %u", max_admitted);
}

Test(limit, an_old_total_changes_nothing)
{
	bct_limit_fleet_t view = { NODES, NODES, 0 };
	int64_t no_demand[4] = { 0 };
	bct_limit_t l;

	bct_limit_init(&l, 0, &view);
	bct_limit_set(&l, RATE_PER_S, 0, 0);
	bct_limit_total(&l, 1000, no_demand, BCT_LIMIT_TOTAL_MAX_AGE_MS + 1, &view);
	cr_assert_float_eq(l.share, 1.0 / NODES, 1e-9);
}

Test(limit, request_is_admitted_after_retry_after)
{
	bct_limit_fleet_t view = { 1, 1, 0 };
	uint32_t wait_ms = 0, second_wait_ms;
	bct_time_t now = 0;
	bct_limit_t l;

	bct_limit_init(&l, 0, &view);
	bct_limit_set(&l, 2, 0, 0);
	for (uint32_t i = 0; i < 50; i++) {
		while (!bct_limit_take(&l, now, 1, &wait_ms))
			;
		cr_assert_gt(wait_ms, 0);
		now += wait_ms;
		cr_assert_eq(bct_limit_take(&l, now, 1, &second_wait_ms), BCT_REFUSE_NONE,
			     "refused after waiting %u ms: wait %u ms more", wait_ms,
			     second_wait_ms);
	}
}

Test(limit, tokens_and_refunds)
{
	bct_limit_fleet_t view = { 1, 1, 0 };
	uint32_t wait_ms;
	bct_limit_t l;

	bct_limit_init(&l, 0, &view);
	bct_limit_set(&l, 0, 100, 0);
	cr_assert_eq(bct_limit_take(&l, 100, 5000, &wait_ms), BCT_REFUSE_NONE);
	cr_assert_eq(bct_limit_take(&l, 200, 1, &wait_ms), BCT_REFUSE_TOKEN_LIMIT);
	bct_limit_release(&l, 5000);
	cr_assert_eq(bct_limit_take(&l, 300, 1, &wait_ms), BCT_REFUSE_NONE);
}

Test(limit, concurrency_is_shared)
{
	bct_limit_fleet_t view = { 2, 2, 0 };
	int64_t total[4] = { 2000, 0, 9, 0 }, v[4];
	uint32_t wait_ms, n = 0;
	bct_limit_t l;

	bct_limit_init(&l, 0, &view);
	bct_limit_set(&l, 0, 0, 10);
	while (!bct_limit_take(&l, 0, 1, &wait_ms))
		n++;
	cr_assert_eq(n, 5, "half of the limit before the first total");
	bct_limit_publish(&l, 1000, v);
	bct_limit_total(&l, 1000, total, 100, &view);
	cr_assert_leq(l.allowed, 6);
	bct_limit_release(&l, 0);
	cr_assert_eq(bct_limit_take(&l, 1001, 1, &wait_ms), BCT_REFUSE_NONE);
	cr_assert_gt(wait_ms, 0);
}

Test(budget, a_tenth_of_first_attempts)
{
	bct_budget_t b;
	uint32_t n = 0;

	bct_budget_init(&b, 0);
	while (!bct_budget_take(&b, 0))
		n++;
	cr_assert_eq(n, BCT_BUDGET_CREDIT_MAX);
	for (uint32_t i = 0; i < 1000; i++) {
		bct_budget_count_first(&b);
		n += !bct_budget_take(&b, 0);
	}
	cr_assert_eq(n, BCT_BUDGET_CREDIT_MAX + 100);
}

Test(budget, borrows_while_the_fleet_is_well_below_its_budget)
{
	const int64_t calm[4] = { 100000, 1000, 0, 0 }, busy[4] = { 100000, 9000, 0, 0 };
	bct_budget_t b;

	bct_budget_init(&b, 0);
	while (!bct_budget_take(&b, 0))
		;
	bct_budget_total(&b, 1000, calm, 100);
	cr_assert_eq(bct_budget_take(&b, 1100), 0);
	cr_assert_neq(bct_budget_take(&b, 60000), 0, "the total is too old");
	bct_budget_total(&b, 2000, busy, 100);
	cr_assert_neq(bct_budget_take(&b, 2100), 0);
}
