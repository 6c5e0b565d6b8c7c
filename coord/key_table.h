/*
 * key_table.h - the state of each idempotency key, built by replaying the key records of the log.
 *
 * Every node that has read the same records has the same table. A key is free until an intent
 * for it is read. The first intent on a free key owns it until its outcome, its withdrawal or an
 * operator's resolution. Ids of intents that were withdrawn or resolved as not run are remembered
 * as void, so that a late or repeated record of such an intent cannot own the key again.
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
	BCT_KEY_DONE,  /* the request ran, by its outcome or an operator's resolution */
} bct_key_state_t;

/* One key that is not free. */
typedef struct bct_key_entry {
	struct bct_key_entry *next;
	bct_key_id_t id;
	bct_key_state_t state;
	bool answer_kept;     /* DONE: the outcome's record contains the answer */
	uint32_t index;	      /* DONE: of the outcome in its batch */
	uint64_t offset;      /* of the record with the outcome; without one, with the intent */
	uint64_t body;	      /* digest of the request */
	uint64_t intent;      /* id of the owning intent */
	uint64_t incarnation; /* of the process that wrote the intent */
	bct_time_t wall_ms;   /* writer's wall clock in the intent */
	bct_time_t read_at;   /* local monotonic time of reading the intent; not replicated */
} bct_key_entry_t;

typedef struct bct_key_table bct_key_table_t;

/* bct_key_id(3): hash a client account and one of its keys into a key id. */
void bct_key_id(uint64_t account_key, const char *key, bct_key_id_t *out);

/* bct_key_table_new(3): returns an empty table, or NULL without memory. */
bct_key_table_t *bct_key_table_new(void);
void bct_key_table_free(bct_key_table_t *t);

/*
 * bct_key_table_apply(3): replay one entry of a record.
 *
 * now            local monotonic time, used only for read_at
 * offset, index  of the record in the log, and of the entry in the record
 * returns        0 or -BCT_ENOMEM; then nothing changed, and the entry must be applied again
 *                before any later one
 */
int bct_key_table_apply(bct_key_table_t *t, bct_time_t now, uint64_t offset, uint32_t index,
			const bct_xkey_entry *e);

/* bct_key_table_find(3): returns the entry of a key, or NULL when the key is free. */
const bct_key_entry_t *bct_key_table_find(const bct_key_table_t *t, const bct_key_id_t *id);

/* bct_key_table_is_void(3): whether an intent was withdrawn or resolved as not run. */
bool bct_key_table_is_void(const bct_key_table_t *t, uint64_t intent);

/* bct_key_table_expire(3): drop keys and void intents whose wall_ms is below oldest_wall_ms. */
void bct_key_table_expire(bct_key_table_t *t, bct_time_t oldest_wall_ms);

/*
 * bct_key_table_fingerprint(3): a hash that is equal for tables with the same owners, states and
 * void intents; read_at is not included.
 */
uint64_t bct_key_table_fingerprint(const bct_key_table_t *t);

/* bct_key_table_size(3): the number of keys that are not free. */
uint32_t bct_key_table_size(const bct_key_table_t *t);

/* bct_key_table_held(3): the same, and void intents: what the table keeps in memory. */
uint32_t bct_key_table_held(const bct_key_table_t *t);

#endif
