/*
 * fuzz_lease.c - lease records. Checks that a decoded record keeps its fields when it is encoded
 * and decoded once more, and that no record makes a node that has claimed nothing a valid holder.
 * The fields are compared and not the bytes: a name ends at its first NUL, and what follows is
 * lost.
 */
#include "coord/lease.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

#define MAX_BYTES 4096
#define INCARNATION 7

BCT_FUZZ(lease)
{
	bct_lease_opts_t opts = { .name = "placement",
				  .incarnation = INCARNATION,
				  .ttl_ms = 1000,
				  .renew_ms = 300,
				  .margin_ms = 100 };
	uint8_t reencoded[MAX_BYTES];
	bct_xlease_record r, copy;
	bct_lease_t l;
	uint32_t len;

	if (size > MAX_BYTES || bct_lease_decode(data, (uint32_t)size, &r))
		return 0;
	BCT_FUZZ_CHECK(!bct_lease_encode(&r, reencoded, sizeof(reencoded), &len));
	BCT_FUZZ_CHECK(!bct_lease_decode(reencoded, len, &copy));
	BCT_FUZZ_CHECK(!strcmp(copy.name, r.name) && copy.kind == r.kind && copy.id == r.id);
	BCT_FUZZ_CHECK(copy.holder == r.holder && copy.seen == r.seen && copy.token == r.token &&
		       copy.ttl_ms == r.ttl_ms);
	bct_lease_record_free(&copy);
	bct_lease_init(&l, &opts, 0);
	bct_lease_apply(&l, 10, 0, &r);
	BCT_FUZZ_CHECK(!bct_lease_valid(&l, 10));
	bct_lease_apply(&l, 20, 1, &r);
	BCT_FUZZ_CHECK(!bct_lease_valid(&l, 20));
	bct_lease_record_free(&r);
	return 0;
}
