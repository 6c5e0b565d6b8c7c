/*
 * duty_body.c - which state a holder continues from, and what it writes into the record.
 */
#include "gate/duty_int.h"
#include "base/err.h"

#include <stdio.h>

/* The first window to report if the record has none: the oldest one with counts. */
static uint64_t first_window(const bct_duty_t *d, uint64_t current)
{
	const bct_usage_t *u = bct_gate_usage_counters(d->gate->usage);
	uint64_t from = current > BCT_USAGE_WINDOWS ? current - BCT_USAGE_WINDOWS + 1 : 1;

	for (uint64_t w = from; w < current; w++) {
		bct_usage_report_t r;
		uint32_t n;

		if (bct_usage_decide(u, w, &r))
			return current;
		n = r.n;
		bct_usage_report_free(&r);
		if (n)
			return w;
	}
	return current;
}

int bct_duty_take_over(bct_duty_t *d, bct_time_t now)
{
	bct_duty_known_t *k = &d->known;
	bct_duty_state_t s = { 0 };
	bct_duty_header_t h;
	int rc = 0;

	if (k->record.len_bytes)
		rc = bct_duty_record_decode(k->record.data, k->record.len_bytes, &h, &s);
	if (!rc)
		rc = bct_duty_plan_adopt(&d->plan, now, &s);
	if (!rc && d->usage)
		rc = bct_duty_state_restore(&s, bct_gate_usage_counters(d->gate->usage));
	d->open_until = 0;
	for (uint32_t i = 0; i < s.n_opens; i++) {
		if (s.opens[i].sums.usage.window > d->open_until)
			d->open_until = s.opens[i].sums.usage.window;
	}
	bct_duty_state_free(&s);
	if (!rc && d->usage && !d->plan.decided)
		bct_duty_plan_skip(&d->plan,
				   first_window(d, bct_gate_usage_window(d->gate->usage, now)) - 1);
	for (uint32_t i = 0; i < d->n_scalers; i++)
		d->scalers[i].resumed = false;
	return rc;
}

/* Checkpoints of the windows that are not decided. returns their number. */
static uint32_t checkpoints(const bct_duty_t *d, bct_time_t now, bct_usage_open_t *out)
{
	uint64_t current, w = d->plan.decided + 1;
	const bct_usage_t *u;
	uint32_t n = 0;

	if (!d->usage)
		return 0;
	u = bct_gate_usage_counters(d->gate->usage);
	current = bct_gate_usage_window(d->gate->usage, now);
	if (current >= BCT_USAGE_WINDOWS && w <= current - BCT_USAGE_WINDOWS)
		w = current - BCT_USAGE_WINDOWS + 1;
	for (; w <= current && n < BCT_USAGE_WINDOWS; w++) {
		if (bct_usage_checkpoint(u, w, &out[n]))
			break;
		n++;
	}
	return n;
}

int bct_duty_encode(bct_duty_t *d, bct_time_t now, bct_duty_act_t act, bct_buf_t *out)
{
	bct_usage_open_t opens[BCT_USAGE_WINDOWS];
	bct_duty_header_t h = {
		.holder = act == BCT_DUTY_RELEASE ? 0 : d->incarnation,
		.ttl_ms = d->lease.opts.ttl_ms,
		.append_id = bct_duty_lease_append_id(&d->lease),
		.revision = bct_duty_plan_next_revision(&d->plan),
	};
	uint32_t n = checkpoints(d, now, opens);
	int rc;

	snprintf(h.name, sizeof(h.name), "%s", d->gate->settings->vm_name);
	d->append_revision = h.revision;
	bct_buf_clear(out);
	rc = bct_duty_record_encode(&h, &d->plan, opens, n, out);
	for (uint32_t i = 0; i < n; i++)
		bct_usage_open_free(&opens[i]);
	return rc;
}

/*
 * After a restore the log may have an older record than this node knows; its body is then kept,
 * until another node has appended to the log of the new era.
 */
void bct_duty_remember(bct_duty_t *d, bct_buf_t *record, uint64_t revision,
		       bct_gate_position_t position)
{
	bct_duty_known_t *k = &d->known;
	bool same_era = bct_gate_position_era(position) == bct_gate_position_era(k->position);
	bool appended_since = same_era && position > k->position;
	bct_buf_t old = k->record;

	k->position = position;
	if (old.len_bytes && revision < k->revision && !appended_since)
		return;
	k->record = *record;
	k->revision = revision;
	*record = old;
	bct_buf_clear(record);
}
