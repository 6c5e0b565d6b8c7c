/*
 * config_boot.h - how a replica gets its first state out of a log of which only the end is kept:
 * it reads all that there is, and starts from the newest snapshot whose later records it has seen.
 */
#ifndef BCT_COORD_CONFIG_BOOT_H
#define BCT_COORD_CONFIG_BOOT_H

#include "coord/config.h"

typedef struct bct_config_boot {
	uint64_t start; /* offset of the first record read */
	uint64_t next;
	bool found;
	bct_xconfig_record newest; /* the snapshot, when found */
} bct_config_boot_t;

/* bct_config_boot_init(3): start reading at the oldest offset that is kept. */
void bct_config_boot_init(bct_config_boot_t *b, uint64_t oldest);
void bct_config_boot_free(bct_config_boot_t *b);

/* bct_config_boot_record(3): look at the record at b->next. */
void bct_config_boot_record(bct_config_boot_t *b, const void *data, uint32_t len_bytes);

/*
 * bct_config_boot_finish(3): the state to go on from, at out->next.
 *
 * returns  0; -BCT_EEXPIRED, the beginning is gone and no snapshot makes up for it; -BCT_ENOMEM
 */
int bct_config_boot_finish(bct_config_boot_t *b, bct_config_state_t *out);

#endif
