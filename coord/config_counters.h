/*
 * config_counters.h - counters of a node's configuration, printed in the Prometheus text format.
 */
#ifndef BCT_COORD_CONFIG_COUNTERS_H
#define BCT_COORD_CONFIG_COUNTERS_H

#include "base/counter.h"
#include "coord/config.h"

typedef struct bct_config_counters {
	bct_counter_t changes[BCT_CHANGE_STATUS_COUNT]; /* changes read from the log, by result */
	bct_counter_t repeats;				/* changes whose id was replayed before */
	bct_counter_t bad_records;			/* records that could not be decoded */
	bct_counter_t from_log;				/* revisions put in force from the log */
	bct_counter_t from_peer;			/* revisions put in force from a peer */
	bct_counter_t offers_refused; /* peers' documents: invalid, wrong digest or diverged */
	bct_counter_t snapshots;      /* appended by this node, successfully or not */
} bct_config_counters_t;

/* bct_config_counters_print(3): append all counters to out. returns 0 or the buffer's error. */
int bct_config_counters_print(const bct_config_counters_t *c, bct_buf_t *out);

#endif
