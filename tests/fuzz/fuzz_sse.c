/*
 * fuzz_sse.c - event streams: the events and the outcome are the same however the bytes are cut.
 */
#include "base/err.h"
#include "base/hash.h"
#include "node/sse.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

#define MAX_EVENT_BYTES 256

typedef struct seen {
	uint64_t hash;
	uint32_t n;
} seen_t;

static int on_event(void *ctx, const char *data, size_t len_bytes)
{
	seen_t *s = ctx;

	BCT_FUZZ_CHECK(len_bytes && len_bytes <= MAX_EVENT_BYTES && !data[len_bytes]);
	s->hash = bct_hash_mix(s->hash, bct_hash(data, len_bytes));
	s->n++;
	return 0;
}

static int run(const uint8_t *data, size_t size, size_t step, seen_t *seen)
{
	bct_sse_t p;
	int rc = 0;

	memset(seen, 0, sizeof(*seen));
	bct_sse_init(&p, MAX_EVENT_BYTES, on_event, seen);
	for (size_t at = 0; at < size && !rc; at += step)
		rc = bct_sse_feed(&p, (const char *)data + at, size - at < step ? size - at : step);
	bct_sse_free(&p);
	return rc;
}

BCT_FUZZ(sse)
{
	seen_t whole, cut;
	int rc = run(data, size, size ? size : 1, &whole);

	for (size_t step = 1; step <= 3; step++) {
		BCT_FUZZ_CHECK(run(data, size, step, &cut) == rc);
		BCT_FUZZ_CHECK(cut.n == whole.n && cut.hash == whole.hash);
	}
	return 0;
}
