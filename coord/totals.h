/*
 * totals.h - sums over the fleet, as a state machine without I/O of its own.
 *
 * Each node publishes its own SUM items. Items are hashed into buckets, and rendezvous hashing over
 * the live members assigns an aggregator to each bucket. The aggregator adds up the partial sums of
 * an item and returns the total to the nodes that published it. In a fleet of more than
 * BCT_TOTALS_FLAT_MAX nodes there are two levels: nodes send to an aggregator in their own group of
 * about BCT_TOTALS_GROUP_NODES nodes, and the group aggregators send to the root aggregator of the
 * item. That keeps the aggregator of a busy item from receiving a message from every node. No node
 * gets more than its share of the buckets, and all entries for one node travel in one datagram
 * where they fit.
 *
 * A partial sum is sent when it changed by more than 1/8, and otherwise at each refresh. It is
 * dropped when its node dies, withdraws it, or has not refreshed it in time. Values are encoded
 * with a precision of 1/2,048 (exact below 1,024); each level rounds once. The age of a total is
 * the age of the oldest value in it. While an aggregator is unreachable, the age grows, and the
 * last total is reported again with that age. When an aggregator moves, the new one sends no totals
 * until the partial sums have had time to arrive.
 *
 * XXX: in fleets above 56 nodes in which every value changes, aggregators reach their byte budget,
 * and a change of a total takes up to half a minute to arrive; see docs/CAPACITY.md.
 */
#ifndef BCT_COORD_TOTALS_H
#define BCT_COORD_TOTALS_H

#include "coord/member.h"
#include "coord/wire.h"
#include "policy/sched.h"

#define BCT_TOTALS_GROUP_NODES 16 /* nodes with the same group aggregators */
#define BCT_TOTALS_FLAT_MAX 32	  /* largest fleet without groups */
#define BCT_TOTALS_ITEMS_MAX 8192 /* entries of all levels in one node */

typedef struct bct_totals bct_totals_t;

/* bct_item_is_sum(3): whether items of a type are summed; other types are sent by gossip. */
bool bct_item_is_sum(bct_item_type_t type);

typedef struct bct_totals_counters {
	uint64_t partials_sent; /* includes totals sent to other nodes */
	uint64_t partials_received;
	uint64_t totals_received;
	uint64_t held_back;	   /* ticks that skipped entries: byte budget spent */
	uint64_t expired;	   /* partial sums that were not refreshed in time */
	uint64_t aggregator_moves; /* local entries that moved to another aggregator */
	uint64_t dropped;	   /* partial sums refused: bad level, table full, no memory */
} bct_totals_counters_t;

typedef struct bct_totals_opts {
	const bct_member_table_t *members;
	bct_outbox_t *outbox;
	uint32_t max_bytes_per_s; /* limit for sending; 0: the default of 4,000 */
	/*
	 * Reports a total of an item that this node publishes: each one received, and the last one
	 * again with a greater age while none arrives.
	 */
	void (*total)(void *ctx, const bct_total_t *total);
	void *ctx;
} bct_totals_opts_t;

/*
 * bct_totals_new(3): create the state of one node. The member table and the outbox must outlive it.
 *
 * returns  0, -BCT_EINVAL (no members, outbox or callback) or -BCT_ENOMEM
 */
int bct_totals_new(const bct_totals_opts_t *opts, bct_time_t now, bct_totals_t **out);
void bct_totals_free(bct_totals_t *t);

/*
 * bct_totals_publish(3): set the values of all local items. A SUM item of the previous call that is
 * missing from this one is withdrawn. Items of other types are skipped.
 *
 * returns  0, -BCT_EFULL (BCT_TOTALS_ITEMS_MAX entries exist) or -BCT_ENOMEM
 */
int bct_totals_publish(bct_totals_t *t, bct_time_t now, const bct_item_t *items, uint32_t n);

/*
 * bct_totals_members_changed(3): reassign the aggregators and drop the partial sums of dead nodes.
 * Call it after a member joined, left, died or came back.
 */
void bct_totals_members_changed(bct_totals_t *t, bct_time_t now);

/*
 * bct_totals_receive(3): handle a message of partial sums or totals.
 *
 * from  incarnation of the sender
 */
void bct_totals_receive(bct_totals_t *t, bct_time_t now, uint64_t from, const peer_parts *msg);

/*
 * bct_totals_tick(3): send what is due and expire old partial sums. A call before the next tick is
 * due does nothing.
 *
 * returns  time of the next tick
 */
bct_time_t bct_totals_tick(bct_totals_t *t, bct_time_t now);

/*
 * bct_totals_get(3): read the last received total of an item that this node publishes, with its
 * age at `now`.
 *
 * returns  0, or -BCT_ENOT_FOUND when the item is not published or no total has arrived
 */
int bct_totals_get(const bct_totals_t *t, bct_time_t now, bct_item_type_t type, uint64_t key,
		   uint64_t key2, bct_total_t *out);

/* bct_totals_bytes(3): memory in use, in bytes. */
uint64_t bct_totals_bytes(const bct_totals_t *t);
void bct_totals_counters(const bct_totals_t *t, bct_totals_counters_t *out);

#endif
