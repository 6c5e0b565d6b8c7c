/*
 * test_key_model.c - model checking of coord/key_claims.h: no interleaving of two nodes that claim
 * one key runs its request twice. The model has a log whose append results may be lost and whose
 * appends may take effect late, node crashes and pauses, and an operator who resolves keys.
 *
 * The first test explores all interleavings up to a depth, and expands a state again only if it is
 * reached at a smaller depth; BCT_MODEL_DEPTH overrides the maximum. The second takes long random
 * walks; BCT_MODEL_WALKS overrides their number.
 */
#include "base/err.h"
#include "base/hash.h"
#include "base/rng.h"
#include "coord/key_claims.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#define NODES 2
#define MAX_REQUESTS 4
#define MAX_LOG 16
#define MAX_DEPTH 32
#define DEFAULT_DEPTH 9
#define DEFAULT_WALKS 20000
#define WALK_STEPS 200
#define CLAIM_MS 100
#define SEEN_SLOTS (1u << 22)

typedef enum op {
	OP_BEGIN = 0,
	OP_BATCH,	/* the node starts to append a batch */
	OP_APPEND,	/* the batch gets into the log */
	OP_APPEND_LATE, /* a batch whose append result was lost gets into the log late */
	OP_ACK,		/* the node learns that its append succeeded */
	OP_LOSE_RESULT, /* the result of the append is lost; the batch may still get into the log */
	OP_FAIL,	/* the node learns that its append failed */
	OP_READ,	/* the node reads one record */
	OP_SEND,	/* the last deadline check before the first byte, and the run */
	OP_FINISH,	/* the request was answered; its outcome is queued */
	OP_TICK,
	OP_CRASH,   /* and restart, as a new incarnation */
	OP_RESOLVE, /* the operator frees the key, having checked that the request has not run */
	OP_FORCE,   /* the same with force, after the owner's deadline */
	OP_COUNT,
} op_t;

typedef struct record {
	void *data;
	uint32_t len;
} record_t;

typedef enum request_state {
	REQ_NONE = 0,
	REQ_CLAIMED,
	REQ_WON,
	REQ_SENT,
	REQ_NOT_RUN, /* answered not_run */
	REQ_ENDED
} request_state_t;

typedef struct request {
	request_state_t state;
	uint32_t node;
	uint64_t intent;
	bct_time_t send_before;
} request_t;

typedef struct node {
	bct_key_claims_t *claims;
	uint64_t incarnation;
	uint32_t next;	     /* record to read */
	record_t in_flight;  /* the batch being appended; without data once it is in the log */
	bool append_pending; /* the node waits for the result of an append */
	bool appended;	     /* the batch of that append is in the log */
	record_t late; /* a batch whose append result was lost; it may still get into the log */
} node_t;

typedef struct world {
	node_t nodes[NODES];
	record_t log[MAX_LOG];
	uint32_t n_log;
	request_t requests[MAX_REQUESTS];
	uint32_t n_requests;
	uint32_t crashes;
	bct_time_t now;
	uint32_t runs;		   /* dispatched requests of the key */
	const char *violation;	   /* set when a rule is broken */
	uint64_t ended[MAX_DEPTH]; /* incarnations that crashed */
} world_t;

static bool has_ended(void *ctx, uint64_t incarnation)
{
	world_t *w = ctx;

	for (uint32_t i = 0; i < w->crashes; i++) {
		if (w->ended[i] == incarnation)
			return true;
	}
	return false;
}

static void boot(world_t *w, uint32_t i)
{
	node_t *n = &w->nodes[i];
	bct_key_claims_opts_t opts = {
		.incarnation = 100 + i + 10 * w->crashes,
		.claim_ms = CLAIM_MS,
		.run_ms = 100000,
		.window_ms = 1000000,
		.max_claims = 8,
		.gone = has_ended,
		.ctx = w,
	};

	n->incarnation = opts.incarnation;
	n->next = 0;
	n->append_pending = false;
	cr_assert_eq(bct_key_claims_new(&opts, &n->claims), 0);
	bct_key_claims_set_ready(n->claims, w->n_log == 0);
}

static const bct_key_id_t test_key = { { 7 } };

static request_t *request_of(world_t *w, uint64_t intent)
{
	for (uint32_t i = 0; i < w->n_requests; i++) {
		if (w->requests[i].intent == intent)
			return &w->requests[i];
	}
	return NULL;
}

/* Records the result of a claim for its request. */
static void record_result(world_t *w, const bct_claim_result_t *r)
{
	request_t *q = request_of(w, r->intent);

	if (!q || q->state != REQ_CLAIMED)
		return;
	q->send_before = r->send_before;
	switch (r->verdict) {
	case BCT_CLAIM_WON:
		q->state = REQ_WON;
		break;
	case BCT_CLAIM_LOG_DOWN:
	case BCT_CLAIM_NOT_READY:
	case BCT_CLAIM_FULL:
		q->state = REQ_NOT_RUN;
		break;
	default:
		q->state = REQ_ENDED;
	}
}

static void record_results(world_t *w, node_t *n)
{
	bct_claim_result_t r;

	while (bct_key_claims_result(n->claims, &r))
		record_result(w, &r);
}

static bool do_begin(world_t *w, uint32_t i)
{
	request_t *q = &w->requests[w->n_requests];
	bct_claim_result_t r;

	if (w->n_requests == MAX_REQUESTS)
		return false;
	q->state = REQ_CLAIMED;
	q->node = i;
	q->intent = 1000 + ++w->n_requests;
	if (bct_key_claims_begin(w->nodes[i].claims, w->now, w->now, &test_key, 5, q->intent, &r) !=
	    BCT_CLAIM_PENDING)
		record_result(w, &r);
	return true;
}

static bool do_batch(world_t *w, node_t *n)
{
	void *data;

	if (n->append_pending)
		return false;
	if (bct_key_claims_batch(n->claims, w->now, &data, &n->in_flight.len) <= 0)
		return false;
	n->in_flight.data = data;
	n->append_pending = true;
	n->appended = false;
	return true;
}

static bool append(world_t *w, record_t *r)
{
	if (!r->data || w->n_log == MAX_LOG)
		return false;
	w->log[w->n_log++] = *r;
	r->data = NULL;
	return true;
}

static bool do_append(world_t *w, node_t *n)
{
	if (!n->append_pending || n->appended || !append(w, &n->in_flight))
		return false;
	n->appended = true;
	return true;
}

/* Turns the batch in flight into a late one. An earlier late batch is lost for good. */
static void make_late(node_t *n)
{
	free(n->late.data);
	n->late = n->in_flight;
	n->in_flight.data = NULL;
}

static bool do_append_result(world_t *w, node_t *n, op_t op)
{
	static const int rcs[] = { [OP_ACK] = 0,
				   [OP_LOSE_RESULT] = -BCT_EUNKNOWN_OUTCOME,
				   [OP_FAIL] = -BCT_EUNAVAILABLE };

	if (!n->append_pending || (op == OP_ACK && !n->appended) || (op == OP_FAIL && n->appended))
		return false;
	n->append_pending = false;
	if (op == OP_LOSE_RESULT && !n->appended)
		make_late(n);
	if (op == OP_FAIL) {
		free(n->in_flight.data);
		n->in_flight.data = NULL;
	}
	bct_key_claims_appended(n->claims, w->now, rcs[op]);
	return true;
}

static bool do_read(world_t *w, node_t *n)
{
	record_t *r = &w->log[n->next];

	if (n->next == w->n_log)
		return false;
	cr_assert_eq(bct_key_claims_apply(n->claims, w->now, n->next, r->data, r->len), 0);
	if (++n->next == w->n_log)
		bct_key_claims_set_ready(n->claims, true);
	return true;
}

static bool do_send(world_t *w, uint32_t i)
{
	for (uint32_t j = 0; j < w->n_requests; j++) {
		request_t *q = &w->requests[j];

		if (q->state != REQ_WON || q->node != i)
			continue;
		if (w->now > q->send_before) {
			q->state = REQ_NOT_RUN;
			bct_key_claims_withdraw(w->nodes[i].claims, q->intent);
			return true;
		}
		q->state = REQ_SENT;
		if (++w->runs > 1)
			w->violation = "requests of the key ran twice";
		return true;
	}
	return false;
}

static bool do_finish(world_t *w, uint32_t i)
{
	for (uint32_t j = 0; j < w->n_requests; j++) {
		request_t *q = &w->requests[j];

		if (q->state != REQ_SENT || q->node != i)
			continue;
		bct_key_claims_finish(w->nodes[i].claims, q->intent, 200, "t", "a", 1);
		q->state = REQ_ENDED;
		return true;
	}
	return false;
}

static bool do_crash(world_t *w, uint32_t i)
{
	node_t *n = &w->nodes[i];

	if (w->crashes == 2)
		return false;
	bct_key_claims_free(n->claims);
	for (uint32_t j = 0; j < w->n_requests; j++) {
		if (w->requests[j].node == i)
			w->requests[j].state = REQ_ENDED;
	}
	if (n->append_pending && !n->appended)
		make_late(n);
	w->ended[w->crashes++] = n->incarnation;
	boot(w, i);
	return true;
}

static bool do_resolve(world_t *w, node_t *n)
{
	if (w->runs)
		return false;
	return !bct_key_claims_resolve(n->claims, w->now, &test_key, false, false, "op");
}

static bool do_force(world_t *w, node_t *n)
{
	const bct_key_entry_t *k = bct_key_table_find(bct_key_claims_table(n->claims), &test_key);

	if (w->runs || !k || w->now - k->read_at <= 2 * CLAIM_MS)
		return false;
	return !bct_key_claims_resolve(n->claims, w->now, &test_key, false, true, "op");
}

/*
 * All nodes share one clock; a node that gets no ticks is suspended. Returns false, which ends a
 * path of the search, after 12 times CLAIM_MS.
 */
static bool do_tick(world_t *w, node_t *n)
{
	w->now += CLAIM_MS * 3 / 4;
	bct_key_claims_tick(n->claims, w->now, w->now);
	return w->now < CLAIM_MS * 12;
}

static bool step(world_t *w, uint32_t choice)
{
	uint32_t i = choice / OP_COUNT;
	node_t *n = &w->nodes[i];
	op_t op = choice % OP_COUNT;
	bool done = false;

	switch (op) {
	case OP_BEGIN:
		done = do_begin(w, i);
		break;
	case OP_BATCH:
		done = do_batch(w, n);
		break;
	case OP_APPEND:
		done = do_append(w, n);
		break;
	case OP_APPEND_LATE:
		done = append(w, &n->late);
		break;
	case OP_ACK:
	case OP_LOSE_RESULT:
	case OP_FAIL:
		done = do_append_result(w, n, op);
		break;
	case OP_READ:
		done = do_read(w, n);
		break;
	case OP_SEND:
		done = do_send(w, i);
		break;
	case OP_FINISH:
		done = do_finish(w, i);
		break;
	case OP_TICK:
		done = do_tick(w, n);
		break;
	case OP_CRASH:
		done = do_crash(w, i);
		break;
	case OP_RESOLVE:
		done = do_resolve(w, n);
		break;
	case OP_FORCE:
		done = do_force(w, n);
		break;
	case OP_COUNT:
		break;
	}
	record_results(w, n);
	return done;
}

static void world_free(world_t *w)
{
	for (uint32_t i = 0; i < NODES; i++) {
		bct_key_claims_free(w->nodes[i].claims);
		free(w->nodes[i].in_flight.data);
		free(w->nodes[i].late.data);
	}
	for (uint32_t i = 0; i < w->n_log; i++)
		free(w->log[i].data);
}

/* A hash of everything that the further course depends on. */
static uint64_t fingerprint(const world_t *w)
{
	uint64_t h = bct_hash_mix((uint64_t)w->now, w->runs);

	for (uint32_t i = 0; i < NODES; i++) {
		const node_t *n = &w->nodes[i];

		h = bct_hash_mix(h, bct_key_claims_fingerprint(n->claims));
		h = bct_hash_mix(h, n->incarnation * 1000 + n->next);
		h = bct_hash_mix(h, n->append_pending * 2u + n->appended);
		if (n->in_flight.data)
			h = bct_hash_mix(h, bct_hash(n->in_flight.data, n->in_flight.len));
		if (n->late.data)
			h = bct_hash_mix(h, ~bct_hash(n->late.data, n->late.len));
	}
	for (uint32_t i = 0; i < w->n_log; i++)
		h = bct_hash_mix(h, bct_hash(w->log[i].data, w->log[i].len));
	for (uint32_t i = 0; i < w->n_requests; i++)
		h = bct_hash_mix(h,
				 w->requests[i].state + 16u * (uint64_t)w->requests[i].send_before);
	return h;
}

typedef struct explorer {
	uint64_t *seen; /* fingerprints of visited states, with open addressing */
	uint8_t *depth; /* the smallest depth at which the state in the same slot was reached */
	uint32_t max_depth;
	uint8_t path[MAX_DEPTH]; /* choices from the initial state */
	uint64_t states;	 /* visited */
	uint64_t sent;		 /* dispatches on all paths */
	const char *violation;
} explorer_t;

/* Whether a state was visited before with at least as many steps remaining; marks it as visited. */
static bool visited(explorer_t *x, uint64_t h, uint32_t depth)
{
	uint32_t at = (uint32_t)h & (SEEN_SLOTS - 1);

	while (x->seen[at] && x->seen[at] != h)
		at = (at + 1) & (SEEN_SLOTS - 1);
	if (x->seen[at] == h && x->depth[at] <= depth)
		return true;
	x->seen[at] = h;
	x->depth[at] = (uint8_t)depth;
	return false;
}

/* Repeats the path from the initial state, since the state machines cannot be copied. */
static bool replay_path(explorer_t *x, uint32_t len, world_t *w)
{
	bool done = true;

	memset(w, 0, sizeof(*w));
	for (uint32_t i = 0; i < NODES; i++)
		boot(w, i);
	for (uint32_t i = 0; i < len && done; i++)
		done = step(w, x->path[i]);
	return done;
}

static void explore(explorer_t *x, uint32_t len)
{
	for (uint32_t choice = 0; choice < NODES * OP_COUNT && !x->violation; choice++) {
		world_t w;
		bool enter;

		x->path[len] = (uint8_t)choice;
		enter = replay_path(x, len + 1, &w);
		x->violation = w.violation;
		x->sent += w.runs;
		enter = enter && !visited(x, fingerprint(&w), len + 1);
		world_free(&w);
		if (!enter || x->violation)
			continue;
		x->states++;
		if (len + 1 < x->max_depth)
			explore(x, len + 1);
	}
}

Test(key_model, no_interleaving_runs_a_key_twice, .timeout = 600)
{
	const char *depth = getenv("BCT_MODEL_DEPTH");
	explorer_t x = { .max_depth = depth ? (uint32_t)atoi(depth) : DEFAULT_DEPTH };

	x.seen = calloc(SEEN_SLOTS, sizeof(*x.seen));
	x.depth = calloc(SEEN_SLOTS, sizeof(*x.depth));
	cr_assert(x.seen && x.depth && x.max_depth <= MAX_DEPTH);
	explore(&x, 0);
	cr_assert_null(x.violation, "%s", x.violation);
	cr_assert_gt(x.sent, 0, "no path dispatched a request");
	cr_log_info("depth %u: %llu states", x.max_depth, (unsigned long long)x.states);
	free(x.seen);
	free(x.depth);
}

/* Lets both nodes append and read until nothing remains to be done. */
static void run_until_idle(world_t *w)
{
	for (uint32_t round = 0; round < 4; round++) {
		for (uint32_t i = 0; i < NODES; i++) {
			node_t *n = &w->nodes[i];

			w->now += CLAIM_MS * 10;
			bct_key_claims_tick(n->claims, w->now, w->now);
			record_results(w, n);
			do_batch(w, n);
			do_append(w, n);
			do_append_result(w, n, n->appended ? OP_ACK : OP_LOSE_RESULT);
			append(w, &n->late);
			while (do_read(w, n))
				record_results(w, n);
		}
	}
}

/* A caller that received not_run may retry, so the key must not stay owned by the ended intent. */
static void check_freed(world_t *w)
{
	for (uint32_t i = 0; i < NODES; i++) {
		const bct_key_entry_t *k =
			bct_key_table_find(bct_key_claims_table(w->nodes[i].claims), &test_key);
		const request_t *q = k ? request_of(w, k->intent) : NULL;

		if (q && q->state == REQ_NOT_RUN && k->state == BCT_KEY_OWNED && w->n_log < MAX_LOG)
			w->violation = "a key stays owned by a request that was answered not_run";
	}
}

/* Weights of the steps in a walk: progress is frequent, faults and OP_FINISH are rare. */
static const uint32_t weights[OP_COUNT] = {
	[OP_BEGIN] = 1,	      [OP_BATCH] = 8,	    [OP_APPEND] = 8, [OP_ACK] = 6,
	[OP_APPEND_LATE] = 3, [OP_LOSE_RESULT] = 3, [OP_FAIL] = 1,   [OP_READ] = 16,
	[OP_SEND] = 2,	      [OP_FINISH] = 1,	    [OP_TICK] = 3,   [OP_CRASH] = 1,
	[OP_RESOLVE] = 3,     [OP_FORCE] = 5,
};

static uint32_t draw_choice(bct_rng_t *rng)
{
	uint32_t sum = 0, at, op = 0;

	for (uint32_t i = 0; i < OP_COUNT; i++)
		sum += weights[i];
	at = bct_rng_below(rng, sum);
	while (at >= weights[op])
		at -= weights[op++];
	return bct_rng_below(rng, NODES) * OP_COUNT + op;
}

/*
 * Random walks reach states beyond the depth of the exhaustive search. Steps that are not possible
 * are skipped; the weights make most of them possible.
 */
static void walk(uint64_t seed, uint32_t steps, uint64_t *sent)
{
	bct_rng_t rng;
	world_t w;

	bct_rng_seed(&rng, seed);
	memset(&w, 0, sizeof(w));
	for (uint32_t i = 0; i < NODES; i++)
		boot(&w, i);
	for (uint32_t i = 0; i < steps && !w.violation; i++)
		step(&w, draw_choice(&rng));
	*sent += w.runs;
	if (!w.violation) {
		run_until_idle(&w);
		check_freed(&w);
	}
	cr_assert_null(w.violation, "seed %llu: %s", (unsigned long long)seed, w.violation);
	world_free(&w);
}

Test(key_model, no_long_walk_runs_a_key_twice, .timeout = 600)
{
	const char *env = getenv("BCT_MODEL_WALKS");
	uint64_t walks = env ? strtoull(env, NULL, 10) : DEFAULT_WALKS;
	uint64_t sent = 0;

	for (uint64_t seed = 1; seed <= walks; seed++)
		walk(seed, WALK_STEPS, &sent);
	cr_assert_gt(sent, walks / 10, "too few walks dispatched a request: %llu",
		     (unsigned long long)sent);
}
