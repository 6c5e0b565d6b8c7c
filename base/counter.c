/*
 * counter.c - prints counter tables in the Prometheus text format.
 */
#include "base/counter.h"

#include <inttypes.h>
#include <string.h>

int bct_counters_print(bct_buf_t *out, const bct_counter_desc_t *desc, const bct_counter_t *values,
		       uint32_t n)
{
	const char *last = "";
	uint32_t i;

	for (i = 0; i < n; i++) {
		const bct_counter_desc_t *d = &desc[i];
		uint64_t value = bct_counter_get(&values[i]);

		if (strcmp(last, d->metric)) {
			bct_buf_printf(out, "# HELP %s %s\n", d->metric, d->help);
			bct_buf_printf(out, "# TYPE %s %s\n", d->metric, d->type);
			last = d->metric;
		}
		if (d->label_key)
			bct_buf_printf(out, "%s{%s=\"%s\"} %" PRIu64 "\n", d->metric, d->label_key,
				       d->label_value, value);
		else
			bct_buf_printf(out, "%s %" PRIu64 "\n", d->metric, value);
	}
	return out->err;
}
