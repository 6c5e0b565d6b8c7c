/*
 * duty_scale.c - see duty_scale.h.
 */
#include "gate/duty_scale.h"
#include "base/err.h"
#include "gate/registry_sync.h"
#include "gate/share.h"

#include <string.h>

#define LEFT_GRACE_MS 2000 /* from when an engine was to leave until its registry entry is gone */

/* Returns n_domains for a failure domain that the configuration doesn't name. */
static uint32_t domain_of(const bct_autoscale_conf_t *conf, const char *zone)
{
	uint32_t d = 0;

	while (d < conf->n_domains && strcmp(conf->domains[d].name, zone))
		d++;
	return d;
}

/* A spot engine that drains and states when it will be gone. An entry may outlive its engine. */
static bool is_reclaimed(const bct_gate_upstream_t *u, bct_time_t now)
{
	return u->entry.spot && u->presence == BCT_GATE_DRAINING && u->entry.leaves_ms &&
	       now - u->since < u->entry.leaves_ms + LEFT_GRACE_MS;
}

/* Differences of reports may be negative for a moment. */
static uint32_t running(const bct_gate_upstream_t *u)
{
	int64_t n = (int64_t)u->running + u->peer_running;

	return n > 0 ? (uint32_t)n : 0;
}

/* Engines by failure domain, and the requests that run on any engine of the service. */
static void count_engines(const bct_gate_t *g, const bct_gate_service_t *s, bct_time_t now,
			  bct_autoscale_input_t *out, bct_gate_demand_input_t *demand)
{
	const bct_list_t *el;

	bct_list_for_each(el, &g->upstreams.all) {
		const bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);
		uint32_t d = domain_of(&s->scaling, u->entry.zone);

		if (u->service_key != s->key || u->presence == BCT_GATE_GONE)
			continue;
		demand->running += running(u);
		if (!demand->slots)
			demand->slots = u->entry.slots;
		if (d == s->scaling.n_domains)
			continue;
		if (bct_gate_upstream_accepts(u, s->key))
			out->domains[d].present[u->entry.spot ? BCT_AUTOSCALE_SPOT
							      : BCT_AUTOSCALE_STANDARD]++;
		else if (is_reclaimed(u, now))
			out->domains[d].spot_reclaimed = true;
	}
}

/* The sum of peers' work may be negative for a moment, or after a lane was added late. */
static uint64_t lanes_work(bct_gate_lanes_t *l, bct_time_t now)
{
	uint64_t work = 0;

	/* Without requests to this node, nothing else updates its averages. */
	bct_gate_lanes_update(l, now, l->engines);
	for (uint32_t i = 0; i < l->n; i++) {
		int32_t peers = (int32_t)l->lanes[i].peer_work;

		work += (uint64_t)l->lanes[i].work + (peers > 0 ? (uint64_t)peers : 0);
	}
	return work;
}

/* While the registry or the other nodes are not heard, engines or demand are not known. */
static bct_time_t age_ms(const bct_gate_t *g, bct_time_t now)
{
	bct_time_t registry =
		g->registry_sync ? bct_registry_sync_age_ms(g->registry_sync, now) : BCT_TIME_NEVER;
	bct_time_t share = bct_share_load_age_ms(g->share, now);

	return registry > share ? registry : share;
}

int bct_duty_scale_input(bct_gate_t *g, const bct_gate_service_t *s, bct_time_t now,
			 bct_autoscale_input_t *out)
{
	bct_gate_demand_input_t demand = { .slots = s->slots, .nodes = g->nodes ? g->nodes : 1 };
	bct_gate_lanes_t *l = s->engine ? bct_gate_pick_lanes(&g->picker, s->key) : NULL;

	memset(out, 0, sizeof(*out));
	if (!s->scaling.n_domains)
		return -BCT_ENOT_FOUND;
	count_engines(g, s, now, out, &demand);
	if (l)
		demand.work_ms_per_s = lanes_work(l, now);
	out->demand_permille = bct_gate_demand_engines(&g->demand, now, s->key, &demand);
	out->demand_age_ms = age_ms(g, now);
	out->refused_permille = bct_gate_demand_refused_permille(&g->demand, now, s->key);
	return 0;
}
