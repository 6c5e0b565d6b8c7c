/*
 * limit.c - a sliding window and a token bucket per rate, both at this node's share of the rate.
 */
#include "policy/limit.h"

#include <math.h>

#define LIMIT_DEMAND_SMOOTHING 0.08 /* weight of the latest publish interval, about 1 s */
#define LIMIT_DEMAND_MIN_PER_S 0.02 /* requests/s that an idle node is assumed to offer */
#define LIMIT_CONCURRENCY_RETRY_MS 250
#define LIMIT_DEMAND_IDLE_PER_S 0.001 /* requests/s; smaller smoothed demand counts as none */
#define LIMIT_RATE_MIN_PER_S 0.001    /* tokens/s or requests/s; keeps computed waits finite */
#define LIMIT_LEVEL_FULL 1e15	      /* clamped to the bucket's size at its first use */
#define LIMIT_RETRY_MAX_MS 3600000.0

void bct_limit_init(bct_limit_t *l, bct_time_t now, const bct_limit_fleet_t *f)
{
	*l = (bct_limit_t){ .share = 1.0 / f->held };
	l->requests.filled_at = l->tokens.filled_at = now;
	l->published_at = l->share_updated_at = now;
	l->requests.level = 1;
	l->tokens.level = LIMIT_LEVEL_FULL;
}

void bct_limit_set(bct_limit_t *l, uint32_t requests_per_s, uint32_t tokens_per_s,
		   uint32_t concurrent)
{
	/* allowed derives from the old limit and perhaps from a fleet total, so it is scaled. */
	if (!l->concurrent)
		l->allowed = fmax(1, concurrent * l->share);
	else if (concurrent)
		l->allowed *= (double)concurrent / l->concurrent;
	l->requests_per_s = requests_per_s;
	l->tokens_per_s = tokens_per_s;
	l->concurrent = concurrent;
}

static double meter_cap(double rate_per_s)
{
	return fmax(1, rate_per_s * BCT_LIMIT_BURST_MS / BCT_MS_PER_S);
}

static void meter_advance(bct_meter_t *m, bct_time_t now, double rate_per_s)
{
	int64_t slot = now / BCT_LIMIT_SLOT_MS;

	if (slot - m->slot > BCT_LIMIT_SLOTS)
		m->slot = slot - BCT_LIMIT_SLOTS;
	while (m->slot < slot) {
		double *oldest = &m->used[++m->slot % BCT_LIMIT_SLOTS];

		m->sum -= *oldest;
		*oldest = 0;
	}
	if (now > m->filled_at)
		m->level += rate_per_s * (double)(now - m->filled_at) / BCT_MS_PER_S;
	m->level = fmin(m->level, meter_cap(rate_per_s));
	m->filled_at = now;
}

static void meter_use(bct_meter_t *m, double amount)
{
	m->used[m->slot % BCT_LIMIT_SLOTS] += amount;
	m->sum += amount;
	m->level -= amount;
}

/* Time until enough slots have left the window for need to fit into max_sum. */
static uint32_t meter_window_ms(const bct_meter_t *m, bct_time_t now, double need, double max_sum)
{
	double sum = m->sum;
	int64_t slot = m->slot < BCT_LIMIT_SLOTS ? 0 : m->slot - BCT_LIMIT_SLOTS + 1;

	while (slot < m->slot && sum + need > max_sum)
		sum -= m->used[slot++ % BCT_LIMIT_SLOTS];
	return (uint32_t)((slot + BCT_LIMIT_SLOTS - 1) * BCT_LIMIT_SLOT_MS - now);
}

/*
 * Returns 0 if need fits now, else the time until it will. A window always has room for need
 * itself: otherwise an account whose limit is below one unit per window could never send anything.
 */
static uint32_t meter_wait_ms(const bct_meter_t *m, bct_time_t now, double need, double rate_per_s)
{
	double max_sum = fmax(need, rate_per_s * BCT_LIMIT_WINDOW_MS / BCT_MS_PER_S);
	uint32_t wait_ms = 0, window_ms;

	if (m->level < need)
		wait_ms = (uint32_t)fmin(1 + (need - m->level) * BCT_MS_PER_S /
							 fmax(rate_per_s, LIMIT_RATE_MIN_PER_S),
					 LIMIT_RETRY_MAX_MS);
	if (m->sum + need <= max_sum)
		return wait_ms;
	window_ms = meter_window_ms(m, now, need, max_sum);
	return window_ms > wait_ms ? window_ms : wait_ms;
}

bct_refuse_t bct_limit_take(bct_limit_t *l, bct_time_t now, int64_t cost_tokens,
			    uint32_t *retry_after_ms)
{
	double rate = l->requests_per_s * l->share;
	double token_rate = l->tokens_per_s * l->share;
	uint32_t wait_ms;

	l->offered++;
	l->offered_tokens += (uint64_t)cost_tokens;
	meter_advance(&l->requests, now, rate);
	meter_advance(&l->tokens, now, token_rate);
	wait_ms = l->requests_per_s ? meter_wait_ms(&l->requests, now, 1, rate) : 0;
	if (wait_ms) {
		*retry_after_ms = wait_ms;
		return BCT_REFUSE_RATE_LIMIT;
	}
	/* Room for one token suffices: a request larger than the bucket is admitted on credit. */
	wait_ms = l->tokens_per_s ? meter_wait_ms(&l->tokens, now, 1, token_rate) : 0;
	if (wait_ms) {
		*retry_after_ms = wait_ms;
		return BCT_REFUSE_TOKEN_LIMIT;
	}
	if (l->concurrent && l->running + 1 > l->allowed + 0.5) {
		*retry_after_ms = LIMIT_CONCURRENCY_RETRY_MS;
		return BCT_REFUSE_CONCURRENCY_LIMIT;
	}
	meter_use(&l->requests, 1);
	meter_use(&l->tokens, (double)cost_tokens);
	l->running++;
	return BCT_REFUSE_NONE;
}

void bct_limit_release(bct_limit_t *l, int64_t refund_tokens)
{
	if (l->running)
		l->running--;
	meter_use(&l->tokens, -(double)refund_tokens);
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

/*
 * The share in proportion to demand. What the account leaves unused is split evenly, because the
 * next request may arrive at any node.
 */
static double limit_share(const bct_limit_t *l, double local_per_s, double total_per_s,
			  uint32_t nodes)
{
	double spare = fmax(0, l->requests_per_s - total_per_s);

	return fmin(1, (local_per_s + spare / nodes) / (total_per_s + spare));
}

void bct_limit_total(bct_limit_t *l, bct_time_t now, const int64_t v[4], uint32_t age_ms,
		     const bct_limit_fleet_t *f)
{
	double total_per_s = (double)v[0] / 1000;
	double local_per_s = l->published_per_s + LIMIT_DEMAND_MIN_PER_S;
	double live_fraction = (double)f->nodes / f->held;
	double share, max_share, free_concurrent;

	if (age_ms > BCT_LIMIT_TOTAL_MAX_AGE_MS)
		return;
	/* Until now, the buckets fill at the old share. */
	meter_advance(&l->requests, now, l->requests_per_s * l->share);
	meter_advance(&l->tokens, now, l->tokens_per_s * l->share);
	total_per_s = fmax(total_per_s, l->published_per_s) + LIMIT_DEMAND_MIN_PER_S * f->nodes;
	share = limit_share(l, local_per_s, total_per_s, f->nodes) * live_fraction;
	/*
	 * What other nodes admitted recently still counts in the fleet's window, so a share that
	 * moves to this node grows slowly.
	 */
	max_share = l->share + BCT_LIMIT_SHARE_GROWTH_PER_S * (double)(now - l->share_updated_at) /
				       BCT_MS_PER_S;
	l->share = fmin(share, max_share);
	l->share_updated_at = now;
	free_concurrent = fmax(0, l->concurrent * live_fraction - (double)v[2]);
	l->allowed = l->published_running + free_concurrent * l->share;
	/* If no node's share amounts to a whole request, the nodes take turns of one second. */
	if (l->allowed < 0.5 && free_concurrent >= 1 &&
	    (uint64_t)(now / BCT_MS_PER_S) % f->nodes == f->rank % f->nodes)
		l->allowed = 1;
}

bool bct_limit_idle(const bct_limit_t *l)
{
	return !l->offered && !l->running && l->demand_per_s < LIMIT_DEMAND_IDLE_PER_S;
}
