/*
 * sse.h - cuts an upstream's byte stream into whole server-sent events, bytes unchanged.
 */
#ifndef BCT_GATE_SSE_H
#define BCT_GATE_SSE_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct bct_gate_sse {
	struct evbuffer *partial; /* an event that is not complete */
	uint64_t last_id;
	bool has_id;
	uint64_t skip_to; /* events up to this id were delivered by another attempt */
	bool skips;
	uint32_t count; /* events handed over */
} bct_gate_sse_t;

/* bct_gate_sse_init(3): returns 0 or -BCT_ENOMEM. */
int bct_gate_sse_init(bct_gate_sse_t *e);
void bct_gate_sse_free(bct_gate_sse_t *e);

/*
 * bct_gate_sse_feed(3): take bytes and append the events that they complete to out.
 *
 * returns  events appended; -BCT_ECODEC when an id does not grow; -BCT_ETOO_LARGE; -BCT_ENOMEM
 */
int bct_gate_sse_feed(bct_gate_sse_t *e, const char *data, size_t len_bytes, struct evbuffer *out);

/* bct_gate_sse_resume(3): another attempt goes on; its events must follow the last one. */
void bct_gate_sse_resume(bct_gate_sse_t *e);

/* bct_gate_sse_at_boundary(3): whether no part of an event is left over. */
bool bct_gate_sse_at_boundary(const bct_gate_sse_t *e);

#endif
