/*
 * sched_int.h - the state behind bct_sched_new(3), shared by the modules of the scheduler alone.
 *
 * Objects: accounts hold classes; a class belongs to one target (a model or a service); a target
 * has a queue per tier and the upstreams that this node uses for it. A request holds its one
 * live attempt. Nothing is allocated between submit and the end of a request.
 */
#ifndef BCT_POLICY_SCHED_INT_H
#define BCT_POLICY_SCHED_INT_H

#include "base/heap.h"
#include "base/list.h"
#include "base/map.h"
#include "base/rng.h"
#include "policy/budget.h"
#include "policy/length.h"
#include "policy/limit.h"
#include "policy/load.h"
#include "policy/prefix.h"
#include "policy/queue.h"
#include "policy/sched.h"
#include "policy/suspect.h"

#define BCT_TOTAL_MAX_AGE_MS 5000 /* an older total is no base for a decision against a caller */

typedef struct bct_target bct_target_t;
typedef struct bct_up bct_up_t;

typedef struct bct_acct {
	uint64_t key;
	uint32_t index; /* in the configuration: the same on every node */
	bct_limit_t limit;
	bool seen; /* in the configuration being put in force */
} bct_acct_t;

/* The terms of one class of one account. */
typedef struct bct_terms {
	uint64_t key; /* of account and class */
	bct_acct_t *account;
	bct_target_t *target;
	uint8_t tier;
	uint32_t ttft_ms;
	uint32_t deadline_ms;
	uint32_t max_output_tokens;
	bool repeatable;
	bool seen;
	bct_length_t length;
} bct_terms_t;

typedef enum bct_req_state {
	BCT_REQ_NEW = 0,
	BCT_REQ_QUEUED,	 /* in the queue of its tier */
	BCT_REQ_GRANTED, /* its tier's floor pays: first in line */
	BCT_REQ_HELD,	 /* waits for a time or for an upstream of its own */
	BCT_REQ_RUNNING, /* an attempt is at an upstream */
	BCT_REQ_ENDING,	 /* the attempt was cancelled and must still end */
	BCT_REQ_REFUSED, /* its REFUSE action waits for poll */
} bct_req_state_t;

/* Why a running attempt was cancelled; decides what follows its end. */
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
	bool maybe_ran;	      /* an attempt of it may have run */
	bool granted;	      /* the floor pays for it; never preempted */
	bool first_sent;      /* counted as a first attempt */
	bool non_preemptible; /* its attempt is never preempted */
	bool admitted;	      /* charged to the account's limits */
	int64_t charged_tokens;
	bct_time_t deadline;
	bct_queue_item_t item;
	bct_heap_node_t timer;
	bct_list_t outbox;  /* in core.outbox while an action waits */
	bct_list_t line;    /* in target.granted, target.held or tier.preemptible */
	bct_list_t up_link; /* in upstream.attempts */

	uint64_t attempt_id;
	bct_up_t *up;
	bct_time_t dispatched_at;
	bct_time_t first_token_at;
	uint32_t prefill_tokens; /* expected of this attempt */
	uint32_t predicted_ttft_ms;
	uint32_t attempt_tokens;
	uint32_t sample_tokens; /* where the speed was last looked at */
	bct_time_t sample_at;
	bct_time_t sample_max_gap_ms; /* the longest silence since then */
	bct_time_t progress_at;	      /* of the latest token */
	uint32_t tokens;	      /* output of earlier attempts, which the caller has */
	bool sent;
	bool alone;
	bct_stop_t stop;

	bct_retry_t retry; /* why the next dispatch is not the first */
	uint64_t avoid_key;
	uint8_t tries;	  /* failed attempts that count */
	uint8_t not_run;  /* attempts that surely did not run */
	uint8_t preempts; /* times it made way */
	uint64_t kv_source_key;
	bct_refuse_t refuse;
	uint32_t retry_after_ms;
} bct_sreq_t;

typedef struct bct_tier_total {
	int64_t queued;
	int64_t running;
	int64_t overloaded_nodes; /* nodes on which it waits unbearably long */
	uint32_t nodes;
	bct_time_t at; /* BCT_TIME_NEVER: never heard */
} bct_tier_total_t;

typedef struct bct_tier {
	bct_queue_t queue;
	bct_list_t preemptible; /* running, newest last */
	uint32_t n_running;
	uint32_t n_preemptible; /* of the running ones */
	uint32_t n_held;
	uint32_t n_granted;
	uint32_t n_committed; /* waiting ones that are not shed: the floor or an upstream is
				 theirs, or their callers have output */
	uint32_t floor_permille;
	bct_length_t length; /* of all its classes, until one has answers enough of its own */
	bct_length_t first_token_ms; /* from dispatch, as a running quantile */
	int64_t credit_tokens;	     /* the floor's claim on the next dispatch */
	uint32_t turn;		     /* index of the account that may borrow on the floor */
	bct_time_t turn_at;	     /* since when */
	bct_time_t overloaded_at;    /* when its wait last exceeded what is bearable */
	bct_time_t overloaded_since; /* without a pause; BCT_TIME_NEVER: it is not */
	bct_tier_total_t total;
	int64_t published_queued;	 /* as last published */
	int64_t published_queued_before; /* the time before, which a total may still stand on */
	int64_t published_running;
} bct_tier_t;

/* Upstreams of a target that can take one more request. */
typedef enum bct_set {
	BCT_SET_OPEN = 0,   /* urgent */
	BCT_SET_UNRESERVED, /* of any tier: within this node's part and beyond the reserve */
	BCT_SET_SLOW,	    /* only where it is too late for the target anyway */
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
	bct_list_t ready; /* in core.ready while there may be work to dispatch */
	bct_heap_node_t wake;
	bct_up_t **ups; /* the upstreams that this node uses for it */
	uint32_t n_ups;
	bct_up_set_t sets[BCT_SETS];
	uint8_t urgent_tier; /* the lowest tier that goes before others and cannot wait; 0: none */
	uint8_t lowest_tier; /* of its classes */
	uint32_t urgent_ttft_ms; /* the shortest target of its classes */
	double service_ms;	 /* that an attempt takes, smoothed */
	uint32_t cap_ups;
	uint32_t want_ups; /* of the configuration being put in force */
	uint32_t n_usable; /* not leaving */
	uint32_t n_all;	   /* configured, whether used by this node or not */
	uint32_t slots;	   /* of all of them */
	uint32_t n_alone;  /* upstreams kept for suspects */
	uint32_t n_queued;
	uint32_t pending_preempts;
	double share; /* of the target's capacity that this node is entitled to */
	double drain_tokens_per_ms;
	bct_time_t drain_window_at; /* start of the window in which tokens are counted */
	bct_time_t last_dequeue_at; /* last work taken from the queues */
	int64_t drained_tokens;
	bct_time_t unusable_at; /* since when no upstream can be used; BCT_TIME_NEVER: some can */
	uint8_t shed_level;	/* tiers above this number are shed */
};

struct bct_up {
	uint64_t key;
	bct_upstream_kind_t kind;
	uint64_t region_key;
	uint64_t failure_domain_key;
	double prefill_tokens_per_ms;
	double decode_tokens_per_ms;
	bool honours_priority;
	bool resumes;
	bool seen;
	bool configured_leaving; /* by the configuration */
	bool notified_leaving;	 /* by bct_sched_leaving(3) */
	bool reported_leaving;	 /* by its own report */
	bct_load_t load;
	uint64_t boot_id;
	uint64_t report_seq;
	bct_time_t report_at;		     /* the time that the latest report describes */
	uint32_t running_by_tier[BCT_TIERS]; /* as last reported */
	uint32_t local_by_tier[BCT_TIERS];   /* attempts of this node */
	uint32_t sent_by_tier[BCT_TIERS];    /* by this node since */
	uint16_t index;			     /* in core.ups; names it in the prefix index */
	bct_prefix_feed_t feed;
	bct_list_t attempts; /* newest last */
	bct_target_t *targets[BCT_MODELS_PER_UPSTREAM];
	/* In targets[i]->sets[set], plus 1; 0: not there. */
	uint32_t pos[BCT_SETS][BCT_MODELS_PER_UPSTREAM];
	bool in_subset[BCT_MODELS_PER_UPSTREAM];
	uint32_t n_targets;
	bct_time_t down_until; /* after a failure or a busy answer */
	uint32_t failures;     /* in a row */
	bct_heap_node_t wake;
	bool slow;	   /* too slow for the targets of most work */
	double speed;	   /* observed to expected progress, smoothed; 1: as expected */
	bct_sreq_t *alone; /* a suspect that has, or waits for, this upstream to itself */
};

typedef struct bct_core {
	bct_sched_t base; /* the vtable first */
	bct_sched_opts_t opts;
	bct_fleet_t fleet;
	uint32_t held_nodes; /* see bct_limit_fleet_t */
	bct_time_t held_until;
	bct_conf_t *conf;
	bct_rng_t rng;
	bct_map_t accounts;
	bct_map_t terms;
	bct_map_t targets;
	bct_map_t flows;
	bct_map_t ups;
	bct_map_t reqs;	    /* by request id */
	bct_map_t attempts; /* by attempt id */
	bct_up_t **by_index;
	uint32_t n_index;
	uint32_t cap_index;
	bct_prefix_t prefix;
	bct_suspects_t suspects;
	bct_budget_t budget;
	bct_heap_t timers;	 /* of requests */
	bct_heap_t up_wakes;	 /* of upstreams that come back */
	bct_heap_t target_wakes; /* of targets */
	bct_list_t outbox;
	uint32_t n_outbox;
	bct_list_t ready;
	uint64_t next_attempt;
	uint32_t n_queued;
} bct_core_t;

/* Where a request goes. */
typedef struct bct_route {
	bct_up_t *up; /* NULL: none fits now */
	uint64_t kv_source_key;
	uint32_t prefill_tokens;
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

/* admit.c: the way in, and every refusal. */
int bct_admit_submit(bct_core_t *c, bct_time_t now, const bct_req_desc_t *desc);
void bct_admit_enqueue(bct_core_t *c, bct_time_t now, bct_sreq_t *r);
void bct_admit_unqueue(bct_core_t *c, bct_sreq_t *r);
void bct_admit_refuse(bct_core_t *c, bct_time_t now, bct_sreq_t *r, bct_refuse_t why,
		      uint32_t retry_after_ms);
void bct_admit_free(bct_core_t *c, bct_sreq_t *r);
uint32_t bct_admit_retry_ms(const bct_target_t *t, uint8_t tier);

/* shed.c: which request gives way when there is too much. */
bct_refuse_t bct_shed_admit(bct_core_t *c, bct_time_t now, bct_sreq_t *r);
void bct_shed_level(bct_core_t *c, bct_time_t now, bct_target_t *t);
bool bct_shed_overloaded(const bct_tier_t *tier, bct_time_t now);
void bct_shed_restart_window(bct_target_t *t, bct_time_t now);
void bct_shed_queue_started(bct_target_t *t, bct_time_t now);
void bct_shed_note_drain(bct_target_t *t, bct_time_t now, int64_t cost_tokens);

/* dispatch.c: from queue to upstream. */
void bct_dispatch_target(bct_core_t *c, bct_time_t now, bct_target_t *t, uint32_t max);
bool bct_dispatch_overcommit(bct_core_t *c, bct_time_t now, bct_sreq_t *r);
void bct_dispatch_ready(bct_core_t *c, bct_target_t *t);
void bct_dispatch_grant(bct_core_t *c, bct_time_t now, bct_target_t *t);
void bct_dispatch_hold(bct_core_t *c, bct_sreq_t *r, bct_time_t until);
void bct_dispatch_timer(bct_core_t *c, bct_time_t now, bct_sreq_t *r);
void bct_dispatch_handover(bct_core_t *c, bct_time_t now, bct_up_t *u, bct_target_t *t,
			   uint8_t tier);
void bct_dispatch_alone(bct_core_t *c, bct_time_t now, bct_up_t *u);

/* preempt.c: room for a higher tier. */
bool bct_preempt_allowed(const bct_sreq_t *r);
void bct_preempt_target(bct_core_t *c, bct_time_t now, bct_target_t *t);

/* attempt.c: the life of an attempt. */
void bct_attempt_start(bct_core_t *c, bct_time_t now, bct_sreq_t *r, const bct_route_t *route);
void bct_attempt_tokens(bct_core_t *c, bct_time_t now, uint64_t attempt_id, uint32_t total);
void bct_attempt_end(bct_core_t *c, bct_time_t now, const bct_attempt_end_t *end);
void bct_attempt_stop(bct_core_t *c, bct_time_t now, bct_sreq_t *r, bct_stop_t why);

/* retry.c: what follows a failed attempt. */
bct_suspect_state_t bct_retry_note_crash(bct_core_t *c, bct_time_t now, const bct_sreq_t *r,
					 const bct_up_t *u, const bct_attempt_end_t *end);
void bct_retry_decide(bct_core_t *c, bct_time_t now, bct_sreq_t *r, bct_up_t *u,
		      const bct_attempt_end_t *end);

/* route.c: which upstream. */
bct_route_t bct_route_choose(bct_core_t *c, bct_time_t now, bct_target_t *t, const bct_sreq_t *r,
			     bct_set_t set);
bct_route_t bct_route_overcommit(bct_core_t *c, bct_time_t now, bct_target_t *t,
				 const bct_sreq_t *r);
bct_route_t bct_route_to(bct_core_t *c, bct_time_t now, bct_target_t *t, const bct_sreq_t *r,
			 bct_up_t *u);
bct_route_t bct_route_uncached(const bct_sreq_t *r, bct_up_t *u);
bct_up_t *bct_route_for_suspect(const bct_core_t *c, bct_target_t *t, bct_time_t now,
				const bct_sreq_t *r);

/* fleet.c: what nodes tell each other. */
void bct_fleet_total(bct_core_t *c, bct_time_t now, const bct_total_t *t);
uint32_t bct_fleet_publish(bct_core_t *c, bct_time_t now, bct_item_t *out, uint32_t max);

#endif
