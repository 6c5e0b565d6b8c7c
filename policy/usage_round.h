/*
 * usage_round.h - which counters of a node are sent to which nodes in a round of their exchange.
 * Pure: no I/O and no clock. Design: docs/design/duties-and-load.md.
 *
 * - Changed counters are sent in two rounds, to all keepers, as datagrams are lost. Some time after
 *   the end of a window all of its counters are sent for the third time: a keeper that is suspended
 *   for a second or two loses what arrives meanwhile, as its socket's buffer is small.
 * - A new keeper is sent all counters of the last windows, several times within some seconds: as
 *   long as it does not know this node as a member, it refuses its messages.
 * - Keepers also send each other the counters of nodes that are not live any more, as a node that
 *   became a keeper after they were killed has not received them.
 */
#ifndef BCT_POLICY_USAGE_ROUND_H
#define BCT_POLICY_USAGE_ROUND_H

#include "policy/usage.h"

#define BCT_USAGE_KEEPERS_MAX 4 /* the nodes of rank 0, 1 and 2, and the holder */
#define BCT_USAGE_SENDS 2	/* rounds that send a change, before the end of the window */
#define BCT_USAGE_RESENT 4	/* windows that a new keeper is sent */

/*
 * bct_usage_keepers(3): the nodes that add up the counters of all.
 *
 * live     incarnations of the live nodes that are not leaving, in any order
 * holder   incarnation of the holder of the duties; 0: none is known
 * out      receives up to BCT_USAGE_KEEPERS_MAX
 * returns  their number
 */
uint32_t bct_usage_keepers(const uint64_t *live, uint32_t n, uint64_t holder, uint64_t *out);

/*
 * bct_usage_round_ms(3): time between two rounds, which is what the counters of a killed node lack.
 * Grows with the number of live nodes, so that a keeper receives no more messages in a large fleet
 * than it can process.
 */
uint32_t bct_usage_round_ms(uint32_t nodes);

/* Input of a round. */
typedef struct bct_usage_fleet {
	const uint64_t *live; /* valid until the end of the round */
	uint32_t n;
	uint64_t self;
	uint64_t holder; /* 0: none is known */
} bct_usage_fleet_t;

typedef struct bct_usage_keeper {
	uint64_t incarnation;
	bct_time_t since; /* it is a keeper */
	uint32_t fulls;	  /* times that it was sent all counters */
	bool full;	  /* in this round */
} bct_usage_keeper_t;

/* All zero: no round yet. */
typedef struct bct_usage_rounds {
	bct_usage_fleet_t fleet;
	uint64_t marks[BCT_USAGE_SENDS]; /* changes at the beginning of the last rounds */
	uint64_t rounds;
	uint64_t from; /* of the current round: earlier changes have been sent often enough */
	bct_usage_keeper_t keepers[BCT_USAGE_KEEPERS_MAX];
	uint32_t n_keepers;
	bool is_keeper; /* this node */
	uint64_t window;
	bct_time_t window_since;
	bool ended_sent; /* the window before */
	bool gone_sent;	 /* the counters of nodes that are not live, for the second time */
	bool send_ended; /* in this round: the window before */
	bool send_gone;	 /* in this round: the counters of nodes that are not live */
} bct_usage_rounds_t;

/* bct_usage_round_begin(3): begins a round, in the current window. */
void bct_usage_round_begin(bct_usage_rounds_t *r, bct_time_t now, const bct_usage_t *u,
			   const bct_usage_fleet_t *fleet, uint64_t window);

/* Position among the items of one keeper; all zero at first. */
typedef struct bct_usage_round_pos {
	uint32_t step;
	uint64_t at;
	uint64_t skipped; /* incarnation that is live; 0: none */
} bct_usage_round_pos_t;

/*
 * bct_usage_round_next(3): the next item that the round sends to a keeper.
 *
 * keeper   index of the keeper
 * returns  false: there are no more
 */
bool bct_usage_round_next(const bct_usage_rounds_t *r, const bct_usage_t *u, uint32_t keeper,
			  bct_usage_round_pos_t *pos, bct_usage_item_t *out);

#endif
