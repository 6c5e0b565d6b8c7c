/*
 * front_filter.c - one thread with an event loop: listens for callers and limits their connections,
 * see front_relay.c.
 */
#include "base/err.h"
#include "base/mem.h"
#include "node/front_filter_int.h"

#include <ck_pr.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define BACKLOG 1024
#define LIMIT_LOG_MS 1000   /* between two lines about the limit of connections */
#define ACCEPT_AGAIN_MS 100 /* after accepting failed, mostly for lack of descriptors */

/* The connection that ends for a new one; NULL: requests are being handled on all. */
static bct_front_relay_t *first_to_yield(bct_front_filter_t *f)
{
	bct_list_t *el;

	bct_list_for_each(el, &f->conns) {
		bct_front_relay_t *c = bct_container_of(el, bct_front_relay_t, link);

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
	bct_front_relay_t *c;

	if (!f->opts.max_connections || f->n_conns < f->opts.max_connections)
		return true;
	c = first_to_yield(f);
	if (c) {
		bct_counter_inc(f->opts.yielded);
		f->yielded++;
		bct_front_relay_free(c);
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
	bct_front_relay_t *c;

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
	c = bct_front_relay_new(f, fd, pair[0], pair[1]);
	if (!c) {
		close(pair[1]);
		return;
	}
	bct_front_relay_start(c);
	if (f->opts.add(f->opts.ctx, pair[1], addr, (socklen_t)len))
		bct_front_relay_free(c);
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
		bct_front_relay_free(bct_container_of(f->conns.next, bct_front_relay_t, link));
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
