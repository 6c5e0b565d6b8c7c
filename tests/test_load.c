/*
 * test_load.c - the histogram of the load tool; tests/proc_load.sh tests the parsing of scenarios.
 */
#include "base/histogram.h"
#include "base/rng.h"

#include <criterion/criterion.h>
#include <stdlib.h>

static int by_value(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

Test(histogram, empty_has_no_percentile)
{
	static bct_hist_t h;

	cr_assert_eq(bct_hist_percentile(&h, 500), 0);
	cr_assert_eq(bct_hist_mean(&h), 0);
}

Test(histogram, small_values_are_exact)
{
	static bct_hist_t h;

	for (uint64_t v = 1; v <= 60; v++)
		bct_hist_add(&h, v);
	cr_assert_eq(bct_hist_percentile(&h, 0), 1);
	cr_assert_eq(bct_hist_percentile(&h, 500), 30);
	cr_assert_eq(bct_hist_percentile(&h, 1000), 60);
	cr_assert_eq(bct_hist_mean(&h), 30);
}

Test(histogram, percentiles_stay_within_a_bucket_of_the_sorted_values)
{
	enum { N = 20000 };
	static uint64_t values[N];
	static bct_hist_t h;
	bct_rng_t rng;

	bct_rng_seed(&rng, 7);
	for (int i = 0; i < N; i++) {
		values[i] = (uint64_t)bct_rng_exp(&rng, 90000.0);
		bct_hist_add(&h, values[i]);
	}
	qsort(values, N, sizeof(values[0]), by_value);
	for (uint32_t p = 1; p <= 1000; p += 37) {
		uint64_t exact = values[(uint64_t)N * p / 1000 - 1];
		uint64_t seen = bct_hist_percentile(&h, p);

		cr_assert_geq(seen, exact, "permille %u", p);
		cr_assert_leq(seen, exact + exact / 31 + 1, "permille %u", p);
	}
}

Test(histogram, merge_adds_counts_and_too_large_values_keep_the_maximum)
{
	static bct_hist_t a, b;

	bct_hist_add(&a, 5);
	bct_hist_add(&b, UINT64_C(1) << 40);
	bct_hist_merge(&a, &b);
	cr_assert_eq(a.n, 2);
	cr_assert_eq(bct_hist_percentile(&a, 500), 5);
	cr_assert_eq(bct_hist_percentile(&a, 1000), UINT64_C(1) << 40);
}
