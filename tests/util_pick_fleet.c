/*
 * util_pick_fleet.c - the fleet of util_pick_fleet.h, in steps of 1 ms.
 */
#include "tests/util_pick_fleet.h"
#include "base/rng.h"
#include "policy/gate_pick.h"
#include "policy/gate_refuse.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES_MAX 80
#define ENGINES_MAX 80
#define DOCUMENTS_MAX 64 /* kept by an engine */
#define REQUESTS_MAX 65536
#define START 100000
#define NEWS_MS 300 /* until the others know what a node did */
#define SLOTS 16
#define TOKENS_PER_S 30000
#define STEP_US 8000

typedef struct request {
	uint32_t class, node, engine;
	bct_gate_segment_t segments[2];
	bct_gate_choice_t choice;
	bct_time_t at, first_byte_at;
	uint32_t left_ms; /* of its prefill */
	uint32_t next;	  /* in the engine's queue; 0: none */
} request_t;

typedef struct engine {
	uint32_t first, last; /* requests that wait for their prefill or are in it */
	bool started;
	uint64_t documents[DOCUMENTS_MAX]; /* most recent first */
	uint32_t n_documents;
} engine_t;

typedef struct node {
	bct_gate_upstreams_t upstreams;
	bct_gate_picker_t picker;
	bct_gate_refuse_t refuse;
	bct_gate_upstream_t *of[ENGINES_MAX];
} node_t;

typedef struct fleet {
	const pick_load_t *load;
	node_t nodes[NODES_MAX];
	engine_t engines[ENGINES_MAX];
	request_t requests[REQUESTS_MAX];
	uint32_t n;		/* requests; the first is not used */
	uint32_t placed, begun; /* how many were told to the others, have begun */
	uint32_t ended;
	uint64_t service_key;
	bct_rng_t rng;
	uint64_t busy_ms, refusals;
	double busy_sum;
	pick_result_t r;
} fleet_t;

static void init_node(fleet_t *f, uint32_t i)
{
	node_t *n = &f->nodes[i];

	bct_gate_upstreams_init(&n->upstreams);
	bct_gate_picker_init(&n->picker, &n->upstreams, TOKENS_PER_S, STEP_US, i + 1);
	bct_gate_refuse_init(&n->refuse);
	n->picker.nodes = f->load->nodes;
	for (uint32_t e = 0; e < f->load->engines; e++) {
		bct_gate_entry_t entry = { .service = "model", .zone = "z", .ip = "10.0.0.1" };

		snprintf(entry.id, sizeof(entry.id), "e%u", e);
		entry.port = (uint16_t)(1000 + e);
		entry.born_ms = 1;
		entry.sequence = 1;
		cr_assert_geq(bct_gate_upstreams_apply(&n->upstreams, START, &entry), 0);
		n->of[e] = bct_gate_upstreams_find(&n->upstreams, entry.id);
		f->service_key = n->of[e]->service_key;
	}
	for (uint32_t c = 0; c < f->load->n_classes; c++)
		bct_gate_pick_expect(&n->picker, f->service_key, f->load->classes[c].gap_ms);
}

static void free_node(node_t *n)
{
	bct_gate_picker_free(&n->picker);
	bct_gate_refuse_free(&n->refuse);
	bct_gate_upstreams_free(&n->upstreams);
}

/* Makes the document the engine's most recent one. returns whether it had it */
static bool touch(const fleet_t *f, engine_t *e, uint64_t id, uint32_t tokens)
{
	uint32_t max = f->load->cache_tokens / (tokens ? tokens : 1), at = 0;
	bool had;

	max = max > DOCUMENTS_MAX ? DOCUMENTS_MAX : max;
	while (at < e->n_documents && e->documents[at] != id)
		at++;
	had = at < e->n_documents;
	if (!had) {
		at = e->n_documents < max ? e->n_documents : max - 1;
		e->n_documents = e->n_documents < max ? e->n_documents + 1 : max;
	}
	memmove(&e->documents[1], &e->documents[0], at * sizeof(e->documents[0]));
	e->documents[0] = id;
	return had;
}

static void start_prefill(fleet_t *f, engine_t *e, request_t *x)
{
	const pick_class_t *k = &f->load->classes[x->class];
	bool had = touch(f, e, x->segments[0].id, k->document_tokens);
	uint32_t tokens = k->own_tokens;

	e->started = true;
	if (!had && !x->choice.source) {
		tokens += k->document_tokens;
		f->r.documents_read_tokens += k->document_tokens;
	}
	x->left_ms = 1 + (uint32_t)((uint64_t)tokens * BCT_MS_PER_S / TOKENS_PER_S);
}

static void begin(fleet_t *f, bct_time_t now, request_t *x)
{
	const pick_class_t *k = &f->load->classes[x->class];

	x->first_byte_at = now;
	bct_gate_pick_began(f->nodes[x->node].of[x->engine], x->choice.work_ms);
	if (x->at >= START + f->load->start_ms)
		f->r.in_time[x->class] += now - x->at <= k->target_ms;
}

static void run_engine(fleet_t *f, bct_time_t now, engine_t *e)
{
	request_t *x = &f->requests[e->first];

	if (!e->first)
		return;
	f->busy_ms++;
	if (!e->started)
		start_prefill(f, e, x);
	if (--x->left_ms)
		return;
	e->first = x->next;
	e->started = false;
	begin(f, now, x);
}

static void end_streams(fleet_t *f, bct_time_t now)
{
	for (uint32_t i = 1; i <= f->n; i++) {
		request_t *x = &f->requests[i];

		if (!x->first_byte_at ||
		    now != x->first_byte_at + f->load->classes[x->class].output_ms)
			continue;
		bct_gate_pick_ended(f->nodes[x->node].of[x->engine], x->choice.work_ms, true);
	}
}

/* What all nodes placed, as each of them learns it in every round. */
static void tell_loads(fleet_t *f)
{
	for (uint32_t e = 0; e < f->load->engines; e++) {
		uint32_t running = 0, prefill_ms = 0;

		for (uint32_t i = 0; i < f->load->nodes; i++) {
			running += f->nodes[i].of[e]->running;
			prefill_ms += f->nodes[i].of[e]->prefill_ms;
		}
		for (uint32_t i = 0; i < f->load->nodes; i++) {
			bct_gate_upstream_t *u = f->nodes[i].of[e];

			u->peer_running = (int32_t)(running - u->running);
			u->peer_prefill_ms = (int32_t)(prefill_ms - u->prefill_ms);
		}
	}
}

static void tell_lanes(fleet_t *f, bct_time_t now)
{
	for (uint32_t j = 0; j < f->load->n_classes; j++) {
		uint32_t gap_ms = f->load->classes[j].gap_ms;
		double work = 0;

		for (uint32_t i = 0; i < f->load->nodes; i++) {
			bct_gate_lanes_t *l =
				bct_gate_pick_lanes(&f->nodes[i].picker, f->service_key);

			bct_gate_lanes_update(l, now, l->engines);
			work += bct_gate_lanes_find(l, gap_ms)->work;
		}
		for (uint32_t i = 0; i < f->load->nodes; i++) {
			bct_gate_lane_t *l = bct_gate_lanes_find(
				bct_gate_pick_lanes(&f->nodes[i].picker, f->service_key), gap_ms);

			l->peer_work = (uint32_t)(work - l->work);
		}
	}
}

static void tell_placements(fleet_t *f, bct_time_t now)
{
	for (; f->placed < f->n; f->placed++) {
		const request_t *x = &f->requests[f->placed + 1];
		bct_gate_holder_t h = { .ready = now + x->choice.wait_ms + x->choice.work_ms };

		for (uint32_t i = 0; i < f->load->nodes; i++) {
			node_t *n = &f->nodes[i];

			h.upstream_key = n->of[x->engine]->key;
			if (i != x->node)
				bct_gate_prefix_sent(&n->picker.prefix, now, x->segments, 1, &h);
		}
	}
}

static bool refuses(fleet_t *f, bct_time_t now, node_t *n, const request_t *x)
{
	const pick_class_t *k = &f->load->classes[x->class];
	bct_gate_refuse_input_t in = {
		.service_key = f->service_key,
		.rank = x->class,
		.levels = f->load->n_classes,
		.target_ms = k->target_ms,
		.remaining_ms = k->deadline_ms,
		.delay_ms = x->choice.delay_ms,
		.first_byte_ms = x->choice.first_byte_ms,
		.work_ms = x->choice.work_ms,
	};

	return bct_gate_refuse(&n->refuse, now, &in).retry_after_ms > 0;
}

static uint32_t engines_busy(const fleet_t *f)
{
	uint32_t busy = 0;

	for (uint32_t e = 0; e < f->load->engines; e++)
		busy += f->engines[e].first != 0;
	return busy;
}

static void enqueue(fleet_t *f, uint32_t index)
{
	request_t *x = &f->requests[index];
	engine_t *e = &f->engines[x->engine];

	if (e->first)
		f->requests[e->last].next = index;
	else
		e->first = index;
	e->last = index;
}

static void arrive(fleet_t *f, bct_time_t now, uint32_t class)
{
	const pick_class_t *k = &f->load->classes[class];
	request_t *x = &f->requests[f->n + 1];
	node_t *n;
	bct_gate_pick_input_t in = {
		.service_key = f->service_key,
		.engine = true,
		.target_ms = k->target_ms,
		.gap_ms = k->gap_ms,
		.segments = x->segments,
		.n_segments = 2,
		.prompt_tokens = k->document_tokens + k->own_tokens,
		.slots = SLOTS,
		.copy_token_ns = f->load->copy_token_ns,
		.zone = "z",
	};
	bool counted = now >= START + f->load->start_ms;

	cr_assert_lt(f->n + 2, REQUESTS_MAX);
	*x = (request_t){ .class = class, .at = now };
	x->node = bct_rng_below(&f->rng, f->load->nodes);
	n = &f->nodes[x->node];
	x->segments[0] =
		(bct_gate_segment_t){ (class + 1) * 100000 + bct_rng_below(&f->rng, k->n_documents),
				      k->document_tokens };
	x->segments[1] = (bct_gate_segment_t){ 10000000 + f->n, k->own_tokens };
	f->r.came[class] += counted;
	f->r.documents_asked_tokens += k->document_tokens;
	bct_gate_pick(&n->picker, now, &in, &x->choice);
	cr_assert_not_null(x->choice.upstream);
	if (refuses(f, now, n, x)) {
		f->r.refused[class] += counted;
		f->refusals++;
		f->busy_sum += (double)engines_busy(f) / f->load->engines;
		return;
	}
	bct_gate_pick_sent(&n->picker, now, &in, &x->choice);
	x->engine = (uint32_t)atoi(x->choice.upstream->entry.id + 1);
	f->n++;
	enqueue(f, f->n);
}

static void arrivals(fleet_t *f, bct_time_t now)
{
	for (uint32_t c = 0; c < f->load->n_classes; c++) {
		double n = f->load->classes[c].per_s / BCT_MS_PER_S;
		uint32_t whole = (uint32_t)n + (bct_rng_unit(&f->rng) < n - (uint32_t)n);

		for (uint32_t i = 0; i < whole; i++)
			arrive(f, now, c);
	}
}

pick_result_t pick_fleet_play(const pick_load_t *load, uint64_t seed)
{
	fleet_t *f = calloc(1, sizeof(*f));
	pick_result_t r;

	cr_assert(f && load->nodes <= NODES_MAX && load->engines <= ENGINES_MAX);
	f->load = load;
	bct_rng_seed(&f->rng, seed);
	for (uint32_t i = 0; i < load->nodes; i++)
		init_node(f, i);
	for (bct_time_t now = START; now < START + load->length_ms; now++) {
		if (now % NEWS_MS == 0) {
			tell_loads(f);
			tell_lanes(f, now);
			tell_placements(f, now);
		}
		arrivals(f, now);
		for (uint32_t e = 0; e < load->engines; e++)
			run_engine(f, now, &f->engines[e]);
		end_streams(f, now);
	}
	r = f->r;
	r.busy = (double)f->busy_ms / load->engines / load->length_ms;
	r.busy_at_refusal = f->refusals ? f->busy_sum / (double)f->refusals : 1;
	for (uint32_t i = 0; i < load->nodes; i++)
		free_node(&f->nodes[i]);
	free(f);
	return r;
}
