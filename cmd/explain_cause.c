/*
 * explain_cause.c - one rule for each way in which a gateway ends a request.
 */
#include "cmd/explain_cause.h"
#include "base/event.h"

#include <inttypes.h>
#include <string.h>

#define STALE_MS 2000 /* older news of the registry are worth a word */

typedef struct ending {
	const char *how;
	void (*explain)(const json_t *last, bct_buf_t *out);
} ending_t;

json_int_t explain_number(const json_t *line, const char *key)
{
	return json_integer_value(json_object_get(line, key));
}

const char *explain_text(const json_t *line, const char *key)
{
	const char *s = json_string_value(json_object_get(line, key));

	return s ? s : "";
}

static void ok(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out, "It was answered well by %s after %" JSON_INTEGER_FORMAT " ms",
		       explain_text(l, "upstream"), explain_number(l, "total_ms"));
	bct_buf_printf(out, ", in %" JSON_INTEGER_FORMAT " attempts.",
		       explain_number(l, "attempts"));
}

static void upstream_error(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out, "Upstream %s answered with status %" JSON_INTEGER_FORMAT " of its own.",
		       explain_text(l, "upstream"), explain_number(l, "status"));
}

static void caller_left(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out, "The caller closed its connection after %" JSON_INTEGER_FORMAT " ms",
		       explain_number(l, "total_ms"));
	if (!explain_number(l, "attempts"))
		bct_buf_puts(out, ", before any upstream was asked.");
	else if (explain_number(l, "first_byte_ms") < 0)
		bct_buf_printf(out,
			       ", while %s had not begun to answer; predicted were "
			       "%" JSON_INTEGER_FORMAT " ms of waiting and %" JSON_INTEGER_FORMAT
			       " ms of reading.",
			       explain_text(l, "upstream"), explain_number(l, "predicted_wait_ms"),
			       explain_number(l, "predicted_work_ms"));
	else
		bct_buf_printf(out, ", in the middle of the answer of %s.",
			       explain_text(l, "upstream"));
}

static void not_ready(const json_t *l, bct_buf_t *out)
{
	(void)l;
	bct_buf_puts(out, "The node had no configuration yet: it had just started, or has not "
			  "reached the registry (events 100, 610). The request did not run.");
}

static void no_route(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out,
		       "Version %" JSON_INTEGER_FORMAT
		       " of the configuration, in force on the node, has no route for it.",
		       explain_number(l, "version"));
}

static void bad_key(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out,
		       "Its API key is missing or not in version %" JSON_INTEGER_FORMAT
		       " of the configuration, in force on the node.",
		       explain_number(l, "version"));
}

static void no_upstream(const json_t *l, bct_buf_t *out)
{
	(void)l;
	bct_buf_puts(out, "No upstream of its service takes work: see the presence of the "
			  "service's upstreams (event 510). The request did not run.");
}

static void overload(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out,
		       "The fleet had no room: the best upstream had %" JSON_INTEGER_FORMAT
		       " ms of work before it and %" JSON_INTEGER_FORMAT " ms for it",
		       explain_number(l, "predicted_wait_ms"),
		       explain_number(l, "predicted_work_ms"));
	bct_buf_printf(out,
		       ", past the limit of %" JSON_INTEGER_FORMAT
		       " ms (overload %" JSON_INTEGER_FORMAT " permille). It did not run.",
		       explain_number(l, "first_byte_limit_ms"),
		       explain_number(l, "overload_permille"));
}

static void poison(const json_t *l, bct_buf_t *out)
{
	(void)l;
	bct_buf_puts(out, "Three upstreams broke while they ran the same request (event 414), so "
			  "it is refused for five minutes. This time it did not run.");
}

static void not_run(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out,
		       "No upstream ran it: asked %" JSON_INTEGER_FORMAT ", not reached "
		       "%" JSON_INTEGER_FORMAT " (lines 412 say how each failed).",
		       explain_number(l, "attempts"), explain_number(l, "connects_failed"));
}

static void unknown_outcome(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out,
		       "It was sent to %s and the answer was lost; it may have run, and its route "
		       "does not allow another attempt, or none was left.",
		       explain_text(l, "upstream"));
}

static void timeout_waiting(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out,
		       "Its time was over after %" JSON_INTEGER_FORMAT
		       " ms before any upstream took it; it did not run.",
		       explain_number(l, "total_ms"));
}

static void timeout_running(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out,
		       "Its time was over after %" JSON_INTEGER_FORMAT
		       " ms and %s had not answered; predicted were %" JSON_INTEGER_FORMAT " ms.",
		       explain_number(l, "total_ms"), explain_text(l, "upstream"),
		       explain_number(l, "predicted_wait_ms") +
			       explain_number(l, "predicted_work_ms"));
}

static void cut(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out,
		       "The answer of %s began after %" JSON_INTEGER_FORMAT
		       " ms and broke off after %" JSON_INTEGER_FORMAT
		       " events and %" JSON_INTEGER_FORMAT " ms",
		       explain_text(l, "upstream"), explain_number(l, "first_byte_ms"),
		       explain_number(l, "events"), explain_number(l, "total_ms"));
	bct_buf_puts(out, explain_number(l, "status") == 504
				  ? ": its time was over."
				  : ": the upstream's connection failed.");
}

static void stopping(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out,
		       "The node was asked to stop and its grace time ended while %s was still at "
		       "work on it.",
		       *explain_text(l, "upstream") ? explain_text(l, "upstream") : "no upstream");
}

static const ending_t endings[] = {
	{ "OK", ok },
	{ "UPSTREAM_ERROR", upstream_error },
	{ "CALLER_LEFT", caller_left },
	{ "NOT_READY", not_ready },
	{ "NO_ROUTE", no_route },
	{ "BAD_KEY", bad_key },
	{ "NO_UPSTREAM", no_upstream },
	{ "OVERLOAD", overload },
	{ "POISON", poison },
	{ "NOT_RUN", not_run },
	{ "UNKNOWN_OUTCOME", unknown_outcome },
	{ "TIMEOUT_WAITING", timeout_waiting },
	{ "TIMEOUT_RUNNING", timeout_running },
	{ "CUT", cut },
	{ "STOPPING", stopping },
};
#define N_ENDINGS (sizeof(endings) / sizeof(endings[0]))

/* The line that tells how the request ended, or NULL. */
static const json_t *end_of(const json_t *lines)
{
	for (size_t i = json_array_size(lines); i; i--) {
		const json_t *l = json_array_get(lines, i - 1);

		if (*explain_text(l, "how"))
			return l;
	}
	return NULL;
}

/* Attempts that failed before the end. */
static void explain_attempts(const json_t *lines, bct_buf_t *out)
{
	size_t i;
	json_t *l;

	json_array_foreach(lines, i, l)
	{
		if (explain_number(l, "event") != BCT_EV_GATE_ATTEMPT_FAILED)
			continue;
		bct_buf_printf(out,
			       " Before that, %s failed it (%s) at %" JSON_INTEGER_FORMAT " ms.",
			       explain_text(l, "upstream"), explain_text(l, "what"),
			       explain_number(l, "ms"));
	}
}

/* Whether an upstream of the request was seen to leave. */
static void explain_context(const json_t *end, const json_t *context, bct_buf_t *out)
{
	static const char *const presences[] = { "", "ready", "draining", "lapsed", "gone" };
	size_t i;
	json_t *l;

	json_array_foreach(context, i, l)
	{
		json_int_t to = explain_number(l, "presence");

		if (explain_number(l, "event") == BCT_EV_UPSTREAM_PRESENCE && to >= 2 && to <= 4 &&
		    !strcmp(explain_text(l, "upstream"), explain_text(end, "upstream")))
			bct_buf_printf(out, " The node saw %s become %s.",
				       explain_text(l, "upstream"), presences[to]);
		if (explain_number(l, "event") == BCT_EV_REGISTRY_DOWN)
			bct_buf_puts(out, " The node had lost the registry.");
	}
	if (explain_number(end, "registry_age_ms") > STALE_MS)
		bct_buf_printf(out,
			       " What it knew of the registry was %" JSON_INTEGER_FORMAT " ms old.",
			       explain_number(end, "registry_age_ms"));
}

void explain_cause(const json_t *lines, const json_t *context, bct_buf_t *out)
{
	const json_t *end = end_of(lines);

	if (!end) {
		bct_buf_puts(out, "No line tells how it ended: it still runs, its node was killed, "
				  "or lines were left out (events 107 and 108).");
		explain_attempts(lines, out);
		return;
	}
	for (size_t i = 0; i < N_ENDINGS; i++) {
		if (!strcmp(endings[i].how, explain_text(end, "how")))
			endings[i].explain(end, out);
	}
	if (!out->len_bytes)
		bct_buf_printf(out, "It ended as %s.", explain_text(end, "how"));
	explain_attempts(lines, out);
	explain_context(end, context, out);
}
