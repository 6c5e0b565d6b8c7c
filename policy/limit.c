/*
 * limit.c - token buckets filled at a share of the account's rate.
 */
#include "policy/limit.h"

#include <math.h>

#define LIMIT_DEMAND_SMOOTHING 0.5 /* weight of the latest second */
#define LIMIT_DEMAND_FLOOR 0.02	   /* requests/s that an idle node is taken to want */
#define LIMIT_CONCURRENCY_RETRY_MS 250
#define LIMIT_DEMAND_IDLE 0.001

void bct_limit_init(bct_limit_t *l, bct_time_t now, const bct_limit_fleet_t *f)
{
	*l = (bct_limit_t){ .share = 1.0 / f->held };
	l->requests.filled_at = l->tokens.filled_at = l->published_at = now;
	l->requests.level = 1;
}

void bct_limit_set(bct_limit_t *l, uint32_t requests_per_s, uint32_t tokens_per_s,
		   uint32_t concurrent)
{
	/* The total, if one came, said how much of the old limit was free; scale it. */
	if (!l->concurrent)
		l->allowed = fmax(1, concurrent * l->share);
	else if (concurrent)
		l->allowed *= (double)concurrent / l->concurrent;
	l->requests_per_s = requests_per_s;
	l->tokens_per_s = tokens_per_s;
	l->concurrent = concurrent;
}

static double bucket_cap(double rate_per_s)
{
	return fmax(1, rate_per_s * BCT_LIMIT_BURST_MS / BCT_MS_PER_S);
}

static void bucket_fill(bct_bucket_t *b, bct_time_t now, double rate_per_s)
{
	if (now > b->filled_at)
		b->level += rate_per_s * (double)(now - b->filled_at) / BCT_MS_PER_S;
	b->level = fmin(b->level, bucket_cap(rate_per_s));
	b->filled_at = now;
}

static uint32_t bucket_wait_ms(const bct_bucket_t *b, double need, double rate_per_s)
{
	double ms = ceil((need - b->level) * BCT_MS_PER_S / fmax(rate_per_s, 1e-3));

	return (uint32_t)fmin(fmax(ms, 1), 3600.0 * BCT_MS_PER_S);
}

bct_refuse_t bct_limit_take(bct_limit_t *l, bct_time_t now, int64_t cost_tokens,
			    uint32_t *retry_after_ms)
{
	double rate = l->requests_per_s * l->share;
	double token_rate = l->tokens_per_s * l->share;

	l->offered++;
	l->offered_tokens += (uint64_t)cost_tokens;
	bucket_fill(&l->requests, now, rate);
	bucket_fill(&l->tokens, now, token_rate);
	if (l->requests_per_s && l->requests.level < 1) {
		*retry_after_ms = bucket_wait_ms(&l->requests, 1, rate);
		return BCT_REFUSE_RATE_LIMIT;
	}
	/* The level may go below zero, so that one request larger than the bucket can pass. */
	if (l->tokens_per_s && l->tokens.level <= 0) {
		*retry_after_ms = bucket_wait_ms(&l->tokens, 1, token_rate);
		return BCT_REFUSE_TOKEN_LIMIT;
	}
	if (l->concurrent && l->running + 1 > l->allowed + 0.5) {
		*retry_after_ms = LIMIT_CONCURRENCY_RETRY_MS;
		return BCT_REFUSE_CONCURRENCY_LIMIT;
	}
	l->requests.level -= 1;
	l->tokens.level -= (double)cost_tokens;
	l->running++;
	return BCT_REFUSE_NONE;
}

void bct_limit_release(bct_limit_t *l, int64_t refund_tokens)
{
	if (l->running)
		l->running--;
	l->tokens.level += (double)refund_tokens;
}

static double smooth(double old, double latest)
{
	return old + LIMIT_DEMAND_SMOOTHING * (latest - old);
}

void bct_limit_publish(bct_limit_t *l, bct_time_t now, int64_t v[4])
{
	double dt_s = (double)(now - l->published_at) / BCT_MS_PER_S;

	if (dt_s > 0) {
		l->demand_per_s = smooth(l->demand_per_s, l->offered / dt_s);
		l->demand_tokens_per_s =
			smooth(l->demand_tokens_per_s, (double)l->offered_tokens / dt_s);
		l->offered = 0;
		l->offered_tokens = 0;
		l->published_at = now;
	}
	l->published_per_s = l->demand_per_s;
	l->published_running = l->running;
	v[0] = (int64_t)(l->demand_per_s * 1000);
	v[1] = (int64_t)l->demand_tokens_per_s;
	v[2] = l->running;
	v[3] = 0;
}

void bct_limit_total(bct_limit_t *l, bct_time_t now, const int64_t v[4], uint32_t age_ms,
		     const bct_limit_fleet_t *f)
{
	double total_per_s = (double)v[0] / 1000;
	double own = l->published_per_s + LIMIT_DEMAND_FLOOR;
	double present = (double)f->nodes / f->held;
	double room;

	if (age_ms > BCT_LIMIT_TOTAL_MAX_AGE_MS)
		return;
	/* The buckets earned at the old share up to now. */
	bucket_fill(&l->requests, now, l->requests_per_s * l->share);
	bucket_fill(&l->tokens, now, l->tokens_per_s * l->share);
	total_per_s = fmax(total_per_s, l->published_per_s) + LIMIT_DEMAND_FLOOR * f->nodes;
	l->share = fmin(1, own / total_per_s) * present;
	room = fmax(0, l->concurrent * present - (double)v[2]);
	l->allowed = l->published_running + room * l->share;
	/* Where all shares round to nothing, the nodes take turns by the second. */
	if (l->allowed < 0.5 && room >= 1 &&
	    (uint64_t)(now / BCT_MS_PER_S) % f->nodes == f->rank % f->nodes)
		l->allowed = 1;
}

bool bct_limit_idle(const bct_limit_t *l)
{
	return !l->offered && !l->running && l->demand_per_s < LIMIT_DEMAND_IDLE;
}
