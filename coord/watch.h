/*
 * watch.h - sharing of engine reports, so that not every node polls every engine. A state machine
 * without I/O of its own.
 *
 * Each engine has a watcher and a backup, chosen by rendezvous hashing over the live members that
 * are not leaving. Every node that wants the engine's reports subscribes at both, and renews its
 * subscription at intervals. The watcher polls the engine and sends the reports: a complete one
 * (keyframe) at intervals, and between keyframes only the fields that differ from the keyframe
 * (delta). So a lost delta does not make later deltas unusable. The backup polls when it has
 * received no report for a while; it knows the subscribers already. An engine's notice that it is
 * leaving goes to all nodes by gossip.
 */
#ifndef BCT_COORD_WATCH_H
#define BCT_COORD_WATCH_H

#include "coord/member.h"
#include "coord/wire.h"
#include "policy/sched.h"

#define BCT_WATCH_ENGINES_MAX 4096
#define BCT_WATCH_SUBSET 32 /* engines that a node subscribes to by default */

typedef struct bct_watch bct_watch_t;

typedef struct bct_watch_counters {
	uint64_t polled;
	uint64_t polled_as_backup;
	uint64_t keyframes_sent;
	uint64_t deltas_sent;
	uint64_t received;
	uint64_t stale;	      /* reports not newer than the last one */
	uint64_t no_keyframe; /* deltas whose keyframe was not received */
	uint64_t held_back;   /* ticks that delayed reports: byte budget or table full */
	uint64_t events_sent;
	uint64_t events_dropped; /* not sent on: the queue was full */
} bct_watch_counters_t;

typedef struct bct_watch_opts {
	bct_member_table_t *members;
	bct_outbox_t *outbox;
	uint32_t subset;	  /* engines in the default subscription; 0: BCT_WATCH_SUBSET */
	uint32_t max_bytes_per_s; /* limit for sending; 0: the default of 2,500 */
	/* The callbacks may be NULL. They get what was polled here and what other nodes sent. */
	void (*report)(void *ctx, const bct_report_t *report);
	void (*cache_event)(void *ctx, const bct_cache_event_t *event);
	/* An engine is leaving, or no longer is because it restarted or its notice expired. */
	void (*leaving)(void *ctx, uint64_t upstream_key, bool leaving);
	void *ctx;
} bct_watch_opts_t;

/*
 * bct_watch_new(3): create the state of one node. The member table and the outbox must outlive it.
 *
 * returns  0, -BCT_EINVAL (no members or outbox) or -BCT_ENOMEM
 */
int bct_watch_new(const bct_watch_opts_t *opts, bct_time_t now, bct_watch_t **out);
void bct_watch_free(bct_watch_t *w);

/*
 * bct_watch_set_engines(3): set the engines of the configuration in force. The state of those that
 * were there before is kept.
 *
 * keys     upstream keys, in any order
 * returns  0, -BCT_EFULL (more than BCT_WATCH_ENGINES_MAX) or -BCT_ENOMEM; on failure the old
 *          engines stay
 */
int bct_watch_set_engines(bct_watch_t *w, bct_time_t now, const uint64_t *keys, uint32_t n);

/*
 * bct_watch_subscribe(3): set all engines whose reports this node wants. Before the first call, and
 * for keys = NULL, they are the opts->subset engines that bct_subset_contains() selects.
 */
void bct_watch_subscribe(bct_watch_t *w, bct_time_t now, const uint64_t *keys, uint32_t n);

/* bct_watch_members_changed(3): reassign watchers and backups after a change of the members. */
void bct_watch_members_changed(bct_watch_t *w, bct_time_t now);

/*
 * bct_watch_due(3): list the engines that this node must poll now. An engine that was listed is due
 * again one poll interval later, whether or not its report arrives.
 *
 * out      receives upstream keys
 * returns  number of keys written, at most max
 */
uint32_t bct_watch_due(bct_watch_t *w, bct_time_t now, uint64_t *out, uint32_t max);

/*
 * bct_watch_polled(3): handle a report that this node polled. If it is newer than the last one, it
 * also goes to opts->report.
 */
void bct_watch_polled(bct_watch_t *w, bct_time_t now, const bct_report_t *report);

/*
 * bct_watch_polled_events(3): handle cache events that this node polled, in order. They go to
 * opts->cache_event, and are queued for the subscribers.
 */
void bct_watch_polled_events(bct_watch_t *w, bct_time_t now, const bct_cache_event_t *events,
			     uint32_t n);

/* bct_watch_receive(3): handle reports, cache events and subscriptions of another node. */
void bct_watch_receive(bct_watch_t *w, bct_time_t now, uint64_t from, const peer_reports *msg);

/* bct_watch_receive_fact(3): handle a gossiped fact; only BCT_FACT_UPSTREAM_LEAVING counts. */
void bct_watch_receive_fact(bct_watch_t *w, bct_time_t now, const bct_fact_t *fact);

/*
 * bct_watch_tick(3): send what is due and expire subscriptions. A call before the next tick is due
 * does nothing.
 *
 * returns  time of the next tick
 */
bct_time_t bct_watch_tick(bct_watch_t *w, bct_time_t now);

/* bct_watch_bytes(3): memory in use, in bytes. */
uint64_t bct_watch_bytes(const bct_watch_t *w);
void bct_watch_counters(const bct_watch_t *w, bct_watch_counters_t *out);

#endif
