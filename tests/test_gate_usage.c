/*
 * test_gate_usage.c - which requests a gateway counts as usage of an account, and that all nodes
 * that may report it come to know the counts.
 */
#include "base/clock.h"
#include "gate/gate_int.h"
#include "gate/usage.h"
#include "tests/util_cut.h"
#include "tests/util_gate.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define FLEET 3
#define EXCHANGE_MS 1500 /* several rounds between nodes */
#define NOTICE_MS 1500	 /* until a node knows that it is cut off */

static test_gate_t gates[FLEET];

/* Requests of account acme in all windows, as a gateway would report them. */
static uint32_t counted(test_gate_t *t)
{
	bct_gate_usage_t *s = t->gate->usage;
	uint64_t window = bct_gate_usage_window(s, bct_clock_now());
	uint32_t n = 0;

	for (uint64_t w = window - BCT_USAGE_WINDOWS + 1; w <= window; w++) {
		bct_usage_report_t r;

		cr_assert_eq(bct_usage_decide(bct_gate_usage_counters(s), w, &r), 0);
		for (uint32_t i = 0; i < r.n; i++) {
			cr_assert_str_eq(r.counts[i].account, "acme");
			n += r.counts[i].requests;
		}
		bct_usage_report_free(&r);
	}
	return n;
}

static int call(test_gate_t *t, const char *path, const char *id, const char *script)
{
	bct_buf_t out;
	int status = test_gate_call(t, "POST", path, id, script, &out);

	bct_buf_free(&out);
	return status;
}

/* A request, and by how much it raises the count. */
static void expect_call(const char *path, const char *id, const char *script, int status,
			uint32_t raises)
{
	uint32_t before = counted(gates);

	cr_expect_eq(call(gates, path, id, script), status, "%s", id);
	cr_expect_eq(counted(gates) - before, raises, "%s was counted %u times", id,
		     counted(gates) - before);
}

static void start_one(void)
{
	test_gate_set_usage();
	test_gate_start(gates);
}

/* Guards against requests that are not counted, or that did not run and are. */
Test(gate_usage, requests_that_run_are_counted)
{
	start_one();
	expect_call("/safe/a", "plain", "ok", 200, 1);
	expect_call("/unsafe/a", "unsafe", "ok", 200, 1);
	expect_call("/stream/a", "stream", "stream", 200, 1);
	expect_call("/unsafe/a", "error", "error", 500, 0);
	expect_call("/unsafe/a", "notrun", "notrun", 503, 0);
	expect_call("/none/a", "noroute", "ok", 404, 0);
	test_gate_stop(gates);
}

/* Guards against a request that is counted for each attempt. */
Test(gate_usage, a_retry_is_not_counted_again)
{
	start_one();
	expect_call("/safe/a", "reset", "reset,ok", 200, 1);
	expect_call("/safe/a", "cut", "cut,ok", 200, 1);
	expect_call("/resume/a", "streamcut", "streamcut,stream", 200, 1);
	expect_call("/stream/a", "streamlost", "streamcut", 200, 1);
	test_gate_stop(gates);
}

/* Guards against a stream that is counted again when its caller takes it up. */
Test(gate_usage, a_stream_that_is_taken_up_is_not_counted_again)
{
	bct_buf_t out;

	start_one();
	expect_call("/resume/a", "first", "streamcut,streamcut", 200, 1);
	cr_expect_eq(test_gate_take_up(gates, "/resume/a", "second", "stream", "first", 2, &out),
		     200);
	bct_buf_free(&out);
	cr_expect_eq(test_gate_take_up(gates, "/resume/a", "third", "stream", "first", 0, &out),
		     200);
	bct_buf_free(&out);
	cr_expect_eq(counted(gates), 2, "that and the one that waits until the gateway is ready");
	test_gate_stop(gates);
}

/* Guards against an account that is charged for requests without an API key. */
Test(gate_usage, requests_without_an_account)
{
	char config[8192];
	uint32_t before;
	char *tenants;

	start_one();
	snprintf(config, sizeof(config), "%s", test_gate_config(2, "model"));
	tenants = strstr(config, ",\"tenants\"");
	memcpy(tenants, "}", 2);
	test_gate_publish(gates, config);
	before = counted(gates);
	cr_expect_eq(call(gates, "/safe/a", "open", "ok"), 200);
	cr_expect_eq(counted(gates), before);
	test_gate_stop(gates);
}

/* A fleet without a control API sends and counts nothing. */
Test(gate_usage, without_duties)
{
	test_gate_start(gates);
	cr_expect_null(gates[0].gate->usage);
	cr_expect_eq(call(gates, "/safe/a", "plain", "ok"), 200);
	test_gate_stop(gates);
}

static void start_fleet(void)
{
	test_gate_set_usage();
	test_gate_start_fleet(gates, FLEET);
	test_gate_wait_joined(gates, FLEET);
}

/* Guards against a successor that lacks what other nodes counted. */
Test(gate_usage, all_keepers_know_the_counts, .timeout = 60)
{
	uint32_t before, sum = 0;

	start_fleet();
	before = counted(&gates[0]);
	cr_expect_eq(before, FLEET, "each served a request before it was ready: %u", before);
	for (uint32_t i = 0; i < 30; i++) {
		char id[16];

		snprintf(id, sizeof(id), "r-%u", i);
		sum += call(&gates[i % FLEET], "/safe/a", id, "ok") == 200;
	}
	cr_expect_eq(sum, 30);
	bct_clock_sleep(EXCHANGE_MS);
	for (uint32_t i = 0; i < FLEET; i++) {
		cr_expect_eq(counted(&gates[i]), before + 30, "node %u: %u", i, counted(&gates[i]));
	}
}

/* Guards against a request that is counted by the node that runs it for another one, too. */
Test(gate_usage, a_relayed_request_is_counted_once, .timeout = 60)
{
	uint32_t before, served = 0;
	bct_time_t end;

	start_fleet();
	test_cut(gates, 1, TEST_CUT_REFUSED);
	end = bct_clock_now() + NOTICE_MS;
	while (bct_clock_now() < end)
		call(&gates[1], "/safe/a", "notice", "ok");
	bct_clock_sleep(EXCHANGE_MS);
	before = counted(&gates[1]);
	for (uint32_t i = 0; i < 10; i++) {
		char id[16];

		snprintf(id, sizeof(id), "relayed-%u", i);
		served += call(&gates[1], i % 2 ? "/stream/a" : "/safe/a", id,
			       i % 2 ? "stream" : "ok") == 200;
	}
	cr_expect_eq(served, 10);
	cr_expect_eq(bct_counter_get(&gates[1].gate->counters.values[BCT_GATE_RELAYED]) >= 10, 1);
	cr_expect_eq(counted(&gates[1]) - before, 10);
	bct_clock_sleep(EXCHANGE_MS);
	for (uint32_t i = 0; i < FLEET; i++)
		cr_expect_eq(counted(&gates[i]) - before, 10, "node %u", i);
}
