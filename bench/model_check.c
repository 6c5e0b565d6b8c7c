/*
 * model_check.c - runs a simulation under the trace checker.
 */
#include "bench/model_check.h"

#include <string.h>

typedef struct check {
	bct_invariant_t *v;
	int err;
} check_t;

static void check_record(void *ctx, const bct_trace_t *t)
{
	check_t *c = ctx;

	if (!c->err)
		c->err = bct_invariant_feed(c->v, t);
}

/* Sums all kinds of violations in which a lower tier is favoured. */
static uint32_t check_inversions(const bct_invariant_t *v)
{
	static const bct_breach_t kinds[] = {
		BCT_BREACH_SHED_BEFORE_LOWER,	 BCT_BREACH_SHED_BEFORE_PREEMPT,
		BCT_BREACH_SHED_ACROSS_NODES,	 BCT_BREACH_PREEMPT_UPWARDS,
		BCT_BREACH_PREEMPT_BEFORE_LOWER,
	};
	uint64_t n = 0;

	for (uint32_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++)
		n += bct_invariant_count(v, kinds[i]);
	return (uint32_t)n;
}

int bct_model_run_checked(const bct_model_opts_t *opts, bct_model_sched_new_t make,
			  bct_model_result_t *out, uint64_t counts[BCT_BREACH_COUNT])
{
	const bct_invariant_opts_t vo = { .cross_node_grace_ms = BCT_MODEL_CROSS_NODE_GRACE_MS };
	check_t c = { 0 };
	int err = bct_invariant_new(&vo, &c.v);

	if (err)
		return err;
	err = bct_model_run(opts, make, check_record, &c, out);
	if (!err)
		err = c.err;
	if (!err)
		bct_invariant_finish(c.v);
	for (uint32_t b = 0; b < BCT_BREACH_COUNT; b++)
		counts[b] = bct_invariant_count(c.v, b);
	out->inversions = check_inversions(c.v);
	if (counts[BCT_BREACH_STARVED] > out->starved)
		out->starved = (uint32_t)counts[BCT_BREACH_STARVED];
	bct_invariant_free(c.v);
	return err;
}
