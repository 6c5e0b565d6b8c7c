/*
 * usage.c - counters of requests by window, account and node.
 */
#include "base/err.h"
#include "base/hash.h"
#include "base/mem.h"
#include "policy/usage_int.h"

#include <string.h>

#define ACCOUNTS_MAX 4096 /* in one window; more than ten times the design size */
#define ROWS_MAX 2048	  /* likewise, as each restart of a node adds one */
#define ACCOUNTS_STEP 32
#define POS_BITS 16 /* of the position of bct_usage_next_item(3) that hold the account */

int bct_usage_new(uint64_t incarnation, bct_usage_t **out)
{
	bct_usage_t *u = bct_alloc(sizeof(*u));

	if (!u)
		return -BCT_ENOMEM;
	u->incarnation = incarnation;
	*out = u;
	return 0;
}

static void free_window(bct_usage_window_t *w)
{
	bct_usage_row_t *r;
	uint32_t pos = 0;

	while ((r = bct_map_next(&w->rows, &pos)) != NULL) {
		bct_free(r->requests);
		bct_free(r);
	}
	bct_map_free(&w->rows);
	bct_map_free(&w->by_name);
	bct_free(w->accounts);
	bct_free(w->changed);
	bct_free(w->restored);
	bct_free(w->shares);
	*w = (bct_usage_window_t){ 0 };
}

void bct_usage_free(bct_usage_t *u)
{
	if (!u)
		return;
	for (uint32_t i = 0; i < BCT_USAGE_SLOTS; i++)
		free_window(&u->windows[i]);
	bct_free(u);
}

const bct_usage_window_t *bct_usage_find(const bct_usage_t *u, uint64_t window)
{
	const bct_usage_window_t *w = &u->windows[window % BCT_USAGE_SLOTS];

	return w->used && w->number == window ? w : NULL;
}

static bool is_kept(const bct_usage_t *u, uint64_t window)
{
	return !u->has_current ||
	       (window + BCT_USAGE_WINDOWS > u->current && window <= u->current + BCT_USAGE_AHEAD);
}

bct_usage_window_t *bct_usage_get(bct_usage_t *u, uint64_t window)
{
	bct_usage_window_t *w = &u->windows[window % BCT_USAGE_SLOTS];

	if (!is_kept(u, window) || (w->used && w->number > window))
		return NULL;
	if (w->used && w->number < window)
		free_window(w);
	w->used = true;
	w->number = window;
	return w;
}

/* Makes room for n elements. returns the array, or NULL with the old one unchanged. */
static void *grow(void *old, uint32_t n_old, uint32_t n, size_t size_bytes)
{
	char *p = bct_realloc(old, n * size_bytes);

	if (p)
		memset(p + n_old * size_bytes, 0, (n - n_old) * size_bytes);
	return p;
}

static bool reserve_account(bct_usage_window_t *w)
{
	uint32_t n = w->cap + ACCOUNTS_STEP;
	uint64_t *changed;
	void *accounts;

	if (w->n_accounts < w->cap)
		return true;
	if (n > ACCOUNTS_MAX)
		return false;
	changed = grow(w->changed, w->cap, n, sizeof(*changed));
	if (!changed)
		return false;
	w->changed = changed;
	accounts = grow(w->accounts, w->cap, n, sizeof(*w->accounts));
	if (!accounts)
		return false;
	w->accounts = accounts;
	w->cap = n;
	return true;
}

int32_t bct_usage_account(bct_usage_window_t *w, const char *account)
{
	size_t len = strlen(account);
	uint64_t key = bct_hash(account, len);
	uintptr_t i;

	if (!len || len >= BCT_USAGE_ACCOUNT_BYTES)
		return -1;
	/* Another account with the same hash takes the next key. */
	while ((i = (uintptr_t)bct_map_get(&w->by_name, key)) != 0) {
		if (!strcmp(w->accounts[i - 1], account))
			return (int32_t)(i - 1);
		key++;
	}
	if (!reserve_account(w) ||
	    bct_map_put(&w->by_name, key, (void *)(uintptr_t)(w->n_accounts + 1)))
		return -1;
	memcpy(w->accounts[w->n_accounts], account, len + 1);
	return (int32_t)w->n_accounts++;
}

static bct_usage_row_t *get_row(bct_usage_window_t *w, uint64_t incarnation)
{
	bct_usage_row_t *r = bct_map_get(&w->rows, incarnation);

	if (r || w->rows.n >= ROWS_MAX)
		return r;
	r = bct_alloc(sizeof(*r));
	if (!r)
		return NULL;
	r->incarnation = incarnation;
	if (!bct_map_put(&w->rows, incarnation, r))
		return r;
	bct_free(r);
	return NULL;
}

/* Finds or creates a counter. returns NULL if it can't be kept. */
static uint32_t *get_counter(bct_usage_window_t *w, bct_usage_row_t *r, int32_t account)
{
	uint32_t *requests;

	if (!r || account < 0)
		return NULL;
	if ((uint32_t)account >= r->cap) {
		requests = grow(r->requests, r->cap, w->cap, sizeof(*requests));
		if (!requests)
			return NULL;
		r->requests = requests;
		r->cap = w->cap;
	}
	return &r->requests[account];
}

void bct_usage_began(bct_usage_t *u, uint64_t window, const char *account)
{
	bct_usage_window_t *w;
	bct_usage_row_t *r;
	uint32_t *counter;
	int32_t i;

	if (!account || !*account)
		return;
	w = bct_usage_get(u, window);
	if (!w)
		return;
	i = bct_usage_account(w, account);
	r = get_row(w, u->incarnation);
	counter = get_counter(w, r, i);
	if (!counter)
		return;
	++*counter;
	r->total++;
	w->changed[i] = ++u->changes;
}

bool bct_usage_merge(bct_usage_t *u, uint64_t incarnation, uint64_t window, const char *account,
		     uint32_t requests)
{
	bct_usage_window_t *w;
	bct_usage_row_t *r;
	uint32_t *counter;

	if (incarnation == u->incarnation || !requests)
		return false;
	w = bct_usage_get(u, window);
	if (!w)
		return false;
	r = get_row(w, incarnation);
	counter = get_counter(w, r, bct_usage_account(w, account));
	if (!counter || *counter >= requests)
		return false;
	r->total += requests - *counter;
	*counter = requests;
	return true;
}

uint64_t bct_usage_changes(const bct_usage_t *u)
{
	return u->changes;
}

/* The nth oldest window, from 0. */
static const bct_usage_window_t *nth_window(const bct_usage_t *u, uint32_t n)
{
	for (uint32_t i = 0; i < BCT_USAGE_SLOTS; i++) {
		const bct_usage_window_t *w = &u->windows[i];
		uint32_t older = 0;

		for (uint32_t j = 0; w->used && j < BCT_USAGE_SLOTS; j++)
			older += u->windows[j].used && u->windows[j].number < w->number;
		if (w->used && older == n)
			return w;
	}
	return NULL;
}

bool bct_usage_next_item(const bct_usage_t *u, uint64_t changes, uint32_t *pos,
			 bct_usage_item_t *out)
{
	uint32_t nth = *pos >> POS_BITS, i = *pos & ((1U << POS_BITS) - 1);
	const bct_usage_window_t *w;

	for (; (w = nth_window(u, nth)) != NULL; nth++, i = 0) {
		const bct_usage_row_t *r = bct_map_get(&w->rows, u->incarnation);

		for (; r && i < r->cap && i < w->n_accounts; i++) {
			if (!r->requests[i] || w->changed[i] <= changes)
				continue;
			*out = (bct_usage_item_t){ .incarnation = u->incarnation,
						   .window = w->number,
						   .account = w->accounts[i],
						   .requests = r->requests[i] };
			*pos = nth << POS_BITS | (i + 1);
			return true;
		}
	}
	*pos = nth << POS_BITS;
	return false;
}

/* pos: in the upper half that of the row, in the lower half the account */
bool bct_usage_next_other(const bct_usage_t *u, uint64_t window, uint64_t *pos,
			  bct_usage_item_t *out)
{
	const bct_usage_window_t *w = bct_usage_find(u, window);
	uint32_t at = (uint32_t)(*pos >> 32), i = (uint32_t)*pos, next = at;
	const bct_usage_row_t *r;

	for (; w && (r = bct_map_next(&w->rows, &next)) != NULL; at = next, i = 0) {
		for (; r->incarnation != u->incarnation && i < r->cap && i < w->n_accounts; i++) {
			if (!r->requests[i])
				continue;
			*out = (bct_usage_item_t){ .incarnation = r->incarnation,
						   .window = window,
						   .account = w->accounts[i],
						   .requests = r->requests[i] };
			*pos = (uint64_t)at << 32 | (i + 1);
			return true;
		}
	}
	*pos = (uint64_t)at << 32;
	return false;
}

void bct_usage_expire(bct_usage_t *u, uint64_t window)
{
	u->has_current = true;
	u->current = window;
	for (uint32_t i = 0; i < BCT_USAGE_SLOTS; i++) {
		if (u->windows[i].used && !is_kept(u, u->windows[i].number))
			free_window(&u->windows[i]);
	}
}
