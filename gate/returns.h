/*
 * returns.h - refused callers that come back: their promises, see policy/gate_returns.h, kept with
 * those of the other nodes. Nothing is promised unless the setting gate.expect_returns is set.
 */
#ifndef BCT_GATE_RETURNS_H
#define BCT_GATE_RETURNS_H

#include "gate/gate_int.h"

/* bct_returns_take(3): whether the request was refused before and promised room for now. */
bool bct_returns_take(bct_exchange_t *x, bct_time_t now);

/*
 * bct_returns_reserved_ms(3): how much later a request that comes for the first time gets its turn
 * because of promises.
 */
uint32_t bct_returns_reserved_ms(bct_exchange_t *x, bct_time_t now);

/*
 * bct_returns_book(3): books room for a request that is refused and tells the other nodes.
 *
 * earliest_ms  from now, when it may be sent
 * returns      when it should come back, in ms from now; 0: nothing is promised
 */
uint32_t bct_returns_book(bct_exchange_t *x, bct_time_t now, uint32_t earliest_ms);

#endif
