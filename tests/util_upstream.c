/*
 * util_upstream.c - scripted upstreams, see util_gate.h. Each, and each connection to it, has a
 * thread of its own.
 */
#define _GNU_SOURCE
#include "tests/util_upstream.h"
#include "base/clock.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD "X-Buckthornchute-"
#define SLOW_EVENT_MS 550  /* between events of "streamslow" */
#define TRICKLE_MS 60	   /* between bytes of "streamtrickle" */
#define QUIET_MS 3000	   /* how long a silent upstream keeps its connection open */
#define FLOOD_EVENTS 16384 /* of 1 KB each */
#define FLOOD_SNDBUF_BYTES 65536
#define CUT_MS 500		/* for "streamfloodcut" */
#define SLOW_BODY_FIRST_MS 2500 /* longer than the gateway's TCP_USER_TIMEOUT of 1.5 s */
#define SLOW_BODY_MS 20
#define DIE_MS 150 /* from the arrival of a request to the end of the upstream, for "die" */

typedef struct conn {
	gate_upstream_t *u;
	int fd;
	char last_id[64]; /* of the request before */
} conn_t;

static void get_header(const char *head, const char *name, char *out, size_t size)
{
	const char *at = strcasestr(head, name);

	out[0] = '\0';
	if (!at)
		return;
	at += strlen(name);
	at += strspn(at, ": ");
	snprintf(out, size, "%.*s", (int)strcspn(at, "\r"), at);
}

/* Reads a body that the buffer has no room for. Returns false when the connection ended. */
static bool skip_body(int fd, const char *head, size_t body)
{
	char unused[65536];
	char script[128];
	bool slow;

	get_header(head, "\nX-Script", script, sizeof(script));
	slow = !strcmp(script, "slowbody");
	if (slow)
		bct_clock_sleep(SLOW_BODY_FIRST_MS);
	while (body) {
		ssize_t n = recv(fd, unused, body < sizeof(unused) ? body : sizeof(unused), 0);

		if (n <= 0)
			return false;
		body -= (size_t)n;
		if (slow)
			bct_clock_sleep(SLOW_BODY_MS);
	}
	return true;
}

/* Reads one request. Returns false when the connection ended. */
static bool read_request(int fd, char *buf, size_t size, size_t *have, gate_run_t *run)
{
	size_t head, body;
	char *end;

	buf[*have] = '\0';
	while (!(end = strstr(buf, "\r\n\r\n"))) {
		ssize_t n = recv(fd, buf + *have, size - 1 - *have, 0);

		if (n <= 0)
			return false;
		*have += (size_t)n;
		buf[*have] = '\0';
	}
	head = (size_t)(end - buf) + 4;
	snprintf(run->head, sizeof(run->head), "%.*s", (int)head, buf);
	get_header(run->head, "\nContent-Length", run->body, sizeof(run->body));
	body = strtoul(run->body, NULL, 10);
	if (head + body >= size) {
		body -= *have - head;
		*have = 0;
		return skip_body(fd, run->head, body);
	}
	while (*have < head + body) {
		ssize_t n = recv(fd, buf + *have, size - 1 - *have, 0);

		if (n <= 0)
			return false;
		*have += (size_t)n;
	}
	snprintf(run->body, sizeof(run->body), "%.*s", (int)body, buf + head);
	*have -= head + body;
	memmove(buf, buf + head + body, *have);
	return true;
}

static void put(int fd, const char *text)
{
	send(fd, text, strlen(text), MSG_NOSIGNAL);
}

static void put_answer(int fd, const char *status, const char *call_id, const char *extra,
		       const char *body, size_t send_bytes)
{
	char text[2048];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 %s\r\n" HEAD "Request-Attempt-Id: %s\r\n%sContent-Length: %zu\r\n\r\n"
		 "%.*s",
		 status, call_id, extra, strlen(body), (int)send_bytes, body);
	put(fd, text);
}

#define SEAL HEAD "Server-Seal: s\r\n"

/* Sends a refusal, or another answer, without an attempt id. */
static void put_bare(int fd, const char *kind)
{
	if (!strcmp(kind, "refusal"))
		put(fd,
		    "HTTP/1.1 503 Full\r\n" HEAD "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
	else if (!strcmp(kind, "wrong"))
		put(fd, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
	else
		put(fd, "HTTP/1.1 200 OK\r\n" SEAL "Content-Length: 6\r\n\r\ntheirs");
}

static void put_event(int fd, int id)
{
	char event[64], text[96];
	int n = snprintf(event, sizeof(event), "id: %d\ndata: e%d\n\n", id, id);

	snprintf(text, sizeof(text), "%x\r\n%s\r\n", n, event);
	put(fd, text);
}

/* Sends three events as one chunk; the id of the last one is no number. */
static void put_spoilt(int fd, int id)
{
	char events[128], text[192];
	int n = snprintf(events, sizeof(events),
			 "id: %d\ndata: e%d\n\nid: %d\ndata: e%d\n\nid: x\ndata: e%d\n\n", id, id,
			 id + 1, id + 1, id + 2);

	snprintf(text, sizeof(text), "%x\r\n%s\r\n0\r\n\r\n", n, events);
	put(fd, text);
}

static void reset(int fd)
{
	struct linger l = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

/* Waits up to ms for the gateway to close the connection. Returns whether it did. */
static bool wait_closed(int fd, uint32_t ms)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };
	char c;

	return poll(&p, 1, (int)ms) == 1 && recv(fd, &c, 1, MSG_DONTWAIT) <= 0;
}

/* Ends the upstream: from now on connections to it are refused. */
static void die(gate_upstream_t *u)
{
	bct_clock_sleep(DIE_MS);
	pthread_mutex_lock(&u->gate->lock);
	for (uint32_t i = 0; i < u->n_conns; i++)
		shutdown(u->conns[i], SHUT_RDWR);
	if (!u->dead)
		shutdown(u->fd, SHUT_RDWR);
	u->dead = true;
	pthread_mutex_unlock(&u->gate->lock);
}

/* Sends events without pause. Returns whether the connection stays open. */
static bool flood(int fd, bool cuts)
{
	struct timeval limit = { 0, CUT_MS * 1000 };
	int size = FLOOD_SNDBUF_BYTES;
	char text[1100];

	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
	if (cuts)
		setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	for (int i = 1; i <= FLOOD_EVENTS; i++) {
		int n = snprintf(text, sizeof(text), "400\r\nid: %-10d\ndata: %01001d\n\n\r\n", i,
				 i);

		if (send(fd, text, (size_t)n, MSG_NOSIGNAL) == n)
			continue;
		reset(fd);
		return false;
	}
	put(fd, "0\r\n\r\n");
	return true;
}

/* Sends the events after the request's Last-Event-Id. Returns whether the connection stays open. */
static bool stream(gate_upstream_t *u, int fd, const char *action, const gate_run_t *run)
{
	char last[32], text[512];
	int from;

	get_header(run->head, "\nLast-Event-Id", last, sizeof(last));
	from = atoi(last);
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\n" HEAD "Request-Attempt-Id: %s\r\n" SEAL
		 "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		 run->call_id, strcmp(action, "streamleaving") ? "" : "Server-Leaving: 1\r\n");
	put(fd, text);
	if (!strncmp(action, "streamflood", 11))
		return flood(fd, !strcmp(action, "streamfloodcut"));
	if (!strcmp(action, "streamspoilt")) {
		put_spoilt(fd, from + 1);
		return true;
	}
	for (int i = from + 1; i <= 5; i++) {
		put_event(fd, i);
		if (!strcmp(action, "streamcut") && i == 2) {
			bct_clock_sleep(50);
			reset(fd);
			return false;
		}
		if (!strcmp(action, "streamdie") && i == 1) {
			die(u);
			return false;
		}
		if (!strcmp(action, "streamhalf") && i == 1) {
			put(fd, "9\r\nid: 2\ndat\r\n0\r\n\r\n");
			return false;
		}
		if (!strcmp(action, "streamquiet") && i == 2) {
			wait_closed(fd, QUIET_MS);
			return false;
		}
		if (!strcmp(action, "streamtrickle") && i == 2) {
			for (int k = 0; k < 100 && !wait_closed(fd, TRICKLE_MS); k++)
				put(fd, "1\r\nd\r\n");
			return false;
		}
		if (!strcmp(action, "streamslow") && i < 5)
			bct_clock_sleep(SLOW_EVENT_MS);
	}
	put(fd, "0\r\n\r\n");
	return true;
}

/* Sends the head, then the same text again and again until the gateway closes the connection. */
static void send_without_end(int fd, const char *head, const char *again)
{
	size_t len = strlen(again);

	put(fd, head);
	while (send(fd, again, len, MSG_NOSIGNAL) > 0)
		;
}

/* Actions whose name begins with "endless". */
static void endless(int fd, const char *action, const char *id)
{
	char head[256], kilobyte[1025];

	memset(kilobyte, '0', sizeof(kilobyte) - 1);
	kilobyte[sizeof(kilobyte) - 1] = '\0';
	snprintf(head, sizeof(head), "HTTP/1.1 200 OK\r\n" HEAD "Request-Attempt-Id: %s\r\n" SEAL,
		 strcmp(action, "endlessforeign") ? id : "another");
	if (!strcmp(action, "endlesshead")) {
		send_without_end(fd, head, "X-More: 1\r\n");
	} else if (!strcmp(action, "endlessline")) {
		strcat(head, "X-More: ");
		send_without_end(fd, head, kilobyte);
	} else if (!strcmp(action, "endlessinterim")) {
		send_without_end(fd, "", "HTTP/1.1 100 Continue\r\n\r\n");
	} else if (!strcmp(action, "endlesschunk")) {
		strcat(head, "Transfer-Encoding: chunked\r\n\r\n");
		send_without_end(fd, head, kilobyte);
	} else if (!strcmp(action, "endlessforeign")) {
		strcat(head, "Transfer-Encoding: chunked\r\n\r\n");
		send_without_end(fd, head, "4\r\nbody\r\n");
	} else {
		strcat(head, "\r\n");
		send_without_end(fd, head, kilobyte);
	}
}

/* A response without a length that ends with its connection, or is reset half way. */
static void unframed(int fd, const char *action, const char *id)
{
	char text[256];
	bool resets = !strcmp(action, "unframedreset");

	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\n" HEAD "Request-Attempt-Id: %s\r\n" SEAL "\r\n%s", id,
		 resets ? "bo" : "body");
	put(fd, text);
	bct_clock_sleep(resets ? 50 : 0);
	if (resets)
		reset(fd);
}

/* A stream without chunks that ends with its connection, or inside an event. */
static void stream_unframed(int fd, const char *action, const gate_run_t *run)
{
	char text[512];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\n" HEAD "Request-Attempt-Id: %s\r\n" SEAL
		 "Content-Type: text/event-stream\r\n\r\n",
		 run->call_id);
	put(fd, text);
	if (!strcmp(action, "streamunframedhalf")) {
		put(fd, "id: 1\ndata: e1\n\nid: 2\ndat");
		return;
	}
	if (!strcmp(action, "streamendless")) {
		send_without_end(fd, "id: 1\ndata: ", "e1 e1 e1 e1 e1 e1 e1 e1 ");
		return;
	}
	for (int i = 1; i <= 5; i++) {
		snprintf(text, sizeof(text), "id: %d\ndata: e%d\n\n", i, i);
		put(fd, text);
	}
}

/* Responds as the action says. Returns whether the connection stays open. */
static bool take_action(conn_t *c, const char *action, gate_run_t *run)
{
	const char *id = run->call_id;

	if (!strncmp(action, "streamunframed", 14) || !strcmp(action, "streamendless")) {
		stream_unframed(c->fd, action, run);
		return false;
	}
	if (!strncmp(action, "endless", 7)) {
		endless(c->fd, action, id);
		return false;
	}
	if (!strncmp(action, "unframed", 8)) {
		unframed(c->fd, action, id);
		return false;
	}
	if (!strncmp(action, "stream", 6))
		return stream(c->u, c->fd, action, run);
	if (!strcmp(action, "error")) {
		put_answer(c->fd, "500 Oops", id, SEAL, "bad", 3);
	} else if (!strcmp(action, "notrun")) {
		put_answer(c->fd, "503 Full", id, HEAD "Not-Executed: 1\r\n", "", 0);
	} else if (!strcmp(action, "limit")) {
		put_answer(c->fd, "200 OK", id, SEAL "Server-Limit: 1\r\n", "body", 4);
	} else if (!strcmp(action, "claims")) {
		put_answer(c->fd, "500 Oops", id, SEAL "Chute-Relay-Outcome: not_run\r\n", "bad",
			   3);
	} else if (!strcmp(action, "brittle")) {
		put_answer(c->fd, "200 OK", id, SEAL "Server-Brittle: 2\r\n", "body", 4);
	} else if (!strcmp(action, "brittlebad")) {
		put_answer(c->fd, "200 OK", id, SEAL "Server-Brittle: few\r\n", "body", 4);
	} else if (!strcmp(action, "brittlefull")) {
		put_answer(c->fd, "503 Full", id, HEAD "Not-Executed: 1\r\nServer-Brittle: 2\r\n",
			   "", 0);
	} else if (!strcmp(action, "leaving")) {
		put_answer(c->fd, "200 OK", id, SEAL "Server-Leaving: 1\r\n", "body", 4);
	} else if (!strcmp(action, "leaving500")) {
		put_answer(c->fd, "500 Oops", id, SEAL "Server-Leaving: 1\r\n", "bad", 3);
	} else if (!strcmp(action, "leaving503")) {
		put_answer(c->fd, "503 Full", id, HEAD "Not-Executed: 1\r\nServer-Leaving: 1\r\n",
			   "", 0);
	} else if (!strcmp(action, "leavingbad")) {
		put_answer(c->fd, "200 OK", id, SEAL "Server-Leaving: soon\r\n", "body", 4);
	} else if (!strcmp(action, "pause")) {
		put_answer(c->fd, "503 Full", id, HEAD "Not-Executed: 1\r\nRetry-After: 600.5\r\n",
			   "", 0);
	} else if (!strcmp(action, "pauseshort")) {
		put_answer(c->fd, "503 Full", id, HEAD "Not-Executed: 1\r\nRetry-After: 0.5\r\n",
			   "", 0);
	} else if (!strcmp(action, "pausebad")) {
		put_answer(c->fd, "503 Full", id,
			   HEAD "Not-Executed: 1\r\n"
				"Retry-After: Fri, 04 Dec 2026 08:00:00 GMT\r\n",
			   "", 0);
	} else if (!strcmp(action, "wrong")) {
		put_answer(c->fd, "421 Misdirected", id, "", "", 0);
	} else if (!strcmp(action, "noseal")) {
		put_answer(c->fd, "200 OK", id, "", "body", 4);
	} else if (!strcmp(action, "foreign")) {
		put_answer(c->fd, "200 OK", "another", SEAL, "theirs", 6);
		put_answer(c->fd, "200 OK", id, SEAL, "body", 4);
	} else if (!strcmp(action, "latecopy")) {
		put_answer(c->fd, "200 OK", c->last_id, SEAL, "theirs", 6);
		bct_clock_sleep(20);
		put_answer(c->fd, "200 OK", id, SEAL, "body", 4);
	} else if (!strcmp(action, "head")) {
		put_answer(c->fd, "200 OK", id, SEAL, "body", 0);
	} else if (!strcmp(action, "headstream")) {
		put_answer(c->fd, "200 OK", id, SEAL "Content-Type: text/event-stream\r\n", "", 0);
	} else if (!strncmp(action, "bare", 4)) {
		put_bare(c->fd, action + 4);
	} else if (!strncmp(action, "stray", 5)) {
		put_bare(c->fd, action + 5);
		bct_clock_sleep(20);
		put_answer(c->fd, "200 OK", id, SEAL, "body", 4);
	} else if (!strcmp(action, "slow")) {
		bct_clock_sleep(SLOW_EVENT_MS);
		put_answer(c->fd, "200 OK", id, SEAL, "body", 4);
	} else if (!strcmp(action, "extra")) {
		put_answer(c->fd, "200 OK", id, SEAL, "body", 4);
		put_answer(c->fd, "200 OK", id, SEAL, "more", 4);
	} else if (!strcmp(action, "cut")) {
		put_answer(c->fd, "200 OK", id, SEAL, "body", 2);
		return false;
	} else if (!strcmp(action, "reset")) {
		reset(c->fd);
		return false;
	} else if (!strcmp(action, "silent")) {
		run->aborted = wait_closed(c->fd, QUIET_MS);
		return false;
	} else if (!strcmp(action, "die")) {
		die(c->u);
		return false;
	} else {
		put_answer(c->fd, "200 OK", id, SEAL, "body", 4);
	}
	return true;
}

/* Records the arrival and finds the script's action for it. Returns the record. */
static gate_run_t *record_run(conn_t *c, const gate_run_t *in, char *action, size_t size)
{
	test_gate_t *t = c->u->gate;
	char script[128], *save = NULL, *at;
	gate_run_t *run;
	uint32_t n = 0;

	pthread_mutex_lock(&t->lock);
	for (uint32_t i = 0; i < t->n_runs; i++)
		n += !strcmp(t->runs[i].call_id, in->call_id);
	run = &t->runs[t->n_runs < GATE_RUNS_MAX - 1 ? t->n_runs++ : GATE_RUNS_MAX - 1];
	*run = *in;
	snprintf(run->upstream_id, sizeof(run->upstream_id), "%s", c->u->id);
	pthread_mutex_unlock(&t->lock);
	get_header(in->head, "\nX-Script", script, sizeof(script));
	at = strtok_r(script, ", ", &save);
	snprintf(action, size, "%s", at ? at : "ok");
	while (n-- && (at = strtok_r(NULL, ", ", &save)) != NULL)
		snprintf(action, size, "%s", at);
	return run;
}

static void add_conn(gate_upstream_t *u, int fd)
{
	pthread_mutex_lock(&u->gate->lock);
	cr_assert_lt(u->n_conns, GATE_CONNS_MAX);
	u->conns[u->n_conns++] = fd;
	pthread_mutex_unlock(&u->gate->lock);
}

static void close_conn(gate_upstream_t *u, int fd)
{
	pthread_mutex_lock(&u->gate->lock);
	for (uint32_t i = 0; i < u->n_conns; i++) {
		if (u->conns[i] == fd)
			u->conns[i--] = u->conns[--u->n_conns];
	}
	close(fd);
	pthread_mutex_unlock(&u->gate->lock);
}

static void *serve_conn(void *arg)
{
	conn_t *c = arg;
	char buf[16384], action[32];
	size_t have = 0;
	gate_run_t in;

	memset(&in, 0, sizeof(in));
	add_conn(c->u, c->fd);
	while (read_request(c->fd, buf, sizeof(buf), &have, &in)) {
		gate_run_t *run;

		get_header(in.head, "\n" HEAD "Request-Attempt-Id", in.call_id, sizeof(in.call_id));
		run = record_run(c, &in, action, sizeof(action));
		if (!take_action(c, action, run))
			break;
		snprintf(c->last_id, sizeof(c->last_id), "%s", in.call_id);
	}
	close_conn(c->u, c->fd);
	free(c);
	return NULL;
}

static void *serve_upstream(void *arg)
{
	gate_upstream_t *u = arg;

	for (;;) {
		conn_t *c = calloc(1, sizeof(*c));
		pthread_t thread;

		c->u = u;
		c->fd = accept(u->fd, NULL, NULL);
		if (c->fd < 0 || pthread_create(&thread, NULL, serve_conn, c)) {
			close(u->fd);
			free(c);
			return NULL;
		}
		pthread_detach(thread);
		pthread_mutex_lock(&u->gate->lock);
		u->gate->connections++;
		pthread_mutex_unlock(&u->gate->lock);
	}
}

static int listen_any(uint16_t *port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	cr_assert_eq(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	cr_assert_eq(listen(fd, 64), 0);
	getsockname(fd, (struct sockaddr *)&sa, &len);
	*port = ntohs(sa.sin_port);
	return fd;
}

void test_upstream_start(test_gate_t *t, gate_upstream_t *u, const char *id, const char *service)
{
	snprintf(u->id, sizeof(u->id), "%s", id);
	u->service = service;
	if (!u->software)
		u->software = "v1";
	u->gate = t;
	u->fd = listen_any(&u->port);
	cr_assert_eq(pthread_create(&u->thread, NULL, serve_upstream, u), 0);
}

void test_upstream_restart(gate_upstream_t *u)
{
	uint16_t port;
	int fd = listen_any(&port);

	pthread_join(u->thread, NULL);
	pthread_mutex_lock(&u->gate->lock);
	u->fd = fd;
	u->port = port;
	u->dead = false;
	u->starts++;
	if (!u->gate->keep_ids)
		snprintf(u->id + strcspn(u->id, "."), 8, ".%u", u->starts);
	pthread_mutex_unlock(&u->gate->lock);
	cr_assert_eq(pthread_create(&u->thread, NULL, serve_upstream, u), 0);
}
