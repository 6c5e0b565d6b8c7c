/*
 * duty_scale.h - what the holder of the scaling duty knows of a service's engines and demand.
 *
 * The demand is a sum over all nodes. Every node knows it, from the exchange of load (share.h):
 *
 *  - work of lanes: each node's moving average (half of a change is seen after about 1.2 s), sent
 *    in each round, with hubs over three steps of at least 50 ms each. It is computed at the
 *    engines' usual pace, and includes requests that were sent again, once for each time. A node
 *    that sends nothing counts for up to four times as long as its load does (2 s at least). The
 *    exchange carries eight lanes of all services together; work of further ones is this node's.
 *  - slots in use: requests of all nodes that run, one or two rounds old. Slow engines and streams
 *    are seen here. Only this sum is known for services that don't run engines.
 *  - refused requests: this node's own, see policy/gate_demand.h. Of n requests in 5 s, the share
 *    that is refused has a standard error of up to 1 / (2 sqrt n); with 89 nodes n is small.
 */
#ifndef BCT_GATE_DUTY_SCALE_H
#define BCT_GATE_DUTY_SCALE_H

#include "gate/gate_int.h"

/*
 * bct_duty_scale_input(3): the inputs of bct_autoscale_plan(3); called once a second. Engines in
 * failure domains that the configuration doesn't name are left out; their work is not.
 *
 * spot_refused  is left false: the caller knows the orders
 * returns       0, or -BCT_ENOT_FOUND if the service is not scaled
 */
int bct_duty_scale_input(bct_gate_t *g, const bct_gate_service_t *s, bct_time_t now,
			 bct_autoscale_input_t *out);

#endif
