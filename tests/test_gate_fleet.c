/*
 * test_gate_fleet.c - several gateways in one process: the messages that they exchange.
 */
#include "base/clock.h"
#include "gate/gate_int.h"
#include "tests/util_gate.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define SMALL_FLEET 3
#define LARGE_FLEET 16 /* more gateways than exchange load without hubs */
#define TIMEOUT_MS 15000

static test_gate_t gates[LARGE_FLEET];

static void set_flag(bool *flag, bool to)
{
	pthread_mutex_lock(&gates[0].lock);
	*flag = to;
	pthread_mutex_unlock(&gates[0].lock);
}

static bool is_reader(uint32_t i)
{
	return gates[i].gate->rank < 2;
}

/* Makes the registry unavailable to all but the readers: the others learn changes from peers. */
static void disconnect_non_readers(uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		if (!is_reader(i))
			set_flag(&gates[i].down, true);
	}
}

/* Sends requests until the gateway answers that the service has no upstream. */
static bool loses_upstream(test_gate_t *t, const char *name)
{
	bct_time_t end = bct_clock_now() + TIMEOUT_MS;

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

static void assert_non_readers_lose_upstream(uint32_t n, const char *what)
{
	for (uint32_t i = 0; i < n; i++) {
		char name[24];

		snprintf(name, sizeof(name), "%s%u", what, i);
		cr_assert(is_reader(i) || loses_upstream(&gates[i], name),
			  "%s: gateway %u of %u still has an upstream", what, i, n);
	}
}

/*
 * A change can reach a reader by a listing instead of a read of changes, as after a gap in the
 * registry's history. The other nodes must receive it all the same.
 */
Test(gate_fleet, change_found_by_listing_is_sent)
{
	test_gate_start_fleet(gates, SMALL_FLEET);
	test_gate_wait_joined(gates, SMALL_FLEET);
	disconnect_non_readers(SMALL_FLEET);
	set_flag(&gates[0].desk_drains, true);
	assert_non_readers_lose_upstream(SMALL_FLEET, "drains");
}

/* An upstream that is missing from a listing counts as removed; the removal must be sent, too. */
Test(gate_fleet, removal_found_by_listing_is_sent)
{
	test_gate_start_fleet(gates, SMALL_FLEET);
	test_gate_wait_joined(gates, SMALL_FLEET);
	disconnect_non_readers(SMALL_FLEET);
	set_flag(&gates[0].desk_listed, false);
	assert_non_readers_lose_upstream(SMALL_FLEET, "gone");
}

/*
 * A configuration that takes seconds to transfer, while engines are replaced: the upstreams must
 * not wait for the routes.
 */
Test(gate_fleet, a_long_read_of_routes_holds_up_no_upstreams)
{
	test_gate_start_fleet(gates, SMALL_FLEET);
	test_gate_wait_joined(gates, SMALL_FLEET);
	disconnect_non_readers(SMALL_FLEET);
	set_flag(&gates[0].routes_hang, true);
	bct_clock_sleep(2 * gates[0].settings.platform_poll_ms);
	set_flag(&gates[0].desk_drains, true);
	assert_non_readers_lose_upstream(SMALL_FLEET, "drains");
	set_flag(&gates[0].routes_hang, false);
	pthread_cond_broadcast(&gates[0].routes_resume);
}

/* An engine states to one node that it leaves, and the registry lists it as ready: all nodes know.
 */
Test(gate_fleet, a_stated_leaving_is_sent)
{
	bct_buf_t out;

	test_gate_start_fleet(gates, SMALL_FLEET);
	test_gate_wait_joined(gates, SMALL_FLEET);
	cr_assert_eq(test_gate_call(&gates[1], "POST", "/unsafe/a", "leaves", "leaving", &out),
		     200);
	bct_buf_free(&out);
	for (uint32_t i = 0; i < SMALL_FLEET; i++) {
		char name[24];

		snprintf(name, sizeof(name), "left%u", i);
		cr_assert(loses_upstream(&gates[i], name), "gateway %u", i);
	}
}

static uint32_t arrivals(void)
{
	uint32_t n;

	pthread_mutex_lock(&gates[0].lock);
	n = gates[0].n_runs;
	pthread_mutex_unlock(&gates[0].lock);
	return n;
}

/* Sends requests to all gateways in turn, whose answers name a limit of one request a second. */
static void send_limited(uint32_t n, const char *name)
{
	for (uint32_t i = 0; i < n; i++) {
		char id[32];
		bct_buf_t out;

		snprintf(id, sizeof(id), "%s-%u", name, i);
		test_gate_call(&gates[i % LARGE_FLEET], "POST", "/unsafe/a", id, "limit", &out);
		bct_buf_free(&out);
	}
}

/* Checks what has arrived since a time: one and a half times the limit and five, in 4 s. */
static void assert_limit_kept(uint32_t before, bct_time_t from, const char *what)
{
	bct_time_t elapsed_ms = bct_clock_now() - from;
	uint32_t n = arrivals() - before;

	if (elapsed_ms < 4000)
		elapsed_ms = 4000;
	cr_assert_leq(n, 5 + elapsed_ms * 3 / 2 / BCT_MS_PER_S, "%s: %u requests in %lld ms", what,
		      n, (long long)elapsed_ms);
}

/*
 * An engine names a limit to one node of a fleet with hubs. The others know it before they have
 * sent it anything, and all together send no more than the limit, though each has requests for it.
 */
Test(gate_fleet, a_limit_is_kept_together)
{
	bct_time_t from;
	uint32_t before;

	test_gate_start_fleet(gates, LARGE_FLEET);
	test_gate_wait_joined(gates, LARGE_FLEET);
	send_limited(1, "named");
	bct_clock_sleep(1500);
	before = arrivals();
	from = bct_clock_now();
	send_limited(LARGE_FLEET, "first");
	assert_limit_kept(before, from, "one request at each node");
	send_limited(10 * LARGE_FLEET, "many");
	assert_limit_kept(before, from, "ten requests at each node");
}

/* Makes the registry unavailable to all gateways but the one of the highest rank. */
static void disconnect_all_but_last(uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		if (gates[i].gate->rank != n - 1)
			set_flag(&gates[i].down, true);
	}
}

static uint64_t routes_version(uint32_t i)
{
	return gates[i].gate->routes->version;
}

/* Waits until the gateway serves by the routes of the version. */
static bool gets_routes(uint32_t i, uint64_t version)
{
	bct_time_t end = bct_clock_now() + TIMEOUT_MS;

	while (routes_version(i) != version && bct_clock_now() < end)
		bct_clock_sleep(50);
	return routes_version(i) == version;
}

/*
 * The registry refuses all nodes but one, both readers included: the one takes over, and the others
 * get routes and upstreams from it or from each other.
 */
static void one_node_reaches_the_registry(uint32_t n)
{
	test_gate_start_fleet(gates, n);
	test_gate_wait_joined(gates, n);
	disconnect_all_but_last(n);
	/* Long enough for the readers' last answers to be no longer recent. */
	bct_clock_sleep(3000);
	test_gate_publish(&gates[0], test_gate_config(2, "desk"));
	set_flag(&gates[0].desk_listed, false);
	for (uint32_t i = 0; i < n; i++) {
		char name[24];

		cr_assert(gets_routes(i, 2), "gateway %u of %u has version %llu", i, n,
			  (unsigned long long)routes_version(i));
		snprintf(name, sizeof(name), "alone%u", i);
		cr_assert(loses_upstream(&gates[i], name), "gateway %u of %u", i, n);
	}
}

Test(gate_fleet, one_node_of_a_small_fleet_reaches_the_registry)
{
	one_node_reaches_the_registry(SMALL_FLEET);
}

Test(gate_fleet, one_node_of_a_large_fleet_reaches_the_registry)
{
	one_node_reaches_the_registry(LARGE_FLEET);
}

/* Configurations contain API keys: only a node of the fleet, which knows the secret, gets them. */
Test(gate_fleet, a_pull_needs_the_secret)
{
	static const char *const headers[] = {
		"",
		"Authorization: 0000000000000001 00000000000000000000000000000000\r\n",
		"Authorization: 1\r\n",
	};

	test_gate_start_fleet(gates, SMALL_FLEET);
	for (uint32_t i = 0; i < 3; i++) {
		char text[256];
		bct_buf_t out;

		snprintf(text, sizeof(text),
			 "GET /peer/routes HTTP/1.1\r\nHost: h\r\nConnection: close\r\n%s\r\n",
			 headers[i]);
		test_gate_admin(&gates[0], text, TIMEOUT_MS, &out);
		cr_assert_eq(strncmp(out.data, "HTTP/1.1 403", 12), 0, "%s", out.data);
		cr_assert_null(strstr(out.data, "api_keys"));
		bct_buf_free(&out);
	}
}

Test(gate_fleet, hubs_relay_changes)
{
	test_gate_start_fleet(gates, LARGE_FLEET);
	test_gate_wait_joined(gates, LARGE_FLEET);
	disconnect_non_readers(LARGE_FLEET);
	set_flag(&gates[0].desk_drains, true);
	assert_non_readers_lose_upstream(LARGE_FLEET, "hubs");
}

/* Waits until the gateway knows whether the desk may be reclaimed, and when it leaves. */
static bool learns_reclaim(test_gate_t *t, uint32_t leaves_ms)
{
	bct_time_t end = bct_clock_now() + TIMEOUT_MS;

	while (bct_clock_now() < end) {
		const bct_gate_upstream_t *u =
			bct_gate_upstreams_find(&t->gate->upstreams, gates[0].desk.id);

		if (u && u->entry.spot && u->entry.leaves_ms == leaves_ms)
			return true;
		bct_clock_sleep(20);
	}
	return false;
}

/*
 * Only readers hear from the registry that an engine may be reclaimed, and when: the holder of the
 * duties, which counts engines, may be another node.
 */
static void assert_reclaim_is_sent(uint32_t n)
{
	test_gate_start_fleet(gates, n);
	test_gate_wait_joined(gates, n);
	disconnect_non_readers(n);
	set_flag(&gates[0].desk_spot, true);
	for (uint32_t i = 0; i < n; i++)
		cr_assert(learns_reclaim(&gates[i], 0), "gateway %u of %u: spot", i, n);
	set_flag(&gates[0].desk_drains, true);
	for (uint32_t i = 0; i < n; i++)
		cr_assert(learns_reclaim(&gates[i], 1800), "gateway %u of %u: leaves", i, n);
}

Test(gate_fleet, a_reclaim_is_sent)
{
	assert_reclaim_is_sent(SMALL_FLEET);
}

Test(gate_fleet, a_reclaim_is_sent_through_hubs)
{
	assert_reclaim_is_sent(LARGE_FLEET);
}

/* A node that has never reached the registry pulls the upstreams from a peer. */
Test(gate_fleet, a_reclaim_is_pulled)
{
	test_gate_start_fleet(gates, SMALL_FLEET);
	set_flag(&gates[0].desk_spot, true);
	test_gate_wait_joined(gates, SMALL_FLEET);
	cr_assert(learns_reclaim(&gates[0], 0));
	test_gate_join_fleet_down(gates, SMALL_FLEET);
	cr_assert(learns_reclaim(&gates[SMALL_FLEET], 0));
}

/* Running requests at all upstreams, as reported by the other gateways. */
static int32_t received_load(const bct_gate_t *g)
{
	const bct_list_t *el;
	int32_t sum = 0;

	bct_list_for_each(el, &g->upstreams.all)
		sum += bct_container_of(el, bct_gate_upstream_t, link)->peer_running;
	return sum;
}

/* Waits until all gateways but the first have received the load. */
static bool all_receive_load(uint32_t n, int32_t load, uint32_t timeout_ms)
{
	bct_time_t end = bct_clock_now() + timeout_ms;
	uint32_t matching = 0;

	while (matching < n - 1 && bct_clock_now() < end) {
		matching = 0;
		for (uint32_t i = 1; i < n; i++)
			matching += received_load(gates[i].gate) == load;
		bct_clock_sleep(10);
	}
	return matching == n - 1;
}

static void *long_stream(void *arg)
{
	bct_buf_t out;

	test_gate_call(arg, "POST", "/stream/a", "long", "streamslow", &out);
	bct_buf_free(&out);
	return NULL;
}

/*
 * Each other gateway counts a stream at one gateway exactly once, also where hubs aggregate the
 * load, and no longer after its end.
 */
Test(gate_fleet, load_is_received_through_hubs)
{
	pthread_t caller;

	test_gate_start_fleet(gates, LARGE_FLEET);
	test_gate_wait_joined(gates, LARGE_FLEET);
	cr_assert(all_receive_load(LARGE_FLEET, 0, TIMEOUT_MS));
	cr_assert_eq(pthread_create(&caller, NULL, long_stream, &gates[0]), 0);
	cr_assert(all_receive_load(LARGE_FLEET, 1, TIMEOUT_MS),
		  "the stream is not counted once by each other gateway");
	pthread_join(caller, NULL);
	cr_assert(all_receive_load(LARGE_FLEET, 0, TIMEOUT_MS),
		  "the stream is still counted after its end");
}

/* What one gateway had turned away by a brittle upstream holds the others back, too. */
Test(gate_fleet, a_brittle_upstream_is_left_alone_by_all)
{
	bct_buf_t out;
	uint32_t reached = 0;

	test_gate_start_fleet(gates, SMALL_FLEET);
	test_gate_wait_joined(gates, SMALL_FLEET);
	for (uint32_t i = 0; i < SMALL_FLEET; i++) {
		char id[16];

		snprintf(id, sizeof(id), "known-%u", i);
		test_gate_call(&gates[i], "POST", "/unsafe/a", id, "brittle", &out);
		bct_buf_free(&out);
	}
	/* What may be sent unseen is earned from then on. */
	bct_clock_sleep(100);
	test_gate_call(&gates[0], "POST", "/unsafe/a", "full", "brittlefull", &out);
	bct_buf_free(&out);
	cr_assert_eq(test_gate_runs(&gates[0], "full"), 1);
	bct_clock_sleep(200);
	for (uint32_t i = 0; i < SMALL_FLEET; i++) {
		char id[16];

		snprintf(id, sizeof(id), "after-%u", i);
		test_gate_call(&gates[i], "POST", "/unsafe/a", id, "brittle", &out);
		bct_buf_free(&out);
		reached += test_gate_runs(&gates[0], id);
	}
	cr_expect_eq(reached, 0);
}
