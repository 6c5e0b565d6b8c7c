/*
 * json_reader.c - table-driven reading of JSON objects into structs.
 */
#include "coord/json_reader.h"
#include "base/err.h"
#include "policy/conf.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define DETAIL_BYTES 256
#define NAME_CHARS "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"
#define PATH_DEPTH 8 /* of a longer path only the innermost keys are printed */

/* Formats path and key as "a.b.key". */
static void print_path(const bct_jpath_t *path, const char *key, char *out, size_t out_bytes)
{
	const char *keys[PATH_DEPTH];
	size_t n = 0, at = 0;

	if (key)
		keys[n++] = key;
	for (; path && path->up && n < PATH_DEPTH; path = path->up)
		keys[n++] = path->key;
	out[0] = '\0';
	while (n > 0 && at < out_bytes) {
		n--;
		at += (size_t)snprintf(out + at, out_bytes - at, "%s%s", at ? "." : "", keys[n]);
	}
}

int bct_jread_fail(bct_json_err_t *err, int code, const bct_jpath_t *path, const char *key,
		   const char *fmt, ...)
{
	char detail[DETAIL_BYTES], where[BCT_JSON_PATH_BYTES];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(detail, sizeof(detail), fmt, ap);
	va_end(ap);
	print_path(path, key, where, sizeof(where));
	return bct_json_fail(err, code, where, "%s", detail);
}

static const char *type_name(const json_t *v)
{
	static const char *const names[] = { "an object",     "a list",	       "a string",
					     "an integer",    "a real number", "true or false",
					     "true or false", "null" };

	return v ? names[json_typeof(v)] : "nothing";
}

static int wrong_type(const json_t *v, const bct_jpath_t *path, const char *key,
		      const char *allowed, bct_json_err_t *err)
{
	return bct_jread_fail(err, BCT_ETYPE, path, key, "got %s; allowed: %s", type_name(v),
			      allowed);
}

static bool is_name(const char *s)
{
	size_t len = strlen(s);

	return len > 0 && len < BCT_NAME_BYTES && strspn(s, NAME_CHARS) == len;
}

static int bad_name(const bct_jpath_t *path, const char *key, bct_json_err_t *err)
{
	return bct_jread_fail(err, BCT_ERANGE, path, key,
			      "not a valid name; allowed: 1 to %d letters, digits, '.', '_' or '-'",
			      BCT_NAME_BYTES - 1);
}

int bct_jread_check_name(const char *name, const bct_jpath_t *path, bct_json_err_t *err)
{
	return is_name(name) ? 0 : bad_name(path, name, err);
}

int bct_jread_name(const json_t *value, const bct_jpath_t *path, const char *key, char *out,
		   bct_json_err_t *err)
{
	if (!json_is_string(value))
		return wrong_type(value, path, key, "a string", err);
	if (!is_name(json_string_value(value)))
		return bad_name(path, key, err);
	memcpy(out, json_string_value(value), json_string_length(value) + 1);
	return 0;
}

static int read_address(const json_t *value, const bct_jpath_t *path, const char *key, char *out,
			bct_json_err_t *err)
{
	struct in6_addr addr;
	const char *s = json_string_value(value);

	if (!s)
		return wrong_type(value, path, key, "a string", err);
	if (strlen(s) >= BCT_ADDR_BYTES ||
	    (inet_pton(AF_INET, s, &addr) != 1 && inet_pton(AF_INET6, s, &addr) != 1))
		return bct_jread_fail(err, BCT_ERANGE, path, key,
				      "not a valid address; allowed: an IPv4 or IPv6 address");
	memcpy(out, s, strlen(s) + 1);
	return 0;
}

/* Stores x in the member that f describes; members of other types are not changed. */
static void store_number(const bct_jfield_t *f, int64_t x, void *out)
{
	char *at = (char *)out + f->offset;

	switch (f->type) {
	case BCT_JFIELD_U8:
		*(uint8_t *)at = (uint8_t)x;
		break;
	case BCT_JFIELD_U16:
		memcpy(at, &(uint16_t){ (uint16_t)x }, sizeof(uint16_t));
		break;
	case BCT_JFIELD_U32:
		memcpy(at, &(uint32_t){ (uint32_t)x }, sizeof(uint32_t));
		break;
	case BCT_JFIELD_BOOL:
		*(bool *)at = x != 0;
		break;
	default:
		break;
	}
}

static int read_number(const json_t *value, const bct_jpath_t *path, const bct_jfield_t *f,
		       void *out, bct_json_err_t *err)
{
	int64_t x = json_integer_value(value);

	if (!json_is_integer(value))
		return wrong_type(value, path, f->key, "an integer", err);
	if (x < f->min || x > f->max)
		return bct_jread_fail(err, BCT_ERANGE, path, f->key,
				      "got %" PRId64 "; allowed: %" PRId64 " to %" PRId64, x,
				      f->min, f->max);
	store_number(f, x, out);
	return 0;
}

static int read_field(const json_t *value, const bct_jpath_t *path, const bct_jfield_t *f,
		      void *out, bct_json_err_t *err)
{
	char *at = (char *)out + f->offset;

	switch (f->type) {
	case BCT_JFIELD_NAME:
		return bct_jread_name(value, path, f->key, at, err);
	case BCT_JFIELD_ADDR:
		return read_address(value, path, f->key, at, err);
	case BCT_JFIELD_BOOL:
		if (!json_is_boolean(value))
			return wrong_type(value, path, f->key, "true or false", err);
		store_number(f, json_is_true(value), out);
		return 0;
	case BCT_JFIELD_OTHER:
		return 0;
	default:
		return read_number(value, path, f, out, err);
	}
}

/* Formats the keys of a table as a list separated by commas, for error messages. */
static void join_keys(const bct_jfield_t *fields, size_t n, char *out, size_t out_bytes)
{
	size_t at = 0, i;

	out[0] = '\0';
	for (i = 0; i < n && at < out_bytes; i++)
		at += (size_t)snprintf(out + at, out_bytes - at, "%s%s", i ? ", " : "",
				       fields[i].key);
}

/* Fails for the first key of obj that is not in the table. */
static int check_keys(const json_t *obj, const bct_jpath_t *path, const bct_jfield_t *fields,
		      size_t n, bct_json_err_t *err)
{
	char allowed[DETAIL_BYTES - 32];
	const char *key;
	json_t *value;
	size_t i;

	/* The macro of jansson does not modify the object, but takes no pointer to const. */
	json_object_foreach((json_t *)obj, key, value)
	{
		for (i = 0; i < n && strcmp(fields[i].key, key); i++)
			;
		if (i < n)
			continue;
		join_keys(fields, n, allowed, sizeof(allowed));
		return bct_jread_fail(err, BCT_EUNKNOWN_KEY, path, key, "allowed: %s", allowed);
	}
	return 0;
}

int bct_jread_object(const json_t *obj, const bct_jpath_t *path, const bct_jfield_t *fields,
		     size_t n, void *out, bct_json_err_t *err)
{
	size_t i;
	int rc;

	if (!json_is_object(obj))
		return wrong_type(obj, path, NULL, "an object", err);
	rc = check_keys(obj, path, fields, n, err);
	for (i = 0; i < n && !rc; i++) {
		const json_t *value = json_object_get(obj, fields[i].key);

		if (value)
			rc = read_field(value, path, &fields[i], out, err);
		else if (fields[i].required)
			rc = bct_jread_fail(err, BCT_EMISSING_KEY, path, fields[i].key,
					    "required key is missing");
		else
			store_number(&fields[i], fields[i].def, out);
	}
	return rc;
}
