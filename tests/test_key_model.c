/*
 * test_key_model.c - explores every interleaving, to a depth, of two nodes, one key and a log that
 * loses answers, with crashes, pauses and an operator. States that were met before are not
 * entered again. BCT_MODEL_DEPTH sets another depth.
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
	OP_TAKE,   /* a batch leaves the node */
	OP_LAND,   /* it takes effect in the log */
	OP_STRAY,  /* a batch that the node gave up on takes effect */
	OP_ANSWER, /* the node learns that it did */
	OP_LOSE,   /* the node learns nothing; the batch may still land */
	OP_REFUSE, /* it surely did not land */
	OP_READ,   /* the node reads one record */
	OP_SEND,   /* the last check before the first byte, and the run */
	OP_FINISH, /* the answer came; its outcome is queued */
	OP_TICK,
	OP_CRASH,
	OP_RESOLVE, /* the operator says: was not run. It looked: no run so far */
	OP_FORCE,   /* the same by force, after the deadline of the owner */
	OP_COUNT,
} op_t;

typedef struct record {
	void *data;
	uint32_t len;
} record_t;

typedef enum request_state {
	REQ_NONE = 0,
	REQ_ASKED,
	REQ_WON,
	REQ_SENT,
	REQ_NOT_RUN,
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
	uint32_t next; /* record to read */
	record_t flying;
	bool waits; /* for the answer to an append */
	bool landed;
	record_t stray; /* a batch that the node has given up on; it may land yet */
} node_t;

typedef struct world {
	node_t nodes[NODES];
	record_t log[MAX_LOG];
	uint32_t n_log;
	request_t requests[MAX_REQUESTS];
	uint32_t n_requests;
	uint32_t crashes;
	bct_time_t now;
	uint32_t runs;
	const char *breach;
	uint64_t dead[MAX_DEPTH];
} world_t;

static bool gone(void *ctx, uint64_t incarnation)
{
	world_t *w = ctx;

	for (uint32_t i = 0; i < w->crashes; i++) {
		if (w->dead[i] == incarnation)
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
		.gone = gone,
		.ctx = w,
	};

	n->incarnation = opts.incarnation;
	n->next = 0;
	n->waits = false;
	cr_assert_eq(bct_key_claims_new(&opts, &n->claims), 0);
	bct_key_claims_set_ready(n->claims, w->n_log == 0);
}

static const bct_key_id_t the_key = { { 7 } };

static request_t *request_of(world_t *w, uint64_t intent)
{
	for (uint32_t i = 0; i < w->n_requests; i++) {
		if (w->requests[i].intent == intent)
			return &w->requests[i];
	}
	return NULL;
}

static void take_result(world_t *w, const bct_claim_result_t *r)
{
	request_t *q = request_of(w, r->intent);

	if (!q || q->state != REQ_ASKED)
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

static void take_results(world_t *w, node_t *n)
{
	bct_claim_result_t r;

	while (bct_key_claims_result(n->claims, &r))
		take_result(w, &r);
}

static bool do_begin(world_t *w, uint32_t i)
{
	request_t *q = &w->requests[w->n_requests];
	bct_claim_result_t r;

	if (w->n_requests == MAX_REQUESTS)
		return false;
	q->state = REQ_ASKED;
	q->node = i;
	q->intent = 1000 + ++w->n_requests;
	if (bct_key_claims_begin(w->nodes[i].claims, w->now, w->now, &the_key, 5, q->intent, &r) !=
	    BCT_CLAIM_PENDING)
		take_result(w, &r);
	return true;
}

static bool do_take(world_t *w, node_t *n)
{
	void *data;

	if (n->waits)
		return false;
	if (bct_key_claims_batch(n->claims, w->now, &data, &n->flying.len) <= 0)
		return false;
	n->flying.data = data;
	n->waits = true;
	n->landed = false;
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

static bool do_land(world_t *w, node_t *n)
{
	if (!n->waits || n->landed || !append(w, &n->flying))
		return false;
	n->landed = true;
	return true;
}

/* The batch that flies becomes a stray one; an older stray never lands. */
static void lose_sight(node_t *n)
{
	free(n->stray.data);
	n->stray = n->flying;
	n->flying.data = NULL;
}

static bool do_answer(world_t *w, node_t *n, op_t op)
{
	static const int rcs[] = {
		[OP_ANSWER] = 0, [OP_LOSE] = -BCT_EUNKNOWN_OUTCOME, [OP_REFUSE] = -BCT_EUNAVAILABLE
	};

	if (!n->waits || (op == OP_ANSWER && !n->landed) || (op == OP_REFUSE && n->landed))
		return false;
	n->waits = false;
	if (op == OP_LOSE && !n->landed)
		lose_sight(n);
	if (op == OP_REFUSE) {
		free(n->flying.data);
		n->flying.data = NULL;
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
			w->breach = "it ran twice";
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
	if (n->waits && !n->landed)
		lose_sight(n);
	w->dead[w->crashes++] = n->incarnation;
	boot(w, i);
	return true;
}

static bool do_resolve(world_t *w, node_t *n)
{
	if (w->runs)
		return false;
	return !bct_key_claims_resolve(n->claims, w->now, &the_key, false, false, "op");
}

static bool do_force(world_t *w, node_t *n)
{
	const bct_key_entry_t *k = bct_key_table_find(bct_key_claims_table(n->claims), &the_key);

	if (w->runs || !k || w->now - k->read_at <= 2 * CLAIM_MS)
		return false;
	return !bct_key_claims_resolve(n->claims, w->now, &the_key, false, true, "op");
}

/* The clock is the same everywhere; a node that is not ticked is paused. */
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
	case OP_TAKE:
		done = do_take(w, n);
		break;
	case OP_LAND:
		done = do_land(w, n);
		break;
	case OP_STRAY:
		done = append(w, &n->stray);
		break;
	case OP_ANSWER:
	case OP_LOSE:
	case OP_REFUSE:
		done = do_answer(w, n, op);
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
	take_results(w, n);
	return done;
}

static void world_free(world_t *w)
{
	for (uint32_t i = 0; i < NODES; i++) {
		bct_key_claims_free(w->nodes[i].claims);
		free(w->nodes[i].flying.data);
		free(w->nodes[i].stray.data);
	}
	for (uint32_t i = 0; i < w->n_log; i++)
		free(w->log[i].data);
}

static uint64_t fingerprint(const world_t *w)
{
	uint64_t h = bct_hash_mix((uint64_t)w->now, w->runs);

	for (uint32_t i = 0; i < NODES; i++) {
		const node_t *n = &w->nodes[i];

		h = bct_hash_mix(h, bct_key_claims_fingerprint(n->claims));
		h = bct_hash_mix(h, n->incarnation * 1000 + n->next);
		h = bct_hash_mix(h, n->waits * 2u + n->landed);
		if (n->flying.data)
			h = bct_hash_mix(h, bct_hash(n->flying.data, n->flying.len));
		if (n->stray.data)
			h = bct_hash_mix(h, ~bct_hash(n->stray.data, n->stray.len));
	}
	for (uint32_t i = 0; i < w->n_log; i++)
		h = bct_hash_mix(h, bct_hash(w->log[i].data, w->log[i].len));
	for (uint32_t i = 0; i < w->n_requests; i++)
		h = bct_hash_mix(h,
				 w->requests[i].state + 16u * (uint64_t)w->requests[i].send_before);
	return h;
}

typedef struct explorer {
	uint64_t *seen; /* open addressing; the depth left is mixed in by storing the smallest depth
			 */
	uint8_t *depth;
	uint32_t max_depth;
	uint8_t path[MAX_DEPTH];
	uint64_t states;
	uint64_t sent;
	const char *breach;
} explorer_t;

/* Whether a state was met before with at least as many steps left. */
static bool met(explorer_t *x, uint64_t h, uint32_t depth)
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

/* Runs the path anew: the state machines are not copied. */
static bool replay(explorer_t *x, uint32_t len, world_t *w)
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
	for (uint32_t choice = 0; choice < NODES * OP_COUNT && !x->breach; choice++) {
		world_t w;
		bool enter;

		x->path[len] = (uint8_t)choice;
		enter = replay(x, len + 1, &w);
		x->breach = w.breach;
		x->sent += w.runs;
		enter = enter && !met(x, fingerprint(&w), len + 1);
		world_free(&w);
		if (!enter || x->breach)
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
	cr_assert_null(x.breach, "%s", x.breach);
	cr_assert_gt(x.sent, 0, "no path ever sent the request");
	cr_log_info("depth %u: %llu states", x.max_depth, (unsigned long long)x.states);
	free(x.seen);
	free(x.depth);
}

/* Lets both nodes write and read until nothing is left to do. */
static void settle(world_t *w)
{
	for (uint32_t round = 0; round < 4; round++) {
		for (uint32_t i = 0; i < NODES; i++) {
			node_t *n = &w->nodes[i];

			w->now += CLAIM_MS * 10;
			bct_key_claims_tick(n->claims, w->now, w->now);
			take_results(w, n);
			do_take(w, n);
			do_land(w, n);
			do_answer(w, n, n->landed ? OP_ANSWER : OP_LOSE);
			append(w, &n->stray);
			while (do_read(w, n))
				take_results(w, n);
		}
	}
}

/* A caller that was told not_run may try again: the key must not stay with the dead intent. */
static void check_freed(world_t *w)
{
	for (uint32_t i = 0; i < NODES; i++) {
		const bct_key_entry_t *k =
			bct_key_table_find(bct_key_claims_table(w->nodes[i].claims), &the_key);
		const request_t *q = k ? request_of(w, k->intent) : NULL;

		if (q && q->state == REQ_NOT_RUN && k->state == BCT_KEY_OWNED && w->n_log < MAX_LOG)
			w->breach = "a key stays with a request that was told not_run";
	}
}

/* How often a walk tries each step: progress is common, faults and the last step are not. */
static const uint32_t weights[OP_COUNT] = {
	[OP_BEGIN] = 1, [OP_TAKE] = 8,	 [OP_LAND] = 8,	   [OP_ANSWER] = 6, [OP_STRAY] = 3,
	[OP_LOSE] = 3,	[OP_REFUSE] = 1, [OP_READ] = 16,   [OP_SEND] = 2,   [OP_FINISH] = 1,
	[OP_TICK] = 3,	[OP_CRASH] = 1,	 [OP_RESOLVE] = 3, [OP_FORCE] = 5,
};

static uint32_t draw(bct_rng_t *rng)
{
	uint32_t sum = 0, at, op = 0;

	for (uint32_t i = 0; i < OP_COUNT; i++)
		sum += weights[i];
	at = bct_rng_below(rng, sum);
	while (at >= weights[op])
		at -= weights[op++];
	return bct_rng_below(rng, NODES) * OP_COUNT + op;
}

/* Long walks reach what the exhaustive search is too shallow for; most steps are possible ones. */
static void walk(uint64_t seed, uint32_t steps, uint64_t *sent)
{
	bct_rng_t rng;
	world_t w;

	bct_rng_seed(&rng, seed);
	memset(&w, 0, sizeof(w));
	for (uint32_t i = 0; i < NODES; i++)
		boot(&w, i);
	for (uint32_t i = 0; i < steps && !w.breach; i++)
		step(&w, draw(&rng));
	*sent += w.runs;
	if (!w.breach) {
		settle(&w);
		check_freed(&w);
	}
	cr_assert_null(w.breach, "seed %llu: %s", (unsigned long long)seed, w.breach);
	world_free(&w);
}

Test(key_model, no_long_walk_runs_a_key_twice, .timeout = 600)
{
	const char *env = getenv("BCT_MODEL_WALKS");
	uint64_t walks = env ? strtoull(env, NULL, 10) : DEFAULT_WALKS;
	uint64_t sent = 0;

	for (uint64_t seed = 1; seed <= walks; seed++)
		walk(seed, WALK_STEPS, &sent);
	cr_assert_gt(sent, walks / 10, "too few walks sent the request: %llu",
		     (unsigned long long)sent);
}
