/*
 * upstream_socket.c - sets the options of a socket, and connects it.
 */
#include "gate/upstream_socket.h"
#include "base/err.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#define PROBE_IDLE_S 1 /* without traffic, until keep-alive probes are sent */

/* The user timeout also ends keep-alive probes, after the first that is not answered in time. */
static void set_options(evutil_socket_t fd)
{
	int user_timeout_ms = BCT_UPSTREAM_USER_TIMEOUT_MS, on = 1, idle_s = PROBE_IDLE_S;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof(user_timeout_ms));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &idle_s, sizeof(idle_s));
}

/* What the kernel receives ahead is bounded before the window is first announced: its own sizes
 * grow to megabytes, and many upstreams may send without end. */
static int open_socket(struct bufferevent *bev, uint32_t rcvbuf_bytes)
{
	int bytes = (int)rcvbuf_bytes;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -BCT_EIO;
	if (bytes)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	if (!bufferevent_setfd(bev, fd))
		return 0;
	close(fd);
	return -BCT_EIO;
}

int bct_upstream_connect(struct bufferevent *bev, const bct_gate_entry_t *to, uint32_t rcvbuf_bytes)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(to->port) };
	int rc;

	if (inet_pton(AF_INET, to->ip, &sa.sin_addr) != 1)
		return -BCT_EINVAL;
	rc = open_socket(bev, rcvbuf_bytes);
	if (rc)
		return rc;
	if (bufferevent_socket_connect(bev, (struct sockaddr *)&sa, sizeof(sa)))
		return -BCT_EUNAVAILABLE;
	set_options(bufferevent_getfd(bev));
	return 0;
}
