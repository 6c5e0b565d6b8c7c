/*
 * test_gate_helpers.c - VMs that reach no upstream spread their requests over the others, without
 * network.
 */
#include "policy/gate_helpers.h"
#include "base/err.h"

#include <criterion/criterion.h>
#include <string.h>

#define NODES 195
#define DOMAINS 6

static bct_gate_helper_t nodes[NODES];
static bct_rng_t rng;

static void reset(uint32_t n)
{
	memset(nodes, 0, sizeof(nodes));
	bct_rng_seed(&rng, 7);
	for (uint32_t i = 0; i < n; i++)
		nodes[i] = (bct_gate_helper_t){ .usable = true, .same_domain = i % DOMAINS == 0 };
}

Test(gate_helpers, none_is_usable)
{
	reset(3);
	for (uint32_t i = 0; i < 3; i++)
		nodes[i].usable = false;
	cr_expect_eq(bct_gate_helpers_choose(&rng, nodes, 3), -BCT_ENOT_FOUND);
	cr_expect_eq(bct_gate_helpers_choose(&rng, nodes, 0), -BCT_ENOT_FOUND);
}

/* Requests that stay: no helper has much more than its part, and none that is not usable gets any.
 */
static void assert_spread(uint32_t n, uint32_t requests)
{
	uint32_t most = 0;

	reset(n);
	nodes[1].usable = false;
	for (uint32_t i = 0; i < requests; i++) {
		int at = bct_gate_helpers_choose(&rng, nodes, n);

		cr_assert_geq(at, 0);
		nodes[at].running++;
	}
	for (uint32_t i = 0; i < n; i++)
		most = nodes[i].running > most ? nodes[i].running : most;
	cr_expect_eq(nodes[1].running, 0);
	/* Twice its part, and what the preference for the own domain adds. */
	cr_expect_leq(most, 2 * requests / (n - 1) + 2 * BCT_GATE_HELPERS_DOMAIN_REQUESTS + 2);
}

Test(gate_helpers, never_all_on_one)
{
	assert_spread(6, 60);
	assert_spread(74, 200);
	assert_spread(NODES, 400);
}

/* With little to do, the own failure domain is preferred: fewer bytes between domains. */
Test(gate_helpers, the_own_domain_first)
{
	uint32_t same = 0;

	reset(NODES);
	for (uint32_t i = 0; i < 6000; i++)
		same += nodes[bct_gate_helpers_choose(&rng, nodes, NODES)].same_domain;
	/* A sixth of the nodes; two draws find one with a chance of 0.31. */
	cr_expect_gt(same, 6000 / DOMAINS * 3 / 2);
}

/* A whole domain is cut off and has not said so: three tries are enough for nearly all. */
Test(gate_helpers, a_domain_that_is_cut_off_is_found_out)
{
	uint32_t lost = 0;

	for (uint32_t i = 0; i < 1000; i++) {
		bool served = false;

		reset(NODES);
		bct_rng_seed(&rng, i);
		for (int tries = 0; tries < 3 && !served; tries++) {
			int at = bct_gate_helpers_choose(&rng, nodes, NODES);

			served = !nodes[at].same_domain;
			nodes[at].usable = false;
		}
		lost += !served;
	}
	cr_expect_lt(lost, 100, "%u of 1000", lost);
}
