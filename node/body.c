/*
 * body.c - field validation, token estimate and prefix hashes of a completion request.
 */
#include "node/body.h"
#include "base/err.h"
#include "base/hash.h"
#include "base/json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BYTES_PER_TOKEN 4 /* rough estimate, the same for every language */
#define MAX_OUTPUT_TOKENS 1000000
#define PREFIX_BLOCK_BYTES (BCT_PREFIX_BLOCK_TOKENS * BYTES_PER_TOKEN)

static bct_refuse_t bad_field(bct_body_t *b, const char *field)
{
	snprintf(b->field, sizeof(b->field), "%s", field);
	return BCT_REFUSE_BAD_FIELD;
}

static bct_refuse_t parse_model(bct_body_t *b, json_t *doc)
{
	json_t *v = json_object_get(doc, "model");

	if (!json_is_string(v) || !json_string_length(v) || json_string_length(v) >= BCT_NAME_BYTES)
		return bad_field(b, "model");
	snprintf(b->model, sizeof(b->model), "%s", json_string_value(v));
	return BCT_REFUSE_NONE;
}

/* Only one choice per request is supported: n, if given, must be 1. */
static bct_refuse_t parse_stream(bct_body_t *b, json_t *doc)
{
	json_t *v = json_object_get(doc, "stream");
	json_t *n = json_object_get(doc, "n");

	if (v && !json_is_boolean(v))
		return bad_field(b, "stream");
	if (n && (!json_is_integer(n) || json_integer_value(n) != 1))
		return bad_field(b, "n");
	b->stream = json_is_true(v);
	return BCT_REFUSE_NONE;
}

/* Both names of the limit are accepted; max_completion_tokens takes precedence. */
static bct_refuse_t parse_max_tokens(bct_body_t *b, json_t *doc)
{
	static const char *const names[] = { "max_tokens", "max_completion_tokens" };

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		json_t *v = json_object_get(doc, names[i]);

		if (!v)
			continue;
		if (!json_is_integer(v) || json_integer_value(v) < 1 ||
		    json_integer_value(v) > MAX_OUTPUT_TOKENS)
			return bad_field(b, names[i]);
		b->max_output_tokens = (uint32_t)json_integer_value(v);
	}
	return BCT_REFUSE_NONE;
}

/* The user field identifies a session. */
static bct_refuse_t parse_user(bct_body_t *b, json_t *doc)
{
	json_t *v = json_object_get(doc, "user");

	if (!v)
		return BCT_REFUSE_NONE;
	if (!json_is_string(v))
		return bad_field(b, "user");
	b->session_key = bct_hash(json_string_value(v), json_string_length(v));
	return BCT_REFUSE_NONE;
}

/* Appends a message's content: a string, or a list of {"type": "text", "text": "..."}. */
static bool append_content(bct_buf_t *prompt, json_t *content)
{
	json_t *part;
	size_t i;

	if (json_is_string(content))
		return !bct_buf_put(prompt, json_string_value(content),
				    json_string_length(content));
	if (!json_is_array(content))
		return false;
	json_array_foreach(content, i, part)
	{
		json_t *text = json_object_get(part, "text");

		if (!json_is_string(text))
			return false;
		if (bct_buf_put(prompt, json_string_value(text), json_string_length(text)))
			return false;
	}
	return true;
}

static bct_refuse_t parse_messages(bct_body_t *b, json_t *doc, bct_buf_t *prompt)
{
	json_t *list = json_object_get(doc, "messages");
	json_t *message;
	size_t i;

	if (!json_is_array(list) || !json_array_size(list))
		return bad_field(b, "messages");
	json_array_foreach(list, i, message)
	{
		json_t *role = json_object_get(message, "role");

		if (!json_is_string(role))
			return bad_field(b, "messages.role");
		bct_buf_printf(prompt, "\n%s\n", json_string_value(role));
		if (!append_content(prompt, json_object_get(message, "content")))
			return bad_field(b, "messages.content");
	}
	return BCT_REFUSE_NONE;
}

static bct_refuse_t parse_prompt(bct_body_t *b, json_t *doc, bct_buf_t *prompt)
{
	json_t *v = json_object_get(doc, "prompt");

	if (!json_is_string(v))
		return bad_field(b, "prompt");
	bct_buf_put(prompt, json_string_value(v), json_string_length(v));
	return BCT_REFUSE_NONE;
}

/*
 * Hashes the prompt block by block. Each hash covers the model and the whole prompt up to the end
 * of its block, so equal hashes mean equal prefixes.
 */
static void hash_prefixes(bct_body_t *b, const bct_buf_t *prompt)
{
	size_t blocks = prompt->len_bytes / PREFIX_BLOCK_BYTES;
	uint64_t h = bct_hash_str(b->model);
	size_t i;

	for (i = 0; i < blocks && i < BCT_PREFIX_MAX; i++) {
		h = bct_hash_mix(
			h, bct_hash(prompt->data + i * PREFIX_BLOCK_BYTES, PREFIX_BLOCK_BYTES));
		b->prefix[i] = h;
	}
	b->n_prefix = (uint8_t)i;
}

/* Serialises the body for an engine, with stream and stream_options set, and hashes it. */
static bct_refuse_t make_upstream_body(bct_body_t *b, json_t *doc)
{
	char *text;
	bct_refuse_t r = BCT_REFUSE_NONE;

	/* Engines stream even if the caller does not: a truncated answer can then be resumed. */
	if (json_object_set_new(doc, "stream", json_true()) ||
	    json_object_set_new(doc, "stream_options", json_pack("{s:b}", "include_usage", 1)))
		return BCT_REFUSE_INTERNAL;
	text = json_dumps(doc, JSON_COMPACT | JSON_SORT_KEYS);
	if (!text)
		return BCT_REFUSE_INTERNAL;
	if (bct_buf_puts(&b->upstream, text))
		r = BCT_REFUSE_INTERNAL;
	free(text);
	b->digest = bct_hash(b->upstream.data, b->upstream.len_bytes);
	return r;
}

static bct_refuse_t parse_fields(bct_body_t *b, json_t *doc, bool chat, bct_buf_t *prompt)
{
	bct_refuse_t r;

	r = parse_model(b, doc);
	if (!r)
		r = parse_stream(b, doc);
	if (!r)
		r = parse_max_tokens(b, doc);
	if (!r)
		r = parse_user(b, doc);
	if (!r)
		r = chat ? parse_messages(b, doc, prompt) : parse_prompt(b, doc, prompt);
	if (!r && prompt->err)
		r = BCT_REFUSE_INTERNAL;
	return r;
}

bct_refuse_t bct_body_parse(const char *text, size_t len_bytes, bool chat, bct_body_t *body)
{
	bct_json_err_t err;
	bct_buf_t prompt;
	bct_refuse_t r;
	json_t *doc;

	memset(body, 0, sizeof(*body));
	bct_buf_init(&body->upstream, 0);
	bct_buf_init(&prompt, 0);
	doc = bct_json_parse_strict(text, len_bytes, &err);
	if (!doc)
		return err.err == -BCT_ENOMEM ? BCT_REFUSE_INTERNAL : BCT_REFUSE_BAD_JSON;
	if (!json_is_object(doc)) {
		json_decref(doc);
		return BCT_REFUSE_BAD_JSON;
	}
	r = parse_fields(body, doc, chat, &prompt);
	if (!r) {
		body->prompt_tokens = (uint32_t)(prompt.len_bytes / BYTES_PER_TOKEN + 1);
		hash_prefixes(body, &prompt);
		r = make_upstream_body(body, doc);
	}
	json_decref(doc);
	bct_buf_free(&prompt);
	return r;
}

void bct_body_free(bct_body_t *body)
{
	bct_buf_free(&body->upstream);
}
