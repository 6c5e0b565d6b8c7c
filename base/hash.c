/*
 * hash.c - wrappers over xxHash and libsodium.
 */
#include "base/hash.h"

#include <sodium.h>
#include <string.h>
#include <xxhash.h>

uint64_t bct_hash(const void *data, size_t len_bytes)
{
	return XXH3_64bits(data, len_bytes);
}

uint64_t bct_hash_str(const char *s)
{
	return bct_hash(s, strlen(s));
}

uint64_t bct_hash_mix(uint64_t a, uint64_t b)
{
	uint64_t pair[2] = { a, b };

	return bct_hash(pair, sizeof(pair));
}

void bct_digest(const void *data, size_t len_bytes, bct_digest_t *out)
{
	crypto_generichash(out->bytes, sizeof(out->bytes), data, len_bytes, NULL, 0);
}
