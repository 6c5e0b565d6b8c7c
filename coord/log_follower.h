/*
 * log_follower.h - reads one stream of the platform's log in order, for as long as it lives: with
 * backoff while the log is down, and with a way on when records expired unread.
 *
 * One thread calls bct_log_follower_step(3), or bct_log_follower_start(3) runs it on a thread of
 * its own; callbacks come on that thread, without any lock held. Health may be read from any.
 */
#ifndef BCT_COORD_LOG_FOLLOWER_H
#define BCT_COORD_LOG_FOLLOWER_H

#include "base/event.h"
#include "coord/platform.h"

typedef struct bct_log_follower bct_log_follower_t;

typedef struct bct_log_follower_ops {
	/*
	 * The record at the position; 0: go one further. -BCT_ENOMEM: it comes again later, as does
	 * every record after bct_log_follower_seek(3).
	 */
	int (*record)(void *ctx, const bct_record_t *rec);
	/* The position is below oldest, or past the end (then oldest is where the log goes on). */
	uint64_t (*lost)(void *ctx, uint64_t position, uint64_t oldest);
	/* Nothing is left to read; called after each read that reached the end. May be NULL. */
	void (*caught_up)(void *ctx, uint64_t end, uint64_t oldest);
} bct_log_follower_ops_t;

typedef struct bct_log_follower_opts {
	bct_platform_t *platform;
	const char *stream;
	uint64_t from;
	uint32_t poll_ms;    /* time that a read may wait for something new; 0: one second */
	uint32_t timeout_ms; /* of one read, on top of poll_ms; 0: two seconds */
	uint64_t seed;	     /* of the backoff's jitter */
	const bct_log_follower_ops_t *ops;
	void *ctx;
	bct_log_t *log;
} bct_log_follower_opts_t;

typedef struct bct_log_health {
	bool up;		/* the last read was answered */
	bool caught_up;		/* the end was reached since the follower started or moved */
	uint64_t next;		/* offset of the next record */
	uint64_t oldest;	/* as of the last answer */
	bct_time_t answered_at; /* of the last answer; 0: never */
	uint32_t failures;	/* reads in a row that were not answered */
} bct_log_health_t;

/* bct_log_follower_new(3): returns 0 or -BCT_ENOMEM. */
int bct_log_follower_new(const bct_log_follower_opts_t *opts, bct_log_follower_t **out);

/* bct_log_follower_free(3): stops the thread, which may take poll_ms and timeout_ms. */
void bct_log_follower_free(bct_log_follower_t *f);

/*
 * bct_log_follower_step(3): one read, waiting up to wait_ms, and the callbacks for what it gave.
 *
 * returns  records handed over; -BCT_EUNAVAILABLE, -BCT_ECODEC or -BCT_ENOMEM: try again after
 *          bct_log_follower_backoff_ms(3)
 */
int bct_log_follower_step(bct_log_follower_t *f, uint32_t wait_ms);
uint32_t bct_log_follower_backoff_ms(bct_log_follower_t *f);

/* bct_log_follower_start(3): step on a thread until free. returns 0 or -BCT_ENOMEM. */
int bct_log_follower_start(bct_log_follower_t *f);

/* bct_log_follower_seek(3): go on at an offset; only from a callback or between steps. */
void bct_log_follower_seek(bct_log_follower_t *f, uint64_t position);

void bct_log_follower_health(bct_log_follower_t *f, bct_log_health_t *out);

#endif
