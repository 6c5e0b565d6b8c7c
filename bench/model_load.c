/*
 * model_load.c - generates Poisson arrivals by class and account, with lengths and prefixes.
 */
#include "bench/model_load.h"
#include "bench/model_deploy.h"
#include "base/err.h"
#include "base/mem.h"
#include "base/rng.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define PERMILLE 1000
#define PROMPT_TOKENS_MIN 16
#define OUTPUT_TOKENS_MIN 4
#define POISON_AT_MS 10000 /* first poison request */

bct_time_t bct_model_caller_timeout_ms(const bct_model_class_t *k)
{
	return k->deadline_ms ? k->deadline_ms : BCT_MODEL_CALLER_TIMEOUT_MS;
}

bct_time_t bct_model_latest_finish(const bct_model_class_t *k, const bct_model_req_t *r)
{
	bct_time_t stream_ms = k->ttft_ms + (bct_time_t)k->itl_ms * (r->output_tokens - 1);
	bct_time_t timeout_ms = bct_model_caller_timeout_ms(k);

	return r->desc.arrived + (stream_ms < timeout_ms ? stream_ms : timeout_ms);
}

/* Appends a zeroed request; returns NULL when out of memory. */
static bct_model_req_t *load_add(bct_model_load_t *l)
{
	if (l->n == l->cap) {
		uint32_t cap = l->cap ? 2 * l->cap : 1024;
		bct_model_req_t *reqs = bct_realloc(l->reqs, cap * sizeof(*reqs));

		if (!reqs)
			return NULL;
		l->reqs = reqs;
		l->cap = cap;
	}
	l->reqs[l->n] = (bct_model_req_t){ 0 };
	return &l->reqs[l->n++];
}

/*
 * Fills in the hashes of the prompt's blocks: the leading ones are common to the session family,
 * the others are unique to the request.
 */
static void req_prefix(const bct_model_opts_t *o, bct_model_req_t *r, bct_rng_t *rng)
{
	const bct_model_class_t *k = &o->deployment->classes[r->class_idx];
	uint32_t families = o->prefix_families ? o->prefix_families : 1;
	uint64_t family =
		bct_hash_mix(r->desc.account_key + bct_rng_below(rng, families), r->desc.class_key);
	uint32_t blocks = r->desc.prompt_tokens / BCT_PREFIX_BLOCK_TOKENS;

	if (blocks > BCT_PREFIX_MAX)
		blocks = BCT_PREFIX_MAX;
	r->desc.session_key = family;
	r->desc.n_prefix = blocks;
	for (uint32_t i = 0; i < blocks; i++) {
		bool shared = i < k->prefix_blocks;

		r->desc.prefix[i] = bct_hash_mix(shared ? family : r->desc.digest, i + 1);
		if (shared)
			r->shared_tokens += BCT_PREFIX_BLOCK_TOKENS;
	}
}

static void req_fill(const bct_model_opts_t *o, bct_model_req_t *r, bct_time_t at, uint32_t account,
		     uint32_t class_idx, bct_rng_t *rng)
{
	const bct_model_class_t *k = &o->deployment->classes[class_idx];
	double output = bct_rng_exp(rng, k->output_tokens);
	char name[BCT_NAME_BYTES];

	snprintf(name, sizeof(name), "account-%u", account);
	r->class_idx = class_idx;
	r->account_idx = account;
	r->node = bct_rng_below(rng, o->nodes);
	r->desc.account_key = bct_hash_str(name);
	r->desc.class_key = bct_hash_str(k->name);
	r->desc.digest = bct_hash_mix(bct_rng_below(rng, UINT32_MAX), at);
	r->desc.arrived = at;
	r->desc.prompt_tokens =
		PROMPT_TOKENS_MIN + k->prompt_tokens / 2 + bct_rng_below(rng, k->prompt_tokens);
	r->desc.max_output_tokens = k->max_output_tokens;
	r->desc.repeatable = k->repeatable;
	r->output_tokens = output < OUTPUT_TOKENS_MIN ? OUTPUT_TOKENS_MIN : (uint32_t)output;
	if (r->output_tokens > k->max_output_tokens)
		r->output_tokens = k->max_output_tokens;
	req_prefix(o, r, rng);
}

/* Returns the arrival rate at a moment relative to the rate without bursts. */
static double burst_factor(const bct_model_opts_t *o, bct_time_t at, uint32_t account,
			   uint32_t class_idx)
{
	double factor = 1.0;

	for (uint32_t i = 0; i < o->n_bursts; i++) {
		const bct_model_burst_t *b = &o->bursts[i];

		if (at < b->at || at >= b->until)
			continue;
		if (b->class_idx != BCT_MODEL_ALL && b->class_idx != class_idx)
			continue;
		if (b->account_idx != BCT_MODEL_ALL && b->account_idx != account)
			continue;
		factor *= (double)b->permille / PERMILLE;
	}
	return factor;
}

/* Mean of an exponential distribution with mean output_tokens capped at max_output_tokens. */
static double mean_output(const bct_model_class_t *k)
{
	return k->output_tokens *
	       (1.0 - exp(-(double)k->max_output_tokens / (double)k->output_tokens));
}

/* Requests per second of an account in a class without bursts. */
static double base_rate(const bct_model_opts_t *o, uint32_t account, uint32_t class_idx)
{
	const bct_model_class_t *k = &o->deployment->classes[class_idx];
	double tokens_per_s = (double)bct_model_capacity_tokens_per_s(o->deployment, k->pool) *
			      k->share_permille / PERMILLE * o->load_permille / PERMILLE;

	return tokens_per_s / mean_output(k) *
	       bct_model_account_share_permille(o->deployment, account) / PERMILLE;
}

/*
 * Generates the arrivals of an account in a class by thinning: candidates are drawn at the highest
 * rate and accepted with the ratio of the current rate to it.
 */
static int load_stream(const bct_model_opts_t *o, bct_model_load_t *l, uint32_t account,
		       uint32_t class_idx, bct_rng_t *rng)
{
	double rate = base_rate(o, account, class_idx);
	double highest = 1.0;
	double at = 0;

	for (uint32_t i = 0; i < o->n_bursts; i++) {
		double f = (double)o->bursts[i].permille / PERMILLE;

		highest *= f > 1.0 ? f : 1.0;
	}
	for (;;) {
		bct_model_req_t *r;

		at += bct_rng_exp(rng, BCT_MS_PER_S / (rate * highest));
		if (at >= (double)o->duration_ms)
			return 0;
		if (bct_rng_unit(rng) * highest >=
		    burst_factor(o, (bct_time_t)at, account, class_idx))
			continue;
		r = load_add(l);
		if (!r)
			return -BCT_ENOMEM;
		req_fill(o, r, (bct_time_t)at, account, class_idx, rng);
	}
}

static int by_arrival(const void *a, const void *b)
{
	const bct_model_req_t *x = a, *y = b;

	if (x->desc.arrived != y->desc.arrived)
		return x->desc.arrived < y->desc.arrived ? -1 : 1;
	return x->desc.digest < y->desc.digest ? -1 : x->desc.digest > y->desc.digest;
}

/*
 * Adds the poison requests. Only the first has an arrival time; each further one is sent after the
 * one before has ended.
 */
static int load_poison(const bct_model_opts_t *o, bct_model_load_t *l, bct_rng_t *rng)
{
	uint64_t digest = 0;

	for (uint32_t i = 0; i < o->poison_sends; i++) {
		bct_model_req_t *r = load_add(l);

		if (!r)
			return -BCT_ENOMEM;
		req_fill(o, r, i ? BCT_TIME_NEVER : POISON_AT_MS, 0, 0, rng);
		if (i == 0)
			digest = r->desc.digest;
		r->desc.digest = digest;
		r->poison = true;
		r->node = i % o->nodes;
	}
	return 0;
}

int bct_model_load_generate(const bct_model_opts_t *o, bct_model_load_t *out)
{
	bct_rng_t rng;
	int err = 0;

	*out = (bct_model_load_t){ 0 };
	bct_rng_seed(&rng, o->seed);
	for (uint32_t a = 0; a < o->deployment->accounts && !err; a++) {
		for (uint32_t k = 0; k < o->deployment->n_classes && !err; k++)
			err = load_stream(o, out, a, k, &rng);
	}
	if (!err)
		err = load_poison(o, out, &rng);
	if (err) {
		bct_model_load_free(out);
		return err;
	}
	qsort(out->reqs, out->n, sizeof(*out->reqs), by_arrival);
	out->n_scheduled = out->n;
	while (out->n_scheduled && out->reqs[out->n_scheduled - 1].desc.arrived == BCT_TIME_NEVER)
		out->n_scheduled--;
	for (uint32_t i = 0; i < out->n; i++)
		out->reqs[i].desc.req_id = i + 1;
	return 0;
}

void bct_model_load_free(bct_model_load_t *l)
{
	bct_free(l->reqs);
	*l = (bct_model_load_t){ 0 };
}
