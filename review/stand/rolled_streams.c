/*
 * rolled_streams.c - a planned restart of all gateways, one after the other, while streams run that
 * may be resumed. The gateway that stops last cuts its streams at the end of its grace period, and
 * their clients take them up at the other two, which have been back for seconds. All engines are of
 * one version all along. Do these streams go on as new ones begin?
 *
 * usage: rolled_streams FOLDER
 *
 * TROUBLE=0 restarts nothing. TROUBLE=one restarts only the gateway that serves the streams.
 */
#include "stand.h"

#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define GATEWAYS 3
#define STREAMS 40
#define NEW_STREAMS 20	 /* that begin at the other gateways when the old ones are taken up */
#define STREAM_GAP_MS 40 /* between the starts of two streams */
#define STEADY_MS 12000	 /* before the first SIGTERM: the fleet is in its steady state */
#define ROLL_GAP_MS 2000 /* roll_term: share 1, x 1, gap_s 2 */
#define STREAMS_AFTER_MS 200 /* the first SIGTERM, the first stream begins at the last gateway */
#define NEW_AFTER_MS 11800 /* likewise: the last gateway has ended */
#define EVENTS 140
#define EVENT_GAP_MS 100
#define DEADLINE_MS 15000
#define TRIES 3		   /* to take a stream up: its client's retries */
#define RETRY_MIN_MS 50
#define TAKEN_UP_MIN 12 /* of fewer the rule says nothing */

/* One stream as its client sees it, over all attempts. */
typedef struct stream {
	st_t *st;
	int number;
	int last;	 /* id of the last event */
	char version[8]; /* that wrote the first event */
	bool joined;	 /* of two versions */
	bool gap;	 /* an event is missing or comes twice */
	bool complete;
	bool goes_on;	 /* an event came after the stream was taken up */
	int taken_up_at; /* id of the last event then; 0: it was not */
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

static stream_t streams[STREAMS + NEW_STREAMS];
static int started, ended;

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


	if (x->last)
		snprintf(x->extra + x->extra_bytes, sizeof(x->extra) - x->extra_bytes,
			 "Last-Event-Id: %d\r\nResumes: %s\r\n", x->last, x->first_attempt);
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

static void try_again(void *ctx)
{
	stream_t *x = ctx;

	send_attempt(x, x->tries % (GATEWAYS - 1));
}

static void on_end(st_call_t *c)
{
	stream_t *x = c->ctx;
	st_t *s = x->st;
	int status = c->status, node = c->node, wait_ms = RETRY_MIN_MS;
	bool complete = c->complete;
	const char *text, *after;

	evbuffer_add(c->answer, "", 1);
	text = (const char *)evbuffer_pullup(c->answer, -1);
	after = strstr(text, "Retry-After: ");
	if (status == 200)
		read_events(x, text);
	else if (after)
		wait_ms = (int)(atof(after + 13) * 1000);
	x->goes_on = x->goes_on || (x->taken_up_at && x->last > x->taken_up_at);
	x->complete = status == 200 && complete;
	if (x->tries)
		st_note(s, "front-%d answers try %d to take up stream %d (begun by %s): %d", node + 1,
			x->tries, x->number, x->version, status);
	st_call_free(c);
	if (!x->complete && x->last && ++x->tries <= TRIES) {
		x->taken_up_at = x->taken_up_at ? x->taken_up_at : x->last;
		st_after(s, wait_ms, try_again, x);
		return;
	}
	if (++ended == STREAMS + NEW_STREAMS)
		st_stop(s);
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
	send_attempt(x, x->number < STREAMS ? GATEWAYS - 1 : x->number % (GATEWAYS - 1));
	if (started != STREAMS && started < STREAMS + NEW_STREAMS)
		st_after(s, STREAM_GAP_MS, start_next, s);
}

static void stop_one(void *ctx)
{
	st_node_t *n = ctx;

	st_note(n->st, "SIGTERM of front-%d", (int)(n - n->st->nodes) + 1);
	kill(n->pid, SIGTERM);
}

static void roll(st_t *s)
{
	for (int i = 0; i < GATEWAYS; i++) {
		if (!s->trouble || (!strcmp(s->mode, "one") && i < GATEWAYS - 1))
			continue;
		st_after(s, STEADY_MS + i * ROLL_GAP_MS, stop_one, &s->nodes[i]);
	}
}

static void too_long(void *ctx)
{
	st_note(ctx, "too long");
	st_stop(ctx);
}

int main(int argc, char **argv)
{
	static st_t s;
	int taken_up = 0, go_on = 0, begun = 0, joined = 0, complete = 0, code;

	if (argc < 2)
		return 2;
	st_init(&s, argv[1]);
	s.write_config = config;
	st_store_start(&s);
	st_write_config(&s);
	st_engine_new(&s, "i-1", "model", "v1", serve);
	st_engine_new(&s, "i-2", "model", "v1", serve);
	st_engine_new(&s, "i-3", "model", "v1", serve);
	for (int i = 0; i < GATEWAYS; i++)
		st_node_add(&s);
	roll(&s);
	st_after(&s, STEADY_MS + STREAMS_AFTER_MS, start_next, &s);
	st_after(&s, STEADY_MS + NEW_AFTER_MS, start_next, &s);
	st_after(&s, 60000, too_long, &s);
	event_base_dispatch(s.base);
	for (int i = 0; i < STREAMS + NEW_STREAMS; i++) {
		const stream_t *x = &streams[i];

		taken_up += i < STREAMS && x->taken_up_at;
		go_on += i < STREAMS && x->goes_on;
		begun += i >= STREAMS && x->last > 0;
		joined += x->joined || x->gap;
		complete += i < STREAMS && x->complete;
	}
	st_note(&s,
		"LOST: of %d streams %d were taken up, %d of these went on, and %d of all are complete; "
		"of %d new ones %d began; %d are joined or have a gap",
		STREAMS, taken_up, go_on, complete, NEW_STREAMS, begun, joined);
	if (!begun || (taken_up < TAKEN_UP_MIN && complete < STREAMS))
		code = 2;
	else
		code = (taken_up >= TAKEN_UP_MIN && 2 * go_on * NEW_STREAMS < begun * taken_up) || joined;
	return st_end(&s, code);
}
