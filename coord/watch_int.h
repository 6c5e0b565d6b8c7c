/*
 * watch_int.h - shared by watch.c (who polls, what is received) and watch_send.c (what is sent).
 */
#ifndef BCT_COORD_WATCH_INT_H
#define BCT_COORD_WATCH_INT_H

#include "coord/watch.h"

#define POLL_INTERVAL_MS 1000
#define BACKUP_SILENCE_MS 8000 /* a backup polls after this time without a report */
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

#define WANT_REFRESH_MS 20000 /* a wish is told again */
#define WANT_RETRY_MS 2000    /* the same while nothing is heard of the engine */
#define WANT_SILENCE_MS 10000
#define WANT_AGAIN_MS 1000 /* and while a keyframe is missing */
#define WANT_KEEP_MS 50000 /* and forgotten after this time */

/* A node that wants an engine's reports. */
typedef struct reader {
	uint64_t incarnation;
	bct_time_t until;
	bool needs_keyframe;
} reader_t;

/* What this node knows of one engine. */
typedef struct engine {
	uint64_t key;
	watch_role_t role;
	bool known;
	bool has_keyframe;
	bool leaving;
	bool pending; /* polled here and not sent yet */
	bool repeat;  /* a change was sent once; it is sent again with the next poll */
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
	uint64_t watchers[2]; /* watcher and backup, by incarnation */
	bool wanted;	      /* by this node */
	uint64_t told[2];     /* who was told so */
	bct_time_t told_at;
	bct_time_t keyframe_missed; /* when a delta came whose keyframe did not; 0: never */
	bct_time_t keyframe_sampled;
	reader_t *readers;
	uint32_t n_readers;
	uint32_t cap_readers;
} engine_t;

struct bct_watch {
	bct_watch_opts_t opts;
	uint64_t self;
	engine_t *engines; /* by key */
	uint32_t n;
	uint64_t *keys;	 /* the same keys, for bct_subset_contains() */
	uint64_t *wants; /* as told by bct_watch_subscribe(); NULL: the default subset */
	uint32_t n_wants;
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

/* watch_send.c */
void bct_report_fields(const bct_report_t *r, uint32_t out[PEER_REPORT_FIELDS]);
void bct_report_set_fields(bct_report_t *r, const uint32_t v[PEER_REPORT_FIELDS]);
void bct_watch_send(bct_watch_t *w, bct_time_t now);

/* watch_subscribe.c */
void bct_watch_wanted(bct_watch_t *w);
void bct_watch_send_wants(bct_watch_t *w, bct_time_t now);
void bct_watch_add_reader(bct_watch_t *w, bct_time_t now, uint64_t from, uint64_t key);
void bct_watch_lost(bct_watch_t *w, uint64_t from, uint64_t key);
void bct_watch_expire_readers(bct_watch_t *w, bct_time_t now, engine_t *e);

#endif
