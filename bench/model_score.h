/*
 * model_score.h - the figures of a finished run.
 */
#ifndef BCT_BENCH_MODEL_SCORE_H
#define BCT_BENCH_MODEL_SCORE_H

#include "bench/model_drive.h"

/*
 * bct_model_score(3): fill in the result from what became of each request. A request that was
 * refused, cut or given up counts as missed. A request that never ended is a breach.
 */
void bct_model_score(bct_model_drive_t *d);

#endif
