/*
 * key_claims.c - this node's claims, the outbox of entries to append, and the effect of replayed
 * entries on the claims.
 */
#include "coord/key_claims.h"
#include "base/err.h"
#include "base/hash.h"
#include "base/list.h"
#include "base/mem.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* 256 bytes for each entry of a full batch without its answer, and 64 KiB for the answers. */
#define BATCH_BUFFER_BYTES (BCT_XKEY_BATCH * 256 + 64 * 1024)
#define REAPPEND_MS 500		       /* until an entry that was not read back is appended again */
#define EXPIRY_INTERVAL_MS 10000       /* between two removals of expired keys */
#define BATCH_ANSWER_BYTES (48 * 1024) /* limit of the answers of one batch */

typedef enum claim_state {
	CLAIM_WAITING, /* its intent has not been read back yet */
	CLAIM_WON,
	CLAIM_CLOSING, /* a withdrawal or an outcome is queued, until it is read back */
} claim_state_t;

typedef enum entry_state {
	ENTRY_QUEUED,
	ENTRY_IN_FLIGHT,   /* in the batch being appended */
	ENTRY_UNCONFIRMED, /* appended, not read back; appended again at retry_at */
} entry_state_t;

/*
 * One entry to append. An intent is dropped after its append; other entries stay until they are
 * read back.
 */
typedef struct out_entry {
	bct_list_t link;
	entry_state_t state;
	bct_time_t retry_at;
	bct_xkey_entry x;
	uint8_t answer[]; /* x points here in an outcome */
} out_entry_t;

typedef struct claim {
	bct_list_t link;
	claim_state_t state;
	bct_key_id_t id;
	uint64_t intent;
	uint64_t body;	    /* digest of the request */
	bct_time_t started; /* the deadline counts from here */
} claim_t;

typedef struct result_node {
	bct_list_t link;
	bct_claim_result_t result;
} result_node_t;

struct bct_key_claims {
	bct_key_claims_opts_t opts;
	bct_key_table_t *table;
	bool ready;
	bct_time_t next_expiry; /* wall clock */
	bct_list_t claims;	/* claim_t */
	uint32_t n_claims;
	bct_list_t outbox;  /* out_entry_t, in the order of appending */
	bct_list_t results; /* result_node_t, not yet fetched by the caller */
};

int bct_key_claims_new(const bct_key_claims_opts_t *opts, bct_key_claims_t **out)
{
	bct_key_claims_t *c = bct_alloc(sizeof(*c));

	if (!c)
		return -BCT_ENOMEM;
	c->opts = *opts;
	bct_list_init(&c->claims);
	bct_list_init(&c->outbox);
	bct_list_init(&c->results);
	c->table = bct_key_table_new();
	if (!c->table) {
		bct_free(c);
		return -BCT_ENOMEM;
	}
	*out = c;
	return 0;
}

static void drop_entry(out_entry_t *e)
{
	bct_list_del(&e->link);
	bct_free(e);
}

static void drop_claim(bct_key_claims_t *c, claim_t *cl)
{
	bct_list_del(&cl->link);
	bct_free(cl);
	c->n_claims--;
}

void bct_key_claims_free(bct_key_claims_t *c)
{
	bct_list_t *el, *tmp;

	if (!c)
		return;
	bct_list_for_each_safe(el, tmp, &c->outbox)
		drop_entry(bct_container_of(el, out_entry_t, link));
	bct_list_for_each_safe(el, tmp, &c->claims)
		drop_claim(c, bct_container_of(el, claim_t, link));
	bct_list_for_each_safe(el, tmp, &c->results)
		bct_free(bct_container_of(el, result_node_t, link));
	bct_key_table_free(c->table);
	bct_free(c);
}

void bct_key_claims_set_ready(bct_key_claims_t *c, bool ready)
{
	c->ready = ready;
}

static claim_t *find_claim(const bct_key_claims_t *c, uint64_t intent)
{
	bct_list_t *el;

	bct_list_for_each(el, &c->claims) {
		claim_t *cl = bct_container_of(el, claim_t, link);

		if (cl->intent == intent)
			return cl;
	}
	return NULL;
}

static out_entry_t *find_entry(bct_key_claims_t *c, uint64_t intent, bct_xkey_type type)
{
	bct_list_t *el;

	bct_list_for_each(el, &c->outbox) {
		out_entry_t *e = bct_container_of(el, out_entry_t, link);

		if (e->x.intent == intent && e->x.body.type == type)
			return e;
	}
	return NULL;
}

static out_entry_t *add_entry(bct_key_claims_t *c, const bct_key_id_t *id, uint64_t intent,
			      bct_xkey_type type, uint32_t answer_bytes)
{
	out_entry_t *e = bct_alloc(sizeof(*e) + answer_bytes);

	if (!e)
		return NULL;
	memcpy(e->x.hash, id->hash, sizeof(e->x.hash));
	e->x.intent = intent;
	e->x.body.type = type;
	bct_list_add_tail(&e->link, &c->outbox);
	return e;
}

int bct_key_claims_defer(bct_key_claims_t *c, const bct_claim_result_t *r)
{
	result_node_t *n = bct_alloc(sizeof(*n));

	if (!n)
		return -BCT_ENOMEM;
	n->result = *r;
	bct_list_add_tail(&n->link, &c->results);
	return 0;
}

/*
 * Without memory the result is lost. That is safe: the request is never dispatched and ends by its
 * caller's deadline.
 */
static void add_result(bct_key_claims_t *c, const bct_claim_result_t *r)
{
	(void)bct_key_claims_defer(c, r);
}

bool bct_key_claims_result(bct_key_claims_t *c, bct_claim_result_t *out)
{
	result_node_t *n;

	if (bct_list_empty(&c->results))
		return false;
	n = bct_container_of(c->results.next, result_node_t, link);
	*out = n->result;
	bct_list_del(&n->link);
	bct_free(n);
	return true;
}

static bool has_ended(const bct_key_claims_t *c, uint64_t incarnation)
{
	return c->opts.gone && c->opts.gone(c->opts.ctx, incarnation);
}

/* The result for a new request whose key is not free; fills in r for DONE. */
static bct_claim_verdict_t check_taken_key(const bct_key_claims_t *c, const bct_key_entry_t *e,
					   uint64_t body, bct_time_t wall, bct_claim_result_t *r)
{
	if (e->body != body)
		return BCT_CLAIM_CONFLICT;
	if (e->state == BCT_KEY_DONE) {
		r->offset = e->offset;
		r->index = e->index;
		r->answer_kept = e->answer_kept;
		return BCT_CLAIM_DONE;
	}
	if (has_ended(c, e->incarnation) || wall - e->wall_ms > (bct_time_t)c->opts.run_ms)
		return BCT_CLAIM_IN_DOUBT;
	return BCT_CLAIM_IN_PROGRESS;
}

static int queue_intent(bct_key_claims_t *c, claim_t *cl, bct_time_t wall)
{
	out_entry_t *e = add_entry(c, &cl->id, cl->intent, BCT_XKEY_INTENT, 0);

	if (!e)
		return -BCT_ENOMEM;
	e->x.body.bct_xkey_body_u.intent.body = cl->body;
	e->x.body.bct_xkey_body_u.intent.incarnation = c->opts.incarnation;
	e->x.body.bct_xkey_body_u.intent.wall_ms = wall;
	return 0;
}

static bct_claim_verdict_t start_claim(bct_key_claims_t *c, bct_time_t now, bct_time_t wall,
				       const bct_key_id_t *id, uint64_t body, uint64_t intent)
{
	claim_t *cl;

	if (c->n_claims >= c->opts.max_claims)
		return BCT_CLAIM_FULL;
	/* All nodes read the same keys, so all refuse at about the same time. */
	if (c->opts.max_keys && bct_key_table_held(c->table) + c->n_claims >= c->opts.max_keys)
		return BCT_CLAIM_NO_ROOM;
	cl = bct_alloc(sizeof(*cl));
	if (!cl)
		return BCT_CLAIM_FULL;
	cl->id = *id;
	cl->intent = intent;
	cl->body = body;
	cl->started = now;
	bct_list_add_tail(&cl->link, &c->claims);
	c->n_claims++;
	if (queue_intent(c, cl, wall)) {
		drop_claim(c, cl);
		return BCT_CLAIM_FULL;
	}
	return BCT_CLAIM_PENDING;
}

/*
 * Finds an open claim of this node on a key. Needed since the table has no entry for an intent that
 * has not been read back.
 */
static const claim_t *find_claim_by_key(const bct_key_claims_t *c, const bct_key_id_t *id)
{
	bct_list_t *el;

	bct_list_for_each(el, &c->claims) {
		const claim_t *cl = bct_container_of(el, claim_t, link);

		if (!memcmp(cl->id.hash, id->hash, sizeof(id->hash)))
			return cl;
	}
	return NULL;
}

bct_claim_verdict_t bct_key_claims_peek(const bct_key_claims_t *c, bct_time_t wall,
					const bct_key_id_t *id, uint64_t body,
					uint64_t ignored_intent)
{
	const bct_key_entry_t *e = bct_key_table_find(c->table, id);
	bct_claim_result_t r;

	if (!c->ready)
		return BCT_CLAIM_NOT_READY;
	if (!e || e->intent == ignored_intent)
		return BCT_CLAIM_PENDING;
	return check_taken_key(c, e, body, wall, &r);
}

bct_claim_verdict_t bct_key_claims_begin(bct_key_claims_t *c, bct_time_t now, bct_time_t wall,
					 const bct_key_id_t *id, uint64_t body, uint64_t intent,
					 bct_claim_result_t *result)
{
	const bct_key_entry_t *e = bct_key_table_find(c->table, id);
	const claim_t *local;

	memset(result, 0, sizeof(*result));
	result->intent = intent;
	if (!c->ready)
		result->verdict = BCT_CLAIM_NOT_READY;
	else if (e)
		result->verdict = check_taken_key(c, e, body, wall, result);
	else if ((local = find_claim_by_key(c, id)))
		result->verdict = local->body == body ? BCT_CLAIM_IN_PROGRESS : BCT_CLAIM_CONFLICT;
	else
		result->verdict = start_claim(c, now, wall, id, body, intent);
	return result->verdict;
}

bool bct_key_claims_may_send(const bct_key_claims_t *c, uint64_t intent)
{
	const claim_t *cl = find_claim(c, intent);
	const bct_key_entry_t *e;

	if (!cl || cl->state != CLAIM_WON)
		return false;
	e = bct_key_table_find(c->table, &cl->id);
	return e && e->intent == intent && e->state == BCT_KEY_OWNED;
}

int bct_key_claims_finish(bct_key_claims_t *c, uint64_t intent, int status, const char *type,
			  const void *answer, uint32_t len_bytes)
{
	claim_t *cl = find_claim(c, intent);
	bool keep = len_bytes <= BCT_XKEY_ANSWER_BYTES && strlen(type) < BCT_XKEY_TEXT_BYTES;
	uint32_t padded = keep ? (len_bytes + 3) / 4 * 4 : 0;
	bct_xkey_outcome *o;
	out_entry_t *e;

	if (!cl || cl->state != CLAIM_WON)
		return -BCT_ENOT_FOUND;
	e = add_entry(c, &cl->id, intent, BCT_XKEY_OUTCOME, padded);
	if (!e)
		return -BCT_ENOMEM;
	o = &e->x.body.bct_xkey_body_u.outcome;
	o->status = (u_int)status;
	o->kept = keep;
	if (keep) {
		snprintf(o->type, sizeof(o->type), "%s", type);
		if (len_bytes)
			memcpy(e->answer, answer, len_bytes);
		o->answer_bytes = len_bytes;
		o->answer.answer_len = padded;
		o->answer.answer_val = (char *)e->answer;
	}
	cl->state = CLAIM_CLOSING;
	return 0;
}

/* Drops an intent that was never in a batch. It needs no withdrawal. */
static bool drop_unsent_intent(bct_key_claims_t *c, uint64_t intent)
{
	out_entry_t *e = find_entry(c, intent, BCT_XKEY_INTENT);

	if (!e || e->state != ENTRY_QUEUED)
		return false;
	drop_entry(e);
	return true;
}

static void withdraw(bct_key_claims_t *c, claim_t *cl)
{
	if (cl->state == CLAIM_WAITING && drop_unsent_intent(c, cl->intent)) {
		drop_claim(c, cl);
		return;
	}
	/* Without memory for the withdrawal the key stays in doubt, which is safe. */
	add_entry(c, &cl->id, cl->intent, BCT_XKEY_WITHDRAW, 0);
	cl->state = CLAIM_CLOSING;
}

void bct_key_claims_withdraw(bct_key_claims_t *c, uint64_t intent)
{
	claim_t *cl = find_claim(c, intent);

	if (cl && cl->state != CLAIM_CLOSING)
		withdraw(c, cl);
}

void bct_key_claims_abandon(bct_key_claims_t *c, uint64_t intent)
{
	claim_t *cl = find_claim(c, intent);

	if (cl && cl->state == CLAIM_WON)
		drop_claim(c, cl);
}

/*
 * Whether the owner can certainly not dispatch any more: its incarnation has ended and its deadline
 * has passed. The owner counts claim_ms from before the append of its intent, so from before this
 * node read it.
 */
static bool owner_cannot_dispatch(const bct_key_claims_t *c, const bct_key_entry_t *k,
				  bct_time_t now)
{
	return has_ended(c, k->incarnation) && now - k->read_at > 2 * (bct_time_t)c->opts.claim_ms;
}

int bct_key_claims_resolve(bct_key_claims_t *c, bct_time_t now, const bct_key_id_t *id, bool ran,
			   bool force, const char *author)
{
	const bct_key_entry_t *k = bct_key_table_find(c->table, id);
	bct_xkey_resolve *r;
	out_entry_t *e;

	if (!k || k->state != BCT_KEY_OWNED)
		return -BCT_ENOT_FOUND;
	if (!force && !ran && !owner_cannot_dispatch(c, k, now))
		return -BCT_ESTATE;
	e = add_entry(c, id, k->intent, BCT_XKEY_RESOLVE, 0);
	if (!e)
		return -BCT_ENOMEM;
	r = &e->x.body.bct_xkey_body_u.resolve;
	snprintf(r->author, sizeof(r->author), "%s", author);
	r->ran = ran;
	r->forced = force;
	return 0;
}

static uint32_t answer_bytes(const out_entry_t *e)
{
	if (e->x.body.type != BCT_XKEY_OUTCOME)
		return 0;
	return e->x.body.bct_xkey_body_u.outcome.answer.answer_len;
}

/*
 * Marks the entries of the next batch and copies them to out. Their answers stay owned by the
 * outbox.
 */
static uint32_t fill_batch(bct_key_claims_t *c, bct_time_t now, bct_xkey_entry *out)
{
	uint32_t n = 0, bytes = 0;
	bct_list_t *el;

	bct_list_for_each(el, &c->outbox) {
		out_entry_t *e = bct_container_of(el, out_entry_t, link);

		if (e->state == ENTRY_UNCONFIRMED && now < e->retry_at)
			continue;
		bytes += answer_bytes(e);
		if (n == BCT_XKEY_BATCH || (n && bytes > BATCH_ANSWER_BYTES))
			break;
		e->state = ENTRY_IN_FLIGHT;
		out[n++] = e->x;
	}
	return n;
}

static int encode(bct_xkey_batch *b, void **out, uint32_t *len_bytes)
{
	char *buf = malloc(BATCH_BUFFER_BYTES);
	XDR xdrs;
	bool ok;

	if (!buf)
		return -BCT_ENOMEM;
	xdrmem_create(&xdrs, buf, BATCH_BUFFER_BYTES, XDR_ENCODE);
	ok = xdr_bct_xkey_batch(&xdrs, b);
	*len_bytes = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	if (!ok) {
		free(buf);
		return -BCT_ENOMEM;
	}
	*out = buf;
	return 0;
}

int bct_key_claims_batch(bct_key_claims_t *c, bct_time_t now, void **out, uint32_t *len_bytes)
{
	bct_xkey_entry *entries;
	bct_xkey_batch b;
	uint32_t n;
	int rc = 0;

	if (bct_list_empty(&c->outbox))
		return 0;
	entries = bct_alloc(sizeof(*entries) * BCT_XKEY_BATCH);
	if (!entries)
		return -BCT_ENOMEM;
	n = fill_batch(c, now, entries);
	b.entries.entries_len = n;
	b.entries.entries_val = entries;
	if (n)
		rc = encode(&b, out, len_bytes);
	bct_free(entries);
	if (rc)
		bct_key_claims_appended(c, now, -BCT_EUNAVAILABLE);
	return rc ? rc : (int)n;
}

static void report_log_down(bct_key_claims_t *c, uint64_t intent)
{
	bct_claim_result_t r = { .intent = intent, .verdict = BCT_CLAIM_LOG_DOWN };

	add_result(c, &r);
}

/*
 * An intent is appended only once. If it is certainly not in the log, its claim ends with LOG_DOWN;
 * otherwise the claim waits until it is read back or its deadline passes.
 */
static void finish_intent_append(bct_key_claims_t *c, out_entry_t *e, int rc)
{
	claim_t *cl = find_claim(c, e->x.intent);

	if (rc == -BCT_EUNAVAILABLE && cl && cl->state == CLAIM_WAITING) {
		report_log_down(c, cl->intent);
		drop_claim(c, cl);
	}
	drop_entry(e);
}

void bct_key_claims_appended(bct_key_claims_t *c, bct_time_t now, int rc)
{
	bct_list_t *el, *tmp;

	bct_list_for_each_safe(el, tmp, &c->outbox) {
		out_entry_t *e = bct_container_of(el, out_entry_t, link);

		if (e->state != ENTRY_IN_FLIGHT)
			continue;
		if (e->x.body.type == BCT_XKEY_INTENT) {
			finish_intent_append(c, e, rc);
			continue;
		}
		e->state = ENTRY_UNCONFIRMED;
		e->retry_at = now + REAPPEND_MS;
	}
}

/* Drops an entry of this node that was read back, so that it is not appended again. */
static void drop_confirmed(bct_key_claims_t *c, const bct_xkey_entry *x)
{
	out_entry_t *e = find_entry(c, x->intent, x->body.type);

	if (e)
		drop_entry(e);
}

/* Decides a claim whose intent was read back. It may be past its deadline without a tick since. */
static void decide_claim(bct_key_claims_t *c, bct_time_t now, claim_t *cl)
{
	const bct_key_entry_t *k = bct_key_table_find(c->table, &cl->id);
	bct_claim_result_t r = { .intent = cl->intent };

	if (k && k->intent == cl->intent) {
		if (now - cl->started > (bct_time_t)c->opts.claim_ms) {
			r.verdict = BCT_CLAIM_LOG_DOWN;
			withdraw(c, cl);
		} else {
			r.verdict = BCT_CLAIM_WON;
			r.send_before = cl->started + c->opts.claim_ms;
			cl->state = CLAIM_WON;
		}
	} else {
		r.verdict =
			k ? check_taken_key(c, k, cl->body, k->wall_ms, &r) : BCT_CLAIM_LOG_DOWN;
		drop_claim(c, cl);
	}
	add_result(c, &r);
}

/* Updates this node's outbox and claim, if any, on a replayed entry with the same intent id. */
static void update_local(bct_key_claims_t *c, bct_time_t now, const bct_xkey_entry *x)
{
	claim_t *cl = find_claim(c, x->intent);

	drop_confirmed(c, x);
	if (!cl)
		return;
	if (x->body.type == BCT_XKEY_INTENT && cl->state == CLAIM_WAITING)
		decide_claim(c, now, cl);
	else if (x->body.type != BCT_XKEY_INTENT && cl->state == CLAIM_CLOSING)
		drop_claim(c, cl);
}

int bct_key_batch_decode(const void *data, uint32_t len_bytes, bct_xkey_batch *out)
{
	XDR xdrs;
	bool ok;

	memset(out, 0, sizeof(*out));
	xdrmem_create(&xdrs, (char *)(uintptr_t)data, len_bytes, XDR_DECODE);
	ok = xdr_bct_xkey_batch(&xdrs, out);
	ok = ok && xdr_getpos(&xdrs) == len_bytes;
	xdr_destroy(&xdrs);
	if (ok)
		return 0;
	bct_key_batch_free(out);
	return -BCT_ECODEC;
}

void bct_key_batch_free(bct_xkey_batch *b)
{
	xdr_free((xdrproc_t)xdr_bct_xkey_batch, b);
	memset(b, 0, sizeof(*b));
}

int bct_key_claims_apply(bct_key_claims_t *c, bct_time_t now, uint64_t offset, const void *data,
			 uint32_t len_bytes)
{
	bct_xkey_batch b;
	int rc = bct_key_batch_decode(data, len_bytes, &b);

	if (rc)
		return rc;
	for (uint32_t i = 0; i < b.entries.entries_len && !rc; i++) {
		const bct_xkey_entry *x = &b.entries.entries_val[i];

		rc = bct_key_table_apply(c->table, now, offset, i, x);
		if (!rc)
			update_local(c, now, x);
	}
	bct_key_batch_free(&b);
	return rc;
}

void bct_key_claims_tick(bct_key_claims_t *c, bct_time_t now, bct_time_t wall)
{
	bct_list_t *el, *tmp;

	bct_list_for_each_safe(el, tmp, &c->claims) {
		claim_t *cl = bct_container_of(el, claim_t, link);

		if (cl->state != CLAIM_WAITING || now - cl->started <= (bct_time_t)c->opts.claim_ms)
			continue;
		report_log_down(c, cl->intent);
		withdraw(c, cl);
	}
	if (wall < c->next_expiry)
		return;
	c->next_expiry = wall + EXPIRY_INTERVAL_MS;
	bct_key_table_expire(c->table, wall - c->opts.window_ms);
}

bool bct_key_claims_idle(const bct_key_claims_t *c)
{
	return bct_list_empty(&c->outbox) && bct_list_empty(&c->claims);
}

const bct_key_table_t *bct_key_claims_table(const bct_key_claims_t *c)
{
	return c->table;
}

uint64_t bct_key_claims_fingerprint(const bct_key_claims_t *c)
{
	uint64_t h = bct_hash_mix(bct_key_table_fingerprint(c->table), c->ready);
	bct_list_t *el;

	bct_list_for_each(el, &c->claims) {
		const claim_t *cl = bct_container_of(el, claim_t, link);

		h = bct_hash_mix(h, cl->intent);
		h = bct_hash_mix(h, (uint64_t)cl->started * 4 + cl->state);
	}
	bct_list_for_each(el, &c->outbox) {
		const out_entry_t *e = bct_container_of(el, out_entry_t, link);

		h = bct_hash_mix(h, e->x.intent);
		h = bct_hash_mix(h, (uint64_t)e->retry_at * 16 + e->state * 4 + e->x.body.type);
	}
	return h;
}
