/*
 * histogram.h - histogram of durations in fixed memory. The width of the buckets grows with the
 * value, so that every percentile is accurate to about 3% from microseconds to hours.
 */
#ifndef BCT_BASE_HISTOGRAM_H
#define BCT_BASE_HISTOGRAM_H

#include <stdint.h>

#define BCT_HIST_SUB_BITS 5    /* 2^5 = 32 buckets for each power of two */
#define BCT_HIST_VALUE_BITS 36 /* values up to 2^36 - 1 */
#define BCT_HIST_BUCKETS ((BCT_HIST_VALUE_BITS - BCT_HIST_SUB_BITS + 1) << BCT_HIST_SUB_BITS)

/* All zero: an empty histogram. The caller chooses the unit of the values. */
typedef struct bct_hist {
	uint64_t n;
	uint64_t sum;
	uint64_t max;
	uint64_t buckets[BCT_HIST_BUCKETS];
} bct_hist_t;

/* bct_hist_add(3): count one value; values above 2^36 - 1 count in the last bucket. */
void bct_hist_add(bct_hist_t *h, uint64_t value);

/* bct_hist_merge(3): add the counts of another histogram to h. */
void bct_hist_merge(bct_hist_t *h, const bct_hist_t *from);

/*
 * bct_hist_percentile(3): the value that the given share of all values does not exceed.
 *
 * permille  share in thousandths, 0 to 1000; 500 is the median
 * returns   the upper edge of the bucket, but at most the largest value added; 0 if empty
 */
uint64_t bct_hist_percentile(const bct_hist_t *h, uint32_t permille);

/* bct_hist_mean(3): arithmetic mean, rounded down; 0 if empty. */
uint64_t bct_hist_mean(const bct_hist_t *h);

#endif
