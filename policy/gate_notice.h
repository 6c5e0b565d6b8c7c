/*
 * gate_notice.h - what an upstream states about itself in its answers. Pure: no I/O and no clock.
 */
#ifndef BCT_POLICY_GATE_NOTICE_H
#define BCT_POLICY_GATE_NOTICE_H

#include <stdbool.h>
#include <stdint.h>

/* The statements of one answer. */
typedef struct bct_gate_notice {
	bool limits;	     /* it names the rate at which it accepts requests */
	uint32_t limit_mrps; /* that rate, from all nodes together, in requests per 1000 s */
	bool leaves;	     /* it is about to end and accepts no new requests */
	uint32_t pause_ms;   /* for so long it accepts no requests from the receiver; 0: none */
	bool brittle;	/* it falls over if it has to turn away more requests in a second than */
	uint32_t bears; /* this many */
	bool malformed; /* a statement could not be read; it is left out */
} bct_gate_notice_t;

#endif
