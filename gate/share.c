/*
 * share.c - transport of the share protocol: datagrams are encoded with libtirpc's XDR and
 * authenticated with a keyed hash of libsodium.
 */
#include "gate/share_int.h"
#include "gate/crash.h"
#include "gate/registry_sync.h"
#include "base/err.h"
#include "base/mem.h"

#include <netinet/in.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DATAGRAM_BYTES 1400
#define INTERVAL_MS 100 /* between two rounds in a small fleet */
/* Upper limit of a hub: 8 Mbit/s, to stay below the 10 Mbit/s of the slowest links. */
#define HUB_DATAGRAMS_PER_S 800
#define HUB_INTERVAL_MS 50  /* shortest interval with hubs, where an update takes three hops */
#define HUB_SILENT_ROUNDS 6 /* without a message, after which a hub is passed over */
#define HUB_SILENT_MIN_MS 300
#define DIRECT_NODES 12	    /* other nodes up to which each node sends to all others */
#define VERSIONS_PER_S 80   /* datagrams with versions that a reader of the registry sends */
#define HUB_VERSIONS_MS 200 /* between two versions that it sends to the hubs, which relay them */
#define CRASH_ROUNDS 3	    /* in which the same crash is sent */
#define REFRESH_MS 500	    /* between two reads of the membership */

void bct_share_add_crash(bct_share_t *s, uint64_t digest, uint32_t upstream)
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

/* Notes that the hub of this node was another one before. */
static void hub_changed(bct_share_t *s, uint64_t before, const char *why)
{
	if (s->hubs.local_hub == before || !bct_share_uses_hubs(s))
		return;
	if (!s->previous_hub)
		s->previous_hub = before;
	BCT_LOG(s->gate->log, BCT_EV_HUB_CHANGED, BCT_HEX("hub", s->hubs.local_hub),
		BCT_HEX("was", before), BCT_STR("why", why),
		BCT_U64("is_hub", s->hubs.local_hub == s->hubs.self), BCT_U64("hubs", s->hubs.n),
		BCT_U64("nodes", s->n_peers + 1));
}

/* A node that is leaving is no hub, so that its nodes change to another one before it ends. */
static void choose_hubs(bct_share_t *s)
{
	uint64_t nodes[BCT_SHARE_PEERS_MAX + 1];
	uint64_t self = bct_peer_incarnation(s->gate->peer), before = s->hubs.local_hub;
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n_peers; i++) {
		if (!s->peers[i].leaving)
			nodes[n++] = s->peers[i].incarnation;
	}
	nodes[n++] = self;
	bct_gate_hubs_choose(&s->hubs, bct_clock_now(), nodes, n, self);
	hub_changed(s, before, "members");
}

/*
 * Replaces the peers by the live nodes of the membership. Each keeps its sequence number, so that
 * old datagrams stay rejected.
 */
static void refresh_peers(bct_share_t *s)
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
		p->admin = m[i].admin;
		p->leaving = m[i].leaving;
		s->n_peers++;
	}
	choose_hubs(s);
	bct_free(old);
	bct_free(m);
	s->peers_refreshed_at = bct_clock_now();
}

bool bct_share_uses_hubs(const bct_share_t *s)
{
	return s && s->n_peers > DIRECT_NODES;
}

bool bct_share_is_hub(const bct_share_t *s)
{
	return bct_share_uses_hubs(s) && s->hubs.local_hub == bct_peer_incarnation(s->gate->peer);
}

bool bct_share_in_local_cluster(const bct_share_t *s, const bct_share_peer_t *p)
{
	return !bct_gate_hubs_has(&s->hubs, p->incarnation) &&
	       bct_gate_hubs_of(&s->hubs, p->incarnation) == bct_peer_incarnation(s->gate->peer);
}

/*
 * A hub sends to about twice as many nodes as there are hubs: the other hubs and its own cluster,
 * as about the square root of the nodes are hubs. All nodes use the same interval.
 */
static uint32_t hub_interval_ms(const bct_share_t *s)
{
	uint32_t datagrams = 2 * s->hubs.n * bct_share_load_datagrams(s);
	uint32_t ms = datagrams * BCT_MS_PER_S / HUB_DATAGRAMS_PER_S;

	return ms > HUB_INTERVAL_MS ? ms : HUB_INTERVAL_MS;
}

/* How long a hub may be silent; several rounds, as datagrams are lost and nodes are slow. */
static uint32_t hub_silence_ms(const bct_share_t *s)
{
	uint32_t ms = hub_interval_ms(s) * HUB_SILENT_ROUNDS;

	return ms > HUB_SILENT_MIN_MS ? ms : HUB_SILENT_MIN_MS;
}

bool bct_share_hears_hub(const bct_share_t *s, bct_time_t now)
{
	return bct_share_uses_hubs(s) && !bct_share_is_hub(s) &&
	       bct_gate_hubs_hears(&s->hubs, now, hub_silence_ms(s));
}

/* Passes over hubs that fell silent. What a silent hub has reported to other hubs is dropped, as
 * its nodes report to them now. */
static void watch_hubs(bct_share_t *s, bct_time_t now)
{
	uint64_t before = s->hubs.local_hub;
	bct_time_t late_ms = now - s->round_at;

	s->round_at = now;
	if (!bct_share_uses_hubs(s))
		return;
	if (late_ms >= hub_silence_ms(s) / 2)
		bct_gate_hubs_resumed(&s->hubs, now);
	if (!bct_gate_hubs_watch(&s->hubs, now, hub_silence_ms(s)))
		return;
	hub_changed(s, before, "silent");
	for (uint32_t i = 0; i < s->hubs.n && bct_share_is_hub(s); i++) {
		if (s->hubs.silent[i])
			bct_gate_peers_forget(&s->loads, s->hubs.hubs[i]);
	}
}

uint32_t bct_share_interval_ms(const bct_share_t *s)
{
	return bct_share_uses_hubs(s) ? hub_interval_ms(s) : INTERVAL_MS;
}

uint32_t bct_share_versions_interval_ms(const bct_share_t *s)
{
	return bct_share_uses_hubs(s) ? HUB_VERSIONS_MS + hub_interval_ms(s) : INTERVAL_MS;
}

/* Between versions sent to all nodes; grows with their number. */
static uint32_t all_versions_interval_ms(const bct_share_t *s)
{
	uint32_t ms = s->n_peers * BCT_MS_PER_S / VERSIONS_PER_S;

	return ms > HUB_VERSIONS_MS ? ms : HUB_VERSIONS_MS;
}

bool bct_share_admin_address(const bct_share_t *s, uint64_t incarnation, bct_addr_t *out)
{
	for (uint32_t i = 0; s && i < s->n_peers; i++) {
		if (s->peers[i].incarnation != incarnation)
			continue;
		*out = s->peers[i].admin;
		return out->ip_len_bytes != 0 && out->port != 0;
	}
	return false;
}

void bct_share_mac(const bct_share_t *s, const uint8_t *data, size_t len, uint8_t *mac)
{
	crypto_generichash(mac, BCT_SHARE_MAC_BYTES, data, len, s->key, sizeof(s->key));
}

/* returns the length of the datagram in bytes, or 0 if the update does not fit. */
static size_t encode(bct_share_t *s, share_update *update, uint8_t *out)
{
	size_t len = 0;
	XDR x;

	xdrmem_create(&x, (char *)out, DATAGRAM_BYTES - BCT_SHARE_MAC_BYTES, XDR_ENCODE);
	if (xdr_share_update(&x, update))
		len = xdr_getpos(&x);
	xdr_destroy(&x);
	if (!len)
		return 0;
	bct_share_mac(s, out, len, out + len);
	return len + BCT_SHARE_MAC_BYTES;
}

/* The latest answer on a topic to state in a message of this view. */
static share_read read_of(const bct_gate_t *g, bct_gate_view_t view, bct_registry_topic_t topic,
			  bct_time_t now)
{
	bct_gate_read_t own = bct_registry_sync_read(g->registry_sync, topic, true);
	bct_gate_read_t any = bct_registry_sync_read(g->registry_sync, topic, false);
	bct_time_t age = bct_gate_hubs_age_ms(view, now - own.answered_at, now - any.answered_at);
	share_read r = { .age_ms = SHARE_NEVER, .reader = any.reader };

	if (age != now - any.answered_at)
		r.reader = own.reader;
	if (age < now && age < (bct_time_t)SHARE_NEVER)
		r.age_ms = (u_int)age;
	return r;
}

/* Adds the sender's state to an update. returns as encode(). */
static size_t fill_in_and_encode(bct_share_t *s, share_update *update, uint8_t *out)
{
	bct_gate_t *g = s->gate;
	bct_time_t now = bct_clock_now();
	size_t len;

	update->from = bct_peer_incarnation(g->peer);
	update->seq = ++s->seq;
	update->routes_version = g->routes ? g->routes->version : 0;
	update->upstreams_digest = bct_gate_upstreams_digest(&g->upstreams);
	update->upstreams_position = g->upstreams.position;
	for (uint32_t i = 0; i < SHARE_TOPICS; i++)
		update->reads[i] =
			read_of(g, (bct_gate_view_t)update->view, (bct_registry_topic_t)i, now);
	len = encode(s, update, out);
	if (!len)
		BCT_GATE_COUNT(g, SHARES_DROPPED);
	return len;
}

/* Sends a datagram unless it is empty. Sending never blocks: a datagram without room is dropped. */
static void send_datagram(bct_share_t *s, const uint8_t *data, size_t len,
			  const bct_share_peer_t *to)
{
	const struct sockaddr *sa = (const struct sockaddr *)&to->sa;

	if (len && sendto(s->fd, data, len, MSG_DONTWAIT, sa, sizeof(to->sa)) < 0)
		BCT_GATE_COUNT(s->gate, SHARES_DROPPED);
}

void bct_share_send(bct_share_t *s, share_update *update, const bct_share_peer_t *to)
{
	uint8_t out[DATAGRAM_BYTES];

	send_datagram(s, out, fill_in_and_encode(s, update, out), to);
}

/* Starts at a random peer, so that the order of receivers varies between calls. */
void bct_share_send_all(bct_share_t *s, share_update *update)
{
	uint8_t out[DATAGRAM_BYTES];
	size_t len = fill_in_and_encode(s, update, out);
	uint32_t first = bct_rng_below(&s->gate->picker.rng, s->n_peers);

	for (uint32_t i = 0; i < s->n_peers; i++)
		send_datagram(s, out, len, &s->peers[(first + i) % s->n_peers]);
}

static void send_to_hubs(bct_share_t *s, share_update *update)
{
	for (uint32_t i = 0; i < s->n_peers; i++) {
		if (bct_gate_hubs_has(&s->hubs, s->peers[i].incarnation))
			bct_share_send(s, update, &s->peers[i]);
	}
}

/*
 * In a large fleet load passes through hubs. Readers of the registry therefore send their versions
 * in separate datagrams: often to the hubs, which relay them, and now and then to all nodes.
 */
static void send_versions(bct_share_t *s, bct_time_t now)
{
	share_update update = { 0 };

	if (!bct_share_uses_hubs(s) || !bct_registry_sync_advertises(s->gate->registry_sync))
		return;
	if (now - s->versions_sent_at >= all_versions_interval_ms(s)) {
		s->versions_sent_at = s->hub_versions_sent_at = now;
		bct_share_send_all(s, &update);
	} else if (now - s->hub_versions_sent_at >= HUB_VERSIONS_MS) {
		s->hub_versions_sent_at = now;
		send_to_hubs(s, &update);
	}
}

/* Crashes are sent to all nodes in several rounds, as datagrams may be lost. */
static void send_crashes(bct_share_t *s)
{
	share_update update = { 0 };

	if (!s->n_crashes)
		return;
	update.crashes.crashes_val = s->crashes;
	update.crashes.crashes_len = s->n_crashes;
	bct_share_send_all(s, &update);
	if (++s->crash_rounds >= CRASH_ROUNDS)
		s->n_crashes = 0;
}

static void send_to_local_cluster(bct_share_t *s, share_update *update)
{
	for (uint32_t i = 0; i < s->n_peers; i++) {
		if (bct_share_in_local_cluster(s, &s->peers[i]))
			bct_share_send(s, update, &s->peers[i]);
	}
}

/*
 * In a large fleet the hubs relay changes, as sending a burst of changes to all nodes would
 * saturate the poller's link.
 */
static void send_change(bct_share_t *s, share_update *update)
{
	if (!bct_share_uses_hubs(s)) {
		bct_share_send_all(s, update);
		return;
	}
	send_to_hubs(s, update);
	send_to_local_cluster(s, update);
}

/* At a hub: forwards news that a reader sent to the nodes of this hub's cluster. */
static void relay_news(bct_share_t *s, const share_update *from, share_entry *news, uint32_t n)
{
	share_update update = { .view = BCT_GATE_VIEW_REST };

	if (!n || from->view != BCT_GATE_VIEW_LOCAL || !bct_share_is_hub(s))
		return;
	update.entries.entries_val = news;
	update.entries.entries_len = n;
	send_to_local_cluster(s, &update);
}

void bct_share_encode_entry(const bct_gate_upstream_t *u, share_entry *out)
{
	const bct_gate_entry_t *e = &u->entry;

	memcpy(out->id, e->id, sizeof(out->id));
	memcpy(out->service, e->service, sizeof(out->service));
	memcpy(out->zone, e->zone, sizeof(out->zone));
	memcpy(out->ip, e->ip, sizeof(out->ip));
	out->port = e->port;
	out->slots = e->slots;
	out->cold_ms = e->cold_ms;
	out->draining = u->presence == BCT_GATE_DRAINING;
	out->removed = u->presence >= BCT_GATE_LAPSED;
	out->born_ms = e->born_ms;
	out->sequence = e->sequence;
	out->position = e->position;
}

void bct_share_upstream_change(bct_share_t *s, const bct_gate_upstream_t *u)
{
	share_update update = { 0 };
	share_entry x = { 0 };

	if (!s)
		return;
	bct_share_encode_entry(u, &x);
	update.entries.entries_val = &x;
	update.entries.entries_len = 1;
	send_change(s, &update);
}

/* Terminates the copy, as a received name may lack its NUL. */
static void copy_name(char *out, const char *in, size_t size)
{
	memcpy(out, in, size);
	out[size - 1] = '\0';
}

void bct_share_decode_entry(const share_entry *x, bct_registry_change_t *out)
{
	bct_gate_entry_t *e = &out->entry;

	memset(out, 0, sizeof(*out));
	out->kind = x->removed ? BCT_REGISTRY_REMOVED : BCT_REGISTRY_ENTRY;
	out->position = x->position;
	copy_name(out->name, x->id, sizeof(out->name));
	copy_name(e->id, x->id, sizeof(e->id));
	copy_name(e->service, x->service, sizeof(e->service));
	copy_name(e->zone, x->zone, sizeof(e->zone));
	copy_name(e->ip, x->ip, sizeof(e->ip));
	e->port = (uint16_t)x->port;
	e->slots = x->slots;
	e->cold_ms = x->cold_ms;
	e->draining = x->draining;
	e->born_ms = x->born_ms;
	e->sequence = x->sequence;
	e->position = x->position;
}

static bct_gate_read_t received_read(const share_read *r, bct_time_t now)
{
	bct_gate_read_t read = { .reader = r->reader };

	if (r->age_ms != SHARE_NEVER && (bct_time_t)r->age_ms < now)
		read.answered_at = now - r->age_ms;
	return read;
}

/*
 * Whether to compare with the sender's versions. A node that hears its hub leaves it at that: if
 * all nodes pulled from the reader that sends to all of them, its link would be saturated.
 */
static bool counts_versions(const bct_share_t *s, bct_time_t now, const share_update *update)
{
	if (update->view == BCT_GATE_VIEW_REST)
		return bct_share_load_accepts(s, update);
	return !bct_share_hears_hub(s, now);
}

/* Applies changes of the registry. What is no news here was relayed before. */
static void apply_entries(bct_share_t *s, const share_update *update)
{
	share_entry news[SHARE_ENTRIES_MAX];
	uint32_t n = 0;

	for (uint32_t i = 0; i < update->entries.entries_len; i++) {
		bct_registry_change_t c;

		bct_share_decode_entry(&update->entries.entries_val[i], &c);
		if (bct_registry_sync_apply(s->gate, &c, false))
			news[n++] = update->entries.entries_val[i];
	}
	relay_news(s, update, news, n);
}

/*
 * Applies the versions and registry changes of the sender. The versions come first: they tell
 * whether the registry was lost, on which the meaning of a removal depends.
 */
static void apply_versions(bct_share_t *s, bct_time_t now, const share_update *update)
{
	bct_gate_t *g = s->gate;
	bct_gate_peer_versions_t h = {
		.received_at = now,
		.from = update->from,
		.routes_version = update->routes_version,
		.upstreams_digest = update->upstreams_digest,
	};

	for (uint32_t i = 0; i < SHARE_TOPICS; i++)
		h.reads[i] = received_read(&update->reads[i], now);
	if (counts_versions(s, now, update))
		bct_registry_sync_peer_versions(g->registry_sync, &h);
	apply_entries(s, update);
	if (update->upstreams_digest == bct_gate_upstreams_digest(&g->upstreams))
		bct_gate_upstreams_reached(&g->upstreams, update->upstreams_position);
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
	if (now - s->peers_refreshed_at >= REFRESH_MS)
		refresh_peers(s);
	watch_hubs(s, now);
	send_crashes(s);
	send_versions(s, now);
	bct_share_load_round(s, now);
	set_timer(s);
}

/* Accepts an update only of a live node and only if it is newer than the last one. */
static bool is_fresh(bct_share_t *s, const share_update *update)
{
	for (uint32_t i = 0; i < s->n_peers; i++) {
		bct_share_peer_t *p = &s->peers[i];

		if (p->incarnation != update->from)
			continue;
		if (update->seq <= p->seq)
			return false;
		p->seq = update->seq;
		return true;
	}
	return false;
}

static void apply_update(bct_share_t *s, const share_update *update)
{
	bct_time_t now = bct_clock_now();

	bct_gate_hubs_heard(&s->hubs, now, update->from);
	apply_versions(s, now, update);
	for (uint32_t i = 0; i < update->crashes.crashes_len; i++)
		bct_crash_peer_report(s->gate, update->crashes.crashes_val[i].digest,
				      update->crashes.crashes_val[i].upstream);
	bct_share_load_apply(s, now, update);
}

bool bct_share_authentic(const bct_share_t *s, const uint8_t *data, size_t len)
{
	uint8_t mac[BCT_SHARE_MAC_BYTES];

	if (len <= BCT_SHARE_MAC_BYTES)
		return false;
	bct_share_mac(s, data, len - BCT_SHARE_MAC_BYTES, mac);
	return !sodium_memcmp(mac, data + len - BCT_SHARE_MAC_BYTES, BCT_SHARE_MAC_BYTES);
}

static void on_datagram(bct_share_t *s, uint8_t *data, size_t len)
{
	share_update update = { 0 };
	XDR x;

	if (!bct_share_authentic(s, data, len)) {
		BCT_GATE_COUNT(s->gate, SHARES_REFUSED);
		return;
	}
	xdrmem_create(&x, (char *)data, (u_int)(len - BCT_SHARE_MAC_BYTES), XDR_DECODE);
	if (xdr_share_update(&x, &update) && is_fresh(s, &update))
		apply_update(s, &update);
	else
		BCT_GATE_COUNT(s->gate, SHARES_REFUSED);
	xdr_free((xdrproc_t)xdr_share_update, (char *)&update);
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
