/*
 * config_publish.h - publishing a document through the log, and knowing what became of it.
 *
 * The change is appended with a random id and the log is read until it tells: the change is in it
 * and was accepted or rejected, or another change won its base, so that it can never be accepted.
 * An append whose answer was lost is sent again with the same id, which counts as one record.
 */
#ifndef BCT_COORD_CONFIG_PUBLISH_H
#define BCT_COORD_CONFIG_PUBLISH_H

#include "coord/config.h"
#include "coord/platform.h"

typedef enum bct_publish_outcome {
	BCT_PUBLISH_ACCEPTED = 0,
	BCT_PUBLISH_UNCHANGED, /* the log's document is equal already; nothing was appended */
	BCT_PUBLISH_REJECTED,  /* it is not and will never be in force */
	BCT_PUBLISH_NOT_SENT,  /* no byte of it reached the log, or the log could not be read */
	BCT_PUBLISH_UNKNOWN,   /* it may yet be accepted */
} bct_publish_outcome_t;

const char *bct_publish_outcome_wire(bct_publish_outcome_t o);

typedef struct bct_publish_opts {
	bct_platform_t *platform;
	const char *author;
	uint32_t timeout_ms;	  /* of the whole; 0: ten seconds */
	uint32_t call_timeout_ms; /* of one platform call; 0: two seconds */
	uint32_t retry_ms;	  /* before an append is repeated; 0: 500 */
	uint64_t base_revision;	  /* refuse unless the log is at this revision; see has_base */
	bool has_base;
} bct_publish_opts_t;

typedef struct bct_publish_result {
	bct_publish_outcome_t outcome;
	uint64_t id;
	uint64_t base_revision;
	uint64_t revision; /* ACCEPTED: its own; REJECTED: the winner's; else the log's */
	bct_change_status_t status;
	json_t *base;	 /* document that it was based on */
	json_t *log_doc; /* document of the log at the end */
} bct_publish_result_t;

/*
 * bct_config_publish(3): make doc the configuration. Blocks up to timeout_ms.
 *
 * out      always filled; release with bct_publish_result_free(3)
 * returns  0 when out tells the outcome; -BCT_EUNAVAILABLE, -BCT_EEXPIRED, -BCT_ENOMEM,
 *          -BCT_ETOO_LARGE with outcome NOT_SENT
 */
int bct_config_publish(const bct_publish_opts_t *opts, const json_t *doc,
		       bct_publish_result_t *out);
void bct_publish_result_free(bct_publish_result_t *r);

/* Told of each record that is replayed; rc is what bct_config_replay(3) returned. */
typedef void (*bct_config_replayed_t)(void *ctx, const bct_record_t *rec,
				      const bct_config_result_t *res, int rc);

/*
 * bct_config_read_log(3): the state at the end of the log as it is now, from the newest snapshot
 * on.
 *
 * judged   told of each record after that snapshot, with out already up to date; may be NULL
 * returns  0; -BCT_EUNAVAILABLE; -BCT_EEXPIRED, the beginning is gone and there is no snapshot;
 *          -BCT_ENOMEM
 */
int bct_config_read_log(bct_platform_t *p, uint32_t call_timeout_ms, bct_config_replayed_t judged,
			void *ctx, bct_config_state_t *out);

/*
 * bct_config_read_next(3): one read, and the replay of what it gave.
 *
 * returns  records replayed, or as bct_config_read_log(3)
 */
int bct_config_read_next(bct_platform_t *p, bct_config_state_t *s, uint32_t wait_ms,
			 uint32_t call_timeout_ms, bct_config_replayed_t judged, void *ctx);

#endif
