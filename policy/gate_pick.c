/*
 * gate_pick.c - scores the upstreams of a service, or a sample of them; the lowest cost wins.
 */
#include "policy/gate_pick.h"
#include "base/hash.h"
#include "base/mem.h"
#include "policy/rendezvous.h"

#include <string.h>

#define PERMILLE 1000
#define US_PER_MS 1000
#define NS_PER_MS 1000000
#define CANDIDATES_MAX 256 /* upstreams of one service that are considered */
#define PREFIX_SEGMENTS_MAX 4096
#define PREFIX_KEEP_MS 20000 /* under full load an engine evicts an unused segment by then */

/* Costs in ms; the lowest sum of predicted time to the first byte and costs wins. */
/* Of one request besides its prefill; the wait at a plain service is this per running request. */
#define SERVICE_WORK_MS 20
#define LOOSER_COST_MS 250     /* per lane for a longer gap: long prompts run there */
#define TIGHTER_COST_MS 1000   /* per lane for a shorter gap: the request would stall streams */
#define STREAM_COST_MS 1       /* per running stream: each slows a decode step slightly */
#define CROWDED_COST_MS 20     /* per request above CROWDED_PERMILLE: it waits for one to end */
#define CROWDED_PERMILLE 800   /* of an engine's slots */
#define OTHER_ZONE_COST_MS 4   /* another failure domain: latency and traffic between domains */
#define WORK_PERMILLE 500      /* of the prefill time, in addition to that time */
#define NO_AFFINITY_COST_MS 15 /* keeps a segment on few engines when nothing else decides */
#define SCATTER_PERMILLE 1000  /* of the time to bring shared segments to another engine */
#define POPULAR_USES 8	       /* recent requests from which on that counts less */
#define JITTER_MS 3	       /* breaks ties, so that nodes do not all choose the same upstream */

#define COPY_SETUP_MS 5 /* before a copy between engines starts to flow */
#define COPY_MARGIN 2	/* a copy must be this many times as fast as a prefill */

#define FULL_SCAN_NODES_MAX 12	  /* up to here load reports are fresh enough for a full scan */
#define SAMPLE_SIZE 4		  /* upstreams that are scored per decision above that */
#define SAMPLE_OTHER_LANES 2	  /* of them at most, outside the request's lane */
#define DRAWS_FACTOR 2		  /* draws per upstream before the sample is left incomplete */
#define ORDER_KEY 0x6c616e6573ULL /* arbitrary, but the same on all nodes */

typedef struct candidate {
	bct_gate_upstream_t *u;
	uint64_t order;	   /* sort key of the order that all nodes share */
	uint32_t position; /* in that order, from 0 */
	bool sampled;	   /* scored in this decision */
	bool closed; /* its limit or pause allows no request now, or a stream can't go on there */
} candidate_t;

/* The upstream that holds the most leading segments of the prompt in its cache. */
typedef struct source {
	bct_gate_upstream_t *upstream; /* NULL: none */
	uint32_t tokens;	       /* of the prompt, from its start */
} source_t;

/* Inputs of a decision that are the same for all candidates. */
typedef struct pick_ctx {
	const bct_gate_pick_input_t *in;
	const bct_gate_lanes_t *lanes;	     /* NULL: no lanes */
	const bct_gate_upstream_t *affinity; /* affinity engine of the prompt, or NULL */
	uint32_t shared_tokens;		     /* of the segments that prompts share */
	uint32_t scatter_permille;	     /* see scatter_cost() */
	source_t source;
} pick_ctx_t;

void bct_gate_picker_init(bct_gate_picker_t *p, bct_gate_upstreams_t *upstreams,
			  uint32_t prefill_tokens_per_s, uint32_t step_us, uint64_t seed)
{
	memset(p, 0, sizeof(*p));
	p->upstreams = upstreams;
	p->prefill_tokens_per_s = prefill_tokens_per_s;
	p->step_us = step_us;
	p->nodes = 1;
	bct_gate_prefix_init(&p->prefix, PREFIX_SEGMENTS_MAX, PREFIX_KEEP_MS);
	bct_rng_seed(&p->rng, seed);
}

void bct_gate_picker_free(bct_gate_picker_t *p)
{
	uint32_t pos = 0;
	void *lanes;

	while ((lanes = bct_map_next(&p->lanes, &pos)) != NULL)
		bct_free(lanes);
	bct_map_free(&p->lanes);
	bct_gate_prefix_free(&p->prefix);
}

static bool was_tried(const bct_gate_pick_input_t *in, const bct_gate_upstream_t *u)
{
	for (uint32_t i = 0; i < in->n_tried; i++) {
		if (in->tried[i] == u->key)
			return true;
	}
	return false;
}

/* Whether the upstream's limit or pause allows no request now. Notes for how long. */
static bool is_closed(bct_gate_upstream_t *u, bct_time_t now, bct_gate_choice_t *out)
{
	uint32_t wait_ms = bct_gate_upstream_wait_ms(u, now);

	if (!wait_ms)
		return false;
	if (!out->limited || wait_ms < out->limited_ms)
		out->limited_ms = wait_ms;
	out->limited++;
	out->brittle += u->brittle.named;
	return true;
}

/*
 * Stores the upstreams that accept requests of the service; returns their number. Those at which
 * this request can't go on are kept, because the order of all decides on lanes.
 */
static uint32_t collect(const bct_gate_picker_t *p, bct_time_t now, const bct_gate_pick_input_t *in,
			candidate_t *out, bct_gate_choice_t *choice)
{
	bct_list_t *el;
	uint32_t n = 0;

	bct_list_for_each(el, &p->upstreams->all) {
		bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);

		if (n == CANDIDATES_MAX)
			break;
		if (!bct_gate_upstream_accepts(u, in->service_key))
			continue;
		out[n].u = u;
		out[n].closed = (in->origin && !bct_gate_origin_allows(in->origin, u)) ||
				is_closed(u, now, choice);
		out[n].order = bct_rendezvous_score(ORDER_KEY, u->key);
		n++;
	}
	return n;
}

static void assign_positions(candidate_t *c, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		c[i].position = 0;
		for (uint32_t j = 0; j < n; j++)
			c[i].position += c[j].order < c[i].order;
	}
}

/*
 * Many nodes that act on the same outdated load reports would all choose the same upstream. Above
 * FULL_SCAN_NODES_MAX nodes each decision therefore scores only a few upstreams drawn at random, at
 * least half of them in the request's lane, besides the affinity engine and the copy source.
 */
static void draw_sample(bct_gate_picker_t *p, const pick_ctx_t *ctx, candidate_t *c, uint32_t n)
{
	/* Few may have the software at which a stream can go on. */
	bool all = p->nodes <= FULL_SCAN_NODES_MAX || n <= SAMPLE_SIZE || ctx->in->origin;
	uint32_t drawn = 0;

	for (uint32_t i = 0; i < n; i++) {
		c[i].sampled = all || c[i].u == ctx->affinity || c[i].u == ctx->source.upstream;
		c[i].sampled = c[i].sampled && !c[i].closed;
	}
	for (uint32_t i = 0; !all && drawn < SAMPLE_SIZE && i < n * DRAWS_FACTOR; i++) {
		candidate_t *pick = &c[bct_rng_below(&p->rng, n)];
		bool in_lane = !ctx->lanes || !bct_gate_lanes_distance(ctx->lanes, ctx->in->gap_ms,
								       pick->position);

		if (pick->sampled || pick->closed ||
		    (!in_lane && drawn < SAMPLE_SIZE - SAMPLE_OTHER_LANES))
			continue;
		pick->sampled = true;
		drawn++;
	}
}

bct_gate_lanes_t *bct_gate_pick_lanes(bct_gate_picker_t *p, uint64_t service_key)
{
	bct_gate_lanes_t *l = bct_map_get(&p->lanes, service_key);

	if (l)
		return l;
	l = bct_alloc(sizeof(*l));
	if (l && bct_map_put(&p->lanes, service_key, l)) {
		bct_free(l);
		l = NULL;
	}
	return l;
}

void bct_gate_pick_expect(bct_gate_picker_t *p, uint64_t service_key, uint32_t gap_ms)
{
	bct_gate_lanes_t *l = bct_gate_pick_lanes(p, service_key);

	if (l)
		bct_gate_lanes_add_work(l, gap_ms, 0);
}

/*
 * The engine in the request's lane that a segment is kept on when nothing else decides. One that
 * names a limit accepts too few requests for that.
 */
static const bct_gate_upstream_t *affinity_engine(uint64_t segment, const candidate_t *c,
						  uint32_t n, const bct_gate_lanes_t *l,
						  uint32_t gap_ms)
{
	const bct_gate_upstream_t *best = NULL;
	uint64_t best_score = 0;

	for (uint32_t i = 0; i < n; i++) {
		uint64_t score = bct_rendezvous_score(segment, c[i].u->key);

		if (c[i].u->limit.named || (l && bct_gate_lanes_distance(l, gap_ms, c[i].position)))
			continue;
		if (!best || score > best_score) {
			best = c[i].u;
			best_score = score;
		}
	}
	return best;
}

uint32_t bct_gate_pick_shared_segments(const bct_gate_picker_t *p, const bct_gate_pick_input_t *in)
{
	uint32_t n = in->n_segments;

	while (n > 1 && !bct_gate_prefix_shared(&p->prefix, in->segments[n - 1].id))
		n--;
	/* Unless the last segment is known to be shared, assume that all others are. */
	if (n < in->n_segments - 1 && in->n_segments > 1)
		n = in->n_segments - 1;
	return n;
}

/* Tokens of the first n segments, at most those of the prompt. */
static uint32_t leading_tokens(const bct_gate_pick_input_t *in, uint32_t n)
{
	uint32_t tokens = 0;

	for (uint32_t i = 0; i < n; i++)
		tokens += in->segments[i].tokens;
	return tokens < in->prompt_tokens ? tokens : in->prompt_tokens;
}

/* Tokens up to the last segment that the upstream holds; holding it implies those before it. */
static uint32_t cached_tokens(const bct_gate_picker_t *p, bct_time_t now,
			      const bct_gate_pick_input_t *in, const bct_gate_upstream_t *u)
{
	uint32_t i = in->n_segments;

	while (i && !bct_gate_prefix_holds(&p->prefix, now, in->segments[i - 1].id, u->key))
		i--;
	return leading_tokens(in, i);
}

/* An upstream among the candidates that holds the segment and is not being avoided, or NULL. */
static bct_gate_upstream_t *holder_of(const bct_gate_picker_t *p, bct_time_t now, uint64_t segment,
				      const candidate_t *c, uint32_t n)
{
	for (uint32_t i = 0; i < BCT_GATE_HOLDERS; i++) {
		uint64_t key = bct_gate_prefix_holder(&p->prefix, now, segment, i);

		for (uint32_t j = 0; key && j < n; j++) {
			if (c[j].u->key == key && now >= c[j].u->avoid_until)
				return c[j].u;
		}
	}
	return NULL;
}

/* The upstream to copy from; none if copies are not possible. */
static source_t find_source(const bct_gate_picker_t *p, bct_time_t now,
			    const bct_gate_pick_input_t *in, const candidate_t *c, uint32_t n)
{
	source_t s = { 0 };

	for (uint32_t i = in->n_segments; in->copy_token_ns && i && !s.upstream; i--) {
		s.upstream = holder_of(p, now, in->segments[i - 1].id, c, n);
		s.tokens = leading_tokens(in, i);
	}
	return s;
}

/* Sums of differences may be temporarily wrong when an upstream restarts under the same id. */
static uint32_t non_negative(int32_t sum)
{
	return sum > 0 ? (uint32_t)sum : 0;
}

/* Predicted wait before the request is served, in ms at the upstream's usual pace. */
static uint32_t predict_wait(const bct_gate_upstream_t *u, const bct_gate_pick_input_t *in)
{
	uint32_t running = u->running + non_negative(u->peer_running);
	uint32_t uncrowded = in->slots * CROWDED_PERMILLE / PERMILLE;
	uint32_t wait;

	if (!in->engine)
		return running * SERVICE_WORK_MS;
	wait = u->prefill_ms + non_negative(u->peer_prefill_ms) + running * STREAM_COST_MS;
	return running > uncrowded ? wait + (running - uncrowded) * CROWDED_COST_MS : wait;
}

/* A failed request costs its caller about twice the latency objective. */
static uint64_t fail_cost(const bct_gate_pick_input_t *in, const bct_gate_upstream_t *u)
{
	return (uint64_t)u->fail_permille * in->target_ms * 2 / PERMILLE;
}

/* Engine time is the fleet's scarce resource, so a prefill costs more than the time it takes. */
static uint64_t time_cost(const bct_gate_choice_t *c)
{
	return c->first_byte_ms + (uint64_t)c->work_ms * WORK_PERMILLE / PERMILLE;
}

static uint32_t scatter_permille(const bct_gate_picker_t *p, bct_time_t now, uint64_t segment)
{
	uint32_t uses = bct_gate_prefix_recent(&p->prefix, now, segment);

	return uses <= POPULAR_USES ? SCATTER_PERMILLE : SCATTER_PERMILLE * POPULAR_USES / uses;
}

static uint64_t lane_cost(int32_t distance)
{
	return distance >= 0 ? (uint64_t)distance * LOOSER_COST_MS
			     : (uint64_t)-distance * TIGHTER_COST_MS;
}

typedef struct scored {
	bct_gate_choice_t choice;
	uint64_t cost;
	bool avoided;
} scored_t;

static uint32_t prefill_ms(const bct_gate_picker_t *p, uint32_t tokens)
{
	return (uint32_t)((uint64_t)tokens * PERMILLE / p->prefill_tokens_per_s);
}

/* Time until the engine has the prompt: what is not cached is prefilled, or copied if faster. */
static void predict_work(const bct_gate_picker_t *p, bct_time_t now, const pick_ctx_t *ctx,
			 bct_gate_choice_t *c)
{
	const bct_gate_pick_input_t *in = ctx->in;
	uint32_t cached = cached_tokens(p, now, in, c->upstream), copied, copy_ms;

	c->cached_tokens = cached;
	c->work_ms = prefill_ms(p, in->prompt_tokens - cached);
	if (!ctx->source.upstream || ctx->source.upstream == c->upstream ||
	    ctx->source.tokens <= cached ||
	    !bct_gate_origin_same_software(ctx->source.upstream, c->upstream))
		return;
	copied = ctx->source.tokens - cached;
	copy_ms = COPY_SETUP_MS + (uint32_t)((uint64_t)copied * in->copy_token_ns / NS_PER_MS);
	if (copy_ms * COPY_MARGIN >= prefill_ms(p, copied))
		return;
	c->source = ctx->source.upstream;
	c->copy_ms = copy_ms;
	c->cached_tokens = ctx->source.tokens;
	c->work_ms = prefill_ms(p, in->prompt_tokens - ctx->source.tokens) + copy_ms;
}

/* Scales a time at the usual pace to the pace observed at the upstream. */
static uint32_t at_observed_pace(const bct_gate_upstream_t *u, uint32_t ms)
{
	return (uint32_t)((uint64_t)ms * u->slow_permille / PERMILLE);
}

/*
 * Shared segments that are brought elsewhere than to their affinity engine, by prefill or copy,
 * will be brought again: the next request with them goes to the affinity engine, unless it is
 * overloaded then, too. The more requests have them, the sooner one finds them at another engine.
 */
static uint64_t scatter_cost(const bct_gate_picker_t *p, const pick_ctx_t *ctx,
			     const bct_gate_choice_t *c)
{
	uint64_t ms = (uint64_t)c->copy_ms * COPY_MARGIN;

	if (c->cached_tokens < ctx->shared_tokens)
		ms += prefill_ms(p, ctx->shared_tokens - c->cached_tokens);
	return ms * ctx->scatter_permille / PERMILLE;
}

static void score(bct_gate_picker_t *p, bct_time_t now, const pick_ctx_t *ctx, const candidate_t *c,
		  scored_t *out)
{
	const bct_gate_pick_input_t *in = ctx->in;
	bct_gate_upstream_t *u = c->u;

	memset(out, 0, sizeof(*out));
	out->choice.upstream = u;
	out->choice.wait_ms = predict_wait(u, in);
	if (in->engine)
		predict_work(p, now, ctx, &out->choice);
	if (ctx->lanes)
		out->choice.lane_distance =
			bct_gate_lanes_distance(ctx->lanes, in->gap_ms, c->position);
	out->choice.delay_ms = at_observed_pace(u, out->choice.wait_ms);
	out->choice.first_byte_ms =
		out->choice.delay_ms + at_observed_pace(u, out->choice.work_ms + SERVICE_WORK_MS);
	out->cost = time_cost(&out->choice);
	out->cost += lane_cost(out->choice.lane_distance);
	out->cost += fail_cost(in, u);
	if (ctx->affinity && u != ctx->affinity)
		out->cost += NO_AFFINITY_COST_MS + scatter_cost(p, ctx, &out->choice);
	if (in->zone && strcmp(in->zone, u->entry.zone) != 0)
		out->cost += OTHER_ZONE_COST_MS;
	out->cost += bct_rng_below(&p->rng, JITTER_MS);
	out->avoided = now < u->avoid_until;
}

/* An upstream that is being avoided is chosen only if there is no other. */
static bool better(const scored_t *a, const scored_t *b)
{
	if (!b->choice.upstream)
		return true;
	if (a->avoided != b->avoided)
		return b->avoided;
	return a->cost < b->cost;
}

void bct_gate_pick(bct_gate_picker_t *p, bct_time_t now, const bct_gate_pick_input_t *in,
		   bct_gate_choice_t *out)
{
	candidate_t c[CANDIDATES_MAX];
	bct_gate_choice_t none = { 0 };
	uint32_t n = collect(p, now, in, c, &none);
	bct_gate_lanes_t *l = in->engine ? bct_gate_pick_lanes(p, in->service_key) : NULL;
	pick_ctx_t ctx = { .in = in, .lanes = l };
	scored_t best = { 0 }, s;
	uint32_t n_shared = bct_gate_pick_shared_segments(p, in);

	if (in->engine)
		assign_positions(c, n);
	if (l)
		bct_gate_lanes_update(l, now, n);
	if (n_shared) {
		ctx.affinity = affinity_engine(in->segments[n_shared - 1].id, c, n, l, in->gap_ms);
		ctx.source = find_source(p, now, in, c, n);
		ctx.shared_tokens = leading_tokens(in, n_shared);
		ctx.scatter_permille = scatter_permille(p, now, in->segments[n_shared - 1].id);
	}
	draw_sample(p, &ctx, c, n);
	for (uint32_t i = 0; i < n; i++) {
		if (!c[i].sampled || was_tried(in, c[i].u))
			continue;
		score(p, now, &ctx, &c[i], &s);
		if (better(&s, &best))
			best = s;
	}
	*out = best.choice;
	out->limited = none.limited;
	out->limited_ms = none.limited_ms;
	out->brittle = none.brittle;
}

/* Engine time that the output takes: a stream uses one slot's share of its engine. */
static uint32_t output_work_ms(const bct_gate_picker_t *p, const bct_gate_pick_input_t *in)
{
	uint64_t us = (uint64_t)in->output_tokens * p->step_us;

	return in->slots ? (uint32_t)(us / in->slots / US_PER_MS) : 0;
}

uint32_t bct_gate_pick_work_ms(const bct_gate_picker_t *p, const bct_gate_pick_input_t *in,
			       const bct_gate_choice_t *c)
{
	uint32_t prompt_ms = c->upstream ? c->work_ms : prefill_ms(p, in->prompt_tokens);

	return in->engine ? prompt_ms + output_work_ms(p, in) : 0;
}

void bct_gate_pick_sent(bct_gate_picker_t *p, bct_time_t now, const bct_gate_pick_input_t *in,
			const bct_gate_choice_t *c)
{
	bct_gate_lanes_t *l = in->engine ? bct_gate_pick_lanes(p, in->service_key) : NULL;

	bct_gate_limit_sent(&c->upstream->limit, now);
	bct_gate_brittle_sent(&c->upstream->brittle, now);
	c->upstream->running++;
	c->upstream->prefill_ms += c->work_ms;
	if (l)
		bct_gate_lanes_add_work(l, in->gap_ms, bct_gate_pick_work_ms(p, in, c));
	bct_gate_prefix_sent(&p->prefix, now, in->segments, in->n_segments,
			     &(bct_gate_holder_t){ .upstream_key = c->upstream->key,
						   .ready = now + c->wait_ms + c->work_ms });
}

void bct_gate_pick_began(bct_gate_upstream_t *u, uint32_t work_ms)
{
	u->prefill_ms -= work_ms < u->prefill_ms ? work_ms : u->prefill_ms;
	u->streams++;
}

void bct_gate_pick_ended(bct_gate_upstream_t *u, uint32_t work_ms, bool began)
{
	if (began)
		u->streams -= u->streams ? 1 : 0;
	else
		u->prefill_ms -= work_ms < u->prefill_ms ? work_ms : u->prefill_ms;
	u->running -= u->running ? 1 : 0;
}
