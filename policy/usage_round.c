/*
 * usage_round.c - which counters of a node are sent to which nodes.
 */
#include "policy/usage_round.h"

#include <string.h>

#define RANKED 3 /* keepers by rank */
#define ROUND_MAX_MS 500
#define ROUND_MIN_MS 250
#define ROUND_MS_PER_NODE 5 /* a keeper receives 200 messages a second from up to 100 nodes */
/* After the end of a window, which is decided after 4 s: */
#define ENDED_MS 2000 /* its counters are sent once more; those of nodes that are not live, too */
#define GONE_MS 3200  /* the latter are sent again, as a keeper sends them only then */
/* When a new keeper is sent all counters, after it became one. */
static const bct_time_t full_ms[] = { 0, 500, 1000, 2000, 4000 };
#define FULLS (sizeof(full_ms) / sizeof(full_ms[0]))
#define GONE_WINDOWS 2 /* that have ended, of which keepers send the counters of killed nodes */

uint32_t bct_usage_keepers(const uint64_t *live, uint32_t n, uint64_t holder, uint64_t *out)
{
	uint32_t n_out = 0;
	bool has_holder = !holder;

	for (uint32_t i = 0; i < n; i++) {
		uint32_t at = n_out;

		while (at > 0 && out[at - 1] > live[i])
			at--;
		if (at >= RANKED)
			continue;
		if (n_out < RANKED)
			n_out++;
		memmove(out + at + 1, out + at, (n_out - at - 1) * sizeof(*out));
		out[at] = live[i];
	}
	for (uint32_t i = 0; i < n_out; i++)
		has_holder = has_holder || out[i] == holder;
	if (!has_holder)
		out[n_out++] = holder;
	return n_out;
}

uint32_t bct_usage_round_ms(uint32_t nodes)
{
	uint32_t ms = nodes * ROUND_MS_PER_NODE;

	if (ms < ROUND_MIN_MS)
		return ROUND_MIN_MS;
	return ms < ROUND_MAX_MS ? ms : ROUND_MAX_MS;
}

/* The state of a keeper, which may be new. */
static bct_usage_keeper_t get_keeper(const bct_usage_rounds_t *r, bct_time_t now,
				     uint64_t incarnation)
{
	bct_usage_keeper_t k = { .incarnation = incarnation, .since = now };

	for (uint32_t i = 0; i < r->n_keepers; i++) {
		if (r->keepers[i].incarnation == incarnation)
			k = r->keepers[i];
	}
	k.full = k.fulls < FULLS && now - k.since >= full_ms[k.fulls];
	k.fulls += k.full;
	return k;
}

static void set_keepers(bct_usage_rounds_t *r, bct_time_t now)
{
	const bct_usage_fleet_t *f = &r->fleet;
	uint64_t ids[BCT_USAGE_KEEPERS_MAX];
	bct_usage_keeper_t keepers[BCT_USAGE_KEEPERS_MAX] = { 0 };
	uint32_t n = bct_usage_keepers(f->live, f->n, f->holder, ids);

	r->is_keeper = false;
	for (uint32_t i = 0; i < n; i++) {
		keepers[i] = get_keeper(r, now, ids[i]);
		r->is_keeper = r->is_keeper || ids[i] == f->self;
	}
	memcpy(r->keepers, keepers, n * sizeof(*keepers));
	r->n_keepers = n;
}

void bct_usage_round_begin(bct_usage_rounds_t *r, bct_time_t now, const bct_usage_t *u,
			   const bct_usage_fleet_t *fleet, uint64_t window)
{
	uint64_t *mark = &r->marks[r->rounds++ % BCT_USAGE_SENDS];

	r->from = *mark;
	*mark = bct_usage_changes(u);
	r->fleet = *fleet;
	set_keepers(r, now);
	if (r->window != window) {
		r->window = window;
		r->window_since = now;
		r->ended_sent = false;
		r->gone_sent = false;
	}
	r->send_ended = !r->ended_sent && now - r->window_since >= ENDED_MS;
	r->ended_sent = r->ended_sent || r->send_ended;
	r->send_gone = !r->gone_sent && now - r->window_since >= GONE_MS;
	r->gone_sent = r->gone_sent || r->send_gone;
	r->send_gone = r->is_keeper && (r->send_gone || r->send_ended);
}

/* The counters that changed or, to a new keeper, all of the last windows. */
static bool next_changed(const bct_usage_rounds_t *r, const bct_usage_t *u, bool full, uint64_t *at,
			 bct_usage_item_t *out)
{
	uint32_t pos = (uint32_t)*at;
	bool found;

	do {
		found = bct_usage_next_item(u, full ? 0 : r->from, &pos, out);
	} while (found && full && out->window + BCT_USAGE_RESENT <= r->window);
	*at = pos;
	return found;
}

/* This node's counters of the window that has ended. */
static bool next_ended(const bct_usage_rounds_t *r, const bct_usage_t *u, uint64_t *at,
		       bct_usage_item_t *out)
{
	uint32_t pos = (uint32_t)*at;
	bool found;

	do {
		found = bct_usage_next_item(u, 0, &pos, out);
	} while (found && out->window + 1 != r->window);
	*at = pos;
	return found;
}

static bool is_live(const bct_usage_fleet_t *f, uint64_t incarnation)
{
	for (uint32_t i = 0; i < f->n; i++) {
		if (f->live[i] == incarnation)
			return true;
	}
	return false;
}

/* The counters of nodes that are not live, in one window. */
static bool next_gone(const bct_usage_rounds_t *r, const bct_usage_t *u, uint64_t window,
		      bct_usage_round_pos_t *pos, bct_usage_item_t *out)
{
	while (bct_usage_next_other(u, window, &pos->at, out)) {
		if (out->incarnation == pos->skipped)
			continue;
		if (!is_live(&r->fleet, out->incarnation))
			return true;
		pos->skipped = out->incarnation;
	}
	return false;
}

bool bct_usage_round_next(const bct_usage_rounds_t *r, const bct_usage_t *u, uint32_t keeper,
			  bct_usage_round_pos_t *pos, bct_usage_item_t *out)
{
	bool full = r->keepers[keeper].full;

	if (pos->step == 0) {
		if (next_changed(r, u, full, &pos->at, out))
			return true;
		*pos = (bct_usage_round_pos_t){ .step = 1 };
	}
	if (pos->step == 1) {
		if (!full && r->send_ended && next_ended(r, u, &pos->at, out))
			return true;
		*pos = (bct_usage_round_pos_t){ .step = 2 };
	}
	for (; r->send_gone && pos->step < 2 + GONE_WINDOWS;
	     *pos = (bct_usage_round_pos_t){ .step = pos->step + 1 }) {
		if (next_gone(r, u, r->window - (pos->step - 1), pos, out))
			return true;
	}
	return false;
}
