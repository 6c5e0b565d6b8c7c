/*
 * autoscale_remove.c - which engines are removed, and how many at once: streams on those that leave
 * have to end or go on elsewhere.
 */
#include "policy/autoscale_int.h"

#define REMOVE_KNOWN_MS 5000 /* the demand must have been known for this long */
/* In this time a peak may not have been seen: demand counts double for removals. */
#define EARLY_MS 10000
#define EARLY_FACTOR 2
#define REMOVE_WINDOW_MS 5000
#define REMOVE_SHARE 5 /* one of this many engines may be removed in that time */

/* Engines that may be removed now. */
static uint32_t removals_left(bct_autoscale_t *a, bct_time_t now, const bct_autoscale_view_t *v)
{
	uint32_t share, recent = 0;

	/* The fewest present within the window count: new ones have few streams yet. */
	bct_autoscale_window_set(&a->present, now, bct_autoscale_set_total(&v->present));
	share = bct_autoscale_window_lowest(&a->present, now, REMOVE_WINDOW_MS / BCT_MS_PER_S) /
		REMOVE_SHARE;
	for (uint32_t i = 0; i < BCT_AUTOSCALE_REMOVALS && i < a->n_removals; i++)
		if (now - a->removed_at[i] < REMOVE_WINDOW_MS)
			recent += a->removed[i];
	if (!share)
		share = 1;
	return share > recent ? share - recent : 0;
}

/* Whether the engines present without one of the kind still serve the demand. */
static bool dispensable(const bct_autoscale_t *a, const bct_autoscale_view_t *v, uint32_t d,
			uint32_t k, uint32_t demand)
{
	bct_autoscale_set_t left = v->present;

	if (!left.n[d][k] || bct_autoscale_set_domain(&left, d) <= a->conf.minimum)
		return false;
	left.n[d][k]--;
	return bct_autoscale_set_total(&left) >=
		       bct_autoscale_scaled(demand, BCT_AUTOSCALE_MARGIN_PERMILLE) &&
	       bct_autoscale_set_survive(&left) >=
		       bct_autoscale_scaled(demand, BCT_AUTOSCALE_SURVIVE_PERMILLE);
}

/* Removes the dearest engine that the ideal lacks; of equal ones, where there are most. */
static bool remove_one(bct_autoscale_t *a, bct_autoscale_view_t *v,
		       const bct_autoscale_set_t *ideal, uint32_t demand)
{
	double best = -1;
	uint32_t best_d = 0, best_k = 0, best_n = 0;

	for (uint32_t i = 0; i < a->conf.n_domains * BCT_AUTOSCALE_KINDS; i++) {
		uint32_t d = i / BCT_AUTOSCALE_KINDS, k = i % BCT_AUTOSCALE_KINDS;
		uint32_t n = bct_autoscale_set_domain(&v->present, d);
		double price = a->conf.domains[d].price *
			       (k == BCT_AUTOSCALE_SPOT ? a->conf.spot_price : 1);

		if (v->counted.n[d][k] <= ideal->n[d][k] || price < best ||
		    (price == best && n <= best_n) || !dispensable(a, v, d, k, demand))
			continue;
		best = price;
		best_d = d;
		best_k = k;
		best_n = n;
	}
	if (best < 0)
		return false;
	v->present.n[best_d][best_k]--;
	v->counted.n[best_d][best_k]--;
	a->wanted.n[best_d][best_k]--;
	return true;
}

bool bct_autoscale_may_remove(const bct_autoscale_t *a, bct_time_t now)
{
	if (a->known_since == BCT_TIME_NEVER || now - a->known_since < REMOVE_KNOWN_MS)
		return false;
	for (uint32_t d = 0; d < a->conf.n_domains; d++)
		if (now < a->domains[d].reclaimed_until)
			return false;
	return true;
}

bool bct_autoscale_remove(bct_autoscale_t *a, bct_time_t now, bct_autoscale_view_t *v,
			  const bct_autoscale_set_t *ideal)
{
	bool early = now - a->known_since < EARLY_MS;
	uint32_t left = removals_left(a, now, v), n = 0;

	while (n < left && remove_one(a, v, ideal, early ? v->floor * EARLY_FACTOR : v->floor))
		n++;
	if (n) {
		a->removed[a->n_removals % BCT_AUTOSCALE_REMOVALS] = n;
		a->removed_at[a->n_removals++ % BCT_AUTOSCALE_REMOVALS] = now;
	}
	return n > 0;
}
