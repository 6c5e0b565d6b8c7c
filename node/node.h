/*
 * node.h - a whole node: wires the library's parts to HTTP, peers and the platform.
 */
#ifndef BCT_NODE_NODE_H
#define BCT_NODE_NODE_H

#include "base/buf.h"
#include "base/event.h"
#include "gen/settings.h"

#include <jansson.h>

typedef struct bct_node bct_node_t;

typedef struct bct_node_opts {
	const bct_settings_t *settings; /* must outlive the node */
	bct_log_t *log;
} bct_node_opts_t;

/* bct_node_new(3): start everything. returns 0 or the first part's error, which was logged. */
int bct_node_new(const bct_node_opts_t *opts, bct_node_t **out);

/*
 * bct_node_drain(3): begin a planned stop. The node leaves the address list at once, serves on for
 * the lifetime of the addresses that were handed out, and finishes what is in flight.
 */
void bct_node_drain(bct_node_t *n);

/* bct_node_drained(3): whether a planned stop has finished; call it now and then. */
bool bct_node_drained(bct_node_t *n);

/* bct_node_free(3): stop at once; what is in flight is refused. */
void bct_node_free(bct_node_t *n);

bool bct_node_ready(bct_node_t *n);

/* bct_node_keys_ready(3): whether the idempotency window has been read; keyed calls wait for it. */
bool bct_node_keys_ready(bct_node_t *n);
uint16_t bct_node_caller_port(const bct_node_t *n);
uint16_t bct_node_admin_port(const bct_node_t *n);
uint16_t bct_node_peer_port(const bct_node_t *n);

/* For the operators' side. */
struct bct_core;
struct bct_core *bct_node_core(bct_node_t *n);
const bct_settings_t *bct_node_settings(const bct_node_t *n);
json_t *bct_node_status(bct_node_t *n);
int bct_node_metrics(bct_node_t *n, bct_buf_t *out);

/*
 * bct_node_key_show(3), bct_node_key_resolve(3): an operator's look at, and word on, a key.
 *
 * account  name of the client account
 * returns  a new JSON object, NULL when the account is not known; 0 or the error of
 *          bct_key_claims_resolve(3)
 */
json_t *bct_node_key_show(bct_node_t *n, const char *account, const char *key);
int bct_node_key_resolve(bct_node_t *n, const char *account, const char *key, bool ran, bool force,
			 const char *author);

/* bct_node_upstream_set_leaving(3): an operator's order to this node. returns 0 or -BCT_ENOT_FOUND.
 */
int bct_node_upstream_set_leaving(bct_node_t *n, const char *name, bool leaving);

#endif
