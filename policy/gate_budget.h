/*
 * gate_budget.h - a retry budget of one service over a sliding window. Pure.
 *
 * The whole fleet may send, in any window, `ratio` times the first sends of the service and a fixed
 * allowance on top. Each node spends from its own first sends and an even part of the allowance,
 * so the sum stays under the fleet's bound without any exchange between nodes.
 */
#ifndef BCT_POLICY_GATE_BUDGET_H
#define BCT_POLICY_GATE_BUDGET_H

#include "base/clock.h"

#include <stdint.h>

#define BCT_GATE_BUDGET_CELLS 20 /* parts that a window is counted in */

typedef struct bct_gate_budget_opts {
	uint32_t window_ms;
	uint32_t ratio_permille; /* repeats for each first send */
	uint32_t allowance;	 /* repeats of the whole fleet on top */
} bct_gate_budget_opts_t;

typedef struct bct_gate_budget {
	bct_gate_budget_opts_t opts;
	int64_t cell; /* number of the newest one */
	uint32_t first[BCT_GATE_BUDGET_CELLS];
	uint32_t repeats[BCT_GATE_BUDGET_CELLS];
} bct_gate_budget_t;

void bct_gate_budget_init(bct_gate_budget_t *b, const bct_gate_budget_opts_t *opts);

/* bct_gate_budget_count_first(3): count the first send of a request. */
void bct_gate_budget_count_first(bct_gate_budget_t *b, bct_time_t now);

/*
 * bct_gate_budget_take(3): spend one repeat.
 *
 * nodes    live nodes of the fleet, this one included
 * returns  0, or -BCT_EBUDGET when this node's part of the window is spent
 */
int bct_gate_budget_take(bct_gate_budget_t *b, bct_time_t now, uint32_t nodes);

#endif
