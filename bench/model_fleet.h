/*
 * model_fleet.h - the node schedulers, their late view of each other, and the facts they share.
 */
#ifndef BCT_BENCH_MODEL_FLEET_H
#define BCT_BENCH_MODEL_FLEET_H

#include "bench/model.h"

#define BCT_MODEL_PARTITION_SIDES 2	   /* sides of a partition */
#define BCT_MODEL_MEMBERSHIP_DELAY_MS 3000 /* until a death, return or partition is seen */
#define BCT_MODEL_PUBLISH_MS 1000

typedef struct bct_model_node {
	bct_sched_t *sched; /* NULL while it is dead */
	uint64_t key;
	uint32_t group;
	uint32_t lives;
	bct_item_t *items; /* published last */
	uint32_t n_items;
} bct_model_node_t;

typedef struct bct_model_fleet {
	const bct_model_opts_t *opts;
	bct_conf_t *conf;
	bct_model_sched_new_t make;
	void (*trace)(void *ctx, const bct_trace_t *t);
	void *trace_ctx;
	uint32_t n;
	bct_model_node_t nodes[BCT_MODEL_NODES_MAX];
	bct_time_t view_due;  /* next change of the schedulers' fleet view */
	bct_time_t total_due; /* when what was published last arrives */
	bct_total_t *totals[BCT_MODEL_PARTITION_SIDES];
	uint32_t n_totals[BCT_MODEL_PARTITION_SIDES];
} bct_model_fleet_t;

/* returns 0 or -BCT_ENOMEM; bct_model_fleet_free(3) may follow in both cases */
int bct_model_fleet_init(bct_model_fleet_t *f, const bct_model_opts_t *o, bct_conf_t *conf,
			 bct_model_sched_new_t make, void (*trace)(void *ctx, const bct_trace_t *t),
			 void *trace_ctx);
void bct_model_fleet_free(bct_model_fleet_t *f);

/* bct_model_fleet_kill(3), bct_model_fleet_start(3): a node's death; its return, empty. */
void bct_model_fleet_kill(bct_model_fleet_t *f, bct_time_t now, uint32_t node);
int bct_model_fleet_start(bct_model_fleet_t *f, bct_time_t now, uint32_t node);

/* bct_model_fleet_partition(3): cut the nodes below n_cut off from the others; 0 heals it. */
void bct_model_fleet_partition(bct_model_fleet_t *f, bct_time_t now, uint32_t n_cut);

/* bct_model_fleet_live_node(3): the node itself, or the next one that lives. */
uint32_t bct_model_fleet_live_node(const bct_model_fleet_t *f, uint32_t node);

/* bct_model_fleet_step(3): membership views, publishing and totals that are due. */
void bct_model_fleet_step(bct_model_fleet_t *f, bct_time_t now);

#endif
