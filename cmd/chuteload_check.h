/*
 * chuteload_check.h - compares an answer, as it arrives, with the text that fake-engine generates
 * for its prompt (see standin/answer.h).
 */
#ifndef BCT_CMD_CHUTELOAD_CHECK_H
#define BCT_CMD_CHUTELOAD_CHECK_H

#include "standin/answer.h"

#include <stddef.h>
#include <stdint.h>

typedef enum load_fault {
	LOAD_FAULT_NONE = 0,
	LOAD_FAULT_MISMATCHED, /* a token of another prompt */
	LOAD_FAULT_DISORDERED, /* a token is missing, repeated or out of order */
} load_fault_t;

typedef struct load_check {
	uint64_t prompt_key;		       /* bct_hash() of the prompt */
	uint32_t len;			       /* of the complete answer, in tokens */
	uint32_t index;			       /* complete tokens received */
	uint32_t pos;			       /* bytes of the next token received */
	char expected[BCT_ANSWER_TOKEN_BYTES]; /* text of the next token */
	load_fault_t fault;		       /* the first fault; later text is ignored */
} load_check_t;

/* load_check_init(3): start the check of an answer of len tokens. */
void load_check_init(load_check_t *c, uint64_t prompt_key, uint32_t len);

/*
 * load_check_text(3): check the next bytes of the answer.
 *
 * returns  the number of tokens that these bytes completed
 */
uint32_t load_check_text(load_check_t *c, const char *text, size_t len_bytes);

/*
 * load_check_end(3): the result after the end of the answer.
 *
 * returns  the first fault; LOAD_FAULT_DISORDERED for an answer that is too short
 */
load_fault_t load_check_end(const load_check_t *c);

#endif
