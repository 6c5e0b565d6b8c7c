/*
 * registry_sync.h - keeps the gateway's routes and upstreams in step with the registry: calls it on
 * a thread of its own and applies the changes that peers send.
 */
#ifndef BCT_GATE_REGISTRY_SYNC_H
#define BCT_GATE_REGISTRY_SYNC_H

#include "gate/gate_int.h"
#include "policy/gate_poll.h"

int bct_registry_sync_new(bct_gate_t *g, bct_registry_sync_t **out);
void bct_registry_sync_free(bct_registry_sync_t *s);

/*
 * bct_registry_sync_stop(3): start no more calls; one in progress continues. Updates from peers are
 * still applied.
 */
void bct_registry_sync_stop(bct_registry_sync_t *s);

/* bct_registry_sync_tick(3): start the calls that are due. Call it periodically. */
void bct_registry_sync_tick(bct_registry_sync_t *s);

/* bct_registry_sync_peer_versions(3): process the versions that a peer has sent. */
void bct_registry_sync_peer_versions(bct_registry_sync_t *s, const bct_gate_peer_versions_t *h);

/* bct_registry_sync_answered_at(3): when the registry last answered this node; 0: never. */
bct_time_t bct_registry_sync_answered_at(const bct_registry_sync_t *s);

/*
 * bct_registry_sync_age_ms(3): time since the registry last answered this node or the peer that
 * reported the latest answer.
 */
bct_time_t bct_registry_sync_age_ms(const bct_registry_sync_t *s, bct_time_t now);

/* bct_registry_sync_apply(3): apply a change; notify_peers: send it to the peers if it is new here.
 */
void bct_registry_sync_apply(bct_gate_t *g, bct_registry_change_t *c, bool notify_peers);

#endif
