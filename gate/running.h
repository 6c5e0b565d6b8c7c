/*
 * running.h - whether this process ran all the time, and for how long it still will: after a
 * suspension it may not use what its peers granted it, and near its stop it takes on no long work.
 */
#ifndef BCT_GATE_RUNNING_H
#define BCT_GATE_RUNNING_H

#include "gate/gate_int.h"

/*
 * bct_gate_check_resumed(3): to be called before this node uses what its peers grant it (parts of
 * limits, trials): they may have divided it among themselves while this process did not run. It
 * then does without for as long as it takes to hear of that.
 */
void bct_gate_check_resumed(bct_gate_t *g);
/* bct_gate_is_resuming(3): whether that is so now. */
bool bct_gate_is_resuming(const bct_gate_t *g);

/* bct_gate_addresses_expired(3): whether, in a planned stop, no caller uses this node any more. */
bool bct_gate_addresses_expired(const bct_gate_t *g);
/* bct_gate_stop_deadline_ms(3): returns the time from the begin of a planned stop to its end. */
bct_time_t bct_gate_stop_deadline_ms(const bct_gate_t *g);

/*
 * bct_gate_takes_on(3): whether a request that may last until deadline is taken on: always, unless
 * the node stops and callers have had the time to go elsewhere; then only if it ends before the
 * node.
 */
bool bct_gate_takes_on(const bct_gate_t *g, bct_time_t deadline);

#endif
