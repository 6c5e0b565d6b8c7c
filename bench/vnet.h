/*
 * vnet.h - the peer protocol's pure machines on a virtual network with faults, in virtual time.
 * Used by the protocol tests and by bench_member. The same seed gives the same run.
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
#define VNET_KINDS 8
#define VNET_UDP_IP_BYTES 28

typedef struct vnet vnet_t;

typedef struct vnode {
	bct_outbox_t outbox; /* first member */
	vnet_t *net;
	uint32_t index;
	bct_addr_t addr;
	uint64_t incarnation;
	bool up;
	bool paused;
	bool leaving;
	bct_wire_t *wire;
	bct_member_table_t *members;
	bct_totals_t *totals;
	bct_watch_t *watch;
	bool fleet_dirty;
	bct_time_t fleet_next;
	bct_time_t next_tick;
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t sent_by_kind[VNET_KINDS]; /* bytes, by peer_kind; calls and replies */
	uint64_t received;
	uint64_t received_bytes;
	uint64_t refused; /* by the wire */
	uint32_t died;	  /* deaths that this node declared or took over from others */
	uint32_t reports;
	bct_report_t report; /* the last one handed out */
	uint32_t cache_events;
	uint64_t leaving_upstream;
	bct_time_t leaving_at;
	uint32_t totals_in;
	uint64_t total_age_ms; /* sum over them */
	bct_total_t total;     /* the last one handed out */
	bct_fact_t fact;
} vnode_t;

typedef struct vdatagram vdatagram_t;

struct vnet {
	bct_rng_t rng;
	uint64_t seed;
	bct_time_t now;
	uint32_t n;
	vnode_t nodes[VNET_NODES_MAX];
	bool cut[VNET_NODES_MAX][VNET_NODES_MAX]; /* [from][to]: nothing passes */
	uint32_t loss_permille;
	uint32_t duplicate_permille;
	uint32_t delay_min_ms;
	uint32_t delay_max_ms;
	uint32_t max_datagram_bytes; /* largest seen */
	vdatagram_t **heap;
	uint32_t n_heap;
	uint32_t cap_heap;
	uint64_t datagrams;
	uint32_t lives;	    /* processes started, for incarnations */
	uint32_t n_domains; /* failure domains that the nodes are spread over */
	uint32_t n_engines;
	uint64_t engines[BCT_WATCH_ENGINES_MAX];
	/* After each virtual millisecond; or NULL. */
	void (*check)(vnet_t *net);
	void *ctx;
};

/* vnet_new(3): a network with 1 ms delay and no faults; NULL without memory. */
vnet_t *vnet_new(uint64_t seed);
void vnet_free(vnet_t *net);

/*
 * vnet_start(3): start a process in slot `index`, seeded with the address of slot `seed_index` (or
 * none, if that is its own). In a slot that was used before it takes the address over.
 */
void vnet_start(vnet_t *net, uint32_t index, uint32_t seed_index);

/* vnet_start_all(3): start n nodes, seeded with slot 0. */
void vnet_start_all(vnet_t *net, uint32_t n);

void vnet_crash(vnet_t *net, uint32_t index);

/* vnet_pause(3): a paused process does nothing; its datagrams wait for it. */
void vnet_pause(vnet_t *net, uint32_t index, bool paused);

void vnet_leave(vnet_t *net, uint32_t index);

/* vnet_partition(3): cut (or heal) the slots below `split` from the others, one or both ways. */
void vnet_partition(vnet_t *net, uint32_t split, bool cut_up, bool cut_down);

void vnet_run(vnet_t *net, bct_time_t ms);

/*
 * vnet_run_until(3): run until a condition holds.
 *
 * returns  virtual milliseconds it took, or -1 when it did not hold within max_ms
 */
bct_time_t vnet_run_until(vnet_t *net, bool (*done)(vnet_t *net), bct_time_t max_ms);

/* vnet_converged(3): whether each running node holds exactly the running ones for not dead. */
bool vnet_converged(vnet_t *net);

/* vnet_find_member(3): what node `observer` holds of the process in slot `index`; NULL: nothing. */
const bct_member_t *vnet_find_member(vnet_t *net, uint32_t observer, uint32_t index);

#endif
