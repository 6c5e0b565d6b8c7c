/*
 * lease.h - one actor at a time, made of log records: a pure state machine.
 *
 * The first claim on the lease's last record wins; a renewal that lands before it spoils it. The
 * claim's place in the log is the fencing token, so tokens grow. No clocks are compared: a holder
 * counts its time from before it sent a record that it has since read back; others wait the whole
 * time and a margin from when they read that record.
 */
#ifndef BCT_COORD_LEASE_H
#define BCT_COORD_LEASE_H

#include "base/clock.h"
#include "gen/lease.h"
#include "policy/conf.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct bct_lease_opts {
	const char *name; /* copied */
	uint64_t incarnation;
	uint32_t ttl_ms;
	uint32_t renew_ms;  /* least time between two renewals */
	uint32_t margin_ms; /* what others wait beyond the time to live */
	uint32_t delay_ms;  /* what this node waits beyond that, so that not all claim at once */
} bct_lease_opts_t;

typedef struct bct_lease {
	bct_lease_opts_t opts;
	char name[BCT_NAME_BYTES];

	/* What the log says; equal on all that have read as far, but for read_at. */
	bool held;
	uint64_t holder;
	uint64_t token;	    /* 0: never claimed */
	uint64_t last;	    /* offset + 1 of the last record that counted; 0: none */
	bct_time_t read_at; /* when this node read it */

	/* This node's own doings. */
	uint64_t in_flight_id; /* of the record under way or not yet read back; 0: none */
	bct_time_t in_flight_since;
	bct_time_t valid_until; /* as holder; in the past: not valid */
	bct_time_t acquired_at;
	bool wanted;
	bool releasing;
} bct_lease_t;

void bct_lease_init(bct_lease_t *l, const bct_lease_opts_t *opts, bct_time_t now);

/* bct_lease_want(3): whether this node is to hold the lease; false also releases it. */
void bct_lease_want(bct_lease_t *l, bool wanted);

/*
 * bct_lease_next(3): the record to append now, if any.
 *
 * id       fresh random id for it
 * returns  true and the record
 */
bool bct_lease_next(bct_lease_t *l, bct_time_t now, uint64_t id, bct_xlease_record *out);

/* bct_lease_append_failed(3): the record is surely not in the log. Otherwise say nothing. */
void bct_lease_append_failed(bct_lease_t *l, uint64_t id);

/* bct_lease_apply(3): replay a record; those of other leases are passed over. */
void bct_lease_apply(bct_lease_t *l, bct_time_t now, uint64_t offset, const bct_xlease_record *r);

/* bct_lease_valid(3): whether this node may act as holder until then (at least one ms). */
bool bct_lease_valid(const bct_lease_t *l, bct_time_t now);

/* bct_lease_encode(3), bct_lease_decode(3): 0, -BCT_ECODEC or -BCT_ETOO_LARGE. */
int bct_lease_encode(const bct_xlease_record *r, void *out, uint32_t max_bytes,
		     uint32_t *len_bytes);
int bct_lease_decode(const void *data, uint32_t len_bytes, bct_xlease_record *out);
void bct_lease_record_free(bct_xlease_record *r);

#endif
