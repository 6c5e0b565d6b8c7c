/*
 * bench_policy.c - runs each scenario of the model with the naive scheduler and with bct_sched, and
 * compares both with the clairvoyant bound. Prints a table per scenario with the stated targets,
 * and then the cost of a decision. A missed target does not change the exit status.
 */
#include "bench/model_check.h"
#include "bench/model_cost.h"
#include "bench/model_deploy.h"
#include "bench/model_scenario.h"
#include "base/err.h"
#include "policy/naive.h"

#include <jansson.h>
#include <popt.h>
#include <stdio.h>
#include <string.h>

/* Stated targets; they apply to bct_sched only. */
#define TARGET_ATTAINMENT_PERCENT 99.0
#define TARGET_WASTED_PERCENT 2.0
#define TARGET_GOODPUT_PERCENT 90.0
#define TARGET_POISON_CRASHES 2
#define TARGET_OVERSHOOT_PERMILLE 100
#define BOUND_PARTITION_PERMILLE 1000 /* each of the two sides may grant the whole limit */
#define BOUND_NODE_DEATH_PERMILLE 243 /* a seventh granted twice within the window, plus 10% */
#define TARGET_DECISION_US 10.0
#define TARGET_SLOPE 1.25 /* highest ratio of the cost at double size to that at design size */
#define TARGET_QUEUED_BYTES 8192.0

/* Design size of the fleet, and the requests that are timed. */
#define COST_ENGINES 770
#define COST_ACCOUNTS 350
#define COST_NODES 350
#define COST_REQUESTS 20000

typedef enum column {
	NAIVE,
	POLICY,
	COLUMNS,
} column_t;

typedef struct bench {
	const bct_model_scenario_t *scenario;
	bct_model_opts_t opts;
	bct_model_result_t r[COLUMNS];		    /* results by scheduler */
	uint64_t counts[COLUMNS][BCT_BREACH_COUNT]; /* breaches that the trace checker found */
	bct_model_bound_t bound;
	json_t *json;	  /* what --json writes */
	uint32_t targets; /* rows that have a target */
	uint32_t missed;
} bench_t;

static double percent(double part, double whole)
{
	return whole > 0 ? 100.0 * part / whole : 0.0;
}

/*
 * Prints one row and adds it to the JSON under `name`.
 *
 * target  printed; empty if there is none
 * met     1 or 0: whether the target is met; -1: the row has none
 */
static void print_row(bench_t *b, const char *name, const char *unit, const double v[COLUMNS],
		      const char *target, int met)
{
	printf("  %-26s %12.2f %12.2f %-8s %-18s %s\n", name, v[NAIVE], v[POLICY], unit, target,
	       met < 0 ? ""
	       : met   ? "met"
		       : "MISSED");
	if (met >= 0)
		b->targets++;
	if (met == 0)
		b->missed++;
	json_object_set_new(b->json, name,
			    json_pack("{s:f, s:f, s:s, s:s}", "naive", v[NAIVE], "policy",
				      v[POLICY], "unit", unit, "verdict",
				      met < 0 ? "none"
				      : met   ? "met"
					      : "missed"));
}

/* Requests of each class that met their targets. Only a class whose demand fits has a target. */
static void rows_attainment(bench_t *b)
{
	const bct_model_deployment_t *d = b->opts.deployment;

	for (uint32_t k = 0; k < d->n_classes; k++) {
		double v[COLUMNS];
		char name[BCT_NAME_BYTES];

		for (uint32_t c = 0; c < COLUMNS; c++)
			v[c] = percent(b->r[c].classes[k].met, b->r[c].classes[k].requests);
		snprintf(name, sizeof(name), "tier %u %s", d->classes[k].tier, d->classes[k].name);
		if (b->bound.fits[k])
			print_row(b, name, "%", v, "fits: >= 99%",
				  v[POLICY] >= TARGET_ATTAINMENT_PERCENT);
		else
			print_row(b, name, "%", v, "does not fit", -1);
	}
}

/*
 * Attainment of the accounts that burst beyond their limit. With such a burst, the rows of the
 * classes count the other accounts only.
 */
static void row_burst(bench_t *b)
{
	double v[COLUMNS];

	for (uint32_t c = 0; c < COLUMNS; c++)
		v[c] = percent(b->r[c].burst.met, b->r[c].burst.requests);
	print_row(b, "bursting account, all", "%", v, "", -1);
}

static void rows_work(bench_t *b)
{
	double v[COLUMNS];

	for (uint32_t c = 0; c < COLUMNS; c++)
		v[c] = percent((double)b->r[c].good_tokens, (double)b->bound.good_tokens);
	print_row(b, "goodput of bound", "%", v, ">= 90%", v[POLICY] >= TARGET_GOODPUT_PERCENT);
	for (uint32_t c = 0; c < COLUMNS; c++)
		v[c] = percent((double)b->r[c].wasted_tokens, (double)b->r[c].generated_tokens);
	print_row(b, "wasted of generated", "%", v, "<= 2%, <= naive",
		  v[POLICY] <= TARGET_WASTED_PERCENT &&
			  b->r[POLICY].wasted_tokens <= b->r[NAIVE].wasted_tokens);
	for (uint32_t c = 0; c < COLUMNS; c++)
		v[c] = (double)b->r[c].wasted_tokens;
	print_row(b, "wasted tokens", "tokens", v, "", -1);
	for (uint32_t c = 0; c < COLUMNS; c++)
		v[c] = (double)b->r[c].lowest_tier_wait_ms / BCT_MS_PER_S;
	print_row(b, "worst wait, lowest tier", "s", v, "", -1);
	for (uint32_t c = 0; c < COLUMNS; c++)
		v[c] = b->r[c].inversions;
	print_row(b, "inversions", "", v, "0", v[POLICY] == 0);
	for (uint32_t c = 0; c < COLUMNS; c++)
		v[c] = b->r[c].starved;
	print_row(b, "starved classes", "", v, "0", v[POLICY] == 0);
}

static void rows_poison(bench_t *b)
{
	double v[COLUMNS];

	for (uint32_t c = 0; c < COLUMNS; c++)
		v[c] = b->r[c].poison_crashes;
	print_row(b, "poison crashes", "", v, "<= 2", v[POLICY] <= TARGET_POISON_CRASHES);
	for (uint32_t c = 0; c < COLUMNS; c++)
		v[c] = b->r[c].bystanders_refused;
	print_row(b, "bystanders refused", "", v, "0", v[POLICY] == 0);
}

/*
 * The worst excess of an account over its rate limit. The target is higher with a partition or a
 * node's death, when nodes grant parts of the limit twice.
 */
static void row_overshoot(bench_t *b)
{
	uint32_t target = TARGET_OVERSHOOT_PERMILLE;
	char text[32];
	double v[COLUMNS];

	for (uint32_t i = 0; i < b->opts.n_faults; i++) {
		if (b->opts.faults[i].type == BCT_MODEL_PARTITION)
			target = BOUND_PARTITION_PERMILLE;
		if (b->opts.faults[i].type == BCT_MODEL_NODE_DEATH)
			target = BOUND_NODE_DEATH_PERMILLE;
	}
	for (uint32_t c = 0; c < COLUMNS; c++)
		v[c] = b->r[c].overshoot_permille / 10.0;
	snprintf(text, sizeof(text), "<= %.1f%% over 10 s", target / 10.0);
	print_row(b, "limit overshoot", "%", v, text, v[POLICY] <= target / 10.0);
}

/* Violations that the model itself found. */
static void row_breaches(bench_t *b)
{
	double v[COLUMNS] = { 0 };

	for (uint32_t i = 0; i < BCT_MODEL_BREACH_COUNT; i++) {
		for (uint32_t c = 0; c < COLUMNS; c++)
			v[c] += b->r[c].breaches[i];
		if (b->r[POLICY].breaches[i])
			printf("  breach: %u times: %s\n", b->r[POLICY].breaches[i],
			       bct_model_breach_text(i));
	}
	print_row(b, "breaches of invariants", "", v, "0", v[POLICY] == 0);
}

/* Violations that the trace checker found; of these, inversions and starvation have rows. */
static void print_trace_breaches(const bench_t *b)
{
	for (uint32_t i = 0; i < BCT_BREACH_COUNT; i++) {
		if (b->counts[POLICY][i])
			printf("  trace: %llu times: %s\n",
			       (unsigned long long)b->counts[POLICY][i], bct_breach_text(i));
	}
}

/* Refusals and retries by reason, and the use of prompt caches. */
static void print_reasons(const bench_t *b)
{
	const bct_model_result_t *r = &b->r[POLICY];

	printf("  refused:");
	for (uint32_t i = 0; i < BCT_REFUSE_COUNT; i++) {
		if (r->refused[i])
			printf(" %s %u", bct_refuse_wire(i), r->refused[i]);
	}
	printf("; retries:");
	for (uint32_t i = 1; i < BCT_RETRY_COUNT; i++) {
		if (r->retried[i])
			printf(" %s %u", bct_retry_wire(i), r->retried[i]);
	}
	printf("; prompt tokens from caches %.1f%% (naive %.1f%%)\n",
	       percent((double)r->cached_tokens, (double)(r->cached_tokens + r->prefilled_tokens)),
	       percent((double)b->r[NAIVE].cached_tokens,
		       (double)(b->r[NAIVE].cached_tokens + b->r[NAIVE].prefilled_tokens)));
}

/* Runs a scenario and prints its table; adds its targets and its JSON to `total`. */
static int run_scenario(const bct_model_scenario_t *s, uint64_t seed, bench_t *total)
{
	bench_t b = { .scenario = s, .opts = bct_model_scenario_opts(s, seed) };
	int err = bct_model_bound(&b.opts, &b.bound);

	if (!err)
		err = bct_model_run_checked(&b.opts, bct_naive_new, &b.r[NAIVE], b.counts[NAIVE]);
	if (!err)
		err = bct_model_run_checked(&b.opts, bct_sched_new, &b.r[POLICY], b.counts[POLICY]);
	if (err)
		return err;
	b.json = json_object();
	printf("%s: %s, seed %llu; bound %llu good tokens\n", s->name, s->text,
	       (unsigned long long)seed, (unsigned long long)b.bound.good_tokens);
	printf("  %-26s %12s %12s\n", "", "naive", "policy");
	rows_attainment(&b);
	if (b.r[NAIVE].burst.requests)
		row_burst(&b);
	rows_work(&b);
	if (b.opts.poison_sends)
		rows_poison(&b);
	if (b.opts.account_requests_per_s)
		row_overshoot(&b);
	row_breaches(&b);
	print_trace_breaches(&b);
	print_reasons(&b);
	printf("\n");
	json_object_set_new(b.json, "bound_good_tokens",
			    json_integer((json_int_t)b.bound.good_tokens));
	json_object_set_new(total->json, s->name, b.json);
	total->targets += b.targets;
	total->missed += b.missed;
	return 0;
}

/* Measures the cost of a decision at one size of the fleet and prints its rows. */
static int measure_cost(bench_t *b, const char *name, uint32_t engines, uint32_t accounts,
			bct_model_cost_t out[COLUMNS])
{
	const bct_model_cost_opts_t o = {
		.engines = engines,
		.accounts = accounts,
		.nodes = COST_NODES,
		.requests = COST_REQUESTS,
		.seed = 1,
	};
	char dispatched[BCT_NAME_BYTES];
	double v[COLUMNS];
	int err = bct_model_cost(&o, bct_naive_new, &out[NAIVE]);

	if (!err)
		err = bct_model_cost(&o, bct_sched_new, &out[POLICY]);
	if (err)
		return err;
	for (uint32_t c = 0; c < COLUMNS; c++)
		v[c] = out[c].decision_us;
	print_row(b, name, "us", v, "<= 10 us", v[POLICY] <= TARGET_DECISION_US);
	for (uint32_t c = 0; c < COLUMNS; c++)
		v[c] = percent(out[c].dispatched, COST_REQUESTS);
	snprintf(dispatched, sizeof(dispatched), "  dispatched, %u/%u", engines, accounts);
	print_row(b, dispatched, "%", v, "", -1);
	return 0;
}

/* Decision cost at the design size, and with the engines and the accounts halved and doubled. */
static int run_cost(bench_t *total)
{
	bct_model_cost_t base[COLUMNS] = { 0 }, half[COLUMNS] = { 0 }, twice[COLUMNS] = { 0 };
	bench_t b = { .json = json_object() };
	double v[COLUMNS];
	int err;

	printf("decision cost: processor time of submit, poll and the events of one request\n");
	err = measure_cost(&b, "770 engines, 350 accounts", COST_ENGINES, COST_ACCOUNTS, base);
	if (!err)
		err = measure_cost(&b, "385 engines, 350 accounts", COST_ENGINES / 2, COST_ACCOUNTS,
				   half);
	if (!err)
		err = measure_cost(&b, "1540 engines, 350 accounts", COST_ENGINES * 2,
				   COST_ACCOUNTS, twice);
	for (uint32_t c = 0; c < COLUMNS; c++)
		v[c] = twice[c].decision_us / base[c].decision_us;
	if (!err)
		print_row(&b, "engines doubled", "x", v, "<= 1.25", v[POLICY] <= TARGET_SLOPE);
	if (!err)
		err = measure_cost(&b, "770 engines, 175 accounts", COST_ENGINES, COST_ACCOUNTS / 2,
				   half);
	if (!err)
		err = measure_cost(&b, "770 engines, 700 accounts", COST_ENGINES, COST_ACCOUNTS * 2,
				   twice);
	if (err)
		return err;
	for (uint32_t c = 0; c < COLUMNS; c++)
		v[c] = twice[c].decision_us / base[c].decision_us;
	print_row(&b, "accounts doubled", "x", v, "<= 1.25", v[POLICY] <= TARGET_SLOPE);
	for (uint32_t c = 0; c < COLUMNS; c++)
		v[c] = base[c].report_us;
	print_row(&b, "one engine report", "us", v, "", -1);
	for (uint32_t c = 0; c < COLUMNS; c++)
		v[c] = base[c].queued_bytes;
	print_row(&b, "one queued request", "bytes", v, "<= 8192",
		  v[POLICY] <= TARGET_QUEUED_BYTES);
	printf("\n");
	json_object_set_new(total->json, "decision-cost", b.json);
	total->targets += b.targets;
	total->missed += b.missed;
	return 0;
}

/* Runs all scenarios, or the one named `only`; -BCT_ENOT_FOUND if there is none of that name. */
static int run_all(const char *only, uint64_t seed, bench_t *total)
{
	bool found = false;
	int err = 0;

	for (uint32_t i = 0; i < bct_model_n_scenarios && !err; i++) {
		if (only && strcmp(only, bct_model_scenarios[i].name) != 0)
			continue;
		found = true;
		err = run_scenario(&bct_model_scenarios[i], seed, total);
	}
	return found || err ? err : -BCT_ENOT_FOUND;
}

static void list_scenarios(void)
{
	for (uint32_t i = 0; i < bct_model_n_scenarios; i++)
		printf("%-20s %s\n", bct_model_scenarios[i].name, bct_model_scenarios[i].text);
}

int main(int argc, const char **argv)
{
	char *only = NULL, *json_path = NULL;
	long seed = 1;
	int list = 0, cost = 0, err = 0;
	bench_t total = { .json = json_object() };
	struct poptOption options[] = {
		{ "scenario", 's', POPT_ARG_STRING, &only, 0,
		  "run only this scenario, without the decision cost", "NAME" },
		{ "seed", 0, POPT_ARG_LONG, &seed, 0, "seed of the arrivals (default 1)", "N" },
		{ "json", 'j', POPT_ARG_STRING, &json_path, 0, "write the results as JSON",
		  "FILE" },
		{ "list", 'l', POPT_ARG_NONE, &list, 0, "list the scenarios", NULL },
		{ "decision-cost", 'd', POPT_ARG_NONE, &cost, 0, "measure the decision cost only",
		  NULL },
		POPT_AUTOHELP POPT_TABLEEND,
	};
	poptContext ctx = poptGetContext("bench_policy", argc, argv, options, 0);
	int rc = poptGetNextOpt(ctx);

	if (rc < -1) {
		fprintf(stderr, "%s: %s\n", poptBadOption(ctx, 0), poptStrerror(rc));
		poptFreeContext(ctx);
		return 2;
	}
	poptFreeContext(ctx);
	if (list) {
		list_scenarios();
		return 0;
	}
	if (!cost)
		err = run_all(only, (uint64_t)seed, &total);
	if (!err && !only)
		err = run_cost(&total);
	if (!err && json_path && json_dump_file(total.json, json_path, JSON_INDENT(1)))
		err = -BCT_EIO;
	if (err)
		fprintf(stderr, "bench_policy: %s\n", bct_err_text(err));
	else
		printf("targets: %u, missed: %u\n", total.targets, total.missed);
	json_decref(total.json);
	return err ? 1 : 0;
}
