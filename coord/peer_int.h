/*
 * peer_int.h - internals of a peer, shared by peer.c (construction, calls of other threads) and
 * peer_loop.c (thread and datagrams).
 */
#ifndef BCT_COORD_PEER_INT_H
#define BCT_COORD_PEER_INT_H

#include "base/counter.h"
#include "coord/member_log.h"
#include "coord/handoff.h"
#include "coord/peer.h"
#include "coord/totals.h"
#include "coord/watch.h"
#include "coord/wire.h"

#include <pthread.h>

typedef enum event_type {
	EVENT_MEMBER = 1,
	EVENT_FLEET,
	EVENT_TOTAL,
	EVENT_REPORT,
	EVENT_CACHE,
	EVENT_LEAVING,
	EVENT_REFUSED,
	EVENT_CONFIG_CALL,
	EVENT_CONFIG_REPLY,
} event_type_t;

/* An event queued under the lock; it is delivered to a callback once the lock is released. */
typedef struct event {
	event_type_t type;
	union {
		struct {
			bct_member_event_type_t type;
			bct_member_t member;
		} member;
		bct_fleet_t fleet;
		bct_total_t total;
		bct_report_t report;
		bct_cache_event_t cache;
		struct {
			uint64_t key;
			bool leaving;
		} leaving;
		struct {
			bct_addr_t src;
			int err;
		} refused;
		struct {
			bct_dest_t from;
			uint32_t xid;
			peer_config call;
			peer_config_reply reply; /* owns its data */
		} config;
	} u;
} event_t;

typedef struct events {
	event_t *v;
	uint32_t n;
	uint32_t cap;
} events_t;

struct bct_peer {
	bct_outbox_t outbox; /* must be first: outbox callbacks cast it to bct_peer_t */
	bct_peer_opts_t opts;
	uint64_t incarnation;
	uint16_t port;
	int fd;
	int wake_fd; /* eventfd that interrupts the thread's poll(2) */
	int family;
	pthread_t thread;
	bool started;
	bool stop; /* accessed atomically */
	bct_counter_t counters[BCT_PEER_COUNTER_COUNT];

	/*
	 * Guards the following members up to refused_log_next. It is a leaf lock: while it is held,
	 * no other lock is taken and no callback is made.
	 */
	pthread_mutex_t lock;
	bct_wire_t *wire;
	bct_member_table_t *members;
	bct_totals_t *totals;
	bct_watch_t *watch;
	events_t events;
	bct_rng_t rng;
	bct_member_info_t info;
	bool fleet_dirty;	     /* membership changed since the last fleet event */
	bct_time_t fleet_next;	     /* earliest time of the next fleet event */
	bct_time_t refused_log_next; /* earliest time to log a refused datagram again */

	/* Used by the peer's thread only. */
	events_t delivering; /* events whose callbacks are being made */
	bct_member_log_t member_log;
	bct_handoff_t handoff;
	int64_t config_tokens;	     /* token bucket: chunks that may be served now */
	bct_time_t config_tokens_at; /* time of the last refill */
};

void bct_peer_event(bct_peer_t *p, const event_t *e);
void bct_peer_wake(bct_peer_t *p);
void *bct_peer_loop(void *arg);
void bct_peer_events_free(events_t *events);
extern const bct_outbox_ops_t bct_peer_outbox_ops;

#endif
