/*
 * watch_subscribe.c - which engines this node wants to hear of, and who wants to hear of those it
 * watches.
 */
#include "coord/watch_int.h"
#include "base/mem.h"
#include "policy/rendezvous.h"

#include <stdlib.h>
#include <string.h>

/* A wish on its way to a watcher. */
typedef struct wish {
	uint64_t to;
	uint64_t key;
	bool lost; /* its keyframe was lost */
} wish_t;

static bool listed(const uint64_t *keys, uint32_t n, uint64_t key)
{
	for (uint32_t i = 0; i < n; i++) {
		if (keys[i] == key)
			return true;
	}
	return false;
}

/* Marks the engines that this node wants. */
void bct_watch_wanted(bct_watch_t *w)
{
	uint64_t node_key = bct_member_self(w->opts.members)->node_key;

	for (uint32_t i = 0; i < w->n; i++) {
		engine_t *e = &w->engines[i];

		e->wanted = w->wants ? listed(w->wants, w->n_wants, e->key)
				     : bct_subset_contains(node_key, e->key, w->keys, w->n,
							   w->opts.subset);
	}
}

void bct_watch_subscribe(bct_watch_t *w, bct_time_t now, const uint64_t *keys, uint32_t n)
{
	uint64_t *wants = keys ? bct_alloc((n + 1) * sizeof(*wants)) : NULL;

	(void)now;
	/* Without memory the old wishes stay. */
	if (keys && !wants)
		return;
	if (keys && n)
		memcpy(wants, keys, n * sizeof(*wants));
	bct_free(w->wants);
	w->wants = wants;
	w->n_wants = n;
	bct_watch_wanted(w);
}

static int wish_cmp(const void *a, const void *b)
{
	const wish_t *x = a, *y = b;

	return x->to < y->to ? -1 : x->to > y->to;
}

static bool keyframe_lost(const engine_t *e)
{
	return e->keyframe_missed != 0;
}

static bct_time_t want_interval_ms(const engine_t *e, bct_time_t now)
{
	if (keyframe_lost(e))
		return WANT_AGAIN_MS;
	return now - e->heard >= WANT_SILENCE_MS ? WANT_RETRY_MS : WANT_REFRESH_MS;
}

/* Collects what is to be told: a wish that is old, or whose watcher is new. */
static uint32_t wishes_due(bct_watch_t *w, bct_time_t now, wish_t *out)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < w->n; i++) {
		engine_t *e = &w->engines[i];
		bool refresh = now - e->told_at >= want_interval_ms(e, now);

		/* A backup must hear the watcher's silence. */
		if ((!e->wanted && e->watchers[1] != w->self) || e->watchers[0] == w->self)
			continue;
		for (int r = 0; r < 2; r++) {
			if (!e->watchers[r] || e->watchers[r] == w->self ||
			    (!refresh && e->told[r] == e->watchers[r]))
				continue;
			e->told[r] = e->watchers[r];
			out[n++] = (wish_t){ e->watchers[r], e->key, keyframe_lost(e) };
		}
		if (refresh)
			e->told_at = now;
	}
	return n;
}

static void wishes_send(bct_watch_t *w, const wish_t *wishes, uint32_t n)
{
	const bct_member_t *m = bct_member_find(w->opts.members, wishes[0].to);
	peer_call call = { .kind = PEER_REPORTS };
	peer_reports *msg = &call.peer_call_u.reports;
	u_quad_t wants[PEER_ENTRIES_MAX], lost[PEER_ENTRIES_MAX];
	bct_dest_t to;

	if (!m)
		return;
	msg->wants.wants_val = wants;
	msg->lost.lost_val = lost;
	for (uint32_t i = 0; i < n; i++) {
		wants[msg->wants.wants_len++] = wishes[i].key;
		if (wishes[i].lost)
			lost[msg->lost.lost_len++] = wishes[i].key;
	}
	to = (bct_dest_t){ .addr = m->peer, .incarnation = m->incarnation };
	w->opts.outbox->ops->call(w->opts.outbox, &to, ++w->xid, &call);
	w->tokens_bytes -= DATAGRAM_BYTES + n * sizeof(*wants);
}

void bct_watch_send_wants(bct_watch_t *w, bct_time_t now)
{
	wish_t *wishes;
	uint32_t n;

	/* Wishes go before reports, but not without limit. */
	if (w->tokens_bytes < -(int64_t)w->opts.max_bytes_per_s)
		return;
	wishes = bct_alloc((2 * w->n + 1) * sizeof(*wishes));
	if (!wishes)
		return;
	n = wishes_due(w, now, wishes);
	if (n)
		qsort(wishes, n, sizeof(*wishes), wish_cmp);
	for (uint32_t i = 0; i < n;) {
		uint32_t len = 1;

		while (i + len < n && len < PEER_ENTRIES_MAX && wishes[i + len].to == wishes[i].to)
			len++;
		wishes_send(w, &wishes[i], len);
		i += len;
	}
	bct_free(wishes);
}

static reader_t *reader_find(const engine_t *e, uint64_t incarnation)
{
	for (uint32_t i = 0; i < e->n_readers; i++) {
		if (e->readers[i].incarnation == incarnation)
			return &e->readers[i];
	}
	return NULL;
}

/* Notes a reader. A new one needs a keyframe before it can use deltas. */
void bct_watch_add_reader(bct_watch_t *w, bct_time_t now, uint64_t from, uint64_t key)
{
	engine_t *e = bct_watch_engine(w, key);
	reader_t *r = e ? reader_find(e, from) : NULL;

	if (r)
		r->until = now + WANT_KEEP_MS;
	if (!e || r)
		return;
	if (e->n_readers == e->cap_readers) {
		uint32_t cap = e->cap_readers ? e->cap_readers * 2 : 8;
		reader_t *v = bct_realloc(e->readers, cap * sizeof(*v));

		if (!v)
			return;
		e->readers = v;
		e->cap_readers = cap;
	}
	e->readers[e->n_readers++] = (reader_t){ .incarnation = from,
						 .until = now + WANT_KEEP_MS,
						 .needs_keyframe = true };
}

void bct_watch_lost(bct_watch_t *w, uint64_t from, uint64_t key)
{
	engine_t *e = bct_watch_engine(w, key);
	reader_t *r = e ? reader_find(e, from) : NULL;

	if (r)
		r->needs_keyframe = true;
}

void bct_watch_expire_readers(bct_watch_t *w, bct_time_t now, engine_t *e)
{
	for (uint32_t i = e->n_readers; i-- > 0;) {
		const reader_t *r = &e->readers[i];
		const bct_member_t *m = bct_member_find(w->opts.members, r->incarnation);

		if (r->until <= now || (m && m->liveness == BCT_MEMBER_DEAD))
			e->readers[i] = e->readers[--e->n_readers];
	}
}
