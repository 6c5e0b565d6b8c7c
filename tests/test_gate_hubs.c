/*
 * test_gate_hubs.c - who tells whom in large fleets.
 */
#include "base/hash.h"
#include "policy/gate_hubs.h"

#include <criterion/criterion.h>
#include <string.h>

#define NODES 350
#define FLEET 75
#define UPSTREAM 7
#define KEEP_MS 500

static uint64_t nodes[NODES + 1];

static void name_nodes(void)
{
	for (uint64_t i = 0; i <= NODES; i++)
		nodes[i] = bct_hash_mix(i, 1);
}

/* All nodes choose the same hubs, each node has one, and no hub has far more than its share. */
Test(gate_hubs, all_agree, .init = name_nodes)
{
	static const uint32_t sizes[] = { 1, 2, 13, 75, NODES };

	for (uint32_t k = 0; k < 5; k++) {
		uint32_t n = sizes[k], of[BCT_GATE_HUBS_MAX] = { 0 };
		bct_gate_hubs_t first, h;

		bct_gate_hubs_choose(&first, nodes, n, nodes[0]);
		cr_assert_geq(first.n * first.n, n);
		cr_assert_lt((first.n - 1) * (first.n - 1), n);
		for (uint32_t i = 0; i < n; i++) {
			bct_gate_hubs_choose(&h, nodes, n, nodes[i]);
			cr_assert_arr_eq(h.hubs, first.hubs, sizeof(h.hubs));
			cr_assert(bct_gate_hubs_has(&h, h.local_hub));
			cr_assert_eq(h.local_hub == nodes[i], bct_gate_hubs_has(&h, nodes[i]));
			for (uint32_t j = 0; j < h.n; j++)
				of[j] += h.local_hub == h.hubs[j];
		}
		for (uint32_t j = 0; j < first.n; j++)
			cr_assert_leq(of[j], 3 * first.n, "%u nodes at one of %u hubs", of[j],
				      first.n);
	}
}

/* A roll of the fleet: a node that comes or goes moves only few others to another hub. */
Test(gate_hubs, churn_moves_few, .init = name_nodes)
{
	uint32_t moved = 0;

	for (uint32_t gone = 0; gone < 75; gone++) {
		uint64_t left[75];
		uint32_t n = 0;

		for (uint32_t i = 0; i < 75; i++) {
			if (i != gone)
				left[n++] = nodes[i];
		}
		for (uint32_t i = 0; i < n; i++) {
			bct_gate_hubs_t before, after;

			bct_gate_hubs_choose(&before, nodes, 75, left[i]);
			bct_gate_hubs_choose(&after, left, n, left[i]);
			moved += before.local_hub != after.local_hub;
		}
	}
	/*
	 * Only the going of a hub moves nodes: its own, and as many to the node that becomes a hub.
	 * Over all hubs that is each node twice; half as much again, as hubs are uneven.
	 */
	cr_assert_leq(moved, 75 * 3, "%u of %u moved", moved, 75 * 74);
}

/* One node of a fleet with its own load on one upstream and the sum of what it heard. */
typedef struct sim_node {
	bct_gate_hubs_t hubs;
	bct_gate_peers_t reports;
	uint32_t own;
	int32_t heard;
	bool dead;
} sim_node_t;

static sim_node_t fleet[FLEET];

static void add_up(void *ctx, uint64_t subject, const uint32_t *difference)
{
	(void)subject;
	((sim_node_t *)ctx)->heard += (int32_t)difference[0];
}

static void start_fleet(void)
{
	name_nodes();
	memset(fleet, 0, sizeof(fleet));
	for (uint32_t i = 0; i < FLEET; i++) {
		fleet[i].own = i + 1;
		bct_gate_peers_init(&fleet[i].reports, KEEP_MS, add_up, &fleet[i]);
		bct_gate_hubs_choose(&fleet[i].hubs, nodes, FLEET, nodes[i]);
	}
}

static void stop_fleet(void)
{
	for (uint32_t i = 0; i < FLEET; i++)
		bct_gate_peers_free(&fleet[i].reports);
}

static void tell(bct_time_t now, uint32_t from, uint32_t to, bct_gate_view_t view)
{
	sim_node_t *a = &fleet[from], *b = &fleet[to];
	bct_gate_peer_report_t r = { .peer = nodes[from], .subject = UPSTREAM };
	int64_t out[BCT_GATE_PEER_VALUES] = { 0 };
	int64_t heard = view == BCT_GATE_VIEW_LOCAL ? 0 : a->heard;

	bct_gate_hubs_excluded(&a->hubs, &a->reports, view, nodes[to], UPSTREAM, out);
	r.v[0] = (uint32_t)(a->own + heard - out[0]);
	if (!b->dead && bct_gate_hubs_accepts(&b->hubs, nodes[to], view, nodes[from]))
		bct_gate_peers_report(&b->reports, now, &r);
}

/* What one node tells in a round, as gate/share_load.c does. */
static void tell_round(bct_time_t now, uint32_t from)
{
	sim_node_t *a = &fleet[from];

	bct_gate_peers_sweep(&a->reports, now);
	for (uint32_t to = 0; to < FLEET; to++) {
		if (to == from)
			continue;
		if (a->hubs.local_hub != nodes[from]) {
			if (a->hubs.local_hub == nodes[to])
				tell(now, from, to, BCT_GATE_VIEW_LOCAL);
		} else if (bct_gate_hubs_has(&a->hubs, nodes[to])) {
			tell(now, from, to, BCT_GATE_VIEW_CLUSTER);
		} else if (bct_gate_hubs_of(&a->hubs, nodes[to]) == nodes[from]) {
			tell(now, from, to, BCT_GATE_VIEW_REST);
		}
	}
}

static bct_time_t run_rounds(bct_time_t now, uint32_t n)
{
	for (uint32_t r = 0; r < n; r++) {
		now += 50;
		for (uint32_t i = 0; i < FLEET; i++) {
			if (!fleet[i].dead)
				tell_round(now, i);
		}
	}
	return now;
}

static int32_t total(void)
{
	int32_t sum = 0;

	for (uint32_t i = 0; i < FLEET; i++)
		sum += fleet[i].dead ? 0 : (int32_t)fleet[i].own;
	return sum;
}

static void expect_exact(const char *when)
{
	for (uint32_t i = 0; i < FLEET; i++) {
		if (!fleet[i].dead)
			cr_assert_eq(fleet[i].heard, total() - (int32_t)fleet[i].own,
				     "%s: node %u heard %d", when, i, fleet[i].heard);
	}
}

/* Load of many nodes on one upstream: within three rounds each knows all of it, counted once. */
Test(gate_hubs, load_is_counted_once, .init = start_fleet, .fini = stop_fleet)
{
	bct_time_t now = run_rounds(0, 3);

	expect_exact("after three rounds");
	for (uint32_t i = 0; i < FLEET; i++)
		fleet[i].own = (i * 37) % 50;
	run_rounds(now, 3);
	expect_exact("after a change");
}

/* A hub dies, and nodes learn of it one after the other: in the end the sums are right again. */
Test(gate_hubs, a_hub_dies, .init = start_fleet, .fini = stop_fleet)
{
	bct_time_t now = run_rounds(0, 3);
	uint64_t left[FLEET];
	uint32_t n = 0, dead = 0;

	while (nodes[dead] != fleet[0].hubs.hubs[0])
		dead++;
	fleet[dead].dead = true;
	for (uint32_t i = 0; i < FLEET; i++) {
		if (i != dead)
			left[n++] = nodes[i];
	}
	for (uint32_t i = 0; i < FLEET; i++) {
		bct_gate_hubs_choose(&fleet[i].hubs, left, n, nodes[i]);
		now = run_rounds(now, 1);
	}
	run_rounds(now, KEEP_MS / 50 + 3);
	expect_exact("after a hub's death");
}

/* Hubs tell each other only what they read themselves: else an old answer would stay new. */
Test(gate_hubs, an_age_does_not_go_in_circles)
{
	cr_assert_eq(bct_gate_hubs_age_ms(BCT_GATE_VIEW_LOCAL, 9000, 300), 9000);
	cr_assert_eq(bct_gate_hubs_age_ms(BCT_GATE_VIEW_CLUSTER, 9000, 300), 9000);
	cr_assert_eq(bct_gate_hubs_age_ms(BCT_GATE_VIEW_REST, 9000, 300), 300);
}
