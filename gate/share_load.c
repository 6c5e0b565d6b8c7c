/*
 * share_load.c - the load that each node has placed on upstreams and brings to lanes, and where it
 * has sent prompt parts. In a small fleet each node tells all others, in a large one its hub.
 */
#include "gate/share_int.h"
#include "gate/feed.h"

#include <string.h>

#define PREFILL_BITS 20
#define PREFILL_MAX ((1U << PREFILL_BITS) - 1)
#define RUNNING_MAX ((1U << (32 - PREFILL_BITS)) - 1)
#define KEEP_INTERVALS 4 /* a load is forgotten when it was missing in so many rounds */
#define KEEP_WHOLE 2	 /* the same in whole tellings of a hub */
#define KEEP_MIN_MS 500
#define LANE_KEEP_FACTOR 4     /* a lane's work changes slowly; a node may have nothing to say */
#define IDLE_INTERVAL_MS 250   /* between datagrams of a reader without load */
#define LOADS_MAX 1024	       /* upstreams that one round tells of */
#define LOADS_BESIDE_PLACED 64 /* that fit in a datagram with placements */
#define WHOLE_EVERY 5	       /* rounds; between them only changes are told */
#define RETOLD_ONE_IN 8 /* placements that the others know by now, so that they do not forget */

/* What a round tells, to one receiver. */
typedef struct round {
	bct_gate_view_t view;
	uint64_t receiver; /* of BCT_GATE_VIEW_REST */
	bool whole;	   /* also what has not changed since the round before */
	share_load loads[LOADS_MAX];
	uint32_t n_loads;
	share_lane lanes[SHARE_LANES_MAX];
	uint32_t n_lanes;
} round_t;

static uint32_t least(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

static void place(bct_share_t *s, bct_share_placements_t *p, const share_placed *one)
{
	if (p->n < BCT_SHARE_PLACED)
		p->list[p->n++] = *one;
	else
		BCT_GATE_COUNT(s->gate, SHARES_DROPPED);
}

void bct_share_placed(bct_share_t *s, const bct_share_placement_t *p)
{
	share_placed one = {
		.part = p->part,
		.upstream = (uint32_t)p->upstream_key,
		.ready_ms = p->ready_ms,
	};

	if (!s)
		return;
	if (p->known && bct_share_uses_hubs(s) &&
	    bct_rng_below(&s->gate->picker.rng, RETOLD_ONE_IN))
		return;
	place(s, &s->placed, &one);
}

/* Sums of differences may be off for a moment when an upstream comes back under its id. */
static uint32_t non_negative(int64_t v)
{
	return v > 0 ? (uint32_t)v : 0;
}

static share_load load_of(bct_share_t *s, const round_t *r, const bct_gate_upstream_t *u)
{
	int64_t running = u->running, prefill = u->prefill_ms, out[BCT_GATE_PEER_VALUES];
	share_load l = { .upstream = (uint32_t)u->key };

	if (r->view != BCT_GATE_VIEW_LOCAL) {
		bct_gate_hubs_excluded(&s->hubs, &s->loads, r->view, r->receiver, l.upstream, out);
		running += u->peer_running - out[0];
		prefill += u->peer_prefill_ms - out[1];
	}
	l.running_prefill = least(non_negative(running), RUNNING_MAX) << PREFILL_BITS |
			    least(non_negative(prefill), PREFILL_MAX);
	return l;
}

/* All that the view may count. */
static uint32_t all_running(const bct_gate_upstream_t *u, bool own)
{
	return u->running + (own ? 0 : non_negative(u->peer_running));
}

static uint32_t all_prefill(const bct_gate_upstream_t *u, bool own)
{
	return u->prefill_ms + (own ? 0 : non_negative(u->peer_prefill_ms));
}

static bool has_changed(const bct_gate_upstream_t *u, bool own)
{
	return all_running(u, own) != u->advertised_running ||
	       all_prefill(u, own) != u->advertised_prefill_ms;
}

/* Upstreams that there is work on, and those that there was when this node last told. */
static void collect_loads(bct_share_t *s, round_t *r)
{
	bct_list_t *el;

	r->n_loads = 0;
	bct_list_for_each(el, &s->gate->upstreams.all) {
		bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);
		bool own = r->view == BCT_GATE_VIEW_LOCAL;

		if (r->n_loads == LOADS_MAX)
			break;
		if (!r->whole && !has_changed(u, own))
			continue;
		if (u->running || u->advertised || (!own && u->peer_running > 0))
			r->loads[r->n_loads++] = load_of(s, r, u);
	}
}

/* What has load now is told once more when it has none. */
static void note_shared(bct_share_t *s)
{
	bool hub = bct_share_is_hub(s);
	bct_list_t *el;

	bct_list_for_each(el, &s->gate->upstreams.all) {
		bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);

		u->advertised = all_running(u, !hub) != 0;
		u->advertised_running = all_running(u, !hub);
		u->advertised_prefill_ms = all_prefill(u, !hub);
	}
}

static uint64_t lane_subject(uint64_t service, uint32_t gap_ms)
{
	return service + gap_ms;
}

static uint32_t lane_work(bct_share_t *s, const round_t *r, uint64_t subject,
			  const bct_gate_lane_t *l)
{
	int64_t work = (int64_t)l->work, out[BCT_GATE_PEER_VALUES];

	if (r->view == BCT_GATE_VIEW_LOCAL)
		return (uint32_t)work;
	bct_gate_hubs_excluded(&s->hubs, &s->lanes, r->view, r->receiver, subject, out);
	return non_negative(work + l->peer_work - out[0]);
}

/* The work of all lanes of all services, as far as it fits. */
static void collect_lanes(bct_share_t *s, round_t *r)
{
	const bct_gate_routes_t *t = s->gate->routes;

	r->n_lanes = 0;
	for (uint32_t i = 0; t && i < t->n_services; i++) {
		uint64_t key = t->services[i].key;
		bct_gate_lanes_t *l =
			t->services[i].engine ? bct_gate_pick_lanes(&s->gate->picker, key) : NULL;

		for (uint32_t j = 0; l && j < l->n && r->n_lanes < SHARE_LANES_MAX; j++) {
			uint32_t gap = l->lanes[j].gap_ms;

			r->lanes[r->n_lanes++] = (share_lane){
				.service = key,
				.gap_ms = gap,
				.work_ms_per_s =
					lane_work(s, r, lane_subject(key, gap), &l->lanes[j]),
			};
		}
	}
}

static void send_to(bct_share_t *s, share_news *news, const bct_share_peer_t *to)
{
	if (to)
		bct_share_send(s, news, to);
	else
		bct_share_send_all(s, news);
}

/* Lanes go with the first datagram, loads in as many as they need. */
static void send_loads(bct_share_t *s, round_t *r, const bct_share_peer_t *to)
{
	share_news news = { .view = r->view };
	uint32_t sent = 0;

	news.lanes.lanes_val = r->lanes;
	news.lanes.lanes_len = r->n_lanes;
	do {
		news.loads.loads_val = r->loads + sent;
		news.loads.loads_len = least(r->n_loads - sent, SHARE_LOADS_MAX);
		send_to(s, &news, to);
		sent += news.loads.loads_len;
		news.lanes.lanes_len = 0;
	} while (sent < r->n_loads);
}

static void send_placed(bct_share_t *s, bct_gate_view_t view, const bct_share_placements_t *p,
			const bct_share_peer_t *to)
{
	share_news news = { .view = view };

	for (uint32_t sent = 0; sent < p->n; sent += SHARE_PLACED_MAX) {
		news.placed.placed_val = (share_placed *)p->list + sent;
		news.placed.placed_len = least(p->n - sent, SHARE_PLACED_MAX);
		send_to(s, &news, to);
	}
}

/* Small fleet: what fits in one datagram, to all. */
static void tell_all(bct_share_t *s, round_t *r, bct_time_t now)
{
	share_news news = { .view = BCT_GATE_VIEW_LOCAL };

	news.lanes.lanes_val = r->lanes;
	news.lanes.lanes_len = r->n_lanes;
	news.loads.loads_val = r->loads;
	news.loads.loads_len = least(r->n_loads, LOADS_BESIDE_PLACED);
	news.placed.placed_val = s->placed.list;
	news.placed.placed_len = least(s->placed.n, SHARE_PLACED_MAX);
	/* Only readers speak when there is no load: the others hear from them what is in force. */
	if (!r->n_loads && !s->placed.n &&
	    (s->gate->rank >= BCT_GATE_POLLERS || now - s->spoke < IDLE_INTERVAL_MS))
		return;
	s->spoke = now;
	bct_share_send_all(s, &news);
}

static void tell_hub(bct_share_t *s, round_t *r)
{
	for (uint32_t i = 0; i < s->n_peers; i++) {
		if (s->peers[i].incarnation != s->hubs.local_hub)
			continue;
		if (r->n_loads)
			send_loads(s, r, &s->peers[i]);
		send_placed(s, BCT_GATE_VIEW_LOCAL, &s->placed, &s->peers[i]);
	}
}

/* As a hub: to the other hubs the load of this hub's nodes, to each of these that of all others. */
static void tell_from_hub(bct_share_t *s, round_t *r)
{
	for (uint32_t i = 0; i < s->n_peers; i++) {
		const bct_share_peer_t *p = &s->peers[i];
		bool hub = bct_gate_hubs_has(&s->hubs, p->incarnation);

		if (!hub && !bct_share_is_own_node(s, p))
			continue;
		r->view = hub ? BCT_GATE_VIEW_CLUSTER : BCT_GATE_VIEW_REST;
		r->receiver = p->incarnation;
		collect_loads(s, r);
		collect_lanes(s, r);
		send_loads(s, r, p);
		send_placed(s, r->view, &s->placed, p);
		if (!hub)
			send_placed(s, r->view, &s->others_placed, p);
	}
}

static void tell(bct_share_t *s, bct_time_t now)
{
	round_t r = { .view = BCT_GATE_VIEW_LOCAL };

	r.whole = !bct_share_uses_hubs(s) || s->rounds++ % WHOLE_EVERY == 0;
	if (bct_share_is_hub(s)) {
		tell_from_hub(s, &r);
		return;
	}
	collect_loads(s, &r);
	collect_lanes(s, &r);
	if (bct_share_uses_hubs(s))
		tell_hub(s, &r);
	else
		tell_all(s, &r, now);
}

uint32_t bct_share_load_datagrams(const bct_share_t *s)
{
	uint32_t upstreams = least(s->gate->upstreams.by_id.n, LOADS_MAX);

	return upstreams / SHARE_LOADS_MAX + 1;
}

void bct_share_load_round(bct_share_t *s, bct_time_t now)
{
	uint32_t rounds = bct_share_uses_hubs(s) ? WHOLE_EVERY * KEEP_WHOLE : KEEP_INTERVALS;
	uint32_t keep = bct_share_interval_ms(s) * rounds;

	s->loads.keep_ms = keep > KEEP_MIN_MS ? keep : KEEP_MIN_MS;
	s->lanes.keep_ms = s->loads.keep_ms * LANE_KEEP_FACTOR;
	bct_gate_peers_sweep(&s->loads, now);
	bct_gate_peers_sweep(&s->lanes, now);
	tell(s, now);
	note_shared(s);
	s->placed.n = 0;
	s->others_placed.n = 0;
}

bool bct_share_load_is_for_me(const bct_share_t *s, const share_news *news)
{
	uint64_t self = bct_peer_incarnation(s->gate->peer);

	if (!bct_share_uses_hubs(s))
		return news->view == BCT_GATE_VIEW_LOCAL;
	return bct_gate_hubs_accepts(&s->hubs, self, news->view, news->from);
}

static void take_loads(bct_share_t *s, bct_time_t now, const share_news *news)
{
	for (uint32_t i = 0; i < news->loads.loads_len; i++) {
		const share_load *l = &news->loads.loads_val[i];
		bct_gate_peer_report_t r = { .peer = news->from, .subject = l->upstream };

		r.v[0] = l->running_prefill >> PREFILL_BITS;
		r.v[1] = l->running_prefill & PREFILL_MAX;
		/* One that is not known here yet is told again while it has load. */
		if (bct_gate_upstreams_find_short(&s->gate->upstreams, l->upstream))
			bct_gate_peers_report(&s->loads, now, &r);
	}
}

static void take_lanes(bct_share_t *s, bct_time_t now, const share_news *news)
{
	for (uint32_t i = 0; i < news->lanes.lanes_len; i++) {
		const share_lane *l = &news->lanes.lanes_val[i];
		uint64_t subject = lane_subject(l->service, l->gap_ms);
		bct_gate_peer_report_t r = { news->from, subject, { l->work_ms_per_s, 0 } };

		bct_gate_peers_report(&s->lanes, now, &r);
	}
}

static void take_placed(bct_share_t *s, bct_time_t now, const share_news *news)
{
	bool relayed = bct_share_is_hub(s) && news->view != BCT_GATE_VIEW_REST;
	bct_share_placements_t *on =
		news->view == BCT_GATE_VIEW_CLUSTER ? &s->others_placed : &s->placed;

	for (uint32_t i = 0; i < news->placed.placed_len; i++) {
		const share_placed *p = &news->placed.placed_val[i];
		bct_gate_segment_t part = { .id = p->part };
		const bct_gate_upstream_t *u =
			bct_gate_upstreams_find_short(&s->gate->upstreams, p->upstream);
		bct_gate_holder_t h = { .ready = now + p->ready_ms };

		if (relayed)
			place(s, on, p);
		if (!u)
			continue;
		h.upstream_key = u->key;
		bct_gate_prefix_sent(&s->gate->picker.prefix, now, &part, 1, &h);
	}
}

void bct_share_load_take(bct_share_t *s, bct_time_t now, const share_news *news)
{
	if (!bct_share_load_is_for_me(s, news))
		return;
	take_loads(s, now, news);
	take_lanes(s, now, news);
	take_placed(s, now, news);
}

static void add_load(void *ctx, uint64_t subject, const uint32_t *difference)
{
	bct_gate_t *g = ctx;
	bct_gate_upstream_t *u = bct_gate_upstreams_find_short(&g->upstreams, (uint32_t)subject);

	if (!u)
		return;
	u->peer_running += (int32_t)difference[0];
	u->peer_prefill_ms += (int32_t)difference[1];
}

/* Lanes are few: the one with this subject is looked for. */
static void add_lane(void *ctx, uint64_t subject, const uint32_t *difference)
{
	bct_gate_t *g = ctx;
	const bct_gate_routes_t *t = g->routes;

	for (uint32_t i = 0; t && i < t->n_services; i++) {
		uint64_t key = t->services[i].key;
		bct_gate_lanes_t *l = bct_gate_pick_lanes(&g->picker, key);

		for (uint32_t j = 0; l && j < l->n; j++) {
			if (lane_subject(key, l->lanes[j].gap_ms) == subject)
				l->lanes[j].peer_work += difference[0];
		}
	}
}

void bct_share_load_init(bct_share_t *s)
{
	bct_gate_peers_init(&s->loads, KEEP_MIN_MS, add_load, s->gate);
	bct_gate_peers_init(&s->lanes, KEEP_MIN_MS, add_lane, s->gate);
}

void bct_share_load_free(bct_share_t *s)
{
	bct_gate_peers_free(&s->loads);
	bct_gate_peers_free(&s->lanes);
}
