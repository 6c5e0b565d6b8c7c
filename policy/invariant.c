/*
 * invariant.c - replays a trace into counts per node, target and tier, and compares.
 *
 * XXX: a request is remembered for as long as the checker lives, so a trace is checked in parts
 * when it is longer than memory allows.
 */
#include "policy/invariant.h"
#include "base/err.h"
#include "base/hash.h"
#include "base/mem.h"
#include "base/map.h"

#include <stddef.h>

typedef enum life {
	LIFE_WAITING = 0,
	LIFE_RUNNING,
	LIFE_ENDED,
	LIFE_CUT, /* cancelled: the caller left, or a refusal follows */
} life_t;

typedef struct seen_req {
	uint64_t node_key;
	uint64_t target_key;
	uint8_t tier;
	life_t life;
	bool repeatable;
	bool kept;
	bool preempted; /* until its attempt ends */
	bool may_have_run;
} seen_req_t;

/* One target on one node. */
typedef struct place {
	uint64_t target_key;
	uint32_t waiting[BCT_TIERS];
	bct_time_t waiting_since[BCT_TIERS]; /* of any, without a pause */
	uint32_t preemptible[BCT_TIERS];
} place_t;

/* One target over all nodes. */
typedef struct wide {
	uint32_t accounts[BCT_TIERS];
	uint64_t dispatches;
} wide_t;

typedef struct seen_class {
	uint64_t target_key;
	uint8_t tier;
	uint32_t pending; /* requests that capacity has not served */
	bct_time_t since;
	uint64_t dispatches_then;
} seen_class_t;

struct bct_invariant {
	bct_invariant_opts_t opts;
	bct_map_t reqs;
	bct_map_t places;
	bct_map_t wides;
	bct_map_t classes;
	bct_time_t now;
	uint64_t counts[BCT_BREACH_COUNT];
};

static void breach(bct_invariant_t *v, bct_breach_t b, const bct_trace_t *t)
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

static place_t *place_of(bct_invariant_t *v, const bct_trace_t *t)
{
	return find_or_add(&v->places, bct_hash_mix(t->node_key, t->target_key), sizeof(place_t));
}

static wide_t *wide_of(bct_invariant_t *v, const bct_trace_t *t)
{
	return find_or_add(&v->wides, t->target_key, sizeof(wide_t));
}

static uint64_t class_key(const bct_trace_t *t)
{
	return bct_hash_mix(bct_hash_mix(t->account_key, t->target_key), t->tier);
}

static uint64_t req_key(const bct_trace_t *t)
{
	return bct_hash_mix(t->node_key, t->req_id);
}

/* Makes every object that a line needs, so that what follows cannot fail. */
static int feed_reserve(bct_invariant_t *v, const bct_trace_t *t)
{
	wide_t *w = wide_of(v, t);
	seen_class_t *cl;

	if (!w || !place_of(v, t))
		return -BCT_ENOMEM;
	if (t->type != BCT_TRACE_SUBMIT)
		return 0;
	cl = find_or_add(&v->classes, class_key(t), sizeof(*cl));
	if (!cl || !find_or_add(&v->reqs, req_key(t), sizeof(seen_req_t)))
		return -BCT_ENOMEM;
	if (!cl->tier) {
		cl->target_key = t->target_key;
		cl->tier = t->tier;
		w->accounts[t->tier - 1]++;
	}
	return 0;
}

static void wait_begin(bct_invariant_t *v, const bct_trace_t *t, seen_req_t *r)
{
	place_t *p = place_of(v, t);
	uint32_t i = r->tier - 1;

	r->life = LIFE_WAITING;
	p->target_key = t->target_key;
	if (!p->waiting[i]++)
		p->waiting_since[i] = t->now;
}

static void wait_end(bct_invariant_t *v, const bct_trace_t *t, const seen_req_t *r)
{
	if (r->life != LIFE_WAITING)
		return;
	place_of(v, t)->waiting[r->tier - 1]--;
}

static void on_submit(bct_invariant_t *v, const bct_trace_t *t)
{
	seen_req_t *r = bct_map_get(&v->reqs, req_key(t));
	seen_class_t *cl = bct_map_get(&v->classes, class_key(t));

	r->node_key = t->node_key;
	r->target_key = t->target_key;
	r->tier = t->tier;
	r->repeatable = t->value & BCT_TRACE_REPEATABLE;
	wait_begin(v, t, r);
	if (!cl->pending++) {
		cl->since = t->now;
		cl->dispatches_then = wide_of(v, t)->dispatches;
	}
}

static void class_done(bct_invariant_t *v, const bct_trace_t *t)
{
	seen_class_t *cl = bct_map_get(&v->classes, class_key(t));

	if (cl && cl->pending)
		cl->pending--;
}

/* The class is served: its wait begins anew for what is still pending. */
static void class_served(bct_invariant_t *v, const bct_trace_t *t)
{
	seen_class_t *cl = bct_map_get(&v->classes, class_key(t));
	wide_t *w = wide_of(v, t);

	w->dispatches++;
	if (!cl)
		return;
	cl->pending = 0;
	cl->since = t->now;
	cl->dispatches_then = w->dispatches;
}

static bool class_starves(const bct_invariant_t *v, const seen_class_t *cl)
{
	const wide_t *w = bct_map_get(&v->wides, cl->target_key);
	uint64_t bound = (uint64_t)v->opts.starve_dispatches * w->accounts[cl->tier - 1];

	return cl->pending && v->now - cl->since >= v->opts.starve_ms &&
	       w->dispatches - cl->dispatches_then >= bound;
}

static void check_starved(bct_invariant_t *v, const bct_trace_t *t)
{
	const seen_class_t *cl = bct_map_get(&v->classes, class_key(t));

	if (!cl || !class_starves(v, cl))
		return;
	breach(v, BCT_BREACH_STARVED, t);
	class_served(v, t);
}

static void on_dispatch(bct_invariant_t *v, const bct_trace_t *t, seen_req_t *r)
{
	if (r->life == LIFE_ENDED)
		breach(v, BCT_BREACH_AFTER_ANSWER, t);
	if (r->life == LIFE_RUNNING)
		breach(v, BCT_BREACH_TWO_AT_ONCE, t);
	if (r->may_have_run && !r->repeatable)
		breach(v, BCT_BREACH_RUN_TWICE, t);
	check_starved(v, t);
	wait_end(v, t, r);
	r->life = LIFE_RUNNING;
	r->kept = t->value & BCT_TRACE_NOT_PREEMPTIBLE;
	r->preempted = false;
	r->may_have_run = true;
	place_of(v, t)->preemptible[r->tier - 1] += !r->kept;
	class_served(v, t);
}

static void run_end(bct_invariant_t *v, const bct_trace_t *t, seen_req_t *r)
{
	if (r->life == LIFE_RUNNING && !r->kept && !r->preempted)
		place_of(v, t)->preemptible[r->tier - 1]--;
}

static void on_preempt(bct_invariant_t *v, const bct_trace_t *t, seen_req_t *r)
{
	const place_t *p = place_of(v, t);

	if (t->value >= r->tier)
		breach(v, BCT_BREACH_PREEMPT_UPWARDS, t);
	for (uint32_t i = r->tier; i < BCT_TIERS; i++) {
		if (p->preemptible[i]) {
			breach(v, BCT_BREACH_PREEMPT_BEFORE_LOWER, t);
			break;
		}
	}
	run_end(v, t, r);
	r->preempted = true;
}

static void on_end(bct_invariant_t *v, const bct_trace_t *t, seen_req_t *r)
{
	bool unrun = t->value == BCT_OUTCOME_CONNECT_FAILED || t->value == BCT_OUTCOME_BUSY;

	if (r->life == LIFE_ENDED) {
		breach(v, BCT_BREACH_TWO_ANSWERS, t);
		return;
	}
	run_end(v, t, r);
	wait_end(v, t, r);
	if (unrun)
		r->may_have_run = false;
	if (t->value == BCT_OUTCOME_OK || t->value == BCT_OUTCOME_NOT_SENT) {
		r->life = LIFE_ENDED;
	} else if (t->value == BCT_OUTCOME_CANCELLED && !r->preempted) {
		r->life = LIFE_CUT;
		class_done(v, t);
	} else {
		wait_begin(v, t, r);
	}
}

static bool for_capacity(uint64_t refuse)
{
	return refuse == BCT_REFUSE_SHED || refuse == BCT_REFUSE_QUEUE_FULL;
}

/* Whether a place has had work below a tier waiting for longer than news takes to arrive. */
static bool keeps_lower(const bct_invariant_t *v, const place_t *p, uint8_t tier)
{
	for (uint32_t i = tier; i < BCT_TIERS; i++) {
		if (p->waiting[i] && v->now - p->waiting_since[i] > v->opts.view_grace_ms)
			return true;
	}
	return false;
}

static void check_other_nodes(bct_invariant_t *v, const bct_trace_t *t, const seen_req_t *r)
{
	const place_t *here = place_of(v, t), *p;
	uint32_t pos = 0;

	while ((p = bct_map_next(&v->places, &pos))) {
		if (p == here || p->target_key != t->target_key || !keeps_lower(v, p, r->tier))
			continue;
		breach(v, BCT_BREACH_SHED_ACROSS_NODES, t);
		return;
	}
}

static void check_inversion(bct_invariant_t *v, const bct_trace_t *t, const seen_req_t *r)
{
	const place_t *p = place_of(v, t);
	bool here = false, running = false;

	for (uint32_t i = r->tier; i < BCT_TIERS; i++) {
		here |= p->waiting[i] > 0;
		running |= p->preemptible[i] > 0;
	}
	if (here)
		breach(v, BCT_BREACH_SHED_BEFORE_LOWER, t);
	if (running)
		breach(v, BCT_BREACH_SHED_BEFORE_PREEMPT, t);
	if (v->opts.view_grace_ms && t->value == BCT_REFUSE_SHED)
		check_other_nodes(v, t, r);
}

/* Demand that was refused for a reason of its own does not count as starved. */
static bool own_fault(uint64_t refuse)
{
	return !for_capacity(refuse) && refuse != BCT_REFUSE_DEADLINE &&
	       refuse != BCT_REFUSE_TARGET_MISSED;
}

static void on_refuse(bct_invariant_t *v, const bct_trace_t *t, seen_req_t *r)
{
	if (r->life == LIFE_ENDED)
		breach(v, BCT_BREACH_TWO_ANSWERS, t);
	if (r->life == LIFE_RUNNING)
		breach(v, BCT_BREACH_TWO_AT_ONCE, t);
	wait_end(v, t, r);
	r->life = LIFE_ENDED;
	if (for_capacity(t->value))
		check_inversion(v, t, r);
	if (own_fault(t->value))
		class_done(v, t);
	else
		check_starved(v, t);
}

static void feed_req(bct_invariant_t *v, const bct_trace_t *t)
{
	seen_req_t *r = bct_map_get(&v->reqs, req_key(t));

	if (!r) {
		breach(v, BCT_BREACH_UNKNOWN_REQUEST, t);
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
	if (feed_reserve(v, t))
		return -BCT_ENOMEM;
	if (t->now < v->now)
		breach(v, BCT_BREACH_OUT_OF_ORDER, t);
	v->now = t->now;
	if (t->type == BCT_TRACE_SUBMIT)
		on_submit(v, t);
	else
		feed_req(v, t);
	return 0;
}

void bct_invariant_finish(bct_invariant_t *v)
{
	uint32_t pos = 0;
	seen_req_t *r;

	while ((r = bct_map_next(&v->reqs, &pos))) {
		bct_trace_t t = { .now = v->now,
				  .node_key = r->node_key,
				  .target_key = r->target_key,
				  .tier = r->tier };

		if (r->life == LIFE_WAITING || r->life == LIFE_RUNNING)
			breach(v, BCT_BREACH_LOST, &t);
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
	free_values(&v->places);
	free_values(&v->wides);
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
