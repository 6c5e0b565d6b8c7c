/*
 * gate_entry.h - whether a registry entry names an upstream that can be used. Other writers may
 * leave entries among those of the upstreams. Pure: no I/O and no clock.
 */
#ifndef BCT_POLICY_GATE_ENTRY_H
#define BCT_POLICY_GATE_ENTRY_H

#include "policy/gate_upstreams.h"

#define BCT_GATE_SLOTS_MAX 1000000
#define BCT_GATE_BORN_MAX_MS 8000000000000 /* in the year 2223 */
#define BCT_GATE_SEQUENCE_MAX UINT32_MAX   /* an upstream writes about once a second */

/*
 * bct_gate_entry_fault(3): what makes an entry unusable, for the log; NULL: nothing. Entries of all
 * sources are checked before they are applied, as a peer may be an older node, which checks less.
 */
const char *bct_gate_entry_fault(const bct_gate_entry_t *e);

#endif
