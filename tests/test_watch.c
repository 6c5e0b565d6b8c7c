/*
 * test_watch.c - which nodes poll an engine and which receive its reports, under datagram loss,
 * node crashes and engine restarts, in virtual time.
 */
#include "base/err.h"
#include "bench/vnet.h"
#include "policy/rendezvous.h"

#include <criterion/criterion.h>
#include <string.h>

#define SETTLE_MS 60000
#define ENGINES_MAX 64

/* Simulated engines. They answer polls, unless they are down. */
typedef struct engines {
	bct_report_t r[ENGINES_MAX];
	bool down[ENGINES_MAX];
	uint32_t polls[ENGINES_MAX];
} engines_t;

static void poll_engines(vnet_t *net)
{
	engines_t *e = net->ctx;

	for (uint32_t i = 0; i < net->n; i++) {
		uint64_t due[ENGINES_MAX];
		uint32_t n;

		if (!net->nodes[i].up || net->nodes[i].paused || net->now % 50)
			continue;
		n = bct_watch_due(net->nodes[i].watch, net->now, due, ENGINES_MAX);
		for (uint32_t j = 0; j < n; j++) {
			uint32_t k = (uint32_t)due[j] - 1;

			e->polls[k]++;
			if (e->down[k])
				continue;
			e->r[k].seq++;
			bct_watch_polled(net->nodes[i].watch, net->now, &e->r[k]);
		}
	}
}

static vnet_t *fleet(uint64_t seed, uint32_t n, uint32_t n_engines, engines_t *e)
{
	vnet_t *net = vnet_new(seed);

	memset(e, 0, sizeof(*e));
	net->n_engines = n_engines;
	for (uint32_t i = 0; i < n_engines; i++) {
		net->engines[i] = i + 1;
		e->r[i].upstream_key = i + 1;
		e->r[i].boot_id = 1;
		e->r[i].running = i + 10;
	}
	net->ctx = e;
	net->check = poll_engines;
	vnet_start_all(net, n);
	cr_assert_geq(vnet_run_until(net, vnet_converged, SETTLE_MS), 0);
	vnet_run(net, 5000);
	return net;
}

Test(watch, an_engine_is_polled_once_a_second_in_any_fleet_size)
{
	for (uint32_t n = 1; n <= 25; n *= 5) {
		engines_t e;
		vnet_t *net = fleet(n, n, 10, &e);

		memset(e.polls, 0, sizeof(e.polls));
		vnet_run(net, 20000);
		for (uint32_t i = 0; i < 10; i++) {
			cr_assert_geq(e.polls[i], 17, "n %u engine %u: %u", n, i, e.polls[i]);
			cr_assert_leq(e.polls[i], 21, "n %u engine %u: %u", n, i, e.polls[i]);
		}
		vnet_free(net);
	}
}

static bool all_received(vnet_t *net)
{
	const engines_t *e = net->ctx;

	for (uint32_t i = 0; i < net->n; i++) {
		const vnode_t *n = &net->nodes[i];

		if (n->up &&
		    (n->report.running != e->r[0].running || n->report.boot_id != e->r[0].boot_id))
			return false;
	}
	return true;
}

Test(watch, changes_reach_every_subscriber_on_a_lossy_network)
{
	engines_t e;
	vnet_t *net = fleet(2, 7, 1, &e);

	net->loss_permille = 200;
	net->delay_max_ms = 100;
	for (uint32_t v = 1; v < 40; v++) {
		e.r[0].running = v * 100;
		e.r[0].kv_used_tokens = v * 1000;
		e.r[0].running_by_tier[4] = v;
		cr_assert_geq(vnet_run_until(net, all_received, 15000), 0, "value %u", v);
	}
	vnet_free(net);
}

Test(watch, the_backup_takes_over_from_any_crashed_watcher)
{
	for (uint32_t victim = 0; victim < 5; victim++) {
		engines_t e;
		vnet_t *net = fleet(victim + 1, 5, 8, &e);

		vnet_crash(net, victim);
		vnet_run(net, 15000);
		memset(e.polls, 0, sizeof(e.polls));
		vnet_run(net, 10000);
		for (uint32_t i = 0; i < 8; i++)
			cr_assert_geq(e.polls[i], 7, "victim %u engine %u", victim, i);
		vnet_free(net);
	}
}

Test(watch, a_late_report_of_the_previous_boot_is_dropped)
{
	engines_t e;
	vnet_t *net = fleet(3, 1, 1, &e);
	bct_watch_t *w = net->nodes[0].watch;
	bct_report_t old = e.r[0];

	net->check = NULL;
	e.r[0].boot_id = 2;
	e.r[0].seq = 1;
	e.r[0].running = 0;
	bct_watch_polled(w, net->now, &e.r[0]);
	cr_assert_eq(net->nodes[0].report.boot_id, 2,
		     "sequence numbers start at 1 again after a restart");
	old.seq += 100;
	old.age_ms = 2000;
	bct_watch_polled(w, net->now, &old);
	cr_assert_eq(net->nodes[0].report.boot_id, 2);
	vnet_free(net);
}

static bool all_know_leaving(vnet_t *net)
{
	for (uint32_t i = 0; i < net->n; i++) {
		if (net->nodes[i].up && net->nodes[i].leaving_upstream != 1)
			return false;
	}
	return true;
}

static bool none_knows_leaving(vnet_t *net)
{
	for (uint32_t i = 0; i < net->n; i++) {
		if (net->nodes[i].up && net->nodes[i].leaving_upstream)
			return false;
	}
	return true;
}

Test(watch, all_nodes_know_a_leaving_engine_until_it_restarts)
{
	for (uint32_t n = 7; n <= 56; n *= 8) {
		engines_t e;
		vnet_t *net = fleet(n, n, 1, &e);

		net->loss_permille = 50;
		e.r[0].leaving = true;
		/* Up to 1 s until the next poll, then less than 2 s for the gossip. */
		cr_assert_geq(vnet_run_until(net, all_know_leaving, 3000), 0, "n %u", n);
		vnet_run(net, 90000);
		cr_assert(all_know_leaving(net),
			  "the notice must not expire while the engine is leaving");
		e.r[0].leaving = false;
		e.r[0].boot_id = 2;
		e.r[0].seq = 1;
		cr_assert_geq(vnet_run_until(net, none_knows_leaving, 15000), 0, "n %u", n);
		vnet_free(net);
	}
}

Test(watch, reports_go_to_subscribers_only)
{
	engines_t e;
	vnet_t *net = fleet(5, 20, 60, &e);
	uint64_t total = 0;

	for (uint32_t i = 0; i < 20; i++)
		net->nodes[i].reports = 0;
	vnet_run(net, 30000);
	for (uint32_t i = 0; i < 20; i++)
		total += net->nodes[i].reports;
	/*
	 * At most 1 report/s per node and engine: of the 60 engines, a node subscribes to 32 and
	 * watches or backs up 60 / 20 * 2 on average, with a margin of 4.
	 */
	cr_assert_leq(total, 20 * 30 * (32 + 60 / 20 * 2 + 4));
	cr_assert_geq(total, 20 * 30 / 3 * 32 / 2);
	vnet_free(net);
}

Test(watch, cache_events_reach_the_subscribers)
{
	engines_t e;
	vnet_t *net = fleet(6, 3, 1, &e);
	bct_cache_event_t ev[3] = {
		{ .upstream_key = 1, .seq = 1, .block = 5, .op = BCT_CACHE_ADD },
		{ .upstream_key = 1, .seq = 2, .block = 6, .op = BCT_CACHE_ADD },
		{ .upstream_key = 1, .seq = 4, .op = BCT_CACHE_RESET }
	};

	for (uint32_t i = 0; i < 3; i++) {
		uint64_t due;

		vnet_run(net, 1);
		net->check = NULL;
		vnet_run(net, 1100);
		if (!bct_watch_due(net->nodes[i].watch, net->now, &due, 1))
			continue;
		bct_watch_polled_events(net->nodes[i].watch, net->now, ev, 3);
		break;
	}
	vnet_run(net, 1000);
	for (uint32_t i = 0; i < 3; i++)
		cr_assert_eq(net->nodes[i].cache_events, 3, "node %u", i);
	vnet_free(net);
}

Test(watch, too_many_engines_keep_the_old_ones)
{
	engines_t e;
	vnet_t *net = fleet(7, 1, 2, &e);
	uint64_t due[4];

	cr_assert_eq(bct_watch_set_engines(net->nodes[0].watch, net->now, net->engines,
					   BCT_WATCH_ENGINES_MAX + 1),
		     -BCT_EFULL);
	net->check = NULL;
	vnet_run(net, 2000);
	cr_assert_eq(bct_watch_due(net->nodes[0].watch, net->now, due, 4), 2);
	vnet_free(net);
}

Test(watch, the_subset_has_its_size_and_changes_little)
{
	uint64_t keys[100];
	uint32_t in = 0, moved = 0;

	for (uint32_t i = 0; i < 100; i++)
		keys[i] = i + 1;
	for (uint32_t i = 0; i < 100; i++) {
		bool with = bct_subset_contains(77, keys[i], keys, 100, 32);

		in += with;
		moved += i < 99 && with != bct_subset_contains(77, keys[i], keys, 99, 32);
	}
	cr_assert_eq(in, 32);
	cr_assert_leq(moved, 1);
	cr_assert(!bct_subset_contains(77, 1000, keys, 100, 200));
}
