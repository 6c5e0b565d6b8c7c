/*
 * usage_round.c - which counters of a node are sent to which nodes.
 */
#include "policy/usage_round.h"

#include <string.h>

#define RANKED 3 /* keepers by rank */
#define ROUND_MAX_MS 500
#define ROUND_MIN_MS 100
#define ROUND_MS_PER_NODE 5 /* so that a keeper receives 200 messages a second */
/* When a window is sent once more, after its end; it is decided after 4 s. */
static const bct_time_t resend_ms[] = { 2000, 3300 };
#define RESENDS (sizeof(resend_ms) / sizeof(resend_ms[0]))
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

/* Rounds in which the node has been a keeper, with this one. */
static uint32_t rounds_as_keeper(const bct_usage_rounds_t *r, uint64_t keeper)
{
	for (uint32_t i = 0; i < r->n_keepers; i++) {
		if (r->keepers[i] == keeper)
			return r->sent[i] + 1;
	}
	return 1;
}

uint32_t bct_usage_round_ms(uint32_t nodes)
{
	uint32_t ms = nodes * ROUND_MS_PER_NODE;

	if (ms < ROUND_MIN_MS)
		return ROUND_MIN_MS;
	return ms < ROUND_MAX_MS ? ms : ROUND_MAX_MS;
}

static void set_keepers(bct_usage_rounds_t *r)
{
	const bct_usage_fleet_t *f = &r->fleet;
	uint64_t keepers[BCT_USAGE_KEEPERS_MAX];
	uint32_t sent[BCT_USAGE_KEEPERS_MAX] = { 0 };
	uint32_t n = bct_usage_keepers(f->live, f->n, f->holder, keepers);

	r->is_keeper = false;
	for (uint32_t i = 0; i < n; i++) {
		sent[i] = rounds_as_keeper(r, keepers[i]);
		r->is_keeper = r->is_keeper || keepers[i] == f->self;
	}
	memcpy(r->keepers, keepers, sizeof(keepers));
	memcpy(r->sent, sent, sizeof(sent));
	r->n_keepers = n;
}

void bct_usage_round_begin(bct_usage_rounds_t *r, bct_time_t now, const bct_usage_t *u,
			   const bct_usage_fleet_t *fleet, uint64_t window)
{
	uint64_t *mark = &r->marks[r->rounds++ % BCT_USAGE_SENDS];

	r->from = *mark;
	*mark = bct_usage_changes(u);
	r->fleet = *fleet;
	set_keepers(r);
	if (r->window != window) {
		r->window = window;
		r->window_since = now;
		r->resends = 0;
	}
	r->resending = r->resends < RESENDS && now - r->window_since >= resend_ms[r->resends];
	r->resends += r->resending;
}

/* The counters that changed or, to a new keeper, all of the last windows. */
static bool next_changed(const bct_usage_rounds_t *r, const bct_usage_t *u, bool is_new,
			 uint64_t *at, bct_usage_item_t *out)
{
	uint32_t pos = (uint32_t)*at;
	bool found;

	do {
		found = bct_usage_next_item(u, is_new ? 0 : r->from, &pos, out);
	} while (found && is_new && out->window + BCT_USAGE_RESENT <= r->window);
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
	bool is_new = r->sent[keeper] <= BCT_USAGE_SENDS;

	if (pos->step == 0) {
		if (next_changed(r, u, is_new, &pos->at, out))
			return true;
		*pos = (bct_usage_round_pos_t){ .step = 1 };
	}
	if (!r->resending)
		return false;
	if (pos->step == 1) {
		if (!is_new && next_ended(r, u, &pos->at, out))
			return true;
		*pos = (bct_usage_round_pos_t){ .step = 2 };
	}
	for (; r->is_keeper && pos->step < 2 + GONE_WINDOWS;
	     *pos = (bct_usage_round_pos_t){ .step = pos->step + 1 }) {
		if (next_gone(r, u, r->window - (pos->step - 1), pos, out))
			return true;
	}
	return false;
}
