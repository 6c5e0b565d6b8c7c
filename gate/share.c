/*
 * share.c - encodes by libtirpc's XDR, authenticates by libsodium.
 */
#include "gate/share.h"
#include "gate/crash.h"
#include "gate/feed.h"
#include "base/err.h"
#include "base/mem.h"
#include "gen/share.h"
#include "policy/gate_peers.h"

#include <netinet/in.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DATAGRAM_BYTES 1400
#define MAC_BYTES 16
#define INTERVAL_MIN_MS 100
#define DATAGRAMS_PER_S 80     /* that one node sends, whatever their number */
#define FULL_AUDIENCE 100      /* above so many nodes, load is told to a few only */
#define CROWD_INTERVAL_MS 2000 /* then a node that is no reader sends under 13 KB/s */
#define CROWD_AUDIENCE 16
#define PREFILL_BITS 20
#define PREFILL_MAX ((1U << PREFILL_BITS) - 1)
#define RUNNING_MAX ((1U << (32 - PREFILL_BITS)) - 1)
#define KEEP_INTERVALS 4 /* a peer's load is forgotten when so many were missed */
#define KEEP_MIN_MS 500
#define LANE_KEEP_FACTOR 4   /* a lane's work changes slowly; a node may have nothing to say */
#define IDLE_INTERVAL_MS 250 /* between datagrams of a reader without load */
#define CRASH_ROUNDS 3	     /* that the same crash is told in */
#define REFRESH_MS 500	     /* between two looks at the membership */
#define MEMBERS_MAX 512

typedef struct peer {
	uint64_t incarnation;
	struct sockaddr_in sa;
	uint64_t seq; /* highest received */
} peer_t;

struct bct_share {
	bct_gate_t *gate;
	int fd;
	struct event *readable;
	struct event *timer;
	uint8_t key[crypto_generichash_KEYBYTES];
	uint64_t seq;
	peer_t peers[MEMBERS_MAX];
	uint32_t n_peers;
	bct_time_t refreshed;
	bct_time_t spoke;
	share_placed placed[SHARE_PLACED_MAX];
	uint32_t n_placed;
	share_crash crashes[SHARE_CRASHES_MAX];
	uint32_t n_crashes;
	uint32_t crash_rounds;	/* in which they have been told */
	bct_gate_peers_t loads; /* about upstreams: running, prefill_ms */
	bct_gate_peers_t lanes; /* about lanes: work */
};

void bct_share_placed(bct_share_t *s, uint64_t part, uint64_t upstream_key, uint32_t ready_ms)
{
	if (!s || s->n_placed == SHARE_PLACED_MAX)
		return;
	s->placed[s->n_placed++] = (share_placed){
		.part = part,
		.upstream = (uint32_t)upstream_key,
		.ready_ms = ready_ms,
	};
}

void bct_share_crash(bct_share_t *s, uint64_t digest, uint32_t upstream)
{
	if (!s)
		return;
	if (s->n_crashes == SHARE_CRASHES_MAX) {
		BCT_GATE_COUNT(s->gate, SHARES_DROPPED);
		return;
	}
	s->crashes[s->n_crashes++] = (share_crash){ .digest = digest, .upstream = upstream };
	s->crash_rounds = 0;
}

static uint64_t seq_of(const peer_t *old, uint32_t n, uint64_t incarnation)
{
	for (uint32_t i = 0; i < n; i++) {
		if (old[i].incarnation == incarnation)
			return old[i].seq;
	}
	return 0;
}

/* Takes over the live nodes; what was received from each is kept. */
static void refresh(bct_share_t *s)
{
	bct_member_t *m = bct_alloc(sizeof(*m) * MEMBERS_MAX);
	peer_t *old = bct_alloc(sizeof(s->peers));
	uint32_t n_old = s->n_peers, n = 0;

	if (m && old) {
		memcpy(old, s->peers, sizeof(s->peers));
		n = bct_peer_members(s->gate->peer, m, MEMBERS_MAX);
		s->n_peers = 0;
	}
	for (uint32_t i = 0; i < n; i++) {
		peer_t *p = &s->peers[s->n_peers];

		if (m[i].liveness == BCT_MEMBER_DEAD || m[i].peer.ip_len_bytes != 4 ||
		    m[i].incarnation == bct_peer_incarnation(s->gate->peer))
			continue;
		p->incarnation = m[i].incarnation;
		p->seq = seq_of(old, n_old, p->incarnation);
		p->sa.sin_family = AF_INET;
		p->sa.sin_port = htons((uint16_t)s->gate->settings->gate_share_port);
		memcpy(&p->sa.sin_addr, m[i].peer.ip, 4);
		s->n_peers++;
	}
	bct_free(old);
	bct_free(m);
	s->refreshed = bct_clock_now();
}

/* Whether there are too many nodes for each to tell all others of its load. */
static bool is_crowd(const bct_share_t *s)
{
	return s && s->n_peers > FULL_AUDIENCE;
}

uint32_t bct_share_interval_ms(const bct_share_t *s)
{
	uint32_t ms = (s ? s->n_peers : 0) * BCT_MS_PER_S / DATAGRAMS_PER_S;

	if (is_crowd(s))
		return CROWD_INTERVAL_MS;
	return ms > INTERVAL_MIN_MS ? ms : INTERVAL_MIN_MS;
}

static uint32_t least(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/* Upstreams that this node has work on, and those that it had when it last told. */
static uint32_t collect_loads(bct_share_t *s, share_load *out)
{
	bct_list_t *el;
	uint32_t n = 0;

	bct_list_for_each(el, &s->gate->upstreams.all) {
		bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);

		if (n == SHARE_LOADS_MAX)
			break;
		if (!u->running && !u->shared)
			continue;
		u->shared = u->running != 0;
		out[n].upstream = (uint32_t)u->key;
		out[n].running_prefill = least(u->running, RUNNING_MAX) << PREFILL_BITS |
					 least(u->prefill_ms, PREFILL_MAX);
		n++;
	}
	return n;
}

static uint64_t lane_subject(uint64_t service, uint32_t gap_ms)
{
	return service + gap_ms;
}

/* The work of all lanes of all services, as far as it fits. */
static uint32_t collect_lanes(bct_share_t *s, share_lane *out)
{
	const bct_gate_routes_t *t = s->gate->routes;
	uint32_t n = 0;

	for (uint32_t i = 0; t && i < t->n_services; i++) {
		uint64_t key = t->services[i].key;
		bct_gate_lanes_t *l =
			t->services[i].engine ? bct_gate_pick_lanes(&s->gate->picker, key) : NULL;

		for (uint32_t j = 0; l && j < l->n && n < SHARE_LANES_MAX; j++)
			out[n++] = (share_lane){ .service = key,
						 .gap_ms = l->lanes[j].gap_ms,
						 .work_ms_per_s = (u_int)l->lanes[j].work };
	}
	return n;
}

static void add_load(void *ctx, uint64_t subject, const uint32_t *difference)
{
	bct_gate_t *g = ctx;
	bct_gate_upstream_t *u = bct_gate_upstreams_short(&g->upstreams, (uint32_t)subject);

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

static void seal(const bct_share_t *s, const uint8_t *data, size_t len, uint8_t *mac)
{
	crypto_generichash(mac, MAC_BYTES, data, len, s->key, sizeof(s->key));
}

/* returns the datagram's length, or 0 when it does not fit. */
static size_t encode(bct_share_t *s, share_news *news, uint8_t *out)
{
	size_t len = 0;
	XDR x;

	xdrmem_create(&x, (char *)out, DATAGRAM_BYTES - MAC_BYTES, XDR_ENCODE);
	if (xdr_share_news(&x, news))
		len = xdr_getpos(&x);
	xdr_destroy(&x);
	if (!len)
		return 0;
	seal(s, out, len, out + len);
	return len + MAC_BYTES;
}

/* Tells n peers, from one drawn at random on. */
static void send_some(bct_share_t *s, share_news *news, uint32_t n)
{
	uint8_t out[DATAGRAM_BYTES];
	bct_gate_t *g = s->gate;
	bct_time_t age = bct_clock_now() - bct_feed_answered_at(g->feed);
	uint32_t first = bct_rng_below(&g->picker.rng, s->n_peers);
	size_t len;

	news->from = bct_peer_incarnation(g->peer);
	news->seq = ++s->seq;
	news->routes_version = g->routes ? g->routes->version : 0;
	news->upstreams_digest = bct_gate_upstreams_digest(&g->upstreams);
	news->registry_age_ms = (u_int)(age < UINT32_MAX ? age : UINT32_MAX);
	len = encode(s, news, out);
	if (!len)
		BCT_GATE_COUNT(g, SHARES_DROPPED);
	for (uint32_t i = 0; len && i < n; i++) {
		const peer_t *p = &s->peers[(first + i) % s->n_peers];

		if (sendto(s->fd, out, len, MSG_DONTWAIT, (const struct sockaddr *)&p->sa,
			   sizeof(p->sa)) < 0)
			BCT_GATE_COUNT(g, SHARES_DROPPED);
	}
}

/* In a crowd, readers tell all nodes what is in force, and each node tells a few its load. */
static void send_in_crowd(bct_share_t *s, share_news *news)
{
	share_news versions = { 0 };

	if (s->gate->rank < BCT_GATE_READERS)
		send_some(s, &versions, s->n_peers);
	send_some(s, news, CROWD_AUDIENCE);
}

/* Crashes are told to all, in more than one round, as datagrams are lost. */
static void send_crashes(bct_share_t *s)
{
	share_news news = { 0 };

	if (!s->n_crashes)
		return;
	news.crashes.crashes_val = s->crashes;
	news.crashes.crashes_len = s->n_crashes;
	send_some(s, &news, s->n_peers);
	if (++s->crash_rounds >= CRASH_ROUNDS)
		s->n_crashes = 0;
}

static void send_round(bct_share_t *s)
{
	share_load loads[SHARE_LOADS_MAX];
	share_lane lanes[SHARE_LANES_MAX];
	share_news news = { 0 };
	bct_time_t now = bct_clock_now();

	news.lanes.lanes_val = lanes;
	news.lanes.lanes_len = collect_lanes(s, lanes);
	news.loads.loads_val = loads;
	news.loads.loads_len = collect_loads(s, loads);
	news.placed.placed_val = s->placed;
	news.placed.placed_len = s->n_placed;
	/* Only readers speak when there is no load: the others hear from them what is in force. */
	if (!news.loads.loads_len && !s->n_placed &&
	    (s->gate->rank >= BCT_GATE_READERS || now - s->spoke < IDLE_INTERVAL_MS))
		return;
	s->spoke = now;
	if (is_crowd(s))
		send_in_crowd(s, &news);
	else
		send_some(s, &news, s->n_peers);
	s->n_placed = 0;
}

void bct_share_change(bct_share_t *s, const bct_registry_change_t *c)
{
	const bct_gate_entry_t *e = &c->entry;
	share_news news = { 0 };
	share_entry x = { 0 };

	if (!s)
		return;
	x.removed = c->kind == BCT_REGISTRY_REMOVED;
	memcpy(x.id, x.removed ? c->name : e->id, sizeof(x.id));
	if (!x.removed) {
		memcpy(x.service, e->service, sizeof(x.service));
		memcpy(x.zone, e->zone, sizeof(x.zone));
		memcpy(x.ip, e->ip, sizeof(x.ip));
	}
	x.port = e->port;
	x.slots = e->slots;
	x.cold_ms = e->cold_ms;
	x.draining = e->draining;
	x.born_ms = e->born_ms;
	x.sequence = e->sequence;
	news.entries.entries_val = &x;
	news.entries.entries_len = 1;
	send_some(s, &news, s->n_peers);
}

/* Decoded names end with a NUL, whatever came. */
static void take_name(char *out, const char *in, size_t size)
{
	memcpy(out, in, size);
	out[size - 1] = '\0';
}

static void take_change(bct_share_t *s, const share_entry *x)
{
	bct_registry_change_t c = { 0 };
	bct_gate_entry_t *e = &c.entry;

	c.kind = x->removed ? BCT_REGISTRY_REMOVED : BCT_REGISTRY_ENTRY;
	take_name(c.name, x->id, sizeof(c.name));
	take_name(e->id, x->id, sizeof(e->id));
	take_name(e->service, x->service, sizeof(e->service));
	take_name(e->zone, x->zone, sizeof(e->zone));
	take_name(e->ip, x->ip, sizeof(e->ip));
	e->port = (uint16_t)x->port;
	e->slots = x->slots;
	e->cold_ms = x->cold_ms;
	e->draining = x->draining;
	e->born_ms = x->born_ms;
	e->sequence = x->sequence;
	bct_feed_apply(s->gate, &c, false);
}

/* What the sender knows of the registry. */
static void take_versions(bct_share_t *s, bct_time_t now, const share_news *news)
{
	bct_gate_heard_t h = {
		.at = now,
		.registry_at = now - news->registry_age_ms,
		.routes_version = news->routes_version,
		.upstreams_digest = news->upstreams_digest,
	};

	for (uint32_t i = 0; i < news->entries.entries_len; i++)
		take_change(s, &news->entries.entries_val[i]);
	bct_feed_heard(s->gate->feed, &h);
}

static void set_timer(bct_share_t *s)
{
	uint32_t ms = bct_share_interval_ms(s);
	struct timeval tv = { ms / BCT_MS_PER_S, (long)(ms % BCT_MS_PER_S) * 1000 };

	event_add(s->timer, &tv);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	bct_share_t *s = ctx;
	bct_time_t now = bct_clock_now();
	uint32_t keep = bct_share_interval_ms(s) * KEEP_INTERVALS;

	(void)fd;
	(void)what;
	if (now - s->refreshed >= REFRESH_MS)
		refresh(s);
	s->loads.keep_ms = keep > KEEP_MIN_MS ? keep : KEEP_MIN_MS;
	s->lanes.keep_ms = s->loads.keep_ms * LANE_KEEP_FACTOR;
	bct_gate_peers_sweep(&s->loads, now);
	bct_gate_peers_sweep(&s->lanes, now);
	send_crashes(s);
	send_round(s);
	set_timer(s);
}

/* Only news of a live node that are newer than its last are taken. */
static bool is_fresh(bct_share_t *s, const share_news *news)
{
	for (uint32_t i = 0; i < s->n_peers; i++) {
		peer_t *p = &s->peers[i];

		if (p->incarnation != news->from)
			continue;
		if (news->seq <= p->seq)
			return false;
		p->seq = news->seq;
		return true;
	}
	return false;
}

static void take(bct_share_t *s, const share_news *news)
{
	bct_time_t now = bct_clock_now();

	take_versions(s, now, news);
	for (uint32_t i = 0; i < news->crashes.crashes_len; i++)
		bct_crash_heard(s->gate, news->crashes.crashes_val[i].digest,
				news->crashes.crashes_val[i].upstream);
	for (uint32_t i = 0; i < news->loads.loads_len; i++) {
		const share_load *l = &news->loads.loads_val[i];
		bct_gate_peer_report_t r = { .peer = news->from, .subject = l->upstream };

		r.v[0] = l->running_prefill >> PREFILL_BITS;
		r.v[1] = l->running_prefill & PREFILL_MAX;
		/* One that is not known here yet is told again while it has load. */
		if (bct_gate_upstreams_short(&s->gate->upstreams, l->upstream))
			bct_gate_peers_report(&s->loads, now, &r);
	}
	for (uint32_t i = 0; i < news->lanes.lanes_len; i++) {
		const share_lane *l = &news->lanes.lanes_val[i];
		uint64_t subject = lane_subject(l->service, l->gap_ms);
		bct_gate_peer_report_t r = { news->from, subject, { l->work_ms_per_s, 0 } };

		bct_gate_peers_report(&s->lanes, now, &r);
	}
	for (uint32_t i = 0; i < news->placed.placed_len; i++) {
		const share_placed *p = &news->placed.placed_val[i];
		bct_gate_part_t part = { .id = p->part };
		const bct_gate_upstream_t *u =
			bct_gate_upstreams_short(&s->gate->upstreams, p->upstream);
		bct_gate_holder_t h = { .ready = now + p->ready_ms };

		if (!u)
			continue;
		h.upstream_key = u->key;
		bct_gate_prefix_sent(&s->gate->picker.prefix, now, &part, 1, &h);
	}
}

static bool authentic(const bct_share_t *s, const uint8_t *data, size_t len)
{
	uint8_t mac[MAC_BYTES];

	if (len <= MAC_BYTES)
		return false;
	seal(s, data, len - MAC_BYTES, mac);
	return !sodium_memcmp(mac, data + len - MAC_BYTES, MAC_BYTES);
}

static void on_datagram(bct_share_t *s, uint8_t *data, size_t len)
{
	share_news news = { 0 };
	XDR x;

	if (!authentic(s, data, len)) {
		BCT_GATE_COUNT(s->gate, SHARES_REFUSED);
		return;
	}
	xdrmem_create(&x, (char *)data, (u_int)(len - MAC_BYTES), XDR_DECODE);
	if (xdr_share_news(&x, &news) && is_fresh(s, &news))
		take(s, &news);
	else
		BCT_GATE_COUNT(s->gate, SHARES_REFUSED);
	xdr_free((xdrproc_t)xdr_share_news, (char *)&news);
	xdr_destroy(&x);
}

static void on_readable(evutil_socket_t fd, short what, void *ctx)
{
	uint8_t data[DATAGRAM_BYTES];
	ssize_t n;

	(void)what;
	while ((n = recv(fd, data, sizeof(data), MSG_DONTWAIT)) > 0)
		on_datagram(ctx, data, (size_t)n);
}

static int open_socket(bct_share_t *s)
{
	const bct_settings_t *set = s->gate->settings;
	struct sockaddr_in sa = { .sin_family = AF_INET };
	bct_addr_t at;

	if (bct_addr_parse(set->peer_address, (uint16_t)set->gate_share_port, &at) ||
	    at.ip_len_bytes != 4)
		return -BCT_EINVAL;
	sa.sin_port = htons(at.port);
	memcpy(&sa.sin_addr, at.ip, 4);
	s->fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (s->fd < 0 || bind(s->fd, (struct sockaddr *)&sa, sizeof(sa))) {
		BCT_LOG(s->gate->log, BCT_EV_LISTEN_FAILED, BCT_STR("address", set->peer_address),
			BCT_U64("port", set->gate_share_port));
		return -BCT_EIO;
	}
	return 0;
}

int bct_share_new(bct_gate_t *g, bct_share_t **out)
{
	const char *secret = g->settings->peer_secret;
	bct_share_t *s = bct_alloc(sizeof(*s));
	int rc;

	if (!s)
		return -BCT_ENOMEM;
	s->gate = g;
	s->fd = -1;
	bct_gate_peers_init(&s->loads, KEEP_MIN_MS, add_load, g);
	bct_gate_peers_init(&s->lanes, KEEP_MIN_MS, add_lane, g);
	crypto_generichash(s->key, sizeof(s->key), (const uint8_t *)secret, strlen(secret), NULL,
			   0);
	rc = open_socket(s);
	if (!rc) {
		s->readable = event_new(g->base, s->fd, EV_READ | EV_PERSIST, on_readable, s);
		s->timer = evtimer_new(g->base, on_timer, s);
		rc = s->readable && s->timer && !event_add(s->readable, NULL) ? 0 : -BCT_ENOMEM;
	}
	if (rc) {
		bct_share_free(s);
		return rc;
	}
	set_timer(s);
	*out = s;
	return 0;
}

void bct_share_free(bct_share_t *s)
{
	if (!s)
		return;
	if (s->readable)
		event_free(s->readable);
	if (s->timer)
		event_free(s->timer);
	if (s->fd >= 0)
		close(s->fd);
	bct_gate_peers_free(&s->loads);
	bct_gate_peers_free(&s->lanes);
	sodium_memzero(s->key, sizeof(s->key));
	bct_free(s);
}
