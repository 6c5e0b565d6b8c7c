/*
 * test_alloc_fail.c - allocation failures at every step of the operations of base/ and of the
 * modules of the idempotency key protocol. The operation must report the failure or give a safe
 * result, a retry must succeed, and (under the address sanitizer) nothing may leak.
 */
#include "base/buf.h"
#include "base/err.h"
#include "base/json.h"
#include "base/map.h"
#include "base/mem.h"
#include "coord/key_claims.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>
#ifdef __SANITIZE_ADDRESS__
#include <sanitizer/lsan_interface.h>
#define LEAKS() __lsan_do_recoverable_leak_check()
#else
#define LEAKS() 0
#endif

#define STEPS 1000  /* more allocations than any operation here makes */
#define ENTRIES 200 /* enough for the tables to grow */

/*
 * Runs an operation on new state: sets the state up without faults, sets fail_after, and turns the
 * fault off at the end. Returns 0 or the error that the failed allocation caused.
 */
typedef int (*operation_fn)(int64_t fail_after);

/* Repeats the operation with a failure at its first, second, ... allocation, until it succeeds. */
static void fail_each_allocation(operation_fn operation)
{
	int64_t n;
	int rc = -1;

	for (n = 0; n < STEPS && rc; n++) {
		rc = operation(n);
		bct_mem_fail_after(-1);
		cr_assert(rc == 0 || rc == -BCT_ENOMEM, "step %d: %s", (int)n, bct_err_name(rc));
	}
	cr_assert_eq(rc, 0);
	cr_assert_gt(n, 1, "the operation allocated nothing");
	cr_assert_eq(LEAKS(), 0, "memory leaked");
}

static int fill_map(int64_t fail_after)
{
	static int value;
	bct_map_t m = { 0 };
	int rc = 0;

	bct_mem_fail_after(fail_after);
	for (uint64_t k = 1; k <= ENTRIES && !rc; k++) {
		rc = bct_map_put(&m, k, &value);
		if (rc)
			cr_assert(!bct_map_get(&m, k) && m.n == k - 1);
	}
	bct_mem_fail_after(-1);
	for (uint64_t k = 1; k <= ENTRIES; k++)
		cr_assert_eq(bct_map_put(&m, k, &value), 0);
	cr_assert_eq(m.n, ENTRIES);
	bct_map_free(&m);
	return rc;
}

static int fill_buf(int64_t fail_after)
{
	bct_buf_t b;
	int rc = 0;

	bct_buf_init(&b, 0);
	bct_mem_fail_after(fail_after);
	for (int i = 0; i < ENTRIES && !rc; i++)
		rc = bct_buf_printf(&b, "%064d", i);
	bct_mem_fail_after(-1);
	cr_assert_eq(b.err, rc);
	bct_buf_clear(&b);
	cr_assert_eq(bct_buf_puts(&b, "again"), 0);
	cr_assert_str_eq(b.data, "again");
	bct_buf_free(&b);
	return rc;
}

static int parse_json(int64_t fail_after)
{
	static const char text[] = "{\"a\": [1, /* two */ 2], \"b\": \"c\"}";
	bct_json_err_t err;
	json_t *doc;

	bct_mem_fail_after(fail_after);
	doc = bct_json_parse(text, strlen(text), sizeof(text), &err);
	bct_mem_fail_after(-1);
	if (!doc)
		return err.err;
	json_decref(doc);
	return 0;
}

Test(alloc_fail, base)
{
	fail_each_allocation(fill_map);
	fail_each_allocation(fill_buf);
	fail_each_allocation(parse_json);
}

static bct_xkey_entry intent(uint64_t n)
{
	bct_xkey_entry e = { .intent = n + 1, .body.type = BCT_XKEY_INTENT };

	memcpy(e.hash, &n, sizeof(n));
	return e;
}

static int apply_table(int64_t fail_after)
{
	bct_key_table_t *t = bct_key_table_new();
	uint64_t before;
	int rc, failed = 0;

	cr_assert_not_null(t);
	bct_mem_fail_after(fail_after);
	for (uint64_t n = 0; n < ENTRIES; n++) {
		bct_xkey_entry e = intent(n);

		before = bct_key_table_fingerprint(t);
		rc = bct_key_table_apply(t, 1, n, 0, &e);
		if (!rc)
			continue;
		failed = rc;
		cr_assert_eq(bct_key_table_fingerprint(t), before,
			     "a failed apply changed the table");
		cr_assert_eq(bct_key_table_apply(t, 1, n, 0, &e), 0, "the retry failed");
	}
	bct_mem_fail_after(-1);
	cr_assert_eq(bct_key_table_size(t), ENTRIES);
	bct_key_table_free(t);
	return failed;
}

static bct_key_claims_t *new_claims(void)
{
	bct_key_claims_opts_t opts = { .incarnation = 7,
				       .claim_ms = 100,
				       .run_ms = 1000,
				       .window_ms = 100000,
				       .max_claims = 8 };
	bct_key_claims_t *c = NULL;

	return bct_key_claims_new(&opts, &c) ? NULL : c;
}

static int make_claims(int64_t fail_after)
{
	bct_key_claims_t *c;

	bct_mem_fail_after(fail_after);
	c = new_claims();
	bct_mem_fail_after(-1);
	if (!c)
		return -BCT_ENOMEM;
	bct_key_claims_free(c);
	return 0;
}

/* Takes a batch, appends it and reads it back; a call that fails is retried once. */
static int round_trip(bct_key_claims_t *c, uint64_t offset)
{
	int rc, failed = 0;
	uint32_t len = 0;
	void *out = NULL;
	int n = bct_key_claims_batch(c, 1, &out, &len);

	if (n < 0) {
		failed = n;
		n = bct_key_claims_batch(c, 1, &out, &len);
	}
	cr_assert_eq(n, 1, "%d entries", n);
	bct_key_claims_appended(c, 2, 0);
	rc = bct_key_claims_apply(c, 2, offset, out, len);
	if (rc) {
		failed = rc;
		rc = bct_key_claims_apply(c, 2, offset, out, len);
	}
	cr_assert_eq(rc, 0);
	free(out);
	return failed;
}

/*
 * Ends a claim: with an outcome if it was won, else with a withdrawal, since its result was lost to
 * the failed allocation.
 */
static int end_claim(bct_key_claims_t *c, uint64_t n, bool won)
{
	int rc, failed = won ? 0 : -BCT_ENOMEM;

	if (won) {
		rc = bct_key_claims_finish(c, n, 200, "text/plain", "ok", 2);
		if (rc) {
			failed = rc;
			rc = bct_key_claims_finish(c, n, 200, "text/plain", "ok", 2);
		}
		cr_assert_eq(rc, 0);
	} else {
		bct_key_claims_withdraw(c, n);
	}
	rc = round_trip(c, 1);
	return rc ? rc : failed;
}

static int claim_once(int64_t fail_after)
{
	bct_key_claims_t *c = new_claims();
	bct_claim_result_t r = { 0 };
	bct_claim_verdict_t v;
	int rc, failed = 0;
	bct_key_id_t id;
	bool won;

	cr_assert_not_null(c);
	bct_key_claims_set_ready(c, true);
	bct_key_id(1, "key", &id);
	bct_mem_fail_after(fail_after);
	v = bct_key_claims_begin(c, 0, 0, &id, 3, 11, &r);
	if (v != BCT_CLAIM_PENDING) {
		failed = -BCT_ENOMEM;
		cr_assert_eq(v, BCT_CLAIM_FULL, "verdict %d", v);
		cr_assert_eq(bct_key_claims_begin(c, 0, 0, &id, 3, 11, &r), BCT_CLAIM_PENDING);
	}
	rc = round_trip(c, 0);
	failed = rc ? rc : failed;
	won = bct_key_claims_result(c, &r);
	cr_assert(!won || r.verdict == BCT_CLAIM_WON);
	rc = end_claim(c, 11, won);
	failed = rc ? rc : failed;
	bct_mem_fail_after(-1);
	v = bct_key_claims_begin(c, 3, 3, &id, 3, 12, &r);
	cr_assert_eq(v, won ? BCT_CLAIM_DONE : BCT_CLAIM_PENDING, "verdict %d", v);
	bct_key_claims_free(c);
	return failed;
}

Test(alloc_fail, keys)
{
	fail_each_allocation(apply_table);
	fail_each_allocation(make_claims);
	fail_each_allocation(claim_once);
}
