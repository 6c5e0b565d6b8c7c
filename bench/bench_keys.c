/*
 * bench_keys.c - cost of one idempotency key as the number of keys doubles: processor time and log
 * bytes of its intent and its outcome, and the memory that it uses. Prints a JSON array.
 */
#include "base/clock.h"
#include "coord/key_claims.h"

#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define FIRST_KEYS 12500
#define DOUBLINGS 5
#define KEYS_PER_COMMIT 10 /* intents, or outcomes, in one group commit */
#define ANSWER_BYTES 200

typedef struct row {
	uint32_t keys; /* in the table at the end */
	double us_per_key;
	double memory_bytes_per_key;
	double log_bytes_per_key;
} row_t;

static double now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

/*
 * Simulates the log for one group commit: gets the pending records, confirms the append and applies
 * them as read back at this offset. Returns their bytes; 0 if none were pending.
 */
static uint32_t commit(bct_key_claims_t *c, bct_time_t now, uint64_t offset)
{
	uint32_t len = 0;
	void *data;

	if (bct_key_claims_batch(c, now, &data, &len) <= 0)
		return 0;
	bct_key_claims_appended(c, now, 0);
	bct_key_claims_apply(c, now, offset, data, len);
	free(data);
	return len;
}

/* Claims KEYS_PER_COMMIT keys and stores an answer for each of them. Returns the log bytes. */
static uint32_t run_keys(bct_key_claims_t *c, uint64_t first, uint64_t *offset)
{
	static const char answer[ANSWER_BYTES];
	bct_time_t now = bct_clock_now();
	bct_claim_result_t r;
	uint32_t bytes;
	char name[32];

	for (uint64_t i = first; i < first + KEYS_PER_COMMIT; i++) {
		bct_key_id_t id;

		snprintf(name, sizeof(name), "key-%llu", (unsigned long long)i);
		bct_key_id(1, name, &id);
		bct_key_claims_begin(c, now, now, &id, i, i + 1, &r);
	}
	bytes = commit(c, now, (*offset)++);
	while (bct_key_claims_result(c, &r))
		bct_key_claims_finish(c, r.intent, 200, "application/json", answer, ANSWER_BYTES);
	return bytes + commit(c, now, (*offset)++);
}

static int measure(uint32_t keys, row_t *row)
{
	bct_key_claims_opts_t opts = {
		.incarnation = 1,
		.claim_ms = 5000,
		.run_ms = 60000,
		.window_ms = 1u << 31,
		.max_claims = 1000,
	};
	size_t memory = mallinfo2().uordblks;
	bct_key_claims_t *c = NULL;
	double start_us = now_us();
	uint64_t bytes = 0, offset = 0;

	if (bct_key_claims_new(&opts, &c))
		return 1;
	bct_key_claims_set_ready(c, true);
	for (uint32_t i = 0; i < keys; i += KEYS_PER_COMMIT)
		bytes += run_keys(c, i, &offset);
	row->keys = bct_key_table_size(bct_key_claims_table(c));
	row->us_per_key = (now_us() - start_us) / keys;
	row->memory_bytes_per_key = (double)(mallinfo2().uordblks - memory) / keys;
	row->log_bytes_per_key = (double)bytes / keys;
	bct_key_claims_free(c);
	return 0;
}

int main(void)
{
	row_t row;

	if (sodium_init() < 0)
		return 1;
	printf("[\n");
	for (uint32_t i = 0; i < DOUBLINGS; i++) {
		if (measure(FIRST_KEYS << i, &row))
			return 1;
		printf("  {\"keys\": %u, \"us_per_key\": %.2f, \"memory_bytes_per_key\": %.1f, "
		       "\"log_bytes_per_key\": %.1f}%s\n",
		       row.keys, row.us_per_key, row.memory_bytes_per_key, row.log_bytes_per_key,
		       i + 1 < DOUBLINGS ? "," : "");
	}
	printf("]\n");
	return 0;
}
