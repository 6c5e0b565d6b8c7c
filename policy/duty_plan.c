/*
 * duty_plan.c - windows, reports, and the choice of the next call; orders are in duty_orders.c.
 */
#include "policy/duty_plan.h"
#include "base/err.h"
#include "base/mem.h"
#include "policy/duty_orders.h"

#include <string.h>

#define DECIDE_MS 4000	   /* after its end a window is decided: counts have arrived by then */
#define REPORT_GAP_MS 200  /* at most 5 reports in a second */
#define ORDER_GAP_MS 100   /* at most 10 orders in a second */
#define RETRY_FIRST_MS 500 /* of a report */
#define RETRY_MS 1000	   /* after RETRIES_QUICK of them */
#define RETRIES_QUICK 2	   /* a report is due 6 s after it is decided */
#define CUT_OFF_CALLS 3	   /* without a connection show that this node is cut off */
#define SHARE_OF_CALLS 2   /* the API's rate is for all callers; half of it is used */

void bct_duty_plan_init(bct_duty_plan_t *p, const bct_duty_plan_opts_t *opts)
{
	memset(p, 0, sizeof(*p));
	p->opts = *opts;
}

static void free_reports(bct_duty_plan_t *p)
{
	for (uint32_t i = 0; i < p->n_reports; i++)
		bct_duty_report_free(&p->reports[i].report);
	bct_free(p->reports);
	p->reports = NULL;
	p->n_reports = 0;
}

void bct_duty_plan_free(bct_duty_plan_t *p)
{
	free_reports(p);
	bct_free(p->services);
	memset(p, 0, sizeof(*p));
}

/* Adds a report of a window after all others. */
static int add_report(bct_duty_plan_t *p, const bct_usage_report_t *r, uint64_t revision)
{
	bct_duty_pending_t *list = bct_realloc(p->reports, sizeof(*list) * (p->n_reports + 1));
	bct_duty_pending_t item = { .revision = revision };

	if (!list)
		return -BCT_ENOMEM;
	p->reports = list;
	if (bct_duty_report_copy(r, &item.report))
		return -BCT_ENOMEM;
	list[p->n_reports++] = item;
	return 0;
}

int bct_duty_plan_adopt(bct_duty_plan_t *p, bct_time_t now, const bct_duty_state_t *s)
{
	bct_duty_plan_t next = *p;
	int rc;

	next.reports = NULL;
	next.n_reports = 0;
	rc = bct_duty_orders_adopt(&next, now, s);
	for (uint32_t i = 0; i < s->n_reports && !rc; i++)
		rc = add_report(&next, &s->reports[i].usage, s->revision);
	if (rc) {
		bct_duty_plan_free(&next);
		return rc;
	}
	next.decided = s->decided;
	next.accepted = 0;
	next.no_answers = 0;
	if (s->revision > next.revision)
		next.revision = s->revision;
	bct_duty_plan_free(p);
	*p = next;
	return 0;
}

uint64_t bct_duty_plan_next_revision(bct_duty_plan_t *p)
{
	return ++p->revision;
}

bool bct_duty_plan_unwritten(const bct_duty_plan_t *p, uint64_t revision, uint64_t fence)
{
	for (uint32_t i = 0; i < p->n_reports; i++) {
		if (p->reports[i].revision > revision || p->reports[i].min_fence > fence)
			return true;
	}
	return bct_duty_orders_unwritten(p, revision, fence);
}

static bct_time_t window_end(const bct_duty_plan_t *p, uint64_t window)
{
	return (bct_time_t)(window + 1) * p->opts.window_ms;
}

bool bct_duty_plan_window(const bct_duty_plan_t *p, bct_time_t true_time, uint64_t *window)
{
	*window = p->decided + 1;
	return p->decided && true_time >= window_end(p, *window) + DECIDE_MS;
}

int bct_duty_plan_decide(bct_duty_plan_t *p, const bct_usage_report_t *r)
{
	int rc = add_report(p, r, p->revision + 1);

	if (!rc)
		p->decided = r->window;
	return rc;
}

void bct_duty_plan_skip(bct_duty_plan_t *p, uint64_t window)
{
	p->decided = window;
}

bool bct_duty_plan_late(const bct_duty_plan_t *p, bct_time_t true_time, uint64_t window)
{
	return true_time >= window_end(p, window) + BCT_DUTY_GIVE_UP_MS;
}

static void remove_report(bct_duty_plan_t *p, uint32_t i)
{
	bct_duty_report_free(&p->reports[i].report);
	p->n_reports--;
	memmove(&p->reports[i], &p->reports[i + 1], sizeof(*p->reports) * (p->n_reports - i));
}

bool bct_duty_plan_give_up(bct_duty_plan_t *p, bct_time_t true_time, uint64_t *window,
			   uint32_t *tries)
{
	if (!p->n_reports || !bct_duty_plan_late(p, true_time, p->reports[0].report.usage.window))
		return false;
	*window = p->reports[0].report.usage.window;
	*tries = p->reports[0].tries;
	remove_report(p, 0);
	return true;
}

/* The oldest window whose report is due; one that is to be repeated later holds up no others. */
static const bct_duty_pending_t *next_report(const bct_duty_plan_t *p, bct_time_t now,
					     uint64_t fence, uint64_t revision)
{
	if (now < p->reported_at + REPORT_GAP_MS)
		return NULL;
	for (uint32_t i = 0; i < p->n_reports; i++) {
		const bct_duty_pending_t *r = &p->reports[i];

		if (r->revision <= revision && r->min_fence <= fence && now >= r->due_at)
			return r;
	}
	return NULL;
}

bool bct_duty_plan_next(bct_duty_plan_t *p, bct_time_t now, uint64_t fence, uint64_t revision,
			bct_duty_call_t *out)
{
	bct_time_t gap_ms = BCT_MS_PER_S * SHARE_OF_CALLS / p->opts.calls_per_s;
	const bct_duty_pending_t *r;
	bool order;

	if (now < p->called_at + gap_ms)
		return false;
	memset(out, 0, sizeof(*out));
	r = next_report(p, now, fence, revision);
	order = now >= p->ordered_at + ORDER_GAP_MS &&
		bct_duty_orders_next(p, now, fence, revision, out);
	/* Neither kind holds up the other one when the API is slow. */
	if (r && order && !p->ordered_last)
		r = NULL;
	if (!r && !order)
		return false;
	out->fence = fence;
	p->called_at = now;
	p->ordered_last = !r;
	if (!r) {
		p->ordered_at = now;
		return true;
	}
	p->reported_at = now;
	out->kind = BCT_DUTY_REPORT;
	out->tries = r->tries;
	out->report = &r->report.usage;
	out->window = r->report.usage.window;
	return true;
}

static bct_duty_outcome_t reported(bct_duty_plan_t *p, bct_time_t now, const bct_duty_call_t *c,
				   int rc)
{
	bct_duty_outcome_t outcome = rc == -BCT_EFENCED ? BCT_DUTY_REFUSED : BCT_DUTY_RETRY;

	for (uint32_t i = 0; i < p->n_reports; i++) {
		bct_duty_pending_t *r = &p->reports[i];

		if (r->report.usage.window != c->window)
			continue;
		if (!rc) {
			remove_report(p, i);
			break;
		}
		if (rc == -BCT_ESTATE)
			break;
		r->tries++;
		r->due_at = now + (r->tries <= RETRIES_QUICK ? RETRY_FIRST_MS : RETRY_MS);
		if (rc == -BCT_EUNKNOWN_OUTCOME)
			r->min_fence = c->fence + 1;
		break;
	}
	if (rc)
		return outcome;
	if (c->window > p->accepted)
		p->accepted = c->window;
	return BCT_DUTY_ACCEPTED;
}

bct_duty_outcome_t bct_duty_plan_done(bct_duty_plan_t *p, bct_time_t now, const bct_duty_call_t *c,
				      int rc)
{
	if (rc == -BCT_EUNAVAILABLE)
		p->no_answers++;
	else if (rc != -BCT_ESTATE)
		p->no_answers = 0;
	return c->kind == BCT_DUTY_REPORT ? reported(p, now, c, rc)
					  : bct_duty_orders_done(p, now, c, rc);
}

bool bct_duty_plan_cut_off(const bct_duty_plan_t *p)
{
	return p->no_answers >= CUT_OFF_CALLS;
}
