/*
 * front_filter.h - reads what callers send before libmicrohttpd does, and lets only requests
 * through whose heads are well formed and whose ends are beyond doubt.
 *
 * libmicrohttpd accepts bare line feeds, folded headers, NUL bytes and a space before the colon,
 * and a program sees only what it made of them. Two parsers that differ there may differ on where a
 * request ends, so that the body of one is taken for the next. The filter listens for callers,
 * checks each head with the reader of the gateway (http/http_msg.h), follows each body to its end,
 * and passes the bytes on unchanged over a socket pair. Answers pass back unread.
 */
#ifndef BCT_NODE_FRONT_FILTER_H
#define BCT_NODE_FRONT_FILTER_H

#include "base/event.h"
#include "base/counter.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

/*
 * Connection limit of the servers inside, which must not reach it: libmicrohttpd 0.9.75 locks a
 * mutex twice when a connection that was added to a daemon exceeds its limit. The filter limits the
 * connections itself; those that it has closed count there for a moment longer.
 */
#define BCT_MHD_CONNECTIONS 100000000U

typedef struct bct_front_filter bct_front_filter_t;

typedef struct bct_front_filter_opts {
	const struct sockaddr *address; /* to listen on */
	socklen_t address_bytes;
	uint32_t max_header_bytes; /* longer heads are passed on, to be refused there */
	/*
	 * Callers at a time; 0: no limit. For a further one the connection ends on which no request
	 * is being handled and the last one ended longest ago, or, without such a one, the new one.
	 */
	uint32_t max_connections;
	bct_log_t *log;
	/* Takes over one end of a socket pair for a new caller. returns 0 or a negative error. */
	int (*add)(void *ctx, int fd, const struct sockaddr *caller, socklen_t caller_bytes);
	/* Whether nothing is being done for the caller of that end. */
	bool (*is_idle)(void *ctx, int fd);
	/* Whether a whole request of that caller is being handled. */
	bool (*is_serving)(void *ctx, int fd);
	/* The body of the answer to a malformed request, malloc()ed; NULL without memory. */
	char *(*refusal)(void *ctx);
	void *ctx;
	/* At the limit: connections that ended for new ones, and new ones that were closed. */
	bct_counter_t *yielded;
	bct_counter_t *refused;
} bct_front_filter_opts_t;

/* bct_front_filter_new(3): listen and start the thread. returns 0, -BCT_EIO or -BCT_ENOMEM. */
int bct_front_filter_new(const bct_front_filter_opts_t *opts, bct_front_filter_t **out);

/* bct_front_filter_quiesce(3): accept no more connections; open ones continue. */
void bct_front_filter_quiesce(bct_front_filter_t *f);

/* bct_front_filter_free(3): close all connections and end the thread. NULL is allowed. */
void bct_front_filter_free(bct_front_filter_t *f);

/* bct_front_filter_port(3): the port that it listens on. */
uint16_t bct_front_filter_port(const bct_front_filter_t *f);

#endif
