/*
 * gate_demand.h - the engines that callers' work needs, refused work included. Pure: no I/O and no
 * clock.
 *
 * The work of lanes (gate_lanes.h) is that of requests that were sent; requests that were refused
 * bring none. How much was refused is taken from this node's own requests of the last 5 s, as
 * callers are spread over the nodes. A caller that is refused tries again and is counted again, so
 * refusals multiply the demand by BCT_GATE_DEMAND_FACTOR_MAX at most.
 */
#ifndef BCT_POLICY_GATE_DEMAND_H
#define BCT_POLICY_GATE_DEMAND_H

#include "base/clock.h"
#include "base/map.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_GATE_DEMAND_FACTOR_MAX 3

typedef struct bct_gate_demand {
	bct_map_t services; /* service key: service_t of gate_demand.c */
} bct_gate_demand_t;

/* Sums over all nodes. */
typedef struct bct_gate_demand_input {
	uint64_t work_ms_per_s; /* of lanes: engine time */
	uint32_t running;	/* requests */
	uint32_t slots;		/* of one engine; 0: not known, and the slots in use don't count */
	uint32_t nodes;
} bct_gate_demand_input_t;

void bct_gate_demand_init(bct_gate_demand_t *d);
void bct_gate_demand_free(bct_gate_demand_t *d);

/* bct_gate_demand_sent(3): a request was sent for the first time. */
void bct_gate_demand_sent(bct_gate_demand_t *d, bct_time_t now, uint64_t service_key,
			  uint32_t work_ms);

/*
 * bct_gate_demand_refused(3): a request was refused for lack of capacity.
 *
 * sent  it had been sent; its work is counted
 */
void bct_gate_demand_refused(bct_gate_demand_t *d, bct_time_t now, uint64_t service_key,
			     uint32_t work_ms, bool sent);

/* bct_gate_demand_refused_permille(3): of this node's requests of the last 5 s. */
uint32_t bct_gate_demand_refused_permille(const bct_gate_demand_t *d, bct_time_t now,
					  uint64_t service_key);

/* bct_gate_demand_engines(3): returns the demand in engines / 1000. */
uint32_t bct_gate_demand_engines(const bct_gate_demand_t *d, bct_time_t now, uint64_t service_key,
				 const bct_gate_demand_input_t *in);

#endif
