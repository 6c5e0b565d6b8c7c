/*
 * test_gate_pace.c - the pace of streams, and the refusal of outputs that can't end in time.
 */
#include "policy/gate_pace.h"
#include "policy/gate_refuse.h"

#include <criterion/criterion.h>

#define START 1000000
#define TOKENS_PER_EVENT 4
#define IDLE_GAP_MS 22	  /* between events on an engine that only decodes */
#define LOADED_GAP_MS 280 /* on one that prefills prompts all the time */

static const bct_gate_pace_kind_t drafts = { .service_key = 7, .gap_ms = 1000 };
static const bct_gate_pace_kind_t guides = { .service_key = 7, .gap_ms = 250 };

/* Streams of 13 events each at one pace. */
static bct_time_t observe(bct_gate_pace_t *p, bct_time_t now, uint32_t gap_ms, uint32_t streams)
{
	for (uint32_t i = 0; i < streams; i++) {
		for (uint32_t j = 1; j < 13; j++, now += gap_ms / 4)
			bct_gate_pace_events(p, now, &drafts, 1, gap_ms);
		bct_gate_pace_complete(p, now, &drafts, 13, 13 * TOKENS_PER_EVENT);
	}
	return now;
}

Test(gate_pace, follows_load_within_seconds)
{
	bct_gate_pace_t p;
	bct_time_t now = START;

	bct_gate_pace_init(&p);
	cr_assert_eq(bct_gate_pace_output_ms(&p, now, &drafts, 200), 0, "nothing is known");
	now = observe(&p, now, IDLE_GAP_MS, 20);
	cr_assert_leq(bct_gate_pace_output_ms(&p, now, &drafts, 200), 50 * IDLE_GAP_MS + 50);
	now = observe(&p, now, LOADED_GAP_MS, 10);
	cr_assert_geq(bct_gate_pace_output_ms(&p, now, &drafts, 200), 50 * LOADED_GAP_MS * 3 / 4);
	now = observe(&p, now, IDLE_GAP_MS, 60);
	cr_assert_leq(bct_gate_pace_output_ms(&p, now, &drafts, 200), 50 * IDLE_GAP_MS * 3);
	cr_assert_eq(bct_gate_pace_output_ms(&p, now, &guides, 200), 0, "of another lane");
	cr_assert_eq(bct_gate_pace_output_ms(&p, now + 60000, &drafts, 200), 0, "long ago");
	bct_gate_pace_free(&p);
}

/* A node that sees few streams itself goes by what the other nodes see. */
Test(gate_pace, the_fleet_knows_the_pace)
{
	bct_gate_pace_t p;
	uint32_t sums[BCT_GATE_PACE_SUMS] = { 100 * LOADED_GAP_MS, 100, 400, 100 };

	bct_gate_pace_init(&p);
	bct_gate_pace_events(&p, START, &drafts, 1, IDLE_GAP_MS);
	bct_gate_pace_add_peer(&p, START, &drafts, sums);
	cr_assert_geq(bct_gate_pace_output_ms(&p, START, &drafts, 200),
		      50 * LOADED_GAP_MS * 9 / 10);
	for (int i = 0; i < BCT_GATE_PACE_SUMS; i++)
		sums[i] = -sums[i];
	bct_gate_pace_add_peer(&p, START, &drafts, sums);
	cr_assert_eq(bct_gate_pace_output_ms(&p, START, &drafts, 200), 0);
	bct_gate_pace_free(&p);
}

static uint32_t refused_for_ms(bct_gate_refuse_t *f, uint32_t delay_ms, uint32_t output_ms)
{
	bct_gate_refuse_input_t in = {
		.service_key = 7,
		.rank = 2,
		.levels = 3,
		.target_ms = 1500,
		.remaining_ms = 5000,
		.delay_ms = delay_ms,
		.first_byte_ms = delay_ms + 150,
		.work_ms = 150,
		.output_ms = output_ms,
	};

	return bct_gate_refuse(f, START, &in).retry_after_ms;
}

/*
 * A burst of drafts keeps all engines of their lane prefilling. A draft whose output would end long
 * after the caller has left is refused at once; one with a short output is sent, and so is any that
 * finds an idle engine.
 */
Test(gate_pace, an_output_that_cannot_end_in_time_is_refused)
{
	bct_gate_refuse_t f;

	bct_gate_refuse_init(&f);
	cr_assert_eq(refused_for_ms(&f, 600, 13 * LOADED_GAP_MS), 0);
	cr_assert_gt(refused_for_ms(&f, 600, 40 * LOADED_GAP_MS), 0);
	cr_assert_eq(refused_for_ms(&f, 0, 40 * LOADED_GAP_MS), 0);
	bct_gate_refuse_free(&f);
}
