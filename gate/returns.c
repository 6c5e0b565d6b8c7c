/*
 * returns.c - books room for refused callers and recognizes them when they come back.
 */
#include "gate/returns.h"
#include "gate/crash.h"
#include "gate/exchange_int.h"
#include "gate/share.h"

#define LATEST_DIVISOR 3 /* callers wait for this part of their remaining time at most */
#define NEWS_ROUNDS 3	 /* of load: to the hub, between hubs and to the others */

static bct_gate_return_input_t input_of(const bct_exchange_t *x, bct_time_t now)
{
	bct_gate_t *g = x->gate;
	const bct_gate_lanes_t *lanes = bct_gate_pick_lanes(&g->picker, x->query.service_key);
	bct_time_t remaining_ms = bct_exchange_deadline(x) - now;

	return (bct_gate_return_input_t){
		.service_key = x->query.service_key,
		.rank = x->rank,
		.levels = x->levels,
		.work_ms = x->choice.work_ms + (x->query.slots ? x->output_ms / x->query.slots : 0),
		.news_ms = NEWS_ROUNDS * bct_share_interval_ms(g->share),
		.latest_ms = remaining_ms > 0 ? (uint32_t)remaining_ms / LATEST_DIVISOR : 0,
		.engines = lanes ? lanes->engines : 0,
		.nodes = g->nodes,
	};
}

bool bct_returns_take(bct_exchange_t *x, bct_time_t now)
{
	bct_gate_t *g = x->gate;

	if (!g->settings->gate_expect_returns || !bct_gate_returns_any(&g->returns, now) ||
	    !bct_gate_returns_take(&g->returns, now, bct_crash_digest(x)))
		return false;
	BCT_GATE_COUNT(g, RETURNED);
	return true;
}

uint32_t bct_returns_reserved_ms(bct_exchange_t *x, bct_time_t now)
{
	bct_gate_return_input_t in = input_of(x, now);

	if (!x->gate->settings->gate_expect_returns)
		return 0;
	bct_gate_returns_offered(&x->gate->returns, now, &in);
	return bct_gate_returns_reserved_ms(&x->gate->returns, now, &in, x->choice.first_byte_ms);
}

uint32_t bct_returns_book(bct_exchange_t *x, bct_time_t now, uint32_t earliest_ms)
{
	bct_gate_t *g = x->gate;
	bct_gate_return_input_t in = input_of(x, now);
	uint32_t ms;

	if (!g->settings->gate_expect_returns)
		return 0;
	in.earliest_ms = earliest_ms;
	ms = bct_gate_returns_book(&g->returns, now, bct_crash_digest(x), &in);
	if (!ms)
		return 0;
	BCT_GATE_COUNT(g, PROMISED);
	bct_share_add_promise(g->share, bct_crash_digest(x), ms);
	return ms;
}
