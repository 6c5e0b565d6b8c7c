/*
 * routes.c - what follows from a new routing table.
 */
#include "gate/gate_int.h"

/* Announces to the picker the lanes of streaming routes to engines. */
static void expect_streams(bct_gate_t *g)
{
	const bct_gate_routes_t *t = g->routes;

	for (uint32_t i = 0; i < t->n_routes; i++) {
		const bct_gate_route_t *r = &t->routes[i];

		for (uint32_t j = 0; j < r->n_splits; j++) {
			const bct_gate_service_t *s = &t->services[r->splits[j].service];

			if (s->engine && r->kind == BCT_GATE_STREAM)
				bct_gate_pick_expect(&g->picker, s->key, r->target_gap_ms);
		}
	}
}

static void log_scaling_faults(const bct_gate_t *g)
{
	const bct_gate_routes_t *t = g->routes;

	for (uint32_t i = 0; i < t->n_services; i++) {
		const bct_gate_service_t *s = &t->services[i];

		if (s->scaling_fault)
			BCT_LOG(g->log, BCT_EV_SCALING_REFUSED, BCT_STR("service", s->name),
				BCT_U64("version", t->version), BCT_STR("why", s->scaling_fault));
	}
}

void bct_gate_routes_adopted(bct_gate_t *g)
{
	expect_streams(g);
	log_scaling_faults(g);
}
