/*
 * test_config_store.c - tests of the store on an embedded platform: outages of the log, offers of
 * peers, snapshots and expired records.
 */
#include "base/err.h"
#include "base/mem.h"
#include "coord/conf_json.h"
#include "coord/config_snapshot.h"
#include "coord/config_store.h"
#include "coord/platform_embedded.h"
#include "tests/util_config.h"

#include <criterion/criterion.h>
#include <string.h>

#define STEPS 6
#define ALLOC_STEPS 80

/* A store and what its callback received; a decreasing revision fails the test. */
typedef struct node {
	bct_config_store_t *store;
	uint64_t revision_seen;
	uint32_t context;
	uint32_t calls;
	uint32_t failing_calls; /* number of calls that still fail with -BCT_ENOMEM */
} node_t;

static int adopted(void *ctx, bct_conf_t *conf)
{
	node_t *n = ctx;

	cr_assert_geq(conf->revision, n->revision_seen, "revision decreased from %lu",
		      n->revision_seen);
	if (n->failing_calls > 0) {
		n->failing_calls--;
		return -BCT_ENOMEM;
	}
	n->revision_seen = conf->revision;
	n->context = util_context(conf);
	n->calls++;
	return 0;
}

/* Creates a platform, and the state of a replica that has read its complete log. */
static void set_up(bct_platform_t **p, bct_config_state_t *st)
{
	cr_assert_eq(bct_platform_embedded_new(NULL, p), 0);
	cr_assert_eq(bct_config_init(st), 0);
}

static void tear_down(bct_platform_t *p, bct_config_state_t *st)
{
	bct_config_free(st);
	bct_platform_free(p);
}

static void start(node_t *n, bct_platform_t *p, uint32_t snapshot_records)
{
	memset(n, 0, sizeof(*n));
	cr_assert_eq(bct_config_store_new(
			     &(bct_config_store_opts_t){ .platform = p,
							 .vm_name = "vm-1",
							 .snapshot_records = snapshot_records,
							 .recovery_delay_ms = 1,
							 .adopted = adopted,
							 .ctx = n },
			     &n->store),
		     0);
}

static void run(node_t *n)
{
	for (int i = 0; i < STEPS; i++)
		bct_config_store_step(n->store, 0);
}

/* Appends a change and checks that replay accepts it. */
static void publish(bct_platform_t *p, bct_config_state_t *st, uint32_t context, uint64_t id)
{
	bct_config_result_t res;
	bct_buf_t rec;

	util_change(st, context, id, &rec);
	cr_assert_eq(util_append_change(p, st, context, id), 0);
	cr_assert_eq(bct_config_replay(st, rec.data, (uint32_t)rec.len_bytes, &res), 0);
	cr_assert_eq(res.status, BCT_CHANGE_STATUS_ACCEPTED);
	bct_buf_free(&rec);
}

/* Publishes two revisions. Node a has read them, node b has read nothing yet. */
static void set_up_two(bct_platform_t **p, bct_config_state_t *st, node_t *a, node_t *b)
{
	set_up(p, st);
	publish(*p, st, 10, 1);
	publish(*p, st, 20, 2);
	start(a, *p, 0);
	run(a);
	start(b, *p, 0);
}

static int offer_revision(const node_t *from, const node_t *to)
{
	bct_config_export_t e;
	int rc;

	cr_assert_eq(bct_config_store_export(from->store, &e), 0);
	rc = bct_config_store_offer(to->store, &e);
	bct_buf_free(&e.text);
	return rc;
}

Test(config_snapshot, due_by_records_time_and_expiry_and_the_lowest_rank_writes_first)
{
	bct_snapshot_plan_t p;
	bct_time_t now = 1000000;

	bct_snapshot_plan_init(&p, 64, 3600000, 1);
	cr_assert_not(bct_snapshot_plan_due(&p, now, 10, 0));
	cr_assert(bct_snapshot_plan_due(&p, now, 10, 1));
	cr_assert(bct_snapshot_plan_due(&p, now, 64, 0));
	bct_snapshot_plan_seen(&p, now, 64, 0);
	cr_assert_not(bct_snapshot_plan_due(&p, now, 128, 64));
	cr_assert(bct_snapshot_plan_due(&p, now, 129, 64));
	cr_assert(bct_snapshot_plan_due(&p, now, 66, 65));
	cr_assert_not(bct_snapshot_plan_due(&p, now + 3599999, 65, 0));
	cr_assert(bct_snapshot_plan_due(&p, now + 3600000, 65, 0));
	/* Rank 3 waits 6 s and some jitter; a snapshot seen meanwhile cancels its write. */
	cr_assert_not(bct_snapshot_plan_should_write(&p, now, true, 3, 0));
	cr_assert_not(bct_snapshot_plan_should_write(&p, now + 5999, true, 3, 0));
	cr_assert(bct_snapshot_plan_should_write(&p, now + 6500, true, 3, 0));
	cr_assert_not(bct_snapshot_plan_should_write(&p, now + 6600, true, 3, 0));
	bct_snapshot_plan_seen(&p, now + 6700, 130, 0);
	cr_assert_not(bct_snapshot_plan_should_write(&p, now + 9000, true, 3, 0));
}

Test(config_store, follows_the_log_and_survives_an_outage)
{
	bct_platform_t *p;
	bct_config_state_t st;
	bct_config_status_t status;
	node_t n;

	set_up(&p, &st);
	start(&n, p, 0);
	cr_assert_null(bct_config_store_current(n.store));
	publish(p, &st, 10, 1);
	run(&n);
	cr_assert_eq(n.revision_seen, 1);
	cr_assert_eq(n.context, 10);
	bct_platform_embedded_set_fault(p, &(bct_embedded_fault_t){ .outage = true });
	cr_assert_eq(bct_config_store_step(n.store, 0), -BCT_EUNAVAILABLE);
	bct_config_store_status(n.store, &status);
	cr_assert_not(status.log.up);
	cr_assert_eq(status.revision, 1);
	bct_platform_embedded_set_fault(p, &(bct_embedded_fault_t){ 0 });
	publish(p, &st, 20, 2);
	run(&n);
	cr_assert_eq(n.context, 20);
	cr_assert_eq(n.calls, 2);
	bct_config_store_free(n.store);
	tear_down(p, &st);
}

Test(config_store, callback_that_failed_is_called_again)
{
	bct_platform_t *p;
	bct_config_state_t st;
	node_t n;

	set_up(&p, &st);
	publish(p, &st, 10, 1);
	start(&n, p, 0);
	n.failing_calls = 2;
	run(&n);
	cr_assert_eq(n.context, 10);
	cr_assert_eq(n.calls, 1);
	bct_config_store_free(n.store);
	tear_down(p, &st);
}

Test(config_store, starts_from_a_peer_while_the_log_is_down)
{
	bct_platform_t *p;
	bct_config_state_t st;
	bct_config_export_t e;
	bct_config_status_t status;
	node_t a, b;

	set_up_two(&p, &st, &a, &b);
	bct_platform_embedded_set_fault(p, &(bct_embedded_fault_t){ .outage = true });
	run(&b);
	cr_assert_eq(bct_config_store_export(b.store, &e), -BCT_ENOT_FOUND);
	cr_assert_eq(offer_revision(&a, &b), 0);
	cr_assert_eq(b.context, 20);
	cr_assert_eq(bct_config_store_export(a.store, &e), 0);
	cr_assert_eq(bct_config_store_offer(b.store, &e), -BCT_ESTALE);
	bct_config_store_status(b.store, &status);
	cr_assert_eq(status.source, BCT_CONFIG_SOURCE_PEER);
	/* A document that was corrupted in transit does not match its digest. */
	e.text.data[2] ^= 1;
	cr_assert_eq(bct_config_store_offer(b.store, &e), -BCT_ECODEC);
	bct_buf_free(&e.text);
	/* The log is available again and confirms the revision: no second call of the callback. */
	bct_platform_embedded_set_fault(p, &(bct_embedded_fault_t){ 0 });
	run(&b);
	bct_config_store_status(b.store, &status);
	cr_assert_eq(status.source, BCT_CONFIG_SOURCE_LOG);
	cr_assert_eq(b.calls, 1);
	cr_assert_not(status.diverged);
	bct_config_store_free(a.store);
	bct_config_store_free(b.store);
	tear_down(p, &st);
}

Test(config_store, log_that_lags_behind_a_peer_does_not_revert)
{
	bct_platform_t *p;
	bct_config_state_t st;
	node_t a, b;

	set_up_two(&p, &st, &a, &b);
	bct_platform_embedded_set_fault(p, &(bct_embedded_fault_t){ .hidden_records = 1 });
	cr_assert_eq(offer_revision(&a, &b), 0);
	run(&b);
	cr_assert_eq(b.revision_seen, 2);
	cr_assert_eq(b.context, 20);
	bct_config_store_free(a.store);
	bct_config_store_free(b.store);
	tear_down(p, &st);
}

Test(config_store, wrong_document_of_a_peer_is_replaced_by_the_log_and_reported)
{
	bct_platform_t *p;
	bct_config_state_t st;
	bct_config_export_t e = { .revision = 1 };
	bct_config_status_t status;
	bct_conf_t *conf;
	json_t *doc = util_doc(99);
	bct_json_err_t err;
	node_t n;

	set_up(&p, &st);
	publish(p, &st, 10, 1);
	start(&n, p, 0);
	cr_assert_eq(bct_conf_from_json(doc, 1, &err, &conf), 0);
	e.digest = conf->digest;
	bct_buf_init(&e.text, 0);
	bct_conf_canonical(doc, &e.text);
	cr_assert_eq(bct_config_store_offer(n.store, &e), 0);
	cr_assert_eq(n.context, 99);
	run(&n);
	cr_assert_eq(n.context, 10);
	bct_config_store_status(n.store, &status);
	cr_assert(status.diverged);
	cr_assert_eq(bct_config_store_offer(n.store, &e), -BCT_EDIVERGED);
	bct_buf_free(&e.text);
	bct_conf_unref(conf);
	json_decref(doc);
	bct_config_store_free(n.store);
	tear_down(p, &st);
}

/*
 * Steps a node until its snapshot, the record before offset end, is in the log. The node delays the
 * write for a short time, so that of several nodes only one writes.
 */
static void run_until_snapshot(node_t *n, bct_platform_t *p, uint64_t end)
{
	bct_records_t r = { 0 };

	for (int i = 0; i < 200 && r.next < end; i++) {
		bct_config_store_step(n->store, 10);
		bct_records_free(&r);
		bct_platform_read(p, BCT_STREAM_CONFIG, 0, 1, 0, 0, &r);
		bct_records_free(&r);
		bct_platform_read(p, BCT_STREAM_CONFIG, end - 1, 1, 0, 0, &r);
	}
	cr_assert_eq(r.n, 1);
	bct_records_free(&r);
}

Test(config_store, snapshot_starts_a_new_node_after_expiry)
{
	bct_platform_t *p;
	bct_config_state_t st;
	bct_config_status_t status;
	node_t a, b;

	set_up(&p, &st);
	publish(p, &st, 10, 1);
	publish(p, &st, 20, 2);
	publish(p, &st, 30, 3);
	start(&a, p, 3);
	run_until_snapshot(&a, p, 4);
	bct_platform_embedded_expire(p, BCT_STREAM_CONFIG, 3);
	st.next++;
	publish(p, &st, 40, 4);
	start(&b, p, 0);
	run(&b);
	run(&a);
	cr_assert_eq(b.revision_seen, 4);
	cr_assert_eq(b.context, 40);
	cr_assert_eq(a.context, 40);
	bct_config_store_status(a.store, &status);
	cr_assert_not(status.diverged);
	bct_config_store_free(a.store);
	bct_config_store_free(b.store);
	tear_down(p, &st);
}

Test(config_store, expired_log_without_a_snapshot_is_repaired_by_an_old_node)
{
	bct_platform_t *p;
	bct_config_state_t st;
	node_t a, b;

	set_up(&p, &st);
	publish(p, &st, 10, 1);
	start(&a, p, 0);
	run(&a);
	bct_platform_embedded_expire(p, BCT_STREAM_CONFIG, 1);
	start(&b, p, 0);
	run(&b);
	cr_assert_null(bct_config_store_current(b.store));
	/* Node a has the state, detects the loss and writes a snapshot; node b reads it. */
	run_until_snapshot(&a, p, 2);
	run(&b);
	cr_assert_eq(b.revision_seen, 1);
	cr_assert_eq(offer_revision(&a, &b), -BCT_ESTALE);
	bct_config_store_free(a.store);
	bct_config_store_free(b.store);
	tear_down(p, &st);
}

Test(config_store, state_that_only_peers_have_is_written_back_to_an_expired_log)
{
	bct_platform_t *p;
	bct_config_state_t st;
	bct_config_status_t status;
	node_t a, b;

	set_up_two(&p, &st, &a, &b);
	bct_platform_embedded_set_fault(p, &(bct_embedded_fault_t){ .outage = true });
	cr_assert_eq(offer_revision(&a, &b), 0);
	bct_config_store_free(a.store);
	bct_platform_embedded_set_fault(p, &(bct_embedded_fault_t){ 0 });
	bct_platform_embedded_expire(p, BCT_STREAM_CONFIG, 2);
	run_until_snapshot(&b, p, 3);
	st.next++;
	publish(p, &st, 30, 3);
	run(&b);
	bct_config_store_status(b.store, &status);
	cr_assert_eq(b.context, 30);
	cr_assert_eq(status.source, BCT_CONFIG_SOURCE_LOG);
	cr_assert_not(status.diverged);
	bct_config_store_free(b.store);
	tear_down(p, &st);
}

Test(config_store, failed_allocation_at_any_step_delays_but_does_not_lose_a_revision)
{
	for (int step = 0; step < ALLOC_STEPS; step++) {
		bct_platform_t *p;
		bct_config_state_t st;
		node_t n;

		set_up(&p, &st);
		publish(p, &st, 10, 1);
		publish(p, &st, 20, 2);
		start(&n, p, 1);
		bct_mem_fail_after(step);
		run(&n);
		bct_mem_fail_after(-1);
		run(&n);
		cr_assert_eq(n.revision_seen, 2, "step %d", step);
		cr_assert_eq(n.context, 20, "step %d", step);
		bct_config_store_free(n.store);
		tear_down(p, &st);
	}
}
