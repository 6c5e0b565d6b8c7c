/*
 * naive.h - the baseline scheduler that the real one is compared with.
 *
 * One FIFO queue, round robin over the upstreams that serve the target, a fixed limit on concurrent
 * attempts, retry on any error. No tiers, deadlines, account limits or resumed streams.
 */
#ifndef BCT_POLICY_NAIVE_H
#define BCT_POLICY_NAIVE_H

#include "policy/sched.h"

#define BCT_NAIVE_ATTEMPTS_MAX 10

/*
 * bct_naive_new(3): make a baseline scheduler. Its concurrency limit is the sum of the slots of all
 * upstreams divided by the number of live nodes; it follows the configuration and the fleet.
 *
 * opts     as for bct_sched_new(3)
 * out      the scheduler; release it with bct_sched_free(3)
 * returns  0 or -BCT_ENOMEM
 */
int bct_naive_new(const bct_sched_opts_t *opts, bct_sched_t **out);

#endif
