/*
 * race_duty_calls.c - the threads that make the calls of the duties, with an event loop that starts
 * the next call as soon as one is done, and ended while calls run; to be run under the thread
 * sanitizer.
 */
#include "base/err.h"
#include "gate/duty_calls.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROUNDS 20
#define CALLS 200 /* of each thread in a round */
#define PAUSE_EVERY 64

typedef struct driver {
	struct event_base *base;
	bct_duty_calls_t *calls;
	uint32_t store;
	uint32_t api;
	uint32_t bad;
} driver_t;

static void destroy(bct_control_t *c)
{
	(void)c;
}

static int fake_read(bct_control_t *c, uint32_t timeout_ms, bct_buf_t *record,
		     bct_gate_position_t *position, bct_gate_position_t *end)
{
	(void)c;
	bct_buf_clear(record);
	*position = timeout_ms;
	*end = timeout_ms + 1;
	return bct_buf_puts(record, "record");
}

static int fake_append(bct_control_t *c, bct_gate_position_t at, const void *data,
		       uint32_t len_bytes, uint32_t timeout_ms, bct_gate_position_t *position)
{
	(void)c;
	(void)timeout_ms;
	*position = at;
	return len_bytes == 4 && !memcmp(data, "body", 4) ? 0 : -BCT_EINVAL;
}

static int fake_report(bct_control_t *c, const bct_control_caller_t *by,
		       const bct_usage_report_t *r, uint32_t timeout_ms)
{
	(void)c;
	if (by->fence % PAUSE_EVERY == 0)
		bct_clock_sleep(1);
	return r->n == 1 && r->counts[0].requests == by->fence && timeout_ms ? 0 : -BCT_EINVAL;
}

static int fake_order(bct_control_t *c, const bct_control_caller_t *by, const bct_engine_order_t *o,
		      uint32_t timeout_ms)
{
	(void)c;
	return o->engines == by->fence && timeout_ms ? 0 : -BCT_EINVAL;
}

static const bct_control_ops_t ops = {
	.destroy = destroy,
	.cancel = destroy,
	.read = fake_read,
	.append = fake_append,
	.report_usage = fake_report,
	.order_engines = fake_order,
};

static void start_store(driver_t *d)
{
	bct_duty_store_call_t *s = bct_duty_calls_store(d->calls);

	if (!s)
		return;
	s->act = d->store % 2 ? BCT_DUTY_READ : BCT_DUTY_RENEW;
	s->at = s->timeout_ms = ++d->store;
	bct_buf_clear(&s->record);
	if (s->act == BCT_DUTY_RENEW)
		bct_buf_puts(&s->record, "body");
	bct_duty_calls_start_store(d->calls);
}

static void start_api(driver_t *d)
{
	bct_duty_api_call_t *a = bct_duty_calls_api(d->calls);
	bct_usage_count_t count = { "account", ++d->api };
	bct_usage_report_t r = { 1, &count, 1 };

	if (!a)
		return;
	bct_duty_report_free(&a->report);
	a->call = (bct_duty_call_t){ .kind = d->api % 2 ? BCT_DUTY_REPORT : BCT_DUTY_ORDER,
				     .fence = d->api,
				     .engines = d->api };
	if (bct_duty_report_copy(&r, &a->report))
		d->bad++;
	a->valid_until = bct_clock_now() + 10000;
	a->timeout_ms = 1000;
	bct_duty_calls_start_api(d->calls);
}

static void on_done(void *ctx)
{
	driver_t *d = ctx;
	const bct_duty_store_call_t *s = bct_duty_calls_done_store(d->calls);
	const bct_duty_api_call_t *a = bct_duty_calls_done_api(d->calls);

	d->bad += s && (s->rc || s->position != d->store);
	d->bad += a && a->rc;
	if (s)
		start_store(d);
	if (a)
		start_api(d);
	if (d->store >= CALLS && d->api >= CALLS)
		event_base_loopbreak(d->base);
}

int main(void)
{
	bct_control_t control = { .ops = &ops };
	uint32_t bad = 0, calls = 0;

	for (int i = 0; i < ROUNDS; i++) {
		driver_t d = { .base = event_base_new() };

		if (!d.base || bct_duty_calls_new(&control, d.base, on_done, &d, &d.calls))
			return EXIT_FAILURE;
		start_store(&d);
		start_api(&d);
		event_base_dispatch(d.base);
		bct_duty_calls_free(d.calls);
		event_base_free(d.base);
		bad += d.bad;
		calls += d.store + d.api;
	}
	printf("race_duty_calls: %u calls, %u wrong\n", calls, bad);
	return bad ? EXIT_FAILURE : EXIT_SUCCESS;
}
