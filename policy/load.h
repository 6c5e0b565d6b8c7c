/*
 * load.h - how full one upstream is, from its lagging reports, from what this node sent since and
 * from what the other nodes say that they have there. Old news never makes an upstream look idle:
 * what others hold stays as last heard until newer news comes.
 */
#ifndef BCT_POLICY_LOAD_H
#define BCT_POLICY_LOAD_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_LOAD_HISTORY 48
#define BCT_LOAD_HISTORY_STEP_MS 100

/* What this node had at the upstream at one time. */
typedef struct bct_load_sample {
	bct_time_t at;
	uint32_t local;
	int64_t prefill_tokens;
} bct_load_sample_t;

typedef struct bct_load {
	uint32_t slots;
	uint32_t local;		/* attempts of this node that have not ended */
	int64_t prefill_tokens; /* prompts of those without a first token */
	uint32_t others;	/* attempts of others, as last heard */
	int64_t others_prefill_tokens;
	bct_time_t others_at; /* the time that this describes */
	uint32_t published;   /* own, as the others were told */
	uint32_t quota;	      /* how many attempts this node may have there */
	bct_load_sample_t history[BCT_LOAD_HISTORY];
	uint32_t n_history; /* samples ever taken; the latest ones are kept */
} bct_load_t;

void bct_load_init(bct_load_t *l, uint32_t slots);

/* bct_load_sent(3), bct_load_first_token(3), bct_load_ended(3): the life of one attempt. */
void bct_load_sent(bct_load_t *l, bct_time_t now, uint32_t prompt_tokens);
void bct_load_first_token(bct_load_t *l, bct_time_t now, uint32_t prompt_tokens);
void bct_load_ended(bct_load_t *l, bct_time_t now, uint32_t prompt_tokens, bool had_first_token);

/*
 * bct_load_report(3): the upstream's own report.
 *
 * at              the time that it describes
 * busy            requests running and waiting there
 * waiting_tokens  prompt tokens not yet prefilled there
 */
void bct_load_report(bct_load_t *l, bct_time_t at, uint32_t busy, uint32_t waiting_tokens);

/* bct_load_fleet_total(3): the fleet's total of attempts there, this node's published ones
 * included. */
void bct_load_fleet_total(bct_load_t *l, bct_time_t at, uint32_t total);

/*
 * bct_load_set_quota(3): set the quota by this node's part of the upstream.
 *
 * share  0 to 1
 * rounding   uniform in [0, 1); rounds fractions, so that many small shares add up rightly
 */
void bct_load_set_quota(bct_load_t *l, double share, double rounding);

/* bct_load_room(3): slots that nobody is known to use. */
uint32_t bct_load_room(const bct_load_t *l);

/* bct_load_free(3): how many more attempts this node may send now. */
uint32_t bct_load_free(const bct_load_t *l);

#endif
