/*
 * share.c - transport of the share protocol: datagrams are encoded with libtirpc's XDR and
 * authenticated with a keyed hash of libsodium.
 */
#include "gate/share_int.h"
#include "base/err.h"
#include "base/mem.h"

#include <netinet/in.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DATAGRAM_BYTES 1400
#define INTERVAL_MS 100	     /* between two rounds in a small fleet */
#define REFRESH_MS 500	     /* between two reads of the membership */
#define WELCOMES 3	     /* of a node that joins */
#define LATER_LISTS_BYTES 64 /* zeros behind a datagram: the lists that an older node lacks */

static const bct_share_peer_t *find_peer(const bct_share_peer_t *list, uint32_t n,
					 uint64_t incarnation)
{
	for (uint32_t i = 0; i < n; i++) {
		if (list[i].incarnation == incarnation)
			return &list[i];
	}
	return NULL;
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
		const bct_share_peer_t *known;

		if (m[i].liveness == BCT_MEMBER_DEAD || m[i].peer.ip_len_bytes != 4 ||
		    m[i].incarnation == bct_peer_incarnation(s->gate->peer))
			continue;
		p->incarnation = m[i].incarnation;
		known = find_peer(old, n_old, m[i].incarnation);
		p->seq = known ? known->seq : 0;
		p->welcomes = known ? known->welcomes : 0;
		p->known_since = known ? known->known_since : bct_clock_now();
		p->sa.sin_family = AF_INET;
		p->sa.sin_port = htons((uint16_t)s->gate->settings->gate_share_port);
		memcpy(&p->sa.sin_addr, m[i].peer.ip, 4);
		inet_ntop(AF_INET, m[i].peer.ip, p->ip, sizeof(p->ip));
		memcpy(p->name, m[i].name, sizeof(p->name));
		memcpy(p->failure_domain, m[i].failure_domain, sizeof(p->failure_domain));
		p->admin = m[i].admin;
		p->leaving = m[i].leaving;
		s->n_peers++;
	}
	bct_share_choose_hubs(s);
	bct_free(old);
	bct_free(m);
	s->peers_refreshed_at = bct_clock_now();
}

bool bct_share_node(const bct_share_t *s, uint32_t i, bct_share_node_t *out)
{
	if (!s || i >= s->n_peers)
		return false;
	*out = (bct_share_node_t){
		.incarnation = s->peers[i].incarnation,
		.name = s->peers[i].name,
		.failure_domain = s->peers[i].failure_domain,
		.ip = s->peers[i].ip,
		.leaving = s->peers[i].leaving,
	};
	return true;
}

uint32_t bct_share_interval_ms(const bct_share_t *s)
{
	return bct_share_uses_hubs(s) ? bct_share_hub_interval_ms(s) : INTERVAL_MS;
}

uint32_t bct_share_versions_interval_ms(const bct_share_t *s)
{
	return bct_share_uses_hubs(s) ? BCT_SHARE_HUB_VERSIONS_MS + bct_share_hub_interval_ms(s)
				      : INTERVAL_MS;
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

/* Adds the sender's state to an update. returns as encode(). */
static size_t fill_in_and_encode(bct_share_t *s, share_update *update, uint8_t *out)
{
	bct_gate_t *g = s->gate;
	size_t len;

	update->from = bct_peer_incarnation(g->peer);
	update->seq = ++s->seq;
	update->routes_version = g->routes ? g->routes->version : 0;
	update->upstreams_digest = bct_gate_upstreams_digest(&g->upstreams);
	update->upstreams_position = g->upstreams.position;
	bct_share_fill_reads(s, update);
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

void bct_share_register(bct_share_t *s, bct_share_topic_t *t, const bct_share_topic_opts_t *o)
{
	t->opts = *o;
	t->share = s;
	if (s)
		bct_list_add_tail(&t->link, &s->topics);
}

void bct_share_publish(bct_share_topic_t *t, share_update *update)
{
	if (!t->share)
		return;
	update->view = BCT_GATE_VIEW_LOCAL;
	if (t->opts.relayed)
		bct_share_send_change(t->share, update);
	else
		bct_share_send_all(t->share, update);
}

void bct_share_send_to(bct_share_topic_t *t, share_update *update, uint64_t incarnation)
{
	const bct_share_peer_t *to;

	if (!t->share)
		return;
	to = find_peer(t->share->peers, t->share->n_peers, incarnation);
	if (to)
		bct_share_send(t->share, update, to);
}

static void send_topics(bct_share_t *s, bct_time_t now)
{
	bct_list_t *el;

	bct_list_for_each(el, &s->topics) {
		bct_share_topic_t *t = bct_container_of(el, bct_share_topic_t, link);
		share_update update = { 0 };
		uint32_t pos = 0;

		if (!t->ops->encode || now - t->sent_at < t->opts.interval_ms)
			continue;
		t->sent_at = now;
		while (t->ops->encode(t, now, false, &pos, &update)) {
			bct_share_publish(t, &update);
			update = (share_update){ 0 };
		}
	}
}

/* Tells a node that has just joined what the topics have; one node of the fleet does. */
static void welcome(bct_share_t *s, bct_time_t now, const bct_share_peer_t *to)
{
	bct_list_t *el;
	uint64_t live[BCT_SHARE_NODES_MAX];
	bct_gate_limit_nodes_t nodes = bct_share_live_nodes(s, live);

	if (!bct_share_welcomes(&nodes, to->incarnation))
		return;
	bct_list_for_each(el, &s->topics) {
		bct_share_topic_t *t = bct_container_of(el, bct_share_topic_t, link);
		share_update update = { 0 };
		uint32_t pos = 0;

		while (t->ops->encode && t->ops->encode(t, now, true, &pos, &update)) {
			bct_share_send(s, &update, to);
			update = (share_update){ 0 };
		}
	}
}

/* Repeated, as a node refuses messages of nodes that it doesn't know as members yet. */
static void welcome_new(bct_share_t *s, bct_time_t now)
{
	static const bct_time_t welcome_ms[WELCOMES] = { 0, 500, 2000 };

	for (uint32_t i = 0; i < s->n_peers; i++) {
		bct_share_peer_t *p = &s->peers[i];

		if (p->welcomes == WELCOMES || now < p->known_since + welcome_ms[p->welcomes])
			continue;
		p->welcomes++;
		welcome(s, now, p);
	}
}

static void apply_topics(bct_share_t *s, bct_time_t now, const share_update *update)
{
	bool relays = update->view == BCT_GATE_VIEW_LOCAL && bct_share_is_hub(s);
	bct_list_t *el;

	bct_list_for_each(el, &s->topics) {
		bct_share_topic_t *t = bct_container_of(el, bct_share_topic_t, link);
		share_update news = { .view = BCT_GATE_VIEW_REST };

		if (t->ops->apply(t, now, update, &news) && relays)
			bct_share_send_to_local_cluster(s, &news);
	}
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
	bct_share_watch_hubs(s, now);
	welcome_new(s, now);
	send_topics(s, now);
	bct_share_crash_round(s, now);
	bct_share_part_round(s, now);
	bct_share_send_versions(s, now);
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
	bct_share_apply_versions(s, now, update);
	bct_share_crash_apply(s, update);
	bct_share_part_apply(s, now, update);
	apply_topics(s, now, update);
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

/* data: of DATAGRAM_BYTES + LATER_LISTS_BYTES */
static void on_datagram(bct_share_t *s, uint8_t *data, size_t len)
{
	share_update update = { 0 };
	XDR x;

	if (!bct_share_authentic(s, data, len)) {
		BCT_GATE_COUNT(s->gate, SHARES_REFUSED);
		return;
	}
	/* The last lists are missing in a datagram of an older node: zeros decode as empty ones. */
	memset(data + len - BCT_SHARE_MAC_BYTES, 0, LATER_LISTS_BYTES);
	xdrmem_create(&x, (char *)data, (u_int)(len - BCT_SHARE_MAC_BYTES + LATER_LISTS_BYTES),
		      XDR_DECODE);
	if (xdr_share_update(&x, &update) && is_fresh(s, &update))
		apply_update(s, &update);
	else
		BCT_GATE_COUNT(s->gate, SHARES_REFUSED);
	xdr_free((xdrproc_t)xdr_share_update, (char *)&update);
	xdr_destroy(&x);
}

static void on_readable(evutil_socket_t fd, short what, void *ctx)
{
	uint8_t data[DATAGRAM_BYTES + LATER_LISTS_BYTES];
	ssize_t n;

	(void)what;
	while ((n = recv(fd, data, DATAGRAM_BYTES, MSG_DONTWAIT)) > 0)
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
	bct_list_init(&s->topics);
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
