/*
 * fuzz_gate_events.c - event streams through the gateway: what is handed over and where it fails
 * are the same however the bytes are cut, and nothing is handed over that did not come.
 */
#include "base/hash.h"
#include "gate/sse.h"
#include "tests/fuzz/fuzz.h"

#include <event2/buffer.h>
#include <string.h>

typedef struct seen {
	uint64_t hash;
	size_t bytes;
	uint32_t events;
	bool failed;
	bool clean;
} seen_t;

static void run(const uint8_t *data, size_t size, size_t step, seen_t *s)
{
	struct evbuffer *out = evbuffer_new();
	bct_gate_sse_t e;

	memset(s, 0, sizeof(*s));
	BCT_FUZZ_CHECK(!bct_gate_sse_init(&e));
	for (size_t at = 0; at < size && !s->failed; at += step) {
		size_t len = size - at < step ? size - at : step;

		s->failed = bct_gate_sse_feed(&e, (const char *)data + at, len, out) < 0;
	}
	s->bytes = evbuffer_get_length(out);
	s->hash = s->bytes ? bct_hash(evbuffer_pullup(out, -1), s->bytes) : 0;
	s->events = e.count;
	s->clean = bct_gate_sse_at_boundary(&e);
	bct_gate_sse_free(&e);
	evbuffer_free(out);
}

BCT_FUZZ(gate_events)
{
	seen_t whole, cut;

	run(data, size, size ? size : 1, &whole);
	BCT_FUZZ_CHECK(whole.bytes <= size);
	for (size_t step = 1; step <= 5; step += 2) {
		run(data, size, step, &cut);
		BCT_FUZZ_CHECK(cut.failed == whole.failed);
		if (cut.failed)
			continue;
		BCT_FUZZ_CHECK(cut.hash == whole.hash && cut.bytes == whole.bytes);
		BCT_FUZZ_CHECK(cut.events == whole.events && cut.clean == whole.clean);
	}
	return 0;
}
