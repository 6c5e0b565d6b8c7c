/*
 * joined_services.c - a route whose streams may be resumed is split over two services of unlike
 * software, as while a new model is tried on a share of the traffic. One gateway is killed while it
 * serves streams; the clients take them up at another one. Is the text that a client gets of one
 * version?
 *
 * usage: joined_services FOLDER
 *
 * TROUBLE=0 kills nothing. TROUBLE=named does the same as TROUBLE=1 with clients that also name, in
 * a header "Resumes", the attempt that brought the first event.
 */
#include "stand.h"

#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define GATEWAYS 3
#define STREAMS 40
#define STREAM_GAP_MS 20   /* between the starts of two streams */
#define STEADY_MS 14000	   /* before the first: the fleet is in its steady state */
#define KILL_AFTER_MS 1300 /* after the first stream began */
#define EVENTS 60
#define EVENT_GAP_MS 40
#define DEADLINE_MS 4000
#define TRIES 2 /* to take a stream up: its client's retries */

/* One stream as its client sees it, over all attempts. */
typedef struct stream {
	st_t *st;
	int number;
	int last;	 /* id of the last event */
	char version[8]; /* that wrote the first event */
	bool joined;	 /* of two versions */
	bool gap;	 /* an event is missing or comes twice */
	bool complete;
	int tries;
	int64_t began;
	size_t extra_bytes; /* of the headers of the first attempt */
	char path[40], extra[300];
	char first_attempt[ST_ID_BYTES];
} stream_t;

typedef struct writer {
	st_req_t *req;
	int next;
} writer_t;

static stream_t streams[STREAMS];
static int started, ended, taken_up, refused;

static void config(st_t *s, char *out, size_t size)
{
	snprintf(out, size,
		 "{\"version\":%" PRIu64
		 ",\"routes\":[{\"name\":\"draft\",\"host\":\"h.example\",\"path_prefix\":\"/draft/\","
		 "\"kind\":\"stream\",\"stream_resumption\":true,\"timeout_ms\":%d,"
		 "\"target_latency_ms\":600,\"target_gap_ms\":400,\"priority\":1,\"attempts\":2,"
		 "\"session_affinity\":true,\"traffic_split\":[{\"service\":\"model-a\",\"weight\":50},"
		 "{\"service\":\"model-b\",\"weight\":50}]}],"
		 "\"services\":[{\"name\":\"model-a\",\"engine\":{\"slots\":64}},"
		 "{\"name\":\"model-b\",\"engine\":{\"slots\":64}}],"
		 "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,"
		 "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
		 "\"tenants\":[{\"name\":\"acme\",\"api_keys\":[\"key-acme\"]}]}",
		 s->version, DEADLINE_MS);
}

/* An engine writes its text from the event after Last-Event-Id on. */
static void write_event(void *ctx)
{
	writer_t *w = ctx;
	st_req_t *r = w->req;
	char event[96];
	int n;

	if (!r->bev || w->next > EVENTS) {
		if (r->bev)
			evbuffer_add(bufferevent_get_output(r->bev), "0\r\n\r\n", 5);
		st_req_free(r);
		free(w);
		return;
	}
	n = snprintf(event, sizeof(event), "id: %d\ndata: %s word%d\n\n", w->next,
		     r->engine->version, w->next);
	evbuffer_add_printf(bufferevent_get_output(r->bev), "%x\r\n%s\r\n", n, event);
	w->next++;
	st_after(r->engine->st, EVENT_GAP_MS, write_event, w);
}

static void serve(st_req_t *r)
{
	writer_t *w = calloc(1, sizeof(*w));

	w->req = r;
	w->next = r->last_event_id >= 0 ? (int)r->last_event_id + 1 : 1;
	if (r->last_event_id >= 0)
		st_note(r->engine->st, "%s (%s, %s) goes on after event %ld for attempt %s",
			r->engine->id, r->engine->service, r->engine->version, r->last_event_id,
			r->id);
	evbuffer_add_printf(bufferevent_get_output(r->bev),
			    "HTTP/1.1 200 OK\r\nX-Buckthornchute-Request-Attempt-Id: %s\r\n"
			    "X-Buckthornchute-Server-Seal: %s.%s\r\n"
			    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			    r->id, r->engine->id, r->id);
	write_event(w);
}

static void on_end(st_call_t *c);

/* Sends the request, or takes the stream up after the last event that has come. */
static void send_attempt(stream_t *x, int node)
{
	int64_t left = x->began + DEADLINE_MS - st_now();
	st_call_t *c;

	bool named = !strcmp(x->st->mode, "named");

	if (x->last)
		snprintf(x->extra + x->extra_bytes, sizeof(x->extra) - x->extra_bytes,
			 "Last-Event-Id: %d\r\n%s%s%s", x->last, named ? "Resumes: " : "",
			 named ? x->first_attempt : "", named ? "\r\n" : "");
	c = st_call(x->st, node, "POST", x->path, "key-acme", x->extra, "{}", (uint32_t)left,
		    on_end);
	c->ctx = x;
	if (!x->first_attempt[0])
		snprintf(x->first_attempt, sizeof(x->first_attempt), "%s", c->id);
}

static void read_events(stream_t *x, const char *text)
{
	const char *at = text;

	while ((at = strstr(at, "id: ")) != NULL) {
		char version[8] = "";
		int id = 0;

		if (sscanf(at, "id: %d\ndata: %7s", &id, version) == 2 && strstr(at, "\n\n")) {
			if (!x->version[0])
				memcpy(x->version, version, sizeof(version));
			x->joined = x->joined || strcmp(x->version, version) != 0;
			x->gap = x->gap || id != x->last + 1;
			x->last = id;
		}
		at += 4;
	}
}

static void on_end(st_call_t *c)
{
	stream_t *x = c->ctx;
	st_t *s = x->st;
	int node = c->node, status = c->status;
	bool complete = c->complete;

	evbuffer_add(c->answer, "", 1);
	if (status == 200)
		read_events(x, (const char *)evbuffer_pullup(c->answer, -1));
	st_call_free(c);
	x->complete = status == 200 && complete;
	if (x->complete || ++x->tries > TRIES || st_now() > x->began + DEADLINE_MS - 100) {
		ended++;
		refused += status == 503;
		st_note(s, "stream %d ends: status %d, %s, last event %d, begun by %s%s%s%s",
			x->number, status, x->complete ? "complete" : "not complete", x->last,
			x->version, x->tries ? ", taken up" : "",
			x->joined ? ", JOINED FROM TWO VERSIONS" : "", x->gap ? ", with a gap" : "");
		if (ended == STREAMS)
			st_stop(s);
		return;
	}
	taken_up++;
	send_attempt(x, (node + 1) % GATEWAYS ? (node + 1) % GATEWAYS : 1);
}

static void start_next(void *ctx)
{
	st_t *s = ctx;
	stream_t *x = &streams[started];

	x->st = s;
	x->number = started++;
	x->began = st_now();
	snprintf(x->path, sizeof(x->path), "/draft/%d", x->number);
	snprintf(x->extra, sizeof(x->extra),
		 "X-Buckthornchute-Model: m\r\nX-Buckthornchute-Token-Counts: 120,180\r\n"
		 "X-Buckthornchute-Prompt-Prefix: a1:80,%x:40\r\n",
		 0x1000 + x->number);
	x->extra_bytes = strlen(x->extra);
	send_attempt(x, 0);
	if (started < STREAMS)
		st_after(s, STREAM_GAP_MS, start_next, s);
}

static void kill_one(void *ctx)
{
	st_t *s = ctx;

	if (!s->trouble)
		return;
	st_note(s, "gateway front-1 is killed");
	s->nodes[0].keep_down = true;
	kill(s->nodes[0].pid, SIGKILL);
}

static void too_long(void *ctx)
{
	st_note(ctx, "too long");
	st_stop(ctx);
}

int main(int argc, char **argv)
{
	static st_t s;
	int joined = 0, complete = 0, gaps = 0, code;

	if (argc < 2)
		return 2;
	st_init(&s, argv[1]);
	s.write_config = config;
	st_store_start(&s);
	st_write_config(&s);
	for (int i = 0; i < 4; i++) {
		char id[16];

		snprintf(id, sizeof(id), "i-%s-%d", i < 2 ? "a" : "b", i % 2 + 1);
		st_engine_new(&s, id, i < 2 ? "model-a" : "model-b", i < 2 ? "v1" : "v2", serve);
	}
	for (int i = 0; i < GATEWAYS; i++)
		st_node_add(&s);
	st_after(&s, STEADY_MS, start_next, &s);
	st_after(&s, STEADY_MS + KILL_AFTER_MS, kill_one, &s);
	st_after(&s, 60000, too_long, &s);
	event_base_dispatch(s.base);
	for (int i = 0; i < STREAMS; i++) {
		joined += streams[i].joined && streams[i].complete;
		complete += streams[i].complete;
		gaps += streams[i].gap;
	}
	st_note(&s,
		"%d streams, %d attempts to take one up, %d complete, %d refused at the end; ORDER: %d "
		"complete ones are joined from two versions, %d have a gap",
		started, taken_up, complete, refused, joined, gaps);
	code = joined || gaps ? 1 : ended == STREAMS && (complete || s.trouble) ? 0 : 2;
	return st_end(&s, code);
}
