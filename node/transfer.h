/*
 * transfer.h - the libcurl transfer of one attempt: set-up, callbacks, time limits and outcome.
 */
#ifndef BCT_NODE_TRANSFER_H
#define BCT_NODE_TRANSFER_H

#include "node/upstream.h"

/* bct_transfer_setup(3): create the easy handle. returns 0 or -BCT_ENOMEM. */
int bct_transfer_setup(bct_attempt_t *a);
void bct_transfer_free(bct_attempt_t *a);

/*
 * bct_transfer_deadline(3): returns when the attempt times out in its present phase. BCT_TIME_NEVER
 * while it is paused because the caller reads too slowly.
 */
bct_time_t bct_transfer_deadline(const bct_attempt_t *a);

/*
 * bct_transfer_outcome(3): determine the outcome of an ended transfer. Completes the request's
 * answer if the upstream's answer is complete.
 *
 * code  libcurl's result
 */
void bct_transfer_outcome(bct_attempt_t *a, CURLcode code, bct_attempt_end_t *end);

#endif
