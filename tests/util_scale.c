/*
 * util_scale.c - see util_scale.h.
 */
#include "tests/util_scale.h"

#include <criterion/criterion.h>

#include <stdio.h>
#include <string.h>

#define REFUSED_MEMORY_MS 5000

void scale_world_init(scale_world_t *w, uint32_t minimum, uint32_t maximum, uint32_t standard)
{
	memset(w, 0, sizeof(*w));
	w->conf.minimum = minimum;
	w->conf.maximum = maximum;
	w->conf.boot_ms = SCALE_BOOT_S * BCT_MS_PER_S;
	w->conf.spot_price = 0.15;
	w->conf.n_domains = 3;
	for (uint32_t d = 0; d < w->conf.n_domains; d++) {
		snprintf(w->conf.domains[d].name, sizeof(w->conf.domains[d].name), "zone-%u", d);
		w->conf.domains[d].price = 1;
		w->present[d][BCT_AUTOSCALE_STANDARD] = standard;
		w->desired[d][BCT_AUTOSCALE_STANDARD] = standard;
	}
	w->now = SCALE_START_MS;
	cr_assert_eq(bct_autoscale_new(&w->conf, &w->a), 0);
}

void scale_world_free(scale_world_t *w)
{
	bct_autoscale_free(w->a);
}

uint32_t scale_world_spot(const scale_world_t *w)
{
	uint32_t n = 0;

	for (uint32_t d = 0; d < w->conf.n_domains; d++)
		n += w->present[d][BCT_AUTOSCALE_SPOT];
	return n;
}

uint32_t scale_world_present(const scale_world_t *w)
{
	uint32_t n = scale_world_spot(w);

	for (uint32_t d = 0; d < w->conf.n_domains; d++)
		n += w->present[d][BCT_AUTOSCALE_STANDARD];
	return n;
}

uint32_t scale_world_wanted(const scale_world_t *w, uint32_t domain)
{
	return w->plan.wanted[domain][BCT_AUTOSCALE_STANDARD] +
	       w->plan.wanted[domain][BCT_AUTOSCALE_SPOT];
}

uint32_t scale_world_survive(const scale_world_t *w)
{
	uint32_t most = 0;

	for (uint32_t d = 0; d < w->conf.n_domains; d++)
		if (w->present[d][BCT_AUTOSCALE_SPOT] > most)
			most = w->present[d][BCT_AUTOSCALE_SPOT];
	return scale_world_present(w) - most;
}

void scale_world_reclaim(scale_world_t *w, uint32_t domain)
{
	w->desired[domain][BCT_AUTOSCALE_SPOT] = 0;
	w->present[domain][BCT_AUTOSCALE_SPOT] = 0;
	memset(w->booting[domain][BCT_AUTOSCALE_SPOT], 0,
	       sizeof(w->booting[domain][BCT_AUTOSCALE_SPOT]));
	w->leaving_until[domain] = w->now + SCALE_RECLAIM_S * BCT_MS_PER_S;
	w->no_spot_until[domain] = w->now + SCALE_NO_SPOT_S * BCT_MS_PER_S;
}

/* Executes an order as the platform does: the desired count starts or stops engines. */
static void order(scale_world_t *w, uint32_t d, uint32_t k, uint32_t count)
{
	uint32_t *have = &w->desired[d][k];

	if (w->down || (count > *have && k == BCT_AUTOSCALE_STANDARD && w->no_standard[d]))
		return;
	if (count > *have && k == BCT_AUTOSCALE_SPOT && w->now < w->no_spot_until[d]) {
		w->refused_until[d] = w->now + REFUSED_MEMORY_MS;
		return;
	}
	if (count > *have)
		w->booting[d][k][SCALE_BOOT_S - 1] += count - *have;
	while (count < *have && w->present[d][k]) {
		w->present[d][k]--;
		w->removed++;
		(*have)--;
	}
	*have = count;
}

static void pass_second(scale_world_t *w)
{
	for (uint32_t d = 0; d < w->conf.n_domains; d++) {
		for (uint32_t k = 0; k < BCT_AUTOSCALE_KINDS; k++) {
			uint32_t *booting = w->booting[d][k], paid = w->present[d][k];
			double price = w->conf.domains[d].price *
				       (k == BCT_AUTOSCALE_SPOT ? w->conf.spot_price : 1);

			for (uint32_t i = 0; i < SCALE_BOOT_S; i++)
				paid += booting[i];
			w->cost += paid * price;
			w->present[d][k] += booting[0];
			memmove(booting, booting + 1, (SCALE_BOOT_S - 1) * sizeof(*booting));
			booting[SCALE_BOOT_S - 1] = 0;
		}
	}
	w->now += BCT_MS_PER_S;
}

void scale_world_second(scale_world_t *w, uint32_t demand_permille)
{
	bct_autoscale_input_t in = {
		.demand_permille = demand_permille,
		.demand_age_ms = w->demand_age_ms,
		.refused_permille = w->refused_permille,
	};

	for (uint32_t d = 0; d < w->conf.n_domains; d++) {
		memcpy(in.domains[d].present, w->present[d], sizeof(w->present[d]));
		in.domains[d].spot_refused = w->now < w->refused_until[d];
		in.domains[d].spot_reclaimed = w->now < w->leaving_until[d];
	}
	bct_autoscale_plan(w->a, w->now, &in, &w->plan);
	w->present_before = scale_world_present(w);
	w->removed = 0;
	for (uint32_t d = 0; d < w->conf.n_domains; d++) {
		cr_assert_leq(scale_world_wanted(w, d), w->conf.maximum, "above the maximum");
		for (uint32_t k = 0; k < BCT_AUTOSCALE_KINDS; k++)
			order(w, d, k, w->plan.wanted[d][k]);
	}
	pass_second(w);
}

void scale_world_run(scale_world_t *w, uint32_t seconds, uint32_t demand_permille)
{
	while (seconds--)
		scale_world_second(w, demand_permille);
}
