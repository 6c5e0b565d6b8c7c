/*
 * front_filter_int.h - internal to the filter: the listener (front_filter.c) and the connections of
 * callers (front_relay.c). All of it runs on the filter's thread.
 */
#ifndef BCT_NODE_FRONT_FILTER_INT_H
#define BCT_NODE_FRONT_FILTER_INT_H

#include "base/clock.h"
#include "base/list.h"
#include "http/http_msg.h"
#include "node/front_filter.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <pthread.h>

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

/* A caller's connection, and one end of a socket pair that leads to the server inside. */
typedef struct bct_front_relay {
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
} bct_front_relay_t;

/*
 * bct_front_relay_new(3): a connection that does nothing until bct_front_relay_start(3). Takes over
 * both descriptors, also on failure.
 *
 * inner_fd   the filter's end of the pair
 * inner_end  the other end; only to ask about it
 * returns    NULL without memory
 */
bct_front_relay_t *bct_front_relay_new(bct_front_filter_t *f, int caller_fd, int inner_fd,
				       int inner_end);

/* bct_front_relay_start(3): add it to the filter's connections, and pass bytes. */
void bct_front_relay_start(bct_front_relay_t *c);

/* bct_front_relay_free(3): close a started connection. */
void bct_front_relay_free(bct_front_relay_t *c);

#endif
