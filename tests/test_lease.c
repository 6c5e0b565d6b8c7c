/*
 * test_lease.c - random walks of three nodes on one lease, with lost append results, late records,
 * pauses and crashes: at most one node is the valid holder at any time, and tokens only grow.
 * BCT_LEASE_WALKS overrides the number of walks.
 */
#include "base/err.h"
#include "base/rng.h"
#include "coord/lease.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#define NODES 3
#define LOG_MAX 400
#define STEPS 600
#define DEFAULT_WALKS 3000
#define TTL_MS 100
#define MARGIN_MS 10

typedef struct node {
	bct_lease_t lease;
	uint32_t next;
	bct_xlease_record in_flight; /* sent, not in the log yet */
	bool has_in_flight;
	bool paused;
	uint64_t token; /* highest with which this node was valid */
} node_t;

typedef struct world {
	node_t nodes[NODES];
	bct_xlease_record log[LOG_MAX];
	uint32_t n_log;
	bct_time_t now;
	uint64_t last_id;
	uint64_t max_token;    /* highest with which any node was valid */
	uint32_t terms;	       /* periods of one holder with one token */
	const char *violation; /* set when a rule is broken */
} world_t;

static void boot(world_t *w, uint32_t i)
{
	node_t *n = &w->nodes[i];
	bct_lease_opts_t opts = {
		.name = "placement",
		.incarnation = ++w->last_id,
		.ttl_ms = TTL_MS,
		.renew_ms = TTL_MS / 3,
		.margin_ms = MARGIN_MS,
		.delay_ms = 5 * i,
	};

	memset(n, 0, sizeof(*n));
	bct_lease_init(&n->lease, &opts, w->now);
}

static void append(world_t *w, node_t *n)
{
	if (!n->has_in_flight || w->n_log == LOG_MAX)
		return;
	w->log[w->n_log++] = n->in_flight;
	n->has_in_flight = false;
}

static void send_next(world_t *w, node_t *n)
{
	bct_xlease_record r;

	if (!bct_lease_next(&n->lease, w->now, ++w->last_id, &r))
		return;
	/* An earlier record that is still in flight is lost for good. */
	n->in_flight = r;
	n->has_in_flight = true;
}

static void read_all(world_t *w, node_t *n)
{
	for (; n->next < w->n_log; n->next++)
		bct_lease_apply(&n->lease, w->now, n->next, &w->log[n->next]);
}

static void check(world_t *w)
{
	uint32_t valid = 0;

	for (uint32_t i = 0; i < NODES; i++) {
		node_t *n = &w->nodes[i];

		if (!bct_lease_valid(&n->lease, w->now))
			continue;
		valid++;
		if (n->lease.token < w->max_token)
			w->violation = "a token is valid after a higher one was";
		if (n->lease.token > w->max_token) {
			w->max_token = n->lease.token;
			w->terms++;
		}
	}
	if (valid > 1)
		w->violation = "two nodes are valid holders";
}

static void step(world_t *w, bct_rng_t *rng)
{
	uint32_t i = bct_rng_below(rng, NODES);
	node_t *n = &w->nodes[i];
	uint32_t roll = bct_rng_below(rng, 100);

	w->now += bct_rng_below(rng, 8);
	if (roll < 2)
		n->paused = true;
	else if (roll < 8)
		n->paused = false;
	else if (roll < 9)
		boot(w, i);
	else if (roll < 11)
		bct_lease_want(&n->lease, bct_rng_below(rng, 2));
	else if (roll < 14 && n->has_in_flight)
		bct_lease_append_failed(&n->lease, n->in_flight.id), n->has_in_flight = false;
	else if (roll < 45)
		append(w, n);
	else if (roll < 75 && !n->paused)
		read_all(w, n);
	else if (!n->paused)
		send_next(w, n);
}

static uint32_t walk(uint64_t seed)
{
	static world_t w;
	bct_rng_t rng;

	memset(&w, 0, sizeof(w));
	w.now = 1000;
	bct_rng_seed(&rng, seed);
	for (uint32_t i = 0; i < NODES; i++)
		boot(&w, i);
	for (uint32_t i = 0; i < STEPS && !w.violation; i++) {
		step(&w, &rng);
		check(&w);
	}
	cr_assert_null(w.violation, "seed %llu: %s", (unsigned long long)seed, w.violation);
	return w.terms;
}

Test(lease, at_most_one_valid_holder)
{
	const char *env = getenv("BCT_LEASE_WALKS");
	uint64_t walks = env ? strtoull(env, NULL, 10) : DEFAULT_WALKS;
	uint64_t terms = 0;

	for (uint64_t seed = 1; seed <= walks; seed++)
		terms += walk(seed);
	cr_assert_gt(terms, walks, "too few changes of the holder: %llu",
		     (unsigned long long)terms);
}

Test(lease, resumed_holder_is_not_valid)
{
	static world_t w;
	node_t *a = &w.nodes[0], *b = &w.nodes[1];

	memset(&w, 0, sizeof(w));
	w.now = 1000;
	boot(&w, 0);
	boot(&w, 1);
	send_next(&w, a);
	append(&w, a);
	read_all(&w, a);
	read_all(&w, b);
	cr_assert(bct_lease_valid(&a->lease, w.now));
	/* While a is suspended, b waits for the time to live, the margin and its delay. */
	w.now += TTL_MS + MARGIN_MS + 5;
	send_next(&w, b);
	append(&w, b);
	read_all(&w, b);
	cr_assert(bct_lease_valid(&b->lease, w.now));
	cr_assert_gt(b->lease.token, a->lease.token);
	cr_assert(!bct_lease_valid(&a->lease, w.now),
		  "a resumed holder is valid before it has read the log");
	read_all(&w, a);
	cr_assert(!bct_lease_valid(&a->lease, w.now));
}

Test(lease, release_skips_the_time_to_live)
{
	static world_t w;
	node_t *a = &w.nodes[0], *b = &w.nodes[1];

	memset(&w, 0, sizeof(w));
	w.now = 1000;
	boot(&w, 0);
	boot(&w, 1);
	send_next(&w, a);
	append(&w, a);
	read_all(&w, a);
	bct_lease_want(&a->lease, false);
	cr_assert(!bct_lease_valid(&a->lease, w.now));
	send_next(&w, a);
	append(&w, a);
	read_all(&w, b);
	w.now += 5;
	send_next(&w, b);
	append(&w, b);
	read_all(&w, b);
	cr_assert(bct_lease_valid(&b->lease, w.now));
}

Test(lease, record_round_trips_and_truncated_record_is_refused)
{
	bct_xlease_record r = { .kind = BCT_XLEASE_CLAIM, .name = "placement", .id = 7, .seen = 9 };
	bct_xlease_record decoded;
	uint8_t data[256];
	uint32_t len;

	cr_assert_eq(bct_lease_encode(&r, data, sizeof(data), &len), 0);
	cr_assert_eq(bct_lease_decode(data, len, &decoded), 0);
	cr_assert_str_eq(decoded.name, "placement");
	cr_assert_eq(decoded.seen, 9);
	bct_lease_record_free(&decoded);
	for (uint32_t truncated_len = 0; truncated_len < len; truncated_len++)
		cr_assert_eq(bct_lease_decode(data, truncated_len, &decoded), -BCT_ECODEC);
	cr_assert_eq(bct_lease_encode(&r, data, 8, &len), -BCT_ETOO_LARGE);
}
