/*
 * duty_lease.h - decides which node does the fleet's duties: a lease in a log, taken and renewed by
 * appends that take effect only if the log has not grown, and its fencing token. Pure: no I/O and
 * no clock. Design: docs/design/duties-and-load.md.
 *
 * The owner calls next, does what it returns, and passes the result to read or appended; one call
 * is in progress at a time.
 */
#ifndef BCT_POLICY_DUTY_LEASE_H
#define BCT_POLICY_DUTY_LEASE_H

#include "base/clock.h"
#include "policy/gate_position.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_DUTY_CANDIDATES 3 /* live ready nodes of rank 0, 1 and 2 */

typedef enum bct_duty_act {
	BCT_DUTY_IDLE,
	BCT_DUTY_READ,
	BCT_DUTY_CLAIM,	  /* append a record with this node as holder */
	BCT_DUTY_RENEW,	  /* the same, as the holder */
	BCT_DUTY_RELEASE, /* append a record without a holder */
} bct_duty_act_t;

typedef struct bct_duty_lease_opts {
	uint64_t incarnation; /* of this node; not 0 */
	uint32_t ttl_ms;      /* of the lease, from before the append */
	uint32_t margin_ms;   /* that other nodes wait in addition */
	uint32_t renew_ms;
	uint32_t read_ms;  /* between two reads of a candidate */
	uint32_t rank_ms;  /* that each rank waits longer than the one before */
	uint32_t again_ms; /* that a former holder waits before it claims again */
} bct_duty_lease_opts_t;

/* The newest record, as far as the lease looks into it. */
typedef struct bct_duty_head {
	uint64_t holder; /* incarnation; 0: released */
	uint32_t ttl_ms;
	uint64_t append_id; /* random, of the append that wrote it */
	uint64_t revision;  /* of the body; only grows */
	bct_gate_position_t position;
} bct_duty_head_t;

/* An append of this node that may have taken effect, or still may. */
typedef struct bct_duty_append {
	uint64_t id; /* 0: none */
	bct_gate_position_t at;
	bct_time_t asked_at;
} bct_duty_append_t;

#define BCT_DUTY_APPENDS 4 /* recognized when they are read back */

typedef struct bct_duty_lease {
	bct_duty_lease_opts_t opts;
	bool candidate;
	uint32_t rank;
	bct_duty_act_t in_progress; /* BCT_DUTY_IDLE: none */
	bct_time_t asked_at;	    /* start of the call in progress */
	bct_time_t retry_at;	    /* after a failed call: not before */
	bct_duty_append_t appends[BCT_DUTY_APPENDS];
	uint32_t next_append; /* slot of the next one */
	bct_time_t append_asked_at;
	bool unsure;   /* of the outcome of the latest append */
	bool known;    /* head and end are as last read or written */
	bool has_read; /* there was a read */
	bct_duty_head_t head;
	bct_time_t head_seen_at; /* when the head was first read */
	bct_gate_position_t end;
	bct_time_t era_seen_at;	     /* first read of this era of the log */
	bct_gate_position_t era_end; /* where it ended then; 0: no other era was seen before */
	bool heir;		     /* held the lease until this era began */
	bool held;
	bool releasing;	    /* a release was sent */
	uint64_t record_id; /* append id of the holder's latest record */
	uint64_t fence;
	bct_time_t valid_until; /* a holder may act before */
	bct_time_t renewed_at;
	bool was_held;
	bct_time_t ceased_at; /* when this node ceased to hold it, if was_held */
	bct_time_t read_at;
} bct_duty_lease_t;

void bct_duty_lease_init(bct_duty_lease_t *l, const bct_duty_lease_opts_t *opts);

/*
 * bct_duty_lease_set_candidate(3): whether this node may hold the lease. A holder that is no
 * longer a candidate releases it. Nodes of rank BCT_DUTY_CANDIDATES and above neither read nor
 * claim, but a holder keeps the lease when its rank changes. Others read also while they are no
 * candidates, so that they need not wait for the TTL once they become candidates.
 */
void bct_duty_lease_set_candidate(bct_duty_lease_t *l, bool candidate, uint32_t rank);

/*
 * bct_duty_lease_next(3): what to do now. Unless it is BCT_DUTY_IDLE, it is in progress until its
 * result is passed in.
 *
 * changed  the holder's body differs from the record's and should be written before the renewal
 * id       random, not 0; identifies the append
 */
bct_duty_act_t bct_duty_lease_next(bct_duty_lease_t *l, bct_time_t now, bool changed, uint64_t id);

/*
 * bct_duty_lease_read(3): the result of BCT_DUTY_READ.
 *
 * rc    0 or -BCT_E*
 * head  NULL: there is no record
 * end   where the log ends
 */
void bct_duty_lease_read(bct_duty_lease_t *l, bct_time_t now, int rc, const bct_duty_head_t *head,
			 bct_gate_position_t end);

/*
 * bct_duty_lease_appended(3): the result of an append.
 *
 * rc        as bct_control_ops_t's append
 * position  of the record, if rc is 0
 * revision  of the body that it has
 */
void bct_duty_lease_appended(bct_duty_lease_t *l, bct_time_t now, int rc,
			     bct_gate_position_t position, uint64_t revision);

/* bct_duty_lease_in_progress(3): the call in progress; BCT_DUTY_IDLE: none. */
static inline bct_duty_act_t bct_duty_lease_in_progress(const bct_duty_lease_t *l)
{
	return l->in_progress;
}

/* bct_duty_lease_at(3): the condition of the append in progress: where the log has to end. */
bct_gate_position_t bct_duty_lease_at(const bct_duty_lease_t *l);

/* bct_duty_lease_append_id(3): of the append in progress. */
uint64_t bct_duty_lease_append_id(const bct_duty_lease_t *l);

/* bct_duty_lease_valid(3): whether this node may act as the holder, until l->valid_until. */
bool bct_duty_lease_valid(const bct_duty_lease_t *l, bct_time_t now);

/* bct_duty_lease_fence(3): the holder's fencing token, less than 2^53; grows with each append. */
uint64_t bct_duty_lease_fence(const bct_duty_lease_t *l);

/*
 * bct_duty_lease_refused(3): the control API has seen a higher token than ours. Ends the lease on
 * this node unless the token has been renewed since.
 */
void bct_duty_lease_refused(bct_duty_lease_t *l, bct_time_t now, uint64_t fence);

#endif
