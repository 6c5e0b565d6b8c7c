/*
 * fuzz_notice.c - what upstreams state about themselves: header lines of any content are decoded
 * into values within their bounds.
 */
#include "platform/adapter.h"
#include "tests/fuzz/fuzz.h"

#include <event2/buffer.h>

#define MAX_HEAD_BYTES 4096
#define LIMIT_MAX_MRPS 1000000000
#define PAUSE_MAX_MS 3600000

BCT_FUZZ(notice)
{
	struct evbuffer *in = evbuffer_new();
	bct_wire_answer_t a = { 0 };
	bct_http_msg_t m;

	bct_http_msg_init(&m, HTTP_RESPONSE);
	evbuffer_add_printf(in, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n");
	evbuffer_add(in, data, size);
	evbuffer_add_printf(in, "\r\n\r\n");
	bct_http_msg_read(&m, in, MAX_HEAD_BYTES);
	bct_adapter_wire()->decode_answer(&m, &a);
	BCT_FUZZ_CHECK(a.notice.limits || !a.notice.limit_mrps);
	BCT_FUZZ_CHECK(a.notice.limit_mrps <= LIMIT_MAX_MRPS);
	BCT_FUZZ_CHECK(a.notice.pause_ms <= PAUSE_MAX_MS);
	bct_http_msg_free(&m);
	evbuffer_free(in);
	return 0;
}
