/*
 * test_stream.c - events of an engine's stream in chuted, around a fault of the engine.
 */
#include "base/err.h"
#include "node/answer.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

static int on_event(void *ctx, const char *data, size_t len)
{
	return bct_answer_event(ctx, data, len, 0);
}

/* The events before a spoilt one came in the same bytes: the caller gets them, and another engine
 * is asked to go on behind them, see bct_core_send(). Another one may not lose or repeat them. */
Test(stream, events_before_a_spoilt_one_are_delivered)
{
	static const char word[] = "data: {\"id\":\"cmpl-00000000000000a1\",\"choices\":"
				   "[{\"text\":\"w%d\"}]}\n\n";
	bct_request_t *r = bct_request_new(7, NULL);
	bct_attempt_t a = { .req = r,
			    .id_hex = "00000000000000a1",
			    .req_id_hex = "0000000000000007" };
	char text[512];
	int n = snprintf(text, sizeof(text), word, 1);

	n += snprintf(text + n, sizeof(text) - (size_t)n, word, 2);
	n += snprintf(text + n, sizeof(text) - (size_t)n, "data: {\"id\":\"cm\n\n");
	snprintf(text + n, sizeof(text) - (size_t)n, word, 4);
	r->stream = true;
	r->attempt = &a;
	bct_sse_init(&a.sse, sizeof(text), on_event, &a);
	cr_expect_eq(bct_sse_feed(&a.sse, text, strlen(text)), -BCT_ECODEC);
	cr_expect_eq(r->tokens, 2);
	cr_expect_eq(a.tokens, 2);
	cr_expect(strstr(r->out.data, "w1") && strstr(r->out.data, "w2"), "%s", r->out.data);
	cr_expect_not(strstr(r->out.data, "w4"));
	bct_sse_free(&a.sse);
	bct_request_unref(r);
}
