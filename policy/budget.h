/*
 * budget.h - the retry budget of the fleet. Each node earns a fraction of a retry with every first
 * attempt, which bounds the sum over all nodes without communication between them.
 */
#ifndef BCT_POLICY_BUDGET_H
#define BCT_POLICY_BUDGET_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_BUDGET_PERMILLE 100		 /* retries earned by 1000 first attempts */
#define BCT_BUDGET_CREDIT_MAX 20	 /* retries that a node can accumulate */
#define BCT_BUDGET_TOTAL_MAX_AGE_MS 5000 /* older totals are ignored */

typedef struct bct_budget {
	int64_t credit_permille;      /* 1000: one retry */
	bool may_borrow;	      /* the fleet as a whole is well below its budget */
	bct_time_t borrow_expires_at; /* end of validity of may_borrow */
	uint32_t first_attempts;      /* since the last publish */
	uint32_t retries;	      /* since the last publish */
	bct_time_t published_at;
} bct_budget_t;

void bct_budget_init(bct_budget_t *b, bct_time_t now);

/* bct_budget_count_first(3): count the first attempt of a request and earn credit for it. */
void bct_budget_count_first(bct_budget_t *b);

/*
 * bct_budget_take(3): spend one retry.
 *
 * returns  0, or -BCT_EBUDGET when neither this node's credit nor the fleet allows it
 */
int bct_budget_take(bct_budget_t *b, bct_time_t now);

/*
 * bct_budget_publish(3), bct_budget_total(3): report the rates since the last call; apply the rates
 * of the whole fleet.
 *
 * v       as in BCT_ITEM_RETRY
 * age_ms  age of the oldest partial sum in the total
 */
void bct_budget_publish(bct_budget_t *b, bct_time_t now, int64_t v[4]);
void bct_budget_total(bct_budget_t *b, bct_time_t now, const int64_t v[4], uint32_t age_ms);

#endif
