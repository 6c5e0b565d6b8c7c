/*
 * gate_reclaim.h - whether an upstream may be reclaimed and when it leaves, over several entries of
 * one run. Nodes of older versions pass entries on without it. Pure.
 */
#ifndef BCT_POLICY_GATE_RECLAIM_H
#define BCT_POLICY_GATE_RECLAIM_H

#include "policy/gate_upstreams.h"

/* bct_gate_reclaim_told(3): whether the entry is the first of its run to say either. */
static inline bool bct_gate_reclaim_told(const bct_gate_entry_t *known, const bct_gate_entry_t *e)
{
	return (e->spot && !known->spot) || (e->leaves_ms && !known->leaves_ms);
}

/*
 * bct_gate_reclaim_keep(3): completes an entry by what is known of its run. Whether it may be
 * reclaimed does not change; when it leaves is kept for the same entry only.
 */
static inline void bct_gate_reclaim_keep(const bct_gate_entry_t *known, bct_gate_entry_t *e)
{
	e->spot = e->spot || known->spot;
	if (e->draining && !e->leaves_ms && e->sequence == known->sequence)
		e->leaves_ms = known->leaves_ms;
}

#endif
