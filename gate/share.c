/*
 * share.c - encodes by libtirpc's XDR, authenticates by libsodium.
 */
#include "gate/share_int.h"
#include "gate/crash.h"
#include "gate/feed.h"
#include "base/err.h"
#include "base/mem.h"

#include <netinet/in.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DATAGRAM_BYTES 1400
#define MAC_BYTES 16
#define INTERVAL_MS 100		/* between two rounds of a small fleet */
#define HUB_DATAGRAMS_PER_S 800 /* of a hub at most: 8 Mbit/s, under the slowest links of 10 */
#define HUB_INTERVAL_MS 50	/* the same where news take three steps */
#define DIRECT_NODES 12		/* up to so many other nodes, each tells all */
#define VERSIONS_PER_S 80 /* datagrams of a reader of the registry that tell what is in force */
#define CRASH_ROUNDS 3	  /* that the same crash is told in */
#define REFRESH_MS 500	  /* between two looks at the membership */

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

static uint64_t seq_of(const bct_share_peer_t *old, uint32_t n, uint64_t incarnation)
{
	for (uint32_t i = 0; i < n; i++) {
		if (old[i].incarnation == incarnation)
			return old[i].seq;
	}
	return 0;
}

static void choose_hubs(bct_share_t *s)
{
	uint64_t nodes[BCT_SHARE_PEERS_MAX + 1];
	uint64_t self = bct_peer_incarnation(s->gate->peer), before = s->hubs.local_hub;

	for (uint32_t i = 0; i < s->n_peers; i++)
		nodes[i] = s->peers[i].incarnation;
	nodes[s->n_peers] = self;
	bct_gate_hubs_choose(&s->hubs, nodes, s->n_peers + 1, self);
	if (s->hubs.local_hub == before || !bct_share_uses_hubs(s))
		return;
	BCT_LOG(s->gate->log, BCT_EV_HUB_CHANGED, BCT_HEX("hub", s->hubs.local_hub),
		BCT_HEX("was", before), BCT_U64("is_hub", s->hubs.local_hub == self),
		BCT_U64("hubs", s->hubs.n), BCT_U64("nodes", s->n_peers + 1));
}

/* Takes over the live nodes; what was received from each is kept. */
static void refresh(bct_share_t *s)
{
	bct_member_t *m = bct_alloc(sizeof(*m) * BCT_SHARE_PEERS_MAX);
	bct_share_peer_t *old = bct_alloc(sizeof(s->peers));
	uint32_t n_old = s->n_peers, n = 0;

	if (m && old) {
		memcpy(old, s->peers, sizeof(s->peers));
		n = bct_peer_members(s->gate->peer, m, BCT_SHARE_PEERS_MAX);
		s->n_peers = 0;
	}
	for (uint32_t i = 0; i < n; i++) {
		bct_share_peer_t *p = &s->peers[s->n_peers];

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
	choose_hubs(s);
	bct_free(old);
	bct_free(m);
	s->refreshed = bct_clock_now();
}

bool bct_share_uses_hubs(const bct_share_t *s)
{
	return s && s->n_peers > DIRECT_NODES;
}

bool bct_share_is_hub(const bct_share_t *s)
{
	return bct_share_uses_hubs(s) && s->hubs.local_hub == bct_peer_incarnation(s->gate->peer);
}

bool bct_share_is_own_node(const bct_share_t *s, const bct_share_peer_t *p)
{
	return !bct_gate_hubs_has(&s->hubs, p->incarnation) &&
	       bct_gate_hubs_of(&s->hubs, p->incarnation) == bct_peer_incarnation(s->gate->peer);
}

/* A hub tells about twice as many others as there are hubs; the rounds are the same for all. */
static uint32_t hub_interval_ms(const bct_share_t *s)
{
	uint32_t datagrams = 2 * s->hubs.n * bct_share_load_datagrams(s);
	uint32_t ms = datagrams * BCT_MS_PER_S / HUB_DATAGRAMS_PER_S;

	return ms > HUB_INTERVAL_MS ? ms : HUB_INTERVAL_MS;
}

uint32_t bct_share_interval_ms(const bct_share_t *s)
{
	return bct_share_uses_hubs(s) ? hub_interval_ms(s) : INTERVAL_MS;
}

/* Between two words of a reader to all nodes, however many they are. */
uint32_t bct_share_versions_ms(const bct_share_t *s)
{
	uint32_t ms = (s ? s->n_peers : 0) * BCT_MS_PER_S / VERSIONS_PER_S;

	return ms > INTERVAL_MS ? ms : INTERVAL_MS;
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

static size_t complete(bct_share_t *s, share_news *news, uint8_t *out)
{
	bct_gate_t *g = s->gate;
	bct_time_t now = bct_clock_now(), own_ms = now - bct_feed_answered_at(g->feed);
	bct_time_t age = bct_gate_hubs_age_ms(news->view, own_ms, bct_feed_age_ms(g->feed, now));
	size_t len;

	news->from = bct_peer_incarnation(g->peer);
	news->seq = ++s->seq;
	news->routes_version = g->routes ? g->routes->version : 0;
	news->upstreams_digest = bct_gate_upstreams_digest(&g->upstreams);
	news->registry_age_ms = (u_int)(age < UINT32_MAX ? age : UINT32_MAX);
	len = encode(s, news, out);
	if (!len)
		BCT_GATE_COUNT(g, SHARES_DROPPED);
	return len;
}

static void send_datagram(bct_share_t *s, const uint8_t *data, size_t len,
			  const bct_share_peer_t *to)
{
	const struct sockaddr *sa = (const struct sockaddr *)&to->sa;

	if (len && sendto(s->fd, data, len, MSG_DONTWAIT, sa, sizeof(to->sa)) < 0)
		BCT_GATE_COUNT(s->gate, SHARES_DROPPED);
}

void bct_share_send(bct_share_t *s, share_news *news, const bct_share_peer_t *to)
{
	uint8_t out[DATAGRAM_BYTES];

	send_datagram(s, out, complete(s, news, out), to);
}

void bct_share_send_all(bct_share_t *s, share_news *news)
{
	uint8_t out[DATAGRAM_BYTES];
	size_t len = complete(s, news, out);
	uint32_t first = bct_rng_below(&s->gate->picker.rng, s->n_peers);

	for (uint32_t i = 0; i < s->n_peers; i++)
		send_datagram(s, out, len, &s->peers[(first + i) % s->n_peers]);
}

/* In a large fleet, hubs tell of load only; readers tell all what is in force. */
static void send_versions(bct_share_t *s, bct_time_t now)
{
	share_news news = { 0 };

	if (!bct_share_uses_hubs(s) || s->gate->rank >= BCT_GATE_POLLERS ||
	    now - s->versions_told < bct_share_versions_ms(s))
		return;
	s->versions_told = now;
	bct_share_send_all(s, &news);
}

/* Crashes are told to all, in more than one round, as datagrams are lost. */
static void send_crashes(bct_share_t *s)
{
	share_news news = { 0 };

	if (!s->n_crashes)
		return;
	news.crashes.crashes_val = s->crashes;
	news.crashes.crashes_len = s->n_crashes;
	bct_share_send_all(s, &news);
	if (++s->crash_rounds >= CRASH_ROUNDS)
		s->n_crashes = 0;
}

static void send_to_own_nodes(bct_share_t *s, share_news *news)
{
	for (uint32_t i = 0; i < s->n_peers; i++) {
		if (bct_share_is_own_node(s, &s->peers[i]))
			bct_share_send(s, news, &s->peers[i]);
	}
}

/* A burst of changes to all would fill the link of the reader: hubs pass them on. */
static void tell_change(bct_share_t *s, share_news *news)
{
	if (!bct_share_uses_hubs(s)) {
		bct_share_send_all(s, news);
		return;
	}
	for (uint32_t i = 0; i < s->n_peers; i++) {
		if (bct_gate_hubs_has(&s->hubs, s->peers[i].incarnation))
			bct_share_send(s, news, &s->peers[i]);
	}
	send_to_own_nodes(s, news);
}

/* As a hub: changes that a reader told, to the nodes of this hub. */
static void relay_changes(bct_share_t *s, const share_news *from)
{
	share_news news = { .view = BCT_GATE_VIEW_REST };

	if (!from->entries.entries_len || from->view != BCT_GATE_VIEW_LOCAL || !bct_share_is_hub(s))
		return;
	news.entries = from->entries;
	send_to_own_nodes(s, &news);
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
	tell_change(s, &news);
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
	bct_gate_peer_versions_t h = {
		.received_at = now,
		.registry_answered_at = now - news->registry_age_ms,
		.routes_version = news->routes_version,
		.upstreams_digest = news->upstreams_digest,
	};

	for (uint32_t i = 0; i < news->entries.entries_len; i++)
		take_change(s, &news->entries.entries_val[i]);
	if (news->view != BCT_GATE_VIEW_REST || bct_share_load_is_for_me(s, news))
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

	(void)fd;
	(void)what;
	if (now - s->refreshed >= REFRESH_MS)
		refresh(s);
	send_crashes(s);
	send_versions(s, now);
	bct_share_load_round(s, now);
	set_timer(s);
}

/* Only news of a live node that are newer than its last are taken. */
static bool is_fresh(bct_share_t *s, const share_news *news)
{
	for (uint32_t i = 0; i < s->n_peers; i++) {
		bct_share_peer_t *p = &s->peers[i];

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
	bct_share_load_take(s, now, news);
	relay_changes(s, news);
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
	bct_share_load_init(s);
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
	bct_share_load_free(s);
	sodium_memzero(s->key, sizeof(s->key));
	bct_free(s);
}
