/*
 * naive.c - FIFO, round robin, a fixed concurrency limit, retry on any error.
 */
#include "policy/naive.h"
#include "base/err.h"
#include "base/hash.h"
#include "base/list.h"
#include "base/mem.h"

#define NAIVE_BUCKETS 1024
#define NAIVE_SLOTS_DEFAULT 8 /* of an upstream that is configured with none */
#define NAIVE_RETRY_AFTER_MS 1000

typedef enum naive_state {
	NAIVE_QUEUED,
	NAIVE_REFUSED, /* poll has not returned its REFUSE action yet */
	NAIVE_RUNNING,
	NAIVE_CANCELLING, /* poll has not returned its CANCEL action yet */
	NAIVE_CANCELLED,  /* until its attempt ends */
} naive_state_t;

typedef struct naive_req {
	bct_list_t link;       /* in queue, refused or cancelling */
	bct_list_t by_req;     /* in the bucket of req_id */
	bct_list_t by_attempt; /* in the bucket of attempt_id, while an attempt runs */
	bct_req_desc_t desc;
	naive_state_t state;
	bct_refuse_t refuse;
	bct_retry_t retry;
	bool may_have_run;
	uint8_t tier;
	uint32_t attempts;
	uint64_t target_key;
	uint64_t attempt_id;
	uint64_t upstream_key;
} naive_req_t;

typedef struct naive_upstream {
	bool leaving;
	uint64_t last_used; /* number of the attempt, counted from 1; 0: never */
} naive_upstream_t;

typedef struct naive {
	bct_sched_t base;
	bct_sched_opts_t opts;
	bct_conf_t *conf;
	naive_upstream_t *upstreams; /* same indices as conf->upstreams */
	uint32_t n_queued;
	uint32_t n_running;
	uint32_t limit;	   /* on n_running */
	uint64_t attempts; /* started since the scheduler was made */
	bct_list_t queue;
	bct_list_t refused;
	bct_list_t cancelling;
	bct_list_t reqs[NAIVE_BUCKETS];
	bct_list_t running[NAIVE_BUCKETS];
} naive_t;

static naive_t *naive_of(bct_sched_t *s)
{
	return bct_container_of(s, naive_t, base);
}

static void naive_trace(naive_t *n, bct_time_t now, bct_trace_type_t type, const naive_req_t *r,
			uint64_t value)
{
	if (!n->opts.trace)
		return;
	n->opts.trace(n->opts.trace_ctx, &(bct_trace_t){
						 .type = type,
						 .now = now,
						 .node_key = n->opts.fleet.node_key,
						 .req_id = r->desc.req_id,
						 .account_key = r->desc.account_key,
						 .target_key = r->target_key,
						 .upstream_key = r->upstream_key,
						 .value = value,
						 .tier = r->tier,
					 });
}

static void naive_req_free(naive_req_t *r)
{
	bct_list_del(&r->link);
	bct_list_del(&r->by_req);
	bct_list_del(&r->by_attempt);
	bct_free(r);
}

static naive_req_t *naive_find_req(naive_t *n, uint64_t req_id)
{
	bct_list_t *el;

	bct_list_for_each(el, &n->reqs[req_id % NAIVE_BUCKETS]) {
		naive_req_t *r = bct_container_of(el, naive_req_t, by_req);

		if (r->desc.req_id == req_id)
			return r;
	}
	return NULL;
}

static naive_req_t *naive_find_attempt(naive_t *n, uint64_t attempt_id)
{
	bct_list_t *el;

	bct_list_for_each(el, &n->running[attempt_id % NAIVE_BUCKETS]) {
		naive_req_t *r = bct_container_of(el, naive_req_t, by_attempt);

		if (r->attempt_id == attempt_id)
			return r;
	}
	return NULL;
}

static void naive_destroy(bct_sched_t *s)
{
	naive_t *n = naive_of(s);
	bct_list_t *el, *tmp;

	for (uint32_t i = 0; i < NAIVE_BUCKETS; i++) {
		bct_list_for_each_safe(el, tmp, &n->reqs[i])
			naive_req_free(bct_container_of(el, naive_req_t, by_req));
	}
	bct_conf_unref(n->conf);
	bct_free(n->upstreams);
	bct_free(n);
}

static void naive_set_limit(naive_t *n)
{
	uint32_t slots = 0, nodes = n->opts.fleet.nodes ? n->opts.fleet.nodes : 1;

	for (uint32_t i = 0; n->conf && i < n->conf->n_upstreams; i++) {
		uint32_t upstream_slots = n->conf->upstreams[i].slots;

		slots += upstream_slots ? upstream_slots : NAIVE_SLOTS_DEFAULT;
	}
	n->limit = (slots + nodes - 1) / nodes;
}

static int naive_configure(bct_sched_t *s, bct_time_t now, bct_conf_t *conf)
{
	naive_t *n = naive_of(s);
	naive_upstream_t *upstreams = bct_alloc((conf->n_upstreams + 1) * sizeof(*upstreams));

	(void)now;
	if (!upstreams)
		return -BCT_ENOMEM;
	for (uint32_t i = 0; i < conf->n_upstreams; i++)
		upstreams[i].leaving = conf->upstreams[i].leaving;
	bct_conf_ref(conf);
	bct_conf_unref(n->conf);
	bct_free(n->upstreams);
	n->conf = conf;
	n->upstreams = upstreams;
	naive_set_limit(n);
	return 0;
}

static void naive_refuse(naive_t *n, naive_req_t *r, bct_refuse_t why)
{
	r->state = NAIVE_REFUSED;
	r->refuse = why;
	bct_list_del(&r->link);
	bct_list_add_tail(&r->link, &n->refused);
}

static int naive_submit(bct_sched_t *s, bct_time_t now, const bct_req_desc_t *req)
{
	naive_t *n = naive_of(s);
	const bct_account_conf_t *a = n->conf ? bct_conf_account(n->conf, req->account_key) : NULL;
	const bct_class_conf_t *c = a ? bct_account_class(a, req->class_key) : NULL;
	naive_req_t *r;

	if (!c)
		return -BCT_ENOT_FOUND;
	r = bct_alloc(sizeof(*r));
	if (!r)
		return -BCT_ENOMEM;
	r->desc = *req;
	r->tier = c->tier;
	r->target_key = c->target_key;
	bct_list_init(&r->link);
	bct_list_init(&r->by_attempt);
	bct_list_add_tail(&r->by_req, &n->reqs[req->req_id % NAIVE_BUCKETS]);
	naive_trace(n, now, BCT_TRACE_SUBMIT, r, 0);
	if (n->n_queued >= n->opts.max_queued) {
		naive_refuse(n, r, BCT_REFUSE_QUEUE_FULL);
		return 0;
	}
	bct_list_add_tail(&r->link, &n->queue);
	n->n_queued++;
	return 0;
}

static void naive_cancel(bct_sched_t *s, bct_time_t now, uint64_t req_id)
{
	naive_t *n = naive_of(s);
	naive_req_t *r = naive_find_req(n, req_id);

	if (!r)
		return;
	if (r->state == NAIVE_RUNNING) {
		r->state = NAIVE_CANCELLING;
		bct_list_add_tail(&r->link, &n->cancelling);
		return;
	}
	if (r->state == NAIVE_CANCELLING || r->state == NAIVE_CANCELLED)
		return;
	if (r->state == NAIVE_QUEUED)
		n->n_queued--;
	naive_trace(n, now, BCT_TRACE_END, r, BCT_OUTCOME_CANCELLED);
	naive_req_free(r);
}

static bct_retry_t naive_retry_reason(const bct_attempt_end_t *end)
{
	switch (end->outcome) {
	case BCT_OUTCOME_CONNECT_FAILED:
		return BCT_RETRY_CONNECT;
	case BCT_OUTCOME_BUSY:
		return BCT_RETRY_BUSY;
	case BCT_OUTCOME_TIMEOUT:
		return BCT_RETRY_TIMEOUT;
	case BCT_OUTCOME_STALLED:
		return BCT_RETRY_STALL;
	case BCT_OUTCOME_BAD_ANSWER:
		return BCT_RETRY_BAD_ANSWER;
	case BCT_OUTCOME_MISMATCHED:
		return BCT_RETRY_MISMATCHED;
	default:
		return end->tokens ? BCT_RETRY_MID_STREAM : BCT_RETRY_RESET;
	}
}

static void naive_attempt_end(bct_sched_t *s, bct_time_t now, const bct_attempt_end_t *end)
{
	naive_t *n = naive_of(s);
	naive_req_t *r = naive_find_attempt(n, end->attempt_id);

	if (!r)
		return;
	n->n_running--;
	bct_list_del(&r->by_attempt);
	r->may_have_run |= end->may_have_run;
	if (r->state != NAIVE_RUNNING || end->outcome == BCT_OUTCOME_OK ||
	    end->outcome == BCT_OUTCOME_NOT_SENT || end->outcome == BCT_OUTCOME_CANCELLED) {
		naive_trace(n, now, BCT_TRACE_END, r, end->outcome);
		naive_req_free(r);
		return;
	}
	r->retry = naive_retry_reason(end);
	if (r->attempts >= BCT_NAIVE_ATTEMPTS_MAX) {
		naive_refuse(n, r, BCT_REFUSE_UPSTREAM_FAILED);
		return;
	}
	r->state = NAIVE_QUEUED;
	n->n_queued++;
	bct_list_add_tail(&r->link, &n->queue);
}

static void naive_fleet(bct_sched_t *s, bct_time_t now, const bct_fleet_t *f)
{
	naive_t *n = naive_of(s);

	(void)now;
	n->opts.fleet = *f;
	naive_set_limit(n);
}

static void naive_leaving(bct_sched_t *s, bct_time_t now, uint64_t upstream_key, bool leaving)
{
	naive_t *n = naive_of(s);

	(void)now;
	for (uint32_t i = 0; n->conf && i < n->conf->n_upstreams; i++) {
		if (n->conf->upstreams[i].key == upstream_key)
			n->upstreams[i].leaving = leaving;
	}
}

/* Round robin: of the upstreams that serve the target, the least recently used one, or NULL. */
static const bct_upstream_conf_t *naive_pick(naive_t *n, uint64_t target_key)
{
	uint32_t best = n->conf->n_upstreams;

	for (uint32_t i = 0; i < n->conf->n_upstreams; i++) {
		const naive_upstream_t *u = &n->upstreams[i];

		if (u->leaving || !bct_upstream_serves(&n->conf->upstreams[i], target_key))
			continue;
		if (best == n->conf->n_upstreams || u->last_used < n->upstreams[best].last_used)
			best = i;
	}
	if (best == n->conf->n_upstreams)
		return NULL;
	n->upstreams[best].last_used = n->attempts + 1;
	return &n->conf->upstreams[best];
}

static void naive_take_refusal(naive_t *n, bct_time_t now, bct_action_t *out)
{
	naive_req_t *r = bct_container_of(n->refused.next, naive_req_t, link);

	*out = (bct_action_t){
		.type = BCT_ACTION_REFUSE,
		.req_id = r->desc.req_id,
		.refuse = r->refuse,
		.run = r->may_have_run ? BCT_RUN_UNKNOWN : BCT_RUN_NOT_RUN,
		.retry_after_ms = NAIVE_RETRY_AFTER_MS,
	};
	if (n->opts.refused)
		bct_counter_inc(&n->opts.refused[r->refuse]);
	naive_trace(n, now, BCT_TRACE_REFUSE, r, r->refuse);
	naive_req_free(r);
}

static void naive_take_cancel(naive_t *n, bct_action_t *out)
{
	naive_req_t *r = bct_container_of(n->cancelling.next, naive_req_t, link);

	bct_list_del(&r->link);
	r->state = NAIVE_CANCELLED;
	*out = (bct_action_t){
		.type = BCT_ACTION_CANCEL,
		.req_id = r->desc.req_id,
		.attempt_id = r->attempt_id,
		.upstream_key = r->upstream_key,
	};
}

static void naive_take_dispatch(naive_t *n, bct_time_t now, naive_req_t *r,
				const bct_upstream_conf_t *u, bct_action_t *out)
{
	bct_list_del(&r->link);
	n->n_queued--;
	n->n_running++;
	r->state = NAIVE_RUNNING;
	r->attempts++;
	r->attempt_id = bct_hash_mix(n->opts.incarnation, ++n->attempts);
	r->upstream_key = u->key;
	bct_list_add_tail(&r->by_attempt, &n->running[r->attempt_id % NAIVE_BUCKETS]);
	*out = (bct_action_t){
		.type = BCT_ACTION_DISPATCH,
		.req_id = r->desc.req_id,
		.attempt_id = r->attempt_id,
		.upstream_key = u->key,
		.priority = r->tier,
		.retry = r->retry,
	};
	if (n->opts.retried && r->retry != BCT_RETRY_NONE)
		bct_counter_inc(&n->opts.retried[r->retry]);
	naive_trace(n, now, BCT_TRACE_DISPATCH, r, r->retry);
}

/*
 * Stores the action for the head of the queue in *out: a DISPATCH, or a REFUSE if no upstream
 * serves its target. Returns false if the queue is empty or the limit is reached.
 */
static bool naive_take_head(naive_t *n, bct_time_t now, bct_action_t *out)
{
	const bct_upstream_conf_t *u;
	naive_req_t *r;

	if (bct_list_empty(&n->queue) || n->n_running >= n->limit)
		return false;
	r = bct_container_of(n->queue.next, naive_req_t, link);
	u = naive_pick(n, r->target_key);
	if (u) {
		naive_take_dispatch(n, now, r, u, out);
		return true;
	}
	n->n_queued--;
	naive_refuse(n, r, BCT_REFUSE_NO_UPSTREAM);
	naive_take_refusal(n, now, out);
	return true;
}

static uint32_t naive_poll(bct_sched_t *s, bct_time_t now, bct_action_t *out, uint32_t max)
{
	naive_t *n = naive_of(s);
	uint32_t count = 0;

	while (count < max) {
		if (!bct_list_empty(&n->cancelling))
			naive_take_cancel(n, &out[count]);
		else if (!bct_list_empty(&n->refused))
			naive_take_refusal(n, now, &out[count]);
		else if (!naive_take_head(n, now, &out[count]))
			break;
		count++;
	}
	return count;
}

static bct_time_t naive_next_wake(const bct_sched_t *s)
{
	const naive_t *n = bct_container_of(s, const naive_t, base);
	bool ready = !bct_list_empty(&n->cancelling) || !bct_list_empty(&n->refused) ||
		     (!bct_list_empty(&n->queue) && n->n_running < n->limit);

	return ready ? 0 : BCT_TIME_NEVER;
}

/* The events below do not influence the decisions of this scheduler. */
static void naive_sent(bct_sched_t *s, bct_time_t now, uint64_t attempt_id)
{
	(void)s, (void)now, (void)attempt_id;
}

static void naive_tokens(bct_sched_t *s, bct_time_t now, uint64_t attempt_id, uint32_t total)
{
	naive_t *n = naive_of(s);
	naive_req_t *r = total == 1 ? naive_find_attempt(n, attempt_id) : NULL;

	if (r)
		naive_trace(n, now, BCT_TRACE_FIRST_TOKEN, r, 0);
}

static void naive_report(bct_sched_t *s, bct_time_t now, const bct_report_t *r)
{
	(void)s, (void)now, (void)r;
}

static void naive_cache_event(bct_sched_t *s, bct_time_t now, const bct_cache_event_t *e)
{
	(void)s, (void)now, (void)e;
}

static void naive_total(bct_sched_t *s, bct_time_t now, const bct_total_t *t)
{
	(void)s, (void)now, (void)t;
}

static uint32_t naive_publish(bct_sched_t *s, bct_time_t now, bct_item_t *out, uint32_t max)
{
	(void)s, (void)now, (void)out, (void)max;
	return 0;
}

static const bct_sched_ops_t naive_ops = {
	.name = "naive",
	.destroy = naive_destroy,
	.configure = naive_configure,
	.submit = naive_submit,
	.cancel = naive_cancel,
	.sent = naive_sent,
	.tokens = naive_tokens,
	.attempt_end = naive_attempt_end,
	.report = naive_report,
	.cache_event = naive_cache_event,
	.total = naive_total,
	.fleet = naive_fleet,
	.leaving = naive_leaving,
	.publish = naive_publish,
	.poll = naive_poll,
	.next_wake = naive_next_wake,
};

int bct_naive_new(const bct_sched_opts_t *opts, bct_sched_t **out)
{
	naive_t *n = bct_alloc(sizeof(*n));

	if (!n)
		return -BCT_ENOMEM;
	n->base.ops = &naive_ops;
	n->opts = *opts;
	bct_list_init(&n->queue);
	bct_list_init(&n->refused);
	bct_list_init(&n->cancelling);
	for (uint32_t i = 0; i < NAIVE_BUCKETS; i++) {
		bct_list_init(&n->reqs[i]);
		bct_list_init(&n->running[i]);
	}
	*out = &n->base;
	return 0;
}
