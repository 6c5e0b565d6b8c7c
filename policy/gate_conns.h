/*
 * gate_conns.h - how many connections a node keeps open at its ports, and which one yields to a new
 * one. Pure: no I/O and no clock.
 *
 * Each connection costs a descriptor and memory, whatever its client does. Three eighths of the
 * descriptors are for callers, as upstreams, the registry and the node's own pages need the rest. A
 * client that opens many connections must not keep others out, so at the limit the connection that
 * is worth least ends, and not the new one: one that waits for nothing before one whose request is
 * on its way, and the one that has been so for longest. A request that is being handled never
 * yields.
 */
#ifndef BCT_POLICY_GATE_CONNS_H
#define BCT_POLICY_GATE_CONNS_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

/* Memory that one connection of a caller may need beyond what is counted as held. */
#define BCT_GATE_CONN_BYTES (96 * 1024)

/* In the order in which connections yield. */
typedef enum bct_gate_conn_state {
	BCT_GATE_CONN_CLOSING = 0, /* it was answered for the last time */
	BCT_GATE_CONN_IDLE,	   /* between requests, or before the first one */
	BCT_GATE_CONN_UNREAD,	   /* its client does not read the answer */
	BCT_GATE_CONN_PARTIAL,	   /* part of a request has come */
	BCT_GATE_CONN_BUSY,	   /* a request is being handled */
} bct_gate_conn_state_t;

typedef struct bct_gate_conn_rank {
	bct_gate_conn_state_t state;
	bct_time_t since;
} bct_gate_conn_rank_t;

typedef struct bct_gate_conn_opts {
	uint64_t memory_bytes;	  /* of the node; 0: not known */
	uint32_t descriptors;	  /* that the process may open */
	uint32_t max_connections; /* of callers; 0: as many as descriptors and memory allow */
	uint32_t max_local;	  /* at each address of the node's own pages; 0: as above */
} bct_gate_conn_opts_t;

typedef struct bct_gate_conn_limits {
	uint32_t callers;
	uint32_t nodes; /* that relay requests */
	uint32_t local;
} bct_gate_conn_limits_t;

/* bct_gate_conn_limits(3): connections at each kind of port, at least one. */
bct_gate_conn_limits_t bct_gate_conn_limits(const bct_gate_conn_opts_t *o);

/* bct_gate_conn_yields(3): whether a connection may end for a new one. */
static inline bool bct_gate_conn_yields(const bct_gate_conn_rank_t *r)
{
	return r->state != BCT_GATE_CONN_BUSY;
}

/* bct_gate_conn_before(3): whether a yields before b. */
bool bct_gate_conn_before(const bct_gate_conn_rank_t *a, const bct_gate_conn_rank_t *b);

#endif
