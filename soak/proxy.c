/*
 * proxy.c - a loopback TCP proxy that can delay, reset or block its connections, or discard
 * answers.
 */
#include "soak/soak.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LINK_DELAY_MS 120 /* added per transfer by SOAK_LINK_DELAY */
#define POLL_MS 20

typedef struct pair {
	soak_proxy_t *proxy;
	int client_fd; /* accepted connection */
	int target_fd; /* connection to the target port */
} pair_t;

int soak_listen(const char *ip, uint16_t port, uint16_t *out)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(port) };
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	inet_pton(AF_INET, ip, &sa.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd < 0 || bind(fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(fd, 256))
		return -1;
	getsockname(fd, (struct sockaddr *)&sa, &len);
	*out = ntohs(sa.sin_port);
	return fd;
}

/* Makes close() send a TCP reset. */
static void set_reset_on_close(int fd)
{
	struct linger l = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

static soak_link_t current_link(soak_proxy_t *p)
{
	soak_link_t l;

	pthread_mutex_lock(&p->soak->lock);
	l = p->link;
	pthread_mutex_unlock(&p->soak->lock);
	return l;
}

/* Forwards, or discards, the bytes available on from. returns false when either side has ended. */
static bool forward(int from, int to, bool drop)
{
	char buf[8192];
	ssize_t n = recv(from, buf, sizeof(buf), 0);

	if (n <= 0)
		return false;
	return drop || send(to, buf, (size_t)n, MSG_NOSIGNAL) == n;
}

static void *run_pair(void *arg)
{
	pair_t *c = arg;
	struct pollfd fds[2] = { { .fd = c->client_fd, .events = POLLIN },
				 { .fd = c->target_fd, .events = POLLIN } };
	bool open = true;

	while (open) {
		soak_link_t l = current_link(c->proxy);

		if (l == SOAK_LINK_RESET) {
			set_reset_on_close(c->client_fd);
			set_reset_on_close(c->target_fd);
			break;
		}
		if (l == SOAK_LINK_SILENT) {
			bct_clock_sleep(POLL_MS);
			continue;
		}
		if (poll(fds, 2, POLL_MS) <= 0)
			continue;
		if (l == SOAK_LINK_DELAY)
			bct_clock_sleep(LINK_DELAY_MS);
		if (fds[0].revents)
			open = forward(c->client_fd, c->target_fd, false);
		if (open && fds[1].revents)
			open = forward(c->target_fd, c->client_fd, l == SOAK_LINK_ONE_WAY);
	}
	close(c->client_fd);
	close(c->target_fd);
	free(c);
	return NULL;
}

static int connect_target(const soak_proxy_t *p)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(p->target_port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0)
		return fd;
	close(fd);
	return -1;
}

static void *run_proxy(void *arg)
{
	soak_proxy_t *p = arg;

	for (;;) {
		pair_t *c = calloc(1, sizeof(*c));
		pthread_t thread;

		c->proxy = p;
		c->client_fd = accept(p->listen_fd, NULL, NULL);
		c->target_fd = c->client_fd < 0 ? -1 : connect_target(p);
		if (c->target_fd >= 0 && !pthread_create(&thread, NULL, run_pair, c)) {
			pthread_detach(thread);
			continue;
		}
		if (c->client_fd >= 0)
			close(c->client_fd);
		free(c);
	}
	return NULL;
}

void soak_proxy_start(soak_proxy_t *p, const char *ip)
{
	pthread_t thread;

	p->listen_fd = soak_listen(ip, 0, &p->port);
	if (p->listen_fd < 0 || pthread_create(&thread, NULL, run_proxy, p))
		abort();
	pthread_detach(thread);
}
