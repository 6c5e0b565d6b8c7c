/*
 * chutectl_status.c - one page, 80 columns wide: whether each class meets its target, what is
 * refused, which nodes or upstreams are unhealthy, and which revision is in force on each node
 * since when.
 *
 * Fields that the node does not report are treated as empty, so that nodes of an older or newer
 * version can be queried.
 */
#include "cmd/chutectl.h"
#include "base/clock.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define TARGET_PERCENT 95    /* share of a class's requests that should meet their target */
#define REPORT_STALE_MS 5000 /* age of an engine's load report */
#define SECONDS_PER_MINUTE 60
#define SECONDS_PER_HOUR 3600
#define AGE_BYTES 16
#define LOG_STALE_MS 10000 /* time without an answer of the log */
/* Members queried one by one, as only a node itself knows since when its revision is in force. */
#define MEMBERS_QUERIED_MAX 64
#define MEMBER_TIMEOUT_MS 500 /* of the query to one member */

static json_int_t number(const json_t *obj, const char *key)
{
	return json_integer_value(json_object_get(obj, key));
}

/* Returns a string member, or "-" without it. */
static const char *text(const json_t *obj, const char *key)
{
	const char *s = json_string_value(json_object_get(obj, key));

	return s ? s : "-";
}

static void age_text(bct_time_t ms, char out[AGE_BYTES])
{
	int64_t s = ms > 0 ? ms / BCT_MS_PER_S : 0;

	if (s < SECONDS_PER_MINUTE)
		snprintf(out, AGE_BYTES, "%" PRId64 "s", s);
	else if (s < SECONDS_PER_HOUR)
		snprintf(out, AGE_BYTES, "%" PRId64 "m", s / SECONDS_PER_MINUTE);
	else
		snprintf(out, AGE_BYTES, "%" PRId64 "h", s / SECONDS_PER_HOUR);
}

/* Formats the time since wall_ms; "-" if it is not known. */
static void since_text(json_int_t wall_ms, char out[AGE_BYTES])
{
	if (wall_ms <= 0)
		snprintf(out, AGE_BYTES, "-");
	else
		age_text(bct_clock_wall() - wall_ms, out);
}

static void print_config(const json_t *config)
{
	json_int_t stale_ms = number(config, "log_stale_ms");
	char age[AGE_BYTES];

	if (number(config, "revision") == 0) {
		printf("config   NONE: requests are refused until a revision is loaded\n");
		return;
	}
	since_text(number(config, "since_ms"), age);
	printf("config   revision %" JSON_INTEGER_FORMAT " in force since %s, from %s",
	       number(config, "revision"), age, text(config, "source"));
	age_text(stale_ms, age);
	if (stale_ms < 0)
		printf(", LOG NEVER ANSWERED");
	else if (stale_ms > LOG_STALE_MS)
		printf(", LOG DOWN for %s", age);
	putchar('\n');
	if (json_is_true(json_object_get(config, "diverged")))
		printf("         DIVERGED: this node's configuration differs from the log, see "
		       "event 202\n");
}

static void print_head(const json_t *status)
{
	char age[AGE_BYTES];

	since_text(number(status, "started_ms"), age);
	printf("vm       %.18s in %.18s, %.8s, %" JSON_INTEGER_FORMAT " in flight, up %s\n",
	       text(status, "vm"), text(status, "failure_domain"), text(status, "state"),
	       number(status, "in_flight"), age);
	print_config(json_object_get(status, "config"));
}

/* Returns the last complete statistics window, or the current one if that has no requests. */
static const json_t *select_window(const json_t *class)
{
	const json_t *last = json_object_get(class, "last");

	return number(last, "requests") > 0 ? last : json_object_get(class, "now");
}

/* Prints one class. Refused requests count as not having met the target. */
static void print_class(const json_t *class)
{
	const json_t *w = select_window(class);
	json_int_t requests = number(w, "requests"), met = number(w, "ttft_met");
	json_int_t percent = requests > 0 ? met * 100 / requests : 100;

	printf("%4" JSON_INTEGER_FORMAT "  %-20.20s %-18.18s %8" JSON_INTEGER_FORMAT
	       " %4" JSON_INTEGER_FORMAT "%% %8" JSON_INTEGER_FORMAT "  %s\n",
	       number(class, "tier"), text(class, "account"), text(class, "class"), requests,
	       percent, number(w, "refused"),
	       requests == 0		   ? "idle"
	       : percent >= TARGET_PERCENT ? "ok"
					   : "MISSED");
}

static void print_classes(const json_t *classes)
{
	const json_t *c;
	size_t i;
	json_int_t tier;

	printf("\ntier  %-20s %-18s %8s %5s %8s\n", "account", "class", "requests", "met",
	       "refused");
	for (tier = 1; tier <= BCT_TIERS; tier++) {
		json_array_foreach(classes, i, c)
		{
			if (number(c, "tier") == tier)
				print_class(c);
		}
	}
}

static void print_shedding(const json_t *list)
{
	const json_t *e;
	char age[AGE_BYTES];
	size_t i;

	json_array_foreach(list, i, e)
	{
		since_text(number(e, "since_ms"), age);
		printf("%s%.24s sheds tiers above %" JSON_INTEGER_FORMAT " since %s: %.20s\n",
		       i ? "" : "\nshedding\n", text(e, "target"), number(e, "level"), age,
		       text(e, "reason"));
	}
}

/* Queries the member itself for its configuration. Returns NULL if it is not alive or fails. */
static json_t *fetch_config(const ctl_t *ctl, const json_t *member)
{
	ctl_t other = *ctl;
	json_t *status = NULL, *config = NULL;

	if (strcmp(text(member, "state"), "alive"))
		return NULL;
	other.node = (char *)text(member, "admin");
	other.timeout_ms = MEMBER_TIMEOUT_MS;
	other.quiet = true;
	if (ctl_call(&other, "/admin/v1/status", NULL, &status) == CTL_OK)
		config = json_incref(json_object_get(status, "config"));
	json_decref(status);
	return config;
}

/*
 * Prints one member. If it was queried, its own answer is used for the revision: it is newer than
 * the gossiped one, and only it has the time since when the revision is in force.
 */
static void print_member(const ctl_t *ctl, const json_t *m, bool query)
{
	bool leaving = json_is_true(json_object_get(m, "leaving"));
	json_t *config = query ? fetch_config(ctl, m) : NULL;
	char age[AGE_BYTES];

	since_text(number(config, "since_ms"), age);
	printf("%-24.24s %-20.20s %-8.8s %8" JSON_INTEGER_FORMAT " %6s %6" JSON_INTEGER_FORMAT
	       "%%\n",
	       text(m, "name"), text(m, "failure_domain"), leaving ? "leaving" : text(m, "state"),
	       number(config ? config : m, "revision"), age, number(m, "load_permille") / 10);
	json_decref(config);
}

static void print_members(const ctl_t *ctl, const json_t *list)
{
	const json_t *m;
	size_t i;

	if (json_array_size(list) > 0)
		printf("\n%-24s %-20s %-8s %8s %6s %7s\n", "node", "failure domain", "state",
		       "revision", "since", "load");
	json_array_foreach(list, i, m)
	{
		print_member(ctl, m, i < MEMBERS_QUERIED_MAX);
	}
}

/* Returns why an engine is unhealthy, or NULL if it is healthy. */
static const char *unhealthy_reason(const json_t *e)
{
	json_int_t age_ms = number(e, "report_age_ms");

	if (json_object_get(e, "why"))
		return text(e, "why");
	if (json_is_true(json_object_get(e, "leaving")))
		return "leaving";
	if (age_ms < 0)
		return "no load report received";
	return age_ms > REPORT_STALE_MS ? "load report is stale" : NULL;
}

static void print_upstreams(const json_t *list)
{
	const json_t *e;
	size_t i, unhealthy = 0;

	json_array_foreach(list, i, e)
	{
		const char *why = unhealthy_reason(e);

		if (why)
			printf("%s%-32.32s %.44s\n", unhealthy++ ? "" : "\nunhealthy upstreams\n",
			       text(e, "name"), why);
	}
	if (json_is_array(list) && unhealthy == 0)
		printf("\nupstreams: %zu, all healthy\n", json_array_size(list));
}

ctl_exit_t ctl_status(ctl_t *ctl)
{
	json_t *status = NULL;
	ctl_exit_t code = ctl_call(ctl, "/admin/v1/status", NULL, &status);

	if (code != CTL_OK)
		return code;
	if (ctl->json) {
		ctl_print_json(status);
		return CTL_OK;
	}
	print_head(status);
	print_classes(json_object_get(status, "classes"));
	print_shedding(json_object_get(status, "shedding"));
	print_members(ctl, json_object_get(status, "members"));
	print_upstreams(json_object_get(status, "engines"));
	json_decref(status);
	return CTL_OK;
}
