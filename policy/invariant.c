/*
 * invariant.c - replays a trace into counts per node, target and tier, and checks every event
 * against them.
 *
 * XXX: requests are not evicted while the checker exists, so a trace that is too long for the
 * memory has to be checked in parts.
 */
#include "policy/invariant.h"
#include "base/err.h"
#include "base/hash.h"
#include "base/mem.h"
#include "base/map.h"

#include <stddef.h>

typedef enum req_phase {
	PHASE_WAITING = 0,
	PHASE_RUNNING,
	PHASE_ANSWERED,	 /* has its final answer */
	PHASE_CANCELLED, /* the caller disconnected, or a REFUSE follows */
} req_phase_t;

typedef struct req {
	uint64_t node_key;
	uint64_t target_key;
	uint8_t tier;
	req_phase_t phase;
	bool repeatable;
	bool not_preemptible; /* the current attempt */
	bool preempted;	      /* the current attempt was, and has not ended yet */
	bool may_have_run;
} req_t;

/* One target on one node. Arrays are indexed by tier - 1. */
typedef struct node_target {
	uint64_t target_key;
	uint32_t waiting[BCT_TIERS];
	bct_time_t waiting_since[BCT_TIERS]; /* when waiting last rose from 0 */
	uint32_t preemptible[BCT_TIERS];     /* running requests */
} node_target_t;

/* One target over all nodes. */
typedef struct fleet_target {
	uint32_t accounts[BCT_TIERS]; /* number of accounts with requests, by tier - 1 */
	uint64_t dispatches;
} fleet_target_t;

typedef struct class_demand {
	uint64_t target_key;
	uint8_t tier;
	uint32_t pending;	      /* requests with pending demand, see bct_invariant_opts_t */
	bct_time_t since;	      /* start of the starvation interval */
	uint64_t dispatches_at_since; /* dispatches of the target before that */
} class_demand_t;

struct bct_invariant {
	bct_invariant_opts_t opts;
	bct_map_t reqs;
	bct_map_t node_targets;
	bct_map_t fleet_targets;
	bct_map_t classes;
	bct_time_t now;
	uint64_t counts[BCT_BREACH_COUNT];
};

static void add_breach(bct_invariant_t *v, bct_breach_t b, const bct_trace_t *t)
{
	v->counts[b]++;
	if (v->opts.on_breach)
		v->opts.on_breach(v->opts.ctx, b, t);
}

static void *find_or_add(bct_map_t *map, uint64_t key, size_t size_bytes)
{
	void *obj = bct_map_get(map, key);

	if (obj)
		return obj;
	obj = bct_alloc(size_bytes);
	if (!obj)
		return NULL;
	if (!bct_map_put(map, key, obj))
		return obj;
	bct_free(obj);
	return NULL;
}

static node_target_t *node_target_of(bct_invariant_t *v, const bct_trace_t *t)
{
	return find_or_add(&v->node_targets, bct_hash_mix(t->node_key, t->target_key),
			   sizeof(node_target_t));
}

static fleet_target_t *fleet_target_of(bct_invariant_t *v, const bct_trace_t *t)
{
	return find_or_add(&v->fleet_targets, t->target_key, sizeof(fleet_target_t));
}

static uint64_t class_key(const bct_trace_t *t)
{
	return bct_hash_mix(bct_hash_mix(t->account_key, t->target_key), t->tier);
}

static uint64_t req_key(const bct_trace_t *t)
{
	return bct_hash_mix(t->node_key, t->req_id);
}

/* Allocates every object that an event needs, so that processing it cannot fail. */
static int reserve_objects(bct_invariant_t *v, const bct_trace_t *t)
{
	fleet_target_t *ft = fleet_target_of(v, t);
	class_demand_t *cl;

	if (!ft || !node_target_of(v, t))
		return -BCT_ENOMEM;
	if (t->type != BCT_TRACE_SUBMIT)
		return 0;
	cl = find_or_add(&v->classes, class_key(t), sizeof(*cl));
	if (!cl || !find_or_add(&v->reqs, req_key(t), sizeof(req_t)))
		return -BCT_ENOMEM;
	if (!cl->tier) {
		cl->target_key = t->target_key;
		cl->tier = t->tier;
		ft->accounts[t->tier - 1]++;
	}
	return 0;
}

static void wait_begin(bct_invariant_t *v, const bct_trace_t *t, req_t *r)
{
	node_target_t *nt = node_target_of(v, t);
	uint32_t i = r->tier - 1;

	r->phase = PHASE_WAITING;
	nt->target_key = t->target_key;
	if (!nt->waiting[i]++)
		nt->waiting_since[i] = t->now;
}

static void wait_end(bct_invariant_t *v, const bct_trace_t *t, const req_t *r)
{
	if (r->phase != PHASE_WAITING)
		return;
	node_target_of(v, t)->waiting[r->tier - 1]--;
}

static void on_submit(bct_invariant_t *v, const bct_trace_t *t)
{
	req_t *r = bct_map_get(&v->reqs, req_key(t));
	class_demand_t *cl = bct_map_get(&v->classes, class_key(t));

	r->node_key = t->node_key;
	r->target_key = t->target_key;
	r->tier = t->tier;
	r->repeatable = t->value & BCT_TRACE_REPEATABLE;
	wait_begin(v, t, r);
	if (!cl->pending++) {
		cl->since = t->now;
		cl->dispatches_at_since = fleet_target_of(v, t)->dispatches;
	}
}

static void class_demand_withdrawn(bct_invariant_t *v, const bct_trace_t *t)
{
	class_demand_t *cl = bct_map_get(&v->classes, class_key(t));

	if (cl && cl->pending)
		cl->pending--;
}

/* Counts a dispatch and restarts the starvation interval of its class. */
static void class_served(bct_invariant_t *v, const bct_trace_t *t)
{
	class_demand_t *cl = bct_map_get(&v->classes, class_key(t));
	fleet_target_t *ft = fleet_target_of(v, t);

	ft->dispatches++;
	if (!cl)
		return;
	cl->pending = 0;
	cl->since = t->now;
	cl->dispatches_at_since = ft->dispatches;
}

static bool class_starves(const bct_invariant_t *v, const class_demand_t *cl)
{
	const fleet_target_t *ft = bct_map_get(&v->fleet_targets, cl->target_key);
	uint64_t bound = (uint64_t)v->opts.starve_dispatches * ft->accounts[cl->tier - 1];

	return cl->pending && v->now - cl->since >= v->opts.starve_ms &&
	       ft->dispatches - cl->dispatches_at_since >= bound;
}

static void check_starvation(bct_invariant_t *v, const bct_trace_t *t)
{
	const class_demand_t *cl = bct_map_get(&v->classes, class_key(t));

	if (!cl || !class_starves(v, cl))
		return;
	add_breach(v, BCT_BREACH_STARVED, t);
	class_served(v, t);
}

static void on_dispatch(bct_invariant_t *v, const bct_trace_t *t, req_t *r)
{
	if (r->phase == PHASE_ANSWERED)
		add_breach(v, BCT_BREACH_AFTER_ANSWER, t);
	if (r->phase == PHASE_RUNNING)
		add_breach(v, BCT_BREACH_TWO_AT_ONCE, t);
	if (r->may_have_run && !r->repeatable)
		add_breach(v, BCT_BREACH_RUN_TWICE, t);
	check_starvation(v, t);
	wait_end(v, t, r);
	r->phase = PHASE_RUNNING;
	r->not_preemptible = t->value & BCT_TRACE_NOT_PREEMPTIBLE;
	r->preempted = false;
	r->may_have_run = true;
	node_target_of(v, t)->preemptible[r->tier - 1] += !r->not_preemptible;
	class_served(v, t);
}

static void run_end(bct_invariant_t *v, const bct_trace_t *t, req_t *r)
{
	if (r->phase == PHASE_RUNNING && !r->not_preemptible && !r->preempted)
		node_target_of(v, t)->preemptible[r->tier - 1]--;
}

static void on_preempt(bct_invariant_t *v, const bct_trace_t *t, req_t *r)
{
	const node_target_t *nt = node_target_of(v, t);

	if (t->value >= r->tier)
		add_breach(v, BCT_BREACH_PREEMPT_UPWARDS, t);
	for (uint32_t i = r->tier; i < BCT_TIERS; i++) {
		if (nt->preemptible[i]) {
			add_breach(v, BCT_BREACH_PREEMPT_BEFORE_LOWER, t);
			break;
		}
	}
	run_end(v, t, r);
	r->preempted = true;
}

static void on_end(bct_invariant_t *v, const bct_trace_t *t, req_t *r)
{
	bool not_run = t->value == BCT_OUTCOME_CONNECT_FAILED || t->value == BCT_OUTCOME_BUSY;

	if (r->phase == PHASE_ANSWERED) {
		add_breach(v, BCT_BREACH_TWO_ANSWERS, t);
		return;
	}
	run_end(v, t, r);
	wait_end(v, t, r);
	if (not_run)
		r->may_have_run = false;
	if (t->value == BCT_OUTCOME_OK || t->value == BCT_OUTCOME_NOT_SENT) {
		r->phase = PHASE_ANSWERED;
	} else if (t->value == BCT_OUTCOME_CANCELLED && !r->preempted) {
		r->phase = PHASE_CANCELLED;
		class_demand_withdrawn(v, t);
	} else {
		wait_begin(v, t, r);
	}
}

static bool is_capacity_refusal(uint64_t refuse)
{
	return refuse == BCT_REFUSE_SHED || refuse == BCT_REFUSE_QUEUE_FULL;
}

/* Whether work below a tier has waited on a node for longer than propagation to others takes. */
static bool lower_tier_waits(const bct_invariant_t *v, const node_target_t *nt, uint8_t tier)
{
	for (uint32_t i = tier; i < BCT_TIERS; i++) {
		if (nt->waiting[i] && v->now - nt->waiting_since[i] > v->opts.cross_node_grace_ms)
			return true;
	}
	return false;
}

static void check_across_nodes(bct_invariant_t *v, const bct_trace_t *t, const req_t *r)
{
	const node_target_t *local = node_target_of(v, t), *nt;
	uint32_t pos = 0;

	while ((nt = bct_map_next(&v->node_targets, &pos))) {
		if (nt == local || nt->target_key != t->target_key ||
		    !lower_tier_waits(v, nt, r->tier))
			continue;
		add_breach(v, BCT_BREACH_SHED_ACROSS_NODES, t);
		return;
	}
}

static void check_inversion(bct_invariant_t *v, const bct_trace_t *t, const req_t *r)
{
	const node_target_t *nt = node_target_of(v, t);
	bool waiting = false, running = false;

	for (uint32_t i = r->tier; i < BCT_TIERS; i++) {
		waiting |= nt->waiting[i] > 0;
		running |= nt->preemptible[i] > 0;
	}
	if (waiting)
		add_breach(v, BCT_BREACH_SHED_BEFORE_LOWER, t);
	if (running)
		add_breach(v, BCT_BREACH_SHED_BEFORE_PREEMPT, t);
	if (v->opts.cross_node_grace_ms && t->value == BCT_REFUSE_SHED)
		check_across_nodes(v, t, r);
}

/*
 * Requests refused for reasons other than lack of capacity, a passed deadline or a missed target
 * are no evidence of starvation.
 */
static bool excluded_from_starvation(uint64_t refuse)
{
	return !is_capacity_refusal(refuse) && refuse != BCT_REFUSE_DEADLINE &&
	       refuse != BCT_REFUSE_TARGET_MISSED;
}

static void on_refuse(bct_invariant_t *v, const bct_trace_t *t, req_t *r)
{
	if (r->phase == PHASE_ANSWERED)
		add_breach(v, BCT_BREACH_TWO_ANSWERS, t);
	if (r->phase == PHASE_RUNNING)
		add_breach(v, BCT_BREACH_TWO_AT_ONCE, t);
	wait_end(v, t, r);
	r->phase = PHASE_ANSWERED;
	if (is_capacity_refusal(t->value))
		check_inversion(v, t, r);
	if (excluded_from_starvation(t->value))
		class_demand_withdrawn(v, t);
	else
		check_starvation(v, t);
}

static void feed_request_event(bct_invariant_t *v, const bct_trace_t *t)
{
	req_t *r = bct_map_get(&v->reqs, req_key(t));

	if (!r) {
		add_breach(v, BCT_BREACH_UNKNOWN_REQUEST, t);
		return;
	}
	switch (t->type) {
	case BCT_TRACE_DISPATCH:
		on_dispatch(v, t, r);
		break;
	case BCT_TRACE_REFUSE:
		on_refuse(v, t, r);
		break;
	case BCT_TRACE_PREEMPT:
		on_preempt(v, t, r);
		break;
	case BCT_TRACE_END:
		on_end(v, t, r);
		break;
	default:
		break;
	}
}

int bct_invariant_feed(bct_invariant_t *v, const bct_trace_t *t)
{
	if (t->type == BCT_TRACE_SHED_LEVEL)
		return 0;
	if (reserve_objects(v, t))
		return -BCT_ENOMEM;
	if (t->now < v->now)
		add_breach(v, BCT_BREACH_OUT_OF_ORDER, t);
	v->now = t->now;
	if (t->type == BCT_TRACE_SUBMIT)
		on_submit(v, t);
	else
		feed_request_event(v, t);
	return 0;
}

void bct_invariant_finish(bct_invariant_t *v)
{
	uint32_t pos = 0;
	req_t *r;

	while ((r = bct_map_next(&v->reqs, &pos))) {
		bct_trace_t t = { .now = v->now,
				  .node_key = r->node_key,
				  .target_key = r->target_key,
				  .tier = r->tier };

		if (r->phase == PHASE_WAITING || r->phase == PHASE_RUNNING)
			add_breach(v, BCT_BREACH_LOST, &t);
	}
}

int bct_invariant_new(const bct_invariant_opts_t *opts, bct_invariant_t **out)
{
	bct_invariant_t *v = bct_alloc(sizeof(*v));

	if (!v)
		return -BCT_ENOMEM;
	v->opts = *opts;
	if (!v->opts.starve_ms)
		v->opts.starve_ms = BCT_INVARIANT_STARVE_MS;
	if (!v->opts.starve_dispatches)
		v->opts.starve_dispatches = BCT_INVARIANT_STARVE_DISPATCHES;
	v->now = INT64_MIN;
	*out = v;
	return 0;
}

static void free_values(bct_map_t *map)
{
	uint32_t pos = 0;
	void *obj;

	while ((obj = bct_map_next(map, &pos)))
		bct_free(obj);
	bct_map_free(map);
}

void bct_invariant_free(bct_invariant_t *v)
{
	if (!v)
		return;
	free_values(&v->reqs);
	free_values(&v->node_targets);
	free_values(&v->fleet_targets);
	free_values(&v->classes);
	bct_free(v);
}

uint64_t bct_invariant_count(const bct_invariant_t *v, bct_breach_t b)
{
	return v->counts[b];
}

uint64_t bct_invariant_total(const bct_invariant_t *v)
{
	uint64_t n = 0;

	for (uint32_t i = 0; i < BCT_BREACH_COUNT; i++)
		n += v->counts[i];
	return n;
}

static const char *const breach_names[] = {
#define DEF(name, text) #name,
	BCT_BREACH_LIST(DEF)
#undef DEF
};

static const char *const breach_texts[] = {
#define DEF(name, text) text,
	BCT_BREACH_LIST(DEF)
#undef DEF
};

const char *bct_breach_name(bct_breach_t b)
{
	return breach_names[b];
}

const char *bct_breach_text(bct_breach_t b)
{
	return breach_texts[b];
}
