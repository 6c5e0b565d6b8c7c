/*
 * gate_memory.h - bounds the bytes that a node buffers for callers and upstreams that read slowly.
 * Pure: no I/O and no clock.
 *
 * Each caller's connection has an account of the request bytes and the response bytes that are
 * buffered for it. The total decides what is done, in this order: request bodies that have not
 * begun wait; all bodies but the oldest wait, and new requests are refused; the response that has
 * been unread for longest is cut. The steps begin below the bound, as what the event loop reads in
 * one iteration is added before anything can be done.
 *
 * Callers that read nothing could hold a node at a step for long. So if others have been in want of
 * room for a while, responses that have been unread for as long are cut before the last step.
 *
 * What the kernel has received counts, too, while the node does not read it: callers may send
 * requests ahead, and are not read on until they have taken the answers before. If there is neither
 * an unread nor a kept response to cut, the connection on which most was sent ahead ends. What the
 * kernel holds of responses is bounded for each connection (gate/listen.c) and not counted.
 */
#ifndef BCT_POLICY_GATE_MEMORY_H
#define BCT_POLICY_GATE_MEMORY_H

#include "base/clock.h"
#include "base/list.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BCT_GATE_MEMORY_SHARE_PERMILLE 400 /* of the node's memory that buffers may hold */
/* Of that bound, in permille, at which each step begins. */
#define BCT_GATE_MEMORY_WAIT_PERMILLE 600
#define BCT_GATE_MEMORY_REFUSE_PERMILLE 750
#define BCT_GATE_MEMORY_CUT_PERMILLE 900
/* Bodies begin only while they all fit into this part of the bound, so that those which began can
 * end, and bodies that never end leave room for other requests; long ones into a smaller part. */
#define BCT_GATE_MEMORY_BODIES_PERMILLE 500
#define BCT_GATE_MEMORY_LONG_PERMILLE 400
#define BCT_GATE_MEMORY_LONG_BYTES (64 * 1024)
/* Cutting a connection with less unread output frees too little to be worth a lost response. */
#define BCT_GATE_MEMORY_CUT_MIN_BYTES (16 * 1024)
/* For which others are in want of room, and a response is unread, before it is cut for them. */
#define BCT_GATE_MEMORY_WANT_MS 1000

typedef enum bct_gate_memory_level {
	BCT_GATE_MEMORY_FREE = 0,
	BCT_GATE_MEMORY_WAIT,	/* bodies that have not begun are not read */
	BCT_GATE_MEMORY_REFUSE, /* only the oldest body is read, and new requests are refused */
	BCT_GATE_MEMORY_CUT,	/* no body is read, and responses are cut */
} bct_gate_memory_level_t;

typedef enum bct_gate_memory_kind {
	BCT_GATE_MEMORY_REQUEST = 0, /* input, and the body of the request */
	BCT_GATE_MEMORY_KEPT,	     /* of a response that is kept until it is complete */
	BCT_GATE_MEMORY_UNREAD,	     /* output that the caller has not read */
	BCT_GATE_MEMORY_AHEAD,	     /* received by the kernel behind what is being handled */
	BCT_GATE_MEMORY_KINDS,
} bct_gate_memory_kind_t;

/* What is buffered for one caller's connection. */
typedef struct bct_gate_memory_account {
	bct_list_t link;
	size_t bytes[BCT_GATE_MEMORY_KINDS];
	bct_time_t unread_since; /* when output was last added to an empty buffer */
	bct_time_t ahead_since;	 /* when something first waited behind what is being handled */
	uint64_t body;		 /* order in which bodies began; 0: no body is being read */
	size_t expected_bytes;	 /* of the body that comes; 0: not known */
} bct_gate_memory_account_t;

/* Of a node. Zeroed: there is no bound, and nothing is counted. */
typedef struct bct_gate_memory {
	uint64_t bound_bytes; /* 0: no bound */
	uint64_t total_bytes;
	uint64_t bodies;	 /* that began so far */
	uint64_t expected_bytes; /* of all bodies that are being read */
	bct_list_t accounts;
} bct_gate_memory_t;

/* bct_gate_memory_init(3): memory_bytes is that of the node; 0: no bound. */
void bct_gate_memory_init(bct_gate_memory_t *m, uint64_t memory_bytes);

/* bct_gate_memory_open(3), bct_gate_memory_close(3): an account begins empty; what it still holds
 * when it is closed no longer counts. Closing a zeroed account does nothing. */
void bct_gate_memory_open(bct_gate_memory_t *m, bct_gate_memory_account_t *a);
void bct_gate_memory_close(bct_gate_memory_t *m, bct_gate_memory_account_t *a);

/* bct_gate_memory_change(3): bytes were added to and removed from a buffer of the account. */
void bct_gate_memory_change(bct_gate_memory_t *m, bct_gate_memory_account_t *a, bct_time_t now,
			    bct_gate_memory_kind_t kind, size_t added_bytes, size_t removed_bytes);

/* bct_gate_memory_level(3): the step that the total calls for. */
bct_gate_memory_level_t bct_gate_memory_level(const bct_gate_memory_t *m);

/*
 * bct_gate_memory_expect(3): states how long the body is that comes, or may be; to be called before
 * bct_gate_memory_may_read_body(3).
 * bct_gate_memory_may_read_body(3): whether to go on reading a request's body now. One that may
 * begins with the first call that returns true, until bct_gate_memory_body_ended(3). One may begin
 * whatever its length if no other is being read.
 */
void bct_gate_memory_expect(bct_gate_memory_account_t *a, size_t bytes);
bool bct_gate_memory_may_read_body(bct_gate_memory_t *m, bct_gate_memory_account_t *a);
void bct_gate_memory_body_ended(bct_gate_memory_t *m, bct_gate_memory_account_t *a);

/*
 * bct_gate_memory_to_cut(3): the account whose connection to end now: the one whose output has been
 * unread for longest, or, if none has BCT_GATE_MEMORY_CUT_MIN_BYTES, the one with the largest
 * response that is still kept, or, without such a one, that with most sent ahead.
 *
 * wanted   a request has waited or been refused for lack of room for BCT_GATE_MEMORY_WANT_MS: cuts
 *          from BCT_GATE_MEMORY_WAIT on, but only what has been unread for as long
 * returns  NULL below BCT_GATE_MEMORY_CUT unless wanted, or if there is none
 */
bct_gate_memory_account_t *bct_gate_memory_to_cut(const bct_gate_memory_t *m, bct_time_t now,
						  bool wanted);

#endif
