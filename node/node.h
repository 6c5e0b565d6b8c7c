/*
 * node.h - a complete node: connects the library's parts to HTTP, the peers and the platform.
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

/*
 * bct_node_new(3): start all parts.
 *
 * returns  0 or the error of the first part that failed; a failure to listen is logged here
 */
int bct_node_new(const bct_node_opts_t *opts, bct_node_t **out);

/*
 * bct_node_reload(3): apply the settings that can change while the node runs: the log level and the
 * seeds. The others are ignored.
 *
 * s        is only read during the call
 * returns  0, or -BCT_EINVAL if a seed is no address; nothing has changed then
 */
int bct_node_reload(bct_node_t *n, const bct_settings_t *s);

/*
 * bct_node_drain(3): begin a planned stop. The node leaves the entry address list at once, serves
 * requests until the lifetime of the addresses handed out before has passed, and completes what is
 * in flight.
 */
void bct_node_drain(bct_node_t *n);

/*
 * bct_node_drained(3): whether a planned stop has finished. It also advances the stop, so call it
 * periodically.
 */
bool bct_node_drained(bct_node_t *n);

/* bct_node_free(3): stop at once; requests in flight are refused. */
void bct_node_free(bct_node_t *n);

/* bct_node_ready(3): whether the node has a configuration, has started and is not draining. */
bool bct_node_ready(bct_node_t *n);

/*
 * bct_node_keys_ready(3): whether the idempotency window was read. Until then keyed calls are
 * refused.
 */
bool bct_node_keys_ready(bct_node_t *n);
uint16_t bct_node_caller_port(const bct_node_t *n);
uint16_t bct_node_admin_port(const bct_node_t *n);
uint16_t bct_node_peer_port(const bct_node_t *n);

/* For the operators' interface. */
struct bct_core;
struct bct_core *bct_node_core(bct_node_t *n);
const bct_settings_t *bct_node_settings(const bct_node_t *n);
json_t *bct_node_status(bct_node_t *n);
int bct_node_metrics(bct_node_t *n, bct_buf_t *out);

/*
 * bct_node_key_show(3), bct_node_key_resolve(3): show the state of an idempotency key, and set the
 * outcome of a key in doubt on behalf of an operator.
 *
 * account  name of the client account
 * ran, force, author
 *          as in bct_key_claims_resolve(3)
 * returns  show: a new JSON object, NULL until the node has started or without memory; resolve: 0,
 *          -BCT_ESTATE until the node has started, or the error of bct_key_claims_resolve(3)
 */
json_t *bct_node_key_show(bct_node_t *n, const char *account, const char *key);
int bct_node_key_resolve(bct_node_t *n, const char *account, const char *key, bool ran, bool force,
			 const char *author);

/*
 * bct_node_upstream_set_leaving(3): on behalf of an operator, stop or resume sending new work of
 * this node to an upstream.
 *
 * returns  0 or -BCT_ENOT_FOUND
 */
int bct_node_upstream_set_leaving(bct_node_t *n, const char *name, bool leaving);

#endif
