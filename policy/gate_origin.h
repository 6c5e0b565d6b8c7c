/*
 * gate_origin.h - the software that began a stream. Upstreams of one service may run several
 * versions of their software; what two of them write does not fit together, and they do not check
 * that. Pure: no I/O and no clock.
 */
#ifndef BCT_POLICY_GATE_ORIGIN_H
#define BCT_POLICY_GATE_ORIGIN_H

#include "policy/gate_upstreams.h"

/* Who wrote the first event of a stream. */
typedef struct bct_gate_origin {
	uint64_t release; /* see bct_gate_upstream_t; 0: unknown */
	uint32_t run;	  /* see bct_gate_upstream_run(3); 0: unknown */
} bct_gate_origin_t;

/*
 * bct_gate_origin_allows(3): whether a stream may go on at an upstream: the same run of it, or one
 * of the same service with the same version of the software. An unknown version is like no other.
 */
bool bct_gate_origin_allows(const bct_gate_origin_t *o, const bct_gate_upstream_t *u);

/*
 * bct_gate_origin_same_software(3): whether an upstream may use what another one keeps of a prompt;
 * not if they are known to run different versions.
 */
bool bct_gate_origin_same_software(const bct_gate_upstream_t *a, const bct_gate_upstream_t *b);

/* bct_gate_origin_of(3): the origin of a stream that begins at the upstream now. */
bct_gate_origin_t bct_gate_origin_of(const bct_gate_upstream_t *u);

/* bct_gate_entry_set_software(3): set the version of an upstream's software; "": unknown. */
void bct_gate_entry_set_software(bct_gate_entry_t *e, const char *version);

/* bct_gate_upstreams_software(3): the version of a release that a known upstream has, or "". */
const char *bct_gate_upstreams_software(const bct_gate_upstreams_t *t, uint64_t release);

#endif
