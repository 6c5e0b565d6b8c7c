/*
 * sched.h - the one interface of a node's decisions: events go in, actions come out.
 *
 * A scheduler is a pure state machine. Time, observations and what other nodes say are arguments;
 * it does no I/O, takes no lock and starts no thread. The daemon, the differential tests and the
 * policy bench drive the same code; policy/naive.h is the plain version behind the same vtable.
 */
#ifndef BCT_POLICY_SCHED_H
#define BCT_POLICY_SCHED_H

#include "base/clock.h"
#include "base/counter.h"
#include "policy/conf.h"
#include "policy/reason.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_PREFIX_BLOCK_TOKENS 128
#define BCT_PREFIX_MAX 32
#define BCT_ITEM_VALUES 4

typedef struct bct_sched bct_sched_t;

/* A request as the policy sees it. Its output length is not known. */
typedef struct bct_req_desc {
	uint64_t req_id; /* unique on this node, never reused */
	uint64_t account_key;
	uint64_t class_key;
	uint64_t digest;      /* of the body; equal bodies have equal digests */
	uint64_t session_key; /* 0: none */
	bct_time_t arrived;
	uint32_t prompt_tokens; /* estimate */
	uint32_t max_output_tokens;
	bool repeatable;
	uint8_t n_prefix;
	uint64_t prefix[BCT_PREFIX_MAX]; /* [i]: hash of the prompt's first i + 1 blocks */
} bct_req_desc_t;

/* How an attempt at an upstream ended. */
typedef enum bct_outcome {
	BCT_OUTCOME_OK = 0,	    /* the answer is whole */
	BCT_OUTCOME_CONNECT_FAILED, /* no byte was sent */
	BCT_OUTCOME_BUSY,	    /* the upstream refused it and did not run it */
	BCT_OUTCOME_RESET,	    /* the connection broke; the upstream may have crashed */
	BCT_OUTCOME_TIMEOUT,	    /* no first token in time */
	BCT_OUTCOME_STALLED,	    /* silence inside a stream */
	BCT_OUTCOME_BAD_ANSWER,	    /* malformed or failed answer */
	BCT_OUTCOME_MISMATCHED,	    /* the answer carried another attempt's id */
	BCT_OUTCOME_CANCELLED,	    /* ended by a CANCEL action or the caller's leaving */
	BCT_OUTCOME_NOT_SENT, /* the node itself did not send it (its key was already taken) */
} bct_outcome_t;

typedef struct bct_attempt_end {
	uint64_t attempt_id;
	bct_outcome_t outcome;
	uint32_t tokens;	 /* output tokens of this attempt */
	uint32_t retry_after_ms; /* as told by the upstream; 0: not told */
	bool may_have_run;	 /* false only if the upstream surely did no work */
} bct_attempt_end_t;

/* What an engine says of itself; late by age_ms when it reaches the scheduler. */
typedef struct bct_report {
	uint64_t upstream_key;
	uint64_t boot_id; /* changes when the engine restarts */
	uint64_t seq;	  /* grows within a boot; an older report is dropped */
	uint32_t age_ms;
	uint32_t running;
	uint32_t waiting;
	uint32_t running_by_tier[BCT_TIERS];
	uint32_t waiting_tokens; /* prompt tokens not yet prefilled */
	uint32_t kv_used_tokens;
	uint32_t kv_total_tokens;
	uint32_t tokens_per_s; /* generated, whole engine */
	bool leaving;	       /* the engine's own notice */
} bct_report_t;

typedef enum bct_cache_op {
	BCT_CACHE_ADD = 1,
	BCT_CACHE_REMOVE,
	BCT_CACHE_RESET, /* everything is forgotten */
} bct_cache_op_t;

/* Prefix-cache events come late and with gaps; seq shows the gaps. */
typedef struct bct_cache_event {
	uint64_t upstream_key;
	uint64_t seq;
	uint64_t block; /* a prefix hash as in bct_req_desc_t */
	bct_cache_op_t op;
} bct_cache_event_t;

/*
 * Facts that nodes share. SUM items are added up over all live nodes by the coordination layer
 * and come back as totals; MAX items are spread to all nodes and merged by maximum.
 *
 * DEF(name, merge, text)
 */
#define BCT_ITEM_LIST(DEF)                                                                  \
	DEF(ACCOUNT, SUM, "key account; requests/s x1000, tokens/s, running, queued")       \
	DEF(TIER, SUM, "key model, key2 tier; queued, running, oldest wait ms, shed level") \
	DEF(UPSTREAM, SUM, "key upstream; attempts outstanding, tokens outstanding")        \
	DEF(RETRY, SUM, "key 0; first attempts/s x1000, retries/s x1000")                   \
	DEF(SUSPECT, MAX, "key digest; crashes, upstream of the last, cleared, expires in ms")

typedef enum bct_item_type {
#define DEF(name, merge, text) BCT_ITEM_##name,
	BCT_ITEM_LIST(DEF)
#undef DEF
		BCT_ITEM_COUNT,
} bct_item_type_t;

typedef struct bct_item {
	bct_item_type_t type;
	uint64_t key;
	uint64_t key2;
	int64_t v[BCT_ITEM_VALUES];
} bct_item_t;

/* A SUM item over the fleet (this node included), or a MAX item of another node. */
typedef struct bct_total {
	bct_item_t item;
	uint32_t nodes;	 /* how many nodes are in the sum */
	uint32_t age_ms; /* of its oldest part */
} bct_total_t;

/* The fleet as membership sees it. */
typedef struct bct_fleet {
	uint32_t nodes;	   /* live, this one included */
	uint32_t rank;	   /* of this node among them, from 0 */
	uint64_t node_key; /* hash of this node's name */
	uint64_t region_key;
	uint64_t failure_domain_key;
} bct_fleet_t;

typedef enum bct_action_type {
	BCT_ACTION_DISPATCH = 1, /* give req_id to upstream_key as attempt_id */
	BCT_ACTION_REFUSE,	 /* tell the caller; no attempt of it is running */
	BCT_ACTION_CANCEL, /* stop attempt_id at its upstream; the request waits or has ended */
} bct_action_type_t;

typedef struct bct_action {
	bct_action_type_t type;
	uint64_t req_id;
	uint64_t
		attempt_id; /* unique over nodes and restarts: the node's incarnation is mixed in */
	uint64_t upstream_key;
	uint8_t priority;	/* the tier, or 1 where the tier's floor pays for it */
	bool alone;		/* a suspect: the upstream must run nothing else of ours */
	uint32_t resume_tokens; /* tokens the caller already has; the engine continues after them */
	uint64_t kv_source_key; /* engine to import the prefix from; 0: none */
	bct_retry_t retry;	/* why it is dispatched again; NONE the first time */
	bct_refuse_t refuse;
	bct_run_t run; /* what a refused caller may be told */
	uint32_t retry_after_ms;
} bct_action_t;

/* One line of a decision trace; policy/invariant.h checks them. */
typedef enum bct_trace_type {
	BCT_TRACE_SUBMIT = 1,
	BCT_TRACE_DISPATCH,
	BCT_TRACE_REFUSE,
	BCT_TRACE_PREEMPT, /* cancelled in favour of another tier, to be resumed */
	BCT_TRACE_FIRST_TOKEN,
	BCT_TRACE_END,
	BCT_TRACE_SHED_LEVEL, /* value: tiers above this number are shed; BCT_TIERS: none */
} bct_trace_type_t;

#define BCT_TRACE_REPEATABLE 1 /* value of a SUBMIT: the request may be run again */
#define BCT_TRACE_NOT_PREEMPTIBLE                                                  \
	0x100 /* in a DISPATCH: not preemptible, by the floor's claim or by nature \
	       */

typedef struct bct_trace {
	bct_trace_type_t type;
	bct_time_t now;
	uint64_t node_key;
	uint64_t req_id;
	uint64_t account_key;
	uint64_t target_key;
	uint64_t upstream_key;
	/* SUBMIT: BCT_TRACE_REPEATABLE or 0; DISPATCH: bct_retry_t and BCT_TRACE_NOT_PREEMPTIBLE;
	 * REFUSE: bct_refuse_t; PREEMPT: tier it made way for; END: bct_outcome_t of one attempt */
	uint64_t value;
	uint8_t tier;
} bct_trace_t;

typedef struct bct_sched_opts {
	uint64_t seed;
	uint64_t incarnation; /* mixed into attempt ids */
	bct_fleet_t fleet;
	uint32_t max_queued;	/* requests waiting on this node, all tiers */
	bct_counter_t *refused; /* BCT_REFUSE_COUNT counters, or NULL */
	bct_counter_t *retried; /* BCT_RETRY_COUNT counters, or NULL */
	void (*trace)(void *ctx, const bct_trace_t *t); /* or NULL */
	void *trace_ctx;
} bct_sched_opts_t;

typedef struct bct_sched_ops {
	const char *name;
	void (*destroy)(bct_sched_t *s);
	int (*configure)(bct_sched_t *s, bct_time_t now, bct_conf_t *conf);
	int (*submit)(bct_sched_t *s, bct_time_t now, const bct_req_desc_t *req);
	void (*cancel)(bct_sched_t *s, bct_time_t now, uint64_t req_id);
	void (*sent)(bct_sched_t *s, bct_time_t now, uint64_t attempt_id);
	void (*tokens)(bct_sched_t *s, bct_time_t now, uint64_t attempt_id, uint32_t total);
	void (*attempt_end)(bct_sched_t *s, bct_time_t now, const bct_attempt_end_t *end);
	void (*report)(bct_sched_t *s, bct_time_t now, const bct_report_t *r);
	void (*cache_event)(bct_sched_t *s, bct_time_t now, const bct_cache_event_t *e);
	void (*total)(bct_sched_t *s, bct_time_t now, const bct_total_t *t);
	void (*fleet)(bct_sched_t *s, bct_time_t now, const bct_fleet_t *f);
	void (*leaving)(bct_sched_t *s, bct_time_t now, uint64_t upstream_key, bool leaving);
	uint32_t (*publish)(bct_sched_t *s, bct_time_t now, bct_item_t *out, uint32_t max);
	uint32_t (*poll)(bct_sched_t *s, bct_time_t now, bct_action_t *out, uint32_t max);
	bct_time_t (*next_wake)(const bct_sched_t *s);
} bct_sched_ops_t;

/* Each implementation has this as its first member. */
struct bct_sched {
	const bct_sched_ops_t *ops;
};

/*
 * bct_sched_new(3): the scheduler that the daemon runs.
 *
 * returns  0 or -BCT_ENOMEM
 */
int bct_sched_new(const bct_sched_opts_t *opts, bct_sched_t **out);

static inline void bct_sched_free(bct_sched_t *s)
{
	if (s)
		s->ops->destroy(s);
}

/*
 * bct_sched_configure(3): put a configuration in force. The scheduler takes its own reference.
 * Requests of accounts or classes that are gone keep the terms they were admitted under.
 *
 * returns  0 or -BCT_ENOMEM; on failure the old one stays in force
 */
static inline int bct_sched_configure(bct_sched_t *s, bct_time_t now, bct_conf_t *conf)
{
	return s->ops->configure(s, now, conf);
}

/*
 * bct_sched_submit(3): hand in a request. Admission may refuse it at once, by a REFUSE action.
 *
 * returns  0; -BCT_ENOMEM or -BCT_ENOT_FOUND (account or class), and then it was not taken
 */
static inline int bct_sched_submit(bct_sched_t *s, bct_time_t now, const bct_req_desc_t *req)
{
	return s->ops->submit(s, now, req);
}

/* bct_sched_cancel(3): the caller left. No REFUSE action follows; a running attempt is cancelled.
 */
static inline void bct_sched_cancel(bct_sched_t *s, bct_time_t now, uint64_t req_id)
{
	s->ops->cancel(s, now, req_id);
}

/* bct_sched_sent(3): the first byte of an attempt went out. */
static inline void bct_sched_sent(bct_sched_t *s, bct_time_t now, uint64_t attempt_id)
{
	s->ops->sent(s, now, attempt_id);
}

/* bct_sched_tokens(3): output tokens that this attempt has produced so far. */
static inline void bct_sched_tokens(bct_sched_t *s, bct_time_t now, uint64_t attempt_id,
				    uint32_t total)
{
	s->ops->tokens(s, now, attempt_id, total);
}

/*
 * bct_sched_attempt_end(3): an attempt ended. After OK, NOT_SENT or a cancel the request is
 * finished; after any other outcome a DISPATCH or a REFUSE for it follows from poll.
 * An attempt that CANCEL named must still be ended with BCT_OUTCOME_CANCELLED (or how it ended).
 */
static inline void bct_sched_attempt_end(bct_sched_t *s, bct_time_t now,
					 const bct_attempt_end_t *end)
{
	s->ops->attempt_end(s, now, end);
}

static inline void bct_sched_report(bct_sched_t *s, bct_time_t now, const bct_report_t *r)
{
	s->ops->report(s, now, r);
}

static inline void bct_sched_cache_event(bct_sched_t *s, bct_time_t now, const bct_cache_event_t *e)
{
	s->ops->cache_event(s, now, e);
}

/* bct_sched_total(3): a fleet total (SUM) or another node's fact (MAX) arrived. */
static inline void bct_sched_total(bct_sched_t *s, bct_time_t now, const bct_total_t *t)
{
	s->ops->total(s, now, t);
}

static inline void bct_sched_fleet(bct_sched_t *s, bct_time_t now, const bct_fleet_t *f)
{
	s->ops->fleet(s, now, f);
}

/* bct_sched_leaving(3): from now on no new work for the upstream; what runs there goes on. */
static inline void bct_sched_leaving(bct_sched_t *s, bct_time_t now, uint64_t upstream_key,
				     bool leaving)
{
	s->ops->leaving(s, now, upstream_key, leaving);
}

/* bct_sched_publish(3): what this node tells the others; called about once a second. */
static inline uint32_t bct_sched_publish(bct_sched_t *s, bct_time_t now, bct_item_t *out,
					 uint32_t max)
{
	return s->ops->publish(s, now, out, max);
}

/* bct_sched_poll(3): take the next actions; fewer than max means that there are no more now. */
static inline uint32_t bct_sched_poll(bct_sched_t *s, bct_time_t now, bct_action_t *out,
				      uint32_t max)
{
	return s->ops->poll(s, now, out, max);
}

/* bct_sched_next_wake(3): when poll must be called again if no event comes before. */
static inline bct_time_t bct_sched_next_wake(const bct_sched_t *s)
{
	return s->ops->next_wake(s);
}

#endif
