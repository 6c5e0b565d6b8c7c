/*
 * config_counters.c - descriptions and output of the configuration counters.
 */
#include "coord/config_counters.h"

static const bct_counter_desc_t change_desc[] = {
#define DEF(name, wire, text)                                     \
	{ "bct_config_changes_total", "verdict", wire, "counter", \
	  "changes read from the log, by what became of them" },
	BCT_CHANGE_STATUS_LIST(DEF)
#undef DEF
};

static const bct_counter_desc_t single_desc[] = {
	{ "bct_config_repeats_total", NULL, NULL, "counter", "changes read from the log again" },
	{ "bct_config_bad_records_total", NULL, NULL, "counter",
	  "records of the configuration stream that could not be decoded" },
	{ "bct_config_adopted_total", "source", "log", "counter", "revisions put in force" },
	{ "bct_config_adopted_total", "source", "peer", "counter", "revisions put in force" },
	{ "bct_config_offers_refused_total", NULL, NULL, "counter",
	  "documents of peers that were invalid or had another digest" },
	{ "bct_config_snapshots_total", NULL, NULL, "counter",
	  "snapshots that this node appended or tried to" },
};

int bct_config_counters_print(const bct_config_counters_t *c, bct_buf_t *out)
{
	const bct_counter_t values[] = { c->repeats,   c->bad_records,	  c->from_log,
					 c->from_peer, c->offers_refused, c->snapshots };

	bct_counters_print(out, change_desc, c->changes, BCT_CHANGE_STATUS_COUNT);
	return bct_counters_print(out, single_desc, values, sizeof(values) / sizeof(values[0]));
}
