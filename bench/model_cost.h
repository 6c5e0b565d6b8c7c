/*
 * model_cost.h - what one decision costs in processor time, and a queued request in memory.
 */
#ifndef BCT_BENCH_MODEL_COST_H
#define BCT_BENCH_MODEL_COST_H

#include "bench/model.h"

typedef struct bct_model_cost_opts {
	uint32_t engines;
	uint32_t accounts;
	uint32_t nodes; /* of the fleet; one scheduler is measured */
	uint32_t requests;
	uint64_t seed;
} bct_model_cost_opts_t;

typedef struct bct_model_cost {
	double decision_us;  /* submit, poll and the events of one request */
	double report_us;    /* one engine report */
	double queued_bytes; /* one waiting request */
	uint32_t dispatched;
	uint32_t refused;
} bct_model_cost_t;

/*
 * bct_model_cost(3): measure a scheduler in processor time of this process.
 *
 * returns  0, -BCT_ENOMEM or -BCT_EINVAL
 */
int bct_model_cost(const bct_model_cost_opts_t *o, bct_model_sched_new_t make,
		   bct_model_cost_t *out);

#endif
