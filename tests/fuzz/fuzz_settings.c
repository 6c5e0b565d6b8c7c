/*
 * fuzz_settings.c - settings documents. Checks that strings are terminated within their fields,
 * that numbers are within their bounds, and that the document gives the same settings when it is
 * serialised and parsed again.
 */
#include "base/err.h"
#include "gen/settings.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

#define MAX_BYTES 65536

static void check_field(const bct_setting_desc_t *d, const bct_settings_t *s)
{
	const char *at = (const char *)s + d->offset;
	uint32_t number;

	if (d->type == BCT_SETTING_STRING)
		BCT_FUZZ_CHECK(memchr(at, 0, d->size) != NULL);
	if (d->type != BCT_SETTING_U32)
		return;
	memcpy(&number, at, sizeof(number));
	BCT_FUZZ_CHECK(number >= d->min && number <= d->max);
}

/* Serialises doc, parses it and compares the settings with those of the first parse. */
static void check_round_trip(const json_t *doc, const bct_settings_t *expected)
{
	char *text = json_dumps(doc, JSON_COMPACT | JSON_SORT_KEYS);
	bct_settings_t refilled;
	bct_json_err_t err;
	json_t *copy;

	if (!text)
		return;
	memset(&refilled, 0, sizeof(refilled));
	copy = bct_json_parse(text, strlen(text), SIZE_MAX, &err);
	free(text);
	BCT_FUZZ_CHECK(copy != NULL);
	BCT_FUZZ_CHECK(
		!bct_settings_fill(bct_settings_table, BCT_SETTINGS_COUNT, copy, &refilled, &err));
	BCT_FUZZ_CHECK(!memcmp(&refilled, expected, sizeof(refilled)));
	json_decref(copy);
}

BCT_FUZZ(settings)
{
	bct_settings_t s;
	bct_json_err_t err = { 0 };
	json_t *doc = bct_json_parse((const char *)data, size, MAX_BYTES, &err);

	if (!doc) {
		BCT_FUZZ_CHECK(err.err < 0);
		return 0;
	}
	memset(&s, 0, sizeof(s));
	if (bct_settings_fill(bct_settings_table, BCT_SETTINGS_COUNT, doc, &s, &err)) {
		BCT_FUZZ_CHECK(err.err < 0 && err.detail[0]);
	} else {
		for (uint32_t i = 0; i < BCT_SETTINGS_COUNT; i++)
			check_field(&bct_settings_table[i], &s);
		check_round_trip(doc, &s);
	}
	json_decref(doc);
	return 0;
}
