/*
 * sched_int.h - the state of a scheduler made by bct_sched_new(3), private to its modules.
 *
 * Accounts hold classes; a class belongs to one target (a model or a service); a target has a queue
 * per tier and the upstreams that this node uses for it. A request has at most one live attempt.
 * No memory is allocated between submit and the end of a request.
 *
 * Each tier has a floor, a guaranteed share of the dispatches. It protects low tiers from starving:
 * a request that its floor grants is served before all queues and is never preempted.
 */
#ifndef BCT_POLICY_SCHED_INT_H
#define BCT_POLICY_SCHED_INT_H

#include "base/heap.h"
#include "base/list.h"
#include "base/map.h"
#include "base/rng.h"
#include "policy/abandoned.h"
#include "policy/budget.h"
#include "policy/length.h"
#include "policy/limit.h"
#include "policy/load.h"
#include "policy/prefix.h"
#include "policy/queue.h"
#include "policy/sched.h"
#include "policy/suspect.h"

#define BCT_TOTAL_MAX_AGE_MS 5000 /* older totals justify no refusal */

typedef struct bct_target bct_target_t;
typedef struct bct_up bct_up_t;

typedef struct bct_acct {
	uint64_t key;
	uint32_t index; /* position in the configuration, the same on every node */
	bct_limit_t limit;
	bool seen; /* in the configuration in force */
} bct_acct_t;

/* The terms of one service class of one account, from the configuration. */
typedef struct bct_terms {
	uint64_t key; /* hash of account and class */
	bct_acct_t *account;
	bct_target_t *target;
	uint8_t tier;
	uint32_t ttft_ms;
	uint32_t deadline_ms;
	uint32_t max_output_tokens;
	bool repeatable;
	bool seen; /* in the configuration in force */
	bct_length_t length;
} bct_terms_t;

typedef enum bct_req_state {
	BCT_REQ_NEW = 0,
	BCT_REQ_QUEUED,	 /* in the queue of its tier */
	BCT_REQ_GRANTED, /* granted by its tier's floor: served before all queues */
	BCT_REQ_HELD,	 /* waits for a time or for an upstream reserved for it */
	BCT_REQ_RUNNING, /* an attempt is at an upstream */
	BCT_REQ_ENDING,	 /* the attempt was cancelled and has not ended yet */
	BCT_REQ_REFUSED, /* its REFUSE action waits for poll */
} bct_req_state_t;

/* Why a running attempt was cancelled; determines what follows its end. */
typedef enum bct_stop {
	BCT_STOP_NONE = 0,
	BCT_STOP_PREEMPT,
	BCT_STOP_DEADLINE,
	BCT_STOP_DISCONNECTED,
} bct_stop_t;

typedef struct bct_sreq {
	bct_req_desc_t desc;
	bct_terms_t *terms;
	bct_target_t *target;
	bct_req_state_t state;
	uint8_t tier;
	bool repeatable;
	bool maybe_ran;	      /* some attempt may have run */
	bool granted;	      /* granted by its tier's floor; never preempted */
	bool first_sent;      /* dispatched before, and counted as a first attempt */
	bool non_preemptible; /* the current attempt is never preempted */
	bool admitted;	      /* charged to the account's limits */
	int64_t charged_tokens;
	bct_time_t deadline; /* BCT_TIME_NEVER: none */
	bct_queue_item_t item;
	bct_heap_node_t timer;
	bct_list_t outbox;  /* link in core.outbox while an action waits */
	bct_list_t line;    /* link in target.granted, target.held or tier.preemptible */
	bct_list_t up_link; /* link in upstream.attempts */

	uint64_t attempt_id;
	bct_up_t *up;
	bct_time_t dispatched_at;
	bct_time_t first_token_at; /* BCT_TIME_NEVER: none yet */
	uint32_t prefill_tokens;   /* predicted for this attempt */
	uint32_t predicted_ttft_ms;
	uint32_t attempt_tokens;
	uint32_t sample_tokens; /* attempt_tokens at the last speed sample */
	bct_time_t sample_at;
	bct_time_t sample_max_gap_ms; /* longest inter-token gap since then */
	bct_time_t progress_at;	      /* time of the latest token */
	uint32_t tokens;	      /* output of earlier attempts, which the caller already has */
	uint64_t software_key;	      /* of the upstream that wrote the first of them */
	bool sent;		      /* the first byte of the attempt was sent */
	bool alone; /* the attempt runs as a crash suspect, alone on its upstream */
	bct_stop_t stop;

	bct_retry_t retry;  /* reason of the next dispatch, NONE for the first */
	uint64_t avoid_key; /* upstream of the latest failed attempt; 0: none */
	uint8_t tries;	    /* failed attempts that may have run */
	uint8_t not_run;    /* attempts that certainly did not run */
	uint8_t preempts;   /* times it was preempted */
	uint64_t kv_source_key;
	bct_refuse_t refuse;
	uint32_t retry_after_ms;
} bct_sreq_t;

typedef struct bct_tier_total {
	int64_t queued;
	int64_t running;
	int64_t overloaded_nodes; /* number of nodes on which the tier is overloaded */
	uint32_t nodes;
	bct_time_t at; /* BCT_TIME_NEVER: none received */
} bct_tier_total_t;

typedef struct bct_tier {
	bct_queue_t queue;
	bct_list_t preemptible; /* running requests, newest last */
	uint32_t n_running;
	uint32_t n_preemptible; /* of the n_running */
	uint32_t n_held;
	uint32_t n_granted;
	/*
	 * Waiting requests that are not shed: granted by the floor, held, or with output at the
	 * caller.
	 */
	uint32_t n_committed;
	uint32_t floor_permille;
	bct_length_t length;	     /* over all classes; used until a class has enough answers */
	bct_length_t first_token_ms; /* from dispatch, as running quantiles */
	int64_t credit_tokens;	     /* credit of the floor; negative when borrowed */
	uint32_t turn;		  /* index of the account that may borrow on the floor's credit */
	bct_time_t turn_at;	  /* start of that turn */
	bct_time_t overloaded_at; /* when a predicted wait last exceeded the longest accepted one */
	/* Start of the latest overload without a long pause; BCT_TIME_NEVER: none yet. */
	bct_time_t overloaded_since;
	bct_tier_total_t total;
	int64_t published_queued;	 /* as last published */
	int64_t published_queued_before; /* as published before; totals may still use it */
	int64_t published_running;
} bct_tier_t;

/* Upstreams of a target that can take one more request. */
typedef enum bct_set {
	BCT_SET_OPEN = 0,   /* for urgent and granted requests */
	BCT_SET_UNRESERVED, /* for all requests: has free slots beyond the reserve */
	BCT_SET_SLOW,	    /* slow upstreams, for requests that missed their targets */
	BCT_SETS,
} bct_set_t;

typedef struct bct_up_set {
	bct_up_t **ups;
	uint32_t n;
} bct_up_set_t;

struct bct_target {
	uint64_t key;
	bct_upstream_kind_t kind;
	bct_tier_t tiers[BCT_TIERS]; /* [0] is tier 1 */
	bct_list_t granted;
	bct_list_t held;
	bct_list_t ready;     /* link in core.ready while there may be work to dispatch */
	bct_heap_node_t wake; /* in core.target_wakes */
	bct_up_t **ups;	      /* the subset of upstreams that this node uses */
	uint32_t n_ups;
	bct_up_set_t sets[BCT_SETS];
	uint8_t urgent_tier;	 /* the lowest tier that is served first and cannot wait; 0: none */
	uint8_t lowest_tier;	 /* of all classes */
	uint32_t urgent_ttft_ms; /* the shortest TTFT target of its classes; 0: none */
	double service_ms;	 /* duration of an attempt, smoothed */
	uint32_t cap_ups;
	uint32_t required_ups; /* number of upstreams in the configuration being applied */
	uint32_t n_usable;     /* upstreams that are not leaving */
	uint32_t n_all;	       /* configured upstreams, whether used by this node or not */
	uint32_t slots;	       /* of the n_usable upstreams */
	uint32_t n_alone;      /* upstreams reserved for suspects */
	uint32_t n_queued;
	uint32_t pending_preempts;
	double share; /* of the target's capacity that this node may use, 0 to 1 */
	double drain_tokens_per_ms;
	bct_time_t drain_window_at; /* start of the window of drained_tokens */
	bct_time_t last_dequeue_at; /* last dispatch from the queues */
	int64_t drained_tokens;
	/* From then on requests are refused, as no upstream is usable; BCT_TIME_NEVER: some is. */
	bct_time_t unusable_at;
	uint8_t shed_level; /* tiers above this number are shed */
};

struct bct_up {
	uint64_t key;
	bct_upstream_kind_t kind;
	uint64_t region_key;
	uint64_t failure_domain_key;
	double prefill_tokens_per_ms;
	double decode_tokens_per_ms;
	bool honours_priority;
	bool resumes;		 /* can continue an answer after given tokens */
	uint64_t software_key;	 /* of the version of its software; 0: not told */
	bool seen;		 /* in the configuration in force */
	bool configured_leaving; /* set by the configuration */
	bool notified_leaving;	 /* set by bct_sched_leaving(3) */
	bool reported_leaving;	 /* set by its own report */
	bct_load_t load;
	uint64_t boot_id;
	bct_time_t boot_at; /* when a boot after the first one became known; 0: never */
	uint64_t report_seq;
	bct_time_t report_at;		     /* time that the latest report describes */
	uint32_t running_by_tier[BCT_TIERS]; /* as last reported */
	uint32_t local_by_tier[BCT_TIERS];   /* running attempts of this node */
	uint32_t sent_by_tier[BCT_TIERS];    /* dispatched since that report, by priority */
	uint16_t index; /* in core.by_index; identifies it in the prefix index */
	bct_prefix_feed_t feed;
	bct_list_t attempts; /* newest last */
	bct_target_t *targets[BCT_MODELS_PER_UPSTREAM];
	/* [set][k]: position in targets[k]->sets[set] plus 1; 0: not a member. */
	uint32_t pos[BCT_SETS][BCT_MODELS_PER_UPSTREAM];
	bool in_subset[BCT_MODELS_PER_UPSTREAM];
	uint32_t n_targets;
	bct_time_t down_until; /* end of the back-off after a failure or a busy answer */
	uint32_t failures;     /* consecutive */
	bct_heap_node_t wake;  /* in core.up_wakes */
	bool slow;	       /* below the threshold of speed; see bct_up_slow_check() */
	double speed;	       /* observed to expected progress, smoothed; 1: as expected */
	/* The suspect that runs, or waits to run, alone on this upstream; NULL: none. */
	bct_sreq_t *alone;
};

typedef struct bct_core {
	bct_sched_t base; /* must be the first member */
	bct_sched_opts_t opts;
	bct_fleet_t fleet;
	uint32_t held_nodes;   /* see bct_limit_fleet_t; 0: none vanished lately */
	bct_time_t held_until; /* end of the hold time of held_nodes */
	bct_conf_t *conf;
	bct_rng_t rng;
	bct_map_t accounts;
	bct_map_t terms;
	bct_map_t targets;
	bct_map_t flows;
	bct_map_t ups;
	bct_map_t reqs;	     /* by request id */
	bct_map_t attempts;  /* by attempt id */
	bct_up_t **by_index; /* upstreams by bct_up_t.index */
	uint32_t n_index;
	uint32_t cap_index;
	bct_prefix_t prefix;
	bct_suspects_t suspects;
	bct_abandoned_list_t abandoned; /* attempts that may yet prove to be crashes */
	bct_budget_t budget;
	bct_heap_t timers;	 /* deadlines and hold times of requests */
	bct_heap_t up_wakes;	 /* ends of upstreams' back-offs */
	bct_heap_t target_wakes; /* when targets must be dispatched again */
	bct_list_t outbox;	 /* requests whose action waits for poll */
	uint32_t n_outbox;
	bct_list_t ready; /* targets that may have work to dispatch */
	uint64_t next_attempt;
	uint32_t n_queued;
} bct_core_t;

/* A routing decision: the upstream of a request and what is predicted there. */
typedef struct bct_route {
	bct_up_t *up;		 /* NULL: no upstream fits now */
	uint64_t kv_source_key;	 /* engine to import the prefix from; 0: none */
	uint32_t prefill_tokens; /* prompt tokens that the upstream must compute */
	uint32_t ttft_ms;
} bct_route_t;

/* sched.c */
void bct_core_state(bct_core_t *c, bct_sreq_t *r, bct_req_state_t state);
uint8_t bct_core_priority(const bct_sreq_t *r);
const bct_length_t *bct_core_length(const bct_terms_t *terms);
void bct_core_trace(bct_core_t *c, bct_time_t now, bct_trace_type_t type, const bct_sreq_t *r,
		    uint64_t upstream_key, uint64_t value);
void bct_core_trace_level(bct_core_t *c, bct_time_t now, const bct_target_t *t);
bct_limit_fleet_t bct_core_limit_fleet(const bct_core_t *c);

/* setup.c: objects of the configuration. */
int bct_setup_configure(bct_core_t *c, bct_time_t now, bct_conf_t *conf);
void bct_setup_subsets(bct_core_t *c, bct_time_t now);
void bct_setup_free(bct_core_t *c);

/* upstream.c: health and capacity of upstreams. */
bool bct_up_usable(const bct_up_t *u);

/*
 * bct_up_may_go_on(3): whether the upstream may continue r after the output that its caller has:
 * it can, and its software is of the version that began. Without output any may run it.
 */
bool bct_up_may_go_on(const bct_up_t *u, const bct_sreq_t *r);
uint32_t bct_up_reserved(const bct_up_t *u, const bct_target_t *t);
void bct_up_slow_check(bct_core_t *c, bct_time_t now, bct_up_t *u);
void bct_up_backoff_ended(bct_core_t *c, bct_time_t now, bct_up_t *u);
void bct_up_refresh(bct_core_t *c, bct_time_t now, bct_up_t *u);
void bct_up_update_quota(bct_core_t *c, bct_up_t *u);
void bct_up_count_usable(bct_core_t *c, bct_time_t now, bct_target_t *t);
void bct_up_failed(bct_core_t *c, bct_time_t now, bct_up_t *u, uint32_t hold_ms);
void bct_up_reserve(bct_core_t *c, bct_time_t now, bct_up_t *u, bct_sreq_t *r);
void bct_up_release(bct_core_t *c, bct_up_t *u);
void bct_up_answered(bct_core_t *c, bct_time_t now, bct_up_t *u);
void bct_up_report(bct_core_t *c, bct_time_t now, const bct_report_t *r);
void bct_up_leaving(bct_core_t *c, bct_time_t now, uint64_t key, bool leaving);
void bct_up_progress(bct_up_t *u, double observed_to_expected, double weight);

/* admit.c: admission and refusals. */
int bct_admit_submit(bct_core_t *c, bct_time_t now, const bct_req_desc_t *desc);
void bct_admit_enqueue(bct_core_t *c, bct_time_t now, bct_sreq_t *r);
void bct_admit_unqueue(bct_core_t *c, bct_sreq_t *r);
void bct_admit_refuse(bct_core_t *c, bct_time_t now, bct_sreq_t *r, bct_refuse_t why,
		      uint32_t retry_after_ms);
void bct_admit_free(bct_core_t *c, bct_sreq_t *r);
uint32_t bct_admit_retry_ms(const bct_target_t *t, uint8_t tier);

/* shed.c: load shedding. */
bct_refuse_t bct_shed_admit(bct_core_t *c, bct_time_t now, bct_sreq_t *r);
void bct_shed_level(bct_core_t *c, bct_time_t now, bct_target_t *t);
bool bct_shed_overloaded(const bct_tier_t *tier, bct_time_t now);
void bct_shed_restart_window(bct_target_t *t, bct_time_t now);
void bct_shed_queue_started(bct_target_t *t, bct_time_t now);
void bct_shed_note_drain(bct_target_t *t, bct_time_t now, int64_t cost_tokens);

/* dispatch.c: from the queues to the upstreams. */
void bct_dispatch_target(bct_core_t *c, bct_time_t now, bct_target_t *t, uint32_t max);
bool bct_dispatch_overcommit(bct_core_t *c, bct_time_t now, bct_sreq_t *r);
void bct_dispatch_ready(bct_core_t *c, bct_target_t *t);
void bct_dispatch_grant(bct_core_t *c, bct_time_t now, bct_target_t *t);
void bct_dispatch_hold(bct_core_t *c, bct_sreq_t *r, bct_time_t until);
void bct_dispatch_timer(bct_core_t *c, bct_time_t now, bct_sreq_t *r);
void bct_dispatch_handover(bct_core_t *c, bct_time_t now, bct_up_t *u, bct_target_t *t,
			   uint8_t tier);
void bct_dispatch_alone(bct_core_t *c, bct_time_t now, bct_up_t *u);

/* preempt.c: slots for a higher tier. */
bool bct_preempt_allowed(const bct_sreq_t *r);
void bct_preempt_target(bct_core_t *c, bct_time_t now, bct_target_t *t);

/* attempt.c: the life cycle of an attempt. */
void bct_attempt_start(bct_core_t *c, bct_time_t now, bct_sreq_t *r, const bct_route_t *route);
void bct_attempt_tokens(bct_core_t *c, bct_time_t now, uint64_t attempt_id, uint32_t total);
void bct_attempt_end(bct_core_t *c, bct_time_t now, const bct_attempt_end_t *end);
void bct_attempt_stop(bct_core_t *c, bct_time_t now, bct_sreq_t *r, bct_stop_t why);

/* retry.c: what follows a failed attempt. */
bct_suspect_state_t bct_retry_note_crash(bct_core_t *c, bct_time_t now, const bct_sreq_t *r,
					 const bct_up_t *u, const bct_attempt_end_t *end);
void bct_retry_note_abandoned(bct_core_t *c, bct_time_t now, const bct_sreq_t *r, const bct_up_t *u,
			      const bct_attempt_end_t *end);
/* A new boot of an upstream became known: attempts given up before may have crashed it. */
void bct_retry_check_abandoned(bct_core_t *c, bct_time_t now);
void bct_retry_decide(bct_core_t *c, bct_time_t now, bct_sreq_t *r, bct_up_t *u,
		      const bct_attempt_end_t *end);

/* route.c: choice of an upstream. */
bct_route_t bct_route_choose(bct_core_t *c, bct_time_t now, bct_target_t *t, const bct_sreq_t *r,
			     bct_set_t set);
bct_route_t bct_route_overcommit(bct_core_t *c, bct_time_t now, bct_target_t *t,
				 const bct_sreq_t *r);
bct_route_t bct_route_to(bct_core_t *c, bct_time_t now, bct_target_t *t, const bct_sreq_t *r,
			 bct_up_t *u);
bct_route_t bct_route_uncached(const bct_sreq_t *r, bct_up_t *u);
bct_up_t *bct_route_for_suspect(const bct_core_t *c, bct_target_t *t, bct_time_t now,
				const bct_sreq_t *r);

/* fleet.c: values exchanged with other nodes. */
void bct_fleet_total(bct_core_t *c, bct_time_t now, const bct_total_t *t);
uint32_t bct_fleet_publish(bct_core_t *c, bct_time_t now, bct_item_t *out, uint32_t max);

#endif
