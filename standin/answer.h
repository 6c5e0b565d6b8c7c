/*
 * answer.h - the text that fake-engine generates: a function of the prompt and the token's index
 * alone, so that a load tool can tell whether an answer is whole, in order and its caller's own.
 */
#ifndef BCT_STANDIN_ANSWER_H
#define BCT_STANDIN_ANSWER_H

#include "base/hash.h"

#include <inttypes.h>
#include <stdio.h>

#define BCT_ANSWER_TOKEN_BYTES 32
#define BCT_ANSWER_LEN_MARKER "[[len="
#define BCT_ANSWER_POISON_MARKER "[[poison]]"
#define BCT_ANSWER_DEFAULT_TOKENS 16
#define BCT_PROMPT_BYTES_PER_TOKEN 4

/*
 * bct_answer_token(3): text of one token.
 *
 * prompt_key  bct_hash() of the prompt's text; of a chat, of all contents one after another
 * index       token index in the whole answer, from 0
 */
static inline void bct_answer_token(uint64_t prompt_key, uint32_t index,
				    char out[BCT_ANSWER_TOKEN_BYTES])
{
	uint32_t h = (uint32_t)bct_hash_mix(prompt_key, index);

	snprintf(out, BCT_ANSWER_TOKEN_BYTES, " t%" PRIu32 "-%08" PRIx32, index, h);
}

#endif
