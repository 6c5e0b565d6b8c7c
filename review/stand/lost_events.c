/*
 * lost_events.c - streams that may be resumed, of engines that write three events at a time. One of
 * two engines spoils one in fifty of its answers: the id of one event is overwritten. The gateway
 * notices that and goes on at the other engine. Does the client get every event?
 *
 * usage: lost_events FOLDER
 *
 * TROUBLE=0 spoils nothing.
 */
#include "stand.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define GATEWAYS 3
#define STREAMS 300
#define STREAM_GAP_MS 50
#define STEADY_MS 10000 /* before the first: the fleet is in its steady state */
#define EVENTS 30
#define CHUNK_EVENTS 3
#define CHUNK_GAP_MS 60
#define SPOILT_ONE_IN 50
#define SPOILT_EVENT 15 /* the last one of its chunk */
#define DEADLINE_MS 8000

typedef struct stream {
	int number;
	int last; /* id of the last event */
	int missing, again;
} stream_t;

typedef struct writer {
	st_req_t *req;
	int next;
	bool spoils;
} writer_t;

static stream_t streams[STREAMS];
static int started, ended, complete, with_gap, with_repeat, answers_of_faulty, spoilt, continued;

static void config(st_t *s, char *out, size_t size)
{
	snprintf(out, size,
		 "{\"version\":%" PRIu64
		 ",\"routes\":[{\"name\":\"draft\",\"host\":\"h.example\",\"path_prefix\":\"/draft/\","
		 "\"kind\":\"stream\",\"stream_resumption\":true,\"timeout_ms\":%d,"
		 "\"target_latency_ms\":600,\"target_gap_ms\":400,\"priority\":1,\"attempts\":2,"
		 "\"session_affinity\":true,\"service\":\"model\"}],"
		 "\"services\":[{\"name\":\"model\",\"engine\":{\"slots\":64}}],"
		 "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,"
		 "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
		 "\"tenants\":[{\"name\":\"acme\",\"api_keys\":[\"key-acme\"]}]}",
		 s->version, DEADLINE_MS);
}

/* Writes the next events as one chunk. */
static void write_chunk(void *ctx)
{
	writer_t *w = ctx;
	st_req_t *r = w->req;
	char text[400];
	int n = 0;

	if (!r->bev || w->next > EVENTS) {
		if (r->bev)
			evbuffer_add(bufferevent_get_output(r->bev), "0\r\n\r\n", 5);
		st_req_free(r);
		free(w);
		return;
	}
	for (int i = 0; i < CHUNK_EVENTS && w->next <= EVENTS; i++, w->next++) {
		char id[16];

		snprintf(id, sizeof(id), "%d", w->next);
		if (w->spoils && w->next == SPOILT_EVENT) {
			memset(id, 'x', strlen(id));
			spoilt++;
			st_note(r->engine->st, "%s spoils the id of event %d of attempt %s",
				r->engine->id, w->next, r->id);
		}
		n += snprintf(text + n, sizeof(text) - (size_t)n, "id: %s\ndata: word%d\n\n", id,
			      w->next);
	}
	evbuffer_add_printf(bufferevent_get_output(r->bev), "%x\r\n%s\r\n", n, text);
	st_after(r->engine->st, CHUNK_GAP_MS, write_chunk, w);
}

static void serve(st_req_t *r)
{
	st_t *s = r->engine->st;
	writer_t *w = calloc(1, sizeof(*w));

	w->req = r;
	w->next = r->last_event_id >= 0 ? (int)r->last_event_id + 1 : 1;
	if (r->last_event_id >= 0) {
		continued++;
		st_note(s, "%s goes on after event %ld for attempt %s", r->engine->id,
			r->last_event_id, r->id);
	}
	if (s->trouble && r->engine == &s->engines[0])
		w->spoils = ++answers_of_faulty % SPOILT_ONE_IN == 0;
	evbuffer_add_printf(bufferevent_get_output(r->bev),
			    "HTTP/1.1 200 OK\r\nX-Buckthornchute-Request-Attempt-Id: %s\r\n"
			    "X-Buckthornchute-Server-Seal: %s.%s\r\n"
			    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			    r->id, r->engine->id, r->id);
	write_chunk(w);
}

static void read_events(stream_t *x, const char *text)
{
	const char *at = text;

	while ((at = strstr(at, "id: ")) != NULL) {
		int id = atoi(at + 4);

		if (id > x->last + 1)
			x->missing += id - x->last - 1;
		if (id <= x->last)
			x->again++;
		else
			x->last = id;
		at += 4;
	}
	x->missing += EVENTS - x->last;
}

static void on_end(st_call_t *c)
{
	stream_t *x = c->ctx;
	st_t *s = c->st;
	bool whole = c->status == 200 && c->complete;

	if (whole) {
		evbuffer_add(c->answer, "", 1);
		read_events(x, (const char *)evbuffer_pullup(c->answer, -1));
		complete++;
		with_gap += x->missing > 0;
		with_repeat += x->again > 0;
	}
	if (!whole || x->missing || x->again)
		st_note(s, "stream %d (attempt %s) ends: status %d, %s, %d events missing, %d twice",
			x->number, c->id, c->status, whole ? "complete" : "not complete", x->missing,
			x->again);
	st_call_free(c);
	if (++ended == STREAMS)
		st_stop(s);
}

static void start_next(void *ctx)
{
	st_t *s = ctx;
	stream_t *x = &streams[started];
	char path[40], extra[240];
	st_call_t *c;

	x->number = started++;
	snprintf(path, sizeof(path), "/draft/%d", x->number);
	snprintf(extra, sizeof(extra),
		 "X-Buckthornchute-Model: m\r\nX-Buckthornchute-Token-Counts: 120,90\r\n"
		 "X-Buckthornchute-Prompt-Prefix: a1:80,%x:40\r\n",
		 0x1000 + x->number);
	c = st_call(s, x->number % GATEWAYS, "POST", path, "key-acme", extra, "{}", DEADLINE_MS,
		    on_end);
	c->ctx = x;
	if (started < STREAMS)
		st_after(s, STREAM_GAP_MS, start_next, s);
}

static void too_long(void *ctx)
{
	st_note(ctx, "too long");
	st_stop(ctx);
}

int main(int argc, char **argv)
{
	static st_t s;
	bool broken;

	if (argc < 2)
		return 2;
	st_init(&s, argv[1]);
	s.write_config = config;
	st_store_start(&s);
	st_write_config(&s);
	st_engine_new(&s, "i-1", "model", "v1", serve);
	st_engine_new(&s, "i-2", "model", "v1", serve);
	for (int i = 0; i < GATEWAYS; i++)
		st_node_add(&s);
	st_after(&s, STEADY_MS, start_next, &s);
	st_after(&s, 60000, too_long, &s);
	event_base_dispatch(s.base);
	st_note(&s,
		"%d streams, %d complete, %d answers spoilt, %d gone on with; ORDER: of the complete "
		"ones %d lack events and %d have some twice",
		started, complete, spoilt, continued, with_gap, with_repeat);
	broken = with_gap || with_repeat;
	if (ended != STREAMS || !complete || (s.trouble && !spoilt))
		return st_end(&s, broken ? 1 : 2);
	return st_end(&s, broken);
}
