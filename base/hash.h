/*
 * hash.h - xxHash for table keys; BLAKE2b (libsodium) for digests for which an adversary must not
 * be able to find a second input.
 */
#ifndef BCT_BASE_HASH_H
#define BCT_BASE_HASH_H

#include <stddef.h>
#include <stdint.h>

#define BCT_DIGEST_BYTES 32

typedef struct bct_digest {
	uint8_t bytes[BCT_DIGEST_BYTES];
} bct_digest_t;

/* bct_hash(3), bct_hash_str(3): 64-bit hash of bytes or of a string; the same on every node. */
uint64_t bct_hash(const void *data, size_t len_bytes);
uint64_t bct_hash_str(const char *s);

/* bct_hash_mix(3): hash of an ordered pair: (a, b) and (b, a) differ. */
uint64_t bct_hash_mix(uint64_t a, uint64_t b);

/* bct_digest(3): BLAKE2b-256 digest of bytes. */
void bct_digest(const void *data, size_t len_bytes, bct_digest_t *out);

#endif
