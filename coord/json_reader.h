/*
 * json_reader.h - reads a JSON object into a struct by a table of fields, with typed errors that
 * name the path of the key and what is allowed there.
 */
#ifndef BCT_COORD_JSON_READER_H
#define BCT_COORD_JSON_READER_H

#include "base/json.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum bct_jfield_type {
	BCT_JFIELD_U8 = 1,
	BCT_JFIELD_U16,
	BCT_JFIELD_U32,
	BCT_JFIELD_BOOL,
	BCT_JFIELD_NAME,  /* char[BCT_NAME_BYTES]: letters, digits, '.', '_', '-' */
	BCT_JFIELD_ADDR,  /* char[BCT_ADDR_BYTES]: IPv4 or IPv6 number */
	BCT_JFIELD_OTHER, /* only known to be allowed; the caller reads it */
} bct_jfield_type_t;

typedef struct bct_jfield {
	const char *key;
	bct_jfield_type_t type;
	size_t offset;
	int64_t min;
	int64_t max;
	int64_t def;
	bool required;
} bct_jfield_t;

/* The way to a value, kept on the stack; printed only on failure. */
typedef struct bct_jpath {
	const struct bct_jpath *up; /* NULL at the root, whose key is "" */
	const char *key;
} bct_jpath_t;

/*
 * bct_jread_fail(3): fill err with a fault at key below path.
 *
 * key      NULL: the fault is of path itself
 * returns  the negative of code
 */
int bct_jread_fail(bct_json_err_t *err, int code, const bct_jpath_t *path, const char *key,
		   const char *fmt, ...) __attribute__((format(printf, 5, 6)));

/*
 * bct_jread_object(3): check the keys of obj and store its values and the defaults in out.
 *
 * returns  0, -BCT_ETYPE, -BCT_ERANGE, -BCT_EUNKNOWN_KEY, -BCT_EMISSING_KEY
 */
int bct_jread_object(const json_t *obj, const bct_jpath_t *path, const bct_jfield_t *fields,
		     size_t n, void *out, bct_json_err_t *err);

/* bct_jread_name(3): a string that is a valid name. returns 0, -BCT_ETYPE or -BCT_ERANGE. */
int bct_jread_name(const json_t *value, const bct_jpath_t *path, const char *key, char *out,
		   bct_json_err_t *err);

/* bct_jread_check_name(3): the same for the key of an object. */
int bct_jread_check_name(const char *name, const bct_jpath_t *path, bct_json_err_t *err);

#endif
