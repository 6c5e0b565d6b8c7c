/*
 * model.h - a driver around the schedulers in virtual time, with a small engine model.
 *
 * Node schedulers take one seeded stream of arrivals and give work to model engines. Engine
 * reports and cache events arrive late, facts between nodes are summed and come back with a
 * delay, and faults happen at stated times. The same options give the same arrivals to every
 * scheduler. Nothing here reads a clock.
 */
#ifndef BCT_BENCH_MODEL_H
#define BCT_BENCH_MODEL_H

#include "policy/sched.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_MODEL_TICK_MS 10
#define BCT_MODEL_CLASSES_MAX 8
#define BCT_MODEL_ACCOUNTS_MAX 800
#define BCT_MODEL_NODES_MAX 16
#define BCT_MODEL_FAULTS_MAX 8
#define BCT_MODEL_BURSTS_MAX 4
#define BCT_MODEL_ALL UINT32_MAX

/* The two pools of engines in each deployment. */
typedef enum bct_model_pool {
	BCT_MODEL_DRAFT,
	BCT_MODEL_DESK,
	BCT_MODEL_POOLS,
} bct_model_pool_t;

/* A class of the deployment's contracts and the work that its callers send. */
typedef struct bct_model_class {
	const char *name;
	bct_model_pool_t pool;
	uint8_t tier;
	uint32_t share_permille; /* of the pool's output tokens at load 1.0 */
	uint32_t ttft_ms;
	uint32_t itl_ms;
	uint32_t deadline_ms;
	uint32_t floor_permille;
	uint32_t prompt_tokens; /* mean */
	uint32_t prefix_blocks; /* leading blocks shared within a session family */
	uint32_t output_tokens; /* mean, exponential, cut at max_output_tokens */
	uint32_t max_output_tokens;
	bool repeatable;
} bct_model_class_t;

/* One of the brief's deployments, or a made-up one. */
typedef struct bct_model_deployment {
	const char *name;
	uint32_t failure_domains;
	uint32_t engines[BCT_MODEL_POOLS];
	uint32_t accounts;
	uint32_t n_classes;
	bct_model_class_t classes[BCT_MODEL_CLASSES_MAX];
} bct_model_deployment_t;

typedef enum bct_model_fault_type {
	BCT_MODEL_CRASH = 1,  /* engines lose all streams and come back at until */
	BCT_MODEL_SLOW,	      /* engines run at permille of their speed */
	BCT_MODEL_HANG,	      /* engines make no progress, silently */
	BCT_MODEL_NODE_DEATH, /* nodes vanish and come back empty at until */
	BCT_MODEL_PARTITION,  /* nodes below first + count are cut off from the others */
} bct_model_fault_type_t;

typedef struct bct_model_fault {
	bct_model_fault_type_t type;
	bct_time_t at;
	bct_time_t until;
	uint32_t first; /* index of the first engine or node */
	uint32_t count;
	uint32_t step; /* every step-th index; 0 is 1 */
	uint32_t permille;
} bct_model_fault_t;

/* More arrivals of some classes or accounts for a while. */
typedef struct bct_model_burst {
	bct_time_t at;
	bct_time_t until;
	uint32_t class_idx; /* BCT_MODEL_ALL: every class */
	uint32_t account_idx;
	uint32_t permille; /* of the rate without a burst */
} bct_model_burst_t;

typedef struct bct_model_opts {
	const bct_model_deployment_t *deployment;
	uint64_t seed;
	uint32_t nodes;
	uint32_t load_permille; /* of the engines' output capacity */
	bct_time_t duration_ms; /* arrivals stop here; the run goes on until all have ended */
	uint32_t report_age_ms;
	uint32_t cache_event_delay_ms;
	uint32_t cache_event_loss_permille;
	uint32_t total_delay_ms;	 /* of facts between nodes; at most one second */
	uint32_t max_queued;		 /* on a node */
	uint32_t account_requests_per_s; /* contract limit; 0: none that matters */
	uint32_t account_concurrent;	 /* contract limit; 0: none that matters */
	uint32_t prefix_families;	 /* of each account and class */
	uint32_t poison_sends;		 /* how often one poison request is sent */
	uint32_t n_faults;
	bct_model_fault_t faults[BCT_MODEL_FAULTS_MAX];
	uint32_t n_bursts;
	bct_model_burst_t bursts[BCT_MODEL_BURSTS_MAX];
} bct_model_opts_t;

typedef struct bct_model_class_result {
	uint32_t requests;
	uint32_t answered; /* whole */
	uint32_t met;	   /* whole and within every target of the class */
	uint32_t refused;
	uint32_t left; /* the caller gave up */
	uint32_t cut;  /* lost with its node */
} bct_model_class_result_t;

/* Breaches of what must always hold; each counts events and should be 0. */
#define BCT_MODEL_BREACH_LIST(DEF)                                          \
	DEF(TOKEN_GAP, "an attempt resumed past what the caller has")       \
	DEF(INCOMPLETE, "an answer ended before its last token")            \
	DEF(LOST, "a request on a live node never ended")                   \
	DEF(RAN_TWICE, "a request that may not be repeated ran twice")      \
	DEF(MISREPORTED, "a caller was told not_run of a request that ran") \
	DEF(AFTER_END, "an action named a request that had ended")          \
	DEF(BAD_ACTION, "an action did not fit the state of its request")   \
	DEF(WRONG_UPSTREAM, "new work went to an upstream that does not serve it")

typedef enum bct_model_breach {
#define DEF(name, text) BCT_MODEL_BREACH_##name,
	BCT_MODEL_BREACH_LIST(DEF)
#undef DEF
		BCT_MODEL_BREACH_COUNT,
} bct_model_breach_t;

typedef struct bct_model_result {
	bct_model_class_result_t classes[BCT_MODEL_CLASSES_MAX];
	bct_model_class_result_t burst; /* of accounts in a burst beyond their limit */
	uint32_t refused[BCT_REFUSE_COUNT];
	uint32_t retried[BCT_RETRY_COUNT];
	uint32_t breaches[BCT_MODEL_BREACH_COUNT];
	uint64_t generated_tokens;
	uint64_t wasted_tokens; /* generated, but not part of a whole answer */
	uint64_t good_tokens;	/* of answers that met every target */
	uint64_t prefilled_tokens;
	uint64_t cached_tokens; /* of prompts, found in a prefix cache */
	bct_time_t lowest_tier_wait_ms;
	uint32_t inversions;
	uint32_t starved;
	uint32_t poison_crashes;
	uint32_t bystanders_refused; /* refused as poison_request, though not poison */
	int32_t overshoot_permille;  /* worst account over any 10 s; below 0: under the limit */
	int32_t concurrent_overshoot_permille;
	bct_time_t ended_ms;
} bct_model_result_t;

typedef int (*bct_model_sched_new_t)(const bct_sched_opts_t *opts, bct_sched_t **out);

/*
 * bct_model_run(3): run one scenario to its end with schedulers made by make.
 *
 * opts     the scenario
 * make     bct_sched_new or bct_naive_new
 * trace    called for each decision, or NULL
 * out      what happened
 * returns  0, -BCT_ENOMEM or -BCT_EINVAL
 */
int bct_model_run(const bct_model_opts_t *opts, bct_model_sched_new_t make,
		  void (*trace)(void *ctx, const bct_trace_t *t), void *trace_ctx,
		  bct_model_result_t *out);

/* What no scheduler can exceed on a scenario; docs/MEASUREMENTS.md says how it is computed. */
typedef struct bct_model_bound {
	uint64_t good_tokens;
	bool fits[BCT_MODEL_CLASSES_MAX]; /* own and higher tiers' demand fits the capacity */
} bct_model_bound_t;

/*
 * bct_model_bound(3): the clairvoyant upper bound on good tokens.
 *
 * returns  0, -BCT_ENOMEM or -BCT_EINVAL
 */
int bct_model_bound(const bct_model_opts_t *opts, bct_model_bound_t *out);

/* bct_model_breach_text(3): what a breach means. */
const char *bct_model_breach_text(bct_model_breach_t b);

#endif
