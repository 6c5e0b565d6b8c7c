/*
 * abandoned.c - a bounded list of attempts, each judged by what is known of its upstream.
 */
#include "policy/abandoned.h"

typedef enum verdict {
	UNDECIDED,
	HARMLESS, /* the upstream outlived the attempt, or its end has another cause */
	CRASHED,
} verdict_t;

void bct_abandoned_add(bct_abandoned_list_t *l, const bct_abandoned_t *a)
{
	if (l->n < BCT_ABANDONED_MAX) {
		l->entries[l->n++] = *a;
		return;
	}
	l->entries[l->next] = *a;
	l->next = (l->next + 1) % BCT_ABANDONED_MAX;
}

static verdict_t judge(bct_abandoned_t *a, bct_time_t now, const bct_upstream_sight_t *u)
{
	if (u->heard_at > a->heard_at)
		a->heard_at = u->heard_at;
	if (a->heard_at > a->at + BCT_ABANDONED_RUNS_MS || u->planned ||
	    now - a->at >= BCT_ABANDONED_KEEP_MS)
		return HARMLESS;
	return u->ended ? CRASHED : UNDECIDED;
}

/* The last entry takes the place of the one removed; the order matters only while full. */
static void drop(bct_abandoned_list_t *l, uint32_t i)
{
	l->entries[i] = l->entries[--l->n];
	l->next = 0;
}

bool bct_abandoned_next_crash(bct_abandoned_list_t *l, bct_time_t now, bct_abandoned_look_t *look,
			      const void *ctx, bct_abandoned_t *out)
{
	for (uint32_t i = 0; i < l->n;) {
		bct_abandoned_t *a = &l->entries[i];
		bct_upstream_sight_t u = look(ctx, a->upstream_key, a->at);
		verdict_t v = judge(a, now, &u);

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
