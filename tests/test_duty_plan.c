/*
 * test_duty_plan.c - windows, reports and orders of the holder of the duties, with calls that are
 * refused, limited, lost or late.
 */
#include "base/err.h"
#include "policy/duty_plan.h"

#include <criterion/criterion.h>
#include <string.h>

#define NOW 1000000
#define WINDOW_MS 5000
#define W 353445120 /* a window */
#define END_MS(w) ((bct_time_t)((w) + 1) * WINDOW_MS)

static bct_duty_plan_t plan_new(void)
{
	bct_duty_plan_opts_t o = { .window_ms = WINDOW_MS, .calls_per_s = 50 };
	bct_duty_plan_t p;

	bct_duty_plan_init(&p, &o);
	bct_duty_plan_skip(&p, W - 1);
	return p;
}

static void decide(bct_duty_plan_t *p, uint64_t window, uint32_t requests)
{
	bct_usage_count_t c[] = { { "ACCOUNT", requests } };
	bct_usage_report_t r = { window, c, 1 };

	cr_assert_eq(bct_duty_plan_decide(p, &r), 0);
}

static const bct_autoscale_conf_t conf = {
	.domains = { { .name = "Z1" }, { .name = "Z2" } },
	.n_domains = 2,
};

/* Wants so many standard engines in Z1, and spot engines in Z2, where present_* are present. */
static int want(bct_duty_plan_t *p, bct_time_t now, uint32_t standard, uint32_t spot,
		uint32_t present_standard, uint32_t present_spot)
{
	bct_autoscale_plan_t w = { .wanted = { { standard, 0 }, { 0, spot } } };
	bct_autoscale_input_t in = { .domains = { { .present = { present_standard, 0 } },
						  { .present = { 0, present_spot } } } };

	return bct_duty_plan_want(p, now, "S", &conf, &in, &w);
}

/* The call that is due, which must be of this kind. */
static bct_duty_call_t expect(bct_duty_plan_t *p, bct_time_t now, uint64_t fence,
			      bct_duty_call_kind_t kind)
{
	bct_duty_call_t c;

	cr_assert(bct_duty_plan_next(p, now, fence, UINT64_MAX, &c));
	cr_assert_eq(c.kind, kind);
	cr_assert_eq(c.fence, fence);
	return c;
}

static void expect_none(bct_duty_plan_t *p, bct_time_t now, uint64_t fence)
{
	bct_duty_call_t c;

	cr_assert_not(bct_duty_plan_next(p, now, fence, UINT64_MAX, &c));
}

/* Windows are decided in order, each 4 s after its end, and reported once they are written. */
Test(duty_plan, decides_writes_and_reports)
{
	bct_duty_plan_t p = plan_new();
	bct_duty_call_t c;
	uint64_t w;

	cr_assert_not(bct_duty_plan_window(&p, END_MS(W) + 3999, &w));
	cr_assert(bct_duty_plan_window(&p, END_MS(W) + 4000, &w));
	cr_assert_eq(w, W);
	cr_assert_eq(bct_duty_plan_next_revision(&p), 1);
	decide(&p, W, 7);
	cr_assert_not(bct_duty_plan_window(&p, END_MS(W) + 4000, &w));
	cr_assert(bct_duty_plan_unwritten(&p, 1, 10), "revision 1 was on its way before");
	cr_assert_not(bct_duty_plan_next(&p, NOW, 10, 1, &c), "not in the record yet");
	cr_assert_not(bct_duty_plan_unwritten(&p, 2, 11));
	cr_assert(bct_duty_plan_next(&p, NOW, 11, 2, &c));
	cr_assert_eq(c.report->counts[0].requests, 7);
	cr_assert_eq(bct_duty_plan_done(&p, NOW + 10, &c, 0), BCT_DUTY_ACCEPTED);
	cr_assert_eq(p.accepted, W);
	expect_none(&p, NOW + 5000, 11);
	bct_duty_plan_free(&p);
}

/* A report without a response is sent again with the same counts and a newer token. */
Test(duty_plan, retries_a_report)
{
	bct_duty_plan_t p = plan_new();
	bct_duty_call_t c;

	decide(&p, W, 7);
	c = expect(&p, NOW, 11, BCT_DUTY_REPORT);
	cr_assert_eq(bct_duty_plan_done(&p, NOW, &c, -BCT_EUNKNOWN_OUTCOME), BCT_DUTY_RETRY);
	cr_assert(bct_duty_plan_unwritten(&p, 9, 11));
	expect_none(&p, NOW + 500, 11);
	expect_none(&p, NOW + 499, 12);
	c = expect(&p, NOW + 500, 12, BCT_DUTY_REPORT);
	cr_assert_eq(c.tries, 1);
	cr_assert_eq(c.report->counts[0].requests, 7);
	bct_duty_plan_done(&p, NOW + 500, &c, -BCT_EBUDGET);
	c = expect(&p, NOW + 1000, 12, BCT_DUTY_REPORT);
	bct_duty_plan_done(&p, NOW + 1000, &c, -BCT_EBUDGET);
	expect_none(&p, NOW + 1999, 12);
	c = expect(&p, NOW + 2000, 12, BCT_DUTY_REPORT);
	cr_assert_eq(bct_duty_plan_done(&p, NOW + 2000, &c, -BCT_EFENCED), BCT_DUTY_REFUSED);
	bct_duty_plan_free(&p);
}

/* After an outage of the API: oldest window first, 5 in a second, and given up after 60 s. */
Test(duty_plan, makes_up_for_late_windows)
{
	bct_duty_plan_t p = plan_new();
	bct_time_t now = NOW, true_time = END_MS(W) + BCT_DUTY_GIVE_UP_MS;
	uint32_t tries, sent = 0;
	bct_duty_call_t c;
	uint64_t w;

	for (uint32_t i = 0; i < 12; i++)
		decide(&p, W + i, i);
	cr_assert_not(bct_duty_plan_give_up(&p, true_time - 1, &w, &tries));
	cr_assert(bct_duty_plan_give_up(&p, true_time, &w, &tries));
	cr_assert_eq(w, W);
	cr_assert_not(bct_duty_plan_give_up(&p, true_time, &w, &tries));
	for (; now < NOW + 1000; now += 10) {
		if (!bct_duty_plan_next(&p, now, 5, 99, &c))
			continue;
		cr_assert_eq(c.window, W + 1 + sent);
		bct_duty_plan_done(&p, now, &c, 0);
		sent++;
	}
	cr_assert_eq(sent, 5);
	bct_duty_plan_free(&p);
}

/* An order is not repeated, unless the engines present do not come to match it within 10 s. */
Test(duty_plan, orders_once)
{
	bct_duty_plan_t p = plan_new();
	bct_duty_call_t c;

	cr_assert_eq(want(&p, NOW, 4, 2, 4, 0), 1);
	cr_assert(bct_duty_plan_unwritten(&p, 0, 5));
	c = expect(&p, NOW, 5, BCT_DUTY_ORDER);
	cr_assert_str_eq(c.failure_domain, "Z2");
	cr_assert_eq(c.engine_kind, BCT_AUTOSCALE_SPOT);
	cr_assert_eq(c.engines, 2);
	bct_duty_plan_done(&p, NOW, &c, 0);
	expect_none(&p, NOW + 200, 5);
	cr_assert_eq(want(&p, NOW + 9000, 4, 2, 4, 1), 0);
	expect_none(&p, NOW + 9999, 5);
	c = expect(&p, NOW + 10000, 5, BCT_DUTY_ORDER);
	bct_duty_plan_done(&p, NOW + 10000, &c, 0);
	cr_assert_eq(want(&p, NOW + 11000, 6, 2, 4, 2), 1);
	c = expect(&p, NOW + 11000, 5, BCT_DUTY_ORDER);
	cr_assert_eq(c.engines, 6);
	bct_duty_plan_drop(&p, "S");
	cr_assert_eq(bct_duty_plan_done(&p, NOW + 11000, &c, -BCT_EBUDGET), BCT_DUTY_RETRY);
	expect_none(&p, NOW + 20000, 6);
	bct_duty_plan_free(&p);
}

/* After an order without a response even the number of before is sent, with a newer token. */
Test(duty_plan, order_without_response)
{
	bct_duty_plan_t p = plan_new();
	bct_duty_call_t c;

	want(&p, NOW, 4, 0, 3, 0);
	c = expect(&p, NOW, 5, BCT_DUTY_ORDER);
	bct_duty_plan_done(&p, NOW, &c, 0);
	want(&p, NOW + 2000, 6, 0, 4, 0);
	c = expect(&p, NOW + 2000, 5, BCT_DUTY_ORDER);
	bct_duty_plan_done(&p, NOW + 2000, &c, -BCT_EUNKNOWN_OUTCOME);
	want(&p, NOW + 3000, 4, 0, 4, 0);
	expect_none(&p, NOW + 3000, 5);
	c = expect(&p, NOW + 3000, 6, BCT_DUTY_ORDER);
	cr_assert_eq(c.engines, 4);
	bct_duty_plan_free(&p);
}

/* 409 to an order means that there are no such engines only if the token is still the newest. */
Test(duty_plan, refused_order)
{
	bct_duty_plan_t p = plan_new();
	bct_autoscale_input_t in = { 0 };
	bct_duty_call_t c;

	want(&p, NOW, 0, 3, 0, 0);
	c = expect(&p, NOW, 5, BCT_DUTY_ORDER);
	cr_assert_eq(bct_duty_plan_done(&p, NOW, &c, -BCT_EFENCED), BCT_DUTY_IN_DOUBT);
	cr_assert(bct_duty_plan_unwritten(&p, 9, 5), "a renewal tells");
	expect_none(&p, NOW + 4000, 5);
	bct_duty_plan_refused(&p, NOW, "S", &conf, &in);
	cr_assert_not(in.domains[1].spot_refused);
	bct_duty_plan_renewed(&p, NOW + 100, 6);
	bct_duty_plan_refused(&p, NOW + 100, "S", &conf, &in);
	cr_assert(in.domains[1].spot_refused);
	cr_assert_not(in.domains[0].spot_refused);
	cr_assert_eq(want(&p, NOW + 1000, 0, 4, 0, 0), 1);
	expect_none(&p, NOW + 5099, 6);
	c = expect(&p, NOW + 5100, 6, BCT_DUTY_ORDER);
	bct_duty_plan_free(&p);
}

/* Increases come first; reports and orders alternate; all keep to half of the API's rate. */
Test(duty_plan, order_and_pace)
{
	bct_duty_plan_t p = plan_new();
	uint32_t reports = 0, orders = 0;
	bct_duty_call_t c;

	want(&p, NOW, 1, 9, 5, 5);
	c = expect(&p, NOW, 5, BCT_DUTY_ORDER);
	cr_assert_eq(c.engine_kind, BCT_AUTOSCALE_SPOT);
	bct_duty_plan_done(&p, NOW, &c, -BCT_EUNKNOWN_OUTCOME);
	decide(&p, W, 1);
	expect_none(&p, NOW + 39, 6);
	c = expect(&p, NOW + 100, 6, BCT_DUTY_REPORT);
	bct_duty_plan_done(&p, NOW + 100, &c, 0);
	c = expect(&p, NOW + 200, 6, BCT_DUTY_ORDER);
	cr_assert_eq(c.engines, 1);
	bct_duty_plan_done(&p, NOW + 200, &c, -BCT_ESTATE);
	for (uint32_t i = 1; i < 9; i++)
		decide(&p, W + i, i);
	for (bct_time_t now = NOW + 10000; now < NOW + 11000; now += 10) {
		if (!bct_duty_plan_next(&p, now, 7, 99, &c))
			continue;
		reports += c.kind == BCT_DUTY_REPORT;
		orders += c.kind == BCT_DUTY_ORDER;
		bct_duty_plan_done(&p, now, &c, c.kind == BCT_DUTY_ORDER ? -BCT_ESTATE : 0);
	}
	cr_assert_eq(reports, 5);
	cr_assert_eq(orders, 10);
	bct_duty_plan_free(&p);
}

/* A successor goes on with the record: same counts, no order where the engines match. */
Test(duty_plan, successor_continues)
{
	bct_duty_plan_t p = plan_new();
	bct_usage_count_t counts[] = { { "A", 3 }, { "B", 4 } };
	bct_duty_report_t r = { .usage = { W, counts, 2 } };
	bct_duty_wanted_t wanted = { "S", { { "Z2", { 0, 2 } }, { "OLD", { 1, 1 } } }, 2 };
	bct_duty_state_t s = { .revision = 40,
			       .decided = W + 1,
			       .reports = &r,
			       .n_reports = 1,
			       .wanted = &wanted,
			       .n_wanted = 1 };
	bct_autoscale_plan_t last;
	bct_duty_call_t c;

	decide(&p, W, 99);
	cr_assert_eq(bct_duty_plan_adopt(&p, NOW, &s), 0);
	cr_assert_eq(bct_duty_plan_next_revision(&p), 41);
	c = expect(&p, NOW, 5, BCT_DUTY_REPORT);
	cr_assert_eq(c.window, W);
	cr_assert_str_eq(c.report->counts[1].account, "B");
	cr_assert_eq(c.report->counts[1].requests, 4);
	bct_duty_plan_done(&p, NOW, &c, 0);
	expect_none(&p, NOW + 1000, 5);
	cr_assert(bct_duty_plan_last(&p, "S", &conf, &last));
	cr_assert_eq(last.wanted[1][BCT_AUTOSCALE_SPOT], 2);
	cr_assert_eq(want(&p, NOW + 1000, 0, 2, 0, 2), 1, "Z1 is new");
	expect_none(&p, NOW + 1000, 5);
	want(&p, NOW + 2000, 0, 2, 0, 1);
	c = expect(&p, NOW + 2000, 5, BCT_DUTY_ORDER);
	cr_assert_eq(c.engines, 2);
	bct_duty_plan_free(&p);
}

/* Three calls without a connection: the API is not reached from here. */
Test(duty_plan, cut_off_from_the_api)
{
	bct_duty_plan_t p = plan_new();
	bct_duty_call_t c;

	decide(&p, W, 1);
	for (int i = 0; i < 3; i++) {
		cr_assert_not(bct_duty_plan_cut_off(&p));
		c = expect(&p, NOW + i * 2000, 5, BCT_DUTY_REPORT);
		bct_duty_plan_done(&p, NOW + i * 2000, &c, -BCT_EUNAVAILABLE);
	}
	cr_assert(bct_duty_plan_cut_off(&p));
	bct_duty_plan_free(&p);
}
