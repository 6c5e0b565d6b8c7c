/*
 * gate_pick.c - one pass over the upstreams of a service; the least cost wins.
 */
#include "policy/gate_pick.h"
#include "base/hash.h"
#include "base/mem.h"
#include "policy/rendezvous.h"

#include <string.h>

#define PERMILLE 1000
#define US_PER_MS 1000
#define NS_PER_MS 1000000
#define ENGINES_MAX 256 /* upstreams of one service that are looked at */
#define PREFIX_PARTS_MAX 4096
#define PREFIX_KEEP_MS 20000 /* an unused part is evicted by then under full load */
#define SERVICE_WORK_MS 20   /* of one request at a plain service, for comparing queues */
#define LOOSER_COST_MS 250   /* for each lane that suits longer pauses: long prompts are there */
#define TIGHTER_COST_MS 1000 /* for each lane that suits shorter pauses: streams stall there */
#define STREAM_COST_MS 1     /* each running stream slows a step a little */
#define CROWDED_COST_MS 20   /* each request over most of the slots waits for one to end */
#define CROWDED_PERMILLE 800
#define FAR_COST_MS 4		  /* another failure domain: latency and traffic between domains */
#define WORK_PERMILLE 500	  /* of the time that a prompt takes, on top of that time */
#define NOT_HOME_COST_MS 15	  /* keeps a part on few engines when nothing else decides */
#define COPY_SETUP_MS 5		  /* before a copy between engines flows */
#define COPY_MARGIN 2		  /* a copy must be so many times quicker than reading */
#define JITTER_MS 3		  /* breaks ties, so that nodes do not all choose the same */
#define NODES_IN_STEP 12	  /* up to so many nodes, news of load are fresh enough for all */
#define SAMPLE 4		  /* upstreams that one decision looks at above that */
#define SAMPLE_OUTSIDE 2	  /* of them outside the request's lane */
#define DRAWS_FACTOR 2		  /* draws for each upstream before a sample stays small */
#define ORDER_KEY 0x6c616e6573ULL /* any constant, the same on all nodes */

typedef struct candidate {
	bct_gate_upstream_t *u;
	uint64_t order;
	uint32_t position;
	bool looked_at;
} candidate_t;

/* Where the most of a prompt is cached now. */
typedef struct source {
	bct_gate_upstream_t *upstream; /* NULL: nowhere */
	uint32_t tokens;
} source_t;

/* What is known before the single upstreams are looked at. */
typedef struct common {
	const bct_gate_pick_input_t *ask;
	const bct_gate_lanes_t *lanes;
	const bct_gate_upstream_t *home;
	source_t source;
} common_t;

void bct_gate_picker_init(bct_gate_picker_t *p, bct_gate_upstreams_t *upstreams,
			  uint32_t prefill_tokens_per_s, uint32_t step_us, uint64_t seed)
{
	memset(p, 0, sizeof(*p));
	p->upstreams = upstreams;
	p->prefill_tokens_per_s = prefill_tokens_per_s;
	p->step_us = step_us;
	p->nodes = 1;
	bct_gate_prefix_init(&p->prefix, PREFIX_PARTS_MAX, PREFIX_KEEP_MS);
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

static bool was_tried(const bct_gate_pick_input_t *ask, const bct_gate_upstream_t *u)
{
	for (uint32_t i = 0; i < ask->n_tried; i++) {
		if (ask->tried[i] == u->key)
			return true;
	}
	return false;
}

static uint32_t collect(const bct_gate_picker_t *p, uint64_t service_key, candidate_t *out)
{
	bct_list_t *el;
	uint32_t n = 0;

	bct_list_for_each(el, &p->upstreams->all) {
		bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);

		if (n == ENGINES_MAX)
			break;
		if (!bct_gate_upstream_accepts(u, service_key))
			continue;
		out[n].u = u;
		out[n].order = bct_rendezvous_score(ORDER_KEY, u->key);
		n++;
	}
	return n;
}

static void number(candidate_t *c, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		c[i].position = 0;
		for (uint32_t j = 0; j < n; j++)
			c[i].position += c[j].order < c[i].order;
	}
}

/*
 * Many nodes that act on the same old news all choose the same upstream. Above a number of nodes
 * each decision looks at a few upstreams drawn at random, most of them in the request's lane.
 */
static void draw_sample(bct_gate_picker_t *p, const common_t *k, candidate_t *c, uint32_t n)
{
	bool all = p->nodes <= NODES_IN_STEP || n <= SAMPLE;
	uint32_t drawn = 0;

	for (uint32_t i = 0; i < n; i++)
		c[i].looked_at = all || c[i].u == k->home || c[i].u == k->source.upstream;
	for (uint32_t i = 0; !all && drawn < SAMPLE && i < n * DRAWS_FACTOR; i++) {
		candidate_t *one = &c[bct_rng_below(&p->rng, n)];
		bool own = !k->lanes ||
			   !bct_gate_lanes_distance(k->lanes, k->ask->gap_ms, one->position);

		if (one->looked_at || (!own && drawn < SAMPLE - SAMPLE_OUTSIDE))
			continue;
		one->looked_at = true;
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

/* The engine of the request's lane that a part is kept on when nothing else decides. */
static const bct_gate_upstream_t *home_of(uint64_t segment, const candidate_t *c, uint32_t n,
					  const bct_gate_lanes_t *l, uint32_t gap_ms)
{
	const bct_gate_upstream_t *best = NULL;
	uint64_t best_score = 0;

	for (uint32_t i = 0; i < n; i++) {
		uint64_t score = bct_rendezvous_score(segment, c[i].u->key);

		if (l && bct_gate_lanes_distance(l, gap_ms, c[i].position))
			continue;
		if (!best || score > best_score) {
			best = c[i].u;
			best_score = score;
		}
	}
	return best;
}

uint32_t bct_gate_pick_shared_segments(const bct_gate_picker_t *p, const bct_gate_pick_input_t *ask)
{
	uint32_t n = ask->n_segments;

	while (n > 1 && !bct_gate_prefix_shared(&p->prefix, ask->segments[n - 1].id))
		n--;
	/* The first time, the part before the last is the best guess. */
	if (n < ask->n_segments - 1 && ask->n_segments > 1)
		n = ask->n_segments - 1;
	return n;
}

static uint32_t tokens_upto(const bct_gate_pick_input_t *ask, uint32_t segments)
{
	uint32_t tokens = 0;

	for (uint32_t i = 0; i < segments; i++)
		tokens += ask->segments[i].tokens;
	return tokens < ask->prompt_tokens ? tokens : ask->prompt_tokens;
}

/* Tokens up to the deepest part that the upstream holds; that one implies those before it. */
static uint32_t cached_tokens(const bct_gate_picker_t *p, bct_time_t now,
			      const bct_gate_pick_input_t *ask, const bct_gate_upstream_t *u)
{
	uint32_t i = ask->n_segments;

	while (i && !bct_gate_prefix_holds(&p->prefix, now, ask->segments[i - 1].id, u->key))
		i--;
	return tokens_upto(ask, i);
}

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

static source_t find_source(const bct_gate_picker_t *p, bct_time_t now,
			    const bct_gate_pick_input_t *ask, const candidate_t *c, uint32_t n)
{
	source_t s = { 0 };

	for (uint32_t i = ask->n_segments; ask->copy_token_ns && i && !s.upstream; i--) {
		s.upstream = holder_of(p, now, ask->segments[i - 1].id, c, n);
		s.tokens = tokens_upto(ask, i);
	}
	return s;
}

/* Sums of differences may be off for a moment when an upstream comes back under its id. */
static uint32_t peer_part(int32_t sum)
{
	return sum > 0 ? (uint32_t)sum : 0;
}

static uint32_t wait_of(const bct_gate_upstream_t *u, const bct_gate_pick_input_t *ask)
{
	uint32_t running = u->running + peer_part(u->peer_running);
	uint32_t roomy = ask->slots * CROWDED_PERMILLE / PERMILLE;
	uint32_t wait;

	if (!ask->engine)
		return running * SERVICE_WORK_MS;
	wait = u->prefill_ms + peer_part(u->peer_prefill_ms) + running * STREAM_COST_MS;
	return running > roomy ? wait + (running - roomy) * CROWDED_COST_MS : wait;
}

/* A failed request costs its caller about two objectives. */
static uint64_t fail_cost(const bct_gate_pick_input_t *ask, const bct_gate_upstream_t *u)
{
	return (uint64_t)u->fail_permille * ask->target_ms * 2 / PERMILLE;
}

/* Engine time is what the fleet runs out of: reading a prompt again costs more than its time. */
static uint64_t time_cost(const bct_gate_choice_t *c)
{
	return c->first_byte_ms + (uint64_t)c->work_ms * WORK_PERMILLE / PERMILLE;
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

static uint32_t read_ms(const bct_gate_picker_t *p, uint32_t tokens)
{
	return (uint32_t)((uint64_t)tokens * PERMILLE / p->prefill_tokens_per_s);
}

/* Time to have the prompt in the engine: what it lacks is read, or copied where that is quicker. */
static void predict_work(const bct_gate_picker_t *p, bct_time_t now, const common_t *k,
			 bct_gate_choice_t *c)
{
	const bct_gate_pick_input_t *ask = k->ask;
	uint32_t here = cached_tokens(p, now, ask, c->upstream), copied, copy_ms;

	c->cached_tokens = here;
	c->work_ms = read_ms(p, ask->prompt_tokens - here);
	if (!k->source.upstream || k->source.upstream == c->upstream || k->source.tokens <= here)
		return;
	copied = k->source.tokens - here;
	copy_ms = COPY_SETUP_MS + (uint32_t)((uint64_t)copied * ask->copy_token_ns / NS_PER_MS);
	if (copy_ms * COPY_MARGIN >= read_ms(p, copied))
		return;
	c->source = k->source.upstream;
	c->cached_tokens = k->source.tokens;
	c->work_ms = read_ms(p, ask->prompt_tokens - k->source.tokens) + copy_ms;
}

static uint32_t at_pace(const bct_gate_upstream_t *u, uint32_t ms)
{
	return (uint32_t)((uint64_t)ms * u->slow_permille / PERMILLE);
}

static void score(bct_gate_picker_t *p, bct_time_t now, const common_t *k, const candidate_t *c,
		  scored_t *out)
{
	const bct_gate_pick_input_t *ask = k->ask;
	bct_gate_upstream_t *u = c->u;

	memset(out, 0, sizeof(*out));
	out->choice.upstream = u;
	out->choice.wait_ms = wait_of(u, ask);
	if (ask->engine)
		predict_work(p, now, k, &out->choice);
	if (k->lanes)
		out->choice.lane_distance =
			bct_gate_lanes_distance(k->lanes, ask->gap_ms, c->position);
	out->choice.delay_ms = at_pace(u, out->choice.wait_ms);
	out->choice.first_byte_ms =
		out->choice.delay_ms + at_pace(u, out->choice.work_ms + SERVICE_WORK_MS);
	out->cost = time_cost(&out->choice);
	out->cost += lane_cost(out->choice.lane_distance);
	out->cost += fail_cost(ask, u);
	if (k->home && u != k->home)
		out->cost += NOT_HOME_COST_MS;
	if (ask->zone && strcmp(ask->zone, u->entry.zone) != 0)
		out->cost += FAR_COST_MS;
	out->cost += bct_rng_below(&p->rng, JITTER_MS);
	out->avoided = now < u->avoid_until;
}

static bool better(const scored_t *a, const scored_t *b)
{
	if (!b->choice.upstream)
		return true;
	if (a->avoided != b->avoided)
		return b->avoided;
	return a->cost < b->cost;
}

void bct_gate_pick(bct_gate_picker_t *p, bct_time_t now, const bct_gate_pick_input_t *ask,
		   bct_gate_choice_t *out)
{
	candidate_t c[ENGINES_MAX];
	uint32_t n = collect(p, ask->service_key, c);
	bct_gate_lanes_t *l = ask->engine ? bct_gate_pick_lanes(p, ask->service_key) : NULL;
	common_t k = { .ask = ask, .lanes = l };
	scored_t best = { 0 }, s;
	uint32_t n_shared = bct_gate_pick_shared_segments(p, ask);

	if (ask->engine)
		number(c, n);
	if (l)
		bct_gate_lanes_update(l, now, n);
	if (n_shared) {
		k.home = home_of(ask->segments[n_shared - 1].id, c, n, l, ask->gap_ms);
		k.source = find_source(p, now, ask, c, n);
	}
	draw_sample(p, &k, c, n);
	for (uint32_t i = 0; i < n; i++) {
		if (!c[i].looked_at || was_tried(ask, c[i].u))
			continue;
		score(p, now, &k, &c[i], &s);
		if (better(&s, &best))
			best = s;
	}
	*out = best.choice;
}

/* A stream's share of its engine while it runs, as time of the whole engine. */
static uint32_t output_work(const bct_gate_picker_t *p, const bct_gate_pick_input_t *ask)
{
	uint64_t us = (uint64_t)ask->output_tokens * p->step_us;

	return ask->slots ? (uint32_t)(us / ask->slots / US_PER_MS) : 0;
}

void bct_gate_pick_sent(bct_gate_picker_t *p, bct_time_t now, const bct_gate_pick_input_t *ask,
			const bct_gate_choice_t *c)
{
	bct_gate_lanes_t *l = ask->engine ? bct_gate_pick_lanes(p, ask->service_key) : NULL;

	c->upstream->running++;
	c->upstream->prefill_ms += c->work_ms;
	if (l)
		bct_gate_lanes_add_work(l, ask->gap_ms, c->work_ms + output_work(p, ask));
	bct_gate_prefix_sent(&p->prefix, now, ask->segments, ask->n_segments,
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
