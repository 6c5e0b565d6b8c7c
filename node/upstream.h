/*
 * upstream.h - a pool of worker threads that run attempts at upstreams over HTTP (libcurl).
 *
 * Other threads control a worker only by commands in its inbox. Lock order: an inbox's lock is a
 * leaf; it may be taken under the core lock and a request's lock.
 */
#ifndef BCT_NODE_UPSTREAM_H
#define BCT_NODE_UPSTREAM_H

#include "node/attempt.h"

typedef struct bct_upstream_pool bct_upstream_pool_t;

/* Events of attempts. Called from a worker thread, never with a request lock held. */
typedef struct bct_upstream_events {
	/* The first byte is about to be sent. */
	void (*sent)(void *ctx, bct_attempt_t *a);
	/* total: output tokens received by this attempt so far */
	void (*tokens)(void *ctx, bct_attempt_t *a, uint32_t total);
	/* Called once for each started attempt. */
	void (*end)(void *ctx, bct_attempt_t *a, const bct_attempt_end_t *end);
	void *ctx;
} bct_upstream_events_t;

typedef struct bct_upstream_opts {
	uint32_t threads;
	uint32_t stream_buffer_bytes; /* unread output of a caller at which receiving pauses */
	uint32_t max_answer_bytes;    /* of one that is not streamed, or of an engine's error */
	bct_room_t *room;	      /* for answers until they have been delivered */
	bct_upstream_events_t events;
} bct_upstream_opts_t;

/* Arguments of bct_upstream_start(3). */
typedef struct bct_attempt_opts {
	uint64_t id;
	bct_request_t *req;
	const bct_upstream_conf_t *upstream;
	const bct_upstream_conf_t *kv_source; /* NULL: none */
	const bct_timeouts_conf_t *timeouts;
	uint8_t priority;
	uint32_t resume_from;	/* output tokens that the caller already has */
	bct_time_t send_before; /* limit for sending the first byte; BCT_TIME_NEVER: none */
} bct_attempt_opts_t;

/* bct_upstream_pool_new(3): start the workers. returns 0, -BCT_EIO or -BCT_ENOMEM. */
int bct_upstream_pool_new(const bct_upstream_opts_t *opts, bct_upstream_pool_t **out);

/* bct_upstream_pool_free(3): stop the workers; running attempts are dropped without an event. */
void bct_upstream_pool_free(bct_upstream_pool_t *p);

/*
 * bct_upstream_start(3): start an attempt. Call with the request's lock held.
 *
 * out      set to the attempt, without a reference. It is valid until the end event; a caller can
 *          delay that event by holding a lock that its handler takes
 * returns  0 or -BCT_ENOMEM; after 0 the end event follows once, unless the pool is freed before
 */
int bct_upstream_start(bct_upstream_pool_t *p, const bct_attempt_opts_t *opts, bct_attempt_t **out);

/*
 * bct_attempt_cancel(3), bct_attempt_unpause(3): cancel an attempt; receive again after the caller
 * has read its output. May be called from any thread, at any time.
 */
void bct_attempt_cancel(bct_attempt_t *a);
void bct_attempt_unpause(bct_attempt_t *a);

/* bct_upstream_pool_opts(3): the options that the pool was created with. */
const bct_upstream_opts_t *bct_upstream_pool_opts(const bct_upstream_pool_t *p);

bct_attempt_t *bct_attempt_ref(bct_attempt_t *a);
void bct_attempt_unref(bct_attempt_t *a);

/* bct_attempt_id_of(3): the attempt's id, for users of an opaque bct_attempt_t. */
uint64_t bct_attempt_id_of(const bct_attempt_t *a);

#endif
