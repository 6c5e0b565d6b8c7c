/*
 * lease_service.h - threads around coord/lease.h: one lease over the platform's log.
 *
 * Lock order: the service's lock is a leaf but for the follower's own.
 */
#ifndef BCT_COORD_LEASE_SERVICE_H
#define BCT_COORD_LEASE_SERVICE_H

#include "base/event.h"
#include "coord/lease.h"
#include "coord/platform.h"

typedef struct bct_lease_service bct_lease_service_t;

typedef struct bct_lease_service_opts {
	bct_platform_t *platform;
	bct_log_t *log;
	bct_lease_opts_t lease;
	uint32_t poll_ms;
	uint32_t timeout_ms;
} bct_lease_service_opts_t;

typedef struct bct_lease_state {
	bool valid; /* this node holds it now */
	bool held;
	uint64_t holder;
	uint64_t token;
	bct_time_t valid_until;
	bct_time_t acquired_at; /* by this node */
} bct_lease_state_t;

int bct_lease_service_new(const bct_lease_service_opts_t *opts, bct_lease_service_t **out);

/* bct_lease_service_free(3): the lease is not released; it runs out. */
void bct_lease_service_free(bct_lease_service_t *s);

/* bct_lease_service_want(3): false gives the lease up, by a record. */
void bct_lease_service_want(bct_lease_service_t *s, bool wanted);

void bct_lease_service_state(bct_lease_service_t *s, bct_lease_state_t *out);

/*
 * bct_lease_service_confirm(3): read the log to its end, then say whether this node still holds the
 * lease. For acts that nobody else checks the fencing token of.
 *
 * returns  0, -BCT_EFENCED, or the platform's error
 */
int bct_lease_service_confirm(bct_lease_service_t *s);

#endif
