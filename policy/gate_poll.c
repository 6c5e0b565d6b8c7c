/*
 * gate_poll.c - pollers are the nodes of lowest rank; the others poll when their versions and those
 * received from peers stay different.
 */
#include "policy/gate_poll.h"

#include <string.h>

#define FRESH_SLACK_MS 400	/* for the registry's answer and the delay between nodes */
#define PROPAGATION_MS 400	/* longest delay until a change reaches this node by message */
#define UNEQUAL_MIN_MS 800	/* least wait for a lost change while other changes keep coming */
#define AGE_ERROR_MS 100	/* ages that nodes relay are not exact */
#define CHANGES_MAX_AGE_MS 3000 /* after a longer pause a listing is smaller than the changes */
#define RETRY_MIN_MS 200   /* base of the back-off after failures; least pause of a non-poller */
#define RETRY_MAX_SHIFT 2U /* the pause after failures doubles up to this shift */

void bct_gate_poll_init(bct_gate_poll_t *p, uint32_t interval_ms)
{
	memset(p, 0, sizeof(*p));
	p->interval_ms = interval_ms;
}

void bct_gate_poll_received(bct_gate_poll_t *p, const bct_gate_peer_versions_t *v)
{
	uint64_t version = p->latest.routes_version;

	/* Versions only grow; a hub may relay a message before it adopts the poller's version. */
	if (v->routes_version > version)
		version = v->routes_version;
	p->latest.routes_version = version;
	if (v->registry_answered_at + AGE_ERROR_MS < p->latest.registry_answered_at)
		return;
	p->message_gap_ms =
		(uint32_t)(p->latest.received_at ? v->received_at - p->latest.received_at : 0);
	p->latest = *v;
	p->latest.routes_version = version;
}

/*
 * Tracks for how long the local upstreams have differed from the peer's. If they changed since its
 * message, the peer may not know the change yet: only a later message shows a real difference.
 */
static void compare(bct_gate_poll_t *p, bct_time_t now, const bct_gate_local_versions_t *local)
{
	bool changed = local->upstreams_digest != p->local_digest_then;

	if (p->latest.received_at != p->compared_at) {
		p->compared_at = p->latest.received_at;
		p->local_digest_then = local->upstreams_digest;
	}
	if (local->upstreams_digest == p->latest.upstreams_digest) {
		p->differs_since = 0;
		p->unequal_since = 0;
		return;
	}
	if (!p->unequal_since)
		p->unequal_since = now;
	if (changed)
		p->differs_since = 0;
	else if (!p->differs_since)
		p->differs_since = now;
}

static bool has_lasted(bct_time_t since, bct_time_t now, uint32_t ms)
{
	return since && now - since >= (bct_time_t)ms;
}

/* How long the digests may stay unequal; long enough for the peer to have sent a message. */
static uint32_t unequal_limit_ms(const bct_gate_poll_t *p)
{
	uint32_t gap_ms = p->message_gap_ms ? p->message_gap_ms : p->message_interval_ms;

	return 2 * gap_ms > UNEQUAL_MIN_MS ? 2 * gap_ms : UNEQUAL_MIN_MS;
}

/* Pause of a poller between two polls: its interval, or the back-off after failures. */
static uint32_t poll_pause_ms(const bct_gate_poll_t *p)
{
	uint32_t shift = p->consecutive_failures < RETRY_MAX_SHIFT ? p->consecutive_failures
								   : RETRY_MAX_SHIFT;

	return p->consecutive_failures ? (uint32_t)RETRY_MIN_MS << shift : p->interval_ms;
}

bct_gate_due_t bct_gate_poll_due(bct_gate_poll_t *p, bct_time_t now,
				 const bct_gate_local_versions_t *local)
{
	bct_time_t fresh_ms = (bct_time_t)p->interval_ms + p->message_interval_ms + FRESH_SLACK_MS;
	bool fresh = p->latest.received_at && now - p->latest.registry_answered_at < fresh_ms;
	bool poller = local->rank < BCT_GATE_POLLERS || !fresh;
	bct_gate_due_t due = { 0 };

	compare(p, now, local);
	if (p->polled_at && now - p->polled_at < (poller ? poll_pause_ms(p) : RETRY_MIN_MS))
		return due;
	due.routes = poller || p->latest.routes_version > local->routes_version;
	due.upstreams = poller || has_lasted(p->differs_since, now, PROPAGATION_MS) ||
			has_lasted(p->unequal_since, now, unequal_limit_ms(p));
	due.list = now - p->answered_at > CHANGES_MAX_AGE_MS || !poller;
	if (due.routes || due.upstreams)
		p->polled_at = now;
	if (due.upstreams)
		p->differs_since = p->unequal_since = 0;
	return due;
}

void bct_gate_poll_result(bct_gate_poll_t *p, bct_time_t now, bool ok)
{
	p->consecutive_failures = ok ? 0 : p->consecutive_failures + 1;
	if (ok)
		p->answered_at = now;
}
