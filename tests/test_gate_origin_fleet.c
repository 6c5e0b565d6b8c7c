/*
 * test_gate_origin_fleet.c - callers that take broken streams up at any node of a fleet whose nodes
 * restart and lose datagrams, without network: who finds what began a stream, and what it costs.
 */
#include "base/rng.h"
#include "gen/share.h"
#include "policy/gate_origins.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define NODES_MAX 350
#define SECONDS 8
#define STEP_MS 100
#define STREAMS_PER_S 12 /* of a node: the size to design for */
#define BREAK_PERMILLE 100
#define RETURN_MAX_MS 2000	       /* until the caller is back */
#define LOSS_PERMILLE 20	       /* of datagrams */
#define RESTARTS_PERMILLE 10	       /* of the nodes, in a second */
#define DATAGRAM_EXTRA_BYTES (16 + 28) /* MAC, and headers of UDP and IP */
#define CONTROL_BYTES_PER_S 13000      /* of a node, for everything */
#define RETURNS_MAX 32768

/* How nodes learn of each other's streams. */
typedef enum way {
	TELL_ALL = 0,
	ASK_ALL, /* only the beginner knows */
	HOMES,	 /* two are told, four asked: the product's */
	WAYS
} way_t;

typedef struct caller {
	uint64_t attempt;
	bct_time_t back_at;
	bool found;
	bool took_up;
} caller_t;

typedef struct result {
	double found;	      /* share of streams taken up whose origin was found */
	double bytes_per_s;   /* sent by a node, mean */
	uint32_t records_max; /* at one node */
} result_t;

static bct_gate_origins_t ledgers[NODES_MAX];
static uint64_t ids[NODES_MAX];
static caller_t callers[RETURNS_MAX];
static uint32_t n_callers;
static bct_rng_t rng;
static double sent_bytes;

/* Size of a datagram with so many records and questions. */
static double datagram_bytes(u_int records, u_int questions)
{
	static share_origin list[SHARE_ORIGINS_MAX];
	static u_quad_t wanted[SHARE_ORIGINS_MAX];
	share_update u = { 0 };

	u.origins.origins_val = list;
	u.origins.origins_len = records;
	u.origins_wanted.origins_wanted_val = wanted;
	u.origins_wanted.origins_wanted_len = questions;
	return (double)xdr_sizeof((xdrproc_t)xdr_share_update, &u) + DATAGRAM_EXTRA_BYTES;
}

static bool arrives(void)
{
	return bct_rng_below(&rng, 1000) >= LOSS_PERMILLE;
}

static void tell(uint32_t to, bct_time_t now, uint64_t attempt)
{
	bct_gate_origin_t o = { .release = 1, .run = 1 };

	if (arrives())
		bct_gate_origins_put(&ledgers[to], now, attempt, &o, 0);
}

static uint32_t node_of(uint64_t id, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		if (ids[i] == id)
			return i;
	}
	return n;
}

static void begin(way_t way, uint32_t at, uint32_t n, bct_time_t now, uint64_t attempt)
{
	bct_gate_origin_t o = { .release = 1, .run = 1 };
	uint64_t others[NODES_MAX], homes[BCT_GATE_ORIGIN_COPIES];
	uint32_t found, m = 0;

	bct_gate_origins_put(&ledgers[at], now, attempt, &o, 0);
	if (way == ASK_ALL)
		return;
	for (uint32_t i = 0; i < n; i++) {
		if (i != at)
			others[m++] = ids[i];
	}
	if (way == TELL_ALL) {
		for (uint32_t i = 0; i < n; i++) {
			if (i != at)
				tell(i, now, attempt);
		}
		/* Those of a round of 100 ms share a datagram. */
		sent_bytes += m * datagram_bytes(1, 0) / (1 + STREAMS_PER_S / 10.0);
		return;
	}
	found = bct_gate_origin_homes(attempt, others, m, homes, BCT_GATE_ORIGIN_COPIES);
	for (uint32_t i = 0; i < found; i++)
		tell(node_of(homes[i], n), now, attempt);
	sent_bytes += found * datagram_bytes(1, 0);
}

/* Whether one of those asked knows. Two rounds, as questions and answers get lost. */
static bool ask(way_t way, uint32_t at, uint32_t n, bct_time_t now, uint64_t attempt)
{
	uint64_t others[NODES_MAX], asked[NODES_MAX];
	uint32_t m = 0, count, max = BCT_GATE_ORIGIN_ASKED;
	bct_gate_origin_t o;

	for (uint32_t i = 0; i < n; i++) {
		if (i != at)
			others[m++] = ids[i];
	}
	if (way == ASK_ALL || m <= BCT_GATE_ORIGIN_ASK_ALL)
		max = m;
	count = bct_gate_origin_homes(attempt, others, m, asked, max);
	for (int round = 0; round < 2; round++) {
		bool known = false;

		for (uint32_t i = 0; i < count; i++) {
			uint32_t to = node_of(asked[i], n);

			sent_bytes += datagram_bytes(0, 1) + datagram_bytes(1, 0);
			known = known ||
				(arrives() && arrives() &&
				 bct_gate_origins_get(&ledgers[to], now, attempt, &o, NULL));
		}
		if (known)
			return true;
	}
	return false;
}

static void take_up_due(way_t way, uint32_t n, bct_time_t now)
{
	bct_gate_origin_t o;

	for (uint32_t i = 0; i < n_callers; i++) {
		caller_t *c = &callers[i];
		uint32_t at;

		if (c->took_up || now < c->back_at)
			continue;
		at = bct_rng_below(&rng, n);
		c->took_up = true;
		c->found = bct_gate_origins_get(&ledgers[at], now, c->attempt, &o, NULL) ||
			   (way != TELL_ALL && ask(way, at, n, now, c->attempt));
	}
}

/* Nodes that restart have another incarnation and an empty table. */
static void restart_some(uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		if (bct_rng_below(&rng, 1000 * 1000 / STEP_MS) >= RESTARTS_PERMILLE)
			continue;
		bct_gate_origins_free(&ledgers[i]);
		bct_gate_origins_init(&ledgers[i]);
		ids[i] += 1;
	}
}

static void begin_streams(way_t way, uint32_t n, bct_time_t now, uint64_t *next)
{
	uint32_t streams = n * STREAMS_PER_S * STEP_MS / 1000;

	for (uint32_t i = 0; i < streams; i++) {
		uint64_t attempt = bct_gate_origin_attempt("a", "acme") + (*next)++;

		begin(way, bct_rng_below(&rng, n), n, now, attempt);
		if (bct_rng_below(&rng, 1000) < BREAK_PERMILLE && n_callers < RETURNS_MAX)
			callers[n_callers++] = (caller_t){
				.attempt = attempt,
				.back_at = now + STEP_MS + bct_rng_below(&rng, RETURN_MAX_MS),
			};
	}
}

static result_t play(way_t way, uint32_t n, uint64_t seed)
{
	result_t r = { 0 };
	uint32_t taken = 0, found = 0;
	uint64_t next = 1;

	bct_rng_seed(&rng, seed);
	n_callers = 0;
	sent_bytes = 0;
	for (uint32_t i = 0; i < n; i++) {
		bct_gate_origins_init(&ledgers[i]);
		ids[i] = 0x9e3779b97f4a7c15ULL * (i + 1);
	}
	for (bct_time_t now = 1000; now < 1000 + SECONDS * 1000; now += STEP_MS) {
		begin_streams(way, n, now, &next);
		restart_some(n);
		take_up_due(way, n, now);
	}
	for (uint32_t i = 0; i < n_callers; i++) {
		taken += callers[i].took_up;
		found += callers[i].found;
	}
	for (uint32_t i = 0; i < n; i++) {
		if (ledgers[i].records.n > r.records_max)
			r.records_max = ledgers[i].records.n;
		bct_gate_origins_free(&ledgers[i]);
	}
	r.found = taken ? (double)found / taken : 0;
	r.bytes_per_s = sent_bytes / n / SECONDS;
	return r;
}

/* Nodes restart (one in a hundred each second), datagrams are lost (2 in 100), callers return
 * within two seconds at any node: nearly all streams find their version, within what a node may
 * send. */
Test(gate_origin_fleet, callers_find_the_version_at_any_node, .timeout = 120)
{
	static const uint32_t sizes[] = { 7, 87, 195, 350 };
	static const char *const names[] = { "tell all", "ask all", "homes" };

	for (uint32_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		for (way_t way = TELL_ALL; way < WAYS; way++) {
			result_t r = play(way, sizes[i], 7);

			fprintf(stderr, "%3u nodes, %-8s: found %.4f, %8.0f B/s, %u records\n",
				sizes[i], names[way], r.found, r.bytes_per_s, r.records_max);
			if (way != HOMES)
				continue;
			cr_expect_gt(r.found, 0.98, "%u nodes", sizes[i]);
			cr_expect_lt(r.bytes_per_s, CONTROL_BYTES_PER_S, "%u nodes", sizes[i]);
		}
	}
}
