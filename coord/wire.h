/*
 * wire.h - peer datagrams: an ONC RPC header, an envelope, the body of schema/peer.x and a MAC.
 *
 * The MAC (BLAKE2b-128, keyed by the shared secret) covers all bytes before it. Each datagram names
 * the incarnations of its sender and of its receiver and carries a sequence number that the sender
 * never uses twice. A receiver accepts only what was sealed for its own incarnation, once; so what
 * was recorded before the receiver started can't be played to it. Datagrams for incarnation 0 (a
 * first contact) are marked, and must not change any state.
 */
#ifndef BCT_COORD_WIRE_H
#define BCT_COORD_WIRE_H

#include "coord/addr.h"
#include "gen/peer.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BCT_DATAGRAM_BYTES 1200 /* fits any path without fragments */
#define BCT_WIRE_OVERHEAD_BYTES 84
#define BCT_WIRE_BODY_BYTES (BCT_DATAGRAM_BYTES - BCT_WIRE_OVERHEAD_BYTES)
#define BCT_MAC_BYTES 16

typedef struct bct_wire bct_wire_t;

/* A receiver: where and as whom it is known; incarnation 0 when that is not known yet. */
typedef struct bct_dest {
	bct_addr_t addr;
	uint64_t incarnation;
} bct_dest_t;

/*
 * Where the protocol machines put what they send. Calls return without waiting; a reply comes back
 * through the machine's receive function with the xid of its call.
 */
typedef struct bct_outbox bct_outbox_t;
typedef struct bct_outbox_ops {
	void (*call)(bct_outbox_t *o, const bct_dest_t *to, uint32_t xid, peer_call *call);
	void (*reply)(bct_outbox_t *o, const bct_dest_t *to, uint32_t xid, peer_reply *reply);
} bct_outbox_ops_t;
struct bct_outbox {
	const bct_outbox_ops_t *ops;
};

/* A datagram that was accepted. */
typedef struct bct_wire_msg {
	uint64_t from;
	uint64_t to; /* own incarnation, or another one: see bct_wire_open() */
	uint32_t xid;
	bool is_reply;
	union {
		peer_call call;
		peer_reply reply;
	} u;
} bct_wire_msg_t;

/*
 * bct_wire_new(3): codec state of one node.
 *
 * incarnation  own, not 0
 * secret       shared by all nodes, at least 16 bytes
 * returns      0, -BCT_EINVAL or -BCT_ENOMEM
 */
int bct_wire_new(uint64_t incarnation, const void *secret, size_t secret_bytes, bct_wire_t **out);
void bct_wire_free(bct_wire_t *w);

/*
 * bct_wire_call(3), bct_wire_reply(3): seal a call or a reply.
 *
 * out      BCT_DATAGRAM_BYTES of room
 * returns  bytes written, or -BCT_ETOO_LARGE
 */
int bct_wire_call(bct_wire_t *w, uint64_t to, uint32_t xid, peer_call *call, uint8_t *out);
int bct_wire_reply(bct_wire_t *w, uint64_t to, uint32_t xid, peer_reply *reply, uint8_t *out);

/*
 * bct_wire_open(3): check and decode a datagram. A PING for another incarnation than our own is
 * accepted, so that its sender can be told who answers at this address; all else for others is not.
 *
 * out      release with bct_wire_msg_free() after a return of 0
 * returns  0; -BCT_EAUTH (MAC or receiver); -BCT_EREPLAY; -BCT_ECODEC; -BCT_ENOMEM
 */
int bct_wire_open(bct_wire_t *w, const uint8_t *data, size_t len_bytes, bct_wire_msg_t *out);
void bct_wire_msg_free(bct_wire_msg_t *msg);

#endif
