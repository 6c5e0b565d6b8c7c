/*
 * crash.h - ties policy/gate_crash to exchanges and to the news of the other nodes.
 */
#ifndef BCT_GATE_CRASH_H
#define BCT_GATE_CRASH_H

#include "gate/gate_int.h"

/* In news, in place of an upstream: the request was answered well. */
#define BCT_CRASH_ANSWERED 0

/* bct_crash_connection_broken(3): the connection of x's attempt broke. */
void bct_crash_connection_broken(bct_exchange_t *x);

/* bct_crash_answered(3): x was answered well. */
void bct_crash_answered(bct_exchange_t *x);

/* bct_crash_peer_report(3): another node saw a crash, or an answer. */
void bct_crash_peer_report(bct_gate_t *g, uint64_t digest, uint32_t upstream);

/* bct_crash_remaining_ms(3): for how many ms x is to be refused; 0: it may run. */
uint32_t bct_crash_remaining_ms(const bct_exchange_t *x);

#endif
