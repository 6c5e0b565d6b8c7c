/*
 * length.h - output lengths of a class, learnt as running quantiles. Constant memory; no length
 * is known in advance and none is stored.
 */
#ifndef BCT_POLICY_LENGTH_H
#define BCT_POLICY_LENGTH_H

#include <stdint.h>

#define BCT_LENGTH_MIN_SAMPLES 20 /* answers after which the quantiles are relied on */

typedef struct bct_length {
	double p50_tokens;
	double p90_tokens;
	uint32_t n; /* answers seen, saturating */
} bct_length_t;

/* bct_length_init(3): start from a guess, which the first answers replace quickly. */
void bct_length_init(bct_length_t *l, uint32_t guess_tokens);

/* bct_length_learn(3): take in the length of one whole answer. */
void bct_length_learn(bct_length_t *l, uint32_t tokens);

/* bct_length_expect(3): the median still to come once done_tokens are out; at least 1. */
uint32_t bct_length_expect(const bct_length_t *l, uint32_t done_tokens, uint32_t max_tokens);

/* bct_length_expect_p90(3): the same for what nine in ten answers stay below. */
uint32_t bct_length_expect_p90(const bct_length_t *l, uint32_t done_tokens, uint32_t max_tokens);

#endif
