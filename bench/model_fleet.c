/*
 * model_fleet.c - node schedulers, fleet views and totals.
 */
#include "bench/model_fleet.h"
#include "base/err.h"
#include "base/mem.h"

#include <stdlib.h>
#include <string.h>

#define ITEMS_MAX 4096 /* per publication of a node */

/* Whether items of a type are summed over the nodes; others are merged by maximum. */
static const bool item_is_sum[BCT_ITEM_COUNT] = {
#define SUM true
#define MAX false
#define DEF(name, merge, text) [BCT_ITEM_##name] = merge,
	BCT_ITEM_LIST(DEF)
#undef DEF
#undef SUM
#undef MAX
};

/* Builds the fleet view of a node: the live nodes on its side of a partition. */
static void fleet_view(const bct_model_fleet_t *f, uint32_t node, bct_fleet_t *out)
{
	*out = (bct_fleet_t){
		.node_key = f->nodes[node].key,
		.region_key = bct_hash_str("region"),
		.failure_domain_key =
			f->conf->upstreams[node % f->opts->deployment->failure_domains]
				.failure_domain_key,
	};
	for (uint32_t i = 0; i < f->n; i++) {
		if (!f->nodes[i].sched || f->nodes[i].group != f->nodes[node].group)
			continue;
		out->rank += i < node;
		out->nodes++;
	}
}

int bct_model_fleet_start(bct_model_fleet_t *f, bct_time_t now, uint32_t node)
{
	bct_model_node_t *n = &f->nodes[node];
	bct_sched_opts_t so = {
		.seed = bct_hash_mix(f->opts->seed, node),
		.incarnation = bct_hash_mix(n->key, ++n->starts),
		.max_queued = f->opts->max_queued,
		.trace = f->trace,
		.trace_ctx = f->trace_ctx,
	};
	int err;

	fleet_view(f, node, &so.fleet);
	so.fleet.nodes++; /* the node itself, which has no scheduler yet */
	/* At the start of the run, the nodes with a higher index have none yet either. */
	if (now == 0) {
		so.fleet.nodes = f->n;
		so.fleet.rank = node;
	}
	err = f->make(&so, &n->sched);
	if (err) {
		n->sched = NULL;
		return err;
	}
	err = bct_sched_configure(n->sched, now, f->conf);
	f->view_due = now + BCT_MODEL_MEMBERSHIP_DELAY_MS;
	return err;
}

int bct_model_fleet_init(bct_model_fleet_t *f, const bct_model_opts_t *o, bct_conf_t *conf,
			 bct_model_sched_new_t make, void (*trace)(void *ctx, const bct_trace_t *t),
			 void *trace_ctx)
{
	int err = 0;

	*f = (bct_model_fleet_t){
		.opts = o,
		.conf = conf,
		.make = make,
		.trace = trace,
		.trace_ctx = trace_ctx,
		.n = o->nodes,
		.total_due = BCT_TIME_NEVER,
	};
	for (uint32_t g = 0; g < BCT_MODEL_PARTITION_SIDES; g++) {
		f->totals[g] = bct_alloc(f->n * ITEMS_MAX * sizeof(bct_total_t));
		if (!f->totals[g])
			return -BCT_ENOMEM;
	}
	for (uint32_t i = 0; i < f->n && !err; i++) {
		f->nodes[i].key = bct_hash_mix(o->seed, i + 1);
		f->nodes[i].items = bct_alloc(ITEMS_MAX * sizeof(bct_item_t));
		err = f->nodes[i].items ? bct_model_fleet_start(f, 0, i) : -BCT_ENOMEM;
	}
	f->view_due = 0;
	return err;
}

void bct_model_fleet_free(bct_model_fleet_t *f)
{
	for (uint32_t i = 0; i < f->n; i++) {
		bct_sched_free(f->nodes[i].sched);
		bct_free(f->nodes[i].items);
	}
	for (uint32_t g = 0; g < BCT_MODEL_PARTITION_SIDES; g++)
		bct_free(f->totals[g]);
}

void bct_model_fleet_kill(bct_model_fleet_t *f, bct_time_t now, uint32_t node)
{
	bct_sched_free(f->nodes[node].sched);
	f->nodes[node].sched = NULL;
	f->nodes[node].n_items = 0;
	f->view_due = now + BCT_MODEL_MEMBERSHIP_DELAY_MS;
}

void bct_model_fleet_partition(bct_model_fleet_t *f, bct_time_t now, uint32_t n_isolated)
{
	for (uint32_t i = 0; i < f->n; i++)
		f->nodes[i].group = i < n_isolated;
	f->view_due = now + BCT_MODEL_MEMBERSHIP_DELAY_MS;
}

uint32_t bct_model_fleet_live_node(const bct_model_fleet_t *f, uint32_t node)
{
	for (uint32_t i = 0; i < f->n; i++) {
		uint32_t at = (node + i) % f->n;

		if (f->nodes[at].sched)
			return at;
	}
	return node;
}

static int by_item(const void *a, const void *b)
{
	const bct_item_t *x = &((const bct_total_t *)a)->item;
	const bct_item_t *y = &((const bct_total_t *)b)->item;

	if (x->type != y->type)
		return x->type < y->type ? -1 : 1;
	if (x->key != y->key)
		return x->key < y->key ? -1 : 1;
	return x->key2 < y->key2 ? -1 : x->key2 > y->key2;
}

/* Merges SUM items of the same type and keys in place; returns the new number of items. */
static uint32_t totals_merge(bct_total_t *t, uint32_t n)
{
	uint32_t kept = 0;

	qsort(t, n, sizeof(*t), by_item);
	for (uint32_t i = 0; i < n; i++) {
		if (!kept || by_item(&t[kept - 1], &t[i]) != 0) {
			t[kept++] = t[i];
			continue;
		}
		for (uint32_t v = 0; v < BCT_ITEM_VALUES; v++)
			t[kept - 1].item.v[v] += t[i].item.v[v];
	}
	return kept;
}

static void fleet_sum_group(bct_model_fleet_t *f, uint32_t group)
{
	bct_total_t *t = f->totals[group];
	uint32_t n = 0, nodes = 0;

	for (uint32_t i = 0; i < f->n; i++) {
		const bct_model_node_t *node = &f->nodes[i];

		if (!node->sched || node->group != group)
			continue;
		nodes++;
		for (uint32_t k = 0; k < node->n_items; k++) {
			if (item_is_sum[node->items[k].type])
				t[n++] = (bct_total_t){ .item = node->items[k] };
		}
	}
	n = totals_merge(t, n);
	for (uint32_t i = 0; i < n; i++) {
		t[i].nodes = nodes;
		t[i].age_ms = f->opts->total_delay_ms;
	}
	f->n_totals[group] = n;
}

static void fleet_publish(bct_model_fleet_t *f, bct_time_t now)
{
	for (uint32_t i = 0; i < f->n; i++) {
		bct_model_node_t *n = &f->nodes[i];

		if (n->sched)
			n->n_items = bct_sched_publish(n->sched, now, n->items, ITEMS_MAX);
	}
	for (uint32_t g = 0; g < BCT_MODEL_PARTITION_SIDES; g++)
		fleet_sum_group(f, g);
	f->total_due = now + f->opts->total_delay_ms;
}

/* Delivers the MAX items of all other nodes on the same side as they were published. */
static void fleet_deliver_max(bct_model_fleet_t *f, bct_time_t now, uint32_t to)
{
	for (uint32_t i = 0; i < f->n; i++) {
		const bct_model_node_t *from = &f->nodes[i];

		if (i == to || !from->sched || from->group != f->nodes[to].group)
			continue;
		for (uint32_t k = 0; k < from->n_items; k++) {
			if (item_is_sum[from->items[k].type])
				continue;
			bct_sched_total(f->nodes[to].sched, now,
					&(bct_total_t){
						.item = from->items[k],
						.nodes = 1,
						.age_ms = f->opts->total_delay_ms,
					});
		}
	}
}

static void fleet_deliver(bct_model_fleet_t *f, bct_time_t now)
{
	for (uint32_t i = 0; i < f->n; i++) {
		const bct_model_node_t *n = &f->nodes[i];

		if (!n->sched)
			continue;
		for (uint32_t k = 0; k < f->n_totals[n->group]; k++)
			bct_sched_total(n->sched, now, &f->totals[n->group][k]);
		fleet_deliver_max(f, now, i);
	}
	f->total_due = BCT_TIME_NEVER;
}

void bct_model_fleet_step(bct_model_fleet_t *f, bct_time_t now)
{
	if (now >= f->view_due) {
		for (uint32_t i = 0; i < f->n; i++) {
			bct_fleet_t view;

			if (!f->nodes[i].sched)
				continue;
			fleet_view(f, i, &view);
			bct_sched_fleet(f->nodes[i].sched, now, &view);
		}
		f->view_due = BCT_TIME_NEVER;
	}
	if (now >= f->total_due)
		fleet_deliver(f, now);
	if (now % BCT_MODEL_PUBLISH_MS == 0)
		fleet_publish(f, now);
}
