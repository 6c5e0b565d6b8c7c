/*
 * node_keys.h - implements the core's claim operations (bct_claim_ops_t) with coord/keys.h.
 */
#ifndef BCT_NODE_NODE_KEYS_H
#define BCT_NODE_NODE_KEYS_H

#include "coord/keys.h"
#include "node/core.h"

typedef struct bct_node_keys bct_node_keys_t;

typedef struct bct_node_keys_opts {
	const bct_settings_t *settings;
	bct_core_t *core;
	bct_platform_t *platform;
	bct_log_t *log;
	uint64_t incarnation; /* of this node's process */
	/* Whether an incarnation is known to have ended; called with a key stream's lock held. */
	bool (*incarnation_ended)(void *ctx, uint64_t incarnation);
	void *ctx;
} bct_node_keys_opts_t;

/* bct_node_keys_new(3): start, and register with the core. returns 0 or a negative error. */
int bct_node_keys_new(const bct_node_keys_opts_t *opts, bct_node_keys_t **out);

/* bct_node_keys_free(3): stop. The core's workers must have been stopped before. */
void bct_node_keys_free(bct_node_keys_t *k);

/* bct_node_keys(3): the underlying keys; owned by k. */
bct_keys_t *bct_node_keys(bct_node_keys_t *k);

#endif
