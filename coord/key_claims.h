/*
 * key_claims.h - how one node gets, and gives up, the right to dispatch a request that may not be
 * repeated. A pure state machine over the replayed key table: records to append go out, results
 * and replayed records come in.
 *
 * The rule: a node may dispatch only after it has read its own intent back as the owner of the
 * key, within the deadline that it counts from before the append. Otherwise it says not_run,
 * never dispatches, and withdraws the intent by a record; until that is in the log the key is in
 * doubt for everybody else.
 */
#ifndef BCT_COORD_KEY_CLAIMS_H
#define BCT_COORD_KEY_CLAIMS_H

#include "base/clock.h"
#include "coord/key_table.h"

typedef enum bct_claim_verdict {
	BCT_CLAIM_PENDING = 0,
	BCT_CLAIM_WON,	       /* dispatch now, and not after the deadline */
	BCT_CLAIM_DONE,	       /* it ran before; the outcome stands at offset and index */
	BCT_CLAIM_IN_PROGRESS, /* another request of the same key is running */
	BCT_CLAIM_IN_DOUBT,    /* it may or may not have run */
	BCT_CLAIM_CONFLICT,    /* the key was used with another request */
	BCT_CLAIM_LOG_DOWN,    /* not run; the log did not confirm the intent in time */
	BCT_CLAIM_NOT_READY,   /* not run; this node has not read the whole window yet */
	BCT_CLAIM_FULL,	       /* not run; too many claims wait */
} bct_claim_verdict_t;

typedef struct bct_claim_result {
	uint64_t intent;
	bct_claim_verdict_t verdict;
	uint64_t offset; /* DONE */
	uint32_t index;
	bool answer_kept;
	bct_time_t send_before; /* WON */
} bct_claim_result_t;

typedef struct bct_key_claims bct_key_claims_t;

typedef struct bct_key_claims_opts {
	uint64_t incarnation;
	uint32_t claim_ms; /* from before the append to the dispatch, at most */
	uint32_t run_ms; /* an intent without an outcome is in progress this long, then in doubt */
	uint32_t window_ms; /* idempotency window */
	uint32_t max_claims;
	/* Whether an incarnation is known to be gone; NULL: not known of any. */
	bool (*gone)(void *ctx, uint64_t incarnation);
	void *ctx;
} bct_key_claims_opts_t;

int bct_key_claims_new(const bct_key_claims_opts_t *opts, bct_key_claims_t **out);
void bct_key_claims_free(bct_key_claims_t *c);

/* bct_key_claims_set_ready(3): the whole window has been read; until then every claim is NOT_READY.
 */
void bct_key_claims_set_ready(bct_key_claims_t *c, bool ready);

/*
 * bct_key_claims_begin(3): ask for a key.
 *
 * wall     wall clock, for the record
 * intent   a fresh random id
 * returns  PENDING, and then a result follows from bct_key_claims_result(); or what is known now,
 *          with result filled
 */
bct_claim_verdict_t bct_key_claims_begin(bct_key_claims_t *c, bct_time_t now, bct_time_t wall,
					 const bct_key_id_t *id, uint64_t body, uint64_t intent,
					 bct_claim_result_t *result);

/* bct_key_claims_defer(3): queue a result that begin gave, to be taken later. 0 or -BCT_ENOMEM. */
int bct_key_claims_defer(bct_key_claims_t *c, const bct_claim_result_t *r);

/* bct_key_claims_result(3): take the next result. returns false when there is none. */
bool bct_key_claims_result(bct_key_claims_t *c, bct_claim_result_t *out);

/*
 * bct_key_claims_peek(3): what begin would say, without asking for the key.
 *
 * returns  PENDING: the key is free as far as this node has read
 */
bct_claim_verdict_t bct_key_claims_peek(const bct_key_claims_t *c, bct_time_t wall,
					const bct_key_id_t *id, uint64_t body, uint64_t own_intent);

/* bct_key_claims_may_send(3): whether a won intent still owns its key. */
bool bct_key_claims_may_send(const bct_key_claims_t *c, uint64_t intent);

/*
 * bct_key_claims_finish(3): the request of a won intent has run; its outcome goes to the log.
 *
 * answer   copied; kept only up to BCT_XKEY_ANSWER_BYTES
 * returns  0, -BCT_ENOT_FOUND, -BCT_ENOMEM
 */
int bct_key_claims_finish(bct_key_claims_t *c, uint64_t intent, int status, const char *type,
			  const void *answer, uint32_t len_bytes);

/* bct_key_claims_withdraw(3): a won or pending intent will surely not be dispatched any more. */
void bct_key_claims_withdraw(bct_key_claims_t *c, uint64_t intent);

/* bct_key_claims_abandon(3): a won intent was dispatched and its outcome will never be known. */
void bct_key_claims_abandon(bct_key_claims_t *c, uint64_t intent);

/*
 * bct_key_claims_resolve(3): an operator's word.
 *
 * force    also while the owner may still be alive
 * returns  0 (a record goes out), -BCT_ENOT_FOUND (not in doubt), -BCT_ESTATE (it is to be freed
 *          and the owner may be alive or merely paused: not without force), -BCT_ENOMEM
 */
int bct_key_claims_resolve(bct_key_claims_t *c, bct_time_t now, const bct_key_id_t *id, bool ran,
			   bool force, const char *author);

/*
 * bct_key_claims_batch(3): take the entries to append next.
 *
 * out      an encoded bct_xkey_batch; malloc()ed
 * returns  number of entries, 0 when there is nothing to append, -BCT_ENOMEM
 */
int bct_key_claims_batch(bct_key_claims_t *c, bct_time_t now, void **out, uint32_t *len_bytes);

/*
 * bct_key_claims_appended(3): how the append of the last batch ended: 0, -BCT_EUNAVAILABLE (surely
 * not in the log) or anything else (may be in the log). One batch is under way at a time.
 */
void bct_key_claims_appended(bct_key_claims_t *c, bct_time_t now, int rc);

/* bct_key_claims_apply(3): replay one record. returns 0, -BCT_ECODEC (skipped) or -BCT_ENOMEM. */
int bct_key_claims_apply(bct_key_claims_t *c, bct_time_t now, uint64_t offset, const void *data,
			 uint32_t len_bytes);

/* bct_key_claims_tick(3): deadlines. Call now and then; wall expires old keys. */
void bct_key_claims_tick(bct_key_claims_t *c, bct_time_t now, bct_time_t wall);

/* bct_key_claims_idle(3): nothing waits to be appended or read back. */
bool bct_key_claims_idle(const bct_key_claims_t *c);

/* bct_key_claims_fingerprint(3): a hash of the whole state, for explorers that meet it again. */
uint64_t bct_key_claims_fingerprint(const bct_key_claims_t *c);

const bct_key_table_t *bct_key_claims_table(const bct_key_claims_t *c);

/* bct_key_batch_decode(3): the entries of a record; 0 or -BCT_ECODEC; release with
 * bct_key_batch_free(). */
int bct_key_batch_decode(const void *data, uint32_t len_bytes, bct_xkey_batch *out);
void bct_key_batch_free(bct_xkey_batch *b);

#endif
