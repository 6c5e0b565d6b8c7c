/*
 * config_boot.h - finds the initial state of a replica in a log whose oldest records may have
 * expired. The replica reads all records that remain and starts from a snapshot after which no
 * record is missing. That is the third newest (the oldest, if there are fewer), so that replay
 * compares the newer ones with the replica's state.
 */
#ifndef BCT_COORD_CONFIG_BOOT_H
#define BCT_COORD_CONFIG_BOOT_H

#include "coord/config.h"

#define BCT_BOOT_SNAPSHOTS 3

typedef struct bct_config_boot {
	uint64_t start;				     /* offset of the first record to read */
	uint64_t next;				     /* offset of the next record to read */
	bct_xconfig_record kept[BCT_BOOT_SNAPSHOTS]; /* newest usable snapshots, oldest first */
	uint32_t n_kept;
} bct_config_boot_t;

/* bct_config_boot_init(3): prepare to read from oldest, the offset of the log's oldest record. */
void bct_config_boot_init(bct_config_boot_t *b, uint64_t oldest);
void bct_config_boot_free(bct_config_boot_t *b);

/* bct_config_boot_record(3): process the record at offset b->next and increment b->next. */
void bct_config_boot_record(bct_config_boot_t *b, const void *data, uint32_t len_bytes);

/*
 * bct_config_boot_finish(3): build the initial state; replay continues at out->next.
 *
 * Without a valid snapshot this is the empty state if reading began at offset 0.
 *
 * returns  0; -BCT_EEXPIRED, the first records have expired and there is no valid snapshot;
 *          -BCT_ENOMEM
 */
int bct_config_boot_finish(bct_config_boot_t *b, bct_config_state_t *out);

#endif
