/*
 * test_share_versions.c - messages between nodes of this version and older ones, as during an
 * update of the fleet node by node: what a version adds stands at the end of a message.
 */
#include "gen/share.h"

#include <criterion/criterion.h>
#include <string.h>

#define MESSAGE_BYTES 4096
#define PADDING_BYTES 64 /* zeros that a receiver adds: lists that an older sender lacks */
#define LIST_BYTES(n) (4 + 8 * (n)) /* of the list of reclaiming */

static const uint8_t zeros[PADDING_BYTES];

/* Encodes a message of two entries. returns its length. */
static size_t encode_update(char *out, share_update *m)
{
	size_t len;
	XDR x;

	xdrmem_create(&x, out, MESSAGE_BYTES, XDR_ENCODE);
	cr_assert(xdr_share_update(&x, m));
	len = xdr_getpos(&x);
	xdr_destroy(&x);
	return len;
}

static void decode_update(const char *data, size_t len, share_update *out)
{
	char padded[MESSAGE_BYTES + PADDING_BYTES];
	XDR x;

	memcpy(padded, data, len);
	memcpy(padded + len, zeros, PADDING_BYTES);
	xdrmem_create(&x, padded, (u_int)(len + PADDING_BYTES), XDR_DECODE);
	cr_assert(xdr_share_update(&x, out));
	xdr_destroy(&x);
}

/* Returns where the first list stands in which two messages differ: at its length, of 4 bytes. */
static size_t differ_at(const char *a, const char *b, size_t len)
{
	size_t i = 0;

	while (i < len && a[i] == b[i])
		i++;
	return i / 4 * 4;
}

/*
 * A field in the middle would shift the others: nodes of the old version would read other entries,
 * or refuse all datagrams of updated nodes.
 */
Test(share_versions, reclaiming_is_at_the_end_of_a_datagram)
{
	share_entry entries[2] = { { .slots = 64 }, { .slots = 32 } };
	share_software software[2] = { { .key = 5 }, { .key = 6 } };
	share_reclaim reclaim[2] = { { .spot = true, .leaves_ms = 1800 }, { .spot = false } };
	share_update m = { .seq = 9 }, got = { 0 }, older = { 0 };
	char data[MESSAGE_BYTES] = { 0 }, without[MESSAGE_BYTES] = { 0 };
	size_t len;

	m.entries.entries_val = entries;
	m.software.software_val = software;
	m.reclaim.reclaim_val = reclaim;
	m.entries.entries_len = m.software.software_len = 2;
	encode_update(without, &m);
	m.reclaim.reclaim_len = 2;
	len = encode_update(data, &m);
	decode_update(data, len, &got);
	cr_assert_eq(got.reclaim.reclaim_len, 2);
	cr_assert(got.reclaim.reclaim_val[0].spot);
	cr_assert_eq(got.reclaim.reclaim_val[0].leaves_ms, 1800);
	/* What an older node sends ends where this list begins. */
	decode_update(data, differ_at(data, without, len), &older);
	cr_assert_eq(older.seq, 9);
	cr_assert_eq(older.entries.entries_len, 2);
	cr_assert_eq(older.software.software_val[1].key, 6);
	cr_assert_eq(older.brittle.brittle_len, 0);
	cr_assert_eq(older.reclaim.reclaim_len, 0);
	xdr_free((xdrproc_t)xdr_share_update, (char *)&got);
	xdr_free((xdrproc_t)xdr_share_update, (char *)&older);
}

/* The same for the upstreams that a node pulls; an answer may lack the versions of software, too.
 */
Test(share_versions, reclaiming_is_at_the_end_of_a_pulled_list)
{
	share_entry entry = { .slots = 64 };
	share_software software = { .key = 5 };
	share_reclaim reclaim = { .spot = true };
	share_upstreams m = { .position = 7 };
	size_t cut[] = { 0, LIST_BYTES(1), LIST_BYTES(1) + 4 + SHARE_SOFTWARE_BYTES + 8 };
	char data[MESSAGE_BYTES] = { 0 };
	XDR x;

	m.entries.entries_val = &entry;
	m.software.software_val = &software;
	m.reclaim.reclaim_val = &reclaim;
	m.entries.entries_len = m.software.software_len = m.reclaim.reclaim_len = 1;
	for (uint32_t i = 0; i < 3; i++) {
		share_upstreams got = { 0 };
		size_t len;

		memset(data, 0, sizeof(data));
		xdrmem_create(&x, data, MESSAGE_BYTES, XDR_ENCODE);
		cr_assert(xdr_share_upstreams(&x, &m));
		len = xdr_getpos(&x) - cut[i];
		xdr_destroy(&x);
		memset(data + len, 0, sizeof(data) - len);
		xdrmem_create(&x, data, (u_int)len + 8, XDR_DECODE);
		cr_assert(xdr_share_upstreams(&x, &got), "cut %u", i);
		xdr_destroy(&x);
		cr_assert_eq(got.entries.entries_val[0].slots, 64);
		cr_assert_eq(got.software.software_len, i < 2 ? 1 : 0);
		cr_assert_eq(got.reclaim.reclaim_len, i < 1 ? 1 : 0);
		xdr_free((xdrproc_t)xdr_share_upstreams, (char *)&got);
	}
}
