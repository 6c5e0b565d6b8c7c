/*
 * gate_origin.c - compares the software of upstreams with that which began a stream.
 */
#include "policy/gate_origin.h"

bct_gate_origin_t bct_gate_origin_of(const bct_gate_upstream_t *u)
{
	return (bct_gate_origin_t){ .software_key = u->entry.software_key,
				    .run = bct_gate_upstream_run(u) };
}
