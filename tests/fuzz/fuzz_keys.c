/*
 * fuzz_keys.c - batches of idempotency keys from the log. Checks that two nodes which read a record
 * at different times have the same key table, that a malformed record changes nothing, and that no
 * record makes a node the owner of a key which it has not claimed.
 */
#include "base/err.h"
#include "coord/key_claims.h"
#include "tests/fuzz/fuzz.h"

#define INCARNATION 7

static bct_key_claims_t *new_claims(void)
{
	bct_key_claims_opts_t opts = { .incarnation = INCARNATION,
				       .claim_ms = 100,
				       .run_ms = 1000,
				       .window_ms = 100000,
				       .max_claims = 4 };
	bct_key_claims_t *c;

	BCT_FUZZ_CHECK(!bct_key_claims_new(&opts, &c));
	bct_key_claims_set_ready(c, true);
	return c;
}

BCT_FUZZ(keys)
{
	bct_key_claims_t *a = new_claims(), *b = new_claims();
	uint64_t empty = bct_key_table_fingerprint(bct_key_claims_table(a));
	bct_claim_result_t result;
	bct_xkey_batch batch;
	int decoded = bct_key_batch_decode(data, (uint32_t)size, &batch);
	int rc = bct_key_claims_apply(a, 1, 0, data, (uint32_t)size);

	BCT_FUZZ_CHECK(rc == decoded);
	BCT_FUZZ_CHECK(bct_key_claims_apply(b, 5, 0, data, (uint32_t)size) == rc);
	BCT_FUZZ_CHECK(bct_key_table_fingerprint(bct_key_claims_table(a)) ==
		       bct_key_table_fingerprint(bct_key_claims_table(b)));
	if (rc)
		BCT_FUZZ_CHECK(bct_key_table_fingerprint(bct_key_claims_table(a)) == empty);
	else
		bct_key_batch_free(&batch);
	bct_key_claims_tick(a, 10, 10);
	BCT_FUZZ_CHECK(!bct_key_claims_result(a, &result));
	bct_key_claims_free(a);
	bct_key_claims_free(b);
	return 0;
}
