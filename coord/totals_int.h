/*
 * totals_int.h - declarations shared by totals.c, totals_partial.c and totals_aggregator.c.
 */
#ifndef BCT_COORD_TOTALS_INT_H
#define BCT_COORD_TOTALS_INT_H

#include "coord/totals.h"

#define DEFAULT_BYTES_PER_S 4000
#define BURST_MS 2000 /* unspent byte budget is kept for this long */
#define TICK_MS 200
/* Values are sent in rounds, so that one datagram carries all entries for a node. */
#define UP_INTERVAL_MS 1000
#define DOWN_INTERVAL_MS 400
#define SMALL_FLEET_NODES_MAX 10     /* largest fleet with these two intervals */
#define LARGE_FLEET_INTERVAL_MS 2000 /* both intervals in a larger fleet */
#define REFRESH_MS 4000		     /* an unchanged value is sent again */
#define GROUPED_REFRESH_MS 6000	     /* REFRESH_MS in a fleet with groups */
#define EXPIRE_MS 16000		     /* a partial sum that is not refreshed is dropped */
#define AGGREGATOR_SETTLE_MS 2500    /* a new aggregator waits for the partial sums */
#define CHANGE_SHIFT 3		     /* a change above 1/8 is sent before the refresh */
#define ENTRY_BYTES 20
#define ENTRIES_PER_DATAGRAM 54
#define DATAGRAM_BYTES 112   /* overhead: RPC header, envelope, MAC, UDP and IP */
#define GROUP_BUCKETS 8	     /* buckets of items in a group, each with an aggregator */
#define ROOT_BUCKETS_SMALL 8 /* buckets at the root in a small fleet */
#define ROOT_BUCKETS 16	     /* in a larger fleet without groups */
#define ROOT_BUCKETS_MAX 64  /* in a fleet with groups */

/* Levels of the aggregation tree: leaves publish; group aggregators and roots add up. */
enum { LEVEL_LEAF = 0, LEVEL_GROUP = 1, LEVEL_ROOT = 2 };
#define NO_GROUP 127u /* in a fleet without groups; largest value of its 7 bits on the wire */

/*
 * A partial sum received from one child. At the root, a child is a node in a fleet without groups
 * and a group otherwise: whichever node is the aggregator of the group sends its partial sum.
 */
typedef struct partial {
	uint64_t from;	 /* incarnation of the sender */
	uint32_t group;	 /* of a group aggregator at the root, else NO_GROUP */
	uint32_t nodes;	 /* nodes in the sum */
	bool total_sent; /* this child has been sent a total */
	int64_t v[BCT_ITEM_VALUES];
	bct_time_t sampled_at;	/* time of the oldest value in the sum */
	bct_time_t received_at; /* not set at a leaf */
} partial_t;

/* The value last sent upwards or downwards. */
typedef struct last_sent {
	int64_t v[BCT_ITEM_VALUES];
	uint32_t nodes;
	bct_time_t at; /* time it was sent */
	/* Upwards only: the parent's incarnation (0: none yet), and its level and group. */
	uint64_t to;
	uint32_t to_level;
	uint32_t to_group;
} last_sent_t;

/* An item at one level of the tree on which this node publishes it or aggregates it. */
typedef struct entry {
	uint64_t id;	 /* hash of type and keys; all that an aggregator knows of the item */
	bct_item_t item; /* at a leaf only: type and keys */
	uint32_t level;
	uint32_t group;	     /* at group level, else NO_GROUP */
	partial_t *partials; /* a leaf has one: the local value */
	uint32_t n;
	uint32_t cap;
	bool published; /* leaf: present in the last publish */
	bool due_up;	/* not yet visited in this round; a spent byte budget delays it */
	bool due_down;	/* the same for the total */
	bct_time_t settle_deadline; /* an aggregator sends nothing before */
	last_sent_t up;
	last_sent_t down;
	partial_t total;	/* received from the parent; nodes is 0 before the first */
	bct_time_t reported_at; /* last call of opts.total */
} entry_t;

/* An entry that waits to be sent. */
typedef struct outgoing {
	uint64_t to; /* incarnation */
	bool total;  /* a total for a child; else a partial sum for a parent */
	peer_part part;
} outgoing_t;

struct bct_totals {
	bct_totals_opts_t opts;
	uint64_t self;
	entry_t **entries;
	uint32_t n;
	uint32_t cap;
	uint32_t cursor;      /* entry at which the next tick starts */
	uint64_t *candidates; /* incarnations of live members that are not leaving, ascending */
	uint32_t n_candidates;
	uint32_t n_roots;		  /* buckets at the root */
	uint64_t roots[ROOT_BUCKETS_MAX]; /* incarnation of the aggregator of each bucket */
	uint32_t group;			  /* of this node; NO_GROUP in a fleet without groups */
	uint64_t group_aggregators[GROUP_BUCKETS]; /* the same in this node's group */
	bct_time_t members_changed_at;
	outgoing_t *out;
	uint32_t n_out;
	uint32_t cap_out;
	int64_t tokens_bytes; /* byte budget: a token bucket, may be overdrawn */
	bct_time_t tokens_at; /* last refill */
	bct_time_t next_tick;
	bct_time_t next_up;   /* next round of partial sums */
	bct_time_t next_down; /* next round of totals */
	uint32_t xid;
	bct_totals_counters_t counters;
};

/* totals_partial.c */
uint64_t bct_totals_id(bct_item_type_t type, uint64_t key, uint64_t key2);
entry_t *bct_totals_find(const bct_totals_t *t, uint64_t id, uint32_t level, uint32_t group);
entry_t *bct_totals_entry(bct_totals_t *t, bct_time_t now, uint64_t id, uint32_t level,
			  uint32_t group);
void bct_totals_remove(bct_totals_t *t, uint32_t i);
partial_t *bct_totals_partial(entry_t *e, uint64_t from, uint32_t group, bool create);
void bct_totals_drop_partial(entry_t *e, uint32_t i);
void bct_totals_sum(const entry_t *e, partial_t *out);
bool bct_totals_differs(const partial_t *now, const last_sent_t *before);
void bct_totals_encode(bct_time_t now, uint64_t id, uint32_t level, uint32_t group,
		       const partial_t *value, peer_part *out);
void bct_totals_decode(bct_time_t now, const peer_part *p, uint32_t *level, uint32_t *group,
		       partial_t *out);

/* totals_aggregator.c */
void bct_totals_assign_aggregators(bct_totals_t *t);
uint64_t bct_totals_parent(const bct_totals_t *t, const entry_t *e, uint32_t *level,
			   uint32_t *group);

#endif
