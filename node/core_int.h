/*
 * core_int.h - inside the core. All functions but the attempt events are called with its lock held.
 */
#ifndef BCT_NODE_CORE_INT_H
#define BCT_NODE_CORE_INT_H

#include "base/hash.h"
#include "node/core.h"

#include <pthread.h>

#define BCT_CORE_BUCKETS 4096
#define BCT_CLAIM_RETRY_MS 1000

struct bct_core {
	const bct_settings_t *settings;
	bct_log_t *log;
	bct_stats_t stats;
	bct_upstream_pool_t *pool;
	bct_claim_ops_t claims;
	uint64_t incarnation;
	uint64_t last_id;
	pthread_t timer;
	bool timer_started;

	pthread_mutex_t lock;
	/* All below under lock. */
	pthread_cond_t wake;
	bool stop;
	bct_time_t timer_wake; /* when the timer thread looks again by itself */
	bct_sched_t *sched;
	bct_conf_t *conf;
	bct_time_t conf_since;
	uint32_t in_flight;
	bct_list_t buckets[BCT_CORE_BUCKETS];
};

/* The request table. */
bct_list_t *bct_core_bucket(bct_core_t *c, uint64_t req_id);
bct_request_t *bct_core_find(bct_core_t *c, uint64_t req_id);

/* Takes an ended request off the table and gives up the table's reference. */
void bct_core_retire(bct_core_t *c, bct_request_t *r);

/* Whether a request may be sent only after its key was claimed. */
bool bct_core_needs_claim(const bct_core_t *c, const bct_request_t *r);

/* Gives a request its final answer; what becomes of its key follows from whether it may have run.
 */
void bct_core_refuse(bct_core_t *c, bct_request_t *r, bct_refuse_t why, bct_run_t run,
		     uint32_t retry_after_ms);

/* Tells the scheduler of an attempt that never started. */
void bct_core_attempt_not_started(bct_core_t *c, uint64_t attempt_id, bct_outcome_t outcome);

/* Starts the attempt that the scheduler chose; its first byte is out by send_before or never. */
void bct_core_send(bct_core_t *c, bct_request_t *r, const bct_action_t *act,
		   bct_time_t send_before);

/* Carries out whatever the scheduler has decided. */
void bct_core_run_actions(bct_core_t *c);

/* Events of the upstream workers; they take the lock themselves. */
void bct_core_on_sent(void *ctx, bct_attempt_t *a);
void bct_core_on_tokens(void *ctx, bct_attempt_t *a, uint32_t total);
void bct_core_on_end(void *ctx, bct_attempt_t *a, const bct_attempt_end_t *end);

#endif
