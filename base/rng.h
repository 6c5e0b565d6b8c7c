/*
 * rng.h - seeded random numbers and unpredictable identifiers. The seeded generator is erand48(3),
 * whose state the caller owns, so that a seed gives the same sequence in every run.
 */
#ifndef BCT_BASE_RNG_H
#define BCT_BASE_RNG_H

#include <stdint.h>

typedef struct bct_rng {
	uint16_t state[3];
} bct_rng_t;

/* bct_rng_seed(3): initialise the state from a seed; any value is allowed. */
void bct_rng_seed(bct_rng_t *r, uint64_t seed);

/* bct_rng_below(3): uniformly distributed integer in [0, n); 0 if n is 0. */
uint32_t bct_rng_below(bct_rng_t *r, uint32_t n);

/* bct_rng_unit(3): uniformly distributed number in [0, 1). */
double bct_rng_unit(bct_rng_t *r);

/* bct_rng_exp(3): exponentially distributed number with the given mean. */
double bct_rng_exp(bct_rng_t *r, double mean);

/* bct_random_id(3): 64 unpredictable bits (libsodium), never 0; for ids and incarnations. */
uint64_t bct_random_id(void);

#endif
