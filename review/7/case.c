/*
 * All machines are lost and replaced by machines at new addresses, which start before the platform
 * has new seeds for them. Their settings files are renewed, with SIGHUP. Then a request comes that
 * crashes each engine that runs it. How many engines does it crash?
 */
#include "../kit-2/kit.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 3
#define ENGINES 8
#define SEED_LAG_MS 3000 /* seed_lag_s */
#define TOUCH_MS 3000	 /* stability_window_ms */
#define ALLOWED 3	 /* retries that reach an engine later than that after the third crash */
#define BACK_MS 2000	 /* until an engine that crashed is back */
#define LAPSE_MS 3600	 /* three heartbeats, until its entry is removed */
#define DEADLY 16	 /* times that the request comes */
#define DEADLY_GAP_MS 1500
#define SOUND_MS 200 /* that a sound request takes */

static const char config[] =
	"{\"version\":3,\"routes\":[{\"name\":\"r-booking\",\"host\":\"desk.example\","
	"\"path_prefix\":\"/book/\",\"kind\":\"unsafe\",\"timeout_ms\":1500,"
	"\"target_latency_ms\":300,\"priority\":0,\"service\":\"desk\",\"attempts\":1,"
	"\"public\":false}],\"services\":[{\"name\":\"desk\",\"health_check_path\":\"/health\","
	"\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
	"\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
	"\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"harrow\",\"api_keys\":[\"key-1\"]}]}";

static kit_engine_t engines[ENGINES];
static volatile int starts, crashes, late, lost;
static volatile int64_t third_at; /* the third crash */
static volatile bool stop;
static int first; /* node that serves */

static void start_engine(kit_engine_t *e)
{
	snprintf(e->id, sizeof(e->id), "i-desk-%d", __atomic_add_fetch(&starts, 1, __ATOMIC_RELAXED));
	kit_engine_start(e, 20 + (int)(e - engines), 8080);
}

/* The engine is back after some seconds, with another identifier. */
static void *come_back(void *arg)
{
	kit_engine_t *e = arg;
	kit_engine_t old = *e;

	kit_sleep_ms(BACK_MS);
	start_engine(e);
	kit_sleep_ms(LAPSE_MS - BACK_MS);
	kit_store_put(KIT_TOPIC_SERVERS, old.id, strlen(old.id), NULL);
	return NULL;
}

static void crash(kit_engine_t *e, const char *id)
{
	int n = __atomic_add_fetch(&crashes, 1, __ATOMIC_RELAXED);
	int64_t now = kit_now_ms();
	pthread_t thread;

	if (n == 3)
		third_at = now;
	if (third_at && now > third_at + TOUCH_MS)
		late++;
	kit_note("engine %s crashes under %s, crash %d", e->id, id, n);
	kit_engine_crash(e);
	pthread_create(&thread, NULL, come_back, e);
	pthread_detach(thread);
}

static void on_run(void *ctx, kit_request_t *r)
{
	kit_engine_t *e = ctx;
	char id[64] = "";

	kit_header(r->head, "X-Buckthornchute-Request-Attempt-Id", id, sizeof(id));
	if (!strcmp(r->target, "/book/deadly")) {
		crash(e, id);
		r->close = true;
		return;
	}
	kit_sleep_ms(SOUND_MS);
	if (!kit_engine_head(r, "200 OK", "Content-Length: 2\r\n\r\nok"))
		r->close = true;
}

static int send_request(int node, const char *path, const char *body, char *id, size_t id_bytes)
{
	kit_client_t *c = calloc(1, sizeof(*c));
	kit_call_t call = { .method = "POST",
			    .path = path,
			    .host = "desk.example",
			    .key = "key-1",
			    .id = id,
			    .body = body,
			    .deadline_ms = 1500 };
	int status;

	kit_new_id(id, id_bytes);
	kit_client_init(c);
	status = kit_client_call(c, node, &call);
	kit_client_close(c);
	free(c);
	return status;
}

/* Sound bookings, no two alike, at all machines. */
static void *send_sound(void *arg)
{
	for (int i = (int)(intptr_t)arg; !stop; i += 16) {
		char id[32], path[32], body[32];
		int status;

		snprintf(path, sizeof(path), "/book/%d", i);
		snprintf(body, sizeof(body), "repair %d", i);
		status = send_request(first + i % NODES, path, body, id, sizeof(id));
		if (status == 502 && third_at && kit_now_ms() > third_at + TOUCH_MS)
			__atomic_add_fetch(&lost, 1, __ATOMIC_RELAXED);
		kit_sleep_ms(20);
	}
	return NULL;
}

/* All machines go for good; as many new ones start at other addresses. */
static void replace_machines(void)
{
	for (int i = 0; i < NODES; i++) {
		kit_node_signal(i, SIGKILL);
		kit_node_wait(i);
	}
	first = NODES;
	for (int i = first; i < first + NODES; i++)
		kit_node_start_seeds(i, 0, NODES);
	kit_sleep_ms(SEED_LAG_MS);
	for (int i = first; i < first + NODES; i++) {
		kit_node_settings(i, first, NODES);
		kit_node_signal(i, SIGHUP);
	}
}

int main(int argc, char **argv)
{
	pthread_t threads[16];

	kit_init(argc > 1 ? argv[1] : ".");
	kit_store_start();
	kit_store_put(KIT_TOPIC_OP, "config", 6, config);
	for (int i = 0; i < ENGINES; i++) {
		strcpy(engines[i].service, "desk");
		strcpy(engines[i].version, "v1");
		engines[i].handler = on_run;
		start_engine(&engines[i]);
	}
	for (int i = 0; i < NODES; i++)
		kit_node_start(i, NODES);
	kit_wait_ready(NODES, 10000);
	kit_sleep_ms(3000);
	if (kit_trouble())
		replace_machines();
	/* Long after the last disruption: all machines are in touch. */
	kit_sleep_ms(15000);
	for (int i = 0; i < 16; i++)
		pthread_create(&threads[i], NULL, send_sound, (void *)(intptr_t)i);
	kit_sleep_ms(1000);
	for (int i = 0; i < DEADLY; i++) {
		char id[32];
		int node = first + i % NODES;
		int status = send_request(node, "/book/deadly", "deadly", id, sizeof(id));

		kit_note("client: node %d answers the deadly request %s with %d", node + 1, id,
			 status);
		kit_sleep_ms(DEADLY_GAP_MS);
	}
	stop = true;
	for (int i = 0; i < 16; i++)
		pthread_join(threads[i], NULL);
	kit_note("%d engines crashed, %d of them later than %d ms after the third; %d sound requests "
		 "got 502 since then",
		 crashes, late, TOUCH_MS, lost);
	if (crashes < 3)
		kit_finish(KIT_NOT_RUN);
	kit_finish(late > ALLOWED ? KIT_BROKEN : KIT_HELD);
}
