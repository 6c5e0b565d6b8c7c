/*
 * test_gate_rejoin.c - callers take broken streams up after all nodes of a fleet were killed at one
 * instant, around a release of the upstreams' software, without network. Guards against answers
 * that are joined from two versions: nobody has a record of what began the stream, and the release
 * that serves now is taken for it.
 */
#include "base/rng.h"
#include "policy/gate_origins.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define STEP_MS 100
#define LIMIT_MS 8000 /* of the streams' route */
#define KILL_AT 100000
#define DOWN_MS 2500
#define END_AT (KILL_AT + 140000)
#define NODES_MAX 195
#define CALLERS 400
#define PATIENT_MS 130000
#define CONFIRM_MS 1000 /* that a node waits for the registry's list, see gate/origin.c */

/* What one run plays besides the kill of all nodes. */
typedef struct plan {
	uint32_t nodes;
	bct_time_t release_at;	/* upstreams of v2 are listed */
	bct_time_t retire_at;	/* the last one of v1 leaves the registry */
	bct_time_t listed_late; /* nodes apply the registry's changes up to so much later */
	bct_time_t patience_ms; /* of callers, from the begin of their streams */
	bool named;		/* callers name the attempt that began their stream */
} plan_t;

typedef struct outcome {
	uint32_t taken_up;
	uint32_t joined;	 /* went on at another version */
	uint32_t refused;	 /* though the right version served */
	bct_time_t last_refused; /* of those, time since the nodes were back */
} outcome_t;

typedef struct node {
	bct_gate_upstreams_t upstreams;
	bct_gate_origins_t origins;
	bct_time_t lag_ms;
} node_t;

static node_t nodes[NODES_MAX];
static bct_rng_t rng;

static void apply(bct_gate_upstreams_t *u, bct_time_t now, const char *id, const char *version,
		  bool present)
{
	bct_gate_entry_t e = { .service = "model", .zone = "z", .ip = "10.0.0.1", .port = 80 };

	snprintf(e.id, sizeof(e.id), "%s", id);
	bct_gate_entry_set_software(&e, version);
	if (present && !bct_gate_upstreams_find(u, id))
		bct_gate_upstreams_apply(u, now, &e);
	else if (!present && bct_gate_upstreams_find(u, id))
		bct_gate_upstreams_remove(u, now, id, 0);
}

static void start(node_t *n, const plan_t *p)
{
	bct_gate_upstreams_init(&n->upstreams);
	bct_gate_origins_init(&n->origins);
	n->lag_ms = p->listed_late ? bct_rng_below(&rng, (uint32_t)p->listed_late) : 0;
}

static void stop(node_t *n)
{
	bct_gate_upstreams_free(&n->upstreams);
	bct_gate_origins_free(&n->origins);
}

static void tick(node_t *n, const plan_t *p, bct_time_t now)
{
	bct_time_t known = now - n->lag_ms;

	bct_gate_upstreams_set_registry(&n->upstreams, now, true);
	apply(&n->upstreams, now, "old", "v1", known < p->retire_at);
	apply(&n->upstreams, now, "new", "v2", known >= p->release_at);
	bct_gate_upstreams_sweep(&n->upstreams, now);
	bct_gate_origins_sweep(&n->origins, now, LIMIT_MS);
	bct_gate_origins_observe(&n->origins, now, known, &n->upstreams);
}

typedef struct caller {
	uint64_t attempt; /* that began its stream */
	bct_time_t began_at, back_at;
	bool v1;
	node_t *at; /* where it takes its stream up; NULL: not back yet */
	bool done;
} caller_t;

/* What began the stream, as far as anybody knows; callers come back at any node. */
static bct_gate_conclusion_t find(const plan_t *p, const caller_t *c, bct_time_t now,
				  bct_gate_origin_t *out)
{
	bct_gate_take_up_t u = {
		.arrived = c->back_at,
		.as_of = now - c->at->lag_ms,
		.limit_ms = LIMIT_MS,
		.wait_ms = c->began_at + p->patience_ms - c->back_at,
		.named = p->named,
	};
	bct_gate_conclusion_t r = { 0 };
	const bct_gate_upstream_t *any;

	if (p->named && bct_gate_origins_get(&c->at->origins, now, c->attempt, out, NULL)) {
		r.release = out->release;
		return r;
	}
	any = bct_gate_upstreams_find(&c->at->upstreams, "new");
	any = any ? any : bct_gate_upstreams_find(&c->at->upstreams, "old");
	if (!any)
		return r;
	u.service_key = any->service_key;
	r = bct_gate_origins_conclude(&c->at->origins, now, &u);
	*out = (bct_gate_origin_t){ .release = r.release };
	return r;
}

/* A caller whose stream v1 or v2 began, and which a kill or a break ended, is back. */
static void take_up(const plan_t *p, caller_t *c, bct_time_t now, outcome_t *r)
{
	const char *own = c->v1 ? "old" : "new", *other = c->v1 ? "new" : "old";
	const bct_gate_upstream_t *same = bct_gate_upstreams_find(&c->at->upstreams, own);
	const bct_gate_upstream_t *wrong = bct_gate_upstreams_find(&c->at->upstreams, other);
	bct_gate_origin_t o;
	bct_gate_conclusion_t found = find(p, c, now, &o);

	if (found.unconfirmed && now - c->back_at < CONFIRM_MS)
		return;
	c->done = true;
	r->taken_up++;
	if (found.release) {
		r->joined += wrong && bct_gate_origin_allows(&o, wrong);
		return;
	}
	if (!same || same->presence != BCT_GATE_READY)
		return;
	r->refused++;
	if (now - KILL_AT - DOWN_MS > r->last_refused)
		r->last_refused = now - KILL_AT - DOWN_MS;
}

/* Streams that began in the life before the kill, each broken by it or before. */
static void draw_caller(const plan_t *p, caller_t *c)
{
	bct_time_t gone;

	c->began_at = KILL_AT - 1 - bct_rng_below(&rng, LIMIT_MS);
	c->v1 = c->began_at < p->retire_at &&
		(c->began_at < p->release_at || bct_rng_below(&rng, 2));
	gone = c->began_at + p->patience_ms;
	c->back_at = KILL_AT + DOWN_MS;
	if (gone > c->back_at)
		c->back_at += bct_rng_below(&rng, (uint32_t)(gone - c->back_at));
}

static void step(const plan_t *p, bct_time_t now)
{
	for (uint32_t i = 0; i < p->nodes; i++) {
		if (now == KILL_AT) {
			stop(&nodes[i]);
			start(&nodes[i], p);
		}
		if (now < KILL_AT || now >= KILL_AT + DOWN_MS)
			tick(&nodes[i], p, now);
	}
}

static outcome_t play(const plan_t *p, uint64_t seed)
{
	static caller_t callers[CALLERS];
	outcome_t r = { 0 };

	bct_rng_seed(&rng, seed);
	for (uint32_t i = 0; i < p->nodes; i++)
		start(&nodes[i], p);
	for (uint32_t i = 0; i < CALLERS; i++) {
		callers[i] = (caller_t){ .attempt = i + 1 };
		draw_caller(p, &callers[i]);
	}
	for (bct_time_t now = KILL_AT - 70000; now < END_AT; now += STEP_MS) {
		for (uint32_t i = 0; i < CALLERS; i++) {
			caller_t *c = &callers[i];
			uint32_t at = bct_rng_below(&rng, p->nodes);

			if (now < c->back_at || c->done)
				continue;
			c->at = c->at ? c->at : &nodes[at];
			take_up(p, c, now, &r);
		}
		step(p, now);
	}
	for (uint32_t i = 0; i < p->nodes; i++)
		stop(&nodes[i]);
	return r;
}

static const uint32_t sizes[] = { 1, 7, 74, 195 };
static const bct_time_t around_ms[] = { -60000, -8000, -1000, -10, 0, 10, 1000, 8000, 60000 };

#define N(a) (sizeof(a) / sizeof((a)[0]))

/* The last upstream of the old version leaves some time before or after all nodes are killed, and
 * the registry's changes arrive up to 3 s late. Callers wait as long as their route allows. */
static void around_the_kill(bool named, bct_time_t patience_ms)
{
	for (uint32_t i = 0; i < N(sizes); i++) {
		for (uint32_t j = 0; j < N(around_ms); j++) {
			plan_t p = {
				.nodes = sizes[i],
				.release_at = KILL_AT + around_ms[j] - 4000,
				.retire_at = KILL_AT + around_ms[j],
				.listed_late = 3000,
				.patience_ms = patience_ms,
				.named = named,
			};
			outcome_t r = play(&p, 10 * i + j);

			cr_expect_eq(r.joined, 0, "%u nodes, %ld ms: %u of %u joined", sizes[i],
				     (long)around_ms[j], r.joined, r.taken_up);
		}
	}
}

Test(gate_rejoin, a_release_around_the_kill, .timeout = 120)
{
	around_the_kill(true, LIMIT_MS);
}

/* Callers that name no attempt are bound by nothing but the releases that were seen. */
Test(gate_rejoin, callers_that_name_no_attempt, .timeout = 120)
{
	around_the_kill(false, LIMIT_MS);
}

/* A caller may wait much longer than its route's time limit: it comes back after several refused
 * tries, when the nodes have known one release only for twice that limit. */
Test(gate_rejoin, patient_callers, .timeout = 120)
{
	around_the_kill(true, 5 * LIMIT_MS);
}

static bct_gate_upstreams_t known;
static bct_gate_origins_t seen;

static void observe(bct_time_t from, bct_time_t to)
{
	for (bct_time_t now = from; now <= to; now += STEP_MS)
		bct_gate_origins_observe(&seen, now, now, &known);
}

static uint64_t sole_at(bct_time_t now)
{
	uint64_t service = bct_gate_upstreams_find(&known, "old")->service_key;

	return bct_gate_origins_sole(&seen, now, service, LIMIT_MS);
}

/* A node that has known one release from 1 s to 20 s. */
static void one_release(void)
{
	bct_gate_upstreams_init(&known);
	bct_gate_origins_init(&seen);
	apply(&known, 1000, "old", "v1", true);
	observe(1000, 20000);
	cr_expect_neq(sole_at(20000), 0);
}

static void forget_release(void)
{
	bct_gate_origins_free(&seen);
	bct_gate_upstreams_free(&known);
}

/* A node that was suspended while the release went on may read a request before anything else. */
Test(gate_rejoin, a_resumed_node_knows_no_release, .init = one_release, .fini = forget_release)
{
	cr_expect_eq(sole_at(50000), 0);
	observe(50000, 50000);
	cr_expect_eq(sole_at(50000), 0);
}

/* A node that the registry does not answer, directly or through peers, does not hear of releases.
 */
Test(gate_rejoin, a_node_without_registry_knows_no_release, .init = one_release,
     .fini = forget_release)
{
	bct_gate_upstreams_set_registry(&known, 20000, false);
	observe(20000, 40000);
	cr_expect_eq(sole_at(40000), 0);
	bct_gate_upstreams_set_registry(&known, 40000, true);
	observe(40000, 50000);
	cr_expect_neq(sole_at(50000), 0);
}

/* Callers that wait for 130 s are refused, while the right version serves, for no longer than twice
 * that after all nodes forgot what began their streams; then they are served. */
Test(gate_rejoin, refusals_end)
{
	plan_t p = {
		.nodes = 74,
		.release_at = KILL_AT - 60000,
		.retire_at = KILL_AT - 50000,
		.patience_ms = PATIENT_MS,
		.named = true,
	};
	outcome_t r = play(&p, 3);

	cr_expect_eq(r.joined, 0);
	cr_expect_leq(r.last_refused, 2 * PATIENT_MS);
	cr_expect_lt(r.refused, r.taken_up);
}

/* The records of a route whose streams live longer than usual outlive them. */
Test(gate_rejoin, records_outlive_long_streams)
{
	bct_gate_origin_t o = { .release = 7, .run = 1 };
	bct_gate_origins_t t;

	bct_gate_origins_init(&t);
	bct_gate_origins_put(&t, 1000, 1, &o, 0);
	bct_gate_origins_sweep(&t, 150000, 100000);
	cr_expect(bct_gate_origins_get(&t, 150000, 1, &o, NULL));
	bct_gate_origins_sweep(&t, 202000, 100000);
	cr_expect_not(bct_gate_origins_get(&t, 202000, 1, &o, NULL));
	bct_gate_origins_free(&t);
}
