/*
 * pack.h - compression of byte strings that nodes send to each other.
 */
#ifndef BCT_BASE_PACK_H
#define BCT_BASE_PACK_H

#include <stddef.h>

/* A packed string. */
typedef struct bct_packed {
	char *data;
	size_t len_bytes;
	size_t unpacked_bytes;
} bct_packed_t;

/*
 * bct_pack(3): compress a string.
 *
 * out      receives the result, to be freed with bct_packed_free(3); unchanged on failure
 * returns  0 or -BCT_ENOMEM
 */
int bct_pack(const char *data, size_t len_bytes, bct_packed_t *out);

/*
 * bct_unpack(3): decompress a string that may come from another node.
 *
 * max_bytes  largest allowed result
 * out        receives it, to be freed with bct_free(3); unchanged on failure
 * returns    0, -BCT_ECODEC (malformed, or not of the stated size), -BCT_ETOO_LARGE or -BCT_ENOMEM
 */
int bct_unpack(const bct_packed_t *p, size_t max_bytes, char **out);

/* bct_packed_free(3): free the data and clear the structure. */
void bct_packed_free(bct_packed_t *p);

#endif
