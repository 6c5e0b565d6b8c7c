/*
 * front_conn.h - internal to the callers' HTTP interface: open connections, their receive time
 * limit, and detection of callers that disconnect while their connection is suspended.
 *
 * Lock order: no other lock is taken under the connection table's lock.
 */
#ifndef BCT_NODE_FRONT_CONN_H
#define BCT_NODE_FRONT_CONN_H

#include "base/clock.h"
#include "base/list.h"
#include "base/map.h"
#include "node/core.h"

#include <pthread.h>

typedef struct bct_conn_table bct_conn_table_t;

/* One open connection of a caller. fd belongs to libmicrohttpd. */
typedef struct bct_conn {
	bct_list_t link;
	bct_conn_table_t *table;
	int fd;
	bool receiving;		    /* idle, or a request's headers or body are arriving */
	bool begun;		    /* the line of that request has arrived */
	bool shut;		    /* it was shut down for exceeding the receive time limit */
	bct_time_t receive_started; /* when receiving began */
	uint64_t watched_req; /* request id, 0: none; used by the connection's own thread only */
} bct_conn_t;

struct bct_conn_table {
	bct_core_t *core;
	uint32_t receive_timeout_ms;
	pthread_mutex_t lock;
	bct_list_t conns; /* under lock, as are receiving, shut and receive_started of each */
	bct_map_t by_fd;  /* descriptor + 1: bct_conn_t; under lock */
	uint32_t serving; /* connections that are not receiving; written under lock */
	uint32_t closing; /* atomic; 1: each connection ends after its current request */
	int epoll_fd;
	int stop_fd; /* eventfd that ends the thread */
	pthread_t thread;
	bool started;
};

/*
 * bct_conn_table_init(3): start the thread that enforces the time limit and watches callers.
 *
 * receive_timeout_ms  longest time for a request to arrive, and for a connection to be idle
 * returns             0, -BCT_EIO or -BCT_ENOMEM; call bct_conn_table_destroy(3) in any case
 */
int bct_conn_table_init(bct_conn_table_t *t, bct_core_t *core, uint32_t receive_timeout_ms);
void bct_conn_table_destroy(bct_conn_table_t *t);

/* bct_conn_open(3): add a connection and start its time limit; NULL if out of memory. */
bct_conn_t *bct_conn_open(bct_conn_table_t *t, int fd);

/* bct_conn_close(3): remove and free an entry; does not close fd. */
void bct_conn_close(bct_conn_table_t *t, bct_conn_t *c);

/* bct_conn_begun(3): the line of a request has arrived. */
void bct_conn_begun(bct_conn_table_t *t, bct_conn_t *c);

/*
 * bct_conn_close_all(3): end each connection after its current request; an idle one at once, as a
 * caller that still sends on it has been told before where else to go.
 * bct_conn_closing(3): whether that was called.
 */
void bct_conn_close_all(bct_conn_table_t *t);
bool bct_conn_closing(bct_conn_table_t *t);

/* bct_conn_received(3): a complete request has arrived, or it is refused; ends its time limit. */
void bct_conn_received(bct_conn_table_t *t, bct_conn_t *c);

/* bct_conn_idle(3): the exchange has ended; the time limit of the next request starts. */
void bct_conn_idle(bct_conn_table_t *t, bct_conn_t *c);

/* bct_conn_is_idle(3): whether no request has begun on the connection with this descriptor. */
bool bct_conn_is_idle(bct_conn_table_t *t, int fd);

/* bct_conn_is_serving(3): whether a whole request has arrived there and has not ended. */
bool bct_conn_is_serving(bct_conn_table_t *t, int fd);

/*
 * bct_conn_watch(3): report to the core if the caller disconnects, until bct_conn_unwatch(3). A
 * caller that closes only its sending side counts as disconnected, too.
 */
void bct_conn_watch(bct_conn_table_t *t, bct_conn_t *c, uint64_t req_id);

/* bct_conn_unwatch(3): stop watching; does nothing if no request is watched. */
void bct_conn_unwatch(bct_conn_table_t *t, bct_conn_t *c);

#endif
