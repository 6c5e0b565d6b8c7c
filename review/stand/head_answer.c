/*
 * head_answer.c - clients that keep their channels, on which they send HEAD requests to one route
 * and POST requests, which may run once, to another one. A new version of the configuration removes
 * the first route. Does a client find the answer to its request on its channel, and nothing else?
 *
 * A client reads from its channel while it waits for an answer, and only then.
 *
 * usage: head_answer FOLDER
 *
 * TROUBLE=0 writes the same version without removing the route. TROUBLE=get is the disruption with
 * GET in place of HEAD.
 */
#include "stand.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define H "X-Buckthornchute-"
#define GATEWAYS 3
#define CLIENTS 12
#define TURN_MS 250    /* between two requests of a client */
#define STEADY_MS 9000 /* before the first request: the fleet is in its steady state */
#define CHANGE_MS 6000 /* after it: the route is removed */
#define LENGTH_MS 14000
#define DEADLINE_MS 2000

/* A client with one channel, which it opens again after it has failed. */
typedef struct client {
	st_t *st;
	int number, turn;
	struct bufferevent *bev;
	char id[ST_ID_BYTES], method[8], path[40];
	bool waits;	   /* for the answer to id */
	int64_t sent_at;
} client_t;

static client_t clients[CLIENTS];
static bool removed;
static int sent, answered, refused, stray, ran_without_answer, unanswered, runs;
static char ran_last[CLIENTS][ST_ID_BYTES]; /* the last POST of each client that has run */

static void config(st_t *s, char *out, size_t size)
{
	static const char old[] =
		"{\"name\":\"old\",\"host\":\"h.example\",\"path_prefix\":\"/old/\",\"kind\":\"safe\","
		"\"service\":\"desk\",\"timeout_ms\":3000,\"target_latency_ms\":300,\"priority\":2,"
		"\"attempts\":2},";

	snprintf(out, size,
		 "{\"version\":%" PRIu64
		 ",\"routes\":[%s{\"name\":\"book\",\"host\":\"h.example\",\"path_prefix\":\"/book/\","
		 "\"kind\":\"unsafe\",\"service\":\"desk\",\"timeout_ms\":3000,"
		 "\"target_latency_ms\":300,\"priority\":1,\"attempts\":2}],"
		 "\"services\":[{\"name\":\"desk\"}],"
		 "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,"
		 "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
		 "\"tenants\":[{\"name\":\"acme\",\"api_keys\":[\"key-acme\"]}]}",
		 s->version, removed ? "" : old);
}

static void serve(st_req_t *r)
{
	int number = 0;

	runs++;
	if (sscanf(r->path, "/book/%d", &number) == 1)
		memcpy(ran_last[number % CLIENTS], r->id, ST_ID_BYTES);
	if (strcmp(r->method, "HEAD") != 0) {
		st_answer(r, 200, "", "the server's bytes");
	} else if (r->bev) {
		/* The head of the answer to a GET, and no body. */
		evbuffer_add_printf(bufferevent_get_output(r->bev),
				    "HTTP/1.1 200 OK\r\n" H "Request-Attempt-Id: %s\r\n" H
				    "Server-Seal: %s.%s\r\nContent-Length: 18\r\n\r\n",
				    r->id, r->engine->id, r->id);
	}
	st_req_free(r);
}

static void drop_channel(client_t *c)
{
	if (c->bev)
		bufferevent_free(c->bev);
	c->bev = NULL;
	c->waits = false;
}

/* Notes bytes that are no answer to the request; the channel can't be used any more. */
static void on_stray(client_t *c, const char *text, size_t len)
{
	char shown[80];
	size_t n = len < sizeof(shown) - 1 ? len : sizeof(shown) - 1;

	for (size_t i = 0; i < n; i++)
		shown[i] = text[i] == '\r' || text[i] == '\n' ? '|' : text[i];
	shown[n] = '\0';
	stray++;
	ran_without_answer += !strcmp(c->id, ran_last[c->number]);
	st_note(c->st, "client %d, %s: %s %s gets bytes that are no answer: \"%s\"%s", c->number,
		c->id, c->method, c->path, shown,
		!strcmp(c->id, ran_last[c->number]) ? "; it has run" : "");
	drop_channel(c);
}

/* Reads one answer: its head, and a body unless the request was HEAD. */
static void on_read(struct bufferevent *bev, void *ctx)
{
	client_t *c = ctx;
	struct evbuffer *in = bufferevent_get_input(bev);
	size_t len = evbuffer_get_length(in), body = 0, head;
	struct evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, NULL);
	char *text = calloc(1, len + 1);
	const char *at;

	evbuffer_copyout(in, text, len);
	if (!c->waits) {
		free(text);
		return;
	}
	if (strncmp(text, "HTTP/1.1 ", len < 9 ? len : 9) != 0) {
		on_stray(c, text, len);
		free(text);
		return;
	}
	at = strstr(text, "Content-Length: ");
	if (end.pos < 0) {
		free(text);
		return;
	}
	head = (size_t)end.pos + 4;
	if (at && at < text + head && strcmp(c->method, "HEAD") != 0)
		body = strtoul(at + 16, NULL, 10);
	if (len >= head + body) {
		int status = atoi(text + 9);

		evbuffer_drain(in, head + body);
		c->waits = false;
		answered++;
		refused += status != 200;
		if (status != 200)
			st_note(c->st, "client %d, %s: %s %s is answered %d", c->number, c->id,
				c->method, c->path, status);
		if (strstr(text, "Connection: close"))
			drop_channel(c);
	}
	free(text);
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	client_t *c = ctx;

	(void)bev;
	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	unanswered += c->waits;
	drop_channel(c);
}

static void open_channel(client_t *c)
{
	st_t *s = c->st;
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(s->port) };

	inet_pton(AF_INET, s->nodes[c->number % GATEWAYS].ip, &sa.sin_addr);
	c->bev = bufferevent_socket_new(s->base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	bufferevent_socket_connect(c->bev, (struct sockaddr *)&sa, sizeof(sa));
}

/* A client books now and then and looks whether something is there in between. */
static void next_turn(void *ctx)
{
	client_t *c = ctx;
	st_t *s = c->st;
	bool post = c->turn++ % 2 == 0;

	if (st_now() - s->began > STEADY_MS + LENGTH_MS)
		return;
	st_after(s, TURN_MS, next_turn, c);
	if (c->waits && st_now() - c->sent_at < DEADLINE_MS)
		return;
	if (c->waits) {
		unanswered++;
		drop_channel(c);
	}
	if (!c->bev)
		open_channel(c);
	snprintf(c->id, sizeof(c->id), "%08x%08x", (unsigned)s->began, ++s->calls);
	snprintf(c->method, sizeof(c->method), "%s",
		 post ? "POST" : !strcmp(s->mode, "get") ? "GET" : "HEAD");
	snprintf(c->path, sizeof(c->path), "/%s/%d", post ? "book" : "old", c->number);
	evbuffer_add_printf(bufferevent_get_output(c->bev),
			    "%s %s HTTP/1.1\r\nHost: h.example\r\n" H "Request-Attempt-Id: %s\r\n" H
			    "Deadline-Milliseconds: %d\r\nApi-Key: key-acme\r\n%s",
			    c->method, c->path, c->id, DEADLINE_MS,
			    post ? "Content-Length: 2\r\n\r\n{}" : "\r\n");
	c->waits = true;
	c->sent_at = st_now();
	sent++;
}

static void start(void *ctx)
{
	st_t *s = ctx;

	for (int i = 0; i < CLIENTS; i++) {
		clients[i].st = s;
		clients[i].number = i;
		st_after(s, i * TURN_MS / CLIENTS, next_turn, &clients[i]);
	}
}

static void change(void *ctx)
{
	st_t *s = ctx;

	removed = s->trouble;
	st_write_config(s);
	st_note(s, "version %" PRIu64 " is written%s", s->version,
		removed ? ": the route \"old\" is gone" : "");
}

static void finish(void *ctx)
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
	st_engine_new(&s, "i-1", "desk", "v1", serve);
	st_engine_new(&s, "i-2", "desk", "v1", serve);
	for (int i = 0; i < GATEWAYS; i++)
		st_node_add(&s);
	st_after(&s, STEADY_MS, start, &s);
	st_after(&s, STEADY_MS + CHANGE_MS, change, &s);
	st_after(&s, STEADY_MS + LENGTH_MS + 2 * DEADLINE_MS, finish, &s);
	event_base_dispatch(s.base);
	st_note(&s,
		"%d requests, %d ran, %d answered (%d of them not 200), %d without an answer; MIXED: %d "
		"got bytes that are no answer, %d of these have run",
		sent, runs, answered, refused, unanswered, stray, ran_without_answer);
	code = stray ? 1 : answered > sent / 2 && !unanswered ? 0 : 2;
	return st_end(&s, code);
}
