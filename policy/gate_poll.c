/*
 * gate_poll.c - readers by rank, everybody else by comparison.
 */
#include "policy/gate_poll.h"

#include <string.h>

#define FRESH_SLACK_MS 400 /* for an answer of the registry and for the way between nodes */
#define DIFFERS_MS 400	   /* a change is on its way to us for so long at most */
#define UNLIKE_MS 800	   /* while changes keep coming, a lost one is looked for so often */
#define SAME_ANSWER_MS 100 /* ages that nodes pass on are not exact */
#define READ_ON_MS 3000	   /* after a longer pause a listing is smaller than what changed */
#define RETRY_MIN_MS 200   /* between calls that fail */
#define RETRY_MAX_SHIFT 2U

void bct_gate_poll_init(bct_gate_poll_t *f, uint32_t interval_ms)
{
	memset(f, 0, sizeof(*f));
	f->interval_ms = interval_ms;
}

void bct_gate_poll_received(bct_gate_poll_t *f, const bct_gate_peer_versions_t *h)
{
	uint64_t version = f->latest.routes_version;

	/* Versions only grow, and a hub may not have adopted the reader's yet. */
	if (h->routes_version > version)
		version = h->routes_version;
	f->latest.routes_version = version;
	if (h->registry_answered_at + SAME_ANSWER_MS < f->latest.registry_answered_at)
		return;
	f->message_gap_ms =
		(uint32_t)(f->latest.received_at ? h->received_at - f->latest.received_at : 0);
	f->latest = *h;
	f->latest.routes_version = version;
}

/* What changed here since the peer spoke may be news to the peer: only a later word tells. */
static void compare(bct_gate_poll_t *f, bct_time_t now, const bct_gate_local_versions_t *own)
{
	bool moved = own->upstreams_digest != f->local_digest_then;

	if (f->latest.received_at != f->compared_at) {
		f->compared_at = f->latest.received_at;
		f->local_digest_then = own->upstreams_digest;
	}
	if (own->upstreams_digest == f->latest.upstreams_digest) {
		f->differs_since = 0;
		f->unequal_since = 0;
		return;
	}
	if (!f->unequal_since)
		f->unequal_since = now;
	if (moved)
		f->differs_since = 0;
	else if (!f->differs_since)
		f->differs_since = now;
}

static bool lasts(bct_time_t since, bct_time_t now, uint32_t ms)
{
	return since && now - since >= (bct_time_t)ms;
}

/* Long enough for the peer to have spoken in between. */
static uint32_t unlike_ms(const bct_gate_poll_t *f)
{
	uint32_t gap_ms = f->message_gap_ms ? f->message_gap_ms : f->message_interval_ms;

	return 2 * gap_ms > UNLIKE_MS ? 2 * gap_ms : UNLIKE_MS;
}

static uint32_t pause_ms(const bct_gate_poll_t *f)
{
	uint32_t shift = f->consecutive_failures < RETRY_MAX_SHIFT ? f->consecutive_failures
								   : RETRY_MAX_SHIFT;

	return f->consecutive_failures ? (uint32_t)RETRY_MIN_MS << shift : f->interval_ms;
}

bct_gate_due_t bct_gate_poll_due(bct_gate_poll_t *f, bct_time_t now,
				 const bct_gate_local_versions_t *own)
{
	bct_time_t fresh_ms = (bct_time_t)f->interval_ms + f->message_interval_ms + FRESH_SLACK_MS;
	bool fresh = f->latest.received_at && now - f->latest.registry_answered_at < fresh_ms;
	bool reader = own->rank < BCT_GATE_POLLERS || !fresh;
	bct_gate_due_t due = { 0 };

	compare(f, now, own);
	if (f->polled_at && now - f->polled_at < (reader ? pause_ms(f) : RETRY_MIN_MS))
		return due;
	due.routes = reader || f->latest.routes_version > own->routes_version;
	due.upstreams = reader || lasts(f->differs_since, now, DIFFERS_MS) ||
			lasts(f->unequal_since, now, unlike_ms(f));
	due.list = now - f->answered_at > READ_ON_MS || !reader;
	if (due.routes || due.upstreams)
		f->polled_at = now;
	if (due.upstreams)
		f->differs_since = f->unequal_since = 0;
	return due;
}

void bct_gate_poll_result(bct_gate_poll_t *f, bct_time_t now, bool ok)
{
	f->consecutive_failures = ok ? 0 : f->consecutive_failures + 1;
	if (ok)
		f->answered_at = now;
}
