/*
 * model_fleet.h - the node schedulers, their delayed views of the fleet, and the totals they share.
 */
#ifndef BCT_BENCH_MODEL_FLEET_H
#define BCT_BENCH_MODEL_FLEET_H

#include "bench/model.h"

#define BCT_MODEL_PARTITION_SIDES 2	   /* of a network partition */
#define BCT_MODEL_MEMBERSHIP_DELAY_MS 3000 /* until a death, restart or partition is detected */
#define BCT_MODEL_PUBLISH_MS 1000	   /* between two publications of each node */

typedef struct bct_model_node {
	bct_sched_t *sched; /* NULL while the node is dead */
	uint64_t key;
	uint32_t group;	   /* its side of a partition; 0 without one */
	uint32_t starts;   /* counted, so that each start has another incarnation */
	bct_item_t *items; /* last publication */
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
	bct_time_t view_due;  /* when the schedulers receive a new fleet view */
	bct_time_t total_due; /* when the last publication arrives; BCT_TIME_NEVER: it has */
	/* Sums over the nodes of each side. */
	bct_total_t *totals[BCT_MODEL_PARTITION_SIDES];
	uint32_t n_totals[BCT_MODEL_PARTITION_SIDES];
} bct_model_fleet_t;

/*
 * bct_model_fleet_init(3): start all nodes.
 *
 * returns  0, -BCT_ENOMEM or the error of a scheduler; call bct_model_fleet_free(3) in any case
 */
int bct_model_fleet_init(bct_model_fleet_t *f, const bct_model_opts_t *o, bct_conf_t *conf,
			 bct_model_sched_new_t make, void (*trace)(void *ctx, const bct_trace_t *t),
			 void *trace_ctx);
void bct_model_fleet_free(bct_model_fleet_t *f);

/*
 * bct_model_fleet_kill(3), bct_model_fleet_start(3): destroy a node's scheduler; create it, without
 * state.
 */
void bct_model_fleet_kill(bct_model_fleet_t *f, bct_time_t now, uint32_t node);
int bct_model_fleet_start(bct_model_fleet_t *f, bct_time_t now, uint32_t node);

/*
 * bct_model_fleet_partition(3): separate the nodes with an index below n_isolated from the others;
 * 0 ends the partition.
 */
void bct_model_fleet_partition(bct_model_fleet_t *f, bct_time_t now, uint32_t n_isolated);

/* bct_model_fleet_live_node(3): return the node itself if it is live, else the next live one. */
uint32_t bct_model_fleet_live_node(const bct_model_fleet_t *f, uint32_t node);

/* bct_model_fleet_step(3): deliver fleet views and totals that are due, and publish. */
void bct_model_fleet_step(bct_model_fleet_t *f, bct_time_t now);

#endif
