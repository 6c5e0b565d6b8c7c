/*
 * chuteload_check.c - checks the text of an answer against its prompt, token by token.
 */
#include "cmd/chuteload_check.h"

#include <stdlib.h>
#include <string.h>

void load_check_init(load_check_t *c, uint64_t prompt_key, uint32_t len)
{
	*c = (load_check_t){ .prompt_key = prompt_key, .len = len };
	bct_answer_token(prompt_key, 0, c->expected);
}

/*
 * Called at the first wrong byte. Reads the index from the token received: if its hash is the one
 * of this prompt at that index, the token is this prompt's but in the wrong place; another hash
 * means another prompt. Text that does not look like a token counts as disordered.
 */
static load_fault_t classify(const load_check_t *c, const char *text, size_t len_bytes)
{
	char copy[2 * BCT_ANSWER_TOKEN_BYTES], at_index[BCT_ANSWER_TOKEN_BYTES], *dash;
	size_t n = c->pos + len_bytes < sizeof(copy) - 1 ? len_bytes : sizeof(copy) - 1 - c->pos;
	uint32_t index;

	memcpy(copy, c->expected, c->pos);
	memcpy(copy + c->pos, text, n);
	copy[c->pos + n] = '\0';
	dash = strchr(copy, '-');
	if (strncmp(copy, " t", 2) != 0 || !dash)
		return LOAD_FAULT_DISORDERED;
	index = (uint32_t)strtoul(copy + 2, NULL, 10);
	bct_answer_token(c->prompt_key, index, at_index);
	return strncmp(copy, at_index, strlen(at_index)) == 0 ? LOAD_FAULT_DISORDERED
							      : LOAD_FAULT_MISMATCHED;
}

uint32_t load_check_text(load_check_t *c, const char *text, size_t len_bytes)
{
	uint32_t complete = 0;

	for (size_t i = 0; i < len_bytes && c->fault == LOAD_FAULT_NONE; i++) {
		if (c->index >= c->len) {
			c->fault = LOAD_FAULT_DISORDERED;
		} else if (text[i] != c->expected[c->pos]) {
			c->fault = classify(c, text + i, len_bytes - i);
		} else if (c->expected[++c->pos] == '\0') {
			c->pos = 0;
			complete++;
			bct_answer_token(c->prompt_key, ++c->index, c->expected);
		}
	}
	return complete;
}

load_fault_t load_check_end(const load_check_t *c)
{
	if (c->fault == LOAD_FAULT_NONE && (c->index != c->len || c->pos != 0))
		return LOAD_FAULT_DISORDERED;
	return c->fault;
}
