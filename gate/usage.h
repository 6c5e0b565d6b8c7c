/*
 * usage.h - counts the requests of client accounts that begin to run and exchanges the counters
 * with the other nodes, see policy/usage.h and policy/usage_round.h; and the estimate of true time,
 * see policy/true_time.h. Event loop only.
 */
#ifndef BCT_GATE_USAGE_H
#define BCT_GATE_USAGE_H

#include "gate/gate_int.h"
#include "policy/usage.h"

/* bct_gate_usage_new(3): after the gate's share. returns 0, -BCT_EINVAL or -BCT_ENOMEM. */
int bct_gate_usage_new(bct_gate_t *g, bct_gate_usage_t **out);
void bct_gate_usage_free(bct_gate_usage_t *s);

/* bct_gate_usage_tick(3): follow the clock and exchange counters; to be called periodically. */
void bct_gate_usage_tick(bct_gate_usage_t *s);

/* bct_gate_usage_counters(3): of this node, and those that it was sent. */
bct_usage_t *bct_gate_usage_counters(bct_gate_usage_t *s);

/* bct_gate_usage_window(3): number of the current window. */
uint64_t bct_gate_usage_window(const bct_gate_usage_t *s, bct_time_t now);

/* bct_gate_usage_true_time(3): estimate of the time of day, in ms since the start of 1970. */
bct_time_t bct_gate_usage_true_time(const bct_gate_usage_t *s, bct_time_t now);

/*
 * bct_gate_usage_set_holder(3): the holder of the duties, which counters are sent to as well.
 *
 * incarnation  0: none is known
 */
void bct_gate_usage_set_holder(bct_gate_usage_t *s, uint64_t incarnation);

/*
 * bct_gate_usage_began(3): a request that arrived at this node from its caller began to run.
 * Does nothing if the gate does not count usage.
 *
 * account  NULL: not counted
 */
void bct_gate_usage_began(bct_gate_t *g, const char *account);

#endif
