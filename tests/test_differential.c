/*
 * test_differential.c - compares the real scheduler with the naive one on the same arrivals and
 * engines in virtual time. They must agree without overload and faults; otherwise the invariants
 * must hold over seeded runs.
 *
 * BCT_RUNS sets the number of seeded runs of each test (default RUNS_DEFAULT), BCT_SEED the first
 * seed. A failure prints its seed; BCT_RUNS=1 BCT_SEED=seed repeats only that run.
 */
#include "bench/model.h"
#include "bench/model_deploy.h"
#include "base/rng.h"
#include "policy/naive.h"

#include <criterion/criterion.h>
#include <stdlib.h>

#define RUNS_DEFAULT 150
#define SEED_DEFAULT 1
#define DURATION_MS 15000
#define OVERSHOOT_MAX_PERMILLE 100
#define POISON_CRASHES_MAX 2

/* About a quarter of the deployment bct_model_nyaymitra, so that thousands of runs stay cheap. */
static const bct_model_deployment_t small = {
	.name = "small",
	.failure_domains = 3,
	.engines = { 4, 2 },
	.accounts = 4,
	.n_classes = 5,
	.classes = {
		{ "explain", BCT_MODEL_DRAFT, 1, 150, 800, 39, 0, 10, 400, 2, 60, 200, true },
		{ "draft", BCT_MODEL_DRAFT, 3, 500, 5000, 39, 60000, 20, 2000, 6, 150, 400, true },
		{ "bulk", BCT_MODEL_DRAFT, 5, 350, 20000, 60, 90000, 20, 1500, 4, 100, 300, true },
		{ "submit", BCT_MODEL_DESK, 1, 300, 2000, 39, 30000, 10, 600, 2, 40, 100, false },
		{ "status", BCT_MODEL_DESK, 4, 700, 5000, 60, 60000, 20, 300, 2, 60, 150, true },
	},
};

static uint64_t env_number(const char *name, uint64_t fallback)
{
	const char *text = getenv(name);

	return text ? strtoull(text, NULL, 10) : fallback;
}

static uint64_t first_seed(void)
{
	return env_number("BCT_SEED", SEED_DEFAULT);
}

static uint64_t end_seed(void)
{
	return first_seed() + env_number("BCT_RUNS", RUNS_DEFAULT);
}

static bct_model_opts_t small_opts(uint64_t seed)
{
	return (bct_model_opts_t){
		.deployment = &small,
		.seed = seed,
		.nodes = 3,
		.load_permille = 500,
		.duration_ms = DURATION_MS,
		.report_age_ms = 200,
		.cache_event_delay_ms = 500,
		.cache_event_loss_permille = 50,
		.total_delay_ms = 1000,
		.max_queued = 500,
		.prefix_families = 4,
	};
}

static bct_model_result_t run(const bct_model_opts_t *o, bct_model_sched_new_t make)
{
	bct_model_result_t r = { 0 };

	cr_assert_eq(bct_model_run(o, make, NULL, NULL, &r), 0);
	return r;
}

static void expect_no_breach(const bct_model_result_t *r, uint64_t seed, const char *scheduler)
{
	for (uint32_t b = 0; b < BCT_MODEL_BREACH_COUNT; b++)
		cr_expect_eq(r->breaches[b], 0, "seed %llu, %s scheduler: %u breaches: %s",
			     (unsigned long long)seed, scheduler, r->breaches[b],
			     bct_model_breach_text(b));
}

static void expect_all_answered(const bct_model_result_t *r, uint64_t seed, const char *scheduler)
{
	for (uint32_t k = 0; k < small.n_classes; k++)
		cr_expect_eq(r->classes[k].answered, r->classes[k].requests,
			     "seed %llu, %s scheduler: class %s: %u of %u answered",
			     (unsigned long long)seed, scheduler, small.classes[k].name,
			     r->classes[k].answered, r->classes[k].requests);
}

/* Without overload and faults, both answer every request completely, with the same tokens. */
Test(differential, agree_in_underload)
{
	for (uint64_t seed = first_seed(); seed < end_seed(); seed++) {
		bct_model_opts_t o = small_opts(seed);
		bct_model_result_t naive = run(&o, bct_naive_new);
		bct_model_result_t real = run(&o, bct_sched_new);

		expect_no_breach(&naive, seed, "naive");
		expect_no_breach(&real, seed, "real");
		expect_all_answered(&naive, seed, "naive");
		expect_all_answered(&real, seed, "real");
		cr_expect_eq(naive.generated_tokens - naive.wasted_tokens,
			     real.generated_tokens - real.wasted_tokens,
			     "seed %llu: the answers differ in tokens", (unsigned long long)seed);
	}
}

/* Two runs with the same options and seed make the same decisions. */
Test(differential, same_seed_same_run)
{
	bct_model_opts_t o = small_opts(first_seed());
	bct_model_result_t first, second;

	o.load_permille = 1500;
	first = run(&o, bct_sched_new);
	second = run(&o, bct_sched_new);
	cr_expect_eq(memcmp(&first, &second, sizeof(first)), 0);
}

static void random_fault(bct_rng_t *rng, bct_model_fault_t *f)
{
	f->type = BCT_MODEL_CRASH + bct_rng_below(rng, 5);
	f->at = 1000 * (1 + bct_rng_below(rng, 10));
	f->until = f->at + 1000 * (1 + bct_rng_below(rng, 12));
	f->first = bct_rng_below(rng, f->type == BCT_MODEL_NODE_DEATH ? 3 : 6);
	f->count = 1;
	f->permille = 100 + bct_rng_below(rng, 500);
}

/* Load from 0.3 to 3 times the capacity, delayed reports, and up to two faults of any kind. */
static bct_model_opts_t random_opts(uint64_t seed)
{
	bct_model_opts_t o = small_opts(seed);
	bct_rng_t rng;

	bct_rng_seed(&rng, seed);
	o.load_permille = 300 + bct_rng_below(&rng, 2700);
	o.report_age_ms = 100 * bct_rng_below(&rng, 21);
	o.cache_event_loss_permille = bct_rng_below(&rng, 300);
	o.n_faults = bct_rng_below(&rng, 3);
	for (uint32_t i = 0; i < o.n_faults; i++)
		random_fault(&rng, &o.faults[i]);
	return o;
}

/*
 * Under any load and faults: tokens arrive once and in order, no request is lost, duplicated or
 * misreported, no tier is shed in favour of a lower one, and no class starves.
 */
Test(differential, invariants_under_random_faults)
{
	for (uint64_t seed = first_seed(); seed < end_seed(); seed++) {
		bct_model_opts_t o = random_opts(seed);
		bct_model_result_t r = run(&o, bct_sched_new);

		expect_no_breach(&r, seed, "real");
		cr_expect_eq(r.inversions, 0, "seed %llu: %u inversions", (unsigned long long)seed,
			     r.inversions);
		cr_expect_eq(r.starved, 0, "seed %llu: %u classes starved",
			     (unsigned long long)seed, r.starved);
	}
}

/*
 * A request that crashes engines and is sent repeatedly causes at most two crashes, and no other
 * request is refused as poison.
 */
Test(differential, poison_crashes_twice_at_most)
{
	for (uint64_t seed = first_seed(); seed < end_seed(); seed++) {
		bct_model_opts_t o = small_opts(seed);
		bct_model_result_t r;

		o.poison_sends = 8;
		o.duration_ms = 2 * DURATION_MS;
		r = run(&o, bct_sched_new);
		expect_no_breach(&r, seed, "real");
		cr_expect_leq(r.poison_crashes, POISON_CRASHES_MAX, "seed %llu: %u crashes",
			      (unsigned long long)seed, r.poison_crashes);
		cr_expect_eq(r.bystanders_refused, 0, "seed %llu: %u bystanders refused",
			     (unsigned long long)seed, r.bystanders_refused);
	}
}

/* One account sends far beyond its contract, over all nodes of a connected fleet. */
Test(differential, limit_holds_over_all_nodes)
{
	for (uint64_t seed = first_seed(); seed < end_seed(); seed++) {
		bct_model_opts_t o = small_opts(seed);
		bct_model_result_t r;

		o.duration_ms = 2 * DURATION_MS;
		o.account_requests_per_s = 20;
		o.n_bursts = 1;
		o.bursts[0] = (bct_model_burst_t){ 0, o.duration_ms, BCT_MODEL_ALL, 3, 20000 };
		r = run(&o, bct_sched_new);
		expect_no_breach(&r, seed, "real");
		cr_expect_leq(r.overshoot_permille, OVERSHOOT_MAX_PERMILLE,
			      "seed %llu: %d permille over the limit", (unsigned long long)seed,
			      r.overshoot_permille);
	}
}
