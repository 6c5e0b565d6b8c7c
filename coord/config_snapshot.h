/*
 * config_snapshot.h - when a node writes a configuration snapshot: pure, time is an argument.
 *
 * A snapshot is due after so many records, after so much time, and at once when the newest one has
 * expired. The lower its rank, the sooner a node writes one that is due; the others then see it.
 */
#ifndef BCT_COORD_CONFIG_SNAPSHOT_H
#define BCT_COORD_CONFIG_SNAPSHOT_H

#include "base/clock.h"
#include "base/rng.h"

#include <stdbool.h>
#include <stdint.h>

/* How much later each further rank writes. */
#define BCT_SNAPSHOT_RANK_DELAY_MS 2000

typedef struct bct_snapshot_plan {
	uint32_t max_records;
	uint32_t interval_ms;
	bool seen; /* there is one in the log, at offset */
	uint64_t offset;
	bct_time_t at;	     /* when it was written, on this node's clock */
	bct_time_t write_at; /* when this node writes; BCT_TIME_NEVER: none is due */
	bct_rng_t rng;
} bct_snapshot_plan_t;

void bct_snapshot_plan_init(bct_snapshot_plan_t *p, uint32_t max_records, uint32_t interval_ms,
			    uint64_t seed);

/* bct_snapshot_plan_reset(3): the log began anew or was lost; nothing is known of snapshots. */
void bct_snapshot_plan_reset(bct_snapshot_plan_t *p);

/*
 * bct_snapshot_plan_seen(3): one was read at an offset.
 *
 * age_ms  by the wall clocks of two VMs, so it is cut to what is possible
 */
void bct_snapshot_plan_seen(bct_snapshot_plan_t *p, bct_time_t now, uint64_t offset,
			    bct_time_t age_ms);

/* bct_snapshot_plan_due(3): whether the log needs one; next and oldest as in bct_records_t. */
bool bct_snapshot_plan_due(const bct_snapshot_plan_t *p, bct_time_t now, uint64_t next,
			   uint64_t oldest);

/*
 * bct_snapshot_plan_should_write(3): whether this node writes now.
 *
 * due       as bct_snapshot_plan_due(3) says
 * delay_ms  what even the lowest rank waits
 */
bool bct_snapshot_plan_should_write(bct_snapshot_plan_t *p, bct_time_t now, bool due, uint32_t rank,
				    uint32_t delay_ms);

#endif
