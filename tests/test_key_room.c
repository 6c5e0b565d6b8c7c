/*
 * test_key_room.c - callers that send each request with a new idempotency key: how many keys a node
 * remembers is bounded, and no key is forgotten for that.
 */
#include "coord/key_claims.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>

#define KEYS 300000U
#define MAX_KEYS 100000U
#define AT_ONCE 50U
#define WINDOW_MS 600000U
#define WALL 1000000000LL

static bct_key_claims_t *claims;
static uint64_t offset;

static void start(uint32_t max_keys)
{
	bct_key_claims_opts_t o = {
		.incarnation = 1,
		.claim_ms = 5000,
		.run_ms = 60000,
		.window_ms = WINDOW_MS,
		.max_claims = 1000,
		.max_keys = max_keys,
	};

	cr_assert_eq(bct_key_claims_new(&o, &claims), 0);
	bct_key_claims_set_ready(claims, true);
	offset = 0;
}

static bct_claim_verdict_t claim(uint32_t i, bct_time_t wall)
{
	bct_claim_result_t r;
	bct_key_id_t id;
	char key[32];

	snprintf(key, sizeof(key), "key-%u", i);
	bct_key_id(7, key, &id);
	return bct_key_claims_begin(claims, 0, wall, &id, i, 1 + i, &r);
}

/* Writes what is queued to the log, reads it back, and ends the requests that won. */
static void settle(void)
{
	bct_claim_result_t r;
	uint32_t len;
	void *data;

	while (bct_key_claims_batch(claims, 0, &data, &len) > 0) {
		bct_key_claims_appended(claims, 0, 0);
		cr_assert_eq(bct_key_claims_apply(claims, 0, offset++, data, len), 0);
		free(data);
		while (bct_key_claims_result(claims, &r)) {
			if (r.verdict == BCT_CLAIM_WON)
				bct_key_claims_finish(claims, r.intent, 200, "t", "", 0);
		}
	}
}

/* Claims new keys, some at a time. returns how many were accepted */
static uint32_t claim_all(void)
{
	uint32_t accepted = 0;

	for (uint32_t i = 0; i < KEYS; i++) {
		bct_claim_verdict_t v = claim(i, WALL);

		cr_assert(v == BCT_CLAIM_PENDING || v == BCT_CLAIM_NO_ROOM, "%u: %d", i, v);
		accepted += v == BCT_CLAIM_PENDING;
		if (i % AT_ONCE == AT_ONCE - 1)
			settle();
	}
	settle();
	return accepted;
}

/* At the limit new keys are refused as not run, resends are answered as before, and once the window
 * has passed there is room again. */
Test(key_room, no_more_keys_than_allowed_and_none_forgotten, .timeout = 60)
{
	start(MAX_KEYS);
	cr_expect_eq(claim_all(), MAX_KEYS);
	cr_expect_eq(claim(KEYS, WALL), BCT_CLAIM_NO_ROOM);
	for (uint32_t i = 0; i < MAX_KEYS; i += 997)
		cr_assert_eq(claim(i, WALL), BCT_CLAIM_DONE, "%u", i);
	bct_key_claims_tick(claims, 0, WALL + WINDOW_MS + 20000);
	cr_expect_eq(claim(KEYS, WALL + WINDOW_MS + 20000), BCT_CLAIM_PENDING);
	bct_key_claims_free(claims);
}

Test(key_room, without_a_limit_all_are_remembered, .timeout = 60)
{
	start(0);
	cr_expect_eq(claim_all(), KEYS);
	bct_key_claims_free(claims);
}
