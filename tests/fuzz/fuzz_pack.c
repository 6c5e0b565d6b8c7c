/*
 * fuzz_pack.c - packed strings of another node: unpacked to the stated size or rejected, and a
 * string that was packed here comes back. The first two bytes state the size.
 */
#include "base/mem.h"
#include "base/pack.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

#define MAX_BYTES 32768

BCT_FUZZ(pack)
{
	bct_packed_t p = { 0 };
	char *out = NULL;

	if (size < 2)
		return 0;
	p.unpacked_bytes = (size_t)data[0] << 8 | data[1];
	p.data = (char *)data + 2;
	p.len_bytes = size - 2;
	if (!bct_unpack(&p, MAX_BYTES, &out)) {
		BCT_FUZZ_CHECK(p.unpacked_bytes <= MAX_BYTES);
		bct_free(out);
	}
	BCT_FUZZ_CHECK(!bct_pack((const char *)data, size, &p));
	BCT_FUZZ_CHECK(!bct_unpack(&p, size, &out));
	BCT_FUZZ_CHECK(!memcmp(out, data, size));
	bct_free(out);
	bct_packed_free(&p);
	return 0;
}
