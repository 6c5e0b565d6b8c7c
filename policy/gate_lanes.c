/*
 * gate_lanes.c - shares by moving averages of work, rounded to whole engines with some inertia.
 */
#include "policy/gate_lanes.h"

#include <math.h>
#include <string.h>

#define UPDATE_MS 1000
#define AVERAGE_KEEP 0.8   /* of the old average at each update */
#define FLOOR_SHARE 0.05   /* of all work, so that a quiet lane keeps an engine in reserve */
#define HEADROOM_MS 400.0  /* a lane for this pause gets twice the engines that its work fills */
#define ROUND_INERTIA 0.65 /* an engine changes lanes when its share is off by more */

static bct_gate_lane_t *lane_of(bct_gate_lanes_t *l, uint32_t gap_ms)
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

void bct_gate_lanes_work(bct_gate_lanes_t *l, uint32_t gap_ms, uint32_t work_ms)
{
	lane_of(l, gap_ms)->fresh += work_ms;
}

static double averaged_sum(bct_gate_lanes_t *l, double seconds)
{
	double sum = 0;

	for (uint32_t i = 0; i < l->n; i++) {
		bct_gate_lane_t *a = &l->lanes[i];

		a->work = a->work > 0
				  ? a->work * AVERAGE_KEEP + a->fresh / seconds * (1 - AVERAGE_KEEP)
				  : a->fresh / seconds;
		a->fresh = 0;
		sum += a->work;
	}
	return sum;
}

/* Tight streams need idle time around them; long prompts can queue. */
static double weight_of(const bct_gate_lane_t *a, double sum)
{
	return a->work * (1 + HEADROOM_MS / (a->gap_ms ? a->gap_ms : HEADROOM_MS)) +
	       sum * FLOOR_SHARE;
}

static void cut(bct_gate_lanes_t *l, double sum, uint32_t engines)
{
	double total = 0, upto = 0;
	uint32_t first = 0;

	for (uint32_t i = 0; i < l->n; i++)
		total += weight_of(&l->lanes[i], sum);
	for (uint32_t i = 0; i < l->n; i++) {
		bct_gate_lane_t *a = &l->lanes[i];
		uint32_t left = l->n - 1 - i, end = a->first + a->n;

		upto += weight_of(a, sum) / total * engines;
		if (engines != l->engines || fabs(upto - end) > ROUND_INERTIA)
			end = (uint32_t)lround(upto);
		if (end < first + 1)
			end = first + 1;
		if (end > engines - left)
			end = engines - left;
		if (i == l->n - 1)
			end = engines;
		a->first = first;
		a->n = end - first;
		first = end;
	}
}

void bct_gate_lanes_update(bct_gate_lanes_t *l, bct_time_t now, uint32_t engines)
{
	bct_time_t passed = now - l->updated;
	double sum;

	if (passed < UPDATE_MS && engines == l->engines)
		return;
	if (!l->updated)
		passed = UPDATE_MS;
	sum = passed >= UPDATE_MS ? averaged_sum(l, (double)passed / BCT_MS_PER_S) : 0;
	if (passed >= UPDATE_MS)
		l->updated = now;
	for (uint32_t i = 0; !sum && i < l->n; i++)
		sum += l->lanes[i].work;
	if (l->n < 2 || engines <= l->n || sum <= 0) {
		for (uint32_t i = 0; i < l->n; i++)
			l->lanes[i].n = 0;
		l->engines = engines;
		return;
	}
	cut(l, sum, engines);
	l->engines = engines;
}

int32_t bct_gate_lanes_distance(const bct_gate_lanes_t *l, uint32_t gap_ms, uint32_t position)
{
	uint32_t own = 0, at = 0;

	while (own + 1 < l->n && l->lanes[own].gap_ms < gap_ms)
		own++;
	if (own >= l->n || !l->lanes[own].n)
		return 0;
	while (at + 1 < l->n && position >= l->lanes[at].first + l->lanes[at].n)
		at++;
	return (int32_t)at - (int32_t)own;
}
