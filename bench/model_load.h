/*
 * model_load.h - the requests of a scenario. They are generated before the run, so that all
 * schedulers and the clairvoyant bound get the same ones.
 */
#ifndef BCT_BENCH_MODEL_LOAD_H
#define BCT_BENCH_MODEL_LOAD_H

#include "bench/model.h"

#define BCT_MODEL_CALLER_TIMEOUT_MS 60000 /* for a class without a deadline */

typedef enum bct_model_state {
	BCT_MODEL_NOT_SENT,
	BCT_MODEL_WAITING, /* the scheduler has it; no attempt runs */
	BCT_MODEL_RUNNING,
	BCT_MODEL_ANSWERED, /* this state and all following ones are final */
	BCT_MODEL_REFUSED,
	BCT_MODEL_DISCONNECTED, /* the caller gave up */
	BCT_MODEL_NODE_LOST,	/* its node died */
} bct_model_state_t;

typedef struct bct_model_req {
	bct_req_desc_t desc;
	uint32_t class_idx;
	uint32_t account_idx;
	uint32_t node; /* index of the node that the caller connects to */
	uint32_t output_tokens;
	uint32_t shared_tokens; /* of the prompt; the prefix common to its session family */
	bool poison;		/* crashes engines */
	/* Changed by the run. */
	bct_model_state_t state;
	bct_refuse_t refuse; /* reason, in BCT_MODEL_REFUSED */
	bool caller_disconnected;
	bool cancelled_over_lower; /* when last cancelled, a lower tier ran on the same engine */
	uint64_t attempt_id;	   /* of the last attempt, as engine and resume_tokens */
	uint32_t engine;
	uint32_t resume_tokens;
	uint32_t delivered; /* output tokens that the caller has received */
	uint32_t runs;	    /* attempts that an engine started */
	bct_time_t first_token_at;
	bct_time_t ended_at;
	bct_time_t dispatched_at;
	bct_time_t progress_at; /* last dispatch or token */
} bct_model_req_t;

typedef struct bct_model_load {
	bct_model_req_t *reqs; /* by arrival; poison requests after the first are at the end */
	uint32_t n;
	uint32_t n_scheduled; /* requests with a fixed arrival time */
	uint32_t cap;
} bct_model_load_t;

/*
 * bct_model_load_generate(3): generate all requests of a scenario.
 *
 * returns  0 or -BCT_ENOMEM
 */
int bct_model_load_generate(const bct_model_opts_t *o, bct_model_load_t *out);
void bct_model_load_free(bct_model_load_t *l);

/* bct_model_caller_timeout_ms(3): how long after arrival a caller gives up. */
bct_time_t bct_model_caller_timeout_ms(const bct_model_class_t *k);

/*
 * bct_model_latest_finish(3): return the latest time of the last token that meets the targets of
 * the class: the first token is due ttft_ms after arrival and each further one itl_ms after the one
 * before, all within the timeout of the caller.
 */
bct_time_t bct_model_latest_finish(const bct_model_class_t *k, const bct_model_req_t *r);

#endif
