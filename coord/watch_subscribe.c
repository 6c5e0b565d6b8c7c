/*
 * watch_subscribe.c - this node's subscriptions to engine reports, and the subscribers of the
 * engines that it watches.
 */
#include "coord/watch_int.h"
#include "base/mem.h"
#include "policy/rendezvous.h"

#include <stdlib.h>
#include <string.h>

/* A subscription to one engine that is to be sent to a watcher or backup. */
typedef struct subscription {
	uint64_t to; /* incarnation */
	uint64_t key;
	bool needs_keyframe;
} subscription_t;

static bool contains(const uint64_t *keys, uint32_t n, uint64_t key)
{
	for (uint32_t i = 0; i < n; i++) {
		if (keys[i] == key)
			return true;
	}
	return false;
}

/* Marks the engines whose reports this node wants. */
void bct_watch_mark_wanted(bct_watch_t *w)
{
	uint64_t node_key = bct_member_self(w->opts.members)->node_key;

	for (uint32_t i = 0; i < w->n; i++) {
		engine_t *e = &w->engines[i];

		e->wanted = w->wanted_keys ? contains(w->wanted_keys, w->n_wanted_keys, e->key)
					   : bct_subset_contains(node_key, e->key, w->keys, w->n,
								 w->opts.subset);
	}
}

void bct_watch_subscribe(bct_watch_t *w, bct_time_t now, const uint64_t *keys, uint32_t n)
{
	uint64_t *wants = keys ? bct_alloc((n + 1) * sizeof(*wants)) : NULL;

	(void)now;
	/* Without memory the old subscription stays. */
	if (keys && !wants)
		return;
	if (keys && n)
		memcpy(wants, keys, n * sizeof(*wants));
	bct_free(w->wanted_keys);
	w->wanted_keys = wants;
	w->n_wanted_keys = n;
	bct_watch_mark_wanted(w);
}

static int subscription_cmp(const void *a, const void *b)
{
	const subscription_t *x = a, *y = b;

	return x->to < y->to ? -1 : x->to > y->to;
}

/* Whether a delta has arrived whose keyframe this node does not have. */
static bool missing_keyframe(const engine_t *e)
{
	return e->keyframe_missed_at != 0;
}

static bct_time_t subscription_interval_ms(const engine_t *e, bct_time_t now)
{
	if (missing_keyframe(e))
		return KEYFRAME_RETRY_MS;
	return now - e->report_received_at >= SUBSCRIPTION_SILENCE_MS ? SUBSCRIPTION_RETRY_MS
								      : SUBSCRIPTION_REFRESH_MS;
}

/* Collects the subscriptions to send: those due for renewal, and those whose watcher is new. */
static uint32_t subscriptions_due(bct_watch_t *w, bct_time_t now, subscription_t *out)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < w->n; i++) {
		engine_t *e = &w->engines[i];
		bool refresh = now - e->subscribed_at >= subscription_interval_ms(e, now);

		/* A backup must subscribe to notice when the watcher falls silent. */
		if ((!e->wanted && e->watchers[1] != w->self) || e->watchers[0] == w->self)
			continue;
		for (int r = 0; r < 2; r++) {
			if (!e->watchers[r] || e->watchers[r] == w->self ||
			    (!refresh && e->subscribed_to[r] == e->watchers[r]))
				continue;
			e->subscribed_to[r] = e->watchers[r];
			out[n++] = (subscription_t){ e->watchers[r], e->key, missing_keyframe(e) };
		}
		if (refresh)
			e->subscribed_at = now;
	}
	return n;
}

/* Sends up to PEER_ENTRIES_MAX subscriptions to one node in one datagram. */
static void subscriptions_send(bct_watch_t *w, const subscription_t *subs, uint32_t n)
{
	const bct_member_t *m = bct_member_find(w->opts.members, subs[0].to);
	peer_call call = { .kind = PEER_REPORTS };
	peer_reports *msg = &call.peer_call_u.reports;
	u_quad_t wants[PEER_ENTRIES_MAX], lost[PEER_ENTRIES_MAX];
	bct_dest_t to;

	if (!m)
		return;
	msg->wants.wants_val = wants;
	msg->lost.lost_val = lost;
	for (uint32_t i = 0; i < n; i++) {
		wants[msg->wants.wants_len++] = subs[i].key;
		if (subs[i].needs_keyframe)
			lost[msg->lost.lost_len++] = subs[i].key;
	}
	to = (bct_dest_t){ .addr = m->peer, .incarnation = m->incarnation };
	w->opts.outbox->ops->call(w->opts.outbox, &to, ++w->xid, &call);
	w->tokens_bytes -= DATAGRAM_BYTES + n * sizeof(*wants);
}

void bct_watch_send_subscriptions(bct_watch_t *w, bct_time_t now)
{
	subscription_t *subs;
	uint32_t n;

	/* Subscriptions go before reports and may overdraw the byte budget by that of 1 s. */
	if (w->tokens_bytes < -(int64_t)w->opts.max_bytes_per_s)
		return;
	subs = bct_alloc((2 * w->n + 1) * sizeof(*subs));
	if (!subs)
		return;
	n = subscriptions_due(w, now, subs);
	if (n)
		qsort(subs, n, sizeof(*subs), subscription_cmp);
	for (uint32_t i = 0; i < n;) {
		uint32_t len = 1;

		while (i + len < n && len < PEER_ENTRIES_MAX && subs[i + len].to == subs[i].to)
			len++;
		subscriptions_send(w, &subs[i], len);
		i += len;
	}
	bct_free(subs);
}

static subscriber_t *subscriber_find(const engine_t *e, uint64_t incarnation)
{
	for (uint32_t i = 0; i < e->n_subscribers; i++) {
		if (e->subscribers[i].incarnation == incarnation)
			return &e->subscribers[i];
	}
	return NULL;
}

/* Adds or renews a subscriber. A new one needs a keyframe before it can use deltas. */
void bct_watch_add_subscriber(bct_watch_t *w, bct_time_t now, uint64_t from, uint64_t key)
{
	engine_t *e = bct_watch_engine(w, key);
	subscriber_t *r = e ? subscriber_find(e, from) : NULL;

	if (r)
		r->expires_at = now + SUBSCRIPTION_EXPIRE_MS;
	if (!e || r)
		return;
	if (e->n_subscribers == e->cap_subscribers) {
		uint32_t cap = e->cap_subscribers ? e->cap_subscribers * 2 : 8;
		subscriber_t *v = bct_realloc(e->subscribers, cap * sizeof(*v));

		if (!v)
			return;
		e->subscribers = v;
		e->cap_subscribers = cap;
	}
	e->subscribers[e->n_subscribers++] =
		(subscriber_t){ .incarnation = from,
				.expires_at = now + SUBSCRIPTION_EXPIRE_MS,
				.needs_keyframe = true };
}

/* Notes that a subscriber misses the keyframe, so that it is sent again. */
void bct_watch_keyframe_lost(bct_watch_t *w, uint64_t from, uint64_t key)
{
	engine_t *e = bct_watch_engine(w, key);
	subscriber_t *r = e ? subscriber_find(e, from) : NULL;

	if (r)
		r->needs_keyframe = true;
}

/* Removes subscribers that did not renew in time or are dead. */
void bct_watch_expire_subscribers(bct_watch_t *w, bct_time_t now, engine_t *e)
{
	for (uint32_t i = e->n_subscribers; i-- > 0;) {
		const subscriber_t *r = &e->subscribers[i];
		const bct_member_t *m = bct_member_find(w->opts.members, r->incarnation);

		if (r->expires_at <= now || (m && m->liveness == BCT_MEMBER_DEAD))
			e->subscribers[i] = e->subscribers[--e->n_subscribers];
	}
}
