/*
 * bench_peer.c - peers with real sockets and threads in one process, by fleet size: processor time
 * with system calls, traffic, and how long a configuration takes to reach all nodes from a peer
 * while there is no log. Prints JSON.
 */
#include "base/err.h"
#include "coord/peer.h"

#include <jansson.h>
#include <popt.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>

#define SECRET "0123456789abcdef0123456789abcdef"
#define NODES_MAX 56
#define WAIT_MS 60000	/* longest wait for joining or for a revision */
#define UDP_IP_BYTES 28 /* headers of a datagram */
#define ITEMS 40	/* that a node publishes each second */

typedef struct node {
	pthread_mutex_t lock; /* of revision and adopted_at */
	bct_peer_t *peer;
	uint64_t revision; /* latest that was offered */
	bct_time_t adopted_at;
} node_t;

static node_t nodes[NODES_MAX];
static uint8_t *doc; /* the same content at every revision */
static uint32_t doc_bytes;
static bct_digest_t doc_digest;

/* Copies a part of the document for a peer. Ignores `have`: peers fetch the complete document. */
static int get_config(void *ctx, uint64_t have, uint64_t revision, uint64_t offset, uint8_t *out,
		      uint32_t max, bct_peer_config_t *info)
{
	uint32_t len;

	(void)ctx;
	(void)have;
	if (offset > doc_bytes)
		return -BCT_ENOT_FOUND;
	*info = (bct_peer_config_t){ revision, doc_digest, doc_bytes };
	len = doc_bytes - (uint32_t)offset;
	len = len < max ? len : max;
	memcpy(out, doc + offset, len);
	return (int)len;
}

/* Adopts a document that was fetched from a peer. */
static int offer_config(void *ctx, uint64_t have, uint64_t revision, const bct_digest_t *digest,
			const void *data, size_t len)
{
	node_t *n = ctx;

	(void)have;
	if (len != doc_bytes || memcmp(data, doc, len))
		abort();
	pthread_mutex_lock(&n->lock);
	n->revision = revision;
	n->adopted_at = bct_clock_now();
	pthread_mutex_unlock(&n->lock);
	bct_peer_set_revision(n->peer, revision, digest);
	return 0;
}

static const bct_peer_ops_t ops = { .get_config = get_config, .offer_config = offer_config };

static void sleep_ms(uint32_t ms)
{
	struct timespec ts = { .tv_sec = ms / 1000, .tv_nsec = (long)(ms % 1000) * 1000000 };

	nanosleep(&ts, NULL);
}

/* Processor time of the process so far, in user and system mode. */
static double cpu_s(void)
{
	struct rusage u;

	getrusage(RUSAGE_SELF, &u);
	return (double)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) +
	       (double)(u.ru_utime.tv_usec + u.ru_stime.tv_usec) / 1e6;
}

/* Starts n peers; each but the first has the first as seed. */
static void fleet_start(uint32_t n)
{
	bct_addr_t seed;

	for (uint32_t i = 0; i < n; i++) {
		char name[16];
		bct_peer_opts_t o = { .ops = &ops,
				      .ctx = &nodes[i],
				      .bind_address = "127.0.0.1",
				      .secret = SECRET,
				      .secret_bytes = sizeof(SECRET) - 1,
				      .name = name,
				      .failure_domain = "fd",
				      .region = "r",
				      .seeds = &seed,
				      .n_seeds = i > 0 };

		memset(&nodes[i], 0, sizeof(nodes[i]));
		pthread_mutex_init(&nodes[i].lock, NULL);
		snprintf(name, sizeof(name), "vm-%u", i);
		if (i)
			bct_addr_parse("127.0.0.1", bct_peer_port(nodes[0].peer), &seed);
		if (bct_peer_new(&o, &nodes[i].peer) || bct_peer_start(nodes[i].peer))
			abort();
	}
}

static bool all_joined(uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		bct_fleet_t f;

		bct_peer_fleet(nodes[i].peer, &f);
		if (f.nodes != n)
			return false;
	}
	return true;
}

/* Whether all nodes but node 0 have the revision. */
static bool all_adopted(uint32_t n, uint64_t revision)
{
	bool all = true;

	for (uint32_t i = 1; i < n && all; i++) {
		pthread_mutex_lock(&nodes[i].lock);
		all = nodes[i].revision == revision;
		pthread_mutex_unlock(&nodes[i].lock);
	}
	return all;
}

/* Publishes items of all nodes, with values that change from round to round. */
static void publish_all(uint32_t n, uint32_t round)
{
	bct_item_t items[ITEMS];

	for (uint32_t i = 0; i < n; i++) {
		for (uint32_t k = 0; k < ITEMS; k++) {
			int64_t v = 1000 + (int64_t)((round * 7 + k * 3 + i) % 5) * 100;

			items[k] = (bct_item_t){ .type = BCT_ITEM_TIER, .key = k, .v = { v, v } };
		}
		bct_peer_publish(nodes[i].peer, items, ITEMS);
	}
}

/* Bytes sent and received by the first n peers so far, with headers. */
static uint64_t traffic_bytes(uint32_t n)
{
	uint64_t all = 0;

	for (uint32_t i = 0; i < n; i++) {
		bct_peer_t *p = nodes[i].peer;

		all += bct_peer_counter(p, BCT_PEER_SENT_BYTES) +
		       bct_peer_counter(p, BCT_PEER_RECEIVED_BYTES) +
		       UDP_IP_BYTES * (bct_peer_counter(p, BCT_PEER_SENT) +
				       bct_peer_counter(p, BCT_PEER_RECEIVED));
	}
	return all;
}

/* Sets a revision at node 0 only, as if the log were down; returns seconds until all have it. */
static double propagation_s(uint32_t n, uint64_t revision)
{
	bct_time_t start = bct_clock_now();

	bct_peer_set_revision(nodes[0].peer, revision, &doc_digest);
	while (!all_adopted(n, revision) && bct_clock_now() - start < WAIT_MS)
		sleep_ms(5);
	return (double)(bct_clock_now() - start) / BCT_MS_PER_S;
}

/* Runs a fleet of n nodes and makes its row of the results. */
static json_t *measure(uint32_t n, uint32_t seconds)
{
	bct_time_t start = bct_clock_now();
	double join_s, first_s, second_s, cpu, bytes;

	fleet_start(n);
	while (!all_joined(n) && bct_clock_now() - start < WAIT_MS)
		sleep_ms(10);
	join_s = (double)(bct_clock_now() - start) / BCT_MS_PER_S;
	first_s = propagation_s(n, 1);
	second_s = propagation_s(n, 2);
	sleep_ms(2000);
	cpu = cpu_s();
	bytes = (double)traffic_bytes(n);
	for (uint32_t i = 0; i < seconds; i++) {
		publish_all(n, i);
		sleep_ms(1000);
	}
	cpu = cpu_s() - cpu;
	bytes = (double)traffic_bytes(n) - bytes;
	for (uint32_t i = 0; i < n; i++)
		bct_peer_free(nodes[i].peer);
	return json_pack("{s:i,s:f,s:f,s:f,s:i,s:f,s:f}", "nodes", (int)n, "join_all_s", join_s,
			 "first_revision_everywhere_s", first_s, "next_revision_everywhere_s",
			 second_s, "document_bytes", (int)doc_bytes, "cpu_percent",
			 100 * cpu / seconds / n, "sent_and_received_bytes_per_s",
			 bytes / seconds / n);
}

static void make_doc(uint32_t bytes)
{
	doc = malloc(bytes);
	doc_bytes = bytes;
	for (uint32_t i = 0; i < bytes; i++)
		doc[i] = (uint8_t)(i * 131 + i / 256);
	bct_digest(doc, bytes, &doc_digest);
}

int main(int argc, const char **argv)
{
	static const uint32_t sizes[] = { 3, 7, 14, 28, 56 };
	int seconds = 15, bytes = 20000, rc;
	const char *path = NULL;
	struct poptOption options[] = {
		{ "seconds", 's', POPT_ARG_INT, &seconds, 0, "seconds measured per fleet size",
		  "S" },
		{ "document", 'd', POPT_ARG_INT, &bytes, 0, "size of the configuration", "BYTES" },
		{ "output", 'o', POPT_ARG_STRING, &path, 0,
		  "write the JSON to this file, not to the standard output", "FILE" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext ctx = poptGetContext(NULL, argc, argv, options, 0);
	json_t *rows = json_array();

	rc = poptGetNextOpt(ctx);
	if (rc < -1 || seconds < 1 || bytes < 1) {
		fprintf(stderr, "bench_peer: %s\n", poptStrerror(rc));
		return EXIT_FAILURE;
	}
	make_doc((uint32_t)bytes);
	for (uint32_t i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
		json_array_append_new(rows, measure(sizes[i], (uint32_t)seconds));
		fprintf(stderr, "%u nodes done\n", sizes[i]);
	}
	rc = path ? json_dump_file(rows, path, JSON_INDENT(1) | JSON_REAL_PRECISION(5))
		  : json_dumpf(rows, stdout, JSON_INDENT(1) | JSON_REAL_PRECISION(5));
	json_decref(rows);
	free(doc);
	poptFreeContext(ctx);
	return rc ? EXIT_FAILURE : EXIT_SUCCESS;
}
