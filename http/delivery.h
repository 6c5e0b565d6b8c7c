/*
 * delivery.h - whether what was written to a connection has reached its peer. An answer without a
 * length ends with its connection. If the peer closes that while it is still being written to, the
 * end seems orderly at first, and a reset follows as soon as more bytes arrive there.
 */
#ifndef BCT_HTTP_DELIVERY_H
#define BCT_HTTP_DELIVERY_H

typedef enum bct_delivery {
	BCT_DELIVERY_WHOLE = 0, /* the peer has acknowledged all that was written */
	BCT_DELIVERY_PENDING,
	BCT_DELIVERY_RESET, /* the connection was reset */
} bct_delivery_t;

/* bct_delivery(3): returns the state of what was written to a socket; whole if the kernel does not
 * tell. */
bct_delivery_t bct_delivery(int fd);

#endif
