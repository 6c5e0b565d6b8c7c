/*
 * generation.h - one generation request of fake-engine: what its body and headers ask for, and how
 * its answer is written.
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
	char attempt[BCT_ATTEMPT_BYTES];
	uint64_t answer_key; /* the prompt's key, unless the answer is crossed */
	const char *finish;
	bool chat;
	bool stream;
	int64_t reset_at; /* token index at which the stream is reset; 0: never */
	bool malformed;	  /* the answer is malformed */
	bool no_done;	  /* the stream ends without [DONE] */
} bct_gen_t;

/* bct_gen_new(3): read a request; NULL when it has no prompt. Release with bct_free(). */
bct_gen_t *bct_gen_new(bct_fake_req_t *req);

/*
 * bct_gen_event(3): write one event of the stream.
 *
 * text  one token; safe inside a JSON string
 * last  whether the event carries finish_reason and usage
 */
void bct_gen_event(const bct_gen_t *g, const char *text, bool last);

/* bct_gen_answer(3): the whole answer of a request that is not streamed; a new reference. */
json_t *bct_gen_answer(const bct_gen_t *g);

#endif
