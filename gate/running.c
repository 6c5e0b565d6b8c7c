/*
 * running.c - compares the times of ticks, and that of the begin of a planned stop.
 */
#include "gate/running.h"

#define SUSPENDED_MS 2000   /* without a tick; peers then begin to do without this node */
#define RESUME_HOLD_MS 1000 /* to hear from peers what they granted each other meanwhile */
/* Callers may use an address for up to three times its announced lifetime. */
#define LIFETIMES_KEPT 3
#define STOP_MARGIN_MS 500 /* to exit before the platform kills the process */

/* This node has no part of any limit until they are computed again. */
static void suspend_limits(bct_gate_t *g, bct_time_t now)
{
	bct_list_t *el;

	bct_list_for_each(el, &g->upstreams.all) {
		bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);

		bct_gate_limit_suspend(&u->limit, now);
		bct_gate_brittle_suspend(&u->brittle, now);
	}
}

void bct_gate_check_resumed(bct_gate_t *g)
{
	bct_time_t now = bct_clock_now(), gap_ms = now - g->ticked_at;

	if (!g->share || gap_ms < SUSPENDED_MS)
		return;
	BCT_LOG(g->log, BCT_EV_NODE_RESUMED, BCT_I64("ms", gap_ms),
		BCT_U64("requests", g->n_exchanges));
	g->ticked_at = g->resumed_at = now;
	suspend_limits(g, now);
}

bool bct_gate_is_resuming(const bct_gate_t *g)
{
	return g->resumed_at && bct_clock_now() - g->resumed_at < RESUME_HOLD_MS;
}

bool bct_gate_addresses_expired(const bct_gate_t *g)
{
	bct_time_t lifetime_ms = (bct_time_t)g->settings->caller_entry_lifetime_ms * LIFETIMES_KEPT;

	return g->draining && bct_clock_now() >= g->drain_started + lifetime_ms;
}

bct_time_t bct_gate_stop_deadline_ms(const bct_gate_t *g)
{
	return (bct_time_t)g->settings->gate_grace_ms - STOP_MARGIN_MS;
}

bool bct_gate_takes_on(const bct_gate_t *g, bct_time_t deadline)
{
	if (!bct_gate_addresses_expired(g))
		return true;
	return deadline <= g->drain_started + bct_gate_stop_deadline_ms(g);
}
