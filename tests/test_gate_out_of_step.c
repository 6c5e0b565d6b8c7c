/*
 * test_gate_out_of_step.c - a model without network of one node that is cut off or stands still for
 * some seconds while upstreams of a new software version join. Streams that others began there are
 * taken up at that node. Guards against answers that are joined from two versions: the node took
 * the only release that it knew for the one that had begun them.
 */
#include "base/rng.h"
#include "policy/gate_origins.h"
#include "policy/gate_poll.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define STEP_MS 20
#define TICK_MS 100 /* of the node; also between two messages of its peers */
#define POLL_MS 700
#define CALL_MS 12 /* of the registry, if it answers */
#define CALL_LIMIT_MS 1000
#define CONFIRM_MS 1000 /* that a take-up waits, see gate/origin.c */
#define LIMIT_MS 2000	/* of the streams' route, and that their callers wait */
#define TROUBLE_AT 100000
#define END_MS 8000    /* the model goes on for so long after the trouble */
#define LISTED_MS 3600 /* that an upstream is listed at least: one that crashes stays as long */
#define CALLERS 200
#define OLD_UPSTREAMS 3
#define PEER 1 /* that reads the registry for the others */
#define NODE 9

typedef enum trouble {
	IN_STEP = 0,
	CUT_FROM_PEERS,
	CUT_FROM_REGISTRY,
	CUT_OFF,
	STANDS_STILL,
	TROUBLES,
} trouble_t;

static const char *const names[] = { "in step", "cut from peers", "cut from the registry",
				     "cut off", "stands still" };

typedef struct plan {
	trouble_t trouble;
	bct_time_t for_ms;
	bct_time_t join_at, leave_at; /* of the upstream with the new version */
	bool named;		      /* callers name the attempt; no record of it is found */
} plan_t;

typedef struct caller {
	bct_time_t began_at, back_at;
	bool v2;
	bool done;
} caller_t;

typedef struct outcome {
	uint32_t taken_up;
	uint32_t served;
	uint32_t joined;     /* went on at the other version */
	uint32_t would_join; /* if what the node knew had been enough */
	bct_time_t longest;  /* wait of one that was served */
} outcome_t;

/* The node and what it last heard. */
typedef struct node {
	bct_gate_upstreams_t upstreams;
	bct_gate_origins_t origins;
	bct_gate_poll_t poll;
	bct_time_t call_at; /* start of the call in progress; 0: none */
} node_t;

static node_t node;
static bct_gate_upstreams_t listed; /* the registry */
static bct_gate_upstreams_t heard;  /* by the peer, at its last call */
static bct_time_t heard_at;
static bct_rng_t rng;

static void apply(bct_gate_upstreams_t *t, bct_time_t now, const char *id, const char *version,
		  bool present)
{
	bct_gate_entry_t e = { .service = "model", .zone = "z", .ip = "10.0.0.1", .port = 80 };

	snprintf(e.id, sizeof(e.id), "%s", id);
	bct_gate_entry_set_software(&e, version);
	if (present && !bct_gate_upstreams_find(t, id))
		bct_gate_upstreams_apply(t, now, &e);
	else if (!present && bct_gate_upstreams_find(t, id))
		bct_gate_upstreams_remove(t, now, id, 0);
}

/* Makes a table like another one. */
static void copy(bct_gate_upstreams_t *t, bct_time_t now, const bct_gate_upstreams_t *from)
{
	const bct_gate_upstream_t *u = bct_gate_upstreams_find(from, "new");
	char id[8];

	for (uint32_t i = 0; i < OLD_UPSTREAMS; i++) {
		snprintf(id, sizeof(id), "old%u", i);
		apply(t, now, id, "v1", true);
	}
	apply(t, now, "new", "v2", u && u->presence == BCT_GATE_READY);
	bct_gate_upstreams_sweep(t, now);
}

static bool in_trouble(const plan_t *p, bct_time_t now)
{
	return now >= TROUBLE_AT && now < TROUBLE_AT + p->for_ms;
}

static bool hears_peers(const plan_t *p, bct_time_t now)
{
	return !in_trouble(p, now) || p->trouble == IN_STEP || p->trouble == CUT_FROM_REGISTRY;
}

static bool reaches_registry(const plan_t *p, bct_time_t now)
{
	return !in_trouble(p, now) || p->trouble == IN_STEP || p->trouble == CUT_FROM_PEERS;
}

static void step_registry(const plan_t *p, bct_time_t now)
{
	static const bct_gate_upstreams_t none;
	bct_gate_upstreams_t *t = &listed;

	copy(t, now, &none);
	apply(t, now, "new", "v2", now >= p->join_at && now < p->leave_at);
	if (now % POLL_MS)
		return;
	copy(&heard, now, &listed);
	heard_at = now;
}

static void hear_peer(bct_time_t now)
{
	bct_gate_read_t read = { .answered_at = heard_at, .reader = PEER };
	bct_gate_peer_versions_t v = { .received_at = now,
				       .from = PEER,
				       .reads = { read, read },
				       .upstreams_digest = bct_gate_upstreams_digest(&heard) };

	copy(&node.upstreams, now, &heard);
	bct_gate_poll_received(&node.poll, &v);
}

/* Does what the node's poll says. */
static void follow(const plan_t *p, bct_time_t now)
{
	bct_gate_local_versions_t local = { .rank = 5, .busy = node.call_at != 0 };
	bct_gate_due_t due;

	local.upstreams_digest = bct_gate_upstreams_digest(&node.upstreams);
	due = bct_gate_poll_due(&node.poll, now, BCT_REGISTRY_UPSTREAMS, &local);
	if (due.act == BCT_GATE_POLL_PULL) {
		if (hears_peers(p, now))
			copy(&node.upstreams, now, &heard);
		bct_gate_poll_pulled(&node.poll, BCT_REGISTRY_UPSTREAMS,
				     hears_peers(p, now) ? BCT_GATE_PULL_HELPED
							 : BCT_GATE_PULL_FAILED);
	} else if (due.act) {
		node.call_at = now;
	}
}

static void end_call(const plan_t *p, bct_time_t now)
{
	bool ok = reaches_registry(p, node.call_at) && reaches_registry(p, now);

	if (!node.call_at || now - node.call_at < (ok ? CALL_MS : CALL_LIMIT_MS))
		return;
	bct_gate_poll_result(&node.poll, now, BCT_REGISTRY_UPSTREAMS, node.call_at, ok);
	if (ok)
		copy(&node.upstreams, now, &listed);
	node.call_at = 0;
}

static void observe(bct_time_t now)
{
	bct_gate_read_t read = bct_gate_poll_latest(&node.poll, BCT_REGISTRY_UPSTREAMS, false);

	bct_gate_origins_observe(&node.origins, now, read.answered_at, &node.upstreams);
}

static void step_node(const plan_t *p, bct_time_t now)
{
	end_call(p, now);
	if (now % TICK_MS)
		return;
	if (hears_peers(p, now))
		hear_peer(now);
	bct_gate_upstreams_set_registry(
		&node.upstreams, now, !bct_gate_poll_lost(&node.poll, now, BCT_REGISTRY_UPSTREAMS));
	observe(now);
	follow(p, now);
}

static void draw_caller(const plan_t *p, caller_t *c)
{
	bct_time_t from = TROUBLE_AT - 300, to = TROUBLE_AT + p->for_ms + 3000;

	c->began_at = from + bct_rng_below(&rng, (uint32_t)(to - from));
	c->v2 = c->began_at > p->join_at && c->began_at < p->leave_at && bct_rng_below(&rng, 2);
	c->back_at = c->began_at + 20 + bct_rng_below(&rng, LIMIT_MS - 20);
	/* What arrives while the node stands still is read as it goes on. */
	if (p->trouble == STANDS_STILL && in_trouble(p, c->back_at))
		c->back_at = TROUBLE_AT + p->for_ms;
	c->done = c->back_at < TROUBLE_AT;
}

static bool is_wrong(const caller_t *c, uint64_t release)
{
	const char *id = c->v2 ? "new" : "old0";
	const bct_gate_upstream_t *u = bct_gate_upstreams_find(&node.upstreams, id);

	return release && (!u || release != u->release);
}

static void take_up(const plan_t *p, caller_t *c, bct_time_t now, outcome_t *r)
{
	bct_gate_take_up_t u = {
		.service_key = bct_gate_upstreams_find(&node.upstreams, "old0")->service_key,
		.arrived = c->back_at,
		.as_of = bct_gate_poll_as_of(&node.poll),
		.limit_ms = LIMIT_MS,
		.wait_ms = LIMIT_MS,
		.named = p->named,
	};
	bct_gate_conclusion_t found;

	observe(now);
	found = bct_gate_origins_conclude(&node.origins, now, &u);
	if (now - c->back_at < STEP_MS)
		r->would_join += is_wrong(c, bct_gate_origins_sole(&node.origins, now,
								   u.service_key, found.window_ms));
	if (found.unconfirmed && now - c->back_at < CONFIRM_MS) {
		bct_gate_poll_confirm(&node.poll, c->back_at);
		follow(p, now);
		return;
	}
	c->done = true;
	r->taken_up++;
	r->joined += is_wrong(c, found.release);
	if (!found.release)
		return;
	r->served++;
	if (now - c->back_at > r->longest)
		r->longest = now - c->back_at;
}

static void start(const plan_t *p)
{
	bct_gate_upstreams_init(&listed);
	bct_gate_upstreams_init(&heard);
	bct_gate_upstreams_init(&node.upstreams);
	bct_gate_origins_init(&node.origins);
	bct_gate_poll_init(&node.poll, POLL_MS);
	node.poll.self = NODE;
	node.poll.message_interval_ms = TICK_MS;
	node.poll.call_limit_ms = CALL_LIMIT_MS;
	node.call_at = heard_at = 0;
	/* Named streams may be as old as records are kept. */
	for (bct_time_t now = TROUBLE_AT - 80000; now < TROUBLE_AT - 10000; now += TICK_MS) {
		step_registry(p, now);
		step_node(p, now);
	}
}

static void stop(void)
{
	bct_gate_upstreams_free(&listed);
	bct_gate_upstreams_free(&heard);
	bct_gate_upstreams_free(&node.upstreams);
	bct_gate_origins_free(&node.origins);
}

static outcome_t play(const plan_t *p, uint64_t seed)
{
	static caller_t callers[CALLERS];
	outcome_t r = { 0 };

	bct_rng_seed(&rng, seed);
	start(p);
	for (uint32_t i = 0; i < CALLERS; i++)
		draw_caller(p, &callers[i]);
	for (bct_time_t now = TROUBLE_AT - 10000; now < TROUBLE_AT + p->for_ms + END_MS;
	     now += STEP_MS) {
		step_registry(p, now);
		if (p->trouble == STANDS_STILL && in_trouble(p, now))
			continue;
		/* A node that goes on may read a request before anything else. */
		for (uint32_t i = 0; i < CALLERS; i++) {
			if (!callers[i].done && now >= callers[i].back_at)
				take_up(p, &callers[i], now, &r);
		}
		step_node(p, now);
	}
	stop();
	return r;
}

/* All troubles, of all lengths, with a new version that stays or leaves again. */
static void play_all(bool named, uint32_t *would_join)
{
	static const bct_time_t lengths_ms[] = { 500, 1500, 2500, 4000, 6000, 10000 };

	for (uint32_t i = 0; i < TROUBLES * 6 * 4; i++) {
		plan_t p = { .trouble = (trouble_t)(i / 24),
			     .for_ms = lengths_ms[i / 4 % 6],
			     .join_at = TROUBLE_AT + (i & 1 ? 100 : -300),
			     .leave_at = INT64_MAX,
			     .named = named };
		outcome_t r;

		if (i & 2)
			p.leave_at = p.join_at + LISTED_MS;
		r = play(&p, i + 1);
		cr_expect_eq(r.joined, 0, "%s for %ld ms: %u of %u joined", names[p.trouble],
			     (long)p.for_ms, r.joined, r.taken_up);
		would_join[p.trouble] += r.would_join;
	}
}

/* Callers that name no attempt, or of whose attempt no peer that the node reaches knows. */
Test(gate_out_of_step, no_stream_goes_on_at_another_version, .timeout = 120)
{
	uint32_t would_join[TROUBLES] = { 0 };

	play_all(false, would_join);
	play_all(true, would_join);
	/* The model does meet the case. */
	for (uint32_t i = CUT_FROM_PEERS; i < TROUBLES; i++)
		cr_expect_gt(would_join[i], 0, "%s", names[i]);
}

/* While there is one version, all are served, and soon, also by a node whose peers do not reach it.
 * One that the registry does not answer serves none without a proof, and is back after that. */
Test(gate_out_of_step, one_version_is_served)
{
	for (trouble_t t = IN_STEP; t < TROUBLES; t++) {
		plan_t p = {
			.trouble = t, .for_ms = 1500, .join_at = INT64_MAX, .leave_at = INT64_MAX
		};
		outcome_t r = play(&p, 7);

		cr_expect_gt(r.taken_up, CALLERS / 2);
		if (t == IN_STEP || t == CUT_FROM_PEERS || t == STANDS_STILL) {
			cr_expect_eq(r.served, r.taken_up, "%s", names[t]);
			cr_expect_leq(r.longest, 200, "%s: %ld ms", names[t], (long)r.longest);
		} else {
			cr_expect_gt(r.served, r.taken_up / 2, "%s", names[t]);
		}
	}
}
