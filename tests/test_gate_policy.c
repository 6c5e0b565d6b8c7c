/*
 * test_gate_policy.c - the gateway's decisions without I/O: routes, upstreams, retry budget, peers'
 * load, prefixes, lanes and the choice of an upstream.
 */
#include "base/err.h"
#include "base/rng.h"
#include "policy/gate_budget.h"
#include "policy/gate_peers.h"
#include "policy/gate_pick.h"
#include "policy/gate_routes.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define SERVICE "model"

static bct_gate_routes_t *table(void)
{
	bct_gate_routes_t *t = bct_gate_routes_new(3);
	bct_gate_route_t r = { .name = "a", .host = "h", .prefix = "/x/", .n_splits = 2 };

	bct_gate_routes_add_service(t, &(bct_gate_service_t){ .name = "s0" });
	bct_gate_routes_add_service(t, &(bct_gate_service_t){ .name = "s1" });
	r.splits[0] = (bct_gate_split_t){ .service = 0, .weight = 90 };
	r.splits[1] = (bct_gate_split_t){ .service = 1, .weight = 10 };
	bct_gate_routes_add_route(t, &r);
	r.name = "b";
	r.prefix = "/x/y/";
	bct_gate_routes_add_route(t, &r);
	r.name = "c";
	r.host = "other";
	r.prefix = "/";
	bct_gate_routes_add_route(t, &r);
	bct_gate_routes_add_account(t, &(bct_gate_account_t){ .name = "acme", .priority = -1 });
	bct_gate_routes_add_key(t, "k", 0);
	bct_gate_routes_seal(t);
	return t;
}

static const char *match(const bct_gate_routes_t *t, const char *host, const char *path)
{
	const bct_gate_route_t *r =
		bct_gate_routes_match(t, host, strlen(host), path, strlen(path));

	return r ? r->name : "-";
}

Test(gate_routes, longest_prefix_of_the_host)
{
	bct_gate_routes_t *t = table();

	cr_assert_str_eq(match(t, "h", "/x/1"), "a");
	cr_assert_str_eq(match(t, "H", "/x/y/1"), "b");
	cr_assert_str_eq(match(t, "h", "/x/y"), "a");
	cr_assert_str_eq(match(t, "h", "/x"), "-");
	cr_assert_str_eq(match(t, "h", "/"), "-");
	cr_assert_str_eq(match(t, "other", "/x/"), "c");
	cr_assert_str_eq(match(t, "h2", "/x/"), "-");
	cr_assert_str_eq(bct_gate_routes_account(t, "k")->name, "acme");
	cr_assert_null(bct_gate_routes_account(t, "K"));
	cr_assert_null(bct_gate_routes_account(t, ""));
	bct_gate_routes_unref(t);
}

Test(gate_routes, splits_follow_weights)
{
	bct_gate_routes_t *t = table();
	uint32_t n = 0;

	for (uint64_t i = 0; i < 1000; i++)
		n += bct_gate_route_split(&t->routes[0], i) == 1;
	cr_assert_eq(n, 100);
	bct_gate_routes_unref(t);
}

/* An account's priority takes precedence; requests of one account rank by their routes. */
Test(gate_routes, rank_is_by_account_then_route)
{
	bct_gate_routes_t *t = bct_gate_routes_new(1);
	uint32_t levels, last = 0;

	bct_gate_routes_add_service(t, &(bct_gate_service_t){ .name = "s" });
	for (uint8_t p = 0; p < 3; p++)
		bct_gate_routes_add_route(
			t, &(bct_gate_route_t){
				   .name = "r", .host = "h", .prefix = "/", .priority = p });
	for (int32_t p = 0; p < 3; p++)
		bct_gate_routes_add_account(t, &(bct_gate_account_t){ .name = "a", .priority = p });
	bct_gate_routes_seal(t);
	for (uint32_t a = 0; a < 3; a++) {
		for (uint32_t r = 0; r < 3; r++) {
			uint32_t rank =
				bct_gate_routes_rank(t, &t->routes[r], &t->accounts[a], &levels);

			cr_assert_eq(rank, last++);
		}
	}
	cr_assert_eq(levels, 9);
	cr_assert_eq(bct_gate_routes_rank(t, &t->routes[2], NULL, &levels), 2);
	bct_gate_routes_unref(t);
}

static bct_gate_entry_t entry(const char *id, int64_t born_ms, uint64_t sequence)
{
	bct_gate_entry_t e = { .service = SERVICE, .zone = "z", .ip = "10.0.0.1", .port = 80 };

	snprintf(e.id, sizeof(e.id), "%s", id);
	e.born_ms = born_ms;
	e.sequence = sequence;
	return e;
}

Test(gate_upstreams, stale_entries_are_ignored)
{
	bct_gate_upstreams_t t;
	bct_gate_entry_t e = entry("i", 100, 5);

	bct_gate_upstreams_init(&t);
	cr_assert_eq(bct_gate_upstreams_apply(&t, 1, &e), 1);
	e = entry("i", 100, 4);
	e.draining = true;
	cr_assert_eq(bct_gate_upstreams_apply(&t, 2, &e), -BCT_ESTALE);
	e = entry("i", 99, 50);
	cr_assert_eq(bct_gate_upstreams_apply(&t, 3, &e), -BCT_ESTALE);
	cr_assert_eq(bct_gate_upstreams_find(&t, "i")->presence, BCT_GATE_READY);
	/* A new run of the process restarts its sequence and inherits no observations. */
	bct_gate_upstreams_find(&t, "i")->identity_mismatch = true;
	e = entry("i", 101, 1);
	cr_assert_geq(bct_gate_upstreams_apply(&t, 4, &e), 0);
	cr_assert_not(bct_gate_upstreams_find(&t, "i")->identity_mismatch);
	bct_gate_upstreams_free(&t);
}

/* An older node passes an entry on without what it does not know: that must stay known here. */
Test(gate_upstreams, an_older_node_takes_no_reclaim_away)
{
	bct_gate_upstreams_t t;
	bct_gate_entry_t e = entry("i", 100, 5);
	const bct_gate_upstream_t *u;

	bct_gate_upstreams_init(&t);
	cr_assert_eq(bct_gate_upstreams_apply(&t, 1, &e), 1);
	e.spot = true;
	cr_assert_eq(bct_gate_upstreams_apply(&t, 2, &e), 1, "news is sent on");
	cr_assert_eq(bct_gate_upstreams_apply(&t, 3, &e), 0);
	e.sequence = 6;
	e.draining = true;
	e.leaves_ms = 1800;
	cr_assert_eq(bct_gate_upstreams_apply(&t, 4, &e), 1);
	e.spot = false;
	e.leaves_ms = 0;
	cr_assert_eq(bct_gate_upstreams_apply(&t, 5, &e), 0);
	u = bct_gate_upstreams_find(&t, "i");
	cr_assert(u->entry.spot);
	cr_assert_eq(u->entry.leaves_ms, 1800);
	/* Another run under the id is another engine. */
	e = entry("i", 200, 1);
	bct_gate_upstreams_apply(&t, 6, &e);
	cr_assert_not(bct_gate_upstreams_find(&t, "i")->entry.spot);
	bct_gate_upstreams_free(&t);
}

Test(gate_upstreams, draining_is_final_for_one_run)
{
	bct_gate_upstreams_t t;
	bct_gate_entry_t e = entry("i", 100, 5);

	bct_gate_upstreams_init(&t);
	e.draining = true;
	bct_gate_upstreams_apply(&t, 1, &e);
	e = entry("i", 100, 6);
	bct_gate_upstreams_apply(&t, 2, &e);
	cr_assert_not(bct_gate_upstream_accepts(bct_gate_upstreams_find(&t, "i"),
						bct_gate_upstreams_find(&t, "i")->service_key));
	e = entry("i", 200, 1);
	bct_gate_upstreams_apply(&t, 3, &e);
	cr_assert(bct_gate_upstream_accepts(bct_gate_upstreams_find(&t, "i"),
					    bct_gate_upstreams_find(&t, "i")->service_key));
	bct_gate_upstreams_free(&t);
}

/* A peer that lags sends an upstream that was removed before this node listed the registry. */
Test(gate_upstreams, a_lagging_peer_revives_nothing)
{
	bct_gate_upstreams_t t;
	bct_gate_entry_t e = entry("gone", 100, 5);

	bct_gate_upstreams_init(&t);
	bct_gate_upstreams_list_begin(&t);
	bct_gate_upstreams_list_end(&t, 1, 7);
	e.position = 4;
	cr_assert_eq(bct_gate_upstreams_apply(&t, 2, &e), -BCT_ESTALE);
	e.position = 7;
	cr_assert_eq(bct_gate_upstreams_apply(&t, 3, &e), 1);
	bct_gate_upstreams_free(&t);
}

/* A second, shorter pause does not end the first; a new run of the upstream has none. */
Test(gate_upstreams, the_longer_pause_counts)
{
	bct_gate_upstreams_t t;
	bct_gate_entry_t e = entry("i", 100, 5);
	bct_gate_upstream_t *u;

	bct_gate_upstreams_init(&t);
	bct_gate_upstreams_apply(&t, 1, &e);
	u = bct_gate_upstreams_find(&t, "i");
	cr_assert(bct_gate_upstream_pauses(u, 1000, 2000));
	cr_assert_not(bct_gate_upstream_pauses(u, 1500, 500));
	cr_assert_eq(bct_gate_upstream_wait_ms(u, 2100), 900);
	cr_assert(bct_gate_upstream_pauses(u, 2500, 1000));
	cr_assert_eq(bct_gate_upstream_wait_ms(u, 3400), 100);
	cr_assert_eq(bct_gate_upstream_wait_ms(u, 3500), 0);
	bct_gate_upstream_pauses(u, 4000, 60000);
	e = entry("i", 200, 1);
	bct_gate_upstreams_apply(&t, 4100, &e);
	cr_assert_eq(bct_gate_upstream_wait_ms(u, 4200), 0);
	bct_gate_upstreams_free(&t);
}

/* What an upstream states about itself holds for that run of it, whatever its entries say. */
Test(gate_upstreams, a_stated_leaving_is_final_for_one_run)
{
	bct_gate_upstreams_t t;
	bct_gate_entry_t e = entry("i", 100, 5);
	bct_gate_upstream_t *u;

	bct_gate_upstreams_init(&t);
	bct_gate_upstreams_apply(&t, 1, &e);
	u = bct_gate_upstreams_find(&t, "i");
	cr_assert(bct_gate_upstream_leaves(u, 2, true));
	cr_assert_not(bct_gate_upstream_leaves(u, 3, false));
	u->limit.named = true;
	e.sequence = 6;
	bct_gate_upstreams_apply(&t, 4, &e);
	cr_assert_not(bct_gate_upstream_accepts(u, u->service_key));
	e = entry("i", 200, 1);
	bct_gate_upstreams_apply(&t, 5, &e);
	cr_assert(bct_gate_upstream_accepts(u, u->service_key));
	cr_assert_not(u->limit.named);
	bct_gate_upstreams_free(&t);
}

/*
 * An upstream whose entry expired during an outage of the registry stays in use for the grace
 * period after the outage, so that it can register again.
 */
Test(gate_upstreams, entries_expire_in_an_outage)
{
	bct_gate_upstreams_t t;
	bct_gate_entry_t e = entry("i", 100, 5);
	bct_gate_upstream_t *u;

	bct_gate_upstreams_init(&t);
	bct_gate_upstreams_apply(&t, 1, &e);
	u = bct_gate_upstreams_find(&t, "i");
	u->refs = 1; /* keeps it from being freed */
	bct_gate_upstreams_set_registry(&t, 1000, false);
	bct_gate_upstreams_set_registry(&t, 5000, true);
	bct_gate_upstreams_remove(&t, 5100, "i", 0);
	cr_assert(bct_gate_upstream_accepts(u, u->service_key));
	bct_gate_upstreams_sweep(&t, 5000 + BCT_GATE_LAPSE_GRACE_MS - 1);
	cr_assert(bct_gate_upstream_accepts(u, u->service_key));
	bct_gate_upstreams_sweep(&t, 5000 + BCT_GATE_LAPSE_GRACE_MS);
	cr_assert_not(bct_gate_upstream_accepts(u, u->service_key));
	/* Long after the outage a removal takes effect at once. */
	e = entry("i", 100, 9);
	bct_gate_upstreams_apply(&t, 9000, &e);
	cr_assert(bct_gate_upstream_accepts(u, u->service_key));
	bct_gate_upstreams_remove(&t, 20000, "i", 0);
	cr_assert_not(bct_gate_upstream_accepts(u, u->service_key));
	bct_gate_upstreams_free(&t);
}

Test(gate_upstreams, a_listing_removes_what_it_does_not_name)
{
	bct_gate_upstreams_t t;
	bct_gate_entry_t a = entry("a", 1, 1), b = entry("b", 1, 1);

	bct_gate_upstreams_init(&t);
	bct_gate_upstreams_apply(&t, 1, &a);
	bct_gate_upstreams_apply(&t, 1, &b);
	bct_gate_upstreams_list_begin(&t);
	bct_gate_upstreams_apply(&t, 2, &b);
	bct_gate_upstreams_list_end(&t, 2, 0);
	bct_gate_upstreams_sweep(&t, 3);
	cr_assert_null(bct_gate_upstreams_find(&t, "a"));
	cr_assert_not_null(bct_gate_upstreams_find(&t, "b"));
	bct_gate_upstreams_free(&t);
}

static bct_gate_entry_t entry_at(const char *id, uint64_t position)
{
	bct_gate_entry_t e = entry(id, 1, position);

	e.position = position;
	return e;
}

/* A listing of a peer whose table is older neither brings back nor removes what is newer here. */
Test(gate_upstreams, an_older_listing_undoes_nothing)
{
	bct_gate_upstreams_t t;
	bct_gate_entry_t gone = entry_at("gone", 5), stays = entry_at("stays", 6);
	bct_gate_entry_t latest = entry_at("new", 20);

	bct_gate_upstreams_init(&t);
	bct_gate_upstreams_apply(&t, 1, &gone);
	bct_gate_upstreams_apply(&t, 1, &stays);
	cr_assert_eq(bct_gate_upstreams_remove(&t, 2, "gone", 12), 1);
	bct_gate_upstreams_sweep(&t, 3);
	bct_gate_upstreams_apply(&t, 3, &latest);
	bct_gate_upstreams_list_begin(&t);
	cr_assert_eq(bct_gate_upstreams_apply(&t, 4, &gone), -BCT_ESTALE);
	bct_gate_upstreams_apply(&t, 4, &stays);
	bct_gate_upstreams_list_end(&t, 4, 10);
	bct_gate_upstreams_sweep(&t, 5);
	cr_assert_null(bct_gate_upstreams_find(&t, "gone"));
	cr_assert_not_null(bct_gate_upstreams_find(&t, "stays"));
	cr_assert_not_null(bct_gate_upstreams_find(&t, "new"));
	/* A listing that reaches past the entry removes it, and its record does not come back. */
	bct_gate_upstreams_list_begin(&t);
	bct_gate_upstreams_apply(&t, 6, &stays);
	bct_gate_upstreams_list_end(&t, 6, 21);
	bct_gate_upstreams_sweep(&t, 7);
	cr_assert_null(bct_gate_upstreams_find(&t, "new"));
	cr_assert_eq(bct_gate_upstreams_apply(&t, 8, &latest), -BCT_ESTALE);
	cr_assert_eq(t.position, 21);
	bct_gate_upstreams_free(&t);
}

/* Messages may overtake each other: a removal of the run before does not remove the next one. */
Test(gate_upstreams, a_late_removal_is_ignored)
{
	bct_gate_upstreams_t t;
	bct_gate_entry_t e = entry_at("i", 5);

	bct_gate_upstreams_init(&t);
	bct_gate_upstreams_apply(&t, 1, &e);
	e = entry_at("i", 9);
	e.born_ms = 2;
	bct_gate_upstreams_apply(&t, 2, &e);
	cr_assert_eq(bct_gate_upstreams_remove(&t, 3, "i", 7), 0);
	cr_assert_eq(bct_gate_upstreams_find(&t, "i")->presence, BCT_GATE_READY);
	/* A registry whose log was replaced starts over. */
	bct_gate_upstreams_log_replaced(&t);
	e.position = 1;
	e.draining = true;
	cr_assert_eq(bct_gate_upstreams_apply(&t, 4, &e), 1);
	bct_gate_upstreams_free(&t);
}

/* The digest follows each change of presence and each new run. */
Test(gate_upstreams, the_digest_follows_changes)
{
	bct_gate_upstreams_t t;
	bct_gate_entry_t e = entry_at("i", 5);
	uint64_t seen[5];

	bct_gate_upstreams_init(&t);
	seen[0] = bct_gate_upstreams_digest(&t);
	bct_gate_upstreams_apply(&t, 1, &e);
	seen[1] = bct_gate_upstreams_digest(&t);
	e = entry_at("i", 6);
	bct_gate_upstreams_apply(&t, 2, &e);
	cr_assert_eq(bct_gate_upstreams_digest(&t), seen[1]);
	e.born_ms = 7;
	bct_gate_upstreams_apply(&t, 3, &e);
	seen[2] = bct_gate_upstreams_digest(&t);
	e.draining = true;
	bct_gate_upstreams_apply(&t, 4, &e);
	seen[3] = bct_gate_upstreams_digest(&t);
	bct_gate_upstreams_remove(&t, 5, "i", 8);
	seen[4] = bct_gate_upstreams_digest(&t);
	for (int i = 1; i < 4; i++)
		cr_assert_neq(seen[i], seen[i - 1]);
	cr_assert_eq(seen[4], seen[0]);
	bct_gate_upstreams_free(&t);
}

/*
 * In any window the retries of all nodes together stay within the fleet's bound, however they are
 * spread over the nodes.
 */
Test(gate_budget, any_window_keeps_the_bound)
{
	enum { NODES = 7, WINDOW_MS = 10000, END_MS = 60000 };
	static uint32_t first_sends[END_MS], retries[END_MS];
	bct_gate_budget_opts_t o = { WINDOW_MS, 150, 54 };
	bct_gate_budget_t b[NODES];
	uint32_t sum_first = 0, sum_retries = 0;
	bct_rng_t rng;

	bct_rng_seed(&rng, 3);
	for (int i = 0; i < NODES; i++)
		bct_gate_budget_init(&b[i], &o);
	for (int t = 0; t < END_MS; t++) {
		bct_gate_budget_t *node = &b[bct_rng_below(&rng, NODES)];

		if (bct_rng_below(&rng, 40) == 0) {
			bct_gate_budget_count_first(node, t + 100000);
			first_sends[t]++;
		}
		/* Retries are requested far more often than first sends are counted. */
		if (!bct_gate_budget_take(node, t + 100000, NODES))
			retries[t]++;
	}
	for (int t = 0; t < END_MS; t++) {
		sum_first += first_sends[t];
		sum_retries += retries[t];
		if (t >= WINDOW_MS) {
			sum_first -= first_sends[t - WINDOW_MS];
			sum_retries -= retries[t - WINDOW_MS];
			cr_assert_leq(sum_retries, sum_first / 5 + 54, "at %d: %u of %u", t,
				      sum_retries, sum_first);
		}
	}
}

typedef struct world {
	bct_gate_upstreams_t upstreams;
	bct_gate_picker_t picker;
	bct_time_t now;
} world_t;

static void world_init(world_t *w, uint32_t engines)
{
	memset(w, 0, sizeof(*w));
	w->now = 100000;
	bct_gate_upstreams_init(&w->upstreams);
	bct_gate_picker_init(&w->picker, &w->upstreams, 30000, 8000, 1);
	for (uint32_t i = 0; i < engines; i++) {
		bct_gate_entry_t e;
		char id[16];

		snprintf(id, sizeof(id), "i-%u", i);
		e = entry(id, 1, 1);
		bct_gate_upstreams_apply(&w->upstreams, w->now, &e);
	}
}

static void world_free(world_t *w)
{
	bct_gate_picker_free(&w->picker);
	bct_gate_upstreams_free(&w->upstreams);
}

static bct_gate_pick_input_t input_of(const world_t *w, uint32_t gap_ms,
				      const bct_gate_segment_t *segments, uint32_t n_segments)
{
	bct_gate_pick_input_t in = {
		.service_key = bct_gate_upstreams_find(&w->upstreams, "i-0")->service_key,
		.engine = true,
		.target_ms = 500,
		.gap_ms = gap_ms,
		.segments = segments,
		.n_segments = n_segments,
		.output_tokens = 100,
		.slots = 64,
		.copy_token_ns = 1200,
		.zone = "z",
	};

	for (uint32_t i = 0; i < n_segments; i++)
		in.prompt_tokens += segments[i].tokens;
	return in;
}

static bct_gate_upstream_t *place(world_t *w, const bct_gate_pick_input_t *in, bct_gate_choice_t *c)
{
	bct_gate_pick(&w->picker, w->now, in, c);
	cr_assert_not_null(c->upstream);
	bct_gate_pick_sent(&w->picker, w->now, in, c);
	return c->upstream;
}

/* During a burst of long prompts, hardly any stream with a short gap shares an engine with them. */
Test(gate_pick, long_prompts_stay_off_tight_streams)
{
	uint32_t long_on[16] = { 0 }, tight_on[16] = { 0 }, mixed = 0, tight = 0;
	world_t w;

	world_init(&w, 9);
	bct_gate_pick_expect(&w.picker, bct_gate_upstreams_find(&w.upstreams, "i-0")->service_key,
			     250);
	bct_gate_pick_expect(&w.picker, bct_gate_upstreams_find(&w.upstreams, "i-0")->service_key,
			     1000);
	for (uint64_t i = 0; i < 400; i++) {
		bool is_long = i % 2;
		bct_gate_segment_t segments[] = { { 7, 2500 }, { 1000 + i, is_long ? 4000 : 100 } };
		bct_gate_pick_input_t in = is_long ? input_of(&w, 1000, segments, 2)
						   : input_of(&w, 250, segments + 1, 1);
		bct_gate_choice_t c;
		bct_gate_upstream_t *u = place(&w, &in, &c);

		(is_long ? long_on : tight_on)[atoi(u->entry.id + 2)]++;
		w.now += 25;
		bct_gate_pick_began(u, c.work_ms);
		bct_gate_pick_ended(u, c.work_ms, true);
	}
	for (int i = 0; i < 9; i++) {
		tight += tight_on[i];
		if (long_on[i] > 4)
			mixed += tight_on[i];
	}
	cr_assert_leq(mixed * 20, tight, "%u of %u streams beside long prompts", mixed, tight);
	world_free(&w);
}

/* A prefix that all requests share spreads over the engines, and is copied, not prefilled again. */
Test(gate_pick, a_hot_prefix_makes_no_hot_spot)
{
	uint32_t on[16] = { 0 }, most = 0, prefilled_again = 0;
	world_t w;

	world_init(&w, 9);
	for (uint64_t i = 0; i < 180; i++) {
		bct_gate_segment_t segments[] = { { 5, 6000 }, { 1000 + i, 1000 } };
		bct_gate_pick_input_t in = input_of(&w, 1000, segments, 2);
		bct_gate_choice_t c;
		uint32_t k = (uint32_t)atoi(place(&w, &in, &c)->entry.id + 2);

		on[k]++;
		/* Only the first request may prefill the shared segment. */
		prefilled_again += i > 0 && c.cached_tokens < 6000;
		w.now += 300;
		/* No request ends, so the load accumulates. */
		bct_gate_pick_began(c.upstream, c.work_ms);
	}
	for (int i = 0; i < 9; i++)
		most = on[i] > most ? on[i] : most;
	cr_assert_leq(most, 2 * 180 / 9, "%u of 180 on one engine", most);
	cr_assert_eq(prefilled_again, 0);
	world_free(&w);
}

/* An engine that is still prefilling a prompt is no source for a copy of it. */
Test(gate_pick, copies_come_from_where_the_prompt_was_read)
{
	bct_gate_segment_t segments[] = { { 5, 6000 }, { 6, 1000 } };
	bct_gate_choice_t c;
	bct_gate_pick_input_t in;
	world_t w;

	world_init(&w, 3);
	in = input_of(&w, 1000, segments, 2);
	place(&w, &in, &c);
	in.tried[in.n_tried++] = c.upstream->key;
	bct_gate_pick(&w.picker, w.now, &in, &c);
	cr_assert_null(c.source);
	bct_gate_pick(&w.picker, w.now + 2000, &in, &c);
	cr_assert_not_null(c.source);
	cr_assert_eq(c.cached_tokens, 7000);
	world_free(&w);
}

/* What one version keeps of a prompt is not copied to an engine of another one. */
Test(gate_pick, copies_stay_within_a_version)
{
	bct_gate_segment_t segments[] = { { 5, 6000 }, { 6, 1000 } };
	bct_gate_choice_t c;
	bct_gate_pick_input_t in;
	bct_list_t *el;
	world_t w;

	world_init(&w, 3);
	in = input_of(&w, 1000, segments, 2);
	place(&w, &in, &c);
	in.tried[in.n_tried++] = c.upstream->key;
	c.upstream->release = 1;
	bct_list_for_each(el, &w.upstreams.all) {
		bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);

		if (u != c.upstream)
			u->release = 2;
	}
	bct_gate_pick(&w.picker, w.now + 2000, &in, &c);
	cr_assert_null(c.source);
	cr_assert_eq(c.cached_tokens, 0);
	world_free(&w);
}

/* An engine with consecutive failures is avoided while there is another one. */
Test(gate_pick, failing_upstreams_are_avoided)
{
	bct_gate_choice_t c;
	bct_gate_upstream_t *bad;
	bct_gate_pick_input_t in;
	world_t w;

	world_init(&w, 3);
	in = input_of(&w, 250, NULL, 0);
	bad = bct_gate_upstreams_find(&w.upstreams, "i-1");
	bct_gate_upstream_result(bad, w.now, false);
	bct_gate_upstream_result(bad, w.now, false);
	for (int i = 0; i < 50; i++) {
		bct_gate_pick(&w.picker, w.now, &in, &c);
		cr_assert_neq(c.upstream, bad);
	}
	/* It is used when it is the only one that was not tried. */
	in.tried[0] = bct_gate_upstreams_find(&w.upstreams, "i-0")->key;
	in.tried[1] = bct_gate_upstreams_find(&w.upstreams, "i-2")->key;
	in.n_tried = 2;
	bct_gate_pick(&w.picker, w.now, &in, &c);
	cr_assert_eq(c.upstream, bad);
	in.n_tried = 3;
	in.tried[2] = bad->key;
	bct_gate_pick(&w.picker, w.now, &in, &c);
	cr_assert_null(c.upstream);
	world_free(&w);
}

static void add_up(void *ctx, uint64_t subject, const uint32_t *difference)
{
	uint32_t *sums = ctx;

	cr_assert_eq(subject, 7);
	sums[0] += difference[0];
	sums[1] += difference[1];
}

/* Other nodes' load is added up, is replaced by newer reports, and expires. */
Test(gate_peers, load_of_other_nodes)
{
	uint32_t sums[2] = { 0 };
	bct_gate_peers_t p;

	bct_gate_peers_init(&p, 500, add_up, sums);
	for (uint64_t peer = 1; peer <= 3; peer++)
		bct_gate_peers_report(&p, 0, &(bct_gate_peer_report_t){ peer, 7, { 10, 100 } });
	cr_assert_eq(sums[0], 30);
	bct_gate_peers_report(&p, 400, &(bct_gate_peer_report_t){ 2, 7, { 4, 40 } });
	cr_assert_eq(sums[0], 24);
	cr_assert_eq(sums[1], 240);
	bct_gate_peers_sweep(&p, 600);
	cr_assert_eq(sums[0], 4);
	bct_gate_peers_sweep(&p, 900);
	cr_assert_eq(sums[0], 0);
	cr_assert_eq(sums[1], 0);
	bct_gate_peers_free(&p);
}

Test(gate_prefix, the_least_recently_used_segment_is_evicted)
{
	bct_gate_holder_t h = { .upstream_key = 9 };
	bct_gate_prefix_t p;

	bct_gate_prefix_init(&p, 2, 1000);
	for (uint64_t id = 1; id <= 3; id++)
		bct_gate_prefix_sent(&p, 10, &(bct_gate_segment_t){ id, 1 }, 1, &h);
	cr_assert_not(bct_gate_prefix_holds(&p, 11, 1, 9));
	cr_assert(bct_gate_prefix_holds(&p, 11, 2, 9));
	cr_assert(bct_gate_prefix_holds(&p, 11, 3, 9));
	cr_assert_not(bct_gate_prefix_holds(&p, 1010, 3, 9), "it expires");
	cr_assert_not(bct_gate_prefix_shared(&p, 3));
	bct_gate_prefix_sent(&p, 12, &(bct_gate_segment_t){ 3, 1 }, 1, &h);
	cr_assert(bct_gate_prefix_shared(&p, 3));
	bct_gate_prefix_free(&p);
}

static bct_gate_lanes_t lanes_of_work(uint32_t tight_ms, uint32_t loose_ms, uint32_t engines)
{
	bct_gate_lanes_t l = { 0 };
	bct_time_t now = 1000;

	for (int i = 0; i < 40; i++) {
		bct_gate_lanes_add_work(&l, 250, tight_ms / 2);
		bct_gate_lanes_add_work(&l, 1000, loose_ms / 2);
		now += 500;
		bct_gate_lanes_update(&l, now, engines);
	}
	return l;
}

/* In a shortage the lane of the shorter gap keeps the engines it needs; the other one waits. */
Test(gate_lanes, tight_streams_keep_their_engines_in_a_shortage)
{
	bct_gate_lanes_t normal = lanes_of_work(3000, 6000, 20);
	bct_gate_lanes_t shortage = lanes_of_work(3000, 30000, 20);

	cr_assert_geq(normal.lanes[0].n, 4);
	cr_assert_geq(shortage.lanes[0].n, 4, "%u engines", shortage.lanes[0].n);
	cr_assert_eq(shortage.lanes[0].n + shortage.lanes[1].n, 20);
	cr_assert_eq(bct_gate_lanes_distance(&shortage, 250, 0), 0);
	cr_assert_eq(bct_gate_lanes_distance(&shortage, 250, 19), 1);
	cr_assert_eq(bct_gate_lanes_distance(&shortage, 1000, 0), -1);
}

/* While long prompts of a cold cache are refused, engines must not stand idle around streams. */
Test(gate_lanes, a_shortage_leaves_few_engines_idle)
{
	bct_gate_lanes_t normal = lanes_of_work(8000, 16000, 40);
	bct_gate_lanes_t shortage = lanes_of_work(8000, 60000, 40);

	cr_assert_geq(normal.lanes[0].n, 13, "%u engines", normal.lanes[0].n);
	cr_assert_geq(shortage.lanes[0].n, 9, "%u engines", shortage.lanes[0].n);
	cr_assert_leq(shortage.lanes[0].n, 10, "%u engines for work of 8", shortage.lanes[0].n);
}

/* With no more engines than lanes, all lanes share all engines. */
Test(gate_lanes, few_engines_are_shared)
{
	bct_gate_lanes_t l = lanes_of_work(3000, 6000, 2);

	cr_assert_eq(bct_gate_lanes_distance(&l, 250, 1), 0);
	cr_assert_eq(bct_gate_lanes_distance(&l, 1000, 0), 0);
}
