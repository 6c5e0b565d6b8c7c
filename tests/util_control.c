/*
 * util_control.c - see util_control.h.
 */
#include "tests/util_control.h"
#include "base/err.h"

#include <string.h>

static int script_read(bct_control_t *c, uint32_t timeout_ms, bct_buf_t *record,
		       bct_gate_position_t *position, bct_gate_position_t *end)
{
	script_t *s = ((script_control_t *)c)->script;
	int rc = -BCT_EUNAVAILABLE;

	(void)timeout_ms;
	bct_buf_clear(record);
	pthread_mutex_lock(&s->lock);
	if (!s->store_down) {
		rc = bct_buf_put(record, s->record.data, s->record.len_bytes);
		*position = s->end - 1;
		*end = s->end;
	}
	pthread_mutex_unlock(&s->lock);
	return rc;
}

static int script_append(bct_control_t *c, bct_gate_position_t at, const void *data,
			 uint32_t len_bytes, uint32_t timeout_ms, bct_gate_position_t *position)
{
	script_t *s = ((script_control_t *)c)->script;
	int rc = 0;

	(void)timeout_ms;
	pthread_mutex_lock(&s->lock);
	if (s->store_down) {
		rc = -BCT_EUNAVAILABLE;
	} else if (at != s->end) {
		rc = -BCT_ESTALE;
	} else {
		bct_buf_clear(&s->record);
		bct_buf_put(&s->record, data, len_bytes);
		*position = s->end++;
		s->appends++;
		if (s->lose_response)
			rc = -BCT_EUNKNOWN_OUTCOME;
		s->lose_response = false;
	}
	pthread_mutex_unlock(&s->lock);
	return rc;
}

/* Waits for the time limit of a call that gets no response, or until calls are cancelled. */
static int no_response(const script_control_t *c, uint32_t timeout_ms)
{
	script_t *s = c->script;
	bct_time_t until = bct_clock_now() + timeout_ms;
	bool cancelled = false;

	while (!cancelled && bct_clock_now() < until) {
		bct_clock_sleep(10);
		pthread_mutex_lock(&s->lock);
		cancelled = c->cancelled;
		pthread_mutex_unlock(&s->lock);
	}
	return -BCT_EUNKNOWN_OUTCOME;
}

static int api(const script_control_t *by, api_call_t c, uint32_t timeout_ms)
{
	static const int results[] = { [API_OK] = 0,
				       [API_FENCED] = -BCT_EFENCED,
				       [API_SILENT] = -BCT_EUNKNOWN_OUTCOME,
				       [API_DOWN] = -BCT_EUNAVAILABLE };

	script_t *s = by->script;

	c.at = bct_clock_now();
	c.node = by->node;
	pthread_mutex_lock(&s->lock);
	c.rc = results[s->mode];
	if (s->n_calls < CALLS_MAX)
		s->calls[s->n_calls++] = c;
	pthread_mutex_unlock(&s->lock);
	return c.rc == -BCT_EUNKNOWN_OUTCOME ? no_response(by, timeout_ms) : c.rc;
}

static int script_report(bct_control_t *c, const bct_control_caller_t *by,
			 const bct_usage_report_t *r, uint32_t timeout_ms)
{
	api_call_t call = { .kind = BCT_DUTY_REPORT, .fence = by->fence, .window = r->window };

	for (uint32_t i = 0; i < r->n; i++) {
		if (!strcmp(r->counts[i].account, ACCOUNT))
			call.requests += r->counts[i].requests;
	}
	return api((script_control_t *)c, call, timeout_ms);
}

static int script_order(bct_control_t *c, const bct_control_caller_t *by,
			const bct_engine_order_t *o, uint32_t timeout_ms)
{
	api_call_t call = { .kind = BCT_DUTY_ORDER, .fence = by->fence, .engines = o->engines };

	return api((script_control_t *)c, call, timeout_ms);
}

static void script_cancel(bct_control_t *c)
{
	script_t *s = ((script_control_t *)c)->script;

	pthread_mutex_lock(&s->lock);
	((script_control_t *)c)->cancelled = true;
	pthread_mutex_unlock(&s->lock);
}

/* The test looks at the script after the gateway has ended. */
static void script_destroy(bct_control_t *c)
{
	(void)c;
}

static const bct_control_ops_t script_ops = {
	.destroy = script_destroy,
	.cancel = script_cancel,
	.read = script_read,
	.append = script_append,
	.report_usage = script_report,
	.order_engines = script_order,
};

void script_init(script_t *s)
{
	memset(s, 0, sizeof(*s));
	for (uint32_t i = 0; i < NODES; i++)
		s->controls[i] = (script_control_t){ { &script_ops }, s, i, false };
	pthread_mutex_init(&s->lock, NULL);
	bct_buf_init(&s->record, 0);
	s->end = bct_gate_position(3, 10);
}
