/*
 * budget.h - the retry budget of the fleet: each node earns a fraction of a retry with every
 * first attempt, so that the sum over all nodes is bounded without talk between them.
 */
#ifndef BCT_POLICY_BUDGET_H
#define BCT_POLICY_BUDGET_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_BUDGET_PERMILLE 100	 /* retries earned by a thousand first attempts */
#define BCT_BUDGET_CREDIT_MAX 20 /* retries that a node may save up */
#define BCT_BUDGET_TOTAL_MAX_AGE_MS 5000

typedef struct bct_budget {
	int64_t credit_permille;
	bool may_borrow; /* the fleet as a whole is well below its budget */
	bct_time_t borrow_expires_at;
	uint32_t first; /* since the last publish */
	uint32_t retries;
	bct_time_t published_at;
} bct_budget_t;

void bct_budget_init(bct_budget_t *b, bct_time_t now);

/* bct_budget_count_first(3): a request was given to an upstream for the first time. */
void bct_budget_count_first(bct_budget_t *b);

/*
 * bct_budget_take(3): spend one retry.
 *
 * returns  0, or -BCT_EBUDGET when neither this node's credit nor the fleet allows it
 */
int bct_budget_take(bct_budget_t *b, bct_time_t now);

/* bct_budget_publish(3), bct_budget_total(3): v as in BCT_ITEM_RETRY. */
void bct_budget_publish(bct_budget_t *b, bct_time_t now, int64_t v[4]);
void bct_budget_total(bct_budget_t *b, bct_time_t now, const int64_t v[4], uint32_t age_ms);

#endif
