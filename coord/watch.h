/*
 * watch.h - engine reports without everybody polling every engine, as a pure state machine.
 *
 * Each engine has a watcher and a backup, chosen by rendezvous hashing over the live members that
 * are not leaving. Every node tells both, from time to time, that it wants the engine's reports.
 * The watcher polls the engine and sends them: a whole report (keyframe) now and then, and between
 * them only the fields that differ from the keyframe, so that a lost datagram spoils nothing but
 * itself. The backup polls when it has heard no report for a while, and already knows the readers.
 * An engine's notice that it is leaving is spread to all nodes by gossip.
 */
#ifndef BCT_COORD_WATCH_H
#define BCT_COORD_WATCH_H

#include "coord/member.h"
#include "coord/wire.h"
#include "policy/sched.h"

#define BCT_WATCH_ENGINES_MAX 4096
#define BCT_WATCH_SUBSET 32 /* engines whose reports a node wants, unless told otherwise */

typedef struct bct_watch bct_watch_t;

typedef struct bct_watch_counters {
	uint64_t polled;
	uint64_t polled_as_backup;
	uint64_t keyframes_sent;
	uint64_t deltas_sent;
	uint64_t received;
	uint64_t stale;	      /* reports older than the one known */
	uint64_t no_keyframe; /* deltas whose keyframe was not received */
	uint64_t held_back;   /* reports that waited for the byte budget */
	uint64_t events_sent;
	uint64_t events_dropped; /* the queue was full */
} bct_watch_counters_t;

typedef struct bct_watch_opts {
	bct_member_table_t *members;
	bct_outbox_t *outbox;
	uint32_t subset;	  /* engines wanted by default; 0: BCT_WATCH_SUBSET */
	uint32_t max_bytes_per_s; /* sent; 0: the default of 2,500 */
	void (*report)(void *ctx, const bct_report_t *report);
	void (*cache_event)(void *ctx, const bct_cache_event_t *event);
	void (*leaving)(void *ctx, uint64_t upstream_key, bool leaving);
	void *ctx;
} bct_watch_opts_t;

/* bct_watch_new(3): returns 0, -BCT_EINVAL or -BCT_ENOMEM. */
int bct_watch_new(const bct_watch_opts_t *opts, bct_time_t now, bct_watch_t **out);
void bct_watch_free(bct_watch_t *w);

/*
 * bct_watch_set_engines(3): the engines of the configuration in force, by key.
 *
 * returns  0, -BCT_EFULL or -BCT_ENOMEM; on failure the old ones stay
 */
int bct_watch_set_engines(bct_watch_t *w, bct_time_t now, const uint64_t *keys, uint32_t n);

/*
 * bct_watch_subscribe(3): the engines whose reports this node wants, all of them. Before the first
 * call and for keys = NULL they are those of bct_subset_contains().
 */
void bct_watch_subscribe(bct_watch_t *w, bct_time_t now, const uint64_t *keys, uint32_t n);

/* bct_watch_members_changed(3): the member table changed. */
void bct_watch_members_changed(bct_watch_t *w, bct_time_t now);

/*
 * bct_watch_due(3): engines that this node must poll now. A returned engine is due again one poll
 * interval later, whether or not its report comes.
 *
 * returns  how many keys were written, at most max
 */
uint32_t bct_watch_due(bct_watch_t *w, bct_time_t now, uint64_t *out, uint32_t max);

/* bct_watch_polled(3): a report that this node polled. It is also handed to opts->report. */
void bct_watch_polled(bct_watch_t *w, bct_time_t now, const bct_report_t *report);

/* bct_watch_polled_events(3): cache events that this node polled, in order. */
void bct_watch_polled_events(bct_watch_t *w, bct_time_t now, const bct_cache_event_t *events,
			     uint32_t n);

/* bct_watch_receive(3): what another node reports, or wants. */
void bct_watch_receive(bct_watch_t *w, bct_time_t now, uint64_t from, const peer_reports *msg);

/* bct_watch_receive_fact(3): a fact of type BCT_FACT_UPSTREAM_LEAVING came by gossip. */
void bct_watch_receive_fact(bct_watch_t *w, bct_time_t now, const bct_fact_t *fact);

/* bct_watch_tick(3): send what is due. returns when to call it again at the latest. */
bct_time_t bct_watch_tick(bct_watch_t *w, bct_time_t now);

/* bct_watch_bytes(3): memory held. */
uint64_t bct_watch_bytes(const bct_watch_t *w);
void bct_watch_counters(const bct_watch_t *w, bct_watch_counters_t *out);

#endif
