/*
 * node_peer.h - connects a node's core to its peers: membership, fleet totals, engine reports, and
 * the transfer of configurations.
 */
#ifndef BCT_NODE_NODE_PEER_H
#define BCT_NODE_NODE_PEER_H

#include "coord/config_store.h"
#include "coord/peer.h"
#include "node/core.h"

#include <jansson.h>

typedef struct bct_node_peer bct_node_peer_t;

typedef struct bct_node_peer_opts {
	const bct_settings_t *settings;
	bct_core_t *core;
	bct_platform_t *platform;
	bct_log_t *log;
	uint64_t incarnation;
	uint16_t caller_port;
	uint16_t admin_port;
} bct_node_peer_opts_t;

/* bct_node_peer_new(3): open the socket; nothing is sent before bct_node_peer_start(). */
int bct_node_peer_new(const bct_node_peer_opts_t *opts, bct_node_peer_t **out);

/* bct_node_peer_start(3): join the fleet, and exchange configurations between peers and store. */
int bct_node_peer_start(bct_node_peer_t *p, bct_config_store_t *store);

/* bct_node_peer_stop(3): stop the threads; no callback is made after it returns. */
void bct_node_peer_stop(bct_node_peer_t *p);
void bct_node_peer_free(bct_node_peer_t *p);

/* bct_node_peer_set_seeds(3): use the seeds of other settings. returns 0 or -BCT_EINVAL. */
int bct_node_peer_set_seeds(bct_node_peer_t *p, const bct_settings_t *s);

/* bct_node_peer_adopted(3): advertise the configuration that is now in force on this node. */
void bct_node_peer_adopted(bct_node_peer_t *p, const bct_conf_t *conf);

/* bct_node_peer_incarnation_ended(3): whether an incarnation is dead or not a known member. */
bool bct_node_peer_incarnation_ended(bct_node_peer_t *p, uint64_t incarnation);

/* bct_node_peer(3): the underlying peer; owned by p. */
bct_peer_t *bct_node_peer(bct_node_peer_t *p);

/* bct_node_peer_status(3): returns a new JSON list of the members. */
json_t *bct_node_peer_status(bct_node_peer_t *p);

#endif
