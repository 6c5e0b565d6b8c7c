/*
 * settings.c - checks and copies values by the generated table of settings.
 */
#include "base/settings.h"
#include "base/err.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static char *field_at(const bct_setting_desc_t *d, void *out)
{
	return (char *)out + d->offset;
}

static int set_u32(const bct_setting_desc_t *d, void *out, json_t *v, bct_json_err_t *err)
{
	json_int_t n;
	uint32_t value;

	if (!json_is_integer(v))
		return bct_json_fail(err, BCT_ETYPE, d->path, "must be an integer");
	n = json_integer_value(v);
	if (n < (json_int_t)d->min || n > (json_int_t)d->max)
		return bct_json_fail(err, BCT_ERANGE, d->path, "%lld is not within %u to %u",
				     (long long)n, d->min, d->max);
	value = (uint32_t)n;
	memcpy(field_at(d, out), &value, sizeof(value));
	return 0;
}

static int set_number(const bct_setting_desc_t *d, void *out, json_t *v, bct_json_err_t *err)
{
	double n = json_number_value(v);
	uint32_t value;

	if (!json_is_number(v))
		return bct_json_fail(err, BCT_ETYPE, d->path, "must be a number");
	if (!(n >= (double)d->min && n <= (double)d->max))
		return bct_json_fail(err, BCT_ERANGE, d->path, "%g is not within %u to %u", n,
				     d->min, d->max);
	value = (uint32_t)n;
	memcpy(field_at(d, out), &value, sizeof(value));
	return 0;
}

static int set_bool(const bct_setting_desc_t *d, void *out, json_t *v, bct_json_err_t *err)
{
	bool value = json_is_true(v);

	if (!json_is_boolean(v))
		return bct_json_fail(err, BCT_ETYPE, d->path, "must be true or false");
	memcpy(field_at(d, out), &value, sizeof(value));
	return 0;
}

/* to has room for d->size bytes. */
static int copy_string(const bct_setting_desc_t *d, char *to, json_t *v, bct_json_err_t *err)
{
	if (!json_is_string(v))
		return bct_json_fail(err, BCT_ETYPE, d->path, "must be a string");
	if (json_string_length(v) >= d->size)
		return bct_json_fail(err, BCT_ERANGE, d->path, "must be shorter than %u bytes",
				     d->size);
	if (strlen(json_string_value(v)) != json_string_length(v))
		return bct_json_fail(err, BCT_ERANGE, d->path, "must not contain a NUL byte");
	memcpy(to, json_string_value(v), json_string_length(v) + 1);
	return 0;
}

static int set_list(const bct_setting_desc_t *d, void *out, json_t *v, bct_json_err_t *err)
{
	uint32_t n = (uint32_t)json_array_size(v);
	uint32_t i;
	int rc;

	if (!json_is_array(v))
		return bct_json_fail(err, BCT_ETYPE, d->path, "must be a list of strings");
	if (n > d->max)
		return bct_json_fail(err, BCT_ERANGE, d->path,
				     "has %u entries, at most %u are allowed", n, d->max);
	for (i = 0; i < n; i++) {
		rc = copy_string(d, field_at(d, out) + (size_t)i * d->size, json_array_get(v, i),
				 err);
		if (rc)
			return rc;
	}
	memcpy((char *)out + d->count_offset, &n, sizeof(n));
	return 0;
}

static int set_value(const bct_setting_desc_t *d, void *out, json_t *v, bct_json_err_t *err)
{
	switch (d->type) {
	case BCT_SETTING_STRING:
		return copy_string(d, field_at(d, out), v, err);
	case BCT_SETTING_U32:
		return set_u32(d, out, v, err);
	case BCT_SETTING_NUMBER:
		return set_number(d, out, v, err);
	case BCT_SETTING_BOOL:
		return set_bool(d, out, v, err);
	case BCT_SETTING_LIST:
		return set_list(d, out, v, err);
	}
	return -BCT_EINVAL;
}

/* The default of a list is the empty list, which the zeroed struct already holds. */
static void set_default(const bct_setting_desc_t *d, void *out)
{
	uint32_t number;
	bool flag;

	if (!d->def || d->type == BCT_SETTING_LIST)
		return;
	switch (d->type) {
	case BCT_SETTING_U32:
	case BCT_SETTING_NUMBER:
		number = (uint32_t)strtoul(d->def, NULL, 10);
		memcpy(field_at(d, out), &number, sizeof(number));
		break;
	case BCT_SETTING_BOOL:
		flag = !strcmp(d->def, "true");
		memcpy(field_at(d, out), &flag, sizeof(flag));
		break;
	default:
		snprintf(field_at(d, out), d->size, "%s", d->def);
	}
}

static const bct_setting_desc_t *find_setting(const bct_setting_desc_t *desc, uint32_t n,
					      const char *path)
{
	for (uint32_t i = 0; i < n; i++) {
		if (!strcmp(desc[i].path, path))
			return &desc[i];
	}
	return NULL;
}

/* Whether any setting has a path "name.*". */
static bool is_group(const bct_setting_desc_t *desc, uint32_t n, const char *name)
{
	size_t len = strlen(name);

	for (uint32_t i = 0; i < n; i++) {
		if (!strncmp(desc[i].path, name, len) && desc[i].path[len] == '.')
			return true;
	}
	return false;
}

/* Checks and copies the keys of an object. prefix: "", or "group." for the object of a group. */
static int fill_object(const bct_setting_desc_t *desc, uint32_t n, json_t *obj, const char *prefix,
		       void *out, bct_json_err_t *err)
{
	char path[BCT_JSON_PATH_BYTES];
	const bct_setting_desc_t *d;
	const char *key;
	json_t *v;
	int rc;

	json_object_foreach(obj, key, v)
	{
		snprintf(path, sizeof(path), "%s%s", prefix, key);
		d = find_setting(desc, n, path);
		if (d) {
			rc = set_value(d, out, v, err);
		} else if (!prefix[0] && is_group(desc, n, key)) {
			if (!json_is_object(v))
				return bct_json_fail(err, BCT_ETYPE, path, "must be an object");
			snprintf(path, sizeof(path), "%s.", key);
			rc = fill_object(desc, n, v, path, out, err);
		} else {
			rc = bct_json_fail(err, BCT_EUNKNOWN_KEY, path,
					   "is not a known setting; see docs/SETTINGS.md");
		}
		if (rc)
			return rc;
	}
	return 0;
}

static bool is_present(json_t *doc, const char *path)
{
	char group[BCT_JSON_PATH_BYTES];
	const char *dot = strchr(path, '.');

	if (!dot)
		return json_object_get(doc, path) != NULL;
	snprintf(group, sizeof(group), "%.*s", (int)(dot - path), path);
	return json_object_get(json_object_get(doc, group), dot + 1) != NULL;
}

int bct_settings_fill(const bct_setting_desc_t *desc, uint32_t n, json_t *doc, void *out,
		      bct_json_err_t *err)
{
	int rc;

	if (!json_is_object(doc))
		return bct_json_fail(err, BCT_ETYPE, "(document)", "must be an object");
	for (uint32_t i = 0; i < n; i++)
		set_default(&desc[i], out);
	rc = fill_object(desc, n, doc, "", out, err);
	if (rc)
		return rc;
	for (uint32_t i = 0; i < n; i++) {
		if (desc[i].required && !is_present(doc, desc[i].path))
			return bct_json_fail(err, BCT_EMISSING_KEY, desc[i].path, "is required");
	}
	return 0;
}
