/*
 * autoscale_fit.h - the cheapest engines that serve a demand, also after the loss of all spot
 * engines of one failure domain. Pure: no I/O and no clock.
 */
#ifndef BCT_POLICY_AUTOSCALE_FIT_H
#define BCT_POLICY_AUTOSCALE_FIT_H

#include "policy/autoscale.h"

/* Engines by failure domain and kind. */
typedef struct bct_autoscale_set {
	uint32_t n[BCT_AUTOSCALE_DOMAINS][BCT_AUTOSCALE_KINDS];
} bct_autoscale_set_t;

typedef struct bct_autoscale_fit_input {
	uint32_t total;	  /* engines needed */
	uint32_t survive; /* engines needed after the loss of the spot engines of any one domain */
	bct_autoscale_set_t least; /* engines that the result is to contain */
	/* Engines there now; they count as a little cheaper, so that small differences in price or
	 * demand don't move engines between failure domains. */
	bct_autoscale_set_t now;
	uint32_t maximum[BCT_AUTOSCALE_DOMAINS];
	uint32_t spot_maximum[BCT_AUTOSCALE_DOMAINS]; /* spot engines that may be had there */
} bct_autoscale_fit_input_t;

uint32_t bct_autoscale_set_domain(const bct_autoscale_set_t *s, uint32_t domain);
uint32_t bct_autoscale_set_total(const bct_autoscale_set_t *s);

/* bct_autoscale_set_survive(3): engines left after the worst loss of one domain's spot engines. */
uint32_t bct_autoscale_set_survive(const bct_autoscale_set_t *s);

/*
 * bct_autoscale_fit(3): finds the cheapest engines that fulfil the input. If the maximum does not
 * allow that, those that lack the fewest engines.
 */
void bct_autoscale_fit(const bct_autoscale_conf_t *conf, const bct_autoscale_fit_input_t *in,
		       bct_autoscale_set_t *out);

#endif
