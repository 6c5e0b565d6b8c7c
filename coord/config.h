/*
 * config.h - the configuration as a state machine that each node replays from a shared log.
 *
 * The state consists of a document, its revision and the offset of the next record. A change names
 * the revision that it is based on. The first valid change on a base makes the next revision; every
 * later change on that base is rejected with a reason. Records with the same id count as one
 * change. The result depends on the records alone, so all replicas that read the same log have the
 * same state.
 *
 * These functions do no locking and no I/O; coord/config_store.h does both.
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

/*
 * DEF(name, wire, text): result of replaying a change. The numbers are stored in snapshots, so an
 * entry must keep its position.
 */
#define BCT_CHANGE_STATUS_LIST(DEF)                                                               \
	DEF(ACCEPTED, "accepted", "the change is the next revision")                              \
	DEF(STALE_BASE, "stale_base", "another change on the same base was accepted first")       \
	DEF(FUTURE_BASE, "future_base", "the base revision is newer than the log's revision")     \
	DEF(BASE_DIGEST, "base_digest", "the base digest differs from that of the base revision") \
	DEF(BAD_OBJECT, "bad_object", "an object's path or JSON text is malformed")               \
	DEF(INVALID, "invalid", "the resulting document is invalid")                              \
	DEF(DIGEST_AFTER, "digest_after",                                                         \
	    "the resulting document's digest differs from the one in the change")

typedef enum bct_change_status {
#define DEF(name, wire, text) BCT_CHANGE_STATUS_##name,
	BCT_CHANGE_STATUS_LIST(DEF)
#undef DEF
		BCT_CHANGE_STATUS_COUNT,
} bct_change_status_t;

const char *bct_change_status_wire(bct_change_status_t status);
const char *bct_change_status_text(bct_change_status_t status);

/* Number of change results kept; a repeat of a kept id gets the result of the first record. */
#define BCT_CONFIG_RECENT BCT_X_RECENT

typedef struct bct_config_recent {
	uint64_t id;
	uint64_t revision; /* in force after the change was replayed */
	bct_change_status_t status;
} bct_config_recent_t;

typedef struct bct_config_state {
	uint64_t next; /* offset of the next record to replay */
	uint64_t revision;
	bct_digest_t digest;
	json_t *doc;
	bct_conf_t *conf;
	bct_config_recent_t recent[BCT_CONFIG_RECENT]; /* ring buffer, written at recent_at */
	uint32_t recent_at;
	uint32_t n_recent;
} bct_config_state_t;

/* Effect of one record. */
typedef struct bct_config_result {
	bct_xconfig_type type;
	uint64_t id;
	uint64_t revision;  /* in force after the record */
	bct_time_t wall_ms; /* by the writer's wall clock */
	bct_change_status_t status;
	bool repeat;	      /* the id was replayed before; nothing changed */
	bct_json_err_t error; /* for BAD_OBJECT and INVALID */
} bct_config_result_t;

/*
 * bct_config_init(3): set a state to revision 0, an empty document and offset 0.
 *
 * returns  0 or -BCT_ENOMEM
 */
int bct_config_init(bct_config_state_t *s);
void bct_config_free(bct_config_state_t *s);

/*
 * bct_config_replay(3): apply the record at offset s->next and increment s->next.
 *
 * A snapshot does not change the document; it is only compared with the state.
 *
 * returns  0, with the result in out; -BCT_ECODEC, the record could not be decoded and was skipped;
 *          -BCT_EDIVERGED, a snapshot differs from the state, which is kept; -BCT_ENOMEM, the state
 *          and s->next are unchanged
 */
int bct_config_replay(bct_config_state_t *s, const void *data, uint32_t len_bytes,
		      bct_config_result_t *out);

/* bct_config_recent(3): returns the result kept for a change id, NULL if there is none. */
const bct_config_recent_t *bct_config_recent(const bct_config_state_t *s, uint64_t id);

/*
 * bct_config_decode(3): decode a record and check that its names are terminated; free it
 * with bct_config_record_free(3) after success.
 *
 * returns  0, -BCT_ECODEC
 */
int bct_config_decode(const void *data, uint32_t len_bytes, bct_xconfig_record *out);
void bct_config_record_free(bct_xconfig_record *r);

/*
 * bct_config_from_snapshot(3): build a state from a snapshot alone; replay continues at its covered
 * offset.
 *
 * returns  0; -BCT_ECODEC, its document or list of recent changes is invalid or the digest does not
 *          match; -BCT_ENOMEM
 */
int bct_config_from_snapshot(const bct_xconfig_snapshot *snap, bct_config_state_t *out);

/*
 * bct_config_snapshot_encode(3): append the state to out as a snapshot record.
 *
 * writer   name of the VM that writes the snapshot
 * wall_ms  wall clock of the writer
 * returns  0, -BCT_ENOMEM, -BCT_ETOO_LARGE
 */
int bct_config_snapshot_encode(const bct_config_state_t *s, const char *writer, bct_time_t wall_ms,
			       bct_buf_t *out);

/* One object that differs between two documents. */
typedef struct bct_config_diff {
	char path[BCT_X_PATH_BYTES]; /* padded with NULs */
	char *text;		     /* new JSON, padded with spaces; NULL: deleted */
	char *old;		     /* old JSON, padded alike; NULL: added */
} bct_config_diff_t;

/*
 * bct_config_diff(3): list the objects that turn one document into the other; free the list with
 * bct_config_diff_free(3).
 *
 * n        set to the number of entries
 * returns  0 or -BCT_ENOMEM
 */
int bct_config_diff(const json_t *from, const json_t *to, bct_config_diff_t **out, uint32_t *n);
void bct_config_diff_free(bct_config_diff_t *diff, uint32_t n);

/*
 * bct_config_change_encode(3): append to out a change record that turns the state's document into
 * doc.
 *
 * id       random; the same in each retry of the append
 * author   name of the operator
 * wall_ms  wall clock of the author
 * returns  0; -BCT_ESTATE, the documents are equal; -BCT_ENOMEM; -BCT_ETOO_LARGE
 */
int bct_config_change_encode(const bct_config_state_t *base, const json_t *doc, uint64_t id,
			     const char *author, bct_time_t wall_ms, bct_buf_t *out);

#endif
