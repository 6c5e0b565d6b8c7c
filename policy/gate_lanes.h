/*
 * gate_lanes.h - keeps long prompts off the engines that run tight streams. Pure.
 *
 * The load it answers: a burst of long prompts beside short streams. An engine reads prompts in
 * chunks between the tokens of everything that runs there, so each long prompt stalls every stream
 * on its engine. Requests are grouped by the longest pause between events that they allow; each
 * group gets a run of engines ("lane") in proportion to the work that it brings. The order of the
 * engines follows from their ids alone, and all nodes see a sample of the same traffic, so they
 * agree on the lanes without talk. A lane is a preference: the cost of leaving it is finite.
 */
#ifndef BCT_POLICY_GATE_LANES_H
#define BCT_POLICY_GATE_LANES_H

#include "base/clock.h"

#include <stdint.h>

#define BCT_GATE_LANES 4

typedef struct bct_gate_lane {
	uint32_t gap_ms;    /* requests that allow this pause; tighter lanes first */
	double work;	    /* ms of engine time a second that this node sends, moving average */
	uint32_t peer_work; /* that the other nodes say they send */
	double new_work_ms; /* since the last update */
	uint32_t first;	    /* index of its first engine */
	uint32_t n;	    /* engines; 0: none, all lanes share all */
} bct_gate_lane_t;

typedef struct bct_gate_lanes {
	bct_gate_lane_t lanes[BCT_GATE_LANES];
	uint32_t n;
	uint32_t engines; /* that the lanes were cut for */
	bct_time_t updated;
} bct_gate_lanes_t;

/* bct_gate_lanes_add_work(3): a request that allows this pause brings so much engine time. */
void bct_gate_lanes_add_work(bct_gate_lanes_t *l, uint32_t gap_ms, uint32_t work_ms);

/*
 * bct_gate_lanes_update(3): cut the lanes anew; called at every choice, works once a second.
 *
 * engines  that take work now
 */
void bct_gate_lanes_update(bct_gate_lanes_t *l, bct_time_t now, uint32_t engines);

/* bct_gate_lanes_find(3): the lane of a pause; it is made when there is none. */
bct_gate_lane_t *bct_gate_lanes_find(bct_gate_lanes_t *l, uint32_t gap_ms);

/*
 * bct_gate_lanes_distance(3): how many lanes an engine lies off the request's own.
 *
 * position  of the engine in the common order
 * returns   0 in its own lane, positive in lanes for longer pauses, negative in tighter ones
 */
int32_t bct_gate_lanes_distance(const bct_gate_lanes_t *l, uint32_t gap_ms, uint32_t position);

#endif
