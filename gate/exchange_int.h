/*
 * exchange_int.h - internal interface between the files that handle an exchange: exchange.c
 * (admission and time limits), dispatch.c (choice of an upstream, sending), attempt.c (upstream
 * responses and retries) and exchange_end.c (completion and error responses).
 */
#ifndef BCT_GATE_EXCHANGE_INT_H
#define BCT_GATE_EXCHANGE_INT_H

#include "gate/exchange.h"

/* bct_exchange_pace_kind(3): the streams whose pace is compared with this one's. */
static inline bct_gate_pace_kind_t bct_exchange_pace_kind(const bct_exchange_t *x)
{
	return (bct_gate_pace_kind_t){ x->query.service_key, x->query.gap_ms };
}

/*
 * bct_exchange_dispatch(3): choose an upstream and send it the request.
 *
 * Ends the exchange with an error response when the deadline has passed, the request is shed, or no
 * upstream can take it; x may be freed on return.
 */
void bct_exchange_dispatch(bct_exchange_t *x);

/*
 * bct_exchange_take_retry(3): ask for permission to send the request once more.
 *
 * A permission is charged to the service's retry budget. returns false when the route's attempts
 * are used up, the caller has disconnected, the request may have run and is not repeatable, it is
 * blocked as crashing upstreams, or the budget is exhausted.
 */
bool bct_exchange_take_retry(bct_exchange_t *x);

/* bct_exchange_on_silence(3): the upstream sent nothing within the silence limit; retry if allowed,
 * otherwise keep waiting until the deadline. */
void bct_exchange_on_silence(bct_exchange_t *x);

/* bct_exchange_set_timer(3): arm the timer for the earlier of the deadline and the current limit of
 * the attempt: the connect timeout, then the silence limit. */
void bct_exchange_set_timer(bct_exchange_t *x);

/* bct_exchange_abort_attempt(3), bct_exchange_finish_attempt(3): end the current attempt and remove
 * its load from the upstream; abort closes the connection, finish returns it to the idle list if it
 * can be reused. Abort does nothing without an attempt. */
void bct_exchange_abort_attempt(bct_exchange_t *x);
void bct_exchange_finish_attempt(bct_exchange_t *x);

/* bct_exchange_deadline(3): returns the earlier of the caller's deadline and the route's. */
static inline bct_time_t bct_exchange_deadline(const bct_exchange_t *x)
{
	return x->caller_deadline < x->route_deadline ? x->caller_deadline : x->route_deadline;
}

/* Events of the connection that carries the current attempt, see bct_upconn_user_ops_t. */
extern const bct_upconn_user_ops_t bct_exchange_upconn_ops;
void bct_exchange_connected(bct_exchange_t *x);
void bct_exchange_fault(bct_exchange_t *x, bct_attempt_fault_t fault);

/* bct_exchange_flushed(3): little output to the caller is unsent; resume reading the answer. */
void bct_exchange_flushed(bct_exchange_t *x);

/* bct_exchange_free(3): release x without a response or a log record. Used by the functions that
 * end an exchange and when creating one fails. */
void bct_exchange_free(bct_exchange_t *x);

/*
 * Functions that end the exchange. All free x.
 *
 * bct_exchange_end(3)        log, count and free; truncated: the response to the caller is
 *                            incomplete, so its connection is closed
 * bct_exchange_refuse(3)     answer with o, or truncate the response if it has begun
 * bct_exchange_give_up(3)    answer 502 when the request may have run, otherwise 503
 * bct_exchange_timed_out(3)  answer 504 when the request may have run, otherwise 503
 */
void bct_exchange_timed_out(bct_exchange_t *x);
void bct_exchange_end(bct_exchange_t *x, bct_gate_end_t end, bool truncated);
void bct_exchange_refuse(bct_exchange_t *x, bct_gate_end_t end, const bct_answer_opts_t *o);
void bct_exchange_give_up(bct_exchange_t *x);
/* bct_exchange_abandon(3): end without an answer: the caller disconnected or this node stops. */
void bct_exchange_abandon(bct_exchange_t *x, bct_gate_end_t end);
/* bct_exchange_refuse_stopping(3): end with 503: this node stops, and the request was not run.
 * bct_exchange_stop(3): the same, but with 502 when it may have run; or truncate the response if it
 * has begun. */
void bct_exchange_refuse_stopping(bct_exchange_t *x);
void bct_exchange_stop(bct_exchange_t *x);
/* bct_exchange_drop_kept(3): end with 502: there is no room to keep its answer until it is whole.
 */
void bct_exchange_drop_kept(bct_exchange_t *x);

#endif
