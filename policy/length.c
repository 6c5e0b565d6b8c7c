/*
 * length.c - stochastic approximation in the logarithm of the length, so that the step fits
 * short and long classes alike.
 */
#include "policy/length.h"

#include <math.h>

#define LENGTH_STEP_MIN 0.05
#define LENGTH_STEP_FIRST 1.0
#define LENGTH_COUNT_MAX 1000000

void bct_length_init(bct_length_t *l, uint32_t guess_tokens)
{
	*l = (bct_length_t){ .p50_tokens = guess_tokens ? guess_tokens : 1 };
	l->p90_tokens = 2 * l->p50_tokens;
}

static void length_step(double *q, double p, double x, double step)
{
	*q *= exp(x > *q ? step * p : -step * (1 - p));
	if (*q < 1)
		*q = 1;
}

void bct_length_learn(bct_length_t *l, uint32_t tokens)
{
	double step = LENGTH_STEP_FIRST / (1 + l->n / 8.0);

	if (step < LENGTH_STEP_MIN)
		step = LENGTH_STEP_MIN;
	if (l->n == 0)
		bct_length_init(l, tokens);
	if (l->n < LENGTH_COUNT_MAX)
		l->n++;
	length_step(&l->p50_tokens, 0.5, tokens, step);
	length_step(&l->p90_tokens, 0.9, tokens, step);
}

uint32_t bct_length_expect(const bct_length_t *l, uint32_t done_tokens, uint32_t max_tokens)
{
	double total = l->p50_tokens;
	uint32_t remaining;

	/* Past the median, half of the distance to the 90th percentile is a fair guess. */
	if (done_tokens >= total)
		total = done_tokens + (l->p90_tokens > done_tokens
					       ? (l->p90_tokens - done_tokens) / 2
					       : done_tokens / 4.0);
	if (max_tokens && total > max_tokens)
		total = max_tokens;
	remaining = total > done_tokens ? (uint32_t)(total - done_tokens) : 0;
	return remaining ? remaining : 1;
}

uint32_t bct_length_expect_p90(const bct_length_t *l, uint32_t done_tokens, uint32_t max_tokens)
{
	double total = l->p90_tokens;

	if (max_tokens && total > max_tokens)
		total = max_tokens;
	if (total <= done_tokens)
		return bct_length_expect(l, done_tokens, max_tokens);
	return (uint32_t)(total - done_tokens) + 1;
}
