/*
 * node_config.h - loads a node's configuration from the log and its peers, or from a file when the
 * node runs alone with an embedded platform.
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
	uint64_t seed;	       /* of random delays */
} bct_node_config_opts_t;

/* bct_node_config_new(3): the log is not read before bct_node_config_start(). */
int bct_node_config_new(const bct_node_config_opts_t *opts, bct_node_config_t **out);

/* bct_node_config_start(3): follow the log, or load the file. returns 0 or the file's error. */
int bct_node_config_start(bct_node_config_t *c);
void bct_node_config_free(bct_node_config_t *c);

/* bct_node_config_store(3): the underlying store; owned by c. */
bct_config_store_t *bct_node_config_store(bct_node_config_t *c);

/* bct_node_config_status(3): returns a new JSON object. */
json_t *bct_node_config_status(bct_node_config_t *c);

#endif
