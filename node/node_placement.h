/*
 * node_placement.h - the placement reconciler: the node that holds the lease orders engines to load
 * models until their state matches the configuration.
 */
#ifndef BCT_NODE_NODE_PLACEMENT_H
#define BCT_NODE_NODE_PLACEMENT_H

#include "coord/lease_service.h"
#include "node/core.h"

#include <jansson.h>

typedef struct bct_node_placement bct_node_placement_t;

typedef struct bct_node_placement_opts {
	const bct_settings_t *settings;
	bct_core_t *core;
	bct_platform_t *platform;
	bct_log_t *log;
	uint64_t incarnation;
} bct_node_placement_opts_t;

/* bct_node_placement_new(3): start the thread and the lease. returns 0 or a negative error. */
int bct_node_placement_new(const bct_node_placement_opts_t *opts, bct_node_placement_t **out);
void bct_node_placement_free(bct_node_placement_t *p);

/* bct_node_placement_leave(3): release the lease for good; for a planned stop. */
void bct_node_placement_leave(bct_node_placement_t *p);

/* bct_node_placement_status(3): returns a new JSON object. */
json_t *bct_node_placement_status(bct_node_placement_t *p);

#endif
