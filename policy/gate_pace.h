/*
 * gate_pace.h - how fast streams come, by service and allowed inter-token gap, to predict whether
 * the output of a request can end before its deadline. Pure: no I/O and no clock.
 *
 * An engine that prefills prompts all the time decodes many times as slowly as an idle one: under
 * sustained overload a long output can't end in time, however soon it begins. A request with such
 * an output would take engine time, memory and a slot until its deadline for nothing.
 */
#ifndef BCT_POLICY_GATE_PACE_H
#define BCT_POLICY_GATE_PACE_H

#include "base/clock.h"
#include "base/map.h"

#include <stdint.h>

/* Sums over recent streams, in which nodes tell each other the pace that they see. */
typedef enum bct_gate_pace_sum {
	BCT_GATE_PACE_MS = 0,	/* between events */
	BCT_GATE_PACE_EVENTS,	/* those events */
	BCT_GATE_PACE_TOKENS,	/* expected of complete streams */
	BCT_GATE_PACE_COMPLETE, /* events of the same streams */
	BCT_GATE_PACE_SUMS,	/* number of sums */
} bct_gate_pace_sum_t;

typedef struct bct_gate_pace {
	bct_map_t kinds; /* hash of service and gap: kind_t of gate_pace.c */
} bct_gate_pace_t;

/* Requests of one service that allow the same inter-token gap. */
typedef struct bct_gate_pace_kind {
	uint64_t service_key;
	uint32_t gap_ms;
} bct_gate_pace_kind_t;

void bct_gate_pace_init(bct_gate_pace_t *p);
void bct_gate_pace_free(bct_gate_pace_t *p);

/* bct_gate_pace_events(3): n events of a stream came ms after the ones before. */
void bct_gate_pace_events(bct_gate_pace_t *p, bct_time_t now, const bct_gate_pace_kind_t *k,
			  uint32_t n, uint32_t ms);

/* bct_gate_pace_complete(3): a stream ended after n events; tokens were expected of it. */
void bct_gate_pace_complete(bct_gate_pace_t *p, bct_time_t now, const bct_gate_pace_kind_t *k,
			    uint32_t n, uint32_t tokens);

/* bct_gate_pace_local(3): the sums over the streams of this node. */
void bct_gate_pace_local(bct_gate_pace_t *p, bct_time_t now, const bct_gate_pace_kind_t *k,
			 uint32_t sums[BCT_GATE_PACE_SUMS]);

/* bct_gate_pace_peers(3): the sums over the streams of the other nodes. */
void bct_gate_pace_peers(bct_gate_pace_t *p, bct_time_t now, const bct_gate_pace_kind_t *k,
			 uint32_t sums[BCT_GATE_PACE_SUMS]);

/*
 * bct_gate_pace_add_peer(3): adds a change of the sums of the other nodes.
 *
 * difference  BCT_GATE_PACE_SUMS values that wrap around
 */
void bct_gate_pace_add_peer(bct_gate_pace_t *p, bct_time_t now, const bct_gate_pace_kind_t *k,
			    const uint32_t *difference);

/*
 * bct_gate_pace_output_ms(3): predicts the time from the first event of a stream to its end.
 *
 * returns  ms; 0 if too few streams came lately
 */
uint32_t bct_gate_pace_output_ms(bct_gate_pace_t *p, bct_time_t now, const bct_gate_pace_kind_t *k,
				 uint32_t tokens);

#endif
