/*
 * gate_budget.h - retry budget of one service over a sliding window. Pure: no I/O and no clock.
 *
 * Within any window the whole fleet may send at most ratio_permille retries per 1000 first sends of
 * the service, plus a fixed allowance. Each node spends only what its own first sends earn and an
 * equal share of the allowance, so the fleet stays within the bound without exchanging counts.
 */
#ifndef BCT_POLICY_GATE_BUDGET_H
#define BCT_POLICY_GATE_BUDGET_H

#include "base/clock.h"

#include <stdint.h>

#define BCT_GATE_BUDGET_CELLS 20 /* counters per window; the window moves one counter at a time */

typedef struct bct_gate_budget_opts {
	uint32_t window_ms;
	uint32_t ratio_permille; /* retries per 1000 first sends */
	uint32_t allowance;	 /* additional retries per window of the whole fleet */
} bct_gate_budget_opts_t;

typedef struct bct_gate_budget {
	bct_gate_budget_opts_t opts;
	int64_t cell; /* number of the newest cell; its counters are at cell % CELLS */
	uint32_t first_sends[BCT_GATE_BUDGET_CELLS];
	uint32_t retries[BCT_GATE_BUDGET_CELLS];
} bct_gate_budget_t;

void bct_gate_budget_init(bct_gate_budget_t *b, const bct_gate_budget_opts_t *opts);

/* bct_gate_budget_count_first(3): counts the first send of a request, which earns retries. */
void bct_gate_budget_count_first(bct_gate_budget_t *b, bct_time_t now);

/*
 * bct_gate_budget_take(3): spends one retry if this node's share of the window allows it.
 *
 * nodes    live nodes of the fleet, including this one
 * returns  0, or -BCT_EBUDGET when this node's share of the window is spent
 */
int bct_gate_budget_take(bct_gate_budget_t *b, bct_time_t now, uint32_t nodes);

#endif
