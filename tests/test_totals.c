/*
 * test_totals.c - fleet totals while aggregators move, crash and become unreachable, in virtual
 * time.
 */
#include "base/err.h"
#include "bench/vnet.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#define SETTLE_MS 60000
#define KEY 4711

/* The value that each running node publishes, if any. The expected total is their plain sum. */
typedef struct model {
	int64_t value[VNET_NODES_MAX];
	bool published[VNET_NODES_MAX];
	bct_time_t next; /* time of the next publish of all nodes */
} model_t;

static void publish_all(vnet_t *net)
{
	model_t *m = net->ctx;

	if (net->now < m->next)
		return;
	m->next = net->now + 1000;
	for (uint32_t i = 0; i < net->n; i++) {
		vnode_t *n = &net->nodes[i];
		bct_item_t item = { .type = BCT_ITEM_TIER, .key = KEY, .key2 = 3 };

		if (!n->up || n->paused)
			continue;
		item.v[0] = m->value[i];
		item.v[1] = 1;
		cr_assert_eq(bct_totals_publish(n->totals, net->now, &item, m->published[i]), 0);
	}
}

/* A value is rounded to 1/2,048 four times on its way up and down. */
static bool close_to(int64_t v, int64_t sum)
{
	return llabs(v - sum) <= sum / 512;
}

static bool totals_match(vnet_t *net)
{
	model_t *m = net->ctx;
	int64_t sum = 0;
	uint32_t n = 0;

	for (uint32_t i = 0; i < net->n; i++) {
		if (net->nodes[i].up && m->published[i]) {
			sum += m->value[i];
			n++;
		}
	}
	for (uint32_t i = 0; i < net->n; i++) {
		bct_total_t t;

		if (!net->nodes[i].up || !m->published[i])
			continue;
		if (bct_totals_get(net->nodes[i].totals, net->now, BCT_ITEM_TIER, KEY, 3, &t) ||
		    t.nodes != n || !close_to(t.item.v[0], sum) || t.item.v[1] != n)
			return false;
	}
	return true;
}

static vnet_t *fleet(uint64_t seed, uint32_t n, model_t *m)
{
	vnet_t *net = vnet_new(seed);

	memset(m, 0, sizeof(*m));
	for (uint32_t i = 0; i < n; i++) {
		m->value[i] = 100 + i;
		m->published[i] = true;
	}
	net->ctx = m;
	net->check = publish_all;
	vnet_start_all(net, n);
	cr_assert_geq(vnet_run_until(net, vnet_converged, SETTLE_MS), 0);
	cr_assert_geq(vnet_run_until(net, totals_match, SETTLE_MS), 0, "n %u", n);
	return net;
}

Test(totals, equal_the_sum_with_one_and_two_levels)
{
	for (uint32_t n = 1; n <= 64; n *= 4) {
		model_t m;
		vnet_t *net = fleet(n, n, &m);

		for (uint32_t i = 0; i < n; i++)
			m.value[i] = 1000 * i;
		cr_assert_geq(vnet_run_until(net, totals_match, 20000), 0, "n %u", n);
		vnet_free(net);
	}
}

Test(totals, withdrawn_and_dead_partials_leave_the_sum)
{
	model_t m;
	vnet_t *net = fleet(2, 7, &m);

	m.published[1] = false;
	cr_assert_geq(vnet_run_until(net, totals_match, 10000), 0);
	vnet_crash(net, 2);
	cr_assert_geq(vnet_run_until(net, totals_match, 30000), 0);
	vnet_leave(net, 3);
	vnet_run(net, 5000);
	cr_assert_geq(vnet_run_until(net, totals_match, 10000), 0, "a leaving node still counts");
	vnet_free(net);
}

static uint32_t age_at(vnet_t *net, uint32_t i)
{
	bct_total_t t;

	cr_assert_eq(bct_totals_get(net->nodes[i].totals, net->now, BCT_ITEM_TIER, KEY, 3, &t), 0);
	return t.age_ms;
}

Test(totals, age_grows_while_all_datagrams_are_lost_and_recovers)
{
	model_t m;
	vnet_t *net = fleet(3, 7, &m);
	uint32_t before;

	vnet_run(net, 10000);
	cr_assert_leq(age_at(net, 1), 12000);
	/* All datagrams are lost, but too briefly for membership to react: only totals are late. */
	net->loss_permille = 1000;
	vnet_run(net, 1500);
	before = age_at(net, 1);
	vnet_run(net, 1000);
	cr_assert_geq(age_at(net, 1), before + 1000);
	net->loss_permille = 0;
	cr_assert_geq(vnet_run_until(net, vnet_converged, SETTLE_MS), 0);
	cr_assert_geq(vnet_run_until(net, totals_match, SETTLE_MS), 0);
	vnet_free(net);
}

Test(totals, survive_the_crash_of_any_aggregator)
{
	for (uint32_t victim = 0; victim < 9; victim++) {
		model_t m;
		vnet_t *net = fleet(victim + 20, 9, &m);

		vnet_crash(net, victim);
		cr_assert_geq(vnet_run_until(net, totals_match, 30000), 0, "victim %u", victim);
		vnet_free(net);
	}
}

Test(totals, each_side_of_a_partition_has_its_own_total)
{
	model_t m;
	vnet_t *net = fleet(5, 8, &m);
	bct_total_t t;

	vnet_partition(net, 4, true, true);
	vnet_run(net, 40000);
	cr_assert_eq(bct_totals_get(net->nodes[0].totals, net->now, BCT_ITEM_TIER, KEY, 3, &t), 0);
	cr_assert_eq(t.nodes, 4);
	cr_assert_eq(t.item.v[0], 100 + 101 + 102 + 103);
	vnet_partition(net, 4, false, false);
	cr_assert_geq(vnet_run_until(net, vnet_converged, SETTLE_MS), 0);
	cr_assert_geq(vnet_run_until(net, totals_match, SETTLE_MS), 0);
	vnet_free(net);
}

static void random_fault(vnet_t *net, model_t *m, bct_rng_t *rng)
{
	uint32_t i = 1 + bct_rng_below(rng, net->n - 1);

	switch (bct_rng_below(rng, 6)) {
	case 0:
		vnet_crash(net, i);
		break;
	case 1:
		vnet_start(net, i, 0);
		break;
	case 2:
		vnet_pause(net, i, net->nodes[i].up && !net->nodes[i].paused);
		break;
	case 3:
		m->published[i] = !m->published[i];
		break;
	case 4:
		vnet_partition(net, i, bct_rng_below(rng, 2), bct_rng_below(rng, 2));
		break;
	default:
		net->loss_permille = bct_rng_below(rng, 300);
		net->duplicate_permille = bct_rng_below(rng, 300);
		net->delay_max_ms = 1 + bct_rng_below(rng, 300);
		break;
	}
	m->value[i] = bct_rng_below(rng, 100000);
}

Test(totals, converge_to_the_sum_after_any_mix_of_faults)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		model_t m;
		vnet_t *net = fleet(seed, 25, &m);
		bct_rng_t rng;

		bct_rng_seed(&rng, seed * 17);
		for (int i = 0; i < 20; i++) {
			vnet_run(net, bct_rng_below(&rng, 2500));
			random_fault(net, &m, &rng);
		}
		memset(net->blocked, 0, sizeof(net->blocked));
		net->loss_permille = 0;
		net->duplicate_permille = 0;
		net->delay_max_ms = 1;
		for (uint32_t i = 0; i < net->n; i++)
			net->nodes[i].paused = false;
		cr_assert_geq(vnet_run_until(net, vnet_converged, 2 * SETTLE_MS), 0, "seed %lu",
			      seed);
		cr_assert_geq(vnet_run_until(net, totals_match, SETTLE_MS), 0, "seed %lu", seed);
		cr_assert_leq(net->max_datagram_bytes, BCT_DATAGRAM_BYTES);
		vnet_free(net);
	}
}

Test(totals, sending_stays_within_the_byte_budget)
{
	vnet_t *net = vnet_new(9);
	bct_item_t items[600];
	uint64_t before;

	vnet_start_all(net, 4);
	cr_assert_geq(vnet_run_until(net, vnet_converged, SETTLE_MS), 0);
	before = net->nodes[1].sent_bytes;
	for (int s = 0; s < 60; s++) {
		for (uint32_t i = 0; i < 600; i++)
			items[i] = (bct_item_t){ .type = BCT_ITEM_ACCOUNT,
						 .key = i + 1,
						 .v = { s * 1000 + i } };
		for (uint32_t i = 0; i < 4; i++)
			cr_assert_eq(bct_totals_publish(net->nodes[i].totals, net->now, items, 600),
				     0);
		vnet_run(net, 1000);
	}
	/* 4,000 bytes/s of totals with UDP and IP headers, 2 s of burst, and 1,000 bytes/s of
	 * probes. */
	cr_assert_leq(net->nodes[1].sent_bytes - before, (60 + 2) * 4000 + 60 * 1000);
	vnet_free(net);
}
