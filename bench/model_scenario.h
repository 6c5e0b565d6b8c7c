/*
 * model_scenario.h - the scenarios of the policy bench by name.
 */
#ifndef BCT_BENCH_MODEL_SCENARIO_H
#define BCT_BENCH_MODEL_SCENARIO_H

#include "bench/model.h"

typedef struct bct_model_scenario {
	const char *name;
	const char *text;
	bct_model_opts_t opts; /* fields left 0 get the defaults */
} bct_model_scenario_t;

extern const bct_model_scenario_t bct_model_scenarios[];
extern const uint32_t bct_model_n_scenarios;

/* bct_model_scenario_opts(3): a scenario's options with defaults and a seed filled in. */
bct_model_opts_t bct_model_scenario_opts(const bct_model_scenario_t *s, uint64_t seed);

#endif
