/*
 * gate_budget.c - retry counters in BCT_GATE_BUDGET_CELLS cells per window; each cell expires as a
 * whole.
 */
#include "policy/gate_budget.h"
#include "base/err.h"

#include <string.h>

#define PERMILLE 1000
/* Nodes that cannot reach each other undercount the fleet and take too large a share each. */
#define ALLOWANCE_MARGIN 2

void bct_gate_budget_init(bct_gate_budget_t *b, const bct_gate_budget_opts_t *opts)
{
	memset(b, 0, sizeof(*b));
	b->opts = *opts;
}

/* Moves the window up to now and clears the cells that it enters. */
static void advance(bct_gate_budget_t *b, bct_time_t now)
{
	int64_t cell = now / (b->opts.window_ms / BCT_GATE_BUDGET_CELLS);

	if (cell - b->cell >= BCT_GATE_BUDGET_CELLS)
		b->cell = cell - BCT_GATE_BUDGET_CELLS;
	while (b->cell < cell) {
		b->cell++;
		b->first_sends[b->cell % BCT_GATE_BUDGET_CELLS] = 0;
		b->retries[b->cell % BCT_GATE_BUDGET_CELLS] = 0;
	}
}

static uint32_t sum(const uint32_t *cells)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < BCT_GATE_BUDGET_CELLS; i++)
		n += cells[i];
	return n;
}

void bct_gate_budget_count_first(bct_gate_budget_t *b, bct_time_t now)
{
	advance(b, now);
	b->first_sends[b->cell % BCT_GATE_BUDGET_CELLS]++;
}

int bct_gate_budget_take(bct_gate_budget_t *b, bct_time_t now, uint32_t nodes)
{
	uint32_t limit;

	advance(b, now);
	limit = (uint32_t)((uint64_t)sum(b->first_sends) * b->opts.ratio_permille / PERMILLE) +
		b->opts.allowance / ALLOWANCE_MARGIN / (nodes ? nodes : 1);
	if (sum(b->retries) >= limit)
		return -BCT_EBUDGET;
	b->retries[b->cell % BCT_GATE_BUDGET_CELLS]++;
	return 0;
}
