/*
 * pack.c - compression with zstd.
 */
#include "base/pack.h"
#include "base/err.h"
#include "base/mem.h"

#include <string.h>
#include <zstd.h>

#define LEVEL 1 /* costs a small part of what decoding the text costs */

int bct_pack(const char *data, size_t len_bytes, bct_packed_t *out)
{
	size_t bound = ZSTD_compressBound(len_bytes);
	char *packed = bct_alloc(bound);
	size_t n;

	if (!packed)
		return -BCT_ENOMEM;
	n = ZSTD_compress(packed, bound, data, len_bytes, LEVEL);
	if (ZSTD_isError(n)) {
		bct_free(packed);
		return -BCT_ENOMEM;
	}
	*out = (bct_packed_t){ .data = packed, .len_bytes = n, .unpacked_bytes = len_bytes };
	return 0;
}

int bct_unpack(const bct_packed_t *p, size_t max_bytes, char **out)
{
	char *text;
	size_t n;

	if (p->unpacked_bytes > max_bytes)
		return -BCT_ETOO_LARGE;
	text = bct_alloc(p->unpacked_bytes + 1);
	if (!text)
		return -BCT_ENOMEM;
	n = ZSTD_decompress(text, p->unpacked_bytes, p->data, p->len_bytes);
	if (ZSTD_isError(n) || n != p->unpacked_bytes) {
		bct_free(text);
		return -BCT_ECODEC;
	}
	*out = text;
	return 0;
}

void bct_packed_free(bct_packed_t *p)
{
	bct_free(p->data);
	memset(p, 0, sizeof(*p));
}
