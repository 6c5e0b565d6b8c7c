/*
 * upstream.h - a pool of workers that carry attempts to upstreams over HTTP (libcurl).
 *
 * Other threads talk to a worker only through its inbox of orders. Lock order: an inbox's lock is a
 * leaf, taken also under the core lock and a request's lock.
 */
#ifndef BCT_NODE_UPSTREAM_H
#define BCT_NODE_UPSTREAM_H

#include "node/attempt.h"

typedef struct bct_upstream_pool bct_upstream_pool_t;

/* What the pool tells; called from a worker, never with a request lock held. */
typedef struct bct_upstream_events {
	void (*sent)(void *ctx, bct_attempt_t *a);
	void (*tokens)(void *ctx, bct_attempt_t *a, uint32_t total);
	void (*end)(void *ctx, bct_attempt_t *a, const bct_attempt_end_t *end);
	void *ctx;
} bct_upstream_events_t;

typedef struct bct_upstream_opts {
	uint32_t threads;
	uint32_t stream_buffer_bytes;
	uint32_t max_answer_bytes;
	bct_upstream_events_t events;
} bct_upstream_opts_t;

/* What is needed to start an attempt. */
typedef struct bct_attempt_opts {
	uint64_t id;
	bct_request_t *req;
	const bct_upstream_conf_t *upstream;
	const bct_upstream_conf_t *kv_source; /* NULL: none */
	const bct_timeouts_conf_t *timeouts;
	uint8_t priority;
	uint32_t resume_from;
	bct_time_t send_before; /* the first byte must be out by then; BCT_TIME_NEVER: no limit */
} bct_attempt_opts_t;

int bct_upstream_pool_new(const bct_upstream_opts_t *opts, bct_upstream_pool_t **out);

/* bct_upstream_pool_free(3): stop the workers; running attempts are dropped without an event. */
void bct_upstream_pool_free(bct_upstream_pool_t *p);

/*
 * bct_upstream_start(3): start an attempt. out gets no reference: it is good until the end event,
 * which the caller can hold up by a lock that the event takes.
 *
 * returns  0 or -BCT_ENOMEM; after 0, end is called once for it, whatever happens
 */
int bct_upstream_start(bct_upstream_pool_t *p, const bct_attempt_opts_t *opts, bct_attempt_t **out);

/* bct_attempt_cancel(3), bct_attempt_unpause(3): may be called from any thread, at any time. */
void bct_attempt_cancel(bct_attempt_t *a);
void bct_attempt_unpause(bct_attempt_t *a);

/* bct_upstream_pool_opts(3): the options that the pool was made with. */
const bct_upstream_opts_t *bct_upstream_pool_opts(const bct_upstream_pool_t *p);

bct_attempt_t *bct_attempt_ref(bct_attempt_t *a);
void bct_attempt_unref(bct_attempt_t *a);

/* bct_attempt_id_of(3): for those who only have the pointer. */
uint64_t bct_attempt_id_of(const bct_attempt_t *a);

#endif
