/*
 * race_peer.c - calls peers from many threads at once while they exchange datagrams, to be run
 * under the thread sanitizer.
 */
#include "base/err.h"
#include "coord/peer.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define SECRET "0123456789abcdef0123456789abcdef"
#define NODES 4
#define ROUNDS 60
#define DOC "document"

/*
 * Models the lock of the daemon's state: callbacks take it, and the daemon holds it in some calls
 * to the peer. If the peer held its own lock in a callback, this would show as a deadlock or as a
 * lock-order inversion.
 */
static pthread_mutex_t state_lock = PTHREAD_MUTEX_INITIALIZER;
static uint64_t callbacks;
static bct_peer_t *peers[NODES];

static void count(void)
{
	pthread_mutex_lock(&state_lock);
	callbacks++;
	pthread_mutex_unlock(&state_lock);
}

static void on_member(void *ctx, bct_member_event_type_t type, const bct_member_t *member)
{
	(void)ctx;
	(void)type;
	(void)member;
	count();
}

static void on_total(void *ctx, const bct_total_t *total)
{
	(void)ctx;
	(void)total;
	count();
}

static void on_report(void *ctx, const bct_report_t *report)
{
	(void)ctx;
	(void)report;
	count();
}

static int get_config(void *ctx, uint64_t have, uint64_t revision, uint64_t offset, uint8_t *out,
		      uint32_t max, bct_peer_config_t *info)
{
	uint32_t len = sizeof(DOC) - (uint32_t)offset;

	(void)ctx;
	(void)have;
	if (offset > sizeof(DOC))
		return -BCT_ENOT_FOUND;
	memset(info, 0, sizeof(*info));
	info->revision = revision;
	info->total_bytes = sizeof(DOC);
	len = len < max ? len : max;
	memcpy(out, &DOC[offset], len);
	return (int)len;
}

static int offer_config(void *ctx, uint64_t have, uint64_t revision, const bct_digest_t *digest,
			const void *doc, size_t len)
{
	bct_peer_t **p = ctx;

	(void)have;
	(void)doc;
	(void)len;
	count();
	bct_peer_set_revision(*p, revision, digest);
	return 0;
}

static const bct_peer_ops_t ops = { .member = on_member,
				    .total = on_total,
				    .report = on_report,
				    .get_config = get_config,
				    .offer_config = offer_config };

static void publish(bct_peer_t *p, int round)
{
	bct_item_t items[] = { { .type = BCT_ITEM_RETRY, .v = { round } },
			       { .type = BCT_ITEM_SUSPECT, .key = 1, .v = { round, 0, 0, 9000 } } };
	bct_report_t r = { .upstream_key = 5, .boot_id = 1, .running = (uint32_t)round };
	uint64_t key = 5, due;

	r.seq = (uint64_t)round + 1;
	bct_peer_publish(p, items, 2);
	if (round == 0)
		bct_peer_engines(p, &key, 1);
	if (bct_peer_watch_due(p, &due, 1))
		bct_peer_polled(p, &r);
}

static void *caller_main(void *arg)
{
	bct_peer_t *p = arg;

	for (int i = 0; i < ROUNDS; i++) {
		bct_member_t members[NODES];
		bct_digest_t digest = { { (uint8_t)i } };
		bct_entry_list_t list;
		bct_buf_t out;

		/* The daemon also holds its lock while it publishes. */
		pthread_mutex_lock(&state_lock);
		publish(p, i);
		pthread_mutex_unlock(&state_lock);
		bct_peer_members(p, members, NODES);
		bct_peer_entry_list(p, "fd", &list);
		bct_peer_set_load(p, (uint32_t)(i * 150) % 1000);
		if (p == peers[0])
			bct_peer_set_revision(p, (uint64_t)i / 20 + 1, &digest);
		bct_buf_init(&out, 0);
		bct_peer_counters_print(p, &out);
		bct_buf_free(&out);
		if (i == ROUNDS / 2 && p == peers[1])
			bct_peer_set_leaving(p);
		nanosleep(&(struct timespec){ .tv_nsec = 50000000 }, NULL);
	}
	return NULL;
}

int main(void)
{
	pthread_t threads[NODES * 2];
	bct_addr_t seed;

	for (int i = 0; i < NODES; i++) {
		bct_peer_opts_t o = { .ops = &ops,
				      .ctx = &peers[i],
				      .bind_address = "127.0.0.1",
				      .secret = SECRET,
				      .secret_bytes = sizeof(SECRET) - 1,
				      .name = (const char *[]){ "a", "b", "c", "d" }[i],
				      .seeds = &seed,
				      .n_seeds = i > 0 };

		if (i)
			bct_addr_parse("127.0.0.1", bct_peer_port(peers[0]), &seed);
		if (bct_peer_new(&o, &peers[i]) || bct_peer_start(peers[i]))
			return EXIT_FAILURE;
	}
	for (int i = 0; i < NODES * 2; i++)
		pthread_create(&threads[i], NULL, caller_main, peers[i % NODES]);
	for (int i = 0; i < NODES * 2; i++)
		pthread_join(threads[i], NULL);
	for (int i = 0; i < NODES; i++)
		bct_peer_free(peers[i]);
	printf("race_peer: %lu callbacks\n", (unsigned long)callbacks);
	return callbacks ? EXIT_SUCCESS : EXIT_FAILURE;
}
