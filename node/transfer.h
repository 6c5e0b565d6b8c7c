/*
 * transfer.h - one libcurl transfer of an attempt: request set-up, callbacks, and the verdict.
 */
#ifndef BCT_NODE_TRANSFER_H
#define BCT_NODE_TRANSFER_H

#include "node/upstream.h"

/* bct_transfer_setup(3): make the easy handle. returns 0 or -BCT_ENOMEM. */
int bct_transfer_setup(bct_attempt_t *a);
void bct_transfer_free(bct_attempt_t *a);

/* bct_transfer_deadline(3): when the attempt has waited too long for its next byte. */
bct_time_t bct_transfer_deadline(const bct_attempt_t *a);

/* bct_transfer_outcome(3): what the end of the transfer means; also finishes a whole answer. */
void bct_transfer_outcome(bct_attempt_t *a, CURLcode code, bct_attempt_end_t *end);

#endif
