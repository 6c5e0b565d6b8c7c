/*
 * gate_conns.c - limits of connections, and the order in which they yield.
 */
#include "policy/gate_conns.h"

/* Shares of the descriptors, in 32nds. Each request of a caller or a node that is being handled
 * needs another one, for its upstream. */
#define PARTS 32
#define CALLERS_PARTS 12
#define NODES_PARTS 2
#define LOCAL_PARTS 1 /* each of three addresses */

static uint32_t least(uint64_t a, uint64_t b)
{
	uint64_t n = a < b ? a : b;

	return n > UINT32_MAX ? UINT32_MAX : n ? (uint32_t)n : 1;
}

bct_gate_conn_limits_t bct_gate_conn_limits(const bct_gate_conn_opts_t *o)
{
	uint64_t fit = o->memory_bytes ? o->memory_bytes / BCT_GATE_CONN_BYTES : UINT32_MAX;
	uint64_t part = o->descriptors / PARTS;
	bct_gate_conn_limits_t l = {
		.callers = least(part * CALLERS_PARTS, fit),
		.nodes = least(part * NODES_PARTS, fit),
		.local = least(part * LOCAL_PARTS, o->max_local ? o->max_local : UINT32_MAX),
	};

	if (o->max_connections && o->max_connections < l.callers)
		l.callers = o->max_connections;
	return l;
}

bool bct_gate_conn_before(const bct_gate_conn_rank_t *a, const bct_gate_conn_rank_t *b)
{
	return a->state != b->state ? a->state < b->state : a->since < b->since;
}
