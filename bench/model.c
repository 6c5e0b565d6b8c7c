/*
 * model.c - runs one simulation tick by tick: faults, arrivals, engines, timeouts, decisions.
 */
#include "bench/model.h"
#include "bench/model_deploy.h"
#include "bench/model_drive.h"
#include "bench/model_score.h"
#include "base/err.h"
#include "base/mem.h"

#include <string.h>

#define PERMILLE 1000
#define CALLER_CHECK_INTERVAL_MS 100 /* between two checks of the timeouts */
#define POISON_RESEND_DELAY_MS 1000  /* after the previous poison request has ended */
#define DRAIN_MAX_MS 300000    /* after the last arrival; requests not ended by then are lost */
#define POISON_NONE UINT32_MAX /* no poison request has been sent yet */

static int drive_init(bct_model_drive_t *d, const bct_model_opts_t *o)
{
	int err = bct_model_load_generate(o, &d->load);

	if (err)
		return err;
	d->next_poison = POISON_NONE;
	bct_model_wire_init(&d->wire, o);
	d->conf = bct_model_conf(o);
	d->engines = bct_alloc(bct_model_engine_count(o->deployment) * sizeof(*d->engines));
	d->live = bct_alloc((d->load.n + 1) * sizeof(*d->live));
	d->rejections = bct_alloc((d->load.n + 1) * sizeof(*d->rejections));
	if (!d->conf || !d->engines || !d->live || !d->rejections)
		return -BCT_ENOMEM;
	for (; d->n_engines < d->conf->n_upstreams; d->n_engines++) {
		err = bct_model_engine_init(&d->engines[d->n_engines], d->n_engines,
					    &d->conf->upstreams[d->n_engines],
					    &bct_model_drive_engine_ops, d);
		if (err)
			return err;
	}
	return 0;
}

static void drive_free(bct_model_drive_t *d)
{
	bct_model_fleet_free(&d->fleet);
	for (uint32_t i = 0; i < d->n_engines; i++)
		bct_model_engine_free(&d->engines[i]);
	bct_model_wire_free(&d->wire);
	bct_model_load_free(&d->load);
	bct_conf_unref(d->conf);
	bct_free(d->engines);
	bct_free(d->live);
	bct_free(d->rejections);
}

/*
 * Adds the end of a request to the trace when its node dies. Without this record, the trace checker
 * could not know that the request ended.
 */
static void trace_node_lost(bct_model_drive_t *d, const bct_model_req_t *r)
{
	const bct_model_class_t *k = bct_model_drive_class(d, r);

	if (!d->fleet.trace)
		return;
	d->fleet.trace(d->fleet.trace_ctx,
		       &(bct_trace_t){
			       .type = BCT_TRACE_END,
			       .now = d->now,
			       .node_key = d->fleet.nodes[r->node].key,
			       .req_id = r->desc.req_id,
			       .account_key = r->desc.account_key,
			       .target_key = bct_hash_str(bct_model_pool_name(k->pool)),
			       .value = BCT_OUTCOME_CANCELLED,
			       .tier = k->tier,
		       });
}

/* Ends all requests of a node: its callers lose their connections, its attempts are cancelled. */
static void node_death(bct_model_drive_t *d, uint32_t node)
{
	for (uint32_t i = 0; i < d->n_live; i++) {
		bct_model_req_t *r = &d->load.reqs[d->live[i]];
		bool started;

		if (r->node != node || r->state >= BCT_MODEL_ANSWERED)
			continue;
		if (r->state == BCT_MODEL_RUNNING)
			d->result->generated_tokens += bct_model_engine_cancel(
				&d->engines[r->engine], r->attempt_id, &started);
		bct_model_drive_set_state(d, r, BCT_MODEL_NODE_LOST);
		trace_node_lost(d, r);
	}
	bct_model_fleet_kill(&d->fleet, d->now, node);
}

static int fault_node(bct_model_drive_t *d, uint32_t node, bool begins)
{
	if (node >= d->fleet.n || !d->fleet.nodes[node].sched == begins)
		return 0;
	if (!begins)
		return bct_model_fleet_start(&d->fleet, d->now, node);
	node_death(d, node);
	return 0;
}

static void fault_engine(bct_model_drive_t *d, const bct_model_fault_t *f, uint32_t engine,
			 bool begins)
{
	bct_model_engine_t *e = &d->engines[engine];

	if (f->type == BCT_MODEL_CRASH && begins)
		bct_model_engine_crash(e, f->until, false);
	if (f->type == BCT_MODEL_SLOW)
		e->speed = begins ? (double)f->permille / PERMILLE : 1.0;
	if (f->type == BCT_MODEL_HANG)
		e->hung = begins;
}

static int fault_apply(bct_model_drive_t *d, const bct_model_fault_t *f, bool begins)
{
	uint32_t step = f->step ? f->step : 1;
	int err = 0;

	if (f->type == BCT_MODEL_PARTITION) {
		bct_model_fleet_partition(&d->fleet, d->now, begins ? f->count : 0);
		return 0;
	}
	for (uint32_t i = 0; i < f->count && !err; i++) {
		uint32_t at = f->first + i * step;

		if (f->type == BCT_MODEL_NODE_DEATH)
			err = fault_node(d, at, begins);
		else if (at < d->n_engines)
			fault_engine(d, f, at, begins);
	}
	return err;
}

static int drive_faults(bct_model_drive_t *d)
{
	int err = 0;

	for (uint32_t i = 0; i < d->opts->n_faults && !err; i++) {
		const bct_model_fault_t *f = &d->opts->faults[i];

		if (d->now == f->at)
			err = fault_apply(d, f, true);
		else if (d->now == f->until)
			err = fault_apply(d, f, false);
	}
	return err;
}

static int drive_arrivals(bct_model_drive_t *d)
{
	int err = 0;

	while (!err && d->next_arrival < d->load.n_scheduled &&
	       d->load.reqs[d->next_arrival].desc.arrived <= d->now) {
		if (d->load.reqs[d->next_arrival].poison)
			d->next_poison = d->load.n_scheduled;
		err = bct_model_drive_submit(d, d->next_arrival++);
	}
	if (!err && d->next_poison < d->load.n && d->poison_at && d->now >= d->poison_at) {
		d->poison_at = 0;
		err = bct_model_drive_submit(d, d->next_poison++);
	}
	return err;
}

/* Applies the timeouts of the caller and of the upstream, as the daemon does. */
static void check_request(bct_model_drive_t *d, bct_model_req_t *r)
{
	const bct_timeouts_conf_t *t = &d->conf->timeouts;
	bct_time_t silent_ms = d->now - r->progress_at;
	bct_time_t timeout_ms = bct_model_caller_timeout_ms(bct_model_drive_class(d, r));

	if (!r->caller_disconnected && d->now - r->desc.arrived > timeout_ms) {
		r->caller_disconnected = true;
		bct_sched_cancel(d->fleet.nodes[r->node].sched, d->now, r->desc.req_id);
		if (r->state == BCT_MODEL_WAITING)
			bct_model_drive_set_state(d, r, BCT_MODEL_DISCONNECTED);
		return;
	}
	if (r->state != BCT_MODEL_RUNNING || r->caller_disconnected)
		return;
	if (r->progress_at == r->dispatched_at && silent_ms > t->first_token_ms)
		bct_model_drive_stop(d, r, BCT_OUTCOME_TIMEOUT);
	else if (r->progress_at > r->dispatched_at && silent_ms > t->stall_ms)
		bct_model_drive_stop(d, r, BCT_OUTCOME_STALLED);
}

static void drive_callers(bct_model_drive_t *d)
{
	uint32_t kept = 0;

	if (d->now % CALLER_CHECK_INTERVAL_MS)
		return;
	for (uint32_t i = 0; i < d->n_live; i++) {
		bct_model_req_t *r = &d->load.reqs[d->live[i]];

		if (r->state < BCT_MODEL_ANSWERED)
			check_request(d, r);
		if (r->state < BCT_MODEL_ANSWERED)
			d->live[kept++] = d->live[i];
		else if (r->poison)
			d->poison_at = d->now + POISON_RESEND_DELAY_MS;
	}
	d->n_live = kept;
}

static int drive_tick(bct_model_drive_t *d)
{
	int err = drive_faults(d);

	if (err)
		return err;
	bct_model_drive_report_rejections(d);
	err = drive_arrivals(d);
	if (err)
		return err;
	for (uint32_t i = 0; i < d->n_engines; i++)
		bct_model_engine_step(&d->engines[i], d->now);
	bct_model_wire_step(&d->wire, d->now, d->engines, d->n_engines, &d->fleet);
	bct_model_fleet_step(&d->fleet, d->now);
	drive_callers(d);
	bct_model_drive_poll(d);
	return d->wire.err;
}

static bool drive_done(const bct_model_drive_t *d)
{
	if (d->now < d->opts->duration_ms)
		return false;
	return d->now > d->opts->duration_ms + DRAIN_MAX_MS ||
	       (d->n_live == 0 && d->next_arrival == d->load.n_scheduled);
}

static bool opts_valid(const bct_model_opts_t *o)
{
	return o->deployment && o->nodes && o->nodes <= BCT_MODEL_NODES_MAX &&
	       o->deployment->accounts <= BCT_MODEL_ACCOUNTS_MAX &&
	       o->deployment->n_classes <= BCT_MODEL_CLASSES_MAX;
}

int bct_model_run(const bct_model_opts_t *opts, bct_model_sched_new_t make,
		  void (*trace)(void *ctx, const bct_trace_t *t), void *trace_ctx,
		  bct_model_result_t *out)
{
	bct_model_drive_t *d;
	int err;

	if (!opts_valid(opts))
		return -BCT_EINVAL;
	d = bct_alloc(sizeof(*d));
	if (!d)
		return -BCT_ENOMEM;
	memset(out, 0, sizeof(*out));
	d->opts = opts;
	d->result = out;
	err = drive_init(d, opts);
	if (!err)
		err = bct_model_fleet_init(&d->fleet, opts, d->conf, make, trace, trace_ctx);
	while (!err && !drive_done(d)) {
		err = drive_tick(d);
		d->now += BCT_MODEL_TICK_MS;
	}
	if (!err)
		bct_model_score(d);
	drive_free(d);
	bct_free(d);
	return err;
}

const char *bct_model_breach_text(bct_model_breach_t b)
{
	static const char *const texts[] = {
#define DEF(name, text) [BCT_MODEL_BREACH_##name] = text,
		BCT_MODEL_BREACH_LIST(DEF)
#undef DEF
	};

	return b < BCT_MODEL_BREACH_COUNT ? texts[b] : "unknown breach";
}
