/*
 * test_route.c - routing: delayed reports, cached prefixes, slow engines, shares of nodes.
 */
#include "policy/load.h"
#include "policy/prefix.h"
#include "util_policy.h"

#include <criterion/criterion.h>

#define BLOCKS 10

static bct_conf_t *conf;
static bct_sched_t *s;
static uint64_t next_id;

static void start(uint32_t engines, uint32_t slots)
{
	conf = test_conf(1, engines, slots, 1);
	s = test_sched(conf, 1);
	next_id = 1;
}

static void stop(void)
{
	bct_sched_free(s);
	bct_conf_unref(conf);
}

static bct_action_t send_prefix(bct_time_t now, uint64_t family, uint64_t session)
{
	bct_req_desc_t d = test_req(next_id++, 0, TEST_CLASS(1), now);
	bct_action_t a;

	d.prompt_tokens = (BLOCKS + 1) * BCT_PREFIX_BLOCK_TOKENS;
	d.n_prefix = family ? BLOCKS : 0;
	for (uint32_t i = 0; i < d.n_prefix; i++)
		d.prefix[i] = family * 1000 + i;
	d.session_key = session;
	cr_assert_eq(bct_sched_submit(s, now, &d), 0);
	a = test_expect(s, now, BCT_ACTION_DISPATCH);
	if (family)
		bct_sched_tokens(s, now, a.attempt_id, 1);
	return a;
}

Test(load, an_old_report_never_makes_an_engine_look_idle)
{
	bct_load_t l;

	bct_load_init(&l, 8);
	bct_load_report(&l, 1000, 8, 0);
	cr_assert_eq(bct_load_free(&l), 0);
	bct_load_report(&l, 500, 0, 0);
	cr_assert_eq(bct_load_free(&l), 0, "older than the latest report");
	bct_load_report(&l, 1500, 3, 0);
	cr_assert_eq(bct_load_free(&l), 5);
}

Test(load, a_late_report_is_corrected_by_what_was_sent_since)
{
	bct_load_t l;

	bct_load_init(&l, 8);
	for (uint32_t i = 0; i < 4; i++)
		bct_load_sent(&l, 1000 + i * 200, 50);
	bct_load_report(&l, 900, 2, 0);
	cr_assert_eq(l.others, 2, "none of the four attempts was there yet");
	cr_assert_eq(bct_load_free(&l), 2);
	for (uint32_t i = 0; i < 4; i++)
		bct_load_ended(&l, 2000 + i * 200, 50, true);
	bct_load_report(&l, 1900, 6, 0);
	cr_assert_eq(l.others, 2, "all four attempts were still there");
	cr_assert_eq(bct_load_free(&l), 6);
}

Test(load, small_shares_add_up)
{
	uint32_t sum = 0;
	bct_load_t l;

	bct_load_init(&l, 8);
	for (uint32_t i = 0; i < 100; i++) {
		bct_load_set_quota(&l, 0.01, i / 100.0);
		sum += l.quota;
	}
	cr_assert_eq(sum, 8);
}

Test(prefix, gaps_lower_confidence_and_a_reset_drops_all_blocks)
{
	bct_prefix_feed_t f;
	const uint64_t blocks[2] = { 1, 2 };
	bct_prefix_t p;

	bct_prefix_init(&p, 4);
	bct_prefix_feed_init(&f);
	cr_assert(bct_prefix_event(&f, 1));
	cr_assert_not(bct_prefix_event(&f, 1), "repeated sequence number");
	cr_assert(bct_prefix_event(&f, 5));
	cr_assert_lt(f.confidence, 0.8);
	bct_prefix_add(&p, &f, 0, 1);
	bct_prefix_add(&p, &f, 0, 2);
	cr_assert_eq(bct_prefix_match(&p, &f, 0, blocks, 2), 2);
	bct_prefix_remove(&p, 0, 2);
	cr_assert_eq(bct_prefix_match(&p, &f, 0, blocks, 2), 1);
	bct_prefix_reset(&f);
	cr_assert_eq(bct_prefix_match(&p, &f, 0, blocks, 2), 0);
	for (uint64_t b = 10; b < 30; b++)
		bct_prefix_add(&p, &f, 0, b);
	cr_assert_eq(p.map.n, 4, "the index is bounded");
	bct_prefix_free(&p);
}

Test(route, prefers_the_cached_prefix_but_not_beyond_the_slots)
{
	uint32_t hits = 0, first_engine = 0;
	uint64_t first;

	start(8, 16);
	first = send_prefix(0, 7, 3).upstream_key;
	for (uint32_t i = 0; i < 5; i++)
		hits += send_prefix(10 + i, 7, 3).upstream_key == first;
	cr_assert_geq(hits, 4, "%u of 5 went to the engine that holds the prefix", hits);
	for (uint32_t i = 0; i < 90; i++)
		first_engine += send_prefix(20 + i, 7, 3).upstream_key == first;
	cr_assert_leq(first_engine + hits + 1, 16, "the engine has 16 slots");
	stop();
}

Test(route, imports_a_prefix_where_that_is_faster)
{
	bct_action_t a, b;

	conf = test_conf(1, 2, 1, 1);
	conf->upstreams[0].prefill_tokens_per_s = conf->upstreams[1].prefill_tokens_per_s = 500;
	s = test_sched(conf, 1);
	next_id = 1;
	a = send_prefix(0, 7, 0);
	b = send_prefix(1, 7, 0);
	cr_assert_neq(a.upstream_key, b.upstream_key);
	cr_assert_eq(b.kv_source_key, a.upstream_key);
	stop();
}

Test(route, avoids_an_engine_that_reports_no_free_slot)
{
	bct_report_t r = { .upstream_key = TEST_ENGINE(0), .boot_id = 1, .seq = 1, .running = 16 };

	start(2, 16);
	bct_sched_report(s, 0, &r);
	for (uint32_t i = 0; i < 8; i++)
		cr_assert_eq(send_prefix(i, 0, 0).upstream_key, TEST_ENGINE(1));
	r.seq = 0;
	r.running = 0;
	bct_sched_report(s, 9, &r);
	cr_assert_eq(send_prefix(10, 0, 0).upstream_key, TEST_ENGINE(1),
		     "an older report is ignored");
	stop();
}

Test(route, a_slow_engine_gets_no_work_that_is_on_time)
{
	uint64_t slow = TEST_ENGINE(0);
	bct_time_t now = 0;

	start(2, 16);
	for (uint32_t i = 0; i < 30; i++) {
		bct_action_t a = send_prefix(now, 0, 0);
		uint32_t ms = a.upstream_key == slow ? 200 : 25;

		for (uint32_t n = 1; n <= 33; n++)
			bct_sched_tokens(s, now + n * ms, a.attempt_id, n);
		test_end(s, now + 33 * ms, a.attempt_id, BCT_OUTCOME_OK, 33, true);
		now += 33 * ms;
	}
	for (uint32_t i = 0; i < 10; i++)
		cr_assert_neq(send_prefix(now, 0, 0).upstream_key, slow);
	stop();
}

/* Publishes the node's items. returns whether it published the service, with so many attempts */
static bool publishes_service(bct_time_t now, int64_t attempts)
{
	bct_item_t items[64];
	uint32_t n = bct_sched_publish(s, now, items, 64);

	for (uint32_t i = 0; i < n; i++) {
		if (items[i].type == BCT_ITEM_UPSTREAM && items[i].key == TEST_SERVICE_UPSTREAM(0))
			return items[i].v[0] == attempts;
	}
	return false;
}

static void total_of_service(bct_time_t now, uint32_t age_ms, int64_t attempts)
{
	bct_total_t t = { .item = { .type = BCT_ITEM_UPSTREAM, .key = TEST_SERVICE_UPSTREAM(0) },
			  .nodes = 1,
			  .age_ms = age_ms };

	t.item.v[0] = attempts;
	bct_sched_total(s, now, &t);
}

/*
 * A total that arrives after its attempts have ended counts them as attempts of others. The node
 * was sent no newer total, as it published nothing, and the service got no request any more.
 */
Test(route, a_late_total_does_not_take_slots_for_good)
{
	bct_action_t out[TEST_ACTIONS];

	conf = test_conf(1, 1, 8, 1);
	s = test_sched(conf, 1);
	for (uint64_t id = 1; id <= 8; id++)
		test_submit(s, id, 0, TEST_BOOKING, 0);
	cr_assert_eq(test_poll(s, 0, out), 8);
	cr_assert(publishes_service(1000, 8));
	for (uint32_t i = 0; i < 8; i++)
		test_end(s, 1200, out[i].attempt_id, BCT_OUTCOME_OK, 1, true);
	cr_assert(publishes_service(2000, 0));
	total_of_service(2100, 1100, 8);
	cr_assert(publishes_service(3000, 0), "no newer total is sent");
	total_of_service(3100, 100, 0);
	test_submit(s, 9, 0, TEST_BOOKING, 3200);
	test_expect(s, 3200, BCT_ACTION_DISPATCH);
	stop();
}

/* The same for attempts of other nodes, which end after this node has published its last one. */
Test(route, the_load_of_others_is_followed_until_none_is_left)
{
	bct_action_t a;

	conf = test_conf(1, 1, 8, 1);
	s = test_sched(conf, 2);
	test_submit(s, 1, 0, TEST_BOOKING, 0);
	a = test_expect(s, 0, BCT_ACTION_DISPATCH);
	cr_assert(publishes_service(1000, 1));
	test_end(s, 1100, a.attempt_id, BCT_OUTCOME_OK, 1, true);
	cr_assert(publishes_service(2000, 0));
	for (bct_time_t now = 3000; now < 60000; now += 1000) {
		total_of_service(now - 500, 200, 8);
		cr_assert(publishes_service(now, 0), "at %lld ms", (long long)now);
	}
	total_of_service(60500, 200, 0);
	cr_assert_not(publishes_service(61000, 0), "nobody uses the service");
	stop();
}

/* An engine's own report tells what others run there, so that nothing is published for it. */
Test(load, a_report_ends_what_a_total_began)
{
	bct_load_t l;

	bct_load_init(&l, 8);
	cr_assert_not(bct_load_is_shared(&l));
	bct_load_fleet_total(&l, 1000, 3);
	cr_assert(bct_load_is_shared(&l));
	bct_load_report(&l, 1500, 3, 0);
	cr_assert_not(bct_load_is_shared(&l));
	bct_load_fleet_total(&l, 1400, 8);
	cr_assert_not(bct_load_is_shared(&l), "older than the report");
}

Test(route, nodes_share_a_full_target_by_tier)
{
	bct_total_t t = { .item = { .type = BCT_ITEM_TIER, .key = TEST_MODEL, .key2 = 1 },
			  .nodes = 4,
			  .age_ms = 100 };
	bct_action_t out[TEST_ACTIONS];
	bct_item_t items[64];
	uint32_t n;

	conf = test_conf(1, 2, 16, 1);
	s = test_sched(conf, 4);
	for (uint64_t id = 1; id <= 40; id++)
		test_submit(s, id, 0, TEST_CLASS(5), 0);
	n = test_poll(s, 0, out);
	cr_assert_leq(n, 12, "%u: a quarter of 32 slots while no total is known", n);
	bct_sched_publish(s, 1000, items, 64);
	/* The other nodes run tier-1 work that would fill all slots. */
	t.item.v[1] = 200;
	for (uint32_t i = 0; i < 2; i++) {
		bct_report_t r = { .upstream_key = TEST_ENGINE(i), .boot_id = 1, .seq = 1 };

		r.running = 16;
		r.age_ms = 50;
		bct_sched_report(s, 1050, &r);
	}
	bct_sched_total(s, 1100, &t);
	for (uint32_t i = 0; i < n; i++)
		test_end(s, 1200, out[i].attempt_id, BCT_OUTCOME_OK, 5, true);
	n = test_poll(s, 1200, out);
	cr_assert_leq(n, 3, "%u: only the floor of tier 5", n);
	stop();
}
