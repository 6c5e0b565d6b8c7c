/*
 * model.h - simulates a fleet of node schedulers and model engines in virtual time.
 *
 * The schedulers of all nodes receive one seeded stream of arrivals and dispatch to model engines.
 * Engine reports, cache events and totals between nodes arrive with a delay, and faults happen at
 * configured times. The same options give the same arrivals to every scheduler implementation.
 * The simulation never reads a clock.
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
#define BCT_MODEL_ALL UINT32_MAX /* in a burst: every class, or every account */

/* The two engine pools of each deployment; each serves one model, by which it is named. */
typedef enum bct_model_pool {
	BCT_MODEL_DRAFT,
	BCT_MODEL_DESK,
	BCT_MODEL_POOLS,
} bct_model_pool_t;

/* A request class of the contracts, and the size and rate of the requests that it receives. */
typedef struct bct_model_class {
	const char *name;
	bct_model_pool_t pool;
	uint8_t tier;		 /* 1 is the highest */
	uint32_t share_permille; /* arrivals at load 1.0, of the pool's output capacity */
	uint32_t ttft_ms;	 /* target for the time to the first token */
	uint32_t itl_ms;	 /* target for the mean inter-token gap */
	uint32_t deadline_ms;	 /* for the complete answer; 0: none */
	uint32_t floor_permille; /* capacity reserved against starvation */
	uint32_t prompt_tokens;	 /* mean */
	uint32_t prefix_blocks;	 /* leading blocks shared within a session family */
	uint32_t output_tokens;	 /* exponential with this mean before the cap below */
	uint32_t max_output_tokens;
	bool repeatable; /* may be executed more than once */
} bct_model_class_t;

/* Engines, accounts and classes of a simulated deployment. */
typedef struct bct_model_deployment {
	const char *name;
	uint32_t failure_domains;
	uint32_t engines[BCT_MODEL_POOLS];
	uint32_t accounts;
	uint32_t n_classes;
	bct_model_class_t classes[BCT_MODEL_CLASSES_MAX];
} bct_model_deployment_t;

typedef enum bct_model_fault_type {
	BCT_MODEL_CRASH = 1,  /* engines lose all streams and restart at until */
	BCT_MODEL_SLOW,	      /* engines run at permille of their speed */
	BCT_MODEL_HANG,	      /* engines make no progress but keep their connections */
	BCT_MODEL_NODE_DEATH, /* nodes die and restart without state at until */
	BCT_MODEL_PARTITION,  /* nodes with an index below count are isolated from the others */
} bct_model_fault_type_t;

/* A fault during [at, until). */
typedef struct bct_model_fault {
	bct_model_fault_type_t type;
	bct_time_t at;
	bct_time_t until;
	uint32_t first; /* index of the first engine or node */
	uint32_t count;
	uint32_t step;	   /* distance between two affected indices; 0 means 1 */
	uint32_t permille; /* speed under BCT_MODEL_SLOW */
} bct_model_fault_t;

/* A changed arrival rate of a class, an account or both during [at, until). */
typedef struct bct_model_burst {
	bct_time_t at;
	bct_time_t until;
	uint32_t class_idx;   /* or BCT_MODEL_ALL */
	uint32_t account_idx; /* or BCT_MODEL_ALL */
	uint32_t permille;    /* of the rate without a burst */
} bct_model_burst_t;

typedef struct bct_model_opts {
	const bct_model_deployment_t *deployment;
	uint64_t seed;
	uint32_t nodes;
	uint32_t load_permille; /* offered load in permille of the engines' output capacity */
	bct_time_t duration_ms; /* arrivals stop here; the run continues until all have ended */
	uint32_t report_age_ms; /* delay of engine reports */
	uint32_t cache_event_delay_ms;
	uint32_t cache_event_loss_permille;
	uint32_t total_delay_ms;	 /* of totals between nodes; at most 1000 */
	uint32_t max_queued;		 /* per node */
	uint32_t account_requests_per_s; /* contract limit; 0: unlimited */
	uint32_t account_concurrent;	 /* contract limit; 0: unlimited */
	uint32_t prefix_families;	 /* session families per account and class */
	uint32_t poison_sends;		 /* of one request that crashes engines */
	uint32_t n_faults;
	bct_model_fault_t faults[BCT_MODEL_FAULTS_MAX];
	uint32_t n_bursts;
	bct_model_burst_t bursts[BCT_MODEL_BURSTS_MAX];
} bct_model_opts_t;

typedef struct bct_model_class_result {
	uint32_t requests;
	uint32_t answered; /* completely */
	uint32_t met;	   /* completely, within every target of the class */
	uint32_t refused;
	uint32_t disconnected; /* the caller gave up after its timeout */
	uint32_t node_lost;    /* the node died before the answer was complete */
} bct_model_class_result_t;

/* Violated invariants of the schedulers. Each is counted and should be 0. */
#define BCT_MODEL_BREACH_LIST(DEF)                                                        \
	DEF(TOKEN_GAP, "an attempt resumed past the tokens that the caller has received") \
	DEF(INCOMPLETE, "an answer ended before its last token")                          \
	DEF(LOST, "a request on a live node never ended")                                 \
	DEF(RAN_TWICE, "a request that may not be repeated ran twice")                    \
	DEF(MISREPORTED, "a refusal said not_run, but the request had run")               \
	DEF(AFTER_END, "an action was for a request that had ended")                      \
	DEF(BAD_ACTION, "an action was invalid in the state of its request")              \
	DEF(WRONG_UPSTREAM, "a dispatch named an upstream that does not serve the model")

typedef enum bct_model_breach {
#define DEF(name, text) BCT_MODEL_BREACH_##name,
	BCT_MODEL_BREACH_LIST(DEF)
#undef DEF
		BCT_MODEL_BREACH_COUNT,
} bct_model_breach_t;

typedef struct bct_model_result {
	bct_model_class_result_t classes[BCT_MODEL_CLASSES_MAX];
	/* Requests of accounts whose burst exceeds their limit; they are not in classes. */
	bct_model_class_result_t burst;
	uint32_t refused[BCT_REFUSE_COUNT];
	uint32_t retried[BCT_RETRY_COUNT]; /* dispatches by reason; index 0: first attempts */
	uint32_t breaches[BCT_MODEL_BREACH_COUNT];
	uint64_t generated_tokens;
	uint64_t wasted_tokens; /* generated, but not part of a complete answer */
	uint64_t good_tokens;	/* output tokens of answers that met every target */
	uint64_t prefilled_tokens;
	uint64_t cached_tokens;		/* prompt tokens found in a prefix cache, not prefilled */
	bct_time_t lowest_tier_wait_ms; /* longest, to the first token or to the end without one */
	uint32_t inversions; /* requests shed, refused or preempted before a lower tier */
	uint32_t starved;    /* classes with enough requests to detect it, but no complete answer */
	uint32_t poison_crashes;
	uint32_t bystanders_refused; /* refused as poison_request although they crash nothing */
	int32_t overshoot_permille;  /* worst account in any 10 s; negative: under its limit */
	int32_t concurrent_overshoot_permille; /* of running attempts; as above */
	bct_time_t ended_ms;
} bct_model_result_t;

/* A constructor of schedulers: bct_sched_new(3) or bct_naive_new(3). */
typedef int (*bct_model_sched_new_t)(const bct_sched_opts_t *opts, bct_sched_t **out);

/*
 * bct_model_run(3): simulate one scenario until all its requests have ended.
 *
 * opts       the scenario
 * make       creates the scheduler of each node
 * trace      called with each record of the decision trace, or NULL
 * trace_ctx  first argument of trace
 * out        set to the results
 * returns    0, -BCT_EINVAL for invalid options, -BCT_ENOMEM, or another error of a scheduler
 */
int bct_model_run(const bct_model_opts_t *opts, bct_model_sched_new_t make,
		  void (*trace)(void *ctx, const bct_trace_t *t), void *trace_ctx,
		  bct_model_result_t *out);

/* Limits that no scheduler can exceed in a scenario; docs/MEASUREMENTS.md describes them. */
typedef struct bct_model_bound {
	uint64_t good_tokens;
	/* Whether the capacity suffices for the tier of the class and all higher ones. */
	bool fits[BCT_MODEL_CLASSES_MAX];
} bct_model_bound_t;

/*
 * bct_model_bound(3): compute the clairvoyant upper bound on good tokens.
 *
 * opts     the scenario
 * out      set to the bound
 * returns  0, -BCT_ENOMEM or -BCT_EINVAL
 */
int bct_model_bound(const bct_model_opts_t *opts, bct_model_bound_t *out);

/* bct_model_breach_text(3): describe a violated invariant for a report. */
const char *bct_model_breach_text(bct_model_breach_t b);

#endif
