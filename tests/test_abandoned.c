/*
 * test_abandoned.c - attempts that a node gave up: which of them count as crashes of their
 * upstream. The pattern: a request without an answer within the silence limit, whose upstream ends
 * a few milliseconds after the connection was closed.
 */
#include "policy/abandoned.h"
#include "policy/gate_upstreams.h"

#include <criterion/criterion.h>
#include <stdio.h>

#define START 100000
#define DIGEST 77

static bct_gate_upstreams_t t;
static bct_abandoned_list_t l;

static bct_gate_upstream_t *add(const char *id, int64_t born_ms, bct_time_t now)
{
	bct_gate_entry_t e = { .port = 80, .born_ms = born_ms, .sequence = 1 };

	snprintf(e.id, sizeof(e.id), "%s", id);
	snprintf(e.service, sizeof(e.service), "desk");
	snprintf(e.ip, sizeof(e.ip), "10.0.0.1");
	cr_assert_geq(bct_gate_upstreams_apply(&t, now, &e), 0);
	return bct_gate_upstreams_find(&t, id);
}

static void init(void)
{
	bct_gate_upstreams_init(&t);
}

static void fini(void)
{
	bct_gate_upstreams_free(&t);
}

TestSuite(abandoned, .init = init, .fini = fini);

static void give_up(uint64_t digest, const bct_gate_upstream_t *u)
{
	bct_abandoned_t a = {
		.digest = digest, .upstream_key = u->key, .at = START, .heard_at = u->heard_at
	};

	bct_abandoned_add(&l, &a);
}

static bct_upstream_sight_t look(const void *ctx, uint64_t upstream_key, bct_time_t at)
{
	return bct_gate_upstreams_sight(ctx, upstream_key, at);
}

static bool crashes(bct_time_t now)
{
	bct_abandoned_t a;
	bool found = bct_abandoned_next_crash(&l, now, look, &t, &a);

	cr_assert(!found || a.digest == DIGEST);
	return found;
}

/* The registry drops the entry of a crashed upstream seconds later. */
Test(abandoned, removal_is_a_crash)
{
	bct_gate_upstream_t *u = add("a", 1, 0);

	u->heard_at = START - 10;
	give_up(DIGEST, u);
	cr_assert(!crashes(START + 3000));
	bct_gate_upstreams_remove(&t, START + 3400, "a", 0);
	cr_assert(crashes(START + 3400));
	cr_assert(!crashes(START + 3400), "it counts once");
}

/* Bytes that were on the way, or of other requests, may still arrive while the request runs on. */
Test(abandoned, bytes_right_after_do_not_clear)
{
	bct_gate_upstream_t *u = add("a", 1, 0);

	give_up(DIGEST, u);
	u->heard_at = START + BCT_ABANDONED_RUNS_MS;
	cr_assert(!crashes(START + 500));
	u->refused_at = START + 700;
	cr_assert(crashes(START + 700));
}

/* An upstream that answers later than the request could have run there has survived it. */
Test(abandoned, an_upstream_that_lives_on_clears)
{
	bct_gate_upstream_t *u = add("a", 1, 0);

	give_up(DIGEST, u);
	u->heard_at = START + BCT_ABANDONED_RUNS_MS + 1;
	cr_assert(!crashes(START + 400));
	u->refused_at = START + 900;
	cr_assert(!crashes(START + 900));
	cr_assert_eq(l.n, 0);
}

/* The process starts again under its id, at once: its entry is never missing. */
Test(abandoned, a_new_run_is_a_crash)
{
	bct_gate_upstream_t *u = add("a", 1, 0);

	give_up(DIGEST, u);
	cr_assert(!crashes(START + 100));
	u = add("a", 2, START + 1000);
	u->heard_at = START + 1100; /* of the new run */
	cr_assert(crashes(START + 1100));
}

/* Another process has the address: the run that the attempt was sent to is over. */
Test(abandoned, another_process_at_the_address_is_a_crash)
{
	bct_gate_upstream_t *u = add("a", 1, 0);

	give_up(DIGEST, u);
	u->identity_mismatch = true;
	cr_assert(crashes(START + 2000));
}

/* The upstream is freed with its entry. */
Test(abandoned, an_upstream_no_longer_known_is_a_crash)
{
	bct_gate_upstream_t *u = add("a", 1, 0);

	give_up(DIGEST, u);
	bct_gate_upstreams_remove(&t, START + 100, "a", 0);
	bct_gate_upstreams_sweep(&t, START + 100);
	cr_assert_null(bct_gate_upstreams_find(&t, "a"));
	cr_assert(crashes(START + 200));
}

/* A planned end is no crash, whether it was announced before or after. */
Test(abandoned, a_planned_end_does_not_count)
{
	bct_gate_upstream_t *a = add("a", 1, 0), *b = add("b", 1, 0), *c = add("c", 1, 0);

	a->leaving = true;
	give_up(DIGEST, a);
	give_up(DIGEST, b);
	give_up(DIGEST, c);
	b->leaving = true;
	c->presence = BCT_GATE_DRAINING;
	cr_assert(!crashes(START + 200));
	b->refused_at = c->refused_at = START + 300;
	cr_assert(!crashes(START + 300));
	cr_assert_eq(l.n, 0);
}

/* A connection refused before the attempt says nothing of it. */
Test(abandoned, earlier_refusals_do_not_count)
{
	bct_gate_upstream_t *u = add("a", 1, 0);

	u->refused_at = START - 1;
	give_up(DIGEST, u);
	cr_assert(!crashes(START + 100));
}

/* The end of an upstream long after the attempt has another cause. */
Test(abandoned, late_ends_do_not_count)
{
	bct_gate_upstream_t *u = add("a", 1, 0);

	give_up(DIGEST, u);
	bct_gate_upstreams_remove(&t, START + BCT_ABANDONED_KEEP_MS, "a", 0);
	cr_assert(!crashes(START + BCT_ABANDONED_KEEP_MS));
	cr_assert_eq(l.n, 0);
}

/* Thousands of callers leave at once: the list stays bounded and keeps the latest attempts. */
Test(abandoned, the_list_is_bounded)
{
	bct_gate_upstream_t *a = add("a", 1, 0), *b = add("b", 1, 0);

	for (int i = 0; i < 5000; i++)
		give_up(DIGEST + 1, a);
	give_up(DIGEST, b);
	cr_assert_eq(l.n, BCT_ABANDONED_MAX);
	b->refused_at = START + 100;
	cr_assert(crashes(START + 100));
}
