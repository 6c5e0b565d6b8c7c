/*
 * front.h - the callers' HTTP side: checks, authentication, streams, and callers that leave.
 */
#ifndef BCT_NODE_FRONT_H
#define BCT_NODE_FRONT_H

#include "coord/entry.h"
#include "node/core.h"

typedef struct bct_front bct_front_t;

typedef struct bct_front_opts {
	const bct_settings_t *settings;
	bct_core_t *core;
	/* Addresses for GET /v1/entry; domain is the caller's own failure domain or NULL. */
	void (*entries)(void *ctx, const char *domain, bct_entry_list_t *out);
	void *entries_ctx;
} bct_front_opts_t;

/* bct_front_new(3): listen and serve. returns 0, -BCT_EINVAL, -BCT_EIO or -BCT_ENOMEM. */
int bct_front_new(const bct_front_opts_t *opts, bct_front_t **out);

/* bct_front_quiesce(3): stop taking connections; what is open goes on. */
void bct_front_quiesce(bct_front_t *f);

/* bct_front_free(3): close what is left. The core must still be there. */
void bct_front_free(bct_front_t *f);

uint16_t bct_front_port(const bct_front_t *f);

/* bct_front_serving(3): connections that carry a request whose answer is not yet out. */
uint32_t bct_front_serving(const bct_front_t *f);

#endif
