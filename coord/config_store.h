/*
 * config_store.h - the configuration in force on this node. The store follows the configuration
 * stream, accepts newer revisions from peers, writes snapshots, and provides the current
 * bct_conf_t.
 *
 * The revision in force never decreases. A revision from a peer is compared with the log's once the
 * log has been read up to it. docs/DESIGN.md, "Configuration", describes the behaviour in each kind
 * of outage.
 */
#ifndef BCT_COORD_CONFIG_STORE_H
#define BCT_COORD_CONFIG_STORE_H

#include "base/event.h"
#include "coord/log_follower.h"
#include "coord/platform.h"
#include "policy/conf.h"

typedef struct bct_config_store bct_config_store_t;

typedef enum bct_config_source {
	BCT_CONFIG_SOURCE_NONE = 0, /* nothing is in force yet */
	BCT_CONFIG_SOURCE_LOG,
	BCT_CONFIG_SOURCE_PEER,
} bct_config_source_t;

const char *bct_config_source_wire(bct_config_source_t s);

typedef struct bct_config_store_opts {
	bct_platform_t *platform;
	const char *vm_name;	       /* name written into snapshots; copied */
	uint64_t seed;		       /* of random delays */
	uint32_t poll_ms;	       /* as in bct_log_follower_opts_t */
	uint32_t timeout_ms;	       /* of each platform call; 0: two seconds */
	uint32_t snapshot_records;     /* number of records after which a snapshot is due; 0: 64 */
	uint32_t snapshot_interval_ms; /* age of the newest at which another is due; 0: one hour */
	uint32_t recovery_delay_ms;    /* delay before a peer's revision is written to a log
					   whose records expired without a snapshot; 0: one
					   minute */
	/*
	 * Called when a revision is put in force, also when the log's document replaces a peer's of
	 * the same revision. Calls are in order of revision and never overlap. It must not call
	 * bct_config_store_offer(3) or bct_config_store_free(3). If it returns an error such as
	 * -BCT_ENOMEM, it is called again with the newest revision after a later read of the log or
	 * offer of a peer.
	 */
	int (*adopted)(void *ctx, bct_conf_t *conf);
	void *ctx;
	bct_log_t *log;
} bct_config_store_opts_t;

typedef struct bct_config_status {
	uint64_t revision; /* in force */
	bct_digest_t digest;
	bct_config_source_t source;
	bct_time_t adopted_at;	 /* monotonic clock of this node */
	bct_time_t adopted_wall; /* wall clock, for operators */
	uint64_t log_revision;	 /* replayed from the log; 0: none */
	bool log_known;		 /* the log has been read to its end at least once */
	bool diverged;		 /* found to differ from the log or a peer; see event 202 */
	bct_log_health_t log;
	uint32_t stale_ms; /* since the log last answered; UINT32_MAX: never */
} bct_config_status_t;

/* A revision as one node sends it to another. */
typedef struct bct_config_export {
	uint64_t revision;
	bct_digest_t digest;
	bct_buf_t text; /* canonical JSON */
} bct_config_export_t;

/* bct_config_store_new(3): create a store with no revision in force. returns 0 or -BCT_ENOMEM. */
int bct_config_store_new(const bct_config_store_opts_t *opts, bct_config_store_t **out);

/* bct_config_store_free(3): stop following the log and free the store; NULL is allowed. */
void bct_config_store_free(bct_config_store_t *s);

/* bct_config_store_start(3): follow the log on a thread. returns 0 or -BCT_ENOMEM. */
int bct_config_store_start(bct_config_store_t *s);

/*
 * bct_config_store_step(3): read the log once, for use without a thread; see
 * bct_log_follower_step(3).
 */
int bct_config_store_step(bct_config_store_t *s, uint32_t wait_ms);

/*
 * bct_config_store_current(3): returns a new reference to the configuration in force, or NULL if
 * there is none.
 */
bct_conf_t *bct_config_store_current(bct_config_store_t *s);

/* bct_config_store_revision(3): returns the revision in force and sets its digest; 0: none. */
uint64_t bct_config_store_revision(bct_config_store_t *s, bct_digest_t *digest);

/*
 * bct_config_store_offer(3): put a peer's revision in force if it is newer than the local one.
 *
 * returns  0, it is in force now; -BCT_ESTALE, it is not newer than the local one; -BCT_EDIVERGED,
 *          the local one has the same revision and another digest; -BCT_ECODEC, the text is invalid
 *          or does not match the digest; -BCT_ENOMEM
 */
int bct_config_store_offer(bct_config_store_t *s, const bct_config_export_t *from_peer);

/*
 * bct_config_store_export(3): copy the revision in force to send it to a peer; free out->text with
 * bct_buf_free(3).
 *
 * returns  0; -BCT_ENOT_FOUND, nothing is in force; -BCT_ENOMEM
 */
int bct_config_store_export(bct_config_store_t *s, bct_config_export_t *out);

/*
 * bct_config_store_set_rank(3): set this node's place among the live ones, from 0. The lower the
 * rank, the sooner the node writes a snapshot that is due. The other nodes then read it in the log
 * and write none.
 */
void bct_config_store_set_rank(bct_config_store_t *s, uint32_t rank);

void bct_config_store_status(bct_config_store_t *s, bct_config_status_t *out);

/*
 * bct_config_store_metrics(3): append the counters, and as gauges the revision, the age of the
 * log's last answer and whether the node diverged from the log.
 *
 * returns  0 or the buffer's error
 */
int bct_config_store_metrics(bct_config_store_t *s, bct_buf_t *out);

#endif
