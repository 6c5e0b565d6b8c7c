/*
 * chuteload_dist.c - random lengths and arrival times.
 */
#include "cmd/chuteload.h"

#include <math.h>
#include <time.h>

uint64_t load_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * LOAD_US_PER_S + (uint64_t)ts.tv_nsec / 1000;
}

/*
 * A standard normal deviate by the Box-Muller transform. bct_rng_unit() can return 0; 1 - u keeps
 * the argument of the logarithm above 0.
 */
static double normal(bct_rng_t *rng)
{
	double u = 1.0 - bct_rng_unit(rng), v = bct_rng_unit(rng);

	return sqrt(-2.0 * log(u)) * cos(2.0 * M_PI * v);
}

uint32_t load_sample(const load_dist_t *d, bct_rng_t *rng)
{
	double x = d->median * exp(d->sigma * normal(rng));

	if (d->max > 0 && x > d->max)
		x = d->max;
	return x < 1.0 ? 1 : (uint32_t)x;
}

/*
 * Intervals between arrivals are exponentially distributed, thus memoryless: when one reaches past
 * a change of the rate, a new one is drawn from that change on, at the new rate.
 */
uint64_t load_next_arrival(load_class_t *c, uint64_t now_us)
{
	double at_us = (double)now_us;

	for (uint32_t i = 0; i < c->n_rates; i++) {
		bool last = i + 1 == c->n_rates;
		double end_us = last ? INFINITY : (double)c->rates[i + 1].at_ms * LOAD_US_PER_MS;
		double begin_us = (double)c->rates[i].at_ms * LOAD_US_PER_MS;
		double next_us;

		if (at_us >= end_us || c->rates[i].per_s <= 0)
			continue;
		if (at_us < begin_us)
			at_us = begin_us;
		next_us = at_us + bct_rng_exp(&c->rng, LOAD_US_PER_S / c->rates[i].per_s);
		if (next_us < end_us)
			return (uint64_t)next_us;
		at_us = end_us;
	}
	return UINT64_MAX;
}
