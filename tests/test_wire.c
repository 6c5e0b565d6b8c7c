/*
 * test_wire.c - sealing and opening of peer datagrams, and allocation failures in bct_peer_new().
 */
#include "base/err.h"
#include "base/mem.h"
#include "coord/peer.h"
#include "coord/wire.h"

#include <criterion/criterion.h>
#include <string.h>

#define SECRET "0123456789abcdef0123456789abcdef"
#define WINDOW 1024 /* WINDOW_BITS of coord/wire.c */

static bct_wire_t *wire(uint64_t incarnation)
{
	bct_wire_t *w;

	cr_assert_eq(bct_wire_new(incarnation, SECRET, strlen(SECRET), &w), 0);
	return w;
}

static int sealed(bct_wire_t *w, uint64_t to, uint32_t kind, uint8_t *out)
{
	peer_call call = { .kind = (peer_kind)kind };

	return bct_wire_call(w, to, 7, &call, out);
}

static int opened(bct_wire_t *w, const uint8_t *data, int len)
{
	bct_wire_msg_t msg;
	int err = bct_wire_open(w, data, (size_t)len, &msg);

	if (!err)
		bct_wire_msg_free(&msg);
	return err;
}

Test(wire, a_flipped_bit_or_a_truncated_datagram_is_refused)
{
	bct_wire_t *a = wire(1), *b = wire(2);
	uint8_t data[BCT_DATAGRAM_BYTES];
	int len = sealed(a, 2, PEER_GOSSIP, data);

	for (int bit = 0; bit < len * 8; bit++) {
		data[bit / 8] ^= (uint8_t)(1 << bit % 8);
		cr_assert_eq(opened(b, data, len), -BCT_EAUTH, "bit %d", bit);
		data[bit / 8] ^= (uint8_t)(1 << bit % 8);
	}
	for (int truncated_len = 0; truncated_len < len; truncated_len++)
		cr_assert_neq(opened(b, data, truncated_len), 0, "truncated to %d bytes",
			      truncated_len);
	cr_assert_eq(opened(b, data, len), 0);
	bct_wire_free(a);
	bct_wire_free(b);
}

Test(wire, only_the_named_receiver_accepts_it_except_for_pings)
{
	bct_wire_t *a = wire(1), *b = wire(2);
	uint8_t data[BCT_DATAGRAM_BYTES];

	cr_assert_eq(opened(b, data, sealed(a, 3, PEER_GOSSIP, data)), -BCT_EAUTH);
	cr_assert_eq(opened(b, data, sealed(a, 0, PEER_SYNC, data)), -BCT_EAUTH);
	cr_assert_eq(opened(b, data, sealed(a, 0, PEER_PING, data)), 0);
	cr_assert_eq(opened(b, data, sealed(a, 3, PEER_PING, data)), 0);
	cr_assert_eq(opened(a, data, sealed(a, 1, PEER_PING, data)), -BCT_EAUTH, "reflected");
	bct_wire_free(a);
	bct_wire_free(b);
}

Test(wire, each_sequence_number_is_accepted_once_within_the_window)
{
	static uint8_t data[WINDOW + 10][BCT_DATAGRAM_BYTES];
	bct_wire_t *a = wire(1), *b = wire(2);
	int len = 0;

	for (int i = 0; i < WINDOW + 10; i++)
		len = sealed(a, 2, PEER_GOSSIP, data[i]);
	cr_assert_eq(opened(b, data[WINDOW + 9], len), 0);
	for (int i = 0; i < 10; i++)
		cr_assert_eq(opened(b, data[i], len), -BCT_EREPLAY, "too old: %d", i);
	for (int i = WINDOW + 8; i >= 10; i--)
		cr_assert_eq(opened(b, data[i], len), 0, "late: %d", i);
	for (int i = 10; i < WINDOW + 10; i++)
		cr_assert_eq(opened(b, data[i], len), -BCT_EREPLAY, "repeated: %d", i);
	bct_wire_free(a);
	bct_wire_free(b);
}

Test(wire, a_body_that_does_not_fit_is_an_error)
{
	bct_wire_t *a = wire(1);
	uint8_t data[BCT_DATAGRAM_BYTES];
	peer_item items[32];
	peer_call call = { .kind = PEER_GOSSIP };

	memset(items, 0, sizeof(items));
	call.peer_call_u.gossip.items.items_len = 32;
	call.peer_call_u.gossip.items.items_val = items;
	cr_assert_eq(bct_wire_call(a, 2, 1, &call, data), -BCT_ETOO_LARGE);
	bct_wire_free(a);
}

Test(peer, construction_survives_each_allocation_failure)
{
	static const bct_peer_ops_t ops;
	bct_peer_opts_t o = { .ops = &ops,
			      .bind_address = "127.0.0.1",
			      .secret = SECRET,
			      .secret_bytes = strlen(SECRET),
			      .name = "n" };
	bct_peer_t *p;
	int err = -BCT_ENOMEM, steps = 0;

	for (; err; steps++) {
		bct_mem_fail_after(steps);
		err = bct_peer_new(&o, &p);
		bct_mem_fail_after(-1);
		cr_assert(!err || (err == -BCT_ENOMEM && !p), "step %d: %d", steps, err);
	}
	cr_assert_gt(steps, 5);
	bct_peer_free(p);
	o.bind_address = "not an address";
	cr_assert_eq(bct_peer_new(&o, &p), -BCT_EINVAL);
	o.bind_address = "127.0.0.1";
	o.secret_bytes = 8;
	cr_assert_eq(bct_peer_new(&o, &p), -BCT_EINVAL);
}
