/*
 * model_cost.h - measures the CPU time of a decision and the memory of a queued request.
 */
#ifndef BCT_BENCH_MODEL_COST_H
#define BCT_BENCH_MODEL_COST_H

#include "bench/model.h"

typedef struct bct_model_cost_opts {
	uint32_t engines;
	uint32_t accounts;
	uint32_t nodes;	   /* in the fleet; the scheduler of one is measured */
	uint32_t requests; /* decisions to measure */
	uint64_t seed;
} bct_model_cost_opts_t;

typedef struct bct_model_cost {
	double decision_us;  /* mean CPU time of submit, poll and the events of a request */
	double report_us;    /* mean CPU time of an engine report */
	double queued_bytes; /* mean heap growth per waiting request */
	uint32_t dispatched;
	uint32_t refused;
} bct_model_cost_t;

/*
 * bct_model_cost(3): measure a scheduler in CPU time of this process.
 *
 * make     creates the scheduler
 * out      set to the results
 * returns  0, -BCT_ENOMEM or -BCT_EINVAL
 */
int bct_model_cost(const bct_model_cost_opts_t *o, bct_model_sched_new_t make,
		   bct_model_cost_t *out);

#endif
