/*
 * totals_int.h - shared by totals.c (roles, sums, sending) and totals_part.c (tables of parts).
 */
#ifndef BCT_COORD_TOTALS_INT_H
#define BCT_COORD_TOTALS_INT_H

#include "coord/totals.h"

#define DEFAULT_BYTES_PER_S 3000
#define BURST_MS 2000
#define TICK_MS 200
#define SEND_MIN_MS 1000  /* between two sends of one part */
#define TOTAL_MIN_MS 500  /* between two sends of one total */
#define REFRESH_MS 5000	  /* a part that did not change is sent again */
#define EXPIRE_MS 16000	  /* a part that is not refreshed is dropped */
#define HOME_HOLD_MS 2500 /* a new home waits for the parts to arrive */
#define CHANGE_SHIFT 4	  /* a change above 1/16 is sent before the refresh */
#define PART_BYTES 40
#define PARTS_PER_DATAGRAM 26
#define DATAGRAM_BYTES 112 /* RPC header, envelope, MAC, UDP and IP */

/* Levels: a part starts at a leaf; a middle home and the root add up. */
enum { LEVEL_LEAF = 0, LEVEL_MIDDLE = 1, LEVEL_ROOT = 2 };
#define NO_GROUP 0xffffu

typedef struct item_id {
	uint64_t key;
	uint64_t key2;
	uint32_t type;
} item_id_t;

/* What one child said. At the root a middle home's child is its group, whoever speaks for it. */
typedef struct part {
	uint64_t from;
	uint32_t group;
	uint32_t nodes;
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
	item_id_t id;
	uint32_t level;
	uint32_t group; /* of a middle home */
	part_t *parts;	/* a leaf has one: its own */
	uint32_t n;
	uint32_t cap;
	bool published; /* leaf: in the last publish */
	bool changed;	/* parts came since the last sum */
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
	uint64_t *homes; /* live and not leaving */
	uint32_t n_homes;
	uint64_t roots[BCT_TOTALS_BUCKETS];
	bct_time_t fleet_changed;
	out_part_t *out;
	uint32_t n_out;
	uint32_t cap_out;
	int64_t tokens_bytes;
	bct_time_t tokens_at;
	bct_time_t next_tick;
	uint32_t xid;
	bct_totals_counters_t counters;
};

/* totals_part.c */
entry_t *bct_totals_find(const bct_totals_t *t, const item_id_t *id, uint32_t level,
			 uint32_t group);
entry_t *bct_totals_entry(bct_totals_t *t, bct_time_t now, const item_id_t *id, uint32_t level,
			  uint32_t group);
void bct_totals_remove(bct_totals_t *t, uint32_t i);
part_t *bct_totals_part(entry_t *e, uint64_t from, uint32_t group, bool make);
void bct_totals_drop_part(entry_t *e, uint32_t i);
void bct_totals_sum(const entry_t *e, part_t *out);
bool bct_totals_differs(const part_t *now, const sent_t *before);

#endif
