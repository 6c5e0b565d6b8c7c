/*
 * gate_lanes.c - shares by moving averages of work, rounded to whole engines with some inertia.
 */
#include "policy/gate_lanes.h"

#include <math.h>
#include <string.h>

#define UPDATE_MS 500
#define AVERAGE_KEEP 0.75   /* of the old average at each update */
#define TIGHT_SHARE_MAX 0.4 /* of all engines, for one lane while engines are short */
#define FLOOR_ENGINES 0.3   /* beside what the work needs, for its unevenness */
#define HEADROOM_MS 150.0   /* a lane for this pause gets twice the engines that its work fills */
#define ROUND_INERTIA 0.65  /* an engine changes lanes when its share is off by more */

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

static void average(bct_gate_lanes_t *l, double seconds)
{
	for (uint32_t i = 0; i < l->n; i++) {
		bct_gate_lane_t *a = &l->lanes[i];
		double now = a->new_work_ms / seconds;

		a->work = a->work > 0 ? a->work * AVERAGE_KEEP + now * (1 - AVERAGE_KEEP) : now;
		a->new_work_ms = 0;
	}
}

/* Engines that a lane needs. Tight streams need idle time around them; long prompts can queue. */
static double need_of(const bct_gate_lane_t *a)
{
	double headroom = 1 + HEADROOM_MS / (a->gap_ms ? a->gap_ms : HEADROOM_MS);

	return (a->work + a->peer_work) * headroom / BCT_MS_PER_S + FLOOR_ENGINES;
}

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
 * What is left over is shared out in proportion. When there is not enough, the tight lanes, whose
 * streams would all stall, get what they need up to a part of all engines; the loosest lane's
 * requests can wait or come back.
 */
static double share_of(const bct_gate_lane_t *a, double total, uint32_t engines)
{
	double need = need_of(a), most = engines * TIGHT_SHARE_MAX;

	if (total <= engines)
		return need / total * engines;
	return need < most ? need : most;
}

static void cut(bct_gate_lanes_t *l, uint32_t engines)
{
	double total = 0, upto = 0;
	uint32_t first = 0;

	for (uint32_t i = 0; i < l->n; i++)
		total += need_of(&l->lanes[i]);
	for (uint32_t i = 0; i < l->n; i++) {
		bct_gate_lane_t *a = &l->lanes[i];
		uint32_t end = a->first + a->n;

		upto += share_of(a, total, engines);
		if (engines != l->engines || fabs(upto - end) > ROUND_INERTIA)
			end = (uint32_t)lround(upto);
		end = clamp_end(l, i, first, end, engines);
		a->first = first;
		a->n = end - first;
		first = end;
	}
}

void bct_gate_lanes_update(bct_gate_lanes_t *l, bct_time_t now, uint32_t engines)
{
	bct_time_t passed = l->updated ? now - l->updated : UPDATE_MS;

	if (passed < UPDATE_MS && engines == l->engines)
		return;
	if (passed >= UPDATE_MS) {
		average(l, (double)passed / BCT_MS_PER_S);
		l->updated = now;
	}
	if (l->n > 1 && engines > l->n) {
		cut(l, engines);
	} else {
		for (uint32_t i = 0; i < l->n; i++)
			l->lanes[i].n = 0;
	}
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
