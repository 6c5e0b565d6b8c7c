/*
 * test_duty_scale.c - the demand of callers and the engines of a service, as the holder of the
 * scaling duty knows them.
 */
#include "base/err.h"
#include "base/hash.h"
#include "base/mem.h"
#include "gate/duty_scale.h"
#include "gate/share_int.h"

#include <criterion/criterion.h>

#include <stdio.h>
#include <string.h>

#define START 1000000
#define KEY 77

/* Failure guarded against: a service that refuses half of the work is taken to need half. */
Test(gate_demand, refused_work_counts)
{
	bct_gate_demand_t d;
	bct_gate_demand_input_t in = { .work_ms_per_s = 4000, .slots = 8, .nodes = 7 };

	bct_gate_demand_init(&d);
	cr_assert_eq(bct_gate_demand_engines(&d, START, KEY, &in), 4000);
	for (int i = 0; i < 20; i++) {
		bct_gate_demand_sent(&d, START + i, KEY, 100);
		bct_gate_demand_refused(&d, START + i, KEY, 150, false);
	}
	cr_assert_eq(bct_gate_demand_engines(&d, START + 100, KEY, &in), 10000);
	cr_assert_eq(bct_gate_demand_refused_permille(&d, START + 100, KEY), 500);
	cr_assert_eq(bct_gate_demand_engines(&d, START + 100, KEY + 1, &in), 4000);
	cr_assert_eq(bct_gate_demand_engines(&d, START + 6000, KEY, &in), 4000, "long ago");
	bct_gate_demand_free(&d);
}

/* Failure guarded against: callers that try again and again order ten times the engines. */
Test(gate_demand, repeated_refusals_are_bounded)
{
	bct_gate_demand_t d;
	bct_gate_demand_input_t in = {
		.work_ms_per_s = 4000, .running = 80, .slots = 8, .nodes = 7
	};

	bct_gate_demand_init(&d);
	bct_gate_demand_sent(&d, START, KEY, 100);
	for (int i = 0; i < 100; i++)
		bct_gate_demand_refused(&d, START, KEY, 100, false);
	cr_assert_leq(bct_gate_demand_engines(&d, START, KEY, &in), 30100);
	cr_assert_geq(bct_gate_demand_engines(&d, START, KEY, &in), 30000);
	bct_gate_demand_free(&d);
}

/* Failure guarded against: with no engine left nothing is sent, and nothing is ordered. */
Test(gate_demand, all_refused)
{
	bct_gate_demand_t d;
	bct_gate_demand_input_t in = { .nodes = 7 };

	bct_gate_demand_init(&d);
	for (int i = 0; i < 50; i++)
		bct_gate_demand_refused(&d, START, KEY, 100, false);
	cr_assert_eq(bct_gate_demand_engines(&d, START, KEY, &in), 7000);
	cr_assert_eq(bct_gate_demand_refused_permille(&d, START, KEY), 1000);
	bct_gate_demand_free(&d);
}

/* Slow engines: the work is the same, but three times the slots are in use. */
Test(gate_demand, slots_in_use)
{
	bct_gate_demand_t d;
	bct_gate_demand_input_t in = {
		.work_ms_per_s = 4000, .running = 96, .slots = 8, .nodes = 7
	};

	bct_gate_demand_init(&d);
	cr_assert_eq(bct_gate_demand_engines(&d, START, KEY, &in), 12000);
	bct_gate_demand_refused(&d, START, KEY, 0, true);
	cr_assert_eq(bct_gate_demand_refused_permille(&d, START, KEY), 125, "one of few requests");
	bct_gate_demand_free(&d);
}

static void add_engine(bct_gate_t *g, const char *zone, bool spot, uint32_t leaves_ms)
{
	bct_gate_entry_t e = { .port = 80, .slots = 8, .spot = spot, .sequence = 1, .born_ms = 1 };

	snprintf(e.id, sizeof(e.id), "engine-%u", g->upstreams.n);
	strcpy(e.service, "chat");
	strcpy(e.zone, zone);
	strcpy(e.ip, "10.0.0.1");
	e.draining = leaves_ms > 0;
	e.leaves_ms = leaves_ms;
	cr_assert_eq(bct_gate_upstreams_apply(&g->upstreams, START, &e), 1);
}

static bct_gate_t *new_gate(void)
{
	bct_gate_t *g = bct_alloc(sizeof(*g));

	bct_gate_upstreams_init(&g->upstreams);
	bct_gate_picker_init(&g->picker, &g->upstreams, 30000, 8000, 1);
	bct_gate_demand_init(&g->demand);
	g->nodes = 7;
	return g;
}

static void free_gate(bct_gate_t *g)
{
	bct_gate_picker_free(&g->picker);
	bct_gate_demand_free(&g->demand);
	bct_gate_upstreams_free(&g->upstreams);
	bct_free(g);
}

/* Failures guarded against: engines that leave are counted, and work in a domain that is not
 * scaled is not. */
Test(duty_scale, engines_and_demand)
{
	bct_gate_t *g = new_gate();
	bct_gate_service_t s = { .name = "chat", .key = bct_hash_str("chat"), .engine = true };
	bct_autoscale_input_t in;
	bct_gate_lanes_t *l;

	cr_assert_eq(bct_duty_scale_input(g, &s, START, &in), -BCT_ENOT_FOUND);
	s.slots = 8;
	s.scaling.n_domains = 2;
	strcpy(s.scaling.domains[0].name, "a");
	strcpy(s.scaling.domains[1].name, "b");
	add_engine(g, "a", false, 0);
	add_engine(g, "a", true, 0);
	add_engine(g, "b", true, 0);
	add_engine(g, "b", true, 2000);
	add_engine(g, "other", false, 0);
	cr_assert_eq(bct_duty_scale_input(g, &s, START + 500, &in), 0);
	cr_assert_eq(in.domains[0].present[BCT_AUTOSCALE_STANDARD], 1);
	cr_assert_eq(in.domains[0].present[BCT_AUTOSCALE_SPOT], 1);
	cr_assert_eq(in.domains[1].present[BCT_AUTOSCALE_SPOT], 1);
	cr_assert(in.domains[1].spot_reclaimed);
	cr_assert_not(in.domains[0].spot_reclaimed);
	cr_assert_eq(in.demand_permille, 0);
	cr_assert_eq(in.demand_age_ms, BCT_TIME_NEVER, "no registry");

	l = bct_gate_pick_lanes(&g->picker, s.key);
	bct_gate_pick_expect(&g->picker, s.key, 1000);
	for (int i = 1; i <= 20; i++) {
		bct_gate_lanes_add_work(l, 250, 1500);
		bct_gate_lanes_update(l, START + i * 500, 3);
	}
	bct_gate_lanes_find(l, 250)->peer_work = 2000;
	bct_gate_lanes_find(l, 1000)->peer_work = (uint32_t)-500;
	bct_duty_scale_input(g, &s, START + 10100, &in);
	cr_assert_float_eq(in.demand_permille, 5000, 100, "%u", in.demand_permille);
	cr_assert_not(in.domains[1].spot_reclaimed, "its entry outlived it");
	for (int i = 11; i <= 20; i++)
		bct_duty_scale_input(g, &s, START + i * 1000, &in);
	cr_assert_leq(in.demand_permille, 2300, "no request came for 10 s");
	free_gate(g);
}

/* Failure guarded against: a holder that learned of an engine from a peer takes it for a standard
 * one. An older node doesn't pass on that it is not. */
Test(duty_scale, peers_pass_on_what_is_spot)
{
	bct_gate_t *g = new_gate();
	share_entry x = { 0 };
	share_reclaim reclaim = { 0 };
	bct_registry_change_t c;
	bct_gate_upstream_t *u;

	add_engine(g, "a", true, 2000);
	u = bct_gate_upstreams_find(&g->upstreams, "engine-0");
	bct_share_encode_entry(u, &x);
	bct_share_encode_reclaim(u, &reclaim);
	bct_share_decode_entry(&x, &c);
	bct_share_decode_reclaim(NULL, &c);
	cr_assert_not(c.entry.spot);
	cr_assert_geq(bct_gate_upstreams_apply(&g->upstreams, START, &c.entry), 0);
	cr_assert(u->entry.spot);
	cr_assert_eq(u->entry.leaves_ms, 2000);
	bct_share_decode_reclaim(&reclaim, &c);
	cr_assert(c.entry.spot);
	cr_assert_eq(c.entry.leaves_ms, 2000);
	free_gate(g);
}

/* Failure guarded against: with many lanes the datagram is too large, and no load is sent. */
Test(duty_scale, load_and_lanes_fit_in_a_datagram)
{
	static share_lane lanes[SHARE_LANES_MAX];
	static share_load loads[SHARE_LOADS_MAX];
	share_update u = { 0 };

	for (uint32_t n = 0; n <= SHARE_LANES_MAX; n++) {
		u.lanes.lanes_val = lanes;
		u.lanes.lanes_len = n;
		u.loads.loads_val = loads;
		u.loads.loads_len = bct_share_loads_beside(n);
		cr_assert_leq(xdr_sizeof((xdrproc_t)xdr_share_update, &u), 1360, "%u lanes", n);
	}
}

/* Failure guarded against: requests sent to engines that are gone in two seconds, or prompts that
 * are to be copied from there. */
Test(duty_scale, reclaimed_engines_get_nothing_new)
{
	bct_gate_t *g = new_gate();
	bct_gate_segment_t segment = { .id = 5, .tokens = 4000 };
	bct_gate_pick_input_t in = { .service_key = bct_hash_str("chat"),
				     .engine = true,
				     .target_ms = 1500,
				     .segments = &segment,
				     .n_segments = 1,
				     .prompt_tokens = 4000,
				     .slots = 8,
				     .copy_token_ns = 10 };
	bct_gate_choice_t c;
	bct_gate_entry_t e;

	add_engine(g, "a", true, 0);
	bct_gate_pick(&g->picker, START, &in, &c);
	cr_assert_not_null(c.upstream);
	bct_gate_pick_sent(&g->picker, START, &in, &c);
	e = c.upstream->entry;
	e.draining = true;
	e.leaves_ms = 2000;
	e.sequence++;
	cr_assert_eq(bct_gate_upstreams_apply(&g->upstreams, START, &e), 1);
	add_engine(g, "b", true, 0);
	for (int i = 0; i < 50; i++) {
		bct_gate_pick(&g->picker, START + 1000 + i, &in, &c);
		cr_assert_str_eq(c.upstream->entry.zone, "b");
		cr_assert_null(c.source);
		bct_gate_pick_sent(&g->picker, START + 1000 + i, &in, &c);
	}
	free_gate(g);
}
