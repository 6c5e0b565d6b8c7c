/*
 * listen.c - opens the ports of the node and accepts connections there, up to a limit.
 */
#define _GNU_SOURCE
#include "base/err.h"
#include "gate/gate_int.h"

#include <event2/listener.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#define LISTEN_BACKLOG 512
#define LIMIT_LOG_MS 1000 /* between two lines about the limit of connections of a port */

static bct_gate_conn_rank_t rank_of(const bct_client_t *c)
{
	bct_gate_conn_rank_t r = { .state = BCT_GATE_CONN_IDLE, .since = c->since };

	if (c->x)
		r.state = BCT_GATE_CONN_BUSY;
	else if (c->closing)
		r.state = BCT_GATE_CONN_CLOSING;
	else if (evbuffer_get_length(bufferevent_get_output(c->bev)))
		r.state = BCT_GATE_CONN_UNREAD;
	else if (c->request_started)
		r.state = BCT_GATE_CONN_PARTIAL;
	return r;
}

/* The connection of the port that yields first; NULL: all are busy. */
static bct_client_t *first_to_yield(bct_client_port_t *p)
{
	bct_client_t *found = NULL;
	bct_gate_conn_rank_t first = { 0 };
	bct_list_t *el;

	bct_list_for_each(el, &p->gate->clients) {
		bct_client_t *c = bct_container_of(el, bct_client_t, link);
		bct_gate_conn_rank_t r = rank_of(c);

		if (c->port != p || !bct_gate_conn_yields(&r))
			continue;
		if (found && !bct_gate_conn_before(&r, &first))
			continue;
		found = c;
		first = r;
	}
	return found;
}

static void log_limit(bct_client_port_t *p)
{
	bct_time_t now = bct_clock_now();

	if (p->limit_logged && now - p->limit_logged < LIMIT_LOG_MS)
		return;
	BCT_LOG(p->gate->log, BCT_EV_GATE_CONNECTIONS,
		BCT_STR("port", p->is_local  ? "local"
				: p->is_node ? "nodes"
					     : "callers"),
		BCT_U64("connections", p->n_clients), BCT_U64("limit", p->max_clients),
		BCT_U64("yielded", p->yielded), BCT_U64("refused", p->refused));
	p->limit_logged = now;
	p->yielded = p->refused = 0;
}

/* Ends a connection if the port has as many as it may. returns whether there is room for one more
 */
static bool make_room(bct_client_port_t *p)
{
	bct_client_t *c;

	if (!p->max_clients || p->n_clients < p->max_clients)
		return true;
	c = first_to_yield(p);
	if (c) {
		BCT_GATE_COUNT(p->gate, CONNECTIONS_YIELDED);
		p->yielded++;
		bct_client_free(c, BCT_GATE_END_CALLER_LEFT);
	} else {
		BCT_GATE_COUNT(p->gate, CONNECTIONS_REFUSED);
		p->refused++;
	}
	log_limit(p);
	return c != NULL;
}

/* Takes an accepted connection, or closes it for lack of memory or at the limit. */
static void take(bct_client_port_t *p, evutil_socket_t fd)
{
	if (!make_room(p) || !bct_client_new(p, fd))
		evutil_closesocket(fd);
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *addr, int len,
		      void *ctx)
{
	(void)l;
	(void)addr;
	(void)len;
	take(ctx, fd);
}

/* Mostly for lack of file descriptors; the event loop would call it again and again at once. */
static void on_accept_error(struct evconnlistener *l, void *ctx)
{
	bct_client_port_t *p = ctx;
	int err = EVUTIL_SOCKET_ERROR();

	BCT_LOG(p->gate->log, BCT_EV_ACCEPT_FAILED,
		BCT_STR("why", evutil_socket_error_to_string(err)),
		BCT_U64("connections", p->n_clients));
	evconnlistener_disable(l);
	p->accept_failed = true;
}

void bct_clients_accept_again(bct_gate_t *g)
{
	bct_list_t *el;

	bct_list_for_each(el, &g->ports) {
		bct_client_port_t *p = bct_container_of(el, bct_client_port_t, link);

		if (p->accept_failed)
			evconnlistener_enable(p->listener);
		p->accept_failed = false;
	}
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

static uint32_t max_clients(const bct_gate_t *g, const bct_client_port_t *p)
{
	if (p->is_local)
		return g->conn_limits.local;
	return p->is_node ? g->conn_limits.nodes : g->conn_limits.callers;
}

int bct_client_port_open(bct_gate_t *g, bct_client_port_t *p, const bct_addr_t *at)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(at->port) };
	char text[BCT_ADDR_PORT_BYTES];

	if (at->ip_len_bytes != sizeof(sa.sin_addr))
		return -BCT_EINVAL;
	memcpy(&sa.sin_addr, at->ip, sizeof(sa.sin_addr));
	p->gate = g;
	p->max_clients = max_clients(g, p);
	p->listener = evconnlistener_new_bind(g->base, on_accept, p,
					      LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE |
						      LEV_OPT_CLOSE_ON_EXEC,
					      LISTEN_BACKLOG, (struct sockaddr *)&sa, sizeof(sa));
	if (p->listener) {
		bct_list_add_tail(&p->link, &g->ports);
		evconnlistener_set_error_cb(p->listener, on_accept_error);
		bound_buffers(g, evconnlistener_get_fd(p->listener));
		return 0;
	}
	bct_addr_print(at, text, sizeof(text));
	BCT_LOG(g->log, BCT_EV_LISTEN_FAILED, BCT_STR("address", text));
	return -BCT_EIO;
}

void bct_client_port_close(bct_client_port_t *p)
{
	if (!p->listener)
		return;
	bct_list_del(&p->link);
	evconnlistener_free(p->listener);
	p->listener = NULL;
}

int bct_clients_listen(bct_gate_t *g)
{
	const bct_settings_t *s = g->settings;
	bct_addr_t relay;
	int rc = bct_client_port_open(g, &g->callers, &g->listen);

	if (rc || !g->share || !s->gate_relay_port)
		return rc;
	rc = bct_addr_parse(s->peer_address, (uint16_t)s->gate_relay_port, &relay);
	return rc ? rc : bct_client_port_open(g, &g->relays, &relay);
}

/* Closing a listening socket resets the connections that the kernel has established there, and
 * whose callers may have sent a request. */
static void accept_rest(bct_client_port_t *p)
{
	evutil_socket_t fd;

	if (!p->listener)
		return;
	while ((fd = accept4(evconnlistener_get_fd(p->listener), NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
		take(p, fd);
	bct_client_port_close(p);
}

void bct_clients_stop_listening(bct_gate_t *g)
{
	accept_rest(&g->callers);
	accept_rest(&g->relays);
}
