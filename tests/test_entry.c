/*
 * test_entry.c - which nodes the list of entry addresses contains, and in which order.
 */
#include "bench/vnet.h"
#include "coord/entry.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define N 20
#define NOW 50000

static bct_member_t members[N];
static const bct_member_t *list[N];

/* N live members in four failure domains, two in each of two regions. */
static void make_members(void)
{
	memset(members, 0, sizeof(members));
	for (uint32_t i = 0; i < N; i++) {
		bct_member_t *m = &members[i];

		m->incarnation = i + 1;
		snprintf(m->failure_domain, sizeof(m->failure_domain), "fd-%u", i % 4);
		snprintf(m->region, sizeof(m->region), "region-%u", i % 4 / 2);
		m->caller.ip_len_bytes = 4;
		m->caller.port = (uint16_t)i;
		list[i] = m;
	}
}

static bct_entry_list_t make_list(const char *domain, uint64_t seed)
{
	bct_entry_list_t l;
	bct_rng_t rng;

	bct_rng_seed(&rng, seed);
	bct_entry_list(list, N, NOW, domain, &rng, &l);
	return l;
}

Test(entry, nearest_failure_domain_then_region_then_the_rest)
{
	bct_entry_list_t l;

	make_members();
	l = make_list("fd-2", 1);
	cr_assert_eq(l.n, BCT_ENTRY_MAX);
	cr_assert_eq(l.lifetime_ms, BCT_ENTRY_LIFETIME_MS);
	for (uint32_t i = 0; i < 5; i++)
		cr_assert_str_eq(l.entries[i].failure_domain, "fd-2");
	for (uint32_t i = 5; i < l.n; i++)
		cr_assert_str_eq(l.entries[i].failure_domain, "fd-3");
}

Test(entry, leaving_suspect_dead_and_unsteady_nodes_are_left_out)
{
	make_members();
	members[0].leaving = true;
	members[1].liveness = BCT_MEMBER_SUSPECT;
	members[2].liveness = BCT_MEMBER_DEAD;
	members[3].listed_from = NOW + 1;
	members[4].caller.ip_len_bytes = 0;
	for (uint64_t seed = 0; seed < 200; seed++) {
		bct_entry_list_t l = make_list(NULL, seed);

		for (uint32_t i = 0; i < l.n; i++)
			cr_assert_gt(l.entries[i].incarnation, 5);
	}
}

Test(entry, only_suspects_are_listed_when_no_node_is_alive)
{
	bct_entry_list_t l;

	make_members();
	for (uint32_t i = 0; i < N; i++)
		members[i].liveness = i < 3 ? BCT_MEMBER_SUSPECT : BCT_MEMBER_DEAD;
	members[0].leaving = true;
	l = make_list("fd-0", 1);
	cr_assert_eq(l.n, 2);
}

Test(entry, spare_capacity_weights_the_order)
{
	uint32_t first_loaded = 0, first_idle = 0;

	make_members();
	members[0].info.load_permille = 900;
	for (uint64_t seed = 0; seed < 5000; seed++) {
		bct_entry_list_t l = make_list("fd-0", seed);

		first_loaded += l.entries[0].incarnation == 1;
		first_idle += l.entries[0].incarnation == 5;
	}
	cr_assert_gt(first_idle, 5 * first_loaded);
	cr_assert_gt(first_loaded, 0);
}

/* How often a node is on the list that another node builds. */
static uint32_t listed_at(vnet_t *net, uint32_t observer, uint64_t incarnation)
{
	bct_member_table_t *t = net->nodes[observer].members;
	const bct_member_t *all[VNET_NODES_MAX];
	uint32_t n = bct_member_count(t), found = 0;
	bct_entry_list_t l;

	for (uint32_t i = 0; i < n; i++)
		all[i] = bct_member_at(t, i);
	bct_entry_list(all, n, net->now, NULL, &net->rng, &l);
	for (uint32_t i = 0; i < l.n; i++)
		found += l.entries[i].incarnation == incarnation;
	return found;
}

Test(entry, leaving_node_is_removed_at_once_and_dead_node_after_detection)
{
	vnet_t *net = vnet_new(4);
	uint64_t dead;

	vnet_start_all(net, 7);
	cr_assert_geq(vnet_run_until(net, vnet_converged, 30000), 0);
	vnet_run(net, 15000);
	cr_assert_eq(listed_at(net, 0, net->nodes[3].incarnation), 1);
	vnet_leave(net, 3);
	cr_assert_eq(listed_at(net, 3, net->nodes[3].incarnation), 0);
	vnet_run(net, 2000);
	for (uint32_t i = 0; i < 7; i++)
		cr_assert_eq(listed_at(net, i, net->nodes[3].incarnation), 0);
	dead = net->nodes[5].incarnation;
	vnet_crash(net, 5);
	vnet_run(net, 6000);
	for (uint32_t i = 0; i < 5; i++)
		cr_assert_eq(listed_at(net, i, dead), 0);
	vnet_free(net);
}
