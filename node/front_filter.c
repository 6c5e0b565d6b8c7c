/*
 * front_filter.c - one thread with an event loop: for each caller two connections, the caller's and
 * one end of a socket pair.
 */
#include "node/front_filter.h"
#include "base/clock.h"
#include "base/err.h"
#include "base/list.h"
#include "base/mem.h"
#include "http/bev.h"
#include "http/head_lines.h"
#include "http/http_msg.h"

#include <ck_pr.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/ioctl.h>
#include <unistd.h>

#define BACKLOG 1024
#define BUFFERED_BYTES (64 * 1024) /* in one direction: reading of the other side stops */
#define LOW_BYTES (16 * 1024)	   /* then it goes on */
#define HEAD_EXTRA_BYTES 4096	   /* read of a head that is too long, before it is passed on */
#define BAD_POLL_MS 50		   /* until what came before a malformed request is answered */
#define IDLE_POLLS 2		   /* in a row: bytes may be on their way inside */
#define LIMIT_LOG_MS 1000	   /* between two lines about the limit of connections */
#define ACCEPT_AGAIN_MS 100	   /* after accepting failed, mostly for lack of descriptors */
#define LINGER_MS 1000		   /* for a caller to close after its last answer */

struct bct_front_filter {
	bct_front_filter_opts_t opts;
	struct event_base *base;
	struct evconnlistener *listener;
	struct event *wake;
	int wake_fd;
	uint16_t port;
	bct_list_t conns; /* the one whose last request ended, or that came, longest ago first */
	uint32_t n_conns;
	uint32_t yielded, refused; /* at the limit, since the last line of the log */
	bct_time_t limit_logged;
	struct event *accept_again; /* after a lack of descriptors */
	pthread_t thread;
	bool started;
	uint32_t quiesced; /* atomic */
	uint32_t stopping; /* atomic */
};

typedef struct conn {
	bct_list_t link;
	bct_front_filter_t *filter;
	struct bufferevent *caller;
	struct bufferevent *inner;
	int inner_end; /* the other end of the pair; only to ask about it */
	bct_http_msg_t msg;
	struct evbuffer *shadow; /* copy of what is read, consumed by msg */
	struct event *timer;
	bool blind; /* the server inside reads no further: nothing more is passed on to it */
	bool bad;   /* a malformed request came */
	uint32_t idle_polls; /* while bad */
	bool ending;	     /* the inner side has closed */
	bool lingering;
} conn_t;

static void conn_free(conn_t *c)
{
	bct_list_del(&c->link);
	c->filter->n_conns--;
	event_free(c->timer);
	bct_bev_free(c->caller);
	if (c->inner)
		bct_bev_free(c->inner);
	evbuffer_free(c->shadow);
	bct_http_msg_free(&c->msg);
	bct_free(c);
}

static void set_timer(conn_t *c, uint32_t ms)
{
	struct timeval tv = { ms / BCT_MS_PER_S, (long)(ms % BCT_MS_PER_S) * 1000 };

	event_add(c->timer, &tv);
}

/* Ends the sending side; the caller may still read what it was sent. */
static void linger(conn_t *c)
{
	c->lingering = true;
	shutdown(bufferevent_getfd(c->caller), SHUT_WR);
	set_timer(c, LINGER_MS);
}

static void end_when_flushed(conn_t *c)
{
	c->ending = true;
	if (!evbuffer_get_length(bufferevent_get_output(c->caller)))
		linger(c);
}

/* Answers the malformed request, as everything before it has been answered. */
static void refuse(conn_t *c)
{
	struct evbuffer *out = bufferevent_get_output(c->caller);
	char *text = c->filter->opts.refusal(c->filter->opts.ctx);

	evbuffer_add_printf(out,
			    "HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\n"
			    "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
			    text ? strlen(text) : 0, text ? text : "");
	free(text);
	bct_bev_free(c->inner);
	c->inner = NULL;
	end_when_flushed(c);
}

/*
 * Whether the server inside has read all that was passed on, has no request in progress, and none
 * of its answers is unread. That one is asked last: an answer may be sent meanwhile.
 */
static bool inner_is_idle(conn_t *c)
{
	evutil_socket_t fd = bufferevent_getfd(c->inner);
	int unread = 0;

	if (evbuffer_get_length(bufferevent_get_output(c->inner)) || ioctl(fd, SIOCOUTQ, &unread) ||
	    unread)
		return false;
	if (!c->filter->opts.is_idle(c->filter->opts.ctx, c->inner_end))
		return false;
	return !ioctl(fd, FIONREAD, &unread) && !unread;
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	conn_t *c = ctx;

	(void)fd;
	(void)what;
	if (c->lingering) {
		conn_free(c);
		return;
	}
	if (!c->bad || !c->inner)
		return;
	c->idle_polls = inner_is_idle(c) ? c->idle_polls + 1 : 0;
	if (c->idle_polls == IDLE_POLLS)
		refuse(c);
	else
		set_timer(c, BAD_POLL_MS);
}

static void note_bad(conn_t *c)
{
	c->bad = true;
	bufferevent_disable(c->caller, EV_READ);
	set_timer(c, BAD_POLL_MS);
}

/* Whether a head has a line feed without its carriage return, or a NUL, up to where it ends. */
static bool has_bad_bytes(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (!text[i] || (text[i] == '\n' && (!i || text[i - 1] != '\r')))
			return true;
		if (text[i] == '\n' && i >= 3 && text[i - 2] == '\n')
			return false;
	}
	return false;
}

/* Whether each line of a whole head is well formed, by itself. */
static bool has_bad_lines(const char *text, size_t len)
{
	return bct_http_lines_check(text, len) != 0;
}

/*
 * Reads a head. What the server inside refuses by itself (two lengths, no host, too long) is passed
 * on to it alone, so that it can say why.
 *
 * returns  bytes of the caller's input to pass on; 0: wait for more, or the request is malformed
 */
static size_t read_head(conn_t *c, struct evbuffer *in)
{
	size_t have = evbuffer_get_length(in), max = c->filter->opts.max_header_bytes;
	const char *text = (const char *)evbuffer_pullup(in, -1);
	struct evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, NULL);
	size_t len = end.pos < 0 ? 0 : (size_t)end.pos + 4;

	if (has_bad_bytes(text, len ? len : have) || (len && has_bad_lines(text, len))) {
		note_bad(c);
		return 0;
	}
	if (!len && have < max + HEAD_EXTRA_BYTES)
		return 0;
	evbuffer_add(c->shadow, text, len);
	if (!len || bct_http_msg_read(&c->msg, c->shadow, len) == BCT_HTTP_FAILED) {
		c->blind = true;
		return len ? len : have;
	}
	return len;
}

/* Follows a body. returns bytes to pass on; 0: wait for more, or the request is malformed */
static size_t read_body(conn_t *c, struct evbuffer *in)
{
	size_t have = evbuffer_get_length(in), left;

	evbuffer_add(c->shadow, evbuffer_pullup(in, -1), have);
	bct_http_msg_read(&c->msg, c->shadow, c->filter->opts.max_header_bytes);
	left = evbuffer_get_length(c->shadow);
	evbuffer_drain(c->shadow, left);
	if (c->msg.state == BCT_HTTP_FAILED) {
		note_bad(c);
		return 0;
	}
	return have - left;
}

/* Passes on what is well formed. Stops while the server inside is behind. */
static void pass_requests(conn_t *c)
{
	struct evbuffer *in = bufferevent_get_input(c->caller);
	struct evbuffer *out = bufferevent_get_output(c->inner);

	while (evbuffer_get_length(in) && !c->bad && !c->blind) {
		size_t n = c->msg.state == BCT_HTTP_HEAD ? read_head(c, in) : read_body(c, in);

		if (!n && c->msg.state != BCT_HTTP_DONE)
			return;
		evbuffer_remove_buffer(in, out, n);
		if (c->msg.state == BCT_HTTP_DONE) {
			bct_http_msg_reset(&c->msg);
			bct_list_del(&c->link);
			bct_list_add_tail(&c->link, &c->filter->conns);
		}
	}
	if (c->blind)
		evbuffer_drain(in, evbuffer_get_length(in));
}

static void on_caller_read(struct bufferevent *bev, void *ctx)
{
	conn_t *c = ctx;

	if (!c->inner || c->ending) {
		evbuffer_drain(bufferevent_get_input(bev),
			       evbuffer_get_length(bufferevent_get_input(bev)));
		return;
	}
	pass_requests(c);
	if (evbuffer_get_length(bufferevent_get_output(c->inner)) > BUFFERED_BYTES)
		bufferevent_disable(bev, EV_READ);
}

/* Little is left to send to the caller. */
static void on_caller_write(struct bufferevent *bev, void *ctx)
{
	conn_t *c = ctx;

	if (c->inner)
		bufferevent_enable(c->inner, EV_READ);
	else if (c->ending && !c->lingering && !evbuffer_get_length(bufferevent_get_output(bev)))
		linger(c);
}

static void on_caller_event(struct bufferevent *bev, short what, void *ctx)
{
	(void)bev;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		conn_free(ctx);
}

static void on_inner_read(struct bufferevent *bev, void *ctx)
{
	conn_t *c = ctx;

	bufferevent_read_buffer(bev, bufferevent_get_output(c->caller));
	if (evbuffer_get_length(bufferevent_get_output(c->caller)) > BUFFERED_BYTES)
		bufferevent_disable(bev, EV_READ);
}

static void on_inner_write(struct bufferevent *bev, void *ctx)
{
	conn_t *c = ctx;

	(void)bev;
	if (!c->bad)
		bufferevent_enable(c->caller, EV_READ);
}

/*
 * The server inside has closed: its last bytes go to the caller, then the connection ends. It may
 * answer and close before it has read the whole request. Then writing can fail while the answer is
 * still unread, so that only the end of reading ends the connection.
 */
static void on_inner_event(struct bufferevent *bev, short what, void *ctx)
{
	conn_t *c = ctx;

	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	if (what & BEV_EVENT_WRITING) {
		c->blind = true;
		return;
	}
	bufferevent_read_buffer(bev, bufferevent_get_output(c->caller));
	bct_bev_free(bev);
	c->inner = NULL;
	bufferevent_enable(c->caller, EV_READ);
	end_when_flushed(c);
}

/* Takes over both descriptors, also on failure. returns NULL without memory */
static conn_t *conn_new(bct_front_filter_t *f, int caller_fd, int inner_fd)
{
	conn_t *c = bct_alloc(sizeof(*c));

	if (c) {
		c->filter = f;
		bct_list_init(&c->link);
		bct_http_msg_init(&c->msg, HTTP_REQUEST);
		c->shadow = evbuffer_new();
		c->timer = evtimer_new(f->base, on_timer, c);
		c->caller = bufferevent_socket_new(f->base, caller_fd, BEV_OPT_CLOSE_ON_FREE);
		c->inner = bufferevent_socket_new(f->base, inner_fd, BEV_OPT_CLOSE_ON_FREE);
	}
	if (c && c->shadow && c->timer && c->caller && c->inner)
		return c;
	if (!c || !c->caller)
		evutil_closesocket(caller_fd);
	if (!c || !c->inner)
		evutil_closesocket(inner_fd);
	if (c && c->shadow)
		evbuffer_free(c->shadow);
	if (c && c->timer)
		event_free(c->timer);
	if (c && c->caller)
		bct_bev_free(c->caller);
	if (c && c->inner)
		bct_bev_free(c->inner);
	bct_free(c);
	return NULL;
}

static void start_conn(conn_t *c)
{
	bct_list_add_tail(&c->link, &c->filter->conns);
	c->filter->n_conns++;
	bufferevent_setcb(c->caller, on_caller_read, on_caller_write, on_caller_event, c);
	bufferevent_setcb(c->inner, on_inner_read, on_inner_write, on_inner_event, c);
	bufferevent_setwatermark(c->caller, EV_READ, 0, BUFFERED_BYTES);
	bufferevent_setwatermark(c->caller, EV_WRITE, LOW_BYTES, 0);
	bufferevent_setwatermark(c->inner, EV_WRITE, LOW_BYTES, 0);
	bufferevent_enable(c->caller, EV_READ | EV_WRITE);
	bufferevent_enable(c->inner, EV_READ | EV_WRITE);
}

/* The connection that ends for a new one; NULL: requests are being handled on all. */
static conn_t *first_to_yield(bct_front_filter_t *f)
{
	bct_list_t *el;

	bct_list_for_each(el, &f->conns) {
		conn_t *c = bct_container_of(el, conn_t, link);

		if (c->lingering || !c->inner || !f->opts.is_serving(f->opts.ctx, c->inner_end))
			return c;
	}
	return NULL;
}

static void log_limit(bct_front_filter_t *f)
{
	bct_time_t now = bct_clock_now();

	if (f->limit_logged && now - f->limit_logged < LIMIT_LOG_MS)
		return;
	BCT_LOG(f->opts.log, BCT_EV_CONNECTIONS_LIMIT, BCT_U64("connections", f->n_conns),
		BCT_U64("limit", f->opts.max_connections), BCT_U64("yielded", f->yielded),
		BCT_U64("refused", f->refused));
	f->limit_logged = now;
	f->yielded = f->refused = 0;
}

/* Ends a connection at the limit. returns whether there is room for one more */
static bool make_room(bct_front_filter_t *f)
{
	conn_t *c;

	if (!f->opts.max_connections || f->n_conns < f->opts.max_connections)
		return true;
	c = first_to_yield(f);
	if (c) {
		bct_counter_inc(f->opts.yielded);
		f->yielded++;
		conn_free(c);
	} else {
		bct_counter_inc(f->opts.refused);
		f->refused++;
	}
	log_limit(f);
	return c != NULL;
}

/* The event loop would call it again and again at once. */
static void on_accept_error(struct evconnlistener *l, void *ctx)
{
	struct timeval later = { 0, ACCEPT_AGAIN_MS * 1000 };
	bct_front_filter_t *f = ctx;
	int err = EVUTIL_SOCKET_ERROR();

	BCT_LOG(f->opts.log, BCT_EV_ACCEPT_FAILED,
		BCT_STR("why", evutil_socket_error_to_string(err)),
		BCT_U64("connections", f->n_conns));
	evconnlistener_disable(l);
	event_add(f->accept_again, &later);
}

static void on_accept_again(evutil_socket_t fd, short what, void *ctx)
{
	bct_front_filter_t *f = ctx;

	(void)fd;
	(void)what;
	if (f->listener)
		evconnlistener_enable(f->listener);
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *addr, int len,
		      void *ctx)
{
	bct_front_filter_t *f = ctx;
	int pair[2], on = 1;
	conn_t *c;

	(void)l;
	if (!make_room(f)) {
		evutil_closesocket(fd);
		return;
	}
	if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, pair)) {
		evutil_closesocket(fd);
		return;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	c = conn_new(f, fd, pair[0]);
	if (!c) {
		close(pair[1]);
		return;
	}
	c->inner_end = pair[1];
	start_conn(c);
	if (f->opts.add(f->opts.ctx, pair[1], addr, (socklen_t)len))
		conn_free(c);
}

static void on_wake(evutil_socket_t fd, short what, void *ctx)
{
	bct_front_filter_t *f = ctx;
	uint64_t n;

	(void)what;
	if (read(fd, &n, sizeof(n)) < 0)
		return;
	if (ck_pr_load_32(&f->quiesced) && f->listener) {
		evconnlistener_free(f->listener);
		f->listener = NULL;
	}
	if (ck_pr_load_32(&f->stopping))
		event_base_loopbreak(f->base);
}

static void *run(void *arg)
{
	bct_front_filter_t *f = arg;

	event_base_dispatch(f->base);
	return NULL;
}

static int start(bct_front_filter_t *f)
{
	const bct_front_filter_opts_t *o = &f->opts;
	struct sockaddr_storage at;
	socklen_t len = sizeof(at);

	f->base = event_base_new();
	f->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (!f->base || f->wake_fd < 0)
		return -BCT_ENOMEM;
	f->accept_again = evtimer_new(f->base, on_accept_again, f);
	if (!f->accept_again)
		return -BCT_ENOMEM;
	f->wake = event_new(f->base, f->wake_fd, EV_READ | EV_PERSIST, on_wake, f);
	if (!f->wake || event_add(f->wake, NULL))
		return -BCT_ENOMEM;
	f->listener = evconnlistener_new_bind(f->base, on_accept, f,
					      LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE |
						      LEV_OPT_CLOSE_ON_EXEC,
					      BACKLOG, o->address, (int)o->address_bytes);
	if (!f->listener)
		return -BCT_EIO;
	evconnlistener_set_error_cb(f->listener, on_accept_error);
	if (getsockname(evconnlistener_get_fd(f->listener), (struct sockaddr *)&at, &len))
		return -BCT_EIO;
	f->port = ntohs(at.ss_family == AF_INET6 ? ((struct sockaddr_in6 *)&at)->sin6_port
						 : ((struct sockaddr_in *)&at)->sin_port);
	if (pthread_create(&f->thread, NULL, run, f))
		return -BCT_ENOMEM;
	f->started = true;
	return 0;
}

int bct_front_filter_new(const bct_front_filter_opts_t *opts, bct_front_filter_t **out)
{
	bct_front_filter_t *f = bct_alloc(sizeof(*f));
	int rc;

	if (!f)
		return -BCT_ENOMEM;
	f->opts = *opts;
	f->wake_fd = -1;
	bct_list_init(&f->conns);
	rc = start(f);
	if (rc) {
		bct_front_filter_free(f);
		return rc;
	}
	*out = f;
	return 0;
}

static void wake(bct_front_filter_t *f, uint32_t *flag)
{
	uint64_t one = 1;

	ck_pr_store_32(flag, 1);
	/* Fails only if the counter is full: then the thread has not seen an earlier call yet. */
	if (write(f->wake_fd, &one, sizeof(one)) < 0)
		return;
}

void bct_front_filter_quiesce(bct_front_filter_t *f)
{
	wake(f, &f->quiesced);
}

void bct_front_filter_free(bct_front_filter_t *f)
{
	if (!f)
		return;
	if (f->started) {
		wake(f, &f->stopping);
		pthread_join(f->thread, NULL);
	}
	while (!bct_list_empty(&f->conns))
		conn_free(bct_container_of(f->conns.next, conn_t, link));
	if (f->listener)
		evconnlistener_free(f->listener);
	if (f->accept_again)
		event_free(f->accept_again);
	if (f->wake)
		event_free(f->wake);
	if (f->wake_fd >= 0)
		close(f->wake_fd);
	if (f->base)
		event_base_free(f->base);
	bct_free(f);
}

uint16_t bct_front_filter_port(const bct_front_filter_t *f)
{
	return f->port;
}
