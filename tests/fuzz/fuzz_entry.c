/*
 * fuzz_entry.c - registry entries of upstreams, which other writers may have written. Checks that
 * one that is accepted names a usable upstream, and that each text of it ends.
 */
#include "base/err.h"
#include "platform/decode.h"
#include "policy/gate_entry.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

BCT_FUZZ(entry)
{
	bct_gate_entry_t e;
	int rc = bct_decode_entry("i-1", (const char *)data, size, &e);

	BCT_FUZZ_CHECK(rc == 0 || rc == -BCT_ECODEC);
	if (rc)
		return 0;
	BCT_FUZZ_CHECK(!bct_gate_entry_fault(&e));
	BCT_FUZZ_CHECK(e.slots > 0 && !strcmp(e.id, "i-1"));
	BCT_FUZZ_CHECK(memchr(e.service, 0, sizeof(e.service)) &&
		       memchr(e.zone, 0, sizeof(e.zone)));
	BCT_FUZZ_CHECK(memchr(e.ip, 0, sizeof(e.ip)) && memchr(e.software, 0, sizeof(e.software)));
	return 0;
}
