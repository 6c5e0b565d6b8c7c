/*
 * gate_origin.c - compares the software of upstreams with that which began a stream.
 */
#include "policy/gate_origin.h"

bool bct_gate_origin_allows(const bct_gate_origin_t *o, const bct_gate_upstream_t *u)
{
	if (o->release && u->release)
		return o->release == u->release;
	return o->run && o->run == bct_gate_upstream_run(u);
}

bool bct_gate_origin_same_software(const bct_gate_upstream_t *a, const bct_gate_upstream_t *b)
{
	return !a->release || !b->release || a->release == b->release;
}

bct_gate_origin_t bct_gate_origin_of(const bct_gate_upstream_t *u)
{
	return (bct_gate_origin_t){ .release = u->release, .run = bct_gate_upstream_run(u) };
}
