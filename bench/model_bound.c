/*
 * model_bound.c - computes the clairvoyant upper bound on good tokens.
 *
 * Each pool is relaxed to one preemptive machine with the decode rate that its engines have with
 * full batches, reduced by the faults of each moment. The decode tokens of a request can be
 * generated in any pieces between its arrival and the latest finish that meets its targets, and a
 * part of an answer counts. Under this relaxation, earliest deadline first generates the most
 * tokens, so no scheduler can exceed it. The first token of an answer results from the prefill and
 * is added outside of the decode capacity.
 */
#include "bench/model.h"
#include "bench/model_deploy.h"
#include "bench/model_load.h"
#include "base/err.h"
#include "base/mem.h"

#include <math.h>
#include <stdlib.h>

#define PERMILLE 1000
#define FITS_MIN_PERMILLE 999 /* a class fits when this part of the demand is served in time */
#define TICK_SLACK_MS (2 * BCT_MODEL_TICK_MS) /* tokens of a tick are timed at its start */
#define HORIZON_MS 400000		      /* after the last arrival */
#define LIMIT_SLACK_PERMILLE 1100	      /* a limit may be exceeded by 10% */
#define LIMIT_WINDOW_MS 10000

typedef struct bound_job {
	bct_time_t latest_finish;
	double remaining; /* decode tokens */
} bound_job_t;

typedef struct bound {
	const bct_model_opts_t *opts;
	const bct_model_load_t *load;
	bound_job_t *heap; /* the earliest latest_finish first */
	uint32_t n;
} bound_t;

static void heap_push(bound_t *b, bound_job_t job)
{
	uint32_t i = b->n++;

	for (; i && b->heap[(i - 1) / 2].latest_finish > job.latest_finish; i = (i - 1) / 2)
		b->heap[i] = b->heap[(i - 1) / 2];
	b->heap[i] = job;
}

static void heap_pop(bound_t *b)
{
	bound_job_t last = b->heap[--b->n];
	uint32_t i = 0;

	for (;;) {
		uint32_t child = 2 * i + 1;

		if (child >= b->n)
			break;
		if (child + 1 < b->n &&
		    b->heap[child + 1].latest_finish < b->heap[child].latest_finish)
			child++;
		if (b->heap[child].latest_finish >= last.latest_finish)
			break;
		b->heap[i] = b->heap[child];
		i = child;
	}
	b->heap[i] = last;
}

static bool fault_covers(const bct_model_fault_t *f, uint32_t engine, bct_time_t now)
{
	uint32_t step = f->step ? f->step : 1;

	return now >= f->at && now < f->until && engine >= f->first &&
	       (engine - f->first) % step == 0 && (engine - f->first) / step < f->count;
}

/* Returns the speed of an engine under the faults of a moment; 1.0 is its normal speed. */
static double engine_speed(const bct_model_opts_t *o, uint32_t engine, bct_time_t now)
{
	double speed = 1.0;

	for (uint32_t i = 0; i < o->n_faults; i++) {
		const bct_model_fault_t *f = &o->faults[i];

		if (!fault_covers(f, engine, now))
			continue;
		if (f->type == BCT_MODEL_CRASH || f->type == BCT_MODEL_HANG)
			return 0;
		if (f->type == BCT_MODEL_SLOW)
			speed = (double)f->permille / PERMILLE;
	}
	return speed;
}

/* Returns the speed of a pool at a moment, in engines of normal speed. */
static double pool_speed(const bct_model_opts_t *o, bct_model_pool_t pool, bct_time_t now)
{
	double speed = 0;

	for (uint32_t i = 0; i < bct_model_engine_count(o->deployment); i++) {
		if (bct_model_engine_pool(o->deployment, i) == pool)
			speed += engine_speed(o, i, now);
	}
	return speed;
}

/*
 * Serves the jobs with the earliest latest finish for one tick; drops those that are too late.
 *
 * capacity  decode tokens in this tick
 * returns   decode tokens that were served
 */
static double serve(bound_t *b, bct_time_t now, double capacity)
{
	double served = 0;

	while (b->n && served < capacity) {
		bound_job_t *job = &b->heap[0];
		double share = capacity - served;

		if (job->latest_finish + TICK_SLACK_MS <= now) {
			heap_pop(b);
			continue;
		}
		if (share > job->remaining)
			share = job->remaining;
		served += share;
		job->remaining -= share;
		if (job->remaining <= 0)
			heap_pop(b);
	}
	return served;
}

/*
 * Computes the decode tokens that a pool can generate in time.
 *
 * tier     requests of lower tiers (greater numbers) are ignored
 * demand   set to the decode tokens of all requests that were taken into account
 * returns  decode tokens
 */
static double bound_pool(bound_t *b, bct_model_pool_t pool, uint8_t tier, double *demand)
{
	const bct_model_class_t *classes = b->opts->deployment->classes;
	double per_engine = BCT_MODEL_ENGINE_SLOTS * BCT_MODEL_DECODE_TOKENS_PER_S *
			    (double)BCT_MODEL_TICK_MS / BCT_MS_PER_S;
	double served = 0;
	uint32_t next = 0;

	b->n = 0;
	*demand = 0;
	for (bct_time_t now = 0; now < b->opts->duration_ms + HORIZON_MS;
	     now += BCT_MODEL_TICK_MS) {
		for (; next < b->load->n_scheduled; next++) {
			const bct_model_req_t *r = &b->load->reqs[next];
			const bct_model_class_t *k = &classes[r->class_idx];
			double tokens = r->output_tokens - 1;

			if (r->desc.arrived > now)
				break;
			if (k->pool != pool || k->tier > tier || r->poison || tokens <= 0)
				continue;
			*demand += tokens;
			heap_push(b, (bound_job_t){ bct_model_latest_finish(k, r), tokens });
		}
		if (next == b->load->n_scheduled && b->n == 0)
			break;
		served += serve(b, now, per_engine * pool_speed(b->opts, pool, now));
	}
	return served;
}

static int longest_first(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return x < y ? 1 : x > y ? -1 : 0;
}

/* Sums the output tokens of the longest answers, as many as the rate limit admits per window. */
static double window_tokens(const bound_t *b, uint32_t *lengths, uint32_t n)
{
	uint32_t limit = b->opts->account_requests_per_s * (LIMIT_WINDOW_MS / BCT_MS_PER_S);
	double tokens = 0;

	limit = limit * LIMIT_SLACK_PERMILLE / PERMILLE;
	qsort(lengths, n, sizeof(*lengths), longest_first);
	for (uint32_t i = 0; i < n && (!limit || i < limit); i++)
		tokens += lengths[i];
	return tokens;
}

/* Output tokens of an account under its rate limit. lengths: scratch space for all requests. */
static double account_tokens(const bound_t *b, uint32_t account, uint32_t *lengths)
{
	bct_time_t window = 0;
	uint32_t n = 0;
	double tokens = 0;

	for (uint32_t i = 0; i < b->load->n_scheduled; i++) {
		const bct_model_req_t *r = &b->load->reqs[i];

		if (r->account_idx != account || r->poison)
			continue;
		if (r->desc.arrived / LIMIT_WINDOW_MS != window) {
			tokens += window_tokens(b, lengths, n);
			n = 0;
			window = r->desc.arrived / LIMIT_WINDOW_MS;
		}
		lengths[n++] = r->output_tokens;
	}
	return tokens + window_tokens(b, lengths, n);
}

/* Output tokens of all accounts under their rate limits. */
static double bound_limits(const bound_t *b, uint32_t *lengths)
{
	double tokens = 0;

	for (uint32_t a = 0; a < b->opts->deployment->accounts; a++)
		tokens += account_tokens(b, a, lengths);
	return tokens;
}

static void bound_fill(bound_t *b, uint32_t *lengths, bct_model_bound_t *out)
{
	const bct_model_deployment_t *d = b->opts->deployment;
	double limits = bound_limits(b, lengths);
	double served = 0, demand;

	for (uint32_t p = 0; p < BCT_MODEL_POOLS; p++)
		served += bound_pool(b, p, BCT_TIERS, &demand);
	served += b->load->n_scheduled; /* first tokens */
	out->good_tokens = (uint64_t)(ceil(served < limits ? served : limits));
	for (uint32_t k = 0; k < d->n_classes; k++) {
		double in_time = bound_pool(b, d->classes[k].pool, d->classes[k].tier, &demand);

		out->fits[k] = in_time * PERMILLE >= demand * FITS_MIN_PERMILLE;
	}
}

int bct_model_bound(const bct_model_opts_t *opts, bct_model_bound_t *out)
{
	bct_model_load_t load;
	bound_t b = { .opts = opts, .load = &load };
	uint32_t *lengths = NULL;
	int err = bct_model_load_generate(opts, &load);

	if (err)
		return err;
	*out = (bct_model_bound_t){ 0 };
	b.heap = bct_alloc((load.n + 1) * sizeof(*b.heap));
	lengths = bct_alloc((load.n + 1) * sizeof(*lengths));
	if (!b.heap || !lengths) {
		err = -BCT_ENOMEM;
		goto done;
	}
	bound_fill(&b, lengths, out);
done:
	bct_free(lengths);
	bct_free(b.heap);
	bct_model_load_free(&load);
	return err;
}
