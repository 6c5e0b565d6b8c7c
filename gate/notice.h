/*
 * notice.h - processes what upstreams state about themselves in their answers.
 */
#ifndef BCT_GATE_NOTICE_H
#define BCT_GATE_NOTICE_H

#include "gate/gate_int.h"

/* bct_notice_received(3): process the statements of an answer that this node received. */
void bct_notice_received(bct_exchange_t *x, const bct_gate_notice_t *n);

#endif
