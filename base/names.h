/*
 * names.h - names that are collected for one log line instead of a line each.
 */
#ifndef BCT_BASE_NAMES_H
#define BCT_BASE_NAMES_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_NAMES_BYTES 1024
#define BCT_NAMES_COLLECT_MS 500 /* how long names wait for others */

/* Zeroed: empty. */
typedef struct bct_names {
	char text[BCT_NAMES_BYTES]; /* separated by commas */
	uint32_t used_bytes;
	uint32_t n;
	bct_time_t since; /* when the first was added */
} bct_names_t;

/* bct_names_add(3): adds a name; returns false, and adds nothing, if there is no room. */
bool bct_names_add(bct_names_t *l, bct_time_t now, const char *name);

/* bct_names_clear(3): to be called once the names were logged. */
void bct_names_clear(bct_names_t *l);

/* bct_names_due_at(3): returns when they are to be logged; BCT_TIME_NEVER if there are none. */
bct_time_t bct_names_due_at(const bct_names_t *l);

#endif
