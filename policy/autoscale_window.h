/*
 * autoscale_window.h - one value for each of the last seconds. Pure: no I/O and no clock.
 */
#ifndef BCT_POLICY_AUTOSCALE_WINDOW_H
#define BCT_POLICY_AUTOSCALE_WINDOW_H

#include "base/clock.h"

#define BCT_AUTOSCALE_WINDOW_S 30

typedef struct bct_autoscale_window {
	uint32_t values[BCT_AUTOSCALE_WINDOW_S];
	int64_t seconds[BCT_AUTOSCALE_WINDOW_S]; /* of the values; 0: none */
} bct_autoscale_window_t;

/* bct_autoscale_window_set(3): sets the value of this second. */
void bct_autoscale_window_set(bct_autoscale_window_t *w, bct_time_t now, uint32_t value);

/* bct_autoscale_window_add(3): adds to the value of this second. */
void bct_autoscale_window_add(bct_autoscale_window_t *w, bct_time_t now, uint32_t value);

/* bct_autoscale_window_raise(3): sets it, unless the second has a higher one. */
void bct_autoscale_window_raise(bct_autoscale_window_t *w, bct_time_t now, uint32_t value);

/* The highest, lowest and sum of the last seconds, this one included; 0 if there are no values. */
uint32_t bct_autoscale_window_highest(const bct_autoscale_window_t *w, bct_time_t now, uint32_t s);
uint32_t bct_autoscale_window_lowest(const bct_autoscale_window_t *w, bct_time_t now, uint32_t s);
uint64_t bct_autoscale_window_sum(const bct_autoscale_window_t *w, bct_time_t now, uint32_t s);

#endif
