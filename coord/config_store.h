/*
 * config_store.h - the configuration in force on this node: follows the configuration stream, takes
 * newer revisions from peers, writes snapshots, and hands out the current bct_conf_t.
 *
 * The revision in force only grows. One that came from a peer is compared with the log's as soon as
 * the log reaches it; docs/DESIGN.md, "Configuration", says what happens in each outage.
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
	const char *vm_name; /* writer of snapshots; copied */
	uint64_t seed;
	uint32_t poll_ms;	       /* as in bct_log_follower_opts_t */
	uint32_t timeout_ms;	       /* of one platform call; 0: two seconds */
	uint32_t snapshot_records;     /* records after which a snapshot is due; 0: 64 */
	uint32_t snapshot_interval_ms; /* age at which one is due again; 0: one hour */
	uint32_t recovery_delay_ms;    /* before a peer's revision is written to a log that expired
					without a snapshot; 0: one minute */
	/*
	 * A revision is in force; also called when the log's document replaces a peer's of the same
	 * revision. Calls are in order of revision and never overlap; offer and free must not be
	 * called inside. -BCT_ENOMEM: it is called again with the newest revision after a later
	 * read of the log or offer of a peer.
	 */
	int (*adopted)(void *ctx, bct_conf_t *conf);
	void *ctx;
	bct_log_t *log;
} bct_config_store_opts_t;

typedef struct bct_config_status {
	uint64_t revision; /* in force */
	bct_digest_t digest;
	bct_config_source_t source;
	bct_time_t adopted_at;	 /* on this node's clock */
	bct_time_t adopted_wall; /* wall clock, for operators */
	uint64_t log_revision;	 /* as replayed from the log; 0: none */
	bool log_known;		 /* the log was read to its end once */
	bool diverged;		 /* the log and this node did not agree; event 202 says where */
	bct_log_health_t log;
	uint32_t stale_ms; /* since the log last answered; UINT32_MAX: never */
} bct_config_status_t;

/* A revision as one node hands it to another. text is canonical JSON. */
typedef struct bct_config_export {
	uint64_t revision;
	bct_digest_t digest;
	bct_buf_t text;
} bct_config_export_t;

/* bct_config_store_new(3): returns 0 or -BCT_ENOMEM. Nothing is in force yet. */
int bct_config_store_new(const bct_config_store_opts_t *opts, bct_config_store_t **out);

/* bct_config_store_free(3): stops the follower; NULL is allowed. */
void bct_config_store_free(bct_config_store_t *s);

/* bct_config_store_start(3): follow the log on a thread. returns 0 or -BCT_ENOMEM. */
int bct_config_store_start(bct_config_store_t *s);

/* bct_config_store_step(3): one read of the log without a thread, as bct_log_follower_step(3). */
int bct_config_store_step(bct_config_store_t *s, uint32_t wait_ms);

/* bct_config_store_current(3): a new reference, or NULL while nothing is in force. */
bct_conf_t *bct_config_store_current(bct_config_store_t *s);

/* bct_config_store_revision(3): the revision in force and its digest; 0 while there is none. */
uint64_t bct_config_store_revision(bct_config_store_t *s, bct_digest_t *digest);

/*
 * bct_config_store_offer(3): a revision that a peer has in force.
 *
 * returns  0, it is in force here now; -BCT_ESTALE, not newer than ours; -BCT_EDIVERGED, ours has
 *          the same revision and another digest; -BCT_ECODEC, the text does not match the digest
 *          or is invalid; -BCT_ENOMEM
 */
int bct_config_store_offer(bct_config_store_t *s, const bct_config_export_t *from_peer);

/*
 * bct_config_store_export(3): the revision in force for a peer; free out->text with
 * bct_buf_free(3).
 *
 * returns  0, -BCT_ENOT_FOUND while nothing is in force, -BCT_ENOMEM
 */
int bct_config_store_export(bct_config_store_t *s, bct_config_export_t *out);

/*
 * bct_config_store_set_rank(3): this node's place among the live ones, from 0. The lower it is, the
 * sooner the node writes a snapshot that is due; the others then see it and need not.
 */
void bct_config_store_set_rank(bct_config_store_t *s, uint32_t rank);

void bct_config_store_status(bct_config_store_t *s, bct_config_status_t *out);

/*
 * bct_config_store_metrics(3): counters, and the revision, age of the log's last answer and whether
 * it diverged as gauges.
 *
 * returns  0 or the buffer's error
 */
int bct_config_store_metrics(bct_config_store_t *s, bct_buf_t *out);

#endif
