/*
 * test_autoscale_model.c - a simulated service under the decisions of policy/autoscale.h, compared
 * with a fixed fleet and with one that knows the demand in advance: price of the engine seconds,
 * and requests that no engine served in time. Prints the table of docs/CAPACITY.md.
 */
#include "policy/autoscale_fit.h"
#include "tests/util_scale.h"

#include <criterion/criterion.h>

#include <math.h>
#include <stdio.h>
#include <string.h>

#define SECONDS 120
#define PER_ENGINE                                                                                \
	4	     /* requests per second; an engine has as many slots, and a request takes 1 s \
		      */
#define PATIENCE_S 2 /* a request that has waited longer is lost */
#define DEMAND 10000
#define FIXED 23 /* engines in each failure domain */
#define DOMAINS 3

typedef struct load {
	const char *name;
	uint32_t (*demand)(uint32_t s);
	bool reclaims;
	bool no_spot;
} load_t;

typedef struct outcome {
	double cost;
	uint32_t requests;
	uint32_t lost;
} outcome_t;

static uint32_t quiet(uint32_t s)
{
	(void)s;
	return DEMAND;
}

static uint32_t waves(uint32_t s)
{
	double a = sin(2 * M_PI * s / 11), b = sin(2 * M_PI * s / 13);

	return (uint32_t)(12000 * (1 + 0.25 * (a + b)));
}

static uint32_t burst(uint32_t s)
{
	return s >= 60 && s < 80 ? 3 * DEMAND : DEMAND;
}

static uint32_t growth(uint32_t s)
{
	return s < 40 ? DEMAND : (uint32_t)(DEMAND * pow(1.02, s - 40));
}

static uint32_t night(uint32_t s)
{
	double depth = 0.45 * (1 + cos(2 * M_PI * s / SECONDS));

	return (uint32_t)(DEMAND * (0.1 + depth));
}

/* Requests waiting, by the seconds that they have waited. */
typedef struct waiting {
	uint32_t n[PATIENCE_S + 1];
} waiting_t;

/* Serves the oldest requests first; returns those lost. */
static uint32_t serve(waiting_t *q, uint32_t arriving, uint32_t capacity)
{
	uint32_t lost;

	q->n[0] = arriving;
	for (int age = PATIENCE_S; age >= 0; age--) {
		uint32_t served = q->n[age] < capacity ? q->n[age] : capacity;

		q->n[age] -= served;
		capacity -= served;
	}
	lost = q->n[PATIENCE_S];
	memmove(q->n + 1, q->n, PATIENCE_S * sizeof(q->n[0]));
	return lost;
}

static void count(outcome_t *o, waiting_t *q, const load_t *l, uint32_t s, uint32_t engines)
{
	uint32_t arriving = l->demand(s) * PER_ENGINE / 1000;
	uint32_t lost = serve(q, arriving, engines * PER_ENGINE);

	o->requests += arriving;
	o->lost += lost;
}

static outcome_t fixed(const load_t *l)
{
	outcome_t o = { .cost = DOMAINS * FIXED * SECONDS };
	waiting_t q = { { 0 } };

	for (uint32_t s = 0; s < SECONDS; s++)
		count(&o, &q, l, s, DOMAINS * FIXED);
	return o;
}

/* Has exactly the engines that each second needs, with the rule on the loss of spot engines. */
static outcome_t clairvoyant(const load_t *l, const bct_autoscale_conf_t *conf)
{
	outcome_t o = { 0 };
	waiting_t q = { { 0 } };

	for (uint32_t s = 0; s < SECONDS; s++) {
		bct_autoscale_fit_input_t in = { .total = (l->demand(s) + 999) / 1000 };
		bct_autoscale_set_t set;

		in.survive = in.total;
		for (uint32_t d = 0; d < DOMAINS; d++) {
			in.maximum[d] = conf->maximum;
			in.available.n[d][BCT_AUTOSCALE_STANDARD] = conf->maximum;
			in.available.n[d][BCT_AUTOSCALE_SPOT] = l->no_spot ? 0 : conf->maximum;
		}
		bct_autoscale_fit(conf, &in, &set);
		for (uint32_t d = 0; d < DOMAINS; d++)
			o.cost += set.n[d][BCT_AUTOSCALE_STANDARD] +
				  set.n[d][BCT_AUTOSCALE_SPOT] * conf->spot_price;
		count(&o, &q, l, s, bct_autoscale_set_total(&set));
	}
	return o;
}

/* The demand is known a second late. */
static outcome_t scaled(const load_t *l, scale_world_t *w)
{
	outcome_t o = { 0 };
	waiting_t q = { { 0 } };
	uint32_t since_reclaim = SECONDS;

	for (uint32_t d = 0; l->no_spot && d < DOMAINS; d++)
		w->no_spot_until[d] = BCT_TIME_NEVER;
	for (uint32_t s = 0; s < SECONDS; s++) {
		uint32_t lost = o.lost, arriving = o.requests;

		if (l->reclaims && s >= 50 && s % 25 == 0) {
			scale_world_reclaim(w, s / 25 % DOMAINS);
			since_reclaim = 0;
		}
		count(&o, &q, l, s, scale_world_present(w));
		if (since_reclaim++ == SCALE_BOOT_S + 2)
			cr_assert_geq(scale_world_present(w) * 1000, l->demand(s),
				      "%s: second %u, after a reclaim", l->name, s);
		for (uint32_t d = 0; d < DOMAINS && s; d++)
			cr_assert_geq(scale_world_wanted(w, d), w->conf.minimum, "%s", l->name);
		if (o.requests > arriving)
			w->refused_permille = (o.lost - lost) * 1000 / (o.requests - arriving);
		scale_world_second(w, s ? l->demand(s - 1) : 0);
	}
	o.cost = w->cost;
	return o;
}

static const load_t loads[] = {
	{ .name = "quiet", .demand = quiet },
	{ .name = "waves of 11 and 13 s", .demand = waves },
	{ .name = "burst to 3 times, 20 s", .demand = burst },
	{ .name = "growth of 2% a second", .demand = growth },
	{ .name = "night", .demand = night },
	{ .name = "waves, reclaim every 25 s", .demand = waves, .reclaims = true },
	{ .name = "waves, no spot engines", .demand = waves, .no_spot = true },
};

static void print_row(const load_t *l, const outcome_t *f, const outcome_t *c, const outcome_t *o)
{
	printf("| %s | %u | %.0f, %u | %.0f, %u | %.0f, %u |\n", l->name, o->requests, f->cost,
	       f->lost, c->cost, c->lost, o->cost, o->lost);
}

/* Failures guarded against: an autoscaler that costs about as much as a fixed fleet, or that saves
 * at the expense of callers. */
Test(autoscale_model, cost_and_lost_requests)
{
	printf("| load | requests | fixed: cost, lost | clairvoyant | autoscale |\n"
	       "|---|---|---|---|---|\n");
	for (size_t i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
		const load_t *l = &loads[i];
		scale_world_t w;
		outcome_t f, c, o;

		scale_world_init(&w, 1, FIXED, FIXED);
		f = fixed(l);
		c = clairvoyant(l, &w.conf);
		o = scaled(l, &w);
		print_row(l, &f, &c, &o);
		cr_assert_leq(o.cost, f.cost / 2, "%s: half of the fixed fleet", l->name);
		/* Without engines that were ordered ahead, a burst finds those of the margin and
		 * waits for boot_s. */
		cr_assert_leq(o.lost, l->demand == burst ? o.requests / 50 : 0, "%s: %u lost",
			      l->name, o.lost);
		scale_world_free(&w);
	}
}

/* Failure guarded against: one demand that is well served and others that are not. */
Test(autoscale_model, demand_covered_at_any_depth_and_size)
{
	for (uint32_t size = 1; size <= 200; size += size < 20 ? 3 : 30) {
		scale_world_t w;

		scale_world_init(&w, 1, 200, size);
		for (uint32_t s = 0; s < SECONDS; s++) {
			uint32_t demand = waves(s) / 12 * size;

			cr_assert_geq(scale_world_present(&w) * 1000, demand, "size %u, second %u",
				      size, s);
			scale_world_second(&w, demand);
		}
		scale_world_free(&w);
	}
}
