/*
 * answer.h - the text that fake-engine generates. It depends on the prompt and the token's index
 * only, so that a load tool can check that an answer is complete, in order and of its own request.
 */
#ifndef BCT_STANDIN_ANSWER_H
#define BCT_STANDIN_ANSWER_H

#include "base/hash.h"

#include <inttypes.h>
#include <stdio.h>

#define BCT_ANSWER_TOKEN_BYTES 32
#define BCT_ANSWER_LEN_MARKER "[[len="	      /* in a prompt: tokens of its answer follow */
#define BCT_ANSWER_POISON_MARKER "[[poison]]" /* in a prompt: crashes the engine */
#define BCT_ANSWER_DEFAULT_TOKENS 16	      /* length of an answer without a marker */
#define BCT_PROMPT_BYTES_PER_TOKEN 4

/*
 * bct_answer_token(3): generate the text of one token.
 *
 * prompt_key  bct_hash() of the prompt's text; for a chat, of the concatenated message contents
 * index       token index in the complete answer, from 0
 */
static inline void bct_answer_token(uint64_t prompt_key, uint32_t index,
				    char out[BCT_ANSWER_TOKEN_BYTES])
{
	uint32_t h = (uint32_t)bct_hash_mix(prompt_key, index);

	snprintf(out, BCT_ANSWER_TOKEN_BYTES, " t%" PRIu32 "-%08" PRIx32, index, h);
}

#endif
