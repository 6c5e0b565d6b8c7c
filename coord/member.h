/*
 * member.h - who is in the fleet: SWIM failure detection and gossip as a pure state machine.
 *
 * Time, datagrams and the VM list go in; calls and replies go out through an outbox and changes
 * through an event callback. It does no I/O and takes no lock.
 *
 * A member is one life of one process: its incarnation is a random number that no other process
 * ever has. A name or an address says nothing about identity. Within an incarnation a refutation
 * number orders what is said about its liveness, and only the member itself raises it; at an equal
 * number dead beats suspect beats alive. Leaving is a flag beside liveness that is never taken
 * back. All merges are commutative and idempotent, so loss, copies and order do not matter.
 */
#ifndef BCT_COORD_MEMBER_H
#define BCT_COORD_MEMBER_H

#include "base/clock.h"
#include "base/rng.h"
#include "coord/addr.h"
#include "coord/platform.h"
#include "coord/wire.h"
#include "policy/sched.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_MEMBERS_MAX 2048
#define BCT_SEEDS_MAX 64

typedef enum bct_liveness {
	BCT_MEMBER_ALIVE = 0,
	BCT_MEMBER_SUSPECT = 1, /* does not answer; dead unless it refutes in time */
	BCT_MEMBER_DEAD = 2,
} bct_liveness_t;

/* What a member says of itself. */
typedef struct bct_member_info {
	uint32_t seq;
	uint32_t load_permille; /* of what it can take */
	uint64_t revision;	/* of the configuration in force */
	uint64_t digest;	/* first 8 bytes of that configuration's digest */
} bct_member_info_t;

typedef struct bct_member {
	uint64_t incarnation;
	uint64_t node_key; /* bct_hash_str() of the name */
	char name[BCT_NAME_BYTES];
	char failure_domain[BCT_NAME_BYTES];
	char region[BCT_NAME_BYTES];
	bct_addr_t peer;
	bct_addr_t caller; /* entry address */
	bct_addr_t admin;
	uint32_t number; /* refutation number */
	bct_liveness_t liveness;
	bool leaving;
	bct_time_t since;	/* local time of the last change of liveness */
	uint32_t flaps;		/* returns to alive lately */
	bct_time_t listed_from; /* callers are sent there again from this local time on */
	bct_member_info_t info;
} bct_member_t;

typedef enum bct_member_event_type {
	BCT_MEMBER_JOINED = 1,
	BCT_MEMBER_RETURNED, /* refuted a suspicion or a death */
	BCT_MEMBER_SUSPECTED,
	BCT_MEMBER_DIED,
	BCT_MEMBER_LEAVING, /* said that it is leaving */
	BCT_MEMBER_INFO,    /* its info changed */
	BCT_MEMBER_REMOVED,
} bct_member_event_type_t;

/*
 * A fact for every node, spread by gossip and merged by maximum of each value until it expires.
 * Types below BCT_ITEM_COUNT are the policy's MAX items.
 */
#define BCT_FACT_UPSTREAM_LEAVING 100 /* key upstream, key2 its boot id; v[0] 1 */

typedef struct bct_fact {
	uint32_t type;
	uint64_t key;
	uint64_t key2;
	int64_t v[BCT_ITEM_VALUES];
	bct_time_t expires;
} bct_fact_t;

typedef struct bct_member_counters {
	uint64_t probes;
	uint64_t probes_failed;
	uint64_t relayed;	  /* indirect probes done for others */
	uint64_t refuted;	  /* suspicions of this node that it refuted */
	uint64_t process_resumes; /* pauses of this process noticed */
	uint64_t taken_over;	  /* addresses found in use by another incarnation */
	uint64_t facts_dropped;	  /* table full */
} bct_member_counters_t;

typedef struct bct_member_table bct_member_table_t;

typedef struct bct_member_opts {
	uint64_t seed;
	bct_member_t self; /* incarnation, names and addresses; the rest is ignored */
	const bct_addr_t *seeds;
	uint32_t n_seeds;
	bct_outbox_t *outbox;
	/* May read the table, must not change it. NULL: no events. */
	void (*event)(void *ctx, bct_member_event_type_t type, const bct_member_t *member);
	void (*fact)(void *ctx, const bct_fact_t *fact); /* new or raised facts of other nodes */
	void *ctx;
} bct_member_opts_t;

/*
 * bct_member_new(3): a table that holds the node itself; it joins on the first ticks.
 *
 * returns  0, -BCT_EINVAL or -BCT_ENOMEM
 */
int bct_member_new(const bct_member_opts_t *opts, bct_time_t now, bct_member_table_t **out);
void bct_member_free(bct_member_table_t *t);

/*
 * bct_member_tick(3): do what is due.
 *
 * returns  when to call it again at the latest
 */
bct_time_t bct_member_tick(bct_member_table_t *t, bct_time_t now);

/* bct_member_receive(3): a datagram of kind PING, PING_REQ, SYNC or GOSSIP came from an address. */
void bct_member_receive(bct_member_table_t *t, bct_time_t now, const bct_addr_t *src,
			const bct_wire_msg_t *msg);

/* bct_member_set_leaving(3): tell all nodes that this one is leaving. It can't be taken back. */
void bct_member_set_leaving(bct_member_table_t *t, bct_time_t now);

/* bct_member_set_info(3): what this node says of itself; info->seq is ignored. */
void bct_member_set_info(bct_member_table_t *t, bct_time_t now, const bct_member_info_t *info);

/*
 * bct_member_vm_list(3): take the platform's list as a hint: its entry VMs are tried as seeds, and
 * the dead that it does not name are forgotten early. It never makes a member dead or alive.
 */
void bct_member_vm_list(bct_member_table_t *t, bct_time_t now, const bct_vm_list_t *list);

/*
 * bct_member_gossip_fact(3): spread a fact to every node.
 *
 * returns  0 or -BCT_EFULL
 */
int bct_member_gossip_fact(bct_member_table_t *t, bct_time_t now, const bct_fact_t *fact);

/* bct_member_count(3), bct_member_at(3): all members, this node included, by incarnation. */
uint32_t bct_member_count(const bct_member_table_t *t);
const bct_member_t *bct_member_at(const bct_member_table_t *t, uint32_t i);
const bct_member_t *bct_member_find(const bct_member_table_t *t, uint64_t incarnation);
const bct_member_t *bct_member_self(const bct_member_table_t *t);

/*
 * bct_member_live(3): incarnations of the live members (not dead), this node included.
 *
 * with_leaving  whether to list members that are leaving
 * returns       how many were written, at most max
 */
uint32_t bct_member_live(const bct_member_table_t *t, bool with_leaving, uint64_t *out,
			 uint32_t max);

/* bct_member_fleet(3): the fleet as the scheduler wants it. */
void bct_member_fleet(const bct_member_table_t *t, bct_fleet_t *out);

void bct_member_counters(const bct_member_table_t *t, bct_member_counters_t *out);

#endif
