/*
 * chutectl_duties.c - shows who holds the duties of a fleet of gateways, the last window of usage
 * that was reported, and the engines wanted and present, from the metrics page of one gateway.
 */
#include "cmd/chutectl.h"
#include "cmd/duty_page.h"

#include <stdio.h>

static json_int_t number(const json_t *obj, const char *key)
{
	return json_integer_value(json_object_get(obj, key));
}

static const char *text(const json_t *obj, const char *key)
{
	const char *s = json_string_value(json_object_get(obj, key));

	return s ? s : "-";
}

static void print_holder(const json_t *d)
{
	if (json_object_get(d, "holder"))
		printf("holder   %.40s (%s)\n", text(d, "holder"), text(d, "incarnation"));
	else if (json_object_get(d, "fencing_token"))
		printf("holder   none: the lease was released\n");
	else
		printf("holder   not known to this node, ask another\n");
	if (json_object_get(d, "fencing_token"))
		printf("record   fencing token %" JSON_INTEGER_FORMAT
		       ", known here for %" JSON_INTEGER_FORMAT " ms\n",
		       number(d, "fencing_token"), number(d, "record_age_ms"));
}

static void print_engines(const json_t *list)
{
	const json_t *e;
	size_t i;

	json_array_foreach(list, i, e)
	{
		if (!i)
			printf("\n%-28s %-24s %-8s %6s %7s\n", "service", "failure domain", "kind",
			       "wanted", "present");
		printf("%-28.28s %-24.24s %-8.8s %6" JSON_INTEGER_FORMAT " %7" JSON_INTEGER_FORMAT
		       "\n",
		       text(e, "service"), text(e, "failure_domain"), text(e, "kind"),
		       number(e, "wanted"), number(e, "present"));
	}
}

static void print_duties(const json_t *d)
{
	print_holder(d);
	if (!number(d, "held")) {
		printf("Windows and engines are shown by the holder only.\n");
		return;
	}
	printf("windows  %" JSON_INTEGER_FORMAT " decided, %" JSON_INTEGER_FORMAT
	       " reported last by this holder, %" JSON_INTEGER_FORMAT " waiting\n",
	       number(d, "window_decided"), number(d, "window_reported"),
	       number(d, "reports_waiting"));
	print_engines(json_object_get(d, "engines"));
}

ctl_exit_t ctl_duties(ctl_t *ctl)
{
	bct_buf_t page;
	json_t *duties = NULL;
	ctl_exit_t code;

	bct_buf_init(&page, CTL_RESPONSE_MAX_BYTES);
	code = ctl_fetch_metrics(ctl, &page);
	if (code == CTL_OK && !bct_buf_puts(&page, "\n"))
		duties = duty_page_parse(page.data);
	if (code == CTL_OK && !duties)
		code = ctl_fail(ctl, CTL_REFUSED, "%s has no duties", ctl->node);
	bct_buf_free(&page);
	if (!duties)
		return code;
	if (ctl->json) {
		ctl_print_json(duties);
		return CTL_OK;
	}
	print_duties(duties);
	json_decref(duties);
	return CTL_OK;
}
