/*
 * log_follower.h - follows one stream of the platform's log and delivers its records in order. It
 * backs off while the log is unavailable, and a callback decides where to continue when records
 * were lost.
 *
 * Either the caller runs bct_log_follower_step(3) on one thread, or bct_log_follower_start(3) runs
 * it on a thread of the follower. Callbacks run on that thread with no lock held.
 * bct_log_follower_health(3) may be called from any thread.
 */
#ifndef BCT_COORD_LOG_FOLLOWER_H
#define BCT_COORD_LOG_FOLLOWER_H

#include "base/event.h"
#include "coord/platform.h"

typedef struct bct_log_follower bct_log_follower_t;

typedef struct bct_log_follower_ops {
	/*
	 * Handles the record at the current position. Returning -BCT_ENOMEM makes the follower
	 * deliver the record again later; 0, or any other result, advances the position by one.
	 * After bct_log_follower_seek(3) the rest of the batch is dropped, and reading continues at
	 * the new position.
	 */
	int (*record)(void *ctx, const bct_record_t *rec);
	/*
	 * The record at position cannot be read: it has expired, the log skips it, or the log was
	 * recreated and ends before it. oldest is the lowest offset that can be read. Returns the
	 * position to continue at.
	 */
	uint64_t (*lost)(void *ctx, uint64_t position, uint64_t oldest);
	/* Called after each read that reached the end of the stream. May be NULL. */
	void (*caught_up)(void *ctx, uint64_t end, uint64_t oldest);
} bct_log_follower_ops_t;

typedef struct bct_log_follower_opts {
	bct_platform_t *platform;
	const char *stream;
	uint64_t from;	     /* offset of the first record to read */
	uint32_t poll_ms;    /* how long a read waits for new records; 0: 1000 ms */
	uint32_t timeout_ms; /* time limit of one read, added to poll_ms; 0: 2000 ms */
	uint64_t seed;	     /* of the random numbers for backoff jitter */
	const bct_log_follower_ops_t *ops;
	void *ctx;
	bct_log_t *log;
} bct_log_follower_opts_t;

typedef struct bct_log_health {
	bool up;	 /* the log answered the last read */
	bool caught_up;	 /* the end was reached since the start or the last change of position */
	uint64_t next;	 /* offset of the next record */
	uint64_t oldest; /* lowest offset still kept, as of the last answer */
	bct_time_t answered_at; /* time of the last answer; 0: none yet */
	uint32_t failures;	/* consecutive reads without an answer */
} bct_log_health_t;

/* bct_log_follower_new(3): create a follower; it does not read yet. returns 0 or -BCT_ENOMEM. */
int bct_log_follower_new(const bct_log_follower_opts_t *opts, bct_log_follower_t **out);

/*
 * bct_log_follower_free(3): stop the thread and free the follower. Blocks until the current read
 * has ended, up to poll_ms + timeout_ms. NULL is allowed.
 */
void bct_log_follower_free(bct_log_follower_t *f);

/*
 * bct_log_follower_step(3): read once and run the callbacks for the result.
 *
 * wait_ms  how long the read may wait for new records
 * returns  number of records delivered; -BCT_EUNAVAILABLE, -BCT_ECODEC or -BCT_ENOMEM: retry
 *          after bct_log_follower_backoff_ms(3)
 */
int bct_log_follower_step(bct_log_follower_t *f, uint32_t wait_ms);

/* bct_log_follower_backoff_ms(3): time to wait before the next step after a failed one. */
uint32_t bct_log_follower_backoff_ms(bct_log_follower_t *f);

/*
 * bct_log_follower_start(3): run steps on a new thread until bct_log_follower_free(3).
 *
 * returns  0 or -BCT_ENOMEM
 */
int bct_log_follower_start(bct_log_follower_t *f);

/*
 * bct_log_follower_seek(3): continue reading at an offset. To be called only from a callback or
 * between two steps.
 */
void bct_log_follower_seek(bct_log_follower_t *f, uint64_t position);

/* bct_log_follower_health(3): copy the present state of the follower. */
void bct_log_follower_health(bct_log_follower_t *f, bct_log_health_t *out);

#endif
