/*
 * duty_plan.h - what the holder of the duties does next: which window to decide, which report or
 * order to send, and what the outcome of a call means. Pure: no I/O and no clock. Design:
 * docs/design/duties-and-load.md.
 *
 * Whatever is sent has been written to the record before. Each item has the revision of the body
 * that is the first to contain it; it is sent once the record has that revision or a later one.
 */
#ifndef BCT_POLICY_DUTY_PLAN_H
#define BCT_POLICY_DUTY_PLAN_H

#include "base/clock.h"
#include "policy/duty_state.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_DUTY_GIVE_UP_MS 60000 /* after the end of its window a report is given up */

typedef struct bct_duty_plan_opts {
	uint32_t window_ms;
	uint32_t calls_per_s; /* that the control API takes from all nodes; half is used */
} bct_duty_plan_opts_t;

typedef struct bct_duty_pending {
	bct_duty_report_t report;
	uint64_t revision;
	bct_time_t due_at;
	uint32_t tries;
	uint64_t min_fence; /* fencing token needed; newer than that of an unanswered call */
} bct_duty_pending_t;

#define BCT_DUTY_UNKNOWN UINT32_MAX /* it is not known what was ordered last */

/* The engines of one kind of a service in a failure domain. */
typedef struct bct_duty_target {
	uint32_t wanted;
	uint32_t accepted; /* number of the last accepted order, or BCT_DUTY_UNKNOWN */
	uint32_t present;
	uint64_t revision;
	bct_time_t due_at;
	bct_time_t matched_at; /* accepted, or present as wanted, last */
	uint64_t min_fence;
	uint64_t refused_fence;	  /* the API refused this token, why is not known yet; 0: none */
	bct_time_t refused_until; /* none available */
	uint32_t tries;		  /* since the number was last accepted */
} bct_duty_target_t;

typedef struct bct_duty_service {
	char name[BCT_AUTOSCALE_NAME_BYTES];
	char domains[BCT_AUTOSCALE_DOMAINS][BCT_AUTOSCALE_NAME_BYTES];
	uint32_t n_domains;
	bct_duty_target_t targets[BCT_AUTOSCALE_DOMAINS][BCT_AUTOSCALE_KINDS];
	bool active; /* it was planned since this node holds the duties */
} bct_duty_service_t;

typedef struct bct_duty_plan {
	bct_duty_plan_opts_t opts;
	uint64_t revision;	     /* of the body that was last written, or tried to be */
	uint64_t decided;	     /* last window decided; 0: none */
	bct_duty_pending_t *reports; /* oldest window first */
	uint32_t n_reports;
	bct_duty_service_t *services;
	uint32_t n_services;
	bct_time_t called_at; /* start of the latest call; also of each kind */
	bct_time_t reported_at;
	bct_time_t ordered_at;
	bool ordered_last;   /* the latest call was an order */
	uint64_t accepted;   /* last window whose report was accepted; 0: none by this node */
	uint32_t no_answers; /* calls in a row that found no connection */
} bct_duty_plan_t;

typedef enum bct_duty_call_kind {
	BCT_DUTY_REPORT = 1,
	BCT_DUTY_ORDER,
} bct_duty_call_kind_t;

typedef struct bct_duty_call {
	bct_duty_call_kind_t kind;
	uint64_t fence;
	uint32_t tries;			  /* before this one */
	const bct_usage_report_t *report; /* of the plan, until its outcome is passed in */
	uint64_t window;
	char service[BCT_AUTOSCALE_NAME_BYTES];
	char failure_domain[BCT_AUTOSCALE_NAME_BYTES];
	uint32_t engines;
	bct_autoscale_kind_t engine_kind;
} bct_duty_call_t;

typedef enum bct_duty_outcome {
	BCT_DUTY_ACCEPTED,
	BCT_DUTY_RETRY,
	BCT_DUTY_REFUSED, /* a higher fencing token was seen: no longer the holder */
	/* A higher token was seen or there are no such engines: after a renewal it is the latter.
	 */
	BCT_DUTY_IN_DOUBT,
} bct_duty_outcome_t;

void bct_duty_plan_init(bct_duty_plan_t *p, const bct_duty_plan_opts_t *opts);
void bct_duty_plan_free(bct_duty_plan_t *p);

/*
 * bct_duty_plan_adopt(3): starts from a record's body, before a claim. Whether the orders in it
 * were accepted is not known; one is sent again only if the engines present differ.
 *
 * returns  0 or -BCT_ENOMEM, with the plan as before
 */
int bct_duty_plan_adopt(bct_duty_plan_t *p, bct_time_t now, const bct_duty_state_t *s);

/* bct_duty_plan_next_revision(3): of the body that is about to be written. */
uint64_t bct_duty_plan_next_revision(bct_duty_plan_t *p);

/*
 * bct_duty_plan_unwritten(3): whether the body should be written now, the record having this
 * revision and this fencing token: there are new decisions, or a newer token is needed.
 */
bool bct_duty_plan_unwritten(const bct_duty_plan_t *p, uint64_t revision, uint64_t fence);

/*
 * bct_duty_plan_window(3): the next window to decide. bct_duty_plan_decide(3) is called for it, or
 * bct_duty_plan_skip(3) if there is nothing to report.
 *
 * true_time  in ms since the start of 1970
 * returns    false: none is due, or it is not known where to begin (decided is 0)
 */
bool bct_duty_plan_window(const bct_duty_plan_t *p, bct_time_t true_time, uint64_t *window);

/* bct_duty_plan_decide(3): returns 0 or -BCT_ENOMEM, with the window undecided. */
int bct_duty_plan_decide(bct_duty_plan_t *p, const bct_usage_report_t *r);
void bct_duty_plan_skip(bct_duty_plan_t *p, uint64_t window);

/* bct_duty_plan_late(3): whether a window ended too long ago to be reported. */
bool bct_duty_plan_late(const bct_duty_plan_t *p, bct_time_t true_time, uint64_t window);

/* bct_duty_plan_give_up(3): drops a report that is too late. returns false: there is none. */
bool bct_duty_plan_give_up(bct_duty_plan_t *p, bct_time_t true_time, uint64_t *window,
			   uint32_t *tries);

/*
 * bct_duty_plan_want(3): the numbers of engines wanted of a service now.
 *
 * returns  1: some changed; 0; -BCT_ENOMEM
 */
int bct_duty_plan_want(bct_duty_plan_t *p, bct_time_t now, const char *service,
		       const bct_autoscale_conf_t *conf, const bct_autoscale_input_t *in,
		       const bct_autoscale_plan_t *wanted);

/* bct_duty_plan_drop(3): a service is not scaled any more. */
void bct_duty_plan_drop(bct_duty_plan_t *p, const char *service);

/* bct_duty_plan_last(3): what was wanted last of a service. returns false: nothing is known. */
bool bct_duty_plan_last(const bct_duty_plan_t *p, const char *service,
			const bct_autoscale_conf_t *conf, bct_autoscale_plan_t *out);

/* bct_duty_plan_refused(3): fills in where no spot engines were available lately. */
void bct_duty_plan_refused(const bct_duty_plan_t *p, bct_time_t now, const char *service,
			   const bct_autoscale_conf_t *conf, bct_autoscale_input_t *in);

/*
 * bct_duty_plan_next(3): the call to make now, by a holder with this fencing token whose record has
 * this revision; its outcome has to be passed in before the next one.
 *
 * returns  false: none
 */
bool bct_duty_plan_next(bct_duty_plan_t *p, bct_time_t now, uint64_t fence, uint64_t revision,
			bct_duty_call_t *out);

/*
 * bct_duty_plan_done(3): the outcome of a call.
 *
 * rc  as of coord/control.h; -BCT_ESTATE: it was not made
 */
bct_duty_outcome_t bct_duty_plan_done(bct_duty_plan_t *p, bct_time_t now, const bct_duty_call_t *c,
				      int rc);

/*
 * bct_duty_plan_renewed(3): this node has got a new fencing token: orders that were refused under
 * an older one were refused because no engines are available.
 */
void bct_duty_plan_renewed(bct_duty_plan_t *p, bct_time_t now, uint64_t fence);

/* bct_duty_plan_cut_off(3): whether the last three calls found no connection to the API. */
bool bct_duty_plan_cut_off(const bct_duty_plan_t *p);

#endif
