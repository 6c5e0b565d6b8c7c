/*
 * test_gate_fleet.c - several gateways in one process: what they tell each other.
 */
#include "base/clock.h"
#include "gate/gate_int.h"
#include "tests/util_gate.h"

#include <criterion/criterion.h>
#include <stdio.h>

#define FEW 3
#define MANY 16 /* enough for hubs */
#define PATIENCE_MS 15000

static test_gate_t gates[MANY];

static void set_flag(bool *flag, bool to)
{
	pthread_mutex_lock(&gates[0].lock);
	*flag = to;
	pthread_mutex_unlock(&gates[0].lock);
}

/* Until each gateway sees all the others and two of them read the registry. */
static void settle(uint32_t n)
{
	bct_time_t end = bct_clock_now() + PATIENCE_MS;
	uint32_t ready = 0;

	while (ready < n && bct_clock_now() < end) {
		ready = 0;
		for (uint32_t i = 0; i < n; i++)
			ready += gates[i].gate->nodes == n;
		bct_clock_sleep(50);
	}
	cr_assert_eq(ready, n, "%u of %u gateways see all", ready, n);
	/* Two rounds of the share protocol and its look at the members. */
	bct_clock_sleep(1500);
}

static bool is_reader(uint32_t i)
{
	return gates[i].gate->rank < 2;
}

/* All but the readers lose the registry: they know what they are told. */
static void cut_followers(uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		if (!is_reader(i))
			set_flag(&gates[i].down, true);
	}
}

/* Asks a gateway until it has no upstream for the service. */
static bool refuses_soon(test_gate_t *t, const char *name)
{
	bct_time_t end = bct_clock_now() + PATIENCE_MS;

	for (int i = 0; bct_clock_now() < end; i++) {
		char id[48];
		bct_buf_t out;
		int status;

		snprintf(id, sizeof(id), "%s-%d", name, i);
		status = test_gate_call(t, "POST", "/unsafe/a", id, "ok", &out);
		bct_buf_free(&out);
		if (status == 503)
			return true;
		bct_clock_sleep(100);
	}
	return false;
}

static void followers_learn(uint32_t n, const char *what)
{
	for (uint32_t i = 0; i < n; i++) {
		char name[24];

		snprintf(name, sizeof(name), "%s%u", what, i);
		cr_assert(is_reader(i) || refuses_soon(&gates[i], name), "%s: gateway %u of %u",
			  what, i, n);
	}
}

/* Readers that list instead of watching, as after a gap in the registry's history. */
Test(gate_fleet, what_a_listing_showed_is_told)
{
	test_gate_start_fleet(gates, FEW);
	settle(FEW);
	cut_followers(FEW);
	set_flag(&gates[0].desk_drains, true);
	followers_learn(FEW, "drains");
}

Test(gate_fleet, what_a_listing_lacked_is_told)
{
	test_gate_start_fleet(gates, FEW);
	settle(FEW);
	cut_followers(FEW);
	set_flag(&gates[0].desk_listed, false);
	followers_learn(FEW, "gone");
}

Test(gate_fleet, hubs_pass_changes_on)
{
	test_gate_start_fleet(gates, MANY);
	settle(MANY);
	cut_followers(MANY);
	set_flag(&gates[0].desk_drains, true);
	followers_learn(MANY, "hubs");
}

static int32_t load_heard(const bct_gate_t *g)
{
	const bct_list_t *el;
	int32_t sum = 0;

	bct_list_for_each(el, &g->upstreams.all)
		sum += bct_container_of(el, bct_gate_upstream_t, link)->peer_running;
	return sum;
}

static bool all_hear(uint32_t n, int32_t load, uint32_t ms)
{
	bct_time_t end = bct_clock_now() + ms;
	uint32_t hear = 0;

	while (hear < n - 1 && bct_clock_now() < end) {
		hear = 0;
		for (uint32_t i = 1; i < n; i++)
			hear += load_heard(gates[i].gate) == load;
		bct_clock_sleep(10);
	}
	return hear == n - 1;
}

static void *long_stream(void *arg)
{
	bct_buf_t out;

	test_gate_call(arg, "POST", "/stream/a", "long", "streamslow", &out);
	bct_buf_free(&out);
	return NULL;
}

/* One stream at one gateway is one at every other's count, and none after its end. */
Test(gate_fleet, load_is_heard_through_hubs)
{
	pthread_t caller;

	test_gate_start_fleet(gates, MANY);
	settle(MANY);
	cr_assert(all_hear(MANY, 0, PATIENCE_MS));
	cr_assert_eq(pthread_create(&caller, NULL, long_stream, &gates[0]), 0);
	cr_assert(all_hear(MANY, 1, PATIENCE_MS), "while it runs");
	pthread_join(caller, NULL);
	cr_assert(all_hear(MANY, 0, PATIENCE_MS), "after its end");
}
