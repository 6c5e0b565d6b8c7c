/*
 * listen.c - accepts connections of callers, and of other nodes that relay requests.
 */
#define _GNU_SOURCE
#include "base/err.h"
#include "gate/gate_int.h"

#include <event2/listener.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#define LISTEN_BACKLOG 512

static void on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *addr, int len,
		      void *ctx)
{
	(void)l;
	(void)addr;
	(void)len;
	if (!bct_client_new(ctx, fd, false))
		evutil_closesocket(fd);
}

static void on_accept_node(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *addr,
			   int len, void *ctx)
{
	(void)l;
	(void)addr;
	(void)len;
	if (!bct_client_new(ctx, fd, true))
		evutil_closesocket(fd);
}

/* Mostly for lack of file descriptors; the event loop would call it again and again at once. */
static void on_accept_error(struct evconnlistener *l, void *ctx)
{
	bct_gate_t *g = ctx;
	int err = EVUTIL_SOCKET_ERROR();

	BCT_LOG(g->log, BCT_EV_ACCEPT_FAILED, BCT_STR("why", evutil_socket_error_to_string(err)),
		BCT_U64("connections", g->n_clients));
	evconnlistener_disable(l);
	g->accept_failed = true;
}

void bct_clients_accept_again(bct_gate_t *g)
{
	if (!g->accept_failed)
		return;
	g->accept_failed = false;
	if (g->listener)
		evconnlistener_enable(g->listener);
	if (g->relay_listener)
		evconnlistener_enable(g->relay_listener);
}

/* What a caller sends ahead, and answers that it does not read, fill the kernel's buffers, whose
 * own sizes grow to megabytes. Accepted connections inherit these. */
static void bound_buffers(const bct_gate_t *g, evutil_socket_t fd)
{
	int bytes = (int)g->settings->gate_socket_buffer_bytes;

	if (!bytes)
		return;
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
}

/* returns 0, -BCT_EINVAL or -BCT_EIO */
static int listen_at(bct_gate_t *g, const bct_addr_t *at, evconnlistener_cb on_conn,
		     struct evconnlistener **out)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(at->port) };
	char text[BCT_ADDR_PORT_BYTES];

	if (at->ip_len_bytes != sizeof(sa.sin_addr))
		return -BCT_EINVAL;
	memcpy(&sa.sin_addr, at->ip, sizeof(sa.sin_addr));
	*out = evconnlistener_new_bind(g->base, on_conn, g,
				       LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE |
					       LEV_OPT_CLOSE_ON_EXEC,
				       LISTEN_BACKLOG, (struct sockaddr *)&sa, sizeof(sa));
	if (*out) {
		evconnlistener_set_error_cb(*out, on_accept_error);
		bound_buffers(g, evconnlistener_get_fd(*out));
		return 0;
	}
	bct_addr_print(at, text, sizeof(text));
	BCT_LOG(g->log, BCT_EV_LISTEN_FAILED, BCT_STR("address", text));
	return -BCT_EIO;
}

int bct_clients_listen(bct_gate_t *g)
{
	const bct_settings_t *s = g->settings;
	bct_addr_t relay;
	int rc = listen_at(g, &g->listen, on_accept, &g->listener);

	if (rc || !g->share || !s->gate_relay_port)
		return rc;
	rc = bct_addr_parse(s->peer_address, (uint16_t)s->gate_relay_port, &relay);
	return rc ? rc : listen_at(g, &relay, on_accept_node, &g->relay_listener);
}

/* Closing a listening socket resets the connections that the kernel has established there, and
 * whose callers may have sent a request. */
static void close_listener(bct_gate_t *g, struct evconnlistener *l, bool is_node)
{
	evutil_socket_t fd;

	if (!l)
		return;
	while ((fd = accept4(evconnlistener_get_fd(l), NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >=
	       0) {
		if (!bct_client_new(g, fd, is_node))
			evutil_closesocket(fd);
	}
	evconnlistener_free(l);
}

void bct_clients_stop_listening(bct_gate_t *g)
{
	close_listener(g, g->listener, false);
	close_listener(g, g->relay_listener, true);
	g->listener = g->relay_listener = NULL;
}
