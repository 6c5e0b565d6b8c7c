/*
 * watch_send.c - sending of polled reports as keyframes and deltas, batched by receiver.
 */
#include "coord/watch_int.h"
#include "base/mem.h"

#include <string.h>

_Static_assert(BCT_TIERS + 7 <= PEER_REPORT_FIELDS, "a report's fields must fit the message");

/* Lists the fields of a report in the order of peer_report.values and its mask. */
void bct_report_fields(const bct_report_t *r, uint32_t out[PEER_REPORT_FIELDS])
{
	uint32_t n = 0;

	out[n++] = r->running;
	out[n++] = r->waiting;
	for (int i = 0; i < BCT_TIERS; i++)
		out[n++] = r->running_by_tier[i];
	out[n++] = r->waiting_tokens;
	out[n++] = r->kv_used_tokens;
	out[n++] = r->kv_total_tokens;
	out[n++] = r->tokens_per_s;
	out[n++] = r->leaving;
}

void bct_report_set_fields(bct_report_t *r, const uint32_t v[PEER_REPORT_FIELDS])
{
	uint32_t n = 0;

	r->running = v[n++];
	r->waiting = v[n++];
	for (int i = 0; i < BCT_TIERS; i++)
		r->running_by_tier[i] = v[n++];
	r->waiting_tokens = v[n++];
	r->kv_used_tokens = v[n++];
	r->kv_total_tokens = v[n++];
	r->tokens_per_s = v[n++];
	r->leaving = v[n++] != 0;
}

/* Whether a field changed by more than 1/16 (CHANGE_SHIFT) since the last report sent. */
static bool differs(const engine_t *e)
{
	uint32_t v[PEER_REPORT_FIELDS];

	bct_report_fields(&e->last, v);
	for (int i = 0; i < PEER_REPORT_FIELDS; i++) {
		uint32_t old = e->sent_values[i];
		uint32_t step = v[i] > old ? v[i] - old : old - v[i];

		if (step > old >> CHANGE_SHIFT)
			return true;
	}
	return false;
}

/* Whether an engine's report is to be sent now: keyframe or refresh due, or a change. */
static bool engine_due(const engine_t *e, bct_time_t now)
{
	if (e->role == ROLE_NONE || !e->pending)
		return false;
	return now - e->keyframe_sent_at >= KEYFRAME_MS || now - e->sent_at >= REFRESH_MS ||
	       e->resend || differs(e);
}

/*
 * Encodes a report as a delta to its keyframe `base`, or as a keyframe if base is NULL.
 *
 * values  PEER_REPORT_FIELDS of room, which the message refers to
 */
static void message_fill(const bct_report_t *r, const bct_report_t *base, bct_time_t age_ms,
			 peer_report *p, uint32_t *values)
{
	uint32_t v[PEER_REPORT_FIELDS], old[PEER_REPORT_FIELDS] = { 0 };

	if (base)
		bct_report_fields(base, old);
	bct_report_fields(r, v);
	memset(p, 0, sizeof(*p));
	p->upstream_key = r->upstream_key;
	p->boot_id = r->boot_id;
	p->seq = r->seq;
	p->key_seq = base ? base->seq : r->seq;
	p->age_ms = (uint32_t)age_ms;
	p->values.values_val = values;
	for (uint32_t i = 0; i < PEER_REPORT_FIELDS; i++) {
		if (v[i] == old[i])
			continue;
		p->mask |= 1u << i;
		values[p->values.values_len++] = v[i];
	}
}

/*
 * Builds the message of one engine: a keyframe when one is due or the engine has restarted, else a
 * delta. A changed report is sent once more with the next poll, as the first datagram may be lost.
 */
static void report_build(bct_watch_t *w, bct_time_t now, engine_t *e, peer_report *p,
			 uint32_t *values)
{
	bool is_keyframe =
		now - e->keyframe_sent_at >= KEYFRAME_MS || e->keyframe.boot_id != e->last.boot_id;

	message_fill(&e->last, is_keyframe ? NULL : &e->keyframe, now - e->sampled_at, p, values);
	if (is_keyframe) {
		e->keyframe = e->last;
		e->keyframe_sampled_at = e->sampled_at;
		e->has_keyframe = true;
		e->keyframe_sent_at = now;
		w->counters.keyframes_sent++;
	} else {
		w->counters.deltas_sent++;
	}
	e->resend = differs(e);
	bct_report_fields(&e->last, e->sent_values);
	e->pending = false;
	e->sent_at = now;
}

/* What one tick sends. The reports are built once; the batch is built for each member. */
typedef struct round {
	engine_t **engines;
	peer_report *reports;
	uint32_t (*values)[PEER_REPORT_FIELDS];
	uint32_t n;	    /* engines that are due */
	peer_report *batch; /* reports and events of the datagram being built */
	peer_cache_event *events;
	uint32_t batch_reports;
	uint32_t batch_events;
	uint32_t batch_bytes; /* without DATAGRAM_BYTES */
} round_t;

/* Sends the batch as one datagram, if there is anything in it, and empties it. */
static void batch_send(bct_watch_t *w, const bct_member_t *m, round_t *r)
{
	bct_dest_t to = { .addr = m->peer, .incarnation = m->incarnation };
	peer_call call = { .kind = PEER_REPORTS };

	if (!r->batch_reports && !r->batch_events)
		return;
	call.peer_call_u.reports.reports.reports_len = r->batch_reports;
	call.peer_call_u.reports.reports.reports_val = r->batch;
	call.peer_call_u.reports.events.events_len = r->batch_events;
	call.peer_call_u.reports.events.events_val = r->events;
	w->opts.outbox->ops->call(w->opts.outbox, &to, ++w->xid, &call);
	w->tokens_bytes -= DATAGRAM_BYTES + r->batch_bytes;
	r->batch_reports = 0;
	r->batch_events = 0;
	r->batch_bytes = 0;
}

static bool is_subscriber(const engine_t *e, uint64_t incarnation)
{
	for (uint32_t i = 0; i < e->n_subscribers; i++) {
		if (e->subscribers[i].incarnation == incarnation)
			return true;
	}
	return false;
}

static void batch_report(bct_watch_t *w, const bct_member_t *m, round_t *r, const peer_report *p)
{
	uint32_t bytes = REPORT_BYTES + 4 * p->values.values_len;

	if (r->batch_bytes + bytes > BATCH_BYTES || r->batch_reports == PEER_ENTRIES_MAX)
		batch_send(w, m, r);
	r->batch[r->batch_reports++] = *p;
	r->batch_bytes += bytes;
}

static void batch_event(bct_watch_t *w, const bct_member_t *m, round_t *r,
			const bct_cache_event_t *ev)
{
	if (r->batch_bytes + EVENT_BYTES > BATCH_BYTES || r->batch_events == PEER_ENTRIES_MAX)
		batch_send(w, m, r);
	r->events[r->batch_events++] = (peer_cache_event){
		.upstream_key = ev->upstream_key, .seq = ev->seq, .block = ev->block, .op = ev->op
	};
	r->batch_bytes += EVENT_BYTES;
	w->counters.events_sent++;
}

/* Sends one member the reports and events it subscribed to, in as few datagrams as possible. */
static void send_member(bct_watch_t *w, round_t *r, const bct_member_t *m)
{
	for (uint32_t i = 0; i < r->n; i++) {
		if (is_subscriber(r->engines[i], m->incarnation))
			batch_report(w, m, r, &r->reports[i]);
	}
	for (uint32_t i = 0; i < w->n_events; i++) {
		const engine_t *e = bct_watch_engine(w, w->events[i].upstream_key);

		if (e && is_subscriber(e, m->incarnation))
			batch_event(w, m, r, &w->events[i]);
	}
	batch_send(w, m, r);
}

/*
 * Builds the messages of the engines that are due, until the byte budget is spent or the table
 * of messages is full; the next tick then starts at the first engine omitted. The cost of a report
 * is an estimate: a datagram of its own for each subscriber.
 */
static void round_fill(bct_watch_t *w, bct_time_t now, round_t *r)
{
	int64_t remaining_bytes = w->tokens_bytes;

	for (uint32_t i = 0; i < w->n; i++) {
		engine_t *e = &w->engines[(w->send_cursor + i) % w->n];

		if (!engine_due(e, now))
			continue;
		if (remaining_bytes <= 0 || r->n == PEER_ENTRIES_MAX) {
			w->counters.held_back++;
			w->send_cursor = (w->send_cursor + i) % w->n;
			return;
		}
		r->engines[r->n] = e;
		report_build(w, now, e, &r->reports[r->n], r->values[r->n]);
		remaining_bytes -= (int64_t)e->n_subscribers * (DATAGRAM_BYTES + REPORT_BYTES);
		r->n++;
	}
}

/* Sends the current keyframe again to a subscriber that misses it. */
static void keyframe_resend(bct_watch_t *w, bct_time_t now, engine_t *e, subscriber_t *subscriber)
{
	const bct_member_t *m = bct_member_find(w->opts.members, subscriber->incarnation);
	uint32_t values[PEER_REPORT_FIELDS];
	peer_report report;
	round_t r = { .batch = &report, .batch_reports = 1, .batch_bytes = REPORT_BYTES };

	subscriber->needs_keyframe = false;
	if (!m || !e->has_keyframe || e->role == ROLE_NONE)
		return;
	message_fill(&e->keyframe, NULL, now - e->keyframe_sampled_at, &report, values);
	w->counters.keyframes_sent++;
	batch_send(w, m, &r);
}

static void keyframes_resend(bct_watch_t *w, bct_time_t now)
{
	for (uint32_t i = 0; i < w->n; i++) {
		engine_t *e = &w->engines[i];

		for (uint32_t j = 0; j < e->n_subscribers; j++) {
			if (w->tokens_bytes <= 0)
				return;
			if (e->subscribers[j].needs_keyframe)
				keyframe_resend(w, now, e, &e->subscribers[j]);
		}
	}
}

void bct_watch_send(bct_watch_t *w, bct_time_t now)
{
	engine_t *engines[PEER_ENTRIES_MAX];
	peer_report reports[PEER_ENTRIES_MAX], batch[PEER_ENTRIES_MAX];
	uint32_t values[PEER_ENTRIES_MAX][PEER_REPORT_FIELDS];
	peer_cache_event events[PEER_ENTRIES_MAX];
	round_t r = { .engines = engines,
		      .reports = reports,
		      .values = values,
		      .batch = batch,
		      .events = events };
	uint32_t members = bct_member_count(w->opts.members);

	if (w->tokens_bytes <= 0)
		return;
	keyframes_resend(w, now);
	round_fill(w, now, &r);
	if (!r.n && !w->n_events)
		return;
	for (uint32_t i = 0; i < members; i++) {
		const bct_member_t *m = bct_member_at(w->opts.members, i);

		if (m->incarnation != w->self && m->liveness != BCT_MEMBER_DEAD)
			send_member(w, &r, m);
	}
	w->n_events = 0;
}
