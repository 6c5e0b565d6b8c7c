/*
 * test_gate_part_fleet.c - a model of a fleet whose upstreams crash under requests with one part of
 * their prompts in common. Each node judges by what it sees and by what others report to it, late
 * or not at all. No network.
 */
#include "base/mem.h"
#include "base/rng.h"
#include "policy/gate_part_judge.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define STEP_MS 10
#define END_MS 60000
#define BAD_FROM_MS 10000
#define BAD_TO_MS 45000
#define DECIDE_MS 100	/* between decisions of a node */
#define ANNOUNCE_MS 500 /* between draws whether a node announces its verdicts */
#define DOWN_MS 3500	/* from a crash to the next run */
#define WINDOW_MS 3000	/* after the fifth crash, from when on requests are counted */
#define AFTER_MAX 3	/* requests with the part that may reach upstreams then */
#define FIFTH 5
#define DELAY_MIN_MS 20 /* of a report */
#define DELAY_SPREAD_MS 100
#define REQUESTS_MAX 4096
#define MESSAGES_MAX 4096
#define NODES_MAX 195
#define ENGINES_MAX 117
#define FIRST_PARTS 5
#define SECOND_PARTS 60 /* of each first part, for sound requests */
#define BAD 0xbad

typedef struct params {
	uint32_t nodes;
	uint32_t engines;
	double sound_per_s;
	double bad_per_s;
	uint32_t wave_ms;	/* every so often all engines crash at once; 0: never */
	double crashes_per_s;	/* of single engines, for reasons of their own */
	uint32_t lost_permille; /* reports */
	double restarts_per_s;	/* of nodes, which forget all */
	uint64_t seed;
} params_t;

typedef struct engine {
	uint32_t run; /* identifies its current run */
	bct_time_t up_at;
} engine_t;

typedef struct request {
	bool used, bad, proved;
	uint32_t node, engine;
	bct_parts_t parts;
	bct_time_t begins, ends; /* its answer */
} request_t;

typedef enum message_kind {
	CRASH = 1,
	SURVIVED,
	VERDICT,
} message_kind_t;

typedef struct message {
	message_kind_t kind;
	bct_time_t at;
	bct_gate_part_crash_t crash;
	uint64_t part;
	bct_time_t began_at;
	bct_gate_part_verdict_t verdict;
} message_t;

typedef struct result {
	uint32_t crashes, by_bad, bad_after, sound, sound_refused, first_refused, released;
	bct_time_t fifth_at;
} result_t;

static const params_t *p;
static bct_rng_t rng;
static bct_time_t now;
static bct_gate_part_judge_t *judges;
static bct_time_t restarted_at[NODES_MAX];
static engine_t engines[ENGINES_MAX];
static request_t requests[REQUESTS_MAX];
static message_t messages[MESSAGES_MAX];
static uint32_t n_messages, runs;
static bct_gate_upstreams_t none;
static result_t r;

static void send(message_t m)
{
	m.at = now + DELAY_MIN_MS + (bct_time_t)bct_rng_below(&rng, DELAY_SPREAD_MS);
	cr_assert_lt(n_messages, MESSAGES_MAX);
	messages[n_messages++] = m;
}

static void deliver_to(bct_gate_part_judge_t *j, const message_t *m)
{
	if (m->kind == CRASH)
		bct_gate_part_judge_crash(j, &m->crash);
	else if (m->kind == SURVIVED)
		bct_gate_part_judge_survived(j, m->part, m->began_at);
	else
		bct_gate_part_judge_heard(j, now, &m->verdict);
}

static void deliver(void)
{
	for (uint32_t i = 0; i < n_messages;) {
		message_t m = messages[i];

		if (m.at > now) {
			i++;
			continue;
		}
		messages[i] = messages[--n_messages];
		for (uint32_t n = 0; n < p->nodes; n++) {
			if (bct_rng_below(&rng, 1000) >= p->lost_permille)
				deliver_to(&judges[n], &m);
		}
	}
}

static void crash_engine(uint32_t e, bool by_bad)
{
	r.crashes++;
	r.by_bad += by_bad;
	if (r.by_bad == FIFTH && by_bad)
		r.fifth_at = now;
	for (uint32_t i = 0; i < REQUESTS_MAX; i++) {
		request_t *q = &requests[i];
		message_t m = { .kind = CRASH,
				.crash = { .run = engines[e].run, .at = now, .parts = q->parts } };

		if (!q->used || q->engine != e)
			continue;
		q->used = false;
		if (!q->proved && bct_gate_part_judge_crash(&judges[q->node], &m.crash))
			send(m);
	}
	engines[e].run = ++runs;
	engines[e].up_at = now + DOWN_MS;
}

static void survived(request_t *q)
{
	q->proved = true;
	for (uint32_t i = 0; i < q->parts.n; i++) {
		message_t m = { .kind = SURVIVED, .part = q->parts.ids[i], .began_at = q->begins };

		if (bct_gate_part_judge_survived(&judges[q->node], m.part, m.began_at))
			send(m);
	}
}

static void run_requests(void)
{
	for (uint32_t i = 0; i < REQUESTS_MAX; i++) {
		request_t *q = &requests[i];

		if (!q->used)
			continue;
		if (q->bad && now >= q->ends) {
			crash_engine(q->engine, true);
			continue;
		}
		if (!q->proved && !q->bad &&
		    (now >= q->ends || now - q->begins >= BCT_GATE_PART_SURVIVED_MS))
			survived(q);
		if (now >= q->ends)
			q->used = false;
	}
}

static bool is_refused(uint32_t node, const bct_parts_t *parts)
{
	for (uint32_t i = 0; i < parts->n; i++) {
		if (bct_gate_part_judge_remaining_ms(&judges[node], now, parts->ids[i]) &&
		    (node || !bct_gate_part_judge_take_trial(&judges[0], now, parts->ids[i])))
			return true;
	}
	return false;
}

static int pick_engine(void)
{
	for (uint32_t tries = 0; tries < 4 * p->engines; tries++) {
		uint32_t e = bct_rng_below(&rng, p->engines);

		if (engines[e].up_at <= now)
			return (int)e;
	}
	return -1;
}

static request_t *free_request(void)
{
	for (uint32_t i = 0; i < REQUESTS_MAX; i++) {
		if (!requests[i].used)
			return &requests[i];
	}
	cr_assert_fail("more than REQUESTS_MAX in flight");
	return NULL;
}

static void restart(uint32_t node)
{
	memset(&judges[node], 0, sizeof(*judges));
	judges[node].started_at = now;
	restarted_at[node] = now;
}

/* A node that has just restarted is not held to the bound. */
static bool in_touch(uint32_t node)
{
	return !restarted_at[node] || now - restarted_at[node] >= WINDOW_MS;
}

static void arrive(bool bad)
{
	uint32_t node = bct_rng_below(&rng, p->nodes);
	uint64_t first = 1 + (bad ? 0 : bct_rng_below(&rng, FIRST_PARTS));
	uint64_t second = bad ? BAD : first * 1000 + bct_rng_below(&rng, SECOND_PARTS);
	request_t q = { .used = true, .bad = bad, .node = node };
	int e = pick_engine();

	q.parts = (bct_parts_t){ .n = 2, .ids = { first, second } };
	r.sound += !bad;
	if (is_refused(node, &q.parts)) {
		r.sound_refused += !bad;
		r.first_refused += bct_gate_part_judge_remaining_ms(&judges[node], now, first) > 0;
		return;
	}
	if (e < 0)
		return;
	if (bad && r.fifth_at && now > r.fifth_at + WINDOW_MS && in_touch(node))
		r.bad_after++;
	q.engine = (uint32_t)e;
	q.begins = now + 100 + (bct_time_t)bct_rng_below(&rng, 500);
	q.ends = q.begins + (bad ? 3 + (bct_time_t)bct_rng_below(&rng, 110)
				 : 200 + (bct_time_t)bct_rng_below(&rng, 2800));
	*free_request() = q;
}

static void arrivals(double per_s, bool bad)
{
	if (bct_rng_unit(&rng) < per_s * STEP_MS / BCT_MS_PER_S)
		arrive(bad);
}

static void decide(uint32_t node)
{
	message_t m = { .kind = VERDICT };

	while (bct_gate_part_judge_decide(&judges[node], now, &none, &m.verdict))
		send(m);
}

static void announce(uint32_t node)
{
	message_t m = { .kind = VERDICT };
	uint32_t pos = 0;

	if (bct_rng_below(&rng, p->nodes) >= 2)
		return;
	while (bct_gate_part_judge_next(&judges[node], now, &pos, &m.verdict))
		send(m);
}

static void disturb(void)
{
	if (p->wave_ms && now % p->wave_ms == 0) {
		for (uint32_t e = 0; e < p->engines; e++) {
			if (engines[e].up_at <= now)
				crash_engine(e, false);
		}
	}
	if (bct_rng_unit(&rng) < p->crashes_per_s * STEP_MS / BCT_MS_PER_S) {
		int e = pick_engine();

		if (e >= 0)
			crash_engine((uint32_t)e, false);
	}
	if (bct_rng_unit(&rng) < p->restarts_per_s * STEP_MS / BCT_MS_PER_S)
		restart(bct_rng_below(&rng, p->nodes));
}

static void step(void)
{
	deliver();
	run_requests();
	disturb();
	for (int i = 0; i < 10; i++) /* so that rates above one a step are possible */
		arrivals(p->sound_per_s / 10, false);
	if (now >= BAD_FROM_MS && now < BAD_TO_MS)
		arrivals(p->bad_per_s, true);
	for (uint32_t n = 0; n < p->nodes; n++) {
		if ((now + n * STEP_MS) % DECIDE_MS == 0)
			decide(n);
		if ((now + n * STEP_MS) % ANNOUNCE_MS == 0)
			announce(n);
	}
}

static void play(const params_t *params)
{
	p = params;
	bct_rng_seed(&rng, p->seed);
	memset(&r, 0, sizeof(r));
	memset(requests, 0, sizeof(requests));
	memset(restarted_at, 0, sizeof(restarted_at));
	n_messages = runs = 0;
	judges = bct_alloc(sizeof(*judges) * p->nodes);
	bct_gate_upstreams_init(&none);
	for (uint32_t e = 0; e < p->engines; e++)
		engines[e] = (engine_t){ .run = ++runs };
	for (now = STEP_MS; now < END_MS; now += STEP_MS)
		step();
	bct_free(judges);
	bct_gate_upstreams_free(&none);
}

/* Plays seeds 1 to n. Checks the bounds that hold in any case; returns the sums. */
static result_t play_all(params_t params, uint32_t n)
{
	result_t sum = { 0 };

	for (params.seed = 1; params.seed <= n; params.seed++) {
		play(&params);
		cr_assert_leq(r.bad_after, AFTER_MAX, "seed %u: %u requests, %u crashes",
			      (unsigned)params.seed, r.bad_after, r.by_bad);
		sum.by_bad += r.by_bad;
		sum.bad_after += r.bad_after;
		sum.sound += r.sound;
		sum.sound_refused += r.sound_refused;
		sum.first_refused += r.first_refused;
	}
	fprintf(stderr,
		"%u nodes: %u crashes by the part, %u requests after, %u of %u sound ones refused, "
		"%u for their first part\n",
		params.nodes, sum.by_bad, sum.bad_after, sum.sound_refused, sum.sound,
		sum.first_refused);
	return sum;
}

static void check_calm(params_t params, uint32_t seeds)
{
	result_t sum = play_all(params, seeds);

	cr_assert_eq(sum.sound_refused, 0, "%u of %u", sum.sound_refused, sum.sound);
}

Test(gate_part_fleet, one_node)
{
	check_calm((params_t){ .nodes = 1, .engines = 9, .sound_per_s = 20, .bad_per_s = 5 }, 20);
}

Test(gate_part_fleet, seven_nodes)
{
	check_calm((params_t){ .nodes = 7, .engines = 12, .sound_per_s = 50, .bad_per_s = 5 }, 20);
}

/* Slowly: one request with the part each two seconds. */
Test(gate_part_fleet, a_rare_part)
{
	check_calm((params_t){ .nodes = 7, .engines = 12, .sound_per_s = 50, .bad_per_s = 0.5 },
		   20);
}

Test(gate_part_fleet, seventy_five_nodes)
{
	check_calm((params_t){ .nodes = 75,
			       .engines = 90,
			       .sound_per_s = 300,
			       .bad_per_s = 20,
			       .lost_permille = 10 },
		   3);
}

Test(gate_part_fleet, a_hundred_and_ninety_five_nodes)
{
	check_calm((params_t){ .nodes = 195,
			       .engines = 117,
			       .sound_per_s = 400,
			       .bad_per_s = 20,
			       .lost_permille = 10 },
		   2);
}

/* A fifth of the reports are lost, and nodes restart and forget. */
Test(gate_part_fleet, lost_reports_and_restarts)
{
	play_all((params_t){ .nodes = 7,
			     .engines = 12,
			     .sound_per_s = 50,
			     .bad_per_s = 5,
			     .lost_permille = 200,
			     .restarts_per_s = 0.3 },
		 20);
}

/*
 * All engines go down at once every five seconds, and single ones in between, with no part to
 * blame. Sound requests must be let through, at least half of them.
 */
Test(gate_part_fleet, engines_that_crash_for_reasons_of_their_own)
{
	result_t sum = play_all((params_t){ .nodes = 7,
					    .engines = 12,
					    .sound_per_s = 50,
					    .wave_ms = 5000,
					    .crashes_per_s = 1 },
				20);

	cr_assert_lt(sum.sound_refused, sum.sound / 2);
}

/* Both at once. */
Test(gate_part_fleet, a_part_in_the_middle_of_waves)
{
	result_t sum = play_all((params_t){ .nodes = 7,
					    .engines = 12,
					    .sound_per_s = 50,
					    .bad_per_s = 5,
					    .wave_ms = 5000,
					    .crashes_per_s = 1 },
				20);

	cr_assert_lt(sum.sound_refused, sum.sound / 2);
}
