/*
 * front.h - HTTP interface for callers: request checks, authentication, streamed answers and
 * detection of callers that disconnect.
 */
#ifndef BCT_NODE_FRONT_H
#define BCT_NODE_FRONT_H

#include "coord/entry.h"
#include "node/core.h"

typedef struct bct_front bct_front_t;

typedef struct bct_front_opts {
	const bct_settings_t *settings;
	bct_core_t *core;
	/* Fills the addresses for GET /v1/entry; domain is the caller's failure domain or NULL. */
	void (*entries)(void *ctx, const char *domain, bct_entry_list_t *out);
	void *entries_ctx;
} bct_front_opts_t;

/*
 * bct_front_new(3): listen on caller.address and caller.port and serve in caller.threads threads.
 * opts is copied; settings and core must outlive the front.
 *
 * returns  0, -BCT_EINVAL (not an IP address), -BCT_EIO (cannot listen) or -BCT_ENOMEM
 */
int bct_front_new(const bct_front_opts_t *opts, bct_front_t **out);

/* bct_front_quiesce(3): stop accepting connections; open connections continue. */
void bct_front_quiesce(bct_front_t *f);

/* bct_front_free(3): close the remaining connections. Call before the core is freed. */
void bct_front_free(bct_front_t *f);

/* bct_front_port(3): the port that it listens on. */
uint16_t bct_front_port(const bct_front_t *f);

/* bct_front_serving(3): connections with a complete request whose exchange has not ended. */
uint32_t bct_front_serving(const bct_front_t *f);

#endif
