/*
 * delivery.h - whether what was written to a connection has reached its peer. An answer without a
 * length ends with its connection. If the peer closes that while it is still being written to, the
 * end seems orderly at first, and a reset follows as soon as more bytes arrive there.
 */
#ifndef BCT_GATE_DELIVERY_H
#define BCT_GATE_DELIVERY_H

#include <event2/bufferevent.h>

#define BCT_DELIVERY_CHECK_MS 10 /* between two looks at one that is pending */

typedef enum bct_delivery {
	BCT_DELIVERY_WHOLE = 0, /* the peer has acknowledged all output */
	BCT_DELIVERY_PENDING,
	BCT_DELIVERY_RESET, /* the connection was reset */
} bct_delivery_t;

/* bct_delivery(3): returns the state of what was written to a connection. If the kernel does not
 * tell, that is whole when nothing waits to be written. */
bct_delivery_t bct_delivery(struct bufferevent *bev);

#endif
