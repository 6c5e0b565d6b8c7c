/*
 * member_int.h - internals of the member table, shared by member.c (table and liveness),
 * member_probe.c (failure detector, joining, sync) and member_gossip.c (piggybacked gossip).
 */
#ifndef BCT_COORD_MEMBER_INT_H
#define BCT_COORD_MEMBER_INT_H

#include "coord/member.h"

#define PROBE_INTERVAL_MS 1000
#define ACK_TIMEOUT_MS 300    /* of a direct probe at health 0; see ack_timeout_ms() */
#define INDIRECT_PROBES 3     /* helpers asked to probe a silent target */
#define SUSPECT_BASE_MS 2000  /* base of a suspect's time to refute */
#define SUSPECT_DOUBLE_MS 500 /* added for each doubling of the fleet */
#define CONFIRM_MS 1600	      /* before a suspect's deadline: from here on it is pinged directly */
#define CONFIRM_INTERVAL_MS 500
#define HEALTH_MAX 3	       /* limit of bct_member_table.health */
#define GOSSIP_INTERVAL_MS 200 /* between rounds while there are urgent updates */
#define GOSSIP_FANOUT 3
#define SELF_BYTES 76  /* kind, sender's status and info, four list lengths, a sync cursor */
#define TX_BASE 8      /* transmissions of an update, plus 2 for each doubling of the fleet */
#define TX_INFO_BASE 3 /* of an info that is not urgent, plus 1 for two doublings */
#define GOSSIP_BUDGET_BYTES 764	  /* leaves room for the longest description of the sender */
#define JOIN_INTERVAL_MS 500	  /* between contacts of seeds while no other member is live */
#define CONTACT_INTERVAL_MS 10000 /* between contacts of one seed and one dead member */
#define SYNC_FIRST_MS 1000	  /* doubled after each sync up to the full interval */
#define SYNC_INTERVAL_MS 10000	  /* full interval, plus SYNC_PER_MEMBER_MS for each live member */
#define SYNC_PER_MEMBER_MS 100
#define SYNC_REQUEST_MS 500   /* minimum time between queries to unknown or dead senders */
#define INFO_INTERVAL_MS 2000 /* between load updates, plus INFO_PER_MEMBER_MS for each member */
#define INFO_PER_MEMBER_MS 200
#define LOAD_STEP_PERMILLE 100	    /* smaller changes of load are not advertised */
#define DEAD_KEEP_MS 3600000	    /* a dead member stays in the table for this time */
#define DEAD_UNLISTED_KEEP_MS 60000 /* the same for one that is not on the VM list */
#define FLAP_DECAY_MS 60000	    /* the flap count falls by one in this time */
#define FLAP_HOLD_MS 5000	    /* off entry lists after a return to alive, for each flap */
#define FLAPS_MAX 12		    /* so a member stays off entry lists for at most 60 s */
#define FACTS_MAX 256
#define RELAYS_MAX 32
#define RELAY_KEEP_MS 2000 /* an indirect probe waits this long for its acknowledgement */

/* A member with the remaining gossip transmissions of its status, description and info. */
typedef struct slot {
	bct_member_t m;
	uint8_t tx_status;
	uint8_t tx_desc;
	uint8_t tx_info;
	bool info_urgent; /* it announces a revision not seen before */
	bool unlisted;	  /* not named by the VM list */
	bct_time_t suspect_deadline;
	bct_time_t next_confirm; /* ping to a suspect, before it is declared dead */
	bct_time_t last_flap;	 /* last return to alive */
} slot_t;

typedef struct fact_slot {
	bct_fact_t f;
	uint8_t tx; /* remaining transmissions */
} fact_slot_t;

/* An indirect probe that this node sent for another one and whose acknowledgement is pending. */
typedef struct relay {
	uint32_t xid;		/* of this node's ping to the target */
	uint32_t requester_xid; /* of its request */
	uint64_t target;	/* incarnation; 0: the entry is free */
	bct_dest_t requester;	/* the node that asked for the probe */
	bct_time_t deadline;
} relay_t;

/* The running probe of the failure detector. */
typedef struct probe {
	uint64_t target; /* incarnation; 0: no probe is running */
	uint32_t xid;
	bool indirect; /* helpers have been asked to probe the target */
	bct_time_t deadline;
} probe_t;

/* Entries that one datagram can hold. */
#define GOSSIP_DESCS_MAX 10
#define GOSSIP_STATUSES_MAX 56
#define GOSSIP_INFOS_MAX 28
#define GOSSIP_ITEMS_MAX 16

/* The gossip of one datagram while it is built; the message points into the arrays. */
typedef struct gossip_buf {
	peer_gossip g;
	uint32_t remaining_bytes;
	peer_desc descs[GOSSIP_DESCS_MAX];
	peer_member_status statuses[GOSSIP_STATUSES_MAX];
	peer_info infos[GOSSIP_INFOS_MAX];
	peer_item items[GOSSIP_ITEMS_MAX];
} gossip_buf_t;

struct bct_member_table {
	bct_member_opts_t opts;
	bct_rng_t rng;
	slot_t **slots; /* ordered by incarnation */
	uint32_t n;
	uint32_t cap;
	slot_t *self;
	uint32_t n_live; /* not dead */
	/*
	 * Local health, 0 (good) to HEALTH_MAX. Raised by failed probes, refutations and resumes
	 * after suspension. It lengthens the probe timeouts, so that a node that is itself slow
	 * does not suspect others.
	 */
	uint32_t health;
	uint32_t xid;		  /* of the last call */
	uint64_t newest_revision; /* highest configuration revision seen */
	uint32_t gossip_start;	  /* slot where the member updates of the next datagram start */
	probe_t probe;
	uint64_t *probe_order; /* incarnations in the probe order of this round */
	uint32_t n_probe_order;
	uint32_t probe_order_at;
	relay_t relays[RELAYS_MAX];
	uint32_t relay_at; /* next entry to overwrite, modulo RELAYS_MAX */
	fact_slot_t facts[FACTS_MAX];
	uint32_t n_facts;
	bct_addr_t seeds[BCT_SEEDS_MAX]; /* from the settings, then from the VM list */
	uint32_t n_seeds;
	uint32_t n_configured_seeds;
	bool info_pending; /* next_info waits for next_info_at */
	bct_member_info_t next_info;
	bct_time_t last_tick;
	bct_time_t expected_tick; /* latest time of the next call of bct_member_tick() */
	bct_time_t next_probe;
	bct_time_t next_gossip;
	bool contact_all_seeds; /* those from the settings, in the next tick */
	bct_time_t next_join;
	bct_time_t next_contact;
	bct_time_t next_sync;
	bct_time_t next_info_at;
	bct_time_t last_sync_request;
	bct_time_t next_reap;
	bct_time_t sync_interval_ms;
	uint32_t sync_xid; /* of the last sync request */
	bct_member_counters_t counters;
};

/* member.c */
slot_t *bct_member_slot(const bct_member_table_t *t, uint64_t incarnation);
bool bct_member_apply_status(bct_member_table_t *t, bct_time_t now, slot_t *s, uint32_t number,
			     bct_liveness_t liveness, bool leaving);
void bct_member_apply_info(bct_member_table_t *t, slot_t *s, const bct_member_info_t *info);
slot_t *bct_member_add(bct_member_table_t *t, bct_time_t now, const bct_member_t *m);
uint8_t bct_member_tx_limit(const bct_member_table_t *t);

/* member_gossip.c */
void bct_gossip_begin(bct_member_table_t *t, gossip_buf_t *b, uint32_t budget_bytes);
void bct_gossip_fill(bct_member_table_t *t, bct_time_t now, uint64_t target, gossip_buf_t *b);
bool bct_gossip_put_desc(gossip_buf_t *b, slot_t *s);
bool bct_gossip_put_status(gossip_buf_t *b, const slot_t *s);
void bct_gossip_merge(bct_member_table_t *t, bct_time_t now, const bct_dest_t *from,
		      const peer_gossip *g);
void bct_gossip_round(bct_member_table_t *t, bct_time_t now);
void bct_gossip_expire(bct_member_table_t *t, bct_time_t now);

/* member_probe.c */
void bct_probe_tick(bct_member_table_t *t, bct_time_t now);
void bct_probe_resumed(bct_member_table_t *t, bct_time_t now, bct_time_t paused_ms);
/* bct_probe_confirm(3): ping a suspect if its deadline is near, so that it can refute. */
void bct_probe_confirm(bct_member_table_t *t, bct_time_t now, slot_t *s);
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
