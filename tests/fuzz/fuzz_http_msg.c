/*
 * fuzz_http_msg.c - messages on a connection: each is read the same, and ends at the same byte,
 * however the bytes are cut. The first byte chooses requests or responses.
 */
#include "base/hash.h"
#include "gate/http_msg.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

#define MAX_HEAD_BYTES 1024
#define MESSAGES_MAX 4

typedef struct seen {
	uint64_t hash; /* of all heads and bodies */
	uint32_t messages;
	bct_http_state_t state; /* of the last one */
} seen_t;

static void add(seen_t *s, const char *text)
{
	s->hash = bct_hash_mix(s->hash, bct_hash_str(text ? text : ""));
}

/* Byte by byte, as bodies come in other pieces when they are cut. */
static int on_body(void *ctx, const char *data, size_t len_bytes)
{
	seen_t *s = ctx;

	for (size_t i = 0; i < len_bytes; i++)
		s->hash = bct_hash_mix(s->hash, (uint8_t)data[i]);
	return 0;
}

static void add_head(seen_t *s, const bct_http_msg_t *m)
{
	add(s, m->method);
	add(s, m->target);
	s->hash = bct_hash_mix(s->hash, (uint64_t)m->status);
	BCT_FUZZ_CHECK(m->n_headers <= BCT_HTTP_HEADERS_MAX);
	for (uint32_t i = 0; i < m->n_headers; i++) {
		BCT_FUZZ_CHECK(!strpbrk(m->headers[i].name, " \t\r\n:"));
		BCT_FUZZ_CHECK(!strpbrk(m->headers[i].value, "\r\n"));
		add(s, m->headers[i].name);
		add(s, m->headers[i].value);
	}
}

/* Reads what is there. returns whether more bytes may help. */
static bool read_some(bct_http_msg_t *m, struct evbuffer *in, seen_t *s)
{
	for (;;) {
		bct_http_state_t before = m->state, now = bct_http_msg_read(m, in, MAX_HEAD_BYTES);

		if (before == BCT_HTTP_HEAD && (now == BCT_HTTP_BODY || now == BCT_HTTP_DONE))
			add_head(s, m);
		if (now == BCT_HTTP_FAILED)
			return false;
		if (now == BCT_HTTP_DONE) {
			if (++s->messages == MESSAGES_MAX)
				return false;
			bct_http_msg_reset(m);
		} else if (now == before) {
			return true;
		}
	}
}

static void run(const uint8_t *data, size_t size, size_t step, seen_t *s)
{
	enum http_parser_type type = size && data[0] & 1 ? HTTP_RESPONSE : HTTP_REQUEST;
	struct evbuffer *in = evbuffer_new();
	bool more = true;
	bct_http_msg_t m;

	memset(s, 0, sizeof(*s));
	bct_http_msg_init(&m, type);
	m.on_body = on_body;
	m.ctx = s;
	for (size_t at = 1; at < size && more; at += step) {
		evbuffer_add(in, data + at, size - at < step ? size - at : step);
		more = read_some(&m, in, s);
	}
	s->state = more ? bct_http_msg_eof(&m) : m.state;
	bct_http_msg_free(&m);
	evbuffer_free(in);
}

BCT_FUZZ(http_msg)
{
	seen_t whole, cut;

	run(data, size, size ? size : 1, &whole);
	for (size_t step = 1; step <= 5; step += 2) {
		run(data, size, step, &cut);
		BCT_FUZZ_CHECK(cut.messages == whole.messages && cut.state == whole.state);
		/* Of a message that fails, the part before the fault may be seen or not. */
		BCT_FUZZ_CHECK(cut.state == BCT_HTTP_FAILED || cut.hash == whole.hash);
	}
	return 0;
}
