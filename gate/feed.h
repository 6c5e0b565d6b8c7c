/*
 * feed.h - the registry as the gateway follows it: own calls on a thread, and what peers tell.
 */
#ifndef BCT_GATE_FEED_H
#define BCT_GATE_FEED_H

#include "gate/gate_int.h"
#include "policy/gate_poll.h"

int bct_feed_new(bct_gate_t *g, bct_feed_t **out);
void bct_feed_free(bct_feed_t *f);

/* bct_feed_halt(3): start no more calls; one that runs goes on. The peers' news still count. */
void bct_feed_halt(bct_feed_t *f);

/* bct_feed_tick(3): called often; starts the calls that are due. */
void bct_feed_tick(bct_feed_t *f);

/* bct_feed_heard(3): a peer told its versions. */
void bct_feed_heard(bct_feed_t *f, const bct_gate_peer_versions_t *h);

/* bct_feed_answered_at(3): when the registry last answered this node; 0: never. */
bct_time_t bct_feed_answered_at(const bct_feed_t *f);

/* bct_feed_age_ms(3): age of what this node knows of the registry, by itself or from a peer. */
bct_time_t bct_feed_age_ms(const bct_feed_t *f, bct_time_t now);

/* bct_feed_apply(3): take in one change; tell: pass it on to the peers if it is news here. */
void bct_feed_apply(bct_gate_t *g, bct_registry_change_t *c, bool tell);

#endif
