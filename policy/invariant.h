/*
 * invariant.h - checks the scheduler's invariants on decision traces, of one node or of several
 * nodes merged by time, from tests or from a running daemon. The trace is its only input.
 *
 * A request waits from its SUBMIT to a DISPATCH, and again after an attempt that ended without a
 * final answer. It runs from DISPATCH to END, and is preemptible meanwhile unless the value of the
 * DISPATCH has BCT_TRACE_NOT_PREEMPTIBLE set.
 */
#ifndef BCT_POLICY_INVARIANT_H
#define BCT_POLICY_INVARIANT_H

#include "policy/sched.h"

/* DEF(name, text): the violations that a trace can show. */
#define BCT_BREACH_LIST(DEF)                                                                    \
	DEF(SHED_BEFORE_LOWER, "refused for capacity while lower-tier work waited on the node") \
	DEF(SHED_BEFORE_PREEMPT, "refused for capacity while preemptible lower-tier work ran")  \
	DEF(SHED_ACROSS_NODES, "refused for capacity while lower-tier work waited elsewhere")   \
	DEF(PREEMPT_UPWARDS, "preempted for a tier that is not higher")                         \
	DEF(PREEMPT_BEFORE_LOWER, "preempted while preemptible lower-tier work kept running")   \
	DEF(STARVED, "a class was not served while others were, beyond the bound")              \
	DEF(TWO_ANSWERS, "a second final answer")                                               \
	DEF(AFTER_ANSWER, "dispatched after its final answer")                                  \
	DEF(TWO_AT_ONCE, "two concurrent attempts of one request")                              \
	DEF(RUN_TWICE, "a non-repeatable request was dispatched again after it may have run")   \
	DEF(UNKNOWN_REQUEST, "an event of a request that was not submitted")                    \
	DEF(LOST, "no final answer at the end of the trace")                                    \
	DEF(OUT_OF_ORDER, "an event with an earlier time than its predecessor")

typedef enum bct_breach {
#define DEF(name, text) BCT_BREACH_##name,
	BCT_BREACH_LIST(DEF)
#undef DEF
		BCT_BREACH_COUNT,
} bct_breach_t;

typedef struct bct_invariant bct_invariant_t;

/*
 * A class (account, target and tier) has pending demand while its requests wait or after they were
 * refused for lack of capacity, a passed deadline or a missed target. It starves when, with pending
 * demand, it gets no dispatch for starve_ms in which the target makes starve_dispatches dispatches
 * per account of the tier.
 */
typedef struct bct_invariant_opts {
	uint32_t starve_ms;	      /* 0: BCT_INVARIANT_STARVE_MS */
	uint32_t starve_dispatches;   /* 0: BCT_INVARIANT_STARVE_DISPATCHES */
	uint32_t cross_node_grace_ms; /* propagation time between nodes; 0: no check across nodes */
	void (*on_breach)(void *ctx, bct_breach_t b, const bct_trace_t *t); /* or NULL */
	void *ctx;
} bct_invariant_opts_t;

#define BCT_INVARIANT_STARVE_MS 60000
#define BCT_INVARIANT_STARVE_DISPATCHES 400

/*
 * bct_invariant_new(3), bct_invariant_free(3): make and release a checker.
 *
 * returns  0 or -BCT_ENOMEM
 */
int bct_invariant_new(const bct_invariant_opts_t *opts, bct_invariant_t **out);
void bct_invariant_free(bct_invariant_t *v);

/*
 * bct_invariant_feed(3): check the next event of a trace. The times of a trace must not decrease.
 *
 * returns  0, or -BCT_ENOMEM, and then the event was not processed and may be fed again
 */
int bct_invariant_feed(bct_invariant_t *v, const bct_trace_t *t);

/* bct_invariant_finish(3): end of the trace; requests that still wait or run are LOST. */
void bct_invariant_finish(bct_invariant_t *v);

/* bct_invariant_count(3), bct_invariant_total(3): number of breaches of one kind, and of all. */
uint64_t bct_invariant_count(const bct_invariant_t *v, bct_breach_t b);
uint64_t bct_invariant_total(const bct_invariant_t *v);

const char *bct_breach_name(bct_breach_t b);
const char *bct_breach_text(bct_breach_t b);

#endif
