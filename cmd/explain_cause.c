/*
 * explain_cause.c - one explanation for each way in which a gateway can end a request.
 */
#include "cmd/explain_cause.h"
#include "base/event.h"

#include <inttypes.h>
#include <string.h>

#define REGISTRY_STALE_MS 2000 /* older registry data is mentioned as a possible cause */

/* Explains requests that ended with this value in the "how" field of their last line. */
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
	bct_buf_printf(out, "It was completed by %s after %" JSON_INTEGER_FORMAT " ms",
		       explain_text(l, "upstream"), explain_number(l, "total_ms"));
	bct_buf_printf(out, ", in %" JSON_INTEGER_FORMAT " attempts.",
		       explain_number(l, "attempts"));
}

static void upstream_error(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out, "Upstream %s itself returned status %" JSON_INTEGER_FORMAT ".",
		       explain_text(l, "upstream"), explain_number(l, "status"));
}

static void caller_disconnected(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out, "The caller closed its connection after %" JSON_INTEGER_FORMAT " ms",
		       explain_number(l, "total_ms"));
	if (!explain_number(l, "attempts"))
		bct_buf_puts(out, ", before the request was sent to any upstream.");
	else if (explain_number(l, "first_byte_ms") < 0)
		bct_buf_printf(out,
			       ", before %s began to respond; the prediction was "
			       "%" JSON_INTEGER_FORMAT " ms of waiting and %" JSON_INTEGER_FORMAT
			       " ms of prefill.",
			       explain_text(l, "upstream"), explain_number(l, "predicted_wait_ms"),
			       explain_number(l, "predicted_work_ms"));
	else
		bct_buf_printf(out, ", during the response of %s.", explain_text(l, "upstream"));
}

static void not_ready(const json_t *l, bct_buf_t *out)
{
	(void)l;
	bct_buf_puts(out, "The node had no configuration yet: it had just started or had not "
			  "reached the registry (events 100, 610). The request did not run.");
}

static void no_route(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out,
		       "Version %" JSON_INTEGER_FORMAT
		       " of the configuration, in force on the node, has no route for the request.",
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
	bct_buf_puts(out, "No upstream of its service was accepting work: see the presence of the "
			  "service's upstreams (event 510). The request did not run.");
}

static void overload(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out,
		       "The fleet had no capacity: the best upstream had a predicted wait of "
		       "%" JSON_INTEGER_FORMAT " ms and prefill of %" JSON_INTEGER_FORMAT " ms",
		       explain_number(l, "predicted_wait_ms"),
		       explain_number(l, "predicted_work_ms"));
	bct_buf_printf(out,
		       ", against a limit of %" JSON_INTEGER_FORMAT
		       " ms (overload %" JSON_INTEGER_FORMAT " permille).",
		       explain_number(l, "first_byte_limit_ms"),
		       explain_number(l, "overload_permille"));
	if (explain_number(l, "ahead_permille"))
		bct_buf_printf(
			out,
			" Of the wait only work that is as urgent counts: %" JSON_INTEGER_FORMAT
			" permille.",
			explain_number(l, "ahead_permille"));
	if (explain_number(l, "predicted_output_ms"))
		bct_buf_printf(out,
			       " Its output was predicted to take %" JSON_INTEGER_FORMAT
			       " ms more; it is refused if it can't end before the deadline.",
			       explain_number(l, "predicted_output_ms"));
	bct_buf_puts(out, " It did not run.");
}

/* Events print numbers in hexadecimal as text. */
static bool is_zero(const char *hex)
{
	return hex[strspn(hex, "0")] == '\0';
}

static void poison(const json_t *l, bct_buf_t *out)
{
	const char *part = explain_text(l, "refused_part");

	if (is_zero(part))
		bct_buf_printf(out,
			       "Three upstreams failed while running the same request (events 414 "
			       "and 415 with digest %s), so it is refused for five minutes.",
			       explain_text(l, "digest"));
	else
		bct_buf_printf(out,
			       "Upstreams crashed under requests with the part %s of their prompt "
			       "(events 418 and 419), so requests with it are refused for five "
			       "minutes, or until one that is let through does no harm (420).",
			       part);
	bct_buf_puts(out, " This time it did not run.");
}

static void not_run(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out,
		       "No upstream ran it: attempts %" JSON_INTEGER_FORMAT ", failed connects "
		       "%" JSON_INTEGER_FORMAT " (event 412 states how each failed).",
		       explain_number(l, "attempts"), explain_number(l, "connects_failed"));
}

static void unknown_outcome(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out,
		       "It was sent to %s and the response was lost; it may have run. Its route "
		       "does not allow a retry, or no retry remained.",
		       explain_text(l, "upstream"));
}

static void timeout_waiting(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out,
		       "Its deadline passed after %" JSON_INTEGER_FORMAT
		       " ms, before any upstream accepted it; it did not run.",
		       explain_number(l, "total_ms"));
}

static void timeout_running(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out,
		       "Its deadline passed after %" JSON_INTEGER_FORMAT
		       " ms, before %s responded; the prediction was %" JSON_INTEGER_FORMAT " ms.",
		       explain_number(l, "total_ms"), explain_text(l, "upstream"),
		       explain_number(l, "predicted_wait_ms") +
			       explain_number(l, "predicted_work_ms"));
}

static void truncated(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out,
		       "The response of %s began after %" JSON_INTEGER_FORMAT
		       " ms and was truncated after %" JSON_INTEGER_FORMAT
		       " events and %" JSON_INTEGER_FORMAT " ms",
		       explain_text(l, "upstream"), explain_number(l, "first_byte_ms"),
		       explain_number(l, "events"), explain_number(l, "total_ms"));
	bct_buf_puts(out, explain_number(l, "status") == 504
				  ? ": the request's deadline passed."
				  : ": the connection to the upstream failed.");
}

static void stopping(const json_t *l, bct_buf_t *out)
{
	if (explain_number(l, "status") == 503) {
		bct_buf_puts(out,
			     "The node was shutting down, callers had been told to go elsewhere, "
			     "and the request might not have ended in time. It did not run.");
		return;
	}
	bct_buf_printf(out,
		       "The node was shutting down and its grace period ended while %s was still "
		       "processing it.",
		       *explain_text(l, "upstream") ? explain_text(l, "upstream") : "no upstream");
}

static void limited(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out,
		       "It was not run: the limits or pauses that %" JSON_INTEGER_FORMAT
		       " upstreams of its service had named allowed no request of this node",
		       explain_number(l, "limited"));
	if (explain_number(l, "limited_ms") == UINT32_MAX)
		bct_buf_puts(out, ", which sends no part of them (events 511 and 513).");
	else
		bct_buf_printf(out, " for %" JSON_INTEGER_FORMAT " ms more (events 511 and 513).",
			       explain_number(l, "limited_ms"));
}

static void origin_unknown(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(
		out,
		"It takes up the stream of %s, and neither this node nor those that it asked "
		"knew what software had begun it (event 424), while the service ran several "
		"versions in that time. It did not run; the stream can't be continued.",
		*explain_text(l, "resumes") ? explain_text(l, "resumes")
					    : "an attempt that it does not name");
}

static void release_gone(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(out,
		       "It takes up the stream of %s, which software %s had begun, and no upstream "
		       "with that version was accepting work (event 510). It did not run.",
		       explain_text(l, "resumes"),
		       *explain_text(l, "began_software") ? explain_text(l, "began_software")
							  : "that has left");
}

static void no_room(const json_t *l, bct_buf_t *out)
{
	(void)l;
	bct_buf_puts(out, "What the node buffered for slow callers and upstreams had no room for "
			  "more (event 428). It did not run.");
}

static void unread(const json_t *l, bct_buf_t *out)
{
	bct_buf_printf(
		out,
		"The response of %s ended early, as its caller did not read it: this node cut "
		"it to free memory (event 429), or the upstream did not wait any longer (event "
		"412 with unread).",
		explain_text(l, "upstream"));
}

static const ending_t endings[] = {
	{ "OK", ok },
	{ "UPSTREAM_ERROR", upstream_error },
	{ "CALLER_LEFT", caller_disconnected },
	{ "NOT_READY", not_ready },
	{ "NO_ROUTE", no_route },
	{ "BAD_KEY", bad_key },
	{ "NO_UPSTREAM", no_upstream },
	{ "LIMITED", limited },
	{ "OVERLOAD", overload },
	{ "POISON", poison },
	{ "ORIGIN_UNKNOWN", origin_unknown },
	{ "RELEASE_GONE", release_gone },
	{ "NOT_RUN", not_run },
	{ "UNKNOWN_OUTCOME", unknown_outcome },
	{ "TIMEOUT_WAITING", timeout_waiting },
	{ "TIMEOUT_RUNNING", timeout_running },
	{ "CUT", truncated },
	{ "MEMORY", no_room },
	{ "UNREAD", unread },
	{ "STOPPING", stopping },
};
#define N_ENDINGS (sizeof(endings) / sizeof(endings[0]))

/* Returns the last line that states how the request ended, or NULL. */
static const json_t *find_end(const json_t *lines)
{
	for (size_t i = json_array_size(lines); i; i--) {
		const json_t *l = json_array_get(lines, i - 1);

		if (*explain_text(l, "how"))
			return l;
	}
	return NULL;
}

/* Adds a sentence for each failed attempt. */
static void explain_attempts(const json_t *lines, bct_buf_t *out)
{
	size_t i;
	json_t *l;

	json_array_foreach(lines, i, l)
	{
		if (explain_number(l, "event") != BCT_EV_GATE_ATTEMPT_FAILED)
			continue;
		bct_buf_printf(out, " An attempt at %s failed (%s) at %" JSON_INTEGER_FORMAT " ms.",
			       explain_text(l, "upstream"), explain_text(l, "what"),
			       explain_number(l, "ms"));
	}
}

/* Adds the way of a request through another node: seen from the one that sent it on, and from it.
 */
static void explain_relays(const json_t *lines, bct_buf_t *out)
{
	size_t i;
	json_t *l;

	json_array_foreach(lines, i, l)
	{
		if (explain_number(l, "event") == BCT_EV_GATE_RELAYED)
			bct_buf_printf(
				out,
				" %s reached no upstream of its service (event 425) and sent "
				"it through %s.",
				explain_text(l, "vm"), explain_text(l, "helper"));
	}
}

/*
 * Adds what may have contributed: its upstream became unavailable, the registry was unreachable or
 * its data stale. The names are those of bct_gate_presence_t, by number.
 */
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
			bct_buf_printf(out, " The presence of %s changed to %s.",
				       explain_text(l, "upstream"), presences[to]);
		if (explain_number(l, "event") == BCT_EV_REGISTRY_DOWN)
			bct_buf_puts(out, " The node could not reach the registry.");
	}
	if (explain_number(end, "registry_age_ms") > REGISTRY_STALE_MS)
		bct_buf_printf(out, " Its registry data was %" JSON_INTEGER_FORMAT " ms old.",
			       explain_number(end, "registry_age_ms"));
}

void explain_cause(const json_t *lines, const json_t *context, bct_buf_t *out)
{
	const json_t *end = find_end(lines);

	if (!end) {
		bct_buf_puts(
			out,
			"No line states how it ended: it is still running, its node was killed, "
			"or log lines were dropped (events 107 and 108).");
		explain_attempts(lines, out);
		return;
	}
	for (size_t i = 0; i < N_ENDINGS; i++) {
		if (!strcmp(endings[i].how, explain_text(end, "how")))
			endings[i].explain(end, out);
	}
	if (!out->len_bytes)
		bct_buf_printf(out, "It ended with %s.", explain_text(end, "how"));
	explain_attempts(lines, out);
	explain_relays(lines, out);
	explain_context(end, context, out);
}
