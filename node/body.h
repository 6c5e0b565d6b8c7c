/*
 * body.h - checks a caller's completion request and makes the body that an engine gets.
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
	uint64_t digest;
	uint64_t session_key;
	uint8_t n_prefix;
	uint64_t prefix[BCT_PREFIX_MAX];
	bct_buf_t upstream; /* the body for an engine, always streaming */
	char field[64];	    /* the field at fault */
} bct_body_t;

/*
 * bct_body_parse(3): check a body.
 *
 * chat     whether it is a chat completion (messages) or a plain one (prompt)
 * returns  BCT_REFUSE_NONE, or BAD_JSON, BAD_FIELD (body->field names it), INTERNAL
 */
bct_refuse_t bct_body_parse(const char *text, size_t len_bytes, bool chat, bct_body_t *body);
void bct_body_free(bct_body_t *body);

#endif
