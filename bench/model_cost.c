/*
 * model_cost.c - measures the cost of a decision and of a queued request.
 *
 * Drives the scheduler of one node in a large fleet at a steady number of running attempts: each
 * step submits a request, polls, and ends the oldest attempt when more attempts run than half of
 * the node's share of all slots.
 */
#include "bench/model_cost.h"
#include "bench/model_deploy.h"
#include "bench/model_load.h"
#include "base/err.h"
#include "base/mem.h"

#include <malloc.h>
#include <time.h>

#define ACTIONS_MAX 64
#define RUNNING_MAX 4096
#define MAX_QUEUED 100000
#define STEP_MS 10     /* virtual time between two submits */
#define REPORT_MS 1000 /* between two reports of all engines */
#define QUEUED_REQUESTS 2000
#define NS_PER_US 1000.0
#define ATTEMPT_TOKENS 100

typedef struct cost {
	const bct_model_cost_opts_t *o;
	bct_model_cost_t *out;
	bct_model_deployment_t deployment;
	bct_model_opts_t opts;
	bct_conf_t *conf;
	bct_model_load_t load;
	bct_sched_t *sched;
	uint64_t running[RUNNING_MAX]; /* ring buffer of attempt ids */
	uint32_t first, n_running;
	uint64_t seq;
	int64_t decision_ns;
	int64_t report_ns;
	uint64_t reports;
} cost_t;

static int64_t cpu_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

static int cost_init(cost_t *c, bct_model_sched_new_t make)
{
	bct_sched_opts_t so = {
		.seed = c->o->seed,
		.incarnation = 1,
		.max_queued = MAX_QUEUED,
		.fleet = { .nodes = c->o->nodes, .node_key = 1 },
	};
	int err;

	c->deployment = bct_model_nyaymitra;
	c->deployment.engines[BCT_MODEL_DRAFT] = c->o->engines - c->o->engines / 10;
	c->deployment.engines[BCT_MODEL_DESK] = c->o->engines / 10;
	c->deployment.accounts = c->o->accounts;
	c->opts = (bct_model_opts_t){
		.deployment = &c->deployment,
		.seed = c->o->seed,
		.nodes = 1,
		.load_permille = 1000,
		.prefix_families = 8,
	};
	/* At a load of the fleet's capacity, this duration of arrivals gives enough requests. */
	c->opts.duration_ms =
		(bct_time_t)c->o->requests * BCT_MS_PER_S / c->o->engines + BCT_MS_PER_S;
	err = bct_model_load_generate(&c->opts, &c->load);
	if (err)
		return err;
	c->conf = bct_model_conf(&c->opts);
	if (!c->conf)
		return -BCT_ENOMEM;
	err = make(&so, &c->sched);
	if (err)
		return err;
	return bct_sched_configure(c->sched, 0, c->conf);
}

/* Delivers a report of moderate load for each engine. */
static void cost_reports(cost_t *c, bct_time_t now)
{
	int64_t start = cpu_ns();

	c->seq++;
	for (uint32_t i = 0; i < c->conf->n_upstreams; i++) {
		const bct_upstream_conf_t *u = &c->conf->upstreams[i];

		bct_sched_report(c->sched, now,
				 &(bct_report_t){
					 .upstream_key = u->key,
					 .boot_id = 1,
					 .seq = c->seq,
					 .age_ms = 200,
					 .running = u->slots / 2 + i % 4,
					 .kv_used_tokens = u->kv_tokens / 2,
					 .kv_total_tokens = u->kv_tokens,
					 .tokens_per_s = 300,
				 });
	}
	c->report_ns += cpu_ns() - start;
	c->reports += c->conf->n_upstreams;
}

/* Polls until no action remains; records dispatches as running attempts. */
static void cost_poll(cost_t *c, bct_time_t now)
{
	bct_action_t actions[ACTIONS_MAX];
	uint32_t n;

	do {
		n = bct_sched_poll(c->sched, now, actions, ACTIONS_MAX);
		for (uint32_t i = 0; i < n; i++) {
			const bct_action_t *a = &actions[i];

			if (a->type == BCT_ACTION_REFUSE)
				c->out->refused++;
			if (a->type != BCT_ACTION_DISPATCH || c->n_running == RUNNING_MAX)
				continue;
			c->out->dispatched++;
			c->running[(c->first + c->n_running++) % RUNNING_MAX] = a->attempt_id;
			bct_sched_sent(c->sched, now, a->attempt_id);
		}
	} while (n == ACTIONS_MAX);
}

static void cost_end_oldest(cost_t *c, bct_time_t now)
{
	uint64_t attempt_id = c->running[c->first];

	c->first = (c->first + 1) % RUNNING_MAX;
	c->n_running--;
	bct_sched_tokens(c->sched, now, attempt_id, 1);
	bct_sched_tokens(c->sched, now, attempt_id, ATTEMPT_TOKENS);
	bct_sched_attempt_end(c->sched, now,
			      &(bct_attempt_end_t){
				      .attempt_id = attempt_id,
				      .outcome = BCT_OUTCOME_OK,
				      .tokens = ATTEMPT_TOKENS,
				      .may_have_run = true,
			      });
}

static int cost_decisions(cost_t *c)
{
	uint32_t node_slots = c->o->engines * BCT_MODEL_ENGINE_SLOTS / c->o->nodes;
	uint32_t n = c->load.n < c->o->requests ? c->load.n : c->o->requests;
	bct_time_t now = 0;
	int err = 0;

	for (uint32_t i = 0; i < n && !err; i++, now += STEP_MS) {
		bct_req_desc_t desc = c->load.reqs[i].desc;
		int64_t start;

		if (now % REPORT_MS == 0)
			cost_reports(c, now);
		desc.arrived = now;
		start = cpu_ns();
		err = bct_sched_submit(c->sched, now, &desc);
		cost_poll(c, now);
		if (c->n_running > node_slots / 2)
			cost_end_oldest(c, now);
		c->decision_ns += cpu_ns() - start;
	}
	c->out->decision_us = (double)c->decision_ns / NS_PER_US / (n ? n : 1);
	c->out->report_us =
		(double)c->report_ns / NS_PER_US / (double)(c->reports ? c->reports : 1);
	return err;
}

/* Measures the heap growth while requests are queued without a poll that could dispatch them. */
static int cost_memory(cost_t *c)
{
	bct_time_t now = (bct_time_t)c->o->requests * STEP_MS;
	uint32_t refused = c->out->refused, dispatched = c->out->dispatched;
	struct mallinfo2 before = mallinfo2();
	uint32_t waiting = 0;
	int err = 0;

	for (uint32_t i = 0; i < QUEUED_REQUESTS && i < c->load.n && !err; i++) {
		bct_req_desc_t desc = c->load.reqs[i].desc;

		desc.req_id += c->load.n;
		desc.arrived = now;
		err = bct_sched_submit(c->sched, now, &desc);
		waiting++;
	}
	c->out->queued_bytes = (double)(mallinfo2().uordblks - before.uordblks) / (waiting + 1);
	cost_poll(c, now);
	c->out->refused = refused;
	c->out->dispatched = dispatched;
	return err;
}

int bct_model_cost(const bct_model_cost_opts_t *o, bct_model_sched_new_t make,
		   bct_model_cost_t *out)
{
	cost_t *c;
	int err;

	if (!o->engines || !o->nodes || !o->accounts || o->accounts > BCT_MODEL_ACCOUNTS_MAX)
		return -BCT_EINVAL;
	c = bct_alloc(sizeof(*c));
	if (!c)
		return -BCT_ENOMEM;
	*out = (bct_model_cost_t){ 0 };
	c->o = o;
	c->out = out;
	err = cost_init(c, make);
	if (!err)
		err = cost_decisions(c);
	if (!err)
		err = cost_memory(c);
	bct_sched_free(c->sched);
	bct_conf_unref(c->conf);
	bct_model_load_free(&c->load);
	bct_free(c);
	return err;
}
