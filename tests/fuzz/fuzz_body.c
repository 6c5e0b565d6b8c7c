/*
 * fuzz_body.c - completion bodies: a refusal names its field; what goes to an engine is accepted
 * again, with the same digest and prefixes.
 */
#include "node/body.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

static void run(const uint8_t *data, size_t size, bool chat)
{
	bct_body_t b, again;
	bct_refuse_t r = bct_body_parse((const char *)data, size, chat, &b);

	if (r) {
		BCT_FUZZ_CHECK(r == BCT_REFUSE_BAD_JSON ||
			       (r == BCT_REFUSE_BAD_FIELD && b.field[0]));
	} else {
		BCT_FUZZ_CHECK(
			!bct_body_parse(b.upstream.data, b.upstream.len_bytes, chat, &again));
		BCT_FUZZ_CHECK(again.stream && again.digest == b.digest);
		BCT_FUZZ_CHECK(again.n_prefix == b.n_prefix &&
			       !memcmp(again.prefix, b.prefix, sizeof(b.prefix)));
		BCT_FUZZ_CHECK(again.prompt_tokens == b.prompt_tokens);
		bct_body_free(&again);
	}
	bct_body_free(&b);
}

BCT_FUZZ(body)
{
	run(data, size, true);
	run(data, size, false);
	return 0;
}
