/*
 * upstream_conn.c - connections to upstreams. One is opened when no idle one is available, kept for
 * reuse after a complete response, and closed after any irregularity.
 */
#include "base/err.h"
#include "base/mem.h"
#include "gate/gate_int.h"
#include "gate/memory.h"
#include "gate/reach.h"
#include "gate/upstream_socket.h"
#include "gate/window.h"
#include "http/bev.h"
#include "http/delivery.h"

#include <errno.h>
#include <string.h>

#define HEAD_MAX_BYTES (64 * 1024) /* of a response */
#define HEAD_KEPT_BYTES 4096	   /* of memory for heads, kept between requests */
#define IDLE_DEFAULT_MS 4000	   /* if the upstream does not state its keep-alive time */
#define IDLE_MAX_MS 8000
#define IDLE_PERMILLE 500    /* of the keep-alive time stated, to close before the upstream does */
#define DELIVERY_CHECK_MS 10 /* between two looks at a request that is being delivered */
#define UNREAD_MS 1000	     /* after a pause, to read what the upstream sent before it gave up */
#define INPUT_MAX_BYTES (256 * 1024) /* read ahead at most */
/* Interim answers and answers to other requests that are skipped at most; above a late stream. */
#define USELESS_MAX_BYTES (256 * 1024)
#define RCVBUF_FACTOR 2 /* of gate.socket_buffer_bytes: answers are longer than requests */

typedef struct idle_list {
	bct_list_t conns; /* most recently used first */
} idle_list_t;

/* Returns the upstream's idle list, created on first use; NULL without memory. */
static idle_list_t *get_idle_list(bct_gate_upstream_t *u)
{
	idle_list_t *l = u->connections;

	if (l)
		return l;
	l = bct_alloc(sizeof(*l));
	if (!l)
		return NULL;
	bct_list_init(&l->conns);
	u->connections = l;
	return l;
}

/* What is read for a request counts for its caller: upstreams that send long heads, or parts of
 * them, must not fill the memory, however many there are. */
static void count_for_caller(bct_upconn_t *c)
{
	c->counted = c->x->client;
	if (c->counted)
		bct_memory_watch(c->counted, bufferevent_get_input(c->bev), BCT_GATE_MEMORY_KEPT);
}

static void count_head(bct_upconn_t *c)
{
	size_t bytes = c->msg.text.cap_bytes;

	if (!c->counted)
		return;
	bct_memory_kept(c->counted, c->head_bytes, bytes);
	c->head_bytes = bytes;
}

static void count_no_more(bct_upconn_t *c)
{
	if (!c->counted)
		return;
	bct_memory_unwatch(c->counted, bufferevent_get_input(c->bev), BCT_GATE_MEMORY_KEPT);
	bct_memory_kept(c->counted, c->head_bytes, 0);
	c->counted = NULL;
	c->head_bytes = 0;
}

void bct_upconn_close(bct_upconn_t *c)
{
	bct_list_del(&c->link);
	count_no_more(c);
	if (c->x)
		c->x->conn = NULL;
	if (c->end_timer)
		event_free(c->end_timer);
	bct_bev_free(c->bev);
	bct_http_msg_free(&c->msg);
	c->upstream->refs--;
	bct_free(c);
}

/* The response carries another request's attempt id: discards it, as the one for this request may
 * follow. */
static void discard_response(bct_upconn_t *c)
{
	BCT_GATE_COUNT(c->gate, ANSWERS_SKIPPED);
	BCT_LOG(c->gate->log, BCT_EV_UPSTREAM_CROSSED, BCT_STR("request", c->x->call.id),
		BCT_STR("upstream", c->upstream->entry.id), BCT_I64("status", c->msg.status));
	c->discards = true;
}

/*
 * Whether the response is for the current request. One without an attempt id counts as such, but
 * not on a connection whose other responses bore theirs: there it is a copy of an earlier one. A
 * node that relays names no request in its own responses.
 */
static bool matches_request(bct_upconn_t *c)
{
	bool named = c->x->call.id[0] && !c->upstream->is_node;
	bct_wire_answer_t a;

	c->gate->wire->decode_answer(&c->msg, &a);
	c->unattributed = named && !a.call_id && c->reused;
	if (!a.call_id)
		return !named || !c->names_requests;
	if (strcmp(a.call_id, c->x->call.id) != 0)
		return false;
	c->names_requests = true;
	return true;
}

static int on_body(void *ctx, const char *data, size_t len)
{
	bct_upconn_t *c = ctx;

	if (c->discards || !c->x)
		return 0;
	c->progress = true;
	return c->x->ops->body(c->x, data, len);
}

/*
 * Handles a complete head. A mismatched response that lasts until the connection closes cannot be
 * followed by another one, so the attempt has failed.
 *
 * returns  false when the attempt is over and c is no longer valid
 */
static bool on_response_head(bct_upconn_t *c)
{
	if (!matches_request(c)) {
		if (c->msg.until_close) {
			c->x->ops->fault(c->x, BCT_FAULT_BAD_ANSWER);
			return false;
		}
		discard_response(c);
		return true;
	}
	c->progress = true;
	return c->x->ops->head(c->x);
}

/* Handles the end of a message. returns true after a discarded response, to read the next; false
 * when the exchange is complete and c may no longer be valid. */
static bool on_response_complete(bct_upconn_t *c)
{
	if (!c->discards) {
		c->x->ops->complete(c->x);
		return false;
	}
	c->discards = false;
	bct_http_msg_reset(&c->msg);
	return true;
}

/* Counts bytes that were read, unless some of them were of use. */
static void count_useless(bct_upconn_t *c, size_t read_bytes)
{
	c->useless_bytes = c->progress ? 0 : c->useless_bytes + read_bytes;
	c->progress = false;
}

/* Reads until the response for the current request is complete, discarding mismatched ones. */
static void read_responses(bct_upconn_t *c)
{
	struct evbuffer *in = bufferevent_get_input(c->bev);

	while (evbuffer_get_length(in)) {
		bool had_head = c->msg.state != BCT_HTTP_HEAD;
		size_t before = evbuffer_get_length(in);
		bct_http_state_t s = bct_http_msg_read(&c->msg, in, HEAD_MAX_BYTES);

		count_useless(c, before - evbuffer_get_length(in));
		count_head(c);
		if (s == BCT_HTTP_FAILED || c->useless_bytes > USELESS_MAX_BYTES) {
			c->x->ops->fault(c->x, BCT_FAULT_BAD_ANSWER);
			return;
		}
		if (s == BCT_HTTP_HEAD)
			return;
		if (!had_head && !on_response_head(c))
			return;
		if (s == BCT_HTTP_DONE && !on_response_complete(c))
			return;
		if (s == BCT_HTTP_BODY && had_head)
			return;
	}
}

static void on_read(struct bufferevent *bev, void *ctx)
{
	bct_upconn_t *c = ctx;

	(void)bev;
	if (!c->x) {
		/* Bytes on an idle connection belong to no request. */
		bct_upconn_close(c);
		return;
	}
	read_responses(c);
}

static void on_end_timer(evutil_socket_t fd, short what, void *ctx);

/* Looks later again what has become of the request. returns 0 or -BCT_ENOMEM */
static int wait_for_delivery(bct_upconn_t *c)
{
	struct timeval later = { 0, DELIVERY_CHECK_MS * 1000 };

	if (!c->end_timer)
		c->end_timer = evtimer_new(c->gate->base, on_end_timer, c);
	return c->end_timer && !event_add(c->end_timer, &later) ? 0 : -BCT_ENOMEM;
}

/*
 * The upstream closed the connection, and with it ended a response without a length. That is whole
 * only if the upstream took all of the request: one in trouble that closes the connection early
 * resets it when the rest of the request arrives.
 */
static void end_unframed(bct_upconn_t *c)
{
	bct_delivery_t d = bct_delivery(bufferevent_getfd(c->bev));

	if (d == BCT_DELIVERY_WHOLE && evbuffer_get_length(bufferevent_get_output(c->bev)))
		d = BCT_DELIVERY_PENDING;
	if (d == BCT_DELIVERY_PENDING && !wait_for_delivery(c))
		return;
	if (d == BCT_DELIVERY_WHOLE && bct_http_msg_eof(&c->msg) == BCT_HTTP_DONE)
		c->x->ops->complete(c->x);
	else
		c->x->ops->fault(c->x, BCT_FAULT_BROKEN);
}

static void on_end_timer(evutil_socket_t fd, short what, void *ctx)
{
	bct_upconn_t *c = ctx;

	(void)fd;
	(void)what;
	if (c->x)
		end_unframed(c);
}

/* The connection ended. clean: the upstream closed it, rather than an error. That completes a
 * response without a length; anything else is a failed attempt. */
static void on_disconnect(bct_upconn_t *c, bool clean)
{
	if (!c->connected && EVUTIL_SOCKET_ERROR() == ECONNREFUSED &&
	    c->opened >= c->upstream->run_since)
		c->upstream->refused_at = bct_clock_now();
	/* A connection that timed out was cut, not closed. */
	if (!clean && c->connected && EVUTIL_SOCKET_ERROR() == ETIMEDOUT)
		bct_reach_failed(c->gate, c->upstream);
	if (!c->x) {
		if (!c->connected)
			bct_reach_failed(c->gate, c->upstream);
		bct_upconn_close(c);
		return;
	}
	if (!c->connected) {
		c->x->ops->fault(c->x, BCT_FAULT_CONNECT);
		return;
	}
	if (clean && c->msg.state == BCT_HTTP_BODY && !c->discards && c->msg.until_close) {
		end_unframed(c);
		return;
	}
	c->x->ops->fault(c->x, BCT_FAULT_BROKEN);
}

/* Keeps a connection that carries no exchange for reuse. */
static void keep_idle(bct_upconn_t *c, bct_time_t limit_ms)
{
	idle_list_t *l = get_idle_list(c->upstream);

	if (!l || c->upstream->presence >= BCT_GATE_LAPSED) {
		bct_upconn_close(c);
		return;
	}
	c->idle_since = bct_clock_now();
	c->idle_limit_ms = limit_ms;
	if (c->msg.text.cap_bytes > HEAD_KEPT_BYTES)
		bct_http_msg_drop_head(&c->msg);
	/* While reading is paused, a close by the upstream would go unnoticed. */
	bct_upconn_pause(c, false);
	c->resumed = 0;
	bct_list_del(&c->link);
	bct_list_add_head(&c->link, &l->conns);
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	bct_upconn_t *c = ctx;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		c->connected = true;
		bct_reach_ok(c->gate, c->upstream, c->opened);
		if (c->x)
			c->x->ops->connected(c->x);
		else
			keep_idle(c, IDLE_DEFAULT_MS);
		return;
	}
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		on_disconnect(c, what & BEV_EVENT_EOF);
}

/* Returns a new connection that is being established, or NULL on failure. */
static bct_upconn_t *open_conn(bct_gate_t *g, bct_gate_upstream_t *u)
{
	uint32_t rcvbuf_bytes = g->settings->gate_socket_buffer_bytes * RCVBUF_FACTOR;
	bct_upconn_t *c = bct_alloc(sizeof(*c));

	if (!c)
		return NULL;
	c->gate = g;
	c->upstream = u;
	c->run = bct_gate_upstream_run(u);
	bct_list_init(&c->link);
	bct_http_msg_init(&c->msg, HTTP_RESPONSE);
	c->msg.on_body = on_body;
	c->msg.ctx = c;
	c->opened = bct_clock_now();
	c->bev = bufferevent_socket_new(g->base, -1, BEV_OPT_CLOSE_ON_FREE);
	if (!c->bev) {
		bct_free(c);
		return NULL;
	}
	u->refs++;
	bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
	bufferevent_setwatermark(c->bev, EV_READ, 0, INPUT_MAX_BYTES);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	BCT_GATE_COUNT(g, CONNECTS);
	if (bct_upstream_connect(c->bev, &u->entry, rcvbuf_bytes)) {
		bct_upconn_close(c);
		return NULL;
	}
	return c;
}

/* Takes the most recently used idle connection off the list and closes those found on the way that
 * are too old, have unexpected input or may be dead. returns NULL if none remains. */
static bct_upconn_t *take_idle(bct_gate_t *g, bct_gate_upstream_t *u)
{
	idle_list_t *l = u->connections;
	bct_time_t now = bct_clock_now();
	bool may_be_dead = bct_reach_suspects(g, u);

	while (l && !bct_list_empty(&l->conns)) {
		bct_upconn_t *c = bct_container_of(l->conns.next, bct_upconn_t, link);

		bct_list_del(&c->link);
		if (!may_be_dead && now - c->idle_since < c->idle_limit_ms &&
		    !evbuffer_get_length(bufferevent_get_input(c->bev)))
			return c;
		bct_upconn_close(c);
	}
	return NULL;
}

bct_upconn_t *bct_upconn_get(bct_gate_t *g, bct_gate_upstream_t *u, bct_exchange_t *x)
{
	bct_upconn_t *c = take_idle(g, u);

	if (c) {
		c->reused = true;
		c->useless_bytes = 0;
		bct_http_msg_reset(&c->msg);
	} else {
		c = open_conn(g, u);
	}
	if (!c)
		return NULL;
	c->x = x;
	count_for_caller(c);
	return c;
}

int bct_upconn_send(bct_upconn_t *c, const bct_buf_t *head, struct evbuffer *body)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);
	size_t len = evbuffer_get_length(body);
	int rc;

	c->sent_at = bct_clock_now();
	c->msg.head_only = c->x && !strncmp(c->x->head.data, "HEAD ", 5);
	if (evbuffer_add(out, head->data, head->len_bytes))
		return -BCT_ENOMEM;
	if (!len)
		return 0;
	/* The exchange keeps the body, for retries, until the connection is done with it. */
	if (c->gate->memory)
		rc = evbuffer_add_buffer_reference(out, body);
	else
		rc = evbuffer_add(out, evbuffer_pullup(body, -1), len);
	return rc ? -BCT_ENOMEM : 0;
}

/* Whether the connection can carry another request: the last exchange is complete, nothing is
 * buffered in either direction, and the upstream keeps the connection open. */
static bool is_reusable(const bct_upconn_t *c)
{
	return c->msg.state == BCT_HTTP_DONE && c->msg.keep_alive && !c->msg.until_close &&
	       !evbuffer_get_length(bufferevent_get_input(c->bev)) &&
	       !evbuffer_get_length(bufferevent_get_output(c->bev));
}

/* How long the connection may stay idle in ms, from the keep-alive time in the last response. */
static bct_time_t idle_limit(bct_upconn_t *c)
{
	bct_time_t ms = IDLE_DEFAULT_MS;
	bct_wire_answer_t a;

	c->gate->wire->decode_answer(&c->msg, &a);
	if (a.idle_ms >= 0)
		ms = a.idle_ms * IDLE_PERMILLE / BCT_MS_PER_S;
	return ms < IDLE_MAX_MS ? ms : IDLE_MAX_MS;
}

void bct_upconn_done(bct_upconn_t *c)
{
	count_no_more(c);
	if (c->x)
		c->x->conn = NULL;
	c->x = NULL;
	if (is_reusable(c))
		keep_idle(c, idle_limit(c));
	else
		bct_upconn_close(c);
}

void bct_upconn_probe(bct_gate_t *g, bct_gate_upstream_t *u)
{
	bct_upconn_t *c = open_conn(g, u);

	if (c)
		bct_list_add_tail(&c->link, &g->probes);
	else
		bct_reach_failed(g, u);
}

void bct_upconn_pause(bct_upconn_t *c, bool pause)
{
	if (pause == c->paused)
		return;
	c->paused = pause;
	if (pause) {
		bufferevent_disable(c->bev, EV_READ);
		return;
	}
	c->resumed = bct_clock_now();
	bufferevent_enable(c->bev, EV_READ);
}

void bct_upconn_check_window(bct_upconn_t *c)
{
	if (c->connected)
		bct_window_check(bufferevent_getfd(c->bev), &c->window_closed,
				 BCT_UPSTREAM_USER_TIMEOUT_MS);
}

bool bct_upconn_is_unread(const bct_upconn_t *c)
{
	return c->paused || (c->resumed && bct_clock_now() - c->resumed < UNREAD_MS);
}

void bct_upconns_expire(bct_gate_t *g, bct_gate_upstream_t *u, bool all)
{
	idle_list_t *l = u->connections;
	bct_time_t now = bct_clock_now();
	bct_list_t *el, *tmp;

	(void)g;
	if (!l)
		return;
	bct_list_for_each_safe(el, tmp, &l->conns) {
		bct_upconn_t *c = bct_container_of(el, bct_upconn_t, link);

		if (all || now - c->idle_since >= c->idle_limit_ms)
			bct_upconn_close(c);
	}
}
