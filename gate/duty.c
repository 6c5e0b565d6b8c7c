/*
 * duty.c - who does the duties: drives the lease (policy/duty_lease.h) by calls to the record.
 */
#include "gate/duty_int.h"
#include "base/err.h"
#include "base/mem.h"
#include "base/rng.h"

#include <stdio.h>
#include <string.h>

#define MARGIN_MS 500
#define RENEWALS 3 /* in the time of a lease, and reads of other nodes */
#define RANK_MS 500
#define SERVED_MS 3000 /* before a node may hold the lease */
#define STORE_CALLS 2  /* that may time out within the time of a lease */
/* A node that found the API unreachable tries again when the other candidates have tried. */
#define CUT_OFF_MS 5000
#define UNKNOWN_HOLDER UINT64_MAX /* of a record that can't be decoded */

static const char *why_lost(bct_duty_act_t act)
{
	return act == BCT_DUTY_RELEASE ? "released" : "another record is newer";
}

void bct_duty_note_lease(bct_duty_t *d, const char *why)
{
	bct_gate_t *g = d->gate;

	if (d->lease.held == d->held)
		return;
	d->held = d->lease.held;
	if (d->held) {
		BCT_GATE_COUNT(g, DUTY_ACQUIRED);
		BCT_LOG(g->log, BCT_EV_DUTY_ACQUIRED,
			BCT_U64("token", bct_duty_lease_fence(&d->lease)),
			BCT_U64("revision", d->lease.head.revision),
			BCT_U64("decided", d->plan.decided), BCT_U64("reports", d->plan.n_reports),
			BCT_U64("services", d->plan.n_services));
		return;
	}
	BCT_GATE_COUNT(g, DUTY_LOST);
	BCT_LOG(g->log, BCT_EV_DUTY_LOST, BCT_U64("token", bct_duty_lease_fence(&d->lease)),
		BCT_STR("why", why), BCT_HEX("holder", d->lease.head.holder));
}

/* A node that stops or doesn't reach the API makes no more calls, and then releases the lease. */
static bool may_hold(bct_duty_t *d, bct_time_t now)
{
	bool ready = bct_gate_ready(d->gate);

	if (!ready)
		d->ready_since = 0;
	else if (!d->ready_since)
		d->ready_since = now;
	if (d->lease.held && bct_duty_plan_cut_off(&d->plan) && now >= d->cut_off_until) {
		d->cut_off_until = now + CUT_OFF_MS;
		BCT_LOG(d->gate->log, BCT_EV_DUTY_CUT_OFF, BCT_U64("calls", d->plan.no_answers));
	}
	return ready && now >= d->ready_since + SERVED_MS && now >= d->cut_off_until;
}

static void note_store(bct_duty_t *d, const bct_duty_store_call_t *s)
{
	bool down = s->rc && s->rc != -BCT_ESTALE && s->rc != -BCT_ECODEC;

	if (down == d->store_down)
		return;
	d->store_down = down;
	BCT_LOG(d->gate->log, down ? BCT_EV_DUTY_STORE_DOWN : BCT_EV_DUTY_STORE_UP,
		BCT_ERR("error", s->rc), BCT_I64("took_ms", s->took_ms), BCT_U64("act", s->act));
}

/* Whoever wrote a record that can't be decoded counts as a holder until its TTL has passed. */
static bct_duty_head_t undecodable(bct_duty_t *d, const bct_duty_store_call_t *s, int rc)
{
	if (d->bad_record != s->position + 1)
		BCT_LOG(d->gate->log, BCT_EV_DUTY_RECORD_BAD, BCT_ERR("error", rc),
			BCT_U64("position", s->position), BCT_U64("bytes", s->record.len_bytes));
	d->bad_record = s->position + 1;
	return (bct_duty_head_t){ .holder = UNKNOWN_HOLDER,
				  .ttl_ms = d->lease.opts.ttl_ms,
				  .position = s->position };
}

static void read_done(bct_duty_t *d, bct_time_t now, bct_duty_store_call_t *s)
{
	bct_duty_header_t h;
	bct_duty_state_t state = { 0 };
	bct_duty_head_t head = { .position = s->position };
	int rc = 0;

	if (s->rc || !s->record.len_bytes) {
		bct_duty_lease_read(&d->lease, now, s->rc, NULL, s->end);
		return;
	}
	rc = bct_duty_record_decode(s->record.data, s->record.len_bytes, &h, &state);
	bct_duty_state_free(&state);
	if (rc == -BCT_ENOMEM) {
		bct_duty_lease_read(&d->lease, now, rc, NULL, s->end);
		return;
	}
	if (rc) {
		head = undecodable(d, s, rc);
	} else {
		head.holder = h.holder;
		head.ttl_ms = h.ttl_ms;
		head.append_id = h.append_id;
		head.revision = h.revision;
		memcpy(d->holder_name, h.name, sizeof(d->holder_name));
	}
	bct_duty_lease_read(&d->lease, now, 0, &head, s->end);
	/* Unless it was a copy of the log that is behind. */
	if (!rc && d->lease.known && d->lease.end == s->end)
		bct_duty_remember(d, &s->record, h.revision, s->position);
}

static void append_done(bct_duty_t *d, bct_time_t now, bct_duty_store_call_t *s)
{
	bct_duty_lease_appended(&d->lease, now, s->rc, s->position, d->append_revision);
	if (s->rc)
		return;
	BCT_GATE_COUNT(d->gate, DUTY_APPENDS);
	snprintf(d->holder_name, sizeof(d->holder_name), "%s", d->gate->settings->vm_name);
	bct_duty_remember(d, &s->record, d->append_revision, s->position);
}

static void store_done(bct_duty_t *d, bct_time_t now, bct_duty_store_call_t *s)
{
	uint64_t fence = bct_duty_lease_fence(&d->lease);

	d->store_act = BCT_DUTY_IDLE;
	note_store(d, s);
	if (s->act == BCT_DUTY_READ)
		read_done(d, now, s);
	else
		append_done(d, now, s);
	bct_duty_note_lease(d, why_lost(s->act));
	if (d->lease.held && bct_duty_lease_fence(&d->lease) > fence)
		bct_duty_plan_renewed(&d->plan, now, bct_duty_lease_fence(&d->lease));
	if (d->usage && d->lease.known && d->lease.head.holder != UNKNOWN_HOLDER)
		bct_gate_usage_set_holder(d->gate->usage, d->lease.head.holder);
}

/* Fills in the record to append; an error is passed to the lease as that of an append. */
static bool prepare(bct_duty_t *d, bct_time_t now, bct_duty_act_t act, bct_duty_store_call_t *s)
{
	int rc = 0;

	bct_buf_clear(&s->record);
	if (act == BCT_DUTY_READ)
		return true;
	if (act == BCT_DUTY_CLAIM)
		rc = bct_duty_take_over(d, now);
	if (!rc)
		rc = bct_duty_encode(d, now, act, &s->record);
	if (!rc)
		return true;
	BCT_LOG(d->gate->log, BCT_EV_DUTY_RECORD_BAD, BCT_ERR("error", rc),
		BCT_STR("why", "not written"));
	bct_duty_lease_appended(&d->lease, now, -BCT_EUNAVAILABLE, 0, 0);
	return false;
}

static void call_store(bct_duty_t *d, bct_time_t now)
{
	bct_duty_store_call_t *s = bct_duty_calls_store(d->calls);
	bool changed = bct_duty_plan_unwritten(&d->plan, d->lease.head.revision,
					       bct_duty_lease_fence(&d->lease));
	bct_duty_act_t act;

	if (!s || (d->gate->draining && !d->lease.held))
		return;
	act = bct_duty_lease_next(&d->lease, now, changed, bct_random_id());
	bct_duty_note_lease(d, "not renewed in time");
	if (!act || !prepare(d, now, act, s))
		return;
	s->act = act;
	s->at = bct_duty_lease_at(&d->lease);
	s->timeout_ms = d->lease.opts.ttl_ms / STORE_CALLS;
	d->store_act = act;
	bct_duty_calls_start_store(d->calls);
}

void bct_duty_tick(bct_duty_t *d)
{
	bct_time_t now = bct_clock_now();
	bool may;

	if (!d)
		return;
	may = may_hold(d, now);
	/* The calls in progress end before the lease is released. */
	bct_duty_lease_set_candidate(&d->lease, may || (d->lease.held && d->api_busy),
				     d->gate->rank);
	if (may && bct_duty_lease_valid(&d->lease, now))
		bct_duty_decide(d, now);
	call_store(d, now);
	if (may && bct_duty_lease_valid(&d->lease, now))
		bct_duty_call_api(d, now);
}

static void on_done(void *ctx)
{
	bct_duty_t *d = ctx;
	bct_duty_store_call_t *s = bct_duty_calls_done_store(d->calls);
	bct_duty_api_call_t *a = bct_duty_calls_done_api(d->calls);
	bct_time_t now = bct_clock_now();

	if (s)
		store_done(d, now, s);
	if (a)
		bct_duty_api_done(d, now, a);
	bct_duty_tick(d);
}

bool bct_duty_stopped(const bct_duty_t *d)
{
	return !d || (!d->lease.held && d->store_act <= BCT_DUTY_READ && !d->api_busy);
}

static void read_kinds(bct_duty_t *d)
{
	const bct_settings_t *s = d->gate->settings;

	for (uint32_t i = 0; i < s->n_duty_kinds; i++) {
		d->usage |= d->gate->usage && !strcmp(s->duty_kinds[i], "usage");
		d->scaling |= !strcmp(s->duty_kinds[i], "scaling");
	}
}

int bct_duty_new(bct_gate_t *g, bct_duty_t **out)
{
	const bct_settings_t *s = g->settings;
	bct_duty_t *d = bct_alloc(sizeof(*d));
	bct_duty_lease_opts_t lease = { .ttl_ms = s->duty_lease_ms,
					.margin_ms = MARGIN_MS,
					.renew_ms = s->duty_lease_ms / RENEWALS,
					.read_ms = s->duty_lease_ms / RENEWALS,
					.rank_ms = RANK_MS,
					.again_ms = s->duty_lease_ms };
	bct_duty_plan_opts_t plan = { .window_ms = s->duty_window_ms,
				      .calls_per_s = s->duty_calls_per_s };
	int rc;

	if (!d)
		return -BCT_ENOMEM;
	d->gate = g;
	d->incarnation = g->peer ? bct_peer_incarnation(g->peer) : bct_random_id();
	read_kinds(d);
	if (d->usage)
		d->first_window = bct_gate_usage_window(g->usage, bct_clock_now());
	bct_buf_init(&d->known.record, 0);
	lease.incarnation = d->incarnation;
	bct_duty_lease_init(&d->lease, &lease);
	bct_duty_plan_init(&d->plan, &plan);
	rc = bct_duty_calls_new(g->opts.control, g->base, on_done, d, &d->calls);
	if (rc) {
		bct_duty_free(d);
		return rc;
	}
	*out = d;
	return 0;
}

void bct_duty_free(bct_duty_t *d)
{
	if (!d)
		return;
	bct_duty_calls_free(d->calls);
	bct_duty_scalers_free(d);
	bct_duty_plan_free(&d->plan);
	bct_buf_free(&d->known.record);
	bct_free(d);
}
