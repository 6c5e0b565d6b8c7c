/*
 * settings.h - validates a settings document against the table that is generated from
 * schema/settings.json, and fills the generated struct.
 */
#ifndef BCT_BASE_SETTINGS_H
#define BCT_BASE_SETTINGS_H

#include "base/json.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum bct_setting_type {
	BCT_SETTING_STRING = 1, /* char[size] */
	BCT_SETTING_U32,
	BCT_SETTING_NUMBER, /* a fraction is allowed; rounded down to uint32_t */
	BCT_SETTING_BOOL,
	BCT_SETTING_LIST, /* char[max][size], and a uint32_t count of entries at count_offset */
} bct_setting_type_t;

typedef struct bct_setting_desc {
	const char *path; /* "group.name" or "name" */
	bct_setting_type_t type;
	size_t offset;	     /* of the value in the struct */
	size_t count_offset; /* LIST only */
	uint32_t size;	     /* bytes of a string with its NUL */
	uint32_t min;	     /* U32, NUMBER: smallest value */
	uint32_t max;	     /* U32, NUMBER: largest value; LIST: most entries */
	bool required;
	const char *def; /* default as text; NULL: none (required, or a list) */
} bct_setting_desc_t;

/*
 * bct_settings_fill(3): validate a parsed document and fill the struct.
 *
 * desc     table of n settings
 * doc      an object with at most one level of groups
 * out      the generated struct, zeroed by the caller; gets the defaults first
 * err      filled on failure: path.of.key, what is wrong, what is allowed
 * returns  0, -BCT_ETYPE, -BCT_ERANGE, -BCT_EUNKNOWN_KEY or -BCT_EMISSING_KEY
 */
int bct_settings_fill(const bct_setting_desc_t *desc, uint32_t n, json_t *doc, void *out,
		      bct_json_err_t *err);

#endif
