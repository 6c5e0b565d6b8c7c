/*
 * events.h - cuts an upstream's byte stream into whole server-sent events, bytes unchanged.
 */
#ifndef BCT_GATE_EVENTS_H
#define BCT_GATE_EVENTS_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct bct_events {
	struct evbuffer *partial; /* an event that is not complete */
	uint64_t last_id;
	bool has_id;
	uint64_t skip_to; /* events up to this id were delivered by another attempt */
	bool skips;
	uint32_t count; /* events handed over */
} bct_events_t;

/* bct_events_init(3): returns 0 or -BCT_ENOMEM. */
int bct_events_init(bct_events_t *e);
void bct_events_free(bct_events_t *e);

/*
 * bct_events_feed(3): take bytes and append the events that they complete to out.
 *
 * returns  events appended; -BCT_ECODEC when an id does not grow; -BCT_ETOO_LARGE; -BCT_ENOMEM
 */
int bct_events_feed(bct_events_t *e, const char *data, size_t len_bytes, struct evbuffer *out);

/* bct_events_restart(3): another attempt goes on; its events must follow the last one. */
void bct_events_restart(bct_events_t *e);

/* bct_events_clean(3): whether no part of an event is left over. */
bool bct_events_clean(const bct_events_t *e);

#endif
