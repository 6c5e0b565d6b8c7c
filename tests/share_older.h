/*
 * share_older.h - a share_update and a share_upstreams in which each field of commit 176bfc7 has a
 * value of its own, and the lists added later are empty. make_share_older.c encodes them with the
 * codec of that commit, test_share_older.c with the present one.
 */
#ifndef BCT_TESTS_SHARE_OLDER_H
#define BCT_TESTS_SHARE_OLDER_H

#include "gen/share.h"

#include <stdio.h>

#define OLDER_N 2		 /* elements of each list */
#define OLDER_BYTES 4096	 /* room for an encoded message */
#define OLDER_HYPER (1ULL << 40) /* added to 64-bit fields, so that both halves count */

typedef struct older {
	uint32_t last; /* value given last */
	share_entry entries[OLDER_N];
	share_software software[OLDER_N];
	share_lane lanes[OLDER_N];
	share_load loads[OLDER_N];
	share_placed placed[OLDER_N];
	share_crash crashes[OLDER_N];
	share_notice notices[OLDER_N];
	share_block blocks[OLDER_N];
	share_part_crash part_crashes[OLDER_N];
	uint64_t parts[OLDER_N][OLDER_N];
	share_survivor survivors[OLDER_N];
	share_verdict verdicts[OLDER_N];
	share_origin origins[OLDER_N];
	uint64_t wanted[OLDER_N];
	share_cut cuts[OLDER_N];
	share_brittle brittle[OLDER_N];
	share_update update;
	share_upstreams upstreams;
} older_t;

static inline uint32_t older_u32(older_t *o)
{
	return ++o->last;
}

static inline uint64_t older_u64(older_t *o)
{
	return OLDER_HYPER + ++o->last;
}

static inline void older_fill_registry(older_t *o, uint32_t i)
{
	share_entry *e = &o->entries[i];
	share_software *s = &o->software[i];

	snprintf(e->id, sizeof(e->id), "id-%u", older_u32(o));
	snprintf(e->service, sizeof(e->service), "service-%u", older_u32(o));
	snprintf(e->zone, sizeof(e->zone), "zone-%u", older_u32(o));
	snprintf(e->ip, sizeof(e->ip), "10.0.0.%u", older_u32(o));
	e->port = older_u32(o);
	e->slots = older_u32(o);
	e->cold_ms = older_u32(o);
	e->draining = i == 0;
	e->removed = i == 1;
	e->born_ms = (int64_t)older_u64(o);
	e->sequence = older_u64(o);
	e->position = older_u64(o);
	snprintf(s->text, sizeof(s->text), "software-%u", older_u32(o));
	s->key = older_u64(o);
}

static inline void older_fill_load(older_t *o, uint32_t i)
{
	share_lane *l = &o->lanes[i];

	l->service = older_u64(o);
	l->gap_ms = older_u32(o);
	l->work_ms_per_s = older_u32(o);
	for (uint32_t k = 0; k < SHARE_PACE_SUMS; k++)
		l->pace[k] = older_u32(o);
	o->loads[i].upstream = older_u32(o);
	o->loads[i].running_prefill = older_u32(o);
	o->placed[i].segment = older_u64(o);
	o->placed[i].upstream = older_u32(o);
	o->placed[i].ready_ms = older_u32(o);
}

static inline void older_fill_crashes(older_t *o, uint32_t i)
{
	share_part_crash *p = &o->part_crashes[i];

	o->crashes[i].digest = older_u64(o);
	o->crashes[i].run = older_u32(o);
	o->blocks[i].digest = older_u64(o);
	o->blocks[i].remaining_ms = older_u32(o);
	p->run = older_u32(o);
	p->sent_age_ms = older_u32(o);
	p->age_ms = older_u32(o);
	for (uint32_t k = 0; k < OLDER_N; k++)
		o->parts[i][k] = older_u64(o);
	p->parts.parts_val = o->parts[i];
	p->parts.parts_len = OLDER_N;
	o->survivors[i].part = older_u64(o);
	o->survivors[i].age_ms = older_u32(o);
	o->verdicts[i].part = older_u64(o);
	o->verdicts[i].refused = i == 0;
	o->verdicts[i].age_ms = older_u32(o);
	o->verdicts[i].crashes = older_u32(o);
}

static inline void older_fill_statements(older_t *o, uint32_t i)
{
	share_notice *n = &o->notices[i];
	share_brittle *b = &o->brittle[i];

	n->upstream = older_u32(o);
	n->born_ms = (int64_t)older_u64(o);
	n->limit_mrps = older_u32(o);
	n->limit_age_ms = older_u32(o);
	n->leaving = i == 0;
	o->origins[i].attempt = older_u64(o);
	o->origins[i].release = older_u64(o);
	o->origins[i].run = older_u32(o);
	o->origins[i].age_ms = older_u32(o);
	o->wanted[i] = older_u64(o);
	o->cuts[i].node = older_u64(o);
	o->cuts[i].service = older_u64(o);
	b->upstream = older_u32(o);
	b->born_ms = (int64_t)older_u64(o);
	b->bears = older_u32(o);
	b->age_ms = older_u32(o);
	b->turned_away = older_u32(o);
}

static inline void older_fill_heads(older_t *o)
{
	share_update *m = &o->update;

	m->view = older_u32(o);
	m->from = older_u64(o);
	m->seq = older_u64(o);
	m->routes_version = older_u64(o);
	m->upstreams_digest = older_u64(o);
	m->upstreams_position = older_u64(o);
	for (uint32_t i = 0; i < SHARE_TOPICS; i++) {
		m->reads[i].age_ms = older_u32(o);
		m->reads[i].reader = older_u64(o);
	}
	o->upstreams.position = older_u64(o);
}

#define OLDER_LIST(m, list, from)               \
	do {                                    \
		(m)->list.list##_len = OLDER_N; \
		(m)->list.list##_val = (from);  \
	} while (0)

/* Fills in o->update and o->upstreams, which point into o. o: zeroed */
static inline void older_fill(older_t *o)
{
	share_update *m = &o->update;

	older_fill_heads(o);
	for (uint32_t i = 0; i < OLDER_N; i++) {
		older_fill_registry(o, i);
		older_fill_load(o, i);
		older_fill_crashes(o, i);
		older_fill_statements(o, i);
	}
	OLDER_LIST(m, entries, o->entries);
	OLDER_LIST(m, lanes, o->lanes);
	OLDER_LIST(m, loads, o->loads);
	OLDER_LIST(m, placed, o->placed);
	OLDER_LIST(m, crashes, o->crashes);
	OLDER_LIST(m, notices, o->notices);
	OLDER_LIST(m, blocks, o->blocks);
	OLDER_LIST(m, part_crashes, o->part_crashes);
	OLDER_LIST(m, survivors, o->survivors);
	OLDER_LIST(m, verdicts, o->verdicts);
	OLDER_LIST(m, software, o->software);
	OLDER_LIST(m, origins, o->origins);
	OLDER_LIST(m, origins_wanted, o->wanted);
	OLDER_LIST(m, cuts, o->cuts);
	OLDER_LIST(m, brittle, o->brittle);
	OLDER_LIST(&o->upstreams, entries, o->entries);
	OLDER_LIST(&o->upstreams, software, o->software);
}

/* returns the length in bytes, or 0 */
static inline size_t older_encode(xdrproc_t proc, void *m, char *out)
{
	size_t len = 0;
	XDR x;

	xdrmem_create(&x, out, OLDER_BYTES, XDR_ENCODE);
	if (proc(&x, m))
		len = xdr_getpos(&x);
	xdr_destroy(&x);
	return len;
}

#endif
