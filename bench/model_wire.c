/*
 * model_wire.c - queues of delayed engine reports and cache events.
 */
#include "bench/model_wire.h"
#include "base/err.h"
#include "base/mem.h"

#include <string.h>

#define PERMILLE 1000
#define QUEUE_CAP_MIN 256

void bct_model_wire_init(bct_model_wire_t *w, const bct_model_opts_t *o)
{
	*w = (bct_model_wire_t){ .opts = o };
	bct_rng_seed(&w->rng, bct_hash_mix(o->seed, bct_hash_str("wire")));
}

void bct_model_wire_free(bct_model_wire_t *w)
{
	bct_free(w->events);
	bct_free(w->reports);
}

/*
 * Reserves space for one more element at the end: removes the delivered elements at the front if
 * they fill more than half of the queue, else doubles its capacity.
 *
 * returns  the queue's memory, or NULL when it could not grow (the old memory stays valid)
 */
static void *queue_reserve(void *queue, size_t size_bytes, uint32_t *n, uint32_t *first,
			   uint32_t *cap)
{
	uint32_t new_cap = *cap ? 2 * *cap : QUEUE_CAP_MIN;
	void *grown;

	if (*n < *cap)
		return queue;
	if (*first > *cap / 2) {
		memmove(queue, (char *)queue + *first * size_bytes, (*n - *first) * size_bytes);
		*n -= *first;
		*first = 0;
		return queue;
	}
	grown = bct_realloc(queue, new_cap * size_bytes);
	if (grown)
		*cap = new_cap;
	return grown;
}

void bct_model_wire_event(bct_model_wire_t *w, bct_time_t now, const bct_cache_event_t *e)
{
	void *room;

	if (bct_rng_below(&w->rng, PERMILLE) < w->opts->cache_event_loss_permille)
		return;
	room = queue_reserve(w->events, sizeof(*w->events), &w->n_events, &w->first_event,
			     &w->cap_events);
	if (!room) {
		w->err = -BCT_ENOMEM;
		return;
	}
	w->events = room;
	w->events[w->n_events++] = (bct_model_wire_event_t){
		.due = now + w->opts->cache_event_delay_ms,
		.event = *e,
	};
}

static void wire_report(bct_model_wire_t *w, bct_time_t now, bct_model_engine_t *e)
{
	bct_model_wire_report_t *r;
	void *room;

	room = queue_reserve(w->reports, sizeof(*w->reports), &w->n_reports, &w->first_report,
			     &w->cap_reports);
	if (!room) {
		w->err = -BCT_ENOMEM;
		return;
	}
	w->reports = room;
	r = &w->reports[w->n_reports++];
	bct_model_engine_report(e, &r->report);
	r->report.age_ms = w->opts->report_age_ms;
	r->due = now + w->opts->report_age_ms;
}

/* Spreads the reports of the engines over the ticks of an interval. */
static bool report_due(bct_time_t now, uint32_t engine)
{
	bct_time_t phase = (bct_time_t)engine * BCT_MODEL_TICK_MS % BCT_MODEL_REPORT_MS;

	return now % BCT_MODEL_REPORT_MS == phase;
}

void bct_model_wire_step(bct_model_wire_t *w, bct_time_t now, bct_model_engine_t *engines,
			 uint32_t n_engines, bct_model_fleet_t *fleet)
{
	for (uint32_t i = 0; i < n_engines; i++) {
		if (report_due(now, i) && !engines[i].down && !engines[i].hung)
			wire_report(w, now, &engines[i]);
	}
	for (; w->first_report < w->n_reports; w->first_report++) {
		const bct_model_wire_report_t *r = &w->reports[w->first_report];

		if (r->due > now)
			break;
		for (uint32_t i = 0; i < fleet->n; i++) {
			if (fleet->nodes[i].sched)
				bct_sched_report(fleet->nodes[i].sched, now, &r->report);
		}
	}
	for (; w->first_event < w->n_events; w->first_event++) {
		const bct_model_wire_event_t *e = &w->events[w->first_event];

		if (e->due > now)
			break;
		for (uint32_t i = 0; i < fleet->n; i++) {
			if (fleet->nodes[i].sched)
				bct_sched_cache_event(fleet->nodes[i].sched, now, &e->event);
		}
	}
}
