/*
 * test_gate_returns.c - room for callers that were refused and told when to come back.
 */
#include "policy/gate_returns.h"

#include <criterion/criterion.h>

#define SERVICE 7
#define START 1000000

static bct_gate_returns_t returns;

static void set_up(void)
{
	bct_gate_returns_init(&returns);
}

static void tear_down(void)
{
	bct_gate_returns_free(&returns);
}

/* 10 engines and 2 nodes: a request of 30 ms occupies 20 ms of this node's part of the room. */
static bct_gate_return_input_t input_of(uint32_t rank)
{
	return (bct_gate_return_input_t){
		.service_key = SERVICE,
		.rank = rank,
		.levels = 3,
		.work_ms = 30,
		.earliest_ms = 200,
		.latest_ms = 1000,
		.engines = 10,
		.nodes = 2,
	};
}

static uint32_t book(bct_time_t at, uint64_t digest, uint32_t rank)
{
	bct_gate_return_input_t in = input_of(rank);

	return bct_gate_returns_book(&returns, at, digest, &in);
}

/* A wave of refused callers must not come back in one moment: each gets time of its own. */
Test(gate_returns, callers_are_spread_by_their_work, .init = set_up, .fini = tear_down)
{
	for (uint32_t i = 0; i <= 40; i++)
		cr_assert_eq(book(START, i + 1, 1), 200 + i * 20);
	cr_assert_eq(book(START, 100, 1), 0, "no room within the time that it waits");
}

/* Refused callers that are less urgent must not take the room of more urgent ones. */
Test(gate_returns, urgent_callers_come_back_first, .init = set_up, .fini = tear_down)
{
	for (uint32_t i = 0; i < 10; i++)
		book(START, i + 1, 2);
	cr_assert_eq(book(START, 100, 0), 200);
	cr_assert_eq(book(START, 101, 0), 220);
	cr_assert_eq(book(START, 102, 2), 200 + 12 * 20, "and it waits for the urgent ones");
}

/* A caller that asks again and again must not gain by it. */
Test(gate_returns, asking_often_gains_nothing, .init = set_up, .fini = tear_down)
{
	cr_assert_eq(book(START, 1, 1), 200);
	for (uint32_t i = 1; i < 18; i++) {
		cr_assert_not(bct_gate_returns_take(&returns, START + i * 10, 1));
		cr_assert_eq(book(START + i * 10, 1, 1), 200 - i * 10, "it is told the same time");
	}
	cr_assert_eq(book(START, 2, 1), 220, "the others lose nothing");
	cr_assert(bct_gate_returns_take(&returns, START + 200, 1));
	cr_assert_not(bct_gate_returns_take(&returns, START + 201, 1), "a promise is used once");
	cr_assert_eq(book(START + 300, 1, 1), 0, "and there is no second one");
	cr_assert_eq(book(START + 10000, 1, 1), 200, "but for a request much later");
}

/* A caller that comes to another node than the one that refused it is recognized there. */
Test(gate_returns, promises_of_other_nodes_count, .init = set_up, .fini = tear_down)
{
	cr_assert_not(bct_gate_returns_any(&returns, START));
	bct_gate_returns_learn(&returns, START, 1, 300);
	bct_gate_returns_learn(&returns, START, 1, 900);
	cr_assert(bct_gate_returns_any(&returns, START));
	cr_assert_not(bct_gate_returns_take(&returns, START + 200, 1));
	cr_assert(bct_gate_returns_take(&returns, START + 300, 1));
	bct_gate_returns_learn(&returns, START, 2, 300);
	cr_assert_not(bct_gate_returns_take(&returns, START + 1400, 2), "it came too late");
	cr_assert_not(bct_gate_returns_any(&returns, START + 1400));
}

/* New requests see the promised time as taken, but not by callers less urgent than themselves. */
Test(gate_returns, promised_room_is_reserved, .init = set_up, .fini = tear_down)
{
	bct_gate_return_input_t urgent = input_of(0), low = input_of(2);

	for (uint32_t i = 0; i < 20; i++)
		book(START, i + 1, 2);
	cr_assert_eq(bct_gate_returns_reserved_ms(&returns, START, &low, 1000), 180);
	cr_assert_eq(bct_gate_returns_reserved_ms(&returns, START, &low, 100), 30);
	cr_assert_eq(bct_gate_returns_reserved_ms(&returns, START, &urgent, 1000), 0);
	cr_assert_eq(bct_gate_returns_reserved_ms(&returns, START + 700, &low, 1000), 0);
}

/* More promises than the table holds must not exhaust the memory; the last ones are kept. */
Test(gate_returns, memory_is_bounded, .init = set_up, .fini = tear_down)
{
	uint32_t kept = 0;

	for (uint64_t i = 1; i <= 100000; i++)
		bct_gate_returns_learn(&returns, START + (bct_time_t)i / 1000, i, 500);
	for (uint64_t i = 99001; i <= 100000; i++)
		kept += bct_gate_returns_take(&returns, START + 700, i);
	cr_assert_eq(kept, 1000);
	cr_assert_eq(book(START, 0, 1), 0, "no digest: nothing is promised");
}
