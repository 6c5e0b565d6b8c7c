/*
 * util_config.h - small configuration documents and change records for tests.
 */
#ifndef BCT_TESTS_UTIL_CONFIG_H
#define BCT_TESTS_UTIL_CONFIG_H

#include "coord/config.h"
#include "coord/platform.h"

/* A valid document whose model "m" has a context of so many tokens. */
json_t *util_doc(uint32_t context_tokens);

/* A change record that turns the state's document into util_doc(context_tokens). */
void util_change(const bct_config_state_t *base, uint32_t context_tokens, uint64_t id,
		 bct_buf_t *out);

/* Appends such a record; returns what the platform said. */
int util_append_change(bct_platform_t *p, const bct_config_state_t *base, uint32_t context_tokens,
		       uint64_t id);

/* Context of model "m" in a configuration; 0 when there is none. */
uint32_t util_context(const bct_conf_t *conf);

#endif
