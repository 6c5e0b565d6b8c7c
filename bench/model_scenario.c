/*
 * model_scenario.c - the scenarios of the policy benchmark.
 */
#include "bench/model_scenario.h"
#include "bench/model_deploy.h"

#define NODES 7 /* each deployment has seven entry VMs */
#define DURATION_MS 120000
#define REPORT_AGE_MS 200
#define CACHE_EVENT_DELAY_MS 500
#define CACHE_EVENT_LOSS_PERMILLE 50
#define TOTAL_DELAY_MS 1000
#define MAX_QUEUED 1000
#define PREFIX_FAMILIES 8
#define NYAYMITRA .deployment = &bct_model_nyaymitra
#define HARROWGATE .deployment = &bct_model_harrowgate
#define BURST_MS .at = 30000, .until = 90000

/* Prompts about one large document set: most of each is shared within a session family. */
static const bct_model_deployment_t prefix_heavy = {
	.name = "prefix-heavy",
	.failure_domains = 4,
	.engines = { 10, 4 },
	.accounts = 10,
	.n_classes = 4,
	.classes = {
		{ "explain", BCT_MODEL_DRAFT, 1, 200, 800, 39, 0, 10, 3000, 20, 100, 400, true },
		{ "draft", BCT_MODEL_DRAFT, 3, 500, 5000, 39, 120000, 20, 4000, 28, 200, 800, true },
		{ "bulk", BCT_MODEL_DRAFT, 5, 300, 30000, 60, 180000, 20, 4000, 28, 150, 600, true },
		{ "status", BCT_MODEL_DESK, 4, 500, 5000, 60, 60000, 20, 300, 2, 100, 300, true },
	},
};

const bct_model_scenario_t bct_model_scenarios[] = {
	{ "nyaymitra-0.7", "0.7 times capacity", { NYAYMITRA, .load_permille = 700 } },
	{ "nyaymitra-1.0", "1.0 times capacity", { NYAYMITRA, .load_permille = 1000 } },
	{ "nyaymitra-1.5", "1.5 times capacity", { NYAYMITRA, .load_permille = 1500 } },
	{ "nyaymitra-3.0", "3 times capacity", { NYAYMITRA, .load_permille = 3000 } },
	{ "harrowgate-0.7", "0.7 times capacity", { HARROWGATE, .load_permille = 700 } },
	{ "harrowgate-1.0", "1.0 times capacity", { HARROWGATE, .load_permille = 1000 } },
	{ "harrowgate-1.5", "1.5 times capacity", { HARROWGATE, .load_permille = 1500 } },
	{ "harrowgate-3.0", "3 times capacity", { HARROWGATE, .load_permille = 3000 } },
	{ "deadline-evening",
	  "drafts come 6 times as often for a minute",
	  { NYAYMITRA, .load_permille = 700, .n_bursts = 1,
	    .bursts = { { BURST_MS, 2, BCT_MODEL_ALL, 6000 } } } },
	{ "cold-snap",
	  "calls and reports come 4 times as often for a minute",
	  { HARROWGATE, .load_permille = 700, .n_bursts = 2,
	    .bursts = { { BURST_MS, 0, BCT_MODEL_ALL, 4000 },
			{ BURST_MS, 1, BCT_MODEL_ALL, 4000 } } } },
	{ "account-burst",
	  "one account sends 20 times its share for a minute",
	  { NYAYMITRA, .load_permille = 700, .account_requests_per_s = 12, .n_bursts = 1,
	    .bursts = { { BURST_MS, BCT_MODEL_ALL, 5, 20000 } } } },
	{ "straggler",
	  "one engine in four runs at a third of its speed",
	  { NYAYMITRA, .load_permille = 700, .n_faults = 1,
	    .faults = { { BCT_MODEL_SLOW, 10000, 400000, 0, 4, 4, 333 } } } },
	{ "crash-in-burst",
	  "three engines crash during a burst and come back after 20 s",
	  { NYAYMITRA, .load_permille = 1000, .n_bursts = 1,
	    .bursts = { { BURST_MS, BCT_MODEL_ALL, BCT_MODEL_ALL, 2000 } }, .n_faults = 1,
	    .faults = { { BCT_MODEL_CRASH, 60000, 80000, 0, 3, 5, 0 } } } },
	{ "late-reports",
	  "engine reports are 2 s old",
	  { NYAYMITRA, .load_permille = 1000, .report_age_ms = 2000 } },
	{ "poison",
	  "a request that crashes engines is sent 50 times",
	  { NYAYMITRA, .load_permille = 700, .poison_sends = 50 } },
	{ "prefix-heavy",
	  "most of each prompt is shared, 8 families of an account and class",
	  { .deployment = &prefix_heavy, .load_permille = 1000 } },
	{ "engine-hang",
	  "two engines stop making progress for 30 s",
	  { NYAYMITRA, .load_permille = 700, .n_faults = 1,
	    .faults = { { BCT_MODEL_HANG, 40000, 70000, 1, 2, 3, 0 } } } },
	{ "limit-in-touch",
	  "one account far over its limit, all nodes in touch",
	  { NYAYMITRA, .load_permille = 700, .account_requests_per_s = 12, .n_bursts = 1,
	    .bursts = { { 20000, 120000, BCT_MODEL_ALL, 5, 20000 } } } },
	{ "limit-partition",
	  "the same, three of seven nodes cut off for 40 s",
	  { NYAYMITRA, .load_permille = 700, .account_requests_per_s = 12, .n_bursts = 1,
	    .bursts = { { 20000, 120000, BCT_MODEL_ALL, 5, 20000 } }, .n_faults = 1,
	    .faults = { { BCT_MODEL_PARTITION, 50000, 90000, 0, 3, 1, 0 } } } },
	{ "limit-node-death",
	  "the same, one of seven nodes dies",
	  { NYAYMITRA, .load_permille = 700, .account_requests_per_s = 12, .n_bursts = 1,
	    .bursts = { { 20000, 120000, BCT_MODEL_ALL, 5, 20000 } }, .n_faults = 1,
	    .faults = { { BCT_MODEL_NODE_DEATH, 50000, 90000, 2, 1, 1, 0 } } } },
};

const uint32_t bct_model_n_scenarios = sizeof(bct_model_scenarios) / sizeof(bct_model_scenarios[0]);

bct_model_opts_t bct_model_scenario_opts(const bct_model_scenario_t *s, uint64_t seed)
{
	bct_model_opts_t o = s->opts;

	o.seed = seed;
	o.nodes = o.nodes ? o.nodes : NODES;
	o.duration_ms = o.duration_ms ? o.duration_ms : DURATION_MS;
	o.report_age_ms = o.report_age_ms ? o.report_age_ms : REPORT_AGE_MS;
	o.cache_event_delay_ms = CACHE_EVENT_DELAY_MS;
	o.cache_event_loss_permille = CACHE_EVENT_LOSS_PERMILLE;
	o.total_delay_ms = TOTAL_DELAY_MS;
	o.max_queued = o.max_queued ? o.max_queued : MAX_QUEUED;
	o.prefix_families = o.prefix_families ? o.prefix_families : PREFIX_FAMILIES;
	return o;
}
