/*
 * test_member.c - the member table under loss, delay, copies, reordering, crashes, pauses,
 * partitions and takeovers, in virtual time. Each test breaks what it names.
 */
#include "base/err.h"
#include "bench/vnet.h"

#include <criterion/criterion.h>
#include <string.h>

#define SETTLE_MS 60000
#define LEAVING_MS 2000

static vnet_t *fleet(uint64_t seed, uint32_t n)
{
	vnet_t *net = vnet_new(seed);

	vnet_start_all(net, n);
	cr_assert_geq(vnet_run_until(net, vnet_agrees, SETTLE_MS), 0, "seed %lu: no join", seed);
	return net;
}

static void rough(vnet_t *net)
{
	net->loss_permille = 200;
	net->copy_permille = 100;
	net->delay_max_ms = 150;
}

static uint32_t deaths(vnet_t *net)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < net->n; i++)
		n += net->nodes[i].up ? net->nodes[i].died : 0;
	return n;
}

Test(member, joins_through_one_seed_on_a_rough_network)
{
	for (uint64_t seed = 1; seed <= 5; seed++) {
		vnet_t *net = vnet_new(seed);

		rough(net);
		vnet_start_all(net, 7);
		cr_assert_geq(vnet_run_until(net, vnet_agrees, SETTLE_MS), 0, "seed %lu", seed);
		vnet_free(net);
	}
}

static bool node_3_left_everywhere(vnet_t *net)
{
	for (uint32_t i = 0; i < net->n; i++) {
		const bct_member_t *m = vnet_sees(net, i, 3);

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
		cr_assert_geq(vnet_run_until(net, node_3_left_everywhere, LEAVING_MS), 0, "n %u",
			      n);
		cr_assert_leq(net->max_datagram_bytes, BCT_DATAGRAM_BYTES);
		vnet_free(net);
	}
}

Test(member, leaving_outlives_a_refutation)
{
	vnet_t *net = fleet(3, 5);
	const bct_member_t *m;

	vnet_leave(net, 3);
	vnet_pause(net, 3, true);
	vnet_run(net, 15000);
	m = vnet_sees(net, 0, 3);
	cr_assert(m && m->liveness == BCT_MEMBER_DEAD);
	vnet_pause(net, 3, false);
	cr_assert_geq(vnet_run_until(net, vnet_agrees, SETTLE_MS), 0);
	cr_assert(vnet_sees(net, 0, 3)->leaving);
	vnet_free(net);
}

Test(member, a_crash_is_noticed_by_all)
{
	vnet_t *net = fleet(1, 7);

	net->loss_permille = 50;
	vnet_crash(net, 2);
	cr_assert_geq(vnet_run_until(net, vnet_agrees, 15000), 0);
	vnet_free(net);
}

Test(member, a_paused_node_wakes_and_buries_nobody)
{
	for (uint64_t seed = 1; seed <= 8; seed++) {
		vnet_t *net = fleet(seed, 7);

		vnet_run(net, (bct_time_t)seed * 137);
		vnet_pause(net, 4, true);
		vnet_run(net, 40000);
		cr_assert_eq(deaths(net), 6, "six others must have noticed it");
		vnet_pause(net, 4, false);
		cr_assert_geq(vnet_run_until(net, vnet_agrees, 15000), 0, "seed %lu", seed);
		vnet_run(net, 20000);
		cr_assert_eq(deaths(net), 6, "seed %lu: a death after the wake", seed);
		cr_assert_gt(vnet_sees(net, 0, 4)->number, 0, "it must have refuted");
		vnet_free(net);
	}
}

Test(member, a_broken_path_between_two_kills_nobody)
{
	vnet_t *net = fleet(5, 7);

	net->cut[1][2] = true;
	vnet_run(net, SETTLE_MS);
	net->cut[2][1] = true;
	vnet_run(net, SETTLE_MS);
	cr_assert_eq(deaths(net), 0);
	vnet_free(net);
}

Test(member, halves_part_and_find_each_other)
{
	for (int way = 1; way <= 3; way++) {
		vnet_t *net = fleet((uint64_t)way, 8);

		vnet_partition(net, 4, way & 1, way & 2);
		vnet_run(net, 120000);
		vnet_partition(net, 4, false, false);
		cr_assert_geq(vnet_run_until(net, vnet_agrees, SETTLE_MS), 0, "way %d", way);
		vnet_free(net);
	}
}

Test(member, identity_is_the_incarnation_not_the_address)
{
	vnet_t *net = fleet(6, 5);
	uint64_t old = net->nodes[2].incarnation;
	const bct_member_t *m;

	vnet_start(net, 2, 0);
	cr_assert_geq(vnet_run_until(net, vnet_agrees, 15000), 0);
	for (uint32_t i = 0; i < 5; i++) {
		m = bct_member_find(net->nodes[i].members, old);
		cr_assert(i == 2 || (m && m->liveness == BCT_MEMBER_DEAD));
	}
	vnet_free(net);
}

static bool node_1_died_at_0(vnet_t *net)
{
	return vnet_sees(net, 0, 1)->liveness == BCT_MEMBER_DEAD;
}

static bool node_1_alive_at_0(vnet_t *net)
{
	return vnet_sees(net, 0, 1)->liveness == BCT_MEMBER_ALIVE;
}

Test(member, a_flapping_node_is_held_off_for_longer_each_time)
{
	vnet_t *net = fleet(7, 5);
	bct_time_t hold_ms = 0;

	for (int i = 0; i < 3; i++) {
		bct_time_t before = hold_ms;

		vnet_pause(net, 1, true);
		cr_assert_geq(vnet_run_until(net, node_1_died_at_0, 30000), 0);
		vnet_pause(net, 1, false);
		cr_assert_geq(vnet_run_until(net, node_1_alive_at_0, 30000), 0);
		hold_ms = vnet_sees(net, 0, 1)->listed_from - net->now;
		cr_assert_gt(hold_ms, before);
	}
	vnet_free(net);
}

Test(member, the_vm_list_seeds_and_prunes_but_never_judges)
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
	cr_assert(!vnet_agrees(net), "without a seed nobody can join");
	for (uint32_t i = 0; i < 3; i++)
		bct_member_vm_list(net->nodes[i].members, net->now, &list);
	cr_assert_geq(vnet_run_until(net, vnet_agrees, SETTLE_MS), 0);
	for (uint32_t i = 0; i < 3; i++)
		bct_member_vm_list(net->nodes[i].members, net->now, &list);
	vnet_run(net, 30000);
	cr_assert_eq(deaths(net), 0, "nodes that the list misses live on");
	vnet_crash(net, 2);
	vnet_run(net, 30000);
	cr_assert_not_null(vnet_sees(net, 0, 2));
	vnet_run(net, 100000);
	cr_assert_null(vnet_sees(net, 0, 2), "dead and not listed: forgotten early");
	vnet_free(net);
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
			     "the expired fact must have made room");
	}
	cr_assert_eq(bct_member_gossip_fact(net->nodes[0].members, net->now,
					    &(bct_fact_t){ .key = 9, .expires = net->now + 1 }),
		     -BCT_EFULL);
	vnet_free(net);
}

/*
 * The model, checked at each millisecond at every observer: leaving is never taken back, a
 * refutation number never falls, only the member itself raises it, and only who called leave()
 * is leaving.
 */
typedef struct model {
	uint32_t number[16][16];
	bool left[16][16];
	uint64_t of[16][16]; /* incarnation that the entry is about */
	uint64_t observer[16];
} model_t;

static void check_pair(vnet_t *net, model_t *model, uint32_t i, uint32_t j)
{
	const bct_member_t *m = vnet_sees(net, i, j);
	const bct_member_t *own = bct_member_self(net->nodes[j].members);

	if (!m)
		return;
	if (model->of[i][j] == m->incarnation) {
		cr_assert_geq(m->number, model->number[i][j], "number fell, seed %lu", net->seed);
		cr_assert(m->leaving || !model->left[i][j], "leaving undone, seed %lu", net->seed);
	}
	cr_assert_leq(m->number, own->number, "number made up by others, seed %lu", net->seed);
	cr_assert(!m->leaving || net->nodes[j].leaving, "leaving made up, seed %lu", net->seed);
	model->of[i][j] = m->incarnation;
	model->number[i][j] = m->number;
	model->left[i][j] = m->leaving;
}

static void check_model(vnet_t *net)
{
	model_t *model = net->ctx;

	for (uint32_t i = 0; i < net->n; i++) {
		/* A new process knows nothing of what the last one in its slot knew. */
		if (model->observer[i] != net->nodes[i].incarnation)
			memset(model->of[i], 0, sizeof(model->of[i]));
		model->observer[i] = net->nodes[i].incarnation;
		for (uint32_t j = 0; j < net->n; j++) {
			if (net->nodes[i].up && net->nodes[j].up)
				check_pair(net, model, i, j);
		}
	}
}

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
		net->cut[i][j] = !net->cut[i][j];
		break;
	case 5:
		vnet_partition(net, i, bct_rng_below(rng, 2), bct_rng_below(rng, 2));
		break;
	case 6:
		net->loss_permille = bct_rng_below(rng, 400);
		net->copy_permille = bct_rng_below(rng, 300);
		break;
	default:
		net->delay_max_ms = 1 + bct_rng_below(rng, 400);
		break;
	}
}

static void heal(vnet_t *net)
{
	memset(net->cut, 0, sizeof(net->cut));
	net->loss_permille = 0;
	net->copy_permille = 0;
	net->delay_max_ms = 1;
	for (uint32_t i = 0; i < net->n; i++)
		net->nodes[i].paused = false;
}

Test(member, any_mix_of_faults_heals_into_one_view)
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
		cr_assert_geq(vnet_run_until(net, vnet_agrees, 2 * SETTLE_MS), 0,
			      "seed %lu did not heal", seed);
		cr_assert_leq(net->max_datagram_bytes, BCT_DATAGRAM_BYTES);
		vnet_free(net);
	}
}

Test(member, recorded_datagrams_can_not_be_played_again)
{
	vnet_t *net = fleet(10, 3);
	uint64_t refused = net->nodes[1].refused;

	/* Each datagram arrives twice; each copy must be refused. */
	net->copy_permille = 1000;
	vnet_run(net, 10000);
	cr_assert_gt(net->nodes[1].refused, refused + 10);
	cr_assert(vnet_agrees(net));
	vnet_free(net);
}
