/*
 * front_conn.c - connection table of the callers' HTTP interface.
 *
 * libmicrohttpd does not poll a suspended connection, so it does not notice that the caller has
 * disconnected. Its own timeout restarts with every byte, so it does not limit how long a request
 * takes to arrive. One thread covers both: it polls connections with a submitted request for a
 * hang-up, and shuts down connections whose request has not arrived completely within the receive
 * time limit.
 */
#define _GNU_SOURCE
#include "node/front_conn.h"
#include "base/err.h"
#include "base/mem.h"

#include <ck_pr.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define EVENTS_AT_ONCE 64
#define REAP_MS 200 /* interval between checks of the receive time limit */
#define STOP_ID 0   /* epoll data of the stop event; request ids are hashes, none in use is 0 */

/*
 * Shuts down connections that exceed the receive time limit. Only shutdown() is called here:
 * libmicrohttpd owns the descriptor and closes it.
 */
static void reap_slow_connections(bct_conn_table_t *t)
{
	bct_time_t now = bct_clock_now();
	bct_list_t *el;

	pthread_mutex_lock(&t->lock);
	bct_list_for_each(el, &t->conns) {
		bct_conn_t *c = bct_container_of(el, bct_conn_t, link);

		if (!c->receiving || c->shut || now - c->receive_started < t->receive_timeout_ms)
			continue;
		c->shut = true;
		shutdown(c->fd, SHUT_RDWR);
		bct_counter_inc(&bct_core_stats(t->core)->reaped);
	}
	pthread_mutex_unlock(&t->lock);
}

/*
 * Ends the receiving side of idle connections: libmicrohttpd still answers what has arrived, and
 * closes the connection then.
 */
static void close_idle_connections(bct_conn_table_t *t)
{
	bct_list_t *el;

	pthread_mutex_lock(&t->lock);
	bct_list_for_each(el, &t->conns) {
		bct_conn_t *c = bct_container_of(el, bct_conn_t, link);

		if (!c->receiving || c->begun || c->shut)
			continue;
		c->shut = true;
		shutdown(c->fd, SHUT_RD);
	}
	pthread_mutex_unlock(&t->lock);
}

static void *watch_main(void *arg)
{
	struct epoll_event ev[EVENTS_AT_ONCE];
	bct_conn_table_t *t = arg;
	bct_time_t next_reap = 0;
	int i, n;

	for (;;) {
		n = epoll_wait(t->epoll_fd, ev, EVENTS_AT_ONCE, REAP_MS);
		for (i = 0; i < n; i++) {
			if (ev[i].data.u64 == STOP_ID)
				return NULL;
			bct_core_caller_disconnected(t->core, ev[i].data.u64);
		}
		if (bct_clock_now() >= next_reap) {
			reap_slow_connections(t);
			if (bct_conn_closing(t))
				close_idle_connections(t);
			next_reap = bct_clock_now() + REAP_MS;
		}
	}
}

int bct_conn_table_init(bct_conn_table_t *t, bct_core_t *core, uint32_t receive_timeout_ms)
{
	struct epoll_event ev = { .events = EPOLLIN, .data = { .u64 = STOP_ID } };

	memset(t, 0, sizeof(*t));
	t->core = core;
	t->receive_timeout_ms = receive_timeout_ms;
	bct_list_init(&t->conns);
	pthread_mutex_init(&t->lock, NULL);
	t->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	t->stop_fd = eventfd(0, EFD_CLOEXEC);
	if (t->epoll_fd < 0 || t->stop_fd < 0)
		return -BCT_EIO;
	if (epoll_ctl(t->epoll_fd, EPOLL_CTL_ADD, t->stop_fd, &ev))
		return -BCT_EIO;
	if (pthread_create(&t->thread, NULL, watch_main, t))
		return -BCT_ENOMEM;
	t->started = true;
	return 0;
}

void bct_conn_table_destroy(bct_conn_table_t *t)
{
	uint64_t one = 1;

	if (t->started && write(t->stop_fd, &one, sizeof(one)) == sizeof(one))
		pthread_join(t->thread, NULL);
	if (t->epoll_fd >= 0)
		close(t->epoll_fd);
	if (t->stop_fd >= 0)
		close(t->stop_fd);
	bct_map_free(&t->by_fd);
	pthread_mutex_destroy(&t->lock);
}

bct_conn_t *bct_conn_open(bct_conn_table_t *t, int fd)
{
	bct_conn_t *c = bct_alloc(sizeof(*c));
	int full;

	if (!c)
		return NULL;
	c->table = t;
	c->fd = fd;
	c->receiving = true;
	c->receive_started = bct_clock_now();
	pthread_mutex_lock(&t->lock);
	bct_list_add_tail(&c->link, &t->conns);
	full = bct_map_put(&t->by_fd, (uint64_t)fd + 1, c);
	if (full)
		bct_list_del(&c->link);
	pthread_mutex_unlock(&t->lock);
	if (full) {
		bct_free(c);
		return NULL;
	}
	return c;
}

void bct_conn_close(bct_conn_table_t *t, bct_conn_t *c)
{
	pthread_mutex_lock(&t->lock);
	bct_list_del(&c->link);
	if (bct_map_get(&t->by_fd, (uint64_t)c->fd + 1) == c)
		bct_map_del(&t->by_fd, (uint64_t)c->fd + 1);
	if (!c->receiving)
		t->serving--;
	pthread_mutex_unlock(&t->lock);
	bct_free(c);
}

void bct_conn_begun(bct_conn_table_t *t, bct_conn_t *c)
{
	pthread_mutex_lock(&t->lock);
	c->begun = true;
	pthread_mutex_unlock(&t->lock);
}

void bct_conn_close_all(bct_conn_table_t *t)
{
	ck_pr_store_32(&t->closing, 1);
}

bool bct_conn_closing(bct_conn_table_t *t)
{
	return ck_pr_load_32(&t->closing) != 0;
}

void bct_conn_received(bct_conn_table_t *t, bct_conn_t *c)
{
	pthread_mutex_lock(&t->lock);
	if (c->receiving)
		t->serving++;
	c->receiving = false;
	pthread_mutex_unlock(&t->lock);
}

void bct_conn_idle(bct_conn_table_t *t, bct_conn_t *c)
{
	pthread_mutex_lock(&t->lock);
	if (!c->receiving)
		t->serving--;
	c->receiving = true;
	c->begun = false;
	c->receive_started = bct_clock_now();
	pthread_mutex_unlock(&t->lock);
}

/* Called with the lock. The descriptor may have been taken by another connection since. */
static const bct_conn_t *find(const bct_conn_table_t *t, int fd)
{
	return bct_map_get(&t->by_fd, (uint64_t)fd + 1);
}

bool bct_conn_is_idle(bct_conn_table_t *t, int fd)
{
	const bct_conn_t *c;
	bool idle;

	pthread_mutex_lock(&t->lock);
	c = find(t, fd);
	idle = !c || (c->receiving && !c->begun);
	pthread_mutex_unlock(&t->lock);
	return idle;
}

bool bct_conn_is_serving(bct_conn_table_t *t, int fd)
{
	const bct_conn_t *c;
	bool serving;

	pthread_mutex_lock(&t->lock);
	c = find(t, fd);
	serving = c && !c->receiving;
	pthread_mutex_unlock(&t->lock);
	return serving;
}

void bct_conn_watch(bct_conn_table_t *t, bct_conn_t *c, uint64_t req_id)
{
	struct epoll_event ev = { .events = EPOLLRDHUP | EPOLLONESHOT, .data = { .u64 = req_id } };

	c->watched_req = req_id;
	epoll_ctl(t->epoll_fd, EPOLL_CTL_ADD, c->fd, &ev);
}

void bct_conn_unwatch(bct_conn_table_t *t, bct_conn_t *c)
{
	if (!c->watched_req)
		return;
	c->watched_req = 0;
	epoll_ctl(t->epoll_fd, EPOLL_CTL_DEL, c->fd, NULL);
}
