/*
 * stats.h - statistics for operators: counters of requests, and per class how many met their
 * targets in a time window.
 */
#ifndef BCT_NODE_STATS_H
#define BCT_NODE_STATS_H

#include "base/buf.h"
#include "base/clock.h"
#include "base/counter.h"
#include "node/request.h"
#include "policy/reason.h"

#include <jansson.h>
#include <pthread.h>

#define BCT_STATS_WINDOW_MS 60000
#define BCT_ENDED_BY_COUNT 7
#define BCT_STATE_COUNT 7

/* Requests of one class that ended in a window. */
typedef struct bct_class_window {
	uint32_t requests;
	uint32_t answered;
	uint32_t ttft_met; /* answered with the first token in time */
	uint32_t itl_met;  /* answered with no inter-token gap above the limit */
	uint32_t refused;  /* refused, but not because the caller disconnected */
	uint64_t tokens;
} bct_class_window_t;

/*
 * One class of one client account. Two windows are kept, so that a complete one can be shown at any
 * time.
 */
typedef struct bct_class_stats {
	uint64_t account_key;
	uint64_t class_key;
	char account[BCT_NAME_BYTES];
	char klass[BCT_NAME_BYTES];
	uint8_t tier;
	bct_class_window_t now;	  /* the current window */
	bct_class_window_t last;  /* the complete window before it */
	bct_class_window_t total; /* since the node started */
} bct_class_stats_t;

typedef struct bct_stats {
	bct_counter_t refused[BCT_REFUSE_COUNT];
	bct_counter_t retried[BCT_RETRY_COUNT];
	/* Index: ended_by * BCT_STATE_COUNT + state. */
	bct_counter_t terminated[BCT_ENDED_BY_COUNT * BCT_STATE_COUNT];
	bct_counter_t requests;
	bct_counter_t tokens;	     /* sent to callers */
	bct_counter_t tokens_wasted; /* produced by an upstream, not sent to a caller */
	bct_counter_t mismatched;    /* answers with another attempt's id */
	bct_counter_t late;	     /* complete answers of an attempt that was no longer current */
	bct_counter_t reaped;	     /* connections that exceeded the receive time limit */
	bct_counter_t yielded;	     /* connections that ended for new ones at their limit */
	bct_counter_t turned_away;   /* new connections that were closed at the limit */

	pthread_mutex_t lock; /* protects the members below; no other lock is taken under it */
	bct_class_stats_t *classes;
	uint32_t n_classes;
	uint32_t cap_classes; /* allocated entries */
	bct_time_t window_start;
} bct_stats_t;

void bct_stats_init(bct_stats_t *s, bct_time_t now);
void bct_stats_free(bct_stats_t *s);

/* bct_stats_end(3): count a request that has ended; its fields must not change any more. */
void bct_stats_end(bct_stats_t *s, const bct_request_t *r, bct_time_t now);

/* bct_stats_refused_early(3): count a refusal that happens before a request object exists. */
void bct_stats_refused_early(bct_stats_t *s, bct_refuse_t why, bct_state_t state);

/* bct_stats_count_refused(3): count the reason of a refusal that the scheduler does not count. */
void bct_stats_count_refused(bct_stats_t *s, bct_refuse_t why);

/* bct_stats_print(3): append metrics in the Prometheus text format. returns 0 or out's error. */
int bct_stats_print(bct_stats_t *s, bct_buf_t *out);

/* bct_stats_classes(3): a new JSON list with an object for each class; NULL if out of memory. */
json_t *bct_stats_classes(bct_stats_t *s, bct_time_t now);

#endif
