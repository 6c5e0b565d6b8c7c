/*
 * control_api.h - simulates the platform's control API: takes reports of usage and orders of
 * engines, checks fencing tokens, and records whether the callers kept its rules. Without I/O; the
 * caller guards it by a lock and passes in the time.
 */
#ifndef BCT_STANDIN_CONTROL_API_H
#define BCT_STANDIN_CONTROL_API_H

#include "base/clock.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

typedef struct bct_control_api bct_control_api_t;

typedef struct bct_control_api_opts {
	uint32_t calls_per_s; /* from all callers; further calls get 429 */
	uint32_t lease_ms;
	uint32_t late_min_ms; /* until a call without a response takes effect */
	uint32_t late_max_ms;
	uint64_t seed;
} bct_control_api_opts_t;

/* An HTTP request. NULL: the header is missing. */
typedef struct bct_control_api_call {
	const char *path; /* /usage or /scale */
	const char *holder;
	const char *fence;
	const char *body;
	size_t body_bytes;
} bct_control_api_call_t;

/* What callers must not do. */
typedef enum bct_control_rule {
	BCT_CONTROL_ONE_REPORT, /* two accepted reports of one window with different counts */
	BCT_CONTROL_ONE_FENCE,	/* two callers sent one token for one subject */
	BCT_CONTROL_ORDER,	/* holders A, B and A again within lease_ms */
	BCT_CONTROL_REFUSED,	/* a refused caller kept calling with its token */
	BCT_CONTROL_RULES,
} bct_control_rule_t;

/* bct_control_api_new(3): returns 0 or -BCT_ENOMEM. */
int bct_control_api_new(const bct_control_api_opts_t *opts, bct_control_api_t **out);
void bct_control_api_free(bct_control_api_t *a);

/*
 * bct_control_api_call(3): executes a call that arrives now.
 *
 * returns  the status of its response: 200, 400, 404, 409 or 429
 */
int bct_control_api_call(bct_control_api_t *a, bct_time_t now, const bct_control_api_call_t *call);

/*
 * bct_control_api_call_late(3): a call arrives that gets no response. Unless it is beyond the rate,
 * it is executed later, by bct_control_api_tick(3); its fencing token is checked then.
 */
void bct_control_api_call_late(bct_control_api_t *a, bct_time_t now,
			       const bct_control_api_call_t *call);

/* bct_control_api_tick(3): executes late calls that are due. */
void bct_control_api_tick(bct_control_api_t *a, bct_time_t now);

/* bct_control_api_no_spot(3): until then no spot engines are available in the zone. */
void bct_control_api_no_spot(bct_control_api_t *a, const char *zone, bct_time_t until);

/* bct_control_api_reported(3): whether a report of the window was accepted; its count. */
bool bct_control_api_reported(const bct_control_api_t *a, uint64_t window, const char *account,
			      uint32_t *requests);

/* bct_control_api_windows(3): the number of windows that were reported, and the first and last. */
uint32_t bct_control_api_windows(const bct_control_api_t *a, uint64_t *first, uint64_t *last);

/* bct_control_api_ordered(3): the engines ordered last; false: no order was accepted. */
bool bct_control_api_ordered(const bct_control_api_t *a, const char *service, const char *zone,
			     bool spot, uint32_t *engines);

/* bct_control_api_violations(3): how often a rule was broken. */
uint32_t bct_control_api_violations(const bct_control_api_t *a, bct_control_rule_t rule);

/*
 * bct_control_api_print(3): prints what broke the rules, the first ones only. returns how often
 * they were broken in all.
 */
uint32_t bct_control_api_print(const bct_control_api_t *a, FILE *out);

#endif
