/*
 * watch_int.h - declarations shared by watch.c, watch_send.c and watch_subscribe.c.
 */
#ifndef BCT_COORD_WATCH_INT_H
#define BCT_COORD_WATCH_INT_H

#include "coord/watch.h"

#define POLL_INTERVAL_MS 1000
#define BACKUP_SILENCE_MS 8000 /* a backup polls after this time without a report */
#define TICK_MS 200
#define KEYFRAME_MS 10000	/* interval of keyframes */
#define REFRESH_MS 3000		/* an unchanged report is sent again, so that its age stays low */
#define LEAVING_EXPIRE_MS 60000 /* life of a gossiped leaving notice */
#define LEAVING_RENEW_MS 20000	/* it is gossiped again while the engine is leaving */
#define DEFAULT_BYTES_PER_S 2500
#define BURST_MS 2000  /* unspent byte budget is kept for this long */
#define CHANGE_SHIFT 4 /* a change above 1/16 is sent before the refresh */
#define EVENTS_QUEUED_MAX 256
#define DATAGRAM_BYTES 112 /* overhead: RPC header, envelope, MAC, UDP and IP */
#define REPORT_BYTES 44	   /* on the wire, without values */
#define EVENT_BYTES 28
#define BATCH_BYTES 1000 /* of reports and events in one datagram */

typedef enum watch_role {
	ROLE_NONE = 0,
	ROLE_WATCHER,
	ROLE_BACKUP,
} watch_role_t;

#define SUBSCRIPTION_REFRESH_MS 20000 /* interval at which a subscription is sent again */
#define SUBSCRIPTION_RETRY_MS 2000    /* the same while reports are missing */
#define SUBSCRIPTION_SILENCE_MS 10000 /* reports are missing after this time without one */
#define KEYFRAME_RETRY_MS 1000	      /* the same interval while a keyframe is missing */
#define SUBSCRIPTION_EXPIRE_MS 50000  /* a subscription that is not renewed expires */

/* A node that wants an engine's reports. */
typedef struct subscriber {
	uint64_t incarnation;
	bct_time_t expires_at;
	bool needs_keyframe; /* it is new or reported that it misses one */
} subscriber_t;

/* State of one engine. */
typedef struct engine {
	uint64_t key;
	watch_role_t role;
	bool known; /* `last` is valid */
	bool has_keyframe;
	bool leaving;
	bool pending; /* `last` was polled here and not sent yet */
	bool resend;  /* the last report sent was a change: the next poll is sent too */
	bct_report_t last;
	bct_report_t keyframe;	       /* the last one sent from here or received */
	bct_time_t sampled_at;	       /* time to which `last` applies */
	bct_time_t report_received_at; /* or polled as watcher; at first, start of the role */
	bct_time_t next_poll;
	bct_time_t keyframe_sent_at;
	bct_time_t sent_at;
	uint32_t sent_values[PEER_REPORT_FIELDS]; /* of the last report sent */
	bct_time_t leaving_expires_at;
	bct_time_t leaving_gossiped_at;
	uint64_t leaving_boot_id;  /* boot that gave the notice */
	uint64_t watchers[2];	   /* incarnations of watcher and backup; 0: none */
	bool wanted;		   /* this node wants its reports */
	uint64_t subscribed_to[2]; /* receivers of the last subscription, as in watchers */
	bct_time_t subscribed_at;
	bct_time_t keyframe_missed_at;	/* last delta without its keyframe; 0: none since */
	bct_time_t keyframe_sampled_at; /* time to which `keyframe` applies, if sent from here */
	subscriber_t *subscribers;
	uint32_t n_subscribers;
	uint32_t cap_subscribers;
} engine_t;

struct bct_watch {
	bct_watch_opts_t opts;
	uint64_t self;
	engine_t *engines; /* sorted by key */
	uint32_t n;
	uint64_t *keys;	       /* the same keys, for bct_subset_contains() */
	uint64_t *wanted_keys; /* set by bct_watch_subscribe(); NULL: the default subset */
	uint32_t n_wanted_keys;
	uint32_t due_cursor;  /* engine at which bct_watch_due() starts */
	uint32_t send_cursor; /* engine at which the next tick starts to send */
	bct_cache_event_t events[EVENTS_QUEUED_MAX]; /* to be sent */
	uint32_t n_events;
	int64_t tokens_bytes; /* byte budget: a token bucket, may be overdrawn */
	bct_time_t tokens_at; /* last refill */
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
void bct_watch_mark_wanted(bct_watch_t *w);
void bct_watch_send_subscriptions(bct_watch_t *w, bct_time_t now);
void bct_watch_add_subscriber(bct_watch_t *w, bct_time_t now, uint64_t from, uint64_t key);
void bct_watch_keyframe_lost(bct_watch_t *w, uint64_t from, uint64_t key);
void bct_watch_expire_subscribers(bct_watch_t *w, bct_time_t now, engine_t *e);

#endif
