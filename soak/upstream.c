/*
 * upstream.c - an upstream that counts the runs of each request and answers correctly, with a
 * random fault or not at all.
 */
#include "soak/soak.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define EVENTS 6 /* in a complete stream */
#define EVENT_GAP_MS 40
#define FAULT_PERCENT 12  /* share of answers with a fault */
#define NO_ANSWER_MS 2500 /* longer than the time limit of the routes */
#define HEADER_PREFIX "X-Buckthornchute-"

typedef struct conn {
	soak_upstream_t *u;
	int fd;
} conn_t;

typedef struct request {
	char id[SOAK_ID_BYTES];
	char path[64];
	char expected[32];   /* Expected-Instance header: id of the upstream that is meant */
	int last_event_id;   /* of the Last-Event-Id header; 0: none */
	char statements[80]; /* header lines of the upstream about itself */
} request_t;

static void copy_header(const char *head, const char *name, char *out, size_t size)
{
	const char *at = strstr(head, name);

	out[0] = '\0';
	if (at)
		snprintf(out, size, "%.*s", (int)strcspn(at + strlen(name), "\r"),
			 at + strlen(name));
}

/* Reads one request, which has no body. returns false at the end of the connection. */
static bool read_request(int fd, request_t *r)
{
	char buf[8192], number[24];
	size_t buf_len = 0;

	for (;;) {
		ssize_t n = recv(fd, buf + buf_len, sizeof(buf) - 1 - buf_len, 0);

		if (n <= 0)
			return false;
		buf_len += (size_t)n;
		buf[buf_len] = '\0';
		if (strstr(buf, "\r\n\r\n"))
			break;
	}
	if (sscanf(buf, "%*s %63s", r->path) != 1)
		return false;
	copy_header(buf, HEADER_PREFIX "Request-Attempt-Id: ", r->id, sizeof(r->id));
	copy_header(buf, HEADER_PREFIX "Expected-Instance: ", r->expected, sizeof(r->expected));
	copy_header(buf, "Last-Event-Id: ", number, sizeof(number));
	r->last_event_id = atoi(number);
	return true;
}

static bool send_text(int fd, const char *text)
{
	return send(fd, text, strlen(text), MSG_NOSIGNAL) == (ssize_t)strlen(text);
}

static bool send_head(int fd, const request_t *r, const char *status, const char *more)
{
	char text[512];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 %s\r\n" HEADER_PREFIX "Request-Attempt-Id: %s\r\n%s%s\r\n", status,
		 r->id, r->statements, more);
	return send_text(fd, text);
}

/*
 * Whether a change must be in force by now: its bound counts from the later of the change and the
 * last fault, and disturbed nodes get SOAK_SETTLE_MS more to reconnect.
 */
static bool is_past_bound(bct_time_t now, bct_time_t changed_at, bct_time_t last_fault_at,
			  uint32_t bound_ms)
{
	bct_time_t since = changed_at > last_fault_at ? changed_at : last_fault_at;

	return now > since + bound_ms + SOAK_SETTLE_MS;
}

/* Formats what the upstream states about itself now. The first answers of a kind set its time. */
static void format_statements(soak_upstream_t *u, char *out, size_t size)
{
	bct_time_t now = bct_clock_now();
	char limit[48] = "";

	if (u->limit_rps) {
		snprintf(limit, sizeof(limit), "Server-Limit: %u\r\n", u->limit_rps);
		u->limit_since = u->limit_since ? u->limit_since : now;
	}
	if (u->states_leaving)
		u->stated_since = u->stated_since ? u->stated_since : now;
	snprintf(out, size, "%s%s", limit, u->states_leaving ? "Server-Leaving: 1\r\n" : "");
}

/* Notes an arrival. returns the number in the last window, this one included. */
static uint32_t count_arrivals(soak_upstream_t *u, bct_time_t now)
{
	uint32_t n = 0;

	u->arrivals[u->n_arrivals++ % SOAK_ARRIVALS] = now;
	for (uint32_t i = 0; i < SOAK_ARRIVALS && i < u->n_arrivals; i++)
		n += now - u->arrivals[i] < SOAK_LIMIT_WINDOW_MS;
	return n;
}

/* Checks that the upstream gets no more requests than it has stated that it accepts. */
static void check_statements(soak_upstream_t *u, const request_t *r, bct_time_t now)
{
	soak_t *s = u->soak;
	bct_time_t limit_since, stated_since, last_fault_at;
	uint32_t n, allowed;

	pthread_mutex_lock(&s->lock);
	n = count_arrivals(u, now);
	allowed = u->limit_rps * SOAK_LIMIT_WINDOW_MS * 3 / 2 / BCT_MS_PER_S + 5;
	limit_since = u->limit_rps ? u->limit_since : 0;
	stated_since = u->stated_since;
	last_fault_at = s->last_fault_at;
	pthread_mutex_unlock(&s->lock);
	if (limit_since && n > allowed &&
	    is_past_bound(now, limit_since, last_fault_at, SOAK_LIMIT_WINDOW_MS))
		soak_violation(s, "LIMIT", "%s is request %u in 4 s at %s, %u are allowed", r->id,
			       n, u->id, allowed);
	if (stated_since && is_past_bound(now, stated_since, last_fault_at, SOAK_DRAIN_MS))
		soak_violation(s, "DRAIN", "%s reached %s %lld ms after it stated its leaving",
			       r->id, u->id, (long long)(now - stated_since));
}

/* Checks that a request did not come by an outdated route or too late to a leaving upstream. */
static void check_arrival(soak_upstream_t *u, const request_t *r, bct_time_t now)
{
	soak_t *s = u->soak;
	bct_time_t leaving_since, last_fault_at, route_changed_at;
	bool safe_route_swapped;

	pthread_mutex_lock(&s->lock);
	leaving_since = u->leaving_since;
	last_fault_at = s->last_fault_at;
	route_changed_at = s->route_changed_at;
	safe_route_swapped = s->safe_route_swapped;
	pthread_mutex_unlock(&s->lock);
	if (!strncmp(r->path, "/safe/", 6) &&
	    strcmp(u->service, safe_route_swapped ? "desk" : "model") != 0 &&
	    is_past_bound(now, route_changed_at, last_fault_at, SOAK_CONFIG_MS + SOAK_TIMEOUT_MS))
		soak_violation(s, "CONFIG", "%s reached %s by an outdated route", r->id, u->id);
	if (leaving_since && is_past_bound(now, leaving_since, last_fault_at, SOAK_DRAIN_MS))
		soak_violation(s, "DRAIN", "%s reached %s %lld ms after the upstream left", r->id,
			       u->id, (long long)(now - leaving_since));
}

/* A request with the bad part runs: its node must have refused it once the bound has passed. */
static void check_bad_part(soak_t *s, const soak_call_t *call, const request_t *r)
{
	bct_time_t now = bct_clock_now();
	uint32_t after = 0;

	pthread_mutex_lock(&s->lock);
	if (s->bad_bound_at && now > s->bad_bound_at &&
	    now > s->nodes[call->node].last_fault_at + SOAK_SETTLE_MS)
		after = ++s->bad_after;
	pthread_mutex_unlock(&s->lock);
	if (after > SOAK_PART_AFTER_MAX)
		soak_violation(s, "BUDGET",
			       "%s is request %u with a part under which %u upstreams "
			       "had ended",
			       r->id, after, SOAK_PART_CRASHES);
}

/* Ends the upstream with all its connections; it starts again a little later. */
static void crash(soak_upstream_t *u)
{
	soak_t *s = u->soak;

	pthread_mutex_lock(&s->lock);
	if (!u->crashed) {
		u->crashed = true;
		s->bad_crash_at = bct_clock_now();
		u->restart_at = s->bad_crash_at + SOAK_PART_RESTART_MS;
		for (uint32_t i = 0; i < u->n_conns; i++)
			shutdown(u->conns[i], SHUT_RDWR);
		if (++s->bad_crashes == SOAK_PART_CRASHES)
			s->bad_bound_at = s->bad_crash_at + SOAK_SETTLE_MS;
	}
	pthread_mutex_unlock(&s->lock);
}

void soak_upstreams_supervise(soak_t *s)
{
	for (int i = 0; i < SOAK_UPSTREAMS; i++) {
		soak_upstream_t *u = &s->upstreams[i];

		if (!u->restart_at || bct_clock_now() < u->restart_at)
			continue;
		u->restart_at = 0;
		u->crashed = false;
		u->born++;
		u->sequence = 0;
		soak_write_entry(u);
	}
}

/* Counts a run; checks that unsafe requests and streams run once, and refused ones never. returns
 * whether it crashes the upstream. */
static bool record_run(soak_upstream_t *u, const request_t *r)
{
	soak_t *s = u->soak;
	uint32_t i = (uint32_t)strtoul(r->id + 2, NULL, 10);
	soak_call_t call = { 0 };

	pthread_mutex_lock(&s->lock);
	if (i < s->n_calls) {
		s->calls[i].runs++;
		call = s->calls[i];
	}
	pthread_mutex_unlock(&s->lock);
	if (!call.runs)
		soak_violation(s, "UNASKED", "%s ran, but no caller sent it", r->id);
	if (call.runs > 1 && (call.kind == 'u' || call.kind == 't'))
		soak_violation(s, "TWICE", "%s ran %u times", r->id, call.runs);
	if (call.refused)
		soak_violation(s, "REFUSED", "%s ran after it was refused", r->id);
	if (call.bad)
		check_bad_part(s, &call, r);
	return call.bad;
}

/*
 * Sends the events after last_event_id. Fault 1 closes the connection after event 3; fault 2 ends
 * the chunked body properly, but in the middle of event 3. returns whether the connection may be
 * reused.
 */
static bool stream(conn_t *c, const request_t *r, uint32_t fault)
{
	if (!send_head(c->fd, r, "200 OK",
		       HEADER_PREFIX "Server-Seal: s\r\nContent-Type: text/event-stream\r\n"
				     "Transfer-Encoding: chunked\r\n"))
		return false;
	for (int i = r->last_event_id + 1; i <= EVENTS; i++) {
		char event[64], text[96];
		int n = snprintf(event, sizeof(event), "id: %d\ndata: %s.%d\nsoftware: %u\n\n", i,
				 r->id, i, c->u->software);

		snprintf(text, sizeof(text), "%x\r\n%s\r\n", n, event);
		if (!send_text(c->fd, text))
			return false;
		bct_clock_sleep(EVENT_GAP_MS);
		if (fault == 1 && i == 3)
			return false;
		if (fault == 2 && i == 2) {
			send_text(c->fd, "6\r\nid: 3\n\r\n0\r\n\r\n");
			return false;
		}
	}
	return send_text(c->fd, "0\r\n\r\n");
}

/*
 * Answers a request. Faults: 0 none, 1 close, 2 status 500, 3 headers without the body, 4 no answer
 * for NO_ANSWER_MS and close, 5 an answer with another attempt id first; streams use 1 and 2 only.
 * returns whether the connection may be reused.
 */
static bool answer(conn_t *c, const request_t *r, uint32_t fault)
{
	char body[SOAK_ID_BYTES + 64];

	if (!strncmp(r->path, "/stream/", 8) || !strncmp(r->path, "/resume/", 8))
		return stream(c, r, fault);
	if (fault == 1)
		return false;
	if (fault == 2)
		return send_head(c->fd, r, "500 Bad",
				 HEADER_PREFIX "Server-Seal: s\r\nContent-Length: 0\r\n");
	if (fault == 3)
		return send_head(c->fd, r, "200 OK",
				 HEADER_PREFIX "Server-Seal: s\r\nContent-Length: 9\r\n") &&
		       false;
	if (fault == 4) {
		bct_clock_sleep(NO_ANSWER_MS);
		return false;
	}
	if (fault == 5) {
		request_t other = { .id = "c-other", .statements = "" };

		send_head(c->fd, &other, "200 OK",
			  HEADER_PREFIX "Server-Seal: s\r\nContent-Length: 0\r\n");
	}
	snprintf(body, sizeof(body), HEADER_PREFIX "Server-Seal: s\r\nContent-Length: %zu\r\n",
		 strlen(r->id));
	return send_head(c->fd, r, "200 OK", body) && send_text(c->fd, r->id);
}

/* Connections beyond SOAK_CONNS outlive a crash. */
static void add_conn(soak_upstream_t *u, int fd)
{
	pthread_mutex_lock(&u->soak->lock);
	if (u->n_conns < SOAK_CONNS)
		u->conns[u->n_conns++] = fd;
	pthread_mutex_unlock(&u->soak->lock);
}

static void close_conn(soak_upstream_t *u, int fd)
{
	pthread_mutex_lock(&u->soak->lock);
	for (uint32_t i = 0; i < u->n_conns; i++) {
		if (u->conns[i] == fd)
			u->conns[i--] = u->conns[--u->n_conns];
	}
	close(fd);
	pthread_mutex_unlock(&u->soak->lock);
}

static void *serve_conn(void *arg)
{
	conn_t *c = arg;
	soak_t *s = c->u->soak;
	request_t r;

	add_conn(c->u, c->fd);
	while (read_request(c->fd, &r)) {
		uint32_t fault, capacity_roll;
		bool crashed, faults_ended;

		pthread_mutex_lock(&s->lock);
		fault = bct_rng_below(&s->rng, 100) < FAULT_PERCENT ? 1 + bct_rng_below(&s->rng, 5)
								    : 0;
		capacity_roll = bct_rng_below(&s->rng, 30);
		crashed = c->u->crashed;
		format_statements(c->u, r.statements, sizeof(r.statements));
		faults_ended = s->faults_ended;
		pthread_mutex_unlock(&s->lock);
		if (crashed)
			break;
		check_arrival(c->u, &r, bct_clock_now());
		check_statements(c->u, &r, bct_clock_now());
		if (strcmp(r.expected, c->u->id) != 0) {
			send_head(c->fd, &r, "421 Other", "Content-Length: 0\r\n");
			continue;
		}
		if (!capacity_roll && !faults_ended) {
			send_head(c->fd, &r, "503 Full",
				  HEADER_PREFIX "Not-Executed: 1\r\nRetry-After: 0.4\r\n"
						"Content-Length: 0\r\n");
			continue;
		}
		if (record_run(c->u, &r)) {
			send_head(c->fd, &r, "200 OK",
				  HEADER_PREFIX
				  "Server-Seal: s\r\nContent-Type: text/event-stream\r\n"
				  "Transfer-Encoding: chunked\r\n");
			crash(c->u);
			break;
		}
		if (!answer(c, &r, faults_ended ? 0 : fault))
			break;
	}
	close_conn(c->u, c->fd);
	free(c);
	return NULL;
}

static void *serve(void *arg)
{
	soak_upstream_t *u = arg;
	int listen_fd = soak_listen("127.0.0.1", 0, &u->port);

	u->proxy.target_port = u->port;
	for (;;) {
		conn_t *c = calloc(1, sizeof(*c));
		pthread_t thread;

		c->u = u;
		c->fd = accept(listen_fd, NULL, NULL);
		if (c->fd < 0 || pthread_create(&thread, NULL, serve_conn, c)) {
			free(c);
			continue;
		}
		pthread_detach(thread);
	}
	return NULL;
}

void soak_upstream_start(soak_upstream_t *u)
{
	pthread_t thread;

	u->proxy.soak = u->soak;
	if (pthread_create(&thread, NULL, serve, u))
		abort();
	pthread_detach(thread);
	soak_proxy_start(&u->proxy, "127.0.0.1");
}
