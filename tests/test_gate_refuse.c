/*
 * test_gate_refuse.c - who is refused under load. Each test names the load that it is about.
 */
#include "policy/gate_refuse.h"

#include <criterion/criterion.h>

#define SERVICE 7
#define START 1000000

static bct_gate_refuse_t refuse;

static void set_up(void)
{
	bct_gate_refuse_init(&refuse);
}

static void tear_down(void)
{
	bct_gate_refuse_free(&refuse);
}

/* A request whose wait is most of its time to the first byte. */
static bct_gate_refuse_input_t demand(uint32_t rank, uint32_t target_ms, uint32_t remaining_ms,
				      uint32_t first_byte_ms)
{
	return (bct_gate_refuse_input_t){
		.service_key = SERVICE,
		.rank = rank,
		.levels = 3,
		.target_ms = target_ms,
		.remaining_ms = remaining_ms,
		.delay_ms = first_byte_ms > 40 ? first_byte_ms - 20 : 20,
		.first_byte_ms = first_byte_ms,
	};
}

static uint32_t ask(bct_time_t at, uint32_t rank, uint32_t target_ms, uint32_t remaining_ms,
		    uint32_t first_byte_ms)
{
	bct_gate_refuse_input_t d = demand(rank, target_ms, remaining_ms, first_byte_ms);

	return bct_gate_refuse(&refuse, at, &d).retry_after_ms;
}

/* n requests of one kind over the span; returns how many were refused. */
static uint32_t press(bct_time_t from, uint32_t span_ms, uint32_t n, uint32_t rank,
		      uint32_t first_byte_ms)
{
	uint32_t refused = 0;

	for (uint32_t i = 0; i < n; i++)
		refused += ask(from + (bct_time_t)i * span_ms / n, rank, 2000, 6000,
			       first_byte_ms) > 0;
	return refused;
}

/* Demand past capacity: refused at once, with a return that follows the excess; never when free. */
Test(gate_refuse, a_burst_is_refused_by_the_objective, .init = set_up, .fini = tear_down)
{
	cr_assert_eq(ask(START, 0, 500, 4000, 20), 0);
	cr_assert_eq(ask(START, 0, 500, 4000, 1000), 0);
	cr_assert_eq(ask(START, 0, 500, 4000, 1400), 400);
	cr_assert_eq(ask(START, 0, 500, 4000, 9000), 1000, "a quarter of the time left");
	cr_assert_gt(ask(START, 0, 500, 2000, 900), 0, "little time is left");
	cr_assert_gt(ask(START, 0, 500, 3, 900), 0, "no time is left");
}

/* A long prompt that nothing waits before: its own reading time is no reason to refuse it. */
Test(gate_refuse, an_idle_engine_takes_any_size, .init = set_up, .fini = tear_down)
{
	bct_gate_refuse_input_t d = demand(2, 500, 4000, 3000);

	d.delay_ms = 0;
	press(START, 1000, 100, 2, 2000);
	cr_assert_eq(bct_gate_refuse(&refuse, START + 1000, &d).retry_after_ms, 0);
}

/* A short burst waits; the same wait under steady overload is refused, and accepted after it. */
Test(gate_refuse, steady_overload_shortens_the_wait, .init = set_up, .fini = tear_down)
{
	cr_assert_eq(ask(START, 2, 2000, 6000, 1500), 0);
	cr_assert_gt(press(START, 3000, 300, 2, 1500), 250);
	cr_assert_gt(ask(START + 3000, 2, 2000, 6000, 1500), 0);
	cr_assert_eq(press(START + 3000, 4000, 400, 2, 50), 0);
	cr_assert_eq(ask(START + 7000, 2, 2000, 6000, 1500), 0);
}

/* Overload from kinds of unlike urgency: the least urgent is refused first. */
Test(gate_refuse, the_least_urgent_waits_least, .init = set_up, .fini = tear_down)
{
	press(START, 2000, 200, 2, 3000);
	cr_assert_eq(ask(START + 2000, 0, 2000, 6000, 700), 0);
	cr_assert_gt(ask(START + 2000, 2, 2000, 6000, 700), 0);
}

/*
 * Kinds whose objectives run against their urgency: the urgent one has a strict objective and
 * would be refused at a wait at which the patient, less urgent one is sent.
 */
Test(gate_refuse, nothing_is_refused_where_less_urgent_work_is_sent, .init = set_up,
     .fini = tear_down)
{
	cr_assert_gt(ask(START, 0, 200, 6000, 900), 0, "by its own objective");
	cr_assert_eq(ask(START, 2, 2000, 6000, 900), 0);
	cr_assert_eq(ask(START + 10, 0, 200, 6000, 900), 0);
	cr_assert_gt(ask(START + 10, 0, 200, 1200, 900), 0, "too little time is left");
	cr_assert_gt(ask(START + 2000, 0, 200, 6000, 900), 0, "none was sent of late");
}

/* Another service's overload is its own affair. */
Test(gate_refuse, services_are_apart, .init = set_up, .fini = tear_down)
{
	bct_gate_refuse_input_t d = demand(2, 2000, 6000, 1500);

	press(START, 2000, 200, 2, 3000);
	d.service_key = SERVICE + 1;
	cr_assert_eq(bct_gate_refuse(&refuse, START + 2000, &d).retry_after_ms, 0);
}

/* Seconds without requests, and a clock that has run far, do no harm. */
Test(gate_refuse, long_silence_forgets, .init = set_up, .fini = tear_down)
{
	press(START, 2000, 200, 2, 3000);
	cr_assert_eq(ask(START + 86400000, 2, 2000, 6000, 1500), 0);
}
