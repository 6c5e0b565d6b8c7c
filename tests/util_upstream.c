/*
 * util_upstream.c - scripted upstreams, see util_gate.h. Each, and each connection to it, has a
 * thread of its own.
 */
#define _GNU_SOURCE
#include "tests/util_upstream.h"
#include "tests/util_upstream_int.h"
#include "tests/util_raw.h"
#include "base/clock.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SLOW_BODY_FIRST_MS 2500 /* longer than the gateway's TCP_USER_TIMEOUT of 1.5 s */
#define SLOW_BODY_MS 20
#define DIE_MS 150 /* from the arrival of a request to the end of the upstream, for "die" */

typedef struct conn {
	gate_upstream_t *u;
	int fd;
	char last_id[64]; /* of the request before */
} conn_t;

void upstream_get_header(const char *head, const char *name, char *out, size_t size)
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

	upstream_get_header(head, "\nX-Script", script, sizeof(script));
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

/* Whether the request is to be answered before its body is read. */
static bool is_early(const char *head)
{
	char script[128];

	upstream_get_header(head, "\nX-Script", script, sizeof(script));
	return !strncmp(script, "early", 5);
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
	if (is_early(run->head)) {
		*have = 0;
		return true;
	}
	upstream_get_header(run->head, "\nContent-Length", run->body, sizeof(run->body));
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

void upstream_put(int fd, const char *text)
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
	upstream_put(fd, text);
}

/* Sends a refusal, or another answer, without an attempt id. */
static void put_bare(int fd, const char *kind)
{
	if (!strcmp(kind, "refusal"))
		upstream_put(fd, "HTTP/1.1 503 Full\r\n" HEAD
				 "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
	else if (!strcmp(kind, "wrong"))
		upstream_put(fd, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
	else
		upstream_put(fd, "HTTP/1.1 200 OK\r\n" SEAL "Content-Length: 6\r\n\r\ntheirs");
}

void upstream_reset(int fd)
{
	struct linger l = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

/* Waits up to ms for the gateway to close the connection. Returns whether it did. */
bool upstream_wait_closed(int fd, uint32_t ms)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };
	char c;

	return poll(&p, 1, (int)ms) == 1 && recv(fd, &c, 1, MSG_DONTWAIT) <= 0;
}

/* Ends the upstream: from now on connections to it are refused. */
void upstream_die(gate_upstream_t *u)
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

/* Sends the head, then the same text again and again until the gateway closes the connection. */
void upstream_send_without_end(int fd, const char *head, const char *again)
{
	size_t len = strlen(again);

	upstream_put(fd, head);
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
		upstream_send_without_end(fd, head, "X-More: 1\r\n");
	} else if (!strcmp(action, "endlessline")) {
		strcat(head, "X-More: ");
		upstream_send_without_end(fd, head, kilobyte);
	} else if (!strcmp(action, "endlessinterim")) {
		upstream_send_without_end(fd, "", "HTTP/1.1 100 Continue\r\n\r\n");
	} else if (!strcmp(action, "endlesschunk")) {
		strcat(head, "Transfer-Encoding: chunked\r\n\r\n");
		upstream_send_without_end(fd, head, kilobyte);
	} else if (!strcmp(action, "endlessforeign")) {
		strcat(head, "Transfer-Encoding: chunked\r\n\r\n");
		upstream_send_without_end(fd, head, "4\r\nbody\r\n");
	} else {
		strcat(head, "\r\n");
		upstream_send_without_end(fd, head, kilobyte);
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
	upstream_put(fd, text);
	bct_clock_sleep(resets ? 50 : 0);
	if (resets)
		upstream_reset(fd);
}

/* Actions that are one whole response. */
static const struct plain_answer {
	const char *action, *status, *headers, *body;
} plain_answers[] = {
	{ "error", "500 Oops", SEAL, "bad" },
	{ "notrun", "503 Full", NOT_RUN, "" },
	{ "limit", "200 OK", SEAL "Server-Limit: 1\r\n", "body" },
	{ "claims", "500 Oops", SEAL "Chute-Relay-Outcome: not_run\r\n", "bad" },
	{ "brittle", "200 OK", SEAL "Server-Brittle: 2\r\n", "body" },
	{ "brittlebad", "200 OK", SEAL "Server-Brittle: few\r\n", "body" },
	{ "brittlefull", "503 Full", NOT_RUN "Server-Brittle: 2\r\n", "" },
	{ "leaving", "200 OK", SEAL "Server-Leaving: 1\r\n", "body" },
	{ "leaving500", "500 Oops", SEAL "Server-Leaving: 1\r\n", "bad" },
	{ "leaving503", "503 Full", NOT_RUN "Server-Leaving: 1\r\n", "" },
	{ "leavingbad", "200 OK", SEAL "Server-Leaving: soon\r\n", "body" },
	{ "pause", "503 Full", NOT_RUN "Retry-After: 600.5\r\n", "" },
	{ "pauseshort", "503 Full", NOT_RUN "Retry-After: 0.5\r\n", "" },
	{ "pausebad", "503 Full", NOT_RUN "Retry-After: Fri, 04 Dec 2026 08:00:00 GMT\r\n", "" },
	{ "wrong", "421 Misdirected", "", "" },
	{ "noseal", "200 OK", "", "body" },
	{ "headstream", "200 OK", SEAL "Content-Type: text/event-stream\r\n", "" },
};

/* Returns whether the action is one of them. */
static bool put_plain_answer(int fd, const char *action, const char *id)
{
	for (size_t i = 0; i < sizeof(plain_answers) / sizeof(plain_answers[0]); i++) {
		const struct plain_answer *a = &plain_answers[i];

		if (strcmp(a->action, action) != 0)
			continue;
		put_answer(fd, a->status, id, a->headers, a->body, strlen(a->body));
		return true;
	}
	return false;
}

/* Responds as the action says. Returns whether the connection stays open. */
static bool take_action(conn_t *c, const char *action, gate_run_t *run)
{
	const char *id = run->call_id;

	if (!strncmp(action, "streamunframed", 14) || !strcmp(action, "streamendless")) {
		upstream_stream_unframed(c->fd, action, run);
		return false;
	}
	if (!strncmp(action, "raw", 3) || !strncmp(action, "early", 5)) {
		const raw_answer_t *a =
			&c->u->gate->raw[atoi(action + strcspn(action, "0123456789"))];

		test_raw_send(c->fd, a, id);
		return a->end == RAW_OPEN;
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
		return upstream_stream(c->u, c->fd, action, run);
	if (put_plain_answer(c->fd, action, id))
		return true;
	if (!strcmp(action, "foreign")) {
		put_answer(c->fd, "200 OK", "another", SEAL, "theirs", 6);
		put_answer(c->fd, "200 OK", id, SEAL, "body", 4);
	} else if (!strcmp(action, "latecopy")) {
		put_answer(c->fd, "200 OK", c->last_id, SEAL, "theirs", 6);
		bct_clock_sleep(20);
		put_answer(c->fd, "200 OK", id, SEAL, "body", 4);
	} else if (!strcmp(action, "head")) {
		put_answer(c->fd, "200 OK", id, SEAL, "body", 0);
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
		upstream_reset(c->fd);
		return false;
	} else if (!strcmp(action, "silent")) {
		run->aborted = upstream_wait_closed(c->fd, QUIET_MS);
		return false;
	} else if (!strcmp(action, "die")) {
		upstream_die(c->u);
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
	upstream_get_header(in->head, "\nX-Script", script, sizeof(script));
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

		upstream_get_header(in.head, "\n" HEAD "Request-Attempt-Id", in.call_id,
				    sizeof(in.call_id));
		run = record_run(c, &in, action, sizeof(action));
		if (!take_action(c, action, run))
			break;
		/* A close with unread bytes would reset the connection, and the answer with it. */
		if (is_early(in.head)) {
			while (recv(c->fd, buf, sizeof(buf), 0) > 0)
				;
			break;
		}
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
