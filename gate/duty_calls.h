/*
 * duty_calls.h - two threads that make the blocking calls of the duties: one those to the record,
 * the other those to the control API, so that a slow API does not delay a renewal. Each makes one
 * call at a time.
 *
 * The event loop fills in a call and starts it; the call belongs to the thread until it is done.
 */
#ifndef BCT_GATE_DUTY_CALLS_H
#define BCT_GATE_DUTY_CALLS_H

#include "coord/control.h"
#include "gate/duty_record.h"
#include "policy/duty_lease.h"

#include <event2/event.h>

typedef struct bct_duty_calls bct_duty_calls_t;

/* A read or an append. */
typedef struct bct_duty_store_call {
	bct_duty_act_t act;
	bct_gate_position_t at; /* of an append */
	uint32_t timeout_ms;
	bct_buf_t record; /* to append; or what was read */
	int rc;
	bct_gate_position_t position;
	bct_gate_position_t end;
	bct_time_t took_ms;
} bct_duty_store_call_t;

/* A report or an order. */
typedef struct bct_duty_api_call {
	bct_duty_call_t call;
	bct_duty_report_t report; /* owned; of a report */
	char name[BCT_DUTY_NAME_BYTES];
	bct_time_t valid_until; /* of the lease; the call ends before */
	uint32_t timeout_ms;
	int rc; /* -BCT_ESTATE: it was not made, as the lease had ended */
	bct_time_t took_ms;
} bct_duty_api_call_t;

/*
 * bct_duty_calls_new(3): starts the threads.
 *
 * on_done  called in the event loop when calls are done
 * returns  0, -BCT_EIO or -BCT_ENOMEM
 */
int bct_duty_calls_new(bct_control_t *control, struct event_base *base, void (*on_done)(void *ctx),
		       void *ctx, bct_duty_calls_t **out);

/* bct_duty_calls_free(3): cancels calls in progress and ends the threads. NULL is allowed. */
void bct_duty_calls_free(bct_duty_calls_t *c);

/* bct_duty_calls_store(3), bct_duty_calls_api(3): the next call to fill in; NULL: one is running.
 */
bct_duty_store_call_t *bct_duty_calls_store(bct_duty_calls_t *c);
bct_duty_api_call_t *bct_duty_calls_api(bct_duty_calls_t *c);

void bct_duty_calls_start_store(bct_duty_calls_t *c);
void bct_duty_calls_start_api(bct_duty_calls_t *c);

/*
 * bct_duty_calls_done_store(3), bct_duty_calls_done_api(3): the call that was done; NULL: none. It
 * is valid until the next one is filled in.
 */
bct_duty_store_call_t *bct_duty_calls_done_store(bct_duty_calls_t *c);
bct_duty_api_call_t *bct_duty_calls_done_api(bct_duty_calls_t *c);

#endif
