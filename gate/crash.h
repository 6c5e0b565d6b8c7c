/*
 * crash.h - tracks requests that crash upstreams: feeds policy/gate_crash.h with the results of
 * exchanges and with the reports of other nodes.
 */
#ifndef BCT_GATE_CRASH_H
#define BCT_GATE_CRASH_H

#include "gate/gate_int.h"

/* In a report, in place of the run of an upstream: the request was answered successfully. */
#define BCT_CRASH_ANSWERED 0

/*
 * bct_crash_digest(3): identifies a request across repeats by its caller, so the id and other
 * headers are left out. returns 0 while the head is not known.
 */
uint64_t bct_crash_digest(bct_exchange_t *x);

/* bct_crash_shared_part(3): the last part of x's prompt that other requests may share; 0: none. */
uint64_t bct_crash_shared_part(const bct_exchange_t *x);

/* bct_crash_connection_broken(3): record that the connection broke under x's current attempt. */
void bct_crash_connection_broken(bct_exchange_t *x);

/*
 * bct_crash_given_up(3): x's current attempt, if it has one, is about to be aborted although the
 * upstream may work on it; bct_crash_check_abandoned(3), to be called periodically, finds out
 * whether that upstream then crashed.
 */
void bct_crash_given_up(bct_exchange_t *x);
void bct_crash_check_abandoned(bct_gate_t *g);

/* bct_crash_answered(3): record that x was answered successfully. */
void bct_crash_answered(bct_exchange_t *x);

/*
 * bct_crash_peer_report(3): process another node's report of a crash of that run of an upstream
 * or, if run is BCT_CRASH_ANSWERED, of a successful answer.
 */
void bct_crash_peer_report(bct_gate_t *g, uint64_t digest, uint32_t run);

/* bct_crash_peer_block(3): another node refuses the request for remaining_ms from now on. */
void bct_crash_peer_block(bct_gate_t *g, uint64_t digest, uint32_t remaining_ms);

/*
 * bct_crash_remaining_ms(3): returns how much longer to refuse x, in ms; 0: it may run.
 * bct_crash_take_trial(3): whether x may run all the same, to find out whether it still does harm.
 */
uint32_t bct_crash_remaining_ms(bct_exchange_t *x);
bool bct_crash_take_trial(bct_exchange_t *x);

#endif
