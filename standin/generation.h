/*
 * generation.h - one generation request of fake-engine: parses its body and headers and formats its
 * answer.
 */
#ifndef BCT_STANDIN_GENERATION_H
#define BCT_STANDIN_GENERATION_H

#include "standin/answer.h"
#include "standin/batch.h"
#include "standin/standin.h"

#define BCT_ATTEMPT_BYTES 17

/* One generation request; lives as long as its HTTP request. */
typedef struct bct_gen {
	bct_job_t job;
	bct_fake_req_t *req;
	char attempt[BCT_ATTEMPT_BYTES]; /* attempt id to answer with; empty: none */
	uint64_t answer_key; /* the prompt's key; differs when the answer is to be mismatched */
	const char *finish;  /* finish_reason */
	bool chat;	     /* chat completion, not text completion */
	bool stream;
	int64_t reset_at; /* reset the stream after this many tokens of this attempt; 0: never */
	bool malformed;	  /* send a malformed answer */
	bool no_done;	  /* end the stream without [DONE] */
} bct_gen_t;

/* bct_gen_new(3): parse a request; NULL when it has no prompt. Release with bct_free(). */
bct_gen_t *bct_gen_new(bct_fake_req_t *req);

/*
 * bct_gen_event(3): send one event of the stream.
 *
 * text  one token; inserted in a JSON string without escaping
 * last  add finish_reason and usage
 */
void bct_gen_event(const bct_gen_t *g, const char *text, bool last);

/* bct_gen_answer(3): the complete answer to a request that is not streamed; a new reference. */
json_t *bct_gen_answer(const bct_gen_t *g);

#endif
