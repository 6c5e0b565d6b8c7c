/*
 * test_gate_hubs.c - the choice of hubs, and load reports through them in large fleets.
 */
#include "base/hash.h"
#include "policy/gate_hubs.h"

#include <criterion/criterion.h>
#include <string.h>

#define NODES 350
#define FLEET 75
#define UPSTREAM 7
#define KEEP_MS 500
#define SILENT_MS 300
#define KEEP_AT_NODES_MS 1500

static uint64_t nodes[NODES + 1];

static void name_nodes(void)
{
	for (uint64_t i = 0; i <= NODES; i++)
		nodes[i] = bct_hash_mix(i, 1);
}

/* Each node has one hub, and no hub has more than three times its share of the nodes. */
Test(gate_hubs, all_nodes_choose_the_same_hubs, .init = name_nodes)
{
	static const uint32_t sizes[] = { 1, 2, 13, 75, NODES };

	for (uint32_t k = 0; k < 5; k++) {
		uint32_t n = sizes[k], of[BCT_GATE_HUBS_MAX] = { 0 };
		bct_gate_hubs_t first = { 0 }, h = { 0 };

		bct_gate_hubs_choose(&first, 0, nodes, n, nodes[0]);
		cr_assert_geq(first.n * first.n, n);
		cr_assert_lt((first.n - 1) * (first.n - 1), n);
		for (uint32_t i = 0; i < n; i++) {
			bct_gate_hubs_choose(&h, 0, nodes, n, nodes[i]);
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

/* In a rolling restart of the fleet, a node that leaves moves only few others to another hub. */
Test(gate_hubs, churn_moves_few, .init = name_nodes)
{
	uint32_t moved = 0;

	for (uint32_t leaver = 0; leaver < 75; leaver++) {
		uint64_t live[75];
		uint32_t n = 0;

		for (uint32_t i = 0; i < 75; i++) {
			if (i != leaver)
				live[n++] = nodes[i];
		}
		for (uint32_t i = 0; i < n; i++) {
			bct_gate_hubs_t before = { 0 }, after = { 0 };

			bct_gate_hubs_choose(&before, 0, nodes, 75, live[i]);
			bct_gate_hubs_choose(&after, 0, live, n, live[i]);
			moved += before.local_hub != after.local_hub;
		}
	}
	/*
	 * Only a hub that leaves moves nodes: its own, and about as many to the node that becomes a
	 * hub. Over all hubs that is each node twice; the bound is half as much again, because the
	 * sizes of clusters vary.
	 */
	cr_assert_leq(moved, 75 * 3, "%u of %u moved", moved, 75 * 74);
}

/* One node of a fleet: the load that it places on an upstream, and the sum it received. */
typedef struct sim_node {
	bct_gate_hubs_t hubs;
	bct_gate_peers_t reports;
	uint64_t previous_hub; /* as bct_share.previous_hub */
	uint32_t load;
	int32_t received;
	bool dead;
} sim_node_t;

static sim_node_t fleet[FLEET];

static void add_up(void *ctx, uint64_t subject, const uint32_t *difference)
{
	(void)subject;
	((sim_node_t *)ctx)->received += (int32_t)difference[0];
}

static void start_fleet(void)
{
	name_nodes();
	memset(fleet, 0, sizeof(fleet));
	for (uint32_t i = 0; i < FLEET; i++) {
		fleet[i].load = i + 1;
		bct_gate_peers_init(&fleet[i].reports, KEEP_MS, add_up, &fleet[i]);
		bct_gate_hubs_choose(&fleet[i].hubs, 0, nodes, FLEET, nodes[i]);
	}
}

static void stop_fleet(void)
{
	for (uint32_t i = 0; i < FLEET; i++)
		bct_gate_peers_free(&fleet[i].reports);
}

static void send_load(bct_time_t now, uint32_t from, uint32_t to, bct_gate_view_t view)
{
	sim_node_t *a = &fleet[from], *b = &fleet[to];
	bct_gate_peer_report_t r = { .peer = nodes[from], .subject = UPSTREAM };
	int64_t out[BCT_GATE_PEER_VALUES] = { 0 };
	int64_t received = view == BCT_GATE_VIEW_LOCAL ? 0 : a->received;

	bct_gate_hubs_excluded(&a->hubs, &a->reports, view, nodes[to], UPSTREAM, out);
	r.v[0] = (uint32_t)(a->load + received - out[0]);
	if (b->dead)
		return;
	bct_gate_hubs_heard(&b->hubs, now, nodes[from]);
	if (!bct_gate_hubs_accepts(&b->hubs, nodes[to], view, nodes[from]))
		return;
	if (b->previous_hub && nodes[from] == b->hubs.local_hub) {
		bct_gate_peers_forget(&b->reports, b->previous_hub);
		b->previous_hub = 0;
	}
	bct_gate_peers_report(&b->reports, now, &r);
}

/* Passes over silent hubs, as gate/share.c does. */
static void watch(bct_time_t now, uint32_t i)
{
	sim_node_t *a = &fleet[i];
	uint64_t before = a->hubs.local_hub;

	if (!bct_gate_hubs_watch(&a->hubs, now, SILENT_MS))
		return;
	if (a->hubs.local_hub != before)
		a->previous_hub = before;
	for (uint32_t j = 0; j < a->hubs.n && a->hubs.local_hub == nodes[i]; j++) {
		if (a->hubs.silent[j])
			bct_gate_peers_forget(&a->reports, a->hubs.hubs[j]);
	}
}

/* Sends the messages of one node's round, as gate/share_load.c does. */
static void send_round(bct_time_t now, uint32_t from)
{
	sim_node_t *a = &fleet[from];

	bct_gate_peers_sweep(&a->reports, now);
	for (uint32_t to = 0; to < FLEET; to++) {
		if (to == from)
			continue;
		if (a->hubs.local_hub != nodes[from]) {
			if (a->hubs.local_hub == nodes[to])
				send_load(now, from, to, BCT_GATE_VIEW_LOCAL);
		} else if (bct_gate_hubs_has(&a->hubs, nodes[to])) {
			send_load(now, from, to, BCT_GATE_VIEW_CLUSTER);
		} else if (bct_gate_hubs_of(&a->hubs, nodes[to]) == nodes[from]) {
			send_load(now, from, to, BCT_GATE_VIEW_REST);
		}
	}
}

static bct_time_t run_rounds(bct_time_t now, uint32_t n)
{
	for (uint32_t r = 0; r < n; r++) {
		now += 50;
		for (uint32_t i = 0; i < FLEET; i++) {
			if (fleet[i].dead)
				continue;
			watch(now, i);
			send_round(now, i);
		}
	}
	return now;
}

static int32_t total(void)
{
	int32_t sum = 0;

	for (uint32_t i = 0; i < FLEET; i++)
		sum += fleet[i].dead ? 0 : (int32_t)fleet[i].load;
	return sum;
}

static void expect_exact(const char *when)
{
	for (uint32_t i = 0; i < FLEET; i++) {
		if (!fleet[i].dead)
			cr_assert_eq(fleet[i].received, total() - (int32_t)fleet[i].load,
				     "%s: node %u received %d", when, i, fleet[i].received);
	}
}

/* Within three rounds each node knows the load of all others on an upstream, counted once. */
Test(gate_hubs, load_is_counted_once, .init = start_fleet, .fini = stop_fleet)
{
	bct_time_t now = run_rounds(0, 3);

	expect_exact("after three rounds");
	for (uint32_t i = 0; i < FLEET; i++)
		fleet[i].load = (i * 37) % 50;
	run_rounds(now, 3);
	expect_exact("after a change");
}

/* A hub dies and the nodes learn of it one after the other; the sums are right again at the end. */
Test(gate_hubs, a_hub_dies, .init = start_fleet, .fini = stop_fleet)
{
	bct_time_t now = run_rounds(0, 3);
	uint64_t live[FLEET];
	uint32_t n = 0, dead = 0;

	while (nodes[dead] != fleet[0].hubs.hubs[0])
		dead++;
	fleet[dead].dead = true;
	for (uint32_t i = 0; i < FLEET; i++) {
		if (i != dead)
			live[n++] = nodes[i];
	}
	for (uint32_t i = 0; i < FLEET; i++) {
		bct_gate_hubs_choose(&fleet[i].hubs, now, live, n, nodes[i]);
		now = run_rounds(now, 1);
	}
	run_rounds(now, KEEP_MS / 50 + 3);
	expect_exact("after a hub's death");
}

static uint32_t index_of_node(uint64_t node)
{
	uint32_t i = 0;

	while (nodes[i] != node)
		i++;
	return i;
}

static void keep_reports(void)
{
	for (uint32_t i = 0; i < FLEET; i++) {
		bool hub = fleet[i].hubs.local_hub == nodes[i];

		fleet[i].reports.keep_ms = hub ? KEEP_MS : KEEP_AT_NODES_MS;
	}
}

/*
 * Three hubs are killed at once and no node learns it from the membership. While that lasts no node
 * takes the upstream for idle, and after half a second and the hubs' time to forget dead nodes all
 * sums are exact.
 */
Test(gate_hubs, killed_hubs_are_passed_over, .init = start_fleet, .fini = stop_fleet)
{
	bct_time_t now = run_rounds(0, 3);

	keep_reports();
	for (uint32_t k = 0; k < 3; k++)
		fleet[index_of_node(fleet[0].hubs.hubs[k])].dead = true;
	for (uint32_t r = 0; r < 40; r++) {
		now = run_rounds(now, 1);
		for (uint32_t i = 0; i < FLEET; i++) {
			if (!fleet[i].dead)
				cr_assert_gt(fleet[i].received, total() / 2,
					     "round %u: node %u believes in %d of %d", r, i,
					     fleet[i].received, total());
		}
	}
	expect_exact("2 s after three hubs' deaths");
}

/* A hub that was suspended is used again once it is heard. */
Test(gate_hubs, a_silent_hub_comes_back, .init = start_fleet, .fini = stop_fleet)
{
	bct_time_t now = run_rounds(0, 3);
	uint32_t hub = index_of_node(fleet[0].hubs.hubs[0]);

	keep_reports();
	fleet[hub].dead = true;
	now = run_rounds(now, 40);
	fleet[hub].dead = false;
	bct_gate_hubs_resumed(&fleet[hub].hubs, now);
	run_rounds(now, 40);
	expect_exact("after the hub's return");
}

/*
 * A hub states to other hubs only the age of the registry's last answer to itself. Otherwise hubs
 * would pass an old answer back and forth, and its stated age would never grow.
 */
Test(gate_hubs, ages_do_not_circulate_between_hubs)
{
	cr_assert_eq(bct_gate_hubs_age_ms(BCT_GATE_VIEW_LOCAL, 9000, 300), 9000);
	cr_assert_eq(bct_gate_hubs_age_ms(BCT_GATE_VIEW_CLUSTER, 9000, 300), 9000);
	cr_assert_eq(bct_gate_hubs_age_ms(BCT_GATE_VIEW_REST, 9000, 300), 300);
}
