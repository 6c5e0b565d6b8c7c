/*
 * exchange.h - a request from the receipt of its last byte to the end of its answer.
 */
#ifndef BCT_GATE_EXCHANGE_H
#define BCT_GATE_EXCHANGE_H

#include "gate/gate_int.h"

/* Takes requests of callers; a gateway sets it before it accepts connections. */
extern const bct_client_ops_t bct_exchange_client_ops;

#endif
