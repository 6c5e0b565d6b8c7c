/*
 * gate_part_judge.h - finds the part of prompts that crashes the upstreams which run them, whatever
 * else the requests hold. Pure: no I/O and no clock.
 *
 * Evidence are the requests that were in flight when an upstream crashed and had not yet shown that
 * they are harmless, each with the parts of its prompt but the last, which is its own. A part is
 * refused once BCT_GATE_PART_CRASHES crashes, of different runs and apart in time, speak against it
 * and nothing speaks for it: a request with it that began to be answered after a crash and went on
 * shows that it is harmless. A part that did no harm lately, or any at a node that has just
 * started, takes more: it is more likely a bystander. A part has all the crashes of the parts
 * behind it, so it is not refused while one of those accounts for half of them; the deepest is
 * taken first. A refused part explains its crashes, which do not count against other parts but
 * those behind it.
 *
 * After a while one node lets one request through, so that a part that was refused by mistake, or
 * does no harm any more, is released.
 */
#ifndef BCT_POLICY_GATE_PART_JUDGE_H
#define BCT_POLICY_GATE_PART_JUDGE_H

#include "policy/gate_part_verdict.h"
#include "policy/gate_upstreams.h"
#include "policy/parts.h"

#define BCT_GATE_PART_CRASHES 4		/* before a part is refused */
#define BCT_GATE_PART_CRASHES_TRUSTED 6 /* the same for one that is trusted */
#define BCT_GATE_PART_SPACING_MS 100	/* crashes closer than this have one cause: count once */
#define BCT_GATE_PART_SPREAD_MS 400   /* within which all requests at a crash are known to break */
#define BCT_GATE_PART_SETTLE_MS 250   /* after a crash, until reports of all nodes are there */
#define BCT_GATE_PART_SURVIVED_MS 500 /* after its first output a request is harmless */
#define BCT_GATE_PART_LEARN_MS 10000  /* for which a new node trusts all parts */
#define BCT_GATE_PART_EVENTS_MAX 256  /* further ones replace the oldest */

/* A request that was in flight when an upstream crashed. */
typedef struct bct_gate_part_crash {
	uint32_t run;	    /* of the upstream, see bct_gate_upstream_run(3) */
	bct_time_t sent_at; /* of the request */
	bct_time_t at;	    /* of the crash; if the request was given up before, of that */
	bct_parts_t parts;
} bct_gate_part_crash_t;

typedef struct bct_gate_part_event {
	bct_gate_part_crash_t crash;
	uint32_t suspects; /* bit i: parts.ids[i] may be the cause */
	bool voided;	   /* the upstream lived on: it was no crash */
	/*
	 * As of the last decision, parts from here on may be the cause. Those before, or all of
	 * them, are explained by a part that is refused, or the run had ended before.
	 */
	uint32_t open_from;
} bct_gate_part_event_t;

/* All zero but started_at: empty. */
typedef struct bct_gate_part_judge {
	bct_time_t started_at; /* when this node began to learn */
	bct_gate_part_trusts_t trusted;
	bct_gate_part_event_t events[BCT_GATE_PART_EVENTS_MAX];
	uint32_t n_events;
	uint32_t next_event;
	bct_gate_part_verdicts_t verdicts;
	bool undecided; /* events came since the last decision, or have not settled */
} bct_gate_part_judge_t;

/*
 * bct_gate_part_judge_crash(3): adds evidence, of this node or another one.
 *
 * returns  whether it is news
 */
bool bct_gate_part_judge_crash(bct_gate_part_judge_t *j, const bct_gate_part_crash_t *c);

/*
 * bct_gate_part_judge_survived(3): a request with the part, whose answer began at that time, went
 * on for BCT_GATE_PART_SURVIVED_MS or to its end.
 *
 * returns  whether that clears the part of crashes, or releases it
 */
bool bct_gate_part_judge_survived(bct_gate_part_judge_t *j, uint64_t part, bct_time_t began_at);

/*
 * bct_gate_part_judge_decide(3): refuses a part if the evidence suffices, and releases those before
 * it in the same prompts; to be called repeatedly.
 *
 * t        the upstreams: a crash that one of them lived through was none
 *
 * returns  whether there is a new verdict
 */
bool bct_gate_part_judge_decide(bct_gate_part_judge_t *j, bct_time_t now,
				const bct_gate_upstreams_t *t, bct_gate_part_verdict_t *out);

/* bct_gate_part_judge_heard(3): takes over the verdict of a peer. returns whether it is news. */
bool bct_gate_part_judge_heard(bct_gate_part_judge_t *j, bct_time_t now,
			       const bct_gate_part_verdict_t *v);

/* bct_gate_part_judge_remaining_ms(3): how long the part is still refused; 0: it may run. */
uint32_t bct_gate_part_judge_remaining_ms(const bct_gate_part_judge_t *j, bct_time_t now,
					  uint64_t part);

/*
 * bct_gate_part_judge_take_trial(3): whether this node may now let one request with a refused part
 * through, BCT_GATE_PART_TRIAL_MS after the verdict or the last one, until one crashes its
 * upstream. It must be the only node of the fleet that asks.
 */
bool bct_gate_part_judge_take_trial(bct_gate_part_judge_t *j, bct_time_t now, uint64_t part);

/*
 * bct_gate_part_judge_is_suspect(3): whether a crash speaks against the part. A request that is let
 * through as a trial of one part must have no other such part, or its crash would prove nothing.
 */
bool bct_gate_part_judge_is_suspect(const bct_gate_part_judge_t *j, bct_time_t now, uint64_t part);

/*
 * bct_gate_part_judge_next(3): iterates over the verdicts in force.
 *
 * pos      0 for the first call; advanced by each call
 * returns  false at the end
 */
bool bct_gate_part_judge_next(const bct_gate_part_judge_t *j, bct_time_t now, uint32_t *pos,
			      bct_gate_part_verdict_t *out);

#endif
