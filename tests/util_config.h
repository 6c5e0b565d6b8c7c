/*
 * util_config.h - small configuration documents and change records for tests.
 */
#ifndef BCT_TESTS_UTIL_CONFIG_H
#define BCT_TESTS_UTIL_CONFIG_H

#include "coord/config.h"
#include "coord/platform.h"

/* Returns a valid document whose model "m" has the given context size. */
json_t *util_doc(uint32_t context_tokens);

/* Encodes a change that turns the document of base into util_doc(context_tokens). */
void util_change(const bct_config_state_t *base, uint32_t context_tokens, uint64_t id,
		 bct_buf_t *out);

/* Appends such a change to the log; returns the result of bct_platform_append(3). */
int util_append_change(bct_platform_t *p, const bct_config_state_t *base, uint32_t context_tokens,
		       uint64_t id);

/* Returns the context size of model "m" in tokens; 0 if the model does not exist. */
uint32_t util_context(const bct_conf_t *conf);

#endif
