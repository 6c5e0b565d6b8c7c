/*
 * config_boot.h - how a replica gets its first state out of a log of which only the end is kept:
 * it reads all that there is, and starts from a snapshot whose later records it has seen. It takes
 * the third newest, so that the two after it are compared with what it replays.
 */
#ifndef BCT_COORD_CONFIG_BOOT_H
#define BCT_COORD_CONFIG_BOOT_H

#include "coord/config.h"

#define BCT_BOOT_SNAPSHOTS 3

typedef struct bct_config_boot {
	uint64_t start; /* offset of the first record read */
	uint64_t next;
	bct_xconfig_record kept[BCT_BOOT_SNAPSHOTS]; /* the newest ones, oldest first */
	uint32_t n_kept;
} bct_config_boot_t;

/* bct_config_boot_init(3): start reading at the oldest offset that is kept. */
void bct_config_boot_init(bct_config_boot_t *b, uint64_t oldest);
void bct_config_boot_free(bct_config_boot_t *b);

/* bct_config_boot_record(3): look at the record at b->next. */
void bct_config_boot_record(bct_config_boot_t *b, const void *data, uint32_t len_bytes);

/*
 * bct_config_boot_finish(3): the state to go on from, at out->next.
 *
 * returns  0; -BCT_EEXPIRED, the beginning is gone and no valid snapshot makes up for it;
 *          -BCT_ENOMEM
 */
int bct_config_boot_finish(bct_config_boot_t *b, bct_config_state_t *out);

#endif
