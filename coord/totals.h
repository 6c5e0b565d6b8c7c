/*
 * totals.h - sums over the fleet, as a pure state machine.
 *
 * Each node publishes its own SUM items. A home, chosen by rendezvous hashing over the live
 * members, adds up the parts of each item and returns the total to the nodes that published it.
 * In a fleet above BCT_TOTALS_FLAT_MAX nodes the parts go through a middle home in the node's group
 * of about BCT_TOTALS_GROUP_NODES, so that no home of a hot item hears of it from every node. Items
 * are spread over the homes, no node gets more than its share of them, and one datagram carries all
 * that goes to one node.
 *
 * A part is sent when it changed by more than 1/8, and else at each refresh; it is dropped when
 * its node dies, withdraws it, or falls silent. Values travel with a precision of 1/2,048 (exact
 * below 1,024), once for each level. A total's age is that of its oldest part. While a home is lost
 * the age grows, and the total is handed out again with that age. When a home moves, the new one
 * keeps its totals back until the parts had time to arrive.
 *
 * XXX: in fleets above 56 nodes in which every value moves, homes reach their byte budget, and a
 * change of a total takes up to half a minute; see docs/CAPACITY.md.
 */
#ifndef BCT_COORD_TOTALS_H
#define BCT_COORD_TOTALS_H

#include "coord/member.h"
#include "coord/wire.h"
#include "policy/sched.h"

#define BCT_TOTALS_GROUP_NODES 16 /* nodes that share their middle homes */
#define BCT_TOTALS_FLAT_MAX 32	  /* up to this many nodes there is no middle level */
#define BCT_TOTALS_ITEMS_MAX 8192

typedef struct bct_totals bct_totals_t;

/* bct_item_is_sum(3): whether items of a type are added up; the others spread by gossip. */
bool bct_item_is_sum(bct_item_type_t type);

typedef struct bct_totals_counters {
	uint64_t partials_sent;
	uint64_t partials_received;
	uint64_t totals_received;
	uint64_t held_back;	   /* ticks on which the byte budget was spent */
	uint64_t expired;	   /* parts that fell silent */
	uint64_t aggregator_moves; /* own items whose home changed */
	uint64_t dropped;	   /* malformed, or the table was full */
} bct_totals_counters_t;

typedef struct bct_totals_opts {
	const bct_member_table_t *members;
	bct_outbox_t *outbox;
	uint32_t max_bytes_per_s; /* sent; 0: the default of 4,000 */
	void (*total)(void *ctx, const bct_total_t *total);
	void *ctx;
} bct_totals_opts_t;

/* bct_totals_new(3): returns 0, -BCT_EINVAL or -BCT_ENOMEM. */
int bct_totals_new(const bct_totals_opts_t *opts, bct_time_t now, bct_totals_t **out);
void bct_totals_free(bct_totals_t *t);

/*
 * bct_totals_publish(3): this node's items, all of them; SUM items that were there the last time
 * and are missing now are withdrawn. Items of other kinds are skipped.
 *
 * returns  0, -BCT_EFULL or -BCT_ENOMEM
 */
int bct_totals_publish(bct_totals_t *t, bct_time_t now, const bct_item_t *items, uint32_t n);

/* bct_totals_members_changed(3): the member table changed: a member joined, left, died or came
 * back. */
void bct_totals_members_changed(bct_totals_t *t, bct_time_t now);

void bct_totals_receive(bct_totals_t *t, bct_time_t now, uint64_t from, const peer_parts *msg);

/* bct_totals_tick(3): send what is due. returns when to call it again at the latest. */
bct_time_t bct_totals_tick(bct_totals_t *t, bct_time_t now);

/*
 * bct_totals_get(3): the last total known of one of this node's own items, with its age now.
 *
 * returns  0 or -BCT_ENOT_FOUND
 */
int bct_totals_get(const bct_totals_t *t, bct_time_t now, bct_item_type_t type, uint64_t key,
		   uint64_t key2, bct_total_t *out);

/* bct_totals_bytes(3): memory held. */
uint64_t bct_totals_bytes(const bct_totals_t *t);
void bct_totals_counters(const bct_totals_t *t, bct_totals_counters_t *out);

#endif
