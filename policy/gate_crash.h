/*
 * gate_crash.h - requests that break the upstreams which run them. Pure.
 *
 * The load it answers: a request that crashes each engine which begins it, and comes again from its
 * caller at any node. Each node remembers by the request's digest which upstreams broke under it,
 * and hears from the others; a request that broke several is refused until the memory fades. One
 * good answer shows that it was a bystander. Requests that are in flight where many upstreams
 * crash at once are kept apart from culprits by the number of different upstreams.
 */
#ifndef BCT_POLICY_GATE_CRASH_H
#define BCT_POLICY_GATE_CRASH_H

#include "base/clock.h"
#include "base/map.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_GATE_CRASH_UPSTREAMS 3 /* that one request may break before it is refused */
#define BCT_GATE_CRASH_KEEP_MS (5 * 60 * BCT_MS_PER_S)

typedef struct bct_gate_crashes {
	bct_map_t map; /* by digest */
} bct_gate_crashes_t;

void bct_gate_crashes_free(bct_gate_crashes_t *t);

/*
 * bct_gate_crash_record(3): an upstream's connection broke under a request, here or at another
 * node.
 *
 * returns  how many different upstreams it broke, 0 if this one was known already or there is no
 *          room
 */
uint32_t bct_gate_crash_record(bct_gate_crashes_t *t, bct_time_t now, uint64_t digest,
			       uint64_t upstream_key);

/* bct_gate_crash_clear(3): the request was answered well. returns whether it was remembered. */
bool bct_gate_crash_clear(bct_gate_crashes_t *t, uint64_t digest);

/* bct_gate_crash_remaining_ms(3): for how many ms the request is to be refused; 0: it may run. */
uint32_t bct_gate_crash_remaining_ms(const bct_gate_crashes_t *t, bct_time_t now, uint64_t digest);

/* bct_gate_crash_expire(3): forget what is over; called now and then. */
void bct_gate_crash_expire(bct_gate_crashes_t *t, bct_time_t now);

#endif
