/*
 * chutectl_diff.c - prints the difference between two documents by object and by key.
 */
#include "cmd/chutectl.h"

#include <stdio.h>
#include <string.h>

#define PATH_BYTES 256
#define VALUE_BYTES 96

/* Formats a value as compact JSON; one that does not fit is truncated and ends in "...". */
static void value_text(const json_t *v, char *out, size_t out_bytes)
{
	size_t n = v ? json_dumpb(v, out, out_bytes - 1,
				  JSON_ENCODE_ANY | JSON_COMPACT | JSON_SORT_KEYS)
		     : 0;

	if (!v)
		snprintf(out, out_bytes, "(none)");
	else if (n < out_bytes)
		out[n] = '\0';
	else
		snprintf(out + out_bytes - 4, 4, "...");
}

static void print_leaf(const char *path, const json_t *from, const json_t *to)
{
	char a[VALUE_BYTES], b[VALUE_BYTES];

	value_text(from, a, sizeof(a));
	value_text(to, b, sizeof(b));
	printf("    %s: %s -> %s\n", path, a, b);
}

/* Prints the keys that differ. Recursion depth is bounded by the nesting depth of the documents. */
static void print_keys(const char *path, const json_t *from, const json_t *to)
{
	char sub[PATH_BYTES];
	const char *key;
	json_t *v;

	if (!json_is_object(from) || !json_is_object(to)) {
		if (!json_equal(from, to))
			print_leaf(path, from, to);
		return;
	}
	json_object_foreach((json_t *)from, key, v)
	{
		snprintf(sub, sizeof(sub), "%s%s%s", path, path[0] ? "." : "", key);
		print_keys(sub, v, json_object_get(to, key));
	}
	json_object_foreach((json_t *)to, key, v)
	{
		if (json_object_get(from, key))
			continue;
		snprintf(sub, sizeof(sub), "%s%s%s", path, path[0] ? "." : "", key);
		print_leaf(sub, NULL, v);
	}
}

static json_t *parse_text(const char *text)
{
	return text ? json_loads(text, 0, NULL) : NULL;
}

/* Prints one object: "+" added, "-" removed, "~" changed. */
static void print_object(const bct_config_diff_t *d)
{
	json_t *from, *to;

	if (!d->old || !d->text) {
		printf("%c %s\n", d->old ? '-' : '+', d->path);
		return;
	}
	printf("~ %s\n", d->path);
	from = parse_text(d->old);
	to = parse_text(d->text);
	print_keys("", from, to);
	json_decref(from);
	json_decref(to);
}

void ctl_print_diff(const json_t *from, const json_t *to)
{
	bct_config_diff_t *diff = NULL;
	uint32_t n = 0, i;

	if (bct_config_diff(from, to, &diff, &n))
		return;
	for (i = 0; i < n; i++)
		print_object(&diff[i]);
	bct_config_diff_free(diff, n);
}

json_t *ctl_diff_json(const json_t *from, const json_t *to)
{
	json_t *list = json_array();
	bct_config_diff_t *diff = NULL;
	uint32_t n = 0, i;

	if (bct_config_diff(from, to, &diff, &n))
		return list;
	for (i = 0; i < n; i++)
		json_array_append_new(list, json_pack("{s:s, s:o?, s:o?}", "path", diff[i].path,
						      "from", parse_text(diff[i].old), "to",
						      parse_text(diff[i].text)));
	bct_config_diff_free(diff, n);
	return list;
}
