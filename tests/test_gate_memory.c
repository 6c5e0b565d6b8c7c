/*
 * test_gate_memory.c - what a node does as callers and upstreams that read slowly fill its buffers.
 */
#include "policy/gate_memory.h"

#include <criterion/criterion.h>

#define BOUND 1000000U /* bytes */
#define N 8
#define START 1000

static bct_gate_memory_t m;
static bct_gate_memory_account_t a[N];

static void set_up(void)
{
	bct_gate_memory_init(&m, BOUND / BCT_GATE_MEMORY_SHARE_PERMILLE * 1000);
	for (int i = 0; i < N; i++)
		bct_gate_memory_open(&m, &a[i]);
}

TestSuite(gate_memory, .init = set_up);

static void hold(int i, bct_time_t now, bct_gate_memory_kind_t kind, size_t bytes)
{
	bct_gate_memory_change(&m, &a[i], now, kind, bytes, 0);
}

/* A node without a bound takes no step, whatever it holds. */
Test(gate_memory, without_a_bound_nothing_is_refused)
{
	bct_gate_memory_init(&m, 0);
	bct_gate_memory_open(&m, &a[0]);
	hold(0, START, BCT_GATE_MEMORY_UNREAD, SIZE_MAX / 4);
	cr_expect_eq(bct_gate_memory_level(&m), BCT_GATE_MEMORY_FREE);
	cr_expect(bct_gate_memory_may_read_body(&m, &a[0]));
	cr_expect_null(bct_gate_memory_to_cut(&m, START + 50, false));
}

/* Guards against sums that drift: a connection that ends frees all that it held. */
Test(gate_memory, a_closed_connection_holds_nothing)
{
	bct_gate_memory_account_t zeroed = { 0 };

	hold(0, START, BCT_GATE_MEMORY_REQUEST, 300000);
	hold(0, START, BCT_GATE_MEMORY_KEPT, 300000);
	hold(1, START, BCT_GATE_MEMORY_UNREAD, 100000);
	bct_gate_memory_change(&m, &a[1], START, BCT_GATE_MEMORY_UNREAD, 0, 60000);
	cr_expect_eq(m.total_bytes, 640000);
	cr_expect_eq(bct_gate_memory_level(&m), BCT_GATE_MEMORY_WAIT);
	bct_gate_memory_close(&m, &a[0]);
	bct_gate_memory_close(&m, &a[0]);
	bct_gate_memory_close(&m, &zeroed);
	cr_expect_eq(m.total_bytes, 40000);
	cr_expect_eq(bct_gate_memory_level(&m), BCT_GATE_MEMORY_FREE);
}

/* Many large uploads: those that began end first, so that not all of them stop half way. */
Test(gate_memory, bodies_wait_and_the_oldest_goes_on)
{
	cr_expect(bct_gate_memory_may_read_body(&m, &a[1]));
	cr_expect(bct_gate_memory_may_read_body(&m, &a[0]));
	hold(0, START, BCT_GATE_MEMORY_REQUEST, BOUND * 6 / 10);
	cr_expect_eq(bct_gate_memory_level(&m), BCT_GATE_MEMORY_WAIT);
	cr_expect(bct_gate_memory_may_read_body(&m, &a[0]));
	cr_expect_not(bct_gate_memory_may_read_body(&m, &a[2]), "one that had not begun");
	hold(1, START, BCT_GATE_MEMORY_REQUEST, BOUND * 2 / 10);
	cr_expect_eq(bct_gate_memory_level(&m), BCT_GATE_MEMORY_REFUSE);
	cr_expect(bct_gate_memory_may_read_body(&m, &a[1]));
	cr_expect_not(bct_gate_memory_may_read_body(&m, &a[0]));
	bct_gate_memory_body_ended(&m, &a[1]);
	cr_expect(bct_gate_memory_may_read_body(&m, &a[0]), "the next one");
	hold(1, START, BCT_GATE_MEMORY_REQUEST, BOUND / 10);
	cr_expect_not(bct_gate_memory_may_read_body(&m, &a[0]), "at the bound none is read");
	bct_gate_memory_close(&m, &a[0]);
	cr_expect(bct_gate_memory_may_read_body(&m, &a[2]), "there is room again");
}

/* Callers that stop reading: the one that stopped first is cut, and no more than needed. */
Test(gate_memory, the_response_unread_for_longest_is_cut)
{
	for (int i = 0; i < N; i++)
		hold(i, START + (i * 3) % N, BCT_GATE_MEMORY_UNREAD, BOUND / 10);
	cr_expect_null(bct_gate_memory_to_cut(&m, START + 50, false));
	/* It has read all there was, so that its output is unread only from now on. */
	bct_gate_memory_change(&m, &a[0], START + 20, BCT_GATE_MEMORY_UNREAD, 0, BOUND / 10);
	hold(0, START + 20, BCT_GATE_MEMORY_UNREAD, BOUND * 2 / 10);
	cr_expect_eq(bct_gate_memory_to_cut(&m, START + 50, false), &a[3]);
	bct_gate_memory_close(&m, &a[3]);
	cr_expect_null(bct_gate_memory_to_cut(&m, START + 50, false));
}

/* Little unread output is not worth a lost response; a response that is being collected is. */
Test(gate_memory, a_kept_response_is_cut_if_no_output_is_large)
{
	hold(0, START, BCT_GATE_MEMORY_UNREAD, 500);
	hold(1, START, BCT_GATE_MEMORY_KEPT, BOUND * 4 / 10);
	hold(2, START, BCT_GATE_MEMORY_KEPT, BOUND * 5 / 10);
	cr_expect_eq(bct_gate_memory_to_cut(&m, START + 50, false), &a[2]);
	hold(3, START, BCT_GATE_MEMORY_UNREAD, BCT_GATE_MEMORY_CUT_MIN_BYTES);
	cr_expect_eq(bct_gate_memory_to_cut(&m, START + 50, false), &a[3]);
	bct_gate_memory_init(&m, BOUND);
	bct_gate_memory_open(&m, &a[0]);
	hold(0, START, BCT_GATE_MEMORY_REQUEST, BOUND);
	cr_expect_null(bct_gate_memory_to_cut(&m, START + 50, false), "a request is never cut");
}

/* Callers that read nothing while others are refused: they are cut, but none that began to read
 * slowly just now, and only until the others have room. */
Test(gate_memory, what_is_unread_for_long_gives_way)
{
	bct_time_t now = START + BCT_GATE_MEMORY_WANT_MS;

	for (int i = 0; i < N; i++)
		hold(i, START + i, BCT_GATE_MEMORY_UNREAD, BOUND / 10);
	cr_expect_null(bct_gate_memory_to_cut(&m, now, false), "nobody wants room");
	cr_expect_null(bct_gate_memory_to_cut(&m, now - 1, true));
	cr_expect_eq(bct_gate_memory_to_cut(&m, now, true), &a[0]);
	bct_gate_memory_close(&m, &a[0]);
	cr_expect_null(bct_gate_memory_to_cut(&m, now, true), "the others are not unread for long");
	cr_expect_eq(bct_gate_memory_to_cut(&m, now + N, true), &a[1]);
	bct_gate_memory_close(&m, &a[1]);
	bct_gate_memory_close(&m, &a[2]);
	cr_expect_null(bct_gate_memory_to_cut(&m, now + N, true), "there is room");
}

/* Callers that send requests ahead and wait for nothing: they end only if nothing unread or kept
 * can be cut, the one with most sent ahead first; or when others have been in want of room for
 * long. */
Test(gate_memory, what_was_sent_ahead_gives_way_last)
{
	bct_time_t now = START + BCT_GATE_MEMORY_WANT_MS;

	hold(0, START, BCT_GATE_MEMORY_REQUEST, BOUND * 5 / 10);
	hold(1, START, BCT_GATE_MEMORY_AHEAD, BOUND * 2 / 10);
	hold(2, START + 50, BCT_GATE_MEMORY_AHEAD, BOUND * 1 / 10);
	cr_expect_eq(bct_gate_memory_level(&m), BCT_GATE_MEMORY_REFUSE, "the kernel's bytes count");
	cr_expect_null(bct_gate_memory_to_cut(&m, now, false), "nobody wants room");
	cr_expect_null(bct_gate_memory_to_cut(&m, now - 1, true), "not ahead for long");
	cr_expect_eq(bct_gate_memory_to_cut(&m, now, true), &a[1]);
	hold(3, START, BCT_GATE_MEMORY_KEPT, BOUND * 1 / 10);
	cr_expect_eq(bct_gate_memory_to_cut(&m, START, false), &a[3]);
	bct_gate_memory_close(&m, &a[3]);
	hold(0, START, BCT_GATE_MEMORY_REQUEST, BOUND * 1 / 10);
	cr_expect_eq(bct_gate_memory_to_cut(&m, START, false), &a[1]);
	bct_gate_memory_close(&m, &a[1]);
	cr_expect_null(bct_gate_memory_to_cut(&m, START, false), "there is room");
}

/* Callers that announce long bodies and never end them: they hold a part of the bound, and short
 * bodies of others are still read. */
Test(gate_memory, bodies_that_never_end_leave_room)
{
	for (int i = 0; i < 4; i++)
		bct_gate_memory_expect(&a[i], BOUND * 2 / 10);
	cr_expect(bct_gate_memory_may_read_body(&m, &a[0]));
	cr_expect(bct_gate_memory_may_read_body(&m, &a[1]));
	cr_expect_not(bct_gate_memory_may_read_body(&m, &a[2]), "no third one fits");
	hold(0, START, BCT_GATE_MEMORY_REQUEST, BOUND * 2 / 10);
	hold(1, START, BCT_GATE_MEMORY_REQUEST, BOUND * 2 / 10);
	cr_expect_eq(bct_gate_memory_level(&m), BCT_GATE_MEMORY_FREE, "nothing is refused");
	bct_gate_memory_expect(&a[4], 1000);
	cr_expect(bct_gate_memory_may_read_body(&m, &a[4]), "a short one");
	bct_gate_memory_body_ended(&m, &a[4]);
	bct_gate_memory_body_ended(&m, &a[0]);
	cr_expect(bct_gate_memory_may_read_body(&m, &a[2]), "the next one");
	bct_gate_memory_close(&m, &a[1]);
	cr_expect(bct_gate_memory_may_read_body(&m, &a[3]),
		  "a connection that ended expects nothing");
}

/* The only body is read, even if it is longer than the part that bodies may hold. */
Test(gate_memory, one_body_may_always_begin)
{
	bct_gate_memory_expect(&a[0], 2 * BOUND);
	cr_expect(bct_gate_memory_may_read_body(&m, &a[0]));
	bct_gate_memory_expect(&a[1], 1);
	cr_expect_not(bct_gate_memory_may_read_body(&m, &a[1]));
	bct_gate_memory_body_ended(&m, &a[0]);
	cr_expect(bct_gate_memory_may_read_body(&m, &a[1]));
}
