/*
 * autoscale_fit.c - tries each limit on the spot engines of one failure domain. For a limit, the
 * number of engines needed is fixed, and the cheapest ones are added one by one.
 */
#include "policy/autoscale_fit.h"

#include <string.h>

#define PRESENT_PRICE 0.9 /* of the price, for an engine that is there already */
/* Limits that one pass tries. Two passes keep a decision on 770 engines below 5 ms. */
#define LIMITS_TRIED 24

typedef struct solution {
	bct_autoscale_set_t set;
	uint32_t lacks; /* engines that the maximum does not allow */
	double cost;
} solution_t;

uint32_t bct_autoscale_set_domain(const bct_autoscale_set_t *s, uint32_t domain)
{
	return s->n[domain][BCT_AUTOSCALE_STANDARD] + s->n[domain][BCT_AUTOSCALE_SPOT];
}

uint32_t bct_autoscale_set_total(const bct_autoscale_set_t *s)
{
	uint32_t total = 0;

	for (uint32_t d = 0; d < BCT_AUTOSCALE_DOMAINS; d++)
		total += bct_autoscale_set_domain(s, d);
	return total;
}

static uint32_t most_spot(const bct_autoscale_set_t *s)
{
	uint32_t most = 0;

	for (uint32_t d = 0; d < BCT_AUTOSCALE_DOMAINS; d++)
		if (s->n[d][BCT_AUTOSCALE_SPOT] > most)
			most = s->n[d][BCT_AUTOSCALE_SPOT];
	return most;
}

uint32_t bct_autoscale_set_survive(const bct_autoscale_set_t *s)
{
	return bct_autoscale_set_total(s) - most_spot(s);
}

/* The price of one more engine. */
static double next_price(const bct_autoscale_conf_t *conf, const bct_autoscale_fit_input_t *in,
			 const bct_autoscale_set_t *s, uint32_t d, uint32_t k)
{
	double price = conf->domains[d].price * (k == BCT_AUTOSCALE_SPOT ? conf->spot_price : 1);

	return s->n[d][k] < in->now.n[d][k] ? price * PRESENT_PRICE : price;
}

static bool allowed(const bct_autoscale_fit_input_t *in, const bct_autoscale_set_t *s, uint32_t d,
		    uint32_t k, uint32_t limit)
{
	if (bct_autoscale_set_domain(s, d) >= in->maximum[d])
		return false;
	return k != BCT_AUTOSCALE_SPOT || (s->n[d][k] < limit && s->n[d][k] < in->spot_maximum[d]);
}

/*
 * Adds the cheapest engine to the solution; of equal ones, in the failure domain with the fewest.
 *
 * only     the failure domain, or BCT_AUTOSCALE_DOMAINS for any
 * returns  false if none is allowed
 */
static bool add_engine(const bct_autoscale_conf_t *conf, const bct_autoscale_fit_input_t *in,
		       solution_t *s, uint32_t limit, uint32_t only)
{
	double best = 0;
	uint32_t best_d = 0, best_k = 0, best_n = 0;
	bool found = false;

	for (uint32_t i = 0; i < conf->n_domains * BCT_AUTOSCALE_KINDS; i++) {
		uint32_t d = i / BCT_AUTOSCALE_KINDS, k = i % BCT_AUTOSCALE_KINDS;
		uint32_t n = bct_autoscale_set_domain(&s->set, d);
		double price;

		if ((only != BCT_AUTOSCALE_DOMAINS && d != only) ||
		    !allowed(in, &s->set, d, k, limit))
			continue;
		price = next_price(conf, in, &s->set, d, k);
		if (!found || price < best || (price == best && n < best_n)) {
			found = true;
			best = price;
			best_d = d;
			best_k = k;
			best_n = n;
		}
	}
	if (found) {
		s->set.n[best_d][best_k]++;
		s->cost += best;
	}
	return found;
}

/* The cheapest engines with at most limit spot engines in a failure domain. */
static void solve(const bct_autoscale_conf_t *conf, const bct_autoscale_fit_input_t *in,
		  uint32_t limit, solution_t *s)
{
	uint32_t needed = in->total > in->survive + limit ? in->total : in->survive + limit;
	uint32_t total, survive;

	memset(s, 0, sizeof(*s));
	s->set = in->least;
	for (uint32_t d = 0; d < conf->n_domains; d++)
		while (bct_autoscale_set_domain(&s->set, d) < conf->minimum &&
		       add_engine(conf, in, s, limit, d))
			;
	for (total = bct_autoscale_set_total(&s->set); total < needed; total++)
		if (!add_engine(conf, in, s, limit, BCT_AUTOSCALE_DOMAINS))
			break;
	survive = bct_autoscale_set_survive(&s->set);
	s->lacks = (total < in->total ? in->total - total : 0) +
		   (survive < in->survive ? in->survive - survive : 0);
}

static void try_limits(const bct_autoscale_conf_t *conf, const bct_autoscale_fit_input_t *in,
		       uint32_t from, uint32_t to, uint32_t step, solution_t *best,
		       uint32_t *best_limit)
{
	for (uint32_t limit = from; limit <= to; limit += step) {
		solution_t s;

		solve(conf, in, limit, &s);
		if (s.lacks > best->lacks || (s.lacks == best->lacks && s.cost >= best->cost))
			continue;
		*best = s;
		*best_limit = limit;
	}
}

void bct_autoscale_fit(const bct_autoscale_conf_t *conf, const bct_autoscale_fit_input_t *in,
		       bct_autoscale_set_t *out)
{
	/* With more spot engines in one domain than must survive their loss, all others are
	 * needed nevertheless. */
	uint32_t from = most_spot(&in->least), to = in->survive, step, best_limit = 0;
	solution_t best;

	if (to < conf->minimum)
		to = conf->minimum;
	if (to > conf->maximum)
		to = conf->maximum;
	if (to < from)
		to = from;
	step = (to - from) / LIMITS_TRIED + 1;
	best_limit = from;
	solve(conf, in, from, &best);
	try_limits(conf, in, from + step, to, step, &best, &best_limit);
	if (step > 1) {
		uint32_t low = best_limit - from >= step ? best_limit - step + 1 : from;
		uint32_t high = best_limit + step - 1 < to ? best_limit + step - 1 : to;

		try_limits(conf, in, low, high, step / LIMITS_TRIED + 1, &best, &best_limit);
	}
	*out = best.set;
}
