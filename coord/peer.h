/*
 * peer.h - peer-to-peer coordination of one node: a thread and a UDP socket that run membership,
 * fleet totals, engine reports and the hand-off of configurations.
 *
 * Functions may be called from any thread and never wait for the network. Callbacks are made from
 * the peer's thread, one at a time and with no lock of this module held, so they may call these
 * functions (except bct_peer_stop() and bct_peer_free()).
 */
#ifndef BCT_COORD_PEER_H
#define BCT_COORD_PEER_H

#include "base/buf.h"
#include "base/event.h"
#include "coord/entry.h"
#include "coord/member.h"
#include "policy/sched.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct bct_peer bct_peer_t;

/* The configuration document that a chunk belongs to. */
typedef struct bct_peer_config {
	uint64_t revision;
	bct_digest_t digest;
	uint64_t total_bytes;
} bct_peer_config_t;

/* Callbacks; each may be NULL. */
typedef struct bct_peer_ops {
	void (*member)(void *ctx, bct_member_event_type_t type, const bct_member_t *member);
	void (*fleet)(void *ctx, const bct_fleet_t *fleet);
	/* A new fleet total of a SUM item, or a MAX item of another node. */
	void (*total)(void *ctx, const bct_total_t *total);
	void (*report)(void *ctx, const bct_report_t *report);
	void (*cache_event)(void *ctx, const bct_cache_event_t *event);
	void (*upstream_leaving)(void *ctx, uint64_t upstream_key, bool leaving);
	/*
	 * Copies a chunk of the document that leads from have_revision (0: no configuration) to
	 * `revision`. The same arguments must give the same document while the revision is in
	 * force.
	 * returns bytes written to out, at most max_bytes; -BCT_ENOT_FOUND when this revision is
	 * not in force on this node
	 */
	int (*get_config)(void *ctx, uint64_t have_revision, uint64_t revision, uint64_t offset,
			  uint8_t *out, uint32_t max_bytes, bct_peer_config_t *info);
	/*
	 * A document was fetched completely from a peer. The callback must check it against the
	 * digest.
	 * returns 0 when it was accepted; otherwise it is not fetched again for 10 s
	 */
	int (*offer_config)(void *ctx, uint64_t have_revision, uint64_t revision,
			    const bct_digest_t *digest, const void *doc, size_t doc_bytes);
} bct_peer_ops_t;

typedef struct bct_peer_opts {
	const bct_peer_ops_t *ops;
	void *ctx;
	const char *bind_address; /* numeric IP address */
	uint16_t port;		  /* 0: chosen by the system */
	const char *address;	  /* advertised to peers; NULL: bind_address */
	const void *secret;	  /* shared by all nodes, at least 16 bytes */
	size_t secret_bytes;
	const char *name;
	const char *failure_domain;
	const char *region;
	const char *caller_address; /* entry address; NULL: none */
	uint16_t caller_port;
	const char *admin_address; /* NULL: none */
	uint16_t admin_port;
	const bct_addr_t *seeds;
	uint32_t n_seeds;
	uint64_t incarnation; /* 0: a random one */
	uint32_t subset; /* engines whose reports a node wants by default; 0: BCT_WATCH_SUBSET */
	bct_log_t *log;	 /* NULL: nothing is logged */
} bct_peer_opts_t;

/*
 * bct_peer_new(3): create a peer and open its socket. Nothing is sent before bct_peer_start().
 * opts->ops, ctx and log must outlive the peer; other options are copied.
 *
 * returns  0, -BCT_EINVAL, -BCT_EIO (the address can't be bound) or -BCT_ENOMEM
 */
int bct_peer_new(const bct_peer_opts_t *opts, bct_peer_t **out);

/* bct_peer_start(3): start the thread. returns 0 or -BCT_EIO. */
int bct_peer_start(bct_peer_t *p);

/*
 * bct_peer_stop(3): stop the thread. No callback is made after it returns. Must not be called from
 * a callback. bct_peer_free() calls it.
 */
void bct_peer_stop(bct_peer_t *p);
void bct_peer_free(bct_peer_t *p);

/* bct_peer_port(3): UDP port that the socket is bound to. */
uint16_t bct_peer_port(const bct_peer_t *p);
uint64_t bct_peer_incarnation(const bct_peer_t *p);

/* bct_peer_set_leaving(3): announce to all nodes that this one is leaving. Irrevocable. */
void bct_peer_set_leaving(bct_peer_t *p);

/* bct_peer_set_revision(3): advertise the configuration in force on this node. */
void bct_peer_set_revision(bct_peer_t *p, uint64_t revision, const bct_digest_t *digest);

/* bct_peer_set_load(3): advertise this node's load in 1/1000 of its capacity. */
void bct_peer_set_load(bct_peer_t *p, uint32_t load_permille);

/* bct_peer_set_seeds(3): see bct_member_set_seeds(). */
int bct_peer_set_seeds(bct_peer_t *p, const bct_addr_t *seeds, uint32_t n);

/* bct_peer_vm_list(3): see bct_member_vm_list(). */
void bct_peer_vm_list(bct_peer_t *p, const bct_vm_list_t *list);

/*
 * bct_peer_publish(3): replace the items that this node contributes to the fleet. SUM items missing
 * from the list are withdrawn; MAX items are gossiped and expire after the time in the last of
 * their values, in ms. Call it about once a second.
 *
 * returns  0, -BCT_EFULL or -BCT_ENOMEM
 */
int bct_peer_publish(bct_peer_t *p, const bct_item_t *items, uint32_t n);

/*
 * bct_peer_total(3): get the latest fleet total of an item that this node publishes, with its age.
 *
 * returns  0 or -BCT_ENOT_FOUND
 */
int bct_peer_total(bct_peer_t *p, bct_item_type_t type, uint64_t key, uint64_t key2,
		   bct_total_t *out);

/* Engine reports: see watch.h. bct_peer_polled() also causes a report callback on this node. */
int bct_peer_engines(bct_peer_t *p, const uint64_t *keys, uint32_t n);
void bct_peer_want(bct_peer_t *p, const uint64_t *keys, uint32_t n);
uint32_t bct_peer_watch_due(bct_peer_t *p, uint64_t *out, uint32_t max);
void bct_peer_polled(bct_peer_t *p, const bct_report_t *report);
void bct_peer_polled_events(bct_peer_t *p, const bct_cache_event_t *events, uint32_t n);

/*
 * bct_peer_members(3): copy the member table, this node included.
 *
 * returns  number of members written, at most max
 */
uint32_t bct_peer_members(bct_peer_t *p, bct_member_t *out, uint32_t max);

/* bct_peer_fleet(3): see bct_member_fleet(). */
void bct_peer_fleet(bct_peer_t *p, bct_fleet_t *out);

/*
 * bct_peer_entry_list(3): make a list of entry addresses for a caller.
 *
 * failure_domain  of the caller; NULL: unknown
 */
void bct_peer_entry_list(bct_peer_t *p, const char *failure_domain, bct_entry_list_t *out);

/* DEF(name, metric, label value or NULL, type, help) */
#define BCT_PEER_COUNTER_LIST(DEF)                                                                \
	DEF(SENT, "bct_peer_datagrams_total", "sent", "counter", "Peer datagrams")                \
	DEF(RECEIVED, "bct_peer_datagrams_total", "received", "counter", "Peer datagrams")        \
	DEF(SENT_BYTES, "bct_peer_bytes_total", "sent", "counter", "Peer datagram bytes")         \
	DEF(RECEIVED_BYTES, "bct_peer_bytes_total", "received", "counter", "Peer datagram bytes") \
	DEF(BAD_MAC, "bct_peer_refused_total", "mac", "counter", "Peer datagrams refused")        \
	DEF(REPLAYED, "bct_peer_refused_total", "replay", "counter", "Peer datagrams refused")    \
	DEF(MALFORMED, "bct_peer_refused_total", "codec", "counter", "Peer datagrams refused")    \
	DEF(SEND_FAILED, "bct_peer_dropped_total", "send", "counter",                             \
	    "Peer messages dropped here")                                                         \
	DEF(TOO_LARGE, "bct_peer_dropped_total", "too_large", "counter",                          \
	    "Peer messages dropped here")                                                         \
	DEF(QUEUE_FULL, "bct_peer_dropped_total", "queue", "counter",                             \
	    "Peer messages dropped here")                                                         \
	DEF(CONFIG_LIMITED, "bct_peer_dropped_total", "config_rate", "counter",                   \
	    "Peer messages dropped here")                                                         \
	DEF(PROBES, "bct_member_probes_total", "sent", "counter", "Liveness probes")              \
	DEF(PROBES_FAILED, "bct_member_probes_total", "failed", "counter", "Liveness probes")     \
	DEF(PROBES_RELAYED, "bct_member_probes_total", "relayed", "counter", "Liveness probes")   \
	DEF(REFUTED, "bct_member_refuted_total", NULL, "counter",                                 \
	    "Suspicions of this node that it refuted")                                            \
	DEF(PROCESS_RESUMES, "bct_member_wakes_total", NULL, "counter", "Pauses of this process") \
	DEF(TAKEN_OVER, "bct_member_taken_over_total", NULL, "counter",                           \
	    "Addresses found in use by another incarnation")                                      \
	DEF(MEMBERS, "bct_member_count", NULL, "gauge", "Members that are not dead")              \
	DEF(PARTS_SENT, "bct_totals_parts_total", "sent", "counter", "Parts of totals")           \
	DEF(PARTS_RECEIVED, "bct_totals_parts_total", "received", "counter", "Parts of totals")   \
	DEF(PARTS_EXPIRED, "bct_totals_parts_total", "expired", "counter", "Parts of totals")     \
	DEF(TOTALS_HELD, "bct_totals_held_back_total", NULL, "counter",                           \
	    "Ticks on which the byte budget of totals was spent")                                 \
	DEF(AGGREGATOR_MOVES, "bct_totals_home_moves_total", NULL, "counter",                     \
	    "Own items whose home changed")                                                       \
	DEF(KEYFRAMES, "bct_watch_reports_total", "keyframe", "counter", "Engine reports sent")   \
	DEF(DELTAS, "bct_watch_reports_total", "delta", "counter", "Engine reports sent")         \
	DEF(REPORTS_STALE, "bct_watch_refused_total", "stale", "counter",                         \
	    "Engine reports not used")                                                            \
	DEF(REPORTS_NO_KEYFRAME, "bct_watch_refused_total", "no_keyframe", "counter",             \
	    "Engine reports not used")                                                            \
	DEF(BACKUP_POLLS, "bct_watch_backup_polls_total", NULL, "counter",                        \
	    "Engines polled as backup")                                                           \
	DEF(HANDOFFS, "bct_handoff_total", "started", "counter", "Configurations fetched")        \
	DEF(HANDOFFS_DONE, "bct_handoff_total", "completed", "counter", "Configurations fetched") \
	DEF(HANDOFFS_ABANDONED, "bct_handoff_total", "abandoned", "counter",                      \
	    "Configurations fetched")

typedef enum bct_peer_counter {
#define DEF(name, metric, label, type, help) BCT_PEER_##name,
	BCT_PEER_COUNTER_LIST(DEF)
#undef DEF
		BCT_PEER_COUNTER_COUNT,
} bct_peer_counter_t;

/* bct_peer_counter(3): current value of one counter. */
uint64_t bct_peer_counter(bct_peer_t *p, bct_peer_counter_t which);

/*
 * bct_peer_counters_print(3): append all counters in the Prometheus text format.
 *
 * returns  0 or the buffer's error
 */
int bct_peer_counters_print(bct_peer_t *p, bct_buf_t *out);

#endif
