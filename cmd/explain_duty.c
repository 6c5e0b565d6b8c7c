/*
 * explain_duty.c - see explain_duty.h.
 */
#include "cmd/explain_duty.h"
#include "base/event.h"
#include "cmd/explain_cause.h"

#include <string.h>

#define REPORT_DUE_MS 10000 /* after the end of its window */
#define GIVEN_UP_MS 60000   /* likewise: then a window is not reported any more */
/* An order shows in the presence of engines within this time: boot, notice and registry. */
#define ORDER_SHOWS_MS 15000
#define N JSON_INTEGER_FORMAT

/* bct_gate_presence_t, as numbers in the log. */
enum { PRESENCE_READY = 1, PRESENCE_DRAINING = 2, PRESENCE_GONE = 4 };

bool explain_duty_needs(json_int_t event)
{
	return (event >= BCT_EV_DUTY_ACQUIRED && event <= BCT_EV_DUTY_REPORT_LOST) ||
	       (event >= BCT_EV_TRUE_TIME_CORRECTED && event <= BCT_EV_DUTY_SCALING_BAD) ||
	       event == BCT_EV_SCALING_REFUSED || event == BCT_EV_UPSTREAM_PRESENCE ||
	       event == BCT_EV_UPSTREAMS_READY;
}

static json_int_t event_of(const json_t *l)
{
	return explain_number(l, "event");
}

static bool is_report(const json_t *l)
{
	return event_of(l) == BCT_EV_DUTY_REPORT || event_of(l) == BCT_EV_DUTY_REPORT_FAILED;
}

static bool is_order(const json_t *l)
{
	return event_of(l) == BCT_EV_DUTY_ORDER || event_of(l) == BCT_EV_DUTY_ORDER_FAILED;
}

/* Whether the line is about who holds the duties, or why nobody can do them. */
static bool is_course(const json_t *l)
{
	return (event_of(l) >= BCT_EV_DUTY_ACQUIRED && event_of(l) <= BCT_EV_DUTY_RECORD_BAD) ||
	       event_of(l) == BCT_EV_TRUE_TIME_CORRECTED;
}

/* Whether the name is in a comma-separated list. */
static bool lists(const char *list, const char *name)
{
	size_t len = strlen(name);

	for (const char *at = list; *at; at += strcspn(at, ","), at += *at == ',') {
		if (strcspn(at, ",") == len && !strncmp(at, name, len))
			return true;
	}
	return false;
}

static bool concerns_window(const json_t *l, json_int_t window)
{
	if (event_of(l) == BCT_EV_DUTY_REPORT_LOST)
		return explain_number(l, "first") <= window && window <= explain_number(l, "last");
	return is_report(l) && explain_number(l, "window") == window;
}

static bool concerns_name(const json_t *l, const char *name)
{
	if (event_of(l) == BCT_EV_UPSTREAM_PRESENCE)
		return !strcmp(explain_text(l, "upstream"), name);
	if (event_of(l) == BCT_EV_UPSTREAMS_READY)
		return lists(explain_text(l, "upstreams"), name);
	return (is_order(l) || event_of(l) == BCT_EV_DUTY_SCALING_BAD ||
		event_of(l) == BCT_EV_SCALING_REFUSED) &&
	       !strcmp(explain_text(l, "service"), name);
}

/* Returns 0 for anything but a decimal number. */
static json_int_t window_number(const char *id)
{
	json_int_t n = 0;
	size_t len = strspn(id, "0123456789");

	if (id[len] || len > 15)
		return 0;
	for (; *id; id++)
		n = n * 10 + (*id - '0');
	return n;
}

static const json_t *last_of(const json_t *lines, json_int_t event)
{
	for (size_t i = json_array_size(lines); i; i--) {
		if (event_of(json_array_get(lines, i - 1)) == event)
			return json_array_get(lines, i - 1);
	}
	return NULL;
}

static const json_t *first_of(const json_t *lines, json_int_t event)
{
	size_t i;
	json_t *l;

	json_array_foreach(lines, i, l)
	{
		if (event_of(l) == event)
			return l;
	}
	return NULL;
}

static void append_course(const json_t *all, json_int_t from, json_int_t to, json_t *context)
{
	size_t i;
	json_t *l;

	json_array_foreach(all, i, l)
	{
		if (is_course(l) && explain_number(l, "time_ms") >= from &&
		    explain_number(l, "time_ms") <= to)
			json_array_append(context, l);
	}
}

/* What happened to the duties between the end of a window and its report. */
static void explain_course(const json_t *context, bct_buf_t *out)
{
	size_t i;
	json_t *l;

	json_array_foreach(context, i, l)
	{
		const char *vm = explain_text(l, "vm");

		switch (event_of(l)) {
		case BCT_EV_DUTY_ACQUIRED:
			bct_buf_printf(out, " %s took over the duties.", vm);
			break;
		case BCT_EV_DUTY_LOST:
			bct_buf_printf(out, " %s lost them: %s.", vm, explain_text(l, "why"));
			break;
		case BCT_EV_DUTY_CUT_OFF:
			bct_buf_printf(out, " %s did not reach the control API.", vm);
			break;
		case BCT_EV_DUTY_STORE_DOWN:
			bct_buf_printf(out, " %s did not reach the store of the record (%s).", vm,
				       explain_text(l, "error"));
			break;
		case BCT_EV_DUTY_RECORD_BAD:
			bct_buf_printf(out, " %s could not read or write the record (%s).", vm,
				       explain_text(l, "error"));
			break;
		case BCT_EV_TRUE_TIME_CORRECTED:
			bct_buf_printf(out, " The time of %s was off by %" N " ms.", vm,
				       explain_number(l, "correction_ms"));
			break;
		default:
			break;
		}
	}
}

static void explain_tries(const json_t *lines, bct_buf_t *out)
{
	const json_t *failed = last_of(lines, BCT_EV_DUTY_REPORT_FAILED);
	size_t i, n = 0;
	json_t *l;

	json_array_foreach(lines, i, l)
	{
		n += event_of(l) == BCT_EV_DUTY_REPORT_FAILED;
	}
	if (n)
		bct_buf_printf(out, " %zu tries failed, the last at %s with %s (event 818).", n,
			       explain_text(failed, "vm"), explain_text(failed, "error"));
}

static void explain_accepted(const json_t *l, json_int_t window, bct_buf_t *out)
{
	json_int_t age_ms = explain_number(l, "age_ms");

	bct_buf_printf(out,
		       "Window %" N " was reported by %s %" N " ms after its end, %s: %" N
		       " requests of %" N " accounts.",
		       window, explain_text(l, "vm"), age_ms,
		       age_ms > REPORT_DUE_MS ? "which is late" : "in time",
		       explain_number(l, "requests"), explain_number(l, "accounts"));
}

/* When the window ended, by the wall clock of the node that reported it or gave it up. */
static json_int_t end_of(const json_t *l)
{
	return explain_number(l, "time_ms") -
	       (is_report(l) ? explain_number(l, "age_ms") : GIVEN_UP_MS);
}

static void explain_window(const json_t *all, json_int_t window, const json_t *lines,
			   json_t *context, bct_buf_t *out)
{
	/* A successor may repeat a report that was accepted. */
	const json_t *accepted = first_of(lines, BCT_EV_DUTY_REPORT);
	const json_t *lost = last_of(lines, BCT_EV_DUTY_REPORT_LOST);
	const json_t *last =
		accepted ? accepted : json_array_get(lines, json_array_size(lines) - 1);

	if (accepted)
		explain_accepted(accepted, window, out);
	else if (lost)
		bct_buf_printf(out,
			       "Window %" N " was given up by %s, as it was not accepted within "
			       "%d s of its end; its usage is missing.",
			       window, explain_text(lost, "vm"), GIVEN_UP_MS / 1000);
	else
		bct_buf_printf(out, "Window %" N " was not accepted up to the end of the logs.",
			       window);
	append_course(all, end_of(last), explain_number(last, "time_ms"), context);
	explain_tries(lines, out);
	explain_course(context, out);
	if ((lost && !accepted) || explain_number(accepted, "age_ms") > REPORT_DUE_MS) {
		if (!json_array_size(context) && !last_of(lines, BCT_EV_DUTY_REPORT_FAILED))
			bct_buf_puts(out, " No line says why: the logs of a holder are missing, or "
					  "no node ran.");
	}
}

/* Whether windows before and after it were reported, so that it is missing. */
static bool is_missing(const json_t *all, json_int_t window, json_t *context)
{
	const json_t *before = NULL, *after = NULL, *l;
	size_t i;

	json_array_foreach(all, i, l)
	{
		if (!is_report(l))
			continue;
		if (explain_number(l, "window") < window)
			before = l;
		else if (!after)
			after = l;
	}
	if (!before || !after)
		return false;
	append_course(all, end_of(before), explain_number(after, "time_ms"), context);
	return true;
}

static void explain_order(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out,
		       "%s ordered %" N " %s engines of %s in %s, where %" N
		       " were present (reason %s; demand %" N " permille of an engine, %" N
		       " ms old; %" N " permille refused)",
		       explain_text(l, "vm"), explain_number(l, "engines"), explain_text(l, "kind"),
		       explain_text(l, "service"), explain_text(l, "domain"),
		       explain_number(l, "present"), explain_text(l, "reason"),
		       explain_number(l, "demand_permille"), explain_number(l, "demand_age_ms"),
		       explain_number(l, "refused_permille"));
	if (event_of(l) == BCT_EV_DUTY_ORDER)
		bct_buf_puts(out, ", and the order was accepted.");
	else
		bct_buf_printf(out, ", and the order failed with %s (event 824).",
			       explain_text(l, "error"));
}

static void explain_service(const json_t *lines, bct_buf_t *out)
{
	const json_t *last = json_array_get(lines, json_array_size(lines) - 1);
	size_t i, accepted = 0, failed = 0;
	json_t *l;

	json_array_foreach(lines, i, l)
	{
		accepted += event_of(l) == BCT_EV_DUTY_ORDER;
		failed += event_of(l) == BCT_EV_DUTY_ORDER_FAILED;
	}
	bct_buf_printf(out, "%zu orders were accepted, %zu failed. ", accepted, failed);
	if (!is_order(last)) {
		bct_buf_printf(out,
			       "At last %s could not scale it: its configuration is invalid "
			       "(events 212 and 825).",
			       explain_text(last, "vm"));
		return;
	}
	bct_buf_puts(out, "The last: ");
	explain_order(last, out);
}

/* The order that may have changed the presence of an engine: of its service, domain and kind. */
static const json_t *order_for(const json_t *all, const json_t *engine, json_int_t at, bool more)
{
	const char *kind = explain_number(engine, "spot") ? "spot" : "standard";
	const json_t *found = NULL, *l;
	size_t i;

	json_array_foreach(all, i, l)
	{
		json_int_t ms = explain_number(l, "time_ms");
		bool grows = explain_number(l, "engines") > explain_number(l, "present");
		bool falls = explain_number(l, "engines") < explain_number(l, "present");

		if (event_of(l) == BCT_EV_DUTY_ORDER && ms <= at && ms >= at - ORDER_SHOWS_MS &&
		    (more ? grows : falls) && !strcmp(explain_text(l, "kind"), kind) &&
		    !strcmp(explain_text(l, "service"), explain_text(engine, "service")) &&
		    !strcmp(explain_text(l, "domain"), explain_text(engine, "domain")))
			found = l;
	}
	return found;
}

static void explain_change(const json_t *all, const json_t *engine, const json_t *l, bool came,
			   json_t *context, bct_buf_t *out)
{
	const json_t *order = order_for(all, engine, explain_number(l, "time_ms"), came);

	bct_buf_printf(out, "%s%s", out->len_bytes ? " " : "",
		       came ? "It came" : "It was taken away");
	if (order) {
		json_array_append(context, (json_t *)(uintptr_t)order);
		bct_buf_puts(out, " after an order: ");
		explain_order(order, out);
	} else if (!came && explain_number(l, "spot") && explain_number(l, "leaves_ms")) {
		bct_buf_printf(out,
			       " without an order: as a spot engine it was reclaimed, with %" N
			       " ms left.",
			       explain_number(l, "leaves_ms"));
	} else {
		bct_buf_printf(out,
			       ", and no accepted order of the %d s before explains it: it %s, or "
			       "the logs of the holder are missing.",
			       ORDER_SHOWS_MS / 1000,
			       came ? "was started otherwise" : "failed or was stopped otherwise");
	}
}

/* The first line that says that the engine is ready, or that it leaves or has left. */
static const json_t *first_change(const json_t *lines, bool came)
{
	size_t i;
	json_t *l;

	json_array_foreach(lines, i, l)
	{
		json_int_t to = explain_number(l, "presence");
		bool ready = event_of(l) == BCT_EV_UPSTREAMS_READY || to == PRESENCE_READY;

		if (came ? ready : to == PRESENCE_DRAINING || to == PRESENCE_GONE)
			return l;
	}
	return NULL;
}

static void explain_engine(const json_t *all, const json_t *lines, json_t *context, bct_buf_t *out)
{
	const json_t *came = first_change(lines, true), *left = first_change(lines, false);
	const json_t *engine = last_of(lines, BCT_EV_UPSTREAM_PRESENCE);

	if (!engine) {
		bct_buf_puts(out, "It became ready (event 514); no line names its service.");
		return;
	}
	if (came)
		explain_change(all, engine, came, true, context, out);
	if (left)
		explain_change(all, engine, left, false, context, out);
	if (!came && !left)
		bct_buf_puts(out, "It lapsed in an outage of the registry (event 510).");
}

static bool is_engine(const json_t *lines)
{
	return last_of(lines, BCT_EV_UPSTREAM_PRESENCE) || last_of(lines, BCT_EV_UPSTREAMS_READY);
}

bool explain_duty(const char *id, const json_t *all, json_t *lines, json_t *context, bct_buf_t *out)
{
	json_int_t window = window_number(id);
	size_t i;
	json_t *l;

	json_array_foreach(all, i, l)
	{
		if (window ? concerns_window(l, window) : concerns_name(l, id))
			json_array_append(lines, l);
	}
	if (!json_array_size(lines)) {
		if (!window || !is_missing(all, window, context))
			return false;
		bct_buf_printf(out,
			       "No line names window %" N
			       ", though others around it were reported: "
			       "no node ran then, or the logs of its holder are missing.",
			       window);
		explain_course(context, out);
		return true;
	}
	if (window)
		explain_window(all, window, lines, context, out);
	else if (is_engine(lines))
		explain_engine(all, lines, context, out);
	else
		explain_service(lines, out);
	return true;
}
