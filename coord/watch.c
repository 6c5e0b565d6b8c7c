/*
 * watch.c - assignment of watchers, polling, and received reports.
 */
#include "coord/watch_int.h"
#include "base/err.h"
#include "base/mem.h"
#include "policy/rendezvous.h"

#include <stdlib.h>
#include <string.h>

engine_t *bct_watch_engine(const bct_watch_t *w, uint64_t key)
{
	uint32_t lo = 0, hi = w->n;

	while (lo < hi) {
		uint32_t mid = lo + (hi - lo) / 2;

		if (w->engines[mid].key < key)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo < w->n && w->engines[lo].key == key ? &w->engines[lo] : NULL;
}

/*
 * Picks the watcher and the backup of an engine: the two live nodes with the highest scores. A node
 * that already watches its share of the engines cannot become watcher of another, so that the work
 * of polling and sending is even. The backup is not limited.
 *
 * load  number of engines that each live node watches so far; updated
 */
static void pick_watchers(engine_t *e, const uint64_t *live, uint32_t *load, uint32_t n,
			  uint32_t share)
{
	uint64_t best = 0, second = 0;
	uint32_t first = n;

	for (uint32_t i = 0; i < n; i++) {
		uint64_t score = bct_rendezvous_score(e->key, live[i]);

		if (load[i] < share && (first == n || score > best)) {
			first = i;
			best = score;
		}
	}
	e->watchers[0] = first < n ? live[first] : 0;
	e->watchers[1] = 0;
	for (uint32_t i = 0; i < n; i++) {
		uint64_t score = bct_rendezvous_score(e->key, live[i]);

		if (i != first && (!e->watchers[1] || score > second)) {
			e->watchers[1] = live[i];
			second = score;
		}
	}
	if (first < n)
		load[first]++;
}

/* Sets this node's role. After a change of role the next report sent is a keyframe. */
static void engine_assign(bct_watch_t *w, bct_time_t now, engine_t *e)
{
	watch_role_t role = ROLE_NONE;

	if (e->watchers[0] == w->self)
		role = ROLE_WATCHER;
	else if (e->watchers[1] == w->self)
		role = ROLE_BACKUP;
	if (role != e->role)
		e->keyframe_sent_at = now - KEYFRAME_MS;
	if (role != ROLE_NONE && e->role == ROLE_NONE) {
		e->next_poll = now;
		e->report_received_at = now;
	}
	e->role = role;
	e->pending = e->pending && role != ROLE_NONE;
}

void bct_watch_members_changed(bct_watch_t *w, bct_time_t now)
{
	uint64_t *live = bct_alloc(BCT_MEMBERS_MAX * sizeof(*live));
	uint32_t *load = bct_alloc(BCT_MEMBERS_MAX * sizeof(*load));
	uint32_t n, share;

	if (!live || !load)
		goto out;
	n = bct_member_live(w->opts.members, false, live, BCT_MEMBERS_MAX);
	if (!n)
		n = bct_member_live(w->opts.members, true, live, BCT_MEMBERS_MAX);
	share = n ? (w->n + n - 1) / n : 0;
	for (uint32_t i = 0; i < w->n; i++) {
		pick_watchers(&w->engines[i], live, load, n, share);
		engine_assign(w, now, &w->engines[i]);
	}
out:
	bct_free(live);
	bct_free(load);
}

static int key_cmp(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

static void engines_free(engine_t *engines, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++)
		bct_free(engines[i].subscribers);
	bct_free(engines);
}

int bct_watch_set_engines(bct_watch_t *w, bct_time_t now, const uint64_t *keys, uint32_t n)
{
	engine_t *engines;
	uint64_t *sorted;

	if (n > BCT_WATCH_ENGINES_MAX)
		return -BCT_EFULL;
	engines = bct_alloc((n + 1) * sizeof(*engines));
	sorted = bct_alloc((n + 1) * sizeof(*sorted));
	if (!engines || !sorted) {
		bct_free(engines);
		bct_free(sorted);
		return -BCT_ENOMEM;
	}
	if (n)
		memcpy(sorted, keys, n * sizeof(*sorted));
	qsort(sorted, n, sizeof(*sorted), key_cmp);
	for (uint32_t i = 0; i < n; i++) {
		engine_t *old = bct_watch_engine(w, sorted[i]);

		if (old) {
			engines[i] = *old;
			old->subscribers = NULL;
		}
		engines[i].key = sorted[i];
		if (!old)
			engines[i].subscribed_at = now - SUBSCRIPTION_REFRESH_MS;
	}
	engines_free(w->engines, w->n);
	bct_free(w->keys);
	w->engines = engines;
	w->keys = sorted;
	w->n = n;
	bct_watch_mark_wanted(w);
	bct_watch_members_changed(w, now);
	return 0;
}

uint32_t bct_watch_due(bct_watch_t *w, bct_time_t now, uint64_t *out, uint32_t max)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < w->n && n < max; i++) {
		engine_t *e = &w->engines[(w->due_cursor + i) % w->n];

		if (e->role == ROLE_NONE || now < e->next_poll)
			continue;
		if (e->role == ROLE_BACKUP) {
			if (now - e->report_received_at < BACKUP_SILENCE_MS)
				continue;
			w->counters.polled_as_backup++;
		}
		e->next_poll = now + POLL_INTERVAL_MS;
		out[n++] = e->key;
	}
	w->due_cursor = w->n ? (w->due_cursor + 1) % w->n : 0;
	return n;
}

static void set_leaving(bct_watch_t *w, engine_t *e, bool leaving)
{
	if (e->leaving == leaving)
		return;
	e->leaving = leaving;
	if (w->opts.leaving)
		w->opts.leaving(w->opts.ctx, e->key, leaving);
}

/* Gossips that an engine is leaving, and renews the notice while its reports say so. */
static void gossip_leaving(bct_watch_t *w, bct_time_t now, engine_t *e, uint64_t boot_id)
{
	bct_fact_t f = { .type = BCT_FACT_UPSTREAM_LEAVING,
			 .key = e->key,
			 .key2 = boot_id,
			 .v = { 1 },
			 .expires = now + LEAVING_EXPIRE_MS };

	e->leaving_expires_at = f.expires;
	if (e->leaving && e->leaving_boot_id == boot_id &&
	    now - e->leaving_gossiped_at < LEAVING_RENEW_MS)
		return;
	e->leaving_boot_id = boot_id;
	e->leaving_gossiped_at = now;
	bct_member_gossip_fact(w->opts.members, now, &f);
	set_leaving(w, e, true);
}

void bct_watch_receive_fact(bct_watch_t *w, bct_time_t now, const bct_fact_t *fact)
{
	engine_t *e = bct_watch_engine(w, fact->key);

	(void)now;
	if (!e || fact->type != BCT_FACT_UPSTREAM_LEAVING || !fact->v[0])
		return;
	/* The engine has restarted since: the notice was for its previous boot. */
	if (e->known && !e->last.leaving && e->last.boot_id != fact->key2 &&
	    e->leaving_boot_id == fact->key2)
		return;
	e->leaving_boot_id = fact->key2;
	e->leaving_expires_at = fact->expires;
	set_leaving(w, e, true);
}

/*
 * Whether a report is newer than the last one: by sequence number within one boot, else by the time
 * to which it applies, so that a late report of the previous boot can't replace one of this boot.
 */
static bool report_is_new(const engine_t *e, bct_time_t now, const bct_report_t *r)
{
	if (!e->known)
		return true;
	if (r->boot_id == e->last.boot_id)
		return r->seq > e->last.seq;
	return now - (bct_time_t)r->age_ms > e->sampled_at;
}

/*
 * Whether to store a received keyframe. A resent one may be older than the last report and is still
 * needed to apply deltas.
 */
static bool keyframe_is_new(const engine_t *e, bct_time_t now, const bct_report_t *r)
{
	if (!e->has_keyframe)
		return true;
	if (r->boot_id == e->keyframe.boot_id)
		return r->seq >= e->keyframe.seq || e->keyframe_missed_at;
	return report_is_new(e, now, r);
}

/* Makes a report the last one if it is newer; returns whether it is. */
static bool apply_report(bct_watch_t *w, bct_time_t now, engine_t *e, const bct_report_t *r)
{
	if (!report_is_new(e, now, r)) {
		w->counters.stale++;
		return false;
	}
	if (e->leaving && r->boot_id != e->leaving_boot_id && !r->leaving)
		set_leaving(w, e, false);
	e->known = true;
	e->last = *r;
	e->sampled_at = now - (bct_time_t)r->age_ms;
	if (w->opts.report)
		w->opts.report(w->opts.ctx, r);
	return true;
}

void bct_watch_polled(bct_watch_t *w, bct_time_t now, const bct_report_t *report)
{
	engine_t *e = bct_watch_engine(w, report->upstream_key);

	if (!e)
		return;
	w->counters.polled++;
	if (report->leaving)
		gossip_leaving(w, now, e, report->boot_id);
	if (apply_report(w, now, e, report))
		e->pending = e->role != ROLE_NONE;
	/* A backup's own polls do not count: it polls until the watcher's reports arrive again. */
	if (e->role == ROLE_WATCHER)
		e->report_received_at = now;
}

void bct_watch_polled_events(bct_watch_t *w, bct_time_t now, const bct_cache_event_t *events,
			     uint32_t n)
{
	(void)now;
	for (uint32_t i = 0; i < n; i++) {
		if (w->opts.cache_event)
			w->opts.cache_event(w->opts.ctx, &events[i]);
		if (w->n_events == EVENTS_QUEUED_MAX)
			w->counters.events_dropped++;
		else
			w->events[w->n_events++] = events[i];
	}
}

/* Rebuilds a report from a keyframe, or from a delta and the keyframe that it refers to. */
static void receive_report(bct_watch_t *w, bct_time_t now, const peer_report *p)
{
	engine_t *e = bct_watch_engine(w, p->upstream_key);
	bool is_keyframe = p->seq == p->key_seq;
	uint32_t values[PEER_REPORT_FIELDS] = { 0 };
	uint32_t used = 0;
	bct_report_t r;

	if (!e)
		return;
	w->counters.received++;
	e->report_received_at = now;
	if (!is_keyframe) {
		if (!e->has_keyframe || e->keyframe.boot_id != p->boot_id ||
		    e->keyframe.seq != p->key_seq) {
			w->counters.no_keyframe++;
			e->keyframe_missed_at = now;
			return;
		}
		bct_report_fields(&e->keyframe, values);
	}
	for (uint32_t i = 0; i < PEER_REPORT_FIELDS; i++) {
		if (p->mask & 1u << i && used < p->values.values_len)
			values[i] = p->values.values_val[used++];
	}
	memset(&r, 0, sizeof(r));
	r.upstream_key = p->upstream_key;
	r.boot_id = p->boot_id;
	r.seq = p->seq;
	r.age_ms = p->age_ms;
	bct_report_set_fields(&r, values);
	if (is_keyframe && keyframe_is_new(e, now, &r)) {
		e->keyframe = r;
		e->has_keyframe = true;
		e->keyframe_missed_at = 0;
	}
	apply_report(w, now, e, &r);
}

void bct_watch_receive(bct_watch_t *w, bct_time_t now, uint64_t from, const peer_reports *msg)
{
	for (uint32_t i = 0; i < msg->wants.wants_len; i++)
		bct_watch_add_subscriber(w, now, from, msg->wants.wants_val[i]);
	for (uint32_t i = 0; i < msg->lost.lost_len; i++)
		bct_watch_keyframe_lost(w, from, msg->lost.lost_val[i]);
	for (uint32_t i = 0; i < msg->reports.reports_len; i++)
		receive_report(w, now, &msg->reports.reports_val[i]);
	for (uint32_t i = 0; i < msg->events.events_len; i++) {
		const peer_cache_event *p = &msg->events.events_val[i];
		bct_cache_event_t ev = { .upstream_key = p->upstream_key,
					 .seq = p->seq,
					 .block = p->block,
					 .op = (bct_cache_op_t)p->op };

		if (w->opts.cache_event && bct_watch_engine(w, ev.upstream_key) &&
		    ev.op >= BCT_CACHE_ADD && ev.op <= BCT_CACHE_RESET)
			w->opts.cache_event(w->opts.ctx, &ev);
	}
}

bct_time_t bct_watch_tick(bct_watch_t *w, bct_time_t now)
{
	int64_t rate = w->opts.max_bytes_per_s;

	if (now < w->next_tick)
		return w->next_tick;
	w->next_tick = now + TICK_MS;
	w->tokens_bytes += rate * (now - w->tokens_at) / BCT_MS_PER_S;
	w->tokens_at = now;
	if (w->tokens_bytes > rate * BURST_MS / BCT_MS_PER_S)
		w->tokens_bytes = rate * BURST_MS / BCT_MS_PER_S;
	for (uint32_t i = 0; i < w->n; i++) {
		engine_t *e = &w->engines[i];

		bct_watch_expire_subscribers(w, now, e);
		if (e->leaving && e->leaving_expires_at <= now)
			set_leaving(w, e, false);
	}
	bct_watch_send_subscriptions(w, now);
	bct_watch_send(w, now);
	return w->next_tick;
}

int bct_watch_new(const bct_watch_opts_t *opts, bct_time_t now, bct_watch_t **out)
{
	bct_watch_t *w;

	*out = NULL;
	if (!opts->members || !opts->outbox)
		return -BCT_EINVAL;
	w = bct_alloc(sizeof(*w));
	if (!w)
		return -BCT_ENOMEM;
	w->opts = *opts;
	if (!w->opts.subset)
		w->opts.subset = BCT_WATCH_SUBSET;
	if (!w->opts.max_bytes_per_s)
		w->opts.max_bytes_per_s = DEFAULT_BYTES_PER_S;
	w->self = bct_member_self(opts->members)->incarnation;
	w->tokens_at = now;
	*out = w;
	return 0;
}

void bct_watch_free(bct_watch_t *w)
{
	if (!w)
		return;
	engines_free(w->engines, w->n);
	bct_free(w->keys);
	bct_free(w->wanted_keys);
	bct_free(w);
}

uint64_t bct_watch_bytes(const bct_watch_t *w)
{
	uint64_t bytes = sizeof(*w) + w->n * (sizeof(engine_t) + sizeof(uint64_t));

	for (uint32_t i = 0; i < w->n; i++)
		bytes += w->engines[i].cap_subscribers * sizeof(subscriber_t);
	return bytes;
}

void bct_watch_counters(const bct_watch_t *w, bct_watch_counters_t *out)
{
	*out = w->counters;
}
