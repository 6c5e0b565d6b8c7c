/*
 * test_queue.c - the hash table, the heap, the queue of a tier and the learnt output lengths.
 */
#include "base/map.h"
#include "base/rng.h"
#include "policy/length.h"
#include "policy/queue.h"

#include <criterion/criterion.h>
#include <string.h>

#define SEED 11

Test(map, agrees_with_a_plain_array)
{
	static char values[512];
	bool in[512] = { false };
	bct_map_t m = { 0 };
	bct_rng_t rng;

	bct_rng_seed(&rng, SEED);
	for (uint32_t i = 0; i < 20000; i++) {
		uint32_t k = bct_rng_below(&rng, 512);

		if (bct_rng_below(&rng, 2)) {
			cr_assert_eq(bct_map_put(&m, k * 16, &values[k]), 0);
			in[k] = true;
		} else {
			cr_assert_eq(bct_map_del(&m, k * 16), in[k] ? &values[k] : NULL);
			in[k] = false;
		}
		k = bct_rng_below(&rng, 512);
		cr_assert_eq(bct_map_get(&m, k * 16), in[k] ? &values[k] : NULL, "seed %d", SEED);
	}
	bct_map_free(&m);
}

Test(heap, root_is_the_minimum_under_random_changes)
{
	bct_heap_node_t nodes[200] = { 0 };
	bct_heap_t h = { 0 };
	bct_rng_t rng;

	bct_rng_seed(&rng, SEED);
	for (uint32_t i = 0; i < 20000; i++) {
		bct_heap_node_t *n = &nodes[bct_rng_below(&rng, 200)];
		int64_t least = INT64_MAX;

		if (bct_rng_below(&rng, 3))
			bct_heap_set(&h, n, bct_rng_below(&rng, 1000));
		else
			bct_heap_del(&h, n);
		for (uint32_t k = 0; k < 200; k++) {
			if (nodes[k].linked && nodes[k].key < least)
				least = nodes[k].key;
		}
		cr_assert_eq(h.root ? h.root->key : INT64_MAX, least, "seed %d step %u", SEED, i);
	}
}

static bct_queue_item_t item(bct_flow_t *f, bct_time_t arrived, bct_time_t latest, int64_t cost)
{
	return (bct_queue_item_t){
		.flow = f, .arrived = arrived, .latest_start = latest, .cost_tokens = cost
	};
}

static bct_queue_item_t *serve(bct_queue_t *q, bct_time_t now)
{
	bct_queue_item_t *it = bct_queue_peek(q, now);

	bct_queue_serve(q, it);
	return it;
}

Test(queue, earliest_deadline_first_within_an_account)
{
	bct_flow_t f = { 0 };
	bct_queue_item_t a = item(&f, 0, 500, 1), b = item(&f, 1, 300, 1);
	bct_queue_t q;

	bct_queue_init(&q);
	bct_queue_push(&q, &a);
	bct_queue_push(&q, &b);
	cr_assert_eq(serve(&q, 10), &b);
	cr_assert_eq(serve(&q, 10), &a);
	cr_assert_null(bct_queue_peek(&q, 10));
}

Test(queue, one_account_cannot_crowd_out_another)
{
	bct_flow_t big = { 0 }, small = { 0 };
	bct_queue_item_t many[100], few[10];
	uint32_t served = 0;
	bct_queue_t q;

	bct_queue_init(&q);
	for (uint32_t i = 0; i < 100; i++) {
		many[i] = item(&big, 0, 1000, 10);
		bct_queue_push(&q, &many[i]);
	}
	for (uint32_t i = 0; i < 10; i++) {
		few[i] = item(&small, 5, 2000, 10);
		bct_queue_push(&q, &few[i]);
	}
	for (uint32_t i = 0; i < 20; i++)
		served += serve(&q, 10)->flow == &small;
	cr_assert_geq(served, 9, "%u of 20", served);
}

Test(queue, late_items_yield_but_are_served)
{
	bct_flow_t f = { 0 }, g = { 0 };
	bct_queue_item_t late = item(&f, 0, 100, 1), fresh[40];
	uint32_t n = 0;
	bct_queue_t q;

	bct_queue_init(&q);
	bct_queue_push(&q, &late);
	for (uint32_t i = 0; i < 40; i++) {
		fresh[i] = item(&g, 0, 10000, 1);
		bct_queue_push(&q, &fresh[i]);
	}
	while (serve(&q, 200) != &late)
		n++;
	cr_assert_eq(n, BCT_QUEUE_LATE_INTERVAL);
}

Test(queue, pinned_items_go_first_and_are_never_late)
{
	bct_flow_t f = { 0 };
	bct_queue_item_t a = item(&f, 0, 500, 1), b = item(&f, 1, 50, 1);
	bct_queue_t q;

	b.pinned = true;
	bct_queue_init(&q);
	bct_queue_push(&q, &a);
	bct_queue_push(&q, &b);
	cr_assert_eq(bct_queue_newest(&q), &a);
	cr_assert_eq(serve(&q, 100), &b);
	cr_assert_eq(q.n, 1);
}

Test(length, learns_median_and_90th_percentile)
{
	bct_length_t l;
	bct_rng_t rng;

	bct_rng_seed(&rng, SEED);
	bct_length_init(&l, 5);
	for (uint32_t i = 0; i < 5000; i++)
		bct_length_learn(&l, (uint32_t)bct_rng_exp(&rng, 100) + 1);
	cr_assert(l.p50_tokens > 50 && l.p50_tokens < 95, "seed %d: %f", SEED, l.p50_tokens);
	cr_assert(l.p90_tokens > 170 && l.p90_tokens < 300, "seed %d: %f", SEED, l.p90_tokens);
	cr_assert_leq(bct_length_expect(&l, 0, 30), 30);
	cr_assert_geq(bct_length_expect(&l, 100000, 0), 1);
}
