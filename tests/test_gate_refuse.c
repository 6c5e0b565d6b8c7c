/*
 * test_gate_refuse.c - which requests are refused under load.
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

/* A request that spends most of its time to the first byte waiting. */
static bct_gate_refuse_input_t input_of(uint32_t rank, uint32_t target_ms, uint32_t remaining_ms,
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

static uint32_t refused_for_ms(bct_time_t at, uint32_t rank, uint32_t target_ms,
			       uint32_t remaining_ms, uint32_t first_byte_ms)
{
	bct_gate_refuse_input_t in = input_of(rank, target_ms, remaining_ms, first_byte_ms);

	return bct_gate_refuse(&refuse, at, &in).retry_after_ms;
}

/* Sends n requests of one rank over span_ms; returns how many were refused. */
static uint32_t count_refused(bct_time_t from, uint32_t span_ms, uint32_t n, uint32_t rank,
			      uint32_t first_byte_ms)
{
	uint32_t refused = 0;

	for (uint32_t i = 0; i < n; i++)
		refused += refused_for_ms(from + (bct_time_t)i * span_ms / n, rank, 2000, 6000,
					  first_byte_ms) > 0;
	return refused;
}

/*
 * A burst beyond capacity is refused at once, and asked to retry after a time that grows with the
 * excess; requests that need not wait are always sent.
 */
Test(gate_refuse, a_burst_is_refused_by_the_objective, .init = set_up, .fini = tear_down)
{
	cr_assert_eq(refused_for_ms(START, 0, 500, 4000, 20), 0);
	cr_assert_eq(refused_for_ms(START, 0, 500, 4000, 1000), 0);
	cr_assert_eq(refused_for_ms(START, 0, 500, 4000, 1400), 400);
	cr_assert_eq(refused_for_ms(START, 0, 500, 4000, 9000), 1000,
		     "a quarter of the remaining time");
	cr_assert_gt(refused_for_ms(START, 0, 500, 2000, 900), 0, "little time remains");
	cr_assert_gt(refused_for_ms(START, 0, 500, 3, 900), 0, "no time remains");
}

/* A long prompt on an idle engine is not refused for its own prefill time. */
Test(gate_refuse, an_idle_engine_takes_any_size, .init = set_up, .fini = tear_down)
{
	bct_gate_refuse_input_t in = input_of(2, 500, 4000, 3000);

	in.delay_ms = 0;
	count_refused(START, 1000, 100, 2, 2000);
	cr_assert_eq(bct_gate_refuse(&refuse, START + 1000, &in).retry_after_ms, 0);
}

/* A wait accepted in a short burst is refused under sustained overload, and accepted after it. */
Test(gate_refuse, steady_overload_shortens_the_wait, .init = set_up, .fini = tear_down)
{
	cr_assert_eq(refused_for_ms(START, 2, 2000, 6000, 1500), 0);
	cr_assert_gt(count_refused(START, 3000, 300, 2, 1500), 250);
	cr_assert_gt(refused_for_ms(START + 3000, 2, 2000, 6000, 1500), 0);
	cr_assert_eq(count_refused(START + 3000, 4000, 400, 2, 50), 0);
	cr_assert_eq(refused_for_ms(START + 7000, 2, 2000, 6000, 1500), 0);
}

/* Under overload by requests of different urgency the least urgent are refused first. */
Test(gate_refuse, the_least_urgent_waits_least, .init = set_up, .fini = tear_down)
{
	count_refused(START, 2000, 200, 2, 3000);
	cr_assert_eq(refused_for_ms(START + 2000, 0, 2000, 6000, 700), 0);
	cr_assert_gt(refused_for_ms(START + 2000, 2, 2000, 6000, 700), 0);
}

/*
 * An urgent request with a short latency objective must not be refused at a wait at which a less
 * urgent one with a long objective is sent, although its own objective would call for that.
 */
Test(gate_refuse, nothing_is_refused_where_less_urgent_work_is_sent, .init = set_up,
     .fini = tear_down)
{
	cr_assert_gt(refused_for_ms(START, 0, 200, 6000, 900), 0, "by its own objective");
	cr_assert_eq(refused_for_ms(START, 2, 2000, 6000, 900), 0);
	cr_assert_eq(refused_for_ms(START + 10, 0, 200, 6000, 900), 0);
	cr_assert_gt(refused_for_ms(START + 10, 0, 200, 1200, 900), 0, "too little time remains");
	cr_assert_gt(refused_for_ms(START + 2000, 0, 200, 6000, 900), 0, "none was sent recently");
}

/*
 * A burst of long prompts of low urgency fills all engines' queues: the predicted delay is 1 s
 * everywhere. The engines start on urgent requests first, so these are sent on, also where a node
 * sees only a few requests a second; those of the burst are refused as before.
 */
Test(gate_refuse, urgent_requests_overtake_a_burst_of_long_prompts, .init = set_up,
     .fini = tear_down)
{
	uint32_t refused[3] = { 0 }, n[3] = { 0 };

	for (uint32_t i = 0; i < 100; i++) {
		uint32_t rank = i % 10 == 9 ? 0 : i % 10 == 4 ? 1 : 2;
		bct_gate_refuse_input_t in = input_of(rank, rank == 2 ? 2000 : 500, 6000, 1250);

		in.delay_ms = 1000;
		in.work_ms = rank == 2 ? 300 : 150;
		refused[rank] += bct_gate_refuse(&refuse, START + i * 100, &in).retry_after_ms > 0;
		n[rank]++;
	}
	/* At most a twelfth of a kind of request may get nothing while less urgent ones are served.
	 */
	cr_assert_leq(refused[0] * 12, n[0], "%u of %u", refused[0], n[0]);
	cr_assert_leq(refused[1] * 12, n[1], "%u of %u", refused[1], n[1]);
	cr_assert_gt(refused[2] * 4, n[2], "%u of %u", refused[2], n[2]);
}

/* Overload of one service does not affect another. */
Test(gate_refuse, services_are_independent, .init = set_up, .fini = tear_down)
{
	bct_gate_refuse_input_t in = input_of(2, 2000, 6000, 1500);

	count_refused(START, 2000, 200, 2, 3000);
	in.service_key = SERVICE + 1;
	cr_assert_eq(bct_gate_refuse(&refuse, START + 2000, &in).retry_after_ms, 0);
}

/* Overload no longer counts after a day without requests; the decay copes with the long time. */
Test(gate_refuse, idle_time_resets_overload, .init = set_up, .fini = tear_down)
{
	count_refused(START, 2000, 200, 2, 3000);
	cr_assert_eq(refused_for_ms(START + 86400000, 2, 2000, 6000, 1500), 0);
}
