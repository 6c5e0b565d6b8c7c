/*
 * core.h - the node's shared state: the scheduler, the table of requests, and the code that
 * carries out the scheduler's actions. Caller connections, upstream workers and peer callbacks all
 * use it, under one lock.
 *
 * Lock order: core lock, then a request's lock, then the statistics' lock.
 */
#ifndef BCT_NODE_CORE_H
#define BCT_NODE_CORE_H

#include "base/event.h"
#include "gen/settings.h"
#include "node/request.h"
#include "node/stats.h"
#include "node/upstream.h"
#include "policy/sched.h"

typedef struct bct_core bct_core_t;

/*
 * Claims of idempotency keys. A request that has a key and is not repeatable may be sent only after
 * its key was claimed. node/node_keys.h implements the operations over the platform's log. They are
 * called with the core lock held and must not block.
 */
typedef struct bct_claim_ops {
	/*
	 * Whether the key is already in use, or not known to be free because the log is still being
	 * read. Such a request is answered without being queued.
	 */
	bool (*taken)(void *ctx, const bct_request_t *r);
	/*
	 * Whether the caller may be answered not_run, which it applies to all its sends of the key.
	 * False if an earlier send of this request may have run.
	 */
	bool (*confirms_not_run)(void *ctx, const bct_request_t *r);
	/*
	 * Starts a claim and sets r->intent. The result is delivered by bct_core_claim_result() or
	 * bct_core_replay(). returns 0, or a negative error: no result follows
	 */
	int (*claim)(void *ctx, bct_request_t *r);
	/* Whether the request's won intent still owns its key. */
	bool (*may_send)(void *ctx, const bct_request_t *r);
	/* Stores the answer: r->status, r->answer_type, r->out. */
	void (*finish)(void *ctx, const bct_request_t *r);
	/* Frees the key: the request certainly has not run and will not run. */
	void (*withdraw)(void *ctx, const bct_request_t *r);
	/* Leaves the key in doubt: the request may have run, and its outcome will not be known. */
	void (*abandon)(void *ctx, const bct_request_t *r);
	void *ctx;
} bct_claim_ops_t;

typedef struct bct_core_opts {
	const bct_settings_t *settings;
	uint64_t incarnation; /* of this node's process */
	bct_log_t *log;
	bct_sched_t *(*make_sched)(const bct_sched_opts_t *opts); /* NULL: bct_sched_new */
} bct_core_opts_t;

/* bct_core_new(3): start the core's threads. returns 0 or a negative error. */
int bct_core_new(const bct_core_opts_t *opts, bct_core_t **out);

/* bct_core_free(3): call it after bct_core_stop(), when no request is in flight. */
void bct_core_free(bct_core_t *c);

/* bct_core_stop(3): stop the timer thread and the upstream workers. */
void bct_core_stop(bct_core_t *c);

bct_stats_t *bct_core_stats(bct_core_t *c);
bct_log_t *bct_core_log(bct_core_t *c);

/* bct_core_set_claims(3): set the claim operations; ops is copied. */
void bct_core_set_claims(bct_core_t *c, const bct_claim_ops_t *ops);

/* bct_core_configure(3): put a configuration in force. returns 0 or -BCT_ENOMEM. */
int bct_core_configure(bct_core_t *c, bct_conf_t *conf);

/* bct_core_conf(3): returns a new reference to the configuration in force; NULL: there is none. */
bct_conf_t *bct_core_conf(bct_core_t *c);

/* bct_core_conf_since(3): when the configuration was put in force, by the wall clock. */
bct_time_t bct_core_conf_since(bct_core_t *c);

/* bct_core_next_id(3): returns a new request id, unique over nodes and restarts. */
uint64_t bct_core_next_id(bct_core_t *c);

/* bct_core_submit(3): accept a request. returns 0, or the scheduler's error: not accepted. */
int bct_core_submit(bct_core_t *c, bct_request_t *r);

/*
 * bct_core_caller_disconnected(3): the caller disconnected. Its upstream work is cancelled, unless
 * the request is keyed and may have been sent: then it continues to its outcome.
 */
void bct_core_caller_disconnected(bct_core_t *c, uint64_t req_id);

/*
 * bct_core_claim_result(3): deliver the result of a claim.
 *
 * why             NONE: the claim was won and the request may be sent; else the reason to refuse it
 * run             for a refusal: whether the request may have run
 * retry_after_ms  for a refusal: hint to the caller
 * send_before     for a won claim: no byte may be sent after this time
 * returns         false if the request has ended; its claim was ended with it
 */
bool bct_core_claim_result(bct_core_t *c, uint64_t req_id, bct_refuse_t why, bct_run_t run,
			   uint32_t retry_after_ms, bct_time_t send_before);

/*
 * bct_core_replay(3): answer a request with the stored answer of its key.
 *
 * status  HTTP status
 */
void bct_core_replay(bct_core_t *c, uint64_t req_id, int status, const char *content_type,
		     const void *body, uint32_t len_bytes);

/* Pass reports of engines and messages of other nodes to the scheduler, under the lock. */
void bct_core_report(bct_core_t *c, const bct_report_t *r);
void bct_core_cache_event(bct_core_t *c, const bct_cache_event_t *e);
void bct_core_total(bct_core_t *c, const bct_total_t *t);
void bct_core_fleet(bct_core_t *c, const bct_fleet_t *f);
void bct_core_leaving(bct_core_t *c, uint64_t upstream_key, bool leaving);

/* bct_core_publish(3): the items to send to the other nodes. returns their number, at most max. */
uint32_t bct_core_publish(bct_core_t *c, bct_item_t *out, uint32_t max);

/* bct_core_refuse_all(3): refuse all requests in flight, for a stop that does not drain. */
void bct_core_refuse_all(bct_core_t *c, bct_refuse_t why);

/* bct_core_in_flight(3): returns the number of requests that have not ended. */
uint32_t bct_core_in_flight(bct_core_t *c);

#endif
