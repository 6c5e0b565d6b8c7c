/*
 * totals_int.h - shared by totals.c (roles, sums, sending) and totals_partial.c (tables of parts).
 */
#ifndef BCT_COORD_TOTALS_INT_H
#define BCT_COORD_TOTALS_INT_H

#include "coord/totals.h"

#define DEFAULT_BYTES_PER_S 4000
#define BURST_MS 2000
#define TICK_MS 200
/* Values go out in rounds, so that a datagram holds all that one node is to be told. */
#define UP_INTERVAL_MS 1000
#define DOWN_INTERVAL_MS 400
#define FLEET_SMALL 10	       /* up to this many nodes rounds are that short */
#define FLEET_INTERVAL_MS 2000 /* both, in a larger fleet */
#define REFRESH_MS 4000	       /* a value that did not change is sent again */
#define REFRESH_GROUPS_MS 6000 /* the same in a fleet with groups */
#define EXPIRE_MS 16000	       /* a part that is not refreshed is dropped */
#define HOME_HOLD_MS 2500      /* a new home waits for the parts to arrive */
#define CHANGE_SHIFT 3	       /* a change above 1/8 is sent before the refresh */
#define PART_BYTES 20
#define PARTS_PER_DATAGRAM 54
#define DATAGRAM_BYTES 112   /* RPC header, envelope, MAC, UDP and IP */
#define MIDDLE_BUCKETS 8     /* middle homes in a group */
#define ROOT_BUCKETS_SMALL 8 /* roots in a small fleet */
#define ROOT_BUCKETS 16	     /* roots in a larger one without groups */
#define ROOT_BUCKETS_MAX 64  /* roots in a fleet with groups */

/* Levels: a part starts at a leaf; a middle home and the root add up. */
enum { LEVEL_LEAF = 0, LEVEL_MIDDLE = 1, LEVEL_ROOT = 2 };
#define NO_GROUP 127u

/* What one child said. At the root a middle home's child is its group, whoever speaks for it. */
typedef struct part {
	uint64_t from;
	uint32_t group;
	uint32_t nodes;
	bool told; /* the total was sent to this child */
	int64_t v[BCT_ITEM_VALUES];
	bct_time_t stamp; /* when its oldest part was true */
	bct_time_t seen;
} part_t;

/* A value, and what was last said of it. */
typedef struct sent {
	int64_t v[BCT_ITEM_VALUES];
	uint32_t nodes;
	bct_time_t at;
	uint64_t to; /* 0: nobody yet */
	uint32_t to_level;
	uint32_t to_group;
} sent_t;

/* This node's role for one item at one level. */
typedef struct entry {
	uint64_t id;	 /* hash of type and keys; a home needs no more */
	bct_item_t item; /* leaf: type and keys */
	uint32_t level;
	uint32_t group; /* of a middle home */
	part_t *parts;	/* a leaf has one: its own */
	uint32_t n;
	uint32_t cap;
	bool published; /* leaf: in the last publish */
	bool due_up;	/* not looked at since the round began; the byte budget may delay it */
	bool due_down;
	bct_time_t hold_until;
	sent_t up;
	sent_t down;
	part_t total; /* from above; nodes 0 when there is none */
	bct_time_t handed_out;
} entry_t;

typedef struct out_part {
	uint64_t to;
	bool total;
	peer_part part;
} out_part_t;

struct bct_totals {
	bct_totals_opts_t opts;
	uint64_t self;
	entry_t **entries;
	uint32_t n;
	uint32_t cap;
	uint32_t cursor; /* entry that the next tick starts from */
	uint64_t *homes; /* live and not leaving, by incarnation */
	uint32_t n_homes;
	uint32_t n_roots;
	uint64_t roots[ROOT_BUCKETS_MAX];
	uint32_t group;			  /* of this node; NO_GROUP in a small fleet */
	uint64_t middles[MIDDLE_BUCKETS]; /* of this node's group */
	bct_time_t fleet_changed;
	out_part_t *out;
	uint32_t n_out;
	uint32_t cap_out;
	int64_t tokens_bytes;
	bct_time_t tokens_at;
	bct_time_t next_tick;
	bct_time_t next_up;
	bct_time_t next_down;
	uint32_t xid;
	bct_totals_counters_t counters;
};

/* totals_partial.c */
uint64_t bct_totals_id(bct_item_type_t type, uint64_t key, uint64_t key2);
entry_t *bct_totals_find(const bct_totals_t *t, uint64_t id, uint32_t level, uint32_t group);
entry_t *bct_totals_entry(bct_totals_t *t, bct_time_t now, uint64_t id, uint32_t level,
			  uint32_t group);
void bct_totals_remove(bct_totals_t *t, uint32_t i);
part_t *bct_totals_part(entry_t *e, uint64_t from, uint32_t group, bool make);
void bct_totals_drop_part(entry_t *e, uint32_t i);
void bct_totals_sum(const entry_t *e, part_t *out);
bool bct_totals_differs(const part_t *now, const sent_t *before);
void bct_totals_encode(bct_time_t now, uint64_t id, uint32_t level, uint32_t group,
		       const part_t *value, peer_part *out);
void bct_totals_decode(bct_time_t now, const peer_part *p, uint32_t *level, uint32_t *group,
		       part_t *out);

/* totals_aggregator.c */
void bct_totals_homes(bct_totals_t *t);
uint64_t bct_totals_parent(const bct_totals_t *t, const entry_t *e, uint32_t *level,
			   uint32_t *group);

#endif
