/*
 * chuteload.h - types and functions shared by the source files of the load tool.
 */
#ifndef BCT_CMD_CHUTELOAD_H
#define BCT_CMD_CHUTELOAD_H

#include "base/buf.h"
#include "base/histogram.h"
#include "base/json.h"
#include "base/rng.h"

#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#define LOAD_NAME_BYTES 64
#define LOAD_TOKEN_BYTES 128
#define LOAD_ADDRESS_BYTES 64
#define LOAD_ID_BYTES 40
#define LOAD_MAX_CLASSES 64
#define LOAD_MAX_RATE_STEPS 64
#define LOAD_MAX_ADDRESSES 512
#define LOAD_MAX_SECONDS 4096 /* seconds of a run that have attainment counters */
#define LOAD_RESEND_MS 50     /* delay of the first resend; grows by this with each attempt */
#define LOAD_US_PER_MS 1000
#define LOAD_US_PER_S 1000000

/*
 * A lognormal distribution of lengths in tokens. sigma is the standard deviation of the logarithm;
 * with sigma 0 every sample is the median.
 */
typedef struct load_dist {
	double median;
	double sigma;
	uint32_t max; /* larger samples are reduced to this; 0: no limit */
} load_dist_t;

/* One step of an arrival rate: in force from at_ms until the next step. */
typedef struct load_rate {
	uint32_t at_ms; /* from the start of the run */
	double per_s;
} load_rate_t;

/* Attainment of the requests that arrived within one second of the run. */
typedef struct load_second {
	uint32_t requests; /* those that count in load_result.eligible */
	uint32_t met;	   /* complete and within target */
} load_second_t;

/* Counters of one class. Every request is counted in exactly one of the first six. */
typedef struct load_result {
	uint64_t ok;	       /* a complete and correct answer */
	uint64_t refused;      /* a typed error which states that the request was not run */
	uint64_t unknown;      /* in doubt: the request may have run, or ran without its answer */
	uint64_t disconnected; /* the caller disconnected early, as the scenario specifies */
	uint64_t lost;	       /* neither a complete answer nor a typed error; see also truncated */
	uint64_t invalid;      /* mismatched, disordered or truncated: see these counters */
	uint64_t sent;	       /* requests, each counted once */
	uint64_t resent;       /* further attempts of these requests */
	/* Requests that count for attainment: refused too; not disconnected, slow or poison. */
	uint64_t eligible;
	uint64_t met;		 /* of the eligible: complete and within target */
	uint64_t tokens;	 /* received, in all attempts */
	uint64_t goodput_tokens; /* of requests that met their target */
	uint64_t mismatched;	 /* answers with the text or key of another request */
	uint64_t disordered;	 /* answers with tokens missing, repeated or out of order */
	uint64_t truncated;	 /* streams that broke off, or lacked [DONE], after a token */
	uint64_t misreported;	 /* reported as not run although it ran, or as done without a run */
	uint64_t doubled;	 /* keys of service calls that ran more than once */
	json_t *reasons;	 /* object: reason of a refusal or doubt to its count */
	bct_hist_t ttft_us, gap_us, total_us;	 /* gap: between tokens; total: complete answers */
	load_second_t seconds[LOAD_MAX_SECONDS]; /* by second of arrival */
} load_result_t;

/* A class of requests: the keys of a scenario's "classes", and its state during the run. */
typedef struct load_class {
	char name[LOAD_NAME_BYTES];
	char account[LOAD_NAME_BYTES];	  /* only copied to the result */
	char token[LOAD_TOKEN_BYTES];	  /* bearer token */
	char class_name[LOAD_NAME_BYTES]; /* sent as Chute-Class; name when not given */
	char model[LOAD_NAME_BYTES];	  /* empty for a service class */
	char service[LOAD_NAME_BYTES];	  /* path below /v1/services/ */
	uint32_t tier;			  /* for reports, and Chute-Priority in direct mode */
	load_rate_t rates[LOAD_MAX_RATE_STEPS];
	uint32_t n_rates;
	load_dist_t prompt_tokens;
	load_dist_t output_tokens;
	uint32_t prefix_groups; /* prompts of a group share their first half; 0: no shared prefix */
	bool stream;
	bool keyed;		   /* calls carry an Idempotency-Key and are resent when in doubt */
	uint32_t resends;	   /* limit per request */
	uint32_t leave_permille;   /* share of callers that disconnect before the end */
	uint32_t leave_ms;	   /* they disconnect at a random time up to this after arrival */
	uint32_t slow_permille;	   /* share of callers that read slowly */
	uint32_t slow_bytes_per_s; /* read rate of a slow caller; 0: no limit */
	uint32_t poison_permille;  /* share of prompts with the marker of a poison request */
	uint32_t ttft_ms;	   /* targets, here and below; 0: none */
	uint32_t itl_ms;	   /* mean gap between tokens */
	uint32_t deadline_ms;
	bct_rng_t rng;	       /* per class: a seed gives the class the same requests in each run */
	load_result_t *result; /* owned */
} load_class_t;

typedef struct load_addresses {
	char at[LOAD_MAX_ADDRESSES][LOAD_ADDRESS_BYTES]; /* ADDRESS:PORT */
	uint32_t n;
} load_addresses_t;

typedef struct load_scenario {
	char label[LOAD_NAME_BYTES];
	uint64_t seed;
	uint32_t duration_ms;
	uint32_t drain_ms; /* how long to wait for answers after duration_ms */
	bool node_dies;	   /* a node is killed during the run: broken streams are resent */
	bool direct;	   /* bypass the nodes: send to engines, with the headers a node sends */
	load_addresses_t entries;  /* nodes to query with GET /v1/entry */
	load_addresses_t nodes;	   /* targets of the requests when there are no entries */
	load_addresses_t engines;  /* to audit, and to count abandoned tokens of */
	load_addresses_t services; /* to audit */
	load_class_t classes[LOAD_MAX_CLASSES];
	uint32_t n_classes;
} load_scenario_t;

/* The outcome of one request, for the audit after the run. */
typedef struct load_outcome {
	load_class_t *cls;
	uint64_t prompt_key;	   /* bct_hash() of the prompt of a generation */
	char key[LOAD_ID_BYTES];   /* of a service call; empty for a generation */
	bool ok;		   /* answered completely and correctly */
	bool not_run;		   /* the last answer stated that the request was not run */
	bool earlier_may_have_run; /* an earlier attempt broke and may have run */
} load_outcome_t;

/* A run and its state. */
typedef struct load_run {
	load_scenario_t *sc;
	CURLM *multi;
	uint32_t run_id;    /* random, part of all keys and prompts: makes them unique to the run */
	uint64_t start_us;  /* as load_now_us() */
	uint32_t in_flight; /* calls not ended, those that wait for a resend too */
	load_outcome_t *outcomes; /* one for each request, in order of arrival */
	uint64_t n_outcomes;
	uint64_t cap_outcomes;
	struct load_entry *entry; /* source of the addresses that requests go to */
	bool audited;		  /* all stand-ins answered the audit */
	json_t *engine_stats;	  /* GET /admin/stats after the run, summed over engines; or NULL */
} load_run_t;

/*
 * load_scenario_read(3): read and validate a scenario file.
 *
 * sc       zeroed by the caller; load_scenario_free(3) frees it, also after a failure
 * err      filled on failure, except for -BCT_ENOMEM
 * returns  0 or a negative error number
 */
int load_scenario_read(const char *path, load_scenario_t *sc, bct_json_err_t *err);
void load_scenario_free(load_scenario_t *sc);

/*
 * load_address_add(3): append an address.
 *
 * address  ADDRESS:PORT; copied
 * returns  0, -BCT_EINVAL for another form, -BCT_EFULL
 */
int load_address_add(load_addresses_t *a, const char *address);

/* load_sample(3): draw from a distribution. returns at least 1. */
uint32_t load_sample(const load_dist_t *d, bct_rng_t *rng);

/*
 * load_next_arrival(3): draw the time of a class's next arrival (Poisson process).
 *
 * now_us   time of the arrival before, from the start of the run
 * returns  the time from the start of the run; UINT64_MAX when the rate is 0 from there on
 */
uint64_t load_next_arrival(load_class_t *c, uint64_t now_us);

/* load_now_us(3): monotonic time in us; bct_time_t is too coarse to measure latencies. */
uint64_t load_now_us(void);

/*
 * load_run(3): send all requests and wait for their answers, at most for the scenario's drain_ms.
 * The results are in the classes, the outcomes in the run; the caller frees run->outcomes.
 *
 * returns  0, -BCT_EIO, or the failure of load_entry_new(3)
 */
int load_run(load_run_t *run);

/*
 * load_entry_new(3): get addresses from GET /v1/entry and renew them in a background thread after
 * half of their lifetime. Without entries in the scenario, use its nodes.
 *
 * out      also set after a failure, once memory was allocated: free it in any case
 * returns  0, -BCT_ENOMEM, -BCT_EUNAVAILABLE when no entry answers or there is no node
 */
int load_entry_new(const load_scenario_t *sc, struct load_entry **out);
void load_entry_free(struct load_entry *e);

/* load_entry_pick(3): copy the next address, round robin. Thread-safe. */
void load_entry_pick(struct load_entry *e, char out[LOAD_ADDRESS_BYTES]);

/*
 * load_get_json(3): GET a JSON document.
 *
 * path     with a leading slash
 * returns  a new reference; NULL on any failure or a status other than 200
 */
json_t *load_get_json(const char *address, const char *path);

/*
 * load_http_call(3): make one HTTP call and copy the body of the answer to a stream as it arrives.
 *
 * path     with a leading slash
 * body     text to POST; NULL for GET
 * headers  NULL, or header lines, ended by NULL
 * returns  the HTTP status, -BCT_ENOMEM, or -BCT_EUNAVAILABLE when no complete answer came
 */
int load_http_call(const char *address, const char *path, const char *body,
		   const char *const *headers, FILE *out);

/*
 * load_audit(3): compare the answers with the counters of the stand-in engines and services. Adds
 * to the classes' misreported and doubled; sets run->audited and run->engine_stats.
 */
void load_audit(load_run_t *run);

/*
 * load_passed(3): whether the audit was complete and no request was lost, doubled, misreported,
 * mismatched, disordered or truncated.
 */
bool load_passed(const load_run_t *run);

/* load_print_table(3): print a line for each class, the engines' counters and the audit. */
void load_print_table(const load_run_t *run, FILE *out);

/* load_result_json(3): the result as JSON, for load_report_html(3). returns a new reference. */
json_t *load_result_json(const load_run_t *run);

/*
 * load_report_html(3): write one HTML page about result files, side by side.
 *
 * result_paths  up to 8, ended by NULL
 * returns       0, -BCT_EFULL for more files, -BCT_EIO, or why a file could not be read
 */
int load_report_html(const char **result_paths, FILE *out);

#endif
