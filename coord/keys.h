/*
 * keys.h - idempotency keys over the platform's log: the right to run a request that must not run
 * twice. Threads and platform calls around the state machine of coord/key_claims.h.
 *
 * Keys are distributed over log streams by hash. Each stream has one thread that follows the log
 * and one that appends with group commit: entries queued within commit_ms of the last append are
 * written together in the next one.
 *
 * Locking: a stream's lock is a leaf; only the gone callback may take another lock under it. The
 * result callback is made with no lock held.
 */
#ifndef BCT_COORD_KEYS_H
#define BCT_COORD_KEYS_H

#include "base/event.h"
#include "coord/key_claims.h"
#include "coord/platform.h"

#include <jansson.h>

typedef struct bct_keys bct_keys_t;

/* The result of a claim, with the stored answer if an earlier request of the key has run. */
typedef struct bct_key_result {
	bct_claim_result_t result;
	bool have_answer; /* whether the members below are valid, during the callback only */
	int status;	  /* HTTP status */
	const char *content_type;
	const void *answer;
	uint32_t answer_bytes;
} bct_key_result_t;

typedef struct bct_keys_opts {
	bct_platform_t *platform;
	bct_log_t *log;
	uint64_t incarnation; /* of this node's process */
	uint32_t n_streams;
	uint32_t timeout_ms; /* limit of one platform call */
	uint32_t poll_ms;    /* how long a read of the log may wait for new records */
	uint32_t commit_ms;  /* minimum time between two appends to a stream */
	/* Options of each stream's bct_key_claims_t. gone is called with the stream's lock held. */
	uint32_t claim_ms;
	uint32_t run_ms;
	uint32_t window_ms;
	uint32_t max_claims;
	uint32_t max_keys; /* of all streams */
	bool (*gone)(void *ctx, uint64_t incarnation);
	/*
	 * Delivers the result of a claim, from a follower or appender thread with no lock held.
	 * cookie is the one given to bct_keys_claim().
	 */
	void (*claimed)(void *ctx, uint64_t cookie, const bct_key_result_t *r);
	void *ctx;
} bct_keys_opts_t;

/* bct_keys_new(3): start the threads. returns 0 or a negative error; opts is copied. */
int bct_keys_new(const bct_keys_opts_t *opts, bct_keys_t **out);

/* bct_keys_free(3): stop the threads. Entries not yet appended are lost; see bct_keys_idle(3). */
void bct_keys_free(bct_keys_t *k);

/*
 * bct_keys_claim(3): claim a key for one request. The result is delivered by opts.claimed, never
 * from inside this call.
 *
 * body     digest of the request
 * cookie   passed to the callback
 * intent   set to the random id of the intent, which identifies the claim from now on
 * returns  0 or -BCT_ENOMEM
 */
int bct_keys_claim(bct_keys_t *k, uint64_t account_key, const char *key, uint64_t body,
		   uint64_t cookie, uint64_t *intent);

/*
 * bct_keys_peek(3): the state of a key as this node has read it, without claiming it.
 *
 * ignored_intent  a key owned by this intent counts as free; 0: none
 * current         set to whether the stream has been read to its end once and its last read was
 *                 answered
 * returns         PENDING: the key is free; else as bct_key_claims_begin(3)
 */
bct_claim_verdict_t bct_keys_peek(bct_keys_t *k, uint64_t account_key, const char *key,
				  uint64_t body, uint64_t ignored_intent, bool *current);

/*
 * bct_keys_finish(3), bct_keys_withdraw(3), bct_keys_abandon(3): end a claim; see the functions of
 * the same names in coord/key_claims.h. account_key and key are those of the claim.
 */
void bct_keys_finish(bct_keys_t *k, uint64_t account_key, const char *key, uint64_t intent,
		     int status, const char *type, const void *answer, uint32_t len_bytes);
void bct_keys_withdraw(bct_keys_t *k, uint64_t account_key, const char *key, uint64_t intent);
void bct_keys_abandon(bct_keys_t *k, uint64_t account_key, const char *key, uint64_t intent);

/* bct_keys_may_send(3): whether a won intent still owns its key, as far as this node has read. */
bool bct_keys_may_send(bct_keys_t *k, uint64_t account_key, const char *key, uint64_t intent);

/* bct_keys_show(3): the state of a key as JSON, for operators. returns a new reference or NULL. */
json_t *bct_keys_show(bct_keys_t *k, uint64_t account_key, const char *key);

/* bct_keys_resolve(3): as bct_key_claims_resolve(3); also -BCT_ESTATE until the stream is read. */
int bct_keys_resolve(bct_keys_t *k, uint64_t account_key, const char *key, bool ran, bool force,
		     const char *author);

/* bct_keys_ready(3): whether every stream has been read to its end once. */
bool bct_keys_ready(bct_keys_t *k);

/*
 * bct_keys_idle(3): whether no claim is open and no entry waits to be appended or read back. A
 * planned shutdown waits for this.
 */
bool bct_keys_idle(bct_keys_t *k);

/* bct_keys_status(3): counters for status pages. returns a new reference or NULL. */
json_t *bct_keys_status(bct_keys_t *k);

#endif
