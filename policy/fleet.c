/*
 * fleet.c - builds the items that this node publishes and applies the fleet totals that come back.
 */
#include "policy/sched_int.h"

#define FLEET_GRANTED_MS 2000 /* younger granted requests do not count as waiting */

typedef struct writer {
	bct_item_t *out;
	uint32_t n;
	uint32_t max;
} writer_t;

static bct_item_t *writer_add(writer_t *w, bct_item_type_t type, uint64_t key, uint64_t key2)
{
	bct_item_t *it;

	if (w->n >= w->max)
		return NULL;
	it = &w->out[w->n++];
	*it = (bct_item_t){ .type = type, .key = key, .key2 = key2 };
	return it;
}

static void publish_accounts(bct_core_t *c, bct_time_t now, writer_t *w)
{
	uint32_t pos = 0;
	bct_acct_t *a;

	while ((a = bct_map_next(&c->accounts, &pos))) {
		bct_item_t *it;

		if (bct_limit_idle(&a->limit))
			continue;
		it = writer_add(w, BCT_ITEM_ACCOUNT, a->key, 0);
		if (it)
			bct_limit_publish(&a->limit, now, it->v);
	}
}

/*
 * Requests of tier i + 1 that were granted by the tier's floor and arrived more than
 * FLEET_GRANTED_MS ago. Younger ones are about to be dispatched, so they are not published as
 * waiting.
 */
static uint32_t granted_waiting(const bct_target_t *t, uint32_t i, bct_time_t now)
{
	const bct_list_t *el;
	uint32_t n = 0;

	if (!t->tiers[i].n_granted)
		return 0;
	bct_list_for_each(el, &t->granted) {
		const bct_sreq_t *r = bct_container_of(el, bct_sreq_t, line);

		n += r->tier == i + 1 && now - r->desc.arrived > FLEET_GRANTED_MS;
	}
	return n;
}

/* A tier that has become idle is published once more, with zeros. */
static void publish_tier(bct_time_t now, writer_t *w, bct_target_t *t, uint32_t i)
{
	bct_tier_t *tier = &t->tiers[i];
	const bct_queue_item_t *oldest = bct_queue_oldest(&tier->queue);
	bool was_published = tier->published_queued || tier->published_running;
	bct_item_t *it;

	uint32_t granted = granted_waiting(t, i, now);

	if (!tier->queue.n && !tier->n_held && !granted && !tier->n_running && !was_published &&
	    !bct_shed_overloaded(tier, now))
		return;
	it = writer_add(w, BCT_ITEM_TIER, t->key, i + 1);
	if (!it)
		return;
	tier->published_queued_before = tier->published_queued;
	it->v[0] = tier->published_queued = tier->queue.n + tier->n_held + granted;
	it->v[1] = tier->published_running = tier->n_running;
	it->v[2] = oldest ? now - oldest->arrived : 0;
	it->v[3] = bct_shed_overloaded(tier, now);
}

static void publish_targets(bct_core_t *c, bct_time_t now, writer_t *w)
{
	uint32_t pos = 0, i;
	bct_target_t *t;

	while ((t = bct_map_next(&c->targets, &pos))) {
		for (i = 0; i < BCT_TIERS; i++)
			publish_tier(now, w, t, i);
		bct_shed_level(c, now, t);
	}
}

static void publish_upstreams(bct_core_t *c, writer_t *w)
{
	for (uint32_t i = 0; i < c->n_index; i++) {
		bct_up_t *u = c->by_index[i];
		bct_item_t *it;

		if (!bct_load_is_shared(&u->load))
			continue;
		it = writer_add(w, BCT_ITEM_UPSTREAM, u->key, 0);
		if (!it)
			return;
		it->v[0] = u->load.published = u->load.local;
		it->v[1] = u->load.prefill_tokens;
	}
}

uint32_t bct_fleet_publish(bct_core_t *c, bct_time_t now, bct_item_t *out, uint32_t max)
{
	writer_t w = { out, 0, max };
	uint32_t pos = 0;
	uint64_t digest;
	bct_item_t *it;
	int64_t v[BCT_ITEM_VALUES];

	/* What protects upstreams and limits comes first, in case out cannot hold all items. */
	while (bct_suspect_publish(&c->suspects, now, &pos, &digest, v)) {
		it = writer_add(&w, BCT_ITEM_SUSPECT, digest, 0);
		for (uint32_t i = 0; it && i < BCT_ITEM_VALUES; i++)
			it->v[i] = v[i];
	}
	it = writer_add(&w, BCT_ITEM_RETRY, 0, 0);
	if (it)
		bct_budget_publish(&c->budget, now, it->v);
	publish_accounts(c, now, &w);
	publish_targets(c, now, &w);
	publish_upstreams(c, &w);
	return w.n;
}

/*
 * Returns the fleet's demand at a tier (requests waiting and running) and stores this node's demand
 * in *local. Without a recent total both are 0.
 */
static double tier_demand(const bct_tier_t *tier, bct_time_t now, double *local)
{
	double total = (double)(tier->total.queued + tier->total.running);

	*local = (double)(tier->published_queued + tier->published_running);
	if (tier->total.at == BCT_TIME_NEVER || now - tier->total.at > BCT_TOTAL_MAX_AGE_MS)
		return *local = 0;
	return total < *local ? *local : total;
}

/* Slots reserved by a tier's floor: at least one, at most the demand. */
static double floor_slots(const bct_target_t *t, const bct_tier_t *tier, double demand)
{
	double slots = t->slots * tier->floor_permille / 1000.0;

	if (slots < 1)
		slots = 1;
	return slots < demand ? slots : demand;
}

/*
 * This node's share of the capacity of a target. Every tier gets its floor; the remaining slots go
 * to the fleet's demand from the highest tier down. The slots of a tier are divided among the nodes
 * in proportion to their demand, unused slots evenly. The shares of all nodes add up to 1.
 */
static double target_share(const bct_core_t *c, bct_time_t now, const bct_target_t *t)
{
	double remaining = t->slots, local_slots = 0, reserved[BCT_TIERS], demand[BCT_TIERS],
	       local_demand[BCT_TIERS];
	uint32_t i;

	for (i = 0; i < BCT_TIERS; i++) {
		demand[i] = tier_demand(&t->tiers[i], now, &local_demand[i]);
		reserved[i] = floor_slots(t, &t->tiers[i], demand[i]);
		remaining -= reserved[i];
	}
	for (i = 0; i < BCT_TIERS; i++) {
		double extra = demand[i] - reserved[i];

		if (extra > remaining)
			extra = remaining > 0 ? remaining : 0;
		remaining -= extra;
		if (demand[i] > 0)
			local_slots += (reserved[i] + extra) * local_demand[i] / demand[i];
	}
	if (remaining > 0)
		local_slots += remaining / c->fleet.nodes;
	return local_slots / t->slots;
}

static void apply_tier_total(bct_core_t *c, bct_time_t now, const bct_total_t *total)
{
	bct_target_t *t = bct_map_get(&c->targets, total->item.key);
	uint64_t tier = total->item.key2;

	if (!t || tier < 1 || tier > BCT_TIERS || total->age_ms > BCT_TOTAL_MAX_AGE_MS)
		return;
	t->tiers[tier - 1].total = (bct_tier_total_t){
		.queued = total->item.v[0],
		.running = total->item.v[1],
		.overloaded_nodes = total->item.v[3],
		.nodes = total->nodes,
		.at = now - total->age_ms,
	};
	bct_shed_level(c, now, t);
	if (c->fleet.nodes <= 1 || !t->slots)
		return;
	t->share = target_share(c, now, t);
	for (uint32_t i = 0; i < t->n_ups; i++) {
		bct_up_update_quota(c, t->ups[i]);
		bct_up_refresh(c, now, t->ups[i]);
	}
}

static void apply_account_total(bct_core_t *c, bct_time_t now, const bct_total_t *total)
{
	bct_acct_t *a = bct_map_get(&c->accounts, total->item.key);
	bct_limit_fleet_t f = bct_core_limit_fleet(c);

	if (a)
		bct_limit_total(&a->limit, now, total->item.v, total->age_ms, &f);
}

static void apply_upstream_total(bct_core_t *c, bct_time_t now, const bct_total_t *total)
{
	bct_up_t *u = bct_map_get(&c->ups, total->item.key);

	if (!u || total->item.v[0] < 0 || total->age_ms > BCT_TOTAL_MAX_AGE_MS)
		return;
	bct_load_fleet_total(&u->load, now - total->age_ms, (uint32_t)total->item.v[0]);
	bct_up_update_quota(c, u);
	bct_up_refresh(c, now, u);
}

void bct_fleet_total(bct_core_t *c, bct_time_t now, const bct_total_t *t)
{
	switch (t->item.type) {
	case BCT_ITEM_ACCOUNT:
		apply_account_total(c, now, t);
		break;
	case BCT_ITEM_TIER:
		apply_tier_total(c, now, t);
		break;
	case BCT_ITEM_UPSTREAM:
		apply_upstream_total(c, now, t);
		break;
	case BCT_ITEM_RETRY:
		bct_budget_total(&c->budget, now, t->item.v, t->age_ms);
		break;
	case BCT_ITEM_SUSPECT:
		bct_suspect_merge(&c->suspects, now, t->item.key, t->item.v);
		break;
	case BCT_ITEM_COUNT:
		break;
	}
}
