/*
 * share.h - tells the other gateways what this one has placed on upstreams, and listens to them.
 *
 * One datagram to each live node at an interval that grows with their number, so that a node's
 * traffic for it is bounded. Lost datagrams are replaced by the next.
 */
#ifndef BCT_GATE_SHARE_H
#define BCT_GATE_SHARE_H

#include "gate/gate_int.h"

/* bct_share_new(3): open the socket. returns 0, -BCT_EINVAL, -BCT_EIO or -BCT_ENOMEM. */
int bct_share_new(bct_gate_t *g, bct_share_t **out);
void bct_share_free(bct_share_t *s);

/* A shared prompt part that was sent to an upstream. */
typedef struct bct_share_placement {
	uint64_t segment;
	uint64_t upstream_key;
	uint32_t ready_ms; /* until the upstream has read it */
	bool was_cached;   /* it was there before */
} bct_share_placement_t;

/* bct_share_add_placement(3): tell the other nodes of a placement with the next round. */
void bct_share_add_placement(bct_share_t *s, const bct_share_placement_t *p);

/*
 * bct_share_add_crash(3): an upstream's connection broke under the request with this digest, or,
 * with BCT_CRASH_ANSWERED, it was answered well. Told with the next rounds.
 */
void bct_share_add_crash(bct_share_t *s, uint64_t digest, uint32_t upstream);

/* bct_share_interval_ms(3): between two rounds; s may be NULL. */
uint32_t bct_share_interval_ms(const bct_share_t *s);
/* bct_share_versions_interval_ms(3): between two words of a reader of the registry; s may be NULL.
 */
uint32_t bct_share_versions_interval_ms(const bct_share_t *s);

/* bct_share_registry_change(3): tell all nodes at once of a change that the registry told this one.
 */
void bct_share_registry_change(bct_share_t *s, const bct_registry_change_t *c);

#endif
