/*
 * node_config.h - where a node's configuration comes from.
 */
#ifndef BCT_NODE_NODE_CONFIG_H
#define BCT_NODE_NODE_CONFIG_H

#include "node/core.h"

typedef struct bct_node_config bct_node_config_t;

typedef struct bct_node_config_opts {
	const bct_settings_t *settings;
	bct_log_t *log;
	bct_core_t *core;
} bct_node_config_opts_t;

int bct_node_config_new(const bct_node_config_opts_t *opts, bct_node_config_t **out);
void bct_node_config_free(bct_node_config_t *c);

#endif
