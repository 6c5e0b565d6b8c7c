/*
 * model_score.h - computes the results of a finished simulation.
 */
#ifndef BCT_BENCH_MODEL_SCORE_H
#define BCT_BENCH_MODEL_SCORE_H

#include "bench/model_drive.h"

/*
 * bct_model_score(3): compute the result from the final state of each request. A request that was
 * refused, was lost with its node or whose caller disconnected counts as missed. A request that
 * never ended is a breach.
 */
void bct_model_score(bct_model_drive_t *d);

#endif
