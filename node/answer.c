/*
 * answer.c - engine events and service answers.
 *
 * An engine labels its events with the attempt's id. The caller must see one id for the request
 * even if several attempts contributed, so the attempt's id is replaced by the request's. Both have
 * the same length, so the rest of an event is copied as it is.
 */

#define _GNU_SOURCE
#include "node/answer.h"
#include "base/err.h"
#include "base/json.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ID_PREFIX "cmpl-"
#define ID_HEX_LEN 16

/* The text of a completion or chat chunk; NULL if it carries none. */
static const char *chunk_text(json_t *choice)
{
	const char *text = json_string_value(json_object_get(choice, "text"));

	if (!text)
		text = json_string_value(
			json_object_get(json_object_get(choice, "delta"), "content"));
	return text && text[0] ? text : NULL;
}

/* Checks that a chunk answers this attempt. Returns 0, -BCT_ECODEC or -BCT_ECONFLICT. */
static int check_id(const bct_attempt_t *a, json_t *chunk)
{
	const char *id = json_string_value(json_object_get(chunk, "id"));

	if (!id || strncmp(id, ID_PREFIX, strlen(ID_PREFIX)))
		return -BCT_ECODEC;
	return strcmp(id + strlen(ID_PREFIX), a->id_hex) ? -BCT_ECONFLICT : 0;
}

/*
 * Replaces line ends between JSON tokens by spaces, which are equivalent in JSON. In SSE a line end
 * would end the data line.
 */
static void replace_line_ends(char *text, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (text[i] == '\n' || text[i] == '\r')
			text[i] = ' ';
	}
}

/*
 * Appends the event with the attempt's id replaced by the request's. An id that is written with
 * JSON escapes passes check_id() but is not found here: the event counts as malformed and nothing
 * is appended.
 */
static int append_event(bct_request_t *r, const bct_attempt_t *a, const char *data, size_t len)
{
	char id[sizeof(ID_PREFIX) + ID_HEX_LEN];
	const char *at;
	size_t before, start;

	snprintf(id, sizeof(id), "%s%s", ID_PREFIX, a->id_hex);
	at = memmem(data, len, id, strlen(id));
	if (!at)
		return -BCT_ECODEC;
	at += strlen(ID_PREFIX);
	before = (size_t)(at - data);
	start = r->out.len_bytes;
	bct_buf_puts(&r->out, "data: ");
	bct_buf_put(&r->out, data, before);
	bct_buf_put(&r->out, a->req_id_hex, ID_HEX_LEN);
	if (!bct_buf_put(&r->out, at + ID_HEX_LEN, len - before - ID_HEX_LEN))
		replace_line_ends(r->out.data + start, r->out.len_bytes - start);
	return bct_buf_puts(&r->out, "\n\n");
}

/* Counts a chunk with text as one token, and updates the first token's time and the longest gap. */
static void count_token(bct_request_t *r, bct_time_t now)
{
	if (r->first_token == BCT_TIME_NEVER) {
		r->first_token = now;
		r->state = BCT_STATE_STREAMING;
	} else if (now - r->last_token > (bct_time_t)r->max_gap_ms) {
		r->max_gap_ms = (uint32_t)(now - r->last_token);
	}
	r->last_token = now;
	r->tokens++;
}

/* Truncates the reason to the field at a character boundary, so that it stays valid UTF-8. */
static void set_finish_reason(bct_request_t *r, const char *reason)
{
	size_t len = strnlen(reason, sizeof(r->finish_reason) - 1);

	while (len && ((unsigned char)reason[len] & 0xc0) == 0x80)
		len--;
	memcpy(r->finish_reason, reason, len);
	r->finish_reason[len] = '\0';
}

/* Records the finish reason and the number of prompt tokens, if the chunk carries them. */
static void record_usage(bct_request_t *r, json_t *chunk, json_t *choice)
{
	const char *reason = json_string_value(json_object_get(choice, "finish_reason"));
	json_t *prompt = json_object_get(json_object_get(chunk, "usage"), "prompt_tokens");

	if (reason)
		set_finish_reason(r, reason);
	if (json_is_integer(prompt) && json_integer_value(prompt) >= 0 &&
	    json_integer_value(prompt) <= INT32_MAX)
		r->prompt_tokens = (uint32_t)json_integer_value(prompt);
}

/* Keeps the text of an answer that is not streamed. Call with the request's lock held. */
static int keep_text(bct_request_t *r, const char *text)
{
	int rc = bct_request_keep(r, strlen(text));

	return rc ? rc : bct_buf_puts(&r->out, text);
}

/* Appends a chunk to the output and counts its token. Call with the request's lock held. */
static int append_chunk(bct_attempt_t *a, json_t *chunk, const char *data, size_t len,
			bct_time_t now)
{
	bct_request_t *r = a->req;
	json_t *choice = json_array_get(json_object_get(chunk, "choices"), 0);
	const char *text = chunk_text(choice);
	int rc;

	if (r->attempt != a || r->done)
		return -BCT_ESTATE;
	record_usage(r, chunk, choice);
	if (r->stream)
		rc = append_event(r, a, data, len);
	else
		rc = text ? keep_text(r, text) : 0;
	if (rc)
		return rc;
	if (text) {
		count_token(r, now);
		a->tokens++;
	}
	if (r->stream) {
		r->ready = true;
		bct_request_wake(r);
	}
	return 0;
}

int bct_answer_event(bct_attempt_t *a, const char *data, size_t len_bytes, bct_time_t now)
{
	bct_json_err_t err;
	json_t *chunk;
	int rc;

	if (len_bytes == 6 && !memcmp(data, "[DONE]", 6)) {
		a->finished = true;
		return 0;
	}
	chunk = bct_json_parse_strict(data, len_bytes, &err);
	if (!chunk)
		return -BCT_ECODEC;
	rc = check_id(a, chunk);
	if (!rc) {
		pthread_mutex_lock(&a->req->lock);
		rc = append_chunk(a, chunk, data, len_bytes, now);
		pthread_mutex_unlock(&a->req->lock);
	}
	json_decref(chunk);
	return rc;
}

int bct_answer_service(bct_attempt_t *a, const char *content_type)
{
	bct_request_t *r = a->req;
	int rc = -BCT_ESTATE;

	pthread_mutex_lock(&r->lock);
	if (r->attempt == a && !r->done) {
		rc = bct_buf_put(&r->out, a->answer.data ? a->answer.data : "",
				 a->answer.len_bytes);
		r->status = a->status;
		snprintf(r->answer_type, sizeof(r->answer_type), "%s",
			 content_type ? content_type : "application/octet-stream");
	}
	pthread_mutex_unlock(&r->lock);
	return rc;
}

/* The only element of "choices" in a JSON answer. */
static json_t *answer_choice(const bct_request_t *r, const char *text)
{
	if (r->kind == BCT_REQUEST_CHAT)
		return json_pack("{s:i, s:{s:s, s:s}, s:s}", "index", 0, "message", "role",
				 "assistant", "content", text, "finish_reason", r->finish_reason);
	return json_pack("{s:i, s:s, s:s}", "index", 0, "text", text, "finish_reason",
			 r->finish_reason);
}

/* Replaces the collected text by the complete JSON answer. Call with the request's lock held. */
static int make_json_answer(bct_request_t *r, const char *id_hex)
{
	const char *object = r->kind == BCT_REQUEST_CHAT ? "chat.completion" : "text_completion";
	char id[sizeof(ID_PREFIX) + ID_HEX_LEN];
	json_t *doc;
	char *text;
	int rc;

	snprintf(id, sizeof(id), "%s%s", ID_PREFIX, id_hex);
	doc = json_pack("{s:s, s:s, s:I, s:s, s:[o], s:{s:i, s:i, s:i}}", "id", id, "object",
			object, "created", (json_int_t)(bct_clock_wall() / BCT_MS_PER_S), "model",
			r->model, "choices", answer_choice(r, r->out.data ? r->out.data : ""),
			"usage", "prompt_tokens", (int)r->prompt_tokens, "completion_tokens",
			(int)r->tokens, "total_tokens", (int)(r->prompt_tokens + r->tokens));
	if (!doc)
		return -BCT_ENOMEM;
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	if (!text)
		return -BCT_ENOMEM;
	bct_buf_clear(&r->out);
	rc = bct_buf_puts(&r->out, text);
	free(text);
	return rc;
}

int bct_answer_finish(bct_attempt_t *a)
{
	bct_request_t *r = a->req;
	int rc;

	pthread_mutex_lock(&r->lock);
	if (r->attempt != a || r->done) {
		rc = -BCT_ESTATE;
	} else {
		r->status = 200;
		rc = r->stream ? bct_buf_puts(&r->out, "data: [DONE]\n\n")
			       : make_json_answer(r, a->req_id_hex);
	}
	pthread_mutex_unlock(&r->lock);
	return rc;
}
