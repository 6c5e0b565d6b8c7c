/*
 * load.h - the load of one upstream, estimated from its delayed reports, from what this node sent
 * since then, and from the attempts that other nodes publish.
 *
 * An outdated report never makes an upstream look idle: the load of other nodes keeps its latest
 * known value until a newer one is received.
 */
#ifndef BCT_POLICY_LOAD_H
#define BCT_POLICY_LOAD_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_LOAD_HISTORY 48
#define BCT_LOAD_HISTORY_STEP_MS 100

/* The load of this node at the upstream at one time. */
typedef struct bct_load_sample {
	bct_time_t at;
	uint32_t local;
	int64_t prefill_tokens;
} bct_load_sample_t;

typedef struct bct_load {
	uint32_t slots;
	uint32_t local;		/* attempts of this node that have not ended */
	int64_t prefill_tokens; /* prompt tokens of those that have no first token yet */
	uint32_t others;	/* attempts of all others, latest known value */
	int64_t others_prefill_tokens;
	bct_time_t others_at;	/* time that the load of others describes */
	bool others_from_total; /* it was computed from a fleet total, not reported */
	uint32_t published;	/* local, as last published to the other nodes */
	uint32_t quota;		/* attempts that this node may run there */
	bct_load_sample_t history[BCT_LOAD_HISTORY];
	uint32_t n_history; /* samples taken so far; the ring keeps the latest ones */
} bct_load_t;

void bct_load_init(bct_load_t *l, uint32_t slots);

/*
 * bct_load_sent(3), bct_load_first_token(3), bct_load_ended(3): an attempt was sent, produced its
 * first token, ended.
 *
 * prompt_tokens  to prefill; the same value in all calls for one attempt
 */
void bct_load_sent(bct_load_t *l, bct_time_t now, uint32_t prompt_tokens);
void bct_load_first_token(bct_load_t *l, bct_time_t now, uint32_t prompt_tokens);
void bct_load_ended(bct_load_t *l, bct_time_t now, uint32_t prompt_tokens, bool had_first_token);

/*
 * bct_load_report(3): apply a report of the upstream; one older than the latest is ignored.
 *
 * at              the time that it describes
 * busy            requests running and waiting there
 * waiting_tokens  prompt tokens not yet prefilled there
 */
void bct_load_report(bct_load_t *l, bct_time_t at, uint32_t busy, uint32_t waiting_tokens);

/*
 * bct_load_fleet_total(3): apply the fleet's total of attempts there; an outdated one is ignored.
 *
 * at     the time that it describes
 * total  attempts of all nodes, the published ones of this node included
 */
void bct_load_fleet_total(bct_load_t *l, bct_time_t at, uint32_t total);

/*
 * bct_load_is_shared(3): whether this node publishes its attempts there: while it has any, once
 * more with none, and as long as it counts attempts of others by a total. Only a node that
 * publishes an item is sent totals, and without the next one that count would stay for good.
 */
bool bct_load_is_shared(const bct_load_t *l);

/*
 * bct_load_set_quota(3): set the quota from this node's share of the upstream.
 *
 * share     0 to 1
 * rounding  uniform in [0, 1); rounds fractions at random, so that many small shares add up to
 *           the slots
 */
void bct_load_set_quota(bct_load_t *l, double share, double rounding);

/* bct_load_room(3): slots that no attempt is known to use. */
uint32_t bct_load_room(const bct_load_t *l);

/* bct_load_free(3): how many more attempts this node may send now; 0 at its quota. */
uint32_t bct_load_free(const bct_load_t *l);

#endif
