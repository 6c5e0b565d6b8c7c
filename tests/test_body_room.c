/*
 * test_body_room.c - callers that send long bodies, and perhaps never end them.
 */
#include "policy/body_room.h"

#include <criterion/criterion.h>

#define BOUND 1000000U
#define CHUNK 10000U

/* What is held stays within the bound, whoever sends how much, and all of it comes back. */
Test(body_room, held_bytes_stay_within_the_bound)
{
	bct_body_room_t r = { .bound_bytes = BOUND };
	uint64_t bodies[200] = { 0 };

	for (int round = 0; round < 100; round++) {
		for (int i = 0; i < 200; i++) {
			if (bct_body_room_take(&r, bodies[i], CHUNK))
				bodies[i] += CHUNK;
			cr_assert_leq(r.held_bytes, BOUND);
		}
	}
	for (int i = 0; i < 200; i++)
		bct_body_room_give_back(&r, bodies[i]);
	cr_expect_eq(r.held_bytes, 0);
}

/* Long bodies that never end leave room for short ones of others. */
Test(body_room, short_bodies_fit_beside_long_ones)
{
	bct_body_room_t r = { .bound_bytes = BOUND };
	uint64_t held = 0;

	while (bct_body_room_take(&r, held, CHUNK))
		held += CHUNK;
	cr_expect_gt(held, BOUND / 2);
	for (int i = 0; i < 20; i++)
		cr_expect(bct_body_room_take(&r, 0, CHUNK), "%d", i);
}

Test(body_room, without_a_bound_all_is_held)
{
	bct_body_room_t r = { 0 };

	cr_expect(bct_body_room_take(&r, 0, UINT64_MAX / 2));
}
