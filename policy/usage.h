/*
 * usage.h - how many requests of each client account began to run, by window of time.
 */
#ifndef BCT_POLICY_USAGE_H
#define BCT_POLICY_USAGE_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct bct_usage_count {
	const char *account;
	uint32_t requests;
} bct_usage_count_t;

/* What is reported of one window; ordered by account. */
typedef struct bct_usage_report {
	uint64_t window; /* number of windows since the start of 1970 */
	bct_usage_count_t *counts;
	uint32_t n;
} bct_usage_report_t;

#endif
