/*
 * reach.h - whether this node reaches the upstreams of each service: feeds policy/gate_reach.h with
 * the results of connections, and probes upstreams while it does not.
 */
#ifndef BCT_GATE_REACH_H
#define BCT_GATE_REACH_H

#include "gate/gate_int.h"

/*
 * bct_reach_failed(3): u could not be connected to, or does not acknowledge what is sent to it.
 * bct_reach_doubted(3): a connection to u broke, or u was silent, before it had answered.
 * bct_reach_ok(3): a connection to u, opened at that time, was established or delivered bytes.
 */
void bct_reach_failed(bct_gate_t *g, const bct_gate_upstream_t *u);
void bct_reach_doubted(bct_gate_t *g, const bct_gate_upstream_t *u);
void bct_reach_ok(bct_gate_t *g, const bct_gate_upstream_t *u, bct_time_t opened);

/* bct_reach_is_cut(3): whether this node reaches no upstream of the service. */
bool bct_reach_is_cut(const bct_gate_t *g, uint64_t service_key);

/*
 * bct_reach_suspects(3): whether open connections to u may be dead without having been closed, so
 * that a new one is safer: what is sent on it can't get lost unnoticed.
 */
bool bct_reach_suspects(const bct_gate_t *g, const bct_gate_upstream_t *u);

/* bct_reach_upstreams(3): returns the number of upstreams of a service that accept requests. */
uint32_t bct_reach_upstreams(const bct_gate_t *g, uint64_t service_key);

/* reach_probe.c */
/* bct_reach_tick(3): probe what is not reached; to be called periodically. */
void bct_reach_tick(bct_gate_t *g);

#endif
