/*
 * config_publish.h - publishes a document through the log and determines the outcome.
 *
 * The change is appended with a random id. The log is then read until the change is found, accepted
 * or rejected, or until another change was accepted on the same base, after which it can never be
 * accepted. An append whose answer was lost is retried with the same id; all records with this id
 * count as one change.
 */
#ifndef BCT_COORD_CONFIG_PUBLISH_H
#define BCT_COORD_CONFIG_PUBLISH_H

#include "coord/config.h"
#include "coord/platform.h"

typedef enum bct_publish_outcome {
	BCT_PUBLISH_ACCEPTED = 0,
	BCT_PUBLISH_UNCHANGED, /* the log already has an equal document; nothing was appended */
	BCT_PUBLISH_REJECTED,  /* the change is not in force and never will be */
	BCT_PUBLISH_NOT_SENT,  /* no append reached the log, or the log could not be read */
	BCT_PUBLISH_UNKNOWN,   /* the change may still be accepted */
} bct_publish_outcome_t;

const char *bct_publish_outcome_wire(bct_publish_outcome_t o);

typedef struct bct_publish_opts {
	bct_platform_t *platform;
	const char *author;
	uint32_t timeout_ms;	  /* of the whole call; 0: ten seconds */
	uint32_t call_timeout_ms; /* of each platform call; 0: two seconds */
	uint32_t retry_ms;	  /* time between two appends; 0: 500 */
	uint64_t base_revision;	  /* reject unless the log is at this revision */
	bool has_base;		  /* base_revision applies */
} bct_publish_opts_t;

typedef struct bct_publish_result {
	bct_publish_outcome_t outcome;
	uint64_t id; /* of the change */
	uint64_t base_revision;
	/* ACCEPTED: the change's revision; REJECTED: the one in force instead; else the log's. */
	uint64_t revision;
	bct_change_status_t status; /* valid if outcome is ACCEPTED or REJECTED */
	json_t *base;		    /* document that the change is based on */
	json_t *log_doc;	    /* the log's document when the call returned */
} bct_publish_result_t;

/*
 * bct_config_publish(3): publish doc as the new configuration. Blocks for about timeout_ms at most.
 *
 * out      always set; free with bct_publish_result_free(3)
 * returns  0 when the outcome is in out; -BCT_EUNAVAILABLE, -BCT_EEXPIRED, -BCT_ENOMEM,
 *          -BCT_ETOO_LARGE with outcome NOT_SENT
 */
int bct_config_publish(const bct_publish_opts_t *opts, const json_t *doc,
		       bct_publish_result_t *out);
void bct_publish_result_free(bct_publish_result_t *r);

/* Called after the replay of each record; rc is the value that bct_config_replay(3) returned. */
typedef void (*bct_config_replayed_t)(void *ctx, const bct_record_t *rec,
				      const bct_config_result_t *res, int rc);

/*
 * bct_config_read_log(3): read the log to its present end and build the state there. Replay starts
 * from a snapshot if there is one, as bct_config_boot_finish(3) selects it.
 *
 * replayed called for each record replayed, with out already up to date; may be NULL
 * out      set on success only; free with bct_config_free(3)
 * returns  0; -BCT_EUNAVAILABLE; -BCT_EEXPIRED, the first records have expired and there is
 *          no valid snapshot, or records expired during the read; -BCT_ENOMEM
 */
int bct_config_read_log(bct_platform_t *p, uint32_t call_timeout_ms, bct_config_replayed_t replayed,
			void *ctx, bct_config_state_t *out);

/*
 * bct_config_read_next(3): read the log once at s->next and replay the records of the answer.
 *
 * wait_ms  how long the log may wait for a record before it answers
 * returns  number of records replayed, or an error as bct_config_read_log(3)
 */
int bct_config_read_next(bct_platform_t *p, bct_config_state_t *s, uint32_t wait_ms,
			 uint32_t call_timeout_ms, bct_config_replayed_t replayed, void *ctx);

#endif
