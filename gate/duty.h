/*
 * duty.h - the duties that one node at a time does for the fleet: reports of usage and orders of
 * engines. Design: docs/design/duties-and-load.md.
 *
 * All functions are called in the event loop, and allow NULL: the fleet has no duties.
 */
#ifndef BCT_GATE_DUTY_H
#define BCT_GATE_DUTY_H

#include "gate/gate_int.h"

/* bct_duty_new(3): starts the threads that make the calls. returns 0, -BCT_EIO or -BCT_ENOMEM. */
int bct_duty_new(bct_gate_t *g, bct_duty_t **out);

/* bct_duty_free(3): cancels calls in progress and ends the threads. */
void bct_duty_free(bct_duty_t *d);

void bct_duty_tick(bct_duty_t *d);

/* bct_duty_stopped(3): no lease is held and no call that matters is in progress: it may exit. */
bool bct_duty_stopped(const bct_duty_t *d);

/* bct_duty_print(3): appends metrics: holder, fencing token, windows, engines. */
void bct_duty_print(const bct_duty_t *d, bct_buf_t *out);

#endif
