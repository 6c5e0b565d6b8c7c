/*
 * test_usage.c - counters of requests by window, account and node: the exchange between nodes, what
 * is reported, and what survives the loss of nodes.
 */
#include "base/rng.h"
#include "policy/usage_round.h"

#include <criterion/criterion.h>
#include <malloc.h>
#include <stdio.h>
#include <time.h>

#define WINDOW 353445120ULL
#define SELF 1

static bct_usage_t *new_usage(uint64_t incarnation)
{
	bct_usage_t *u = NULL;

	cr_assert_eq(bct_usage_new(incarnation, &u), 0);
	return u;
}

static void began(bct_usage_t *u, const char *account, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++)
		bct_usage_began(u, WINDOW, account);
}

static uint32_t decided(const bct_usage_t *u, uint64_t window, const char *account)
{
	bct_usage_report_t r;
	uint32_t n = 0;

	cr_assert_eq(bct_usage_decide(u, window, &r), 0);
	cr_assert_eq(r.window, window);
	for (uint32_t i = 0; i < r.n; i++) {
		if (!strcmp(r.counts[i].account, account))
			n += r.counts[i].requests;
		cr_assert(!i || strcmp(r.counts[i - 1].account, r.counts[i].account) < 0,
			  "accounts are in order, each once");
	}
	bct_usage_report_free(&r);
	return n;
}

/* All counters of one node go to another one. */
static void send(const bct_usage_t *from, bct_usage_t *to)
{
	bct_usage_item_t item;
	uint32_t pos = 0;

	while (bct_usage_next_item(from, 0, &pos, &item))
		bct_usage_merge(to, item.incarnation, item.window, item.account, item.requests);
}

/* The checkpoint of one node is taken over by another one. */
static void hand_over(const bct_usage_t *from, bct_usage_t *to)
{
	bct_usage_open_t o;

	cr_assert_eq(bct_usage_checkpoint(from, WINDOW, &o), 0);
	cr_assert_eq(bct_usage_restore(to, &o), 0);
	bct_usage_open_free(&o);
}

/* Guards against a message that is repeated, late or out of order counting twice or backwards. */
Test(usage, a_counter_merges_by_its_maximum)
{
	bct_usage_t *u = new_usage(SELF);

	began(u, "acme", 2);
	cr_assert(bct_usage_merge(u, 2, WINDOW, "acme", 5));
	cr_assert(bct_usage_merge(u, 2, WINDOW, "acme", 9));
	cr_assert_not(bct_usage_merge(u, 2, WINDOW, "acme", 9), "repeated");
	cr_assert_not(bct_usage_merge(u, 2, WINDOW, "acme", 5), "late");
	cr_assert(bct_usage_merge(u, 3, WINDOW, "acme", 1));
	cr_assert(bct_usage_merge(u, 3, WINDOW, "zeta", 4));
	cr_assert(bct_usage_merge(u, 3, WINDOW + 1, "acme", 7));
	cr_assert_eq(decided(u, WINDOW, "acme"), 12);
	cr_assert_eq(decided(u, WINDOW, "zeta"), 4);
	cr_assert_eq(decided(u, WINDOW + 1, "acme"), 7);
	cr_assert_eq(decided(u, WINDOW + 2, "acme"), 0, "nothing ran");
	bct_usage_free(u);
}

/* Guards against counting what no account is charged for, and an own counter set by another node.
 */
Test(usage, what_is_not_counted)
{
	char name[BCT_USAGE_ACCOUNT_BYTES + 1];
	bct_usage_t *u = new_usage(SELF);

	memset(name, 'x', sizeof(name) - 1);
	name[sizeof(name) - 1] = 0;
	began(u, NULL, 1);
	began(u, "", 1);
	began(u, name, 1);
	cr_assert_eq(bct_usage_changes(u), 0);
	cr_assert_not(bct_usage_merge(u, 2, WINDOW, "", 1));
	cr_assert_not(bct_usage_merge(u, 2, WINDOW, name, 1));
	cr_assert_not(bct_usage_merge(u, 2, WINDOW, "acme", 0));
	cr_assert_not(bct_usage_merge(u, SELF, WINDOW, "acme", 8));
	cr_assert_eq(decided(u, WINDOW, "acme"), 0);
	bct_usage_free(u);
}

/* Guards against a change that is not sent, or all counters being sent each time. */
Test(usage, items_are_the_changes)
{
	bct_usage_t *u = new_usage(SELF);
	bct_usage_item_t item;
	uint64_t changes;
	uint32_t pos = 0, n = 0;

	bct_usage_began(u, WINDOW + 1, "acme");
	began(u, "acme", 2);
	began(u, "zeta", 1);
	bct_usage_merge(u, 2, WINDOW, "acme", 5);
	cr_assert(bct_usage_next_item(u, 0, &pos, &item));
	cr_assert_eq(item.window, WINDOW, "oldest first");
	cr_assert_eq(item.incarnation, SELF);
	while (bct_usage_next_item(u, 0, &pos, &item))
		n++;
	cr_assert_eq(n, 2, "counters of other nodes are not sent");
	changes = bct_usage_changes(u);
	pos = 0;
	cr_assert_not(bct_usage_next_item(u, changes, &pos, &item));
	began(u, "zeta", 3);
	cr_assert(bct_usage_next_item(u, changes, &pos, &item) == false, "the end stays the end");
	pos = 0;
	cr_assert(bct_usage_next_item(u, changes, &pos, &item));
	cr_assert_str_eq(item.account, "zeta");
	cr_assert_eq(item.requests, 4);
	cr_assert_not(bct_usage_next_item(u, changes, &pos, &item));
	bct_usage_free(u);
}

/* Guards against windows that are kept for ever, or lost while they are still to be reported. */
Test(usage, windows_expire)
{
	bct_usage_t *u = new_usage(SELF);

	for (uint32_t i = 0; i < 100; i++) {
		bct_usage_expire(u, WINDOW + i);
		bct_usage_began(u, WINDOW + i, "acme");
		bct_usage_merge(u, 2, WINDOW + i, "acme", 2);
		bct_usage_merge(u, 2, WINDOW + i + 1, "acme", 1);
	}
	for (uint32_t i = 0; i < 100; i++)
		cr_assert_eq(decided(u, WINDOW + i, "acme"), i < 100 - BCT_USAGE_WINDOWS ? 0 : 3,
			     "window %u", i);
	cr_assert_not(bct_usage_merge(u, 2, WINDOW, "acme", 5), "too old");
	cr_assert_not(bct_usage_merge(u, 2, WINDOW + 1000, "acme", 5), "too far ahead");
	cr_assert_eq(decided(u, WINDOW + 99, "acme"), 3);
	bct_usage_free(u);
}

/* Guards against the loss of all counts when no node is left that has them. */
Test(usage, all_nodes_killed)
{
	bct_usage_t *u = new_usage(SELF), *next = new_usage(9), *last = new_usage(10);

	began(u, "acme", 7);
	bct_usage_merge(u, 2, WINDOW, "acme", 5);
	bct_usage_merge(u, 3, WINDOW, "zeta", 11);
	hand_over(u, next);
	began(next, "acme", 100);
	cr_assert_eq(decided(next, WINDOW, "acme"), 112);
	cr_assert_eq(decided(next, WINDOW, "zeta"), 11);
	hand_over(next, last);
	hand_over(next, last);
	cr_assert_eq(decided(last, WINDOW, "acme"), 112, "a second time, taken over twice");
	cr_assert_eq(decided(last, WINDOW, "zeta"), 11);
	bct_usage_free(u);
	bct_usage_free(next);
	bct_usage_free(last);
}

/*
 * Guards against counting the nodes that live on twice, or the killed ones not at all: the part of
 * those is what remains of the checkpoint, by account.
 */
Test(usage, successor_knows_some_incarnations)
{
	bct_usage_t *u = new_usage(SELF), *next = new_usage(2);

	began(u, "acme", 10);
	began(next, "acme", 20);
	send(next, u);
	bct_usage_merge(u, 3, WINDOW, "zeta", 30);
	bct_usage_merge(u, 4, WINDOW, "acme", 3);
	hand_over(u, next);
	cr_assert_eq(decided(next, WINDOW, "acme"), 33);
	cr_assert_eq(decided(next, WINDOW, "zeta"), 30);
	bct_usage_merge(next, 3, WINDOW, "zeta", 31);
	cr_assert_eq(decided(next, WINDOW, "acme"), 33);
	cr_assert_eq(decided(next, WINDOW, "zeta"), 31, "it lives and counts by its own counter");
	bct_usage_free(u);
	bct_usage_free(next);
}

/* Guards against an old checkpoint that hides newer counters. */
Test(usage, checkpoint_older_than_own_counters)
{
	bct_usage_t *u = new_usage(SELF), *next = new_usage(2);

	bct_usage_merge(u, 2, WINDOW, "acme", 10);
	bct_usage_merge(u, 2, WINDOW, "zeta", 10);
	bct_usage_merge(u, 3, WINDOW, "acme", 60);
	bct_usage_merge(u, 3, WINDOW, "zeta", 20);
	began(next, "acme", 20);
	began(next, "zeta", 20);
	hand_over(u, next);
	cr_assert_eq(decided(next, WINDOW, "acme"), 80);
	cr_assert_eq(decided(next, WINDOW, "zeta"), 40);
	bct_usage_free(u);
	bct_usage_free(next);
}

/* Guards against the loss of counts that a killed node sent to the predecessor only. */
Test(usage, checkpoint_newer_than_own_counters)
{
	bct_usage_t *u = new_usage(SELF), *next = new_usage(2);

	bct_usage_merge(u, 3, WINDOW, "acme", 60);
	bct_usage_merge(u, 3, WINDOW, "zeta", 20);
	bct_usage_merge(next, 3, WINDOW, "acme", 50);
	hand_over(u, next);
	cr_assert_eq(decided(next, WINDOW, "acme"), 60);
	cr_assert_eq(decided(next, WINDOW, "zeta"), 20);
	bct_usage_merge(next, 3, WINDOW, "acme", 75);
	bct_usage_merge(next, 3, WINDOW, "zeta", 25);
	cr_assert_eq(decided(next, WINDOW, "acme"), 75);
	cr_assert_eq(decided(next, WINDOW, "zeta"), 25);
	bct_usage_free(u);
	bct_usage_free(next);
}

/* If nothing remains of the sums, the missing part is divided in proportion to them. */
Test(usage, inconsistent_checkpoint_keeps_the_total)
{
	bct_usage_count_t counts[] = { { "acme", 30 }, { "zeta", 10 } };
	bct_usage_share_t shares[] = { { 2, 40 }, { 3, 40 } };
	bct_usage_open_t o = { .sums = { WINDOW, counts, 2 }, .shares = shares, .n_shares = 2 };
	bct_usage_t *u = new_usage(SELF);

	bct_usage_merge(u, 2, WINDOW, "acme", 30);
	bct_usage_merge(u, 2, WINDOW, "zeta", 10);
	cr_assert_eq(bct_usage_restore(u, &o), 0);
	cr_assert_eq(decided(u, WINDOW, "acme"), 60);
	cr_assert_eq(decided(u, WINDOW, "zeta"), 20);
	bct_usage_free(u);
}

/* Guards against nodes that send their counters to different keepers, or not to the holder. */
Test(usage, keepers)
{
	static const uint64_t live[] = { 40, 10, 50, 20, 30 };
	uint64_t k[BCT_USAGE_KEEPERS_MAX];

	cr_assert_eq(bct_usage_keepers(live, 5, 0, k), 3);
	cr_assert(k[0] == 10 && k[1] == 20 && k[2] == 30);
	cr_assert_eq(bct_usage_keepers(live, 5, 20, k), 3, "the holder is one of them");
	cr_assert_eq(bct_usage_keepers(live, 5, 50, k), 4);
	cr_assert_eq(k[3], 50);
	cr_assert_eq(bct_usage_keepers(live, 1, 40, k), 1);
	cr_assert_eq(k[0], 40);
	cr_assert_eq(bct_usage_keepers(live, 0, 0, k), 0);
}

/* Rounds in which the counter of an account is sent to a keeper that has been one for a while. */
static uint32_t times_sent(bct_time_t began_ms)
{
	uint64_t live[] = { 5 };
	bct_usage_fleet_t fleet = { .live = live, .n = 1, .self = SELF };
	bct_usage_t *u = new_usage(SELF);
	bct_usage_rounds_t r = { 0 };
	uint32_t n = 0;

	for (bct_time_t now = 0; now < 30000; now += 500) {
		bct_usage_round_pos_t pos = { 0 };
		bct_usage_item_t item;

		if (now == began_ms)
			began(u, "acme", 1);
		bct_usage_round_begin(&r, now, u, &fleet, WINDOW - 2 + (uint64_t)now / 5000);
		while (bct_usage_round_next(&r, u, 0, &pos, &item))
			n++;
	}
	bct_usage_free(u);
	return n;
}

/* Guards against a change that the loss of one or two datagrams hides for ever. */
Test(usage, a_change_is_sent_three_times)
{
	for (bct_time_t ms = 10000; ms < 15000; ms += 500)
		cr_expect_eq(times_sent(ms), 3, "%lld ms", (long long)ms);
}

/* Guards against a new keeper that lacks the counters of nodes that ended before it was one. */
Test(usage, keepers_tell_each_other_of_nodes_that_ended)
{
	uint64_t live[] = { SELF, 5, 6 };
	bct_usage_fleet_t fleet = { .live = live, .n = 3, .self = SELF };
	bct_usage_t *u = new_usage(SELF), *next = new_usage(5);
	bct_usage_rounds_t r = { 0 };

	bct_usage_merge(u, 4, WINDOW, "acme", 7);
	bct_usage_merge(u, 6, WINDOW, "acme", 100);
	for (bct_time_t now = 3000; now < 9000; now += 500) {
		bct_usage_round_pos_t pos = { 0 };
		bct_usage_item_t i;

		bct_usage_round_begin(&r, now, u, &fleet, WINDOW + (uint64_t)now / 5000);
		while (bct_usage_round_next(&r, u, 1, &pos, &i))
			bct_usage_merge(next, i.incarnation, i.window, i.account, i.requests);
	}
	cr_assert_eq(decided(next, WINDOW, "acme"), 7, "node 6 lives and sends its own");
	bct_usage_free(u);
	bct_usage_free(next);
}

static const char *account(uint32_t i)
{
	static char name[32];

	snprintf(name, sizeof(name), "account-%03u", i);
	return name;
}

#define NODES 350
#define ACCOUNTS 350
#define MAX_BYTES (10 * 1024 * 1024) /* of the 88 MB of a node */
#define CACHE_BYTES (256 * 1024)     /* freed, but counted as used by malloc */
#define MAX_MS 1000		     /* for 12 windows; the 0.12 cores have 60 s for them */

/* Guards against memory and time that grow too much with the size to design for. */
Test(usage, bounded_at_350_nodes_and_accounts)
{
	size_t before = mallinfo2().uordblks;
	bct_usage_t *u = new_usage(SELF);
	clock_t start = clock();

	for (uint32_t w = 0; w < 2 * BCT_USAGE_WINDOWS; w++) {
		bct_usage_expire(u, WINDOW + w);
		for (uint32_t n = 2; n < NODES + 2; n++) {
			for (uint32_t a = 0; a < ACCOUNTS; a++)
				bct_usage_merge(u, n, WINDOW + w, account(a), n);
		}
		if (w >= BCT_USAGE_WINDOWS)
			continue;
		cr_assert_eq(decided(u, WINDOW + w, account(9)), NODES * (NODES + 3) / 2);
	}
	cr_assert_lt((clock() - start) * 1000 / CLOCKS_PER_SEC, 2 * MAX_MS);
	cr_assert_lt(mallinfo2().uordblks - before, MAX_BYTES);
	bct_usage_expire(u, WINDOW + 1000);
	cr_assert_lt(mallinfo2().uordblks - before, CACHE_BYTES, "all is freed");
	bct_usage_free(u);
}
