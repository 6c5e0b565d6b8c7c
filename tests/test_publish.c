/*
 * test_publish.c - operators publish concurrently on a platform with random faults from fixed
 * seeds. Each outcome returned to an operator is compared with the complete log, and the store with
 * a replica of it.
 */
#include "base/err.h"
#include "base/mem.h"
#include "base/rng.h"
#include "coord/config_publish.h"
#include "coord/config_store.h"
#include "coord/platform_embedded.h"
#include "tests/util_config.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define SEEDS 150
#define ROUNDS 6
#define DELAYED_MAX 8
#define PUBLISH_MS 12
#define RETRY_MS 2
#define CONTEXT_MAX 100000

/*
 * An embedded platform with random faults. An append may be delayed and take effect later, even
 * after its caller has given up. Between any two calls of one operator another operator may append,
 * and old records may expire once a snapshot covers them. The archive keeps all records for the
 * checks.
 */
typedef struct faulty_platform {
	bct_platform_t base;
	bct_platform_t *log;
	bct_platform_t *archive;
	bct_rng_t rng;
	uint32_t fault_in; /* a fault of one kind occurs about once in fault_in calls; 0: never */
	bct_buf_t delayed[DELAYED_MAX];
	uint32_t n_delayed;
	uint64_t next_other_id;
} faulty_platform_t;

static bool chance(faulty_platform_t *c, uint32_t in)
{
	return in && bct_rng_below(&c->rng, in) == 0;
}

static int append_both(faulty_platform_t *c, const void *data, uint32_t len_bytes, uint64_t *offset)
{
	bct_platform_append(c->archive, BCT_STREAM_CONFIG, data, len_bytes, 0, offset);
	return bct_platform_append(c->log, BCT_STREAM_CONFIG, data, len_bytes, 0, offset);
}

static void release_delayed(faulty_platform_t *c)
{
	uint64_t offset;

	if (c->n_delayed == 0)
		return;
	c->n_delayed--;
	append_both(c, c->delayed[c->n_delayed].data, (uint32_t)c->delayed[c->n_delayed].len_bytes,
		    &offset);
	bct_buf_free(&c->delayed[c->n_delayed]);
}

/* Writes a snapshot and lets the records that it covers expire, but no others. */
static void expire_old(faulty_platform_t *c)
{
	bct_config_state_t s;
	uint64_t offset = 0;
	bct_buf_t rec;

	cr_assert_eq(bct_config_read_log(c->archive, 0, NULL, NULL, &s), 0);
	bct_buf_init(&rec, 0);
	cr_assert_eq(bct_config_snapshot_encode(&s, "vm", 1, &rec), 0);
	append_both(c, rec.data, (uint32_t)rec.len_bytes, &offset);
	bct_platform_embedded_expire(c->log, BCT_STREAM_CONFIG, s.next);
	bct_buf_free(&rec);
	bct_config_free(&s);
}

/* Another operator reads the log and appends a change; sometimes it writes a snapshot instead. */
static void other_operator(faulty_platform_t *c)
{
	bct_config_state_t s;
	uint32_t context = 1 + bct_rng_below(&c->rng, CONTEXT_MAX);
	uint64_t offset;
	bct_buf_t rec;

	cr_assert_eq(bct_config_read_log(c->archive, 0, NULL, NULL, &s), 0);
	bct_buf_init(&rec, 0);
	if (chance(c, 3))
		bct_config_snapshot_encode(&s, "vm", 1, &rec);
	else if (util_context(s.conf) != context)
		util_change(&s, context, c->next_other_id++, &rec);
	if (rec.data)
		append_both(c, rec.data, (uint32_t)rec.len_bytes, &offset);
	bct_buf_free(&rec);
	bct_config_free(&s);
}

static void between_calls(faulty_platform_t *c)
{
	if (chance(c, c->fault_in))
		release_delayed(c);
	if (chance(c, c->fault_in * 2))
		other_operator(c);
	if (chance(c, c->fault_in * 4))
		expire_old(c);
}

static int delay_append(faulty_platform_t *c, const void *data, uint32_t len_bytes)
{
	if (c->n_delayed < DELAYED_MAX) {
		bct_buf_init(&c->delayed[c->n_delayed], 0);
		bct_buf_put(&c->delayed[c->n_delayed++], data, len_bytes);
	}
	return -BCT_EUNKNOWN_OUTCOME;
}

static int faulty_append(bct_platform_t *base, const char *stream, const void *data,
			 uint32_t len_bytes, uint32_t timeout_ms, uint64_t *offset)
{
	faulty_platform_t *c = (faulty_platform_t *)base;
	int rc;

	(void)stream;
	(void)timeout_ms;
	between_calls(c);
	if (chance(c, c->fault_in))
		return -BCT_EUNAVAILABLE;
	if (chance(c, c->fault_in))
		return -BCT_EUNKNOWN_OUTCOME;
	if (chance(c, c->fault_in))
		return delay_append(c, data, len_bytes);
	rc = append_both(c, data, len_bytes, offset);
	if (chance(c, c->fault_in))
		append_both(c, data, len_bytes, offset);
	return chance(c, c->fault_in) ? -BCT_EUNKNOWN_OUTCOME : rc;
}

static int faulty_read(bct_platform_t *base, const char *stream, uint64_t from, uint32_t max_bytes,
		       uint32_t wait_ms, uint32_t timeout_ms, bct_records_t *out)
{
	faulty_platform_t *c = (faulty_platform_t *)base;

	(void)wait_ms;
	memset(out, 0, sizeof(*out));
	between_calls(c);
	if (chance(c, c->fault_in))
		return -BCT_EUNAVAILABLE;
	/* An answer may lag behind the log: the newest record is hidden. */
	bct_platform_embedded_set_fault(
		c->log, &(bct_embedded_fault_t){ .hidden_records = chance(c, c->fault_in) });
	/* Half of the answers hold one record only, so that batch sizes vary. */
	if (chance(c, 2))
		max_bytes = 1;
	return bct_platform_read(c->log, stream, from, max_bytes, 0, timeout_ms, out);
}

static const bct_platform_ops_t faulty_ops = { .append = faulty_append, .read = faulty_read };

static void faulty_start(faulty_platform_t *c, uint64_t seed, uint32_t fault_in)
{
	memset(c, 0, sizeof(*c));
	c->base.ops = &faulty_ops;
	bct_platform_embedded_new(NULL, &c->log);
	bct_platform_embedded_new(NULL, &c->archive);
	bct_rng_seed(&c->rng, seed);
	c->fault_in = fault_in;
	c->next_other_id = 1;
}

/* Result returned to one operator. */
typedef struct report {
	bct_publish_outcome_t outcome;
	uint64_t id;
	uint64_t revision;
	uint32_t context;
} report_t;

static void publish(faulty_platform_t *c, report_t *t)
{
	const bct_publish_opts_t opts = { .platform = &c->base,
					  .author = "tester",
					  .timeout_ms = PUBLISH_MS,
					  .call_timeout_ms = 1,
					  .retry_ms = RETRY_MS };
	json_t *doc;
	bct_publish_result_t res;

	t->context = CONTEXT_MAX + 1 + bct_rng_below(&c->rng, CONTEXT_MAX);
	doc = util_doc(t->context);
	bct_config_publish(&opts, doc, &res);
	t->outcome = res.outcome;
	t->id = res.id;
	t->revision = res.revision;
	bct_publish_result_free(&res);
	json_decref(doc);
}

/* Result of one change id in the complete log. */
typedef struct log_result {
	const bct_config_state_t *state;
	const report_t *report;
	bool present;
	bool accepted;
	uint64_t revision;
	uint32_t context;
} log_result_t;

static void collect(void *ctx, const bct_record_t *rec, const bct_config_result_t *res, int rc)
{
	log_result_t *t = ctx;

	(void)rec;
	if (rc || res->type != BCT_XCONFIG_CHANGE || res->id != t->report->id)
		return;
	t->present = true;
	if (res->status != BCT_CHANGE_STATUS_ACCEPTED || t->accepted)
		return;
	t->accepted = true;
	t->revision = res->revision;
	t->context = util_context(t->state->conf);
}

static void check_report(faulty_platform_t *c, const report_t *t, uint64_t seed)
{
	bct_config_state_t s;
	log_result_t log_result = { .state = &s, .report = t };

	bct_config_init(&s);
	while (bct_config_read_next(c->archive, &s, 0, 0, collect, &log_result) > 0)
		;
	switch (t->outcome) {
	case BCT_PUBLISH_ACCEPTED:
		cr_assert(log_result.accepted, "seed %lu: reported accepted", seed);
		cr_assert_eq(log_result.revision, t->revision, "seed %lu", seed);
		cr_assert_eq(log_result.context, t->context, "seed %lu", seed);
		break;
	case BCT_PUBLISH_REJECTED:
		cr_assert_not(log_result.accepted, "seed %lu: reported rejected", seed);
		break;
	case BCT_PUBLISH_NOT_SENT:
	case BCT_PUBLISH_UNCHANGED:
		cr_assert_not(log_result.present, "seed %lu: reported not sent", seed);
		break;
	case BCT_PUBLISH_UNKNOWN:
		break;
	}
	bct_config_free(&s);
}

/* Checks that a store which followed the log under faults has the state of the complete archive. */
static void check_store(faulty_platform_t *c, bct_config_store_t *store, uint64_t seed)
{
	bct_config_state_t s;
	bct_digest_t digest;

	for (int i = 0; i < 200; i++)
		bct_config_store_step(store, 0);
	bct_config_init(&s);
	while (bct_config_read_next(c->archive, &s, 0, 0, NULL, NULL) > 0)
		;
	cr_assert_eq(bct_config_store_revision(store, &digest), s.revision, "seed %lu", seed);
	cr_assert_eq(memcmp(&digest, &s.digest, sizeof(digest)), 0, "seed %lu", seed);
	bct_config_free(&s);
}

static int check_not_decreasing(void *ctx, bct_conf_t *conf)
{
	uint64_t *seen = ctx;

	cr_assert_gt(conf->revision + 1, *seen);
	*seen = conf->revision;
	return 0;
}

static void run_seed(uint64_t seed, uint32_t fault_in, uint32_t *outcomes)
{
	bct_config_store_t *store;
	report_t report[ROUNDS];
	uint64_t seen = 0;
	faulty_platform_t c;

	faulty_start(&c, seed, fault_in);
	bct_config_store_new(&(bct_config_store_opts_t){ .platform = &c.base,
							 .vm_name = "vm",
							 .snapshot_records = 4,
							 .adopted = check_not_decreasing,
							 .ctx = &seen },
			     &store);
	for (int i = 0; i < ROUNDS; i++) {
		publish(&c, &report[i]);
		outcomes[report[i].outcome]++;
		bct_config_store_step(store, 0);
	}
	c.fault_in = 0;
	while (c.n_delayed > 0)
		release_delayed(&c);
	bct_platform_embedded_set_fault(c.log, &(bct_embedded_fault_t){ 0 });
	for (int i = 0; i < ROUNDS; i++)
		check_report(&c, &report[i], seed);
	check_store(&c, store, seed);
	bct_config_store_free(store);
	bct_platform_free(c.log);
	bct_platform_free(c.archive);
}

Test(publish, reported_outcome_matches_the_log_under_faults)
{
	uint32_t outcomes[BCT_PUBLISH_UNKNOWN + 1] = { 0 };

	fprintf(stderr, "test_publish: seeds 1 to %d, %d publishes each\n", SEEDS, ROUNDS);
	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		run_seed(seed, 2 + (uint32_t)(seed % 5), outcomes);
	fprintf(stderr, "test_publish: accepted %u, rejected %u, not sent %u, unknown %u\n",
		outcomes[BCT_PUBLISH_ACCEPTED], outcomes[BCT_PUBLISH_REJECTED],
		outcomes[BCT_PUBLISH_NOT_SENT], outcomes[BCT_PUBLISH_UNKNOWN]);
	cr_assert_gt(outcomes[BCT_PUBLISH_ACCEPTED], 10);
	cr_assert_gt(outcomes[BCT_PUBLISH_REJECTED], 10);
}

Test(publish, without_faults_every_change_is_accepted)
{
	uint32_t outcomes[BCT_PUBLISH_UNKNOWN + 1] = { 0 };

	run_seed(1, 0, outcomes);
	cr_assert_eq(outcomes[BCT_PUBLISH_ACCEPTED], ROUNDS);
}
