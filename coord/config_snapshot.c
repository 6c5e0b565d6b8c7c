/*
 * config_snapshot.c - schedules the snapshots that a node writes.
 */
#include "coord/config_snapshot.h"

#include <string.h>

#define JITTER_MS 500

void bct_snapshot_plan_init(bct_snapshot_plan_t *p, uint32_t max_records, uint32_t interval_ms,
			    uint64_t seed)
{
	memset(p, 0, sizeof(*p));
	p->max_records = max_records;
	p->interval_ms = interval_ms;
	bct_rng_seed(&p->rng, seed);
	bct_snapshot_plan_reset(p);
}

void bct_snapshot_plan_reset(bct_snapshot_plan_t *p)
{
	p->seen = false;
	p->write_at = BCT_TIME_NEVER;
}

void bct_snapshot_plan_seen(bct_snapshot_plan_t *p, bct_time_t now, uint64_t offset,
			    bct_time_t age_ms)
{
	/* Clock skew can make the age wrong; that only shifts the time of the next snapshot. */
	if (age_ms < 0)
		age_ms = 0;
	if (age_ms > p->interval_ms)
		age_ms = p->interval_ms;
	p->seen = true;
	p->offset = offset;
	p->written_at = now - age_ms;
	p->write_at = BCT_TIME_NEVER;
}

bool bct_snapshot_plan_due(const bct_snapshot_plan_t *p, bct_time_t now, uint64_t next,
			   uint64_t oldest)
{
	if (!p->seen)
		return oldest > 0 || next >= p->max_records;
	return p->offset < oldest || next - p->offset > p->max_records ||
	       now - p->written_at >= p->interval_ms;
}

bool bct_snapshot_plan_should_write(bct_snapshot_plan_t *p, bct_time_t now, bool due, uint32_t rank,
				    uint32_t delay_ms)
{
	if (!due) {
		p->write_at = BCT_TIME_NEVER;
		return false;
	}
	if (p->write_at == BCT_TIME_NEVER)
		p->write_at = now + delay_ms + (bct_time_t)rank * BCT_SNAPSHOT_RANK_DELAY_MS +
			      bct_rng_below(&p->rng, JITTER_MS);
	if (now < p->write_at)
		return false;
	/* Retry unless the snapshot is seen in the log. */
	p->write_at = now + BCT_SNAPSHOT_RANK_DELAY_MS;
	return true;
}
