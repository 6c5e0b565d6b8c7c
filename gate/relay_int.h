/*
 * relay_int.h - internal interface between relay.c (requests through another node, seen from both)
 * and relay_nodes.c (the other nodes).
 */
#ifndef BCT_GATE_RELAY_INT_H
#define BCT_GATE_RELAY_INT_H

#include "gate/relay.h"
#include "gate/share.h"

/* Another node. The connections to it are those of an upstream that is not in the table. */
typedef struct bct_relay_helper {
	bct_gate_upstream_t node;
	uint64_t incarnation;
	bct_time_t failed_until;
	bool live;
} bct_relay_helper_t;

/* bct_relay_choose(3): a node that reaches the service, as far as is known, or NULL. */
bct_relay_helper_t *bct_relay_choose(bct_relay_t *r, uint64_t service_key);

/* bct_relay_choose_owner(3): a random owner of a brittle upstream that takes requests, or NULL. */
bct_relay_helper_t *bct_relay_choose_owner(bct_relay_t *r, const bct_gate_upstream_t *u);

#endif
