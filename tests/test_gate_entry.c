/*
 * test_gate_entry.c - entries of other writers in the table of upstreams, whatever node read them:
 * they must not be used, and must not take the sound ones with them.
 */
#include "base/err.h"
#include "policy/gate_entry.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

static bct_gate_upstreams_t t;

static void setup(void)
{
	bct_gate_upstreams_init(&t);
}

static void teardown(void)
{
	bct_gate_upstreams_free(&t);
}

TestSuite(gate_entry, .init = setup, .fini = teardown);

static bct_gate_entry_t entry(const char *id, const char *ip, uint16_t port)
{
	bct_gate_entry_t e = { .service = "model", .zone = "z", .slots = 8, .port = port };

	snprintf(e.id, sizeof(e.id), "%s", id);
	snprintf(e.ip, sizeof(e.ip), "%s", ip);
	return e;
}

static bool is_ready(const char *id)
{
	const bct_gate_upstream_t *u = bct_gate_upstreams_find(&t, id);

	return u && u->presence == BCT_GATE_READY;
}

/* An older node passes on what it does not check. */
Test(gate_entry, an_unusable_entry_of_a_peer_is_not_applied)
{
	bct_gate_entry_t bad[] = {
		entry("", "10.0.0.1", 80),
		entry("a b", "10.0.0.1", 80),
		entry("a\r\nX: 1", "10.0.0.1", 80),
		entry("a", "", 80),
		entry("a", "10.0.0.1", 0),
		entry("a", "10.0.0.1.1", 80),
		entry("a", "::1", 80),
		entry("a", "0.0.0.0", 80),
		entry("a", "10.0.0.1", 80),
		entry("a", "10.0.0.1", 80),
		entry("a", "10.0.0.1", 80),
		entry("a", "10.0.0.1", 80),
		entry("a", "10.0.0.1", 80),
		entry("a", "10.0.0.1", 80),
	};

	bad[8].service[0] = '\0';
	snprintf(bad[9].service, sizeof(bad[9].service), "mo\ndel");
	snprintf(bad[10].zone, sizeof(bad[10].zone), "\x7f");
	bad[11].slots = BCT_GATE_SLOTS_MAX + 1;
	bad[12].born_ms = -1;
	bad[13].sequence = (uint64_t)BCT_GATE_SEQUENCE_MAX + 1;
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		cr_expect(bct_gate_entry_fault(&bad[i]), "%zu", i);
		cr_expect_eq(bct_gate_upstreams_apply(&t, 1, &bad[i]), -BCT_EINVAL, "%zu", i);
	}
	cr_expect_eq(t.n, 0);
}

/* Whoever wrote it under the id of a sound upstream: that is used until its entry is removed, and
 * its next entry counts. */
Test(gate_entry, an_unusable_entry_leaves_the_upstream_as_it_was)
{
	bct_gate_entry_t a = entry("a", "10.0.0.1", 80), b = entry("b", "10.0.0.2", 80), odd = a;

	bct_gate_upstreams_apply(&t, 1, &a);
	bct_gate_upstreams_apply(&t, 1, &b);
	odd.sequence = UINT64_MAX;
	cr_expect_eq(bct_gate_upstreams_apply(&t, 2, &odd), -BCT_EINVAL);
	a.sequence = 1;
	cr_expect_eq(bct_gate_upstreams_apply(&t, 3, &a), 0);
	/* In a listing; b's can't even be decoded. */
	bct_gate_upstreams_list_begin(&t);
	cr_expect_eq(bct_gate_upstreams_apply(&t, 4, &odd), -BCT_EINVAL);
	bct_gate_upstreams_hold(&t, "b");
	bct_gate_upstreams_hold(&t, "nobody");
	bct_gate_upstreams_list_end(&t, 4, 0);
	cr_expect(is_ready("a"));
	cr_expect(is_ready("b"));
	cr_expect_eq(t.n, 2);
	bct_gate_upstreams_remove(&t, 5, "b", 0);
	cr_expect_not(is_ready("b"));
	/* Missing altogether. */
	bct_gate_upstreams_list_begin(&t);
	bct_gate_upstreams_list_end(&t, 6, 0);
	cr_expect_not(is_ready("a"));
}
