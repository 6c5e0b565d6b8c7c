/*
 * util_world.c - see util_world.h.
 */
#include "util_world.h"
#include "base/mem.h"
#include "base/rng.h"
#include "util_policy.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_NODES 8
#define MAX_UPSTREAMS 16
#define MAX_REQS 200000
#define MAX_ATTEMPTS 512 /* at one upstream */
#define SERVICES 2
#define DRAIN_MS 180000 /* longest run after the last arrival */
#define GOSSIP_MS 1000
#define REPORT_MS 250
#define DOWN_MS 2000 /* of an engine after a crash */
#define PREFILL_PER_TICK 80
#define DECODE_TICKS 3	  /* ticks for one token of each stream */
#define SERVICE_TICKS 10  /* ticks of one call of a service */
#define ITEMS 256	  /* published by one node */
#define BOOKING BCT_TIERS /* kind of a booking; other requests have the kind tier - 1 */

typedef struct req {
	uint64_t digest;
	bct_time_t arrived;
	uint32_t account, kind, node;
	uint32_t length, prompt, delivered; /* tokens: output, prompt, passed to the caller */
	uint32_t runs;			    /* dispatches of a booking */
	bool ran;			    /* it was dispatched to an upstream that was up */
	bool first;			    /* the first token was generated */
	bool done;			    /* it was answered, refused or cancelled */
} req_t;

/* An attempt at an upstream. */
typedef struct job {
	uint64_t attempt_id;
	uint32_t req, node, priority;
	uint32_t prefill_remaining, tokens; /* tokens to prefill, and generated */
	uint32_t resumed;		    /* tokens of earlier attempts that it continues from */
	uint32_t ticks;			    /* that it has decoded, or spent at a service */
} job_t;

typedef struct upstream {
	uint64_t key, boot, seq;
	job_t jobs[MAX_ATTEMPTS]; /* in order of priority, 1 first */
	uint32_t n, slow;	  /* jobs; slowdown factor */
	bct_time_t down_until;
	bct_report_t last[8]; /* latest reports, newest first; delivered after report_age_ms */
} upstream_t;

typedef struct world {
	world_opts_t o;
	world_stats_t st;
	bct_rng_t rng;
	bct_sched_t *s[MAX_NODES];
	bct_invariant_t *inv;
	upstream_t ups[MAX_UPSTREAMS];
	req_t *reqs;
	uint32_t n_ups, n_reqs;
	uint32_t open;		   /* requests without an answer */
	uint32_t account0_running; /* attempts of account 0 at upstreams */
	bct_time_t now;
	uint64_t poison_at; /* time of the next poison request */
} world_t;

static void on_trace(void *ctx, const bct_trace_t *t)
{
	world_t *w = ctx;

	cr_assert_eq(bct_invariant_feed(w->inv, t), 0);
}

/* Prints the first five violations. */
static void on_breach(void *ctx, bct_breach_t b, const bct_trace_t *t)
{
	world_t *w = ctx;

	if (w->st.total_breaches++ < 5)
		fprintf(stderr, "seed %lu at %ld: %s: node %lu request %lu tier %u value %lu\n",
			(unsigned long)w->o.seed, (long)t->now, bct_breach_text(b),
			(unsigned long)t->node_key, (unsigned long)t->req_id, t->tier,
			(unsigned long)t->value);
}

/* Records the end of a request for its caller. */
static void record_answer(world_t *w, req_t *r)
{
	cr_assert(!r->done, "seed %lu: request answered twice", (unsigned long)w->o.seed);
	r->done = true;
	w->open--;
}

/* Submits a random request at a random node. digest: 0 for one of its own. */
static void submit(world_t *w, uint32_t kind, uint64_t digest)
{
	uint32_t i = w->n_reqs++;
	req_t *r = &w->reqs[i];
	bct_req_desc_t d;

	cr_assert_lt(i, MAX_REQS);
	*r = (req_t){ .arrived = w->now, .kind = kind };
	r->account = bct_rng_below(&w->rng, w->o.accounts);
	r->node = bct_rng_below(&w->rng, w->o.nodes);
	r->length = 1 + (uint32_t)bct_rng_exp(&w->rng, 40);
	d = test_req(i + 1, r->account, kind == BOOKING ? TEST_BOOKING : TEST_CLASS(kind + 1),
		     w->now);
	d.prompt_tokens = r->prompt = 20 + bct_rng_below(&w->rng, 200);
	d.digest = r->digest = digest ? digest : d.digest;
	w->open++;
	w->st.sent[kind]++;
	cr_assert_eq(bct_sched_submit(w->s[r->node], w->now, &d), 0);
	if (bct_rng_unit(&w->rng) < w->o.cancel_probability) {
		bct_sched_cancel(w->s[r->node], w->now, d.req_id);
		record_answer(w, r);
	}
}

static void arrivals(world_t *w)
{
	for (uint32_t k = 0; k <= BOOKING; k++) {
		double expected = w->o.arrivals_per_s[k] * WORLD_TICK_MS / BCT_MS_PER_S;

		while (expected > 0 && bct_rng_unit(&w->rng) < expected) {
			submit(w, k, 0);
			expected -= 1;
		}
	}
	if (w->o.poison_sends && w->now >= (bct_time_t)w->poison_at) {
		submit(w, 1, w->o.poison_digest);
		w->o.poison_sends--;
		w->poison_at = w->now + 700;
	}
}

/* Takes job i off the upstream and reports its outcome to the node. */
static void end_job(world_t *w, upstream_t *u, uint32_t i, bct_outcome_t how, bool ran)
{
	job_t j = u->jobs[i];
	req_t *r = &w->reqs[j.req];

	u->n--;
	memmove(&u->jobs[i], &u->jobs[i + 1], (u->n - i) * sizeof(j));
	w->account0_running -= r->account == 0;
	if (!r->done && how == BCT_OUTCOME_OK) {
		w->st.answered[r->kind]++;
		record_answer(w, r);
	}
	test_end(w->s[j.node], w->now, j.attempt_id, how, j.tokens, ran);
}

static upstream_t *find_up(world_t *w, uint64_t key)
{
	for (uint32_t i = 0; i < w->n_ups; i++) {
		if (w->ups[i].key == key)
			return &w->ups[i];
	}
	cr_assert(false, "unknown upstream");
	return NULL;
}

static void on_dispatch(world_t *w, uint32_t node, const bct_action_t *a)
{
	upstream_t *u = find_up(w, a->upstream_key);
	req_t *r = &w->reqs[a->req_id - 1];
	uint32_t i = u->n;

	cr_assert(!r->done || w->o.cancel_probability > 0, "dispatched after its answer");
	if (w->now < u->down_until) {
		test_end(w->s[node], w->now, a->attempt_id, BCT_OUTCOME_CONNECT_FAILED, 0, false);
		return;
	}
	cr_assert_lt(u->n, MAX_ATTEMPTS);
	/* Jobs are sorted by priority; the engine runs those that its slots hold. */
	while (i > 0 && u->jobs[i - 1].priority > a->priority)
		i--;
	memmove(&u->jobs[i + 1], &u->jobs[i], (u->n++ - i) * sizeof(u->jobs[0]));
	u->jobs[i] = (job_t){ .attempt_id = a->attempt_id,
			      .req = (uint32_t)a->req_id - 1,
			      .node = node,
			      .priority = a->priority,
			      .prefill_remaining = r->prompt,
			      .resumed = a->resume_tokens };
	r->ran = true;
	if (r->kind == BOOKING && ++r->runs > 1)
		w->st.ran_twice++;
	w->account0_running += r->account == 0;
	if (w->account0_running > w->st.account0_max_running)
		w->st.account0_max_running = w->account0_running;
	bct_sched_sent(w->s[node], w->now, a->attempt_id);
}

static void on_cancel(world_t *w, const bct_action_t *a)
{
	upstream_t *u = find_up(w, a->upstream_key);

	for (uint32_t i = 0; i < u->n; i++) {
		if (u->jobs[i].attempt_id == a->attempt_id) {
			end_job(w, u, i, BCT_OUTCOME_CANCELLED, true);
			return;
		}
	}
}

static void on_refuse(world_t *w, const bct_action_t *a)
{
	req_t *r = &w->reqs[a->req_id - 1];

	record_answer(w, r);
	w->st.refused[a->refuse]++;
	w->st.shed[r->kind] += a->refuse == BCT_REFUSE_SHED || a->refuse == BCT_REFUSE_QUEUE_FULL;
	w->st.false_not_run += a->run == BCT_RUN_NOT_RUN && r->ran;
	w->st.poison_false_positives +=
		a->refuse == BCT_REFUSE_POISON && r->digest != w->o.poison_digest;
	w->st.wasted_tokens += r->delivered;
}

/* Carries out the actions of all nodes. */
static void poll_all(world_t *w)
{
	bct_action_t out[TEST_ACTIONS];
	uint32_t n;

	for (uint32_t node = 0; node < w->o.nodes; node++) {
		do {
			n = test_poll(w->s[node], w->now, out);
			for (uint32_t i = 0; i < n; i++) {
				if (out[i].type == BCT_ACTION_DISPATCH)
					on_dispatch(w, node, &out[i]);
				else if (out[i].type == BCT_ACTION_CANCEL)
					on_cancel(w, &out[i]);
				else
					on_refuse(w, &out[i]);
			}
		} while (n == TEST_ACTIONS);
	}
}

/* Resets all attempts; the engine is down for DOWN_MS and has a new boot id then. */
static void crash(world_t *w, upstream_t *u)
{
	while (u->n)
		end_job(w, u, 0, BCT_OUTCOME_RESET, true);
	u->down_until = w->now + DOWN_MS;
	u->boot++;
	u->seq = 0;
}

/* Advances one stream by a tick, and reports a token to the node when it is due. */
static void step_token(world_t *w, upstream_t *u, job_t *j)
{
	req_t *r = &w->reqs[j->req];
	uint32_t pace = DECODE_TICKS * u->slow;

	(void)u;
	if (++j->ticks % pace)
		return;
	j->tokens++;
	w->st.tokens++;
	if (j->resumed + j->tokens > r->delivered)
		r->delivered = j->resumed + j->tokens;
	else
		w->st.wasted_tokens++;
	if (!r->first) {
		r->first = true;
		w->st.in_time[r->kind] += w->now - r->arrived <= 1000;
		if (r->kind == 0 && w->now - r->arrived > 1000 && getenv("WD"))
			fprintf(stderr, "late %ld at %ld node %u len %u\n",
				(long)(w->now - r->arrived), (long)w->now, r->node, r->prompt);
	}
	bct_sched_tokens(w->s[j->node], w->now, j->attempt_id, j->tokens);
}

/*
 * Advances an engine by one tick. Prompts are prefilled one after the other; all streams in the
 * batch decode at the same time.
 */
static void step_engine(world_t *w, upstream_t *u)
{
	uint32_t prefill = PREFILL_PER_TICK / u->slow;
	uint32_t limit = u->n < w->o.slots ? u->n : w->o.slots;

	for (uint32_t i = 0; i < limit && i < u->n; i++) {
		job_t *j = &u->jobs[i];
		req_t *r = &w->reqs[j->req];

		if (j->prefill_remaining) {
			uint32_t tokens =
				j->prefill_remaining < prefill ? j->prefill_remaining : prefill;

			j->prefill_remaining -= tokens;
			prefill -= tokens;
			continue;
		}
		if (w->o.poison_digest && r->digest == w->o.poison_digest) {
			w->st.poison_crashes++;
			crash(w, u);
			return;
		}
		step_token(w, u, j);
		if (j->resumed + j->tokens >= r->length)
			end_job(w, u, i--, BCT_OUTCOME_OK, true);
	}
}

static void step_service(world_t *w, upstream_t *u)
{
	for (uint32_t i = 0; i < u->n; i++) {
		bool broken;

		if (++u->jobs[i].ticks < SERVICE_TICKS)
			continue;
		broken = bct_rng_unit(&w->rng) < w->o.service_reset_probability;
		end_job(w, u, i--, broken ? BCT_OUTCOME_RESET : BCT_OUTCOME_OK, true);
	}
}

static void step_upstreams(world_t *w)
{
	for (uint32_t i = 0; i < w->n_ups; i++) {
		upstream_t *u = &w->ups[i];

		if (i >= w->o.engines) {
			step_service(w, u);
			continue;
		}
		if (bct_rng_unit(&w->rng) < w->o.crashes_per_s * WORLD_TICK_MS / BCT_MS_PER_S)
			crash(w, u);
		step_engine(w, u);
	}
}

/* Takes a report of each engine, and delivers to all nodes the one taken report_age_ms ago. */
static void report(world_t *w)
{
	uint32_t delay = w->o.report_age_ms / REPORT_MS;

	cr_assert_lt(delay, 8);
	for (uint32_t i = 0; i < w->o.engines; i++) {
		upstream_t *u = &w->ups[i];
		bct_report_t r = { .upstream_key = u->key, .boot_id = u->boot, .seq = ++u->seq };

		r.running = u->n < w->o.slots ? u->n : w->o.slots;
		r.waiting = u->n - r.running;
		for (uint32_t k = 0; k < u->n; k++)
			r.waiting_tokens += u->jobs[k].prefill_remaining;
		for (uint32_t k = 0; k < r.running; k++)
			r.running_by_tier[u->jobs[k].priority - 1]++;
		memmove(&u->last[1], &u->last[0], 7 * sizeof(u->last[0]));
		u->last[0] = r;
		if (!u->last[delay].boot_id || w->now < u->down_until)
			continue;
		u->last[delay].age_ms = w->o.report_age_ms;
		for (uint32_t n = 0; n < w->o.nodes; n++)
			bct_sched_report(w->s[n], w->now, &u->last[delay]);
	}
}

/* Adds an item to the fleet totals: the maximum of suspect items, the sum of all others. */
static void add_item(bct_item_t *sum, uint32_t *n, const bct_item_t *it)
{
	uint32_t i = 0, k;

	while (i < *n &&
	       (sum[i].type != it->type || sum[i].key != it->key || sum[i].key2 != it->key2))
		i++;
	if (i == *n)
		sum[(*n)++] = (bct_item_t){ .type = it->type, .key = it->key, .key2 = it->key2 };
	for (k = 0; k < BCT_ITEM_VALUES; k++) {
		if (it->type != BCT_ITEM_SUSPECT)
			sum[i].v[k] += it->v[k];
		else if (it->v[k] > sum[i].v[k])
			sum[i].v[k] = it->v[k];
	}
}

/* Publishes the items of all nodes and delivers the totals to each of them, 100 ms old. */
static void gossip(world_t *w)
{
	static __thread bct_item_t sum[ITEMS * MAX_NODES], local[ITEMS];
	uint32_t n = 0, n_local, i, node;

	for (node = 0; node < w->o.nodes; node++) {
		n_local = bct_sched_publish(w->s[node], w->now, local, ITEMS);
		for (i = 0; i < n_local && !w->o.partitioned; i++)
			add_item(sum, &n, &local[i]);
	}
	for (i = 0; i < n; i++) {
		bct_total_t t = { .item = sum[i], .nodes = w->o.nodes, .age_ms = 100 };

		for (node = 0; node < w->o.nodes; node++)
			bct_sched_total(w->s[node], w->now, &t);
	}
}

static bct_conf_t *world_conf(const world_opts_t *o)
{
	bct_conf_t *c = test_conf(o->accounts, o->engines, o->slots, SERVICES);

	for (uint32_t i = 0; i < c->n_upstreams; i++)
		c->upstreams[i].decode_tokens_per_s = BCT_MS_PER_S / (WORLD_TICK_MS * DECODE_TICKS);
	for (uint32_t i = 0; i < SERVICES; i++)
		c->upstreams[o->engines + i].slots = 64;
	c->accounts[0].concurrent = o->concurrent;
	c->accounts[0].requests_per_s = o->requests_per_s;
	return c;
}

static void world_start(world_t *w)
{
	bct_conf_t *conf = world_conf(&w->o);
	bct_invariant_opts_t io = { .cross_node_grace_ms = w->o.partitioned ? 0 : 10000,
				    .on_breach = on_breach,
				    .ctx = w };

	bct_rng_seed(&w->rng, w->o.seed);
	cr_assert_eq(bct_invariant_new(&io, &w->inv), 0);
	w->reqs = bct_alloc(MAX_REQS * sizeof(*w->reqs));
	w->n_ups = w->o.engines + SERVICES;
	for (uint32_t i = 0; i < w->n_ups; i++) {
		w->ups[i].key = conf->upstreams[i].key;
		w->ups[i].boot = 1 + i;
		w->ups[i].slow = i == 0 && w->o.slow_engine_factor ? w->o.slow_engine_factor : 1;
	}
	for (uint32_t i = 0; i < w->o.nodes; i++) {
		bct_sched_opts_t so = {
			.seed = w->o.seed + i,
			.incarnation = 100 + i,
			.max_queued = 500,
			.fleet = { .nodes = w->o.nodes, .rank = i, .node_key = 1 + i },
			.trace = on_trace,
			.trace_ctx = w,
		};

		cr_assert_eq(bct_sched_new(&so, &w->s[i]), 0);
		cr_assert_eq(bct_sched_configure(w->s[i], 0, conf), 0);
	}
	bct_conf_unref(conf);
}

static void world_stop(world_t *w)
{
	bct_invariant_finish(w->inv);
	for (uint32_t b = 0; b < BCT_BREACH_COUNT; b++)
		w->st.breaches[b] = bct_invariant_count(w->inv, b);
	for (uint32_t i = 0; i < w->n_reqs; i++)
		w->st.account0_admitted += w->reqs[i].account == 0 && w->reqs[i].ran;
	for (uint32_t i = 0; i < w->o.nodes; i++)
		bct_sched_free(w->s[i]);
	bct_invariant_free(w->inv);
	bct_free(w->reqs);
}

world_stats_t world_run(const world_opts_t *opts, uint32_t run_ms)
{
	world_t *w = bct_alloc(sizeof(*w));
	world_stats_t st;

	w->o = *opts;
	world_start(w);
	for (; w->now < run_ms || (w->open && w->now < run_ms + DRAIN_MS);
	     w->now += WORLD_TICK_MS) {
		if (w->now < run_ms)
			arrivals(w);
		if (w->now % REPORT_MS == 0)
			report(w);
		if (w->now % GOSSIP_MS == 0)
			gossip(w);
		poll_all(w);
		step_upstreams(w);
	}
	world_stop(w);
	st = w->st;
	bct_free(w);
	return st;
}
