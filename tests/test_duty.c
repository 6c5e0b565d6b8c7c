/*
 * test_duty.c - the duties of one gateway against a scripted record and control API. Other holders
 * are records that the test appends.
 */
#include "base/err.h"
#include "base/mem.h"
#include "cmd/duty_page.h"
#include "gate/duty.h"
#include "gate/duty_record.h"
#include "gate/usage.h"
#include "tests/util_control.h"
#include "tests/util_gate.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LEASE_MS 3000
#define ACQUIRE_MS 10000 /* longest time until a gateway has the lease */
#define FREEZE_MS 4500	 /* longer than the lease */
#define OTHER_NODE 99
#define WINDOW_WAIT_MS 15000 /* until a window is reported */

static void start_with(script_t *s, test_gate_t *t, bool usage)
{
	script_init(s);
	test_gate_start_duty(t, 0, &s->controls[0].base, usage);
}

static void start(script_t *s, test_gate_t *t)
{
	start_with(s, t, true);
}

static void set_mode(script_t *s, api_mode_t mode)
{
	pthread_mutex_lock(&s->lock);
	s->mode = mode;
	pthread_mutex_unlock(&s->lock);
}

static void set_store_down(script_t *s, bool down)
{
	pthread_mutex_lock(&s->lock);
	s->store_down = down;
	pthread_mutex_unlock(&s->lock);
}

/* The i-th call, once it was made. */
static api_call_t wait_call(script_t *s, uint32_t i, uint32_t wait_ms)
{
	bct_time_t until = bct_clock_now() + wait_ms;
	api_call_t c = { 0 };

	while (!c.kind && bct_clock_now() < until) {
		bct_clock_sleep(10);
		pthread_mutex_lock(&s->lock);
		if (i < s->n_calls)
			c = s->calls[i];
		pthread_mutex_unlock(&s->lock);
	}
	cr_assert(c.kind, "call %u was not made within %u ms", i, wait_ms);
	return c;
}

/* Waits until the report of a window was accepted. returns the index of its first call. */
static uint32_t wait_window(script_t *s, uint64_t window)
{
	bct_time_t until = bct_clock_now() + WINDOW_WAIT_MS;

	while (bct_clock_now() < until) {
		uint32_t first = UINT32_MAX;
		bool accepted = false;

		pthread_mutex_lock(&s->lock);
		for (uint32_t i = 0; i < s->n_calls; i++) {
			if (s->calls[i].kind != BCT_DUTY_REPORT || s->calls[i].window != window)
				continue;
			first = first == UINT32_MAX ? i : first;
			accepted = accepted || !s->calls[i].rc;
		}
		pthread_mutex_unlock(&s->lock);
		if (accepted)
			return first;
		bct_clock_sleep(10);
	}
	cr_assert_fail("window %llu was not reported", (unsigned long long)window);
	return UINT32_MAX;
}

static uint32_t calls(script_t *s)
{
	uint32_t n;

	pthread_mutex_lock(&s->lock);
	n = s->n_calls;
	pthread_mutex_unlock(&s->lock);
	return n;
}

static bct_duty_header_t header(script_t *s, bct_duty_state_t *state)
{
	bct_duty_header_t h;

	pthread_mutex_lock(&s->lock);
	cr_assert_eq(bct_duty_record_decode(s->record.data, s->record.len_bytes, &h, state), 0);
	pthread_mutex_unlock(&s->lock);
	return h;
}

static bct_duty_header_t lease_of(script_t *s)
{
	bct_duty_state_t state;
	bct_duty_header_t h = header(s, &state);

	bct_duty_state_free(&state);
	return h;
}

/* Another node claims: a record of its own, with the state of the newest one. */
static void other_claims(script_t *s)
{
	bct_duty_plan_opts_t o = { .window_ms = 1000, .calls_per_s = 50 };
	bct_duty_plan_t p;
	bct_duty_state_t state;
	bct_duty_header_t h = header(s, &state);

	bct_duty_plan_init(&p, &o);
	cr_assert_eq(bct_duty_plan_adopt(&p, 0, &state), 0);
	h.holder = OTHER_NODE;
	h.append_id++;
	h.revision++;
	pthread_mutex_lock(&s->lock);
	bct_buf_clear(&s->record);
	cr_assert_eq(bct_duty_record_encode(&h, &p, NULL, 0, &s->record), 0);
	s->end++;
	pthread_mutex_unlock(&s->lock);
	bct_duty_plan_free(&p);
	bct_duty_state_free(&state);
}

/* At the end: no window has two reports that differ, and no token is below one before. */
static void finish(script_t *s)
{
	for (uint32_t i = 0; i < s->n_calls; i++) {
		const api_call_t *c = &s->calls[i];

		for (uint32_t j = 0; j < i; j++) {
			const api_call_t *b = &s->calls[j];

			cr_assert_geq(c->fence, b->fence);
			if (c->node != b->node)
				cr_assert_gt(c->fence, b->fence, "a token of two nodes");
			if (c->kind == BCT_DUTY_REPORT && b->kind == c->kind &&
			    b->window == c->window)
				cr_assert_eq(b->requests, c->requests);
		}
	}
	pthread_mutex_lock(&s->lock);
	bct_buf_free(&s->record);
	pthread_mutex_unlock(&s->lock);
}

/* All windows from `first` to `last` have an accepted report. */
static void check_complete(const script_t *s, uint64_t first, uint64_t last)
{
	for (uint64_t w = first; w <= last; w++) {
		uint32_t accepted = 0;

		for (uint32_t i = 0; i < s->n_calls; i++)
			accepted += s->calls[i].kind == BCT_DUTY_REPORT &&
				    s->calls[i].window == w && !s->calls[i].rc;
		cr_assert_gt(accepted, 0, "window %llu of %llu to %llu is missing",
			     (unsigned long long)w, (unsigned long long)first,
			     (unsigned long long)last);
	}
}

/* chutectl reads the page of the holder; a metric that is renamed would be missing there. */
static void check_page(bct_buf_t *page, script_t *s, uint64_t reported)
{
	json_t *d = duty_page_parse(page->data);

	cr_assert_not_null(d);
	cr_assert_eq(json_integer_value(json_object_get(d, "held")), 1);
	cr_assert_str_eq(json_string_value(json_object_get(d, "holder")), "test");
	cr_assert_eq(strtoull(json_string_value(json_object_get(d, "incarnation")), NULL, 16),
		     lease_of(s).holder);
	cr_assert_gt(json_integer_value(json_object_get(d, "fencing_token")), 0);
	cr_assert_not_null(json_object_get(d, "record_age_ms"));
	cr_assert_geq(json_integer_value(json_object_get(d, "window_reported")),
		      (json_int_t)reported);
	cr_assert_geq(json_integer_value(json_object_get(d, "window_decided")),
		      json_integer_value(json_object_get(d, "window_reported")));
	cr_assert_not_null(json_object_get(d, "reports_waiting"));
	json_decref(d);
}

/* Likewise the engines by failure domain. */
static void check_engines(bct_buf_t *page)
{
	json_t *d = duty_page_parse(page->data), *e = json_object_get(d, "engines");

	cr_assert_eq(json_array_size(e), 2, "standard and spot");
	e = json_array_get(e, 0);
	cr_assert_str_eq(json_string_value(json_object_get(e, "service")), "model");
	cr_assert_str_eq(json_string_value(json_object_get(e, "failure_domain")), "z");
	cr_assert_str_eq(json_string_value(json_object_get(e, "kind")), "standard");
	cr_assert_eq(json_integer_value(json_object_get(e, "present")), 3);
	cr_assert_not_null(json_object_get(e, "wanted"));
	json_decref(d);
}

/* Reports follow each other, each with the counts of its window; a stop releases the lease. */
Test(duty, reports_orders_and_releases, .timeout = 60)
{
	test_gate_t t;
	script_t s;
	bct_buf_t out;
	api_call_t c;
	uint64_t window;

	start(&s, &t);
	window = bct_gate_usage_window(t.gate->usage, bct_clock_now());
	for (int i = 0; i < 7; i++)
		bct_usage_began(bct_gate_usage_counters(t.gate->usage), window, ACCOUNT);
	c = wait_call(&s, 0, ACQUIRE_MS);
	cr_assert_eq(c.kind, BCT_DUTY_REPORT);
	cr_assert_leq(c.window, window);
	cr_assert_eq(s.calls[wait_window(&s, window)].requests, 7);
	wait_window(&s, window + 1);
	cr_assert_eq(wait_call(&s, 1, 3000).window, c.window + 1, "in order");
	test_gate_admin(&t, "GET /metrics HTTP/1.0\r\n\r\n", 100, &out);
	bct_buf_free(&out);
	bct_buf_init(&out, 0);
	bct_duty_print(t.gate->duty, &out);
	cr_assert(strstr(out.data, "bct_duty_held 1"), "%s", out.data);
	cr_assert(strstr(out.data, "bct_duty_holder{name=\"test\""), "%s", out.data);
	check_page(&out, &s, c.window);
	bct_buf_free(&out);
	cr_assert_neq(lease_of(&s).holder, 0);
	test_gate_stop(&t);
	cr_assert_eq(lease_of(&s).holder, 0, "released before the exit");
	check_complete(&s, c.window, window + 1);
	finish(&s);
}

/* Fewer engines than the minimum are present: an order is sent once. Usage is not reported. */
Test(duty, orders_engines, .timeout = 60)
{
	bct_autoscale_conf_t scaling = { .minimum = 5,
					 .maximum = 9,
					 .boot_ms = 4000,
					 .domains = { { "z", 1.0 } },
					 .n_domains = 1 };
	uint32_t orders = 0;
	test_gate_t t;
	script_t s;
	bct_buf_t out;

	start_with(&s, &t, false);
	t.gate->routes->services[1].scaling = scaling;
	wait_call(&s, 0, ACQUIRE_MS);
	bct_clock_sleep(3000);
	bct_buf_init(&out, 0);
	bct_duty_print(t.gate->duty, &out);
	cr_assert(strstr(out.data,
			 "bct_duty_engines_present{service=\"model\",failure_domain=\"z\","
			 "kind=\"standard\"} 3"),
		  "%s", out.data);
	check_engines(&out);
	bct_buf_free(&out);
	test_gate_stop(&t);
	for (uint32_t i = 0; i < s.n_calls; i++) {
		cr_assert_eq(s.calls[i].kind, BCT_DUTY_ORDER);
		cr_assert_geq(s.calls[i].engines, 5);
		orders++;
	}
	cr_assert_eq(orders, 1);
	finish(&s);
}

static void freeze(int sig)
{
	(void)sig;
	bct_clock_sleep(FREEZE_MS);
}

/* The holder is frozen beyond its lease while another node claims: it makes no call when it wakes.
 */
Test(duty, frozen_holder, .timeout = 60)
{
	test_gate_t t;
	script_t s;
	uint32_t n;
	uint64_t other;

	start(&s, &t);
	signal(SIGUSR1, freeze);
	wait_call(&s, 0, ACQUIRE_MS);
	pthread_kill(t.thread, SIGUSR1);
	bct_clock_sleep(3600);
	n = calls(&s);
	other_claims(&s);
	other = s.end;
	bct_clock_sleep(FREEZE_MS - 3600 + 1000);
	cr_assert_eq(calls(&s), n, "called after its lease");
	/* The other node never renews. */
	cr_assert_geq(wait_call(&s, n, ACQUIRE_MS).fence, other);
	test_gate_stop(&t);
	finish(&s);
}

/*
 * The holder is frozen beyond its lease; another gateway continues, with the requests that only the
 * frozen one has counted and written to its checkpoint.
 */
Test(duty, successor_continues, .timeout = 60)
{
	test_gate_t t[NODES];
	script_t s;
	uint64_t window;
	uint32_t n;
	api_call_t c;

	start(&s, &t[0]);
	signal(SIGUSR1, freeze);
	wait_call(&s, 0, ACQUIRE_MS);
	test_gate_start_duty(&t[1], 1, &s.controls[1].base, true);
	bct_clock_sleep(1000);
	window = bct_gate_usage_window(t[0].gate->usage, bct_clock_now());
	for (int i = 0; i < 5; i++)
		bct_usage_began(bct_gate_usage_counters(t[0].gate->usage), window, ACCOUNT);
	bct_clock_sleep(1200);
	pthread_kill(t[0].thread, SIGUSR1);
	n = calls(&s);
	c = wait_call(&s, n + 1, ACQUIRE_MS);
	cr_assert_eq(c.node, 1);
	wait_window(&s, window + 4);
	n = wait_window(&s, window);
	cr_assert_eq(s.calls[n].node, 1);
	cr_assert_eq(s.calls[n].requests, 5);
	test_gate_stop(&t[1]);
	check_complete(&s, s.calls[0].window, window + 4);
	finish(&s);
}

/* 409 to a report: no more calls with that token, and no claim before the lease's time. */
Test(duty, api_refuses, .timeout = 60)
{
	test_gate_t t;
	script_t s;
	api_call_t c, next;

	start(&s, &t);
	wait_call(&s, 0, ACQUIRE_MS);
	set_mode(&s, API_FENCED);
	bct_clock_sleep(1500);
	c = s.calls[calls(&s) - 1];
	cr_assert_eq(c.rc, -BCT_EFENCED);
	cr_assert_eq(s.calls[calls(&s) - 2].rc, 0, "one call was refused");
	set_mode(&s, API_OK);
	next = wait_call(&s, calls(&s), ACQUIRE_MS);
	cr_assert_gt(next.fence, c.fence);
	cr_assert_geq(next.at - c.at, LEASE_MS);
	cr_assert_eq(next.window, c.window, "the refused report is made up");
	test_gate_stop(&t);
	finish(&s);
}

/* No responses: the lease is kept, and the report is sent again with newer tokens. */
Test(duty, api_silent, .timeout = 60)
{
	test_gate_t t;
	script_t s;
	uint32_t n;
	uint64_t holder;

	start(&s, &t);
	wait_call(&s, 0, ACQUIRE_MS);
	holder = lease_of(&s).holder;
	set_mode(&s, API_SILENT);
	bct_clock_sleep(7000);
	n = calls(&s);
	cr_assert_eq(lease_of(&s).holder, holder);
	cr_assert_gt(s.calls[n - 1].fence, s.calls[n - 2].fence);
	set_mode(&s, API_OK);
	for (uint64_t w = s.calls[0].window; w <= s.calls[n - 1].window + 3; w++)
		wait_window(&s, w);
	test_gate_stop(&t);
	check_complete(&s, s.calls[0].window, s.calls[n - 1].window + 3);
	finish(&s);
}

/* The API is not reached: the lease is released, for others to claim. */
Test(duty, api_down, .timeout = 60)
{
	test_gate_t t;
	script_t s;

	start(&s, &t);
	wait_call(&s, 0, ACQUIRE_MS);
	set_mode(&s, API_DOWN);
	bct_clock_sleep(3500);
	cr_assert_eq(lease_of(&s).holder, 0);
	test_gate_stop(&t);
	finish(&s);
}

/*
 * The store is down for longer than the lease: no calls; then no window is missing. Reports that
 * were accepted after the last record are repeated.
 */
Test(duty, store_down, .timeout = 60)
{
	test_gate_t t;
	script_t s;
	uint32_t n;
	uint64_t last, before = 0;

	start(&s, &t);
	wait_call(&s, 0, ACQUIRE_MS);
	set_store_down(&s, true);
	bct_clock_sleep(LEASE_MS + 200);
	n = calls(&s);
	last = s.calls[n - 1].window;
	bct_clock_sleep(2000);
	cr_assert_eq(calls(&s), n);
	set_store_down(&s, false);
	wait_call(&s, n + 7, ACQUIRE_MS);
	test_gate_stop(&t);
	for (uint32_t i = n; i < s.n_calls; before = s.calls[i++].window)
		cr_assert_gt(s.calls[i].window, before, "oldest first");
	check_complete(&s, s.calls[0].window, last + 5);
	finish(&s);
}

/* A response to an append is lost: the holder stays the holder. */
Test(duty, lost_response, .timeout = 60)
{
	test_gate_t t;
	script_t s;
	uint64_t holder;
	uint32_t n;

	start(&s, &t);
	wait_call(&s, 0, ACQUIRE_MS);
	holder = lease_of(&s).holder;
	pthread_mutex_lock(&s.lock);
	s.lose_response = true;
	pthread_mutex_unlock(&s.lock);
	n = calls(&s);
	bct_clock_sleep(3500);
	cr_assert_eq(lease_of(&s).holder, holder);
	cr_assert_geq(calls(&s), n + 2);
	test_gate_stop(&t);
	cr_assert_eq(lease_of(&s).holder, 0);
	finish(&s);
}

/* A stop while the API is silent: the call ends first, then the lease is released. */
Test(duty, stop_while_silent, .timeout = 60)
{
	test_gate_t t;
	script_t s;

	start(&s, &t);
	wait_call(&s, 0, ACQUIRE_MS);
	set_mode(&s, API_SILENT);
	wait_call(&s, calls(&s), 3000);
	test_gate_stop(&t);
	cr_assert_eq(lease_of(&s).holder, 0);
	finish(&s);
}
