/*
 * fleet.c - what nodes tell each other, and what follows from the totals.
 */
#include "policy/sched_int.h"

#define FLEET_GRANTED_MS 2000

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

/* Claims of the floor that wait longer than a moment; the others are as good as dispatched. */
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

static void publish_tier(bct_time_t now, writer_t *w, bct_target_t *t, uint32_t i)
{
	bct_tier_t *tier = &t->tiers[i];
	const bct_queue_item_t *oldest = bct_queue_oldest(&tier->queue);
	bool told = tier->published_queued || tier->published_running;
	bct_item_t *it;

	uint32_t granted = granted_waiting(t, i, now);

	if (!tier->queue.n && !tier->n_held && !granted && !tier->n_running && !told &&
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

		if (!u->load.local && !u->load.published)
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

	/* What protects upstreams and limits comes first, should there be no room for all. */
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

/* The fleet's demand at a tier, and this node's part of it. */
static double tier_demand(const bct_tier_t *tier, bct_time_t now, double *own)
{
	double all = (double)(tier->total.queued + tier->total.running);

	*own = (double)(tier->published_queued + tier->published_running);
	if (tier->total.at == BCT_TIME_NEVER || now - tier->total.at > BCT_TOTAL_MAX_AGE_MS)
		return *own = 0;
	return all < *own ? *own : all;
}

/* Slots that the floor of a tier keeps for it. */
static double floor_slots(const bct_target_t *t, const bct_tier_t *tier, double demand)
{
	double slots = t->slots * tier->floor_permille / 1000.0;

	if (slots < 1)
		slots = 1;
	return slots < demand ? slots : demand;
}

/*
 * This node's part of the target: first each tier's floor, then the fleet's demand from the
 * highest tier down, within a tier by demand; what is spare is split evenly. The parts of all
 * nodes add up to one.
 */
static double target_share(const bct_core_t *c, bct_time_t now, const bct_target_t *t)
{
	double left = t->slots, mine = 0, given[BCT_TIERS], all[BCT_TIERS], own[BCT_TIERS];
	uint32_t i;

	for (i = 0; i < BCT_TIERS; i++) {
		all[i] = tier_demand(&t->tiers[i], now, &own[i]);
		given[i] = floor_slots(t, &t->tiers[i], all[i]);
		left -= given[i];
	}
	for (i = 0; i < BCT_TIERS; i++) {
		double more = all[i] - given[i];

		if (more > left)
			more = left > 0 ? left : 0;
		left -= more;
		if (all[i] > 0)
			mine += (given[i] + more) * own[i] / all[i];
	}
	if (left > 0)
		mine += left / c->fleet.nodes;
	return mine / t->slots;
}

static void total_tier(bct_core_t *c, bct_time_t now, const bct_total_t *total)
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

static void total_account(bct_core_t *c, bct_time_t now, const bct_total_t *total)
{
	bct_acct_t *a = bct_map_get(&c->accounts, total->item.key);
	bct_limit_fleet_t f = bct_core_limit_fleet(c);

	if (a)
		bct_limit_total(&a->limit, now, total->item.v, total->age_ms, &f);
}

static void total_upstream(bct_core_t *c, bct_time_t now, const bct_total_t *total)
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
		total_account(c, now, t);
		break;
	case BCT_ITEM_TIER:
		total_tier(c, now, t);
		break;
	case BCT_ITEM_UPSTREAM:
		total_upstream(c, now, t);
		break;
	case BCT_ITEM_RETRY:
		bct_budget_total(&c->budget, now, t->item.v, t->age_ms);
		break;
	case BCT_ITEM_SUSPECT:
		bct_suspect_heard(&c->suspects, now, t->item.key, t->item.v);
		break;
	case BCT_ITEM_COUNT:
		break;
	}
}
