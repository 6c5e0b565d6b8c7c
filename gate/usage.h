/*
 * usage.h - stub: counters of this node only, and the wall clock as the estimate of true time.
 */
#ifndef BCT_GATE_USAGE_H
#define BCT_GATE_USAGE_H

#include "gate/gate_int.h"
#include "policy/usage.h"

int bct_gate_usage_new(bct_gate_t *g, bct_gate_usage_t **out);
void bct_gate_usage_free(bct_gate_usage_t *s);
bct_usage_t *bct_gate_usage_counters(bct_gate_usage_t *s);
/* bct_gate_usage_window(3): the current window. */
uint64_t bct_gate_usage_window(const bct_gate_usage_t *s, bct_time_t now);
/* bct_gate_usage_true_time(3): ms since the start of 1970. */
bct_time_t bct_gate_usage_true_time(const bct_gate_usage_t *s, bct_time_t now);
void bct_gate_usage_set_holder(bct_gate_usage_t *s, uint64_t incarnation);

#endif
