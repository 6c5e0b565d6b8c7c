/*
 * core_int.h - internals of the core. All functions except the attempt events are called with the
 * core lock held.
 */
#ifndef BCT_NODE_CORE_INT_H
#define BCT_NODE_CORE_INT_H

#include "base/hash.h"
#include "node/core.h"
#include "node/room.h"

#include <pthread.h>

#define BCT_CORE_BUCKETS 4096
#define BCT_CLAIM_RETRY_MS 1000 /* retry-after of a keyed request that could not be sent */

struct bct_core {
	const bct_settings_t *settings;
	bct_log_t *log;
	bct_stats_t stats;
	bct_upstream_pool_t *pool;
	bct_claim_ops_t claims;
	bct_room_t answer_room;
	uint64_t incarnation;
	uint64_t last_id; /* atomic; number of ids given out */
	pthread_t timer;
	bool timer_started;

	pthread_mutex_t lock;
	/* All below under lock. */
	pthread_cond_t wake; /* of the timer thread */
	bool stop;
	bct_time_t timer_wake; /* end of the timer thread's current wait */
	bct_sched_t *sched;
	bct_conf_t *conf;
	bct_time_t conf_since;
	uint32_t in_flight;
	bct_list_t buckets[BCT_CORE_BUCKETS];
};

/* The table of requests, by the hash of their id. bct_core_find() returns NULL if there is none. */
bct_list_t *bct_core_bucket(bct_core_t *c, uint64_t req_id);
bct_request_t *bct_core_find(bct_core_t *c, uint64_t req_id);

/*
 * Removes an ended request from the table, counts and logs it, and drops the table's reference.
 * Does nothing if the request was removed before.
 */
void bct_core_retire(bct_core_t *c, bct_request_t *r);

/* Whether a request must not be sent before its key is claimed. */
bool bct_core_needs_claim(const bct_core_t *c, const bct_request_t *r);

/*
 * Ends a request by a refusal. A claimed key is withdrawn if the request certainly did not run;
 * else it is abandoned and stays in doubt.
 */
void bct_core_refuse(bct_core_t *c, bct_request_t *r, bct_refuse_t why, bct_run_t run,
		     uint32_t retry_after_ms);

/* Reports to the scheduler the end of an attempt that was never started. */
void bct_core_attempt_not_started(bct_core_t *c, uint64_t attempt_id, bct_outcome_t outcome);

/* Starts an attempt that the scheduler dispatched. No byte is sent after send_before. */
void bct_core_send(bct_core_t *c, bct_request_t *r, const bct_action_t *act,
		   bct_time_t send_before);

/* Carries out all actions that the scheduler has pending. */
void bct_core_run_actions(bct_core_t *c);

/* Events of the upstream workers; they take the core lock themselves. */
void bct_core_on_sent(void *ctx, bct_attempt_t *a);
void bct_core_on_tokens(void *ctx, bct_attempt_t *a, uint32_t total);
void bct_core_on_end(void *ctx, bct_attempt_t *a, const bct_attempt_end_t *end);

#endif
