/*
 * gate_abandoned.c - a bounded list of attempts, each judged by what is known of its upstream.
 */
#include "policy/gate_abandoned.h"

typedef enum verdict {
	UNDECIDED,
	HARMLESS, /* the upstream outlived the attempt, or its end has another cause */
	CRASHED,
} verdict_t;

void bct_gate_abandoned_add(bct_gate_abandoned_list_t *l, bct_time_t now, uint64_t digest,
			    const bct_gate_parts_t *parts, const bct_gate_upstream_t *u)
{
	bct_gate_abandoned_t *a;

	if (u->presence != BCT_GATE_READY || u->leaving)
		return;
	if (l->n < BCT_GATE_ABANDONED_MAX) {
		a = &l->entries[l->n++];
	} else {
		a = &l->entries[l->next];
		l->next = (l->next + 1) % BCT_GATE_ABANDONED_MAX;
	}
	*a = (bct_gate_abandoned_t){
		.digest = digest,
		.upstream_key = u->key,
		.at = now,
		.heard_at = u->heard_at,
	};
	if (parts)
		a->parts = *parts;
}

/* Whether the run that the attempt was sent to is over. */
static bool has_ended(const bct_gate_abandoned_t *a, const bct_gate_upstream_t *u)
{
	if (!u || u->presence == BCT_GATE_GONE || u->identity_mismatch)
		return true;
	return u->run_since > a->at || u->refused_at > a->at;
}

static verdict_t judge(bct_gate_abandoned_t *a, bct_time_t now, const bct_gate_upstream_t *u)
{
	bool same_run = u && u->run_since <= a->at;

	if (same_run)
		a->heard_at = u->heard_at;
	if (a->heard_at > a->at + BCT_GATE_ABANDONED_RUNS_MS)
		return HARMLESS;
	if (same_run && (u->presence == BCT_GATE_DRAINING || u->leaving))
		return HARMLESS;
	if (now - a->at >= BCT_GATE_ABANDONED_KEEP_MS)
		return HARMLESS;
	return has_ended(a, u) ? CRASHED : UNDECIDED;
}

/* The last entry takes the place of the one removed; the order matters only while full. */
static void drop(bct_gate_abandoned_list_t *l, uint32_t i)
{
	l->entries[i] = l->entries[--l->n];
	l->next = 0;
}

bool bct_gate_abandoned_next_crash(bct_gate_abandoned_list_t *l, bct_time_t now,
				   const bct_gate_upstreams_t *t, bct_gate_abandoned_t *out)
{
	for (uint32_t i = 0; i < l->n;) {
		bct_gate_abandoned_t *a = &l->entries[i];
		verdict_t v = judge(a, now, bct_map_get(&t->by_id, a->upstream_key));

		if (v == UNDECIDED) {
			i++;
			continue;
		}
		*out = *a;
		drop(l, i);
		if (v == CRASHED)
			return true;
	}
	return false;
}
