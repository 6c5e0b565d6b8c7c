/*
 * model_load.h - the requests of a scenario, made before the run, so that every scheduler and the
 * clairvoyant bound see the same ones.
 */
#ifndef BCT_BENCH_MODEL_LOAD_H
#define BCT_BENCH_MODEL_LOAD_H

#include "bench/model.h"

#define BCT_MODEL_CALLER_TIMEOUT_MS 60000 /* of a caller whose class has no deadline */

typedef enum bct_model_state {
	BCT_MODEL_NOT_SENT, /* not sent yet */
	BCT_MODEL_WAITING,  /* the scheduler has it, no attempt runs */
	BCT_MODEL_RUNNING,
	BCT_MODEL_ANSWERED,
	BCT_MODEL_REFUSED,
	BCT_MODEL_DISCONNECTED,
	BCT_MODEL_NODE_LOST, /* its node died */
} bct_model_state_t;

typedef struct bct_model_req {
	bct_req_desc_t desc;
	uint32_t class_idx;
	uint32_t account_idx;
	uint32_t node; /* that the caller connects to */
	uint32_t output_tokens;
	uint32_t shared_tokens; /* of the prompt, also in other prompts */
	bool poison;
	/* State of the run. */
	bct_model_state_t state;
	bct_refuse_t refuse;
	bool caller_gone;
	bool cancelled_over_lower; /* it was cancelled while lower-tier work ran on the same engine
				    */
	uint64_t attempt_id;
	uint32_t engine;
	uint32_t resume_tokens;
	uint32_t delivered; /* tokens that the caller has */
	uint32_t runs;	    /* attempts that an engine started */
	bct_time_t first_token_at;
	bct_time_t ended_at;
	bct_time_t dispatched_at;
	bct_time_t progress_at;
} bct_model_req_t;

typedef struct bct_model_load {
	bct_model_req_t *reqs; /* by arrival; poison requests after the first stand at the end */
	uint32_t n;
	uint32_t n_scheduled; /* those with an arrival time of their own */
	uint32_t cap;
} bct_model_load_t;

/* returns 0 or -BCT_ENOMEM */
int bct_model_load_generate(const bct_model_opts_t *o, bct_model_load_t *out);
void bct_model_load_free(bct_model_load_t *l);

/* bct_model_caller_timeout_ms(3): when the caller gives up, from arrival, milliseconds. */
bct_time_t bct_model_caller_timeout_ms(const bct_model_class_t *k);

/*
 * bct_model_latest_finish(3): the last moment at which the final token still meets the targets of
 * the class; the first token may come as late as its target and each other one itl_ms after it.
 */
bct_time_t bct_model_latest_finish(const bct_model_class_t *k, const bct_model_req_t *r);

#endif
