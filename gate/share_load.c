/*
 * share_load.c - load in the share protocol: what each node has placed on upstreams, the work of
 * its requests per lane, and the upstreams that it has sent prompt segments to. In a small fleet
 * each node sends it to all others, in a large one to its hub.
 */
#include "gate/share_int.h"
#include "gate/registry_sync.h"

#include <string.h>

#define PREFILL_BITS 20 /* of share_load.running_prefill */
#define PREFILL_MAX ((1U << PREFILL_BITS) - 1)
#define RUNNING_MAX ((1U << (32 - PREFILL_BITS)) - 1)
#define KEEP_INTERVALS 4     /* rounds without a report after which a peer's load expires */
#define KEEP_FULL_REPORTS 2  /* the same with hubs, in full reports, at a hub */
#define KEEP_FULL_AT_NODES 6 /* and at the others: until another hub has taken over */
#define KEEP_MIN_MS 500
#define LANE_KEEP_FACTOR 4     /* lane work changes slowly and idle nodes send nothing */
#define IDLE_INTERVAL_MS 250   /* between datagrams of a reader of the registry without load */
#define LOADS_MAX 1024	       /* upstreams reported in one round at most */
#define LOADS_BESIDE_PLACED 56 /* that fit in a datagram with placements and all lanes */
#define LANES_BESIDE_LOADS 6   /* that fit in a datagram with SHARE_LOADS_MAX loads */
#define LANE_LOADS 4	       /* in the room that a lane takes */
#define FULL_REPORT_ROUNDS 5   /* one round in this many sends all load, the others changes */
/*
 * With hubs, a placement on an upstream that had the segment cached already is sent only once in
 * this many times, which suffices to keep the other nodes' entries from expiring.
 */
#define RESEND_ONE_IN 8

/* What one round sends to a receiver. */
typedef struct round {
	bct_gate_view_t view;
	uint64_t receiver; /* incarnation, for BCT_GATE_VIEW_REST */
	bool full;	   /* includes load unchanged since the previous round */
	share_load loads[LOADS_MAX];
	uint32_t n_loads;
	share_lane lanes[SHARE_LANES_MAX];
	uint32_t n_lanes;
} round_t;

static uint32_t min_u32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

static void add_placement(bct_share_t *s, bct_share_placements_t *p, const share_placed *one)
{
	if (p->n < BCT_SHARE_PLACEMENTS_MAX)
		p->list[p->n++] = *one;
	else
		BCT_GATE_COUNT(s->gate, SHARES_DROPPED);
}

void bct_share_add_placement(bct_share_t *s, const bct_share_placement_t *p)
{
	share_placed one = {
		.segment = p->segment,
		.upstream = (uint32_t)p->upstream_key,
		.ready_ms = p->ready_ms,
	};

	if (!s)
		return;
	if (p->was_cached && bct_share_uses_hubs(s) &&
	    bct_rng_below(&s->gate->picker.rng, RESEND_ONE_IN))
		return;
	add_placement(s, &s->placements, &one);
}

/* Sums of differences may be wrong for a moment after an upstream restarted under the same id. */
static uint32_t non_negative(int64_t v)
{
	return v > 0 ? (uint32_t)v : 0;
}

/* The load of an upstream in the round's view, without the reports that the view excludes. */
static share_load load_of(bct_share_t *s, const round_t *r, const bct_gate_upstream_t *u)
{
	int64_t running = u->running, prefill = u->prefill_ms, excluded[BCT_GATE_PEER_VALUES];
	share_load l = { .upstream = (uint32_t)u->key };

	if (r->view != BCT_GATE_VIEW_LOCAL) {
		bct_gate_hubs_excluded(&s->hubs, &s->loads, r->view, r->receiver, l.upstream,
				       excluded);
		running += u->peer_running - excluded[0];
		prefill += u->peer_prefill_ms - excluded[1];
	}
	l.running_prefill = min_u32(non_negative(running), RUNNING_MAX) << PREFILL_BITS |
			    min_u32(non_negative(prefill), PREFILL_MAX);
	return l;
}

/* Load of this node or, at a hub, of all nodes. */
static uint32_t all_running(const bct_gate_upstream_t *u, bool local_only)
{
	return u->running + (local_only ? 0 : non_negative(u->peer_running));
}

static uint32_t all_prefill(const bct_gate_upstream_t *u, bool local_only)
{
	return u->prefill_ms + (local_only ? 0 : non_negative(u->peer_prefill_ms));
}

static bool has_changed(const bct_gate_upstream_t *u, bool local_only)
{
	return all_running(u, local_only) != u->advertised_running ||
	       all_prefill(u, local_only) != u->advertised_prefill_ms;
}

/* Collects upstreams that have load now or had some in the previous report; unless the round is
 * full, only those whose load has changed. */
static void collect_loads(bct_share_t *s, round_t *r)
{
	bct_list_t *el;

	r->n_loads = 0;
	bct_list_for_each(el, &s->gate->upstreams.all) {
		bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);
		bool local_only = r->view == BCT_GATE_VIEW_LOCAL;

		if (r->n_loads == LOADS_MAX)
			break;
		if (!r->full && !has_changed(u, local_only))
			continue;
		if (u->running || u->advertised || (!local_only && u->peer_running > 0))
			r->loads[r->n_loads++] = load_of(s, r, u);
	}
}

/* Records the load as sent. An upstream with load now is reported once more when it has none. */
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

/* Identifies a lane in the reports of peers, as the key does an upstream. */
static uint64_t lane_subject(uint64_t service, uint32_t gap_ms)
{
	return service + gap_ms;
}

/* One lane in the round's view, without the reports that the view excludes. */
static share_lane lane_of(bct_share_t *s, const round_t *r, uint64_t service,
			  const bct_gate_lane_t *l)
{
	bct_gate_pace_kind_t kind = { service, l->gap_ms };
	share_lane out = { .service = service, .gap_ms = l->gap_ms };
	int64_t work = (int64_t)l->work, excluded[BCT_GATE_PEER_VALUES];
	uint32_t peers[BCT_GATE_PACE_SUMS];
	bct_time_t now = bct_clock_now();

	bct_gate_pace_local(&s->gate->pace, now, &kind, out.pace);
	out.work_ms_per_s = (uint32_t)work;
	if (r->view == BCT_GATE_VIEW_LOCAL)
		return out;
	bct_gate_hubs_excluded(&s->hubs, &s->lanes, r->view, r->receiver,
			       lane_subject(service, l->gap_ms), excluded);
	bct_gate_pace_peers(&s->gate->pace, now, &kind, peers);
	out.work_ms_per_s = non_negative(work + l->peer_work - excluded[0]);
	for (uint32_t i = 0; i < BCT_GATE_PACE_SUMS; i++)
		out.pace[i] = non_negative((int64_t)out.pace[i] + peers[i] - excluded[1 + i]);
	return out;
}

/* Collects the work of the lanes of all services, up to SHARE_LANES_MAX. */
static void collect_lanes(bct_share_t *s, round_t *r)
{
	const bct_gate_routes_t *t = s->gate->routes;

	r->n_lanes = 0;
	for (uint32_t i = 0; t && i < t->n_services; i++) {
		uint64_t key = t->services[i].key;
		bct_gate_lanes_t *l =
			t->services[i].engine ? bct_gate_pick_lanes(&s->gate->picker, key) : NULL;

		/* Without requests, nothing else updates the averages. */
		if (l)
			bct_gate_lanes_update(l, bct_clock_now(), l->engines);
		for (uint32_t j = 0; l && j < l->n && r->n_lanes < SHARE_LANES_MAX; j++)
			r->lanes[r->n_lanes++] = lane_of(s, r, key, &l->lanes[j]);
	}
}

/* Sends to one peer, or to all if `to` is NULL. */
static void send_to(bct_share_t *s, share_update *update, const bct_share_peer_t *to)
{
	if (to)
		bct_share_send(s, update, to);
	else
		bct_share_send_all(s, update);
}

uint32_t bct_share_loads_beside(uint32_t n_lanes)
{
	uint32_t over = n_lanes > LANES_BESIDE_LOADS ? n_lanes - LANES_BESIDE_LOADS : 0;

	return SHARE_LOADS_MAX - over * LANE_LOADS;
}

/* Sends lanes with the first datagram and loads in as many datagrams as needed. */
static void send_loads(bct_share_t *s, round_t *r, const bct_share_peer_t *to)
{
	share_update update = { .view = r->view };
	uint32_t sent = 0, room = bct_share_loads_beside(r->n_lanes);

	update.lanes.lanes_val = r->lanes;
	update.lanes.lanes_len = r->n_lanes;
	do {
		update.loads.loads_val = r->loads + sent;
		update.loads.loads_len = min_u32(r->n_loads - sent, room);
		send_to(s, &update, to);
		sent += update.loads.loads_len;
		update.lanes.lanes_len = 0;
		room = SHARE_LOADS_MAX;
	} while (sent < r->n_loads);
}

static void send_placements(bct_share_t *s, bct_gate_view_t view, const bct_share_placements_t *p,
			    const bct_share_peer_t *to)
{
	share_update update = { .view = view };

	for (uint32_t sent = 0; sent < p->n; sent += SHARE_PLACED_MAX) {
		update.placed.placed_val = (share_placed *)p->list + sent;
		update.placed.placed_len = min_u32(p->n - sent, SHARE_PLACED_MAX);
		send_to(s, &update, to);
	}
}

/* Small fleet: sends what fits in one datagram to all nodes. */
static void send_direct(bct_share_t *s, round_t *r, bct_time_t now)
{
	share_update update = { .view = BCT_GATE_VIEW_LOCAL };

	update.lanes.lanes_val = r->lanes;
	update.lanes.lanes_len = r->n_lanes;
	update.loads.loads_val = r->loads;
	update.loads.loads_len = min_u32(r->n_loads, LOADS_BESIDE_PLACED);
	update.placed.placed_val = s->placements.list;
	update.placed.placed_len = min_u32(s->placements.n, SHARE_PLACED_MAX);
	/*
	 * Without load only readers of the registry send: from them the other nodes receive the
	 * versions in force.
	 */
	if (!r->n_loads && !s->placements.n &&
	    (!bct_registry_sync_advertises(s->gate->registry_sync) ||
	     now - s->load_sent_at < IDLE_INTERVAL_MS))
		return;
	s->load_sent_at = now;
	bct_share_send_all(s, &update);
}

static void send_to_hub(bct_share_t *s, round_t *r)
{
	for (uint32_t i = 0; i < s->n_peers; i++) {
		if (s->peers[i].incarnation != s->hubs.local_hub)
			continue;
		if (r->n_loads)
			send_loads(s, r, &s->peers[i]);
		send_placements(s, BCT_GATE_VIEW_LOCAL, &s->placements, &s->peers[i]);
		bct_share_send_promises(s, BCT_GATE_VIEW_LOCAL, &s->promises, &s->peers[i]);
	}
}

/*
 * At a hub: sends to the other hubs the load of this hub's cluster and to each node of the cluster
 * the load of all nodes but itself.
 */
static void send_as_hub(bct_share_t *s, round_t *r)
{
	for (uint32_t i = 0; i < s->n_peers; i++) {
		const bct_share_peer_t *p = &s->peers[i];
		bool hub = bct_gate_hubs_has(&s->hubs, p->incarnation);

		if (!hub && !bct_share_in_local_cluster(s, p))
			continue;
		r->view = hub ? BCT_GATE_VIEW_CLUSTER : BCT_GATE_VIEW_REST;
		r->receiver = p->incarnation;
		collect_loads(s, r);
		collect_lanes(s, r);
		send_loads(s, r, p);
		send_placements(s, r->view, &s->placements, p);
		bct_share_send_promises(s, r->view, &s->promises, p);
		if (hub)
			continue;
		send_placements(s, r->view, &s->hub_placements, p);
		bct_share_send_promises(s, r->view, &s->hub_promises, p);
	}
}

static void send_load(bct_share_t *s, bct_time_t now)
{
	round_t r = { .view = BCT_GATE_VIEW_LOCAL };

	r.full = !bct_share_uses_hubs(s) || s->rounds++ % FULL_REPORT_ROUNDS == 0;
	if (bct_share_is_hub(s)) {
		send_as_hub(s, &r);
		return;
	}
	collect_loads(s, &r);
	collect_lanes(s, &r);
	if (bct_share_uses_hubs(s)) {
		send_to_hub(s, &r);
		return;
	}
	send_direct(s, &r, now);
	bct_share_send_promises(s, BCT_GATE_VIEW_LOCAL, &s->promises, NULL);
}

uint32_t bct_share_load_datagrams(const bct_share_t *s)
{
	uint32_t upstreams = min_u32(s->gate->upstreams.by_id.n, LOADS_MAX);

	return upstreams / SHARE_LOADS_MAX + 1;
}

bct_time_t bct_share_load_age_ms(const bct_share_t *s, bct_time_t now)
{
	if (!s || !s->n_peers)
		return 0;
	return s->load_heard_at ? now - s->load_heard_at : BCT_TIME_NEVER;
}

void bct_share_load_round(bct_share_t *s, bct_time_t now)
{
	uint32_t reports = bct_share_is_hub(s) ? KEEP_FULL_REPORTS : KEEP_FULL_AT_NODES;
	uint32_t rounds = bct_share_uses_hubs(s) ? FULL_REPORT_ROUNDS * reports : KEEP_INTERVALS;
	uint32_t keep = bct_share_interval_ms(s) * rounds;

	s->loads.keep_ms = keep > KEEP_MIN_MS ? keep : KEEP_MIN_MS;
	s->lanes.keep_ms = s->loads.keep_ms * LANE_KEEP_FACTOR;
	bct_gate_peers_sweep(&s->loads, now);
	bct_gate_peers_sweep(&s->lanes, now);
	send_load(s, now);
	note_shared(s);
	s->placements.n = 0;
	s->hub_placements.n = 0;
	s->promises.n = 0;
	s->hub_promises.n = 0;
}

bool bct_share_load_accepts(const bct_share_t *s, const share_update *update)
{
	uint64_t self = bct_peer_incarnation(s->gate->peer);

	if (!bct_share_uses_hubs(s))
		return update->view == BCT_GATE_VIEW_LOCAL;
	return bct_gate_hubs_accepts(&s->hubs, self, update->view, update->from);
}

static void apply_loads(bct_share_t *s, bct_time_t now, const share_update *update)
{
	for (uint32_t i = 0; i < update->loads.loads_len; i++) {
		const share_load *l = &update->loads.loads_val[i];
		bct_gate_peer_report_t r = { .peer = update->from, .subject = l->upstream };

		r.v[0] = l->running_prefill >> PREFILL_BITS;
		r.v[1] = l->running_prefill & PREFILL_MAX;
		/* Load of an unknown upstream is dropped; it is sent again while it lasts. */
		if (bct_gate_upstreams_find_short(&s->gate->upstreams, l->upstream))
			bct_gate_peers_report(&s->loads, now, &r);
	}
}

static void apply_lanes(bct_share_t *s, bct_time_t now, const share_update *update)
{
	for (uint32_t i = 0; i < update->lanes.lanes_len; i++) {
		const share_lane *l = &update->lanes.lanes_val[i];
		uint64_t subject = lane_subject(l->service, l->gap_ms);
		bct_gate_peer_report_t r = { update->from, subject, { l->work_ms_per_s } };

		memcpy(&r.v[1], l->pace, sizeof(l->pace));
		bct_gate_peers_report(&s->lanes, now, &r);
	}
}

static void apply_placements(bct_share_t *s, bct_time_t now, const share_update *update)
{
	bool relayed = bct_share_is_hub(s) && update->view != BCT_GATE_VIEW_REST;
	bct_share_placements_t *queue =
		update->view == BCT_GATE_VIEW_CLUSTER ? &s->hub_placements : &s->placements;

	for (uint32_t i = 0; i < update->placed.placed_len; i++) {
		const share_placed *p = &update->placed.placed_val[i];
		bct_gate_segment_t segment = { .id = p->segment };
		const bct_gate_upstream_t *u =
			bct_gate_upstreams_find_short(&s->gate->upstreams, p->upstream);
		bct_gate_holder_t h = { .ready = now + p->ready_ms };

		if (relayed)
			add_placement(s, queue, p);
		if (!u)
			continue;
		h.upstream_key = u->key;
		bct_gate_prefix_sent(&s->gate->picker.prefix, now, &segment, 1, &h);
	}
}

void bct_share_load_apply(bct_share_t *s, bct_time_t now, const share_update *update)
{
	if (!bct_share_load_accepts(s, update))
		return;
	if (s->previous_hub && update->from == s->hubs.local_hub) {
		bct_gate_peers_forget(&s->loads, s->previous_hub);
		bct_gate_peers_forget(&s->lanes, s->previous_hub);
		s->previous_hub = 0;
	}
	s->load_heard_at = now;
	apply_loads(s, now, update);
	apply_lanes(s, now, update);
	apply_placements(s, now, update);
	bct_share_apply_promises(s, now, update);
}

/* Adds a change of a peer's report to the load of an upstream. */
static void add_load(void *ctx, uint64_t subject, const uint32_t *difference)
{
	bct_gate_t *g = ctx;
	bct_gate_upstream_t *u = bct_gate_upstreams_find_short(&g->upstreams, (uint32_t)subject);

	if (!u)
		return;
	u->peer_running += (int32_t)difference[0];
	u->peer_prefill_ms += (int32_t)difference[1];
}

/* Adds a change of a peer's report to a lane. A linear search suffices, as lanes are few. */
static void add_lane(void *ctx, uint64_t subject, const uint32_t *difference)
{
	bct_gate_t *g = ctx;
	const bct_gate_routes_t *t = g->routes;

	for (uint32_t i = 0; t && i < t->n_services; i++) {
		uint64_t key = t->services[i].key;
		bct_gate_lanes_t *l = bct_gate_pick_lanes(&g->picker, key);

		for (uint32_t j = 0; l && j < l->n; j++) {
			bct_gate_pace_kind_t kind = { key, l->lanes[j].gap_ms };

			if (lane_subject(key, kind.gap_ms) != subject)
				continue;
			l->lanes[j].peer_work += difference[0];
			bct_gate_pace_add_peer(&g->pace, bct_clock_now(), &kind, difference + 1);
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
