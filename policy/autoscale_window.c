/*
 * autoscale_window.c - a ring by the number of the second.
 */
#include "policy/autoscale_window.h"

#include <stdbool.h>

/* Seconds are counted from 1, so that 0 marks unused values. */
static int64_t second_of(bct_time_t now)
{
	return now / BCT_MS_PER_S + 1;
}

static bool within(const bct_autoscale_window_t *w, uint32_t i, bct_time_t now, uint32_t s)
{
	return w->seconds[i] && w->seconds[i] > second_of(now) - (int64_t)s;
}

void bct_autoscale_window_set(bct_autoscale_window_t *w, bct_time_t now, uint32_t value)
{
	uint32_t at = (uint32_t)(second_of(now) % BCT_AUTOSCALE_WINDOW_S);

	w->seconds[at] = second_of(now);
	w->values[at] = value;
}

void bct_autoscale_window_add(bct_autoscale_window_t *w, bct_time_t now, uint32_t value)
{
	bct_autoscale_window_set(w, now, bct_autoscale_window_highest(w, now, 1) + value);
}

void bct_autoscale_window_raise(bct_autoscale_window_t *w, bct_time_t now, uint32_t value)
{
	if (bct_autoscale_window_highest(w, now, 1) <= value)
		bct_autoscale_window_set(w, now, value);
}

uint32_t bct_autoscale_window_highest(const bct_autoscale_window_t *w, bct_time_t now, uint32_t s)
{
	uint32_t highest = 0;

	for (uint32_t i = 0; i < BCT_AUTOSCALE_WINDOW_S; i++)
		if (within(w, i, now, s) && w->values[i] > highest)
			highest = w->values[i];
	return highest;
}

uint32_t bct_autoscale_window_lowest(const bct_autoscale_window_t *w, bct_time_t now, uint32_t s)
{
	uint32_t lowest = UINT32_MAX;

	for (uint32_t i = 0; i < BCT_AUTOSCALE_WINDOW_S; i++)
		if (within(w, i, now, s) && w->values[i] < lowest)
			lowest = w->values[i];
	return lowest == UINT32_MAX ? 0 : lowest;
}

uint64_t bct_autoscale_window_sum(const bct_autoscale_window_t *w, bct_time_t now, uint32_t s)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < BCT_AUTOSCALE_WINDOW_S; i++)
		if (within(w, i, now, s))
			sum += w->values[i];
	return sum;
}
