/*
 * relay.h - a node that reaches no upstream of a service sends the requests of its callers through
 * another node: one hop, never two.
 *
 * The other node, the helper, takes the request on a port of its own from nodes that know the
 * secret of the fleet, and treats it as that of a caller: it judges, counts and retries it. The
 * node that relays only passes on; a request that a helper may have run is not sent again. What a
 * helper answers itself says in a header whether the request has run.
 */
#ifndef BCT_GATE_RELAY_H
#define BCT_GATE_RELAY_H

#include "gate/gate_int.h"

/* bct_relay_new(3): returns 0 or -BCT_ENOMEM. */
int bct_relay_new(bct_gate_t *g, bct_relay_t **out);
void bct_relay_free(bct_relay_t *r);

/* bct_relay_tick(3): drop what has expired; to be called periodically. */
void bct_relay_tick(bct_relay_t *r);

/*
 * bct_relay_send(3): send x through a helper, if this node reaches no upstream of its service.
 *
 * last_resort  also if it may reach some, as no attempt at one connected
 * returns      false if it is not sent: it did not arrive at its caller's node, or there is no
 * helper
 */
bool bct_relay_send(bct_exchange_t *x, bool last_resort);

/*
 * bct_relay_send_to_owner(3): send x through a node that may send to a brittle upstream of its
 * service, as this one may not now. returns as bct_relay_send(3)
 */
bool bct_relay_send_to_owner(bct_exchange_t *x);

/*
 * bct_relay_head(3): a helper's answer begins. If it is the helper's own, acts on it.
 *
 * returns  whether it was; x may be freed then
 */
bool bct_relay_head(bct_exchange_t *x);

/* bct_relay_failed(3): the connection to the helper failed; another one is preferred for a while.
 */
void bct_relay_failed(bct_exchange_t *x);

/*
 * bct_relay_accept(3): a request arrived from another node: takes over what it says of the request.
 *
 * returns  false if it was not sent by a node of the fleet
 */
bool bct_relay_accept(bct_exchange_t *x, const bct_http_msg_t *m);

#endif
