/*
 * test_gate_events.c - events of a stream around a fault of its upstream: none is lost, none comes
 * twice. util_gate.h lists the scripted actions.
 */
#include "base/err.h"
#include "gate/sse.h"
#include "tests/util_gate.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STREAM_EVENTS 5

static test_gate_t gate;

/* Returns how often event id of a scripted stream stands in an answer. */
static int occurrences(const bct_buf_t *answer, int id)
{
	char event[48];
	int n = 0;

	snprintf(event, sizeof(event), "id: %d\ndata: e%d\n\n", id, id);
	for (const char *at = answer->data; at && (at = strstr(at, event)); at++)
		n++;
	return n;
}

/* Expects that an answer has each of the first n events once, and no other. */
static void expect_events(const bct_buf_t *answer, int n)
{
	for (int id = 1; id <= STREAM_EVENTS; id++)
		cr_expect_eq(occurrences(answer, id), id <= n, "event %d: %s", id, answer->data);
}

/* review/1: the id of an event is spoilt, and the events before it came in the same bytes. The
 * stream went on elsewhere behind them, but the caller never got them. */
Test(gate_events, events_before_a_spoilt_one_are_delivered)
{
	bct_buf_t out;

	test_gate_start(&gate);
	cr_expect_eq(test_gate_call(&gate, "POST", "/resume/a", "r", "streamspoilt,stream", &out),
		     200);
	cr_expect_eq(test_gate_runs(&gate, "r"), 2);
	cr_expect(strstr(test_gate_run(&gate, "r", 1)->head, "Last-Event-Id: 2\r\n"));
	cr_expect(strstr(out.data, "\r\n0\r\n\r\n"), "not complete: %s", out.data);
	expect_events(&out, STREAM_EVENTS);
	bct_buf_free(&out);
	test_gate_stop(&gate);
}

/* A stream that may not be resumed ends there, and not as a complete one. */
Test(gate_events, a_spoilt_stream_is_not_complete)
{
	bct_buf_t out;

	test_gate_start(&gate);
	cr_expect_eq(test_gate_call(&gate, "POST", "/stream/a", "s", "streamspoilt", &out), 200);
	cr_expect_eq(test_gate_runs(&gate, "s"), 1);
	cr_expect_not(strstr(out.data, "\r\n0\r\n\r\n"), "complete: %s", out.data);
	expect_events(&out, 2);
	bct_buf_free(&out);
	test_gate_stop(&gate);
}

/* A caller takes up a stream, and the upstream that goes on spoils an event of it. */
Test(gate_events, a_taken_up_stream_loses_no_event)
{
	bct_buf_t out;

	test_gate_start(&gate);
	cr_expect_eq(test_gate_call(&gate, "POST", "/resume/a", "b", "streamcut", &out), 200);
	bct_buf_free(&out);
	cr_expect_eq(
		test_gate_take_up(&gate, "/resume/a", "t", "streamspoilt,stream", "b", 1, &out),
		200, "%s", out.data);
	cr_expect_eq(test_gate_runs(&gate, "t"), 2);
	cr_expect(strstr(test_gate_run(&gate, "t", 1)->head, "Last-Event-Id: 3\r\n"));
	cr_expect(strstr(out.data, "\r\n0\r\n\r\n"), "not complete: %s", out.data);
	for (int id = 2; id <= STREAM_EVENTS; id++)
		cr_expect_eq(occurrences(&out, id), 1, "event %d: %s", id, out.data);
	bct_buf_free(&out);
	test_gate_stop(&gate);
}

/* Feeds text. Returns the error, and the number of events in *n. */
static int feed(bct_gate_sse_t *e, const char *text, struct evbuffer *out, uint32_t *n)
{
	return bct_gate_sse_feed(e, text, strlen(text), out, n);
}

/* What was not forwarded is not skipped, and is asked for again, wherever the attempt ended. */
Test(gate_events, only_forwarded_events_are_skipped)
{
	struct evbuffer *out = evbuffer_new();
	bct_gate_sse_t e;
	uint32_t n;

	cr_assert_eq(bct_gate_sse_init(&e), 0);
	cr_expect_eq(feed(&e, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", out, &n), 0);
	cr_expect_eq(n, 2);
	bct_gate_sse_forwarded(&e);
	cr_expect_eq(feed(&e, "id: 3\ndata: c\n\nid: x\ndata: d\n\n", out, &n), -BCT_ECODEC);
	cr_expect_eq(n, 1);
	evbuffer_drain(out, evbuffer_get_length(out));
	bct_gate_sse_resume(&e);
	cr_expect(e.has_id);
	cr_expect_eq(e.last_id, 2);
	cr_expect_eq(e.count, 2);
	cr_expect_eq(feed(&e, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n", out, &n), 0);
	cr_expect_eq(n, 1);
	evbuffer_add(out, "", 1);
	cr_expect_str_eq((const char *)evbuffer_pullup(out, -1), "id: 3\ndata: c\n\n");
	bct_gate_sse_free(&e);
	evbuffer_free(out);
}

/* An event that is too large takes none of those before it with it. */
Test(gate_events, an_event_too_large_leaves_those_before_it)
{
	struct evbuffer *out = evbuffer_new();
	size_t len = 300 * 1024;
	char *text = malloc(len);
	bct_gate_sse_t e;
	uint32_t n;

	memset(text, 'd', len);
	memcpy(text, "id: 1\n\nid: 2\n\n", 14);
	cr_assert_eq(bct_gate_sse_init(&e), 0);
	cr_expect_eq(bct_gate_sse_feed(&e, text, len, out, &n), -BCT_ETOO_LARGE);
	cr_expect_eq(n, 2);
	cr_expect_eq(evbuffer_get_length(out), 14);
	bct_gate_sse_free(&e);
	evbuffer_free(out);
	free(text);
}

/* An id that is no whole number is spoilt, also that of the first event. */
Test(gate_events, an_id_is_a_whole_number)
{
	static const char *const spoilt[] = { "id: x\n\n", "id: 1x\n\n", "id: -1\n\n",
					      "id: 99999999999999999999\n\n",
					      "id: 0000000000000000000000000007\n\n" };
	static const char *const sound[] = { "id: 7\n\n", "id:7\n\n", "id:  7  \r\n\r\n",
					     "data\n\n", "id: 18446744073709551615\n\n" };

	for (size_t i = 0; i < sizeof(spoilt) / sizeof(spoilt[0]); i++) {
		struct evbuffer *out = evbuffer_new();
		bct_gate_sse_t a, b;
		uint32_t n;

		cr_assert_eq(bct_gate_sse_init(&a) | bct_gate_sse_init(&b), 0);
		cr_expect_eq(feed(&a, spoilt[i], out, &n), -BCT_ECODEC, "%s", spoilt[i]);
		cr_expect_eq(feed(&b, sound[i], out, &n), 0, "%s", sound[i]);
		cr_expect_eq(n, 1);
		bct_gate_sse_free(&a);
		bct_gate_sse_free(&b);
		evbuffer_free(out);
	}
}
