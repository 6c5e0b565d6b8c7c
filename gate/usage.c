/*
 * usage.c - stub.
 */
#include "gate/usage.h"
#include "base/err.h"
#include "base/mem.h"
#include "base/rng.h"

struct bct_gate_usage {
	bct_gate_t *gate;
	bct_usage_t *counters;
};

int bct_gate_usage_new(bct_gate_t *g, bct_gate_usage_t **out)
{
	bct_gate_usage_t *s = bct_alloc(sizeof(*s));
	int rc;

	if (!s)
		return -BCT_ENOMEM;
	s->gate = g;
	rc = bct_usage_new(g->peer ? bct_peer_incarnation(g->peer) : bct_random_id(), &s->counters);
	if (rc) {
		bct_free(s);
		return rc;
	}
	*out = s;
	return 0;
}

void bct_gate_usage_free(bct_gate_usage_t *s)
{
	if (!s)
		return;
	bct_usage_free(s->counters);
	bct_free(s);
}

bct_usage_t *bct_gate_usage_counters(bct_gate_usage_t *s)
{
	return s->counters;
}

uint64_t bct_gate_usage_window(const bct_gate_usage_t *s, bct_time_t now)
{
	return (uint64_t)bct_gate_usage_true_time(s, now) / s->gate->settings->duty_window_ms;
}

bct_time_t bct_gate_usage_true_time(const bct_gate_usage_t *s, bct_time_t now)
{
	(void)s;
	return bct_clock_wall() + (now - bct_clock_now());
}

void bct_gate_usage_set_holder(bct_gate_usage_t *s, uint64_t incarnation)
{
	(void)s;
	(void)incarnation;
}
