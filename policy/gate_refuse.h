/*
 * gate_refuse.h - decides which requests to refuse while a service has more work than its engines
 * can do. Pure: no I/O and no clock.
 *
 * When demand exceeds capacity, a request is refused if its first byte is predicted so late that
 * the answer is of no use to the caller. The less urgent a request, the smaller the fraction of its
 * remaining time that it may wait. So the engines' queues hold mostly urgent work, and refused
 * requests are retried later. No request is refused at a predicted time at which less urgent work
 * of the same service is still sent.
 *
 * Upstreams start on more urgent requests first, so a request waits only for the part of the work
 * there that is as urgent or more. That part is estimated from the work that callers bring to this
 * node, by urgency; in the queues it is smaller, as urgent work leaves them first.
 */
#ifndef BCT_POLICY_GATE_REFUSE_H
#define BCT_POLICY_GATE_REFUSE_H

#include "base/clock.h"
#include "base/map.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_GATE_URGENCIES 8 /* classes of urgency that are distinguished */

typedef struct bct_gate_refuse {
	bct_map_t services; /* service key: service_t of gate_refuse.c */
} bct_gate_refuse_t;

/* What the decision about a request depends on. */
typedef struct bct_gate_refuse_input {
	uint64_t service_key;
	uint32_t rank;		/* 0: most urgent */
	uint32_t levels;	/* one more than the highest rank */
	uint32_t target_ms;	/* latency objective of the first byte */
	uint32_t remaining_ms;	/* that the caller will still wait */
	uint32_t delay_ms;	/* predicted time until the upstream has done all work it has */
	uint32_t first_byte_ms; /* predicted time to the first byte, after that delay */
	uint32_t work_ms;	/* upstream time that it takes to the first byte */
	uint32_t output_ms;	/* predicted time from the first byte to the end; 0: unknown */
	bool returning;		/* it was refused before, and promised room for now */
	bool over_share;	/* its account brings much more than usual, the others don't */
} bct_gate_refuse_input_t;

/* The decision and the figures that led to it. */
typedef struct bct_gate_refuse_decision {
	uint32_t retry_after_ms;    /* 0: send it; else refuse it, to be retried after this time */
	uint32_t limit_ms;	    /* longest predicted time to the first byte that is accepted */
	uint32_t overload_permille; /* how sustained the overload is */
	uint32_t ahead_permille;    /* of the work at upstreams that is not less urgent */
} bct_gate_refuse_decision_t;

void bct_gate_refuse_init(bct_gate_refuse_t *f);
void bct_gate_refuse_free(bct_gate_refuse_t *f);

/*
 * bct_gate_refuse(3): decides whether to refuse a request now. A request that is not refused counts
 * as sent.
 */
bct_gate_refuse_decision_t bct_gate_refuse(bct_gate_refuse_t *f, bct_time_t now,
					   const bct_gate_refuse_input_t *in);

#endif
