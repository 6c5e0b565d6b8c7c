/*
 * counters.c - prints the gateway's counters.
 */
#include "gate/counters.h"
#include "gate/gate_int.h"

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

int bct_gate_counters_print(const bct_gate_counters_t *c, bct_buf_t *out)
{
	int rc = bct_counters_print(out, descs, c->values, BCT_GATE_COUNTER_COUNT);

	return rc ? rc : bct_counters_print(out, end_descs, c->ends, BCT_GATE_END_COUNT);
}
