/*
 * The configuration has grown by many routes. Versions of it come in quick succession; an early one
 * takes an API key away. Until when do requests with that key run?
 */
#include "../kit-2/kit.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 3
#define ENGINES 2
#define BIG_CONFIG_ROUTES 1400 /* largest dose of big_config */
#define BIG_CONFIGS 3
#define STORM_MS 4000	  /* for_s and gap_s of config_storm */
#define STORM_GAP_MS 330
#define APPLY_MS 3000	  /* configuration_apply_ms */
#define APPEND_BYTES_PER_MS 20000 /* part_mb_per_s */
#define PROBE_MS 100

static kit_engine_t engines[ENGINES];
static volatile int64_t revoked_at; /* when the store confirmed the version without the key */
static volatile int late_runs, runs;
static volatile bool stop;

static void on_run(void *ctx, kit_request_t *r)
{
	char tenant[64] = "";

	(void)ctx;
	kit_header(r->head, "X-Buckthornchute-Tenant", tenant, sizeof(tenant));
	if (!strcmp(tenant, "second"))
		__atomic_add_fetch(&runs, 1, __ATOMIC_RELAXED);
	kit_engine_head(r, "200 OK", "Content-Length: 2\r\n\r\nok");
}

/* with_key: the key of the second tenant is in force. */
static char *config(int version, int routes, bool with_key)
{
	size_t room = (size_t)routes * 256 + 4096, n;
	char *text = malloc(room);

	n = (size_t)snprintf(text, room, "{\"version\":%d,\"routes\":[", version);
	for (int i = 0; i <= routes; i++)
		n += (size_t)snprintf(
			text + n, room - n,
			"%s{\"name\":\"r-%07d\",\"host\":\"desk.example\",\"path_prefix\":"
			"\"/look%06d/\",\"kind\":\"safe\",\"timeout_ms\":800,"
			"\"target_latency_ms\":100,\"priority\":0,\"service\":\"desk\","
			"\"attempts\":2,\"public\":false}",
			i ? "," : "", i, i);
	n += (size_t)snprintf(
		text + n, room - n,
		"],\"services\":[{\"name\":\"desk\",\"health_check_path\":\"/health\","
		"\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
		"\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
		"\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"first\",\"api_keys\":"
		"[\"key-1\"]},{\"name\":\"second\",\"api_keys\":[%s]}]}",
		with_key ? "\"key-2\"" : "");
	return text;
}

/* Writes a version as the operator does. returns when it was confirmed. */
static int64_t put_config(int version, int routes, bool with_key)
{
	char *text = config(version, routes, with_key);
	int64_t at;

	kit_sleep_ms(1 + (int64_t)strlen(text) / APPEND_BYTES_PER_MS);
	at = kit_store_put(KIT_TOPIC_OP, "config", 6, text);
	kit_note("operator: version %d of %zu bytes is confirmed, second tenant's key %s", version,
		 strlen(text), with_key ? "in it" : "taken away");
	free(text);
	return at;
}

/* A client of one node that uses the key all the time. */
static void *probe(void *arg)
{
	int node = (int)(intptr_t)arg;
	kit_client_t c;

	kit_client_init(&c);
	while (!stop) {
		int64_t sent = kit_now_ms(), revoked = revoked_at;
		char id[32];
		kit_call_t call = { .method = "GET",
				    .path = "/look000000/1",
				    .host = "desk.example",
				    .key = "key-2",
				    .id = id,
				    .deadline_ms = 1500 };

		kit_new_id(id, sizeof(id));
		kit_client_call(&c, node, &call);
		kit_note("client: node %d answers %s with %d, sent %lld ms after the key was taken away",
			 node + 1, id, c.status, revoked ? (long long)(sent - revoked) : -1);
		if (revoked && sent - revoked > APPLY_MS && c.status == 200)
			__atomic_add_fetch(&late_runs, 1, __ATOMIC_RELAXED);
		kit_sleep_ms(PROBE_MS);
	}
	kit_client_close(&c);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t probes[NODES];
	int version = 3, routes = 0;

	kit_init(argc > 1 ? argv[1] : ".");
	kit_store_start();
	put_config(version, routes, true);
	for (int i = 0; i < ENGINES; i++) {
		kit_engine_t *e = &engines[i];

		snprintf(e->id, sizeof(e->id), "i-desk-%d", i);
		strcpy(e->service, "desk");
		strcpy(e->version, "v1");
		e->handler = on_run;
		kit_engine_start(e, 10 + i, 8080);
	}
	for (int i = 0; i < NODES; i++)
		kit_node_start(i, NODES);
	kit_wait_ready(NODES, 10000);
	for (int i = 0; i < NODES; i++)
		pthread_create(&probes[i], NULL, probe, (void *)(intptr_t)i);
	for (int i = 0; i < BIG_CONFIGS; i++) {
		kit_sleep_ms(3000);
		routes += BIG_CONFIG_ROUTES;
		put_config(version += 2, routes, true);
	}
	kit_sleep_ms(4000);
	if (runs < 20) {
		kit_note("the key does not work");
		kit_finish(KIT_NOT_RUN);
	}
	for (int64_t at = kit_now_ms(), end = at + STORM_MS; at < end; at += STORM_GAP_MS) {
		bool last = at + STORM_GAP_MS >= end;

		/* Without the storm, there is one version only. */
		if (kit_trouble() || last) {
			int64_t confirmed = put_config(version += 3, routes, !last);

			if (last)
				revoked_at = confirmed;
		}
		kit_sleep_ms(at + STORM_GAP_MS - kit_now_ms());
	}
	kit_sleep_ms(15000);
	stop = true;
	for (int i = 0; i < NODES; i++)
		pthread_join(probes[i], NULL);
	kit_note("%d requests were served that were sent later than %d ms after the key was taken away",
		 late_runs, APPLY_MS);
	kit_finish(late_runs ? KIT_BROKEN : KIT_HELD);
}
