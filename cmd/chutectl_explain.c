/*
 * chutectl_explain.c - prints the log lines of a request from the logs of several nodes, events of
 * its nodes and upstreams around it, and the cause of its outcome; likewise of a window of usage,
 * of a service that is scaled, or of an engine.
 */
#include "cmd/chutectl.h"
#include "cmd/explain_cause.h"
#include "cmd/explain_duty.h"
#include "base/err.h"
#include "base/event.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONTEXT_BEFORE_MS 3000 /* context shown before the request's first line */
#define CONTEXT_AFTER_MS 1000  /* context shown after its last line */
#define CONTEXT_MAX 200000     /* limit on context lines held in memory */

typedef struct search {
	const char *id;
	json_t *lines;	 /* of the request */
	json_t *context; /* about nodes, routes, registry and upstreams */
	json_t *duties;	 /* that explain_duty_needs(3) */
	uint64_t lines_read;
	uint64_t unreadable; /* lines with a "{" but no valid JSON object */
	uint64_t left_out;   /* lines of context or duties dropped at CONTEXT_MAX */
} search_t;

/* Whether events of this number concern one upstream. */
static bool is_of_upstream(json_int_t event)
{
	switch (event) {
	case BCT_EV_UPSTREAM_PRESENCE:
	case BCT_EV_UPSTREAM_LEAVING:
	case BCT_EV_UPSTREAM_LIMIT:
	case BCT_EV_UPSTREAM_PAUSED:
		return true;
	default:
		return false;
	}
}

/* Whether events of this number are shown as context of a request. */
static bool is_context(json_int_t event)
{
	switch (event) {
	case BCT_EV_NODE_START:
	case BCT_EV_NODE_STOPPING:
	case BCT_EV_NODE_STOPPED:
	case BCT_EV_ROUTES_ADOPTED:
	case BCT_EV_ROUTES_REFUSED:
	case BCT_EV_MEMBER_SUSPECT:
	case BCT_EV_MEMBER_DEAD:
	case BCT_EV_REACH_LOST:
	case BCT_EV_REACH_BACK:
	case BCT_EV_REGISTRY_DOWN:
	case BCT_EV_REGISTRY_UP:
	case BCT_EV_REGISTRY_ERA:
	case BCT_EV_UPSTREAMS_READY:
		return true;
	default:
		return is_of_upstream(event);
	}
}

static void add_bounded(search_t *s, json_t *array, json_t *line)
{
	if (json_array_size(array) < CONTEXT_MAX)
		json_array_append(array, line);
	else
		s->left_out++;
}

static void add_line(search_t *s, json_t *line)
{
	json_int_t event = explain_number(line, "event");

	if (!strcmp(explain_text(line, "request"), s->id)) {
		json_array_append(s->lines, line);
		return;
	}
	if (is_context(event))
		add_bounded(s, s->context, line);
	if (explain_duty_needs(event))
		add_bounded(s, s->duties, line);
}

/*
 * Parses the JSON object of a log line. Text before it is skipped: a log collector may add its own
 * timestamp or the node's name.
 */
static void parse_line(search_t *s, const char *raw)
{
	const char *object = strchr(raw, '{');
	json_t *line;

	s->lines_read++;
	if (!object)
		return;
	line = json_loads(object, JSON_DISABLE_EOF_CHECK, NULL);
	if (!json_is_object(line))
		s->unreadable++;
	else
		add_line(s, line);
	json_decref(line);
}

static void read_stream(search_t *s, FILE *f)
{
	char *line = NULL;
	size_t size = 0;

	while (getline(&line, &size, f) >= 0)
		parse_line(s, line);
	free(line);
}

static ctl_exit_t read_logs(const ctl_t *ctl, search_t *s)
{
	if (ctl->n_args == 1)
		read_stream(s, stdin);
	for (int i = 1; i < ctl->n_args; i++) {
		FILE *f = fopen(ctl->args[i], "r");

		if (!f)
			return ctl_fail(ctl, CTL_INVALID, "%s: %s", ctl->args[i], strerror(errno));
		read_stream(s, f);
		fclose(f);
	}
	return CTL_OK;
}

static int compare_time(const void *a, const void *b)
{
	const json_t *const *x = a, *const *y = b;
	json_int_t s = explain_number(*x, "time_ms"), t = explain_number(*y, "time_ms");

	return (s > t) - (s < t);
}

/* Returns a new array with the lines in order of time. */
static json_t *sort_by_time(const json_t *lines)
{
	size_t n = json_array_size(lines);
	json_t **all = calloc(n + 1, sizeof(json_t *)), *out = json_array();

	for (size_t i = 0; all && i < n; i++)
		all[i] = json_array_get(lines, i);
	if (all)
		qsort(all, n, sizeof(json_t *), compare_time);
	for (size_t i = 0; all && i < n; i++)
		json_array_append(out, all[i]);
	free(all);
	return out;
}

/* Whether one of the request's lines refers to the upstream. */
static bool names_upstream(const json_t *lines, const char *upstream)
{
	size_t i;
	json_t *l;

	json_array_foreach(lines, i, l)
	{
		if (!strcmp(explain_text(l, "upstream"), upstream) ||
		    !strcmp(explain_text(l, "copied_from"), upstream))
			return true;
	}
	return false;
}

/* Whether one of the request's lines refers to an upstream in a list of ids. */
static bool names_one_of(const json_t *lines, const char *list)
{
	size_t i;
	json_t *l;

	json_array_foreach(lines, i, l)
	{
		const char *id = explain_text(l, "upstream");

		if (*id && strstr(list, id))
			return true;
	}
	return false;
}

/* Whether the request was refused because of what upstreams had stated about themselves. */
static bool was_limited(const json_t *lines)
{
	size_t i;
	json_t *l;

	json_array_foreach(lines, i, l)
	{
		if (!strcmp(explain_text(l, "how"), "LIMITED"))
			return true;
	}
	return false;
}

static bool names_vm(const json_t *lines, const char *vm)
{
	size_t i;
	json_t *l;

	json_array_foreach(lines, i, l)
	{
		if (!strcmp(explain_text(l, "vm"), vm))
			return true;
	}
	return false;
}

/*
 * Selects the context lines of the VMs that logged the request, from CONTEXT_BEFORE_MS before its
 * first line to CONTEXT_AFTER_MS after its last. Of the upstreams, only those of the request are
 * shown, or all if their limits or pauses are why it was refused.
 */
static json_t *select_context(const search_t *s, const json_t *lines)
{
	json_int_t from = explain_number(json_array_get(lines, 0), "time_ms") - CONTEXT_BEFORE_MS;
	json_int_t to =
		explain_number(json_array_get(lines, json_array_size(lines) - 1), "time_ms");
	bool limited = was_limited(lines);
	json_t *near = json_array(), *out, *l;
	size_t i;

	json_array_foreach(s->context, i, l)
	{
		json_int_t at = explain_number(l, "time_ms");

		if (at < from || at > to + CONTEXT_AFTER_MS ||
		    !names_vm(lines, explain_text(l, "vm")))
			continue;
		if (is_of_upstream(explain_number(l, "event")) && !limited &&
		    !names_upstream(lines, explain_text(l, "upstream")))
			continue;
		if (explain_number(l, "event") == BCT_EV_UPSTREAMS_READY &&
		    !names_one_of(lines, explain_text(l, "upstreams")))
			continue;
		json_array_append(near, l);
	}
	out = sort_by_time(near);
	json_decref(near);
	return out;
}

/* Fields that every line has or that are printed at its start. */
static bool is_common_field(const char *key)
{
	static const char *const keys[] = { "time_ms", "vm", "level", "event", "name", "request" };

	for (size_t i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
		if (!strcmp(keys[i], key))
			return true;
	}
	return false;
}

static void print_line(json_t *line)
{
	char at[CTL_TIME_BYTES];
	json_int_t ms = explain_number(line, "time_ms");
	const char *key;
	json_t *v;

	ctl_wall_text(ms, at);
	at[strlen(at) - 1] = '\0';
	printf("%s.%03dZ %s %s", at, (int)(ms % BCT_MS_PER_S), explain_text(line, "vm"),
	       explain_text(line, "name"));
	json_object_foreach(line, key, v)
	{
		if (is_common_field(key))
			continue;
		printf(" %s=", key);
		if (json_is_string(v))
			fputs(json_string_value(v), stdout);
		else
			json_dumpf(v, stdout, JSON_ENCODE_ANY);
	}
	putchar('\n');
}

static void print_lines(const char *title, const json_t *lines)
{
	size_t i;
	json_t *l;

	if (!json_array_size(lines))
		return;
	printf("%s\n", title);
	json_array_foreach(lines, i, l)
	{
		print_line(l);
	}
	putchar('\n');
}

/* lines of a request, or of what is explained otherwise */
static void print_result(const ctl_t *ctl, const search_t *s, json_t *lines, json_t *context,
			 const bct_buf_t *cause)
{
	bool request = json_array_size(s->lines) > 0;

	if (ctl->json) {
		ctl_print_json(
			json_pack("{s:s, s:O, s:O, s:s, s:I, s:I, s:I}", request ? "request" : "id",
				  s->id, "lines", lines, "context", context, "cause", cause->data,
				  "read", (json_int_t)s->lines_read, "unreadable",
				  (json_int_t)s->unreadable, "left_out", (json_int_t)s->left_out));
		return;
	}
	print_lines(request ? "lines of the request:" : "lines about it:", lines);
	print_lines(request ? "context on its nodes:" : "meanwhile:", context);
	printf("cause: %s\n", cause->data);
	if (s->unreadable || s->left_out)
		printf("unreadable lines: %llu, context lines left out: %llu\n",
		       (unsigned long long)s->unreadable, (unsigned long long)s->left_out);
}

static void explain_request(const ctl_t *ctl, const search_t *s)
{
	json_t *lines = sort_by_time(s->lines), *context = select_context(s, lines);
	bct_buf_t cause;

	bct_buf_init(&cause, 0);
	explain_cause(lines, context, &cause);
	print_result(ctl, s, lines, context, &cause);
	bct_buf_free(&cause);
	json_decref(lines);
	json_decref(context);
}

/* Returns false if the id is not that of a window, a service or an engine in the logs. */
static bool explain_other(const ctl_t *ctl, const search_t *s)
{
	json_t *all = sort_by_time(s->duties), *lines = json_array(), *context = json_array();
	bct_buf_t cause;
	bool found;

	bct_buf_init(&cause, 0);
	found = explain_duty(s->id, all, lines, context, &cause);
	if (found)
		print_result(ctl, s, lines, context, &cause);
	bct_buf_free(&cause);
	json_decref(all);
	json_decref(lines);
	json_decref(context);
	return found;
}

static ctl_exit_t explain(const ctl_t *ctl, search_t *s)
{
	ctl_exit_t code = read_logs(ctl, s);

	if (code != CTL_OK)
		return code;
	if (json_array_size(s->lines))
		explain_request(ctl, s);
	else if (!explain_other(ctl, s))
		return ctl_fail(ctl, CTL_REFUSED, "%s not found in %llu log lines", s->id,
				(unsigned long long)s->lines_read);
	return CTL_OK;
}

ctl_exit_t ctl_explain(ctl_t *ctl)
{
	search_t s = { .id = ctl->args[0],
		       .lines = json_array(),
		       .context = json_array(),
		       .duties = json_array() };
	ctl_exit_t code = explain(ctl, &s);

	json_decref(s.lines);
	json_decref(s.context);
	json_decref(s.duties);
	return code;
}
