/*
 * util_world.h - a few nodes before a few engines and service desks in virtual time, with seeded
 * arrivals and faults, for tests of the scheduler. It checks by itself what only the upstreams
 * know: that a request told "not run" did not run, and what may not be repeated ran at most once.
 */
#ifndef BCT_TESTS_UTIL_WORLD_H
#define BCT_TESTS_UTIL_WORLD_H

#include "policy/invariant.h"
#include "policy/sched.h"

#define WORLD_TICK_MS 10

typedef struct world_opts {
	uint64_t seed;
	uint32_t nodes;
	uint32_t engines;
	uint32_t slots;
	uint32_t accounts;
	double per_s[BCT_TIERS + 1]; /* arrivals per tier, and bookings last */
	double crashes_per_s;	     /* of engines */
	double desk_resets;	     /* part of bookings whose connection breaks */
	double cancels;		     /* part of requests whose callers leave */
	uint32_t report_age_ms;
	uint32_t slow_engine_factor; /* of engine 0; 0: as the others */
	uint64_t poison_digest;	     /* crashes the engine that runs it; 0: none */
	uint32_t poison_sends;
	uint32_t concurrent; /* limit of account 0; 0: none */
	uint32_t requests_per_s;
	bool split; /* the nodes hear nothing of each other */
} world_opts_t;

typedef struct world_stats {
	uint32_t sent[BCT_TIERS + 1];
	uint32_t answered[BCT_TIERS + 1];
	uint32_t in_time[BCT_TIERS + 1];
	uint32_t shed[BCT_TIERS + 1];
	uint32_t refused[BCT_REFUSE_COUNT];
	uint32_t poison_crashes;
	uint32_t innocent_refused; /* as poison */
	uint32_t admitted_of_0;	   /* requests of account 0 that passed its limits */
	uint32_t most_running_of_0;
	uint32_t told_unrun_but_ran;
	uint32_t ran_twice;
	uint64_t tokens;
	uint64_t wasted_tokens;
	uint64_t breaches[BCT_BREACH_COUNT];
	uint64_t all_breaches;
} world_stats_t;

/* Runs for this long, then without arrivals until every request has ended. */
world_stats_t world_run(const world_opts_t *opts, uint32_t run_ms);

#endif
