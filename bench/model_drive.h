/*
 * model_drive.h - the state of a simulation, and the layer between schedulers and engines: it
 * applies the schedulers' actions, reports progress and ends of attempts back to them, and counts
 * the tokens that each caller has received.
 */
#ifndef BCT_BENCH_MODEL_DRIVE_H
#define BCT_BENCH_MODEL_DRIVE_H

#include "bench/model.h"
#include "bench/model_engine.h"
#include "bench/model_fleet.h"
#include "bench/model_load.h"
#include "bench/model_wire.h"

#define BCT_MODEL_TIER_INDICES (BCT_TIERS + 1) /* tiers count from 1 */

/* An attempt that an engine rejected; its scheduler is notified in the next tick. */
typedef struct bct_model_rejection {
	uint32_t req;
	uint64_t attempt_id;
	bct_outcome_t outcome;
} bct_model_rejection_t;

/* The state of a simulation. */
typedef struct bct_model_drive {
	const bct_model_opts_t *opts;
	bct_conf_t *conf;
	bct_model_load_t load;
	bct_model_engine_t *engines;
	uint32_t n_engines;
	bct_model_fleet_t fleet;
	bct_model_wire_t wire;
	bct_model_result_t *result;
	bct_time_t now;
	uint32_t next_arrival; /* index of the scheduled request to send next */
	uint32_t next_poison;  /* index of the poison request to send next */
	bct_time_t poison_at;  /* when to send it; 0: not scheduled */
	uint32_t *live;	       /* indices of requests that have not ended */
	uint32_t n_live;
	bct_model_rejection_t *rejections; /* of the current tick */
	uint32_t n_rejections;
	uint32_t running[BCT_MODEL_ACCOUNTS_MAX]; /* attempts by account */
	uint32_t max_running;			  /* highest value that any entry of running had */
	/* Waiting requests by node, pool and tier, to detect inversions. */
	uint32_t waiting[BCT_MODEL_NODES_MAX][BCT_MODEL_POOLS][BCT_MODEL_TIER_INDICES];
} bct_model_drive_t;

extern const bct_model_engine_ops_t bct_model_drive_engine_ops;

/* bct_model_drive_class(3): return the class of a request. */
const bct_model_class_t *bct_model_drive_class(const bct_model_drive_t *d,
					       const bct_model_req_t *r);

/* bct_model_drive_set_state(3): change a request's state and the counts of waiting and running. */
void bct_model_drive_set_state(bct_model_drive_t *d, bct_model_req_t *r, bct_model_state_t state);

/*
 * bct_model_drive_submit(3): send a request now, to its node or the next live one.
 *
 * req      index of the request
 * returns  0 or the scheduler's error
 */
int bct_model_drive_submit(bct_model_drive_t *d, uint32_t req);

/* bct_model_drive_stop(3): stop a request's attempt and report its outcome to the scheduler. */
void bct_model_drive_stop(bct_model_drive_t *d, bct_model_req_t *r, bct_outcome_t outcome);

/*
 * bct_model_drive_report_rejections(3): report the attempts that engines rejected in the last tick
 * to the schedulers.
 */
void bct_model_drive_report_rejections(bct_model_drive_t *d);

/* bct_model_drive_poll(3): poll all schedulers and apply their actions. */
void bct_model_drive_poll(bct_model_drive_t *d);

#endif
