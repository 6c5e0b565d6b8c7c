/*
 * keyed_log.h - a keyed topic of the simulated store: a log that keeps the newest record of each
 * key, and to which a record can be appended on the condition that the log ends at an offset.
 * Without I/O; the caller guards it by a lock and passes in the time.
 */
#ifndef BCT_STANDIN_KEYED_LOG_H
#define BCT_STANDIN_KEYED_LOG_H

#include "base/clock.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BCT_KEYED_LOG_ANY UINT64_MAX /* no condition */

typedef struct bct_keyed_log bct_keyed_log_t;

typedef struct bct_keyed_record {
	char key[256];
	char *value;
	size_t value_bytes;
	uint64_t offset;
} bct_keyed_record_t;

/* bct_keyed_log_new(3): returns 0 or -BCT_ENOMEM. */
int bct_keyed_log_new(bct_keyed_log_t **out);
void bct_keyed_log_free(bct_keyed_log_t *l);

/*
 * bct_keyed_log_append(3): append one record.
 *
 * at       offset at which the log has to end
 * body     the record as sent: its length in 4 bytes, big-endian, the length of the key in one
 *          byte, the key and the value
 * offset   receives that of the record
 * returns  the status of the response: 200, 400 or 412
 */
int bct_keyed_log_append(bct_keyed_log_t *l, uint64_t at, const void *body, size_t body_bytes,
			 uint64_t *offset);

/* bct_keyed_log_append_late(3): the same at a later time, if its condition still holds then. */
void bct_keyed_log_append_late(bct_keyed_log_t *l, uint64_t at, const void *body, size_t body_bytes,
			       bct_time_t due);

/* bct_keyed_log_tick(3): executes late appends that are due. */
void bct_keyed_log_tick(bct_keyed_log_t *l, bct_time_t now);

uint64_t bct_keyed_log_end(const bct_keyed_log_t *l);

/* bct_keyed_log_record(3): the i-th key's newest record, from 0; NULL: there are no more. */
const bct_keyed_record_t *bct_keyed_log_record(const bct_keyed_log_t *l, uint32_t i);

/*
 * bct_keyed_log_save(3), bct_keyed_log_restore(3): make a copy, and replace the contents by it, as
 * when the store returns from a backup.
 */
void bct_keyed_log_save(bct_keyed_log_t *l);
void bct_keyed_log_restore(bct_keyed_log_t *l);

#endif
