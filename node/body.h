/*
 * body.h - validates the body of a completion request and builds the body sent to an engine.
 */
#ifndef BCT_NODE_BODY_H
#define BCT_NODE_BODY_H

#include "base/buf.h"
#include "policy/conf.h"
#include "policy/reason.h"
#include "policy/sched.h"

#include <stdbool.h>
#include <stddef.h>

typedef struct bct_body {
	char model[BCT_NAME_BYTES];
	bool stream;
	uint32_t prompt_tokens;	    /* estimate */
	uint32_t max_output_tokens; /* 0: not given */
	uint64_t digest;	    /* of the body in upstream */
	uint64_t session_key;	    /* hash of the field user; 0: not given */
	uint8_t n_prefix;
	uint64_t prefix[BCT_PREFIX_MAX]; /* as in bct_req_desc_t */
	bct_buf_t upstream;		 /* the body for an engine, always with stream set */
	char field[64];			 /* the invalid field, for BAD_FIELD */
} bct_body_t;

/*
 * bct_body_parse(3): parse and validate a body. Free body with bct_body_free(3) in any case.
 *
 * chat     true: a chat completion (messages); false: a plain completion (prompt)
 * returns  BCT_REFUSE_NONE, BCT_REFUSE_BAD_JSON, BCT_REFUSE_BAD_FIELD (body->field names the
 *          field) or BCT_REFUSE_INTERNAL
 */
bct_refuse_t bct_body_parse(const char *text, size_t len_bytes, bool chat, bct_body_t *body);
void bct_body_free(bct_body_t *body);

#endif
