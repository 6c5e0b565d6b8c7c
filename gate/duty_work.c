/*
 * duty_work.c - what the holder of the lease does: decides windows and numbers of engines, and
 * makes the calls of policy/duty_plan.h.
 */
#include "gate/duty_int.h"
#include "base/err.h"
#include "base/mem.h"
#include "gate/duty_scale.h"

#include <string.h>

#define API_TIMEOUT_MS 1500
#define LEASE_REST_PARTS 6 /* with less than this part of the lease left, a call waits */
#define SCALE_MS 1000

/* Windows that ended too long ago, as after an outage of all nodes. */
static void skip_late(bct_duty_t *d, bct_time_t true_time)
{
	uint64_t first = d->plan.decided + 1, w;
	uint32_t tries;

	while (bct_duty_plan_give_up(&d->plan, true_time, &w, &tries)) {
		BCT_GATE_COUNT(d->gate, DUTY_GIVEN_UP);
		BCT_LOG(d->gate->log, BCT_EV_DUTY_REPORT_LOST, BCT_U64("first", w),
			BCT_U64("last", w), BCT_U64("tries", tries));
	}
	while (bct_duty_plan_window(&d->plan, true_time, &w) &&
	       bct_duty_plan_late(&d->plan, true_time, w)) {
		BCT_GATE_COUNT(d->gate, DUTY_GIVEN_UP);
		bct_duty_plan_skip(&d->plan, w);
	}
	if (d->plan.decided >= first)
		BCT_LOG(d->gate->log, BCT_EV_DUTY_REPORT_LOST, BCT_U64("first", first),
			BCT_U64("last", d->plan.decided), BCT_U64("tries", 0));
}

static void decide_windows(bct_duty_t *d, bct_time_t now)
{
	bct_time_t true_time = bct_gate_usage_true_time(d->gate->usage, now);
	uint64_t w;

	skip_late(d, true_time);
	while (bct_duty_plan_window(&d->plan, true_time, &w)) {
		bct_usage_report_t r;
		int rc = bct_usage_decide(bct_gate_usage_counters(d->gate->usage), w, &r);

		if (rc)
			return; /* memory is short; again at the next tick */
		/* No node ran then. */
		if (!r.n && w < d->first_window && w > d->open_until)
			bct_duty_plan_skip(&d->plan, w);
		else
			rc = bct_duty_plan_decide(&d->plan, &r);
		bct_usage_report_free(&r);
		if (rc)
			return;
	}
}

static bct_duty_scaler_t *find_scaler(bct_duty_t *d, const char *service)
{
	for (uint32_t i = 0; i < d->n_scalers; i++) {
		if (!strcmp(d->scalers[i].service, service))
			return &d->scalers[i];
	}
	return NULL;
}

static bct_duty_scaler_t *add_scaler(bct_duty_t *d, const char *service)
{
	bct_duty_scaler_t *list = bct_realloc(d->scalers, sizeof(*list) * (d->n_scalers + 1));

	if (!list)
		return NULL;
	d->scalers = list;
	list += d->n_scalers++;
	memset(list, 0, sizeof(*list));
	strncpy(list->service, service, sizeof(list->service) - 1);
	return list;
}

/* The scaler of a service as it is configured now; NULL: it can't be scaled. */
static bct_duty_scaler_t *get_scaler(bct_duty_t *d, const bct_gate_service_t *s)
{
	bct_duty_scaler_t *a = find_scaler(d, s->name);
	int rc;

	if (!a)
		a = add_scaler(d, s->name);
	if (!a)
		return NULL;
	if (!memcmp(&a->conf, &s->scaling, sizeof(a->conf)))
		return a->scale ? a : NULL;
	bct_autoscale_free(a->scale);
	a->scale = NULL;
	a->resumed = false;
	rc = bct_autoscale_new(&s->scaling, &a->scale);
	if (rc == -BCT_ENOMEM)
		return NULL;
	a->conf = s->scaling;
	if (!rc)
		return a;
	BCT_LOG(d->gate->log, BCT_EV_DUTY_SCALING_BAD, BCT_STR("service", s->name),
		BCT_ERR("error", rc), BCT_U64("minimum", s->scaling.minimum),
		BCT_U64("maximum", s->scaling.maximum));
	return NULL;
}

static bool get_input(bct_duty_t *d, bct_time_t now, const bct_gate_service_t *s,
		      bct_duty_scaler_t *a)
{
	int rc = bct_duty_scale_input(d->gate, s, now, &a->in);

	if (rc && rc != a->input_error)
		BCT_LOG(d->gate->log, BCT_EV_DUTY_SCALING_BAD, BCT_STR("service", s->name),
			BCT_ERR("error", rc));
	a->input_error = rc;
	if (!rc)
		bct_duty_plan_refused(&d->plan, now, s->name, &a->conf, &a->in);
	return !rc;
}

static void scale(bct_duty_t *d, bct_time_t now, const bct_gate_service_t *s)
{
	bct_duty_scaler_t *a = get_scaler(d, s);
	bct_autoscale_plan_t last;

	if (!a || !get_input(d, now, s, a))
		return;
	if (!a->resumed)
		bct_autoscale_resume(a->scale, now,
				     bct_duty_plan_last(&d->plan, s->name, &a->conf, &last) ? &last
											    : NULL);
	a->resumed = true;
	bct_autoscale_plan(a->scale, now, &a->in, &a->plan);
	if (bct_duty_plan_want(&d->plan, now, s->name, &a->conf, &a->in, &a->plan) < 0)
		a->resumed = false;
}

/* Services that the configuration no longer has, or no longer scales. */
static void drop_services(bct_duty_t *d, const bct_gate_routes_t *t)
{
	for (uint32_t i = d->plan.n_services; i-- > 0;) {
		const char *name = d->plan.services[i].name;
		int at = bct_gate_routes_service(t, name);

		if (at < 0 || !t->services[at].scaling.n_domains)
			bct_duty_plan_drop(&d->plan, name);
	}
}

void bct_duty_decide(bct_duty_t *d, bct_time_t now)
{
	const bct_gate_routes_t *t = d->gate->routes;

	if (d->usage)
		decide_windows(d, now);
	if (!d->scaling || !t || now < d->scaled_at + SCALE_MS)
		return;
	d->scaled_at = now;
	drop_services(d, t);
	for (uint32_t i = 0; i < t->n_services; i++) {
		if (t->services[i].scaling.n_domains)
			scale(d, now, &t->services[i]);
	}
}

void bct_duty_scalers_free(bct_duty_t *d)
{
	for (uint32_t i = 0; i < d->n_scalers; i++)
		bct_autoscale_free(d->scalers[i].scale);
	bct_free(d->scalers);
}

void bct_duty_call_api(bct_duty_t *d, bct_time_t now)
{
	bct_duty_api_call_t *a = bct_duty_calls_api(d->calls);
	bct_duty_call_t *c = a ? &a->call : NULL;

	if (!a || d->lease.valid_until - now < d->lease.opts.ttl_ms / LEASE_REST_PARTS ||
	    !bct_duty_plan_next(&d->plan, now, bct_duty_lease_fence(&d->lease),
				d->lease.head.revision, c))
		return;
	bct_duty_report_free(&a->report);
	if (c->kind == BCT_DUTY_REPORT && bct_duty_report_copy(c->report, &a->report)) {
		bct_duty_plan_done(&d->plan, now, c, -BCT_ESTATE);
		return;
	}
	c->report = NULL;
	memset(a->name, 0, sizeof(a->name));
	strncpy(a->name, d->gate->settings->vm_name, sizeof(a->name) - 1);
	a->valid_until = d->lease.valid_until;
	a->timeout_ms = API_TIMEOUT_MS;
	d->api_busy = true;
	bct_duty_calls_start_api(d->calls);
}

static uint64_t total(const bct_usage_report_t *r)
{
	uint64_t n = 0;

	for (uint32_t i = 0; i < r->n; i++)
		n += r->counts[i].requests;
	return n;
}

static void log_report(bct_duty_t *d, bct_time_t now, const bct_duty_api_call_t *a)
{
	const bct_duty_call_t *c = &a->call;
	bct_time_t end = (bct_time_t)(c->window + 1) * d->gate->settings->duty_window_ms;

	if (a->rc)
		BCT_GATE_COUNT(d->gate, DUTY_REPORTS_FAILED);
	else
		BCT_GATE_COUNT(d->gate, DUTY_REPORTS);
	BCT_LOG(d->gate->log, a->rc ? BCT_EV_DUTY_REPORT_FAILED : BCT_EV_DUTY_REPORT,
		BCT_U64("window", c->window), BCT_U64("accounts", a->report.usage.n),
		BCT_U64("requests", total(&a->report.usage)), BCT_ERR("error", a->rc),
		BCT_I64("age_ms", bct_gate_usage_true_time(d->gate->usage, now) - end),
		BCT_U64("tries", c->tries), BCT_U64("token", c->fence),
		BCT_I64("took_ms", a->took_ms));
}

static void log_order(bct_duty_t *d, const bct_duty_api_call_t *a)
{
	const bct_duty_call_t *c = &a->call;
	const bct_duty_scaler_t *s = find_scaler(d, c->service);
	uint32_t present = 0;

	if (a->rc)
		BCT_GATE_COUNT(d->gate, DUTY_ORDERS_FAILED);
	else
		BCT_GATE_COUNT(d->gate, DUTY_ORDERS);
	if (!s)
		return;
	for (uint32_t i = 0; i < s->conf.n_domains; i++) {
		if (!strcmp(s->conf.domains[i].name, c->failure_domain))
			present = s->in.domains[i].present[c->engine_kind];
	}
	BCT_LOG(d->gate->log, a->rc ? BCT_EV_DUTY_ORDER_FAILED : BCT_EV_DUTY_ORDER,
		BCT_STR("service", c->service), BCT_STR("domain", c->failure_domain),
		BCT_STR("kind", c->engine_kind == BCT_AUTOSCALE_SPOT ? "spot" : "standard"),
		BCT_U64("engines", c->engines), BCT_U64("present", present),
		BCT_U64("demand_permille", s->in.demand_permille),
		BCT_I64("demand_age_ms", s->in.demand_age_ms),
		BCT_U64("refused_permille", s->in.refused_permille),
		BCT_STR("reason", bct_autoscale_reason_name(s->plan.reason)),
		BCT_ERR("error", a->rc), BCT_U64("tries", c->tries), BCT_U64("token", c->fence),
		BCT_I64("took_ms", a->took_ms));
}

void bct_duty_api_done(bct_duty_t *d, bct_time_t now, const bct_duty_api_call_t *a)
{
	bct_duty_outcome_t outcome = bct_duty_plan_done(&d->plan, now, &a->call, a->rc);

	d->api_busy = false;
	if (a->rc == -BCT_ESTATE)
		return;
	if (a->call.kind == BCT_DUTY_REPORT)
		log_report(d, now, a);
	else
		log_order(d, a);
	if (outcome != BCT_DUTY_REFUSED)
		return;
	BCT_GATE_COUNT(d->gate, DUTY_REFUSED);
	BCT_LOG(d->gate->log, BCT_EV_DUTY_REFUSED, BCT_U64("token", a->call.fence),
		BCT_U64("newest", bct_duty_lease_fence(&d->lease)));
	bct_duty_lease_refused(&d->lease, now, a->call.fence);
	bct_duty_note_lease(d, "the control API has seen a higher token");
}
