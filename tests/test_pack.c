/*
 * test_pack.c - compression of what nodes send to each other.
 */
#include "base/buf.h"
#include "base/err.h"
#include "base/mem.h"
#include "base/pack.h"
#include "base/rng.h"
#include "gate/pull.h"
#include "gen/share.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define ROUTES 4200
#define NODES_PER_HUB 9 /* of 75 nodes with 9 hubs */
#define UPSTREAMS 770
#define NODES_PER_HUB_AT_SIZE 18 /* of 350 nodes with 19 hubs */
#define MAX_BYTES (8 * 1024 * 1024)

static void put_name(bct_buf_t *out, bct_rng_t *rng, uint32_t n)
{
	static const char letters[] = "abcdefghijklmnopqrstuvwxyz0123456789";

	for (uint32_t i = 0; i < n; i++)
		bct_buf_put(out, &letters[bct_rng_below(rng, 36)], 1);
}

/* A configuration whose routes have random names. */
static void put_configuration(bct_buf_t *out)
{
	bct_rng_t rng;

	bct_rng_seed(&rng, 1);
	bct_buf_puts(out, "{\"version\":16,\"routes\":[");
	for (uint32_t i = 0; i < ROUTES; i++) {
		bct_buf_puts(out, i ? ",{\"name\":\"r-" : "{\"name\":\"r-");
		put_name(out, &rng, 7);
		bct_buf_puts(out, "\",\"host\":\"example\",\"path_prefix\":\"/");
		put_name(out, &rng, 8);
		bct_buf_puts(out, "/\",\"kind\":\"safe\",\"timeout_ms\":4000,"
				  "\"target_latency_ms\":300,\"priority\":2,"
				  "\"service\":\"desk\",\"attempts\":2,\"public\":true}");
	}
	bct_buf_puts(out, "]}");
}

Test(pack, round_trip)
{
	static const char text[] =
		"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";
	bct_packed_t p = { 0 };
	char *out = NULL;

	cr_assert_eq(bct_pack(text, sizeof(text), &p), 0);
	cr_assert_lt(p.len_bytes, sizeof(text));
	cr_assert_eq(bct_unpack(&p, MAX_BYTES, &out), 0);
	cr_assert_eq(memcmp(out, text, sizeof(text)), 0);
	bct_free(out);
	bct_packed_free(&p);
}

/* What another node sends may be cut short or state a wrong size. */
Test(pack, malformed_input_is_rejected)
{
	bct_packed_t p = { 0 }, bad;
	char *out = NULL;

	cr_assert_eq(bct_pack("configuration", 13, &p), 0);
	bad = p;
	bad.len_bytes--;
	cr_assert_eq(bct_unpack(&bad, MAX_BYTES, &out), -BCT_ECODEC);
	bad = p;
	bad.unpacked_bytes = 12;
	cr_assert_eq(bct_unpack(&bad, MAX_BYTES, &out), -BCT_ECODEC);
	bad.unpacked_bytes = 14;
	cr_assert_eq(bct_unpack(&bad, MAX_BYTES, &out), -BCT_ECODEC);
	bad.unpacked_bytes = MAX_BYTES + 1;
	cr_assert_eq(bct_unpack(&bad, MAX_BYTES, &out), -BCT_ETOO_LARGE);
	cr_assert_null(out);
	bct_packed_free(&p);
}

/*
 * A configuration that grew to 4,200 routes while all links have 10 Mbit/s: a hub can hand it to
 * all of its nodes within a second, so that none has to list it from the registry.
 */
Test(pack, a_grown_configuration_is_served_in_a_second)
{
	bct_buf_t text;
	bct_packed_t p = { 0 };

	bct_buf_init(&text, 0);
	put_configuration(&text);
	cr_assert_gt(text.len_bytes, 600000);
	cr_assert_eq(bct_pack(text.data, text.len_bytes, &p), 0);
	cr_assert_leq(NODES_PER_HUB * p.len_bytes, BCT_PULL_SERVED_BYTES_PER_S, "%zu bytes of %zu",
		      p.len_bytes, text.len_bytes);
	bct_packed_free(&p);
	bct_buf_free(&text);
}

/* A list of upstreams as one node sends it to another. Ids are random. */
static size_t encode_upstreams(char *out, size_t size)
{
	share_upstreams m = { .position = 90000 };
	bct_rng_t rng;
	size_t len;
	XDR x;

	bct_rng_seed(&rng, 1);
	m.entries.entries_len = UPSTREAMS;
	m.entries.entries_val = bct_alloc(sizeof(share_entry) * UPSTREAMS);
	for (uint32_t i = 0; i < UPSTREAMS; i++) {
		share_entry *e = &m.entries.entries_val[i];

		snprintf(e->id, sizeof(e->id), "i-%08x%02x", bct_rng_below(&rng, UINT32_MAX),
			 bct_rng_below(&rng, 256));
		snprintf(e->service, sizeof(e->service), "drafting-models");
		snprintf(e->zone, sizeof(e->zone), "zone-%u", i % 7);
		snprintf(e->ip, sizeof(e->ip), "10.%u.64.%u", i % 7, i / 7);
		e->port = 8223;
		e->slots = 64;
		e->born_ms = 1779117877000 + bct_rng_below(&rng, 10000000);
		e->sequence = bct_rng_below(&rng, 1000);
		e->position = 80000 + bct_rng_below(&rng, 10000);
	}
	xdrmem_create(&x, out, (u_int)size, XDR_ENCODE);
	cr_assert(xdr_share_upstreams(&x, &m));
	len = xdr_getpos(&x);
	xdr_destroy(&x);
	bct_free(m.entries.entries_val);
	return len;
}

/*
 * Engines are replaced all the time in a fleet of 350 nodes and 770 engines: a hub can hand the
 * whole list to all of its nodes within a second.
 */
Test(pack, a_list_of_upstreams_is_served_in_a_second)
{
	char *text = bct_alloc(MAX_BYTES);
	size_t len = encode_upstreams(text, MAX_BYTES);
	bct_packed_t p = { 0 };

	cr_assert_eq(bct_pack(text, len, &p), 0);
	cr_assert_leq(NODES_PER_HUB_AT_SIZE * p.len_bytes, BCT_PULL_SERVED_BYTES_PER_S,
		      "%zu bytes of %zu", p.len_bytes, len);
	bct_packed_free(&p);
	bct_free(text);
}
