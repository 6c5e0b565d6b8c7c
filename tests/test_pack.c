/*
 * test_pack.c - compression of what nodes send to each other.
 */
#include "base/buf.h"
#include "base/err.h"
#include "base/mem.h"
#include "base/pack.h"
#include "base/rng.h"
#include "gate/pull.h"

#include <criterion/criterion.h>
#include <string.h>

#define ROUTES 4200
#define NODES_PER_HUB 9 /* of 75 nodes with 9 hubs */
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
