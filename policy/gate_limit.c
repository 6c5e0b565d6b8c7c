/*
 * gate_limit.c - one token bucket for each limited upstream, filled with this node's part.
 */
#include "policy/gate_limit.h"
#include "policy/rendezvous.h"

#include <string.h>

#define UREQ_PER_REQUEST 1000000 /* credit of one request */
#define UREQ_PER_MREQ 1000
#define MRPS_PER_RPS 1000
#define PROBE_MRPS 250	/* least rate: an upstream that accepts nothing is asked now and then */
#define EXTRA_OWNERS 2	/* so that some part remains when an owner has just died */
#define STALE_MS 10000	/* without a confirmation, after which other nodes send a little, too */
#define STALE_DIVISOR 4 /* all of them together send this part of the limit at most */
#define FORGET_MS 60000 /* without a confirmation, after which the limit counts as lifted */
#define LIFTED_KEEP_MS 30000 /* for how long a lifted limit is announced */
#define AGE_ERROR_MS 100     /* ages that nodes report are not exact */

static uint32_t effective_mrps(const bct_gate_limit_t *l)
{
	return l->mrps > PROBE_MRPS ? l->mrps : PROBE_MRPS;
}

/* One second's part, but at least one request. */
static int64_t max_credit(const bct_gate_limit_t *l)
{
	int64_t second = (int64_t)l->share_mrps * UREQ_PER_MREQ;

	return second > UREQ_PER_REQUEST ? second : UREQ_PER_REQUEST;
}

/* A thousandth of a request per second is a millionth per millisecond. */
static void add_credit(bct_gate_limit_t *l, bct_time_t now)
{
	l->credit_ureq += (now - l->credit_at) * l->share_mrps;
	if (l->credit_ureq > max_credit(l))
		l->credit_ureq = max_credit(l);
	l->credit_at = now;
}

/* Starts without credit: what was sent before the limit was known is still there. */
static void begin(bct_gate_limit_t *l, bct_time_t now)
{
	l->credit_ureq = 0;
	l->credit_at = now;
	l->share_mrps = 0;
	l->owner = false;
}

static bool set(bct_gate_limit_t *l, bct_time_t now, bct_time_t observed_at, bool named,
		uint32_t mrps)
{
	bool changed = l->named != named || (named && l->mrps != mrps);

	if (named && !l->named)
		begin(l, now);
	l->named = named;
	l->mrps = named ? mrps : 0;
	l->observed_at = observed_at;
	l->confirmed_at = now;
	return changed;
}

bool bct_gate_limit_answered(bct_gate_limit_t *l, bct_time_t now, bct_time_t sent_at, bool named,
			     uint32_t mrps)
{
	if (!named && (!l->named || sent_at <= l->observed_at))
		return false;
	l->own = true;
	return set(l, now, now, named, mrps);
}

bool bct_gate_limit_reported(bct_gate_limit_t *l, bct_time_t now, const bct_gate_limit_report_t *r)
{
	bct_time_t observed_at = now - r->age_ms;
	bct_time_t before = l->observed_at;
	bct_time_t margin_ms = l->named && !r->named ? 0 : AGE_ERROR_MS;

	if (observed_at <= before + margin_ms || (!r->named && !l->named))
		return false;
	l->own = false;
	return set(l, now, observed_at, r->named, r->mrps) ||
	       observed_at - before >= BCT_GATE_LIMIT_ANNOUNCE_MS / 2;
}

/* Nodes with a higher score come before this one among the owners. */
static uint32_t position(uint64_t upstream, const bct_gate_limit_nodes_t *nodes)
{
	uint64_t own = bct_rendezvous_score(upstream, nodes->self);
	uint32_t n = 0;

	for (uint32_t i = 0; i < nodes->n; i++)
		n += bct_rendezvous_score(upstream, nodes->incarnations[i]) > own;
	return n;
}

/* One node for each request per second, and a few more. */
static uint32_t count_owners(const bct_gate_limit_t *l, uint32_t nodes)
{
	uint32_t n = effective_mrps(l) / MRPS_PER_RPS + EXTRA_OWNERS;

	return n < nodes ? n : nodes;
}

void bct_gate_limit_assign(bct_gate_limit_t *l, bct_time_t now, uint64_t upstream,
			   const bct_gate_limit_nodes_t *nodes)
{
	uint32_t owners;

	if (!l->named)
		return;
	if (now - l->confirmed_at >= FORGET_MS) {
		l->named = false;
		return;
	}
	add_credit(l, now);
	owners = count_owners(l, nodes->n);
	l->owner = !nodes->leaving && position(upstream, nodes) < owners;
	if (l->owner)
		l->share_mrps = effective_mrps(l) / owners;
	else if (now - l->confirmed_at >= STALE_MS)
		l->share_mrps = effective_mrps(l) / STALE_DIVISOR / nodes->n;
	else
		l->share_mrps = 0;
}

void bct_gate_limit_suspend(bct_gate_limit_t *l, bct_time_t now)
{
	begin(l, now);
}

/* An owner keeps its limit known; a node that found it lifted says so for a while. */
bool bct_gate_limit_announces(const bct_gate_limit_t *l, bct_time_t now)
{
	if (!l->own || !l->observed_at)
		return false;
	return l->named ? l->owner : now - l->observed_at < LIFTED_KEEP_MS;
}

uint32_t bct_gate_limit_wait_ms(bct_gate_limit_t *l, bct_time_t now)
{
	int64_t missing;

	if (!l->named)
		return 0;
	add_credit(l, now);
	missing = UREQ_PER_REQUEST - l->credit_ureq;
	if (missing <= 0)
		return 0;
	if (!l->share_mrps)
		return UINT32_MAX;
	return (uint32_t)(missing / l->share_mrps) + 1;
}

void bct_gate_limit_sent(bct_gate_limit_t *l, bct_time_t now)
{
	if (!l->named)
		return;
	add_credit(l, now);
	l->credit_ureq -= UREQ_PER_REQUEST;
}
