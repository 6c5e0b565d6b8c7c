/*
 * test_member.c - the member table under packet loss, delay, duplication, reordering, crashes,
 * suspensions, partitions and address takeovers, on a simulated network in virtual time. Each test
 * injects the faults that its name says.
 */
#include "base/err.h"
#include "bench/vnet.h"

#include <criterion/criterion.h>
#include <string.h>

#define SETTLE_MS 60000
#define LEAVING_MS 2000 /* within which all nodes must know that a node is leaving */

/* A network of n nodes that have all joined. */
static vnet_t *fleet(uint64_t seed, uint32_t n)
{
	vnet_t *net = vnet_new(seed);

	vnet_start_all(net, n);
	cr_assert_geq(vnet_run_until(net, vnet_converged, SETTLE_MS), 0,
		      "seed %lu: nodes did not join", seed);
	return net;
}

static void make_unreliable(vnet_t *net)
{
	net->loss_permille = 200;
	net->duplicate_permille = 100;
	net->delay_max_ms = 150;
}

/* Deaths declared or learnt, added up over all running nodes. */
static uint32_t deaths(vnet_t *net)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < net->n; i++)
		n += net->nodes[i].up ? net->nodes[i].died : 0;
	return n;
}

Test(member, joins_through_one_seed_on_an_unreliable_network)
{
	for (uint64_t seed = 1; seed <= 5; seed++) {
		vnet_t *net = vnet_new(seed);

		make_unreliable(net);
		vnet_start_all(net, 7);
		cr_assert_geq(vnet_run_until(net, vnet_converged, SETTLE_MS), 0, "seed %lu", seed);
		vnet_free(net);
	}
}

static bool node_3_leaving_everywhere(vnet_t *net)
{
	for (uint32_t i = 0; i < net->n; i++) {
		const bct_member_t *m = vnet_find_member(net, i, 3);

		if (!m || !m->leaving)
			return false;
	}
	return true;
}

Test(member, leaving_is_known_everywhere_in_time)
{
	for (uint32_t n = 7; n <= 112; n *= 4) {
		vnet_t *net = fleet(n, n);

		net->loss_permille = 50;
		vnet_leave(net, 3);
		cr_assert_geq(vnet_run_until(net, node_3_leaving_everywhere, LEAVING_MS), 0, "n %u",
			      n);
		cr_assert_leq(net->max_datagram_bytes, BCT_DATAGRAM_BYTES);
		vnet_free(net);
	}
}

/* A node that is leaving and refutes its death must still count as leaving. */
Test(member, leaving_persists_after_a_refutation)
{
	vnet_t *net = fleet(3, 5);
	const bct_member_t *m;

	vnet_leave(net, 3);
	vnet_pause(net, 3, true);
	vnet_run(net, 15000);
	m = vnet_find_member(net, 0, 3);
	cr_assert(m && m->liveness == BCT_MEMBER_DEAD);
	vnet_pause(net, 3, false);
	cr_assert_geq(vnet_run_until(net, vnet_converged, SETTLE_MS), 0);
	cr_assert(vnet_find_member(net, 0, 3)->leaving);
	vnet_free(net);
}

Test(member, a_crash_is_detected_by_all)
{
	vnet_t *net = fleet(1, 7);

	net->loss_permille = 50;
	vnet_crash(net, 2);
	cr_assert_geq(vnet_run_until(net, vnet_converged, 15000), 0);
	vnet_free(net);
}

/*
 * All nodes of a large fleet start at the same time, so that for seconds every datagram is full of
 * descriptions of new members. A few nodes are too busy to answer meanwhile. They refute in time:
 * suspicions and refutations do not wait behind the descriptions.
 */
Test(member, a_mass_start_declares_no_busy_node_dead)
{
	for (uint64_t seed = 1; seed <= 3; seed++) {
		vnet_t *net = vnet_new(seed);

		net->loss_permille = 10;
		vnet_start_all(net, 195);
		for (uint32_t i = 0; i < 20; i++) {
			vnet_run(net, 200);
			vnet_pause(net, i * 9, true);
			vnet_run(net, 1500);
			vnet_pause(net, i * 9, false);
		}
		vnet_run(net, 10000);
		cr_assert_eq(deaths(net), 0, "seed %lu: %u deaths", seed, deaths(net));
		vnet_free(net);
	}
}

/*
 * A process resumed after suspension has missed all answers meanwhile. It must refute its own death
 * and must not have others declared dead.
 */
Test(member, a_resumed_node_declares_nobody_dead)
{
	for (uint64_t seed = 1; seed <= 8; seed++) {
		vnet_t *net = fleet(seed, 7);

		vnet_run(net, (bct_time_t)seed * 137);
		vnet_pause(net, 4, true);
		vnet_run(net, 40000);
		cr_assert_eq(deaths(net), 6, "all six others must have declared it dead");
		vnet_pause(net, 4, false);
		cr_assert_geq(vnet_run_until(net, vnet_converged, 15000), 0, "seed %lu", seed);
		vnet_run(net, 20000);
		cr_assert_eq(deaths(net), 6, "seed %lu: a death after the resume", seed);
		cr_assert_gt(vnet_find_member(net, 0, 4)->number, 0,
			     "the paused node did not refute its death");
		vnet_free(net);
	}
}

/* Indirect probes must detect that only the path between nodes 1 and 2 is broken. */
Test(member, a_broken_path_between_two_nodes_causes_no_death)
{
	vnet_t *net = fleet(5, 7);

	net->blocked[1][2] = true;
	vnet_run(net, SETTLE_MS);
	net->blocked[2][1] = true;
	vnet_run(net, SETTLE_MS);
	cr_assert_eq(deaths(net), 0);
	vnet_free(net);
}

/* mode: bit 0 blocks the path from the lower half to the upper one, bit 1 the opposite path. */
Test(member, halves_rejoin_after_a_partition)
{
	for (int mode = 1; mode <= 3; mode++) {
		vnet_t *net = fleet((uint64_t)mode, 8);

		vnet_partition(net, 4, mode & 1, mode & 2);
		vnet_run(net, 120000);
		vnet_partition(net, 4, false, false);
		cr_assert_geq(vnet_run_until(net, vnet_converged, SETTLE_MS), 0, "mode %d", mode);
		vnet_free(net);
	}
}

#define HALVES_MS 1500	 /* for two halves of a starting fleet to form */
#define CATCH_UP_MS 4000 /* users' bound: a node that has started knows what the others know */

/* All nodes start at once, and the first datagrams to seeds that do not listen yet are lost: two
 * halves form, each around a seed. They must find each other as soon as one node would. */
Test(member, halves_of_a_mass_start_join_in_time)
{
	for (uint64_t seed = 1; seed <= 5; seed++) {
		vnet_t *net = vnet_new(seed);

		/* Nodes 0 and 1 are the seeds; 0 and 3 meet first, and 1 and 2. */
		vnet_start(net, 0, 1);
		vnet_start(net, 1, 0);
		vnet_start(net, 2, 1);
		vnet_start(net, 3, 0);
		for (uint32_t i = 0; i < 4; i++) {
			for (uint32_t j = 0; j < 4; j++)
				net->blocked[i][j] = (i % 3 == 0) != (j % 3 == 0);
		}
		vnet_run(net, HALVES_MS);
		memset(net->blocked, 0, sizeof(net->blocked));
		cr_expect_geq(vnet_run_until(net, vnet_converged, CATCH_UP_MS), 0, "seed %lu",
			      seed);
		vnet_free(net);
	}
}

/* A new process at the address of an old one must be a new member, and the old one dead. */
Test(member, identity_is_the_incarnation_not_the_address)
{
	vnet_t *net = fleet(6, 5);
	uint64_t old = net->nodes[2].incarnation;
	const bct_member_t *m;

	vnet_start(net, 2, 0);
	cr_assert_geq(vnet_run_until(net, vnet_converged, 15000), 0);
	for (uint32_t i = 0; i < 5; i++) {
		m = bct_member_find(net->nodes[i].members, old);
		cr_assert(i == 2 || (m && m->liveness == BCT_MEMBER_DEAD));
	}
	vnet_free(net);
}

static bool node_1_died_at_0(vnet_t *net)
{
	return vnet_find_member(net, 0, 1)->liveness == BCT_MEMBER_DEAD;
}

static bool node_1_alive_at_0(vnet_t *net)
{
	return vnet_find_member(net, 0, 1)->liveness == BCT_MEMBER_ALIVE;
}

Test(member, a_flapping_node_is_delisted_for_longer_each_time)
{
	vnet_t *net = fleet(7, 5);
	bct_time_t hold_ms = 0;

	for (int i = 0; i < 3; i++) {
		bct_time_t before = hold_ms;

		vnet_pause(net, 1, true);
		cr_assert_geq(vnet_run_until(net, node_1_died_at_0, 30000), 0);
		vnet_pause(net, 1, false);
		cr_assert_geq(vnet_run_until(net, node_1_alive_at_0, 30000), 0);
		hold_ms = vnet_find_member(net, 0, 1)->listed_from - net->now;
		cr_assert_gt(hold_ms, before);
	}
	vnet_free(net);
}

/*
 * The VM list provides seeds and lets dead members that it does not name be removed early. It must
 * not change the liveness of any member.
 */
Test(member, the_vm_list_seeds_and_prunes_but_sets_no_liveness)
{
	vnet_t *net = vnet_new(8);
	bct_vm_t vms[] = { { .name = "vm-0", .address = "10.0.0.0", .role = BCT_VM_ENTRY },
			   { .name = "vm-9",
			     .address = "10.0.0.9",
			     .peer_port = 9,
			     .role = BCT_VM_ENTRY,
			     .leaving = true } };
	bct_vm_list_t list = { .vms = vms, .n = 2 };

	for (uint32_t i = 0; i < 3; i++)
		vnet_start(net, i, i);
	vnet_run(net, 5000);
	cr_assert(!vnet_converged(net), "nodes joined without a seed");
	for (uint32_t i = 0; i < 3; i++)
		bct_member_vm_list(net->nodes[i].members, net->now, &list);
	cr_assert_geq(vnet_run_until(net, vnet_converged, SETTLE_MS), 0);
	for (uint32_t i = 0; i < 3; i++)
		bct_member_vm_list(net->nodes[i].members, net->now, &list);
	vnet_run(net, 30000);
	cr_assert_eq(deaths(net), 0, "nodes not on the list must stay alive");
	vnet_crash(net, 2);
	vnet_run(net, 30000);
	cr_assert_not_null(vnet_find_member(net, 0, 2));
	vnet_run(net, 100000);
	cr_assert_null(vnet_find_member(net, 0, 2), "dead and not listed: must be removed early");
	vnet_free(net);
}

#define GONE 9 /* a slot in which no process runs */

/* Gives a node these seeds in place of those that it started with. */
static void set_seeds(vnet_t *net, uint32_t node, const uint32_t *slots, uint32_t n)
{
	bct_addr_t seeds[BCT_SEEDS_MAX];

	for (uint32_t i = 0; i < n; i++)
		seeds[i] = net->nodes[slots[i]].addr;
	cr_assert_eq(bct_member_set_seeds(net->nodes[node].members, seeds, n), 0);
}

/* All machines were replaced, and the new ones start with seeds that are gone (review/7): with the
 * seeds that they get later, they must be one fleet in time. */
Test(member, nodes_with_stale_seeds_join_once_they_get_others)
{
	for (uint64_t seed = 1; seed <= 5; seed++) {
		vnet_t *net = vnet_new(seed);

		for (uint32_t i = 0; i < 3; i++)
			vnet_start(net, i, GONE);
		vnet_run(net, 15000);
		cr_assert(!vnet_converged(net), "nodes joined without a live seed");
		for (uint32_t i = 0; i < 3; i++)
			set_seeds(net, i, (const uint32_t[]){ 0, 1, 2 }, 3);
		cr_expect_geq(vnet_run_until(net, vnet_converged, CATCH_UP_MS), 0, "seed %lu",
			      seed);
		vnet_free(net);
	}
}

/* Two parts of a fleet that know dead seeds only. A node that is not alone contacts a random seed
 * each 10 s; the new ones, of which one leads to the other part, must be contacted at once. */
Test(member, parts_of_a_fleet_meet_by_a_new_seed)
{
	for (uint64_t seed = 1; seed <= 5; seed++) {
		vnet_t *net = vnet_new(seed);

		vnet_start(net, 0, GONE);
		vnet_start(net, 1, GONE);
		vnet_start(net, 2, 1);
		vnet_start(net, 3, 0);
		vnet_run(net, 15000);
		cr_assert(!vnet_converged(net), "the parts met without a live seed");
		set_seeds(net, 2, (const uint32_t[]){ 1, 2, 3 }, 3);
		cr_expect_geq(vnet_run_until(net, vnet_converged, CATCH_UP_MS), 0, "seed %lu",
			      seed);
		vnet_free(net);
	}
}

/* The seeds of the VM list stay when those of the settings are replaced, by more or by none. */
Test(member, new_seeds_leave_those_of_the_vm_list)
{
	static const uint32_t counts[] = { 0, 1, BCT_SEEDS_MAX - 1 };
	bct_addr_t many[BCT_SEEDS_MAX + 1];
	bct_vm_t vm = { .name = "vm-0", .address = "10.0.0.0", .role = BCT_VM_ENTRY };
	bct_vm_list_t list = { .vms = &vm, .n = 1 };

	for (uint32_t i = 0; i <= BCT_SEEDS_MAX; i++)
		cr_assert_eq(bct_addr_parse("10.0.9.9", (uint16_t)(1 + i), &many[i]), 0);
	for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
		vnet_t *net = vnet_new(8);

		vnet_start(net, 0, 0);
		vnet_start(net, 1, GONE);
		bct_member_vm_list(net->nodes[1].members, net->now, &list);
		cr_assert_eq(bct_member_set_seeds(net->nodes[1].members, many, counts[i]), 0);
		cr_expect_geq(vnet_run_until(net, vnet_converged, SETTLE_MS * 2), 0, "%u seeds",
			      counts[i]);
		cr_expect_eq(bct_member_set_seeds(net->nodes[1].members, many, BCT_SEEDS_MAX), 0);
		cr_expect_eq(bct_member_set_seeds(net->nodes[1].members, many, BCT_SEEDS_MAX + 1),
			     -BCT_EINVAL);
		vnet_free(net);
	}
}

static bool fact_everywhere(vnet_t *net)
{
	for (uint32_t i = 1; i < net->n; i++) {
		if (net->nodes[i].fact.key != 42 || net->nodes[i].fact.v[0] != 2)
			return false;
	}
	return true;
}

Test(member, a_fact_spreads_merges_by_maximum_and_expires)
{
	vnet_t *net = fleet(9, 14);
	bct_fact_t f = { .type = BCT_ITEM_SUSPECT, .key = 42, .v = { 1 } };

	net->loss_permille = 100;
	f.expires = net->now + 20000;
	cr_assert_eq(bct_member_gossip_fact(net->nodes[0].members, net->now, &f), 0);
	vnet_run(net, 3000);
	f.v[0] = 2;
	cr_assert_eq(bct_member_gossip_fact(net->nodes[5].members, net->now, &f), 0);
	net->nodes[5].fact = f;
	cr_assert_geq(vnet_run_until(net, fact_everywhere, 5000), 0);
	vnet_run(net, 40000);
	for (uint32_t i = 0; i < 256; i++) {
		f.key = 1000 + i;
		f.expires = net->now + 1000;
		cr_assert_eq(bct_member_gossip_fact(net->nodes[0].members, net->now, &f), 0,
			     "the expired fact still takes up room");
	}
	cr_assert_eq(bct_member_gossip_fact(net->nodes[0].members, net->now,
					    &(bct_fact_t){ .key = 9, .expires = net->now + 1 }),
		     -BCT_EFULL);
	vnet_free(net);
}

/*
 * Invariants, checked at every node in each virtual millisecond: leaving is never cleared, a
 * refutation number never decreases and is raised only by the member itself, and only a node on
 * which vnet_leave() was called is leaving. All arrays are indexed by observer, then by member.
 */
typedef struct model {
	uint32_t number[16][16];
	bool leaving[16][16];
	uint64_t member[16][16]; /* incarnation that the entry describes */
	uint64_t observer[16];	 /* incarnation that holds the entries */
} model_t;

static void check_pair(vnet_t *net, model_t *model, uint32_t i, uint32_t j)
{
	const bct_member_t *m = vnet_find_member(net, i, j);
	const bct_member_t *self = bct_member_self(net->nodes[j].members);

	if (!m)
		return;
	if (model->member[i][j] == m->incarnation) {
		cr_assert_geq(m->number, model->number[i][j], "number decreased, seed %lu",
			      net->seed);
		cr_assert(m->leaving || !model->leaving[i][j], "leaving was cleared, seed %lu",
			  net->seed);
	}
	cr_assert_leq(m->number, self->number, "number raised by others, seed %lu", net->seed);
	cr_assert(!m->leaving || net->nodes[j].leaving,
		  "not leaving, but seen as leaving, seed %lu", net->seed);
	model->member[i][j] = m->incarnation;
	model->number[i][j] = m->number;
	model->leaving[i][j] = m->leaving;
}

static void check_model(vnet_t *net)
{
	model_t *model = net->ctx;

	for (uint32_t i = 0; i < net->n; i++) {
		/* A new process in the slot starts with an empty table. */
		if (model->observer[i] != net->nodes[i].incarnation)
			memset(model->member[i], 0, sizeof(model->member[i]));
		model->observer[i] = net->nodes[i].incarnation;
		for (uint32_t j = 0; j < net->n; j++) {
			if (net->nodes[i].up && net->nodes[j].up)
				check_pair(net, model, i, j);
		}
	}
}

/* Injects a random fault. Node 0 is not crashed, paused or made leaving. */
static void random_fault(vnet_t *net, bct_rng_t *rng)
{
	uint32_t i = 1 + bct_rng_below(rng, net->n - 1), j = bct_rng_below(rng, net->n);
	vnode_t *n = &net->nodes[i];

	switch (bct_rng_below(rng, 8)) {
	case 0:
		vnet_crash(net, i);
		break;
	case 1:
		vnet_start(net, i, 0);
		break;
	case 2:
		vnet_pause(net, i, n->up && !n->paused);
		break;
	case 3:
		if (n->up)
			vnet_leave(net, i);
		break;
	case 4:
		net->blocked[i][j] = !net->blocked[i][j];
		break;
	case 5:
		vnet_partition(net, i, bct_rng_below(rng, 2), bct_rng_below(rng, 2));
		break;
	case 6:
		net->loss_permille = bct_rng_below(rng, 400);
		net->duplicate_permille = bct_rng_below(rng, 300);
		break;
	default:
		net->delay_max_ms = 1 + bct_rng_below(rng, 400);
		break;
	}
}

static void heal(vnet_t *net)
{
	memset(net->blocked, 0, sizeof(net->blocked));
	net->loss_permille = 0;
	net->duplicate_permille = 0;
	net->delay_max_ms = 1;
	for (uint32_t i = 0; i < net->n; i++)
		net->nodes[i].paused = false;
}

/* After a random sequence of faults, all running nodes must converge to the same view. */
Test(member, views_converge_after_random_faults)
{
	for (uint64_t seed = 1; seed <= 40; seed++) {
		vnet_t *net = vnet_new(seed);
		model_t model;
		bct_rng_t rng;

		memset(&model, 0, sizeof(model));
		bct_rng_seed(&rng, seed * 31);
		net->ctx = &model;
		net->check = check_model;
		vnet_start_all(net, 6);
		for (int i = 0; i < 30; i++) {
			vnet_run(net, bct_rng_below(&rng, 2500));
			random_fault(net, &rng);
		}
		heal(net);
		cr_assert_geq(vnet_run_until(net, vnet_converged, 2 * SETTLE_MS), 0,
			      "seed %lu did not converge", seed);
		cr_assert_leq(net->max_datagram_bytes, BCT_DATAGRAM_BYTES);
		vnet_free(net);
	}
}

Test(member, replayed_datagrams_are_refused)
{
	vnet_t *net = fleet(10, 3);
	uint64_t refused = net->nodes[1].refused;

	/* Each datagram arrives twice; each copy must be refused. */
	net->duplicate_permille = 1000;
	vnet_run(net, 10000);
	cr_assert_gt(net->nodes[1].refused, refused + 10);
	cr_assert(vnet_converged(net));
	vnet_free(net);
}
