/*
 * counter.h - metrics of this process: updated without a lock, printed in the Prometheus text
 * format.
 *
 * A module declares its counters as a table of bct_counter_desc_t and keeps an array of values in
 * the same order. Each label value has a row of its own:
 * bct_refused_total{reason="queue_full"}.
 */
#ifndef BCT_BASE_COUNTER_H
#define BCT_BASE_COUNTER_H

#include "base/buf.h"

#include <ck_pr.h>
#include <stdint.h>

typedef struct bct_counter {
	uint64_t value;
} bct_counter_t;

static inline void bct_counter_add(bct_counter_t *c, uint64_t n)
{
	ck_pr_add_64(&c->value, n);
}

static inline void bct_counter_inc(bct_counter_t *c)
{
	ck_pr_inc_64(&c->value);
}

static inline void bct_counter_set(bct_counter_t *c, uint64_t n)
{
	ck_pr_store_64(&c->value, n);
}

static inline uint64_t bct_counter_get(const bct_counter_t *c)
{
	return ck_pr_load_64(&c->value);
}

/* One row of a counter table. */
typedef struct bct_counter_desc {
	const char *metric;
	const char *label_key; /* NULL: no label */
	const char *label_value;
	const char *type; /* "counter" or "gauge" */
	const char *help;
} bct_counter_desc_t;

/*
 * bct_counters_print(3): append a table of n counters. HELP and TYPE are printed once for
 * consecutive rows of the same metric.
 *
 * returns  0 or the buffer's error
 */
int bct_counters_print(bct_buf_t *out, const bct_counter_desc_t *desc, const bct_counter_t *values,
		       uint32_t n);

#endif
