/*
 * race_config.c - stores that follow the log on their own threads while other threads publish,
 * export, offer and read. make tsan runs it under the thread sanitizer.
 */
#include "base/err.h"
#include "coord/config_publish.h"
#include "coord/config_store.h"
#include "coord/platform_embedded.h"

#include <ck_pr.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#define CHANGES 40
#define EXCHANGERS 3
#define WAIT_MS 10000
#define POLL_MS 5

static bct_platform_t *platform;
static bct_config_store_t *stores[2];
static uint32_t stopping;
static uint64_t adopted_revision[2];

static void check(bool ok, const char *what)
{
	if (ok)
		return;
	fprintf(stderr, "race_config: %s\n", what);
	exit(1);
}

static int adopted(void *ctx, bct_conf_t *conf)
{
	uint64_t *seen = ctx;

	check(conf->revision >= *seen, "the revision passed to the callback decreased");
	*seen = conf->revision;
	return 0;
}

static void *publish_all(void *arg)
{
	(void)arg;
	for (int i = 0; i < CHANGES; i++) {
		json_t *doc = json_pack("{s:{s:{s:i}}}", "models", "m", "context_tokens", i + 1);
		const bct_publish_opts_t opts = { .platform = platform, .author = "race" };
		bct_publish_result_t res;

		check(!bct_config_publish(&opts, doc, &res), "publish failed");
		check(res.outcome == BCT_PUBLISH_ACCEPTED, "publish was not accepted");
		bct_publish_result_free(&res);
		json_decref(doc);
	}
	return NULL;
}

/* Offers the revision in force in one store to the other store, and reads from both. */
static void *exchange(void *arg)
{
	uint32_t i = (uint32_t)(uintptr_t)arg;

	while (!ck_pr_load_32(&stopping)) {
		bct_config_store_t *from = stores[i++ % 2], *to = stores[i % 2];
		bct_config_export_t e;
		bct_config_status_t status;
		bct_conf_t *conf = bct_config_store_current(to);
		int rc;

		bct_conf_unref(conf);
		bct_config_store_status(to, &status);
		bct_config_store_set_rank(to, i % 2);
		if (bct_config_store_export(from, &e))
			continue;
		rc = bct_config_store_offer(to, &e);
		check(rc == 0 || rc == -BCT_ESTALE, "an offer was refused");
		bct_buf_free(&e.text);
	}
	return NULL;
}

static bool both_reached(uint64_t revision)
{
	bct_digest_t digest;

	return bct_config_store_revision(stores[0], &digest) == revision &&
	       bct_config_store_revision(stores[1], &digest) == revision;
}

int main(void)
{
	pthread_t publisher, exchangers[EXCHANGERS];
	bct_time_t deadline = bct_clock_now() + WAIT_MS;
	uintptr_t i;

	check(!bct_platform_embedded_new(NULL, &platform), "cannot create the platform");
	for (i = 0; i < 2; i++) {
		const bct_config_store_opts_t opts = { .platform = platform,
						       .vm_name = "vm",
						       .seed = i,
						       .poll_ms = POLL_MS,
						       .snapshot_records = 4,
						       .adopted = adopted,
						       .ctx = &adopted_revision[i] };

		check(!bct_config_store_new(&opts, &stores[i]), "cannot create the store");
		check(!bct_config_store_start(stores[i]), "cannot start the store's thread");
	}
	pthread_create(&publisher, NULL, publish_all, NULL);
	for (i = 0; i < EXCHANGERS; i++)
		pthread_create(&exchangers[i], NULL, exchange, (void *)i);
	pthread_join(publisher, NULL);
	while (!both_reached(CHANGES) && bct_clock_now() < deadline)
		ck_pr_stall();
	check(both_reached(CHANGES), "the last revision is not in force in both stores");
	ck_pr_store_32(&stopping, 1);
	for (i = 0; i < EXCHANGERS; i++)
		pthread_join(exchangers[i], NULL);
	bct_config_store_free(stores[0]);
	bct_config_store_free(stores[1]);
	bct_platform_free(platform);
	printf("race_config: passed\n");
	return 0;
}
