/*
 * chuteload_check.h - compares an answer with the text that the engine must generate for its
 * prompt, as the text arrives.
 */
#ifndef BCT_CMD_CHUTELOAD_CHECK_H
#define BCT_CMD_CHUTELOAD_CHECK_H

#include "standin/answer.h"

#include <stddef.h>
#include <stdint.h>

typedef enum load_fault {
	LOAD_FAULT_NONE = 0,
	LOAD_FAULT_MISMATCHED, /* the token of another prompt */
	LOAD_FAULT_DISORDERED, /* a token is missing, doubled or out of order */
} load_fault_t;

typedef struct load_check {
	uint64_t prompt_key;
	uint32_t len;	/* tokens expected */
	uint32_t index; /* tokens seen whole */
	uint32_t pos;	/* bytes of the next token seen */
	char expected[BCT_ANSWER_TOKEN_BYTES];
	load_fault_t fault; /* the first one seen */
} load_check_t;

void load_check_init(load_check_t *c, uint64_t prompt_key, uint32_t len);

/* load_check_text(3): take the next bytes of the answer. returns the tokens that became whole. */
uint32_t load_check_text(load_check_t *c, const char *text, size_t len_bytes);

/* load_check_end(3): the answer is over: whether it was whole. */
load_fault_t load_check_end(const load_check_t *c);

#endif
