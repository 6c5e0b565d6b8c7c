/*
 * fuzz_wire.c - peer datagrams: raw bytes are never accepted (the MAC is unknown to them), and the
 * decoder behind the MAC is fed the same bytes sealed by the shared secret; what it accepts is
 * accepted once.
 */
#include "base/err.h"
#include "coord/wire.h"
#include "tests/fuzz/fuzz.h"

#include <sodium.h>
#include <string.h>

static const char secret[] = "0123456789abcdef0123456789abcdef";

static bct_wire_t *wire(uint64_t incarnation)
{
	bct_wire_t *w;

	BCT_FUZZ_CHECK(!bct_wire_new(incarnation, secret, strlen(secret), &w));
	return w;
}

/* The datagram's header from a real call, the fuzzer's bytes behind it, and a MAC that fits. */
static size_t seal(bct_wire_t *from, const uint8_t *data, size_t size, uint8_t *out)
{
	uint8_t key[crypto_generichash_KEYBYTES];
	peer_call call = { .kind = PEER_PING };
	size_t head, room;
	int len = bct_wire_call(from, 2, 9, &call, out);

	BCT_FUZZ_CHECK(len > BCT_MAC_BYTES);
	/* The first byte says how much of the real datagram is kept. */
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
	bct_wire_t *a = wire(1), *b = wire(2);
	bct_wire_msg_t msg;
	size_t len;

	BCT_FUZZ_CHECK(bct_wire_open(b, data, size, &msg) < 0);
	len = seal(a, data, size, sealed);
	if (!bct_wire_open(b, sealed, len, &msg)) {
		bool ours = msg.to == 2;

		bct_wire_msg_free(&msg);
		if (ours)
			BCT_FUZZ_CHECK(bct_wire_open(b, sealed, len, &msg) == -BCT_EREPLAY);
	}
	bct_wire_free(a);
	bct_wire_free(b);
	return 0;
}
