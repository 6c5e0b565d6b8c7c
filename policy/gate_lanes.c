/*
 * gate_lanes.c - shares follow moving averages of the work, rounded to whole engines with
 * hysteresis.
 */
#include "policy/gate_lanes.h"

#include <math.h>
#include <string.h>

#define UPDATE_MS 500
#define AVERAGE_KEEP 0.75   /* weight of the old average at each update */
#define TIGHT_SHARE_MAX 0.4 /* of all engines, for one lane during a shortage */
#define TIGHT_HEADROOM 1.15 /* of the engines that the work of a lane fills, in a shortage */
#define FLOOR_ENGINES 0.3   /* in addition to what the work needs, as it arrives unevenly */
#define HEADROOM_MS 150.0   /* a lane for this gap gets twice the engines that its work fills */
#define ROUND_INERTIA 0.65  /* a lane's end moves if it is off by more engines than this */

bct_gate_lane_t *bct_gate_lanes_find(bct_gate_lanes_t *l, uint32_t gap_ms)
{
	uint32_t at = 0;

	while (at < l->n && l->lanes[at].gap_ms < gap_ms)
		at++;
	if (at < l->n && l->lanes[at].gap_ms == gap_ms)
		return &l->lanes[at];
	if (l->n == BCT_GATE_LANES)
		return &l->lanes[at < l->n ? at : l->n - 1];
	memmove(&l->lanes[at + 1], &l->lanes[at], (l->n - at) * sizeof(l->lanes[0]));
	memset(&l->lanes[at], 0, sizeof(l->lanes[0]));
	l->lanes[at].gap_ms = gap_ms;
	l->n++;
	l->updated = 0;
	return &l->lanes[at];
}

void bct_gate_lanes_add_work(bct_gate_lanes_t *l, uint32_t gap_ms, uint32_t work_ms)
{
	bct_gate_lanes_find(l, gap_ms)->new_work_ms += work_ms;
}

static void update_averages(bct_gate_lanes_t *l, double seconds)
{
	for (uint32_t i = 0; i < l->n; i++) {
		bct_gate_lane_t *a = &l->lanes[i];
		double latest = a->new_work_ms / seconds;

		a->work =
			a->work > 0 ? a->work * AVERAGE_KEEP + latest * (1 - AVERAGE_KEEP) : latest;
		a->new_work_ms = 0;
	}
}

/* Engines that the work of a lane fills, as a fraction. */
static double engines_filled(const bct_gate_lane_t *a)
{
	return (a->work + a->peer_work) / BCT_MS_PER_S;
}

/*
 * Engines that a lane needs, as a fraction. The shorter the gap, the more idle time its streams
 * need around them; requests with a long gap can queue.
 */
static double engines_needed(const bct_gate_lane_t *a)
{
	double headroom = 1 + HEADROOM_MS / (a->gap_ms ? a->gap_ms : HEADROOM_MS);

	return engines_filled(a) * headroom + FLOOR_ENGINES;
}

/* Leaves at least one engine for this lane and for each lane after it. */
static uint32_t clamp_end(const bct_gate_lanes_t *l, uint32_t i, uint32_t first, uint32_t end,
			  uint32_t engines)
{
	uint32_t after = l->n - 1 - i;

	if (!after)
		return engines;
	if (end < first + 1)
		end = first + 1;
	return end > engines - after ? engines - after : end;
}

/*
 * Engines for a lane, as a fraction. With enough engines, the spare ones are distributed in
 * proportion to need. In a shortage each lane gets little more than its work fills, up to
 * TIGHT_SHARE_MAX of all engines, as streams with a short gap would all stall; more idle time
 * around them would be taken from work that is refused. The last lane, whose requests can wait or
 * be retried, gets the remainder.
 */
static double engine_share(const bct_gate_lane_t *a, double total, uint32_t engines)
{
	double least = engines_filled(a) * TIGHT_HEADROOM + FLOOR_ENGINES;
	double limit = engines * TIGHT_SHARE_MAX;

	if (total <= engines)
		return engines_needed(a) / total * engines;
	return least < limit ? least : limit;
}

/* Gives each lane a contiguous range of engines, in ascending order of gaps. */
static void assign_engines(bct_gate_lanes_t *l, uint32_t engines)
{
	double total = 0, cumulative = 0;
	uint32_t first = 0;

	for (uint32_t i = 0; i < l->n; i++)
		total += engines_needed(&l->lanes[i]);
	for (uint32_t i = 0; i < l->n; i++) {
		bct_gate_lane_t *a = &l->lanes[i];
		uint32_t end = a->first + a->n;

		cumulative += engine_share(a, total, engines);
		if (engines != l->engines || fabs(cumulative - end) > ROUND_INERTIA)
			end = (uint32_t)lround(cumulative);
		end = clamp_end(l, i, first, end, engines);
		a->first = first;
		a->n = end - first;
		first = end;
	}
}

void bct_gate_lanes_update(bct_gate_lanes_t *l, bct_time_t now, uint32_t engines)
{
	bct_time_t elapsed_ms = l->updated ? now - l->updated : UPDATE_MS;

	if (elapsed_ms < UPDATE_MS && engines == l->engines)
		return;
	if (elapsed_ms >= UPDATE_MS) {
		update_averages(l, (double)elapsed_ms / BCT_MS_PER_S);
		l->updated = now;
	}
	if (l->n > 1 && engines > l->n) {
		assign_engines(l, engines);
	} else {
		for (uint32_t i = 0; i < l->n; i++)
			l->lanes[i].n = 0;
	}
	l->engines = engines;
}

int32_t bct_gate_lanes_distance(const bct_gate_lanes_t *l, uint32_t gap_ms, uint32_t position)
{
	uint32_t lane = 0, engine_lane = 0;

	while (lane + 1 < l->n && l->lanes[lane].gap_ms < gap_ms)
		lane++;
	if (lane >= l->n || !l->lanes[lane].n)
		return 0;
	while (engine_lane + 1 < l->n &&
	       position >= l->lanes[engine_lane].first + l->lanes[engine_lane].n)
		engine_lane++;
	return (int32_t)engine_lane - (int32_t)lane;
}
