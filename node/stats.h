/*
 * stats.h - what the operators see: counters of ends, and attainment per class over a window.
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

/* One class of one client account; two windows, so that a full one can always be shown. */
typedef struct bct_class_window {
	uint32_t requests;
	uint32_t answered;
	uint32_t ttft_met;
	uint32_t itl_met;
	uint32_t refused;
	uint64_t tokens;
} bct_class_window_t;

typedef struct bct_class_stats {
	uint64_t account_key;
	uint64_t class_key;
	char account[BCT_NAME_BYTES];
	char klass[BCT_NAME_BYTES];
	uint8_t tier;
	bct_class_window_t now;
	bct_class_window_t last;
	bct_class_window_t total;
} bct_class_stats_t;

typedef struct bct_stats {
	bct_counter_t refused[BCT_REFUSE_COUNT];
	bct_counter_t retried[BCT_RETRY_COUNT];
	bct_counter_t terminated[BCT_ENDED_BY_COUNT * BCT_STATE_COUNT];
	bct_counter_t requests;
	bct_counter_t tokens;
	bct_counter_t tokens_wasted; /* produced upstream, given to nobody */
	bct_counter_t mismatched;
	bct_counter_t late;
	bct_counter_t reaped;

	pthread_mutex_t lock; /* leaf: nothing is taken under it */
	bct_class_stats_t *classes;
	uint32_t n_classes;
	uint32_t cap_classes;
	bct_time_t window_start;
} bct_stats_t;

void bct_stats_init(bct_stats_t *s, bct_time_t now);
void bct_stats_free(bct_stats_t *s);

/* bct_stats_end(3): count one ended request; its fields must not change any more. */
void bct_stats_end(bct_stats_t *s, const bct_request_t *r, bct_time_t now);

/* bct_stats_refused_early(3): count a refusal that never became a request. */
void bct_stats_refused_early(bct_stats_t *s, bct_refuse_t why, bct_state_t state);

/* bct_stats_count_refused(3): count a reason that the scheduler does not count itself. */
void bct_stats_count_refused(bct_stats_t *s, bct_refuse_t why);

/* bct_stats_print(3): metrics in the Prometheus text format. returns 0 or the buffer's error. */
int bct_stats_print(bct_stats_t *s, bct_buf_t *out);

/* bct_stats_classes(3): a new JSON list, one object for each class. NULL without memory. */
json_t *bct_stats_classes(bct_stats_t *s, bct_time_t now);

#endif
