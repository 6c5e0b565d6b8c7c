/*
 * test_duty_model.c - every interleaving, to a bounded depth, of the steps of two or three nodes
 * over a simulated log: a call is asked, takes effect at some time or never, and its response comes
 * or is lost; time passes while nodes are frozen. Time is counted in steps of half a TTL.
 */
#include "base/err.h"
#include "base/hash.h"
#include "base/map.h"
#include "policy/duty_lease.h"

#include <criterion/criterion.h>
#include <string.h>

#define NODES_MAX 3
#define LATE_MAX 3
#define FAULTS_MAX 3
#define TTL_MS 200
#define STEP_MS 110 /* two of them are more than TTL and margin */

typedef struct call {
	bct_duty_act_t act; /* BCT_DUTY_IDLE: none in progress */
	bct_duty_head_t record;
	bct_gate_position_t at;
	bool executed;		      /* the response is on its way; what it says: */
	bool ok;		      /* appended; or the log has a record, in `record` */
	bct_gate_position_t position; /* of the record; or the end of the log */
} call_t;

/* Everything that a trace depends on; copied at each branch. */
typedef struct world {
	bct_time_t now;
	bct_duty_lease_t nodes[NODES_MAX];
	call_t calls[NODES_MAX];
	call_t late[LATE_MAX]; /* appends without a response that may still take effect */
	uint32_t n_late;
	bool has_head;
	bct_duty_head_t head;
	bct_gate_position_t end;
	uint64_t highest_fence; /* that any node has held */
	uint32_t highest_by;
	uint32_t restores;
	uint32_t faults;	 /* lost and delayed responses, nodes that leave */
	uint64_t ids[NODES_MAX]; /* of appends */
} world_t;

typedef struct model {
	uint32_t nodes;
	uint32_t restores; /* of the log from an older copy, at most */
	uint64_t states;
	uint64_t claims;
	uint64_t handovers;
	bct_map_t seen; /* hash of a state: steps from there that were explored, as a pointer */
} model_t;

static bool append_applies(world_t *w, const call_t *c, bct_gate_position_t *position)
{
	if (bct_gate_position_offset(c->at) != bct_gate_position_offset(w->end))
		return false;
	w->head = c->record;
	w->head.position = *position = w->end++;
	w->has_head = true;
	return true;
}

/* The rules that must hold after each step. */
static void check(world_t *w, model_t *m)
{
	uint32_t valid = 0;

	for (uint32_t i = 0; i < m->nodes; i++) {
		uint64_t fence = bct_duty_lease_fence(&w->nodes[i]);

		if (!bct_duty_lease_valid(&w->nodes[i], w->now))
			continue;
		valid++;
		if (w->highest_by != i)
			cr_assert_gt(fence, w->highest_fence, "fence of two nodes, or lower");
		if (fence <= w->highest_fence) {
			cr_assert_eq(fence, w->highest_fence, "a fence went back");
			continue;
		}
		m->handovers += w->highest_fence && w->highest_by != i;
		w->highest_fence = fence;
		w->highest_by = i;
	}
	cr_assert_leq(valid, 1, "two valid holders");
}

/* Node i asks for its next call. returns false: it has none. */
static bool ask(world_t *w, model_t *m, uint32_t i)
{
	bct_duty_lease_t *l = &w->nodes[i];
	call_t *c = &w->calls[i];

	if (c->act)
		return false;
	c->act = bct_duty_lease_next(l, w->now, false, (i + 1) * 1000 + ++w->ids[i]);
	if (!c->act)
		return false;
	m->claims += c->act == BCT_DUTY_CLAIM;
	c->at = bct_duty_lease_at(l);
	c->record = (bct_duty_head_t){
		.holder = c->act == BCT_DUTY_RELEASE ? 0 : l->opts.incarnation,
		.ttl_ms = TTL_MS,
		.append_id = bct_duty_lease_append_id(l),
	};
	return true;
}

/* The call of node i is executed; its response is on its way. */
static bool execute(world_t *w, uint32_t i)
{
	call_t *c = &w->calls[i];

	if (!c->act || c->executed)
		return false;
	c->executed = true;
	if (c->act == BCT_DUTY_READ) {
		c->ok = w->has_head;
		c->record = w->head;
		c->position = w->end;
	} else {
		c->ok = append_applies(w, c, &c->position);
	}
	return true;
}

/* The response to node i arrives or (to an append) is lost. */
static bool respond(world_t *w, uint32_t i, bool lost)
{
	call_t *c = &w->calls[i];
	bct_duty_lease_t *l = &w->nodes[i];
	int rc = c->ok ? 0 : -BCT_ESTALE;

	if (!c->executed || (lost && c->act == BCT_DUTY_READ))
		return false;
	if (c->act == BCT_DUTY_READ)
		bct_duty_lease_read(l, w->now, 0, c->ok ? &c->record : NULL, c->position);
	else
		bct_duty_lease_appended(l, w->now, lost ? -BCT_EUNKNOWN_OUTCOME : rc, c->position,
					0);
	*c = (call_t){ 0 };
	return true;
}

/* The append of node i gets no response; it may take effect later. */
static bool delay(world_t *w, uint32_t i)
{
	call_t *c = &w->calls[i];

	if (!c->act || c->executed || c->act == BCT_DUTY_READ || w->n_late == LATE_MAX)
		return false;
	w->late[w->n_late++] = *c;
	bct_duty_lease_appended(&w->nodes[i], w->now, -BCT_EUNKNOWN_OUTCOME, 0, 0);
	*c = (call_t){ 0 };
	return true;
}

static bool late_effect(world_t *w, uint32_t i)
{
	bct_gate_position_t position;

	if (i >= w->n_late || !append_applies(w, &w->late[i], &position))
		return false;
	w->late[i] = w->late[--w->n_late];
	return true;
}

/* The log loses its newest record and its era rises. */
static bool restore(world_t *w, const model_t *m)
{
	uint64_t offset = bct_gate_position_offset(w->end);

	if (w->restores >= m->restores || !w->has_head)
		return false;
	w->restores++;
	w->has_head = false;
	w->end = bct_gate_position(bct_gate_position_era(w->end) + 1, offset - 1);
	return true;
}

/* Steps that one node can take, and those of the rest of the world. */
enum { ASK, EXECUTE, RESPOND, LOSE, DELAY, LEAVE, NODE_STEPS };
enum { PASS, EFFECT_0, EFFECT_1, RESTORE, WORLD_STEPS };

static bool node_step(world_t *w, model_t *m, uint32_t i, uint32_t step)
{
	bct_duty_lease_t *l = &w->nodes[i];

	switch (step) {
	case ASK:
		return ask(w, m, i);
	case EXECUTE:
		return execute(w, i);
	case RESPOND:
		return respond(w, i, false);
	case LOSE:
		return respond(w, i, true);
	case DELAY:
		return delay(w, i);
	default: /* LEAVE, or come back */
		if (!l->held && l->candidate)
			return false;
		bct_duty_lease_set_candidate(l, !l->candidate, 0);
		return true;
	}
}

static bool world_step(world_t *w, const model_t *m, uint32_t step)
{
	switch (step) {
	case PASS:
		w->now += STEP_MS;
		return true;
	case RESTORE:
		return restore(w, m);
	default:
		return late_effect(w, step - EFFECT_0);
	}
}

/* Whether all traces of this many steps from here have been explored already. */
static bool explored(model_t *m, const world_t *w, uint32_t depth)
{
	uint64_t key = bct_hash(w, sizeof(*w));

	if ((uintptr_t)bct_map_get(&m->seen, key) >= depth)
		return true;
	m->states++;
	cr_assert_eq(bct_map_put(&m->seen, key, (void *)(uintptr_t)depth), 0);
	return false;
}

static void explore(const world_t *w, model_t *m, uint32_t depth)
{
	if (!depth || explored(m, w, depth))
		return;
	for (uint32_t s = 0; s < m->nodes * NODE_STEPS + WORLD_STEPS; s++) {
		world_t next = *w;
		bool taken = s < m->nodes * NODE_STEPS
				     ? node_step(&next, m, s / NODE_STEPS, s % NODE_STEPS)
				     : world_step(&next, m, s - m->nodes * NODE_STEPS);

		if (s < m->nodes * NODE_STEPS && s % NODE_STEPS >= LOSE)
			next.faults++;
		if (!taken || next.faults > FAULTS_MAX)
			continue;
		check(&next, m);
		explore(&next, m, depth - 1);
	}
}

/* The nodes have read the log and waited; all are of rank 0, so that they compete. */
static void explore_all(model_t *m, uint32_t depth)
{
	world_t w = { .now = 1000, .end = bct_gate_position(1, 5) };

	for (uint32_t i = 0; i < m->nodes; i++) {
		bct_duty_lease_opts_t o = { .incarnation = i + 1,
					    .ttl_ms = TTL_MS,
					    .margin_ms = 10,
					    .renew_ms = 100,
					    .read_ms = 100,
					    .again_ms = TTL_MS };

		bct_duty_lease_init(&w.nodes[i], &o);
		bct_duty_lease_set_candidate(&w.nodes[i], true, 0);
		ask(&w, m, i);
		execute(&w, i);
		respond(&w, i, false);
	}
	w.now += 1000;
	for (uint32_t i = 0; i < m->nodes; i++) {
		ask(&w, m, i);
		execute(&w, i);
		respond(&w, i, false);
	}
	explore(&w, m, depth);
	cr_log_info("%u nodes, depth %u: %llu states, %llu claims, %llu handovers", m->nodes, depth,
		    (unsigned long long)m->states, (unsigned long long)m->claims,
		    (unsigned long long)m->handovers);
	bct_map_free(&m->seen);
	cr_assert_gt(m->claims, 0);
	cr_assert_gt(m->handovers, 0, "the depth is too small to see a second holder");
}

/* Guards against two holders, and against tokens that repeat or go back. */
Test(duty_model, two_nodes, .timeout = 120)
{
	model_t m = { .nodes = 2 };

	explore_all(&m, 17);
}

Test(duty_model, three_nodes, .timeout = 120)
{
	model_t m = { .nodes = 3 };

	explore_all(&m, 13);
}

/* The same with a restore of the log, after which conditions may be met by chance. */
Test(duty_model, two_nodes_and_a_restore, .timeout = 120)
{
	model_t m = { .nodes = 2, .restores = 1 };

	explore_all(&m, 15);
}
