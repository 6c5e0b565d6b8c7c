/*
 * client.c - callers' connections: requests are read one after another, each answered before the
 * next is looked at.
 */
#include "base/err.h"
#include "base/mem.h"
#include "gate/gate_int.h"

#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#define BACKLOG 512
#define INPUT_MAX_BYTES (256 * 1024) /* kept unread while a request is in progress */
#define OUTPUT_LOW_BYTES (32 * 1024) /* below this a paused upstream goes on */
#define LINGER_MS 1000		     /* for the caller to close after a last answer */
#define USER_TIMEOUT_MS 5000	     /* unacknowledged output for this long ends a connection */
/* Before a configuration is known. */
#define DEFAULT_HEADER_BYTES 16384
#define DEFAULT_BODY_BYTES (4 * 1024 * 1024)
#define DEFAULT_HEADER_TIMEOUT_MS 3000
#define DEFAULT_IDLE_TIMEOUT_MS 15000

static bct_gate_limits_t limits_of(const bct_gate_t *g)
{
	bct_gate_limits_t l = {
		.max_header_bytes = DEFAULT_HEADER_BYTES,
		.max_body_bytes = DEFAULT_BODY_BYTES,
		.header_timeout_ms = DEFAULT_HEADER_TIMEOUT_MS,
		.idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS,
	};

	return g->routes ? g->routes->limits : l;
}

static void set_timer(bct_client_t *c, uint32_t ms)
{
	struct timeval tv = { ms / BCT_MS_PER_S, (long)(ms % BCT_MS_PER_S) * 1000 };

	event_add(c->timer, &tv);
}

static void client_free(bct_client_t *c, bct_gate_end_t end)
{
	bct_exchange_t *x = c->x;

	c->x = NULL;
	if (x)
		bct_exchange_abandon(x, end);
	bct_list_del(&c->link);
	c->gate->n_clients--;
	event_free(c->timer);
	bufferevent_free(c->bev);
	if (c->body)
		evbuffer_free(c->body);
	bct_http_msg_free(&c->msg);
	bct_free(c);
}

/* Ends our side in order and waits for the caller's, so that its last answer is not reset. */
static void linger(bct_client_t *c)
{
	c->closing = true;
	shutdown(bufferevent_getfd(c->bev), SHUT_WR);
	set_timer(c, LINGER_MS);
}

static void close_when_flushed(bct_client_t *c)
{
	c->close_after = true;
	if (!evbuffer_get_length(bufferevent_get_output(c->bev)))
		linger(c);
}

static void refuse(bct_client_t *c, int status, const char *text)
{
	bct_counter_inc(&c->gate->counters.ends[BCT_GATE_END_BAD_REQUEST]);
	BCT_LOG(c->gate->log, BCT_EV_GATE_REQUEST_BAD, BCT_I64("status", status),
		BCT_STR("why", text));
	c->close_after = true;
	bct_answer_local(c, &(bct_answer_opts_t){ .status = status, .text = text });
	close_when_flushed(c);
}

static int take_body(void *ctx, const char *data, size_t len)
{
	bct_client_t *c = ctx;

	if (c->too_large)
		return 0;
	if (evbuffer_get_length(c->body) + len > limits_of(c->gate).max_body_bytes) {
		c->too_large = true;
		return -BCT_ETOO_LARGE;
	}
	return evbuffer_add(c->body, data, len) ? -BCT_ENOMEM : 0;
}

static void head_came(bct_client_t *c)
{
	const char *expect = bct_http_msg_header(&c->msg, "Expect");

	if (expect && c->msg.state == BCT_HTTP_BODY)
		bufferevent_write(c->bev, "HTTP/1.1 100 Continue\r\n\r\n", 25);
}

static void request_came(bct_client_t *c)
{
	struct evbuffer *body = c->body;

	c->body = NULL;
	event_del(c->timer);
	if (!c->msg.keep_alive || c->gate->draining)
		c->close_after = true;
	bct_exchange_start(c, body);
}

static void failed(bct_client_t *c)
{
	if (c->too_large)
		refuse(c, 413, "the body is too large");
	else if (c->msg.err == -BCT_ETOO_LARGE)
		refuse(c, 431, "the headers are too large");
	else
		refuse(c, 400, "the request is malformed");
}

/* Reads on until a whole request is there; one that is pipelined waits for its turn. */
static void read_more(bct_client_t *c)
{
	struct evbuffer *in = bufferevent_get_input(c->bev);
	bct_gate_limits_t l = limits_of(c->gate);
	bool had_head = c->msg.state == BCT_HTTP_BODY;

	if (!evbuffer_get_length(in))
		return;
	if (!c->request_started) {
		c->request_started = true;
		set_timer(c, l.header_timeout_ms);
	}
	if (!c->body)
		c->body = evbuffer_new();
	if (!c->body) {
		client_free(c, BCT_GATE_END_CALLER_LEFT);
		return;
	}
	bct_http_msg_read(&c->msg, in, l.max_header_bytes);
	if (!had_head && c->msg.state == BCT_HTTP_BODY) {
		head_came(c);
		bct_http_msg_read(&c->msg, in, l.max_header_bytes);
	}
	if (c->msg.state == BCT_HTTP_DONE)
		request_came(c);
	else if (c->msg.state == BCT_HTTP_FAILED)
		failed(c);
}

static void on_read(struct bufferevent *bev, void *ctx)
{
	bct_client_t *c = ctx;

	if (c->closing || (c->close_after && !c->x)) {
		struct evbuffer *in = bufferevent_get_input(bev);

		evbuffer_drain(in, evbuffer_get_length(in));
		return;
	}
	if (!c->x)
		read_more(c);
}

static void on_write(struct bufferevent *bev, void *ctx)
{
	bct_client_t *c = ctx;

	(void)bev;
	if (c->x)
		bct_exchange_flushed(c->x);
	else if (c->close_after && !c->closing &&
		 !evbuffer_get_length(bufferevent_get_output(c->bev)))
		linger(c);
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	(void)bev;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		client_free(ctx, BCT_GATE_END_CALLER_LEFT);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	bct_client_t *c = ctx;

	(void)fd;
	(void)what;
	if (c->closing || !c->request_started)
		client_free(c, BCT_GATE_END_CALLER_LEFT);
	else
		refuse(c, 408, "the request did not come in time");
}

void bct_client_answered(bct_client_t *c, bool cut)
{
	c->x = NULL;
	if (cut)
		c->close_after = true;
	if (c->close_after) {
		close_when_flushed(c);
		return;
	}
	bct_http_msg_next(&c->msg);
	c->request_started = false;
	set_timer(c, limits_of(c->gate).idle_timeout_ms);
	/* A request that came meanwhile is read from the loop, not from deep inside this call. */
	if (evbuffer_get_length(bufferevent_get_input(c->bev)))
		bufferevent_trigger(c->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

static bct_client_t *client_new(bct_gate_t *g, evutil_socket_t fd)
{
	bct_client_t *c = bct_alloc(sizeof(*c));
	int user_timeout_ms = USER_TIMEOUT_MS, on = 1;

	if (!c)
		return NULL;
	c->gate = g;
	bct_http_msg_init(&c->msg, HTTP_REQUEST);
	c->msg.on_body = take_body;
	c->msg.ctx = c;
	c->timer = evtimer_new(g->base, on_timer, c);
	c->bev = bufferevent_socket_new(g->base, fd, BEV_OPT_CLOSE_ON_FREE);
	if (!c->timer || !c->bev) {
		if (c->timer)
			event_free(c->timer);
		if (c->bev)
			bufferevent_free(c->bev);
		bct_free(c);
		return NULL;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof(user_timeout_ms));
	bct_list_add_tail(&c->link, &g->clients);
	g->n_clients++;
	bufferevent_setcb(c->bev, on_read, on_write, on_event, c);
	bufferevent_setwatermark(c->bev, EV_READ, 0, INPUT_MAX_BYTES);
	bufferevent_setwatermark(c->bev, EV_WRITE, OUTPUT_LOW_BYTES, 0);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	set_timer(c, limits_of(g).idle_timeout_ms);
	return c;
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *addr, int len,
		      void *ctx)
{
	(void)l;
	(void)addr;
	(void)len;
	if (!client_new(ctx, fd))
		evutil_closesocket(fd);
}

int bct_clients_listen(bct_gate_t *g)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(g->listen.port) };

	if (g->listen.ip_len_bytes != sizeof(sa.sin_addr))
		return -BCT_EINVAL;
	memcpy(&sa.sin_addr, g->listen.ip, sizeof(sa.sin_addr));
	g->listener = evconnlistener_new_bind(g->base, on_accept, g,
					      LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE |
						      LEV_OPT_CLOSE_ON_EXEC,
					      BACKLOG, (struct sockaddr *)&sa, sizeof(sa));
	if (g->listener)
		return 0;
	BCT_LOG(g->log, BCT_EV_LISTEN_FAILED, BCT_STR("address", g->settings->gate_listen));
	return -BCT_EIO;
}

void bct_clients_stop_listening(bct_gate_t *g)
{
	if (g->listener)
		evconnlistener_free(g->listener);
	g->listener = NULL;
}

void bct_clients_close_idle(bct_gate_t *g)
{
	bct_list_t *el, *tmp;

	bct_list_for_each_safe(el, tmp, &g->clients) {
		bct_client_t *c = bct_container_of(el, bct_client_t, link);

		if (!c->x && !c->request_started && !c->closing)
			close_when_flushed(c);
	}
}

void bct_clients_free(bct_gate_t *g)
{
	bct_clients_stop_listening(g);
	while (!bct_list_empty(&g->clients))
		client_free(bct_container_of(g->clients.next, bct_client_t, link),
			    BCT_GATE_END_STOPPING);
}
