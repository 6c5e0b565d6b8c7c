/*
 * report.c - parsers for the load reports and cache events of engines.
 */
#include "base/err.h"
#include "base/json.h"
#include "node/poller.h"

#include <stdlib.h>
#include <string.h>

/* A number limited to the range of uint32_t; 0 if it is missing. */
static uint32_t json_u32(json_t *doc, const char *key)
{
	json_int_t n = json_integer_value(json_object_get(doc, key));

	if (n < 0)
		return 0;
	return n > UINT32_MAX ? UINT32_MAX : (uint32_t)n;
}

/* A number written as a hexadecimal string; 0 if it is missing. */
static uint64_t json_hex(json_t *doc, const char *key)
{
	const char *s = json_string_value(json_object_get(doc, key));

	return s ? strtoull(s, NULL, 16) : 0;
}

/* Running requests by tier; a missing or invalid number counts as 0. */
static void parse_tiers(json_t *list, bct_report_t *r)
{
	for (size_t i = 0; i < BCT_TIERS; i++) {
		json_int_t n = json_integer_value(json_array_get(list, i));

		r->running_by_tier[i] = n > 0 && n < UINT32_MAX ? (uint32_t)n : 0;
	}
}

int bct_report_parse(const char *text, size_t len_bytes, bct_report_t *out)
{
	bct_json_err_t err;
	json_t *doc = bct_json_parse_strict(text, len_bytes, &err);

	if (!json_is_object(doc) || !json_is_integer(json_object_get(doc, "seq"))) {
		json_decref(doc);
		return -BCT_ECODEC;
	}
	memset(out, 0, sizeof(*out));
	out->boot_id = json_hex(doc, "boot_id");
	out->seq = (uint64_t)json_integer_value(json_object_get(doc, "seq"));
	out->age_ms = json_u32(doc, "age_ms");
	out->running = json_u32(doc, "running");
	out->waiting = json_u32(doc, "waiting");
	out->waiting_tokens = json_u32(doc, "waiting_tokens");
	out->kv_used_tokens = json_u32(doc, "kv_used_tokens");
	out->kv_total_tokens = json_u32(doc, "kv_total_tokens");
	out->tokens_per_s = json_u32(doc, "tokens_per_s");
	out->leaving = json_is_true(json_object_get(doc, "leaving"));
	parse_tiers(json_object_get(doc, "running_by_tier"), out);
	json_decref(doc);
	return 0;
}

/* Returns a bct_cache_op_t or -BCT_ECODEC. */
static int parse_op(const char *op)
{
	if (!op)
		return -BCT_ECODEC;
	if (!strcmp(op, "add"))
		return BCT_CACHE_ADD;
	if (!strcmp(op, "remove"))
		return BCT_CACHE_REMOVE;
	return strcmp(op, "reset") ? -BCT_ECODEC : BCT_CACHE_RESET;
}

static int parse_event(json_t *e, bct_cache_event_t *out)
{
	int op = parse_op(json_string_value(json_object_get(e, "op")));

	if (op < 0)
		return op;
	memset(out, 0, sizeof(*out));
	out->seq = (uint64_t)json_integer_value(json_object_get(e, "seq"));
	out->block = json_hex(e, "block");
	out->op = (bct_cache_op_t)op;
	return 0;
}

int bct_cache_events_parse(const char *text, size_t len_bytes, bct_cache_event_t *out, uint32_t max,
			   uint64_t *next)
{
	bct_json_err_t err;
	json_t *doc = bct_json_parse_strict(text, len_bytes, &err);
	json_t *list = json_object_get(doc, "events");
	size_t i, n = json_array_size(list);
	int rc = 0;

	if (!json_is_array(list)) {
		json_decref(doc);
		return -BCT_ECODEC;
	}
	for (i = 0; i < n && i < max && !rc; i++)
		rc = parse_event(json_array_get(list, i), &out[i]);
	if (!rc)
		*next = i < n ? out[i - 1].seq + 1
			      : (uint64_t)json_integer_value(json_object_get(doc, "next"));
	json_decref(doc);
	return rc ? rc : (int)i;
}
