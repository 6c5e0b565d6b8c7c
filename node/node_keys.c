/*
 * node_keys.c - the core's claim operations, and the answer to the caller for each claim result.
 */
#include "node/node_keys.h"
#include "base/err.h"
#include "base/mem.h"

/* Values of retry_after_ms in refusals. */
#define RETRY_SOON_MS 1000
#define RETRY_ROOM_MS 30000 /* room comes back as the oldest keys leave the window */
#define RETRY_READY_MS 3000 /* while this node is reading the log */

struct bct_node_keys {
	bct_node_keys_opts_t opts;
	bct_keys_t *keys;
};

/* How a request is refused, by the verdict on its claim. */
typedef struct refusal {
	bct_refuse_t why;
	bct_run_t run;
	uint32_t retry_after_ms;
} refusal_t;

/* WON has none. DONE is refused only when there is no stored answer to replay. */
static const refusal_t refusals[] = {
	[BCT_CLAIM_DONE] = { BCT_REFUSE_ANSWER_GONE, BCT_RUN_RAN, 0 },
	[BCT_CLAIM_IN_PROGRESS] = { BCT_REFUSE_IN_PROGRESS, BCT_RUN_UNKNOWN, RETRY_SOON_MS },
	[BCT_CLAIM_IN_DOUBT] = { BCT_REFUSE_OUTCOME_UNKNOWN, BCT_RUN_UNKNOWN, 0 },
	[BCT_CLAIM_CONFLICT] = { BCT_REFUSE_KEY_CONFLICT, BCT_RUN_NOT_RUN, 0 },
	[BCT_CLAIM_LOG_DOWN] = { BCT_REFUSE_LOG_DOWN, BCT_RUN_NOT_RUN, RETRY_SOON_MS },
	[BCT_CLAIM_NOT_READY] = { BCT_REFUSE_NOT_READY, BCT_RUN_NOT_RUN, RETRY_READY_MS },
	[BCT_CLAIM_NO_ROOM] = { BCT_REFUSE_NO_ROOM, BCT_RUN_NOT_RUN, RETRY_ROOM_MS },
	[BCT_CLAIM_FULL] = { BCT_REFUSE_QUEUE_FULL, BCT_RUN_NOT_RUN, RETRY_SOON_MS },
};

/* The cookie of a claim is the id of its request. */
static void on_claimed(void *ctx, uint64_t req_id, const bct_key_result_t *r)
{
	bct_node_keys_t *k = ctx;
	const refusal_t *refusal = &refusals[r->result.verdict];

	if (r->result.verdict == BCT_CLAIM_WON)
		/* If the request has ended in the meantime, its intent is already withdrawn. */
		bct_core_claim_result(k->opts.core, req_id, BCT_REFUSE_NONE, BCT_RUN_NOT_RUN, 0,
				      r->result.send_before);
	else if (r->have_answer)
		bct_core_replay(k->opts.core, req_id, r->status, r->content_type, r->answer,
				r->answer_bytes);
	else
		bct_core_claim_result(k->opts.core, req_id, refusal->why, refusal->run,
				      refusal->retry_after_ms, 0);
}

static bool taken(void *ctx, const bct_request_t *r)
{
	bct_node_keys_t *k = ctx;
	bool current;

	return bct_keys_peek(k->keys, r->account->key, r->idempotency_key, r->desc.digest, 0,
			     &current) != BCT_CLAIM_PENDING;
}

/*
 * Whether the caller may be answered not_run, which it applies to all its sends of the key.
 * That holds if the key is free or owned by this request, and either this node's view of the
 * log is current or the caller states that it has not sent the key before.
 */
static bool confirms_not_run(void *ctx, const bct_request_t *r)
{
	bct_node_keys_t *k = ctx;
	bct_claim_verdict_t v;
	bool current;

	v = bct_keys_peek(k->keys, r->account->key, r->idempotency_key, r->desc.digest, r->intent,
			  &current);
	/* The key was used with a different body, so this request certainly did not run. */
	if (v == BCT_CLAIM_CONFLICT)
		return true;
	return v == BCT_CLAIM_PENDING && (current || r->first_send);
}

static int claim(void *ctx, bct_request_t *r)
{
	bct_node_keys_t *k = ctx;

	return bct_keys_claim(k->keys, r->account->key, r->idempotency_key, r->desc.digest, r->id,
			      &r->intent);
}

static bool may_send(void *ctx, const bct_request_t *r)
{
	bct_node_keys_t *k = ctx;

	return bct_keys_may_send(k->keys, r->account->key, r->idempotency_key, r->intent);
}

static void finish(void *ctx, const bct_request_t *r)
{
	bct_node_keys_t *k = ctx;

	bct_keys_finish(k->keys, r->account->key, r->idempotency_key, r->intent, r->status,
			r->answer_type, r->out.data, (uint32_t)r->out.len_bytes);
}

static void withdraw(void *ctx, const bct_request_t *r)
{
	bct_node_keys_t *k = ctx;

	bct_keys_withdraw(k->keys, r->account->key, r->idempotency_key, r->intent);
}

static void abandon(void *ctx, const bct_request_t *r)
{
	bct_node_keys_t *k = ctx;

	bct_keys_abandon(k->keys, r->account->key, r->idempotency_key, r->intent);
}

static bool incarnation_ended(void *ctx, uint64_t incarnation)
{
	bct_node_keys_t *k = ctx;

	return k->opts.incarnation_ended && k->opts.incarnation_ended(k->opts.ctx, incarnation);
}

int bct_node_keys_new(const bct_node_keys_opts_t *opts, bct_node_keys_t **out)
{
	const bct_settings_t *s = opts->settings;
	bct_node_keys_t *k = bct_alloc(sizeof(*k));
	bct_keys_opts_t ko = {
		.platform = opts->platform,
		.log = opts->log,
		.incarnation = opts->incarnation,
		.n_streams = s->platform_key_streams,
		.timeout_ms = s->platform_timeout_ms,
		.poll_ms = s->platform_poll_ms,
		.commit_ms = s->keys_commit_ms,
		.claim_ms = s->keys_claim_ms,
		.run_ms = s->keys_run_ms,
		.window_ms = s->keys_window_s * BCT_MS_PER_S,
		.max_claims = s->policy_max_queued,
		.max_keys = s->keys_max_keys,
		.gone = incarnation_ended,
		.claimed = on_claimed,
		.ctx = k,
	};
	bct_claim_ops_t ops = {
		.taken = taken,
		.confirms_not_run = confirms_not_run,
		.claim = claim,
		.may_send = may_send,
		.finish = finish,
		.withdraw = withdraw,
		.abandon = abandon,
		.ctx = k,
	};
	int rc;

	if (!k)
		return -BCT_ENOMEM;
	k->opts = *opts;
	rc = bct_keys_new(&ko, &k->keys);
	if (rc) {
		bct_free(k);
		return rc;
	}
	bct_core_set_claims(opts->core, &ops);
	*out = k;
	return 0;
}

void bct_node_keys_free(bct_node_keys_t *k)
{
	if (!k)
		return;
	bct_keys_free(k->keys);
	bct_free(k);
}

bct_keys_t *bct_node_keys(bct_node_keys_t *k)
{
	return k->keys;
}
