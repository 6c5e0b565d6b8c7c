/*
 * forgotten_leaving.c - an engine starts again under its id just before the store goes away, and then
 * states its leaving. When the store is back, the gateways read the entry of the new start, in which
 * the engine is still ready. Do they send it requests?
 *
 * usage: forgotten_leaving FOLDER
 *
 * TROUBLE=0: the engine states its leaving and reports it to the store; it doesn't start again, and
 * the store doesn't go away.
 */
#include "stand.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define GATEWAYS 3
#define CALL_GAP_MS 50
#define STEADY_MS 8000
#define STATES_AFTER_MS 300 /* the new start */
#define AWAY_MS 4000	    /* of the store */
#define REPORTS_AFTER_MS 1000 /* the store is back: with the engine's next heartbeat */
#define WATCH_MS 3000
#define DRAIN_MS 2000

static st_engine_t *engine;
static bool leaving;
static uint32_t turn;
static int64_t passed_on_at[GATEWAYS]; /* first answer with the statement that a client got */
static int broken, served, stated;

static void config(st_t *s, char *out, size_t size)
{
	snprintf(out, size,
		 "{\"version\":%" PRIu64
		 ",\"routes\":[{\"name\":\"look\",\"host\":\"h.example\",\"path_prefix\":\"/look/\","
		 "\"kind\":\"safe\",\"timeout_ms\":2000,\"target_latency_ms\":300,\"priority\":1,"
		 "\"service\":\"desk\",\"attempts\":2}],\"services\":[{\"name\":\"desk\"}],"
		 "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,"
		 "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
		 "\"tenants\":[{\"name\":\"acme\",\"api_keys\":[\"key-acme\"]}]}",
		 s->version);
}

/* The path names the gateway that the client has sent the request to, and when. */
static void serve(st_req_t *r)
{
	st_t *s = r->engine->st;
	int node = 0;
	long long sent_at = 0;

	sscanf(r->path, "/look/%d/%lld", &node, &sent_at);
	if (passed_on_at[node] && sent_at > passed_on_at[node] + DRAIN_MS) {
		broken++;
		st_note(s, "a request that was sent to front-%d %lld ms after it had passed on "
			   "Server-Leaving reaches the engine",
			node + 1, sent_at - passed_on_at[node]);
	}
	st_answer(r, 200, leaving ? "Server-Leaving: 1\r\n" : "", "roster");
	st_req_free(r);
}

static void done(st_call_t *c)
{
	evbuffer_add(c->answer, "", 1);
	served += c->status == 200;
	if (c->status == 200 &&
	    strstr((const char *)evbuffer_pullup(c->answer, -1), "Server-Leaving: 1")) {
		stated++;
		if (!passed_on_at[c->node]) {
			passed_on_at[c->node] = st_now();
			st_note(c->st, "front-%d passes on Server-Leaving", c->node + 1);
		}
	}
	st_call_free(c);
}

static void send_next(void *ctx)
{
	st_t *s = ctx;
	/* Most clients are in the zone of the first gateway. */
	int node = turn % 10 < 8 ? 0 : 1 + (int)(turn % 2);
	char path[64];

	turn++;
	snprintf(path, sizeof(path), "/look/%d/%lld", node, (long long)st_now());
	st_call(s, node, "GET", path, "key-acme", NULL, NULL, 1500, done);
	st_after(s, CALL_GAP_MS, send_next, s);
}

static void end(void *ctx)
{
	st_stop(ctx);
}

static void report(void *ctx)
{
	engine->draining = true;
	engine->absent = false;
	st_engine_write(engine);
	st_note(ctx, "the store has the engine's report: draining");
	st_after(ctx, WATCH_MS, end, ctx);
}

static void come_back(void *ctx)
{
	st_t *s = ctx;

	s->store_down = false;
	st_note(s, "the store is back");
	st_after(s, REPORTS_AFTER_MS, report, s);
}

static void state_leaving(void *ctx)
{
	leaving = true;
	st_note(ctx, "the engine leaves and says so in its answers");
	if (!((st_t *)ctx)->trouble)
		report(ctx);
}

static void trouble(void *ctx)
{
	st_t *s = ctx;

	if (s->trouble) {
		engine->born = st_wall();
		engine->sequence = 0;
		st_engine_write(engine);
		engine->absent = true; /* until the store takes its reports again */
		s->store_down = true;
		st_note(s, "the engine has started again under its id; the store goes away");
		st_after(s, AWAY_MS, come_back, s);
	}
	st_after(s, STATES_AFTER_MS, state_leaving, s);
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
	engine = st_engine_new(&s, "i-desk-1", "desk", "v1", serve);
	for (int i = 0; i < GATEWAYS; i++)
		st_node_add(&s);
	st_after(&s, 3000, send_next, &s);
	st_after(&s, STEADY_MS, trouble, &s);
	st_after(&s, 40000, end, &s);
	event_base_dispatch(s.base);
	st_note(&s, "%d served, %d answers with Server-Leaving; DRAIN: %d requests too late", served,
		stated, broken);
	code = broken ? 1 : stated && served ? 0 : 2;
	return st_end(&s, code);
}
