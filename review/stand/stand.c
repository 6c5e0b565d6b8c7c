/*
 * stand.c - see stand.h.
 */
#define _GNU_SOURCE
#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/event_compat.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <fcntl.h>
#include <jansson.h>
#include <signal.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define H "X-Buckthornchute-"
#define BEAT_MS 1200	  /* heartbeat_interval_ms: an engine writes its entry */
#define RESTART_MS 400	  /* until a process that ended starts again */
#define SUPERVISE_MS 50
#define PORTS 8

int64_t st_now(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t st_wall(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void st_note(st_t *s, const char *fmt, ...)
{
	va_list ap;

	fprintf(s->record, "%8.3f ", (double)(st_now() - s->began) / 1000);
	va_start(ap, fmt);
	vfprintf(s->record, fmt, ap);
	va_end(ap);
	fputc('\n', s->record);
	fflush(s->record);
}

/* timers */

typedef struct later {
	struct event *ev;
	void (*fn)(void *ctx);
	void *ctx;
} later_t;

static void on_later(evutil_socket_t fd, short what, void *ctx)
{
	later_t l = *(later_t *)ctx;

	(void)fd;
	(void)what;
	event_free(l.ev);
	free(ctx);
	l.fn(l.ctx);
}

void st_after(st_t *s, int64_t ms, void (*fn)(void *ctx), void *ctx)
{
	struct timeval tv = { ms / 1000, (long)(ms % 1000) * 1000 };
	later_t *l = calloc(1, sizeof(*l));

	if (ms < 0)
		tv = (struct timeval){ 0 };
	l->fn = fn;
	l->ctx = ctx;
	l->ev = evtimer_new(s->base, on_later, l);
	event_add(l->ev, &tv);
}

void st_stop(st_t *s)
{
	event_base_loopbreak(s->base);
}

/* the store */

static st_topic_t *topic_of(st_t *s, const char *name)
{
	for (int i = 0; i < 3; i++) {
		if (name && !strcmp(s->topics[i].name, name))
			return &s->topics[i];
	}
	return NULL;
}

static void add_record(st_topic_t *t, const char *key, const char *value, uint32_t bytes)
{
	st_record_t *r;

	if (t->n == t->cap) {
		t->cap = t->cap ? t->cap * 2 : 64;
		t->records = realloc(t->records, t->cap * sizeof(*t->records));
	}
	r = &t->records[t->n++];
	memset(r, 0, sizeof(*r));
	snprintf(r->key, sizeof(r->key), "%s", key);
	r->removed = !bytes;
	r->value_bytes = bytes;
	r->value = malloc(bytes + 1);
	memcpy(r->value, value ? value : "", bytes);
}

void st_put(st_t *s, const char *topic, const char *key, const char *value, uint32_t bytes)
{
	add_record(topic_of(s, topic), key, value, bytes);
}

void st_remove(st_t *s, const char *topic, const char *key)
{
	add_record(topic_of(s, topic), key, NULL, 0);
}

void st_write_config(st_t *s)
{
	char text[8192];

	s->version += 3;
	s->write_config(s, text, sizeof(text));
	st_put(s, "keyed.op", "config", text, (uint32_t)strlen(text));
}

void st_copy(st_t *s)
{
	for (int i = 0; i < 3; i++)
		s->topics[i].copy_n = s->topics[i].n;
}

/* What the operator and the engines wrote is written again: the configuration at once, entries with
 * the next heartbeats. */
void st_restore(st_t *s)
{
	for (int i = 0; i < 3; i++)
		s->topics[i].n = s->topics[i].copy_n;
	s->era++;
	s->version -= 3;
	st_write_config(s);
}

static void reply(st_t *s, struct evhttp_request *req, int status, const char *type,
		  struct evbuffer *out)
{
	char era[24];

	if (s->era) {
		snprintf(era, sizeof(era), "%llu", (unsigned long long)s->era);
		evhttp_add_header(evhttp_request_get_output_headers(req), "Store-Era", era);
	}
	evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type", type);
	evhttp_send_reply(req, status, "", out);
	evbuffer_free(out);
}

static void reply_text(st_t *s, struct evhttp_request *req, int status, const char *fmt, ...)
{
	struct evbuffer *out = evbuffer_new();
	va_list ap;

	va_start(ap, fmt);
	evbuffer_add_vprintf(out, fmt, ap);
	va_end(ap);
	reply(s, req, status, "application/json", out);
}

/* A connection to a store that is down is closed without an answer. */
static bool is_down(st_t *s, struct evhttp_request *req)
{
	if (!s->store_down)
		return false;
	evhttp_connection_free(evhttp_request_get_connection(req));
	return true;
}

static const char *query(struct evhttp_request *req, struct evkeyvalq *q, const char *name)
{
	(void)req;
	return evhttp_find_header(q, name);
}

static void on_newest(struct evhttp_request *req, void *ctx)
{
	st_t *s = ctx;
	struct evkeyvalq q;
	st_topic_t *t;
	struct evbuffer *out;
	bool first = true;

	if (is_down(s, req))
		return;
	evhttp_parse_query(evhttp_request_get_uri(req), &q);
	t = topic_of(s, query(req, &q, "topic"));
	evhttp_clear_headers(&q);
	if (!t) {
		reply_text(s, req, 404, "{}");
		return;
	}
	out = evbuffer_new();
	evbuffer_add_printf(out, "{\"items\":[");
	for (uint32_t i = 0; i < t->n; i++) {
		const st_record_t *r = &t->records[i];
		bool newest = !r->removed;
		char *text;
		size_t room;

		for (uint32_t j = i + 1; newest && j < t->n; j++)
			newest = strcmp(t->records[j].key, r->key) != 0;
		if (!newest)
			continue;
		room = sodium_base64_ENCODED_LEN(r->value_bytes, sodium_base64_VARIANT_ORIGINAL);
		text = malloc(room);
		sodium_bin2base64(text, room, (const unsigned char *)r->value, r->value_bytes,
				  sodium_base64_VARIANT_ORIGINAL);
		evbuffer_add_printf(out, "%s{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%u}",
				    first ? "" : ",", r->key, text, i);
		free(text);
		first = false;
	}
	evbuffer_add_printf(out, "],\"more\":false,\"end_offset\":%u}", t->n);
	reply(s, req, 200, "application/json", out);
}

static void put_be(struct evbuffer *out, uint64_t v, int n)
{
	for (int i = n - 1; i >= 0; i--) {
		uint8_t b = (uint8_t)(v >> (8 * i));

		evbuffer_add(out, &b, 1);
	}
}

static void on_read(struct evhttp_request *req, void *ctx)
{
	st_t *s = ctx;
	struct evkeyvalq q;
	st_topic_t *t;
	const char *from;
	uint64_t at;
	struct evbuffer *out;

	if (is_down(s, req))
		return;
	evhttp_parse_query(evhttp_request_get_uri(req), &q);
	t = topic_of(s, query(req, &q, "topic"));
	from = query(req, &q, "from");
	at = from ? strtoull(from, NULL, 10) : 0;
	evhttp_clear_headers(&q);
	if (!t || at > t->n) {
		reply_text(s, req, 410, "{\"first\":0}");
		return;
	}
	out = evbuffer_new();
	put_be(out, t->n, 8);
	put_be(out, 0, 8);
	for (uint64_t i = at; i < t->n; i++) {
		const st_record_t *r = &t->records[i];
		size_t key_bytes = strlen(r->key);

		put_be(out, 1 + key_bytes + r->value_bytes, 4);
		put_be(out, key_bytes, 1);
		evbuffer_add(out, r->key, key_bytes);
		evbuffer_add(out, r->value, r->value_bytes);
	}
	reply(s, req, 200, "application/octet-stream", out);
}

static void on_append(struct evhttp_request *req, void *ctx)
{
	st_t *s = ctx;
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in), key_bytes;
	const unsigned char *b = len ? evbuffer_pullup(in, -1) : NULL;
	struct evkeyvalq q;
	st_topic_t *t;
	const char *at;
	char key[64] = "";
	uint32_t offset;

	if (is_down(s, req))
		return;
	evhttp_parse_query(evhttp_request_get_uri(req), &q);
	t = topic_of(s, query(req, &q, "topic"));
	at = query(req, &q, "at");
	if (!t || t != &s->topics[2] || len < 5) {
		evhttp_clear_headers(&q);
		reply_text(s, req, 403, "{}");
		return;
	}
	if (at && strtoull(at, NULL, 10) != t->n) {
		evhttp_clear_headers(&q);
		reply_text(s, req, 412, "{\"end_offset\":%u}", t->n);
		return;
	}
	evhttp_clear_headers(&q);
	key_bytes = b[4];
	if (5 + key_bytes > len || key_bytes >= sizeof(key)) {
		reply_text(s, req, 400, "{}");
		return;
	}
	memcpy(key, b + 5, key_bytes);
	offset = t->n;
	add_record(t, key, (const char *)b + 5 + key_bytes, (uint32_t)(len - 5 - key_bytes));
	if (s->on_append)
		s->on_append(s, t->name);
	reply_text(s, req, 200, "{\"offset\":%u,\"end_offset\":%u}", offset, t->n);
}

/* Listens on a free port of an address. */
static int listen_on(const char *ip, uint16_t *port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(*port) };
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0), on = 1;

	inet_pton(AF_INET, ip, &sa.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(fd, 512) ||
	    getsockname(fd, (struct sockaddr *)&sa, &len)) {
		close(fd);
		return -1;
	}
	*port = ntohs(sa.sin_port);
	return fd;
}

static struct evhttp *serve_http(st_t *s, uint16_t *port)
{
	struct evhttp *http = evhttp_new(s->base);
	int fd;

	*port = 0;
	fd = listen_on("127.0.0.1", port);
	if (fd < 0 || evhttp_accept_socket(http, fd))
		exit(2);
	evhttp_set_timeout(http, 60);
	return http;
}

void st_store_start(st_t *s)
{
	struct evhttp *http = serve_http(s, &s->store_port);

	evhttp_set_cb(http, "/api/log-newest", on_newest, s);
	evhttp_set_cb(http, "/api/log-read", on_read, s);
	evhttp_set_cb(http, "/api/log-append", on_append, s);
}

static void on_control_call(struct evhttp_request *req, void *ctx)
{
	st_t *s = ctx;
	struct evkeyvalq *h = evhttp_request_get_input_headers(req);
	struct evbuffer *in = evhttp_request_get_input_buffer(req), *out = evbuffer_new();
	const char *holder = evhttp_find_header(h, H "Duty-Holder");
	const char *fence = evhttp_find_header(h, H "Fencing-Token");
	size_t len = evbuffer_get_length(in);
	char *body = calloc(1, len + 1);
	int status;

	evbuffer_copyout(in, body, len);
	status = s->on_control(s, evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req)),
			       holder ? holder : "", fence ? strtoull(fence, NULL, 10) : 0, body);
	free(body);
	evbuffer_add_printf(out, "{}");
	evhttp_send_reply(req, status, "", out);
	evbuffer_free(out);
}

void st_control_start(st_t *s)
{
	struct evhttp *http = serve_http(s, &s->control_port);

	evhttp_set_cb(http, "/usage", on_control_call, s);
	evhttp_set_cb(http, "/scale", on_control_call, s);
	s->with_duties = true;
}

/* engines */

typedef struct chan {
	st_engine_t *engine;
	struct bufferevent *bev;
	st_req_t *req; /* being served */
} chan_t;

static void read_next(chan_t *c);

static const char *header(const char *head, const char *name, char *out, size_t size)
{
	const char *at = head;
	size_t len = strlen(name);

	out[0] = '\0';
	while ((at = strstr(at, "\r\n")) != NULL) {
		at += 2;
		if (strncasecmp(at, name, len) || at[len] != ':')
			continue;
		at += len + 1;
		at += strspn(at, " ");
		snprintf(out, size, "%.*s", (int)strcspn(at, "\r"), at);
		return out;
	}
	return NULL;
}

static void close_chan(chan_t *c)
{
	if (c->req) {
		c->req->bev = NULL;
		c->req = NULL;
	}
	bufferevent_free(c->bev);
	free(c);
}

static void on_chan_event(struct bufferevent *bev, short what, void *ctx)
{
	(void)bev;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		close_chan(ctx);
}

static void on_chan_read(struct bufferevent *bev, void *ctx)
{
	(void)bev;
	read_next(ctx);
}

static void read_next(chan_t *c)
{
	struct evbuffer *in = bufferevent_get_input(c->bev);
	struct evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, NULL);
	char *head, text[64];
	size_t body, head_bytes;
	st_req_t *r;

	if (c->req || end.pos < 0)
		return;
	head_bytes = (size_t)end.pos + 4;
	head = calloc(1, head_bytes + 1);
	evbuffer_copyout(in, head, head_bytes);
	body = header(head, "Content-Length", text, sizeof(text)) ? strtoul(text, NULL, 10) : 0;
	if (evbuffer_get_length(in) < head_bytes + body) {
		free(head);
		return;
	}
	evbuffer_drain(in, head_bytes + body);
	r = calloc(1, sizeof(*r));
	r->engine = c->engine;
	r->bev = c->bev;
	r->body_bytes = body;
	r->at = st_now();
	sscanf(head, "%11s %159s", r->method, r->path);
	header(head, H "Request-Attempt-Id", r->id, sizeof(r->id));
	header(head, H "Expected-Instance", r->expected, sizeof(r->expected));
	header(head, H "Tenant", r->tenant, sizeof(r->tenant));
	r->deadline_ms =
		header(head, H "Deadline-Milliseconds", text, sizeof(text)) ? atol(text) : -1;
	r->last_event_id = header(head, "Last-Event-Id", text, sizeof(text)) ? atol(text) : -1;
	free(head);
	c->req = r;
	if (r->expected[0] && strcmp(r->expected, c->engine->id) != 0) {
		st_answer(r, 421, H "Not-Executed: 1\r\n", "another engine");
		st_req_free(r);
		return;
	}
	c->engine->serve(r);
}

static chan_t *chan_of(st_req_t *r)
{
	void *ctx = NULL;

	if (r->bev)
		bufferevent_getcb(r->bev, NULL, NULL, NULL, &ctx);
	return ctx;
}

void st_answer(st_req_t *r, int status, const char *headers, const char *body)
{
	if (!r->bev)
		return;
	evbuffer_add_printf(bufferevent_get_output(r->bev),
			    "HTTP/1.1 %d X\r\n" H "Request-Attempt-Id: %s\r\n" H
			    "Server-Seal: %s.%s\r\n%sKeep-Alive: timeout=20\r\n"
			    "Content-Length: %zu\r\n\r\n%s",
			    status, r->id, r->engine->id, r->id, headers, strlen(body), body);
}

void st_req_free(st_req_t *r)
{
	chan_t *c = chan_of(r);

	if (c) {
		c->req = NULL;
		read_next(c);
	}
	free(r);
}

static void on_engine_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *a,
			     int len, void *ctx)
{
	st_engine_t *e = ctx;
	chan_t *c = calloc(1, sizeof(*c));

	(void)l;
	(void)a;
	(void)len;
	c->engine = e;
	c->bev = bufferevent_socket_new(e->st->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(c->bev, on_chan_read, NULL, on_chan_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

void st_engine_write(st_engine_t *e)
{
	char text[512];
	int n;

	if (e->absent)
		return;
	e->sequence++;
	n = snprintf(text, sizeof(text),
		     "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z-a\","
		     "\"version\":\"%s\",\"slots\":16,\"state\":\"%s\",\"cold_remaining_ms\":0,"
		     "\"sequence\":%llu,\"born\":%lld}",
		     e->service, e->port, e->version, e->draining ? "draining" : "ready",
		     (unsigned long long)e->sequence, (long long)e->born);
	st_put(e->st, "keyed.servers", e->id, text, (uint32_t)n);
}

static void on_beat(void *ctx)
{
	st_engine_t *e = ctx;

	if (!e->st->store_down)
		st_engine_write(e);
	st_after(e->st, BEAT_MS, on_beat, e);
}

st_engine_t *st_engine_new(st_t *s, const char *id, const char *service, const char *version,
			   void (*serve)(st_req_t *r))
{
	st_engine_t *e = &s->engines[s->n_engines++];
	int fd;

	e->st = s;
	snprintf(e->id, sizeof(e->id), "%s", id);
	e->service = service;
	e->version = version;
	e->serve = serve;
	e->born = st_wall();
	fd = listen_on("127.0.0.1", &e->port);
	if (fd < 0)
		exit(2);
	e->listener = evconnlistener_new(s->base, on_engine_accept, e, LEV_OPT_CLOSE_ON_FREE, 0, fd);
	on_beat(e);
	return e;
}

/* gateways */

/* As deploy/settings.json for a small deployment. */
static void write_settings(st_node_t *n, int i)
{
	st_t *s = n->st;
	FILE *f = fopen(n->settings, "w");

	if (!f)
		exit(2);
	fprintf(f,
		"{\"vm\":{\"name\":\"front-%d\",\"failure_domain\":\"z-a\",\"region\":\"r\"},"
		"\"caller\":{\"address\":\"%s\",\"entry_lifetime_ms\":1000},"
		"\"admin\":{\"address\":\"%s\",\"port\":%u},"
		"\"peer\":{\"address\":\"%s\",\"port\":%u,\"secret\":\"the platform gives no "
		"secret\",\"seeds\":[\"%s.1:1\",\"%s.2:1\"]},"
		"\"platform\":{\"url\":\"127.0.0.1:%u\",\"timeout_ms\":1000,\"poll_ms\":700},"
		"\"gate\":{\"expect_returns\":true,\"account_shares\":true,\"listen\":\"%s:%u\","
		"\"resolve\":\"%s:%u\",\"readiness\":\"%s:%u\",\"grace_ms\":8000,"
		"\"budget_window_ms\":10000,\"budget_allowance\":54,\"memory_bytes\":110e6,"
		"\"share_port\":%u,\"relay_port\":%u},",
		i + 1, n->ip, n->ip, s->port + 4, n->ip, s->port + 3, s->net, s->net,
		s->store_port, n->ip, s->port, n->ip, s->port + 1, n->ip, s->port + 2,
		s->port + 4, s->port + 3);
	if (s->with_duties)
		fprintf(f,
			"\"duty\":{\"address\":\"127.0.0.1:%u\",\"lease_ms\":3000,\"window_ms\":%u,"
			"\"calls_per_s\":50,\"kinds\":[\"usage\"]},",
			s->control_port, s->window_ms);
	fprintf(f, "\"log\":{\"level\":\"info\",\"format\":\"json\",\"lines_per_s\":100}}");
	fclose(f);
}

void st_node_start(st_node_t *n)
{
	pid_t pid;

	n->started_at = st_now();
	pid = fork();
	if (!pid) {
		/* It must not outlive the case, however that ends. */
		int fd = prctl(PR_SET_PDEATHSIG, SIGKILL) ? -1 : open(n->log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		dup2(fd, 1);
		dup2(fd, 2);
		execl(n->st->program, n->st->program, "--config", n->settings, (char *)NULL);
		_exit(127);
	}
	n->pid = pid;
}

void st_node_add(st_t *s)
{
	int i = s->n_nodes++;
	st_node_t *n = &s->nodes[i];

	n->st = s;
	snprintf(n->ip, sizeof(n->ip), "%s.%d", s->net, i + 1);
	snprintf(n->settings, sizeof(n->settings), "%s/n%d.json", s->dir, i + 1);
	snprintf(n->log, sizeof(n->log), "%s/n%d.log", s->dir, i + 1);
	write_settings(n, i);
	st_node_start(n);
}

static void on_restart(void *ctx)
{
	st_node_t *n = ctx;

	if (!n->pid && !n->keep_down)
		st_node_start(n);
}

static void supervise(void *ctx)
{
	st_t *s = ctx;
	int status;

	for (int i = 0; i < s->n_nodes; i++) {
		st_node_t *n = &s->nodes[i];

		if (!n->pid || waitpid(n->pid, &status, WNOHANG) != n->pid)
			continue;
		st_note(s, "gateway front-%d ended (%s %d)", i + 1,
			WIFSIGNALED(status) ? "signal" : "status",
			WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
		n->pid = 0;
		st_after(s, RESTART_MS, on_restart, n);
	}
	st_after(s, SUPERVISE_MS, supervise, s);
}

void st_nodes_kill(st_t *s)
{
	for (int i = 0; i < s->n_nodes; i++) {
		if (s->nodes[i].pid)
			kill(s->nodes[i].pid, SIGKILL);
	}
}

/* clients */

static void end_call(st_call_t *c)
{
	if (c->ended_at)
		return;
	c->ended_at = st_now();
	if (c->timer)
		event_free(c->timer);
	c->timer = NULL;
	if (c->bev)
		bufferevent_free(c->bev);
	c->bev = NULL;
	c->done(c);
}

void st_call_free(st_call_t *c)
{
	evbuffer_free(c->answer);
	free(c);
}

static bool is_whole(st_call_t *c)
{
	size_t len = evbuffer_get_length(c->answer);
	const char *text, *end;
	char value[64];

	evbuffer_add(c->answer, "", 1);
	text = (const char *)evbuffer_pullup(c->answer, -1);
	end = strstr(text, "\r\n\r\n");
	if (end) {
		c->status = atoi(text + 9);
		if (header(text, H "Server-Seal", value, sizeof(value))) {
			c->sealed = true;
			snprintf(c->engine, sizeof(c->engine), "%.*s", (int)strcspn(value, "."),
				 value);
		}
		if (header(text, "Content-Length", value, sizeof(value)))
			c->complete =
				len >= (size_t)(end + 4 - text) + strtoul(value, NULL, 10);
		else
			c->complete = strstr(end, "\r\n0\r\n\r\n") != NULL;
	}
	/* Removes the byte that ends the text. */
	{
		struct evbuffer *rest = evbuffer_new();

		evbuffer_remove_buffer(c->answer, rest, len);
		evbuffer_free(c->answer);
		c->answer = rest;
	}
	return c->complete;
}

static void on_call_read(struct bufferevent *bev, void *ctx)
{
	st_call_t *c = ctx;

	evbuffer_add_buffer(c->answer, bufferevent_get_input(bev));
	if (is_whole(c))
		end_call(c);
}

static void on_call_event(struct bufferevent *bev, short what, void *ctx)
{
	(void)bev;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		end_call(ctx);
}

static void on_call_timer(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	end_call(ctx);
}

st_call_t *st_call(st_t *s, int node, const char *method, const char *path, const char *key,
		   const char *extra, const char *body, uint32_t deadline_ms,
		   void (*done)(st_call_t *c))
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(s->port) };
	struct timeval tv = { deadline_ms / 1000, (long)(deadline_ms % 1000) * 1000 };
	st_call_t *c = calloc(1, sizeof(*c));
	struct evbuffer *out;

	c->st = s;
	snprintf(c->id, sizeof(c->id), "%08x%08x", (unsigned)s->began, ++s->calls);
	snprintf(c->method, sizeof(c->method), "%s", method);
	snprintf(c->path, sizeof(c->path), "%s", path);
	c->key = key;
	c->node = node;
	c->deadline_ms = deadline_ms;
	c->sent_at = st_now();
	c->done = done;
	c->answer = evbuffer_new();
	c->timer = evtimer_new(s->base, on_call_timer, c);
	event_add(c->timer, &tv);
	inet_pton(AF_INET, s->nodes[node].ip, &sa.sin_addr);
	c->bev = bufferevent_socket_new(s->base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(c->bev, on_call_read, NULL, on_call_event, c);
	out = bufferevent_get_output(c->bev);
	evbuffer_add_printf(out,
			    "%s %s HTTP/1.1\r\nHost: h.example\r\n" H "Request-Attempt-Id: %s\r\n" H
			    "Deadline-Milliseconds: %u\r\nApi-Key: %s\r\n%s",
			    method, path, c->id, deadline_ms, key, extra ? extra : "");
	if (body)
		evbuffer_add_printf(out, "Content-Length: %zu\r\n\r\n%s", strlen(body), body);
	else
		evbuffer_add_printf(out, "\r\n");
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	if (bufferevent_socket_connect(c->bev, (struct sockaddr *)&sa, sizeof(sa))) {
		bufferevent_free(c->bev);
		c->bev = NULL;
	}
	return c;
}

/* set-up */

/* Whether all ports that a gateway uses are free on the addresses. */
static bool ports_free(st_t *s, uint16_t port)
{
	for (int i = 0; i < ST_NODES_MAX; i++) {
		for (int p = 0; p < PORTS; p++) {
			uint16_t at = (uint16_t)(port + p);
			char ip[40];
			int fd;

			snprintf(ip, sizeof(ip), "%s.%d", s->net, i + 1);
			fd = listen_on(ip, &at);
			if (fd < 0)
				return false;
			close(fd);
		}
	}
	return true;
}

void st_init(st_t *s, const char *folder)
{
	const char *trouble = getenv("TROUBLE"), *gate = getenv("GATE");
	char path[256];

	memset(s, 0, sizeof(*s));
	signal(SIGPIPE, SIG_IGN);
	if (sodium_init() < 0)
		exit(2);
	s->began = st_now();
	s->mode = trouble ? trouble : "1";
	s->trouble = strcmp(s->mode, "0") != 0;
	s->program = gate ? gate : "target/bin/chutegate";
	s->window_ms = 5000;
	s->base = event_base_new();
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	s->record = fopen(path, "w");
	snprintf(s->dir, sizeof(s->dir), "/tmp/review-XXXXXX");
	if (!s->record || !mkdtemp(s->dir) || access(s->program, X_OK)) {
		fprintf(stderr, "can't run: %s\n", s->program);
		exit(2);
	}
	snprintf(s->net, sizeof(s->net), "127.%d.%d", 1 + getpid() / 250 % 250, 1 + getpid() % 250);
	for (s->port = 18300; s->port < 30000 && !ports_free(s, s->port); s->port += PORTS)
		;
	s->topics[0].name = "keyed.op";
	s->topics[1].name = "keyed.servers";
	s->topics[2].name = "keyed.duties";
	supervise(s);
}

int st_end(st_t *s, int code)
{
	char path[256];

	for (int i = 0; i < s->n_nodes; i++) {
		st_node_t *n = &s->nodes[i];

		if (n->pid) {
			kill(n->pid, SIGCONT);
			kill(n->pid, SIGKILL);
			waitpid(n->pid, NULL, 0);
		}
		unlink(n->settings);
		if (getenv("KEEP_LOGS")) {
			snprintf(path, sizeof(path), "%s/n%d.log", getenv("KEEP_LOGS"), i + 1);
			if (rename(n->log, path))
				perror(path);
		}
		unlink(n->log);
	}
	rmdir(s->dir);
	st_note(s, "exit code %d", code);
	fclose(s->record);
	return code;
}
