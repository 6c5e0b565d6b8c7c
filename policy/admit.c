/*
 * admit.c - admission, queueing and refusal of requests.
 */
#include "base/err.h"
#include "base/hash.h"
#include "base/mem.h"
#include "policy/sched_int.h"

/* The margin for the first token is at most the TTFT target over this divisor. */
#define ADMIT_TTFT_MARGIN_DIVISOR 2
#define ADMIT_PROMPT_COST_DIVISOR 16 /* prompt tokens as costly as one output token */
#define ADMIT_RETRY_MIN_MS 100
#define ADMIT_RETRY_MAX_MS 60000
#define ADMIT_NO_UPSTREAM_RETRY_MS 2000

/*
 * Time in ms that the queued work of this tier and all higher ones takes to drain: a fair time to
 * retry.
 */
uint32_t bct_admit_retry_ms(const bct_target_t *t, uint8_t tier)
{
	int64_t tokens = 0;
	double ms;

	for (uint32_t i = 0; i < tier; i++)
		tokens += t->tiers[i].queue.cost_tokens;
	ms = t->drain_tokens_per_ms > 0 ? (double)tokens / t->drain_tokens_per_ms : 0;
	if (ms < ADMIT_RETRY_MIN_MS)
		return ADMIT_RETRY_MIN_MS;
	return ms > ADMIT_RETRY_MAX_MS ? ADMIT_RETRY_MAX_MS : (uint32_t)ms;
}

/* Removes a request without an attempt from the queue or list in which it waits. */
void bct_admit_unqueue(bct_core_t *c, bct_sreq_t *r)
{
	if (r->state == BCT_REQ_QUEUED)
		bct_queue_remove(&r->target->tiers[r->tier - 1].queue, &r->item);
	if (r->state == BCT_REQ_HELD && r->up) {
		bct_up_release(c, r->up);
		r->up = NULL;
	}
	bct_list_del(&r->line);
	bct_heap_del(&c->timers, &r->timer);
	bct_core_state(c, r, BCT_REQ_NEW);
}

/* Releases the account's limits. Charged tokens that were not used are refunded. */
static void admit_release(bct_sreq_t *r)
{
	int64_t used = r->maybe_ran ? (int64_t)r->desc.prompt_tokens + r->tokens : 0;

	if (r->admitted)
		bct_limit_release(&r->terms->account->limit, r->charged_tokens - used);
	r->admitted = false;
}

/* Ends a request that has no attempt and frees it. */
void bct_admit_free(bct_core_t *c, bct_sreq_t *r)
{
	bct_admit_unqueue(c, r);
	admit_release(r);
	if (r->outbox.next != &r->outbox) {
		bct_list_del(&r->outbox);
		c->n_outbox--;
	}
	bct_map_del(&c->reqs, r->desc.req_id);
	bct_free(r);
}

/* Refuses a request that has no attempt. The next poll returns the REFUSE action. */
void bct_admit_refuse(bct_core_t *c, bct_time_t now, bct_sreq_t *r, bct_refuse_t why,
		      uint32_t retry_after_ms)
{
	bct_admit_unqueue(c, r);
	admit_release(r);
	bct_core_state(c, r, BCT_REQ_REFUSED);
	r->refuse = why;
	r->retry_after_ms = retry_after_ms;
	r->attempt_id = 0;
	bct_list_add_tail(&r->outbox, &c->outbox);
	c->n_outbox++;
	if (c->opts.refused)
		bct_counter_inc(&c->opts.refused[why]);
	bct_core_trace(c, now, BCT_TRACE_REFUSE, r, 0, why);
}

/* The account's flow in the tier's queue, created on first use. NULL without memory. */
static bct_flow_t *admit_flow(bct_core_t *c, const bct_terms_t *terms)
{
	uint64_t key =
		bct_hash_mix(bct_hash_mix(terms->account->key, terms->target->key), terms->tier);
	bct_flow_t *f = bct_map_get(&c->flows, key);

	if (f)
		return f;
	f = bct_alloc(sizeof(*f));
	if (!f)
		return NULL;
	if (!bct_map_put(&c->flows, key, f))
		return f;
	bct_free(f);
	return NULL;
}

/*
 * The latest dispatch time at which nine in ten requests get their first token within the target.
 */
static bct_time_t admit_latest_start(const bct_terms_t *terms, bct_time_t arrived)
{
	double p90_ms = terms->target->tiers[terms->tier - 1].first_token_ms.p90_tokens;
	double max_margin_ms = terms->ttft_ms / ADMIT_TTFT_MARGIN_DIVISOR;

	if (!terms->ttft_ms)
		return BCT_TIME_NEVER;
	return arrived + terms->ttft_ms -
	       (bct_time_t)(p90_ms < max_margin_ms ? p90_ms : max_margin_ms);
}

static void admit_fill(bct_sreq_t *r, bct_terms_t *terms, const bct_req_desc_t *desc)
{
	uint32_t max_tokens = desc->max_output_tokens;

	if (!max_tokens || (terms->max_output_tokens && max_tokens > terms->max_output_tokens))
		max_tokens = terms->max_output_tokens;
	r->desc = *desc;
	r->desc.max_output_tokens = max_tokens;
	r->terms = terms;
	r->target = terms->target;
	r->tier = terms->tier;
	r->repeatable = desc->repeatable && terms->repeatable;
	r->deadline = terms->deadline_ms ? desc->arrived + terms->deadline_ms : BCT_TIME_NEVER;
	r->first_token_at = BCT_TIME_NEVER;
	r->item.arrived = desc->arrived;
	r->item.latest_start = admit_latest_start(terms, desc->arrived);
	r->charged_tokens = bct_length_expect(bct_core_length(terms), 0, max_tokens);
	r->item.cost_tokens = r->charged_tokens + desc->prompt_tokens / ADMIT_PROMPT_COST_DIVISOR;
	r->charged_tokens += desc->prompt_tokens;
	bct_list_init(&r->item.link);
	bct_list_init(&r->outbox);
	bct_list_init(&r->line);
	bct_list_init(&r->up_link);
}

static bct_sreq_t *admit_new(bct_core_t *c, bct_terms_t *terms, const bct_req_desc_t *desc)
{
	bct_flow_t *flow = admit_flow(c, terms);
	bct_sreq_t *r;

	if (!flow || bct_map_reserve(&c->reqs, c->reqs.n + 1) ||
	    bct_map_reserve(&c->attempts, c->reqs.n + 1))
		return NULL;
	r = bct_alloc(sizeof(*r));
	if (!r)
		return NULL;
	admit_fill(r, terms, desc);
	r->item.flow = flow;
	bct_map_put(&c->reqs, desc->req_id, r);
	return r;
}

/* Whether to refuse a new request; sets the time after which a retry makes sense. */
static bct_refuse_t admit_check(bct_core_t *c, bct_time_t now, bct_sreq_t *r,
				uint32_t *retry_after_ms)
{
	bct_target_t *t = r->target;
	bct_refuse_t refusal;

	*retry_after_ms = 0;
	if (bct_suspect_state(&c->suspects, now, r->desc.digest, retry_after_ms) ==
	    BCT_SUSPECT_POISON)
		return BCT_REFUSE_POISON;
	*retry_after_ms = ADMIT_NO_UPSTREAM_RETRY_MS;
	if (now >= t->unusable_at || !t->n_all)
		return BCT_REFUSE_NO_UPSTREAM;
	*retry_after_ms = bct_admit_retry_ms(t, r->tier);
	if (now >= r->deadline)
		return BCT_REFUSE_DEADLINE;
	refusal = bct_limit_take(&r->terms->account->limit, now, r->charged_tokens, retry_after_ms);
	if (refusal != BCT_REFUSE_NONE)
		return refusal;
	r->admitted = true;
	*retry_after_ms = bct_admit_retry_ms(t, r->tier);
	return bct_shed_admit(c, now, r);
}

int bct_admit_submit(bct_core_t *c, bct_time_t now, const bct_req_desc_t *desc)
{
	uint64_t key = bct_hash_mix(desc->account_key, desc->class_key);
	bct_terms_t *terms = bct_map_get(&c->terms, key);
	uint32_t retry_after_ms;
	bct_refuse_t refusal;
	bct_sreq_t *r;

	if (!terms || !terms->seen)
		return -BCT_ENOT_FOUND;
	if (bct_map_get(&c->reqs, desc->req_id))
		return -BCT_EDUPLICATE;
	r = admit_new(c, terms, desc);
	if (!r)
		return -BCT_ENOMEM;
	bct_core_trace(c, now, BCT_TRACE_SUBMIT, r, 0, r->repeatable ? BCT_TRACE_REPEATABLE : 0);
	refusal = admit_check(c, now, r, &retry_after_ms);
	if (refusal != BCT_REFUSE_NONE)
		bct_admit_refuse(c, now, r, refusal, retry_after_ms);
	else
		bct_admit_enqueue(c, now, r);
	return 0;
}

/* Queues a request that is in no list: a new one, or one whose attempt ended. */
void bct_admit_enqueue(bct_core_t *c, bct_time_t now, bct_sreq_t *r)
{
	bct_target_t *t = r->target;

	if (!t->n_queued && bct_list_empty(&t->granted))
		bct_shed_queue_started(t, now);
	r->attempt_id = 0;
	/* The account was charged the full cost at the first dispatch. */
	if (r->first_sent)
		r->item.cost_tokens = 1;
	r->item.pinned = r->tokens > 0;
	if (r->granted) {
		bct_core_state(c, r, BCT_REQ_GRANTED);
		bct_list_add_tail(&r->line, &t->granted);
	} else {
		bct_core_state(c, r, BCT_REQ_QUEUED);
		bct_queue_push(&t->tiers[r->tier - 1].queue, &r->item);
	}
	if (r->deadline != BCT_TIME_NEVER)
		bct_heap_set(&c->timers, &r->timer, r->deadline);
	bct_dispatch_grant(c, now, t);
	bct_dispatch_ready(c, t);
}
