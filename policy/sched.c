/*
 * sched.c - the scheduler's vtable: passes events to the modules and collects their actions.
 */
#include "base/err.h"
#include "base/hash.h"
#include "base/mem.h"
#include "policy/sched_int.h"

static bct_core_t *core(bct_sched_t *s)
{
	return (bct_core_t *)s;
}

static bool state_waits(bct_req_state_t s)
{
	return s == BCT_REQ_QUEUED || s == BCT_REQ_GRANTED || s == BCT_REQ_HELD;
}

/* Whether a waiting request is exempt from shedding: see n_committed. */
static bool state_committed(const bct_sreq_t *r)
{
	if (r->state == BCT_REQ_QUEUED)
		return r->tokens > 0;
	return r->state == BCT_REQ_GRANTED || r->state == BCT_REQ_HELD;
}

/*
 * Requests granted by a floor run at priority 1, so that the engine does not preempt them either.
 */
uint8_t bct_core_priority(const bct_sreq_t *r)
{
	return r->granted ? 1 : r->tier;
}

/*
 * Length statistics of a class; those of its tier while they rest on more answers and the class
 * has fewer than BCT_LENGTH_MIN_SAMPLES.
 */
const bct_length_t *bct_core_length(const bct_terms_t *terms)
{
	const bct_length_t *all = &terms->target->tiers[terms->tier - 1].length;

	return terms->length.n < BCT_LENGTH_MIN_SAMPLES && all->n > terms->length.n
		       ? all
		       : &terms->length;
}

/* Sets the state of a request. No other function does so, which keeps all counts consistent. */
void bct_core_state(bct_core_t *c, bct_sreq_t *r, bct_req_state_t state)
{
	bct_tier_t *tier = &r->target->tiers[r->tier - 1];
	int32_t waits = -(int32_t)state_waits(r->state);

	tier->n_committed -= state_committed(r);
	tier->n_held -= r->state == BCT_REQ_HELD;
	tier->n_granted -= r->state == BCT_REQ_GRANTED;
	r->state = state;
	tier->n_committed += state_committed(r);
	tier->n_held += state == BCT_REQ_HELD;
	tier->n_granted += state == BCT_REQ_GRANTED;
	waits += state_waits(state);
	c->n_queued += (uint32_t)waits;
	r->target->n_queued += (uint32_t)waits;
}

void bct_core_trace(bct_core_t *c, bct_time_t now, bct_trace_type_t type, const bct_sreq_t *r,
		    uint64_t upstream_key, uint64_t value)
{
	bct_trace_t t = {
		.type = type,
		.now = now,
		.node_key = c->fleet.node_key,
		.req_id = r->desc.req_id,
		.account_key = r->desc.account_key,
		.target_key = r->target->key,
		.upstream_key = upstream_key,
		.value = value,
		.tier = r->tier,
	};

	if (c->opts.trace)
		c->opts.trace(c->opts.trace_ctx, &t);
}

void bct_core_trace_level(bct_core_t *c, bct_time_t now, const bct_target_t *target)
{
	bct_trace_t t = {
		.type = BCT_TRACE_SHED_LEVEL,
		.now = now,
		.node_key = c->fleet.node_key,
		.target_key = target->key,
		.value = target->shed_level,
	};

	if (c->opts.trace)
		c->opts.trace(c->opts.trace_ctx, &t);
}

/* What the limits need to know of the fleet, with the nodes that vanished lately. */
bct_limit_fleet_t bct_core_limit_fleet(const bct_core_t *c)
{
	uint32_t nodes = c->fleet.nodes ? c->fleet.nodes : 1;
	uint32_t held = c->held_nodes > nodes ? c->held_nodes : nodes;

	return (bct_limit_fleet_t){ nodes, held, c->fleet.rank };
}

static void sched_destroy(bct_sched_t *s)
{
	bct_core_t *c = core(s);

	bct_setup_free(c);
	bct_prefix_free(&c->prefix);
	bct_suspects_free(&c->suspects);
	bct_conf_unref(c->conf);
	bct_free(c);
}

static int sched_configure(bct_sched_t *s, bct_time_t now, bct_conf_t *conf)
{
	return bct_setup_configure(core(s), now, conf);
}

static int sched_submit(bct_sched_t *s, bct_time_t now, const bct_req_desc_t *req)
{
	return bct_admit_submit(core(s), now, req);
}

static void sched_cancel(bct_sched_t *s, bct_time_t now, uint64_t req_id)
{
	bct_core_t *c = core(s);
	bct_sreq_t *r = bct_map_get(&c->reqs, req_id);

	if (!r)
		return;
	switch (r->state) {
	case BCT_REQ_RUNNING:
	case BCT_REQ_ENDING:
		bct_attempt_stop(c, now, r, BCT_STOP_DISCONNECTED);
		break;
	case BCT_REQ_REFUSED:
		bct_admit_free(c, r);
		break;
	default:
		bct_core_trace(c, now, BCT_TRACE_END, r, 0, BCT_OUTCOME_CANCELLED);
		bct_admit_free(c, r);
	}
}

static void sched_sent(bct_sched_t *s, bct_time_t now, uint64_t attempt_id)
{
	bct_sreq_t *r = bct_map_get(&core(s)->attempts, attempt_id);

	(void)now;
	if (!r)
		return;
	r->sent = true;
	r->maybe_ran = true;
}

static void sched_tokens(bct_sched_t *s, bct_time_t now, uint64_t attempt_id, uint32_t total)
{
	bct_attempt_tokens(core(s), now, attempt_id, total);
}

static void sched_attempt_end(bct_sched_t *s, bct_time_t now, const bct_attempt_end_t *end)
{
	bct_attempt_end(core(s), now, end);
}

static void sched_report(bct_sched_t *s, bct_time_t now, const bct_report_t *r)
{
	bct_up_report(core(s), now, r);
}

static void sched_cache_event(bct_sched_t *s, bct_time_t now, const bct_cache_event_t *e)
{
	bct_core_t *c = core(s);
	bct_up_t *u = bct_map_get(&c->ups, e->upstream_key);

	(void)now;
	if (!u || !bct_prefix_event(&u->feed, e->seq))
		return;
	switch (e->op) {
	case BCT_CACHE_ADD:
		bct_prefix_add(&c->prefix, &u->feed, u->index, e->block);
		break;
	case BCT_CACHE_REMOVE:
		bct_prefix_remove(&c->prefix, u->index, e->block);
		break;
	case BCT_CACHE_RESET:
		bct_prefix_reset(&u->feed);
		break;
	}
}

static void sched_total(bct_sched_t *s, bct_time_t now, const bct_total_t *t)
{
	bct_fleet_total(core(s), now, t);
}

/*
 * Nodes that vanish may be dead or only unreachable. For BCT_LIMIT_HOLD_MS the limits are divided
 * as if they were alive, since they may still use their shares.
 */
static void sched_fleet(bct_sched_t *s, bct_time_t now, const bct_fleet_t *f)
{
	bct_core_t *c = core(s);

	if (f->nodes < c->fleet.nodes && c->held_nodes < c->fleet.nodes) {
		c->held_nodes = c->fleet.nodes;
		c->held_until = now + BCT_LIMIT_HOLD_MS;
	}
	if (f->nodes >= c->held_nodes || now >= c->held_until)
		c->held_nodes = 0;
	c->fleet = *f;
	bct_setup_subsets(c, now);
}

static void sched_leaving(bct_sched_t *s, bct_time_t now, uint64_t upstream_key, bool leaving)
{
	bct_up_leaving(core(s), now, upstream_key, leaving);
}

static uint32_t sched_publish(bct_sched_t *s, bct_time_t now, bct_item_t *out, uint32_t max)
{
	bct_core_t *c = core(s);

	if (c->held_nodes && now >= c->held_until)
		c->held_nodes = 0;
	bct_suspect_expire(&c->suspects, now);
	return bct_fleet_publish(c, now, out, max);
}

/* Takes one waiting action from the outbox. A refused request is freed with its REFUSE action. */
static void outbox_take(bct_core_t *c, bct_action_t *a)
{
	bct_sreq_t *r = bct_container_of(c->outbox.next, bct_sreq_t, outbox);

	bct_list_del(&r->outbox);
	c->n_outbox--;
	*a = (bct_action_t){ .req_id = r->desc.req_id, .attempt_id = r->attempt_id };
	a->upstream_key = r->up ? r->up->key : 0;
	if (r->state == BCT_REQ_RUNNING) {
		a->type = BCT_ACTION_DISPATCH;
		a->priority = bct_core_priority(r);
		a->alone = r->alone;
		a->resume_tokens = r->tokens;
		a->kv_source_key = r->kv_source_key;
		a->retry = r->retry;
	} else if (r->state == BCT_REQ_ENDING) {
		a->type = BCT_ACTION_CANCEL;
	} else {
		a->type = BCT_ACTION_REFUSE;
		a->refuse = r->refuse;
		a->run = r->maybe_ran ? BCT_RUN_UNKNOWN : BCT_RUN_NOT_RUN;
		a->retry_after_ms = r->retry_after_ms;
		bct_admit_free(c, r);
	}
}

/* Handles all timers that expired. */
static void sched_wake(bct_core_t *c, bct_time_t now)
{
	bct_heap_node_t *n;

	while ((n = c->timers.root) && n->key <= now)
		bct_dispatch_timer(c, now, bct_container_of(n, bct_sreq_t, timer));
	while ((n = c->up_wakes.root) && n->key <= now) {
		bct_heap_del(&c->up_wakes, n);
		bct_up_backoff_ended(c, now, bct_container_of(n, bct_up_t, wake));
	}
	while ((n = c->target_wakes.root) && n->key <= now) {
		bct_heap_del(&c->target_wakes, n);
		bct_dispatch_ready(c, bct_container_of(n, bct_target_t, wake));
	}
}

static uint32_t sched_poll(bct_sched_t *s, bct_time_t now, bct_action_t *out, uint32_t max)
{
	bct_core_t *c = core(s);
	uint32_t n = 0;

	sched_wake(c, now);
	while (n < max) {
		if (!bct_list_empty(&c->outbox)) {
			outbox_take(c, &out[n++]);
		} else if (!bct_list_empty(&c->ready)) {
			bct_target_t *t = bct_container_of(c->ready.next, bct_target_t, ready);

			bct_list_del(&t->ready);
			bct_dispatch_target(c, now, t, max - n);
		} else {
			break;
		}
	}
	return n;
}

static bct_time_t sched_next_wake(const bct_sched_t *s)
{
	const bct_core_t *c = (const bct_core_t *)s;
	const bct_heap_t *heaps[] = { &c->timers, &c->up_wakes, &c->target_wakes };
	bct_time_t at = BCT_TIME_NEVER;

	if (!bct_list_empty(&c->outbox) || !bct_list_empty(&c->ready))
		return 0;
	for (uint32_t i = 0; i < sizeof(heaps) / sizeof(heaps[0]); i++) {
		if (heaps[i]->root && heaps[i]->root->key < at)
			at = heaps[i]->root->key;
	}
	return at;
}

static const bct_sched_ops_t sched_ops = {
	.name = "buckthornchute",
	.destroy = sched_destroy,
	.configure = sched_configure,
	.submit = sched_submit,
	.cancel = sched_cancel,
	.sent = sched_sent,
	.tokens = sched_tokens,
	.attempt_end = sched_attempt_end,
	.report = sched_report,
	.cache_event = sched_cache_event,
	.total = sched_total,
	.fleet = sched_fleet,
	.leaving = sched_leaving,
	.publish = sched_publish,
	.poll = sched_poll,
	.next_wake = sched_next_wake,
};

int bct_sched_new(const bct_sched_opts_t *opts, bct_sched_t **out)
{
	bct_core_t *c = bct_alloc(sizeof(*c));

	if (!c)
		return -BCT_ENOMEM;
	c->base.ops = &sched_ops;
	c->opts = *opts;
	c->fleet = opts->fleet;
	bct_rng_seed(&c->rng, opts->seed);
	bct_prefix_init(&c->prefix, BCT_PREFIX_BLOCKS);
	bct_budget_init(&c->budget, 0);
	bct_list_init(&c->outbox);
	bct_list_init(&c->ready);
	*out = &c->base;
	return 0;
}
