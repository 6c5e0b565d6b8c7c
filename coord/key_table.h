/*
 * key_table.h - what the log says of each idempotency key: a pure replay of key records.
 *
 * Every node that has read the same records has the same table. A key is free until an intent
 * arrives; the first intent on a free key owns it until its outcome, its withdrawal or an
 * operator's word. Intent ids that were withdrawn or resolved stay void, so that a late or
 * repeated record of theirs cannot own the key again.
 */
#ifndef BCT_COORD_KEY_TABLE_H
#define BCT_COORD_KEY_TABLE_H

#include "base/clock.h"
#include "gen/key.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct bct_key_id {
	uint8_t hash[BCT_XKEY_HASH_BYTES];
} bct_key_id_t;

typedef enum bct_key_state {
	BCT_KEY_FREE = 0,
	BCT_KEY_OWNED, /* an intent, no outcome: running or in doubt */
	BCT_KEY_DONE,
} bct_key_state_t;

/* One key that is not free. */
typedef struct bct_key_entry {
	struct bct_key_entry *next;
	bct_key_id_t id;
	bct_key_state_t state;
	bool answer_kept;
	uint32_t index;	 /* of the outcome in its batch */
	uint64_t offset; /* of the record that holds the outcome, else of the intent */
	uint64_t body;
	uint64_t intent;
	uint64_t incarnation;
	bct_time_t wall_ms; /* of the intent */
	bct_time_t
		read_at; /* when this node read the intent; its own clock, differs between nodes */
} bct_key_entry_t;

typedef struct bct_key_table bct_key_table_t;

/* bct_key_id(3): the id of a key of a client account. */
void bct_key_id(uint64_t account_key, const char *key, bct_key_id_t *out);

bct_key_table_t *bct_key_table_new(void);
void bct_key_table_free(bct_key_table_t *t);

/*
 * bct_key_table_apply(3): replay one entry of a record.
 *
 * now            this node's clock, for read_at alone
 * offset, index  where it stands
 * returns        0 or -BCT_ENOMEM, and then nothing changed: apply it again before any later one
 */
int bct_key_table_apply(bct_key_table_t *t, bct_time_t now, uint64_t offset, uint32_t index,
			const bct_xkey_entry *e);

/* bct_key_table_find(3): NULL when the key is free. */
const bct_key_entry_t *bct_key_table_find(const bct_key_table_t *t, const bct_key_id_t *id);

/* bct_key_table_is_void(3): whether an intent was withdrawn or resolved as not run. */
bool bct_key_table_is_void(const bct_key_table_t *t, uint64_t intent);

/* bct_key_table_expire(3): forget keys whose intent is older than the window. */
void bct_key_table_expire(bct_key_table_t *t, bct_time_t oldest_wall_ms);

/* bct_key_table_fingerprint(3): equal for tables that know the same; read_at does not count. */
uint64_t bct_key_table_fingerprint(const bct_key_table_t *t);

uint32_t bct_key_table_size(const bct_key_table_t *t);

#endif
