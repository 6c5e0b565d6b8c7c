/*
 * histogram.c - bucket layout and percentiles of a histogram.
 */
#include "base/histogram.h"

#define SUB_BUCKETS (1u << BCT_HIST_SUB_BITS)
#define VALUE_MAX ((UINT64_C(1) << BCT_HIST_VALUE_BITS) - 1)
#define PERMILLE 1000

/* A value below SUB_BUCKETS has a bucket of its own; above, SUB_BUCKETS split each power of two. */
static uint32_t bucket_of(uint64_t value)
{
	uint32_t shift;

	if (value > VALUE_MAX)
		value = VALUE_MAX;
	if (value < SUB_BUCKETS)
		return (uint32_t)value;
	shift = 63 - (uint32_t)__builtin_clzll(value) - BCT_HIST_SUB_BITS;
	return (shift << BCT_HIST_SUB_BITS) + (uint32_t)(value >> shift);
}

/* The largest value that counts in a bucket. */
static uint64_t upper_edge(uint32_t bucket)
{
	uint32_t shift;

	if (bucket < 2 * SUB_BUCKETS)
		return bucket;
	shift = (bucket >> BCT_HIST_SUB_BITS) - 1;
	return ((uint64_t)(bucket - (shift << BCT_HIST_SUB_BITS) + 1) << shift) - 1;
}

void bct_hist_add(bct_hist_t *h, uint64_t value)
{
	h->n++;
	h->sum += value;
	if (value > h->max)
		h->max = value;
	h->buckets[bucket_of(value)]++;
}

void bct_hist_merge(bct_hist_t *h, const bct_hist_t *from)
{
	h->n += from->n;
	h->sum += from->sum;
	if (from->max > h->max)
		h->max = from->max;
	for (uint32_t i = 0; i < BCT_HIST_BUCKETS; i++)
		h->buckets[i] += from->buckets[i];
}

uint64_t bct_hist_percentile(const bct_hist_t *h, uint32_t permille)
{
	uint64_t rank = (h->n * permille + PERMILLE - 1) / PERMILLE, seen = 0, edge;

	if (h->n == 0)
		return 0;
	if (rank == 0)
		rank = 1;
	for (uint32_t i = 0; i < BCT_HIST_BUCKETS; i++) {
		seen += h->buckets[i];
		if (seen < rank)
			continue;
		edge = upper_edge(i);
		return edge < h->max && i + 1 < BCT_HIST_BUCKETS ? edge : h->max;
	}
	return h->max;
}

uint64_t bct_hist_mean(const bct_hist_t *h)
{
	return h->n ? h->sum / h->n : 0;
}
