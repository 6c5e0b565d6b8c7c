/*
 * brittle.h - upstreams that fall over when they turn away too many requests: feeds
 * policy/gate_brittle.h with answers and with what other nodes tell.
 */
#ifndef BCT_GATE_BRITTLE_H
#define BCT_GATE_BRITTLE_H

#include "gate/gate_int.h"

/* bct_brittle_new(3): returns 0 or -BCT_ENOMEM. */
int bct_brittle_new(bct_gate_t *g, bct_brittle_t **out);
void bct_brittle_free(bct_brittle_t *b);

/* bct_brittle_answered(3): u answered x's current attempt with these statements. */
void bct_brittle_answered(bct_exchange_t *x, bct_gate_upstream_t *u, const bct_gate_notice_t *n);

/* bct_brittle_turned_away(3): the upstream of x's current attempt had no room for it. */
void bct_brittle_turned_away(bct_exchange_t *x);

#endif
