/*
 * gate_helpers.h - chooses the node through which a request goes whose own node reaches no
 * upstream. Pure: no I/O and no clock.
 *
 * Of two usable nodes drawn at random the one with less of this node's work is taken, and at about
 * the same load the one in the own failure domain. So no node gets all, and a domain that is cut
 * off as a whole, before its nodes have said so, costs one try, not one for each of them.
 */
#ifndef BCT_POLICY_GATE_HELPERS_H
#define BCT_POLICY_GATE_HELPERS_H

#include "base/rng.h"

#include <stdbool.h>
#include <stdint.h>

/* How much more work a node of the own failure domain may have than one of another. */
#define BCT_GATE_HELPERS_DOMAIN_REQUESTS 2

typedef struct bct_gate_helper {
	bool usable;	  /* live, not leaving, reaches the service and did not fail lately */
	bool same_domain; /* as this node */
	uint32_t running; /* requests of this node that go through it now */
} bct_gate_helper_t;

/* bct_gate_helpers_choose(3): returns an index below n, or -BCT_ENOT_FOUND if none is usable. */
int bct_gate_helpers_choose(bct_rng_t *rng, const bct_gate_helper_t *h, uint32_t n);

#endif
