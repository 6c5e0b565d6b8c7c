/*
 * fuzz_gate_events.c - event streams through the gateway's parser. Checks that the same events are
 * passed on, also those before a fault, in whatever pieces the bytes arrive, and that the output is
 * not longer than the input.
 */
#include "base/hash.h"
#include "gate/sse.h"
#include "tests/fuzz/fuzz.h"

#include <event2/buffer.h>
#include <string.h>

typedef struct outcome {
	uint64_t hash; /* of the bytes passed on */
	size_t bytes;  /* passed on */
	uint32_t events;
	bool failed;
	bool at_boundary; /* the input ends with a complete event */
} outcome_t;

/* Parses the input in pieces of step bytes. */
static void run(const uint8_t *data, size_t size, size_t step, outcome_t *s)
{
	struct evbuffer *out = evbuffer_new();
	bct_gate_sse_t e;

	memset(s, 0, sizeof(*s));
	BCT_FUZZ_CHECK(!bct_gate_sse_init(&e));
	for (size_t at = 0; at < size && !s->failed; at += step) {
		size_t len = size - at < step ? size - at : step;
		uint32_t n;

		s->failed = bct_gate_sse_feed(&e, (const char *)data + at, len, out, &n) < 0;
		bct_gate_sse_forwarded(&e);
	}
	s->bytes = evbuffer_get_length(out);
	s->hash = s->bytes ? bct_hash(evbuffer_pullup(out, -1), s->bytes) : 0;
	s->events = e.count;
	s->at_boundary = bct_gate_sse_at_boundary(&e);
	bct_gate_sse_free(&e);
	evbuffer_free(out);
}

BCT_FUZZ(gate_events)
{
	outcome_t unsplit, split;

	run(data, size, size ? size : 1, &unsplit);
	BCT_FUZZ_CHECK(unsplit.bytes <= size);
	for (size_t step = 1; step <= 5; step += 2) {
		run(data, size, step, &split);
		BCT_FUZZ_CHECK(split.failed == unsplit.failed);
		BCT_FUZZ_CHECK(split.hash == unsplit.hash && split.bytes == unsplit.bytes);
		BCT_FUZZ_CHECK(split.events == unsplit.events);
		BCT_FUZZ_CHECK(split.failed || split.at_boundary == unsplit.at_boundary);
	}
	return 0;
}
