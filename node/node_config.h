/*
 * node_config.h - where a node's configuration comes from: the log and its peers, or a file when
 * the node runs alone with an embedded platform.
 */
#ifndef BCT_NODE_NODE_CONFIG_H
#define BCT_NODE_NODE_CONFIG_H

#include "coord/config_store.h"
#include "node/core.h"
#include "node/node_peer.h"

typedef struct bct_node_config bct_node_config_t;

typedef struct bct_node_config_opts {
	const bct_settings_t *settings;
	bct_log_t *log;
	bct_core_t *core;
	bct_platform_t *platform;
	bct_node_peer_t *peer; /* NULL: the node runs alone */
	uint64_t seed;
} bct_node_config_opts_t;

/* bct_node_config_new(3): nothing is followed before bct_node_config_start(). */
int bct_node_config_new(const bct_node_config_opts_t *opts, bct_node_config_t **out);

/* bct_node_config_start(3): follow the log, or load the file. returns 0 or the file's error. */
int bct_node_config_start(bct_node_config_t *c);
void bct_node_config_free(bct_node_config_t *c);

bct_config_store_t *bct_node_config_store(bct_node_config_t *c);

/* bct_node_config_status(3): a new JSON object. */
json_t *bct_node_config_status(bct_node_config_t *c);

#endif
