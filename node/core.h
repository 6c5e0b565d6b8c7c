/*
 * core.h - the node's shared state: the scheduler, the request table and what carries out the
 * scheduler's actions. All workers meet here, under one lock.
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
 * The right to run a keyed request that may not be repeated; node/node_keys.h has it from the log.
 * Called with the core lock held; must not wait.
 */
typedef struct bct_claim_ops {
	/* Whether the key is taken already, so that the request needs no place in the queue. */
	bool (*taken)(void *ctx, const bct_request_t *r);
	/* Whether no send of the key is known to have run, by a view of the log that is current. */
	bool (*confirms_not_run)(void *ctx, const bct_request_t *r);
	/* Ask; the answer comes by bct_core_claim_result() or bct_core_replay(). Sets r->intent. */
	int (*claim)(void *ctx, bct_request_t *r);
	/* Whether a won intent still owns its key. */
	bool (*may_send)(void *ctx, const bct_request_t *r);
	/* The request was answered: r->status, r->answer_type, r->out. */
	void (*finish)(void *ctx, const bct_request_t *r);
	/* The request surely did not run and will not. */
	void (*withdraw)(void *ctx, const bct_request_t *r);
	/* The request may have run and its outcome will not be known. */
	void (*abandon)(void *ctx, const bct_request_t *r);
	void *ctx;
} bct_claim_ops_t;

typedef struct bct_core_opts {
	const bct_settings_t *settings;
	uint64_t incarnation;
	bct_log_t *log;
	bct_sched_t *(*make_sched)(const bct_sched_opts_t *opts); /* NULL: bct_sched_new */
} bct_core_opts_t;

int bct_core_new(const bct_core_opts_t *opts, bct_core_t **out);

/* bct_core_free(3): the workers must have been stopped and no request may be left. */
void bct_core_free(bct_core_t *c);

/* bct_core_stop(3): stop the timer and the upstream workers. */
void bct_core_stop(bct_core_t *c);

bct_stats_t *bct_core_stats(bct_core_t *c);
bct_log_t *bct_core_log(bct_core_t *c);
void bct_core_set_claims(bct_core_t *c, const bct_claim_ops_t *ops);

/* bct_core_configure(3): put a configuration in force. returns 0 or -BCT_ENOMEM. */
int bct_core_configure(bct_core_t *c, bct_conf_t *conf);

/* bct_core_conf(3): the configuration in force with a reference; NULL before the first. */
bct_conf_t *bct_core_conf(bct_core_t *c);
bct_time_t bct_core_conf_since(bct_core_t *c); /* wall clock */

/* bct_core_next_id(3): a new request id, unique over nodes and restarts. */
uint64_t bct_core_next_id(bct_core_t *c);

/* bct_core_submit(3): take a request. returns 0, or the scheduler's error: it was not taken. */
int bct_core_submit(bct_core_t *c, bct_request_t *r);

/* bct_core_caller_disconnected(3): the caller left; its upstream work is cancelled. */
void bct_core_caller_disconnected(bct_core_t *c, uint64_t req_id);

/*
 * bct_core_claim_result(3): the answer to a claim.
 *
 * refuse       NONE: the request may be sent, until send_before; otherwise it is answered so
 * returns      false if the request has ended meanwhile: a won intent must be withdrawn
 */
bool bct_core_claim_result(bct_core_t *c, uint64_t req_id, bct_refuse_t refuse, bct_run_t run,
			   uint32_t retry_after_ms, bct_time_t send_before);

/* bct_core_replay(3): answer a request with a kept answer. */
void bct_core_replay(bct_core_t *c, uint64_t req_id, int status, const char *content_type,
		     const void *body, uint32_t len_bytes);

/* Observations and the other nodes' facts, handed to the scheduler under the lock. */
void bct_core_report(bct_core_t *c, const bct_report_t *r);
void bct_core_cache_event(bct_core_t *c, const bct_cache_event_t *e);
void bct_core_total(bct_core_t *c, const bct_total_t *t);
void bct_core_fleet(bct_core_t *c, const bct_fleet_t *f);
void bct_core_leaving(bct_core_t *c, uint64_t upstream_key, bool leaving);
uint32_t bct_core_publish(bct_core_t *c, bct_item_t *out, uint32_t max);

/* bct_core_refuse_all(3): end whatever is in flight; for a stop that cannot wait. */
void bct_core_refuse_all(bct_core_t *c, bct_refuse_t why);

/* bct_core_in_flight(3): requests that have not ended. */
uint32_t bct_core_in_flight(bct_core_t *c);

#endif
