/*
 * front_conn.h - inside the callers' side: connections, their time limits, and the watch for
 * callers that leave while their connection is suspended.
 *
 * Lock order: the connection table's lock is a leaf.
 */
#ifndef BCT_NODE_FRONT_CONN_H
#define BCT_NODE_FRONT_CONN_H

#include "base/clock.h"
#include "base/list.h"
#include "node/core.h"

#include <pthread.h>

/* One open connection of a caller. */
typedef struct bct_conn {
	bct_list_t link;
	int fd;
	bool receiving; /* idle, or a request's headers or body are arriving */
	bool shut;
	bct_time_t since;
	uint64_t watched_req; /* 0: none */
} bct_conn_t;

typedef struct bct_conn_table {
	bct_core_t *core;
	uint32_t receive_timeout_ms;
	pthread_mutex_t lock;
	bct_list_t conns; /* under lock, as are the conns' fields */
	uint32_t serving;
	int epoll_fd;
	int stop_fd;
	pthread_t thread;
	bool started;
} bct_conn_table_t;

int bct_conn_table_init(bct_conn_table_t *t, bct_core_t *core, uint32_t receive_timeout_ms);
void bct_conn_table_destroy(bct_conn_table_t *t);

bct_conn_t *bct_conn_open(bct_conn_table_t *t, int fd);
void bct_conn_close(bct_conn_table_t *t, bct_conn_t *c);

/* bct_conn_received(3): a whole request is there; it is no longer subject to the time limit. */
void bct_conn_received(bct_conn_table_t *t, bct_conn_t *c);

/* bct_conn_idle(3): the answer is out; the time limit of the next request starts. */
void bct_conn_idle(bct_conn_table_t *t, bct_conn_t *c);

/* bct_conn_watch(3): from now on a caller that leaves ends the request. */
void bct_conn_watch(bct_conn_table_t *t, bct_conn_t *c, uint64_t req_id);
void bct_conn_unwatch(bct_conn_table_t *t, bct_conn_t *c);

#endif
