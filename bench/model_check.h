/*
 * model_check.h - runs a simulation with its decision trace checked by policy/invariant.h.
 */
#ifndef BCT_BENCH_MODEL_CHECK_H
#define BCT_BENCH_MODEL_CHECK_H

#include "bench/model.h"
#include "policy/invariant.h"

/*
 * Age of the information that a node may have about the others: a period of publishing, the delay
 * of totals, and a tick of each.
 */
#define BCT_MODEL_CROSS_NODE_GRACE_MS 3000

/*
 * bct_model_run_checked(3): as bct_model_run(3), with all decisions checked. The inversions of the
 * result are those that the checker found over all nodes. Its number of starved classes is the
 * greater of those found by the checker and by bct_model_score(3).
 *
 * counts   set to the violations by kind (bct_breach_t)
 * returns  as bct_model_run(3)
 */
int bct_model_run_checked(const bct_model_opts_t *opts, bct_model_sched_new_t make,
			  bct_model_result_t *out, uint64_t counts[BCT_BREACH_COUNT]);

#endif
