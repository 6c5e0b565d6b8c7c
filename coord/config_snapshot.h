/*
 * config_snapshot.h - decides when a node writes a configuration snapshot. The functions read no
 * clock; the time is an argument.
 *
 * A snapshot is due after max_records records, after interval_ms, and at once when the newest one
 * has expired. Nodes delay a due snapshot by their rank, so that usually only the node with the
 * lowest rank writes it and the others read it in the log.
 */
#ifndef BCT_COORD_CONFIG_SNAPSHOT_H
#define BCT_COORD_CONFIG_SNAPSHOT_H

#include "base/clock.h"
#include "base/rng.h"

#include <stdbool.h>
#include <stdint.h>

/* Delay added per rank; also the time after which a node retries a snapshot. */
#define BCT_SNAPSHOT_RANK_DELAY_MS 2000

typedef struct bct_snapshot_plan {
	uint32_t max_records;  /* number of records after which a snapshot is due */
	uint32_t interval_ms;  /* age of the newest snapshot at which another is due */
	bool seen;	       /* a snapshot was read in the log */
	uint64_t offset;       /* offset of the newest snapshot, if seen */
	bct_time_t written_at; /* when the newest snapshot was written, on this node's clock */
	bct_time_t write_at;   /* when this node writes one; BCT_TIME_NEVER: none is due */
	bct_rng_t rng;
} bct_snapshot_plan_t;

/*
 * bct_snapshot_plan_init(3): set up a plan for which no snapshot was seen.
 *
 * seed     of the random jitter of the delay
 */
void bct_snapshot_plan_init(bct_snapshot_plan_t *p, uint32_t max_records, uint32_t interval_ms,
			    uint64_t seed);

/* bct_snapshot_plan_reset(3): discard what was read, because reading starts over. */
void bct_snapshot_plan_reset(bct_snapshot_plan_t *p);

/*
 * bct_snapshot_plan_seen(3): record that a snapshot was read at an offset.
 *
 * age_ms   difference of two VMs' wall clocks; clamped to 0 .. interval_ms
 */
void bct_snapshot_plan_seen(bct_snapshot_plan_t *p, bct_time_t now, uint64_t offset,
			    bct_time_t age_ms);

/*
 * bct_snapshot_plan_due(3): returns whether the log needs a snapshot; next and oldest as in
 * bct_records_t.
 */
bool bct_snapshot_plan_due(const bct_snapshot_plan_t *p, bct_time_t now, uint64_t next,
			   uint64_t oldest);

/*
 * bct_snapshot_plan_should_write(3): returns whether this node writes a snapshot now. A write that
 * is not seen in the log is retried after BCT_SNAPSHOT_RANK_DELAY_MS.
 *
 * due       result of bct_snapshot_plan_due(3)
 * rank      place of this node among the live ones, from 0
 * delay_ms  base delay, which applies to rank 0 as well
 */
bool bct_snapshot_plan_should_write(bct_snapshot_plan_t *p, bct_time_t now, bool due, uint32_t rank,
				    uint32_t delay_ms);

#endif
