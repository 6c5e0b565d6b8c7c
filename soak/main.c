/*
 * main.c - soak --seed N --seconds S --nodes N [--parts] [--duties]: injects faults for S seconds,
 * ends them, and then checks that callers are served again. Exit code 1 when an invariant was
 * violated.
 */
#include "soak/soak.h"

#include <popt.h>
#include <signal.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#define FAULT_INTERVAL_MIN_MS 150
#define FAULT_INTERVAL_SPREAD_MS 700
#define WARM_UP_MS 1500		/* time before the first fault */
#define RECOVERY_MS 12000	/* callers are served again within this time after the faults end */
#define MEASURE_MS 8000		/* the success rate is measured for this long after recovery */
#define MEASURE_DUTIES_MS 18000 /* contains some whole windows of usage */
#define SERVED_MIN_PERCENT 90
#define STOP_GRACE_MS 8000U
#define PORT_BASE 18200 /* below the system's ephemeral ports */
#define NET_OCTET_VALUES 250

void soak_violation(soak_t *s, const char *invariant, const char *fmt, ...)
{
	char text[512];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	pthread_mutex_lock(&s->lock);
	if (s->violations++ < 20)
		printf("soak: %s violated at %lld ms: %s\n", invariant,
		       (long long)(bct_clock_now() - s->started_at), text);
	pthread_mutex_unlock(&s->lock);
}

/* Fills in the address and paths of node i and writes its settings file. */
static void write_settings(soak_t *s, soak_node_t *n, int i)
{
	char duty[128] = "";
	FILE *f;

	if (s->with_duties)
		snprintf(duty, sizeof(duty),
			 "\"duty\":{\"address\":\"127.0.0.1:%u\","
			 "\"kinds\":[\"usage\",\"scaling\"],\"window_ms\":%d},",
			 n->control.port, SOAK_WINDOW_MS);
	snprintf(n->ip, sizeof(n->ip), "%s.%u", s->net, (uint8_t)(i + 1));
	snprintf(n->settings_path, sizeof(n->settings_path), "%s/n%d.json", s->dir, i);
	snprintf(n->log_path, sizeof(n->log_path), "%s/n%d.log", s->dir, i);
	f = fopen(n->settings_path, "w");
	if (!f)
		abort();
	fprintf(f,
		"{\"vm\":{\"name\":\"n%d\",\"failure_domain\":\"z\",\"region\":\"r\"},"
		"\"caller\":{\"address\":\"%s\",\"entry_lifetime_ms\":300},"
		"\"admin\":{\"address\":\"%s\",\"port\":%u},"
		"\"peer\":{\"address\":\"%s\",\"port\":%u,\"secret\":\"soak-soak-soak-soak\","
		"\"seeds\":[\"%s.1:1\",\"%s.2:1\"]},"
		"\"platform\":{\"url\":\"127.0.0.1:%u\",\"timeout_ms\":500,\"poll_ms\":300},"
		"\"gate\":{\"listen\":\"%s:%u\",\"resolve\":\"%s:%u\",\"share_port\":%u,"
		"\"relay_port\":%u,\"grace_ms\":%u,\"budget_allowance\":1000},"
		"%s\"log\":{\"format\":\"json\"}}",
		i, n->ip, n->ip, s->port_base + 4U, n->ip, s->port_base + 2U, s->net, s->net,
		n->store.port, n->ip, s->port_base, n->ip, s->port_base + 1U, s->port_base + 3U,
		s->port_base + 5U, STOP_GRACE_MS, duty);
	fclose(f);
}

/* Starts the store, the upstreams, the proxies and the nodes. */
static void start_run(soak_t *s)
{
	pthread_mutex_init(&s->lock, NULL);
	bct_rng_seed(&s->rng, s->seed);
	s->calls = calloc(SOAK_CALLS_MAX, sizeof(*s->calls));
	s->version = 1;
	s->offset = 2; /* behind the configuration */
	s->era = 1;
	s->started_at = s->last_fault_at = bct_clock_now();
	/* Concurrent runs use different addresses; no ephemeral socket holds these ports. */
	s->port_base = PORT_BASE;
	snprintf(s->net, sizeof(s->net), "127.%d.%d",
		 1 + getpid() / NET_OCTET_VALUES % NET_OCTET_VALUES,
		 1 + getpid() % NET_OCTET_VALUES);
	snprintf(s->dir, sizeof(s->dir), "/tmp/soak-%d-%llu", getpid(),
		 (unsigned long long)s->seed);
	if (!s->calls || mkdir(s->dir, 0700))
		abort();
	soak_store_start(s);
	for (int i = 0; i < SOAK_UPSTREAMS; i++) {
		soak_upstream_t *u = &s->upstreams[i];

		snprintf(u->id, sizeof(u->id), "i-%d", i);
		u->service = i < SOAK_UPSTREAMS - 2 ? "model" : "desk";
		u->soak = s;
		u->software = (uint32_t)i % SOAK_VERSIONS;
		u->born = 1000;
		soak_write_entry(u);
		soak_upstream_start(u);
	}
	for (int i = 0; i < s->n_nodes; i++) {
		s->nodes[i].store.soak = s;
		s->nodes[i].store.target_port = s->store_port;
		soak_proxy_start(&s->nodes[i].store, "127.0.0.1");
		s->nodes[i].control.soak = s;
		s->nodes[i].control.target_port = s->control_port;
		if (s->with_duties)
			soak_proxy_start(&s->nodes[i].control, "127.0.0.1");
		write_settings(s, &s->nodes[i], i);
		soak_node_start(s, &s->nodes[i]);
	}
}

/* Supervises the nodes until a time and, if asked to, injects faults at random intervals. */
static void run_phase(soak_t *s, bct_time_t end, bool faults)
{
	bct_time_t next = bct_clock_now();

	while (bct_clock_now() < end) {
		pthread_mutex_lock(&s->lock);
		soak_nodes_supervise(s);
		soak_upstreams_supervise(s);
		if (faults && bct_clock_now() >= next) {
			soak_inject_fault(s);
			next = bct_clock_now() + FAULT_INTERVAL_MIN_MS +
			       bct_rng_below(&s->rng, FAULT_INTERVAL_SPREAD_MS);
		}
		pthread_mutex_unlock(&s->lock);
		bct_clock_sleep(20);
	}
}

/* Checks that enough calls succeeded in the measurement after the recovery time. */
static void check_recovery(soak_t *s)
{
	uint32_t ok = s->settled_ok, all = s->settled_ok + s->settled_failed;

	if (!all || ok * 100 < all * SERVED_MIN_PERCENT)
		soak_violation(s, "RECOVER", "%u of %u calls succeeded after recovery", ok, all);
}

/* Kills the nodes; removes their files unless an invariant was violated. */
static void stop_nodes(soak_t *s)
{
	for (int i = 0; i < s->n_nodes; i++) {
		if (!s->nodes[i].pid)
			continue;
		kill(s->nodes[i].pid, SIGKILL);
		waitpid(s->nodes[i].pid, NULL, 0);
	}
	if (s->violations) {
		printf("soak: logs kept in %s\n", s->dir);
		return;
	}
	for (int i = 0; i < s->n_nodes; i++) {
		unlink(s->nodes[i].settings_path);
		unlink(s->nodes[i].log_path);
	}
	rmdir(s->dir);
}

static int run(soak_t *s)
{
	pthread_t callers[SOAK_CALLERS];
	bct_time_t now, from_ms, to_ms;

	start_run(s);
	for (int i = 0; i < SOAK_CALLERS; i++)
		pthread_create(&callers[i], NULL, soak_caller, s);
	now = bct_clock_now();
	run_phase(s, now + WARM_UP_MS, false);
	run_phase(s, now + WARM_UP_MS + (bct_time_t)s->seconds * BCT_MS_PER_S, true);
	pthread_mutex_lock(&s->lock);
	soak_clear_faults(s);
	pthread_mutex_unlock(&s->lock);
	run_phase(s, bct_clock_now() + RECOVERY_MS, false);
	/* Only calls from here on count for check_recovery(). */
	pthread_mutex_lock(&s->lock);
	s->settled_ok = s->settled_failed = 0;
	/* The safe route alternates between two services, so a node that missed an even number of
	 * changes routes correctly by chance. One more change exposes it. */
	soak_change_route(s);
	pthread_mutex_unlock(&s->lock);
	from_ms = bct_clock_wall();
	run_phase(s, bct_clock_now() + (s->with_duties ? MEASURE_DUTIES_MS : MEASURE_MS), false);
	to_ms = bct_clock_wall();
	pthread_mutex_lock(&s->lock);
	s->stop_callers = true;
	pthread_mutex_unlock(&s->lock);
	for (int i = 0; i < SOAK_CALLERS; i++)
		pthread_join(callers[i], NULL);
	check_recovery(s);
	if (s->with_duties) {
		run_phase(s, bct_clock_now() + SOAK_USAGE_LATE_MS, false);
		soak_duties_check(s, from_ms, to_ms);
	}
	stop_nodes(s);
	printf("soak: seed %llu, %u calls: %u ok, %u refused, %u failed; %u crashes by a part, "
	       "%u requests after; after recovery %u of %u ok; %u violations\n",
	       (unsigned long long)s->seed, s->n_calls, s->ok, s->refused, s->failed,
	       s->bad_crashes, s->bad_after, s->settled_ok, s->settled_ok + s->settled_failed,
	       s->violations);
	return s->violations ? 1 : 0;
}

int main(int argc, const char **argv)
{
	static soak_t s = { .seconds = 10, .program = "build/bin/chutegate" };
	long seed = 1, seconds = 10, nodes = 4;
	struct poptOption table[] = {
		{ "seed", 0, POPT_ARG_LONG, &seed, 0, "seed of the run", "N" },
		{ "seconds", 0, POPT_ARG_LONG, &seconds, 0, "duration of the fault phase", "S" },
		{ "nodes", 0, POPT_ARG_LONG, &nodes, 0, "gateway processes, 2 to 200", "N" },
		{ "parts", 0, POPT_ARG_NONE, &s.parts, 0,
		  "then have a part of prompts crash upstreams", NULL },
		{ "duties", 0, POPT_ARG_NONE, &s.with_duties, 0,
		  "the fleet has duties: usage reports and orders of engines", NULL },
		{ "program", 0, POPT_ARG_STRING, &s.program, 0, "gateway to run", "PATH" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext ctx = poptGetContext("soak", argc, argv, table, 0);

	if (poptGetNextOpt(ctx) < -1 || poptPeekArg(ctx) || sodium_init() < 0 || nodes < 2 ||
	    nodes > SOAK_NODES_MAX) {
		poptPrintUsage(ctx, stderr, 0);
		poptFreeContext(ctx);
		return 2;
	}
	poptFreeContext(ctx);
	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	s.seed = (uint64_t)seed;
	s.seconds = (uint32_t)seconds;
	s.n_nodes = (int)nodes;
	return run(&s);
}
