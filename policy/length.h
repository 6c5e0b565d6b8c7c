/*
 * length.h - output lengths of a class, learnt as running quantiles (median and 90th percentile).
 * Memory is constant: no length is known in advance and none is stored. The same quantiles serve
 * for other quantities, such as times in ms.
 */
#ifndef BCT_POLICY_LENGTH_H
#define BCT_POLICY_LENGTH_H

#include <stdint.h>

#define BCT_LENGTH_MIN_SAMPLES 20 /* answers before the quantiles are relied on */

typedef struct bct_length {
	double p50_tokens;
	double p90_tokens;
	uint32_t n; /* answers learnt, saturating */
} bct_length_t;

/* bct_length_init(3): start from a guess, which the first answer replaces. */
void bct_length_init(bct_length_t *l, uint32_t guess_tokens);

/* bct_length_learn(3): update the quantiles with the length of one complete answer. */
void bct_length_learn(bct_length_t *l, uint32_t tokens);

/*
 * bct_length_expect(3): predict the remaining length of an answer.
 *
 * done_tokens  output so far
 * max_tokens   limit of the whole output; 0: none
 * returns      the median of the tokens still to come, at least 1
 */
uint32_t bct_length_expect(const bct_length_t *l, uint32_t done_tokens, uint32_t max_tokens);

/* bct_length_expect_p90(3): the same for the length that nine in ten answers stay below. */
uint32_t bct_length_expect_p90(const bct_length_t *l, uint32_t done_tokens, uint32_t max_tokens);

#endif
