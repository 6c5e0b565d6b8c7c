/*
 * histogram.h - counts of durations in buckets whose width grows with the value, so that every
 * percentile is known to about 3% from microseconds to hours in fixed memory.
 */
#ifndef BCT_BASE_HISTOGRAM_H
#define BCT_BASE_HISTOGRAM_H

#include <stdint.h>

#define BCT_HIST_SUB_BITS 5 /* 32 buckets for each power of two */
#define BCT_HIST_VALUE_BITS 36
#define BCT_HIST_BUCKETS ((BCT_HIST_VALUE_BITS - BCT_HIST_SUB_BITS + 1) << BCT_HIST_SUB_BITS)

/* All zeros is an empty histogram. */
typedef struct bct_hist {
	uint64_t n;
	uint64_t sum;
	uint64_t max;
	uint64_t buckets[BCT_HIST_BUCKETS];
} bct_hist_t;

/* bct_hist_add(3): count one value; values past 2^36 - 1 count in the last bucket. */
void bct_hist_add(bct_hist_t *h, uint64_t value);

/* bct_hist_merge(3): add the counts of another histogram. */
void bct_hist_merge(bct_hist_t *h, const bct_hist_t *from);

/*
 * bct_hist_percentile(3): the value that a share of all values does not exceed.
 *
 * permille  share in thousandths, 0 to 1000
 * returns   the upper edge of its bucket, at most the largest value seen; 0 when empty
 */
uint64_t bct_hist_percentile(const bct_hist_t *h, uint32_t permille);

/* bct_hist_mean(3): arithmetic mean, rounded down; 0 when empty. */
uint64_t bct_hist_mean(const bct_hist_t *h);

#endif
