/*
 * sse.h - incremental parser for server-sent events, limited to the data field.
 */
#ifndef BCT_NODE_SSE_H
#define BCT_NODE_SSE_H

#include "base/buf.h"

#include <stddef.h>

/* Called with the data of one event, NUL-terminated. A return value other than 0 stops parsing. */
typedef int (*bct_sse_event_fn)(void *ctx, const char *data, size_t len_bytes);

typedef struct bct_sse {
	bct_buf_t line; /* current line, incomplete */
	bct_buf_t data; /* data of the current event */
	bct_sse_event_fn on_event;
	void *ctx;
} bct_sse_t;

/* bct_sse_init(3): max_event_bytes limits both the length of a line and the data of an event. */
void bct_sse_init(bct_sse_t *p, size_t max_event_bytes, bct_sse_event_fn on_event, void *ctx);
void bct_sse_free(bct_sse_t *p);

/*
 * bct_sse_feed(3): parse the next bytes of the stream; events may span calls.
 *
 * returns  0, -BCT_ETOO_LARGE, -BCT_ENOMEM, or the value other than 0 that on_event returned
 */
int bct_sse_feed(bct_sse_t *p, const char *bytes, size_t len_bytes);

#endif
