/*
 * wide_split.c - the operator writes a configuration that splits a new route over nine services and
 * changes other routes and keys as well. Is it in force in time?
 *
 * usage: wide_split FOLDER
 *
 * TROUBLE=0 writes the same configuration with the new route split over eight services.
 */
#include "stand.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define GATEWAYS 3
#define STEADY_MS 8000	/* before the change */
#define APPLY_MS 2000	/* configuration_apply_ms */
#define WATCH_MS 12000	/* after the change */
#define CALL_GAP_MS 25
#define SERVICES 9

static bool changed;
static int64_t confirmed_at;
static uint32_t turn;
static int judged, bad_run, bad_denied, served;

static void config(st_t *s, char *out, size_t size)
{
	int n = snprintf(out, size,
			 "{\"version\":%" PRIu64 ",\"services\":[{\"name\":\"desk\"}", s->version);
	int splits = s->trouble ? SERVICES : SERVICES - 1;

	for (int i = 1; i <= SERVICES; i++)
		n += snprintf(out + n, size - (size_t)n, ",{\"name\":\"tool-%d\"}", i);
	n += snprintf(out + n, size - (size_t)n,
		      "],\"routes\":[{\"name\":\"look\",\"host\":\"h.example\","
		      "\"path_prefix\":\"/look/\",\"kind\":\"safe\",\"timeout_ms\":2000,"
		      "\"target_latency_ms\":300,\"priority\":1,\"service\":\"desk\",\"attempts\":2}");
	if (changed) {
		n += snprintf(out + n, size - (size_t)n,
			      ",{\"name\":\"extra\",\"host\":\"h.example\","
			      "\"path_prefix\":\"/extra/\",\"kind\":\"safe\",\"timeout_ms\":2000,"
			      "\"target_latency_ms\":300,\"priority\":1,\"service\":\"desk\","
			      "\"attempts\":2},{\"name\":\"tools\",\"host\":\"h.example\","
			      "\"path_prefix\":\"/tools/\",\"kind\":\"safe\",\"timeout_ms\":2000,"
			      "\"target_latency_ms\":300,\"priority\":1,\"attempts\":2,"
			      "\"traffic_split\":[");
		for (int i = 1; i <= splits; i++)
			n += snprintf(out + n, size - (size_t)n,
				      "%s{\"service\":\"tool-%d\",\"weight\":10}", i > 1 ? "," : "",
				      i);
		n += snprintf(out + n, size - (size_t)n, "]}");
	}
	snprintf(out + n, size - (size_t)n,
		 "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,"
		 "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
		 "\"tenants\":[{\"name\":\"acme\",\"api_keys\":[\"key-acme\"]},"
		 "{\"name\":\"bolt\",\"api_keys\":[%s]}]}",
		 changed ? "" : "\"key-bolt\"");
}

static void serve(st_req_t *r)
{
	st_answer(r, 200, "", "roster");
	st_req_free(r);
}

/* Judges the requests that were sent later than APPLY_MS after the change was confirmed. */
static void done(st_call_t *c)
{
	st_t *s = c->st;
	bool old_key = !strcmp(c->key, "key-bolt"), added = !strncmp(c->path, "/extra/", 7);

	served += c->status == 200;
	if (confirmed_at && c->sent_at > confirmed_at + APPLY_MS) {
		judged++;
		if (old_key && c->status == 200) {
			bad_run++;
			st_note(s, "front-%d: a request with the key that was taken away has run "
				   "%" PRId64 " ms after the change",
				c->node + 1, c->sent_at - confirmed_at);
		} else if (!old_key && added && c->status == 404) {
			bad_denied++;
			st_note(s, "front-%d: 404 on the route that was added, %" PRId64
				   " ms after the change",
				c->node + 1, c->sent_at - confirmed_at);
		}
	}
	st_call_free(c);
}

static void send_next(void *ctx)
{
	st_t *s = ctx;
	uint32_t k = turn++;

	st_call(s, (int)(k % GATEWAYS), "GET",
		confirmed_at && k / GATEWAYS % 3 == 1 ? "/extra/1" : "/look/1",
		k / GATEWAYS % 3 == 2 ? "key-bolt" : "key-acme", NULL, NULL, 1500, done);
	st_after(s, CALL_GAP_MS, send_next, s);
}

static void change(void *ctx)
{
	st_t *s = ctx;

	changed = true;
	st_write_config(s);
	confirmed_at = st_now();
	st_note(s, "the store confirms version %" PRIu64, s->version);
}

static void end(void *ctx)
{
	st_stop(ctx);
}

int main(int argc, char **argv)
{
	static st_t s;
	int code;

	if (argc < 2)
		return 2;
	st_init(&s, argv[1]);
	s.write_config = config;
	st_store_start(&s);
	st_write_config(&s);
	st_engine_new(&s, "i-desk-1", "desk", "v1", serve);
	st_engine_new(&s, "i-desk-2", "desk", "v1", serve);
	for (int i = 0; i < GATEWAYS; i++)
		st_node_add(&s);
	st_after(&s, 3000, send_next, &s);
	st_after(&s, STEADY_MS, change, &s);
	st_after(&s, STEADY_MS + WATCH_MS, end, &s);
	event_base_dispatch(s.base);
	st_note(&s,
		"%d requests judged; CONFIG: %d ran with a key that was taken away, %d got 404 on a "
		"route that was added; %d served in all",
		judged, bad_run, bad_denied, served);
	code = bad_run || bad_denied ? 1 : judged > 100 && served ? 0 : 2;
	return st_end(&s, code);
}
