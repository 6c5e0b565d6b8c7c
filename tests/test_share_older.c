/*
 * test_share_older.c - messages between nodes of this version and of commit 176bfc7, which run side
 * by side while a fleet is updated. The bytes of that commit are in share_older_data.h.
 *
 * A node of that commit accepts bytes behind its last list: on_datagram() in its gate/share.c and
 * decode_upstreams() in its gate/pull.c only check that the XDR decoder succeeds, which doesn't
 * require that it consumes all bytes. The MAC covers the whole message and is checked before. So
 * such a node decodes a message of this version if it begins with the bytes of its own layout.
 */
#include "tests/share_older_data.h"
#include "tests/share_older.h"

#include <criterion/criterion.h>
#include <string.h>

#define LATER_UPDATE_BYTES 12	/* of the empty lists reclaim, promises and usage */
#define LATER_UPSTREAMS_BYTES 4 /* of the empty list reclaim */
#define PADDING_BYTES 64	/* zeros that the receiver in gate/share.c adds */
#define PULL_PADDING_BYTES 8	/* zeros that the receiver in gate/pull.c adds */

static older_t filled;

static void fill(void)
{
	memset(&filled, 0, sizeof(filled));
	older_fill(&filled);
}

TestSuite(share_older, .init = fill);

static void decode(xdrproc_t proc, const uint8_t *data, size_t len, size_t padding, void *out)
{
	char padded[OLDER_BYTES + PADDING_BYTES] = { 0 };
	XDR x;

	cr_assert(len <= OLDER_BYTES);
	memcpy(padded, data, len);
	xdrmem_create(&x, padded, (u_int)(len + padding), XDR_DECODE);
	cr_assert(proc(&x, out));
	xdr_destroy(&x);
}

/* The older layout is followed by the lists that are new, here empty. */
static void check_prefix(const char *got, size_t len, const uint8_t *older, size_t older_len,
			 size_t later)
{
	static const char zeros[PADDING_BYTES];

	cr_assert_eq(len, older_len + later);
	cr_assert_arr_eq(got, older, older_len);
	cr_assert_arr_eq(got + older_len, zeros, later);
}

/*
 * A field that is moved, removed or inserted would shift those behind it: this version would then
 * read other values from a datagram of an older node.
 */
Test(share_older, datagram_of_an_older_node_has_the_same_values)
{
	char again[OLDER_BYTES];
	share_update got = { 0 };
	size_t len;

	decode((xdrproc_t)xdr_share_update, older_update, sizeof(older_update), PADDING_BYTES,
	       &got);
	cr_assert_eq(got.seq, filled.update.seq);
	cr_assert_eq(got.reads[1].reader, filled.update.reads[1].reader);
	cr_assert_eq(got.entries.entries_len, OLDER_N);
	cr_assert_str_eq(got.entries.entries_val[1].zone, filled.entries[1].zone);
	cr_assert_eq(got.loads.loads_val[1].running_prefill, filled.loads[1].running_prefill);
	cr_assert_eq(got.part_crashes.part_crashes_val[1].parts.parts_val[1], filled.parts[1][1]);
	cr_assert_eq(got.brittle.brittle_len, OLDER_N);
	cr_assert_eq(got.brittle.brittle_val[1].turned_away, filled.brittle[1].turned_away);
	cr_assert_eq(got.reclaim.reclaim_len, 0);
	cr_assert_eq(got.promises.promises_len, 0);
	cr_assert_eq(got.usage.usage_len, 0);
	/* All other values: encoded again, they are the same bytes. */
	len = older_encode((xdrproc_t)xdr_share_update, &got, again);
	check_prefix(again, len, older_update, sizeof(older_update), LATER_UPDATE_BYTES);
	xdr_free((xdrproc_t)xdr_share_update, (char *)&got);
}

/* The same for the upstreams that a node pulls from an older one. */
Test(share_older, pulled_list_of_an_older_node_has_the_same_values)
{
	char again[OLDER_BYTES];
	share_upstreams got = { 0 };
	size_t len;

	decode((xdrproc_t)xdr_share_upstreams, older_upstreams, sizeof(older_upstreams),
	       PULL_PADDING_BYTES, &got);
	cr_assert_eq(got.position, filled.upstreams.position);
	cr_assert_eq(got.entries.entries_len, OLDER_N);
	cr_assert_eq(got.entries.entries_val[1].position, filled.entries[1].position);
	cr_assert_eq(got.software.software_len, OLDER_N);
	cr_assert_eq(got.software.software_val[1].key, filled.software[1].key);
	cr_assert_eq(got.reclaim.reclaim_len, 0);
	len = older_encode((xdrproc_t)xdr_share_upstreams, &got, again);
	check_prefix(again, len, older_upstreams, sizeof(older_upstreams), LATER_UPSTREAMS_BYTES);
	xdr_free((xdrproc_t)xdr_share_upstreams, (char *)&got);
}

/* Otherwise older nodes would misread, or refuse, the datagrams of nodes that are updated. */
Test(share_older, datagram_begins_as_an_older_node_encodes_it)
{
	share_reclaim reclaim[OLDER_N] = { { .spot = true, .leaves_ms = 1800 } };
	share_promise promise = { .digest = 7, .due_ms = 900 };
	share_usage_count count = { .account = (char[]){ "account" }, .requests = 3 };
	share_usage_group group = { .incarnation = 5, .window = 6 };
	share_usage usage = { .true_time_ms = 1 };
	char data[OLDER_BYTES];
	share_update *m = &filled.update;
	size_t len = older_encode((xdrproc_t)xdr_share_update, m, data);

	check_prefix(data, len, older_update, sizeof(older_update), LATER_UPDATE_BYTES);
	group.counts.counts_val = &count;
	usage.groups.groups_val = &group;
	m->reclaim.reclaim_val = reclaim;
	m->promises.promises_val = &promise;
	m->usage.usage_val = &usage;
	m->reclaim.reclaim_len = OLDER_N;
	group.counts.counts_len = usage.groups.groups_len = m->promises.promises_len =
		m->usage.usage_len = 1;
	len = older_encode((xdrproc_t)xdr_share_update, m, data);
	cr_assert_gt(len, sizeof(older_update) + LATER_UPDATE_BYTES);
	cr_assert_arr_eq(data, older_update, sizeof(older_update));
}

/* The same for the upstreams that an older node pulls from one that is updated. */
Test(share_older, pulled_list_begins_as_an_older_node_encodes_it)
{
	share_reclaim reclaim[OLDER_N] = { { .spot = true, .leaves_ms = 1800 } };
	char data[OLDER_BYTES];
	share_upstreams *m = &filled.upstreams;
	size_t len = older_encode((xdrproc_t)xdr_share_upstreams, m, data);

	check_prefix(data, len, older_upstreams, sizeof(older_upstreams), LATER_UPSTREAMS_BYTES);
	m->reclaim.reclaim_val = reclaim;
	m->reclaim.reclaim_len = OLDER_N;
	len = older_encode((xdrproc_t)xdr_share_upstreams, m, data);
	cr_assert_gt(len, sizeof(older_upstreams) + LATER_UPSTREAMS_BYTES);
	cr_assert_arr_eq(data, older_upstreams, sizeof(older_upstreams));
}
