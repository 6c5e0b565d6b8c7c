/*
 * sse.h - incremental parser of server-sent events, as far as upstreams use them.
 */
#ifndef BCT_NODE_SSE_H
#define BCT_NODE_SSE_H

#include "base/buf.h"

#include <stddef.h>

/* Called with the data of one event, NUL-terminated. A negative return stops the feed. */
typedef int (*bct_sse_event_fn)(void *ctx, const char *data, size_t len_bytes);

typedef struct bct_sse {
	bct_buf_t line;
	bct_buf_t data;
	bct_sse_event_fn on_event;
	void *ctx;
} bct_sse_t;

/* bct_sse_init(3): max_event_bytes bounds both a line and an event's data. */
void bct_sse_init(bct_sse_t *p, size_t max_event_bytes, bct_sse_event_fn on_event, void *ctx);
void bct_sse_free(bct_sse_t *p);

/*
 * bct_sse_feed(3): parse bytes as they come.
 *
 * returns  0, -BCT_ETOO_LARGE, -BCT_ENOMEM, or what on_event returned
 */
int bct_sse_feed(bct_sse_t *p, const char *bytes, size_t len_bytes);

#endif
