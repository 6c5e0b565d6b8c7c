/*
 * fuzz_body.c - bodies of completion requests. Checks that a refusal for a bad field names the
 * field, and that the body built for an engine parses as well, with the same digest, prefix hashes
 * and prompt size.
 */
#include "node/body.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

static void run(const uint8_t *data, size_t size, bool chat)
{
	bct_body_t b, reparsed;
	bct_refuse_t r = bct_body_parse((const char *)data, size, chat, &b);

	if (r) {
		BCT_FUZZ_CHECK(r == BCT_REFUSE_BAD_JSON ||
			       (r == BCT_REFUSE_BAD_FIELD && b.field[0]));
	} else {
		BCT_FUZZ_CHECK(
			!bct_body_parse(b.upstream.data, b.upstream.len_bytes, chat, &reparsed));
		BCT_FUZZ_CHECK(reparsed.stream && reparsed.digest == b.digest);
		BCT_FUZZ_CHECK(reparsed.n_prefix == b.n_prefix &&
			       !memcmp(reparsed.prefix, b.prefix, sizeof(b.prefix)));
		BCT_FUZZ_CHECK(reparsed.prompt_tokens == b.prompt_tokens);
		bct_body_free(&reparsed);
	}
	bct_body_free(&b);
}

BCT_FUZZ(body)
{
	run(data, size, true);
	run(data, size, false);
	return 0;
}
