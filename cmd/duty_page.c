/*
 * duty_page.c - see duty_page.h.
 */
#include "cmd/duty_page.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define PREFIX "bct_duty_"
#define TOTAL "_total"

/* Splits NAME="VALUE",... into members of obj. Values contain no escaped characters. */
static void add_labels(char *labels, json_t *obj)
{
	char *key = labels;

	while (*key) {
		char *value = strstr(key, "=\""), *end = value ? strchr(value + 2, '"') : NULL;

		if (!end)
			return;
		*value = '\0';
		*end = '\0';
		json_object_set_new(obj, key, json_string(value + 2));
		key = end + 1 + (end[1] == ',');
	}
}

static bool same_target(const json_t *a, const json_t *b)
{
	static const char *const keys[] = { "service", "failure_domain", "kind" };

	for (size_t i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
		if (!json_equal(json_object_get(a, keys[i]), json_object_get(b, keys[i])))
			return false;
	}
	return true;
}

/* Sets wanted or present of one kind of engines in one failure domain. */
static void add_engines(json_t *list, const char *which, json_t *labels, json_int_t n)
{
	json_t *e;
	size_t i;

	json_array_foreach(list, i, e)
	{
		if (!same_target(e, labels))
			continue;
		json_object_set_new(e, which, json_integer(n));
		return;
	}
	json_object_set_new(labels, which, json_integer(n));
	json_array_append(list, labels);
}

static void add_metric(json_t *out, const char *name, json_t *labels, json_int_t n)
{
	const char *which = strncmp(name, "engines_", 8) ? NULL : name + 8;

	if (which)
		add_engines(json_object_get(out, "engines"), which, labels, n);
	else if (!strcmp(name, "holder") && n) {
		json_object_set(out, "holder", json_object_get(labels, "name"));
		json_object_set(out, "incarnation", json_object_get(labels, "incarnation"));
	} else if (strcmp(name, "holder"))
		json_object_set_new(out, name, json_integer(n));
}

/* line  NAME VALUE or NAME{LABELS} VALUE, without PREFIX */
static void add_line(json_t *out, char *line)
{
	size_t len = strcspn(line, "{ ");
	bool labelled = line[len] == '{';
	char *end = line + len + (labelled ? strcspn(line + len, "}") : 0);
	json_t *labels;

	if (!*end ||
	    (len > strlen(TOTAL) && !strncmp(line + len - strlen(TOTAL), TOTAL, strlen(TOTAL))))
		return;
	line[len] = '\0';
	*end = '\0';
	labels = json_object();
	if (labelled)
		add_labels(line + len + 1, labels);
	add_metric(out, line, labels, (json_int_t)strtoll(end + 1, NULL, 10));
	json_decref(labels);
}

json_t *duty_page_parse(char *page)
{
	json_t *out = json_pack("{s:[]}", "engines");
	char *rest = NULL;

	for (char *l = strtok_r(page, "\r\n", &rest); l; l = strtok_r(NULL, "\r\n", &rest)) {
		if (!strncmp(l, PREFIX, strlen(PREFIX)))
			add_line(out, l + strlen(PREFIX));
	}
	if (json_object_get(out, "held"))
		return out;
	json_decref(out);
	return NULL;
}
