/*
 * test_duty_lease.c - the lease of the duties against a log whose responses are lost, late or
 * missing, and that is restored from an older copy.
 */
#include "base/err.h"
#include "policy/duty_lease.h"

#include <criterion/criterion.h>

#define TTL_MS 3000
#define MARGIN_MS 500
#define START 100000
#define ERA 7

static const bct_duty_lease_opts_t opts = {
	.ttl_ms = TTL_MS,
	.margin_ms = MARGIN_MS,
	.renew_ms = 1000,
	.read_ms = 1000,
	.rank_ms = 500,
	.again_ms = 3000,
};

/* The log as it is, and an append that may still take effect. */
typedef struct store {
	bct_duty_head_t head;
	bct_gate_position_t end;
	bool down;
	bool lose; /* responses to appends */
	bool late; /* appends take effect later, without a response */
	bct_duty_head_t pending;
	bct_gate_position_t pending_at;
} store_t;

static store_t store_new(void)
{
	return (store_t){ .end = bct_gate_position(ERA, 40) };
}

static bct_duty_lease_t node(uint64_t incarnation, uint32_t rank)
{
	bct_duty_lease_opts_t o = opts;
	bct_duty_lease_t l;

	o.incarnation = incarnation;
	bct_duty_lease_init(&l, &o);
	bct_duty_lease_set_candidate(&l, true, rank);
	return l;
}

/* Appends if the offset of the condition is met; the store doesn't see the era of it. */
static int store_append(store_t *s, const bct_duty_head_t *r, bct_gate_position_t at,
			bct_gate_position_t *position)
{
	if (bct_gate_position_offset(at) != bct_gate_position_offset(s->end))
		return -BCT_ESTALE;
	s->head = *r;
	s->head.position = *position = s->end++;
	return 0;
}

static void perform(store_t *s, bct_duty_lease_t *l, bct_time_t now, bct_duty_act_t act)
{
	bct_duty_head_t r = { .ttl_ms = TTL_MS, .append_id = bct_duty_lease_append_id(l) };
	bct_gate_position_t position = 0, at = bct_duty_lease_at(l);
	int rc;

	if (act == BCT_DUTY_READ) {
		bct_duty_lease_read(l, now, s->down ? -BCT_EUNAVAILABLE : 0,
				    s->head.append_id ? &s->head : NULL, s->end);
		return;
	}
	r.holder = act == BCT_DUTY_RELEASE ? 0 : l->opts.incarnation;
	if (s->down) {
		rc = -BCT_EUNAVAILABLE;
	} else if (s->late) {
		s->pending = r;
		s->pending_at = at;
		rc = -BCT_EUNKNOWN_OUTCOME;
	} else {
		rc = store_append(s, &r, at, &position);
		if (s->lose)
			rc = -BCT_EUNKNOWN_OUTCOME;
	}
	bct_duty_lease_appended(l, now, rc, position, 1);
}

/* Does everything that is due, each call taking no time. Returns the last act. */
static bct_duty_act_t step(store_t *s, bct_duty_lease_t *l, bct_time_t now)
{
	static uint64_t ids = 1000;
	bct_duty_act_t act, last = BCT_DUTY_IDLE;

	for (int i = 0; i < 8; i++) {
		act = bct_duty_lease_next(l, now, false, ++ids);
		if (!act)
			break;
		perform(s, l, now, act);
		last = act;
	}
	return last;
}

/* Steps every 100 ms; returns the time at which the lease was valid, or until. */
static bct_time_t run_until(store_t *s, bct_duty_lease_t *l, bct_time_t from, bct_time_t until)
{
	for (bct_time_t now = from; now < until; now += 100) {
		step(s, l, now);
		if (bct_duty_lease_valid(l, now))
			return now;
	}
	return until;
}

static bct_duty_lease_t holder(store_t *s, bct_time_t *now)
{
	bct_duty_lease_t l = node(1, 0);

	*now = run_until(s, &l, START, START + 10000);
	cr_assert(bct_duty_lease_valid(&l, *now));
	return l;
}

/* A first claim waits as long as for a holder whose record was lost with an old copy. */
Test(duty_lease, claims_and_renews)
{
	store_t s = store_new();
	bct_time_t now;
	bct_duty_lease_t l = holder(&s, &now);
	uint64_t fence = bct_duty_lease_fence(&l);

	cr_assert_eq(now, START + TTL_MS + MARGIN_MS);
	cr_assert_eq(fence, s.head.position + 1);
	cr_assert_lt(fence, UINT64_C(1) << 53);
	cr_assert_eq(step(&s, &l, now + 999), BCT_DUTY_IDLE);
	cr_assert_eq(step(&s, &l, now + 1000), BCT_DUTY_RENEW);
	cr_assert_eq(bct_duty_lease_fence(&l), fence + 1);
	cr_assert(bct_duty_lease_valid(&l, now + 3999));
	cr_assert_not(bct_duty_lease_valid(&l, now + 4000), "counted from before the append");
	cr_assert_eq(bct_duty_lease_next(&l, now + 1001, true, 5), BCT_DUTY_RENEW, "body changed");
}

/* The holder is killed: the next takes over after TTL and margin, as seen by its own clock. */
Test(duty_lease, takes_over_from_a_dead_holder)
{
	store_t s = store_new();
	bct_time_t now, at;
	bct_duty_lease_t a = holder(&s, &now), b = node(2, 1), c = node(3, 3);

	cr_assert_eq(run_until(&s, &c, now, now + 20000), now + 20000, "rank 3 never claims");
	at = run_until(&s, &b, now + 1, now + 20000);
	cr_assert_eq(at, now + 1 + TTL_MS + MARGIN_MS + 500, "rank 1 waits 500 ms longer");
	cr_assert_not(bct_duty_lease_valid(&a, at));
	cr_assert_gt(bct_duty_lease_fence(&b), bct_duty_lease_fence(&a));
}

/* A holder frozen past its TTL must not act when it wakes, nor come back within again_ms. */
Test(duty_lease, frozen_holder_stops_and_stays_out)
{
	store_t s = store_new();
	bct_time_t now, woke;
	bct_duty_lease_t a = holder(&s, &now), b = node(2, 1);

	woke = run_until(&s, &b, now, now + 20000) + 50;
	cr_assert_not(bct_duty_lease_valid(&a, woke));
	step(&s, &a, woke);
	cr_assert_not(bct_duty_lease_valid(&a, woke));
	bct_duty_lease_set_candidate(&b, false, 1);
	cr_assert_eq(step(&s, &b, woke + 100), BCT_DUTY_RELEASE);
	cr_assert_not(bct_duty_lease_valid(&b, woke + 100));
	cr_assert_eq(run_until(&s, &a, woke + 200, woke + 9000), woke + 3000, "A, B, A");
}

/* The append took effect but its response was lost: a read shows the record by its id. */
Test(duty_lease, recognizes_its_record_after_a_lost_response)
{
	store_t s = store_new();
	bct_time_t now;
	bct_duty_lease_t a = holder(&s, &now);
	uint64_t fence = bct_duty_lease_fence(&a);

	s.lose = true;
	cr_assert_eq(bct_duty_lease_next(&a, now + 1000, false, 77), BCT_DUTY_RENEW);
	perform(&s, &a, now + 1200, BCT_DUTY_RENEW);
	cr_assert(bct_duty_lease_valid(&a, now + 1200), "by its record before");
	cr_assert_eq(bct_duty_lease_next(&a, now + 1200, false, 78), BCT_DUTY_READ);
	perform(&s, &a, now + 1300, BCT_DUTY_READ);
	cr_assert_eq(bct_duty_lease_fence(&a), fence + 1);
	cr_assert_eq(a.valid_until, now + 1000 + TTL_MS, "from before the append");
}

/* An append that takes effect late is void if another came first, and else is this node's own. */
Test(duty_lease, late_append)
{
	store_t s = store_new();
	bct_gate_position_t position;
	bct_time_t now;
	bct_duty_lease_t a = holder(&s, &now);
	uint64_t fence = bct_duty_lease_fence(&a);

	s.late = true;
	step(&s, &a, now + 1000);
	s.late = false;
	cr_assert_eq(step(&s, &a, now + 1300), BCT_DUTY_RENEW);
	cr_assert_eq(store_append(&s, &s.pending, s.pending_at, &position), -BCT_ESTALE);
	cr_assert_eq(bct_duty_lease_fence(&a), fence + 1);
	s.late = true;
	step(&s, &a, now + 2300);
	s.late = false;
	cr_assert_eq(store_append(&s, &s.pending, s.pending_at, &position), 0);
	cr_assert_eq(step(&s, &a, now + 2600), BCT_DUTY_READ, "after the refused renewal");
	cr_assert_eq(bct_duty_lease_fence(&a), fence + 2);
	cr_assert_eq(a.valid_until, now + 2300 + TTL_MS);
}

/* A claim that takes effect after its TTL gives no lease, as others count from their own reads. */
Test(duty_lease, late_claim_gives_no_lease)
{
	store_t s = store_new();
	bct_gate_position_t position;
	bct_duty_lease_t a = node(1, 0);
	bct_time_t now = START + TTL_MS + MARGIN_MS;

	s.late = true;
	run_until(&s, &a, START, now + 1);
	cr_assert_eq(store_append(&s, &s.pending, s.pending_at, &position), 0);
	s.down = true;
	run_until(&s, &a, now, now + TTL_MS);
	s.late = s.down = false;
	step(&s, &a, now + TTL_MS + 1000);
	cr_assert_not(bct_duty_lease_valid(&a, now + TTL_MS + 1000));
}

/* The log is restored without the holder's record: it stops, and the next waits out its TTL. */
Test(duty_lease, era_rise)
{
	store_t s = store_new(), old = s;
	bct_time_t now, at;
	bct_duty_lease_t a = holder(&s, &now), b = node(2, 1);
	uint64_t fence = bct_duty_lease_fence(&a);

	step(&s, &b, now);
	step(&s, &a, now + 1000);
	old.end = bct_gate_position(ERA + 1, 20);
	s = old;
	at = run_until(&s, &b, now + 1000, now + 20000);
	cr_assert_eq(at, now + 1000 + TTL_MS + MARGIN_MS + 2 * 500, "the former holder is dead");
	cr_assert_not(bct_duty_lease_valid(&a, at));
	cr_assert_gt(bct_duty_lease_fence(&b), fence);
	s.end = bct_gate_position(ERA + 1, 20);
	cr_assert_eq(bct_duty_lease_next(&b, at + 10, false, 9), BCT_DUTY_IDLE);
	step(&s, &a, at);
	cr_assert_not(bct_duty_lease_valid(&a, at));
}

/* The holder whose record was lost has the newest body, and so claims before others. */
Test(duty_lease, former_holder_claims_first_in_a_new_era)
{
	store_t s = store_new(), old = s;
	bct_time_t now, at = 0;
	bct_duty_lease_t a = holder(&s, &now), b = node(2, 0);

	step(&s, &b, now);
	bct_duty_lease_set_candidate(&a, true, 5);
	old.end = bct_gate_position(ERA + 1, 20);
	s = old;
	step(&s, &a, now + 1000);
	cr_assert_not(bct_duty_lease_valid(&a, now + 1000));
	for (at = now + 1000; at < now + 10000 && !b.held && !bct_duty_lease_valid(&a, at);
	     at += 100) {
		step(&s, &b, at);
		step(&s, &a, at);
	}
	cr_assert_not(b.held);
	cr_assert_eq(s.head.holder, 1);
	cr_assert_leq(at, now + 1000 + TTL_MS + MARGIN_MS + 200);
	bct_duty_lease_set_candidate(&a, false, 5);
	step(&s, &a, at);
	cr_assert_eq(step(&s, &a, at + 9000), BCT_DUTY_IDLE, "rank 5 again");
}

/* In a new era the condition of a renewal may be met by chance after another node's claim. */
Test(duty_lease, condition_met_by_chance_in_a_new_era)
{
	store_t s = store_new();
	bct_time_t now;
	bct_duty_lease_t a = holder(&s, &now);

	s.end = bct_gate_position(ERA + 1, bct_gate_position_offset(s.end));
	s.head = (bct_duty_head_t){ .holder = 2, .ttl_ms = TTL_MS, .append_id = 5 };
	step(&s, &a, now + 1000);
	cr_assert_eq(s.head.holder, 1, "the record was appended");
	cr_assert_not(bct_duty_lease_valid(&a, now + 1000));
	cr_assert_geq(run_until(&s, &a, now + 1000, now + 20000), now + 1000 + TTL_MS + MARGIN_MS);
}

/* The holder's record survives a restore: it goes on with a token of the new era. */
Test(duty_lease, record_survives_a_restore)
{
	store_t s = store_new();
	bct_time_t now;
	bct_duty_lease_t a = holder(&s, &now);
	uint64_t fence = bct_duty_lease_fence(&a);

	s.late = true;
	cr_assert_eq(bct_duty_lease_next(&a, now + 1000, false, 61), BCT_DUTY_RENEW);
	perform(&s, &a, now + 1200, BCT_DUTY_RENEW);
	s.late = false;
	s.end = bct_gate_position(ERA + 1, bct_gate_position_offset(s.end));
	s.head.position = s.end - 1;
	step(&s, &a, now + 1300);
	cr_assert(bct_duty_lease_valid(&a, now + 1300));
	cr_assert_gt(bct_duty_lease_fence(&a), fence);
	cr_assert_eq(bct_gate_position_era(bct_duty_lease_fence(&a)), ERA + 1);
}

/* A release that may have taken effect ends the lease here at once. */
Test(duty_lease, release_without_response)
{
	store_t s = store_new();
	bct_time_t now;
	bct_duty_lease_t a = holder(&s, &now), b = node(2, 1);

	step(&s, &b, now);
	s.late = true;
	bct_duty_lease_set_candidate(&a, false, 0);
	cr_assert_eq(bct_duty_lease_next(&a, now + 100, false, 91), BCT_DUTY_RELEASE);
	cr_assert_not(bct_duty_lease_valid(&a, now + 100));
	perform(&s, &a, now + 300, BCT_DUTY_RELEASE);
	bct_duty_lease_set_candidate(&a, true, 0);
	cr_assert_not(bct_duty_lease_valid(&a, now + 300), "the release may still take effect");
	s.late = false;
	bct_duty_lease_set_candidate(&a, false, 0);
	cr_assert_eq(step(&s, &a, now + 600), BCT_DUTY_RELEASE);
	cr_assert_eq(s.head.holder, 0);
	cr_assert_eq(run_until(&s, &b, now + 1000, now + 9000), now + 4000,
		     "not before the era's first TTL; then 500 ms after it saw the release");
}

/* The store is down for longer than the TTL: no duties, then a claim by any node. */
Test(duty_lease, store_down)
{
	store_t s = store_new();
	bct_time_t now;
	bct_duty_lease_t a = holder(&s, &now);

	s.down = true;
	for (bct_time_t t = now; t < now + 2999; t += 100)
		step(&s, &a, t);
	cr_assert(bct_duty_lease_valid(&a, now + 2999));
	cr_assert_not(bct_duty_lease_valid(&a, now + 3000));
	run_until(&s, &a, now + 3000, now + 5000);
	s.down = false;
	cr_assert_eq(run_until(&s, &a, now + 5000, now + 20000), now + 6000,
		     "again_ms after it ceased");
}

/* A refusal ends the lease unless the token was renewed since. */
Test(duty_lease, refused_by_the_api)
{
	store_t s = store_new();
	bct_time_t now;
	bct_duty_lease_t a = holder(&s, &now);
	uint64_t fence = bct_duty_lease_fence(&a);

	step(&s, &a, now + 1000);
	bct_duty_lease_refused(&a, now + 1001, fence);
	cr_assert(bct_duty_lease_valid(&a, now + 1001));
	cr_assert_eq(bct_duty_lease_next(&a, now + 2000, false, 55), BCT_DUTY_RENEW);
	bct_duty_lease_refused(&a, now + 2001, fence + 1);
	perform(&s, &a, now + 2002, BCT_DUTY_RENEW);
	cr_assert_not(bct_duty_lease_valid(&a, now + 2002), "refused while renewing");
	cr_assert_geq(run_until(&s, &a, now + 2003, now + 20000), now + 2001 + 3000);
}

/* A copy of the log that is behind is not believed. */
Test(duty_lease, ignores_an_older_copy)
{
	store_t s = store_new(), old = s;
	bct_time_t now;
	bct_duty_lease_t a = holder(&s, &now);

	s.late = true;
	step(&s, &a, now + 1000);
	bct_duty_lease_next(&a, now + 1300, false, 31);
	bct_duty_lease_read(&a, now + 1300, 0, NULL, old.end);
	cr_assert(bct_duty_lease_valid(&a, now + 1300));
	s.late = false;
	step(&s, &a, now + 1600);
	cr_assert_eq(a.valid_until, now + 1600 + TTL_MS);
}
