/*
 * chuteload_result.c - writes the result of a run as a table and as JSON.
 */
#include "cmd/chuteload.h"

#include <inttypes.h>
#include <stdio.h>

#define PERMILLE 1000

static double ms(uint64_t us)
{
	return (double)us / LOAD_US_PER_MS;
}

/* Per cent; a class without eligible requests counts as met. */
static double attainment(const load_result_t *r)
{
	return r->eligible ? 100.0 * (double)r->met / (double)r->eligible : 100.0;
}

static void print_reasons(const load_result_t *r, FILE *out)
{
	for (void *it = json_object_iter(r->reasons); it;
	     it = json_object_iter_next(r->reasons, it))
		fprintf(out, " %s=%" JSON_INTEGER_FORMAT, json_object_iter_key(it),
			json_integer_value(json_object_iter_value(it)));
	if (json_object_size(r->reasons) == 0)
		fprintf(out, " none");
}

/* stats: sum of GET /admin/stats; NULL when an engine did not answer. */
static void print_engines(const json_t *stats, FILE *out)
{
	const json_t *waste = json_object_get(stats, "abandoned_tokens_by_tier");

	if (!waste)
		return;
	fprintf(out,
		"engines: tokens %" JSON_INTEGER_FORMAT ", runs %" JSON_INTEGER_FORMAT
		", preempted %" JSON_INTEGER_FORMAT ", wasted tokens by tier",
		json_integer_value(json_object_get(stats, "tokens")),
		json_integer_value(json_object_get(stats, "runs")),
		json_integer_value(json_object_get(stats, "preemptions")));
	for (size_t i = 0; i < json_array_size(waste); i++)
		fprintf(out, " %" JSON_INTEGER_FORMAT,
			json_integer_value(json_array_get(waste, i)));
	fprintf(out, "\n");
}

void load_print_table(const load_run_t *run, FILE *out)
{
	const load_scenario_t *sc = run->sc;

	fprintf(out, "%-14s %4s %8s %8s %6s %8s %8s %8s %8s %7s %5s %6s  %s\n", "class", "tier",
		"requests", "whole", "met%", "ttft50", "ttft95", "gap95", "whole95", "refused",
		"doubt", "resent", "refused by reason");
	for (uint32_t i = 0; i < sc->n_classes; i++) {
		const load_class_t *c = &sc->classes[i];
		const load_result_t *r = c->result;

		fprintf(out,
			"%-14s %4u %8" PRIu64 " %8" PRIu64
			" %6.1f %8.2f %8.2f %8.2f %8.2f %7" PRIu64 " %5" PRIu64 " %6" PRIu64 " ",
			c->name, c->tier, r->sent, r->ok, attainment(r),
			ms(bct_hist_percentile(&r->ttft_us, 500)),
			ms(bct_hist_percentile(&r->ttft_us, 950)),
			ms(bct_hist_percentile(&r->gap_us, 950)),
			ms(bct_hist_percentile(&r->total_us, 950)), r->refused, r->unknown,
			r->resent);
		print_reasons(r, out);
		fprintf(out, "\n");
	}
	print_engines(run->engine_stats, out);
	for (uint32_t i = 0; i < sc->n_classes; i++) {
		const load_result_t *r = sc->classes[i].result;

		if (r->lost || r->invalid || r->misreported || r->doubled)
			fprintf(out,
				"FAULT %s: lost %" PRIu64 ", doubled %" PRIu64
				", misreported %" PRIu64 ", crossed %" PRIu64
				", disordered %" PRIu64 ", cut %" PRIu64 "\n",
				sc->classes[i].name, r->lost, r->doubled, r->misreported,
				r->mismatched, r->disordered, r->truncated);
	}
	fprintf(out, "audit: %s (seed %" PRIu64 ")\n", load_passed(run) ? "passed" : "FAILED",
		sc->seed);
}

static json_t *hist_json(const bct_hist_t *h)
{
	return json_pack("{sIsfsfsfsfsfsf}", "n", (json_int_t)h->n, "mean_ms", ms(bct_hist_mean(h)),
			 "p50_ms", ms(bct_hist_percentile(h, 500)), "p90_ms",
			 ms(bct_hist_percentile(h, 900)), "p95_ms", ms(bct_hist_percentile(h, 950)),
			 "p99_ms", ms(bct_hist_percentile(h, 990)), "max_ms", ms(h->max));
}

/* An array with [requests, met] for each second of the run. */
static json_t *seconds_json(const load_scenario_t *sc, const load_result_t *r)
{
	json_t *out = json_array();

	for (uint32_t s = 0; s < LOAD_MAX_SECONDS && s * 1000 < sc->duration_ms; s++)
		json_array_append_new(out, json_pack("[ii]", (int)r->seconds[s].requests,
						     (int)r->seconds[s].met));
	return out;
}

static json_t *class_json(const load_scenario_t *sc, const load_class_t *c)
{
	const load_result_t *r = c->result;
	json_t *out = json_pack(
		"{sssssisIsIsIsIsIsIsIsIsIsI}", "name", c->name, "account", c->account, "tier",
		(int)c->tier, "requests", (json_int_t)r->sent, "whole", (json_int_t)r->ok,
		"refused", (json_int_t)r->refused, "unknown", (json_int_t)r->unknown, "left",
		(json_int_t)r->disconnected, "resent", (json_int_t)r->resent, "judged",
		(json_int_t)r->eligible, "met", (json_int_t)r->met, "tokens", (json_int_t)r->tokens,
		"goodput_tokens", (json_int_t)r->goodput_tokens);
	json_t *audit = json_pack("{sIsIsIsIsIsI}", "lost", (json_int_t)r->lost, "doubled",
				  (json_int_t)r->doubled, "misreported", (json_int_t)r->misreported,
				  "crossed", (json_int_t)r->mismatched, "disordered",
				  (json_int_t)r->disordered, "cut", (json_int_t)r->truncated);

	json_object_set_new(out, "audit", audit);
	json_object_set(out, "reasons", r->reasons);
	json_object_set_new(out, "ttft", hist_json(&r->ttft_us));
	json_object_set_new(out, "gap", hist_json(&r->gap_us));
	json_object_set_new(out, "whole_time", hist_json(&r->total_us));
	json_object_set_new(out, "seconds", seconds_json(sc, r));
	return out;
}

json_t *load_result_json(const load_run_t *run)
{
	const load_scenario_t *sc = run->sc;
	json_t *classes = json_array(), *out;

	for (uint32_t i = 0; i < sc->n_classes; i++)
		json_array_append_new(classes, class_json(sc, &sc->classes[i]));
	out = json_pack("{sssIsIsbsbsbso}", "label", sc->label, "seed", (json_int_t)sc->seed,
			"duration_ms", (json_int_t)sc->duration_ms, "direct", sc->direct, "audited",
			run->audited, "passed", load_passed(run), "classes", classes);
	if (run->engine_stats)
		json_object_set(out, "engines", run->engine_stats);
	return out;
}
