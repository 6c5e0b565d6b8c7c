/*
 * member.h - fleet membership: SWIM failure detection and gossip as a pure state machine.
 *
 * The caller passes in the time, received datagrams and the VM list. Outgoing calls and replies go
 * to an outbox, membership changes to an event callback. The module does no I/O and takes no lock.
 *
 * A member is one run of one process, identified by its incarnation: a random number that no other
 * process ever uses. Names and addresses do not identify a member. Within an incarnation,
 * statements about its liveness are ordered by a refutation number that only the member itself
 * raises; at equal numbers dead overrides suspect, and suspect overrides alive. `leaving` is a flag
 * independent of liveness and is never cleared. All merges are commutative and idempotent, so the
 * result does not depend on lost, duplicated or reordered datagrams.
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
	BCT_MEMBER_SUSPECT = 1, /* did not answer a probe; dead unless it refutes in time */
	BCT_MEMBER_DEAD = 2,
} bct_liveness_t;

/* State that a member advertises about itself. */
typedef struct bct_member_info {
	uint32_t seq;		/* raised with each change; the highest is the newest */
	uint32_t load_permille; /* of its capacity */
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
	bct_addr_t caller; /* entry address; ip_len_bytes 0: none */
	bct_addr_t admin;  /* ip_len_bytes 0: none */
	uint32_t number;   /* refutation number */
	bct_liveness_t liveness;
	bool leaving;
	bct_time_t since;	/* local time of the last liveness change */
	uint32_t flaps;		/* recent returns to alive; decays over time */
	bct_time_t listed_from; /* local time from which entry lists include it again */
	bct_member_info_t info;
} bct_member_t;

typedef enum bct_member_event_type {
	BCT_MEMBER_JOINED = 1,
	BCT_MEMBER_RETURNED, /* refuted a suspicion or a death */
	BCT_MEMBER_SUSPECTED,
	BCT_MEMBER_DIED,
	BCT_MEMBER_LEAVING, /* announced that it is leaving */
	BCT_MEMBER_INFO,    /* its configuration revision changed */
	BCT_MEMBER_REMOVED, /* removed from the table */
} bct_member_event_type_t;

/* Fact type: an engine announced that it is leaving. key: upstream, key2: its boot id, v[0]: 1. */
#define BCT_FACT_UPSTREAM_LEAVING 100

/*
 * A replicated record, identified by type, key and key2, that gossip distributes to every node.
 * Copies are merged by taking the maximum of each value and of the expiry time. Types below
 * BCT_ITEM_COUNT are the policy's MAX items.
 */
typedef struct bct_fact {
	uint32_t type;
	uint64_t key;
	uint64_t key2;
	int64_t v[BCT_ITEM_VALUES];
	bct_time_t expires; /* local time */
} bct_fact_t;

typedef struct bct_member_counters {
	uint64_t probes;
	uint64_t probes_failed;
	uint64_t relayed;	  /* indirect probes sent for other nodes */
	uint64_t refuted;	  /* suspicions of this node that it refuted */
	uint64_t process_resumes; /* times this process resumed after suspension */
	uint64_t taken_over;	  /* member addresses found in use by another incarnation */
	uint64_t facts_dropped;	  /* because the fact table was full */
} bct_member_counters_t;

typedef struct bct_member_table bct_member_table_t;

typedef struct bct_member_opts {
	uint64_t seed;
	bct_member_t self; /* incarnation, names and addresses; the rest is ignored */
	const bct_addr_t *seeds;
	uint32_t n_seeds;
	bct_outbox_t *outbox;
	/*
	 * Called on changes of other members; NULL: no events. May read the table but must not
	 * change it.
	 */
	void (*event)(void *ctx, bct_member_event_type_t type, const bct_member_t *member);
	/* Called when a received fact is new, raises a value or extends the expiry. May be NULL. */
	void (*fact)(void *ctx, const bct_fact_t *fact);
	void *ctx;
} bct_member_opts_t;

/*
 * bct_member_new(3): create a table that contains only this node. It contacts the seeds during the
 * first ticks.
 *
 * returns  0, -BCT_EINVAL or -BCT_ENOMEM
 */
int bct_member_new(const bct_member_opts_t *opts, bct_time_t now, bct_member_table_t **out);
void bct_member_free(bct_member_table_t *t);

/*
 * bct_member_tick(3): run all due timers: probes, gossip, joining, sync and expiry. A call that
 * comes late by more than two probe intervals counts as a resume after suspension.
 *
 * returns  time of the next call at the latest
 */
bct_time_t bct_member_tick(bct_member_table_t *t, bct_time_t now);

/* bct_member_receive(3): process a PING, PING_REQ, SYNC or GOSSIP message received from `src`. */
void bct_member_receive(bct_member_table_t *t, bct_time_t now, const bct_addr_t *src,
			const bct_wire_msg_t *msg);

/* bct_member_set_leaving(3): announce to all nodes that this one is leaving. Irrevocable. */
void bct_member_set_leaving(bct_member_table_t *t, bct_time_t now);

/*
 * bct_member_set_info(3): set the state that this node advertises; info->seq is ignored. A new
 * revision or digest is sent at once. Load changes below 100 permille are ignored, and larger ones
 * are sent at a limited rate.
 */
void bct_member_set_info(bct_member_table_t *t, bct_time_t now, const bct_member_info_t *info);

/*
 * bct_member_set_seeds(3): replace the seeds from the settings. Each that is no live member is
 * contacted in the next tick, so that a node that knew no live seed joins at once, and the parts of
 * a fleet that did not know each other meet.
 *
 * returns  0, or -BCT_EINVAL if there are more than BCT_SEEDS_MAX
 */
int bct_member_set_seeds(bct_member_table_t *t, const bct_addr_t *seeds, uint32_t n);

/*
 * bct_member_vm_list(3): use the platform's VM list as a hint. Its entry VMs serve as additional
 * seeds, and dead members that it does not name are removed early. It never changes a member's
 * liveness.
 */
void bct_member_vm_list(bct_member_table_t *t, bct_time_t now, const bct_vm_list_t *list);

/*
 * bct_member_gossip_fact(3): merge a fact into the local table and gossip it to every node.
 *
 * returns  0 or -BCT_EFULL (the fact table is full)
 */
int bct_member_gossip_fact(bct_member_table_t *t, bct_time_t now, const bct_fact_t *fact);

/*
 * bct_member_count(3), bct_member_at(3): iterate over all members, this node included, ordered by
 * incarnation. bct_member_at() returns NULL past the end, bct_member_find() for an unknown
 * incarnation.
 */
uint32_t bct_member_count(const bct_member_table_t *t);
const bct_member_t *bct_member_at(const bct_member_table_t *t, uint32_t i);
const bct_member_t *bct_member_find(const bct_member_table_t *t, uint64_t incarnation);
const bct_member_t *bct_member_self(const bct_member_table_t *t);

/*
 * bct_member_live(3): list the incarnations of all members that are not dead, this node included.
 *
 * with_leaving  whether to include members that are leaving
 * returns       number of incarnations written, at most max
 */
uint32_t bct_member_live(const bct_member_table_t *t, bool with_leaving, uint64_t *out,
			 uint32_t max);

/*
 * bct_member_fleet(3): fill in the scheduler's view of the fleet: the number of nodes that are not
 * dead, this node's rank among them by incarnation, and the keys of its name, region and failure
 * domain.
 */
void bct_member_fleet(const bct_member_table_t *t, bct_fleet_t *out);

void bct_member_counters(const bct_member_table_t *t, bct_member_counters_t *out);

#endif
