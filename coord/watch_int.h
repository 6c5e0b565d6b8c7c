/*
 * watch_int.h - shared by watch.c (who polls, what is received) and watch_send.c (what is sent).
 */
#ifndef BCT_COORD_WATCH_INT_H
#define BCT_COORD_WATCH_INT_H

#include "coord/watch.h"

#define POLL_INTERVAL_MS 1000
#define BACKUP_SILENCE_MS 3000 /* a backup polls after this time without a report */
#define TICK_MS 200
#define KEYFRAME_MS 10000
#define REFRESH_MS 3000 /* an unchanged report is sent again, so that its age stays low */
#define LEAVING_KEEP_MS 60000
#define LEAVING_RENEW_MS 20000
#define DEFAULT_BYTES_PER_S 2500
#define BURST_MS 2000
#define CHANGE_SHIFT 4 /* a change above 1/16 is sent before the refresh */
#define EVENTS_QUEUED_MAX 256
#define DATAGRAM_BYTES 112 /* RPC header, envelope, MAC, UDP and IP */
#define REPORT_BYTES 44	   /* without values */
#define EVENT_BYTES 28
#define BATCH_BYTES 1000

typedef enum watch_role {
	ROLE_NONE = 0,
	ROLE_WATCHER,
	ROLE_BACKUP,
} watch_role_t;

/* What this node knows of one engine. */
typedef struct engine {
	uint64_t key;
	watch_role_t role;
	bool known;
	bool has_keyframe;
	bool leaving;
	bool pending; /* polled here and not sent yet */
	bct_report_t last;
	bct_report_t keyframe; /* sent, if this node watches; else received */
	bct_time_t sampled;    /* when `last` was true */
	bct_time_t heard;
	bct_time_t next_poll;
	bct_time_t keyframe_sent;
	bct_time_t sent;
	uint32_t sent_values[PEER_REPORT_FIELDS];
	bct_time_t leaving_until;
	bct_time_t leaving_spread;
	uint64_t leaving_boot;
	uint64_t *interested; /* incarnations that want its reports, of a watched engine */
	uint32_t n_interested;
} engine_t;

struct bct_watch {
	bct_watch_opts_t opts;
	uint64_t self;
	engine_t *engines; /* by key */
	uint32_t n;
	uint64_t *keys; /* the same keys, for bct_subset_contains() */
	uint32_t due_at;
	uint32_t send_at;
	bct_cache_event_t events[EVENTS_QUEUED_MAX];
	uint32_t n_events;
	int64_t tokens_bytes;
	bct_time_t tokens_at;
	bct_time_t next_tick;
	uint32_t xid;
	bct_watch_counters_t counters;
};

/* watch.c */
engine_t *bct_watch_engine(const bct_watch_t *w, uint64_t key);
bool bct_watch_wants(const bct_watch_t *w, uint64_t node_key, uint64_t upstream_key);

/* watch_send.c */
void bct_report_fields(const bct_report_t *r, uint32_t out[PEER_REPORT_FIELDS]);
void bct_report_set_fields(bct_report_t *r, const uint32_t v[PEER_REPORT_FIELDS]);
void bct_watch_send(bct_watch_t *w, bct_time_t now);

#endif
