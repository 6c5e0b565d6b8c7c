/*
 * gate_lanes.h - keeps long prompts off the engines that run latency-sensitive streams. Pure: no
 * I/O and no clock.
 *
 * An engine prefills prompts in chunks between the tokens of all streams that it runs, so a burst
 * of long prompts stalls every stream on the engines that it reaches. Requests are grouped by the
 * longest inter-token gap that they allow; each group gets a contiguous range of engines (a lane)
 * in proportion to the work that it brings. The order of the engines depends on their ids only, and
 * every node sees a sample of the same traffic, so nodes arrive at about the same lanes without
 * coordination. A lane is a preference: leaving it has a finite cost.
 */
#ifndef BCT_POLICY_GATE_LANES_H
#define BCT_POLICY_GATE_LANES_H

#include "base/clock.h"

#include <stdint.h>

#define BCT_GATE_LANES 4 /* of one service; further gaps share the nearest lane */

typedef struct bct_gate_lane {
	uint32_t gap_ms;    /* inter-token gap that its requests allow; lanes ascend by it */
	double work;	    /* engine time that this node sends, in ms per s; moving average */
	uint32_t peer_work; /* the same, as the other nodes report it */
	double new_work_ms; /* engine time sent since the last update */
	uint32_t first;	    /* position of its first engine */
	uint32_t n;	    /* engines; 0: a single lane or too few engines; all are shared */
} bct_gate_lane_t;

typedef struct bct_gate_lanes {
	bct_gate_lane_t lanes[BCT_GATE_LANES];
	uint32_t n;
	uint32_t engines;   /* number of engines at the last update */
	bct_time_t updated; /* 0: update the averages at the next call */
} bct_gate_lanes_t;

/* bct_gate_lanes_add_work(3): counts engine time that a request with this gap brings. */
void bct_gate_lanes_add_work(bct_gate_lanes_t *l, uint32_t gap_ms, uint32_t work_ms);

/*
 * bct_gate_lanes_update(3): reassigns engines to lanes. To be called at every choice of an engine;
 * does nothing until the update interval has passed or the number of engines has changed.
 *
 * engines  number of engines that accept requests now
 */
void bct_gate_lanes_update(bct_gate_lanes_t *l, bct_time_t now, uint32_t engines);

/*
 * bct_gate_lanes_find(3): returns the lane of an inter-token gap, which is added if there is none.
 * When there are BCT_GATE_LANES already, returns the lane of the next longer gap, or the last one.
 */
bct_gate_lane_t *bct_gate_lanes_find(bct_gate_lanes_t *l, uint32_t gap_ms);

/*
 * bct_gate_lanes_distance(3): computes how many lanes an engine is away from the request's lane.
 *
 * position  of the engine in the order that all nodes share
 * returns   0 in the request's lane, positive in lanes for longer gaps, negative for shorter ones
 */
int32_t bct_gate_lanes_distance(const bct_gate_lanes_t *l, uint32_t gap_ms, uint32_t position);

#endif
