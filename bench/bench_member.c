/*
 * bench_member.c - control traffic and memory of a node, and propagation times of membership and
 * totals, by fleet size, on the network of vnet.h in virtual time. Prints JSON. Bytes include the
 * UDP and IP headers, 28 for each datagram.
 */
#include "base/err.h"
#include "bench/vnet.h"
#include "coord/entry.h"

#include <jansson.h>
#include <malloc.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define SIZES_MAX 16
#define SETTLE_MS 300000 /* longest wait for the fleet to converge */
#define WARM_UP_MS 60000 /* between joining and the measurement */
#define WAIT_MS 60000	 /* longest wait for a removal or a new total */
#define MODELS 7
#define ENGINES_PER_NODE 2.2 /* 770 engines, 350 nodes */
#define REQUESTS_PER_S 12    /* of a node: 4,200 of the fleet / 350 nodes */
#define ACTIVE_WINDOW_S 5    /* an account's items are published this long after a request */
#define ACCOUNTS_MIN 10
#define ITEMS_MAX 512
#define STEP_TOLERANCE 10 /* a total has propagated when it is off by 1/10 at most */

/* The load that the nodes publish and the engines report. */
typedef struct load {
	uint32_t accounts;
	int64_t retry_value; /* that each node publishes in its RETRY item */
	bct_time_t last_request[VNET_NODES_MAX][VNET_NODES_MAX]; /* [node][account] */
	bct_report_t engines[BCT_WATCH_ENGINES_MAX];		 /* by upstream key - 1 */
} load_t;

/* A random value within 20% of v. */
static int64_t jitter(bct_rng_t *rng, int64_t v)
{
	return v - v / 5 + bct_rng_below(rng, (uint32_t)(v * 2 / 5 + 1));
}

static void add_item(bct_item_t *items, uint32_t *n, bct_rng_t *rng, bct_item_type_t type,
		     uint64_t key, uint64_t key2)
{
	bct_item_t *it = &items[(*n)++];

	*it = (bct_item_t){ .type = type, .key = key, .key2 = key2 };
	for (int i = 0; i < BCT_ITEM_VALUES; i++)
		it->v[i] = jitter(rng, 1000);
}

/*
 * Publishes the items of a busy node: all tiers, the engines of its subset, the accounts of its
 * requests in the last ACTIVE_WINDOW_S, and one RETRY item of a known value.
 */
static void publish_node(vnet_t *net, load_t *load, vnode_t *node)
{
	uint32_t engines = net->n_engines < BCT_WATCH_SUBSET ? net->n_engines : BCT_WATCH_SUBSET;
	uint64_t first = net->n_engines ? node->index * 7u % net->n_engines : 0;
	bct_item_t items[ITEMS_MAX];
	uint32_t n = 0;

	for (uint32_t model = 1; model <= MODELS; model++) {
		for (uint32_t tier = 1; tier <= BCT_TIERS; tier++)
			add_item(items, &n, &net->rng, BCT_ITEM_TIER, model, tier);
	}
	for (uint32_t i = 0; i < engines; i++)
		add_item(items, &n, &net->rng, BCT_ITEM_UPSTREAM,
			 net->engines[(first + i) % net->n_engines], 0);
	for (uint32_t i = 0; i < REQUESTS_PER_S; i++)
		load->last_request[node->index][bct_rng_below(&net->rng, load->accounts)] =
			net->now;
	for (uint32_t a = 0; a < load->accounts; a++) {
		if (net->now - load->last_request[node->index][a] < ACTIVE_WINDOW_S * BCT_MS_PER_S)
			add_item(items, &n, &net->rng, BCT_ITEM_ACCOUNT, a + 1, 0);
	}
	items[n++] = (bct_item_t){ .type = BCT_ITEM_RETRY, .v = { load->retry_value } };
	if (bct_totals_publish(node->totals, net->now, items, n))
		abort();
}

/* Answers the polls of engines that are due at this node with random reports. */
static void poll_engines(vnet_t *net, load_t *load, vnode_t *node)
{
	uint64_t due[64];
	uint32_t n = bct_watch_due(node->watch, net->now, due, 64);

	for (uint32_t i = 0; i < n; i++) {
		bct_report_t *r = &load->engines[due[i] - 1];

		r->seq++;
		r->running = (uint32_t)jitter(&net->rng, 60);
		r->waiting = (uint32_t)jitter(&net->rng, 10);
		r->kv_used_tokens = (uint32_t)jitter(&net->rng, 400000);
		r->tokens_per_s = (uint32_t)jitter(&net->rng, 1500);
		r->running_by_tier[due[i] % BCT_TIERS] = r->running;
		bct_watch_polled(node->watch, net->now, r);
	}
}

/* vnet_t.check: lets each node poll engines every 100 ms and publish every second. */
static void generate_load(vnet_t *net)
{
	load_t *load = net->ctx;

	for (uint32_t i = 0; i < net->n; i++) {
		vnode_t *node = &net->nodes[i];

		/* Offset by 37 ms from node to node, so that the load is spread over time. */
		if (!node->up || (net->now + i * 37) % 100)
			continue;
		poll_engines(net, load, node);
		if ((net->now + i * 37) % 1000 == 0)
			publish_node(net, load, node);
	}
}

/* A network with 2.2 engines per node, 0.1% loss and delays of 1 to 5 ms; no node runs yet. */
static vnet_t *fleet_new(uint32_t n, uint64_t seed, load_t *load)
{
	vnet_t *net = vnet_new(seed);

	if (!net)
		abort();
	memset(load, 0, sizeof(*load));
	load->retry_value = 1000;
	load->accounts = n > ACCOUNTS_MIN ? n : ACCOUNTS_MIN;
	net->n_engines = (uint32_t)(n * ENGINES_PER_NODE);
	for (uint32_t i = 0; i < net->n_engines; i++) {
		net->engines[i] = i + 1;
		load->engines[i] = (bct_report_t){ .upstream_key = i + 1,
						   .boot_id = 1,
						   .kv_total_tokens = 500000 };
	}
	net->ctx = load;
	net->check = generate_load;
	net->loss_permille = 1;
	net->delay_max_ms = 5;
	return net;
}

/* Whether some node still gives out a slot's process as an entry address, or may select it. */
static bool listed_anywhere(vnet_t *net, uint32_t index)
{
	for (uint32_t i = 0; i < net->n; i++) {
		const bct_member_t *m;

		if (i == index || !net->nodes[i].up)
			continue;
		m = vnet_find_member(net, i, index);
		if (m && m->liveness == BCT_MEMBER_ALIVE && !m->leaving)
			return true;
	}
	return false;
}

/* Virtual seconds until no node lists the slot's process as an entry; at most WAIT_MS. */
static double removal_s(vnet_t *net, uint32_t index)
{
	bct_time_t start = net->now;

	while (listed_anywhere(net, index) && net->now - start < WAIT_MS)
		vnet_run(net, 10);
	return (double)(net->now - start) / BCT_MS_PER_S;
}

typedef struct removal {
	double mean_s;
	double max_s;
} removal_t;

/* Virtual milliseconds until the fleet has converged, in steps of 100; -1: not in SETTLE_MS. */
static bct_time_t converge_ms(vnet_t *net)
{
	bct_time_t start = net->now;

	while (!vnet_converged(net)) {
		if (net->now - start > SETTLE_MS)
			return -1;
		vnet_run(net, 100);
	}
	return net->now - start;
}

/*
 * Mean and maximum time in which a process that crashes, or announces that it is leaving, is
 * removed from all entry lists. Restarts it after each trial.
 */
static removal_t measure_removal(vnet_t *net, uint32_t trials, bool leave)
{
	removal_t s = { 0 };

	for (uint32_t i = 0; i < trials; i++) {
		uint32_t victim = 1 + i % (net->n - 1);
		double took;

		vnet_run(net, bct_rng_below(&net->rng, 1000));
		if (leave)
			vnet_leave(net, victim);
		else
			vnet_crash(net, victim);
		took = removal_s(net, victim);
		s.mean_s += took / trials;
		s.max_s = took > s.max_s ? took : s.max_s;
		vnet_start(net, victim, 0);
		if (converge_ms(net) < 0)
			fprintf(stderr,
				"bench_member: the fleet did not converge after a restart\n");
	}
	return s;
}

/* Whether the total of the RETRY items is within 1/STEP_TOLERANCE of `expected` at all nodes. */
static bool step_propagated(vnet_t *net, int64_t expected)
{
	for (uint32_t i = 0; i < net->n; i++) {
		bct_total_t t;

		if (bct_totals_get(net->nodes[i].totals, net->now, BCT_ITEM_RETRY, 0, 0, &t) ||
		    llabs(t.item.v[0] - expected) > expected / STEP_TOLERANCE)
			return false;
	}
	return true;
}

/* All nodes double a value at once: seconds until each has the new total to within 10%. */
static double step_propagation_s(vnet_t *net, load_t *load)
{
	bct_time_t start = net->now;

	load->retry_value *= 2;
	while (!step_propagated(net, load->retry_value * net->n) && net->now - start < WAIT_MS)
		vnet_run(net, 100);
	return (double)(net->now - start) / BCT_MS_PER_S;
}

static double cpu_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

/* Counters of all nodes, added up. Bytes include the UDP and IP headers. */
typedef struct sums {
	uint64_t sent, sent_bytes, received, received_bytes;
	uint64_t by_kind[VNET_KINDS];
	uint64_t totals_received, total_age_ms, reports;
	uint64_t peak_bytes;	  /* sent and received by the busiest node */
	uint64_t peak_sent_bytes; /* by the node that sent most */
} sums_t;

static void sums_collect(const vnet_t *net, sums_t *s)
{
	memset(s, 0, sizeof(*s));
	for (uint32_t i = 0; i < net->n; i++) {
		const vnode_t *n = &net->nodes[i];
		uint64_t all = n->sent_bytes + n->received_bytes +
			       (n->sent + n->received) * VNET_UDP_IP_BYTES;

		s->sent += n->sent;
		s->sent_bytes += n->sent_bytes + n->sent * VNET_UDP_IP_BYTES;
		s->received += n->received;
		s->received_bytes += n->received_bytes + n->received * VNET_UDP_IP_BYTES;
		s->totals_received += n->totals_received;
		s->total_age_ms += n->total_age_ms;
		s->reports += n->reports;
		if (n->sent_bytes + n->sent * VNET_UDP_IP_BYTES > s->peak_sent_bytes)
			s->peak_sent_bytes = n->sent_bytes + n->sent * VNET_UDP_IP_BYTES;
		s->peak_bytes = all > s->peak_bytes ? all : s->peak_bytes;
		for (int k = 0; k < VNET_KINDS; k++)
			s->by_kind[k] += n->sent_by_kind[k];
	}
}

static void reset_counters(vnet_t *net)
{
	for (uint32_t i = 0; i < net->n; i++) {
		vnode_t *n = &net->nodes[i];

		n->sent = n->sent_bytes = n->received = n->received_bytes = 0;
		n->totals_received = n->reports = 0;
		n->total_age_ms = 0;
		memset(n->sent_by_kind, 0, sizeof(n->sent_by_kind));
	}
}

/* Bytes sent per second and node by purpose; node_s is seconds times nodes. */
static json_t *kinds_json(const sums_t *s, double node_s)
{
	return json_pack("{s:f,s:f,s:f,s:f,s:f}", "probe", (double)s->by_kind[PEER_PING] / node_s,
			 "gossip",
			 (double)(s->by_kind[PEER_GOSSIP] + s->by_kind[PEER_PING_REQ]) / node_s,
			 "sync", (double)s->by_kind[PEER_SYNC] / node_s, "totals",
			 (double)s->by_kind[PEER_PARTS] / node_s, "reports",
			 (double)s->by_kind[PEER_REPORTS] / node_s);
}

/* Traffic and processor time per node without membership changes, over this many seconds. */
static json_t *steady_json(vnet_t *net, uint32_t seconds)
{
	double node_s = (double)net->n * seconds, cpu;
	sums_t s;

	reset_counters(net);
	cpu = cpu_s();
	vnet_run(net, (bct_time_t)seconds * BCT_MS_PER_S);
	cpu = cpu_s() - cpu;
	sums_collect(net, &s);
	return json_pack(
		"{s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:i,s:o}", "sent_bytes_per_s",
		(double)s.sent_bytes / node_s, "received_bytes_per_s",
		(double)s.received_bytes / node_s, "busiest_node_sent_bytes_per_s",
		(double)s.peak_sent_bytes / seconds, "busiest_node_bytes_per_s",
		(double)s.peak_bytes / seconds, "sent_per_s", (double)s.sent / node_s,
		"received_per_s", (double)s.received / node_s, "cpu_percent", 100 * cpu / node_s,
		"total_age_mean_ms",
		s.totals_received ? (double)s.total_age_ms / (double)s.totals_received : 0.0,
		"totals_per_s", (double)s.totals_received / node_s, "reports_per_s",
		(double)s.reports / node_s, "max_datagram_bytes", (int)net->max_datagram_bytes,
		"sent_bytes_per_s_by_kind", kinds_json(&s, node_s));
}

static size_t heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

/* Runs a fleet of n nodes and makes its row of the results. */
static json_t *measure(uint32_t n, uint64_t seed, uint32_t seconds, uint32_t trials)
{
	static load_t load;
	size_t before = heap_bytes();
	vnet_t *net = fleet_new(n, seed, &load);
	bct_time_t join_ms;
	removal_t crashed, leaving;
	double memory, step;
	json_t *steady;

	vnet_start_all(net, n);
	join_ms = converge_ms(net);
	vnet_run(net, WARM_UP_MS);
	steady = steady_json(net, seconds);
	memory = (double)(heap_bytes() - before - sizeof(*net)) / n;
	step = step_propagation_s(net, &load);
	crashed = measure_removal(net, trials, false);
	leaving = measure_removal(net, trials, true);
	vnet_free(net);
	return json_pack("{s:i,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:o}", "nodes", (int)n, "join_all_s",
			 (double)join_ms / BCT_MS_PER_S, "memory_bytes", memory,
			 "dead_off_list_mean_s", crashed.mean_s, "dead_off_list_max_s",
			 crashed.max_s, "leaving_everywhere_mean_s", leaving.mean_s,
			 "leaving_everywhere_max_s", leaving.max_s, "total_step_everywhere_s", step,
			 "steady", steady);
}

int main(int argc, const char **argv)
{
	const char *sizes = "3,7,14,28,56,112,350", *path = NULL;
	int seconds = 60, trials = 10, seed = 1, rc;
	struct poptOption options[] = {
		{ "sizes", 'n', POPT_ARG_STRING, &sizes, 0, "fleet sizes, 2 to 512 nodes each",
		  "N,N,..." },
		{ "seconds", 's', POPT_ARG_INT, &seconds, 0, "virtual seconds measured", "S" },
		{ "trials", 't', POPT_ARG_INT, &trials, 0, "crashes and leaves per size", "N" },
		{ "seed", 0, POPT_ARG_INT, &seed, 0, "seed of the run", "N" },
		{ "output", 'o', POPT_ARG_STRING, &path, 0,
		  "write the JSON to this file, not to the standard output", "FILE" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext ctx = poptGetContext(NULL, argc, argv, options, 0);
	json_t *rows = json_array();

	rc = poptGetNextOpt(ctx);
	if (rc < -1 || seconds < 1 || trials < 1) {
		fprintf(stderr, "bench_member: %s\n", poptStrerror(rc));
		return EXIT_FAILURE;
	}
	for (const char *p = sizes; *p;) {
		char *end;
		uint32_t n = (uint32_t)strtoul(p, &end, 10);

		if (n < 2 || n > VNET_NODES_MAX || end == p)
			return EXIT_FAILURE;
		json_array_append_new(
			rows, measure(n, (uint64_t)seed, (uint32_t)seconds, (uint32_t)trials));
		fprintf(stderr, "%u nodes done\n", n);
		p = *end ? end + 1 : end;
	}
	rc = path ? json_dump_file(rows, path, JSON_INDENT(1) | JSON_REAL_PRECISION(5))
		  : json_dumpf(rows, stdout, JSON_INDENT(1) | JSON_REAL_PRECISION(5));
	json_decref(rows);
	poptFreeContext(ctx);
	return rc ? EXIT_FAILURE : EXIT_SUCCESS;
}
