/*
 * chuteload_audit.c - after a run: what callers were told against what the upstreams counted.
 */
#include "cmd/chuteload.h"

#include <inttypes.h>
#include <stdio.h>

/* Adds the numbers of one engine to the sums; lists are added element by element. */
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

/* Sums one admin table over all upstreams of a kind. NULL when one of them gave no answer. */
static json_t *sum_table(const load_addresses_t *from, const char *path)
{
	json_t *sum = json_object();

	for (uint32_t i = 0; i < from->n; i++) {
		json_t *one = load_get_json(from->at[i], path);

		if (!one) {
			fprintf(stderr, "chuteload: no answer from %s%s\n", from->at[i], path);
			json_decref(sum);
			return NULL;
		}
		add_numbers(sum, one);
		json_decref(one);
	}
	return sum;
}

static void audit_service_call(const load_outcome_t *t, const json_t *runs)
{
	json_int_t n = json_integer_value(json_object_get(runs, t->key));

	if (n > 1)
		t->cls->result->doubled++;
	if ((t->not_run && n > 0) || (t->ok && n == 0))
		t->cls->result->misreported++;
}

/* A sending that broke may have run; then "not run" speaks of the last sending alone. */
static void audit_generation(const load_outcome_t *t, const json_t *prompts)
{
	char hex[17];

	snprintf(hex, sizeof(hex), "%016" PRIx64, t->prompt_key);
	if (t->not_run && !t->earlier_may_have_run && json_object_get(prompts, hex))
		t->cls->result->misreported++;
}

void load_audit(load_run_t *run)
{
	load_scenario_t *sc = run->sc;
	json_t *runs = sum_table(&sc->services, "/admin/runs");
	json_t *prompts = sum_table(&sc->engines, "/admin/prompts");

	run->engine_stats = sum_table(&sc->engines, "/admin/stats");
	run->audited = runs && prompts && run->engine_stats;
	for (uint64_t i = 0; i < run->n_outcomes; i++) {
		const load_outcome_t *t = &run->outcomes[i];

		if (t->key[0] && sc->services.n > 0)
			audit_service_call(t, runs);
		else if (!t->key[0] && sc->engines.n > 0)
			audit_generation(t, prompts);
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
