/*
 * feed.h - the registry as the gateway follows it: own calls on a thread, and what peers tell.
 */
#ifndef BCT_GATE_REGISTRY_SYNC_H
#define BCT_GATE_REGISTRY_SYNC_H

#include "gate/gate_int.h"
#include "policy/gate_follow.h"

int bct_registry_sync_new(bct_gate_t *g, bct_registry_sync_t **out);
void bct_registry_sync_free(bct_registry_sync_t *f);

/* bct_registry_sync_stop(3): start no more calls; one that runs goes on. The peers' news still
 * count. */
void bct_registry_sync_stop(bct_registry_sync_t *f);

/* bct_registry_sync_tick(3): called often; starts the calls that are due. */
void bct_registry_sync_tick(bct_registry_sync_t *f);

/* bct_registry_sync_peer_versions(3): a peer told its versions. */
void bct_registry_sync_peer_versions(bct_registry_sync_t *f, const bct_gate_heard_t *h);

/* bct_registry_sync_answered_at(3): when the registry last answered this node; 0: never. */
bct_time_t bct_registry_sync_answered_at(const bct_registry_sync_t *f);

/* bct_registry_sync_age_ms(3): age of what this node knows of the registry, by itself or from a
 * peer. */
bct_time_t bct_registry_sync_age_ms(const bct_registry_sync_t *f, bct_time_t now);

/* bct_registry_sync_apply(3): take in one change; tell: pass it on to the peers if it is news here.
 */
void bct_registry_sync_apply(bct_gate_t *g, bct_registry_change_t *c, bool tell);

#endif
