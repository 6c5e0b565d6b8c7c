/*
 * rng.c - seeded random numbers by erand48(3), unpredictable ones by libsodium.
 */
#define _DEFAULT_SOURCE
#include "base/rng.h"
#include "base/hash.h"

#include <math.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

void bct_rng_seed(bct_rng_t *r, uint64_t seed)
{
	uint64_t mixed = bct_hash(&seed, sizeof(seed));

	memcpy(r->state, &mixed, sizeof(r->state));
}

double bct_rng_unit(bct_rng_t *r)
{
	return erand48(r->state);
}

uint32_t bct_rng_below(bct_rng_t *r, uint32_t n)
{
	return (uint32_t)(erand48(r->state) * n);
}

double bct_rng_exp(bct_rng_t *r, double mean)
{
	return -mean * log(1.0 - erand48(r->state));
}

uint64_t bct_random_id(void)
{
	uint64_t id = 0;

	while (!id)
		randombytes_buf(&id, sizeof(id));
	return id;
}
