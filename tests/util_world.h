/*
 * util_world.h - a simulated fleet for tests of the scheduler: a few nodes, engines and services in
 * virtual time, with seeded arrivals and faults. The simulation feeds the traces of all nodes to
 * the checker of policy/invariant.h. It also counts what only the upstreams can know: requests that
 * were refused as not run but ran, and bookings, which may not be repeated, that ran twice.
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
	double arrivals_per_s[BCT_TIERS + 1]; /* by tier; the last is the bookings */
	double crashes_per_s;		      /* of each engine */
	double service_reset_probability;     /* that the connection of a booking breaks */
	double cancel_probability;	      /* that the caller disconnects after sending */
	uint32_t report_age_ms;		      /* of an engine's report when nodes get it */
	uint32_t slow_engine_factor;	      /* slowdown of engine 0; 0: none */
	uint64_t poison_digest;	 /* a request with it crashes the engine that runs it; 0: none */
	uint32_t poison_sends;	 /* times that it is sent */
	uint32_t concurrent;	 /* limit of account 0; 0: none */
	uint32_t requests_per_s; /* limit of account 0; 0: none */
	bool partitioned;	 /* the nodes get no totals of each other */
} world_opts_t;

/* Arrays with BCT_TIERS + 1 elements are indexed as world_opts_t.arrivals_per_s. */
typedef struct world_stats {
	uint32_t sent[BCT_TIERS + 1];
	uint32_t answered[BCT_TIERS + 1];
	uint32_t in_time[BCT_TIERS + 1]; /* first token within 1000 ms; no bookings */
	uint32_t shed[BCT_TIERS + 1];	 /* refused for overload or a full queue */
	uint32_t refused[BCT_REFUSE_COUNT];
	uint32_t poison_crashes;
	uint32_t poison_false_positives; /* refused as poison with another digest */
	uint32_t account0_admitted;	 /* requests of account 0 that passed its limits and ran */
	uint32_t account0_max_running;	 /* most attempts of account 0 at upstreams at a time */
	uint32_t false_not_run;		 /* refused as not run, but an upstream had run them */
	uint32_t ran_twice;		 /* bookings dispatched to a service again */
	uint64_t tokens;		 /* generated */
	uint64_t wasted_tokens; /* generated again, or delivered to a request refused later */
	uint64_t breaches[BCT_BREACH_COUNT];
	uint64_t total_breaches;
} world_stats_t;

/*
 * Runs the simulation for run_ms of virtual time with arrivals, then without until every request
 * has ended, for 180 s at most.
 */
world_stats_t world_run(const world_opts_t *opts, uint32_t run_ms);

#endif
