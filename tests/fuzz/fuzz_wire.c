/*
 * fuzz_wire.c - peer datagrams. Checks that raw input is never accepted, since its MAC is wrong.
 * Then gives the same bytes a valid MAC, so that they reach the decoder behind the MAC check, and
 * checks that a datagram for the receiver's incarnation, once accepted, is then refused as a
 * replay.
 */
#include "base/err.h"
#include "coord/wire.h"
#include "tests/fuzz/fuzz.h"

#include <sodium.h>
#include <string.h>

static const char secret[] = "0123456789abcdef0123456789abcdef";

static bct_wire_t *new_wire(uint64_t incarnation)
{
	bct_wire_t *w;

	BCT_FUZZ_CHECK(!bct_wire_new(incarnation, secret, strlen(secret), &w));
	return w;
}

/*
 * Builds a datagram from the first bytes of a valid call, the fuzz input behind them and a valid
 * MAC. Returns its length; out has BCT_DATAGRAM_BYTES of room.
 */
static size_t seal(bct_wire_t *from, const uint8_t *data, size_t size, uint8_t *out)
{
	uint8_t key[crypto_generichash_KEYBYTES];
	peer_call call = { .kind = PEER_PING };
	size_t head, room;
	int len = bct_wire_call(from, 2, 9, &call, out);

	BCT_FUZZ_CHECK(len > BCT_MAC_BYTES);
	/* The first input byte is the number of bytes kept from the valid call. */
	head = size ? data[0] : 0;
	if (head > (size_t)len - BCT_MAC_BYTES)
		head = (size_t)len - BCT_MAC_BYTES;
	room = BCT_DATAGRAM_BYTES - BCT_MAC_BYTES - head;
	size = size ? size - 1 : 0;
	if (size > room)
		size = room;
	if (size)
		memcpy(out + head, data + 1, size);
	crypto_generichash(key, sizeof(key), (const uint8_t *)secret, strlen(secret), NULL, 0);
	crypto_generichash(out + head + size, BCT_MAC_BYTES, out, head + size, key, sizeof(key));
	return head + size + BCT_MAC_BYTES;
}

BCT_FUZZ(wire)
{
	uint8_t sealed[BCT_DATAGRAM_BYTES + BCT_MAC_BYTES];
	bct_wire_t *a = new_wire(1), *b = new_wire(2);
	bct_wire_msg_t msg;
	size_t len;

	BCT_FUZZ_CHECK(bct_wire_open(b, data, size, &msg) < 0);
	len = seal(a, data, size, sealed);
	if (!bct_wire_open(b, sealed, len, &msg)) {
		bool addressed_to_b = msg.to == 2;

		bct_wire_msg_free(&msg);
		if (addressed_to_b)
			BCT_FUZZ_CHECK(bct_wire_open(b, sealed, len, &msg) == -BCT_EREPLAY);
	}
	bct_wire_free(a);
	bct_wire_free(b);
	return 0;
}
