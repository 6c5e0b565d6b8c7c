/*
 * chuteload.h - what the parts of the load tool share.
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
#define LOAD_MAX_SECONDS 4096
#define LOAD_RESEND_MS 50 /* first delay before a call is sent again; grows with each */
#define LOAD_US_PER_MS 1000
#define LOAD_US_PER_S 1000000

/* Lognormal: half of all values lie below the median; sigma 0 gives the median always. */
typedef struct load_dist {
	double median;
	double sigma;
	uint32_t max;
} load_dist_t;

/* From at_ms on, requests arrive at this rate. */
typedef struct load_rate {
	uint32_t at_ms;
	double per_s;
} load_rate_t;

typedef struct load_second {
	uint32_t requests;
	uint32_t met;
} load_second_t;

/* Outcomes of one class. Every request ends in exactly one of the first six. */
typedef struct load_result {
	uint64_t ok;
	uint64_t refused;      /* a typed refusal, not run */
	uint64_t unknown;      /* a typed answer: may have run, or ran */
	uint64_t disconnected; /* the caller left, as the scenario wanted */
	uint64_t lost;	       /* no whole answer and no typed one */
	uint64_t invalid;      /* the audit of the text failed, counted below */
	uint64_t sent;
	uint64_t resent;
	uint64_t
		eligible; /* requests that count for attainment: refused ones too, not those left */
	uint64_t met;	  /* whole and within target */
	uint64_t tokens;
	uint64_t goodput_tokens; /* of requests that met their target */
	uint64_t mismatched;	 /* text of another request */
	uint64_t disordered;	 /* tokens missing, doubled or out of order */
	uint64_t truncated;	 /* a stream that ended without its end */
	uint64_t misreported;	 /* told not run, but it ran */
	uint64_t doubled;	 /* a key that ran more than once */
	json_t *reasons;	 /* refusal reason: count */
	bct_hist_t ttft_us, gap_us, total_us;
	load_second_t seconds[LOAD_MAX_SECONDS];
} load_result_t;

typedef struct load_class {
	char name[LOAD_NAME_BYTES];
	char account[LOAD_NAME_BYTES];
	char token[LOAD_TOKEN_BYTES];
	char class_name[LOAD_NAME_BYTES]; /* sent as Chute-Class */
	char model[LOAD_NAME_BYTES];	  /* empty for a service class */
	char service[LOAD_NAME_BYTES];	  /* path below /v1/services/ */
	uint32_t tier;
	load_rate_t rates[LOAD_MAX_RATE_STEPS];
	uint32_t n_rates;
	load_dist_t prompt_tokens;
	load_dist_t output_tokens;
	uint32_t prefix_groups; /* prompts of one group share their first half; 0: none do */
	bool stream;
	bool keyed; /* each call carries an Idempotency-Key and is sent again when in doubt */
	uint32_t resends;
	uint32_t leave_permille; /* callers that leave before the end */
	uint32_t leave_ms;	 /* and when, at most */
	uint32_t slow_permille;	 /* callers that read slowly */
	uint32_t slow_bytes_per_s;
	uint32_t poison_permille;
	uint32_t ttft_ms; /* targets; 0: none */
	uint32_t itl_ms;
	uint32_t deadline_ms;
	bct_rng_t rng; /* of its own: its requests are the same in each run with this seed */
	load_result_t *result;
} load_class_t;

typedef struct load_addresses {
	char at[LOAD_MAX_ADDRESSES][LOAD_ADDRESS_BYTES]; /* ADDRESS:PORT */
	uint32_t n;
} load_addresses_t;

typedef struct load_scenario {
	char label[LOAD_NAME_BYTES];
	uint64_t seed;
	uint32_t duration_ms;
	uint32_t drain_ms;	  /* how long answers are waited for after the last arrival */
	bool node_dies;		  /* a node is killed: callers start broken streams again */
	bool direct;		  /* drive engines themselves, with the headers of a node */
	load_addresses_t entries; /* nodes that are asked for addresses */
	load_addresses_t nodes;	  /* used as they are when there are no entries */
	load_addresses_t engines; /* for the audit and for wasted work */
	load_addresses_t services;
	load_class_t classes[LOAD_MAX_CLASSES];
	uint32_t n_classes;
} load_scenario_t;

/* What became of a key or a prompt, for the audit after the run. */
typedef struct load_outcome {
	load_class_t *cls;
	uint64_t prompt_key;	 /* of a generation */
	char key[LOAD_ID_BYTES]; /* of a keyed call; empty without */
	bool ok;
	bool not_run;		   /* the last answer said that it was not run */
	bool earlier_may_have_run; /* an earlier sending may have run */
} load_outcome_t;

typedef struct load_run {
	load_scenario_t *sc;
	CURLM *multi;
	uint32_t run_id; /* random: part of all keys and prompts */
	uint64_t start_us;
	uint32_t in_flight;
	load_outcome_t *outcomes;
	uint64_t n_outcomes;
	uint64_t cap_outcomes;
	struct load_entry *entry; /* finds the addresses that requests go to */
	bool audited;		  /* all upstreams answered the audit */
	json_t *engine_stats;	  /* summed over engines after the run */
} load_run_t;

/* chuteload_scenario.c: reads and checks a scenario; returns 0 or a negative error number. */
int load_scenario_read(const char *path, load_scenario_t *sc, bct_json_err_t *err);
void load_scenario_free(load_scenario_t *sc);

/* load_address_add(3): append ADDRESS:PORT; -BCT_EFULL or -BCT_EINVAL. */
int load_address_add(load_addresses_t *a, const char *address);

/* chuteload_dist.c: a sample, at least 1. */
uint32_t load_sample(const load_dist_t *d, bct_rng_t *rng);

/*
 * load_next_arrival(3): time of the arrival after now_us, from the start of the run; UINT64_MAX
 * when the rate stays 0.
 */
uint64_t load_next_arrival(load_class_t *c, uint64_t now_us);

/* load_now_us(3): monotonic microseconds; finer than bct_time_t because it measures latency. */
uint64_t load_now_us(void);

/* chuteload_run.c: sends all requests and waits for their answers. */
int load_run(load_run_t *run);

/*
 * load_entry_new(3): chuteload_entry.c: learn addresses from GET /v1/entry and renew them in a
 * thread of its own before their lifetime is over; without entries, use the nodes as they are.
 *
 * returns  0, -BCT_ENOMEM, -BCT_EUNAVAILABLE when no entry answers
 */
int load_entry_new(const load_scenario_t *sc, struct load_entry **out);
void load_entry_free(struct load_entry *e);

/* load_entry_pick(3): the next address, in turn. */
void load_entry_pick(struct load_entry *e, char out[LOAD_ADDRESS_BYTES]);

/* load_get_json(3): GET http://ADDRESS/PATH; a new reference or NULL. */
json_t *load_get_json(const char *address, const char *path);

/*
 * load_http_call(3): one call, its answer's body copied to a stream as it arrives.
 *
 * body     NULL for GET, else a POST of this text
 * headers  NULL, or lines that end with NULL
 * returns  the HTTP status, or -BCT_EUNAVAILABLE when no whole answer came
 */
int load_http_call(const char *address, const char *path, const char *body,
		   const char *const *headers, FILE *out);

/* chuteload_audit.c: compares what callers were told with what the upstreams counted. */
void load_audit(load_run_t *run);

/* load_passed(3): whether nothing was lost, doubled, misreported, crossed, disordered or cut. */
bool load_passed(const load_run_t *run);

/* chuteload_result.c */
void load_print_table(const load_run_t *run, FILE *out);
json_t *load_result_json(const load_run_t *run);

/* chuteload_html.c: writes one page about result files; returns 0 or a negative error number. */
int load_report_html(const char **result_paths, FILE *out);

#endif
