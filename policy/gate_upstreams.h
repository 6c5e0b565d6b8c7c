/*
 * gate_upstreams.h - table of the upstreams that the gateway knows: which service each registered
 * for, whether it is draining, and what this node has observed of it. Pure: no I/O and no clock.
 *
 * An upstream is one run of one process. A later run may reuse its id and is recognized by its
 * start time; another service may take over its address. Registry entries may be repeated or arrive
 * out of order: an entry with an older start time or sequence number is ignored.
 */
#ifndef BCT_POLICY_GATE_UPSTREAMS_H
#define BCT_POLICY_GATE_UPSTREAMS_H

#include "base/clock.h"
#include "base/list.h"
#include "base/map.h"
#include "policy/abandoned.h"
#include "policy/gate_brittle.h"
#include "policy/gate_limit.h"
#include "policy/gate_position.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_GATE_ID_BYTES 64
#define BCT_GATE_IP_BYTES 48
#define BCT_GATE_SOFTWARE_BYTES 32

/* A registry entry of an upstream. */
typedef struct bct_gate_entry {
	char id[BCT_GATE_ID_BYTES];
	char service[BCT_GATE_ID_BYTES];
	char zone[BCT_GATE_ID_BYTES]; /* its failure domain */
	char ip[BCT_GATE_IP_BYTES];
	uint16_t port;
	uint32_t slots;	  /* requests that it runs at once */
	uint32_t cold_ms; /* remaining time for which it is slow after its start */
	bool draining;
	bool spot;				/* may be reclaimed at short notice */
	uint32_t leaves_ms;			/* if draining: until it is stopped; 0: not known */
	char software[BCT_GATE_SOFTWARE_BYTES]; /* version of its software, for logs; may be cut */
	uint64_t software_key;			/* hash of that version; 0: unknown */
	int64_t born_ms;			/* start of the process, Unix time; 0: unknown */
	uint64_t sequence;			/* grows with each write by the same run */
	bct_gate_position_t position; /* of its record in the registry's log; 0: unknown */
} bct_gate_entry_t;

typedef enum bct_gate_presence {
	BCT_GATE_READY = 1,
	BCT_GATE_DRAINING, /* finishes its requests; accepts no new ones */
	BCT_GATE_LAPSED,   /* missing right after an outage of the registry; may be listed again */
	BCT_GATE_GONE,	   /* freed when nothing refers to it any more */
} bct_gate_presence_t;

typedef struct bct_gate_upstream {
	bct_list_t link; /* in the table's list, in the order in which they were added */
	bct_gate_entry_t entry;
	uint64_t key; /* hash of the id */
	uint64_t service_key;
	uint64_t release; /* of its service and the version of its software; 0: unknown */
	bct_gate_presence_t presence;
	bct_time_t run_since; /* when this run of it, by its start time and address, became known */
	bct_time_t since;     /* time of the last change of presence */
	uint32_t refs;	      /* requests and connections that refer to it */
	bool is_node;	      /* another node, through which requests go; it is in no table */
	bool identity_mismatch; /* another process answered at its address */
	uint32_t list_pass;	/* number of the last listing that contained it */

	/* Load that this node has placed there. */
	uint32_t running;    /* requests sent and not ended */
	uint32_t prefill_ms; /* predicted work of those that have no output yet */
	uint32_t streams;    /* those that have output */

	/* Load when last sent to the other nodes: of this node and the nodes that report to it. */
	bool advertised; /* requests were running; so the end of the load is to be sent too */
	uint32_t advertised_running;
	uint32_t advertised_prefill_ms;

	/* Load that the other nodes reported, see gate_peers.h; may be temporarily negative. */
	int32_t peer_running;
	int32_t peer_prefill_ms;

	/* Results of requests sent there. */
	uint32_t fail_permille; /* failed requests; moving average */
	uint32_t consecutive_failures;
	bct_time_t avoid_until; /* until then, used only if there is no other upstream */
	uint32_t slow_permille; /* observed over predicted time to first byte; moving average */
	bct_time_t heard_at;	/* when bytes of this run last arrived; 0: never */
	/* A connection opened at the first time delivered bytes at the second: the run lived
	 * through. */
	bct_time_t lived_from;
	bct_time_t lived_to;
	bct_time_t refused_at; /* when a connection to this run was last refused; 0: never */

	bool notice_malformed; /* statements of its last answer could not be read */
	bct_gate_limit_t limit;
	bct_gate_brittle_t brittle;
	bct_time_t paused_until;  /* it accepts nothing from this node until then */
	bool leaving;		  /* it states so in its answers; final for one run */
	bool leaving_own;	  /* in an answer to this node */
	bct_time_t leaving_since; /* when this node learned of it */

	void *connections; /* idle connections, owned by the I/O layer */
} bct_gate_upstream_t;

#define BCT_GATE_REMOVALS 1024 /* remembered; more than a release of the whole fleet causes */

/* A removed entry. A listing or message that is older must not bring it back. */
typedef struct bct_gate_removal {
	uint64_t key;
	bct_gate_position_t position; /* records of the entry up to here are void */
	int64_t born_ms;	      /* the run that was removed, and its last sequence number */
	uint64_t sequence;
} bct_gate_removal_t;

typedef struct bct_gate_upstreams {
	bct_list_t all;
	uint32_t n;
	bct_map_t by_id;	     /* by the key */
	bct_map_t by_short;	     /* by the lower half of the key, which datagrams carry */
	uint32_t list_pass;	     /* number of the current or last listing */
	bct_time_t registry_back_at; /* end of the registry's last outage; 0: none yet */
	bool registry_lost;	     /* the registry does not answer */
	/* The table reflects all records of the registry's log before it; 0: unknown. */
	bct_gate_position_t position;
	uint64_t digest;				/* see bct_gate_upstreams_digest(3) */
	bool digest_stale;				/* to be computed again */
	bct_gate_removal_t removals[BCT_GATE_REMOVALS]; /* a ring */
	uint32_t n_removals;				/* written in all */
	/* Called before an upstream is freed; may be NULL. */
	void (*release)(void *ctx, bct_gate_upstream_t *u);
	/* Called for a known upstream that a full listing does not contain; may be NULL. */
	void (*on_unlisted)(void *ctx, const bct_gate_upstream_t *u);
	/* Called for an upstream that turns out to be another run, with other software; may be
	 * NULL. */
	void (*on_other_software)(void *ctx, const bct_gate_upstream_t *u);
	void *ctx;
} bct_gate_upstreams_t;

/* How long after an outage of the registry upstreams without an entry stay in use. */
#define BCT_GATE_LAPSE_GRACE_MS 1800

/* Consecutive failures make an upstream avoided for this long, doubled each time to the maximum. */
#define BCT_GATE_AVOID_FIRST_MS 500
#define BCT_GATE_AVOID_MAX_MS 4000

void bct_gate_upstreams_init(bct_gate_upstreams_t *t);
void bct_gate_upstreams_free(bct_gate_upstreams_t *t);

/*
 * bct_gate_upstreams_apply(3): adds or updates an upstream from a registry entry.
 *
 * returns  1 if its presence, service or software changed, 0 if not, -BCT_ESTALE for an entry with
 * an older start time, sequence number or position, or one that was removed later, -BCT_EINVAL for
 * one that names no usable upstream, see bct_gate_entry_fault(3), -BCT_ENOMEM
 */
int bct_gate_upstreams_apply(bct_gate_upstreams_t *t, bct_time_t now, const bct_gate_entry_t *e);

/*
 * bct_gate_upstreams_hold(3): the entry of this id can't be used now. What is known of the upstream
 * holds until the entry is written again or removed; it does not count as missing in a listing.
 */
void bct_gate_upstreams_hold(bct_gate_upstreams_t *t, const char *id);

/*
 * bct_gate_upstreams_remove(3): processes the removal of a registry entry.
 *
 * position  of the removal in the registry's log; 0: unknown
 * returns   1 if the upstream was in use until now, else 0, also if its entry is newer
 */
int bct_gate_upstreams_remove(bct_gate_upstreams_t *t, bct_time_t now, const char *id,
			      bct_gate_position_t position);

/*
 * bct_gate_upstreams_list_begin(3), bct_gate_upstreams_list_end(3): enclose the entries of a full
 * listing of the registry or of a peer; upstreams that it does not contain are removed at its end,
 * unless their entries are newer than the listing.
 *
 * position  in the registry's log before which the listing is complete; 0: unknown
 */
void bct_gate_upstreams_list_begin(bct_gate_upstreams_t *t);
void bct_gate_upstreams_list_end(bct_gate_upstreams_t *t, bct_time_t now,
				 bct_gate_position_t position);

/* bct_gate_upstreams_reached(3): the table reflects all records before the position. */
void bct_gate_upstreams_reached(bct_gate_upstreams_t *t, bct_gate_position_t position);

/*
 * bct_gate_upstreams_log_replaced(3): the registry's log was replaced by another one, and the
 * registry states no era: positions known so far have no meaning any more.
 */
void bct_gate_upstreams_log_replaced(bct_gate_upstreams_t *t);

/*
 * bct_gate_upstreams_new_era(3): the registry came back from a copy. Upstreams whose entries the
 * copy lacks have the same time to register again as after an outage.
 */
void bct_gate_upstreams_new_era(bct_gate_upstreams_t *t, bct_time_t now);

/* bct_gate_upstreams_set_registry(3): records whether the registry answers. */
void bct_gate_upstreams_set_registry(bct_gate_upstreams_t *t, bct_time_t now, bool answers);

/*
 * bct_gate_upstreams_digest(3): returns a digest that is equal for tables with the same upstreams,
 * start times, releases and presence. Lapsed and gone ones are left out.
 */
uint64_t bct_gate_upstreams_digest(bct_gate_upstreams_t *t);

/*
 * bct_gate_upstreams_sweep(3): removes lapsed upstreams after the grace period, and frees those
 * that are gone and not referred to.
 */
void bct_gate_upstreams_sweep(bct_gate_upstreams_t *t, bct_time_t now);

bct_gate_upstream_t *bct_gate_upstreams_find(const bct_gate_upstreams_t *t, const char *id);

/* bct_gate_upstreams_find_short(3): finds an upstream by the lower half of its key, or NULL. */
bct_gate_upstream_t *bct_gate_upstreams_find_short(const bct_gate_upstreams_t *t, uint32_t half);

/* bct_gate_upstream_heard(3): bytes arrived on a connection that was opened at that time. */
void bct_gate_upstream_heard(bct_gate_upstream_t *u, bct_time_t now, bct_time_t opened);

/* bct_gate_upstream_run(3): identifies the current run of an upstream, alike on all nodes; not 0.
 */
uint32_t bct_gate_upstream_run(const bct_gate_upstream_t *u);

/*
 * bct_gate_upstreams_sight(3): what is known of the run of an upstream that an attempt was sent to
 * which was given up at a time. An upstream that is not known any more has ended.
 */
bct_upstream_sight_t bct_gate_upstreams_sight(const bct_gate_upstreams_t *t, uint64_t key,
					      bct_time_t at);

/* bct_gate_upstream_accepts(3): returns whether new requests of the service may be sent there. */
bool bct_gate_upstream_accepts(const bct_gate_upstream_t *u, uint64_t service_key);

/*
 * bct_gate_upstream_leaves(3): the upstream stated that it is leaving; from now on it accepts no
 * requests, whatever the registry lists, until another run of it is listed.
 *
 * own      in an answer to this node, not to a peer
 * returns  whether that is news
 */
bool bct_gate_upstream_leaves(bct_gate_upstream_t *u, bct_time_t now, bool own);

/*
 * bct_gate_upstream_pauses(3): the upstream asked this node to send nothing for a while. A shorter
 * pause does not end a longer one.
 *
 * returns  whether that is news
 */
bool bct_gate_upstream_pauses(bct_gate_upstream_t *u, bct_time_t now, uint32_t ms);

/*
 * bct_gate_upstream_wait_ms(3): time until this node may send a request there, by the upstream's
 * own statements; 0: it may now, UINT32_MAX: unknown.
 */
uint32_t bct_gate_upstream_wait_ms(bct_gate_upstream_t *u, bct_time_t now);

/* bct_gate_upstream_brittle_wait_ms(3): the same, because it is brittle. */
uint32_t bct_gate_upstream_brittle_wait_ms(bct_gate_upstream_t *u, bct_time_t now);

/* bct_gate_upstream_result(3): records that a request succeeded or that the upstream failed it. */
void bct_gate_upstream_result(bct_gate_upstream_t *u, bct_time_t now, bool ok);

/* bct_gate_upstream_timing(3): records an answer's predicted and observed time to first byte. */
void bct_gate_upstream_timing(bct_gate_upstream_t *u, uint32_t predicted_ms, uint32_t observed_ms);

#endif
