/*
 * poller.h - polls engines for their load reports and cache events over HTTP.
 */
#ifndef BCT_NODE_POLLER_H
#define BCT_NODE_POLLER_H

#include "node/core.h"

#include <jansson.h>

typedef struct bct_poller bct_poller_t;

typedef struct bct_poller_opts {
	bct_core_t *core;
	uint32_t interval_ms;
	/*
	 * Writes the keys of the engines to poll now and returns their number, at most max. NULL:
	 * all engines are polled every interval_ms.
	 */
	uint32_t (*due)(void *ctx, uint64_t *keys, uint32_t max);
	/* Receive the polled reports and events. NULL: they go to the core. */
	void (*on_report)(void *ctx, const bct_report_t *r);
	void (*on_cache_events)(void *ctx, const bct_cache_event_t *e, uint32_t n);
	void *ctx;
} bct_poller_opts_t;

/* bct_poller_new(3): start the thread. returns 0 or -BCT_ENOMEM. */
int bct_poller_new(const bct_poller_opts_t *opts, bct_poller_t **out);
void bct_poller_free(bct_poller_t *p);

/* bct_poller_status(3): returns a new JSON list of the engines that this node polls. */
json_t *bct_poller_status(bct_poller_t *p);

/* bct_report_parse(3): parse an engine's load answer. returns 0 or -BCT_ECODEC. */
int bct_report_parse(const char *text, size_t len_bytes, bct_report_t *out);

/*
 * bct_cache_events_parse(3): parse an engine's event answer.
 *
 * max      room in out; further events are left to the next poll
 * next     set to the sequence number to fetch events from at the next poll
 * returns  number of events, or -BCT_ECODEC
 */
int bct_cache_events_parse(const char *text, size_t len_bytes, bct_cache_event_t *out, uint32_t max,
			   uint64_t *next);

#endif
