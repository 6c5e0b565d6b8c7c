/*
 * test_gate_follow.c - where each node gets routes and upstreams from (policy/gate_poll): the
 * number of calls to the registry does not grow with the number of nodes, no node waits for a
 * reader that the registry refuses, and a node that it refuses is served by its peers.
 */
#include "base/rng.h"
#include "policy/gate_poll.h"

#include <criterion/criterion.h>
#include <string.h>

#define INTERVAL_MS 700
#define MESSAGE_MS 200
#define SMALL_MESSAGE_MS 100 /* what nodes of a small fleet count with */
#define TICK_MS 100
#define NODES_MAX 200
/*
 * In force on every node before the smallest bound of the deployments, 2000 ms, while all is well;
 * 5000 ms more while the registry refuses some of the nodes of a large fleet.
 */
#define IN_FORCE_MS 1800
#define IN_FORCE_REFUSED_MS 6800

/* A node of the simulated fleet. Its data on a topic is one number, as the registry's. */
typedef struct node {
	bct_gate_poll_t poll;
	uint64_t data[BCT_REGISTRY_TOPICS];
	bool refused[BCT_REGISTRY_TOPICS]; /* by the registry */
	bool cut;			   /* neither sends nor receives messages */
	bool frozen;			   /* does nothing */
	uint32_t calls[BCT_REGISTRY_TOPICS];
	uint32_t pulls;
	bct_time_t pulled_at; /* start of a pull of routes in progress; 0: none */
	uint64_t pulled_from;
	uint32_t overlaps; /* times that routes were fetched while a pull was in progress */
} node_t;

/* Readers send a message to all nodes every MESSAGE_MS; it arrives in the next tick. */
typedef struct fleet {
	node_t nodes[NODES_MAX];
	uint32_t n;
	uint64_t data[BCT_REGISTRY_TOPICS]; /* at the registry */
	bool pull_fails;		    /* no pull gets an answer */
	uint32_t routes_pull_ms;	    /* how long a pull of routes takes */
} fleet_t;

static fleet_t fleet;

static uint64_t incarnation(uint32_t i)
{
	return 1000 + i;
}

static void fleet_init(fleet_t *f, uint32_t n)
{
	memset(f, 0, sizeof(*f));
	f->n = n;
	f->data[0] = f->data[1] = 1;
	for (uint32_t i = 0; i < n; i++) {
		bct_gate_poll_init(&f->nodes[i].poll, INTERVAL_MS);
		f->nodes[i].poll.self = incarnation(i);
		f->nodes[i].poll.message_interval_ms = MESSAGE_MS;
	}
}

static void call_registry(fleet_t *f, node_t *d, bct_time_t now, bct_registry_topic_t t)
{
	d->calls[t]++;
	if (!d->refused[t])
		d->data[t] = f->data[t];
	bct_gate_poll_result(&d->poll, now, t, now, !d->refused[t]);
}

static void pull(fleet_t *f, node_t *d, bct_registry_topic_t t, uint64_t from)
{
	node_t *peer = &f->nodes[from - incarnation(0)];
	bool ok = from >= incarnation(0) && from < incarnation(f->n) && !f->pull_fails &&
		  !peer->cut && !peer->frozen && !d->cut && peer->data[t] > d->data[t];

	d->pulls++;
	if (ok)
		d->data[t] = peer->data[t];
	bct_gate_poll_pulled(&d->poll, t, ok ? BCT_GATE_PULL_HELPED : BCT_GATE_PULL_FAILED);
}

/* Starts a pull, which ends at once unless pulls of routes take time. */
static void start_pull(fleet_t *f, node_t *d, bct_time_t now, bct_registry_topic_t t, uint64_t from)
{
	if (t != BCT_REGISTRY_ROUTES || !f->routes_pull_ms) {
		pull(f, d, t, from);
		return;
	}
	if (d->pulled_at) {
		d->overlaps++;
		bct_gate_poll_pulled(&d->poll, t, BCT_GATE_PULL_FAILED);
		return;
	}
	d->pulled_at = now;
	d->pulled_from = from;
}

static void end_pull(fleet_t *f, node_t *d, bct_time_t now)
{
	if (!d->pulled_at || now - d->pulled_at < (bct_time_t)f->routes_pull_ms)
		return;
	d->pulled_at = 0;
	pull(f, d, BCT_REGISTRY_ROUTES, d->pulled_from);
}

static void act(fleet_t *f, uint32_t i, bct_time_t now)
{
	node_t *d = &f->nodes[i];
	bct_gate_local_versions_t local = { .rank = i };

	end_pull(f, d, now);
	local.routes_version = d->data[0];

	for (uint32_t t = 0; t < BCT_REGISTRY_TOPICS && !d->frozen; t++) {
		bct_gate_due_t due;

		local.upstreams_digest = d->data[1];
		due = bct_gate_poll_due(&d->poll, now, (bct_registry_topic_t)t, &local);
		if (due.act == BCT_GATE_POLL_PULL)
			start_pull(f, d, now, (bct_registry_topic_t)t, due.from);
		else if (due.act && d->pulled_at && t == BCT_REGISTRY_ROUTES)
			d->overlaps++;
		if (due.act && due.act != BCT_GATE_POLL_PULL)
			call_registry(f, d, now, (bct_registry_topic_t)t);
	}
}

static void send_versions(fleet_t *f, uint32_t from, bct_time_t now)
{
	const node_t *d = &f->nodes[from];
	bct_gate_peer_versions_t v = { .received_at = now,
				       .from = incarnation(from),
				       .routes_version = d->data[0],
				       .upstreams_digest = d->data[1] };

	if (d->cut || d->frozen || !bct_gate_poll_advertises(&d->poll, now, from))
		return;
	for (uint32_t t = 0; t < BCT_REGISTRY_TOPICS; t++)
		v.reads[t] = bct_gate_poll_latest(&d->poll, (bct_registry_topic_t)t, true);
	for (uint32_t i = 0; i < f->n; i++) {
		if (i != from && !f->nodes[i].cut && !f->nodes[i].frozen)
			bct_gate_poll_received(&f->nodes[i].poll, &v);
	}
}

static void step(fleet_t *f, bct_time_t now)
{
	for (uint32_t i = 0; i < f->n; i++)
		act(f, i, now);
	for (uint32_t i = 0; i < f->n && now % MESSAGE_MS == 0; i++)
		send_versions(f, i, now);
}

static bct_time_t run(fleet_t *f, bct_time_t from, bct_time_t ms)
{
	for (bct_time_t now = from; now < from + ms; now += TICK_MS)
		step(f, now);
	return from + ms;
}

static uint32_t calls(const fleet_t *f)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < f->n; i++)
		n += f->nodes[i].calls[0] + f->nodes[i].calls[1];
	return n;
}

static void reset_calls(fleet_t *f)
{
	for (uint32_t i = 0; i < f->n; i++) {
		memset(f->nodes[i].calls, 0, sizeof(f->nodes[i].calls));
		f->nodes[i].pulls = 0;
	}
}

/* Checks that all nodes that are not cut or frozen have what the registry has. */
static void assert_current(const fleet_t *f, const char *what)
{
	for (uint32_t i = 0; i < f->n; i++) {
		const node_t *d = &f->nodes[i];

		if (d->cut || d->frozen)
			continue;
		cr_assert_eq(d->data[0], f->data[0], "%s: routes of node %u", what, i);
		cr_assert_eq(d->data[1], f->data[1], "%s: upstreams of node %u", what, i);
	}
}

static void publish(fleet_t *f)
{
	f->data[0]++;
	f->data[1]++;
}

Test(gate_follow, calls_do_not_grow_with_nodes)
{
	uint32_t n[2];

	for (int i = 0; i < 2; i++) {
		bct_time_t now;

		fleet_init(&fleet, i ? 195 : 7);
		now = run(&fleet, 100000, 3000);
		reset_calls(&fleet);
		for (int j = 0; j < 12; j++) {
			now = run(&fleet, now, 5000);
			publish(&fleet);
		}
		n[i] = calls(&fleet);
	}
	cr_assert_eq(n[0], n[1], "%u and %u", n[0], n[1]);
	cr_assert_leq(n[1], BCT_REGISTRY_TOPICS * BCT_GATE_READERS * (60000 / INTERVAL_MS + 1));
}

Test(gate_follow, a_change_is_known_everywhere)
{
	bct_time_t now;

	fleet_init(&fleet, 195);
	now = run(&fleet, 100000, 3000);
	publish(&fleet);
	run(&fleet, now, IN_FORCE_MS);
	assert_current(&fleet, "a change");
}

/* Makes the registry refuse a node on the topics that are set in the mask. */
static void refuse(node_t *d, uint32_t mask)
{
	for (uint32_t t = 0; t < BCT_REGISTRY_TOPICS; t++)
		d->refused[t] = (mask >> t & 1) != 0;
}

/* When the readers of a small fleet lose the registry, the others read it themselves in time. */
Test(gate_follow, readers_may_lose_the_registry)
{
	bct_time_t now;

	fleet_init(&fleet, 7);
	for (uint32_t i = 0; i < fleet.n; i++)
		fleet.nodes[i].poll.message_interval_ms = SMALL_MESSAGE_MS;
	now = run(&fleet, 100000, 3000);
	refuse(&fleet.nodes[0], 3);
	refuse(&fleet.nodes[1], 3);
	publish(&fleet);
	run(&fleet, now, IN_FORCE_MS);
	assert_current(&fleet, "readers of a small fleet refused");
}

/* With both readers refused, others take over, and a change still reaches every node. */
Test(gate_follow, both_readers_are_refused)
{
	for (uint32_t mask = 1; mask <= 3; mask++) {
		bct_time_t now;

		fleet_init(&fleet, 87);
		now = run(&fleet, 100000, 3000);
		refuse(&fleet.nodes[0], mask);
		refuse(&fleet.nodes[1], mask);
		for (int i = 0; i < 4; i++) {
			publish(&fleet);
			now = run(&fleet, now, i ? IN_FORCE_MS : IN_FORCE_REFUSED_MS);
			assert_current(&fleet, "both readers refused");
		}
	}
}

/*
 * One topic fails while the other is answered: an answer on one must not make the other count as
 * recent.
 */
Test(gate_follow, an_answer_counts_for_its_topic_only)
{
	bct_time_t now;

	fleet_init(&fleet, 87);
	now = run(&fleet, 100000, 3000);
	for (uint32_t i = 0; i < fleet.n; i++)
		refuse(&fleet.nodes[i], 1);
	now = run(&fleet, now, 6000);
	for (uint32_t i = 0; i < fleet.n; i++) {
		bct_gate_poll_t *p = &fleet.nodes[i].poll;

		cr_assert(bct_gate_poll_lost(p, now, BCT_REGISTRY_ROUTES), "node %u", i);
		cr_assert_not(bct_gate_poll_lost(p, now, BCT_REGISTRY_UPSTREAMS), "node %u", i);
	}
	refuse(&fleet.nodes[50], 0);
	publish(&fleet);
	run(&fleet, now, IN_FORCE_REFUSED_MS);
	assert_current(&fleet, "one node is answered");
}

/* A third of the nodes are refused; which third is drawn at random. */
Test(gate_follow, a_third_is_refused)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		bct_time_t now;
		bct_rng_t rng;

		bct_rng_seed(&rng, seed);
		fleet_init(&fleet, 87);
		now = run(&fleet, 100000, 3000);
		for (uint32_t i = 0; i < fleet.n; i++)
			refuse(&fleet.nodes[i], bct_rng_below(&rng, 3) ? 0 : 3);
		publish(&fleet);
		now = run(&fleet, now, IN_FORCE_REFUSED_MS);
		assert_current(&fleet, "a third refused");
		reset_calls(&fleet);
		run(&fleet, now, 10000);
		/* Refused readers go on trying, some others have taken over; the rest keep out. */
		cr_assert_leq(calls(&fleet), 4 * BCT_REGISTRY_TOPICS * 10000 / 700 * 2, "%u",
			      calls(&fleet));
	}
}

/* All nodes notice at the same time that the readers are gone; they must not all call at once. */
Test(gate_follow, takeover_is_staggered)
{
	bct_time_t now;

	fleet_init(&fleet, 195);
	now = run(&fleet, 100000, 3000);
	refuse(&fleet.nodes[0], 3);
	refuse(&fleet.nodes[1], 3);
	reset_calls(&fleet);
	run(&fleet, now, 5000);
	cr_assert_leq(calls(&fleet), 100, "%u calls of 195 nodes", calls(&fleet));
}

/* A node that starts while the registry refuses it gets everything from its peers. */
Test(gate_follow, a_node_joins_while_refused)
{
	bct_time_t now;

	fleet_init(&fleet, 30);
	fleet.nodes[29].frozen = true;
	now = run(&fleet, 100000, 10000);
	publish(&fleet);
	refuse(&fleet.nodes[29], 3);
	fleet.nodes[29].frozen = false;
	run(&fleet, now, IN_FORCE_MS);
	assert_current(&fleet, "join");
}

/* Readers that freeze or are cut off are replaced; when they are back they catch up. */
Test(gate_follow, readers_freeze_or_are_cut)
{
	for (int cut = 0; cut < 2; cut++) {
		bct_time_t now;

		fleet_init(&fleet, 40);
		now = run(&fleet, 100000, 3000);
		for (uint32_t i = 0; i < BCT_GATE_READERS; i++)
			*(cut ? &fleet.nodes[i].cut : &fleet.nodes[i].frozen) = true;
		publish(&fleet);
		now = run(&fleet, now, IN_FORCE_MS + 2000);
		assert_current(&fleet, "readers gone");
		for (uint32_t i = 0; i < BCT_GATE_READERS; i++)
			fleet.nodes[i].cut = fleet.nodes[i].frozen = false;
		publish(&fleet);
		run(&fleet, now, IN_FORCE_MS);
		assert_current(&fleet, "readers back");
	}
}

/* While pulls fail, a node that the registry answers gets the change from it. */
Test(gate_follow, pulls_fail)
{
	bct_time_t now;

	fleet_init(&fleet, 20);
	now = run(&fleet, 100000, 3000);
	fleet.pull_fails = true;
	publish(&fleet);
	run(&fleet, now, IN_FORCE_MS);
	assert_current(&fleet, "pulls fail");
}

/*
 * A configuration of 4,000 routes on links of 10 Mbit/s: a pull lasts longer than the pause between
 * two decisions. A pull in progress is no reason to fetch the same once more.
 */
Test(gate_follow, a_pull_in_progress_is_waited_for)
{
	bct_time_t now;

	fleet_init(&fleet, 75);
	now = run(&fleet, 100000, 3000);
	fleet.routes_pull_ms = 900;
	publish(&fleet);
	run(&fleet, now, IN_FORCE_MS + 900);
	assert_current(&fleet, "slow pulls");
	for (uint32_t i = 0; i < fleet.n; i++)
		cr_assert_eq(fleet.nodes[i].overlaps, 0, "node %u: %u", i, fleet.nodes[i].overlaps);
}

/*
 * The registry was lost for all nodes and is back, and a storm of changes keeps peers too busy to
 * answer pulls: a failure of long ago does not keep a node from asking the registry.
 */
Test(gate_follow, pulls_fail_after_an_outage)
{
	bct_time_t now;

	fleet_init(&fleet, 75);
	now = run(&fleet, 100000, 3000);
	for (uint32_t i = 0; i < fleet.n; i++)
		refuse(&fleet.nodes[i], 3);
	now = run(&fleet, now, 8000);
	for (uint32_t i = 0; i < fleet.n; i++)
		refuse(&fleet.nodes[i], 0);
	now = run(&fleet, now, 4000);
	fleet.pull_fails = true;
	for (int i = 0; i < 10; i++) {
		publish(&fleet);
		now = run(&fleet, now, 300);
	}
	run(&fleet, now, IN_FORCE_MS);
	assert_current(&fleet, "a storm after an outage");
}

/* The registry is lost for all and comes back: calls are few meanwhile, and it is noticed. */
Test(gate_follow, registry_is_lost)
{
	bct_time_t now;

	fleet_init(&fleet, 195);
	now = run(&fleet, 100000, 3000);
	for (uint32_t i = 0; i < fleet.n; i++)
		refuse(&fleet.nodes[i], 3);
	now = run(&fleet, now, 20000);
	for (uint32_t i = 0; i < fleet.n; i++) {
		cr_assert(bct_gate_poll_lost(&fleet.nodes[i].poll, now, BCT_REGISTRY_UPSTREAMS));
		refuse(&fleet.nodes[i], 0);
	}
	publish(&fleet);
	now = run(&fleet, now, IN_FORCE_MS);
	assert_current(&fleet, "registry back");
	for (uint32_t i = 0; i < fleet.n; i++)
		cr_assert_not(
			bct_gate_poll_lost(&fleet.nodes[i].poll, now, BCT_REGISTRY_UPSTREAMS));
}

/* The takeover of nodes that are no readers ends when the readers are answered again. */
Test(gate_follow, takeover_ends)
{
	bct_time_t now;

	fleet_init(&fleet, 87);
	now = run(&fleet, 100000, 3000);
	refuse(&fleet.nodes[0], 3);
	refuse(&fleet.nodes[1], 3);
	now = run(&fleet, now, 8000);
	refuse(&fleet.nodes[0], 0);
	refuse(&fleet.nodes[1], 0);
	now = run(&fleet, now, 4000);
	reset_calls(&fleet);
	run(&fleet, now, 10000);
	for (uint32_t i = BCT_GATE_READERS; i < fleet.n; i++)
		cr_assert_eq(fleet.nodes[i].calls[0] + fleet.nodes[i].calls[1], 0, "node %u", i);
}

/* A node that receives no messages polls itself, and less often while its polls fail. */
Test(gate_follow, a_node_without_peers_polls)
{
	bct_gate_local_versions_t local = { .rank = 5 };
	bct_gate_poll_t f;
	uint32_t n = 0;

	bct_gate_poll_init(&f, INTERVAL_MS);
	for (bct_time_t now = 100000; now < 110000; now += TICK_MS) {
		if (!bct_gate_poll_due(&f, now, BCT_REGISTRY_ROUTES, &local).act)
			continue;
		n++;
		bct_gate_poll_result(&f, now, BCT_REGISTRY_ROUTES, now, false);
	}
	cr_assert(n >= 10 && n <= 30, "%u calls in 10 s", n);
}

/*
 * Counts the pulls and listings of a node that is no reader. Its upstreams change every change_ms
 * (0: never), a peer sends a message every message_interval_ms, and the peer's digest differs from
 * the node's by behind.
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
		bct_gate_poll_act_t act;

		if (change_ms && ms % change_ms == 0)
			local.upstreams_digest++;
		if (ms % message_interval_ms == 0)
			bct_gate_poll_received(
				&f, &(bct_gate_peer_versions_t){
					    .received_at = now,
					    .from = 1,
					    .reads = { { now, 1 }, { now, 1 } },
					    .upstreams_digest = local.upstreams_digest + behind });
		if (ms < 1000)
			continue;
		act = bct_gate_poll_due(&f, now, BCT_REGISTRY_UPSTREAMS, &local).act;
		n += act != BCT_GATE_POLL_NONE;
		if (act == BCT_GATE_POLL_PULL)
			bct_gate_poll_pulled(&f, BCT_REGISTRY_UPSTREAMS, BCT_GATE_PULL_HELPED);
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

/* A change whose message was lost is found, also while other changes keep coming. */
Test(gate_follow, a_lost_change_is_found)
{
	/* Within 2 s each time, in the 29 s that are counted. */
	cr_assert_geq(listings(0, 900, 7), 14);
	cr_assert_geq(listings(300, 900, 7), 14);
	cr_assert_geq(listings(300, 100, 7), 14);
}

/* A peer whose data never matches is not asked over and over; nor is the registry. */
Test(gate_follow, pulls_that_do_not_help_are_rare)
{
	bct_gate_local_versions_t local = { .rank = 5, .upstreams_digest = 1 };
	bct_gate_peer_versions_t v = { .from = 7, .upstreams_digest = 2 };
	bct_gate_poll_t f;
	uint32_t n = 0;

	bct_gate_poll_init(&f, INTERVAL_MS);
	f.self = 9;
	f.message_interval_ms = MESSAGE_MS;
	for (bct_time_t now = 100000; now < 130000; now += TICK_MS) {
		bct_gate_due_t due;

		v.received_at = now;
		v.reads[0] = v.reads[1] = (bct_gate_read_t){ now, 7 };
		bct_gate_poll_received(&f, &v);
		due = bct_gate_poll_due(&f, now, BCT_REGISTRY_UPSTREAMS, &local);
		n += due.act != BCT_GATE_POLL_NONE;
		if (due.act == BCT_GATE_POLL_PULL)
			bct_gate_poll_pulled(&f, BCT_REGISTRY_UPSTREAMS, BCT_GATE_PULL_UNHELPFUL);
		else if (due.act)
			bct_gate_poll_result(&f, now, BCT_REGISTRY_UPSTREAMS, now, true);
	}
	cr_assert_leq(n, 30, "%u calls and pulls in 30 s", n);
}

/*
 * A node that relays what readers advertise, but whose own data lags behind, states the answer that
 * its data matches: else its receivers would believe in old data.
 */
Test(gate_follow, a_lagging_relay_states_its_own_age)
{
	bct_gate_local_versions_t local = { .rank = 5, .routes_version = 1, .upstreams_digest = 1 };
	bct_gate_peer_versions_t v = { .received_at = 100000,
				       .from = 7,
				       .reads = { { 100000, 7 }, { 100000, 7 } },
				       .routes_version = 1,
				       .upstreams_digest = 1 };
	bct_gate_poll_t f;

	bct_gate_poll_init(&f, INTERVAL_MS);
	for (int topic = 0; topic < BCT_REGISTRY_TOPICS; topic++) {
		bct_registry_topic_t t = (bct_registry_topic_t)topic;

		bct_gate_poll_received(&f, &v);
		bct_gate_poll_due(&f, 100100, t, &local);
		cr_assert_eq(bct_gate_poll_latest(&f, t, false).answered_at, 100000);
	}
	v.received_at = v.reads[0].answered_at = v.reads[1].answered_at = 101000;
	v.routes_version = v.upstreams_digest = 2;
	bct_gate_poll_received(&f, &v);
	for (int topic = 0; topic < BCT_REGISTRY_TOPICS; topic++) {
		bct_registry_topic_t t = (bct_registry_topic_t)topic;

		bct_gate_poll_due(&f, 101100, t, &local);
		cr_assert_eq(bct_gate_poll_latest(&f, t, false).answered_at, 100000);
	}
	local.routes_version = local.upstreams_digest = 2;
	for (int topic = 0; topic < BCT_REGISTRY_TOPICS; topic++) {
		bct_registry_topic_t t = (bct_registry_topic_t)topic;

		bct_gate_poll_due(&f, 101200, t, &local);
		cr_assert_eq(bct_gate_poll_latest(&f, t, false).answered_at, 101000);
	}
}

/* A hub may relay a reader's message with its own, older version; the newer one still counts. */
Test(gate_follow, a_version_once_received_is_fetched)
{
	bct_gate_local_versions_t local = { .rank = 5, .routes_version = 1 };
	bct_gate_peer_versions_t v = { .received_at = 100000,
				       .from = 7,
				       .reads = { { 100000, 7 }, { 100000, 7 } },
				       .routes_version = 2 };
	bct_gate_due_t due;
	bct_gate_poll_t f;

	bct_gate_poll_init(&f, INTERVAL_MS);
	bct_gate_poll_received(&f, &v);
	v.received_at = 100020;
	v.from = 8;
	v.routes_version = 1;
	bct_gate_poll_received(&f, &v);
	due = bct_gate_poll_due(&f, 100100, BCT_REGISTRY_ROUTES, &local);
	cr_assert_eq(due.act, BCT_GATE_POLL_PULL);
	cr_assert_eq(due.from, 7);
}

/* The age of the data that a node states never becomes younger by the exchange of messages. */
Test(gate_follow, ages_grow_while_the_registry_is_silent)
{
	bct_time_t now, end;

	fleet_init(&fleet, 20);
	now = run(&fleet, 100000, 3000);
	for (uint32_t i = 0; i < fleet.n; i++)
		refuse(&fleet.nodes[i], 3);
	end = run(&fleet, now, 10000);
	for (uint32_t i = 0; i < fleet.n; i++) {
		bct_gate_read_t r =
			bct_gate_poll_latest(&fleet.nodes[i].poll, BCT_REGISTRY_ROUTES, false);

		cr_assert_geq(end - r.answered_at, 10000, "node %u", i);
	}
}
