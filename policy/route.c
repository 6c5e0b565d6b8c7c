/*
 * route.c - chooses the upstream with the shortest predicted time to first token among a few
 * candidates: some drawn at random from those with room, and those that may hold the prompt's
 * prefix.
 */
#include "base/hash.h"
#include "policy/sched_int.h"

#include <math.h>

#define ROUTE_CHOICES 4	    /* candidates drawn at random */
#define ROUTE_SCAN_MAX 32   /* candidates tried when none of the first ones fits */
#define ROUTE_BATCH_MS 40.0 /* delay that a full batch adds to a first token */
/* Report age at which the predicted wait is doubled. */
#define ROUTE_REPORT_AGE_DOUBLING_MS 4000.0
#define ROUTE_OTHER_DOMAIN_MS 1.0
#define ROUTE_OTHER_REGION_MS 60.0
/* For each tier above the lowest, an engine may be overcommitted by its slots over this divisor. */
#define ROUTE_OVERCOMMIT_DIVISOR 8
/* An older report does not show what the engine runs. */
#define ROUTE_OVERCOMMIT_REPORT_MAX_AGE_MS 3000
#define ROUTE_KV_TOKENS_PER_MS 100.0 /* speed of a KV cache transfer between engines */
#define ROUTE_KV_SETUP_MS 15.0
/* No node waits to test a suspect on an upstream that has not reported for this long. */
#define ROUTE_TEST_REPORT_MAX_AGE_MS 20000
#define ROUTE_SESSION_CACHED 0.5 /* part of a session's prompt that is assumed to be cached */
#define ROUTE_SERVICE_MS 20.0	 /* answer time of a service, before correction by its speed */

typedef struct candidate {
	bct_up_t *up;
	double score_ms;	/* predicted time to first token, with the distance */
	double prefill_tokens;	/* to compute there */
	double transfer_tokens; /* to import from another engine */
} candidate_t;

typedef struct search {
	bct_core_t *c;
	bct_time_t now;
	bct_target_t *t;
	const bct_sreq_t *r;
	bct_set_t set;
	const bct_prefix_entry_t *prefix;  /* entry of the longest known prefix */
	const bct_prefix_entry_t *session; /* entry of the request's session */
	uint32_t n_prefix;		   /* blocks of that prefix */
	bool allow_avoided;		   /* also try the upstream of the last failed attempt */
	candidate_t best;
} search_t;

static bool holds(const bct_prefix_entry_t *e, const bct_up_t *u)
{
	for (uint32_t i = 0; e && i < BCT_PREFIX_HOLDERS; i++) {
		if (e->holders[i].used && e->holders[i].index == u->index)
			return e->holders[i].epoch == u->feed.epoch;
	}
	return false;
}

static double cached_tokens(const search_t *s, const bct_up_t *u)
{
	uint32_t blocks;
	double tokens;

	if (!s->r->desc.n_prefix)
		return holds(s->session, u) ? s->r->desc.prompt_tokens * ROUTE_SESSION_CACHED : 0;
	if (!s->n_prefix)
		return 0;
	blocks =
		bct_prefix_match(&s->c->prefix, &u->feed, u->index, s->r->desc.prefix, s->n_prefix);
	tokens = (double)blocks * BCT_PREFIX_BLOCK_TOKENS;
	return fmin(tokens, s->r->desc.prompt_tokens) * u->feed.confidence;
}

/*
 * Uncached tokens of the longest known prefix, if fetching them from an engine that holds them is
 * faster than computing them; otherwise 0.
 */
static double transferable_tokens(const search_t *s, const bct_up_t *u, double cached)
{
	double longest = (double)s->n_prefix * BCT_PREFIX_BLOCK_TOKENS;
	double more = fmin(longest, s->r->desc.prompt_tokens) - cached;
	double transfer_ms = ROUTE_KV_SETUP_MS + more / ROUTE_KV_TOKENS_PER_MS;

	if (more <= 0 || transfer_ms >= more / u->prefill_tokens_per_ms)
		return 0;
	return more;
}

static double distance_ms(const bct_core_t *c, const bct_up_t *u)
{
	if (u->region_key != c->fleet.region_key)
		return ROUTE_OTHER_REGION_MS;
	return u->failure_domain_key == c->fleet.failure_domain_key ? 0 : ROUTE_OTHER_DOMAIN_MS;
}

/*
 * Predicted wait of a new request behind the work there; the older the report, the more is
 * assumed.
 */
static double wait_ms(const search_t *s, const bct_up_t *u)
{
	const bct_load_t *l = &u->load;
	double ahead = (double)(l->prefill_tokens + l->others_prefill_tokens);
	double busy = (double)(l->local + l->others) / l->slots;
	double age_ms = u->report_at ? (double)(s->now - u->report_at) : 0;
	double ms = ahead / u->prefill_tokens_per_ms + busy * ROUTE_BATCH_MS;
	uint32_t used = l->local + l->others;

	/*
	 * Slots become free independently; a full engine frees one after a part of a service time.
	 */
	if (used >= l->slots)
		ms += (used - l->slots + 1) * s->t->service_ms / l->slots;

	return ms * (1 + age_ms / ROUTE_REPORT_AGE_DOUBLING_MS);
}

/* Scores an upstream and keeps it if it is the best one so far. */
static void search_try(search_t *s, bct_up_t *u)
{
	double cached, more, ms, fetch_ms = 0;
	uint32_t need = s->r->desc.prompt_tokens + s->r->tokens;

	if (!bct_up_may_go_on(u, s->r))
		return;
	if (u->key == s->r->avoid_key && !s->allow_avoided)
		return;
	if (u->kind == BCT_UPSTREAM_SERVICE) {
		cached = need;
		more = 0;
		fetch_ms = ROUTE_SERVICE_MS;
	} else {
		cached = cached_tokens(s, u);
		more = transferable_tokens(s, u, cached);
	}
	if (more > 0)
		fetch_ms = ROUTE_KV_SETUP_MS + more / ROUTE_KV_TOKENS_PER_MS;
	ms = wait_ms(s, u) + fetch_ms + (need - cached - more) / u->prefill_tokens_per_ms;
	ms = ms / u->speed + distance_ms(s->c, u);
	if (s->best.up && s->best.score_ms <= ms)
		return;
	s->best = (candidate_t){ u, ms, need - cached - more, more };
}

static bool is_in(const bct_up_t *u, const bct_target_t *t, bct_set_t set)
{
	for (uint32_t k = 0; k < u->n_targets; k++) {
		if (u->targets[k] == t)
			return u->pos[set][k] != 0;
	}
	return false;
}

static void search_holders(search_t *s, const bct_prefix_entry_t *e)
{
	for (uint32_t i = 0; e && i < BCT_PREFIX_HOLDERS; i++) {
		bct_up_t *u;

		if (!e->holders[i].used)
			continue;
		u = s->c->by_index[e->holders[i].index];
		if (e->holders[i].epoch == u->feed.epoch && is_in(u, s->t, s->set))
			search_try(s, u);
	}
}

/* Tries up to max distinct members of the set, evenly spaced from a random start. */
static void search_open(search_t *s, uint32_t max)
{
	const bct_up_set_t *set = &s->t->sets[s->set];
	uint32_t n = set->n < max ? set->n : max;
	uint32_t at = bct_rng_below(&s->c->rng, set->n);
	uint32_t step = set->n / (n ? n : 1);

	for (uint32_t i = 0; i < n; i++)
		search_try(s, set->ups[(at + i * step) % set->n]);
}

/*
 * The engine to import from: a healthy holder of the longest prefix in the region of the chosen
 * upstream; 0: none.
 */
static uint64_t kv_source(const search_t *s)
{
	for (uint32_t i = 0; s->prefix && i < BCT_PREFIX_HOLDERS; i++) {
		const bct_prefix_holder_t *h = &s->prefix->holders[i];
		const bct_up_t *u;

		if (!h->used)
			continue;
		u = s->c->by_index[h->index];
		if (u != s->best.up && h->epoch == u->feed.epoch && u->seen && !u->failures &&
		    u->region_key == s->best.up->region_key)
			return u->key;
	}
	return 0;
}

static bct_route_t search_result(const search_t *s)
{
	bct_route_t route = { .up = s->best.up };
	double tokens = s->best.prefill_tokens;

	if (!route.up)
		return route;
	if (s->best.transfer_tokens > 0)
		route.kv_source_key = kv_source(s);
	if (!route.kv_source_key)
		tokens += s->best.transfer_tokens;
	route.prefill_tokens = (uint32_t)fmax(0, tokens);
	route.ttft_ms = (uint32_t)s->best.score_ms;
	return route;
}

bct_route_t bct_route_choose(bct_core_t *c, bct_time_t now, bct_target_t *t, const bct_sreq_t *r,
			     bct_set_t set)
{
	search_t s = { .c = c, .now = now, .t = t, .r = r, .set = set };

	if (r->desc.n_prefix)
		s.prefix =
			bct_prefix_find(&c->prefix, r->desc.prefix, r->desc.n_prefix, &s.n_prefix);
	if (r->desc.session_key)
		s.session = bct_map_get(&c->prefix.map, bct_hash_mix(r->desc.session_key, t->key));
	if (t->sets[set].n) {
		search_holders(&s, s.prefix);
		search_holders(&s, s.session);
		search_open(&s, ROUTE_CHOICES);
		if (!s.best.up)
			search_open(&s, ROUTE_SCAN_MAX);
		s.allow_avoided = true;
		if (!s.best.up)
			search_open(&s, ROUTE_SCAN_MAX);
	}
	return search_result(&s);
}

/* Whether the engine would preempt lower-tier work for one more request of this priority. */
static bool makes_room(const bct_up_t *u, uint8_t priority)
{
	uint32_t before = 0;

	for (uint32_t i = 0; i < priority; i++)
		before += u->running_by_tier[i] + u->sent_by_tier[i];
	return before < u->load.slots;
}

/*
 * Whether a request may be sent to a full engine. The higher its priority, the further beyond the
 * slots.
 */
static bool may_overcommit(const bct_up_t *u, bct_time_t now, uint8_t priority)
{
	uint32_t over = 1 + u->load.slots * (BCT_TIERS - priority) / ROUTE_OVERCOMMIT_DIVISOR;

	return u->honours_priority && bct_up_usable(u) && now >= u->down_until && !u->alone &&
	       u->load.local + u->load.others < u->load.slots + over && makes_room(u, priority) &&
	       now - u->report_at <= ROUTE_OVERCOMMIT_REPORT_MAX_AGE_MS;
}

/* Chooses a full engine that preempts lower tiers itself, for a request that cannot wait. */
bct_route_t bct_route_overcommit(bct_core_t *c, bct_time_t now, bct_target_t *t,
				 const bct_sreq_t *r)
{
	search_t s = { .c = c, .now = now, .t = t, .r = r };
	uint32_t at = bct_rng_below(&c->rng, t->n_ups);
	uint32_t n = t->n_ups < ROUTE_SCAN_MAX ? t->n_ups : ROUTE_SCAN_MAX;

	for (uint32_t i = 0; i < n; i++) {
		bct_up_t *u = t->ups[(at + i) % t->n_ups];

		if (may_overcommit(u, now, bct_core_priority(r)))
			search_try(&s, u);
	}
	return search_result(&s);
}

/* Routes to u, or nowhere if u does not fit. */
bct_route_t bct_route_to(bct_core_t *c, bct_time_t now, bct_target_t *t, const bct_sreq_t *r,
			 bct_up_t *u)
{
	search_t s = { .c = c, .now = now, .t = t, .r = r };

	if (r->desc.n_prefix)
		s.prefix =
			bct_prefix_find(&c->prefix, r->desc.prefix, r->desc.n_prefix, &s.n_prefix);
	search_try(&s, u);
	return search_result(&s);
}

/* Routes to u, with the whole prompt to prefill and nothing ahead of it. */
bct_route_t bct_route_uncached(const bct_sreq_t *r, bct_up_t *u)
{
	uint32_t tokens = r->desc.prompt_tokens + r->tokens;

	return (bct_route_t){ u, 0, tokens, (uint32_t)(tokens / u->prefill_tokens_per_ms) };
}

/* Rank of an upstream in the order of keys, which is the same on all nodes. */
static uint32_t route_rank(const bct_target_t *t, const bct_up_t *u)
{
	uint32_t rank = 0;

	for (uint32_t i = 0; i < t->n_ups; i++)
		rank += t->ups[i]->key < u->key;
	return rank;
}

/*
 * Whether this node may test suspects on u. Where every node uses all upstreams, each node tests
 * on its own share of them.
 */
static bool route_in_local_share(const bct_core_t *c, const bct_target_t *t, const bct_up_t *u)
{
	uint32_t shares = c->fleet.nodes < t->n_ups ? c->fleet.nodes : t->n_ups;

	if (shares <= 1 || t->n_ups != t->n_all)
		return true;
	return route_rank(t, u) % shares == c->fleet.rank % shares;
}

static bool route_may_test(const bct_sreq_t *r, const bct_up_t *u)
{
	return bct_up_usable(u) && bct_up_may_go_on(u, r);
}

/* Whether the upstream reported recently, or never reports. It may still be down for a moment. */
static bool route_reported_recently(const bct_up_t *u, bct_time_t now)
{
	return !u->report_at || now - u->report_at <= ROUTE_TEST_REPORT_MAX_AGE_MS;
}

/* Prefers the upstream with the fewest attempts of this node, which is drained soonest. */
static bool route_better_for_test(const bct_sreq_t *r, const bct_up_t *a, const bct_up_t *b)
{
	if (a->load.local != b->load.local)
		return a->load.local < b->load.local;
	return bct_hash_mix(r->desc.digest, a->key) > bct_hash_mix(r->desc.digest, b->key);
}

/*
 * Chooses an upstream to test a suspect on, or NULL. Two nodes that test on one upstream at a time
 * would blame each other's request for the crash, so a node waits for its own share, unless no
 * upstream of that share is likely to come back soon.
 */
bct_up_t *bct_route_for_suspect(const bct_core_t *c, bct_target_t *t, bct_time_t now,
				const bct_sreq_t *r)
{
	bct_up_t *best = NULL;
	bool has_local_share = false;

	for (uint32_t i = 0; i < t->n_ups; i++)
		has_local_share |= route_in_local_share(c, t, t->ups[i]) &&
				   route_may_test(r, t->ups[i]) &&
				   route_reported_recently(t->ups[i], now);
	for (uint32_t i = 0; i < t->n_ups; i++) {
		bct_up_t *u = t->ups[i];

		if (!route_may_test(r, u) || u->alone || now < u->down_until)
			continue;
		if (has_local_share && !route_in_local_share(c, t, u))
			continue;
		if (!best || route_better_for_test(r, u, best))
			best = u;
	}
	return best;
}
