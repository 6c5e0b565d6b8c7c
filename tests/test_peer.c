/*
 * test_peer.c - peers on real loopback sockets: joining, leaving, totals, reports, hand-off, and
 * refusal of forged and replayed datagrams. The tests wait for conditions and check no timing.
 */
#include "base/err.h"
#include "coord/peer.h"
#include "coord/wire.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define SECRET "0123456789abcdef0123456789abcdef"
#define WAIT_MS 30000
#define DOC_BYTES 5001 /* not a multiple of 4: the last chunk is padded on the wire */

/* A node and the latest values that its callbacks received. */
typedef struct node {
	pthread_mutex_t lock;
	bct_peer_t *peer;
	bct_total_t total;
	bct_total_t suspect;
	bct_report_t report;
	uint32_t reports;
	uint64_t leaving_key;
	uint64_t revision;
	char doc[DOC_BYTES];
	bct_digest_t digest;
} node_t;

static void on_total(void *ctx, const bct_total_t *t)
{
	node_t *n = ctx;

	pthread_mutex_lock(&n->lock);
	if (t->item.type == BCT_ITEM_SUSPECT)
		n->suspect = *t;
	else
		n->total = *t;
	pthread_mutex_unlock(&n->lock);
}

static void on_report(void *ctx, const bct_report_t *r)
{
	node_t *n = ctx;

	pthread_mutex_lock(&n->lock);
	n->report = *r;
	n->reports++;
	pthread_mutex_unlock(&n->lock);
}

static void on_leaving(void *ctx, uint64_t key, bool leaving)
{
	node_t *n = ctx;

	pthread_mutex_lock(&n->lock);
	n->leaving_key = leaving ? key : 0;
	pthread_mutex_unlock(&n->lock);
}

static int get_config(void *ctx, uint64_t have, uint64_t revision, uint64_t offset, uint8_t *out,
		      uint32_t max, bct_peer_config_t *info)
{
	node_t *n = ctx;
	uint32_t len;

	(void)have;
	pthread_mutex_lock(&n->lock);
	*info = (bct_peer_config_t){ n->revision, n->digest, DOC_BYTES };
	pthread_mutex_unlock(&n->lock);
	if (info->revision != revision || offset > DOC_BYTES)
		return -BCT_ENOT_FOUND;
	len = DOC_BYTES - offset < max ? (uint32_t)(DOC_BYTES - offset) : max;
	memcpy(out, n->doc + offset, len);
	return (int)len;
}

static int offer_config(void *ctx, uint64_t have, uint64_t revision, const bct_digest_t *digest,
			const void *doc, size_t len)
{
	node_t *n = ctx;
	bct_digest_t actual;

	(void)have;
	bct_digest(doc, len, &actual);
	if (len != DOC_BYTES || memcmp(&actual, digest, sizeof(actual)))
		return -BCT_EDIVERGED;
	pthread_mutex_lock(&n->lock);
	memcpy(n->doc, doc, len);
	n->digest = actual;
	n->revision = revision;
	pthread_mutex_unlock(&n->lock);
	bct_peer_set_revision(n->peer, revision, digest);
	return 0;
}

static const bct_peer_ops_t ops = { .total = on_total,
				    .report = on_report,
				    .upstream_leaving = on_leaving,
				    .get_config = get_config,
				    .offer_config = offer_config };

static void node_start(node_t *n, int i, const char *secret, uint16_t seed_port)
{
	bct_addr_t seed;
	char name[16];
	bct_peer_opts_t o = { .ops = &ops,
			      .ctx = n,
			      .bind_address = "127.0.0.1",
			      .secret = secret,
			      .secret_bytes = strlen(secret),
			      .name = name,
			      .failure_domain = i % 2 ? "fd-a" : "fd-b",
			      .region = "r",
			      .caller_address = "127.0.0.1",
			      .caller_port = (uint16_t)(1000 + i) };

	memset(n, 0, sizeof(*n));
	pthread_mutex_init(&n->lock, NULL);
	snprintf(name, sizeof(name), "n%d", i);
	bct_addr_parse("127.0.0.1", seed_port, &seed);
	o.seeds = &seed;
	o.n_seeds = seed_port != 0;
	cr_assert_eq(bct_peer_new(&o, &n->peer), 0);
	cr_assert_eq(bct_peer_start(n->peer), 0);
}

static void fleet_start(node_t *nodes, int n)
{
	for (int i = 0; i < n; i++)
		node_start(&nodes[i], i, SECRET, i ? bct_peer_port(nodes[0].peer) : 0);
}

static void fleet_stop(node_t *nodes, int n)
{
	for (int i = 0; i < n; i++)
		bct_peer_free(nodes[i].peer);
}

static void sleep_10_ms(void)
{
	nanosleep(&(struct timespec){ .tv_nsec = 10000000 }, NULL);
}

#define WAIT_FOR(cond)                                                     \
	do {                                                               \
		bct_time_t deadline_ = bct_clock_now() + WAIT_MS;          \
		while (!(cond) && bct_clock_now() < deadline_)             \
			sleep_10_ms();                                     \
		cr_assert(cond, "did not become true in time: %s", #cond); \
	} while (0)

/* Number of members that a node does not believe dead. */
static uint32_t live(node_t *n)
{
	bct_fleet_t f;

	bct_peer_fleet(n->peer, &f);
	return f.nodes;
}

static bool all_live(node_t *nodes, int n, uint32_t expected)
{
	for (int i = 0; i < n; i++) {
		if (live(&nodes[i]) != expected)
			return false;
	}
	return true;
}

/* Number of entries for an incarnation in a node's entry list. */
static uint32_t listed(node_t *n, uint64_t incarnation)
{
	bct_entry_list_t l;
	uint32_t found = 0;

	bct_peer_entry_list(n->peer, "fd-a", &l);
	for (uint32_t i = 0; i < l.n; i++)
		found += l.entries[i].incarnation == incarnation;
	return found;
}

Test(peer, joins_through_one_seed_and_detects_a_crash)
{
	node_t nodes[5];

	fleet_start(nodes, 5);
	WAIT_FOR(all_live(nodes, 5, 5));
	bct_peer_free(nodes[4].peer);
	WAIT_FOR(all_live(nodes, 4, 4));
	fleet_stop(nodes, 4);
}

Test(peer, leaving_removes_a_node_from_every_entry_list)
{
	node_t nodes[3];
	uint64_t id;

	fleet_start(nodes, 3);
	WAIT_FOR(all_live(nodes, 3, 3));
	id = bct_peer_incarnation(nodes[1].peer);
	WAIT_FOR(listed(&nodes[0], id) && listed(&nodes[1], id) && listed(&nodes[2], id));
	bct_peer_set_leaving(nodes[1].peer);
	cr_assert_eq(listed(&nodes[1], id), 0, "a leaving node must not list itself");
	WAIT_FOR(!listed(&nodes[0], id) && !listed(&nodes[2], id));
	cr_assert(all_live(nodes, 3, 3), "a leaving node must remain a member");
	fleet_stop(nodes, 3);
}

static bool total_is(node_t *n, uint32_t nodes, int64_t v)
{
	bool ok;

	pthread_mutex_lock(&n->lock);
	ok = n->total.nodes == nodes && n->total.item.v[0] == v;
	pthread_mutex_unlock(&n->lock);
	return ok;
}

static bool suspect_is(node_t *n, uint64_t key, int64_t v)
{
	bool ok;

	pthread_mutex_lock(&n->lock);
	ok = n->suspect.item.key == key && n->suspect.item.v[0] == v && n->suspect.item.v[3] > 0;
	pthread_mutex_unlock(&n->lock);
	return ok;
}

Test(peer, sums_sum_items_and_gossips_max_items)
{
	node_t nodes[3];
	bct_item_t sum = { .type = BCT_ITEM_ACCOUNT, .key = 7, .v = { 5 } };
	bct_item_t max = { .type = BCT_ITEM_SUSPECT, .key = 9, .v = { 2, 0, 0, 60000 } };

	fleet_start(nodes, 3);
	WAIT_FOR(all_live(nodes, 3, 3));
	for (int i = 0; i < 3; i++)
		cr_assert_eq(bct_peer_publish(nodes[i].peer, &sum, 1), 0);
	cr_assert_eq(bct_peer_publish(nodes[0].peer, (bct_item_t[]){ sum, max }, 2), 0);
	WAIT_FOR(total_is(&nodes[0], 3, 15) && total_is(&nodes[1], 3, 15) &&
		 total_is(&nodes[2], 3, 15));
	WAIT_FOR(suspect_is(&nodes[1], 9, 2) && suspect_is(&nodes[2], 9, 2));
	fleet_stop(nodes, 3);
}

static bool received_report(node_t *n, uint32_t running)
{
	bool ok;

	pthread_mutex_lock(&n->lock);
	ok = n->report.running == running;
	pthread_mutex_unlock(&n->lock);
	return ok;
}

static uint64_t received_leaving(node_t *n)
{
	uint64_t key;

	pthread_mutex_lock(&n->lock);
	key = n->leaving_key;
	pthread_mutex_unlock(&n->lock);
	return key;
}

Test(peer, one_watcher_polls_and_all_nodes_receive)
{
	node_t nodes[3];
	uint64_t key = 77, due;
	int watcher = -1;
	bct_report_t r = { .upstream_key = 77, .boot_id = 1, .seq = 1, .running = 3 };

	fleet_start(nodes, 3);
	WAIT_FOR(all_live(nodes, 3, 3));
	for (int i = 0; i < 3; i++)
		cr_assert_eq(bct_peer_engines(nodes[i].peer, &key, 1), 0);
	for (int i = 0; i < 3; i++) {
		if (bct_peer_watch_due(nodes[i].peer, &due, 1))
			watcher = i;
	}
	cr_assert_geq(watcher, 0);
	bct_peer_polled(nodes[watcher].peer, &r);
	WAIT_FOR(received_report(&nodes[0], 3) && received_report(&nodes[1], 3) &&
		 received_report(&nodes[2], 3));
	r.seq = 2;
	r.running = 9;
	r.leaving = true;
	bct_peer_polled(nodes[watcher].peer, &r);
	WAIT_FOR(received_report(&nodes[0], 9) && received_report(&nodes[1], 9) &&
		 received_report(&nodes[2], 9));
	WAIT_FOR(received_leaving(&nodes[0]) == key && received_leaving(&nodes[1]) == key &&
		 received_leaving(&nodes[2]) == key);
	fleet_stop(nodes, 3);
}

static bool has_revision(node_t *n, uint64_t revision)
{
	bool ok;

	pthread_mutex_lock(&n->lock);
	ok = n->revision == revision;
	pthread_mutex_unlock(&n->lock);
	return ok;
}

Test(peer, nodes_fetch_a_configuration_from_a_peer)
{
	node_t nodes[3];

	fleet_start(nodes, 3);
	for (int i = 0; i < DOC_BYTES; i++)
		nodes[0].doc[i] = (char)(i * 7);
	pthread_mutex_lock(&nodes[0].lock);
	bct_digest(nodes[0].doc, DOC_BYTES, &nodes[0].digest);
	nodes[0].revision = 4;
	pthread_mutex_unlock(&nodes[0].lock);
	bct_peer_set_revision(nodes[0].peer, 4, &nodes[0].digest);
	WAIT_FOR(has_revision(&nodes[1], 4) && has_revision(&nodes[2], 4));
	fleet_stop(nodes, 3);
}

Test(peer, a_wrong_secret_is_refused_and_never_answered)
{
	node_t nodes[2];

	node_start(&nodes[0], 0, SECRET, 0);
	node_start(&nodes[1], 1, "another secret, also long enough", bct_peer_port(nodes[0].peer));
	WAIT_FOR(bct_peer_counter(nodes[0].peer, BCT_PEER_BAD_MAC) > 1);
	cr_assert_eq(bct_peer_counter(nodes[0].peer, BCT_PEER_SENT), 0);
	cr_assert(all_live(nodes, 2, 1));
	fleet_stop(nodes, 2);
}

static int raw_socket(uint16_t port)
{
	struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	cr_assert_eq(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	return fd;
}

Test(peer, a_replayed_datagram_is_refused_and_never_answered)
{
	node_t node;
	bct_wire_t *w;
	uint8_t data[BCT_DATAGRAM_BYTES];
	peer_call call = { .kind = PEER_PING };
	uint64_t sent;
	int len, fd;

	node_start(&node, 0, SECRET, 0);
	fd = raw_socket(bct_peer_port(node.peer));
	cr_assert_eq(bct_wire_new(99, SECRET, strlen(SECRET), &w), 0);
	len = bct_wire_call(w, 0, 1, &call, data);
	cr_assert_eq(send(fd, data, (size_t)len, 0), len);
	WAIT_FOR(bct_peer_counter(node.peer, BCT_PEER_SENT) == 1);
	sent = bct_peer_counter(node.peer, BCT_PEER_SENT);
	cr_assert_eq(send(fd, data, (size_t)len, 0), len);
	WAIT_FOR(bct_peer_counter(node.peer, BCT_PEER_REPLAYED) == 1);
	cr_assert_eq(bct_peer_counter(node.peer, BCT_PEER_SENT), sent);
	cr_assert_eq(live(&node), 1, "a datagram for incarnation 0 must not add a member");
	bct_wire_free(w);
	close(fd);
	bct_peer_free(node.peer);
}

Test(peer, counters_print)
{
	node_t node;
	bct_buf_t out;

	node_start(&node, 0, SECRET, 0);
	bct_buf_init(&out, 0);
	cr_assert_eq(bct_peer_counters_print(node.peer, &out), 0);
	cr_assert_not_null(strstr(out.data, "bct_peer_refused_total{kind=\"mac\"} 0"));
	bct_buf_free(&out);
	bct_peer_free(node.peer);
}
