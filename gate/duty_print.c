/*
 * duty_print.c - the duties on the metrics page.
 */
#include "gate/duty_int.h"

#include <inttypes.h>

static const char *const kinds[] = {
	[BCT_AUTOSCALE_STANDARD] = "standard",
	[BCT_AUTOSCALE_SPOT] = "spot",
};

static void gauge(bct_buf_t *out, const char *name, uint64_t value)
{
	bct_buf_printf(out, "# TYPE %s gauge\n%s %" PRIu64 "\n", name, name, value);
}

static void print_services(const bct_duty_t *d, bct_buf_t *out, bool wanted)
{
	const char *name = wanted ? "bct_duty_engines_wanted" : "bct_duty_engines_present";

	bct_buf_printf(out, "# TYPE %s gauge\n", name);
	for (uint32_t i = 0; i < d->plan.n_services; i++) {
		const bct_duty_service_t *s = &d->plan.services[i];

		for (uint32_t j = 0; j < s->n_domains * BCT_AUTOSCALE_KINDS; j++) {
			uint32_t domain = j / BCT_AUTOSCALE_KINDS, kind = j % BCT_AUTOSCALE_KINDS;
			const bct_duty_target_t *t = &s->targets[domain][kind];

			bct_buf_printf(out,
				       "%s{service=\"%s\",failure_domain=\"%s\",kind=\"%s\"} %u\n",
				       name, s->name, s->domains[domain], kinds[kind],
				       wanted ? t->wanted : t->present);
		}
	}
}

/* Windows and engines are known to the holder only. */
void bct_duty_print(const bct_duty_t *d, bct_buf_t *out)
{
	bct_time_t now = bct_clock_now();

	if (!d)
		return;
	gauge(out, "bct_duty_held", bct_duty_lease_valid(&d->lease, now));
	if (d->lease.known) {
		bct_buf_printf(out,
			       "# TYPE bct_duty_holder gauge\n"
			       "bct_duty_holder{name=\"%s\",incarnation=\"%016" PRIx64 "\"} %d\n",
			       d->holder_name, d->lease.head.holder, d->lease.head.holder != 0);
		gauge(out, "bct_duty_fencing_token", d->lease.head.position + 1);
		gauge(out, "bct_duty_record_age_ms", (uint64_t)(now - d->lease.head_seen_at));
	}
	if (!d->lease.held)
		return;
	gauge(out, "bct_duty_window_decided", d->plan.decided);
	gauge(out, "bct_duty_window_reported", d->plan.accepted);
	gauge(out, "bct_duty_reports_waiting", d->plan.n_reports);
	print_services(d, out, true);
	print_services(d, out, false);
}
