/*
 * duty_state.h - what must outlive a holder of the duties: the body of the record in which the
 * lease is kept. Pure: no I/O and no clock. Design: docs/design/duties-and-load.md.
 */
#ifndef BCT_POLICY_DUTY_STATE_H
#define BCT_POLICY_DUTY_STATE_H

#include "policy/autoscale.h"
#include "policy/usage.h"

#include <stdint.h>

/* A copy of a report that owns its memory. */
typedef struct bct_duty_report {
	bct_usage_report_t usage;
	char *names; /* of all its accounts */
} bct_duty_report_t;

/* bct_duty_report_copy(3): returns 0 or -BCT_ENOMEM. */
int bct_duty_report_copy(const bct_usage_report_t *r, bct_duty_report_t *out);
void bct_duty_report_free(bct_duty_report_t *r);

/* The numbers of engines wanted of one service. */
typedef struct bct_duty_wanted {
	char service[BCT_AUTOSCALE_NAME_BYTES];
	struct {
		char name[BCT_AUTOSCALE_NAME_BYTES];
		uint32_t wanted[BCT_AUTOSCALE_KINDS];
	} domains[BCT_AUTOSCALE_DOMAINS];
	uint32_t n_domains;
} bct_duty_wanted_t;

typedef struct bct_duty_state {
	uint64_t revision;
	uint64_t decided;	    /* last window decided; 0: none */
	bct_duty_report_t *reports; /* decided and not known to be accepted, oldest first */
	uint32_t n_reports;
	/* Checkpoints; their sums and shares are owned. */
	struct bct_duty_open {
		bct_duty_report_t sums;
		bct_usage_share_t *shares;
		uint32_t n_shares;
	} * opens;
	uint32_t n_opens;
	bct_duty_wanted_t *wanted;
	uint32_t n_wanted;
} bct_duty_state_t;

/* bct_duty_state_free(3): the state is empty afterwards. */
void bct_duty_state_free(bct_duty_state_t *s);

/* bct_duty_state_restore(3): gives the checkpoints to u. returns 0 or -BCT_ENOMEM. */
int bct_duty_state_restore(const bct_duty_state_t *s, bct_usage_t *u);

#endif
