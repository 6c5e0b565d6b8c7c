/*
 * model_wire.h - delivers engine reports and cache events to the nodes with delay and loss.
 */
#ifndef BCT_BENCH_MODEL_WIRE_H
#define BCT_BENCH_MODEL_WIRE_H

#include "bench/model_engine.h"
#include "bench/model_fleet.h"
#include "base/rng.h"

#define BCT_MODEL_REPORT_MS 500 /* interval of the reports of an engine */

typedef struct bct_model_wire_event {
	bct_time_t due;
	bct_cache_event_t event;
} bct_model_wire_event_t;

typedef struct bct_model_wire_report {
	bct_time_t due;
	bct_report_t report;
} bct_model_wire_report_t;

/* Messages in flight. Both delays are constant, so both queues are in order of due time. */
typedef struct bct_model_wire {
	const bct_model_opts_t *opts;
	bct_rng_t rng;
	bct_model_wire_event_t *events;
	uint32_t n_events, first_event, cap_events;
	bct_model_wire_report_t *reports;
	uint32_t n_reports, first_report, cap_reports;
	int err; /* -BCT_ENOMEM once a queue could not grow */
} bct_model_wire_t;

void bct_model_wire_init(bct_model_wire_t *w, const bct_model_opts_t *o);
void bct_model_wire_free(bct_model_wire_t *w);

/* bct_model_wire_event(3): send a cache event; some are lost. Sets w->err when out of memory. */
void bct_model_wire_event(bct_model_wire_t *w, bct_time_t now, const bct_cache_event_t *e);

/*
 * bct_model_wire_step(3): send the engine reports of this tick, and deliver the reports and cache
 * events that are due to all live nodes. Sets w->err when out of memory.
 */
void bct_model_wire_step(bct_model_wire_t *w, bct_time_t now, bct_model_engine_t *engines,
			 uint32_t n_engines, bct_model_fleet_t *fleet);

#endif
