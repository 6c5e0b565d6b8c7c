/*
 * gate_brittle.h - keeps a brittle upstream from having to turn away more requests in a second than
 * it bears. Pure: no I/O and no clock.
 *
 * Such an upstream says in all its answers how many it bears; one more and it falls over. What all
 * nodes together have running there is known to each only some 100 ms late. So nodes send less than
 * would fill it: up to half of its places, and more if it bears more. What is sent in the time in
 * which nodes don't see each other has to fit into the rest: a few nodes, its owners, which all
 * choose alike from the live ones, send an equal part of that each, and the others nothing; their
 * requests can go through an owner. A request that was turned away stops its node for a second,
 * several stop all nodes.
 */
#ifndef BCT_POLICY_GATE_BRITTLE_H
#define BCT_POLICY_GATE_BRITTLE_H

#include "base/clock.h"
#include "policy/gate_limit.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_GATE_BRITTLE_UNSEEN_MS 100	 /* for which the load that others place is not seen */
#define BCT_GATE_BRITTLE_WINDOW_MS 1000	 /* in which the upstream counts what it turns away */
#define BCT_GATE_BRITTLE_FORGET_MS 60000 /* without an answer that says so */

/* What is known of one upstream. Zeroed: it is not brittle. */
typedef struct bct_gate_brittle {
	bool named;		/* it says that it is brittle */
	uint32_t bears;		/* requests that it can turn away in a second */
	bct_time_t observed_at; /* latest answer, to any node, that decided the above; 0: none */
	bool owner;		/* this node sends there */
	uint32_t part_mrps;	/* of what is sent unseen, in requests per 1000 s */
	int64_t credit_ureq;	/* unused, in millionths of a request */
	bct_time_t credit_at;
	uint32_t turned_away; /* in the window, by all nodes as far as known */
	bct_time_t window_at;
	bct_time_t closed_until;
} bct_gate_brittle_t;

/* What nodes tell each other. */
typedef struct bct_gate_brittle_report {
	bool named;
	uint32_t bears;
	uint32_t age_ms;      /* of the answer */
	uint32_t turned_away; /* by the sender, just now */
} bct_gate_brittle_report_t;

/*
 * bct_gate_brittle_answered(3): processes an answer that this node received.
 *
 * sent_at  when its request was sent: an older one lifts nothing
 * returns  whether that changed anything
 */
bool bct_gate_brittle_answered(bct_gate_brittle_t *b, bct_time_t now, bct_time_t sent_at,
			       bool named, uint32_t bears);

/* bct_gate_brittle_reported(3): processes a peer's report. returns whether it is news. */
bool bct_gate_brittle_reported(bct_gate_brittle_t *b, bct_time_t now,
			       const bct_gate_brittle_report_t *r);

/* bct_gate_brittle_turned_away(3): the upstream had no room for a request of this node. */
void bct_gate_brittle_turned_away(bct_gate_brittle_t *b, bct_time_t now);

/* bct_gate_brittle_inherit(3): a run that has not answered yet, of a service with a brittle one. */
void bct_gate_brittle_inherit(bct_gate_brittle_t *b, bct_time_t now, const bct_gate_brittle_t *of);

/*
 * bct_gate_brittle_assign(3): computes this node's part; periodically, and after a change.
 *
 * upstream  its key
 */
void bct_gate_brittle_assign(bct_gate_brittle_t *b, bct_time_t now, uint64_t upstream,
			     uint32_t slots, const bct_gate_limit_nodes_t *nodes);

/* bct_gate_brittle_suspend(3): this node sends nothing until the next assignment. */
void bct_gate_brittle_suspend(bct_gate_brittle_t *b, bct_time_t now);

/* bct_gate_brittle_owns(3): whether a node of these is among the owners of a brittle upstream. */
bool bct_gate_brittle_owns(const bct_gate_brittle_t *b, uint64_t upstream, uint32_t slots,
			   const bct_gate_limit_nodes_t *nodes, uint64_t node);

/*
 * bct_gate_brittle_wait_ms(3): time until this node may send a request there; 0: it may now,
 * UINT32_MAX: it sends none.
 *
 * running  there, of all nodes, as far as known
 */
uint32_t bct_gate_brittle_wait_ms(bct_gate_brittle_t *b, bct_time_t now, uint32_t slots,
				  uint32_t running);

/* bct_gate_brittle_sent(3): a request was sent. */
void bct_gate_brittle_sent(bct_gate_brittle_t *b, bct_time_t now);

#endif
