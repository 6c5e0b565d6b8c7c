/*
 * limit.h - the limits of one client account, enforced over all nodes without a call to another
 * node.
 *
 * Each node may use a share of each limit. Shares follow the demand that the nodes publish: each
 * node divides its own demand by the same total, so the shares add up to 1. See docs/DESIGN.md,
 * "Limits", for the overshoot in a partition and after the death of a node.
 */
#ifndef BCT_POLICY_LIMIT_H
#define BCT_POLICY_LIMIT_H

#include "base/clock.h"
#include "policy/reason.h"

#include <stdbool.h>
#include <stdint.h>

/* An older total does not describe the present load; the last share stays in force. */
#define BCT_LIMIT_TOTAL_MAX_AGE_MS 5000
/* How long nodes that vanished are still assumed to use their shares. */
#define BCT_LIMIT_HOLD_MS 60000
/* In any window of this length, no more is admitted than the rate allows for it. */
#define BCT_LIMIT_WINDOW_MS 10000
#define BCT_LIMIT_SLOT_MS 500 /* resolution of the sliding window */
#define BCT_LIMIT_SLOTS (BCT_LIMIT_WINDOW_MS / BCT_LIMIT_SLOT_MS + 1)
/* Size of the token bucket, as the time that fills it at the full rate. */
#define BCT_LIMIT_BURST_MS 5000
/* Maximum growth of a share per second; a decrease takes effect at once. */
#define BCT_LIMIT_SHARE_GROWTH_PER_S 0.1

/* A sliding window of admitted amounts, divided into slots, and a token bucket for bursts. */
typedef struct bct_meter {
	double used[BCT_LIMIT_SLOTS]; /* ring, by slot number */
	double sum;		      /* of used */
	int64_t slot;		      /* number of the latest slot, counted from time 0 */
	double level;		      /* of the token bucket; below 0: in debt */
	bct_time_t filled_at;
} bct_meter_t;

typedef struct bct_limit {
	uint32_t requests_per_s; /* 0: no limit, as for the next two */
	uint32_t tokens_per_s;
	uint32_t concurrent;
	double share;	/* of both rates that this node may use, 0 to 1 */
	double allowed; /* concurrent requests on this node */
	bct_meter_t requests;
	bct_meter_t tokens;
	uint32_t running;    /* admitted and not yet released */
	double demand_per_s; /* requests offered, admitted or not; smoothed */
	double demand_tokens_per_s;
	uint32_t offered; /* requests since the last publish */
	uint64_t offered_tokens;
	double published_per_s; /* demand_per_s as last published */
	uint32_t published_running;
	bct_time_t published_at;
	bct_time_t share_updated_at; /* when the share was last computed */
} bct_limit_t;

/* The fleet as a node sees it when it computes a share. */
typedef struct bct_limit_fleet {
	uint32_t nodes; /* live */
	uint32_t held;	/* live, or vanished for less than BCT_LIMIT_HOLD_MS; at least nodes */
	uint32_t rank;	/* of this node among the live ones, from 0 */
} bct_limit_fleet_t;

/* bct_limit_init(3): set up limits. Before the first total, the share is 1 / f->held. */
void bct_limit_init(bct_limit_t *l, bct_time_t now, const bct_limit_fleet_t *f);

/* bct_limit_set(3): apply the limits of the configuration in force; 0: no limit. */
void bct_limit_set(bct_limit_t *l, uint32_t requests_per_s, uint32_t tokens_per_s,
		   uint32_t concurrent);

/*
 * bct_limit_take(3): admit one request and charge it.
 *
 * cost_tokens     predicted prompt and output tokens
 * retry_after_ms  set on refusal: time until it would be admitted if no other request arrived
 * returns         BCT_REFUSE_NONE, or RATE_LIMIT, TOKEN_LIMIT or CONCURRENCY_LIMIT
 */
bct_refuse_t bct_limit_take(bct_limit_t *l, bct_time_t now, int64_t cost_tokens,
			    uint32_t *retry_after_ms);

/*
 * bct_limit_release(3): end an admitted request.
 *
 * refund_tokens  charged tokens that it did not use; negative if it used more
 */
void bct_limit_release(bct_limit_t *l, int64_t refund_tokens);

/* bct_limit_publish(3): update the smoothed demand and return it in v, as in BCT_ITEM_ACCOUNT. */
void bct_limit_publish(bct_limit_t *l, bct_time_t now, int64_t v[4]);

/*
 * bct_limit_total(3): apply the fleet's total: recompute this node's share.
 *
 * v       the sums of the values of BCT_ITEM_ACCOUNT over all nodes, this one included
 * age_ms  age of the oldest partial sum in it
 */
void bct_limit_total(bct_limit_t *l, bct_time_t now, const int64_t v[4], uint32_t age_ms,
		     const bct_limit_fleet_t *f);

/* bct_limit_idle(3): whether there is no demand to publish. */
bool bct_limit_idle(const bct_limit_t *l);

#endif
