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

/*
 * bct_registry_sync_read(3): the latest answer of the registry on a topic that is known here;
 * own_only: leave out those that peers advertised.
 */
bct_gate_read_t bct_registry_sync_read(const bct_registry_sync_t *s, bct_registry_topic_t topic,
				       bool own_only);

/* bct_registry_sync_advertises(3): whether this node reads the registry for the others. */
bool bct_registry_sync_advertises(const bct_registry_sync_t *s);

/*
 * bct_registry_sync_confirm(3): find out the upstreams as of a time that is not in the future, by a
 * call of this node unless that was learned already; see bct_registry_sync_as_of(3).
 * bct_registry_sync_as_of(3): the time as of which this node's upstreams are known to be those of
 * the registry; 0: never.
 */
void bct_registry_sync_confirm(bct_registry_sync_t *s, bct_time_t at);
bct_time_t bct_registry_sync_as_of(const bct_registry_sync_t *s);

/*
 * bct_registry_sync_age_ms(3): time since the latest known answer of the registry, to this node or
 * to a peer; on the topic for which it is older.
 */
bct_time_t bct_registry_sync_age_ms(const bct_registry_sync_t *s, bct_time_t now);

/*
 * bct_registry_sync_note_era(3): process an era of the registry that an answer or a peer stated. A
 * higher one than known means that the registry came back from a copy.
 */
void bct_registry_sync_note_era(bct_registry_sync_t *s, uint64_t era, const char *source);

/*
 * bct_registry_sync_apply(3): apply a change; notify_peers: send it to the peers if it is new here.
 *
 * returns  whether it changed an upstream's presence
 */
bool bct_registry_sync_apply(bct_gate_t *g, bct_registry_change_t *c, bool notify_peers);

#endif
