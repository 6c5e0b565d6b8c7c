/*
 * test_settings.c - settings of the deploy file: the template gives valid settings for every form
 * that the platform's values may take.
 */
#include "base/buf.h"
#include "base/err.h"
#include "base/json.h"
#include "gen/settings.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define TEMPLATE "deploy/settings.json"

/* A placeholder of the template and its value as text; NULL: the platform has none. */
typedef struct field {
	const char *name;
	const char *value;
} field_t;

static const char *value_of(const field_t *fields, const char *name, size_t len)
{
	for (; fields->name; fields++) {
		if (strlen(fields->name) == len && !memcmp(fields->name, name, len))
			return fields->value;
	}
	cr_assert_fail("the test has no field %.*s", (int)len, name);
	return NULL;
}

/* Appends a value; "{{name}}" gives the text as it is, "{{name|json}}" quotes it. */
static void put_value(bct_buf_t *out, const char *value, bool quoted)
{
	if (value)
		bct_buf_printf(out, quoted ? "\"%s\"" : "%s", value);
}

/* Returns what follows the end of the section, in which there may be others. */
static const char *after_section(const char *at, const char *name, size_t len)
{
	while ((at = strstr(at, "{{/")) != NULL) {
		at += 3;
		if (!strncmp(at, name, len) && !strncmp(at + len, "}}", 2))
			return at + len + 2;
	}
	cr_assert_fail("section %.*s has no end", (int)len, name);
	return NULL;
}

/*
 * Fills in the template as the platform does: "{{#name}} .. {{/name}}" is kept if there is a value,
 * which "{{.}}" stands for within.
 */
static void render(const char *at, const field_t *fields, bct_buf_t *out)
{
	const char *current = NULL, *open, *end;

	while ((open = strstr(at, "{{")) != NULL) {
		size_t len;

		bct_buf_put(out, at, (size_t)(open - at));
		end = strstr(open, "}}");
		at = end + 2;
		open += 2;
		len = strcspn(open, "|}");
		if (*open == '#') {
			current = value_of(fields, open + 1, len - 1);
			if (!current)
				at = after_section(at, open + 1, len - 1);
		} else if (*open == '.' && len == 1) {
			put_value(out, current, open[len] == '|');
		} else if (*open != '/' && *open != ',') {
			put_value(out, value_of(fields, open, len), open[len] == '|');
		}
	}
	bct_buf_puts(out, at);
}

static void load_all(const field_t *bounds, const char *control, bct_settings_t *s)
{
	const field_t fields[] = {
		{ "node_name", "front-a-1" },
		{ "zone", "a" },
		{ "region", "r" },
		{ "ip_address", "10.1.0.40" },
		{ "internal_port_range.0", "7340" },
		{ "internal_port_range.1", "7355" },
		{ "seed_nodes", "10.1.0.40:8229" },
		{ "platform.address", "10.200.1.7:8223" },
		{ "listen_addresses.front", "10.1.0.40:8227" },
		{ "listen_addresses.directory", "10.1.0.40:8224" },
		{ "listen_addresses.readiness", "10.1.0.40:8220" },
		{ "limits.memory_mb", "88" },
		{ "limits.file_descriptors", "4100.0" },
		{ "cloud_api.address", control },
		{ "cloud_api.duties", "usage" },
		{ "cloud_api.duty_per_s", "50.0" },
		{ "bounds.lease_ms", "3000" },
		{ "bounds.report_window_s", "5" },
		bounds[0],
		bounds[1],
		bounds[2],
		{ 0 },
	};
	char text[8192];
	FILE *f = fopen(TEMPLATE, "r");
	size_t n = f ? fread(text, 1, sizeof(text) - 1, f) : 0;
	bct_json_err_t err;
	bct_buf_t out;
	json_t *doc;
	int rc;

	cr_assert(f && n, "%s can't be read", TEMPLATE);
	fclose(f);
	text[n] = '\0';
	bct_buf_init(&out, 0);
	render(text, fields, &out);
	doc = bct_json_parse(out.data, out.len_bytes, sizeof(text) * 2, &err);
	cr_assert_not_null(doc, "%s\n%s", err.detail, out.data);
	memset(s, 0, sizeof(*s));
	rc = bct_settings_fill(bct_settings_table, BCT_SETTINGS_COUNT, doc, s, &err);
	cr_assert_eq(rc, 0, "%s %s\n%s", err.path, err.detail, out.data);
	json_decref(doc);
	bct_buf_free(&out);
}

static void load(const field_t *bounds, bct_settings_t *s)
{
	load_all(bounds, NULL, s);
}

/* Guards against duties where the platform has no control API, and against none where it has. */
Test(settings, duties_need_a_control_api)
{
	const field_t bounds[] = { { "bounds.grace_period_s", NULL },
				   { "bounds.budget_window_s", NULL },
				   { "bounds.budget_extra_retries", NULL } };
	bct_settings_t s;

	load_all(bounds, NULL, &s);
	cr_assert_str_empty(s.duty_address);
	cr_assert_eq(s.gate_memory_bytes, 88000000);
	load_all(bounds, "10.200.0.113:8424", &s);
	cr_assert_str_eq(s.duty_address, "10.200.0.113:8424");
	cr_assert_eq(s.n_duty_kinds, 1);
	cr_assert_eq(s.duty_lease_ms, 3000);
	cr_assert_eq(s.duty_window_ms, 5000);
	cr_assert_eq(s.duty_calls_per_s, 50);
}

Test(settings, bounds_may_be_whole_numbers)
{
	const field_t bounds[] = { { "bounds.grace_period_s", "8" },
				   { "bounds.budget_window_s", "10" },
				   { "bounds.budget_extra_retries", "54" } };
	bct_settings_t s;

	load(bounds, &s);
	cr_assert_eq(s.gate_grace_ms, 8000);
	cr_assert_eq(s.gate_budget_window_ms, 10000);
	cr_assert_eq(s.gate_budget_allowance, 54);
	cr_assert_eq(s.gate_share_port, 7355);
}

/* Rounded to the safe side: an earlier end, fewer retries. */
Test(settings, bounds_may_be_fractions)
{
	const field_t bounds[] = { { "bounds.grace_period_s", "8.5" },
				   { "bounds.budget_window_s", "7.25" },
				   { "bounds.budget_extra_retries", "53.9" } };
	bct_settings_t s;

	load(bounds, &s);
	cr_assert_eq(s.gate_grace_ms, 8500);
	cr_assert_eq(s.gate_budget_window_ms, 7250);
	cr_assert_eq(s.gate_budget_allowance, 53);
}

/* Bounds of rules that are not in force have no value: the defaults hold. */
Test(settings, bounds_may_be_absent)
{
	const field_t bounds[] = { { "bounds.grace_period_s", NULL },
				   { "bounds.budget_window_s", NULL },
				   { "bounds.budget_extra_retries", NULL } };
	bct_settings_t s;

	load(bounds, &s);
	cr_assert_eq(s.gate_grace_ms, 8000);
	cr_assert_eq(s.gate_budget_window_ms, 10000);
	cr_assert_eq(s.gate_budget_allowance, 20);
}

Test(settings, other_numbers_are_whole)
{
	bct_json_err_t err;
	bct_settings_t s = { 0 };
	json_t *doc = json_pack("{s:{s:f}}", "caller", "port", 80.5);

	cr_assert_eq(bct_settings_fill(bct_settings_table, BCT_SETTINGS_COUNT, doc, &s, &err),
		     -BCT_ETYPE);
	json_decref(doc);
	doc = json_pack("{s:{s:f}}", "gate", "budget_allowance", -1.0);
	cr_assert_eq(bct_settings_fill(bct_settings_table, BCT_SETTINGS_COUNT, doc, &s, &err),
		     -BCT_ERANGE);
	json_decref(doc);
}
