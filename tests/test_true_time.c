/*
 * test_true_time.c - the estimate of the time of day in a fleet of nodes whose wall clocks jump,
 * which are suspended, or which start with a wrong clock.
 */
#include "policy/true_time.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#define NODES 7
#define STEP_MS 100
#define TELL_MS 1000
#define DELAY_MS 40 /* of a message */
#define EPOCH 1767225600000LL
#define NEIGHBOURS 4

typedef struct node {
	bct_true_time_t t;
	bct_time_t boot;   /* of its clock that does not jump, at the start */
	bct_time_t jump;   /* error of its wall clock */
	bool running;	   /* not suspended */
	bct_time_t queued; /* estimate that waited while it was suspended; 0: none */
} node_t;

typedef struct fleet {
	node_t nodes[NODES];
	bct_time_t ms; /* true time since the start */
} fleet_t;

static bct_time_t clock_of(const fleet_t *f, uint32_t i)
{
	return f->nodes[i].boot + f->ms;
}

static void start_node(fleet_t *f, uint32_t i, bct_time_t jump)
{
	f->nodes[i] = (node_t){ .boot = 1000000 * (i + 1) - f->ms, .jump = jump, .running = true };
}

static void start(fleet_t *f)
{
	memset(f, 0, sizeof(*f));
	for (uint32_t i = 0; i < NODES; i++)
		start_node(f, i, 0);
}

static void tell(fleet_t *f, uint32_t from, uint32_t to)
{
	bct_time_t estimate = bct_true_time_at(&f->nodes[from].t, clock_of(f, from)) - DELAY_MS;

	if (!bct_true_time_is_settled(&f->nodes[from].t, clock_of(f, from)))
		return;
	if (f->nodes[to].running)
		bct_true_time_heard(&f->nodes[to].t, clock_of(f, to), 100 + from, estimate);
	else if (!f->nodes[to].queued)
		f->nodes[to].queued = estimate;
}

/* A node that wakes up reads what has waited before its timer runs. */
static void step_node(fleet_t *f, uint32_t i)
{
	node_t *node = &f->nodes[i];

	if (!node->running)
		return;
	for (uint32_t peer = 1; node->queued && peer <= NEIGHBOURS; peer++)
		bct_true_time_heard(&node->t, clock_of(f, i), 200 + peer, node->queued);
	node->queued = 0;
	bct_true_time_advance(&node->t, clock_of(f, i), EPOCH + f->ms + node->jump);
	for (uint32_t k = 1; k <= NEIGHBOURS && (f->ms + 100 * i) % TELL_MS == 0; k++)
		tell(f, i, (i + k) % NODES);
}

/* returns the largest error of an estimate during that time; of nodes first to NODES - 1 */
static bct_time_t run(fleet_t *f, bct_time_t ms, uint32_t first)
{
	bct_time_t worst = 0;

	for (bct_time_t end = f->ms + ms; f->ms < end; f->ms += STEP_MS) {
		for (uint32_t i = 0; i < NODES; i++) {
			bct_time_t error;

			step_node(f, i);
			error = llabs(bct_true_time_at(&f->nodes[i].t, clock_of(f, i)) - EPOCH -
				      f->ms);
			if (i >= first && f->nodes[i].running && error > worst)
				worst = error;
		}
	}
	return worst;
}

/* Guards against requests counted in the wrong window while wall clocks are wrong for seconds. */
static void expect_jump(uint32_t nodes, bct_time_t jump)
{
	fleet_t f;

	start(&f);
	cr_expect_eq(run(&f, 10000, 0), 0);
	for (uint32_t i = 0; i < nodes; i++)
		f.nodes[i].jump = jump;
	cr_expect_leq(run(&f, 8000, 0), 80);
	for (uint32_t i = 0; i < nodes; i++)
		f.nodes[i].jump = 0;
	run(&f, STEP_MS, 0);
	cr_expect_eq(run(&f, 10000, 0), 0, "%u nodes, %lld ms", nodes, (long long)jump);
}

Test(true_time, a_wall_clock_jumps_for_seconds)
{
	expect_jump(1, 2000);
	expect_jump(1, -2000);
}

Test(true_time, some_wall_clocks_jump_for_seconds)
{
	expect_jump(3, 2000);
	expect_jump(3, -2000);
	expect_jump(NODES, 2000);
}

/* Guards against a single node that never follows a wall clock that was set right. */
Test(true_time, without_peers_a_lasting_change_is_followed_slowly)
{
	bct_true_time_t t = { 0 };
	bct_time_t now = 5000;

	bct_true_time_advance(&t, now, EPOCH + now);
	for (int s = 1; s <= 60; s++) {
		bct_time_t before = bct_true_time_at(&t, now) - now;

		for (int i = 0; i < 10; i++) {
			now += STEP_MS;
			bct_true_time_advance(&t, now, EPOCH + now + 500);
		}
		if (s <= 40)
			cr_assert_eq(bct_true_time_at(&t, now) - now, before + 10);
	}
	cr_assert_eq(bct_true_time_at(&t, now), EPOCH + now + 500);
}

/* Guards against small corrections of the wall clock being ignored. */
Test(true_time, small_steps_are_followed_at_once)
{
	bct_true_time_t t = { 0 };

	bct_true_time_advance(&t, 5000, EPOCH);
	bct_true_time_advance(&t, 5100, EPOCH + 180);
	cr_assert_eq(bct_true_time_at(&t, 5100), EPOCH + 180);
}

/* Guards against messages that waited for a suspended node setting it back. */
Test(true_time, a_node_is_suspended)
{
	fleet_t f;

	start(&f);
	run(&f, 10000, 0);
	f.nodes[0].running = false;
	run(&f, 4000, 1);
	f.nodes[0].running = true;
	cr_expect_eq(run(&f, 20000, 0), 0);
}

/* Guards against a node that goes on with a wrong clock, and against it misleading the others. */
Test(true_time, a_node_starts_while_its_clock_is_off)
{
	for (bct_time_t jump = -2000; jump <= 2000; jump += 4000) {
		fleet_t f;

		start(&f);
		run(&f, 10000, 0);
		start_node(&f, 0, jump);
		cr_expect_eq(run(&f, 1500, 1), 0);
		cr_expect_leq(run(&f, 30000, 0), 150, "corrected, again and again");
		f.nodes[0].jump = 0;
		run(&f, STEP_MS, 0);
		cr_expect_eq(run(&f, 10000, 0), 0);
	}
}

/* Guards against several nodes that start with wrong clocks correcting one that is right. */
Test(true_time, some_nodes_start_while_their_clocks_are_off)
{
	fleet_t f;

	start(&f);
	run(&f, 10000, 0);
	for (uint32_t i = 0; i < 3; i++)
		start_node(&f, i, 2000);
	cr_expect_eq(run(&f, 2000, 3), 0);
	cr_expect_leq(run(&f, 30000, 0), 150);
}

/* Guards against the memory of 350 peers: some suffice. */
Test(true_time, more_peers_than_are_kept)
{
	bct_true_time_t t = { 0 };

	bct_true_time_advance(&t, 5000, EPOCH + 2000);
	for (uint64_t peer = 1; peer <= 350; peer++)
		bct_true_time_heard(&t, 5050, peer, EPOCH + 50);
	cr_assert_eq(bct_true_time_advance(&t, 5100, EPOCH + 2100), -2000);
	cr_assert_eq(bct_true_time_at(&t, 5100), EPOCH + 100);
}
