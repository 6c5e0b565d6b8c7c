/*
 * limit.h - the limits of one client account, held over all nodes without asking any of them.
 *
 * A node may use a share of each limit. Shares follow the demand that the nodes publish; as each
 * node divides its own demand by the same total, they add up to one. See docs/DESIGN.md, "Limits",
 * for the overshoot in a partition and after a node's death.
 */
#ifndef BCT_POLICY_LIMIT_H
#define BCT_POLICY_LIMIT_H

#include "base/clock.h"
#include "policy/reason.h"

#include <stdbool.h>
#include <stdint.h>

/* A total that is older says nothing of the present; the last share is kept. */
#define BCT_LIMIT_TOTAL_MAX_AGE_MS 5000
/* How long nodes that vanished are still taken to use their shares. */
#define BCT_LIMIT_HOLD_MS 60000
/* No more than the rate allows may pass in any window of this length. */
#define BCT_LIMIT_WINDOW_MS 10000
#define BCT_LIMIT_SLOT_MS 500
#define BCT_LIMIT_SLOTS (BCT_LIMIT_WINDOW_MS / BCT_LIMIT_SLOT_MS + 1)
/* Work that may come at once, as time at the full rate. */
#define BCT_LIMIT_BURST_MS 5000
/* By how much a share may grow in a second; it falls at once. */
#define BCT_LIMIT_SHARE_GROWTH_PER_S 0.1

/* What passed lately, in slots of time, and a bucket that bounds what comes at once. */
typedef struct bct_meter {
	double used[BCT_LIMIT_SLOTS];
	double sum;
	int64_t slot; /* number of the latest one since time 0 */
	double level;
	bct_time_t filled_at;
} bct_meter_t;

typedef struct bct_limit {
	uint32_t requests_per_s; /* 0: no limit; so for all three */
	uint32_t tokens_per_s;
	uint32_t concurrent;
	double share;	/* of the two rates, 0 to 1 */
	double allowed; /* requests at once on this node */
	bct_meter_t requests;
	bct_meter_t tokens;
	uint32_t running;
	double demand_per_s; /* offered requests, smoothed */
	double demand_tokens_per_s;
	uint32_t offered; /* since the last publish */
	uint64_t offered_tokens;
	double published_per_s;
	uint32_t published_running;
	bct_time_t published_at;
	bct_time_t share_updated_at; /* when the share was last worked out */
} bct_limit_t;

/* What a node knows of the fleet when it works out a share. */
typedef struct bct_limit_fleet {
	uint32_t nodes; /* live now */
	uint32_t held;	/* live, or vanished for less than BCT_LIMIT_HOLD_MS; at least nodes */
	uint32_t rank;
} bct_limit_fleet_t;

/* bct_limit_init(3): no total is known yet, so the share is one part in held. */
void bct_limit_init(bct_limit_t *l, bct_time_t now, const bct_limit_fleet_t *f);

/* bct_limit_set(3): the limits of the configuration in force. */
void bct_limit_set(bct_limit_t *l, uint32_t requests_per_s, uint32_t tokens_per_s,
		   uint32_t concurrent);

/*
 * bct_limit_take(3): admit one request and charge it.
 *
 * cost_tokens     predicted prompt and output tokens
 * retry_after_ms  set when it is refused: when it would be admitted if no other came
 * returns         BCT_REFUSE_NONE, or RATE_LIMIT, TOKEN_LIMIT or CONCURRENCY_LIMIT
 */
bct_refuse_t bct_limit_take(bct_limit_t *l, bct_time_t now, int64_t cost_tokens,
			    uint32_t *retry_after_ms);

/*
 * bct_limit_release(3): an admitted request ended.
 *
 * refund_tokens  charged tokens that it did not use; negative when it used more
 */
void bct_limit_release(bct_limit_t *l, int64_t refund_tokens);

/* bct_limit_publish(3): smooth the demand since the last call; v as in BCT_ITEM_ACCOUNT. */
void bct_limit_publish(bct_limit_t *l, bct_time_t now, int64_t v[4]);

/*
 * bct_limit_total(3): take in the fleet's total.
 *
 * v       the summed values of BCT_ITEM_ACCOUNT, this node's among them
 * age_ms  of its oldest part
 */
void bct_limit_total(bct_limit_t *l, bct_time_t now, const int64_t v[4], uint32_t age_ms,
		     const bct_limit_fleet_t *f);

/* bct_limit_idle(3): whether there is nothing worth publishing. */
bool bct_limit_idle(const bct_limit_t *l);

#endif
