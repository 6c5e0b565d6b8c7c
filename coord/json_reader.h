/*
 * json_reader.h - reads a JSON object into a struct, driven by a table of fields. Errors have a
 * code and name the path of the key and what is allowed there.
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
	BCT_JFIELD_ADDR,  /* char[BCT_ADDR_BYTES]: IPv4 or IPv6 address as text */
	BCT_JFIELD_OTHER, /* the key is allowed, but the caller reads the value */
} bct_jfield_type_t;

typedef struct bct_jfield {
	const char *key;
	bct_jfield_type_t type;
	size_t offset; /* of the member in the struct */
	int64_t min;   /* numbers only, inclusive, as is max */
	int64_t max;
	int64_t def; /* default of a number or a boolean */
	bool required;
} bct_jfield_t;

/*
 * Path of a value from the root of the document, as a linked list of stack variables. It is
 * formatted only when an error is reported.
 */
typedef struct bct_jpath {
	const struct bct_jpath *up; /* NULL at the root, whose key is "" */
	const char *key;
} bct_jpath_t;

/*
 * bct_jread_fail(3): set err to an error at the given key of the object at path.
 *
 * key      NULL when the error is at path itself
 * returns  -code
 */
int bct_jread_fail(bct_json_err_t *err, int code, const bct_jpath_t *path, const char *key,
		   const char *fmt, ...) __attribute__((format(printf, 5, 6)));

/*
 * bct_jread_object(3): check the keys of obj and store its values, or their defaults, in out.
 *
 * out      the struct that the offsets in fields refer to
 * returns  0, -BCT_ETYPE, -BCT_ERANGE, -BCT_EUNKNOWN_KEY or -BCT_EMISSING_KEY
 */
int bct_jread_object(const json_t *obj, const bct_jpath_t *path, const bct_jfield_t *fields,
		     size_t n, void *out, bct_json_err_t *err);

/*
 * bct_jread_name(3): check that value is a string with a valid name and copy it.
 *
 * out      at least BCT_NAME_BYTES
 * returns  0, -BCT_ETYPE or -BCT_ERANGE
 */
int bct_jread_name(const json_t *value, const bct_jpath_t *path, const char *key, char *out,
		   bct_json_err_t *err);

/* bct_jread_check_name(3): check a name that is the key of an object. returns 0 or -BCT_ERANGE. */
int bct_jread_check_name(const char *name, const bct_jpath_t *path, bct_json_err_t *err);

#endif
