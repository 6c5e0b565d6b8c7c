/*
 * wire.h - peer datagrams: an ONC RPC header, an envelope, the body of schema/peer.x and a MAC.
 *
 * The MAC (BLAKE2b-128, keyed by a hash of the shared secret) covers all bytes before it. Each
 * datagram names the incarnations of its sender and of its receiver, and carries a sequence number
 * that the sender never uses twice. A receiver accepts a datagram only if it was sealed for its own
 * incarnation, and only once. So a datagram recorded before the receiver started cannot be replayed
 * to it. A PING to incarnation 0 (first contact) or to another incarnation is accepted too; the
 * caller recognises it by bct_wire_msg_t.to and must not change any state because of it.
 */
#ifndef BCT_COORD_WIRE_H
#define BCT_COORD_WIRE_H

#include "coord/addr.h"
#include "gen/peer.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BCT_DATAGRAM_BYTES 1200	   /* fits the MTU of any path without fragmentation */
#define BCT_WIRE_OVERHEAD_BYTES 84 /* call header, envelope, kind of body, MAC */
#define BCT_WIRE_BODY_BYTES (BCT_DATAGRAM_BYTES - BCT_WIRE_OVERHEAD_BYTES)
#define BCT_MAC_BYTES 16

typedef struct bct_wire bct_wire_t;

/* A receiver; incarnation is 0 when it is not known yet. */
typedef struct bct_dest {
	bct_addr_t addr;
	uint64_t incarnation;
} bct_dest_t;

/*
 * Interface by which the protocol state machines send. Both functions return without waiting; a
 * reply arrives through the machine's receive function with the xid of its call.
 */
typedef struct bct_outbox bct_outbox_t;
typedef struct bct_outbox_ops {
	void (*call)(bct_outbox_t *o, const bct_dest_t *to, uint32_t xid, peer_call *call);
	void (*reply)(bct_outbox_t *o, const bct_dest_t *to, uint32_t xid, peer_reply *reply);
} bct_outbox_ops_t;
struct bct_outbox {
	const bct_outbox_ops_t *ops;
};

/* An accepted datagram. */
typedef struct bct_wire_msg {
	uint64_t from;
	uint64_t to; /* this node's incarnation, or another one: see bct_wire_open() */
	uint32_t xid;
	bool is_reply;
	union {
		peer_call call;
		peer_reply reply;
	} u;
} bct_wire_msg_t;

/*
 * bct_wire_new(3): create the codec state of one node.
 *
 * incarnation  of this node, not 0
 * secret       shared by all nodes, at least 16 bytes
 * returns      0, -BCT_EINVAL (also if libsodium fails to start) or -BCT_ENOMEM
 */
int bct_wire_new(uint64_t incarnation, const void *secret, size_t secret_bytes, bct_wire_t **out);
void bct_wire_free(bct_wire_t *w);

/*
 * bct_wire_call(3), bct_wire_reply(3): encode and seal a call or a reply.
 *
 * to       incarnation of the receiver, 0 when it is not known yet
 * xid      transaction id; that of the call in a reply
 * out      BCT_DATAGRAM_BYTES of room
 * returns  bytes written, or -BCT_ETOO_LARGE
 */
int bct_wire_call(bct_wire_t *w, uint64_t to, uint32_t xid, peer_call *call, uint8_t *out);
int bct_wire_reply(bct_wire_t *w, uint64_t to, uint32_t xid, peer_reply *reply, uint8_t *out);

/*
 * bct_wire_open(3): verify and decode a datagram. A PING for another incarnation than this node's
 * is accepted, so that the reply can tell its sender which node has this address now. Anything else
 * for another incarnation is refused.
 *
 * out      release with bct_wire_msg_free() after a return of 0
 * returns  0; -BCT_EAUTH (wrong MAC, sender or receiver); -BCT_EREPLAY (sequence number used or too
 *          old); -BCT_ECODEC (malformed); -BCT_ENOMEM
 */
int bct_wire_open(bct_wire_t *w, const uint8_t *data, size_t len_bytes, bct_wire_msg_t *out);
void bct_wire_msg_free(bct_wire_msg_t *msg);

#endif
