/*
 * origin.h - keeps which software began the stream of an exchange.
 */
#ifndef BCT_GATE_ORIGIN_H
#define BCT_GATE_ORIGIN_H

#include "gate/gate_int.h"

/* bct_origin_began(3): the first event of x's stream is about to be delivered. */
void bct_origin_began(bct_exchange_t *x);

/* bct_origin_continued(3): a stream that began elsewhere was sent to the chosen upstream; logs it.
 */
void bct_origin_continued(bct_exchange_t *x);

/*
 * bct_origin_software(3): the version with which x's stream began, for logs; "" if it is unknown or
 * if no upstream that is known here has it.
 */
const char *bct_origin_software(const bct_exchange_t *x);

#endif
