/*
 * usage_report.c - what is reported of a window, and the checkpoint of one that is still open.
 *
 * A checkpoint holds the sums by account and the total of each incarnation, not which account had
 * how many requests on which incarnation. Of an incarnation of which this node's counters hold less
 * than the checkpoint, mostly one that ended before this node received counters, the missing part
 * is taken from what remains of the checkpoint's sums without the counters that are known. This is
 * exact if the known counters are those of the checkpoint, as they are once the window has ended.
 */
#include "base/err.h"
#include "base/mem.h"
#include "policy/usage_int.h"

#include <stdlib.h>
#include <string.h>

static uint32_t known_total(const bct_usage_window_t *w, uint64_t incarnation)
{
	const bct_usage_row_t *r = bct_map_get(&w->rows, incarnation);

	return r ? r->total : 0;
}

/*
 * Subtracts from the checkpoint's sums what is known of its incarnations. A counter that has grown
 * since then is scaled down to the total it had.
 *
 * returns  the requests of the checkpoint that are missing in this node's counters
 */
static double subtract_known(const bct_usage_window_t *w, double *rest)
{
	double missing = 0;

	for (uint32_t i = 0; i < w->n_shares; i++) {
		const bct_usage_share_t *s = &w->shares[i];
		const bct_usage_row_t *r = bct_map_get(&w->rows, s->incarnation);
		uint32_t known = known_total(w, s->incarnation);
		double scale = known > s->requests ? (double)s->requests / known : 1;

		if (known < s->requests)
			missing += s->requests - known;
		for (uint32_t a = 0; r && a < r->cap && a < w->n_restored; a++)
			rest[a] -= r->requests[a] * scale;
	}
	return missing;
}

static void copy_restored(const bct_usage_window_t *w, double *out)
{
	for (uint32_t a = 0; a < w->n_restored; a++)
		out[a] = w->restored[a];
}

static double positive_sum(const double *v, uint32_t n)
{
	double sum = 0;

	for (uint32_t i = 0; i < n; i++)
		sum += v[i] > 0 ? v[i] : 0;
	return sum;
}

/*
 * Adds the missing part of the checkpoint to the sums; in proportion to the checkpoint's sums if
 * nothing remains of them, as counters that are known have grown for other accounts since then.
 * Rounding errors are carried over to the next account, so that the total is kept.
 */
static void add_missing(const bct_usage_window_t *w, double *rest, uint32_t *sums)
{
	double missing, total, carried = 0;

	copy_restored(w, rest);
	missing = subtract_known(w, rest);
	total = positive_sum(rest, w->n_restored);
	if (total <= 0) {
		copy_restored(w, rest);
		total = positive_sum(rest, w->n_restored);
	}
	for (uint32_t a = 0; total > 0 && a < w->n_restored; a++) {
		double part = rest[a] > 0 ? rest[a] * missing / total + carried : carried;
		uint32_t whole = part > 0 ? (uint32_t)(part + 0.5) : 0;

		carried = part - whole;
		sums[a] += whole;
	}
}

/* Sums by account of the window. returns NULL if out of memory. */
static uint32_t *sum_up(const bct_usage_window_t *w)
{
	uint32_t *sums = bct_alloc((w->n_accounts + 1) * sizeof(*sums));
	double *rest = bct_alloc((w->n_accounts + 1) * sizeof(*rest));
	const bct_usage_row_t *r;
	uint32_t pos = 0;

	while (sums && rest && (r = bct_map_next(&w->rows, &pos)) != NULL) {
		for (uint32_t a = 0; a < r->cap && a < w->n_accounts; a++)
			sums[a] += r->requests[a];
	}
	if (sums && rest && w->n_restored)
		add_missing(w, rest, sums);
	if (!rest) {
		bct_free(sums);
		sums = NULL;
	}
	bct_free(rest);
	return sums;
}

static int compare_accounts(const void *a, const void *b)
{
	const bct_usage_count_t *x = a, *y = b;

	return strcmp(x->account, y->account);
}

int bct_usage_decide(const bct_usage_t *u, uint64_t window, bct_usage_report_t *out)
{
	const bct_usage_window_t *w = bct_usage_find(u, window);
	uint32_t n = w ? w->n_accounts : 0, *sums;
	char *names;

	*out = (bct_usage_report_t){ .window = window };
	if (!n)
		return 0;
	sums = sum_up(w);
	/* The names follow the counts. */
	out->counts = bct_alloc(n * (sizeof(*out->counts) + BCT_USAGE_ACCOUNT_BYTES));
	if (!sums || !out->counts) {
		bct_free(sums);
		bct_usage_report_free(out);
		return -BCT_ENOMEM;
	}
	names = (char *)(out->counts + n);
	memcpy(names, w->accounts, n * BCT_USAGE_ACCOUNT_BYTES);
	for (uint32_t a = 0; a < n; a++) {
		if (sums[a])
			out->counts[out->n++] =
				(bct_usage_count_t){ .account = names + a * BCT_USAGE_ACCOUNT_BYTES,
						     .requests = sums[a] };
	}
	qsort(out->counts, out->n, sizeof(*out->counts), compare_accounts);
	bct_free(sums);
	return 0;
}

void bct_usage_report_free(bct_usage_report_t *r)
{
	bct_free(r->counts);
	*r = (bct_usage_report_t){ 0 };
}

/* The total of each incarnation that the sums contain. */
static uint32_t list_shares(const bct_usage_window_t *w, bct_usage_share_t *out)
{
	const bct_usage_row_t *r;
	uint32_t pos = 0, n = 0;

	for (uint32_t i = 0; i < w->n_shares; i++) {
		uint32_t known = known_total(w, w->shares[i].incarnation);

		out[n] = w->shares[i];
		if (known > out[n].requests)
			out[n].requests = known;
		n++;
	}
	while ((r = bct_map_next(&w->rows, &pos)) != NULL) {
		bool listed = !r->total;

		for (uint32_t i = 0; !listed && i < w->n_shares; i++)
			listed = w->shares[i].incarnation == r->incarnation;
		if (!listed)
			out[n++] = (bct_usage_share_t){ r->incarnation, r->total };
	}
	return n;
}

int bct_usage_checkpoint(const bct_usage_t *u, uint64_t window, bct_usage_open_t *out)
{
	const bct_usage_window_t *w = bct_usage_find(u, window);
	int rc;

	*out = (bct_usage_open_t){ 0 };
	rc = bct_usage_decide(u, window, &out->sums);
	if (rc || !w)
		return rc;
	out->shares = bct_alloc((w->n_shares + w->rows.n + 1) * sizeof(*out->shares));
	if (!out->shares) {
		bct_usage_open_free(out);
		return -BCT_ENOMEM;
	}
	out->n_shares = list_shares(w, out->shares);
	return 0;
}

void bct_usage_open_free(bct_usage_open_t *o)
{
	bct_usage_report_free(&o->sums);
	bct_free(o->shares);
	*o = (bct_usage_open_t){ 0 };
}

/* Looks up all accounts of the checkpoint first, so that a failure changes no sums. */
static int restore_sums(bct_usage_window_t *w, const bct_usage_report_t *sums)
{
	uint32_t *restored;

	for (uint32_t i = 0; i < sums->n; i++) {
		if (bct_usage_account(w, sums->counts[i].account) < 0)
			return -BCT_ENOMEM;
	}
	restored = bct_alloc((w->n_accounts + 1) * sizeof(*restored));
	if (!restored)
		return -BCT_ENOMEM;
	for (uint32_t i = 0; i < sums->n; i++)
		restored[bct_usage_account(w, sums->counts[i].account)] = sums->counts[i].requests;
	bct_free(w->restored);
	w->restored = restored;
	w->n_restored = w->n_accounts;
	return 0;
}

int bct_usage_restore(bct_usage_t *u, const bct_usage_open_t *o)
{
	bct_usage_window_t *w = bct_usage_get(u, o->sums.window);
	bct_usage_share_t *shares;

	if (!w)
		return 0;
	shares = bct_alloc((o->n_shares + 1) * sizeof(*shares));
	if (!shares || restore_sums(w, &o->sums)) {
		bct_free(shares);
		return -BCT_ENOMEM;
	}
	if (o->n_shares)
		memcpy(shares, o->shares, o->n_shares * sizeof(*shares));
	bct_free(w->shares);
	w->shares = shares;
	w->n_shares = o->n_shares;
	return 0;
}
