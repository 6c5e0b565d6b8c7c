/*
 * batch.h - a model of an engine's continuous batching: jobs wait for a slot, are prefilled one
 * after another and then decode concurrently, each one token per interval.
 */
#ifndef BCT_STANDIN_BATCH_H
#define BCT_STANDIN_BATCH_H

#include "base/clock.h"
#include "base/list.h"
#include "standin/prefix_cache.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_BATCH_TIERS 5
#define BCT_JOB_BLOCKS 256 /* longest prefix that is looked up in the cache, in blocks */

typedef struct bct_job {
	bct_list_t link; /* in waiting or running; empty when removed */
	uint64_t seq;	 /* order of arrival */
	uint64_t prompt_key;
	uint32_t prompt_tokens;
	uint32_t resume_from; /* index of the first token of this attempt */
	uint32_t index;	      /* of the next token to generate */
	uint32_t len;	      /* tokens in the complete answer */
	uint8_t tier;	      /* 1 (most important) to 5 */
	bool started;	      /* it got its first slot */
	bool running;
	bool ended;			 /* its last token has been generated */
	bool poison;			 /* crashes the engine at its first token */
	bool kv_imported;		 /* the prompt's KV cache is imported, not computed */
	double next_ms;			 /* monotonic time at which its next token is due */
	uint64_t blocks[BCT_JOB_BLOCKS]; /* hashes of the prompt's leading blocks */
	uint32_t n_blocks;
	void *user;
} bct_job_t;

typedef struct bct_batch_ops {
	void (*start)(bct_job_t *j); /* j got its first slot */
	void (*token)(bct_job_t *j); /* j generated a token, or ended; may remove jobs */
} bct_batch_ops_t;

typedef struct bct_batch_stats {
	uint64_t runs;	 /* jobs that got a slot */
	uint64_t tokens; /* generated */
	uint64_t prefill_tokens;
	uint64_t cached_tokens; /* prompt tokens whose prefill the cache saved */
	uint64_t preemptions;
	uint64_t abandoned; /* jobs removed before their end */
	uint64_t abandoned_tokens;
	uint64_t abandoned_tokens_by_tier[BCT_BATCH_TIERS];
	uint64_t tokens_by_tier[BCT_BATCH_TIERS];
	uint64_t resumed_tokens; /* tokens that resumed jobs did not have to regenerate */
} bct_batch_stats_t;

typedef struct bct_batch {
	const bct_batch_ops_t *ops;
	bct_list_t waiting; /* in order of arrival or preemption */
	bct_list_t running;
	uint32_t n_waiting;
	uint32_t n_running;
	int slots; /* jobs that may run at once */
	int prefill_tokens_per_s;
	int decode_tokens_per_s; /* of one stream */
	int honours_priority;	 /* schedule and preempt by tier */
	int64_t slow_percent;	 /* of the configured time per token; 100: not slowed */
	uint64_t next_seq;
	double prefill_free_ms; /* time at which the prefill unit is free */
	bct_prefix_cache_t cache;
	bct_batch_stats_t stats;
} bct_batch_t;

void bct_batch_init(bct_batch_t *b, const bct_batch_ops_t *ops);

/* bct_batch_add(3): queue a job. */
void bct_batch_add(bct_batch_t *b, bct_job_t *j);

/* bct_batch_remove(3): remove a job; one that has not ended counts as abandoned. */
void bct_batch_remove(bct_batch_t *b, bct_job_t *j);

/*
 * bct_batch_run(3): do the work due by now.
 *
 * returns  the time of the next token, or BCT_TIME_NEVER
 */
bct_time_t bct_batch_run(bct_batch_t *b, bct_time_t now);

/* bct_batch_kv_tokens(3): tokens in the KV cache of running jobs. */
uint64_t bct_batch_kv_tokens(const bct_batch_t *b);

/* bct_batch_waiting_tokens(3): prompt tokens of all waiting jobs. */
uint64_t bct_batch_waiting_tokens(const bct_batch_t *b);

/* bct_batch_running_by_tier(3): number of running jobs of each tier. */
void bct_batch_running_by_tier(const bct_batch_t *b, uint32_t out[BCT_BATCH_TIERS]);

#endif
