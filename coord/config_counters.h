/*
 * config_counters.h - what the configuration of a node counts, in the Prometheus text format.
 */
#ifndef BCT_COORD_CONFIG_COUNTERS_H
#define BCT_COORD_CONFIG_COUNTERS_H

#include "base/counter.h"
#include "coord/config.h"

typedef struct bct_config_counters {
	bct_counter_t changes[BCT_CHANGE_STATUS_COUNT]; /* of changes read from the log */
	bct_counter_t repeats;
	bct_counter_t bad_records;
	bct_counter_t from_log; /* revisions put in force */
	bct_counter_t from_peer;
	bct_counter_t offers_refused; /* of peers: wrong digest, invalid or diverged */
	bct_counter_t snapshots;      /* written by this node */
} bct_config_counters_t;

/* bct_config_counters_print(3): returns 0 or the buffer's error. */
int bct_config_counters_print(const bct_config_counters_t *c, bct_buf_t *out);

#endif
