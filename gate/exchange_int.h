/*
 * exchange_int.h - between the parts of an exchange: admission and time limits in exchange.c, the
 * choice of an upstream in dispatch.c, what upstreams answer in attempt.c, ends in exchange_end.c.
 */
#ifndef BCT_GATE_EXCHANGE_INT_H
#define BCT_GATE_EXCHANGE_INT_H

#include "gate/gate_int.h"

/* bct_exchange_dispatch(3): choose an upstream and send; ends the request if there is none. */
void bct_exchange_dispatch(bct_exchange_t *x);
bool bct_exchange_may_resend(bct_exchange_t *x);
void bct_exchange_silent(bct_exchange_t *x);
void bct_exchange_set_timer(bct_exchange_t *x);

/* bct_exchange_drop_attempt(3), bct_exchange_keep_attempt(3): the attempt is over; its connection
 * is closed, or kept for another request. */
void bct_exchange_drop_attempt(bct_exchange_t *x);
void bct_exchange_keep_attempt(bct_exchange_t *x);

/* bct_exchange_until(3): when the request's time is over, for its caller or by its route. */
static inline bct_time_t bct_exchange_until(const bct_exchange_t *x)
{
	return x->caller_deadline < x->route_deadline ? x->caller_deadline : x->route_deadline;
}

/* bct_exchange_free(3): without an answer or a log line; for the ends, and for a failed start. */
void bct_exchange_free(bct_exchange_t *x);

/* The ends. x is gone afterwards. */
void bct_exchange_out_of_time(bct_exchange_t *x);
void bct_exchange_end(bct_exchange_t *x, bct_gate_end_t end, bool cut);
void bct_exchange_refuse(bct_exchange_t *x, bct_gate_end_t end, const bct_answer_opts_t *o);
void bct_exchange_give_up(bct_exchange_t *x);

#endif
