/*
 * model_check.h - a run with the checker of policy/invariant.h on its decision trace.
 */
#ifndef BCT_BENCH_MODEL_CHECK_H
#define BCT_BENCH_MODEL_CHECK_H

#include "bench/model.h"
#include "policy/invariant.h"

/* News between nodes: one period of publishing, the delay of totals, and one tick of each. */
#define BCT_MODEL_CROSS_NODE_GRACE_MS 3000

/*
 * bct_model_run_checked(3): as bct_model_run(3). The result's inversions are then those of the
 * checker, over all nodes, and its starved classes are those which the checker or the score found.
 *
 * counts   breaches by kind, BCT_BREACH_COUNT of them
 * returns  as bct_model_run(3)
 */
int bct_model_run_checked(const bct_model_opts_t *opts, bct_model_sched_new_t make,
			  bct_model_result_t *out, uint64_t counts[BCT_BREACH_COUNT]);

#endif
