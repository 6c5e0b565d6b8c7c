/*
 * client.c - connections of callers. Requests on one connection are handled one at a time: a
 * pipelined request stays in the input buffer, or in the kernel, until the previous one has been
 * answered and the answer written. So a caller that sends ahead and reads nothing makes the node
 * hold one answer and as much input as a head may have.
 */
#include "base/err.h"
#include "base/mem.h"
#include "gate/gate_int.h"
#include "gate/memory.h"
#include "gate/window.h"
#include "http/bev.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#define LOCAL_BODY_BYTES 4096 /* of a request for a page of the node's own, which needs none */
#define HEAD_KEPT_BYTES 4096  /* of memory for heads, kept between requests */
#define OUTPUT_LOW_BYTES (32 * 1024) /* with less unsent, a paused upstream is read again */
#define IDLE_MIN_MS 300 /* a stop leaves a new or just answered connection open for as long */
#define LINGER_MS 1000	/* for the caller to close after the last response */
#define RELAY_HEADER_BYTES 512	       /* that another node adds to those of its caller */
#define BODY_RCVBUF_BYTES (128 * 1024) /* of the kernel, while a long body is read */
#define USER_TIMEOUT_MS 5000	       /* output unacknowledged for this long ends the connection */

/* Limits in force until a configuration is known. */
#define DEFAULT_HEADER_BYTES 16384
#define DEFAULT_BODY_BYTES (4 * 1024 * 1024)
#define DEFAULT_HEADER_TIMEOUT_MS 3000
#define DEFAULT_IDLE_TIMEOUT_MS 15000

static bct_gate_limits_t get_limits(const bct_gate_t *g)
{
	bct_gate_limits_t l = {
		.max_header_bytes = DEFAULT_HEADER_BYTES,
		.max_body_bytes = DEFAULT_BODY_BYTES,
		.header_timeout_ms = DEFAULT_HEADER_TIMEOUT_MS,
		.idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS,
	};

	return g->routes ? g->routes->limits : l;
}

/* Of a request's head. */
static uint32_t max_header_bytes(const bct_client_t *c)
{
	return get_limits(c->gate).max_header_bytes + (c->port->is_node ? RELAY_HEADER_BYTES : 0);
}

static uint32_t max_body_bytes(const bct_client_t *c)
{
	return c->port->is_local ? LOCAL_BODY_BYTES : get_limits(c->gate).max_body_bytes;
}

/* A whole head must fit, and one byte more, to tell that a head is too long. */
static void set_read_ahead(bct_client_t *c)
{
	bufferevent_setwatermark(c->bev, EV_READ, 0, max_header_bytes(c) + 1);
}

static void set_timer(bct_client_t *c, uint32_t ms)
{
	struct timeval tv = { ms / BCT_MS_PER_S, (long)(ms % BCT_MS_PER_S) * 1000 };

	event_add(c->timer, &tv);
}

void bct_client_free(bct_client_t *c, bct_gate_end_t end)
{
	bct_exchange_t *x = c->x;

	c->x = NULL;
	if (x)
		c->port->ops->gone(x, end);
	bct_list_del(&c->link);
	bct_memory_closed(c);
	c->port->n_clients--;
	event_free(c->timer);
	bct_bev_free(c->bev);
	if (c->body)
		evbuffer_free(c->body);
	bct_http_msg_free(&c->msg);
	bct_free(c);
}

/*
 * Closes the sending side and waits for the caller to close its own. Closing the socket at once
 * could make TCP reset the connection and discard a response that the caller has not read.
 */
static void start_linger(bct_client_t *c)
{
	c->closing = true;
	shutdown(bufferevent_getfd(c->bev), SHUT_WR);
	set_timer(c, LINGER_MS);
}

static void close_when_flushed(bct_client_t *c)
{
	c->close_after = true;
	if (!evbuffer_get_length(bufferevent_get_output(c->bev)))
		start_linger(c);
}

/* What came of a request that is refused need not be kept until its caller has left. */
static void drop_body(bct_client_t *c)
{
	bct_memory_release(c->gate, c->body);
	c->body = NULL;
	bct_memory_body_ended(c);
}

/* Answers a request that could not be read and closes the connection. */
static void refuse_request(bct_client_t *c, int status, const char *text)
{
	bct_counter_inc(&c->gate->counters.ends[BCT_GATE_END_BAD_REQUEST]);
	BCT_LOG(c->gate->log, BCT_EV_GATE_REQUEST_BAD, BCT_I64("status", status),
		BCT_STR("why", text));
	c->close_after = true;
	drop_body(c);
	bct_answer_local(c, &(bct_answer_opts_t){ .status = status, .text = text });
	close_when_flushed(c);
}

/* Of the body that comes. Of a chunked one the parser knows no length: the largest one. */
static size_t expected_bytes(const bct_client_t *c)
{
	uint64_t left = c->msg.parser.content_length;
	uint32_t max = max_body_bytes(c);

	return left < max ? (size_t)left : max;
}

/* The small buffer of the kernel (listen.c) would make a long body slow. */
static void grow_receive_buffer(bct_client_t *c)
{
	int bytes = BODY_RCVBUF_BYTES;

	if (c->msg.state == BCT_HTTP_BODY && expected_bytes(c) > BODY_RCVBUF_BYTES)
		setsockopt(bufferevent_getfd(c->bev), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

static void resume_reading(bct_client_t *c)
{
	c->waits = false;
	bct_list_del(&c->waiting);
	bufferevent_enable(c->bev, EV_READ);
	if (evbuffer_get_length(bufferevent_get_input(c->bev)))
		bufferevent_trigger(c->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
	if (c->x)
		return;
	grow_receive_buffer(c);
	c->due = bct_clock_now() + c->left_ms;
	set_timer(c, c->left_ms > 0 ? (uint32_t)c->left_ms : 1);
}

/* Answers a request whose body there is no room for, and closes the connection. */
static void refuse_for_room(bct_client_t *c)
{
	bct_counter_inc(&c->gate->counters.ends[BCT_GATE_END_MEMORY]);
	BCT_LOG(c->gate->log, BCT_EV_GATE_REQUEST_BAD, BCT_I64("status", 503),
		BCT_STR("why", "no room for its body"));
	/* What still comes of the body is discarded. */
	if (c->waits)
		resume_reading(c);
	c->close_after = true;
	drop_body(c);
	bct_answer_local(c, &(bct_answer_opts_t){ .status = 503,
						  .retry_after_ms = bct_memory_retry_ms(c->gate),
						  .elsewhere = true,
						  .text = BCT_MEMORY_REFUSED });
	close_when_flushed(c);
}

/* The time for which a request waits for room is not charged to its caller. */
static void wait_for_room(bct_client_t *c)
{
	c->waits = true;
	bct_memory_wait(c);
	bufferevent_disable(c->bev, EV_READ);
	if (c->x)
		return;
	c->left_ms = c->due - bct_clock_now();
	set_timer(c, get_limits(c->gate).header_timeout_ms);
}

/* Part of the body is still to come: without room for it, a new request is refused or waits. */
static void check_room(bct_client_t *c, bool is_new)
{
	if (bct_memory_may_read_body(c, expected_bytes(c))) {
		if (is_new)
			grow_receive_buffer(c);
		return;
	}
	if (is_new && bct_memory_refuses(c->gate))
		refuse_for_room(c);
	else
		wait_for_room(c);
}

/* Resets the connection, so that an answer on the way can't be taken for a complete one. */
static void reset(bct_client_t *c)
{
	struct linger l = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(bufferevent_getfd(c->bev), SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	bct_client_free(c, BCT_GATE_END_UNREAD);
}

static void cut_unread(bct_client_t *c)
{
	if (c->x && !c->x->answer_started && !evbuffer_get_length(bufferevent_get_output(c->bev)))
		c->port->ops->drop_kept(c->x);
	else
		reset(c);
}

static int append_body(void *ctx, const char *data, size_t len)
{
	bct_client_t *c = ctx;

	if (c->too_large)
		return 0;
	if (evbuffer_get_length(c->body) + len > max_body_bytes(c)) {
		c->too_large = true;
		return -BCT_ETOO_LARGE;
	}
	return evbuffer_add(c->body, data, len) ? -BCT_ENOMEM : 0;
}

/* Answers an Expect header, whatever its value, unless the request is already complete. */
static void on_request_head(bct_client_t *c)
{
	const char *expect = bct_http_msg_header(&c->msg, "Expect");

	if (expect && c->msg.state == BCT_HTTP_BODY)
		bufferevent_write(c->bev, "HTTP/1.1 100 Continue\r\n\r\n", 25);
}

/* Starts the exchange, which owns the body from here. */
static void on_request_complete(bct_client_t *c)
{
	struct evbuffer *body = c->body;

	c->body = NULL;
	c->flushed = false;
	event_del(c->timer);
	bct_memory_body_ended(c);
	if (!c->msg.keep_alive || c->gate->draining)
		c->close_after = true;
	c->port->ops->request(c, body);
	/* The exchange has a copy of what it forwards. */
	if (c->x)
		bct_http_msg_drop_head(&c->msg);
}

static void refuse_failed(bct_client_t *c)
{
	if (c->too_large)
		refuse_request(c, 413, "the body is too large");
	else if (c->msg.err == -BCT_ETOO_LARGE)
		refuse_request(c, 431, "the headers are too large");
	else
		refuse_request(c, 400, "the request is malformed");
}

static struct evbuffer *body_new(bct_client_t *c)
{
	struct evbuffer *body = evbuffer_new();

	if (body)
		bct_memory_watch(c, body, BCT_GATE_MEMORY_REQUEST);
	return body;
}

/* Reads buffered input until a request is complete. The header timeout covers the whole request,
 * from its first byte to the end of its body. Nothing is read while an answer is being written. */
static void read_request(bct_client_t *c)
{
	struct evbuffer *in = bufferevent_get_input(c->bev);
	bct_gate_limits_t l = get_limits(c->gate);
	bool had_head = c->msg.state == BCT_HTTP_BODY;

	if (!evbuffer_get_length(in) || evbuffer_get_length(bufferevent_get_output(c->bev)))
		return;
	if (!c->request_started) {
		c->request_started = true;
		c->since = bct_clock_now();
		set_read_ahead(c);
		set_timer(c, l.header_timeout_ms);
		c->due = c->gate->memory ? bct_clock_now() + l.header_timeout_ms : 0;
	}
	if (!c->body)
		c->body = body_new(c);
	if (!c->body) {
		bct_client_free(c, BCT_GATE_END_CALLER_LEFT);
		return;
	}
	bct_http_msg_read(&c->msg, in, max_header_bytes(c));
	c->head_only = c->msg.method && !strcmp(c->msg.method, "HEAD");
	if (!had_head && c->msg.state == BCT_HTTP_BODY) {
		on_request_head(c);
		bct_http_msg_read(&c->msg, in, max_header_bytes(c));
	}
	if (c->msg.state == BCT_HTTP_DONE)
		on_request_complete(c);
	else if (c->msg.state == BCT_HTTP_FAILED)
		refuse_failed(c);
	else if (c->msg.state == BCT_HTTP_BODY)
		check_room(c, !had_head);
}

static void on_read(struct bufferevent *bev, void *ctx)
{
	bct_client_t *c = ctx;

	if (c->closing || (c->close_after && !c->x)) {
		/* Discards input after the last request. */
		struct evbuffer *in = bufferevent_get_input(bev);

		evbuffer_drain(in, evbuffer_get_length(in));
		return;
	}
	if (!c->x && !c->waits)
		read_request(c);
	else if (c->x && !c->waits && bct_memory_is_short(c->gate))
		wait_for_room(c);
}

static void on_write(struct bufferevent *bev, void *ctx)
{
	bct_client_t *c = ctx;

	(void)bev;
	if (c->x) {
		c->port->ops->flushed(c->x);
		return;
	}
	if (evbuffer_get_length(bufferevent_get_output(c->bev)))
		return;
	if (c->close_after && !c->closing)
		start_linger(c);
	else if (evbuffer_get_length(bufferevent_get_input(c->bev)))
		bufferevent_trigger(c->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	(void)bev;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		bct_client_free(ctx, BCT_GATE_END_CALLER_LEFT);
}

/* Fires when the caller does not close in time, when the idle timeout ends between requests, and
 * when a request is not complete in time. */
static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	bct_client_t *c = ctx;

	(void)fd;
	(void)what;
	if (c->closing || !c->request_started)
		bct_client_free(c, BCT_GATE_END_CALLER_LEFT);
	else if (c->waits)
		refuse_for_room(c);
	else
		refuse_request(c, 408, "the request did not come in time");
}

void bct_client_answered(bct_client_t *c, bool truncated)
{
	if (c->waits)
		resume_reading(c);
	c->x = NULL;
	c->flushed = false;
	if (truncated)
		c->close_after = true;
	if (c->close_after) {
		close_when_flushed(c);
		return;
	}
	if (c->msg.text.cap_bytes > HEAD_KEPT_BYTES)
		bct_http_msg_drop_head(&c->msg);
	bct_http_msg_reset(&c->msg);
	c->request_started = false;
	c->since = bct_clock_now();
	set_timer(c, get_limits(c->gate).idle_timeout_ms);
	/* Deferred to the event loop, so that pipelined requests do not nest calls. */
	if (evbuffer_get_length(bufferevent_get_input(c->bev)))
		bufferevent_trigger(c->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

bct_client_t *bct_client_new(bct_client_port_t *p, evutil_socket_t fd)
{
	bct_client_t *c = bct_alloc(sizeof(*c));
	bct_gate_t *g = p->gate;
	int user_timeout_ms = USER_TIMEOUT_MS, on = 1;

	if (!c)
		return NULL;
	c->gate = g;
	c->port = p;
	bct_http_msg_init(&c->msg, HTTP_REQUEST);
	c->msg.no_host = p->is_local;
	c->msg.on_body = append_body;
	c->msg.ctx = c;
	c->timer = evtimer_new(g->base, on_timer, c);
	c->bev = bufferevent_socket_new(g->base, fd, BEV_OPT_CLOSE_ON_FREE);
	if (!c->timer || !c->bev) {
		if (c->timer)
			event_free(c->timer);
		if (c->bev)
			bct_bev_free(c->bev);
		bct_free(c);
		return NULL;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof(user_timeout_ms));
	c->since = bct_clock_now();
	bct_list_add_tail(&c->link, &g->clients);
	bct_memory_opened(c);
	p->n_clients++;
	bufferevent_setcb(c->bev, on_read, on_write, on_event, c);
	set_read_ahead(c);
	bufferevent_setwatermark(c->bev, EV_WRITE, OUTPUT_LOW_BYTES, 0);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	set_timer(c, get_limits(g).idle_timeout_ms);
	return c;
}

/* Whether no request has come, nor is one likely to be on its way. */
static bool is_idle(bct_client_t *c)
{
	int unread = 0;

	if (c->x || c->request_started || c->closing || bct_clock_now() - c->since < IDLE_MIN_MS)
		return false;
	return ioctl(bufferevent_getfd(c->bev), FIONREAD, &unread) || !unread;
}

void bct_clients_close_idle(bct_gate_t *g)
{
	bct_list_t *el, *tmp;

	bct_list_for_each_safe(el, tmp, &g->clients) {
		bct_client_t *c = bct_container_of(el, bct_client_t, link);

		if (is_idle(c))
			close_when_flushed(c);
	}
}

void bct_clients_end_requests(bct_gate_t *g)
{
	bct_list_t *el, *tmp;

	bct_list_for_each_safe(el, tmp, &g->clients) {
		bct_client_t *c = bct_container_of(el, bct_client_t, link);

		if (!c->x)
			continue;
		c->close_after = true;
		c->port->ops->stop(c->x);
	}
}

void bct_clients_check_windows(bct_gate_t *g)
{
	bct_list_t *el;

	bct_list_for_each(el, &g->clients) {
		bct_client_t *c = bct_container_of(el, bct_client_t, link);
		bool unread;

		if (c->flushed)
			continue;
		unread = bct_window_check(bufferevent_getfd(c->bev), &c->window_closed,
					  USER_TIMEOUT_MS);
		if (c->x && c->x->conn && !c->x->output_started)
			bct_upconn_check_window(c->x->conn);
		c->flushed =
			!c->x && !unread && !evbuffer_get_length(bufferevent_get_output(c->bev));
	}
}

/* Whether bytes may wait in the kernel behind a request that is handled, or an answer. */
static bool is_sent_ahead(bct_client_t *c)
{
	bool handles = c->x || evbuffer_get_length(bufferevent_get_output(c->bev));

	return handles && (c->waits || evbuffer_get_length(bufferevent_get_input(c->bev)) >
					       max_header_bytes(c));
}

static void count_ahead(bct_client_t *c)
{
	int bytes = 0;

	if (is_sent_ahead(c) && ioctl(bufferevent_getfd(c->bev), FIONREAD, &bytes))
		bytes = 0;
	bct_memory_ahead(c, (size_t)bytes);
}

void bct_clients_count_ahead(bct_gate_t *g)
{
	bct_list_t *el;

	if (!g->memory)
		return;
	bct_list_for_each(el, &g->clients)
		count_ahead(bct_container_of(el, bct_client_t, link));
}

void bct_clients_free(bct_gate_t *g)
{
	while (!bct_list_empty(&g->clients))
		bct_client_free(bct_container_of(g->clients.next, bct_client_t, link),
				BCT_GATE_END_STOPPING);
}

const bct_client_flow_ops_t bct_client_flow_ops = {
	.cut = cut_unread,
	.refuse = refuse_for_room,
	.close = reset,
	.resume = resume_reading,
};
