/*
 * gate_part_verdict.h - what is known of parts of prompts: which are refused, as they crash
 * upstreams, and which did no harm lately. Pure: no I/O and no clock. See gate_part_judge.h.
 *
 * A verdict, that a part is refused or harmless, carries the time of its evidence. Nodes exchange
 * verdicts, and the later evidence wins.
 */
#ifndef BCT_POLICY_GATE_PART_VERDICT_H
#define BCT_POLICY_GATE_PART_VERDICT_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_GATE_PART_KEEP_MS (5 * 60 * BCT_MS_PER_S) /* evidence and verdicts */
#define BCT_GATE_PART_TRIAL_MS 10000  /* after a verdict or a trial, until the next trial */
#define BCT_GATE_PART_TRUST_MS 60000  /* for which a survivor makes its parts trusted */
#define BCT_GATE_PART_TRUSTED 1024    /* parts that are known as trusted, by their hash */
#define BCT_GATE_PART_VERDICTS_MAX 64 /* further ones replace the oldest */

typedef struct bct_gate_part_verdict {
	uint64_t part;
	bool refused;	     /* false: harmless */
	bct_time_t since;    /* time of the evidence */
	uint32_t crashes;    /* that speak against it, as counted by the node that judged */
	bct_time_t tried_at; /* when this node last let a request through; 0: never */
	bool trial_failed;   /* that request crashed its upstream */
	bool superseded; /* released for a narrower cause; to be returned by the next decision */
} bct_gate_part_verdict_t;

/* All zero: empty. */
typedef struct bct_gate_part_verdicts {
	bct_gate_part_verdict_t list[BCT_GATE_PART_VERDICTS_MAX];
	uint32_t n;
	uint32_t next; /* the oldest, once the list is full */
} bct_gate_part_verdicts_t;

/* A part that did no harm. */
typedef struct bct_gate_part_trust {
	uint64_t part;
	bct_time_t at;
} bct_gate_part_trust_t;

/* All zero: empty. */
typedef struct bct_gate_part_trusts {
	bct_gate_part_trust_t slots[BCT_GATE_PART_TRUSTED];
} bct_gate_part_trusts_t;

/* bct_gate_part_verdict_find(3): returns the verdict on a part, in force or not; NULL: none. */
bct_gate_part_verdict_t *bct_gate_part_verdict_find(const bct_gate_part_verdicts_t *t,
						    uint64_t part);

/* bct_gate_part_verdict_put(3): returns the verdict on a part, added with the part only if needed.
 */
bct_gate_part_verdict_t *bct_gate_part_verdict_put(bct_gate_part_verdicts_t *t, uint64_t part);

/* bct_gate_part_verdict_holds(3): whether the verdict has not expired. */
bool bct_gate_part_verdict_holds(const bct_gate_part_verdict_t *v, bct_time_t now);

/* bct_gate_part_verdict_refuses(3): whether the part is refused at that time. */
bool bct_gate_part_verdict_refuses(const bct_gate_part_verdicts_t *t, bct_time_t at, uint64_t part);

/* bct_gate_part_trust_note(3): a request with the part, whose answer began then, did no harm. */
void bct_gate_part_trust_note(bct_gate_part_trusts_t *t, uint64_t part, bct_time_t at);

/* bct_gate_part_is_trusted(3): whether the part did no harm lately. */
bool bct_gate_part_is_trusted(const bct_gate_part_trusts_t *t, bct_time_t now, uint64_t part);

#endif
