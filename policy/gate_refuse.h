/*
 * gate_refuse.h - who is refused when a service has more work than engines. Pure.
 *
 * The load it answers: demand past capacity, from kinds of request of unlike urgency. A request is
 * refused when its first byte is predicted so late that the caller gains nothing by it. The less
 * urgent a request, the smaller the part of its time that it may wait: so the engines' queues hold
 * mostly urgent work, and what is refused comes back later. Nothing is refused at a prediction at
 * which less urgent work of the same service is still sent.
 */
#ifndef BCT_POLICY_GATE_REFUSE_H
#define BCT_POLICY_GATE_REFUSE_H

#include "base/clock.h"
#include "base/map.h"

#include <stdint.h>

#define BCT_GATE_URGENCIES 8 /* steps of urgency that are told apart */

typedef struct bct_gate_refuse {
	bct_map_t services; /* service key: limits by urgency */
} bct_gate_refuse_t;

typedef struct bct_gate_refuse_input {
	uint64_t service_key;
	uint32_t rank;		/* 0: most urgent */
	uint32_t levels;	/* one more than the highest rank */
	uint32_t target_ms;	/* latency objective of the first byte */
	uint32_t remaining_ms;	/* that the caller will still wait */
	uint32_t delay_ms;	/* predicted time until the upstream turns to the request */
	uint32_t first_byte_ms; /* predicted time to the first byte */
} bct_gate_refuse_input_t;

/* What was decided, and from what. */
typedef struct bct_gate_refuse_decision {
	uint32_t retry_after_ms; /* 0: send it; else after how long the caller should come back */
	uint32_t limit_ms;	 /* the latest first byte at which it is sent */
	uint32_t overload_permille; /* how steady the overload is */
} bct_gate_refuse_decision_t;

void bct_gate_refuse_init(bct_gate_refuse_t *f);
void bct_gate_refuse_free(bct_gate_refuse_t *f);

/*
 * bct_gate_refuse(3): whether a request is to be refused now rather than sent. One that is to be
 * sent counts as sent.
 */
bct_gate_refuse_decision_t bct_gate_refuse(bct_gate_refuse_t *f, bct_time_t now,
					   const bct_gate_refuse_input_t *d);

#endif
