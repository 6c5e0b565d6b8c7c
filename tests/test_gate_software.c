/*
 * test_gate_software.c - upstreams of several software versions serve side by side: a stream goes
 * on only at the version that began it, within one answer and over the tries of its caller.
 */
#include "base/clock.h"
#include "gate/gate_int.h"
#include "tests/util_gate.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define FLEET 3
#define STREAMS 12
#define LEARN_MS 10000

static test_gate_t gates[FLEET + 1];
/* Of the engines e-0, e-1 and e-2. */
static const char *const versions[] = { "v1", "v2", "v2" };

/* A path of its own for each stream, so that none is taken for one that crashes upstreams. */
static const char *path_of(const char *call_id)
{
	static char path[64];

	snprintf(path, sizeof(path), "/resume/%s", call_id);
	return path;
}

/* Sets the versions and waits until each of n gateways has learned them. */
static void set_software(const char *const *list, uint32_t n)
{
	bct_time_t end = bct_clock_now() + LEARN_MS;
	uint32_t lacking = 1;

	test_gate_set_software(&gates[0], list, GATE_UPSTREAMS);
	while (lacking && bct_clock_now() < end) {
		lacking = 0;
		for (uint32_t i = 0; i < n * GATE_UPSTREAMS; i++) {
			const gate_upstream_t *e = &gates[0].engines[i % GATE_UPSTREAMS];
			const bct_gate_upstream_t *u = bct_gate_upstreams_find(
				&gates[i / GATE_UPSTREAMS].gate->upstreams, e->id);

			lacking += !u || strcmp(u->entry.software, e->software) != 0;
		}
		bct_clock_sleep(20);
	}
	cr_assert_eq(lacking, 0, "%u entries have not arrived", lacking);
}

/* The version that ran the i-th arrival of a call. */
static const char *software_of(const char *call_id, uint32_t i)
{
	const gate_run_t *run = test_gate_run(&gates[0], call_id, i);

	cr_assert(run, "%s did not run %u times", call_id, i + 1);
	return versions[run->upstream_id[2] - '0'];
}

/* A whole answer of one stream has all five events, each once. */
static void assert_whole(const char *body)
{
	for (int i = 1; i <= 5; i++) {
		char event[32];
		const char *at;

		snprintf(event, sizeof(event), "id: %d\n", i);
		at = strstr(body, event);
		cr_assert(at, "event %d is missing in %s", i, body);
		cr_assert_not(strstr(at + 1, event), "event %d comes twice", i);
	}
}

/*
 * Callers got whole answers of which one version had written the beginning and another the rest: an
 * upstream broke, and the node went on at any other.
 */
Test(gate_software, an_answer_is_of_one_version)
{
	test_gate_start(&gates[0]);
	set_software(versions, 1);
	for (uint32_t i = 0; i < STREAMS; i++) {
		char id[16];
		bct_buf_t out;

		snprintf(id, sizeof(id), "s%u", i);
		test_gate_call(&gates[0], "POST", path_of(id), id, "streamcut,stream", &out);
		if (test_gate_runs(&gates[0], id) == 2) {
			cr_expect_str_eq(software_of(id, 0), software_of(id, 1));
			assert_whole(out.data);
		} else {
			/* No other upstream has the version: the answer ends without its last
			 * events. */
			cr_expect_str_eq(software_of(id, 0), "v1");
			cr_expect_not(strstr(out.data, "id: 3\n"));
		}
		bct_buf_free(&out);
	}
}

/* An upstream that pauses is left only if another one has its version; the stream comes whole. */
Test(gate_software, silence_ends_no_stream_that_has_nowhere_to_go)
{
	static const char *const all_differ[] = { "v1", "v2", "v3" };
	bct_buf_t out;

	test_gate_start(&gates[0]);
	set_software(all_differ, 1);
	cr_expect_eq(test_gate_call(&gates[0], "POST", "/resume/w", "w", "streamslow", &out), 200);
	cr_expect_eq(test_gate_runs(&gates[0], "w"), 1);
	assert_whole(out.data);
	bct_buf_free(&out);
}

/* Before the first event no version is bound. */
Test(gate_software, what_has_not_begun_goes_anywhere)
{
	static const char *const all_differ[] = { "v1", "v2", "v3" };

	test_gate_start(&gates[0]);
	set_software(all_differ, 1);
	for (uint32_t i = 0; i < STREAMS; i++) {
		char id[16];
		bct_buf_t out;

		snprintf(id, sizeof(id), "n%u", i);
		cr_expect_eq(
			test_gate_call(&gates[0], "POST", "/resume/a", id, "reset,stream", &out),
			200);
		assert_whole(out.data);
		bct_buf_free(&out);
	}
}

/* Begins a stream that breaks after two events and is not continued within its answer. */
static void begin_broken(test_gate_t *t, const char *id)
{
	bct_buf_t out;

	test_gate_call(t, "POST", path_of(id), id, "streamcut,reset", &out);
	cr_assert(strstr(out.data, "id: 2\n"));
	cr_assert_not(strstr(out.data, "id: 3\n"));
	bct_buf_free(&out);
}

/* Takes streams up at a gateway, until each version has begun one; all must go on at theirs. */
static void assert_taken_up(test_gate_t *begins, test_gate_t *goes_on, const char *name)
{
	uint32_t began_v1 = 0, began_v2 = 0;

	for (uint32_t i = 0; i < STREAMS || !began_v1 || !began_v2; i++) {
		char id[32], again[32];
		const char *version;
		bct_buf_t out;

		cr_assert_lt(i, 8 * STREAMS);
		snprintf(id, sizeof(id), "%s%u", name, i);
		snprintf(again, sizeof(again), "%s%u-again", name, i);
		begin_broken(begins, id);
		version = software_of(id, 0);
		*(strcmp(version, "v1") ? &began_v2 : &began_v1) += 1;
		cr_expect_eq(test_gate_take_up(goes_on, path_of(id), again, "stream", id, 2, &out),
			     200, "%s", out.data);
		cr_expect_str_eq(software_of(again, 0), version, "%s went on elsewhere", again);
		cr_expect(strstr(out.data, "id: 5\n"));
		cr_expect_not(strstr(out.data, "id: 2\n"));
		bct_buf_free(&out);
		/* Upstreams that failed are avoided for a while. */
		bct_clock_sleep(100);
	}
}

/* Callers that took a broken stream up were placed at any version. */
Test(gate_software, a_caller_takes_up_at_the_same_version)
{
	test_gate_start(&gates[0]);
	set_software(versions, 1);
	assert_taken_up(&gates[0], &gates[0], "c");
}

/* The node that a caller returns to had not begun the stream: it must learn which version had. */
Test(gate_software, a_caller_takes_up_at_another_node, .timeout = 120)
{
	test_gate_start_fleet(gates, FLEET);
	test_gate_wait_joined(gates, FLEET);
	set_software(versions, FLEET);
	assert_taken_up(&gates[0], &gates[1], "p");
	assert_taken_up(&gates[2], &gates[0], "q");
}

/* A node that joined after the stream had begun learns it from the others. */
Test(gate_software, a_caller_takes_up_at_a_node_that_joined_later, .timeout = 120)
{
	const char *version;
	bct_buf_t out;

	test_gate_start_fleet(gates, FLEET);
	test_gate_wait_joined(gates, FLEET);
	set_software(versions, FLEET);
	begin_broken(&gates[0], "j0");
	version = software_of("j0", 0);
	test_gate_join_fleet(gates, FLEET);
	test_gate_wait_joined(gates, FLEET + 1);
	cr_expect_eq(test_gate_take_up(&gates[FLEET], path_of("j0"), "j1", "stream", "j0", 2, &out),
		     200, "%s", out.data);
	cr_expect_str_eq(software_of("j1", 0), version);
	bct_buf_free(&out);
}

/* Nobody knows which version began it: it is not run, and the caller is told so. */
Test(gate_software, a_stream_of_unknown_origin_is_not_continued)
{
	bct_buf_t out;

	test_gate_start(&gates[0]);
	set_software(versions, 1);
	cr_expect_eq(test_gate_take_up(&gates[0], "/resume/a", "u1", "stream", "nobody", 2, &out),
		     503);
	bct_buf_free(&out);
	cr_expect_eq(test_gate_take_up(&gates[0], "/resume/a", "u2", "stream", NULL, 2, &out), 503);
	bct_buf_free(&out);
	cr_expect_eq(test_gate_runs(&gates[0], "u1"), 0);
	cr_expect_eq(test_gate_runs(&gates[0], "u2"), 0);
}

/* The version that began it has left: the rest can't come from another one. */
Test(gate_software, a_version_that_has_left_is_not_replaced)
{
	static const char *const later[] = { "v3", "v3", "v3" };
	bct_buf_t out;

	test_gate_start(&gates[0]);
	set_software(versions, 1);
	begin_broken(&gates[0], "l0");
	set_software(later, 1);
	cr_expect_eq(test_gate_take_up(&gates[0], path_of("l0"), "l1", "stream", "l0", 2, &out),
		     503);
	bct_buf_free(&out);
	cr_expect_eq(test_gate_runs(&gates[0], "l1"), 0);
}

/* As long as a stream can have lived, only one version has served: a caller that names no earlier
 * attempt can have begun with no other. */
Test(gate_software, one_version_for_long_needs_no_record)
{
	bct_buf_t out;

	test_gate_start(&gates[0]);
	/* Longer than twice the time limit of the route, 2.5 s, and the caller's time, 3 s. */
	bct_clock_sleep(7000);
	cr_expect_eq(test_gate_take_up(&gates[0], "/resume/a", "o1", "stream", NULL, 2, &out), 200);
	bct_buf_free(&out);
}
