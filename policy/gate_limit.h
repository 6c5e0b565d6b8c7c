/*
 * gate_limit.h - keeps the fleet within the request rate that an upstream names in its answers.
 * Pure: no I/O and no clock.
 *
 * The limit holds for all nodes together. A few nodes, its owners, which all nodes choose alike
 * from the live ones, each send an equal part of it; the others send nothing there. With few owners
 * each part is large enough to be used, and little unused credit can be spent at the same moment.
 *
 * What a node received itself and what peers report are ordered by the time of the answer. An
 * answer without a limit lifts it only if its request was sent after the limit had last been named.
 * Ages that nodes report are inexact; of two reports that are about as old, the one that lifts
 * counts, as the upstream's next answer names a limit that still holds.
 */
#ifndef BCT_POLICY_GATE_LIMIT_H
#define BCT_POLICY_GATE_LIMIT_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_GATE_LIMIT_ANNOUNCE_MS 2000 /* between two announcements of an owner */

/* What is known of the limit of one upstream. Zeroed: none has been named. */
typedef struct bct_gate_limit {
	bool named;		 /* it is in force */
	uint32_t mrps;		 /* of all nodes together, in requests per 1000 s */
	bct_time_t observed_at;	 /* latest answer, to any node, that decided the above; 0: none */
	bct_time_t confirmed_at; /* when this node last learned of such an answer */
	bool own;		 /* it was received by this node */
	bool owner;		 /* this node sends a part of it */
	uint32_t share_mrps;	 /* that part */
	int64_t credit_ureq;	 /* unused, in millionths of a request */
	bct_time_t credit_at;	 /* time up to which it has been added */
} bct_gate_limit_t;

/* The live nodes of the fleet that take requests. */
typedef struct bct_gate_limit_nodes {
	const uint64_t *incarnations;
	uint32_t n;
	uint64_t self;
	bool leaving; /* this node is: the others don't count on it */
} bct_gate_limit_nodes_t;

/* A limit as nodes report it to each other. */
typedef struct bct_gate_limit_report {
	bool named;
	uint32_t mrps;
	uint32_t age_ms; /* of the answer that it is known from */
} bct_gate_limit_report_t;

/*
 * bct_gate_limit_answered(3): processes an answer that this node received.
 *
 * sent_at  when its request was sent
 * named    whether it names a limit, mrps
 * returns  whether the limit changed
 */
bool bct_gate_limit_answered(bct_gate_limit_t *l, bct_time_t now, bct_time_t sent_at, bool named,
			     uint32_t mrps);

/*
 * bct_gate_limit_reported(3): processes a report of a peer.
 *
 * returns  whether it is news that other nodes may lack
 */
bool bct_gate_limit_reported(bct_gate_limit_t *l, bct_time_t now, const bct_gate_limit_report_t *r);

/*
 * bct_gate_limit_assign(3): computes this node's part. To be called after each change of the limit
 * or of the nodes, and periodically.
 *
 * upstream  key of the upstream
 */
void bct_gate_limit_assign(bct_gate_limit_t *l, bct_time_t now, uint64_t upstream,
			   const bct_gate_limit_nodes_t *nodes);

/* bct_gate_limit_suspend(3): this node has no part, nor credit left, until the next assignment. */
void bct_gate_limit_suspend(bct_gate_limit_t *l, bct_time_t now);

/*
 * bct_gate_limit_announces(3): whether this node is to tell the others what it knows, periodically.
 */
bool bct_gate_limit_announces(const bct_gate_limit_t *l, bct_time_t now);

/*
 * bct_gate_limit_wait_ms(3): returns the time until this node may send a request there; 0 if it may
 * now, UINT32_MAX if it sends none.
 */
uint32_t bct_gate_limit_wait_ms(bct_gate_limit_t *l, bct_time_t now);

/* bct_gate_limit_sent(3): a request was sent. */
void bct_gate_limit_sent(bct_gate_limit_t *l, bct_time_t now);

#endif
