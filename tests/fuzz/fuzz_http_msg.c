/*
 * fuzz_http_msg.c - HTTP messages on one connection. Checks that they parse to the same heads,
 * bodies and message ends in whatever pieces the bytes arrive. The lowest bit of the first byte
 * selects responses (1) or requests (0).
 */
#include "base/hash.h"
#include "http/http_msg.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

#define MAX_HEAD_BYTES 1024
#define STATUS_MIN 200
#define STATUS_MAX 599
#define MESSAGES_MAX 4

typedef struct outcome {
	uint64_t hash; /* of all heads and bodies */
	uint32_t messages;
	bct_http_state_t state; /* of the last message */
} outcome_t;

static void hash_text(outcome_t *s, const char *text)
{
	s->hash = bct_hash_mix(s->hash, bct_hash_str(text ? text : ""));
}

/* Hashes byte by byte, since the pieces of a body differ with the pieces of the input. */
static int on_body(void *ctx, const char *data, size_t len_bytes)
{
	outcome_t *s = ctx;

	for (size_t i = 0; i < len_bytes; i++)
		s->hash = bct_hash_mix(s->hash, (uint8_t)data[i]);
	return 0;
}

/* Hashes a complete head and checks that no header allows an injected line. */
static void hash_head(outcome_t *s, const bct_http_msg_t *m)
{
	hash_text(s, m->method);
	hash_text(s, m->target);
	s->hash = bct_hash_mix(s->hash, (uint64_t)m->status);
	BCT_FUZZ_CHECK(m->n_headers <= BCT_HTTP_HEADERS_MAX);
	/* What is no final status must not pass for one. */
	BCT_FUZZ_CHECK(m->method || (m->status >= STATUS_MIN && m->status <= STATUS_MAX));
	for (uint32_t i = 0; i < m->n_headers; i++) {
		BCT_FUZZ_CHECK(!strpbrk(m->headers[i].name, " \t\r\n:"));
		BCT_FUZZ_CHECK(!strpbrk(m->headers[i].value, "\r\n"));
		hash_text(s, m->headers[i].name);
		hash_text(s, m->headers[i].value);
	}
}

/* Parses the buffered bytes. Returns whether to continue with more input. */
static bool read_some(bct_http_msg_t *m, struct evbuffer *in, outcome_t *s)
{
	for (;;) {
		bct_http_state_t before = m->state, now = bct_http_msg_read(m, in, MAX_HEAD_BYTES);

		if (before == BCT_HTTP_HEAD && (now == BCT_HTTP_BODY || now == BCT_HTTP_DONE))
			hash_head(s, m);
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

/* Parses the input after its first byte in pieces of step bytes. */
static void run(const uint8_t *data, size_t size, size_t step, outcome_t *s)
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
	outcome_t unsplit, split;

	run(data, size, size ? size : 1, &unsplit);
	for (size_t step = 1; step <= 5; step += 2) {
		run(data, size, step, &split);
		BCT_FUZZ_CHECK(split.messages == unsplit.messages && split.state == unsplit.state);
		/* How far a failing message is parsed depends on the pieces. */
		BCT_FUZZ_CHECK(split.state == BCT_HTTP_FAILED || split.hash == unsplit.hash);
	}
	return 0;
}
