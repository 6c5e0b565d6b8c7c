/*
 * test_gate_limit.c - a fleet keeps within the limits that upstreams name (policy/gate_limit): the
 * load patterns are those of small and large fleets that lose messages, nodes and knowledge.
 */
#include "base/rng.h"
#include "policy/gate_limit.h"

#include <criterion/criterion.h>
#include <string.h>

#define NODES_MAX 195
#define ENGINES_MAX 12
#define TICK_MS 10
#define ANSWER_MS 50  /* from a request to the head of its answer */
#define REPORT_MS 150 /* from a node to all others */
#define ASSIGN_MS 100
#define STABLE_MS 3000 /* from the first answer that names a limit until the bound holds */
#define WINDOW_MS 4000
#define WINDOW_EXTRA 5 /* requests beyond one and a half times the limit in a window */
#define QUEUE_MAX 65536
#define RUN_MAX_MS 60000

/* An answer or a report on its way. */
typedef struct message {
	bct_time_t due;
	uint32_t to, engine;
	bool report;
	bct_time_t sent_at; /* the request, or the report */
	bool named;
	uint32_t mrps, age_ms;
} message_t;

typedef struct engine {
	bool names;
	uint32_t mrps;
	bct_time_t named_at;
	uint32_t arrivals[RUN_MAX_MS / TICK_MS]; /* by tick */
} engine_t;

static bct_gate_limit_t limits[NODES_MAX][ENGINES_MAX];
static engine_t engines[ENGINES_MAX];
static uint64_t live[NODES_MAX];
static bool dead[NODES_MAX];
static message_t queue[QUEUE_MAX]; /* a ring, by time of sending */
static uint32_t q_in, q_out, n_nodes, n_engines, loss_permille;
static bct_rng_t rng;
static bct_time_t now;

static const bct_time_t start = 100000;

static void fleet_init(uint32_t nodes, uint32_t n, uint64_t seed)
{
	memset(limits, 0, sizeof(limits));
	memset(engines, 0, sizeof(engines));
	memset(dead, 0, sizeof(dead));
	memset(queue, 0, sizeof(queue));
	q_in = q_out = 0;
	n_nodes = nodes;
	n_engines = n;
	loss_permille = 0;
	now = start;
	bct_rng_seed(&rng, seed);
}

static void put(const message_t *m)
{
	cr_assert_lt(q_in - q_out, QUEUE_MAX);
	queue[q_in++ % QUEUE_MAX] = *m;
}

static void report(uint32_t from, uint32_t engine, const bct_gate_limit_report_t *r)
{
	for (uint32_t i = 0; i < n_nodes; i++) {
		if (i == from || dead[i] || bct_rng_below(&rng, 1000) < loss_permille)
			continue;
		put(&(message_t){ .due = now + REPORT_MS,
				  .to = i,
				  .engine = engine,
				  .report = true,
				  .named = r->named,
				  .mrps = r->mrps,
				  .age_ms = r->age_ms });
	}
}

static void assign(uint32_t node, uint32_t engine)
{
	bct_gate_limit_nodes_t nodes = { .incarnations = live, .self = 1000 + node };

	for (uint32_t i = 0; i < n_nodes; i++) {
		if (!dead[i])
			live[nodes.n++] = 1000 + i;
	}
	bct_gate_limit_assign(&limits[node][engine], now, 77 + engine, &nodes);
}

static void deliver(const message_t *m)
{
	bct_gate_limit_t *l = &limits[m->to][m->engine];
	bct_gate_limit_report_t r = { m->named, m->mrps, m->age_ms };

	if (dead[m->to])
		return;
	if (m->report) {
		if (bct_gate_limit_reported(l, now, &r))
			assign(m->to, m->engine);
	} else if (bct_gate_limit_answered(l, now, m->sent_at, m->named, m->mrps)) {
		assign(m->to, m->engine);
		report(m->to, m->engine, &r);
	}
}

static void deliver_due(void)
{
	while (q_out < q_in && !queue[q_out % QUEUE_MAX].due)
		q_out++;
	for (uint32_t i = q_out; i < q_in; i++) {
		message_t m = queue[i % QUEUE_MAX];

		if (!m.due || m.due > now)
			continue;
		queue[i % QUEUE_MAX].due = 0;
		deliver(&m);
	}
}

/* One request at a node: goes to a random engine that may get one. returns whether there was one.
 */
static bool request(uint32_t node)
{
	uint32_t first = bct_rng_below(&rng, n_engines);

	for (uint32_t i = 0; i < n_engines; i++) {
		uint32_t e = (first + i) % n_engines;
		engine_t *g = &engines[e];

		if (bct_gate_limit_wait_ms(&limits[node][e], now))
			continue;
		bct_gate_limit_sent(&limits[node][e], now);
		g->arrivals[(now - start) / TICK_MS]++;
		put(&(message_t){ .due = now + ANSWER_MS,
				  .to = node,
				  .engine = e,
				  .sent_at = now,
				  .named = g->names,
				  .mrps = g->mrps });
		return true;
	}
	return false;
}

static void announce(void)
{
	for (uint32_t i = 0; i < n_nodes; i++) {
		for (uint32_t e = 0; e < n_engines && !dead[i]; e++) {
			const bct_gate_limit_t *l = &limits[i][e];
			bct_gate_limit_report_t r = { l->named, l->mrps,
						      (uint32_t)(now - l->observed_at) };

			if (bct_gate_limit_announces(l, now))
				report(i, e, &r);
		}
	}
}

/* Runs the fleet with `rps` requests a second at random nodes. returns those that were sent. */
static uint32_t run(bct_time_t ms, uint32_t rps)
{
	uint32_t sent = 0;

	for (bct_time_t end = now + ms; now < end; now += TICK_MS) {
		deliver_due();
		if (now % ASSIGN_MS == 0) {
			for (uint32_t i = 0; i < n_nodes; i++) {
				for (uint32_t e = 0; e < n_engines; e++)
					assign(i, e);
			}
		}
		if (now % BCT_GATE_LIMIT_ANNOUNCE_MS == 0)
			announce();
		for (uint32_t i = 0; i < rps; i++) {
			uint32_t node = bct_rng_below(&rng, n_nodes);

			if (bct_rng_below(&rng, BCT_MS_PER_S / TICK_MS) == 0 && !dead[node])
				sent += request(node);
		}
	}
	return sent;
}

static void name_limit(uint32_t engine, uint32_t mrps)
{
	engines[engine].names = true;
	engines[engine].mrps = mrps;
	engines[engine].named_at = now;
}

/* Checks every window that begins once the limit has been known for STABLE_MS. */
static void assert_kept(uint32_t engine, const char *what)
{
	const engine_t *g = &engines[engine];
	uint32_t ticks = WINDOW_MS / TICK_MS, sum = 0;
	uint32_t allowed =
		WINDOW_EXTRA + (uint32_t)((uint64_t)g->mrps * WINDOW_MS * 3 / 2 / 1000000);
	uint32_t from = (uint32_t)(g->named_at + STABLE_MS - start) / TICK_MS;
	uint32_t to = (uint32_t)(now - start) / TICK_MS;

	for (uint32_t i = from; i < to; i++) {
		sum += g->arrivals[i];
		if (i - from >= ticks)
			sum -= g->arrivals[i - ticks];
		cr_assert_leq(sum, allowed, "%s: %u requests in 4 s at engine %u, %u allowed", what,
			      sum, engine, allowed);
	}
}

/* Two of twelve engines name a small limit while seven nodes send 75 requests a second. */
Test(gate_limit, two_engines_of_a_small_fleet)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		fleet_init(7, 12, seed);
		run(2000, 75);
		name_limit(0, 1300);
		name_limit(1, 1800);
		run(20000, 75);
		assert_kept(0, "small fleet");
		assert_kept(1, "small fleet");
	}
}

/* The same in a fleet of 195 nodes, each of which would be within the limit by itself. */
Test(gate_limit, an_engine_of_a_large_fleet)
{
	for (uint64_t seed = 1; seed <= 3; seed++) {
		fleet_init(195, 12, seed);
		run(2000, 700);
		name_limit(0, 1000);
		name_limit(1, 20000);
		run(15000, 700);
		assert_kept(0, "large fleet");
		assert_kept(1, "large fleet");
	}
}

/* An engine that names 0 is asked now and then, so that the end of its need is noticed. */
Test(gate_limit, a_limit_of_zero)
{
	fleet_init(7, 12, 1);
	run(2000, 75);
	name_limit(0, 0);
	run(20000, 75);
	assert_kept(0, "zero");
	engines[0].names = false;
	run(20000, 75);
	for (uint32_t i = 0; i < n_nodes; i++)
		cr_assert_not(limits[i][0].named, "node %u", i);
}

/* A third of the messages between nodes is lost. */
Test(gate_limit, reports_are_lost)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		fleet_init(7, 12, seed);
		loss_permille = 333;
		run(2000, 75);
		name_limit(0, 1300);
		run(20000, 75);
		assert_kept(0, "loss");
		engines[0].names = false;
		run(15000, 75);
		for (uint32_t i = 0; i < n_nodes; i++)
			cr_assert_not(limits[i][0].named, "seed %u node %u", (unsigned)seed, i);
	}
}

/* Nodes die one after the other and come back without knowledge. */
Test(gate_limit, nodes_restart_in_turn)
{
	for (uint64_t seed = 1; seed <= 10; seed++) {
		fleet_init(7, 12, seed);
		run(2000, 75);
		name_limit(0, 1800);
		run(4000, 75);
		for (uint32_t i = 0; i < n_nodes; i++) {
			dead[i] = true;
			run(1500, 75);
			dead[i] = false;
			memset(limits[i], 0, sizeof(limits[i]));
			run(1500, 75);
		}
		assert_kept(0, "restarts");
	}
}

/* A limit that is lowered and raised while it is in force. */
Test(gate_limit, a_limit_changes)
{
	fleet_init(7, 12, 1);
	run(2000, 75);
	name_limit(0, 8000);
	run(6000, 75);
	assert_kept(0, "first");
	name_limit(0, 1000);
	run(10000, 75);
	assert_kept(0, "lowered");
	name_limit(0, 6000);
	run(10000, 75);
	assert_kept(0, "raised");
}

/* All engines name limits and there are three times as many requests: most of each limit is used.
 */
Test(gate_limit, limits_are_used)
{
	for (uint32_t nodes = 7; nodes <= 75; nodes += 68) {
		uint32_t sent;

		fleet_init(nodes, 12, 1);
		run(2000, 75);
		for (uint32_t e = 0; e < 12; e++)
			name_limit(e, 2000);
		run(4000, 75);
		sent = run(20000, 75);
		for (uint32_t e = 0; e < 12; e++)
			assert_kept(e, "all");
		cr_assert_geq(sent, 12 * 2 * 20 / 2, "%u nodes: %u sent of %u", nodes, sent,
			      12 * 2 * 20);
	}
}

/* A node that stops serves on for seconds; the others have divided the limit without it. */
Test(gate_limit, a_leaving_node_owns_nothing)
{
	uint64_t self = 5;
	bct_gate_limit_nodes_t nodes = { .incarnations = &self, .n = 1, .self = self };
	bct_gate_limit_t l = { 0 };

	bct_gate_limit_answered(&l, 1000, 900, true, 1500);
	bct_gate_limit_assign(&l, 1000, 77, &nodes);
	cr_assert_eq(l.share_mrps, 1500);
	nodes.leaving = true;
	bct_gate_limit_assign(&l, 1100, 77, &nodes);
	cr_assert_eq(l.share_mrps, 0);
}

/* An answer without a limit to a request from before the limit was named lifts nothing. */
Test(gate_limit, an_older_request_lifts_nothing)
{
	bct_gate_limit_t l = { 0 };

	cr_assert(bct_gate_limit_answered(&l, 1000, 900, true, 1500));
	cr_assert_not(bct_gate_limit_answered(&l, 1100, 950, false, 0));
	cr_assert(l.named);
	cr_assert(bct_gate_limit_answered(&l, 1200, 1001, false, 0));
	cr_assert_not(l.named);
}

/* A report that arrives late, or that another node relays, doesn't undo what is newer. */
Test(gate_limit, an_older_report_undoes_nothing)
{
	bct_gate_limit_t l = { 0 };
	bct_gate_limit_report_t r = { .named = true, .mrps = 1000, .age_ms = 500 };

	cr_assert(bct_gate_limit_answered(&l, 1000, 900, true, 1500));
	cr_assert_not(bct_gate_limit_reported(&l, 1200, &r));
	cr_assert_eq(l.mrps, 1500);
	cr_assert(bct_gate_limit_answered(&l, 2000, 1900, false, 0));
	r.age_ms = 60;
	cr_assert_not(bct_gate_limit_reported(&l, 2100, &r));
	cr_assert_not(l.named);
}
