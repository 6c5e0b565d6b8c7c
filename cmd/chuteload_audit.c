/*
 * chuteload_audit.c - after a run, compares the answers that callers got with the counters of the
 * stand-in engines and services.
 */
#include "cmd/chuteload.h"

#include <inttypes.h>
#include <stdio.h>

/* Adds one table to the sums: integers by key, arrays of integers element by element. */
static void add_numbers(json_t *sum, json_t *one)
{
	const char *key;
	json_t *v;

	for (void *it = json_object_iter(one); it; it = json_object_iter_next(one, it)) {
		json_t *old;

		key = json_object_iter_key(it);
		v = json_object_iter_value(it);
		old = json_object_get(sum, key);
		if (json_is_integer(v)) {
			json_object_set_new(
				sum, key,
				json_integer(json_integer_value(old) + json_integer_value(v)));
			continue;
		}
		if (!old) {
			json_object_set_new(sum, key, json_deep_copy(v));
			continue;
		}
		for (size_t i = 0; i < json_array_size(v); i++)
			json_array_set_new(old, i,
					   json_integer(json_integer_value(json_array_get(old, i)) +
							json_integer_value(json_array_get(v, i))));
	}
}

/* Sums an admin table over all stand-ins of a kind. Returns NULL when one did not answer. */
static json_t *sum_table(const load_addresses_t *from, const char *path)
{
	json_t *sum = json_object();

	for (uint32_t i = 0; i < from->n; i++) {
		json_t *one = load_get_json(from->at[i], path);

		if (!one) {
			fprintf(stderr, "chuteload: audit: no valid answer from %s%s\n",
				from->at[i], path);
			json_decref(sum);
			return NULL;
		}
		add_numbers(sum, one);
		json_decref(one);
	}
	return sum;
}

/* runs: idempotency key to its number of runs, over all services. */
static void audit_service_call(const load_outcome_t *o, const json_t *runs)
{
	json_int_t n = json_integer_value(json_object_get(runs, o->key));

	if (n > 1)
		o->cls->result->doubled++;
	if ((o->not_run && n > 0) || (o->ok && n == 0))
		o->cls->result->misreported++;
}

/*
 * "Not run" refers to the last attempt alone, so it proves nothing when an earlier attempt broke
 * and may have run. prompts: has the hashes of the prompts that engines ran.
 */
static void audit_generation(const load_outcome_t *o, const json_t *prompts)
{
	char hex[17];

	snprintf(hex, sizeof(hex), "%016" PRIx64, o->prompt_key);
	if (o->not_run && !o->earlier_may_have_run && json_object_get(prompts, hex))
		o->cls->result->misreported++;
}

void load_audit(load_run_t *run)
{
	load_scenario_t *sc = run->sc;
	json_t *runs = sum_table(&sc->services, "/admin/runs");
	json_t *prompts = sum_table(&sc->engines, "/admin/prompts");

	run->engine_stats = sum_table(&sc->engines, "/admin/stats");
	run->audited = runs && prompts && run->engine_stats;
	for (uint64_t i = 0; i < run->n_outcomes; i++) {
		const load_outcome_t *o = &run->outcomes[i];

		if (o->key[0] && sc->services.n > 0)
			audit_service_call(o, runs);
		else if (!o->key[0] && sc->engines.n > 0)
			audit_generation(o, prompts);
	}
	json_decref(runs);
	json_decref(prompts);
}

bool load_passed(const load_run_t *run)
{
	const load_scenario_t *sc = run->sc;

	for (uint32_t i = 0; i < sc->n_classes; i++) {
		const load_result_t *r = sc->classes[i].result;

		if (r->lost || r->invalid || r->misreported || r->doubled)
			return false;
	}
	return run->audited;
}
