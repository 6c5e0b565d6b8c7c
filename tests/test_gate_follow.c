/*
 * test_gate_follow.c - which nodes poll the registry when (policy/gate_poll): the number of calls
 * does not grow with the number of nodes, and no node waits for a poller that cannot reach the
 * registry.
 */
#include "policy/gate_poll.h"

#include <criterion/criterion.h>
#include <string.h>

#define INTERVAL_MS 700
#define MESSAGE_MS 100
#define TICK_MS 100

/* Nodes that receive a message from each poller every tick; the registry answers at once. */
typedef struct fleet {
	bct_gate_poll_t nodes[70];
	uint32_t n;
	uint64_t version;   /* at the registry */
	uint64_t known[70]; /* version at each node */
	uint32_t calls;
	bool pollers_disconnected; /* no poller can reach the registry */
} fleet_t;

static void fleet_init(fleet_t *f, uint32_t n)
{
	memset(f, 0, sizeof(*f));
	f->n = n;
	f->version = 1;
	for (uint32_t i = 0; i < n; i++) {
		bct_gate_poll_init(&f->nodes[i], INTERVAL_MS);
		f->nodes[i].message_interval_ms = MESSAGE_MS;
	}
}

static void poll_registry(fleet_t *f, uint32_t i, bct_time_t now)
{
	bct_gate_local_versions_t local = { .rank = i,
					    .routes_version = f->known[i],
					    .upstreams_digest = f->known[i] };
	bct_gate_due_t due = bct_gate_poll_due(&f->nodes[i], now, &local);

	if (!due.routes && !due.upstreams)
		return;
	f->calls++;
	if (f->pollers_disconnected && i < BCT_GATE_POLLERS) {
		bct_gate_poll_result(&f->nodes[i], now, false);
		return;
	}
	bct_gate_poll_result(&f->nodes[i], now, true);
	f->known[i] = f->version;
}

static void step(fleet_t *f, bct_time_t now)
{
	for (uint32_t i = 0; i < f->n; i++)
		poll_registry(f, i, now);
	for (uint32_t r = 0; r < BCT_GATE_POLLERS && r < f->n; r++) {
		bct_gate_peer_versions_t h = { .received_at = now,
					       .registry_answered_at = f->nodes[r].answered_at,
					       .routes_version = f->known[r],
					       .upstreams_digest = f->known[r] };

		for (uint32_t i = 0; i < f->n; i++) {
			if (i != r)
				bct_gate_poll_received(&f->nodes[i], &h);
		}
	}
}

static bct_time_t run(fleet_t *f, bct_time_t from, bct_time_t ms)
{
	for (bct_time_t now = from; now < from + ms; now += TICK_MS)
		step(f, now);
	return from + ms;
}

Test(gate_follow, calls_do_not_grow_with_nodes)
{
	uint32_t calls[2];

	for (int i = 0; i < 2; i++) {
		fleet_t f;
		bct_time_t now;

		fleet_init(&f, i ? 70 : 7);
		now = run(&f, 100000, 3000);
		f.calls = 0;
		run(&f, now, 60000);
		calls[i] = f.calls;
	}
	cr_assert_eq(calls[0], calls[1], "%u and %u", calls[0], calls[1]);
	cr_assert_leq(calls[1], BCT_GATE_POLLERS * (60000 / INTERVAL_MS + 1));
}

/* A change reaches every node within 1800 ms. */
Test(gate_follow, a_change_is_known_everywhere)
{
	fleet_t f;
	bct_time_t now;

	fleet_init(&f, 7);
	now = run(&f, 100000, 3000);
	f.version = 2;
	run(&f, now, 1800);
	for (uint32_t i = 0; i < f.n; i++)
		cr_assert_eq(f.known[i], 2, "node %u", i);
}

/* When the pollers lose the registry, the other nodes poll it themselves. */
Test(gate_follow, pollers_may_lose_the_registry)
{
	fleet_t f;
	bct_time_t now;

	fleet_init(&f, 7);
	now = run(&f, 100000, 3000);
	f.pollers_disconnected = true;
	f.version = 2;
	run(&f, now, 1800);
	for (uint32_t i = BCT_GATE_POLLERS; i < f.n; i++)
		cr_assert_eq(f.known[i], 2, "node %u", i);
}

/* A node that receives no messages polls itself, and less often while its polls fail. */
Test(gate_follow, a_node_without_peers_polls)
{
	bct_gate_local_versions_t local = { .rank = 5 };
	bct_gate_poll_t f;
	uint32_t calls = 0;

	bct_gate_poll_init(&f, INTERVAL_MS);
	for (bct_time_t now = 100000; now < 110000; now += TICK_MS) {
		if (!bct_gate_poll_due(&f, now, &local).routes)
			continue;
		calls++;
		bct_gate_poll_result(&f, now, false);
	}
	cr_assert(calls >= 10 && calls <= 30, "%u calls in 10 s", calls);
}

/*
 * Counts the listings of a node that is no poller. Its upstreams change every change_ms (0: never),
 * a peer sends a message every message_interval_ms, and the peer's digest differs from the node's
 * by behind.
 */
static uint32_t listings(uint32_t change_ms, uint32_t message_interval_ms, uint64_t behind)
{
	bct_gate_local_versions_t local = { .rank = 5, .upstreams_digest = 1 };
	bct_gate_poll_t f;
	uint32_t n = 0;

	bct_gate_poll_init(&f, INTERVAL_MS);
	f.message_interval_ms = message_interval_ms;
	for (uint32_t ms = 0; ms < 30000; ms += TICK_MS) {
		bct_time_t now = 100000 + ms;

		if (change_ms && ms % change_ms == 0)
			local.upstreams_digest++;
		if (ms % message_interval_ms == 0)
			bct_gate_poll_received(
				&f, &(bct_gate_peer_versions_t){
					    .received_at = now,
					    .registry_answered_at = now,
					    .upstreams_digest = local.upstreams_digest + behind });
		if (ms >= 1000)
			n += bct_gate_poll_due(&f, now, &local).upstreams;
	}
	return n;
}

/*
 * During a rolling release of hundreds of upstreams every node receives each change by message.
 * Digests that differ only because a change is on its way must not cause a full listing each time.
 */
Test(gate_follow, churn_is_not_listed_over_and_over)
{
	cr_assert_eq(listings(300, 900, 0), 0);
	cr_assert_eq(listings(500, 3700, 0), 0);
	cr_assert_eq(listings(100, 100, 0), 0);
}

/* A change whose message was lost is found by polling, also while other changes keep coming. */
Test(gate_follow, a_lost_change_is_found)
{
	/* Within 2 s each time, in the 29 s that are counted. */
	cr_assert_geq(listings(0, 900, 7), 14);
	cr_assert_geq(listings(300, 900, 7), 14);
	cr_assert_geq(listings(300, 100, 7), 14);
}

/* A hub may relay a poller's message with its own, older version; the newer one still counts. */
Test(gate_follow, a_version_once_received_is_polled)
{
	bct_gate_local_versions_t local = { .rank = 5, .routes_version = 1 };
	bct_gate_poll_t f;

	bct_gate_poll_init(&f, INTERVAL_MS);
	bct_gate_poll_received(&f, &(bct_gate_peer_versions_t){ .received_at = 100000,
								.registry_answered_at = 100000,
								.routes_version = 2 });
	bct_gate_poll_received(&f, &(bct_gate_peer_versions_t){ .received_at = 100020,
								.registry_answered_at = 100000,
								.routes_version = 1 });
	cr_assert(bct_gate_poll_due(&f, 100100, &local).routes);
}
