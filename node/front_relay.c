/*
 * front_relay.c - passes requests whose heads are well formed and whose ends are beyond doubt to
 * the server inside, and its answers to the caller.
 */
#include "base/mem.h"
#include "http/bev.h"
#include "http/head_lines.h"
#include "node/front_filter_int.h"

#include <linux/sockios.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#define BUFFERED_BYTES (64 * 1024) /* in one direction: reading of the other side stops */
#define LOW_BYTES (16 * 1024)	   /* then it goes on */
#define HEAD_EXTRA_BYTES 4096	   /* read of a head that is too long, before it is passed on */
#define BAD_POLL_MS 50		   /* until what came before a malformed request is answered */
#define IDLE_POLLS 2		   /* in a row: bytes may be on their way inside */
#define LINGER_MS 1000		   /* for a caller to close after its last answer */

void bct_front_relay_free(bct_front_relay_t *c)
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

static void set_timer(bct_front_relay_t *c, uint32_t ms)
{
	struct timeval tv = { ms / BCT_MS_PER_S, (long)(ms % BCT_MS_PER_S) * 1000 };

	event_add(c->timer, &tv);
}

/* Ends the sending side; the caller may still read what it was sent. */
static void linger(bct_front_relay_t *c)
{
	c->lingering = true;
	shutdown(bufferevent_getfd(c->caller), SHUT_WR);
	set_timer(c, LINGER_MS);
}

static void end_when_flushed(bct_front_relay_t *c)
{
	c->ending = true;
	if (!evbuffer_get_length(bufferevent_get_output(c->caller)))
		linger(c);
}

/* Answers the malformed request, as everything before it has been answered. */
static void refuse(bct_front_relay_t *c)
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
 * of its answers is unread. Those are looked for last, as the server may just be sending one.
 */
static bool inner_is_idle(bct_front_relay_t *c)
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
	bct_front_relay_t *c = ctx;

	(void)fd;
	(void)what;
	if (c->lingering) {
		bct_front_relay_free(c);
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

static void note_bad(bct_front_relay_t *c)
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
static size_t read_head(bct_front_relay_t *c, struct evbuffer *in)
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
static size_t read_body(bct_front_relay_t *c, struct evbuffer *in)
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
static void pass_requests(bct_front_relay_t *c)
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
	bct_front_relay_t *c = ctx;

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
	bct_front_relay_t *c = ctx;

	if (c->inner)
		bufferevent_enable(c->inner, EV_READ);
	else if (c->ending && !c->lingering && !evbuffer_get_length(bufferevent_get_output(bev)))
		linger(c);
}

static void on_caller_event(struct bufferevent *bev, short what, void *ctx)
{
	(void)bev;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		bct_front_relay_free(ctx);
}

static void on_inner_read(struct bufferevent *bev, void *ctx)
{
	bct_front_relay_t *c = ctx;

	bufferevent_read_buffer(bev, bufferevent_get_output(c->caller));
	if (evbuffer_get_length(bufferevent_get_output(c->caller)) > BUFFERED_BYTES)
		bufferevent_disable(bev, EV_READ);
}

static void on_inner_write(struct bufferevent *bev, void *ctx)
{
	bct_front_relay_t *c = ctx;

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
	bct_front_relay_t *c = ctx;

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

bct_front_relay_t *bct_front_relay_new(bct_front_filter_t *f, int caller_fd, int inner_fd,
				       int inner_end)
{
	bct_front_relay_t *c = bct_alloc(sizeof(*c));

	if (c) {
		c->filter = f;
		c->inner_end = inner_end;
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

void bct_front_relay_start(bct_front_relay_t *c)
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
