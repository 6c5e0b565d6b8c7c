/*
 * node_keys.h - connects the core's claims to coord/keys.h.
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
	uint64_t incarnation;
	/* Whether an incarnation is known to be gone; called with a lock of the keys held. */
	bool (*gone)(void *ctx, uint64_t incarnation);
	void *ctx;
} bct_node_keys_opts_t;

/* bct_node_keys_new(3): start, and have the core ask for keys here. */
int bct_node_keys_new(const bct_node_keys_opts_t *opts, bct_node_keys_t **out);

/* bct_node_keys_free(3): the core's workers must have been stopped. */
void bct_node_keys_free(bct_node_keys_t *k);

bct_keys_t *bct_node_keys(bct_node_keys_t *k);

#endif
