/*
 * parts.h - the parts of a prompt that other requests may share.
 */
#ifndef BCT_POLICY_PARTS_H
#define BCT_POLICY_PARTS_H

#include <stdint.h>

#define BCT_PARTS_MAX 15 /* of one prompt, without the last, which is its own */

typedef struct bct_parts {
	uint32_t n;
	uint64_t ids[BCT_PARTS_MAX]; /* in order */
} bct_parts_t;

#endif
