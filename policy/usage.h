/*
 * usage.h - how many requests of each client account began to run, by window of time, over all
 * nodes. Pure: no I/O and no clock. Design: docs/design/duties-and-load.md.
 */
#ifndef BCT_POLICY_USAGE_H
#define BCT_POLICY_USAGE_H

#include "base/clock.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BCT_USAGE_WINDOWS 12	   /* kept */
#define BCT_USAGE_ACCOUNT_BYTES 64 /* of a name, with the NUL */

typedef struct bct_usage_count {
	const char *account;
	uint32_t requests;
} bct_usage_count_t;

/* What is reported of one window; ordered by account. */
typedef struct bct_usage_report {
	uint64_t window; /* number of windows since the start of 1970 */
	bct_usage_count_t *counts;
	uint32_t n;
} bct_usage_report_t;

typedef struct bct_usage bct_usage_t;

/*
 * bct_usage_new(3): the counters of a node; incarnation is this node's.
 *
 * returns  0 or -BCT_ENOMEM
 */
int bct_usage_new(uint64_t incarnation, bct_usage_t **out);
void bct_usage_free(bct_usage_t *u);

/* bct_usage_began(3): a request began to run on this node. account NULL or empty: not counted. */
void bct_usage_began(bct_usage_t *u, uint64_t window, const char *account);

/*
 * bct_usage_merge(3): another node's counter, which only grows.
 *
 * returns  whether it is news
 */
bool bct_usage_merge(bct_usage_t *u, uint64_t incarnation, uint64_t window, const char *account,
		     uint32_t requests);

/* One counter, as exchanged between nodes. */
typedef struct bct_usage_item {
	uint64_t incarnation;
	uint64_t window;
	const char *account;
	uint32_t requests;
} bct_usage_item_t;

/*
 * bct_usage_next_item(3): the counters of this node that changed since `changes` (0: all), oldest
 * window first. changes grows with each change of a counter; bct_usage_changes(3) is the latest.
 *
 * pos      0 at first, then the function's to advance
 * returns  false: there are no more
 */
bool bct_usage_next_item(const bct_usage_t *u, uint64_t changes, uint32_t *pos,
			 bct_usage_item_t *out);
uint64_t bct_usage_changes(const bct_usage_t *u);

/*
 * bct_usage_next_other(3): the counters of other nodes in a window, by node.
 *
 * pos      0 at first, then the function's to advance
 * returns  false: there are no more
 */
bool bct_usage_next_other(const bct_usage_t *u, uint64_t window, uint64_t *pos,
			  bct_usage_item_t *out);

/* bct_usage_expire(3): drops windows before the first one that is kept, now being in `window`. */
void bct_usage_expire(bct_usage_t *u, uint64_t window);

/*
 * bct_usage_decide(3): the counts of a window by account, over all nodes and the checkpoint.
 * bct_usage_report_free(3) frees it; the names in it are part of it.
 *
 * returns  0 or -BCT_ENOMEM
 */
int bct_usage_decide(const bct_usage_t *u, uint64_t window, bct_usage_report_t *out);
void bct_usage_report_free(bct_usage_report_t *r);

/*
 * What the record keeps of a window that is not yet decided: the sums by account, and the total of
 * each incarnation in them.
 */
typedef struct bct_usage_share {
	uint64_t incarnation;
	uint32_t requests;
} bct_usage_share_t;

typedef struct bct_usage_open {
	bct_usage_report_t sums;
	bct_usage_share_t *shares;
	uint32_t n_shares;
} bct_usage_open_t;

/*
 * bct_usage_checkpoint(3): the state of a window for the record; bct_usage_open_free(3) frees it.
 *
 * returns  0 or -BCT_ENOMEM
 */
int bct_usage_checkpoint(const bct_usage_t *u, uint64_t window, bct_usage_open_t *out);
void bct_usage_open_free(bct_usage_open_t *o);

/*
 * bct_usage_restore(3): takes over a predecessor's checkpoint of a window. Incarnations of which
 * this node has counters itself count by those; the others by their part of the checkpoint. Copies
 * what it needs; an older one of the same window is replaced.
 *
 * returns  0 or -BCT_ENOMEM
 */
int bct_usage_restore(bct_usage_t *u, const bct_usage_open_t *o);

#endif
