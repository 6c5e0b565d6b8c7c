/*
 * invariant.h - a checker over decision traces, of one node or of many merged by time, from tests
 * or from a running daemon. It knows nothing of the scheduler but what a trace says.
 *
 * A request waits from its SUBMIT to a DISPATCH, and again once an attempt ended without a final
 * answer. Work runs from DISPATCH to END; it is preemptible unless its DISPATCH says KEPT.
 */
#ifndef BCT_POLICY_INVARIANT_H
#define BCT_POLICY_INVARIANT_H

#include "policy/sched.h"

/* DEF(name, text) */
#define BCT_BREACH_LIST(DEF)                                                                      \
	DEF(SHED_BEFORE_LOWER, "refused for capacity while lower-tier work waited on the node")   \
	DEF(SHED_BEFORE_PREEMPT, "refused for capacity while preemptible lower-tier work ran")    \
	DEF(SHED_ACROSS_NODES, "refused for capacity while lower-tier work waited elsewhere")     \
	DEF(PREEMPT_UPWARDS, "preempted for a tier that is not higher")                           \
	DEF(PREEMPT_BEFORE_LOWER, "preempted while lower-tier work was left running")             \
	DEF(STARVED, "a class waited while others were served past the bound")                    \
	DEF(TWO_ANSWERS, "a second final answer")                                                 \
	DEF(AFTER_ANSWER, "given to an upstream after its final answer")                          \
	DEF(TWO_AT_ONCE, "two attempts of one request at once")                                   \
	DEF(RUN_TWICE, "a request that may not be repeated was sent again after it may have run") \
	DEF(UNKNOWN_REQUEST, "an event of a request that was never submitted")                    \
	DEF(LOST, "no final answer at the end of the trace")                                      \
	DEF(OUT_OF_ORDER, "an event earlier than the one before")

typedef enum bct_breach {
#define DEF(name, text) BCT_BREACH_##name,
	BCT_BREACH_LIST(DEF)
#undef DEF
		BCT_BREACH_COUNT,
} bct_breach_t;

typedef struct bct_invariant bct_invariant_t;

/*
 * A class (account, target and tier) starves when, while demand of it that capacity refused or
 * kept waiting is pending, starve_ms pass and in that time the target serves starve_dispatches
 * times the number of accounts in the tier, and none of them is of the class.
 */
typedef struct bct_invariant_opts {
	uint32_t starve_ms;	      /* 0: BCT_INVARIANT_STARVE_MS */
	uint32_t starve_dispatches;   /* 0: BCT_INVARIANT_STARVE_DISPATCHES */
	uint32_t cross_node_grace_ms; /* for news between nodes; 0: do not check across nodes */
	void (*on_breach)(void *ctx, bct_breach_t b, const bct_trace_t *t); /* or NULL */
	void *ctx;
} bct_invariant_opts_t;

#define BCT_INVARIANT_STARVE_MS 60000
#define BCT_INVARIANT_STARVE_DISPATCHES 400

/* bct_invariant_new(3): returns 0 or -BCT_ENOMEM. */
int bct_invariant_new(const bct_invariant_opts_t *opts, bct_invariant_t **out);
void bct_invariant_free(bct_invariant_t *v);

/*
 * bct_invariant_feed(3): check the next line of a trace; times must not go back.
 *
 * returns  0 or -BCT_ENOMEM, and then the line was not taken in
 */
int bct_invariant_feed(bct_invariant_t *v, const bct_trace_t *t);

/* bct_invariant_finish(3): the trace is complete and every caller should have its answer. */
void bct_invariant_finish(bct_invariant_t *v);

/* bct_invariant_count(3), bct_invariant_total(3): breaches of one kind, and of all kinds. */
uint64_t bct_invariant_count(const bct_invariant_t *v, bct_breach_t b);
uint64_t bct_invariant_total(const bct_invariant_t *v);

const char *bct_breach_name(bct_breach_t b);
const char *bct_breach_text(bct_breach_t b);

#endif
