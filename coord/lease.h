/*
 * lease.h - a lease with at most one valid holder, kept as records of a log. A state machine
 * without I/O or threads; all times are passed in.
 *
 * A claim names the last effective record of the lease that its writer has read. It takes effect
 * only if that is still the last one, so the first such claim wins, and a renewal that is logged
 * before a claim makes the claim ineffective. The offset + 1 of the claim is the fencing token, so
 * tokens only grow. Clocks of nodes are never compared: a holder counts the time to live from
 * before it sent a record that it has since read back; other nodes wait the time to live and a
 * margin from the moment they read that record.
 */
#ifndef BCT_COORD_LEASE_H
#define BCT_COORD_LEASE_H

#include "base/clock.h"
#include "gen/lease.h"
#include "policy/conf.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct bct_lease_opts {
	const char *name;     /* copied */
	uint64_t incarnation; /* of this node's process */
	uint32_t ttl_ms;
	uint32_t renew_ms;  /* minimum time between two renewals */
	uint32_t margin_ms; /* other nodes wait this long after ttl_ms before they claim */
	uint32_t delay_ms;  /* extra wait of this node, so that nodes don't claim all at once */
} bct_lease_opts_t;

typedef struct bct_lease {
	bct_lease_opts_t opts;
	char name[BCT_NAME_BYTES];

	/* Replayed from the log; except for read_at, equal on all nodes that have read as far. */
	bool held;
	uint64_t holder;    /* incarnation of the current or last holder */
	uint64_t token;	    /* fencing token of the last claim; 0: never claimed */
	uint64_t last;	    /* offset + 1 of the last effective record; 0: none */
	bct_time_t read_at; /* when this node read that record; at first, the time of init */

	/* Local to this node. */
	uint64_t in_flight_id;	    /* record being appended or not yet read back; 0: none */
	bct_time_t in_flight_since; /* when bct_lease_next() returned it */
	bct_time_t valid_until;	    /* as holder; in the past: not valid */
	bct_time_t acquired_at;	    /* when this node read its claim back */
	bool wanted;
	bool releasing; /* a release is to be appended or read back; not valid meanwhile */
} bct_lease_t;

/* bct_lease_init(3): the lease is wanted, and not held as far as is known. */
void bct_lease_init(bct_lease_t *l, const bct_lease_opts_t *opts, bct_time_t now);

/* bct_lease_want(3): set whether this node tries to hold the lease. false also releases it. */
void bct_lease_want(bct_lease_t *l, bool wanted);

/*
 * bct_lease_next(3): the record to append now, if any. At most one is in flight at a time, until it
 * is read back, reported as failed, or ttl_ms old.
 *
 * id       fresh random id for the record
 * returns  whether out was set
 */
bool bct_lease_next(bct_lease_t *l, bct_time_t now, uint64_t id, bct_xlease_record *out);

/*
 * bct_lease_append_failed(3): the record is certainly not in the log. Not to be called when the
 * outcome of the append is unknown.
 */
void bct_lease_append_failed(bct_lease_t *l, uint64_t id);

/* bct_lease_apply(3): replay a record of the log; records of other leases are ignored. */
void bct_lease_apply(bct_lease_t *l, bct_time_t now, uint64_t offset, const bct_xlease_record *r);

/*
 * bct_lease_valid(3): whether this node may act as holder from now until valid_until, which is then
 * at least 1 ms away.
 */
bool bct_lease_valid(const bct_lease_t *l, bct_time_t now);

/*
 * bct_lease_encode(3), bct_lease_decode(3): convert a record to and from XDR. returns 0,
 * -BCT_ECODEC (decode) or -BCT_ETOO_LARGE (encode). Release a decoded record with
 * bct_lease_record_free(3).
 */
int bct_lease_encode(const bct_xlease_record *r, void *out, uint32_t max_bytes,
		     uint32_t *len_bytes);
int bct_lease_decode(const void *data, uint32_t len_bytes, bct_xlease_record *out);
void bct_lease_record_free(bct_xlease_record *r);

#endif
