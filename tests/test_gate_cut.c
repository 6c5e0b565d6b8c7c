/*
 * test_gate_cut.c - gateways that lose their links to all upstreams, while callers and the other
 * gateways still reach them, serve their callers through another gateway.
 */
#include "base/clock.h"
#include "gate/gate_int.h"
#include "tests/util_cut.h"
#include "tests/util_gate.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define FLEET 3
#define CALLS 10
#define NOTICE_MS 1500 /* less than the shortest time after which callers are to feel nothing */
#define BACK_MS 5000   /* until links that are back are used */

static test_gate_t gates[FLEET];

static void setup(void)
{
	test_gate_start_fleet(gates, FLEET);
	test_gate_wait_joined(gates, FLEET);
}

TestSuite(gate_cut, .init = setup, .timeout = 120);

/* Requests of three kinds at a gateway; returns how many were not served at the first try. */
static uint32_t count_unserved(test_gate_t *t, const char *name)
{
	static const char *const kinds[][2] = { { "/safe/", "ok" },
						{ "/unsafe/", "ok" },
						{ "/stream/", "stream" } };
	uint32_t unserved = 0;

	for (uint32_t i = 0; i < CALLS * 3; i++) {
		char id[48], path[64];
		bct_buf_t out;

		snprintf(id, sizeof(id), "%s-%u", name, i);
		snprintf(path, sizeof(path), "%s%s", kinds[i % 3][0], id);
		if (test_gate_call(t, "POST", path, id, kinds[i % 3][1], &out) != 200) {
			unserved++;
			fprintf(stderr, "%s was not served: %.*s\n", id,
				(int)strcspn(out.data, "\r"), out.data);
		}
		cr_expect_leq(test_gate_runs(&gates[0], id), 1, "%s ran twice", id);
		bct_buf_free(&out);
	}
	return unserved;
}

/* Keeps sending until a request that may be repeated is answered, so that the cut is noticed. */
static void let_it_notice(test_gate_t *t, const char *name)
{
	bct_time_t end = bct_clock_now() + NOTICE_MS;

	for (int i = 0; bct_clock_now() < end; i++) {
		char id[48];
		bct_buf_t out;
		int status;

		snprintf(id, sizeof(id), "%s-notice-%d", name, i);
		status = test_gate_call(t, "GET", "/safe/n", id, "ok", &out);
		bct_buf_free(&out);
		snprintf(id, sizeof(id), "%s-notice-u%d", name, i);
		if (status == 200)
			status = test_gate_call(t, "POST", "/unsafe/n", id, "ok", &out);
		else
			continue;
		bct_buf_free(&out);
		if (status == 200)
			return;
	}
}

static void assert_served_while(test_cut_t how, const char *name)
{
	cr_assert_eq(count_unserved(&gates[1], name), 0);
	test_cut(gates, 1, how);
	let_it_notice(&gates[1], name);
	for (uint32_t i = 0; i < 3; i++) {
		char id[32];

		snprintf(id, sizeof(id), "%s-cut%u", name, i);
		cr_expect_eq(count_unserved(&gates[1], id), 0);
	}
}

/* Callers of a VM whose connections to upstreams are refused got 503 at once. */
Test(gate_cut, served_while_connections_are_refused)
{
	assert_served_while(TEST_CUT_REFUSED, "r");
}

/* Callers of a VM whose connections hang waited, and got 503 or nothing. */
Test(gate_cut, served_while_connections_hang)
{
	assert_served_while(TEST_CUT_HANGS, "h");
}

/* Connections that were open live on, new ones are refused. */
Test(gate_cut, served_while_only_new_connections_are_refused)
{
	assert_served_while(TEST_CUT_NEW, "n");
}

/* Most of a fleet is cut off: all callers are served by the one that is left. */
Test(gate_cut, one_gateway_serves_all)
{
	test_cut(gates, 1, TEST_CUT_REFUSED);
	test_cut(gates, 2, TEST_CUT_HANGS);
	let_it_notice(&gates[1], "a");
	let_it_notice(&gates[2], "b");
	cr_expect_eq(count_unserved(&gates[1], "a"), 0);
	cr_expect_eq(count_unserved(&gates[2], "b"), 0);
}

static uint64_t relayed(const test_gate_t *t)
{
	return bct_counter_get(&t->gate->counters.values[BCT_GATE_RELAYED]);
}

/* Nobody reaches an upstream: a request isn't passed round, and the answer says that it has not
 * run. */
Test(gate_cut, nothing_is_relayed_twice)
{
	uint64_t before[FLEET];

	for (uint32_t i = 0; i < FLEET; i++)
		test_cut(gates, i, TEST_CUT_REFUSED);
	/* What is sent on connections from before the cut may have run. */
	for (uint32_t i = 0; i < FLEET; i++)
		let_it_notice(&gates[i], "all");
	for (uint32_t i = 0; i < FLEET; i++)
		before[i] = relayed(&gates[i]);
	for (uint32_t i = 0; i < CALLS; i++) {
		char id[32];
		bct_buf_t out;

		snprintf(id, sizeof(id), "none-%u", i);
		cr_expect_eq(
			test_gate_call(&gates[i % FLEET], "POST", "/stream/x", id, "stream", &out),
			503);
		cr_expect_eq(test_gate_runs(&gates[0], id), 0);
		bct_buf_free(&out);
	}
	for (uint32_t i = 0; i < FLEET; i++)
		cr_expect_leq(relayed(&gates[i]) - before[i], CALLS, "a request went round");
}

/* When the links are back they are used again. */
Test(gate_cut, links_that_are_back_are_used)
{
	bct_time_t end;
	uint64_t before;
	uint32_t round = 0;

	test_cut(gates, 1, TEST_CUT_REFUSED);
	let_it_notice(&gates[1], "b");
	cr_assert_gt(relayed(&gates[1]), 0);
	test_cut(gates, 1, TEST_CUT_NONE);
	end = bct_clock_now() + BACK_MS;
	do {
		char name[32];

		snprintf(name, sizeof(name), "back%u", round++);
		before = relayed(&gates[1]);
		cr_expect_eq(count_unserved(&gates[1], name), 0);
	} while (relayed(&gates[1]) != before && bct_clock_now() < end);
	cr_expect_eq(relayed(&gates[1]), before, "requests are relayed for good");
}

/* What became of a request is told truly across the hop. */
Test(gate_cut, outcomes_are_true_across_the_hop)
{
	static const struct {
		const char *path, *script;
		int status;
		uint32_t runs;
	} cases[] = {
		{ "/unsafe/reset", "reset", 502, 1 },	/* may have run */
		{ "/unsafe/notrun", "notrun", 503, 1 }, /* the upstream says that it has not */
		{ "/unsafe/error", "error", 500, 1 },
		{ "/unsafe/noseal", "noseal", 502, 1 },
		{ "/unsafe/claims", "claims", 500, 1 }, /* an upstream is no gateway */
		{ "/safe/error", "error,ok", 200, 2 },	/* the helper retries */
		{ "/none/x", "ok", 404, 0 },
	};

	test_cut(gates, 1, TEST_CUT_REFUSED);
	let_it_notice(&gates[1], "o");
	for (uint32_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		bct_buf_t out;
		char id[32];

		snprintf(id, sizeof(id), "outcome-%u", i);
		cr_expect_eq(
			test_gate_call(&gates[1], "POST", cases[i].path, id, cases[i].script, &out),
			cases[i].status, "%s: %s", cases[i].path, out.data);
		cr_expect_eq(test_gate_runs(&gates[0], id), cases[i].runs, "%s", cases[i].path);
		cr_expect_not(strstr(out.data, "Chute-Relay"), "a node's header reached a caller");
		if (cases[i].status == 500)
			cr_expect(strstr(out.data, "Server-Seal"), "%s", cases[i].path);
		bct_buf_free(&out);
	}
}

/* Events pass as they come, and a caller that goes away ends the work of the upstream. */
Test(gate_cut, a_caller_that_leaves_is_noticed_across_the_hop)
{
	static const char request[] = "POST /stream/gone HTTP/1.1\r\nHost: h.example\r\n"
				      "Api-Key: k1\r\nX-Buckthornchute-Request-Attempt-Id: gone\r\n"
				      "X-Script: silent\r\nContent-Length: 0\r\n\r\n";
	const gate_run_t *run;
	bct_time_t end;
	bct_buf_t out;

	test_cut(gates, 1, TEST_CUT_REFUSED);
	let_it_notice(&gates[1], "g");
	test_gate_raw(&gates[1], request, sizeof(request) - 1, 300, &out);
	bct_buf_free(&out);
	run = test_gate_run(&gates[0], "gone", 0);
	cr_assert(run);
	for (end = bct_clock_now() + 500; !run->aborted && bct_clock_now() < end;)
		bct_clock_sleep(10);
	cr_expect(run->aborted);
}

/* Only nodes may use the way in, and what they say of a request can't be said by a caller. */
Test(gate_cut, the_way_in_is_for_nodes)
{
	static const char forged[] =
		"POST /unsafe/forged HTTP/1.1\r\nHost: h.example\r\nApi-Key: k1\r\n"
		"X-Buckthornchute-Request-Attempt-Id: forged\r\n"
		"Chute-Relay: 0000000000000001 00000000000000000000000000000000\r\n"
		"Chute-Relay-Attempts: 1\r\nContent-Length: 0\r\n\r\n";
	const gate_run_t *run;
	bct_buf_t out;

	test_gate_at(&gates[1], TEST_GATE_RELAY_PORT, forged, 1000, &out);
	cr_expect_eq(strncmp(out.data, "HTTP/1.1 403", 12), 0, "%s", out.data);
	cr_expect_eq(test_gate_runs(&gates[0], "forged"), 0);
	bct_buf_free(&out);
	test_gate_raw(&gates[1], forged, sizeof(forged) - 1, 300, &out);
	run = test_gate_run(&gates[0], "forged", 0);
	cr_assert(run);
	cr_expect_not(strstr(run->head, "Chute-Relay"));
	bct_buf_free(&out);
}

/* A helper passes on the events before a spoilt one, and goes on behind them: none is lost between
 * the two gateways. */
Test(gate_cut, a_relayed_stream_loses_no_event)
{
	cr_assert_eq(count_unserved(&gates[1], "before"), 0);
	test_cut(gates, 1, TEST_CUT_REFUSED);
	let_it_notice(&gates[1], "spoilt");
	for (uint32_t i = 0; i < CALLS; i++) {
		char id[32], event[32];
		bct_buf_t out;

		snprintf(id, sizeof(id), "spoilt-%u", i);
		cr_expect_eq(test_gate_call(&gates[1], "POST", "/resume/x", id,
					    "streamspoilt,stream", &out),
			     200);
		cr_expect_eq(test_gate_runs(&gates[0], id), 2);
		for (int e = 1; e <= 5; e++) {
			snprintf(event, sizeof(event), "id: %d\ndata: e%d\n\n", e, e);
			cr_expect(strstr(out.data, event), "event %d: %s", e, out.data);
		}
		cr_expect(strstr(out.data, "\r\n0\r\n\r\n"), "not complete: %s", out.data);
		bct_buf_free(&out);
	}
}

/* A stream that is taken up at a gateway that is cut off goes on at the version that began it. */
Test(gate_cut, a_stream_is_taken_up_across_the_hop)
{
	static const char *const versions[] = { "v1", "v2", "v2" };
	uint32_t done = 0;

	test_gate_set_software(&gates[0], versions, GATE_UPSTREAMS);
	bct_clock_sleep(1000);
	test_cut(gates, 1, TEST_CUT_REFUSED);
	let_it_notice(&gates[1], "s");
	for (uint32_t i = 0; i < CALLS; i++) {
		char id[32], again[32], path[48];
		const gate_run_t *first, *second;
		bct_buf_t out;

		snprintf(id, sizeof(id), "up-%u", i);
		snprintf(again, sizeof(again), "up-%u-again", i);
		snprintf(path, sizeof(path), "/resume/%s", id);
		test_gate_call(&gates[i % FLEET], "POST", path, id, "streamcut,reset", &out);
		bct_buf_free(&out);
		cr_expect_eq(test_gate_take_up(&gates[1], path, again, "stream", id, 2, &out), 200,
			     "%s", out.data);
		bct_buf_free(&out);
		first = test_gate_run(&gates[0], id, 0);
		second = test_gate_run(&gates[0], again, 0);
		cr_assert(first && second);
		cr_expect_str_eq(versions[first->upstream_id[2] - '0'],
				 versions[second->upstream_id[2] - '0']);
		cr_expect(strstr(second->head, "Last-Event-Id: 2"));
		done++;
		bct_clock_sleep(100);
	}
	cr_expect_eq(done, CALLS);
}
