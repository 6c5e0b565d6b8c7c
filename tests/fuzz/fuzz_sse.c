/*
 * fuzz_sse.c - event streams. Checks that the events and the result are the same in whatever pieces
 * the bytes arrive.
 */
#include "base/err.h"
#include "base/hash.h"
#include "node/sse.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

#define MAX_EVENT_BYTES 256

typedef struct outcome {
	uint64_t hash; /* of the data of all events */
	uint32_t n;    /* events */
} outcome_t;

static int on_event(void *ctx, const char *data, size_t len_bytes)
{
	outcome_t *s = ctx;

	BCT_FUZZ_CHECK(len_bytes && len_bytes <= MAX_EVENT_BYTES && !data[len_bytes]);
	s->hash = bct_hash_mix(s->hash, bct_hash(data, len_bytes));
	s->n++;
	return 0;
}

/* Parses the input in pieces of step bytes. */
static int run(const uint8_t *data, size_t size, size_t step, outcome_t *out)
{
	bct_sse_t p;
	int rc = 0;

	memset(out, 0, sizeof(*out));
	bct_sse_init(&p, MAX_EVENT_BYTES, on_event, out);
	for (size_t at = 0; at < size && !rc; at += step)
		rc = bct_sse_feed(&p, (const char *)data + at, size - at < step ? size - at : step);
	bct_sse_free(&p);
	return rc;
}

BCT_FUZZ(sse)
{
	outcome_t unsplit, split;
	int rc = run(data, size, size ? size : 1, &unsplit);

	for (size_t step = 1; step <= 3; step++) {
		BCT_FUZZ_CHECK(run(data, size, step, &split) == rc);
		BCT_FUZZ_CHECK(split.n == unsplit.n && split.hash == unsplit.hash);
	}
	return 0;
}
