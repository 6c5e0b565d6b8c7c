/*
 * test_usage_pack.c - the messages in which nodes send each other counters of usage: their size,
 * and the traffic that they cause at all sizes of a fleet.
 */
#include "base/rng.h"
#include "gate/usage_pack.h"
#include "policy/usage_round.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define WINDOW 353445120ULL
#define DATAGRAM_BYTES 1400
#define MAC_BYTES 16
#define IP_UDP_BYTES 28
#define LATER_BYTES 40 /* for lists of share_update that are added later */

static bct_usage_t *new_usage(uint64_t incarnation)
{
	bct_usage_t *u = NULL;

	cr_assert_eq(bct_usage_new(incarnation, &u), 0);
	return u;
}

static uint32_t encoded_bytes(bct_usage_pack_t *p)
{
	share_update update = { 0 };

	update.usage.usage_val = &p->message;
	update.usage.usage_len = 1;
	return (uint32_t)xdr_sizeof((xdrproc_t)xdr_share_update, &update);
}

/* Packs all counters of u into messages; merges each into to, decoded. returns their number. */
static uint32_t send_all(const bct_usage_t *u, bct_usage_t *to)
{
	static char buf[DATAGRAM_BYTES];
	bct_usage_pack_t p;
	bct_usage_item_t item;
	uint32_t pos = 0, n = 0;
	bool more = bct_usage_next_item(u, 0, &pos, &item);

	while (more) {
		share_usage got = { 0 };
		XDR x;

		bct_usage_pack_init(&p, 1767225600000LL);
		while (more && bct_usage_pack_add(&p, &item))
			more = bct_usage_next_item(u, 0, &pos, &item);
		cr_assert_leq(encoded_bytes(&p), DATAGRAM_BYTES - MAC_BYTES - LATER_BYTES);
		xdrmem_create(&x, buf, sizeof(buf), XDR_ENCODE);
		cr_assert(xdr_share_usage(&x, &p.message));
		xdr_destroy(&x);
		xdrmem_create(&x, buf, sizeof(buf), XDR_DECODE);
		cr_assert(xdr_share_usage(&x, &got));
		cr_assert_eq(got.true_time_ms, 1767225600000LL);
		bct_usage_pack_merge(to, &got);
		xdr_free((xdrproc_t)xdr_share_usage, (char *)&got);
		xdr_destroy(&x);
		n++;
	}
	return n;
}

/* Guards against messages that exceed a datagram, which are dropped, and against lost counters. */
static void expect_fits(uint32_t accounts, uint32_t name_bytes, uint32_t windows)
{
	bct_usage_t *u = new_usage(1), *to = new_usage(2);
	bct_usage_report_t a, b;

	for (uint32_t w = 0; w < windows; w++) {
		for (uint32_t i = 0; i < accounts; i++) {
			char name[BCT_USAGE_ACCOUNT_BYTES];

			snprintf(name, sizeof(name), "%0*u", (int)name_bytes, i);
			for (uint32_t k = 0; k <= i % 3; k++)
				bct_usage_began(u, WINDOW + w, name);
		}
	}
	cr_assert_gt(send_all(u, to), 0);
	for (uint32_t w = 0; w < windows; w++) {
		cr_assert_eq(bct_usage_decide(u, WINDOW + w, &a), 0);
		cr_assert_eq(bct_usage_decide(to, WINDOW + w, &b), 0);
		cr_assert_eq(a.n, b.n);
		for (uint32_t i = 0; i < a.n; i++) {
			cr_assert_str_eq(a.counts[i].account, b.counts[i].account);
			cr_assert_eq(a.counts[i].requests, b.counts[i].requests);
		}
		bct_usage_report_free(&a);
		bct_usage_report_free(&b);
	}
	bct_usage_free(u);
	bct_usage_free(to);
}

Test(usage_pack, messages_fit_into_a_datagram)
{
	expect_fits(350, 3, 4);
	expect_fits(350, 11, 4);
	expect_fits(350, BCT_USAGE_ACCOUNT_BYTES - 1, 4);
	expect_fits(1, 8, BCT_USAGE_WINDOWS);
}

#define REQUESTS_PER_S 12 /* of a node: the size to design for */
#define SECONDS 40
#define STEP_MS 100
#define KEEPERS 3
#define TIME_RECEIVERS 4
#define MAX_SENT_PER_S 5200	  /* bytes of a node; 13,000 are allowed for everything */
#define MAX_RECEIVED_PER_S 480000 /* bytes of a keeper; the slowest links take 1,250,000 */

typedef struct traffic {
	uint64_t bytes; /* to one keeper */
	uint64_t messages;
} traffic_t;

static void count_message(traffic_t *t, bct_usage_pack_t *p)
{
	t->bytes += encoded_bytes(p) + MAC_BYTES + IP_UDP_BYTES;
	t->messages++;
}

static void run_round(bct_usage_rounds_t *r, const bct_usage_t *u, traffic_t *t)
{
	bct_usage_round_pos_t pos = { 0 };
	bct_usage_item_t item;
	bct_usage_pack_t p;

	bct_usage_pack_init(&p, 1);
	while (bct_usage_round_next(r, u, 0, &pos, &item)) {
		if (bct_usage_pack_add(&p, &item))
			continue;
		count_message(t, &p);
		bct_usage_pack_init(&p, 1);
		bct_usage_pack_add(&p, &item);
	}
	if (p.n_counts)
		count_message(t, &p);
}

/* What a node sends to one keeper in SECONDS. */
static traffic_t steady_traffic(uint32_t nodes, uint32_t accounts)
{
	uint64_t live[] = { 1, 2, 3 };
	bct_usage_fleet_t fleet = { .live = live, .n = KEEPERS, .self = 1000 };
	bct_usage_rounds_t r = { 0 };
	bct_usage_t *u = new_usage(1000);
	traffic_t t = { 0 };
	bct_time_t round_at = 0;
	bct_rng_t rng;

	bct_rng_seed(&rng, 1);
	for (bct_time_t now = STEP_MS; now <= SECONDS * 1000; now += STEP_MS) {
		uint64_t window = WINDOW + (uint64_t)now / 5000;

		for (uint32_t i = bct_rng_below(&rng, 2 * REQUESTS_PER_S * STEP_MS / 1000 + 2);
		     i > 0; i--) {
			char name[32];

			snprintf(name, sizeof(name), "account-%03u", bct_rng_below(&rng, accounts));
			bct_usage_began(u, window, name);
		}
		bct_usage_expire(u, window);
		if (now - round_at < bct_usage_round_ms(nodes))
			continue;
		round_at = now;
		bct_usage_round_begin(&r, now, u, &fleet, window);
		run_round(&r, u, &t);
	}
	bct_usage_free(u);
	return t;
}

/* Guards against a keeper that is sent more than it can take, and against costly messages. */
static void expect_traffic(uint32_t nodes, uint32_t accounts)
{
	traffic_t t = steady_traffic(nodes, accounts);
	bct_usage_pack_t empty;
	uint64_t time_bytes, sent, received;

	bct_usage_pack_init(&empty, 1);
	time_bytes = TIME_RECEIVERS * (encoded_bytes(&empty) + MAC_BYTES + IP_UDP_BYTES);
	sent = t.bytes * KEEPERS / SECONDS + time_bytes;
	received = t.bytes * (nodes - 1) / SECONDS + time_bytes;
	printf("%u nodes, %u accounts: a node sends %llu bytes/s, a keeper receives %llu bytes/s "
	       "in %llu messages/s\n",
	       nodes, accounts, (unsigned long long)sent, (unsigned long long)received,
	       (unsigned long long)(t.messages * (nodes - 1) / SECONDS));
	cr_expect_leq(sent, MAX_SENT_PER_S);
	cr_expect_leq(received, MAX_RECEIVED_PER_S);
}

Test(usage_pack, traffic_is_bounded)
{
	expect_traffic(7, 24);
	expect_traffic(89, 24);
	expect_traffic(195, 24);
	expect_traffic(350, 350);
}
