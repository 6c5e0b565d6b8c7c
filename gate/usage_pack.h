/*
 * usage_pack.h - packs counters of usage into the messages of gate/usage.h.
 */
#ifndef BCT_GATE_USAGE_PACK_H
#define BCT_GATE_USAGE_PACK_H

#include "gen/share.h"
#include "policy/usage.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * What fits into a datagram of share.c beside the fields that are always there: a share_update with
 * a message of this size takes 1,312 of 1,384 bytes. The rest is for lists that are added later.
 */
#define BCT_USAGE_PACK_BYTES 1160

typedef struct bct_usage_pack {
	share_usage message;
	share_usage_group groups[SHARE_USAGE_GROUPS_MAX];
	share_usage_count counts[SHARE_USAGE_COUNTS_MAX];
	uint32_t n_counts;
	uint32_t bytes; /* encoded, without the fixed fields of the message */
} bct_usage_pack_t;

/* bct_usage_pack_init(3): an empty message. */
void bct_usage_pack_init(bct_usage_pack_t *p, bct_time_t true_time);

/*
 * bct_usage_pack_add(3): add a counter; the message refers to the account's name.
 *
 * returns  false if it does not fit any more
 */
bool bct_usage_pack_add(bct_usage_pack_t *p, const bct_usage_item_t *item);

/* bct_usage_pack_merge(3): apply a message. returns the number of counters that were news. */
uint32_t bct_usage_pack_merge(bct_usage_t *u, const share_usage *message);

#endif
