/*
 * config.h - configuration by log order: one pure replay function that every node runs.
 *
 * The state is a document, its revision and the offset of the next record. A change names the
 * revision that it was based on; the first valid change on a base makes the next revision, and
 * every later one on that base is rejected with a reason. A repeated id is one record. Nothing but
 * the records decides, so all replicas that read the same log are equal.
 *
 * Nothing here locks or does I/O; coord/config_store.h does both.
 */
#ifndef BCT_COORD_CONFIG_H
#define BCT_COORD_CONFIG_H

#include "base/buf.h"
#include "base/clock.h"
#include "base/json.h"
#include "coord/platform.h"
#include "gen/record.h"
#include "policy/conf.h"

#include <stdbool.h>
#include <stdint.h>

/* DEF(name, wire, text): what replay said of a change. Numbers are kept in snapshots. */
#define BCT_CHANGE_STATUS_LIST(DEF)                                                            \
	DEF(ACCEPTED, "accepted", "it is the next revision")                                   \
	DEF(STALE_BASE, "stale_base", "another change on the same base came first")            \
	DEF(FUTURE_BASE, "future_base", "its base is a revision that the log has not reached") \
	DEF(BASE_DIGEST, "base_digest", "its base has another digest than this revision")      \
	DEF(BAD_OBJECT, "bad_object", "an object's path or text is malformed")                 \
	DEF(INVALID, "invalid", "the document would be invalid")                               \
	DEF(DIGEST_AFTER, "digest_after", "the result has another digest than its author said")

typedef enum bct_change_status {
#define DEF(name, wire, text) BCT_CHANGE_STATUS_##name,
	BCT_CHANGE_STATUS_LIST(DEF)
#undef DEF
		BCT_CHANGE_STATUS_COUNT,
} bct_change_status_t;

const char *bct_change_status_wire(bct_change_status_t v);
const char *bct_change_status_text(bct_change_status_t v);

/* A repeat of an id within so many changes gets the verdict of the first. */
#define BCT_CONFIG_RECENT BCT_X_RECENT

typedef struct bct_config_recent {
	uint64_t id;
	uint64_t revision; /* in force after the change was judged */
	bct_change_status_t status;
} bct_config_recent_t;

typedef struct bct_config_state {
	uint64_t next; /* offset of the next record to replay */
	uint64_t revision;
	bct_digest_t digest;
	json_t *doc;
	bct_conf_t *conf;
	bct_config_recent_t recent[BCT_CONFIG_RECENT]; /* ring, the next one goes to recent_at */
	uint32_t recent_at;
	uint32_t n_recent;
} bct_config_state_t;

/* What one record did. */
typedef struct bct_config_result {
	bct_xconfig_type type;
	uint64_t id;
	uint64_t revision;  /* in force after the record */
	bct_time_t wall_ms; /* as its writer's clock said */
	bct_change_status_t status;
	bool repeat;	      /* the id was judged before */
	bct_json_err_t error; /* for BAD_OBJECT and INVALID */
} bct_config_result_t;

/*
 * bct_config_init(3): revision 0, the empty document, offset 0.
 *
 * returns  0 or -BCT_ENOMEM
 */
int bct_config_init(bct_config_state_t *s);
void bct_config_free(bct_config_state_t *s);

/*
 * bct_config_replay(3): apply the record at offset s->next and go one offset further.
 *
 * A snapshot changes nothing here: it is compared with the state.
 *
 * returns  0, with the verdict in out; -BCT_ECODEC, the record is not one of ours and was passed
 *          over; -BCT_EDIVERGED, a snapshot differs from the state, which stays; -BCT_ENOMEM, the
 *          state and its offset are as before
 */
int bct_config_replay(bct_config_state_t *s, const void *data, uint32_t len_bytes,
		      bct_config_result_t *out);

/* bct_config_recent(3): the verdict of an id, NULL when it is not remembered. */
const bct_config_recent_t *bct_config_recent(const bct_config_state_t *s, uint64_t id);

/*
 * bct_config_decode(3): decode and check a record; release with bct_config_record_free(3).
 *
 * returns  0, -BCT_ECODEC
 */
int bct_config_decode(const void *data, uint32_t len_bytes, bct_xconfig_record *out);
void bct_config_record_free(bct_xconfig_record *r);

/*
 * bct_config_from_snapshot(3): a state from a snapshot alone; replay goes on at its covered offset.
 *
 * returns  0, -BCT_ECODEC (its document is invalid or has another digest), -BCT_ENOMEM
 */
int bct_config_from_snapshot(const bct_xconfig_snapshot *snap, bct_config_state_t *out);

/*
 * bct_config_snapshot_encode(3): the state as a snapshot record.
 *
 * writer   name of the VM that writes it
 * returns  0, -BCT_ENOMEM, -BCT_ETOO_LARGE
 */
int bct_config_snapshot_encode(const bct_config_state_t *s, const char *writer, bct_time_t wall_ms,
			       bct_buf_t *out);

/* Objects that differ between two documents. text is NULL for a deletion. */
typedef struct bct_config_diff {
	char path[BCT_X_PATH_BYTES]; /* filled up with NULs */
	char *text;		     /* after the change; JSON, filled up with spaces */
	char *old;		     /* before it; NULL: it is new */
} bct_config_diff_t;

/*
 * bct_config_diff(3): what turns one document into the other; release with
 * bct_config_diff_free(3).
 *
 * returns  0 or -BCT_ENOMEM
 */
int bct_config_diff(const json_t *from, const json_t *to, bct_config_diff_t **out, uint32_t *n);
void bct_config_diff_free(bct_config_diff_t *diff, uint32_t n);

/*
 * bct_config_change_encode(3): a change record that turns the state's document into doc.
 *
 * returns  0; -BCT_ESTATE when they are equal; -BCT_ENOMEM; -BCT_ETOO_LARGE
 */
int bct_config_change_encode(const bct_config_state_t *base, const json_t *doc, uint64_t id,
			     const char *author, bct_time_t wall_ms, bct_buf_t *out);

#endif
