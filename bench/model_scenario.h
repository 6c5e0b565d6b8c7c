/*
 * model_scenario.h - the named scenarios of the policy benchmark.
 */
#ifndef BCT_BENCH_MODEL_SCENARIO_H
#define BCT_BENCH_MODEL_SCENARIO_H

#include "bench/model.h"

typedef struct bct_model_scenario {
	const char *name;
	const char *text;      /* description for the report */
	bct_model_opts_t opts; /* bct_model_scenario_opts(3) replaces 0 by defaults */
} bct_model_scenario_t;

extern const bct_model_scenario_t bct_model_scenarios[];
extern const uint32_t bct_model_n_scenarios;

/* bct_model_scenario_opts(3): return the options of a scenario with defaults and a seed. */
bct_model_opts_t bct_model_scenario_opts(const bct_model_scenario_t *s, uint64_t seed);

#endif
