/*
 * key_claims.h - how one node acquires and releases the right to dispatch a request that must not
 * run twice. A state machine over the replayed key table, without I/O or threads: the caller
 * appends the batches it produces, reports how the appends ended, and feeds it the records read
 * from the log. All times are passed in.
 *
 * The rule: a node may dispatch a request only after it has read its intent back from the log as
 * the owner of the key, and only before a deadline that is counted from before the append.
 * Otherwise it answers not_run, never dispatches, and appends a withdrawal of the intent. Until the
 * withdrawal is in the log, the key is in progress or in doubt for all other requests.
 */
#ifndef BCT_COORD_KEY_CLAIMS_H
#define BCT_COORD_KEY_CLAIMS_H

#include "base/clock.h"
#include "coord/key_table.h"

typedef enum bct_claim_verdict {
	BCT_CLAIM_PENDING = 0,
	BCT_CLAIM_WON,	       /* dispatch now, but not after send_before */
	BCT_CLAIM_DONE,	       /* it ran before; its outcome is at offset and index */
	BCT_CLAIM_IN_PROGRESS, /* another request with the key may be running */
	BCT_CLAIM_IN_DOUBT,    /* it may or may not have run */
	BCT_CLAIM_CONFLICT,    /* the key was used with a different request body */
	BCT_CLAIM_LOG_DOWN,    /* not run; the log did not confirm the intent in time */
	BCT_CLAIM_NOT_READY,   /* not run; this node has not read all of the window yet */
	BCT_CLAIM_FULL,	       /* not run; max_claims claims are open, or no memory */
	BCT_CLAIM_NO_ROOM,     /* not run; max_keys keys are remembered */
} bct_claim_verdict_t;

typedef struct bct_claim_result {
	uint64_t intent;
	bct_claim_verdict_t verdict;
	uint64_t offset;	/* DONE: log offset of the record with the outcome */
	uint32_t index;		/* DONE: of the outcome in that record */
	bool answer_kept;	/* DONE: the record contains the answer */
	bct_time_t send_before; /* WON: the latest time to dispatch */
} bct_claim_result_t;

typedef struct bct_key_claims bct_key_claims_t;

typedef struct bct_key_claims_opts {
	uint64_t incarnation; /* of this node's process */
	uint32_t claim_ms;    /* limit from the start of a claim, before the append, to dispatch */
	uint32_t run_ms;      /* an intent without an outcome is in doubt after this time */
	uint32_t window_ms;   /* idempotency window: a key is dropped this long after its intent */
	uint32_t max_claims;  /* open claims at a time */
	uint32_t max_keys; /* remembered, with void intents; no key is dropped early; 0: no limit */
	/* Whether a process incarnation is known to have ended. NULL: never known. */
	bool (*gone)(void *ctx, uint64_t incarnation);
	void *ctx;
} bct_key_claims_opts_t;

/* bct_key_claims_new(3): opts is copied. returns 0 or -BCT_ENOMEM. */
int bct_key_claims_new(const bct_key_claims_opts_t *opts, bct_key_claims_t **out);
void bct_key_claims_free(bct_key_claims_t *c);

/*
 * bct_key_claims_set_ready(3): set whether all of the idempotency window has been read. Until it
 * has, every claim is NOT_READY.
 */
void bct_key_claims_set_ready(bct_key_claims_t *c, bool ready);

/*
 * bct_key_claims_begin(3): claim a key.
 *
 * wall     wall clock, stored in the intent
 * body     digest of the request
 * intent   a fresh random id
 * returns  PENDING: an intent is queued and the result follows from bct_key_claims_result(3);
 *          else the result is already known, with result filled in
 */
bct_claim_verdict_t bct_key_claims_begin(bct_key_claims_t *c, bct_time_t now, bct_time_t wall,
					 const bct_key_id_t *id, uint64_t body, uint64_t intent,
					 bct_claim_result_t *result);

/*
 * bct_key_claims_defer(3): queue a result of bct_key_claims_begin(3) for bct_key_claims_result(3),
 * so that all results are delivered the same way. returns 0 or -BCT_ENOMEM.
 */
int bct_key_claims_defer(bct_key_claims_t *c, const bct_claim_result_t *r);

/* bct_key_claims_result(3): remove the next queued result. returns false when there is none. */
bool bct_key_claims_result(bct_key_claims_t *c, bct_claim_result_t *out);

/*
 * bct_key_claims_peek(3): the state of a key in the table, without claiming it. Claims of this node
 * whose intent has not been read back are not seen.
 *
 * ignored_intent  a key owned by this intent counts as free; 0: none
 * returns         PENDING: the key is free as far as this node has read; else as
 *                 bct_key_claims_begin(3)
 */
bct_claim_verdict_t bct_key_claims_peek(const bct_key_claims_t *c, bct_time_t wall,
					const bct_key_id_t *id, uint64_t body,
					uint64_t ignored_intent);

/* bct_key_claims_may_send(3): whether a won intent still owns its key. */
bool bct_key_claims_may_send(const bct_key_claims_t *c, uint64_t intent);

/*
 * bct_key_claims_finish(3): the request of a won intent has run; queue its outcome for the log.
 *
 * status   HTTP status
 * type     content type
 * answer   copied. Stored only if it has at most BCT_XKEY_ANSWER_BYTES and the type is shorter than
 *          BCT_XKEY_TEXT_BYTES; else the outcome is logged without it
 * returns  0, -BCT_ENOT_FOUND (no won intent with this id) or -BCT_ENOMEM
 */
int bct_key_claims_finish(bct_key_claims_t *c, uint64_t intent, int status, const char *type,
			  const void *answer, uint32_t len_bytes);

/* bct_key_claims_withdraw(3): a pending or won intent was not dispatched and will never be. */
void bct_key_claims_withdraw(bct_key_claims_t *c, uint64_t intent);

/*
 * bct_key_claims_abandon(3): a won intent was dispatched and its outcome will never be known. The
 * key is in doubt once run_ms has passed since the intent.
 */
void bct_key_claims_abandon(bct_key_claims_t *c, uint64_t intent);

/*
 * bct_key_claims_resolve(3): an operator's decision on a key without an outcome.
 *
 * ran      true: record that the request ran, without an answer; false: free the key
 * force    free the key even if its owner may still be running
 * author   who decided, stored in the record
 * returns  0 (a record is queued), -BCT_ENOT_FOUND (no intent owns the key), -BCT_ESTATE (the key
 *          cannot be freed without force, since its owner may be running or only suspended) or
 *          -BCT_ENOMEM
 */
int bct_key_claims_resolve(bct_key_claims_t *c, bct_time_t now, const bct_key_id_t *id, bool ran,
			   bool force, const char *author);

/*
 * bct_key_claims_batch(3): encode the entries to append next. The caller appends the batch and then
 * calls bct_key_claims_appended(3), before it gets another.
 *
 * out      set to an encoded bct_xkey_batch; the caller releases it with free(3)
 * returns  number of entries; 0 when there is nothing to append, with out not set; -BCT_ENOMEM
 */
int bct_key_claims_batch(bct_key_claims_t *c, bct_time_t now, void **out, uint32_t *len_bytes);

/*
 * bct_key_claims_appended(3): report how the append of the last batch ended.
 *
 * rc       0; -BCT_EUNAVAILABLE: it is certainly not in the log; any other error: it may be in the
 *          log, now or later
 */
void bct_key_claims_appended(bct_key_claims_t *c, bct_time_t now, int rc);

/*
 * bct_key_claims_apply(3): replay one record of the log.
 *
 * returns  0; -BCT_ECODEC: undecodable, nothing applied; -BCT_ENOMEM: apply the record again before
 *          any later one
 */
int bct_key_claims_apply(bct_key_claims_t *c, bct_time_t now, uint64_t offset, const void *data,
			 uint32_t len_bytes);

/*
 * bct_key_claims_tick(3): end claims past their deadline and, by the wall clock, drop keys older
 * than the window. Call periodically.
 */
void bct_key_claims_tick(bct_key_claims_t *c, bct_time_t now, bct_time_t wall);

/* bct_key_claims_idle(3): whether there is no open claim, and no entry to append or read back. */
bool bct_key_claims_idle(const bct_key_claims_t *c);

/*
 * bct_key_claims_fingerprint(3): a hash of the complete state, for model checkers that prune states
 * they have visited.
 */
uint64_t bct_key_claims_fingerprint(const bct_key_claims_t *c);

/* bct_key_claims_table(3): the replayed table; owned by c. */
const bct_key_table_t *bct_key_claims_table(const bct_key_claims_t *c);

/*
 * bct_key_batch_decode(3): decode a record. returns 0 or -BCT_ECODEC; release out with
 * bct_key_batch_free(3).
 */
int bct_key_batch_decode(const void *data, uint32_t len_bytes, bct_xkey_batch *out);
void bct_key_batch_free(bct_xkey_batch *b);

#endif
