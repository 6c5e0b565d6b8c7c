/*
 * counters.c - tables and output of the gateway's metrics.
 */
#include "gate/counters.h"
#include "gate/gate_int.h"

#include <inttypes.h>

static const bct_counter_desc_t descs[] = {
#define DEF(name, metric, label, type, help) { metric, (label) ? "what" : NULL, label, type, help },
	BCT_GATE_COUNTER_LIST(DEF)
#undef DEF
};

static const bct_counter_desc_t end_descs[] = {
#define DEF(name, text) \
	{ "bct_gate_ended_total", "how", #name, "counter", "Requests ended, by how" },
	BCT_GATE_END_LIST(DEF)
#undef DEF
};

static const char *const end_names[] = {
#define DEF(name, text) #name,
	BCT_GATE_END_LIST(DEF)
#undef DEF
};

const char *bct_gate_end_name(bct_gate_end_t end)
{
	return end_names[end];
}

static const uint32_t quantiles_permille[] = { 500, 900, 990, 1000 };

static void print_hist(const bct_hist_t *h, const char *metric, const char *kind, bct_buf_t *out)
{
	for (size_t i = 0; i < sizeof(quantiles_permille) / sizeof(quantiles_permille[0]); i++) {
		uint32_t q = quantiles_permille[i];

		bct_buf_printf(out, "%s{kind=\"%s\",quantile=\"%u.%03u\"} %" PRIu64 "\n", metric,
			       kind, q / 1000, q % 1000, bct_hist_percentile(h, q));
	}
	bct_buf_printf(out, "%s_sum{kind=\"%s\"} %" PRIu64 "\n%s_count{kind=\"%s\"} %" PRIu64 "\n",
		       metric, kind, h->sum, metric, kind, h->n);
}

static void print_latency(const bct_gate_counters_t *c, bct_buf_t *out)
{
	static const char *const kinds[] = { "safe", "unsafe", "stream" };

	bct_buf_puts(out, "# TYPE bct_gate_first_byte_ms summary\n");
	for (int i = 0; i < BCT_GATE_KINDS; i++)
		print_hist(&c->latency[i].first_byte_ms, "bct_gate_first_byte_ms", kinds[i], out);
	bct_buf_puts(out, "# TYPE bct_gate_total_ms summary\n");
	for (int i = 0; i < BCT_GATE_KINDS; i++)
		print_hist(&c->latency[i].total_ms, "bct_gate_total_ms", kinds[i], out);
}

int bct_gate_counters_print(const bct_gate_counters_t *c, bct_buf_t *out)
{
	int rc = bct_counters_print(out, descs, c->values, BCT_GATE_COUNTER_COUNT);

	if (!rc)
		rc = bct_counters_print(out, end_descs, c->ends, BCT_GATE_END_COUNT);
	print_latency(c, out);
	return rc ? rc : out->err;
}
