/*
 * model_score.c - computes the results of a finished simulation.
 */
#include "bench/model_score.h"
#include "bench/model_deploy.h"

#define PERMILLE 1000
#define LIMIT_WINDOW_MS 10000	/* over which the overshoot of rate limits is computed */
#define STARVED_REQUESTS_MIN 10 /* fewer requests give no evidence of starvation */

/* Returns whether a complete answer met all targets of its class. */
static bool score_met(const bct_model_class_t *k, const bct_model_req_t *r)
{
	bct_time_t stream_ms = r->ended_at - r->first_token_at;
	bct_time_t total_ms = r->ended_at - r->desc.arrived;

	if (r->first_token_at - r->desc.arrived > k->ttft_ms)
		return false;
	if (stream_ms > (bct_time_t)k->itl_ms * (r->output_tokens - 1))
		return false;
	return !k->deadline_ms || total_ms <= k->deadline_ms;
}

/* Returns whether an account has a rate limit and a burst of its own, assumed to exceed it. */
static bool exceeds_contract(const bct_model_opts_t *o, uint32_t account)
{
	for (uint32_t i = 0; i < o->n_bursts && o->account_requests_per_s; i++) {
		if (o->bursts[i].account_idx == account)
			return true;
	}
	return false;
}

static void score_request(bct_model_drive_t *d, const bct_model_req_t *r, uint64_t *complete_tokens)
{
	const bct_model_class_t *k = bct_model_drive_class(d, r);
	bct_model_class_result_t *c = &d->result->classes[r->class_idx];

	if (exceeds_contract(d->opts, r->account_idx))
		c = &d->result->burst;
	c->requests++;
	switch (r->state) {
	case BCT_MODEL_ANSWERED:
		c->answered++;
		*complete_tokens += r->output_tokens;
		if (score_met(k, r)) {
			c->met++;
			d->result->good_tokens += r->output_tokens;
		}
		break;
	case BCT_MODEL_REFUSED:
		c->refused++;
		break;
	case BCT_MODEL_DISCONNECTED:
		c->disconnected++;
		break;
	case BCT_MODEL_NODE_LOST:
		c->node_lost++;
		break;
	default:
		d->result->breaches[BCT_MODEL_BREACH_LOST]++;
	}
}

static uint8_t lowest_tier(const bct_model_deployment_t *d)
{
	uint8_t lowest = 0;

	for (uint32_t i = 0; i < d->n_classes; i++) {
		if (d->classes[i].tier > lowest)
			lowest = d->classes[i].tier;
	}
	return lowest;
}

/* Updates the longest wait of the lowest tier. */
static void score_wait(bct_model_drive_t *d, const bct_model_req_t *r)
{
	bct_time_t wait_end = r->first_token_at ? r->first_token_at : r->ended_at;

	if (bct_model_drive_class(d, r)->tier != lowest_tier(d->opts->deployment) || r->poison)
		return;
	if (wait_end - r->desc.arrived > d->result->lowest_tier_wait_ms)
		d->result->lowest_tier_wait_ms = wait_end - r->desc.arrived;
}

static bool refused_by_limit(const bct_model_req_t *r)
{
	return r->state == BCT_MODEL_REFUSED &&
	       (r->refuse == BCT_REFUSE_RATE_LIMIT || r->refuse == BCT_REFUSE_TOKEN_LIMIT ||
		r->refuse == BCT_REFUSE_CONCURRENCY_LIMIT);
}

/* Returns the highest number of requests of an account that were admitted within a window. */
static uint32_t most_in_window(const bct_model_drive_t *d, uint32_t account)
{
	uint32_t most = 0, count = 0, first = 0;

	for (uint32_t i = 0; i < d->load.n_scheduled; i++) {
		const bct_model_req_t *r = &d->load.reqs[i];

		if (r->account_idx != account || refused_by_limit(r))
			continue;
		count++;
		for (; d->load.reqs[first].desc.arrived <= r->desc.arrived - LIMIT_WINDOW_MS;
		     first++) {
			const bct_model_req_t *old = &d->load.reqs[first];

			if (old->account_idx == account && !refused_by_limit(old))
				count--;
		}
		if (count > most)
			most = count;
	}
	return most;
}

static void score_limits(bct_model_drive_t *d)
{
	uint32_t limit = d->opts->account_requests_per_s * (LIMIT_WINDOW_MS / BCT_MS_PER_S);
	uint32_t concurrent = d->opts->account_concurrent;
	uint32_t most = 0;

	for (uint32_t a = 0; limit && a < d->opts->deployment->accounts; a++) {
		uint32_t m = most_in_window(d, a);

		most = m > most ? m : most;
	}
	if (limit)
		d->result->overshoot_permille = (int32_t)(most * PERMILLE / limit) - PERMILLE;
	if (concurrent)
		d->result->concurrent_overshoot_permille =
			(int32_t)(d->max_running * PERMILLE / concurrent) - PERMILLE;
}

void bct_model_score(bct_model_drive_t *d)
{
	uint64_t complete_tokens = 0;

	d->result->ended_ms = d->now;
	score_limits(d);
	for (uint32_t i = 0; i < d->load.n; i++) {
		const bct_model_req_t *r = &d->load.reqs[i];

		if (r->state == BCT_MODEL_NOT_SENT || r->poison)
			continue;
		score_request(d, r, &complete_tokens);
		score_wait(d, r);
	}
	/* The tokens of a request that still runs (a breach) are not in generated_tokens. */
	d->result->wasted_tokens = d->result->generated_tokens > complete_tokens
					   ? d->result->generated_tokens - complete_tokens
					   : 0;
	for (uint32_t k = 0; k < d->opts->deployment->n_classes; k++) {
		const bct_model_class_result_t *c = &d->result->classes[k];

		if (c->requests >= STARVED_REQUESTS_MIN && c->answered == 0)
			d->result->starved++;
	}
}
