/*
 * notice.h - processes what upstreams state about themselves in their answers, to this node or to
 * its peers.
 */
#ifndef BCT_GATE_NOTICE_H
#define BCT_GATE_NOTICE_H

#include "gate/gate_int.h"

/* bct_notices_new(3): returns 0 or -BCT_ENOMEM. */
int bct_notices_new(bct_gate_t *g, bct_notices_t **out);
void bct_notices_free(bct_notices_t *s);

/* bct_notice_tell(3): send to all nodes what an upstream has just stated to this one. */
void bct_notice_tell(bct_gate_t *g, const bct_gate_upstream_t *u);

/* bct_notice_received(3): process the statements of the answer to an attempt of this node. */
void bct_notice_received(bct_exchange_t *x, const bct_gate_notice_t *n);

/*
 * bct_notice_limit_reported(3), bct_notice_leaving_reported(3): process the report of a peer.
 *
 * from     incarnation of the peer
 * returns  whether it is news that other nodes may lack
 */
bool bct_notice_limit_reported(bct_gate_t *g, bct_gate_upstream_t *u,
			       const bct_gate_limit_report_t *r, uint64_t from);
bool bct_notice_leaving_reported(bct_gate_t *g, bct_gate_upstream_t *u, uint64_t from);

/* bct_notice_assign_limits(3): compute this node's part of each limit; call it periodically. */
void bct_notice_assign_limits(bct_gate_t *g);

/* bct_notice_assign(3): computes this node's part of what an upstream accepts. */
void bct_notice_assign(bct_gate_t *g, bct_gate_upstream_t *u);

#endif
