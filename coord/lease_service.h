/*
 * lease_service.h - one lease over the platform's log: threads and platform calls around the state
 * machine of coord/lease.h.
 *
 * Locking: under the service's lock only the lock of opts.log is taken, and no platform call is
 * made.
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
	uint32_t poll_ms;    /* how long a read of the log may wait for new records */
	uint32_t timeout_ms; /* limit of one platform call */
} bct_lease_service_opts_t;

typedef struct bct_lease_state {
	bool valid; /* this node holds it now */
	bool held;  /* by any node, as far as this node has read */
	uint64_t holder;
	uint64_t token;		/* fencing token */
	bct_time_t valid_until; /* for this node as holder */
	bct_time_t acquired_at; /* by this node */
} bct_lease_state_t;

/* bct_lease_service_new(3): start the threads. returns 0 or a negative error; opts is copied. */
int bct_lease_service_new(const bct_lease_service_opts_t *opts, bct_lease_service_t **out);

/* bct_lease_service_free(3): stop the threads. A held lease is not released; it expires. */
void bct_lease_service_free(bct_lease_service_t *s);

/* bct_lease_service_want(3): set whether this node tries to hold the lease; false releases it. */
void bct_lease_service_want(bct_lease_service_t *s, bool wanted);

/* bct_lease_service_state(3): the lease as of now. */
void bct_lease_service_state(bct_lease_service_t *s, bct_lease_state_t *out);

/*
 * bct_lease_service_confirm(3): read the log to its end and check that this node still holds the
 * lease. For actions whose receiver does not check the fencing token. Blocks on platform calls.
 *
 * returns  0, -BCT_EFENCED (not the valid holder), or the platform's error
 */
int bct_lease_service_confirm(bct_lease_service_t *s);

#endif
