/*
 * wire.c - peer datagrams: RPC headers and bodies with libtirpc's XDR, the MAC with libsodium.
 */
#include "coord/wire.h"
#include "base/err.h"
#include "base/mem.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define WINDOW_BITS 1024 /* datagrams of one sender may be reordered by less than this */
#define WINDOW_WORDS (WINDOW_BITS / 64)
#define SENDERS_MAX 4096 /* replay windows in memory; a power of two */
#define SECRET_BYTES_MIN 16

/* Replay window of one sender. Bit i of `seen` is for sequence numbers i modulo WINDOW_BITS. */
typedef struct sender {
	uint64_t incarnation;
	uint64_t highest;
	uint64_t used; /* value of bct_wire_t.uses at the last use, for LRU eviction */
	uint64_t seen[WINDOW_WORDS];
} sender_t;

struct bct_wire {
	uint64_t incarnation;
	uint64_t seq;  /* of the last datagram sealed */
	uint64_t uses; /* counts uses of windows */
	uint8_t key[crypto_generichash_KEYBYTES];
	sender_t *senders;
	uint32_t n_senders;
	uint32_t cap_senders;
};

int bct_wire_new(uint64_t incarnation, const void *secret, size_t secret_bytes, bct_wire_t **out)
{
	bct_wire_t *w;

	*out = NULL;
	if (!incarnation || secret_bytes < SECRET_BYTES_MIN || sodium_init() < 0)
		return -BCT_EINVAL;
	w = bct_alloc(sizeof(*w));
	if (!w)
		return -BCT_ENOMEM;
	w->incarnation = incarnation;
	crypto_generichash(w->key, sizeof(w->key), secret, secret_bytes, NULL, 0);
	*out = w;
	return 0;
}

void bct_wire_free(bct_wire_t *w)
{
	if (!w)
		return;
	sodium_memzero(w->key, sizeof(w->key));
	bct_free(w->senders);
	bct_free(w);
}

static void seal(const bct_wire_t *w, const uint8_t *data, size_t len_bytes, uint8_t *mac)
{
	crypto_generichash(mac, BCT_MAC_BYTES, data, len_bytes, w->key, sizeof(w->key));
}

/* Writes header, envelope, body and MAC; returns the length in bytes or -BCT_ETOO_LARGE. */
static int encode(bct_wire_t *w, uint64_t to, struct rpc_msg *header, xdrproc_t proc, void *body,
		  uint8_t *out)
{
	peer_envelope env = { .from = w->incarnation, .to = to, .seq = ++w->seq };
	bool ok;
	u_int len;
	XDR x;

	xdrmem_create(&x, (char *)out, BCT_DATAGRAM_BYTES - BCT_MAC_BYTES, XDR_ENCODE);
	ok = header->rm_direction == CALL ? xdr_callmsg(&x, header) : xdr_replymsg(&x, header);
	ok = ok && xdr_peer_envelope(&x, &env) && proc(&x, body);
	len = xdr_getpos(&x);
	xdr_destroy(&x);
	if (!ok)
		return -BCT_ETOO_LARGE;
	seal(w, out, len, out + len);
	return (int)len + BCT_MAC_BYTES;
}

int bct_wire_call(bct_wire_t *w, uint64_t to, uint32_t xid, peer_call *call, uint8_t *out)
{
	struct rpc_msg header = { .rm_xid = xid, .rm_direction = CALL };

	header.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	header.rm_call.cb_prog = PEER_PROGRAM;
	header.rm_call.cb_vers = PEER_VERSION;
	header.rm_call.cb_proc = call->kind;
	header.rm_call.cb_cred = _null_auth;
	header.rm_call.cb_verf = _null_auth;
	return encode(w, to, &header, (xdrproc_t)xdr_peer_call, call, out);
}

/* The results of a reply follow the envelope and are encoded separately. */
static bool_t no_results(XDR *x, ...)
{
	(void)x;
	return TRUE;
}

static void reply_header(struct rpc_msg *header, uint32_t xid)
{
	memset(header, 0, sizeof(*header));
	header->rm_xid = xid;
	header->rm_direction = REPLY;
	header->rm_reply.rp_stat = MSG_ACCEPTED;
	header->acpted_rply.ar_verf = _null_auth;
	header->acpted_rply.ar_stat = SUCCESS;
	header->acpted_rply.ar_results.proc = no_results;
}

int bct_wire_reply(bct_wire_t *w, uint64_t to, uint32_t xid, peer_reply *reply, uint8_t *out)
{
	struct rpc_msg header;

	reply_header(&header, xid);
	return encode(w, to, &header, (xdrproc_t)xdr_peer_reply, reply, out);
}

/* Finds or creates the window of a sender; a full table evicts the least recently used one. */
static sender_t *sender_get(bct_wire_t *w, uint64_t incarnation)
{
	sender_t *s = NULL;

	for (uint32_t i = 0; i < w->n_senders; i++) {
		if (w->senders[i].incarnation == incarnation)
			return &w->senders[i];
		if (!s || w->senders[i].used < s->used)
			s = &w->senders[i];
	}
	if (w->n_senders < SENDERS_MAX) {
		if (w->n_senders == w->cap_senders) {
			uint32_t cap = w->cap_senders ? w->cap_senders * 2 : 16;
			sender_t *v = bct_realloc(w->senders, cap * sizeof(*v));

			if (!v)
				return NULL;
			w->senders = v;
			w->cap_senders = cap;
		}
		s = &w->senders[w->n_senders++];
	}
	memset(s, 0, sizeof(*s));
	s->incarnation = incarnation;
	return s;
}

/* Moves the window on to a higher sequence number and clears the bits that it newly covers. */
static void window_advance(sender_t *s, uint64_t seq)
{
	if (seq - s->highest >= WINDOW_BITS) {
		memset(s->seen, 0, sizeof(s->seen));
	} else {
		for (uint64_t i = s->highest + 1; i <= seq; i++)
			s->seen[(i % WINDOW_BITS) / 64] &= ~(UINT64_C(1) << (i % 64));
	}
	s->highest = seq;
}

/* Refuses a sequence number that was used or is older than the window; else marks it as used. */
static int replay_check(bct_wire_t *w, const peer_envelope *env)
{
	sender_t *s = sender_get(w, env->from);
	uint64_t bit = UINT64_C(1) << (env->seq % 64);
	uint64_t *word;

	if (!s)
		return -BCT_ENOMEM;
	s->used = ++w->uses;
	if (env->seq > s->highest)
		window_advance(s, env->seq);
	else if (s->highest - env->seq >= WINDOW_BITS)
		return -BCT_EREPLAY;
	word = &s->seen[(env->seq % WINDOW_BITS) / 64];
	if (*word & bit)
		return -BCT_EREPLAY;
	*word |= bit;
	return 0;
}

/* Decodes a call or reply header; a header of another program or version is -BCT_ECODEC. */
static int decode_header(XDR *x, const uint8_t *data, bct_wire_msg_t *out)
{
	struct rpc_msg header;
	uint32_t direction;
	bool ok;

	memcpy(&direction, data + sizeof(uint32_t), sizeof(direction));
	out->is_reply = direction != 0;
	reply_header(&header, 0);
	if (out->is_reply) {
		ok = xdr_replymsg(x, &header) && header.rm_reply.rp_stat == MSG_ACCEPTED &&
		     header.acpted_rply.ar_stat == SUCCESS &&
		     header.acpted_rply.ar_verf.oa_length == 0;
		if (header.rm_reply.rp_stat == MSG_ACCEPTED)
			free(header.acpted_rply.ar_verf.oa_base);
	} else {
		memset(&header, 0, sizeof(header));
		ok = xdr_callmsg(x, &header) && header.rm_call.cb_prog == PEER_PROGRAM &&
		     header.rm_call.cb_vers == PEER_VERSION &&
		     header.rm_call.cb_cred.oa_length == 0 && header.rm_call.cb_verf.oa_length == 0;
		/* Allocated by the RPC library; peers send no credentials. */
		free(header.rm_call.cb_cred.oa_base);
		free(header.rm_call.cb_verf.oa_base);
	}
	out->xid = header.rm_xid;
	return ok ? 0 : -BCT_ECODEC;
}

static int decode_body(XDR *x, bct_wire_msg_t *out)
{
	bool ok;

	memset(&out->u, 0, sizeof(out->u));
	ok = out->is_reply ? xdr_peer_reply(x, &out->u.reply) : xdr_peer_call(x, &out->u.call);
	if (ok)
		return 0;
	bct_wire_msg_free(out);
	return -BCT_ECODEC;
}

/*
 * Whether a datagram is for this node. A PING is accepted whatever its receiver: it may be a first
 * contact (to is 0), or meant for the node that had this address before.
 */
static bool may_receive(const bct_wire_t *w, const bct_wire_msg_t *msg)
{
	if (msg->from == w->incarnation || !msg->from)
		return false;
	return msg->to == w->incarnation || (!msg->is_reply && msg->u.call.kind == PEER_PING);
}

int bct_wire_open(bct_wire_t *w, const uint8_t *data, size_t len_bytes, bct_wire_msg_t *out)
{
	uint8_t mac[BCT_MAC_BYTES];
	peer_envelope env;
	int err;
	XDR x;

	/* A reply header is 16 bytes shorter than a call header; no valid datagram is refused. */
	if (len_bytes < BCT_WIRE_OVERHEAD_BYTES - 24 || len_bytes > BCT_DATAGRAM_BYTES)
		return -BCT_ECODEC;
	len_bytes -= BCT_MAC_BYTES;
	seal(w, data, len_bytes, mac);
	if (sodium_memcmp(mac, data + len_bytes, BCT_MAC_BYTES))
		return -BCT_EAUTH;
	xdrmem_create(&x, (char *)(uintptr_t)data, (u_int)len_bytes, XDR_DECODE);
	err = decode_header(&x, data, out);
	if (!err && !xdr_peer_envelope(&x, &env))
		err = -BCT_ECODEC;
	if (!err)
		err = decode_body(&x, out);
	xdr_destroy(&x);
	if (err)
		return err;
	out->from = env.from;
	out->to = env.to;
	err = may_receive(w, out) ? replay_check(w, &env) : -BCT_EAUTH;
	if (err)
		bct_wire_msg_free(out);
	return err;
}

void bct_wire_msg_free(bct_wire_msg_t *msg)
{
	if (msg->is_reply)
		xdr_free((xdrproc_t)xdr_peer_reply, &msg->u.reply);
	else
		xdr_free((xdrproc_t)xdr_peer_call, &msg->u.call);
}
