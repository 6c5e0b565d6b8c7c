/*
 * usage_int.h - internals shared by usage.c (counters) and usage_report.c (sums, checkpoints).
 */
#ifndef BCT_POLICY_USAGE_INT_H
#define BCT_POLICY_USAGE_INT_H

#include "base/map.h"
#include "policy/usage.h"

/*
 * Windows that fit at once: those that are kept and, as clocks of nodes differ, some that have not
 * begun here.
 */
#define BCT_USAGE_SLOTS 16
#define BCT_USAGE_AHEAD (BCT_USAGE_SLOTS - BCT_USAGE_WINDOWS)

/* The counters of one node in one window. */
typedef struct bct_usage_row {
	uint64_t incarnation;
	uint32_t *requests; /* by account of the window */
	uint32_t cap;
	uint32_t total;
} bct_usage_row_t;

typedef struct bct_usage_window {
	uint64_t number;
	bool used;
	char (*accounts)[BCT_USAGE_ACCOUNT_BYTES];
	uint32_t n_accounts;
	uint32_t cap;	     /* of accounts and changed */
	uint64_t *changed;   /* by account: the change that gave this node's counter its value */
	bct_map_t by_name;   /* hash of the name -> index of the account plus 1 */
	bct_map_t rows;	     /* incarnation -> bct_usage_row_t */
	uint32_t *restored;  /* by account: sums of the checkpoint that was taken over */
	uint32_t n_restored; /* accounts of restored */
	bct_usage_share_t *shares; /* of that checkpoint */
	uint32_t n_shares;
} bct_usage_window_t;

struct bct_usage {
	uint64_t incarnation;
	uint64_t changes;
	bool has_current;
	uint64_t current;			     /* as of the last expiry */
	bct_usage_window_t windows[BCT_USAGE_SLOTS]; /* by number modulo the size */
};

/* bct_usage_find(3): a window that has counters; NULL: it has none. */
const bct_usage_window_t *bct_usage_find(const bct_usage_t *u, uint64_t window);

/* bct_usage_get(3): as bct_usage_find(3), created if missing; NULL: it is not kept. */
bct_usage_window_t *bct_usage_get(bct_usage_t *u, uint64_t window);

/* bct_usage_account(3): index of an account, added if missing. returns -1 if that is impossible. */
int32_t bct_usage_account(bct_usage_window_t *w, const char *account);

#endif
