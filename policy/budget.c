/*
 * budget.c - credit of this node, and borrowing from the unused budget of the fleet.
 */
#include "policy/budget.h"
#include "base/err.h"

#define BUDGET_COST_PERMILLE 1000 /* of one retry */
/* A node without credit may retry while the fleet uses less than half of what it earns. */
#define BUDGET_BORROW_DIVISOR 2
#define BUDGET_BORROW_MS 2000 /* validity of that permission after a total */

void bct_budget_init(bct_budget_t *b, bct_time_t now)
{
	*b = (bct_budget_t){ .credit_permille = BCT_BUDGET_CREDIT_MAX * BUDGET_COST_PERMILLE };
	b->published_at = now;
}

void bct_budget_count_first(bct_budget_t *b)
{
	b->first_attempts++;
	if (b->credit_permille < BCT_BUDGET_CREDIT_MAX * BUDGET_COST_PERMILLE)
		b->credit_permille += BCT_BUDGET_PERMILLE;
}

int bct_budget_take(bct_budget_t *b, bct_time_t now)
{
	if (b->credit_permille >= BUDGET_COST_PERMILLE)
		b->credit_permille -= BUDGET_COST_PERMILLE;
	else if (!b->may_borrow || now > b->borrow_expires_at)
		return -BCT_EBUDGET;
	b->retries++;
	return 0;
}

void bct_budget_publish(bct_budget_t *b, bct_time_t now, int64_t v[4])
{
	int64_t dt_ms = now > b->published_at ? now - b->published_at : 1;

	v[0] = (int64_t)b->first_attempts * BCT_MS_PER_S * 1000 / dt_ms;
	v[1] = (int64_t)b->retries * BCT_MS_PER_S * 1000 / dt_ms;
	v[2] = v[3] = 0;
	b->first_attempts = b->retries = 0;
	b->published_at = now;
}

void bct_budget_total(bct_budget_t *b, bct_time_t now, const int64_t v[4], uint32_t age_ms)
{
	if (age_ms > BCT_BUDGET_TOTAL_MAX_AGE_MS)
		return;
	b->may_borrow = v[1] * 1000 * BUDGET_BORROW_DIVISOR < v[0] * BCT_BUDGET_PERMILLE;
	b->borrow_expires_at = now + BUDGET_BORROW_MS;
}
