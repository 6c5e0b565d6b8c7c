/*
 * test_gate_origin.c - rolling releases, without network: which upstreams a stream may go on at,
 * and that the choice finds them among many.
 */
#include "base/err.h"
#include "policy/gate_pick.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define SERVICE "model"

static bct_gate_upstreams_t table;

/* Adds or updates an upstream. returns it */
static bct_gate_upstream_t *list(const char *id, const char *service, const char *version,
				 int64_t born_ms, uint64_t sequence)
{
	bct_gate_entry_t e = { .zone = "z", .ip = "10.0.0.1", .port = 80, .slots = 16 };

	snprintf(e.id, sizeof(e.id), "%s", id);
	snprintf(e.service, sizeof(e.service), "%s", service);
	bct_gate_entry_set_software(&e, version);
	e.born_ms = born_ms;
	e.sequence = sequence;
	cr_assert_geq(bct_gate_upstreams_apply(&table, 1000, &e), 0);
	return bct_gate_upstreams_find(&table, id);
}

Test(gate_origin, only_the_same_release_may_go_on)
{
	bct_gate_upstream_t *a, *b, *c, *d;
	bct_gate_origin_t o;

	bct_gate_upstreams_init(&table);
	a = list("a", SERVICE, "v1", 1, 1);
	b = list("b", SERVICE, "v1", 1, 1);
	c = list("c", SERVICE, "v1.1", 1, 1);
	d = list("d", "another", "v1", 1, 1);
	o = bct_gate_origin_of(a);
	cr_expect(bct_gate_origin_allows(&o, a));
	cr_expect(bct_gate_origin_allows(&o, b));
	cr_expect_not(bct_gate_origin_allows(&o, c));
	cr_expect_not(bct_gate_origin_allows(&o, d), "a version is one of a service");
	bct_gate_upstreams_free(&table);
}

/* Nothing is known of a version that the entry leaves empty: only the same run is surely alike. */
Test(gate_origin, an_unknown_version_is_like_no_other)
{
	bct_gate_upstream_t *a, *b, *c;
	bct_gate_origin_t o, nobody = { 0 };

	bct_gate_upstreams_init(&table);
	a = list("a", SERVICE, "", 1, 1);
	b = list("b", SERVICE, "", 1, 1);
	c = list("c", SERVICE, "v1", 1, 1);
	o = bct_gate_origin_of(a);
	cr_expect(bct_gate_origin_allows(&o, a));
	cr_expect_not(bct_gate_origin_allows(&o, b));
	cr_expect_not(bct_gate_origin_allows(&o, c));
	cr_expect_not(bct_gate_origin_allows(&nobody, a));
	cr_expect_not(bct_gate_origin_allows(&nobody, c));
	bct_gate_upstreams_free(&table);
}

/* An upstream that starts again under its id may run other software; so does one whose version
 * changes without a start that was seen. */
Test(gate_origin, a_restart_may_change_the_version)
{
	bct_gate_origin_t o, later;

	bct_gate_upstreams_init(&table);
	o = bct_gate_origin_of(list("a", SERVICE, "v1", 1, 1));
	cr_expect_not(bct_gate_origin_allows(&o, list("a", SERVICE, "v2", 2, 1)));
	cr_expect(bct_gate_origin_allows(&o, list("a", SERVICE, "v1", 3, 1)));
	later = bct_gate_origin_of(bct_gate_upstreams_find(&table, "a"));
	cr_expect_not(bct_gate_origin_allows(&later, list("a", SERVICE, "v2", 3, 2)));
	bct_gate_upstreams_free(&table);
}

/* Entries that are late, doubled or empty do not change what is known of a run. */
Test(gate_origin, late_doubled_and_empty_entries)
{
	bct_gate_upstream_t *a;
	bct_gate_entry_t late = { .id = "a",
				  .service = SERVICE,
				  .zone = "z",
				  .ip = "10.0.0.1",
				  .port = 80,
				  .born_ms = 1,
				  .sequence = 9 };

	bct_gate_upstreams_init(&table);
	list("a", SERVICE, "v2", 2, 5);
	a = list("a", SERVICE, "", 2, 6);
	cr_expect_str_eq(a->entry.software, "v2");
	a = list("a", SERVICE, "v2", 2, 6);
	bct_gate_entry_set_software(&late, "v1");
	cr_expect_eq(bct_gate_upstreams_apply(&table, 1000, &late), -BCT_ESTALE);
	cr_expect_str_eq(a->entry.software, "v2");
	a = list("a", SERVICE, "", 3, 1);
	cr_expect_str_eq(a->entry.software, "", "of the new run nothing is known");
	bct_gate_upstreams_free(&table);
}

/* Versions whose beginnings are alike, longer than what logs keep of them, differ. */
Test(gate_origin, long_versions_are_compared_whole)
{
	char version[2 * BCT_GATE_SOFTWARE_BYTES];
	bct_gate_origin_t o;

	bct_gate_upstreams_init(&table);
	memset(version, 'v', sizeof(version));
	version[sizeof(version) - 1] = '\0';
	o = bct_gate_origin_of(list("a", SERVICE, version, 1, 1));
	version[sizeof(version) - 2] = 'w';
	cr_expect_not(bct_gate_origin_allows(&o, list("b", SERVICE, version, 1, 1)));
	bct_gate_upstreams_free(&table);
}

/* Late in a rolling release two of 140 upstreams have the version, and each of 75 nodes looks at a
 * sample only: a stream that breaks goes on at one of the two, and never at another. */
Test(gate_origin, the_choice_finds_the_last_of_a_version)
{
	bct_gate_picker_t p;
	bct_gate_origin_t o;
	bct_gate_choice_t c;
	bct_gate_pick_input_t in = { .engine = true,
				     .target_ms = 500,
				     .gap_ms = 250,
				     .prompt_tokens = 500,
				     .output_tokens = 50,
				     .slots = 16 };

	bct_gate_upstreams_init(&table);
	bct_gate_picker_init(&p, &table, 30000, 6000, 7);
	p.nodes = 75;
	for (int i = 0; i < 140; i++) {
		char id[16];

		snprintf(id, sizeof(id), "e%d", i);
		list(id, SERVICE, i < 2 ? "v1" : "v2", 1, 1);
	}
	in.service_key = bct_gate_upstreams_find(&table, "e0")->service_key;
	o = bct_gate_origin_of(bct_gate_upstreams_find(&table, "e0"));
	in.origin = &o;
	for (int i = 0; i < 200; i++) {
		bct_gate_pick(&p, 2000 + i, &in, &c);
		cr_assert(c.upstream);
		cr_assert_str_eq(c.upstream->entry.software, "v1");
	}
	in.tried[in.n_tried++] = bct_gate_upstreams_find(&table, "e0")->key;
	in.tried[in.n_tried++] = bct_gate_upstreams_find(&table, "e1")->key;
	bct_gate_pick(&p, 3000, &in, &c);
	cr_assert_null(c.upstream);
	bct_gate_picker_free(&p);
	bct_gate_upstreams_free(&table);
}
