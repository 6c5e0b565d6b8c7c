/*
 * upstream_socket.h - the socket of a connection to an upstream.
 */
#ifndef BCT_GATE_UPSTREAM_SOCKET_H
#define BCT_GATE_UPSTREAM_SOCKET_H

#include "policy/gate_upstreams.h"

#include <event2/bufferevent.h>

#define BCT_UPSTREAM_USER_TIMEOUT_MS 1500 /* output unacknowledged for this long ends it */

/*
 * bct_upstream_connect(3): open a socket for bev, which has none, and start to connect.
 *
 * rcvbuf_bytes  what the kernel receives ahead; 0: its own sizes
 * returns       0, -BCT_EINVAL, -BCT_EIO or -BCT_EUNAVAILABLE
 */
int bct_upstream_connect(struct bufferevent *bev, const bct_gate_entry_t *to,
			 uint32_t rcvbuf_bytes);

#endif
