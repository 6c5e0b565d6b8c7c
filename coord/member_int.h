/*
 * member_int.h - the member table's parts, shared by member.c (table and liveness), member_probe.c
 * (failure detector, joining, sync) and member_gossip.c (what rides on each datagram).
 */
#ifndef BCT_COORD_MEMBER_INT_H
#define BCT_COORD_MEMBER_INT_H

#include "coord/member.h"

#define PROBE_INTERVAL_MS 1000
#define ACK_TIMEOUT_MS 300
#define INDIRECT_PROBES 3
#define SUSPECT_BASE_MS 2000   /* a suspect's time to refute in a small fleet */
#define SUSPECT_DOUBLE_MS 500  /* more for each doubling of the fleet */
#define HEALTH_MAX 3	       /* how far a node that fails itself slows its detector */
#define GOSSIP_INTERVAL_MS 200 /* between rounds while there is urgent news */
#define GOSSIP_FANOUT 3
#define SELF_BYTES 76		/* kind, own fact and info, the four list lengths, a sync cursor */
#define TX_BASE 8		/* transmissions of news in the smallest fleet */
#define TX_INFO_BASE 3		/* of an info that is not urgent */
#define GOSSIP_BUDGET_BYTES 764 /* leaves room for a longest own description */
#define JOIN_INTERVAL_MS 500
#define CONTACT_INTERVAL_MS 10000 /* between tries of seeds and of the dead */
#define SYNC_FIRST_MS 1000	  /* doubled after each sync, up to SYNC_INTERVAL_MS */
#define SYNC_INTERVAL_MS 10000
#define SYNC_PER_MEMBER_MS 100 /* the sync interval grows with the fleet */
#define SYNC_REQUEST_MS 500    /* at most one sync for an unknown sender in this time */
#define INFO_INTERVAL_MS 2000
#define INFO_PER_MEMBER_MS 200 /* so does the interval of changes of load */
#define LOAD_STEP_PERMILLE 100
#define DEAD_KEEP_MS 3600000
#define DEAD_UNLISTED_KEEP_MS 60000 /* dead and not on the VM list */
#define FLAP_DECAY_MS 60000
#define FLAP_HOLD_MS 5000 /* off the address list after a return, for each flap */
#define FLAPS_MAX 12
#define FACTS_MAX 256
#define RELAYS_MAX 32
#define RELAY_KEEP_MS 2000

/* Member with its transmission counters: how often each part is still to be gossiped. */
typedef struct slot {
	bct_member_t m;
	uint8_t tx_fact;
	uint8_t tx_desc;
	uint8_t tx_info;
	bool info_urgent; /* the first word of a new revision */
	bool unlisted;	  /* the VM list does not name it */
	bct_time_t suspect_until;
	bct_time_t flapped;
} slot_t;

typedef struct fact_slot {
	bct_fact_t f;
	uint8_t tx;
} fact_slot_t;

/* A probe done for another node, waiting for its acknowledgement. */
typedef struct relay {
	uint32_t xid; /* of our ping */
	uint32_t caller_xid;
	uint64_t target;
	bct_dest_t caller;
	bct_time_t until;
} relay_t;

typedef struct probe {
	uint64_t target; /* 0: none is running */
	uint32_t xid;
	bool indirect; /* others have been asked */
	bct_time_t deadline;
} probe_t;

#define GOSSIP_DESCS_MAX 10
#define GOSSIP_FACTS_MAX 56
#define GOSSIP_INFOS_MAX 28
#define GOSSIP_ITEMS_MAX 16

/* One datagram's gossip while it is put together; the arrays back the message's pointers. */
typedef struct gossip_buf {
	peer_gossip g;
	uint32_t left_bytes;
	peer_desc descs[GOSSIP_DESCS_MAX];
	peer_member_status facts[GOSSIP_FACTS_MAX];
	peer_info infos[GOSSIP_INFOS_MAX];
	peer_item items[GOSSIP_ITEMS_MAX];
} gossip_buf_t;

struct bct_member_table {
	bct_member_opts_t opts;
	bct_rng_t rng;
	slot_t **slots; /* by incarnation */
	uint32_t n;
	uint32_t cap;
	slot_t *self;
	uint32_t n_live; /* not dead */
	uint32_t health; /* 0: this node's own probes work */
	uint32_t xid;
	uint64_t newest_revision; /* of all members */
	uint32_t gossip_at;	  /* slot that the next datagram's news starts from */
	probe_t probe;
	uint64_t *order; /* incarnations in this round's order of probing */
	uint32_t n_order;
	uint32_t order_at;
	relay_t relays[RELAYS_MAX];
	uint32_t relay_at;
	fact_slot_t facts[FACTS_MAX];
	uint32_t n_facts;
	bct_addr_t seeds[BCT_SEEDS_MAX]; /* settings first, then the VM list */
	uint32_t n_seeds;
	uint32_t n_fixed_seeds;
	bool info_pending;
	bct_member_info_t next_info;
	bct_time_t last_tick;
	bct_time_t expected_tick;
	bct_time_t next_probe;
	bct_time_t next_gossip;
	bct_time_t next_join;
	bct_time_t next_contact;
	bct_time_t next_sync;
	bct_time_t next_info_at;
	bct_time_t sync_asked;
	bct_time_t next_reap;
	bct_time_t sync_interval_ms;
	uint32_t sync_xid;
	bct_member_counters_t counters;
};

/* member.c */
slot_t *bct_member_slot(const bct_member_table_t *t, uint64_t incarnation);
bool bct_member_apply_fact(bct_member_table_t *t, bct_time_t now, slot_t *s, uint32_t number,
			   bct_liveness_t liveness, bool leaving);
void bct_member_apply_info(bct_member_table_t *t, slot_t *s, const bct_member_info_t *info);
slot_t *bct_member_add(bct_member_table_t *t, bct_time_t now, const bct_member_t *m);
uint8_t bct_member_tx_limit(const bct_member_table_t *t);

/* member_gossip.c */
void bct_gossip_begin(bct_member_table_t *t, gossip_buf_t *b, uint32_t budget_bytes);
void bct_gossip_fill(bct_member_table_t *t, bct_time_t now, uint64_t target, gossip_buf_t *b);
bool bct_gossip_put_desc(gossip_buf_t *b, slot_t *s);
bool bct_gossip_put_fact(gossip_buf_t *b, const slot_t *s);
void bct_gossip_merge(bct_member_table_t *t, bct_time_t now, const bct_dest_t *from,
		      const peer_gossip *g);
void bct_gossip_round(bct_member_table_t *t, bct_time_t now);
void bct_gossip_expire(bct_member_table_t *t, bct_time_t now);

/* member_probe.c */
void bct_probe_tick(bct_member_table_t *t, bct_time_t now);
void bct_probe_wake(bct_member_table_t *t, bct_time_t now, bct_time_t paused_ms);
void bct_probe_ping(bct_member_table_t *t, bct_time_t now, const bct_dest_t *to);
slot_t *bct_probe_random(bct_member_table_t *t, uint64_t except);
void bct_probe_acked(bct_member_table_t *t, bct_time_t now, const bct_wire_msg_t *msg);
void bct_probe_relay(bct_member_table_t *t, bct_time_t now, const bct_addr_t *src,
		     const bct_wire_msg_t *msg);
void bct_join_tick(bct_member_table_t *t, bct_time_t now);
void bct_sync_request(bct_member_table_t *t, const bct_dest_t *to, uint64_t cursor);
void bct_sync_serve(bct_member_table_t *t, bct_time_t now, const bct_addr_t *src,
		    const bct_wire_msg_t *msg);
void bct_sync_tick(bct_member_table_t *t, bct_time_t now);

#endif
