/*
 * embed.c - uses the coordination library of buckthornchute in another program: two workers compete
 * for a job that must run at most once. They use key claims on an embedded platform, without a
 * daemon.
 */
#include "base/err.h"
#include "coord/key_claims.h"
#include "coord/platform_embedded.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STREAM "keys.0"
#define TIMEOUT_MS 100
#define ANSWER "done by the winner"

/* A worker of the embedding program, with its own replica of the key table. */
typedef struct worker {
	const char *name;
	bct_key_claims_t *claims;
	uint64_t next; /* log offset to read from */
} worker_t;

static int worker_init(worker_t *w, const char *name, uint64_t incarnation)
{
	bct_key_claims_opts_t opts = {
		.incarnation = incarnation,
		.claim_ms = 5000,
		.run_ms = 60000,
		.window_ms = 3600000,
		.max_claims = 100,
	};
	int rc = bct_key_claims_new(&opts, &w->claims);

	w->name = name;
	w->next = 0;
	if (!rc)
		bct_key_claims_set_ready(w->claims, true);
	return rc;
}

/* Appends the worker's pending records to the log. */
static int worker_append(worker_t *w, bct_platform_t *p, bct_time_t now)
{
	uint64_t offset;
	uint32_t len;
	void *data;
	int rc;

	if (bct_key_claims_batch(w->claims, now, &data, &len) <= 0)
		return 0;
	rc = bct_platform_append(p, STREAM, data, len, TIMEOUT_MS, &offset);
	free(data);
	bct_key_claims_appended(w->claims, now, rc);
	return rc;
}

/* Reads the records of all workers from the log and applies them. */
static int worker_read(worker_t *w, bct_platform_t *p, bct_time_t now)
{
	bct_records_t recs = { 0 };
	int rc = bct_platform_read(p, STREAM, w->next, 1 << 20, 0, TIMEOUT_MS, &recs);

	for (uint32_t i = 0; !rc && i < recs.n; i++)
		rc = bct_key_claims_apply(w->claims, now, recs.records[i].offset,
					  recs.records[i].data, recs.records[i].len_bytes);
	if (!rc)
		w->next = recs.next;
	bct_records_free(&recs);
	return rc;
}

/* Takes the results of the worker's claims. Returns whether it may run the job. */
static bool worker_may_run(worker_t *w, uint64_t *intent)
{
	bct_claim_result_t r;
	bool won = false;

	while (bct_key_claims_result(w->claims, &r)) {
		won = r.verdict == BCT_CLAIM_WON;
		*intent = r.intent;
		printf("%s: %s\n", w->name,
		       won ? "claim won, runs the job" : "claim lost, does not run it");
	}
	return won;
}

/* Lets all workers claim the job. Returns 0 if exactly one of them ran it, else 1. */
static int race(bct_platform_t *p, worker_t *w, uint32_t n)
{
	bct_time_t now = bct_clock_now();
	bct_claim_result_t r;
	uint64_t intent = 0;
	bct_key_id_t id;
	int runs = 0;

	bct_key_id(1, "job-42", &id);
	for (uint32_t i = 0; i < n; i++)
		bct_key_claims_begin(w[i].claims, now, bct_clock_wall(), &id, 7, 100 + i, &r);
	for (uint32_t i = 0; i < n; i++)
		worker_append(&w[i], p, now);
	for (uint32_t i = 0; i < n; i++) {
		worker_read(&w[i], p, now);
		if (!worker_may_run(&w[i], &intent))
			continue;
		runs++;
		bct_key_claims_finish(w[i].claims, intent, 200, "text/plain", ANSWER,
				      (uint32_t)strlen(ANSWER));
		worker_append(&w[i], p, now);
	}
	printf("the job ran %d time(s)\n", runs);
	return runs == 1 ? 0 : 1;
}

int main(void)
{
	bct_platform_embedded_opts_t opts = { 0 };
	bct_platform_t *platform = NULL;
	worker_t w[2] = { { 0 } };
	int rc = 1;

	if (sodium_init() < 0 || bct_platform_embedded_new(&opts, &platform))
		return 1;
	if (!worker_init(&w[0], "first", 11) && !worker_init(&w[1], "second", 22))
		rc = race(platform, w, 2);
	bct_key_claims_free(w[0].claims);
	bct_key_claims_free(w[1].claims);
	bct_platform_free(platform);
	return rc;
}
