/*
 * gate_brittle.c - a cap on what runs, and a token bucket for what is sent unseen.
 */
#include "policy/gate_brittle.h"
#include "policy/rendezvous.h"

#include <string.h>

#define UREQ_PER_REQUEST 1000000
#define MRPS_PER_RPS 1000
#define FULL_WAIT_MS 50	    /* until places may have become free */
#define BEARS_PER_CLOSE 4   /* all nodes stop at this part of what it bears */
#define BEARS_PER_UNSEEN 4  /* this part of it may be sent unseen, beside half of the places */
#define BEARS_PER_RUNNING 2 /* and this part of it may run beside them */
#define AGE_ERROR_MS 100    /* ages that nodes report are not exact */

static uint32_t min_u32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/* Half of the places, and of the other half as much as it bears to lose. */
static uint32_t places(uint32_t slots, uint32_t bears)
{
	uint32_t half = slots / 2, n = half + min_u32(slots - half, bears);

	return n ? n : 1;
}

static void begin(bct_gate_brittle_t *b, bct_time_t now)
{
	b->credit_ureq = 0;
	b->credit_at = now;
	b->turned_away = 0;
	b->closed_until = 0;
}

static bool set(bct_gate_brittle_t *b, bct_time_t now, bct_time_t observed_at, bool named,
		uint32_t bears)
{
	bool changed = b->named != named || (named && b->bears != bears);

	if (named && !b->named)
		begin(b, now);
	b->named = named;
	b->bears = named ? bears : 0;
	b->observed_at = observed_at;
	return changed;
}

bool bct_gate_brittle_answered(bct_gate_brittle_t *b, bct_time_t now, bct_time_t sent_at,
			       bool named, uint32_t bears)
{
	if (!named && (!b->named || sent_at <= b->observed_at))
		return false;
	return set(b, now, now, named, bears);
}

static void count_turned_away(bct_gate_brittle_t *b, bct_time_t now, uint32_t n)
{
	if (now - b->window_at >= BCT_GATE_BRITTLE_WINDOW_MS) {
		b->window_at = now;
		b->turned_away = 0;
	}
	b->turned_away += n;
	if (b->turned_away && b->turned_away >= b->bears / BEARS_PER_CLOSE)
		b->closed_until = now + BCT_GATE_BRITTLE_WINDOW_MS;
}

bool bct_gate_brittle_reported(bct_gate_brittle_t *b, bct_time_t now,
			       const bct_gate_brittle_report_t *r)
{
	bct_time_t observed_at = now - r->age_ms;
	bool changed = false;

	if (observed_at > b->observed_at + AGE_ERROR_MS && (r->named || b->named))
		changed = set(b, now, observed_at, r->named, r->bears);
	if (b->named && r->turned_away)
		count_turned_away(b, now, r->turned_away);
	return changed || r->turned_away;
}

void bct_gate_brittle_turned_away(bct_gate_brittle_t *b, bct_time_t now)
{
	if (!b->named)
		return;
	count_turned_away(b, now, 1);
	b->closed_until = now + BCT_GATE_BRITTLE_WINDOW_MS;
}

void bct_gate_brittle_inherit(bct_gate_brittle_t *b, bct_time_t now, const bct_gate_brittle_t *of)
{
	memset(b, 0, sizeof(*b));
	b->named = true;
	b->bears = of->bears;
	b->observed_at = of->observed_at;
	begin(b, now);
}

static void add_credit(bct_gate_brittle_t *b, bct_time_t now)
{
	int64_t most = (int64_t)b->part_mrps * BCT_GATE_BRITTLE_UNSEEN_MS;

	if (most < UREQ_PER_REQUEST)
		most = UREQ_PER_REQUEST;
	/* A thousandth of a request per second is a millionth per millisecond. */
	b->credit_ureq += (now - b->credit_at) * b->part_mrps;
	if (b->credit_ureq > most)
		b->credit_ureq = most;
	b->credit_at = now;
}

/* What all nodes together may send unseen, at least one request. */
static uint32_t unseen(const bct_gate_brittle_t *b, uint32_t slots)
{
	uint32_t half = slots / 2, n = half + min_u32(slots - half, b->bears / BEARS_PER_UNSEEN);

	return n ? n : 1;
}

bool bct_gate_brittle_owns(const bct_gate_brittle_t *b, uint64_t upstream, uint32_t slots,
			   const bct_gate_limit_nodes_t *nodes, uint64_t node)
{
	uint64_t own = bct_rendezvous_score(upstream, node);
	uint32_t before = 0;

	for (uint32_t i = 0; i < nodes->n; i++)
		before += bct_rendezvous_score(upstream, nodes->incarnations[i]) > own;
	return before < unseen(b, slots);
}

void bct_gate_brittle_assign(bct_gate_brittle_t *b, bct_time_t now, uint64_t upstream,
			     uint32_t slots, const bct_gate_limit_nodes_t *nodes)
{
	uint32_t n, owners;

	if (b->named && now - b->observed_at >= BCT_GATE_BRITTLE_FORGET_MS)
		b->named = false;
	if (!b->named)
		return;
	add_credit(b, now);
	n = unseen(b, slots);
	owners = min_u32(n, nodes->n ? nodes->n : 1);
	b->owner = !nodes->leaving && bct_gate_brittle_owns(b, upstream, slots, nodes, nodes->self);
	b->part_mrps = n * BCT_MS_PER_S / BCT_GATE_BRITTLE_UNSEEN_MS * MRPS_PER_RPS / owners;
}

uint32_t bct_gate_brittle_wait_ms(bct_gate_brittle_t *b, bct_time_t now, uint32_t slots,
				  uint32_t running)
{
	int64_t missing;

	if (!b->named)
		return 0;
	if (!b->owner)
		return UINT32_MAX;
	if (now < b->closed_until)
		return (uint32_t)(b->closed_until - now);
	if (running >= places(slots, b->bears / BEARS_PER_RUNNING))
		return FULL_WAIT_MS;
	add_credit(b, now);
	missing = UREQ_PER_REQUEST - b->credit_ureq;
	if (missing <= 0)
		return 0;
	return b->part_mrps ? (uint32_t)(missing / b->part_mrps) + 1 : FULL_WAIT_MS;
}

void bct_gate_brittle_suspend(bct_gate_brittle_t *b, bct_time_t now)
{
	b->owner = false;
	b->credit_ureq = 0;
	b->credit_at = now;
}

void bct_gate_brittle_sent(bct_gate_brittle_t *b, bct_time_t now)
{
	if (!b->named)
		return;
	add_credit(b, now);
	b->credit_ureq -= UREQ_PER_REQUEST;
}
