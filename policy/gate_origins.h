/*
 * gate_origins.h - remembers which software began each stream, so that a caller whose connection
 * broke can take it up at any node. Pure: no I/O and no clock.
 *
 * The node that begins a stream tells BCT_GATE_ORIGIN_COPIES others, chosen by the caller's attempt
 * alike on all nodes; a node to which the caller returns asks those. A record is kept for as long
 * as a stream can be taken up; if there are too many, the oldest is dropped first.
 */
#ifndef BCT_POLICY_GATE_ORIGINS_H
#define BCT_POLICY_GATE_ORIGINS_H

#include "base/clock.h"
#include "base/list.h"
#include "base/map.h"
#include "policy/gate_origin.h"

#define BCT_GATE_ORIGINS_MAX 16384
#define BCT_GATE_ORIGIN_KEEP_MS 60000 /* longer than streams and the pauses of callers last */
#define BCT_GATE_ORIGIN_COPIES 2
/* Nodes asked in a large fleet: members may have come and gone, and one may be the beginner. */
#define BCT_GATE_ORIGIN_ASKED 4
#define BCT_GATE_ORIGIN_ASK_ALL 8 /* in a fleet of up to so many nodes all are asked */

/* An observation that comes later than this after the last one follows a gap in which releases may
 * have come and gone: the process was suspended, or short of processor time. */
#define BCT_GATE_ORIGIN_GAP_MS 2000

/* The same for the registry's answers. An upstream that crashes stays listed for three of its
 * heartbeats, 3.6 s; an answer may be older than its arrival by the time limit of a call, 1 s. */
#define BCT_GATE_ORIGIN_BLIND_MS 2600

/* A stream may have begun at a run's successor that the registry listed so much later. */
#define BCT_GATE_ORIGIN_DOUBT_MS 1500
#define BCT_GATE_ORIGIN_DOUBT_OUTAGE_MS 15000 /* the same after an outage of the registry */

#define BCT_GATE_ORIGIN_ENDED 128 /* runs that are remembered */

/* A run with whose id another one, with other software, went on. */
typedef struct bct_gate_origin_ended {
	bct_gate_origin_t origin; /* of streams that began at it */
	bct_time_t since; /* streams that seem to begin at it from then on are the other's */
} bct_gate_origin_ended_t;

typedef struct bct_gate_origins {
	bct_map_t records;	/* attempt: record_t of gate_origins.c */
	bct_list_t by_age;	/* oldest first */
	bct_map_t services;	/* service key: service_t of gate_origins.c */
	uint32_t pass;		/* number of the last observation of all upstreams */
	bct_time_t observed_at; /* time of that; 0: none yet */
	bct_time_t answered_at; /* of the registry's answer that the upstreams observed matched */
	uint32_t keep_ms;	/* how long records are kept */
	/* Runs that turned out to have ended, a ring; see bct_gate_origins_doubt(3). */
	bct_gate_origin_ended_t ended[BCT_GATE_ORIGIN_ENDED];
	uint32_t n_ended; /* written in all */
} bct_gate_origins_t;

/* A request that takes a stream up of which there is no record. */
typedef struct bct_gate_take_up {
	uint64_t service_key;
	bct_time_t arrived; /* its stream began before */
	bct_time_t as_of;   /* when the upstreams known were those of the registry */
	uint32_t limit_ms;  /* time limit of its route */
	int64_t wait_ms;    /* that its caller still waits; negative: not stated */
	bool named; /* it names the attempt that began the stream, so a record was expected */
} bct_gate_take_up_t;

void bct_gate_origins_init(bct_gate_origins_t *t);
void bct_gate_origins_free(bct_gate_origins_t *t);

/*
 * bct_gate_origin_attempt(3): identifies a caller's attempt that began a stream. Another account's
 * attempt with the same id is another one.
 */
uint64_t bct_gate_origin_attempt(const char *attempt_id, const char *account);

/*
 * bct_gate_origins_put(3): record what began a stream. The first record of an attempt stays. A
 * record by a node that did not know yet that the run had ended counts as none.
 *
 * age_ms   since the stream began
 * returns  0, also if there was one; -BCT_ENOMEM
 */
int bct_gate_origins_put(bct_gate_origins_t *t, bct_time_t now, uint64_t attempt,
			 const bct_gate_origin_t *o, uint32_t age_ms);

/*
 * bct_gate_origins_get(3): look up what began a stream.
 *
 * age_ms   receives the time since it began; may be NULL
 * returns  false if that is not known
 */
bool bct_gate_origins_get(const bct_gate_origins_t *t, bct_time_t now, uint64_t attempt,
			  bct_gate_origin_t *out, uint32_t *age_ms);

/*
 * bct_gate_origins_doubt(3): an upstream turned out to be another run, with other software, than
 * the one known, at which streams of the origin began. Those that seemed to begin there in the last
 * doubt_ms, or of which other nodes tell later, may have begun at its successor: what began them is
 * not known.
 * bct_gate_origins_doubts(3): whether that holds for a stream that began age_ms ago.
 */
void bct_gate_origins_doubt(bct_gate_origins_t *t, bct_time_t now, const bct_gate_origin_t *ended,
			    uint32_t doubt_ms);
bool bct_gate_origins_doubts(const bct_gate_origins_t *t, bct_time_t now,
			     const bct_gate_origin_t *o, uint32_t age_ms);

/*
 * bct_gate_origins_sweep(3): drops records that are too old.
 *
 * limit_ms  the longest time limit of a route: a record outlives its stream and its caller's pause
 */
void bct_gate_origins_sweep(bct_gate_origins_t *t, bct_time_t now, uint32_t limit_ms);

/*
 * bct_gate_origins_observe(3): notes which releases the services run; to be called periodically.
 * answered_at is the time of the registry's latest answer that the upstreams match. What was known
 * before a gap between calls or between answers, or before the registry stopped to answer, says
 * nothing about the time since.
 * bct_gate_origins_sole(3): the release of all upstreams of a service that were known in the last
 * ms, which began any stream of that time; 0 if there were several or it is not known.
 */
void bct_gate_origins_observe(bct_gate_origins_t *t, bct_time_t now, bct_time_t answered_at,
			      const bct_gate_upstreams_t *upstreams);
uint64_t bct_gate_origins_sole(const bct_gate_origins_t *t, bct_time_t now, uint64_t service_key,
			       uint32_t ms);

/* What can be said of a stream of which nobody has a record. */
typedef struct bct_gate_conclusion {
	uint64_t release; /* that must have begun it; 0: not known */
	bool unconfirmed; /* it is known unless the registry lists another one by now */
	uint32_t window_ms;
} bct_gate_conclusion_t;

/*
 * bct_gate_origins_conclude(3): the release that must have begun a stream of which nobody has a
 * record, as there was no other for as long as its caller can have waited, window_ms, up to its
 * arrival. What this node knows of the time before does not do: it may be the one that has not
 * heard of a release at whose upstreams other nodes begin streams.
 */
bct_gate_conclusion_t bct_gate_origins_conclude(const bct_gate_origins_t *t, bct_time_t now,
						const bct_gate_take_up_t *u);

/*
 * bct_gate_origin_homes(3): the nodes that keep the record of an attempt, best first.
 *
 * nodes    incarnations of the live nodes, n of them
 * out      receives up to max of them
 * returns  their number
 */
uint32_t bct_gate_origin_homes(uint64_t attempt, const uint64_t *nodes, uint32_t n, uint64_t *out,
			       uint32_t max);

#endif
