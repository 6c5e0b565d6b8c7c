/*
 * sse.h - splits an upstream's byte stream into complete server-sent events without changing their
 * bytes, and drops events that an earlier attempt delivered.
 */
#ifndef BCT_GATE_SSE_H
#define BCT_GATE_SSE_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct bct_gate_sse {
	struct evbuffer *partial; /* bytes of an incomplete event */
	uint64_t read_id;	  /* id of the last event read; valid if has_read_id */
	bool has_read_id;
	uint32_t read;	  /* events read that are not forwarded yet */
	uint64_t last_id; /* id of the last event forwarded; valid if has_id */
	bool has_id;
	uint64_t skip_to_id; /* events up to this id were forwarded from an earlier attempt */
	bool skipping;	     /* skip_to_id is valid */
	uint32_t count;	     /* events forwarded */
} bct_gate_sse_t;

/* bct_gate_sse_init(3): returns 0 or -BCT_ENOMEM. */
int bct_gate_sse_init(bct_gate_sse_t *e);
void bct_gate_sse_free(bct_gate_sse_t *e);

/*
 * bct_gate_sse_feed(3): consume bytes and append the events that they complete to out.
 *
 * n        the number of events appended, also when an error follows: they are sound, and are to be
 *          forwarded before the error is handled
 * returns  0; -BCT_ECODEC when an event's id is no number or not greater than the last one;
 *          -BCT_ETOO_LARGE when an incomplete event exceeds the size limit; -BCT_ENOMEM
 */
int bct_gate_sse_feed(bct_gate_sse_t *e, const char *data, size_t len_bytes, struct evbuffer *out,
		      uint32_t *n);

/* bct_gate_sse_forwarded(3): all events that were appended to out are on their way to the caller.
 */
void bct_gate_sse_forwarded(bct_gate_sse_t *e);

/* bct_gate_sse_resume(3): prepare for the stream of another attempt: discard an incomplete event
 * and what was not forwarded, and skip events up to the last id that was. */
void bct_gate_sse_resume(bct_gate_sse_t *e);

/* bct_gate_sse_at_boundary(3): returns whether the bytes consumed end with a complete event. */
bool bct_gate_sse_at_boundary(const bct_gate_sse_t *e);

#endif
