/*
 * test_gate_origins.c - records of what began streams, without network: who keeps them, for how
 * long, and what one release a service allows without any.
 */
#include "policy/gate_origins.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

static bct_gate_origins_t t;

static void setup(void)
{
	bct_gate_origins_init(&t);
}

static void teardown(void)
{
	bct_gate_origins_free(&t);
}

TestSuite(gate_origins, .init = setup, .fini = teardown);

static bct_gate_origin_t origin(uint64_t release, uint32_t run)
{
	return (bct_gate_origin_t){ .release = release, .run = run };
}

static void put(bct_time_t now, uint64_t attempt, bct_gate_origin_t o, uint32_t age_ms)
{
	cr_assert_eq(bct_gate_origins_put(&t, now, attempt, &o, age_ms), 0);
}

Test(gate_origins, the_first_record_of_an_attempt_stays)
{
	uint64_t attempt = bct_gate_origin_attempt("a", "acme");
	bct_gate_origin_t o;
	uint32_t age_ms;

	put(1000, attempt, origin(7, 1), 0);
	put(1100, attempt, origin(8, 2), 0);
	cr_assert(bct_gate_origins_get(&t, 1500, attempt, &o, &age_ms));
	cr_expect_eq(o.release, 7);
	cr_expect_eq(age_ms, 500);
}

/* An account can't take up, or spoil, the stream of another by naming its attempt. */
Test(gate_origins, accounts_are_apart)
{
	bct_gate_origin_t o;

	put(1000, bct_gate_origin_attempt("a", "acme"), origin(7, 1), 0);
	cr_expect_not(
		bct_gate_origins_get(&t, 1000, bct_gate_origin_attempt("a", "other"), &o, NULL));
}

Test(gate_origins, too_many_drop_the_oldest)
{
	bct_gate_origin_t o;

	for (uint64_t i = 1; i <= BCT_GATE_ORIGINS_MAX + 10; i++)
		put((bct_time_t)i, i, origin(7, 1), 0);
	cr_expect_eq(t.records.n, BCT_GATE_ORIGINS_MAX);
	cr_expect_not(bct_gate_origins_get(&t, 20000, 10, &o, NULL));
	cr_expect(bct_gate_origins_get(&t, 20000, 11, &o, NULL));
}

Test(gate_origins, old_records_are_dropped)
{
	bct_gate_origin_t o;

	put(1000, 1, origin(7, 1), 0);
	put(5000, 2, origin(7, 1), 0);
	bct_gate_origins_sweep(&t, 1001 + BCT_GATE_ORIGIN_KEEP_MS, 0);
	cr_expect_not(bct_gate_origins_get(&t, 70000, 1, &o, NULL));
	cr_expect(bct_gate_origins_get(&t, 70000, 2, &o, NULL));
}

/* An upstream started again under its id with other software, and the registry said so late. */
Test(gate_origins, streams_around_a_restart_are_in_doubt)
{
	bct_gate_origin_t ended = origin(7, 1), o;

	put(1000, 1, origin(7, 1), 0);
	put(4800, 2, origin(7, 1), 0);
	put(4800, 3, origin(7, 2), 0);
	bct_gate_origins_doubt(&t, 5000, &ended, BCT_GATE_ORIGIN_DOUBT_MS);
	cr_expect(bct_gate_origins_get(&t, 5000, 1, &o, NULL), "long before the restart");
	cr_expect_not(bct_gate_origins_get(&t, 5000, 2, &o, NULL));
	cr_expect(bct_gate_origins_get(&t, 5000, 3, &o, NULL), "of another upstream");
}

/* A node that is out of step has not heard of the restart: what it tells later of streams at the
 * old run may have been begun by the new one. */
Test(gate_origins, late_records_of_an_ended_run_are_in_doubt)
{
	bct_gate_origin_t ended = origin(7, 1), o;

	bct_gate_origins_doubt(&t, 5000, &ended, BCT_GATE_ORIGIN_DOUBT_MS);
	put(9000, 1, origin(7, 1), 200);
	put(9000, 2, origin(7, 1), 7000);
	put(9000, 3, origin(8, 1), 200);
	cr_expect_not(bct_gate_origins_get(&t, 9000, 1, &o, NULL));
	cr_expect(bct_gate_origins_get(&t, 9000, 2, &o, NULL), "long before the restart");
	cr_expect(bct_gate_origins_get(&t, 9000, 3, &o, NULL), "of other software");
}

static void list(bct_gate_upstreams_t *u, const char *id, const char *version, bool present)
{
	bct_gate_entry_t e = { .service = "model", .zone = "z", .ip = "10.0.0.1", .port = 80 };

	snprintf(e.id, sizeof(e.id), "%s", id);
	bct_gate_entry_set_software(&e, version);
	if (present)
		bct_gate_upstreams_apply(u, 1, &e);
	else
		bct_gate_upstreams_remove(u, 1, id, 0);
}

/* Observes as often as a node does. */
static void observe(bct_time_t from, bct_time_t to, const bct_gate_upstreams_t *u)
{
	for (bct_time_t now = from; now <= to; now += 100)
		bct_gate_origins_observe(&t, now, now, u);
}

/* A caller that names no attempt is served as long as only one version can have begun its stream:
 * from a release on not before a stream of the old version must have ended. */
Test(gate_origins, one_release_for_long_is_the_origin)
{
	bct_gate_upstreams_t u;
	uint64_t service, v1;

	bct_gate_upstreams_init(&u);
	list(&u, "a", "v1", true);
	list(&u, "b", "v1", true);
	service = bct_gate_upstreams_find(&u, "a")->service_key;
	v1 = bct_gate_upstreams_find(&u, "a")->release;
	observe(1000, 9000, &u);
	cr_expect_eq(bct_gate_origins_sole(&t, 9000, service, 8001), 0, "not known for so long");
	cr_expect_eq(bct_gate_origins_sole(&t, 9000, service, 8000), v1);
	observe(9100, 19900, &u);
	list(&u, "c", "v2", true);
	observe(20000, 24900, &u);
	cr_expect_eq(bct_gate_origins_sole(&t, 24900, service, 8000), 0);
	list(&u, "a", "", false);
	list(&u, "b", "", false);
	bct_gate_upstreams_sweep(&u, 2);
	observe(25000, 33000, &u);
	cr_expect_eq(bct_gate_origins_sole(&t, 33000, service, 8001), 0, "v1 may have begun it");
	cr_expect_eq(bct_gate_origins_sole(&t, 33000, service, 8000),
		     bct_gate_upstreams_find(&u, "c")->release);
	list(&u, "d", "", true);
	observe(33100, 60000, &u);
	cr_expect_eq(bct_gate_origins_sole(&t, 60000, service, 8000), 0, "d may be anything");
	bct_gate_upstreams_free(&u);
}

/* Whoever began a stream, those that it told are among those that are asked; also after a node
 * has joined. */
Test(gate_origins, those_asked_include_those_told)
{
	uint64_t nodes[88], told[BCT_GATE_ORIGIN_COPIES], asked[BCT_GATE_ORIGIN_ASKED];

	for (uint64_t i = 0; i < 88; i++)
		nodes[i] = 0x1234567 * (i + 1);
	for (uint64_t attempt = 1; attempt < 200; attempt++) {
		uint64_t others[87];
		uint32_t n = 0;

		/* Node attempt % 87 begins; the last node has not joined yet. */
		for (uint32_t i = 0; i < 87; i++) {
			if (i != attempt % 87)
				others[n++] = nodes[i];
		}
		cr_assert_eq(
			bct_gate_origin_homes(attempt, others, n, told, BCT_GATE_ORIGIN_COPIES),
			BCT_GATE_ORIGIN_COPIES);
		bct_gate_origin_homes(attempt, nodes, 88, asked, BCT_GATE_ORIGIN_ASKED);
		for (uint32_t i = 0; i < BCT_GATE_ORIGIN_COPIES; i++) {
			bool found = false;

			for (uint32_t j = 0; j < BCT_GATE_ORIGIN_ASKED; j++)
				found = found || asked[j] == told[i];
			cr_assert(found, "attempt %lu", (unsigned long)attempt);
		}
	}
}
