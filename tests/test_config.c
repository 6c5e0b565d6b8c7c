/*
 * test_config.c - tests of the replay: each change status, then random logs from fixed seeds
 * compared with a simple reference model. Replicas that start from a snapshot are compared with one
 * that read the complete log.
 */
#define _GNU_SOURCE /* memmem */
#include "base/err.h"
#include "base/mem.h"
#include "base/rng.h"
#include "coord/conf_json.h"
#include "coord/config_boot.h"
#include "tests/util_config.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define SEEDS 300
#define RECORDS 60
#define IDS 40
#define ALLOC_STEPS 200

static bct_config_result_t replay(bct_config_state_t *s, const bct_buf_t *rec, int expected_rc)
{
	bct_config_result_t res;

	cr_assert_eq(bct_config_replay(s, rec->data, (uint32_t)rec->len_bytes, &res), expected_rc);
	return res;
}

/* Replays a change to util_doc(context) that is based on base. */
static bct_config_result_t change(bct_config_state_t *s, const bct_config_state_t *base,
				  uint32_t context, uint64_t id)
{
	bct_config_result_t res;
	bct_buf_t rec;

	util_change(base, context, id, &rec);
	res = replay(s, &rec, 0);
	bct_buf_free(&rec);
	return res;
}

Test(config, first_change_on_a_base_is_accepted_and_a_repeat_has_no_effect)
{
	bct_config_state_t s, base;
	bct_config_result_t res;

	bct_config_init(&s);
	bct_config_init(&base);
	cr_assert_eq(change(&s, &base, 10, 1).status, BCT_CHANGE_STATUS_ACCEPTED);
	cr_assert_eq(change(&s, &base, 20, 2).status, BCT_CHANGE_STATUS_STALE_BASE);
	cr_assert_eq(util_context(s.conf), 10);
	res = change(&s, &base, 10, 1);
	cr_assert(res.repeat);
	cr_assert_eq(res.status, BCT_CHANGE_STATUS_ACCEPTED);
	cr_assert_eq(res.revision, 1);
	cr_assert_eq(s.revision, 1);
	cr_assert_eq(s.next, 3);
	bct_config_free(&s);
	bct_config_free(&base);
}

Test(config, change_on_a_future_base_is_rejected_also_when_repeated)
{
	bct_config_state_t s, base;
	bct_config_result_t res;

	bct_config_init(&s);
	bct_config_init(&base);
	cr_assert_eq(change(&base, &base, 10, 1).status, BCT_CHANGE_STATUS_ACCEPTED);
	cr_assert_eq(change(&s, &base, 20, 2).status, BCT_CHANGE_STATUS_FUTURE_BASE);
	cr_assert_eq(change(&s, &s, 10, 1).status, BCT_CHANGE_STATUS_ACCEPTED);
	res = change(&s, &base, 20, 2);
	cr_assert(res.repeat);
	cr_assert_eq(res.status, BCT_CHANGE_STATUS_FUTURE_BASE);
	cr_assert_eq(util_context(s.conf), 10);
	bct_config_free(&s);
	bct_config_free(&base);
}

Test(config, digests_and_validity_are_checked)
{
	bct_config_state_t s, other;
	bct_config_result_t res;
	bct_buf_t rec;

	bct_config_init(&s);
	bct_config_init(&other);
	change(&s, &s, 10, 1);
	change(&other, &other, 11, 1);
	cr_assert_eq(change(&s, &other, 20, 2).status, BCT_CHANGE_STATUS_BASE_DIGEST);
	res = change(&s, &s, 0, 3);
	cr_assert_eq(res.status, BCT_CHANGE_STATUS_INVALID);
	cr_assert_str_eq(res.error.path, "models.m.context_tokens");
	/* One digit of the new text is corrupted in transit. */
	util_change(&s, 30, 4, &rec);
	*(char *)memmem(rec.data, rec.len_bytes, ":30}", 4) = ':';
	((char *)memmem(rec.data, rec.len_bytes, ":30}", 4))[1] = '4';
	cr_assert_eq(replay(&s, &rec, 0).status, BCT_CHANGE_STATUS_DIGEST_AFTER);
	bct_buf_free(&rec);
	/* A path that names no object. */
	util_change(&s, 30, 5, &rec);
	memcpy(memmem(rec.data, rec.len_bytes, "models/m", 8), "modelz/m", 8);
	cr_assert_eq(replay(&s, &rec, 0).status, BCT_CHANGE_STATUS_BAD_OBJECT);
	bct_buf_free(&rec);
	/* A record that cannot be decoded is skipped. */
	bct_buf_init(&rec, 0);
	bct_buf_puts(&rec, "garbage!");
	replay(&s, &rec, -BCT_ECODEC);
	bct_buf_free(&rec);
	cr_assert_eq(s.next, 6);
	cr_assert_eq(util_context(s.conf), 10);
	bct_config_free(&s);
	bct_config_free(&other);
}

Test(config, snapshot_that_differs_is_reported_and_not_adopted)
{
	bct_config_state_t s, wrong, ahead;
	bct_buf_t rec;

	bct_config_init(&s);
	bct_config_init(&wrong);
	bct_config_init(&ahead);
	change(&s, &s, 10, 1);
	change(&wrong, &wrong, 99, 1);
	change(&ahead, &ahead, 10, 1);
	change(&ahead, &ahead, 20, 2);
	ahead.next = 1;
	bct_buf_init(&rec, 0);
	cr_assert_eq(bct_config_snapshot_encode(&wrong, "vm", 1, &rec), 0);
	replay(&s, &rec, -BCT_EDIVERGED);
	cr_assert_eq(util_context(s.conf), 10);
	bct_buf_clear(&rec);
	cr_assert_eq(bct_config_snapshot_encode(&ahead, "vm", 1, &rec), 0);
	replay(&s, &rec, -BCT_EDIVERGED);
	cr_assert_eq(s.revision, 1);
	bct_buf_clear(&rec);
	cr_assert_eq(bct_config_snapshot_encode(&s, "vm", 1, &rec), 0);
	replay(&s, &rec, 0);
	bct_buf_free(&rec);
	bct_config_free(&s);
	bct_config_free(&wrong);
	bct_config_free(&ahead);
}

Test(config, failed_allocation_at_any_step_leaves_the_state_unchanged)
{
	bct_config_state_t s;
	bct_config_result_t res;
	bct_digest_t before;
	bct_buf_t rec;
	int step, rc = -BCT_ENOMEM, failed = 0;

	bct_config_init(&s);
	change(&s, &s, 10, 1);
	before = s.digest;
	util_change(&s, 20, 2, &rec);
	for (step = 0; rc && step < ALLOC_STEPS; step++) {
		bct_mem_fail_after(step);
		rc = bct_config_replay(&s, rec.data, (uint32_t)rec.len_bytes, &res);
		bct_mem_fail_after(-1);
		if (!rc)
			break;
		failed++;
		cr_assert_eq(rc, -BCT_ENOMEM);
		cr_assert_eq(s.next, 1);
		cr_assert_eq(s.revision, 1);
		cr_assert_eq(memcmp(&s.digest, &before, sizeof(before)), 0);
	}
	cr_assert_eq(rc, 0);
	cr_assert_gt(failed, 5);
	cr_assert_eq(res.status, BCT_CHANGE_STATUS_ACCEPTED);
	bct_buf_free(&rec);
	bct_config_free(&s);
}

/* Calls each function that builds a record or a state in turn. Returns the first error. */
static int encode_and_restore(const bct_config_state_t *s, const json_t *doc)
{
	bct_config_state_t restored;
	bct_config_boot_t boot;
	bct_buf_t rec;
	int rc;

	bct_buf_init(&rec, 0);
	rc = bct_config_change_encode(s, doc, 2, "tester", 1, &rec);
	bct_buf_clear(&rec);
	if (!rc)
		rc = bct_config_snapshot_encode(s, "vm", 1, &rec);
	if (!rc) {
		bct_config_boot_init(&boot, 0);
		boot.next = s->next;
		bct_config_boot_record(&boot, rec.data, (uint32_t)rec.len_bytes);
		rc = bct_config_boot_finish(&boot, &restored);
		bct_config_boot_free(&boot);
	}
	if (!rc) {
		cr_assert_eq(restored.revision, s->revision);
		cr_assert_eq(memcmp(&restored.digest, &s->digest, sizeof(s->digest)), 0);
		bct_config_free(&restored);
	}
	bct_buf_free(&rec);
	return rc;
}

Test(config, failed_allocation_while_encoding_or_starting_is_reported_as_such)
{
	bct_config_state_t s;
	json_t *doc = util_doc(20);
	int step, rc = -BCT_ENOMEM, failed = 0;

	bct_config_init(&s);
	change(&s, &s, 10, 1);
	for (step = 0; rc && step < ALLOC_STEPS; step++) {
		bct_mem_fail_after(step);
		rc = encode_and_restore(&s, doc);
		bct_mem_fail_after(-1);
		failed += rc != 0;
		cr_assert(rc == 0 || rc == -BCT_ENOMEM, "step %d: %s", step, bct_err_name(rc));
	}
	cr_assert_eq(rc, 0);
	cr_assert_gt(failed, 10);
	json_decref(doc);
	bct_config_free(&s);
}

/* Starts a replica from offset 1, as if the record at offset 0 had expired. */
static int boot_from(const bct_buf_t *log, uint32_t n, bct_config_state_t *out)
{
	bct_config_boot_t boot;
	int rc;

	bct_config_boot_init(&boot, 1);
	for (uint32_t i = 1; i < n; i++)
		bct_config_boot_record(&boot, log[i].data, (uint32_t)log[i].len_bytes);
	rc = bct_config_boot_finish(&boot, out);
	bct_config_boot_free(&boot);
	return rc;
}

Test(config, wrong_newest_snapshot_is_detected_and_not_started_from)
{
	bct_config_state_t s, wrong, late;
	bct_config_result_t res;
	bct_buf_t log[4];
	uint32_t i;

	bct_config_init(&s);
	bct_config_init(&wrong);
	change(&s, &s, 10, 1);
	change(&wrong, &wrong, 99, 1);
	for (i = 0; i < 4; i++)
		bct_buf_init(&log[i], 0);
	for (i = 1; i < 4; i++) {
		bct_config_state_t *from = i < 3 ? &s : &wrong;

		from->next = i;
		cr_assert_eq(bct_config_snapshot_encode(from, "vm", 1, &log[i]), 0);
	}
	cr_assert_eq(boot_from(log, 4, &late), 0);
	cr_assert_eq(late.next, 1);
	for (i = 1; i < 4; i++)
		cr_assert_eq(
			bct_config_replay(&late, log[i].data, (uint32_t)log[i].len_bytes, &res),
			i < 3 ? 0 : -BCT_EDIVERGED);
	cr_assert_eq(util_context(late.conf), 10);
	/* A snapshot whose document was corrupted in transit is not used. */
	log[1].data[log[1].len_bytes - 8] ^= 1;
	bct_config_free(&late);
	cr_assert_eq(boot_from(log, 2, &late), -BCT_EEXPIRED);
	for (i = 0; i < 4; i++)
		bct_buf_free(&log[i]);
	bct_config_free(&s);
	bct_config_free(&wrong);
}

/*
 * A random log and a reference model of it, which has only the ids seen, the revision and the
 * context size. The model is the only place in this file that depends on the order of checks in
 * coord/config.c.
 */
typedef struct random_log {
	bct_rng_t rng;
	bct_buf_t log[RECORDS];
	bct_config_state_t full; /* replica that replays the complete log */
	/* state at each revision; doc is NULL if the revision was not reached */
	bct_config_state_t bases[RECORDS + 1];
	uint64_t model_revision;
	uint32_t model_context;
	bool model_seen[IDS];
} random_log_t;

static void save_base(random_log_t *w)
{
	bct_config_state_t *b = &w->bases[w->full.revision];

	if (b->doc)
		return;
	*b = w->full;
	b->doc = json_incref(w->full.doc);
	b->conf = bct_conf_ref(w->full.conf);
}

static void model_change(random_log_t *w, uint64_t base, uint32_t context, uint64_t id)
{
	if (w->model_seen[id])
		return;
	w->model_seen[id] = true;
	if (base != w->model_revision || context == 0)
		return;
	w->model_revision++;
	w->model_context = context;
}

/* Makes a change on a recent base. Some changes are invalid, some reuse an earlier id. */
static void make_change(random_log_t *w, bct_buf_t *out)
{
	uint64_t behind = bct_rng_below(&w->rng, 3);
	uint64_t base = w->full.revision > behind ? w->full.revision - behind : w->full.revision;
	uint32_t context = bct_rng_below(&w->rng, 8) ? 1 + bct_rng_below(&w->rng, 1000) : 0;
	uint64_t id = bct_rng_below(&w->rng, IDS);

	if (util_context(w->bases[base].conf) == context)
		context++;
	util_change(&w->bases[base], context, id, out);
	model_change(w, base, context, id);
}

static void make_record(random_log_t *w, bct_buf_t *out)
{
	uint32_t kind = bct_rng_below(&w->rng, 10);

	bct_buf_init(out, 0);
	if (kind == 0)
		bct_buf_puts(out, "garbage!");
	else if (kind <= 2)
		cr_assert_eq(bct_config_snapshot_encode(&w->full, "vm", 1, out), 0);
	else
		make_change(w, out);
}

static void repeat_record(random_log_t *w, uint32_t at)
{
	const bct_buf_t *from = &w->log[bct_rng_below(&w->rng, at)];

	bct_buf_init(&w->log[at], 0);
	bct_buf_put(&w->log[at], from->data, from->len_bytes);
}

static void make_log(random_log_t *w, uint64_t seed)
{
	bct_config_result_t res;

	memset(w, 0, sizeof(*w));
	bct_rng_seed(&w->rng, seed);
	bct_config_init(&w->full);
	save_base(w);
	for (int i = 0; i < RECORDS; i++) {
		uint64_t before = w->full.revision;
		int rc;

		/* Sometimes an earlier record is repeated. */
		if (i > 0 && bct_rng_below(&w->rng, 8) == 0)
			repeat_record(w, (uint32_t)i);
		else
			make_record(w, &w->log[i]);
		rc = bct_config_replay(&w->full, w->log[i].data, (uint32_t)w->log[i].len_bytes,
				       &res);
		cr_assert(rc == 0 || rc == -BCT_ECODEC, "seed %lu: %s", seed, bct_err_name(rc));
		cr_assert(w->full.revision == before || w->full.revision == before + 1);
		save_base(w);
	}
}

static void free_log(random_log_t *w)
{
	for (int i = 0; i < RECORDS; i++)
		bct_buf_free(&w->log[i]);
	for (int i = 0; i <= RECORDS; i++)
		bct_config_free(&w->bases[i]);
	bct_config_free(&w->full);
}

static void check_equal(const bct_config_state_t *a, const bct_config_state_t *b, uint64_t seed)
{
	cr_assert_eq(a->revision, b->revision, "seed %lu", seed);
	cr_assert_eq(memcmp(&a->digest, &b->digest, sizeof(a->digest)), 0, "seed %lu", seed);
	cr_assert_eq(a->n_recent, b->n_recent, "seed %lu", seed);
	for (uint32_t i = 0; i < a->n_recent; i++) {
		cr_assert_eq(a->recent[i].id, b->recent[i].id, "seed %lu", seed);
		cr_assert_eq(a->recent[i].status, b->recent[i].status, "seed %lu", seed);
	}
}

/*
 * Checks a replica that starts when all records before oldest have expired. Returns whether it
 * could start.
 */
static bool check_replica_from(const random_log_t *w, uint64_t oldest, uint64_t seed)
{
	bct_config_boot_t boot;
	bct_config_state_t s;
	bct_config_result_t res;
	int rc;

	bct_config_boot_init(&boot, oldest);
	for (uint64_t i = oldest; i < RECORDS; i++)
		bct_config_boot_record(&boot, w->log[i].data, (uint32_t)w->log[i].len_bytes);
	rc = bct_config_boot_finish(&boot, &s);
	bct_config_boot_free(&boot);
	if (rc) {
		cr_assert_eq(rc, -BCT_EEXPIRED, "seed %lu", seed);
		return false;
	}
	cr_assert_geq(s.next, oldest);
	while (s.next < RECORDS) {
		const bct_buf_t *r = &w->log[s.next];

		rc = bct_config_replay(&s, r->data, (uint32_t)r->len_bytes, &res);
		cr_assert_neq(rc, -BCT_EDIVERGED, "seed %lu", seed);
	}
	check_equal(&s, &w->full, seed);
	bct_config_free(&s);
	return true;
}

Test(config, random_logs_replay_as_the_reference_model_from_any_start)
{
	static random_log_t w;
	uint32_t started = 0, not_started = 0;

	fprintf(stderr, "test_config: seeds 1 to %d, %d records each\n", SEEDS, RECORDS);
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		make_log(&w, seed);
		cr_assert_eq(w.full.revision, w.model_revision, "seed %lu", seed);
		cr_assert_eq(util_context(w.full.conf), w.model_context, "seed %lu", seed);
		cr_assert(check_replica_from(&w, 0, seed));
		for (int i = 0; i < 4; i++) {
			if (check_replica_from(&w, bct_rng_below(&w.rng, RECORDS), seed))
				started++;
			else
				not_started++;
		}
		free_log(&w);
	}
	cr_assert_gt(started, not_started);
}
