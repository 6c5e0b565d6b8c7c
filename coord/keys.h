/*
 * keys.h - the right to run a request that may not be repeated, over the platform's log: threads
 * around coord/key_claims.h.
 *
 * Keys are split over log streams by hash. For each stream one thread follows the log and one
 * appends, with group commit: entries that come while an append was made a short time ago wait for
 * the next one.
 *
 * Lock order: a stream's lock is taken before nothing; callbacks are made with no lock held.
 */
#ifndef BCT_COORD_KEYS_H
#define BCT_COORD_KEYS_H

#include "base/event.h"
#include "coord/key_claims.h"
#include "coord/platform.h"

#include <jansson.h>

typedef struct bct_keys bct_keys_t;

/* A claim's result, with the kept answer of an earlier run. */
typedef struct bct_key_result {
	bct_claim_result_t result;
	bool have_answer;
	int status;
	const char *content_type;
	const void *answer;
	uint32_t answer_bytes;
} bct_key_result_t;

typedef struct bct_keys_opts {
	bct_platform_t *platform;
	bct_log_t *log;
	uint64_t incarnation;
	uint32_t n_streams;
	uint32_t timeout_ms; /* of one platform call */
	uint32_t poll_ms;    /* how long a read may wait */
	uint32_t commit_ms;  /* least time between two appends of a stream */
	uint32_t claim_ms;
	uint32_t run_ms;
	uint32_t window_ms;
	uint32_t max_claims;
	bool (*gone)(void *ctx, uint64_t incarnation);
	/* From a thread of the keys, no lock held. cookie is what bct_keys_claim() was given. */
	void (*verdict)(void *ctx, uint64_t cookie, const bct_key_result_t *v);
	void *ctx;
} bct_keys_opts_t;

int bct_keys_new(const bct_keys_opts_t *opts, bct_keys_t **out);
void bct_keys_free(bct_keys_t *k);

/*
 * bct_keys_claim(3): ask for the right to run. The verdict comes by callback, never from inside
 * this call.
 *
 * body     digest of the request
 * cookie   handed back with the verdict
 * returns  0 and the intent's id, or -BCT_ENOMEM
 */
int bct_keys_claim(bct_keys_t *k, uint64_t account_key, const char *key, uint64_t body,
		   uint64_t cookie, uint64_t *intent);

/*
 * bct_keys_peek(3): what is known of a key now. own_intent does not count against it; 0: none.
 *
 * current  set to whether the log was read to its end and still answers
 * returns  PENDING: free as far as this node has read; else as bct_key_claims_begin(3)
 */
bct_claim_verdict_t bct_keys_peek(bct_keys_t *k, uint64_t account_key, const char *key,
				  uint64_t body, uint64_t own_intent, bool *current);

/* The intent's end; see coord/key_claims.h. id is that of the claim's key. */
void bct_keys_finish(bct_keys_t *k, uint64_t account_key, const char *key, uint64_t intent,
		     int status, const char *type, const void *answer, uint32_t len_bytes);
void bct_keys_withdraw(bct_keys_t *k, uint64_t account_key, const char *key, uint64_t intent);
void bct_keys_abandon(bct_keys_t *k, uint64_t account_key, const char *key, uint64_t intent);

/* bct_keys_may_send(3): whether a won intent still owns its key as far as this node has read. */
bool bct_keys_may_send(bct_keys_t *k, uint64_t account_key, const char *key, uint64_t intent);

/* bct_keys_show(3): what is known of a key, for operators. A new reference. */
json_t *bct_keys_show(bct_keys_t *k, uint64_t account_key, const char *key);

/* bct_keys_resolve(3): see bct_key_claims_resolve(3). */
int bct_keys_resolve(bct_keys_t *k, uint64_t account_key, const char *key, bool ran, bool force,
		     const char *author);

/* bct_keys_ready(3): every stream has been read to its end once. */
bool bct_keys_ready(bct_keys_t *k);

/* bct_keys_idle(3): nothing waits to be written; a planned stop waits for it. */
bool bct_keys_idle(bct_keys_t *k);

/* bct_keys_status(3): counters for status pages. A new reference. */
json_t *bct_keys_status(bct_keys_t *k);

#endif
