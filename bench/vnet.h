/*
 * vnet.h - a simulated fleet for the protocol tests and bench_member: each node runs the peer
 * protocol's state machines, which do no I/O, on a virtual network that delays, loses, duplicates
 * and blocks datagrams. Time is virtual, in steps of 1 ms; the same seed gives the same run.
 */
#ifndef BCT_BENCH_VNET_H
#define BCT_BENCH_VNET_H

#include "base/rng.h"
#include "coord/member.h"
#include "coord/totals.h"
#include "coord/watch.h"
#include "coord/wire.h"

#include <stdbool.h>
#include <stdint.h>

#define VNET_NODES_MAX 512
#define VNET_KINDS 8	     /* above every peer_kind */
#define VNET_UDP_IP_BYTES 28 /* IPv4 and UDP headers of a datagram */

typedef struct vnet vnet_t;

typedef struct vnode {
	bct_outbox_t outbox; /* must be first: the outbox operations cast it to vnode_t */
	vnet_t *net;
	uint32_t index; /* of its slot */
	bct_addr_t addr;
	uint64_t incarnation;
	bool up;
	bool paused;
	bool leaving; /* vnet_leave() was called */
	bct_wire_t *wire;
	bct_member_table_t *members;
	bct_totals_t *totals;
	bct_watch_t *watch;
	bool fleet_dirty;      /* members changed, and totals and watch were not notified yet */
	bct_time_t fleet_next; /* earliest time to notify them */
	bct_time_t next_tick;
	uint64_t sent;			   /* datagrams */
	uint64_t sent_bytes;		   /* without UDP and IP headers, as received_bytes */
	uint64_t sent_by_kind[VNET_KINDS]; /* bytes with headers, by peer_kind */
	uint64_t received;		   /* datagrams */
	uint64_t received_bytes;
	uint64_t refused; /* received datagrams that bct_wire_open() rejected */
	uint32_t died;	  /* BCT_MEMBER_DIED events: deaths declared here or learned from peers */
	uint32_t reports; /* passed to the report callback */
	bct_report_t report;	   /* the latest */
	uint32_t cache_events;	   /* passed to the cache_event callback */
	uint64_t leaving_upstream; /* key in the latest leaving callback; 0: it was not leaving */
	bct_time_t leaving_at;	   /* time of that callback */
	uint32_t totals_received;  /* passed to the total callback */
	uint64_t total_age_ms;	   /* sum of their ages */
	bct_total_t total;	   /* the latest */
	bct_fact_t fact;	   /* the latest, BCT_FACT_UPSTREAM_LEAVING aside */
} vnode_t;

typedef struct vdatagram vdatagram_t;

struct vnet {
	bct_rng_t rng;
	uint64_t seed;
	bct_time_t now;
	uint32_t n; /* slots used so far */
	vnode_t nodes[VNET_NODES_MAX];
	bool blocked[VNET_NODES_MAX][VNET_NODES_MAX]; /* [from][to]: datagrams are dropped */
	uint32_t loss_permille;
	uint32_t duplicate_permille;
	uint32_t delay_min_ms;
	uint32_t delay_max_ms;
	uint32_t max_datagram_bytes; /* largest sent so far, without headers */
	vdatagram_t **heap;	     /* datagrams in flight, ordered by delivery time */
	uint32_t n_heap;
	uint32_t cap_heap;
	uint64_t datagrams; /* put in flight so far */
	uint32_t n_started; /* processes so far; part of the hash that makes incarnations */
	uint32_t n_domains; /* failure domains; slot i is in domain i % n_domains */
	uint32_t n_engines;
	uint64_t engines[BCT_WATCH_ENGINES_MAX]; /* upstream keys that every node watches */
	/* Called after each virtual millisecond; or NULL. */
	void (*check)(vnet_t *net);
	void *ctx;
};

/*
 * vnet_new(3): make a network without nodes, with a delay of 1 ms and no faults.
 *
 * returns  the network, to be released with vnet_free(), or NULL without memory
 */
vnet_t *vnet_new(uint64_t seed);
void vnet_free(vnet_t *net);

/*
 * vnet_start(3): start a process in a slot. It has the address of the slot, also when another
 * process ran there before, and a new incarnation.
 *
 * index       the slot
 * seed_index  slot whose address is the only seed; the same as index: no seed
 */
void vnet_start(vnet_t *net, uint32_t index, uint32_t seed_index);

/* vnet_start_all(3): start processes in the slots 0 to n - 1, with slot 0 as seed. */
void vnet_start_all(vnet_t *net, uint32_t n);

/* vnet_crash(3): end a process without notice. */
void vnet_crash(vnet_t *net, uint32_t index);

/*
 * vnet_pause(3): suspend or resume a process. Datagrams to a suspended process are delivered when
 * it resumes.
 */
void vnet_pause(vnet_t *net, uint32_t index, bool paused);

/* vnet_leave(3): let a process announce that it is leaving; it keeps running. */
void vnet_leave(vnet_t *net, uint32_t index);

/*
 * vnet_partition(3): partition the slots below `split` from the others, or end the partition.
 *
 * block_up    whether datagrams from the lower slots to the higher ones are dropped
 * block_down  whether datagrams from the higher slots to the lower ones are dropped
 */
void vnet_partition(vnet_t *net, uint32_t split, bool block_up, bool block_down);

/* vnet_run(3): run for `ms` virtual milliseconds. */
void vnet_run(vnet_t *net, bct_time_t ms);

/*
 * vnet_run_until(3): run until a condition holds.
 *
 * returns  virtual milliseconds until then, or -1 if it did not hold within max_ms
 */
bct_time_t vnet_run_until(vnet_t *net, bool (*done)(vnet_t *net), bct_time_t max_ms);

/*
 * vnet_converged(3): whether every running node counts exactly the running nodes as members that
 * are not dead, and has each of them as alive and with its current leaving flag.
 */
bool vnet_converged(vnet_t *net);

/*
 * vnet_find_member(3): find the process of slot `index` in the member table of slot `observer`.
 *
 * returns  the entry, owned by the table, or NULL
 */
const bct_member_t *vnet_find_member(vnet_t *net, uint32_t observer, uint32_t index);

#endif
