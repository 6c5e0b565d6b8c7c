/*
 * gate_returns.h - callers that were refused for lack of capacity and told when to come back: books
 * time at the engines for them, and lets those that come back in time in before others. Pure: no
 * I/O and no clock. Design: docs/design/returning-callers.md.
 *
 * Each node books only its share of a part of what the engines of a service can do, so all nodes
 * together promise no more than there is. A caller for whom there is no room within the time that
 * it waits is promised nothing. A promise is kept under a digest of the request, so any node that
 * was told of it recognizes the caller; it can be used once, and not before its time.
 */
#ifndef BCT_POLICY_GATE_RETURNS_H
#define BCT_POLICY_GATE_RETURNS_H

#include "base/clock.h"
#include "base/map.h"
#include "policy/gate_refuse.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_GATE_RETURNS_BUCKETS 2048
#define BCT_GATE_RETURNS_IN_BUCKET 4 /* promises of which the digests fall into one bucket */

typedef struct bct_gate_promise {
	uint64_t digest; /* 0: free */
	bct_time_t due;
	bool used;
} bct_gate_promise_t;

typedef struct bct_gate_returns {
	bct_map_t services;	      /* service key: book_t of gate_returns.c */
	bct_gate_promise_t *promises; /* by bucket; NULL until the first one */
	bct_time_t latest_due;
} bct_gate_returns_t;

/* What a booking depends on. Times are in ms from now. */
typedef struct bct_gate_return_input {
	uint64_t service_key;
	uint32_t rank;	      /* 0: most urgent */
	uint32_t levels;      /* one more than the highest rank */
	uint32_t work_ms;     /* upstream time that it takes to the first byte */
	uint32_t earliest_ms; /* before, the engines have too much to do */
	uint32_t news_ms;     /* before, other nodes don't know of the promise */
	uint32_t latest_ms;   /* the caller doesn't wait for longer */
	uint32_t engines;     /* of the service, that accept requests */
	uint32_t nodes;	      /* live ones that book, including this one */
} bct_gate_return_input_t;

void bct_gate_returns_init(bct_gate_returns_t *r);
void bct_gate_returns_free(bct_gate_returns_t *r);

/*
 * bct_gate_returns_offered(3): counts a request that comes for the first time. While callers bring
 * more than the engines can do for longer than a wave, nothing is promised.
 */
void bct_gate_returns_offered(bct_gate_returns_t *r, bct_time_t now,
			      const bct_gate_return_input_t *in);

/*
 * bct_gate_returns_book(3): a time at which a refused caller should come back.
 *
 * digest   of the request; a caller that holds a promise is told its time again, and one that has
 *          used its promise gets no other
 * returns  ms from now; 0: there is no room in time, or memory is short, and nothing is promised
 */
uint32_t bct_gate_returns_book(bct_gate_returns_t *r, bct_time_t now, uint64_t digest,
			       const bct_gate_return_input_t *in);

/* bct_gate_returns_learn(3): another node's promise, due in due_ms. */
void bct_gate_returns_learn(bct_gate_returns_t *r, bct_time_t now, uint64_t digest,
			    uint32_t due_ms);

/* bct_gate_returns_any(3): whether any promise may be due; if not, take needn't be called. */
bool bct_gate_returns_any(const bct_gate_returns_t *r, bct_time_t now);

/* bct_gate_returns_take(3): whether the caller was promised room now; uses the promise up. */
bool bct_gate_returns_take(bct_gate_returns_t *r, bct_time_t now, uint64_t digest);

/*
 * bct_gate_returns_reserved_ms(3): the part of the next within_ms of the engines' time that is
 * promised to requests as urgent as this one or more. Others wait for so much longer.
 */
uint32_t bct_gate_returns_reserved_ms(const bct_gate_returns_t *r, bct_time_t now,
				      const bct_gate_return_input_t *in, uint32_t within_ms);

#endif
